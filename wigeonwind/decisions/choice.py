"""Choice of an endpoint by load reports, health and cached prompt prefixes."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from random import Random

from wigeonwind.clock import MS_PER_SECOND
from wigeonwind.decisions.health import EndpointHealth, OutlierDetector
from wigeonwind.decisions.interfaces import (
    Chosen,
    EndpointInfo,
    NoEndpoint,
    ReportedLoad,
    RouteRequest,
)
from wigeonwind.decisions.prefix_index import PrefixIndex

HEALTH_CHECK_INTERVAL_MS = 250.0
"""Interval between health comparisons of the endpoints of a service."""

SPILLOVER_LOAD = 1.0
"""Load per slot in the local zone from which other zones are considered."""

SPILLOVER_MARGIN = 0.25
"""Load per slot by which an endpoint of another zone must be less loaded."""

AFFINITY_FACTOR = 1.25
"""Load relative to the alternative up to which the endpoint with the cached prefix is
chosen."""

AFFINITY_MARGIN = 0.25
"""Load per slot in addition to AFFINITY_FACTOR, so that one request does not decide
between idle endpoints."""

LOAD_HALF_LIFE_MS = MS_PER_SECOND
"""Age at which the weight of a load report has halved."""

RETRY_AFTER_MS = 1000.0
"""Retry-After when no endpoint is usable; membership changes within seconds."""

DEFAULT_SLOTS = 8
"""Assumed slots of an endpoint that has not reported its load yet."""


LOWER_PRIORITY_WEIGHT = 0.25
"""Weight of attempts of lower classes: they yield, but share the batch until then."""


@dataclass(slots=True)
class _Report:
    """A load report, and this entry's requests in flight when it was received."""

    load: ReportedLoad
    measured_ms: float
    in_flight_by_priority: dict[int, int]


class _Endpoint:
    """State of one endpoint at this entry."""

    __slots__ = ("health", "info", "in_flight_by_priority", "report")

    def __init__(self, info: EndpointInfo, health: EndpointHealth) -> None:
        self.info = info
        self.health = health
        self.report: _Report | None = None
        self.in_flight_by_priority: dict[int, int] = {}

    @property
    def slots(self) -> int:
        """Return the reported number of slots, or the default without a report."""
        return max(1, self.report.load.slots) if self.report else DEFAULT_SLOTS

    def local_load(self, priority: int) -> float:
        """Return the weighted requests in flight ahead of one of this priority."""
        return weighted_load(self.in_flight_by_priority.items(), priority, self.slots)


def weighted_load(
    counts: Iterable[tuple[int, int]], priority: int, slots: int
) -> float:
    """Return the weighted load of (priority, count) pairs ahead of a request.

    Requests of lower priority count only as far as they fit into the slots beside the
    others: those that wait for a slot yield to the request, however many they are.

    >>> weighted_load([(0, 4), (1, 8)], 0, 8)
    5.0
    >>> weighted_load([(0, 4), (1, 8)], 1, 8)
    12.0
    """
    rows = list(counts)
    ahead = sum(count for other, count in rows if other <= priority)
    lower = sum(count for other, count in rows if other > priority)
    return ahead + LOWER_PRIORITY_WEIGHT * min(lower, max(0, slots - ahead))


class EndpointChooser:
    """Power of two choices, local zone first, with bounded-load prefix affinity.

    The load of an endpoint is the number of this entry's requests in flight there plus
    the requests of other entries in its last report. The weight of the report halves
    with each second of its age. The sum is divided by the number of slots and by the
    slow-start weight. Each choice takes O(n) for a subset of n endpoints.
    """

    def __init__(self, local_zone: str, rng: Random) -> None:
        self._local_zone = local_zone
        self._rng = rng
        self._endpoint_by_id: dict[str, _Endpoint] = {}
        self._ids_by_service: dict[str, list[str]] = {}
        self._priority_by_class: dict[str, int] = {}
        self._prefixes = PrefixIndex()
        self._outlier_detector = OutlierDetector()
        self._health_checked_ms = float("-inf")

    def set_endpoints(self, endpoints: tuple[EndpointInfo, ...], now_ms: float) -> None:
        """Replace the set of endpoints.

        Traffic to new endpoints is ramped up, except those of the first set.
        """
        old_by_id = self._endpoint_by_id
        self._endpoint_by_id = {}
        self._ids_by_service = {}
        for info in endpoints:
            endpoint = old_by_id.get(info.endpoint_id)
            if endpoint is None:
                endpoint = _Endpoint(info, EndpointHealth(now_ms, bool(old_by_id)))
            endpoint.info = info
            self._endpoint_by_id[info.endpoint_id] = endpoint
            ids = self._ids_by_service.setdefault(info.service, [])
            ids.append(info.endpoint_id)

    def on_load(self, endpoint_id: str, load: ReportedLoad, now_ms: float) -> None:
        """Record a load report."""
        endpoint = self._endpoint_by_id.get(endpoint_id)
        if endpoint is not None:
            in_flight = dict(endpoint.in_flight_by_priority)
            endpoint.health.reported_ms_per_token = load.ms_per_token
            endpoint.report = _Report(load, now_ms - load.age_ms, in_flight)

    def choose(
        self, request: RouteRequest, now_ms: float, exclude: frozenset[str]
    ) -> Chosen | NoEndpoint:
        """Return an endpoint that is not in `exclude`."""
        self._check_health(now_ms)
        ids = self._ids_by_service.get(request.service, [])
        candidates = [self._endpoint_by_id[name] for name in ids if name not in exclude]
        eligible = [
            endpoint for endpoint in candidates if _is_eligible(endpoint, request)
        ]
        healthy = [
            endpoint for endpoint in eligible if not endpoint.health.is_ejected(now_ms)
        ]
        # Ejected endpoints are used if there are no others.
        pool = healthy or eligible
        if not pool:
            reason = f"no endpoint of {request.service} is ready"
            return NoEndpoint(reason, RETRY_AFTER_MS * (1.0 + self._rng.random()))
        load, best = self._best(pool, request.priority, now_ms)
        cached = self._best_cached(pool, request, now_ms)
        if cached is not None:
            bound = AFFINITY_FACTOR * load + AFFINITY_MARGIN
            if self._load(cached, request.priority, now_ms) <= bound:
                best = cached
        return Chosen(best.info.endpoint_id)

    def _best(
        self, pool: list[_Endpoint], priority: int, now_ms: float
    ) -> tuple[float, _Endpoint]:
        """Return the best endpoint and its load.

        Other zones are considered only if the local one is loaded.
        """
        local_pool = [
            endpoint for endpoint in pool if endpoint.info.zone == self._local_zone
        ]
        if not local_pool:
            return self._less_loaded_of_two(pool, priority, now_ms)
        load, best = self._less_loaded_of_two(local_pool, priority, now_ms)
        if load < SPILLOVER_LOAD or len(local_pool) == len(pool):
            return load, best
        remote_pool = [
            endpoint for endpoint in pool if endpoint.info.zone != self._local_zone
        ]
        remote_load, remote_best = self._less_loaded_of_two(
            remote_pool, priority, now_ms
        )
        if remote_load + SPILLOVER_MARGIN < load:
            return remote_load, remote_best
        return load, best

    def _less_loaded_of_two(
        self, pool: list[_Endpoint], priority: int, now_ms: float
    ) -> tuple[float, _Endpoint]:
        first = pool[int(self._rng.random() * len(pool))]
        load = self._load(first, priority, now_ms)
        if len(pool) == 1:
            return load, first
        second = pool[int(self._rng.random() * len(pool))]
        if second is first:
            second = pool[(pool.index(first) + 1) % len(pool)]
        other_load = self._load(second, priority, now_ms)
        return (load, first) if load <= other_load else (other_load, second)

    def _load(self, endpoint: _Endpoint, priority: int, now_ms: float) -> float:
        """Return the load per slot ahead of a request of this priority."""
        count = endpoint.local_load(priority)
        slots = endpoint.slots
        report = endpoint.report
        if report is not None:
            age_ms = max(0.0, now_ms - report.measured_ms)
            local_load = weighted_load(
                report.in_flight_by_priority.items(), priority, slots
            )
            others = max(0.0, self._reported_load(report.load, priority) - local_load)
            count += others * 0.5 ** (age_ms / LOAD_HALF_LIFE_MS)
        weight = endpoint.health.weight(now_ms)
        # One is added so that the weight also applies to idle endpoints.
        return ((count + 1.0) / weight - 1.0) / slots

    def _reported_load(self, load: ReportedLoad, priority: int) -> float:
        """Return the weighted reported load ahead of a request of this priority."""
        priority_of = self._priority_by_class.get
        rows = [*load.waiting_by_class, *load.running_by_class]
        counts = [(priority_of(name, priority), count) for name, count in rows]
        if not load.running_by_class:
            counts.append((priority, load.running))
        return weighted_load(counts, priority, max(1, load.slots))

    def _best_cached(
        self, pool: list[_Endpoint], request: RouteRequest, now_ms: float
    ) -> _Endpoint | None:
        """Return the least loaded endpoint that holds the longest cached prefix."""
        if not request.prefix_keys:
            return None
        ids = {endpoint.info.endpoint_id for endpoint in pool}
        best_found = None
        for index, name in self._prefixes.holders(request.prefix_keys, now_ms):
            if best_found is not None and index < best_found[0]:
                break
            if name in ids:
                endpoint = self._endpoint_by_id[name]
                load = self._load(endpoint, request.priority, now_ms)
                if best_found is None or load < best_found[1]:
                    best_found = (index, load, endpoint)
        return best_found[2] if best_found else None

    def _check_health(self, now_ms: float) -> None:
        if now_ms - self._health_checked_ms < HEALTH_CHECK_INTERVAL_MS:
            return
        self._health_checked_ms = now_ms
        for ids in self._ids_by_service.values():
            endpoints = [self._endpoint_by_id[name].health for name in ids]
            self._outlier_detector.eject_outliers(endpoints, now_ms)

    def on_sent(self, endpoint_id: str, request: RouteRequest, now_ms: float) -> None:
        """Record that a request was sent."""
        self._priority_by_class[request.class_name] = request.priority
        endpoint = self._endpoint_by_id.get(endpoint_id)
        if endpoint is not None:
            endpoint.health.on_sent(now_ms)
            in_flight = endpoint.in_flight_by_priority
            in_flight[request.priority] = in_flight.get(request.priority, 0) + 1
            for prefix_key in request.prefix_keys:
                self._prefixes.add(prefix_key, endpoint_id, now_ms)

    def on_first_token(self, endpoint_id: str, wait_ms: float, now_ms: float) -> None:
        """Record the first token of a request."""
        endpoint = self._endpoint_by_id.get(endpoint_id)
        if endpoint is not None:
            endpoint.health.on_first_token(now_ms)

    def on_tokens(self, endpoint_id: str, tokens: int, now_ms: float) -> None:
        """Record received tokens, for the comparison with other endpoints."""
        endpoint = self._endpoint_by_id.get(endpoint_id)
        if endpoint is not None:
            endpoint.health.on_tokens(tokens, now_ms)

    def on_ended(
        self, endpoint_id: str, request: RouteRequest, ok: bool, now_ms: float
    ) -> None:
        """Record that a request has ended; `ok` is False if the endpoint failed.

        A refusal by the sidecar does not count as a failure: pass `ok` True for it.
        """
        endpoint = self._endpoint_by_id.get(endpoint_id)
        if endpoint is not None:
            endpoint.health.on_ended(ok, now_ms)
            in_flight = endpoint.in_flight_by_priority
            in_flight[request.priority] = max(0, in_flight.get(request.priority, 0) - 1)

    def on_cache_event(
        self, endpoint_id: str, prefix_key: int, stored: bool, now_ms: float
    ) -> None:
        """Record that an endpoint has stored or evicted a prefix."""
        if stored:
            self._prefixes.add(prefix_key, endpoint_id, now_ms)
        else:
            self._prefixes.remove(prefix_key, endpoint_id)

    def is_ejected(self, endpoint_id: str, now_ms: float) -> bool:
        """Return whether an endpoint is ejected; its queued attempts may be moved."""
        endpoint = self._endpoint_by_id.get(endpoint_id)
        return endpoint is not None and endpoint.health.is_ejected(now_ms)

    def endpoints(
        self, now_ms: float
    ) -> Iterator[tuple[EndpointInfo, ReportedLoad | None, bool]]:
        """Yield each endpoint, its last load report, and whether it is ejected."""
        for endpoint in self._endpoint_by_id.values():
            load = endpoint.report.load if endpoint.report else None
            yield endpoint.info, load, endpoint.health.is_ejected(now_ms)

    def load_of(self, endpoint_id: str, priority: int, now_ms: float) -> float:
        """Return the load per slot ahead of a request of this priority.

        Infinite for an unknown endpoint.
        """
        endpoint = self._endpoint_by_id.get(endpoint_id)
        if endpoint is None:
            return float("inf")
        return self._load(endpoint, priority, now_ms)


def _is_eligible(endpoint: _Endpoint, request: RouteRequest) -> bool:
    """Return whether the endpoint is ready and serves the model."""
    report = endpoint.report
    if report is not None and not report.load.ready:
        return False
    models = endpoint.info.models
    return not request.model or not models or request.model in models
