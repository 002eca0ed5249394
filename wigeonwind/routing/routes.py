"""Routes, services and customers of one configuration version, and route lookup."""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from enum import Enum
from types import MappingProxyType


class Repetition(Enum):
    """Whether the requests of a route may run more than once."""

    SAFE = "safe"
    """A request may run any number of times."""
    ONCE = "once"
    """A request may run at most once."""
    RESUMABLE = "resumable"
    """Another endpoint may resume a stream after its last event."""


@dataclass(frozen=True, slots=True)
class ServiceShare:
    """A service that receives a share of a route's requests; `weight` is relative."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class HttpRoute:
    """A route: which requests it matches and how they are forwarded.

    Times are in milliseconds. `max_endpoints` limits the endpoints that one request is
    sent to. `target_ms` is the latency up to which a response, or the first event of a
    stream, has its full value. `max_pause_ms` is the same for the pauses between
    events, 0 for no limit.
    """

    name: str
    host: str
    path_prefix: str
    repetition: Repetition
    is_stream: bool
    shares: tuple[ServiceShare, ...]
    priority: int
    timeout_ms: float
    target_ms: float
    max_endpoints: int = 1
    is_public: bool = False
    max_pause_ms: float = 0.0

    @property
    def is_repeatable(self) -> bool:
        """Return whether a request that may have run may be sent again."""
        return self.repetition is not Repetition.ONCE


@dataclass(frozen=True, slots=True)
class HttpCustomer:
    """A customer; `priority` overrides that of the route unless it is None."""

    name: str
    priority: int | None = None


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Size limits for requests, and timeouts for receiving them in milliseconds."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: float = 3_000.0
    idle_timeout_ms: float = 15_000.0


def _empty_map() -> Mapping:
    return MappingProxyType({})


@dataclass(frozen=True)
class RouteTable:
    """One version of the routing configuration.

    `needs_key` says that requests of routes that are not public must carry the API key
    of a customer, also if there are no customers. `fetch_rate_by_service` is the rate
    at which an engine copies KV cache from another one, in tokens per millisecond;
    services without copies are missing.
    """

    version: int
    routes: tuple[HttpRoute, ...] = ()
    service_names: tuple[str, ...] = ()
    customer_by_key: Mapping[str, HttpCustomer] = field(default_factory=_empty_map)
    needs_key: bool = False
    limits: CallerLimits = CallerLimits()
    fetch_rate_by_service: Mapping[str, float] = field(default_factory=_empty_map)
    _routes_by_host: dict[str, dict[str, HttpRoute]] = field(
        default_factory=dict, init=False, repr=False, compare=False
    )

    def __post_init__(self) -> None:
        """Index the routes by host and path prefix."""
        for route in self.routes:
            by_prefix = self._routes_by_host.setdefault(route.host.lower(), {})
            by_prefix[route.path_prefix] = route

    def match(self, host: str, path: str) -> HttpRoute | None:
        """Return the route of the host with the longest matching path prefix.

        >>> share = (ServiceShare("llm", 1.0),)
        >>> route = HttpRoute(
        ...     "r", "a.example", "/x/", Repetition.SAFE, False, share, 0, 1e3, 100.0
        ... )
        >>> table = RouteTable(1, (route,))
        >>> table.match("a.example", "/x/y") is route
        True
        >>> table.match("a.example", "/x") is None
        True
        """
        by_prefix = self._routes_by_host.get(host)
        if by_prefix is None:
            return None
        for prefix in _prefixes(path):
            route = by_prefix.get(prefix)
            if route is not None:
                return route
        return None


def _prefixes(path: str) -> Iterator[str]:
    """Yield the prefixes of a path that end with a slash, longest first."""
    end = path.rfind("/")
    while end >= 0:
        yield path[: end + 1]
        end = path.rfind("/", 0, end)
