"""Parsing of the TOML settings file that the platform places on each VM."""

import tomllib
from dataclasses import dataclass
from typing import Annotated

import msgspec

from wigeonwind.addresses import SocketAddress, parse_address
from wigeonwind.outcomes import Invalid, Ok, Problem

PATH_VARIABLE = "WIGEONWIND_NODE_FILE"


MAX_GRACE_S = 86_400.0
"""Longest time from SIGTERM to SIGKILL, in seconds."""

Port = Annotated[int, msgspec.Meta(ge=0, le=65_535)]


class _Listen(msgspec.Struct):
    ingress: str
    """Address for callers."""
    ready: str
    """Address of the readiness check."""


class _Bounds(msgspec.Struct):
    """Time limits of the platform, of which only `grace_s` is used."""

    grace_s: Annotated[float, msgspec.Meta(ge=0.0, le=MAX_GRACE_S)] = 8.0
    """Time from SIGTERM to SIGKILL."""
    drain_ms: float = 2_000.0
    config_apply_ms: float = 2_000.0


class _Platform(msgspec.Struct):
    address: str
    """Address of the object store."""


class _NodeFile(msgspec.Struct):
    node: str
    zone: str
    ip: str
    listen: _Listen
    platform: _Platform
    port_range: tuple[Port, Port]
    """Ports for the traffic between routing processes."""
    region: str = ""
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)


@dataclass(frozen=True)
class NodeSettings:
    """Settings of a routing process on a VM; times in milliseconds."""

    node_id: str
    zone: str
    region: str
    ip: str
    callers: SocketAddress
    readiness: SocketAddress
    store: SocketAddress
    peers: SocketAddress
    stop_limit_ms: float


def decode_node_file(source: str) -> Ok[NodeSettings] | Invalid:
    """Decode the text of the settings file; unknown fields are ignored."""
    try:
        document = msgspec.convert(tomllib.loads(source), _NodeFile, strict=False)
        return Ok(
            NodeSettings(
                document.node,
                document.zone,
                document.region,
                document.ip,
                parse_address(document.listen.ingress),
                parse_address(document.listen.ready),
                parse_address(document.platform.address),
                SocketAddress(document.ip, document.port_range[0]),
                document.bounds.grace_s * 1_000.0,
            )
        )
    except (ValueError, RecursionError) as error:
        return Invalid((Problem("", PATH_VARIABLE, "", str(error)),))
