"""Documents of the outer platform, as its operators and workers write them."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

from wigeonwind.addresses import SocketAddress
from wigeonwind.routing.endpoints import Endpoint
from wigeonwind.routing.routes import Repetition

HOST = "a.example"
"""Hostname of all routes."""

SLO_MS, TIMEOUT_MS, MAX_PAUSE_MS = 250, 3_000, 200
"""Values of every route: latency target, time-out and longest pause of a stream."""

FIRST_PEER_PORT, PEER_PORT_COUNT = 7340, 16
"""The port range of each node file."""


@dataclass(frozen=True)
class RouteSpec:
    """A route from the path `/NAME/` to one service.

    One request is sent to at most `max_endpoints` endpoints.
    """

    name: str
    service: str
    repetition: Repetition
    is_stream: bool = False
    max_endpoints: int = 2


def route_document(spec: RouteSpec) -> dict[str, Any]:
    """Return the document of a route."""
    kind = "safe" if spec.repetition is Repetition.SAFE else "unsafe"
    return {
        "name": spec.name,
        "hostname": HOST,
        "path_prefix": f"/{spec.name}/",
        "route_type": "streaming" if spec.is_stream else kind,
        "timeout_ms": TIMEOUT_MS,
        "slo_ms": SLO_MS,
        "gap_aim_ms": MAX_PAUSE_MS,
        "priority": 1,
        "backend": spec.service,
        "attempts": spec.max_endpoints,
        "resumable": spec.repetition is Repetition.RESUMABLE,
    }


def configuration_document(
    version: int, routes: Sequence[RouteSpec], customer: str, keys: Sequence[str]
) -> dict[str, Any]:
    """Return the document of a configuration with one tenant."""
    return {
        "version": version,
        "routes": [route_document(each) for each in routes],
        "backends": [{"name": name} for name in sorted({r.service for r in routes})],
        "limits": {"header_timeout_ms": TIMEOUT_MS, "idle_timeout_ms": 5 * TIMEOUT_MS},
        "tenants": [{"name": customer, "api_keys": list(keys), "priority": 0}],
    }


def entry_document(endpoint: Endpoint) -> dict[str, Any]:
    """Return the document with which a worker registers itself."""
    return {
        "backend": endpoint.service,
        "address": str(endpoint.address),
        "zone": endpoint.zone,
        "version": "v1",
        "capacity": endpoint.slots,
        "state": "draining" if endpoint.is_draining else "ready",
        "warmup_left_ms": 0,
        "seq": 1,
        "born": endpoint.started_ms,
    }


def node_file_source(
    node_id: str,
    zone: str,
    ingress: SocketAddress,
    readiness: SocketAddress,
    store: SocketAddress,
    grace_s: int,
) -> str:
    """Return the node file that the platform writes on each node."""
    return f"""
node = "{node_id}"
zone = "{zone}"
ip = "{ingress.host}"
port_range = [{FIRST_PEER_PORT},{FIRST_PEER_PORT + PEER_PORT_COUNT - 1}]
[listen]
ingress = "{ingress}"
ready = "{readiness}"
[bounds]
grace_s = {grace_s}
[platform]
address = "{store}"
"""
