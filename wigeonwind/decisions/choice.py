"""Choice of an endpoint for a request."""

from random import Random

from wigeonwind.decisions.interfaces import (
    Chosen,
    EndpointInfo,
    EndpointLoad,
    NoEndpoint,
    RouteRequest,
)


class EndpointChooser:
    """Power of two choices by own outstanding work, own zone first."""

    def __init__(self, own_zone: str, rng: Random) -> None:
        self._own_zone = own_zone
        self._rng = rng
        self._endpoint_by_id: dict[str, EndpointInfo] = {}
        self._load_by_id: dict[str, EndpointLoad] = {}
        self._outstanding_by_id: dict[str, int] = {}

    def set_endpoints(self, endpoints: tuple[EndpointInfo, ...], now_ms: float) -> None:
        """Replace the set of endpoints."""
        self._endpoint_by_id = {info.endpoint_id: info for info in endpoints}

    def on_load(self, endpoint_id: str, load: EndpointLoad, now_ms: float) -> None:
        """Record a load report."""
        self._load_by_id[endpoint_id] = load

    def choose(
        self, request: RouteRequest, now_ms: float, exclude: frozenset[str]
    ) -> Chosen | NoEndpoint:
        """Choose an endpoint that is not in `exclude`."""
        usable = [
            info
            for info in self._endpoint_by_id.values()
            if info.endpoint_id not in exclude and self._may_take(info, request)
        ]
        near = [info for info in usable if info.zone == self._own_zone]
        pool = near or usable
        if not pool:
            return NoEndpoint(f"no endpoint of {request.service} is ready", 1000.0)
        pair = self._rng.sample(pool, min(2, len(pool)))
        return Chosen(min(pair, key=self._outstanding).endpoint_id)

    def _may_take(self, info: EndpointInfo, request: RouteRequest) -> bool:
        load = self._load_by_id.get(info.endpoint_id)
        ready = load is None or load.ready
        has_model = not request.model or not info.models or request.model in info.models
        return ready and has_model and info.service == request.service

    def _outstanding(self, info: EndpointInfo) -> int:
        return self._outstanding_by_id.get(info.endpoint_id, 0)

    def on_sent(self, endpoint_id: str, request: RouteRequest, now_ms: float) -> None:
        """Record that a request was sent."""
        count = self._outstanding_by_id.get(endpoint_id, 0)
        self._outstanding_by_id[endpoint_id] = count + 1

    def on_first_token(self, endpoint_id: str, wait_ms: float, now_ms: float) -> None:
        """Record the time to the first token of a request."""

    def on_tokens(self, endpoint_id: str, tokens: int, now_ms: float) -> None:
        """Record tokens received, for the comparison of peers."""

    def on_ended(self, endpoint_id: str, ok: bool, now_ms: float) -> None:
        """Record that a request sent there has ended."""
        count = self._outstanding_by_id.get(endpoint_id, 0)
        self._outstanding_by_id[endpoint_id] = max(0, count - 1)

    def on_cache_event(
        self, endpoint_id: str, prefix_key: int, stored: bool, now_ms: float
    ) -> None:
        """Record that a prefix was stored or evicted at an endpoint."""
