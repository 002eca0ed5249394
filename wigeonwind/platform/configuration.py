"""Decoding of the operators' configuration object into a route table."""

from typing import Annotated

import msgspec

from wigeonwind.clock import MS_PER_SECOND
from wigeonwind.outcomes import Invalid, Ok, Problem
from wigeonwind.routing.routes import (
    CallerLimits,
    HttpCustomer,
    HttpRoute,
    Repetition,
    RouteTable,
    ServiceShare,
)

CONFIGURATION_PREFIX = "config/"
CONFIGURATION_KEY = "config/main"

BITS_PER_MEGABIT = 1_000_000
BITS_PER_BYTE = 8

NO_SERVICE = ServiceShare("", 1.0)
"""Share of a route whose requests no service gets; no endpoint has this service."""

STREAMING = "streaming"
SAFE = "safe"


MAX_NUMBER = 2.0**53
"""Largest number in the configuration, in the unit of its field."""

MAX_WHOLE = 2**63 - 1
"""Largest whole number in the configuration."""

Number = Annotated[float, msgspec.Meta(ge=-MAX_NUMBER, le=MAX_NUMBER)]
Whole = Annotated[int, msgspec.Meta(ge=-MAX_WHOLE, le=MAX_WHOLE)]


class _Split(msgspec.Struct):
    backend: str
    weight: Number


class _Route(msgspec.Struct):
    name: str
    hostname: str
    path_prefix: str
    route_type: str
    """`safe`, `unsafe` or `streaming`."""
    timeout_ms: Number
    slo_ms: Number
    """Latency target; a response that takes longer is worth less."""
    priority: Whole = 5
    backend: str = ""
    split: list[_Split] = []
    """Replaces `backend` unless it is empty."""
    attempts: Whole = 1
    """Number of endpoints that a request may be sent to."""
    public: bool = False
    resumable: bool = False
    gap_aim_ms: Number = 0.0
    """Target for the pauses between the events of a stream, 0 for none."""


class _Engine(msgspec.Struct):
    moves: bool = False
    """Whether engines copy KV cache from each other."""
    kv_token_bytes: Number = 0.0
    """Size of the KV cache of one token."""
    link_mbps: Number = 0.0
    """Rate of copies, in megabits per second."""


class _Backend(msgspec.Struct):
    name: str
    engine: _Engine | None = None
    """None for services that are not model engines."""


class _Limits(msgspec.Struct):
    max_header_bytes: Whole = 16_384
    max_body_bytes: Whole = 4_194_304
    header_timeout_ms: Number = 3_000.0
    idle_timeout_ms: Number = 15_000.0


class _Tenant(msgspec.Struct):
    name: str
    api_keys: list[str] = []
    """Empty ones are not valid, as a request with an empty header carries no key."""
    priority: Whole | None = None


class _Configuration(msgspec.Struct):
    version: Whole
    routes: list[_Route]
    backends: list[_Backend] = []
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: list[_Tenant] | msgspec.UnsetType | None = msgspec.UNSET
    """Without the field no API keys are needed; an empty list holds no valid key."""


_decode_document = msgspec.json.Decoder(_Configuration, strict=False).decode


def decode_configuration(value: bytes) -> Ok[RouteTable] | Invalid:
    """Decode the configuration object."""
    try:
        document = _decode_document(value)
    except (ValueError, RecursionError) as error:
        shown = value[:40].decode(errors="replace")
        return Invalid((Problem("", CONFIGURATION_KEY, shown, str(error)),))
    has_tenants = document.tenants is not msgspec.UNSET
    tenants = document.tenants or []
    return Ok(
        RouteTable(
            document.version,
            tuple(_to_http_route(each) for each in document.routes),
            tuple(each.name for each in document.backends),
            {
                key: HttpCustomer(tenant.name, tenant.priority)
                for tenant in tenants
                for key in tenant.api_keys
                if key
            },
            has_tenants,
            CallerLimits(
                document.limits.max_header_bytes,
                document.limits.max_body_bytes,
                document.limits.header_timeout_ms,
                document.limits.idle_timeout_ms,
            ),
            {
                each.name: _fetch_rate(each.engine)
                for each in document.backends
                if each.engine is not None and _fetch_rate(each.engine) > 0.0
            },
        )
    )


def _fetch_rate(engine: _Engine) -> float:
    """Return the KV cache copy rate in tokens per millisecond, 0 without copies."""
    if not engine.moves or engine.kv_token_bytes <= 0.0:
        return 0.0
    bytes_per_ms = engine.link_mbps * BITS_PER_MEGABIT / BITS_PER_BYTE / MS_PER_SECOND
    return bytes_per_ms / engine.kv_token_bytes


def _to_http_route(route: _Route) -> HttpRoute:
    return HttpRoute(
        route.name,
        route.hostname,
        route.path_prefix,
        _repetition_of(route),
        route.route_type == STREAMING,
        _shares_of(route),
        route.priority,
        route.timeout_ms,
        route.slo_ms,
        max(1, route.attempts),
        route.public,
        route.gap_aim_ms,
    )


def _shares_of(route: _Route) -> tuple[ServiceShare, ...]:
    """Return the services that get requests, or NO_SERVICE if all weights are 0."""
    if not route.split:
        return (ServiceShare(route.backend, 1.0),)
    shares = (ServiceShare(each.backend, each.weight) for each in route.split)
    return tuple(each for each in shares if each.weight > 0) or (NO_SERVICE,)


def _repetition_of(route: _Route) -> Repetition:
    if route.route_type == SAFE:
        return Repetition.SAFE
    if route.route_type == STREAMING and route.resumable:
        return Repetition.RESUMABLE
    return Repetition.ONCE
