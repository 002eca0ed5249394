"""Choice of an endpoint for a request."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from random import Random

from wigeonwind.clock import MS_PER_SECOND
from wigeonwind.decisions.health import EndpointHealth, PeerComparison
from wigeonwind.decisions.interfaces import (
    Chosen,
    EndpointInfo,
    NoEndpoint,
    ReportedLoad,
    RouteRequest,
)
from wigeonwind.decisions.prefix_index import PrefixIndex

CHECK_INTERVAL_MS = 250.0
"""Interval between comparisons of the peers of a service."""

SPILL_LOAD = 1.0
"""Load per slot of the own zone from which another zone is considered."""

SPILL_MARGIN = 0.25
"""Load per slot by which an endpoint of another zone must be better."""

AFFINITY_FACTOR = 1.25
"""Load, relative to the alternative, up to which a cached prefix decides."""

AFFINITY_MARGIN = 0.25
"""Load per slot beyond that, so that idle endpoints do not differ by one request."""

LOAD_HALF_LIFE_MS = MS_PER_SECOND
"""Age at which a load report counts half."""

RETRY_AFTER_MS = 1000.0
"""Retry-After when no endpoint is usable; members change within seconds."""

DEFAULT_SLOTS = 8
"""Slots of an endpoint that has not reported yet."""


LOWER_WORK_WEIGHT = 0.25
"""Weight of lower classes' work: it gives way, but shares the batch until it does."""


@dataclass(slots=True)
class _Report:
    """A load report and our outstanding work there when it was measured."""

    load: ReportedLoad
    measured_ms: float
    own_by_priority: dict[int, int]


class _Endpoint:
    """What this entry knows of one endpoint."""

    __slots__ = ("health", "info", "own_by_priority", "report")

    def __init__(self, info: EndpointInfo, health: EndpointHealth) -> None:
        self.info = info
        self.health = health
        self.report: _Report | None = None
        self.own_by_priority: dict[int, int] = {}

    @property
    def slots(self) -> int:
        """Return the reported number of slots, or a default before a report."""
        return max(1, self.report.load.slots) if self.report else DEFAULT_SLOTS

    def local_load(self, priority: int) -> float:
        """Return our outstanding work that a request of this priority waits for."""
        return weighted_load(self.own_by_priority.items(), priority, self.slots)


def weighted_load(
    counts: Iterable[tuple[int, int]], priority: int, slots: int
) -> float:
    """Return how much of (priority, count) pairs stands in a request's way.

    Lower work counts only as far as it can run beside the other work: what waits for a
    slot gives way, however much it is.

    >>> weighted_load([(0, 4), (1, 8)], 0, 8)
    5.0
    >>> weighted_load([(0, 4), (1, 8)], 1, 8)
    12.0
    """
    rows = list(counts)
    ahead = sum(count for other, count in rows if other <= priority)
    lower = sum(count for other, count in rows if other > priority)
    return ahead + LOWER_WORK_WEIGHT * min(lower, max(0, slots - ahead))


class EndpointChooser:
    """Power of two choices over the subset, own zone first, prefix with bounded load.

    The load of an endpoint is our own outstanding work there plus what its last report
    shows of others, at a weight that halves with each second of its age, divided by
    slots and by the weight of its slow start. One choice takes O(subset).
    """

    def __init__(self, local_zone: str, rng: Random) -> None:
        self._local_zone = local_zone
        self._rng = rng
        self._endpoint_by_id: dict[str, _Endpoint] = {}
        self._ids_by_service: dict[str, list[str]] = {}
        self._priority_by_class: dict[str, int] = {}
        self._prefixes = PrefixIndex()
        self._comparison = PeerComparison()
        self._checked_ms = float("-inf")

    def set_endpoints(self, endpoints: tuple[EndpointInfo, ...], now_ms: float) -> None:
        """Replace the set of endpoints; new ones start slowly, but not all at once."""
        old_by_id = self._endpoint_by_id
        self._endpoint_by_id = {}
        self._ids_by_service = {}
        for info in endpoints:
            known = old_by_id.get(info.endpoint_id)
            if known is None:
                known = _Endpoint(info, EndpointHealth(now_ms, bool(old_by_id)))
            known.info = info
            self._endpoint_by_id[info.endpoint_id] = known
            ids = self._ids_by_service.setdefault(info.service, [])
            ids.append(info.endpoint_id)

    def on_load(self, endpoint_id: str, load: ReportedLoad, now_ms: float) -> None:
        """Record a load report."""
        endpoint = self._endpoint_by_id.get(endpoint_id)
        if endpoint is not None:
            own = dict(endpoint.own_by_priority)
            endpoint.health.reported_ms_per_token = load.ms_per_token
            endpoint.report = _Report(load, now_ms - load.age_ms, own)

    def choose(
        self, request: RouteRequest, now_ms: float, exclude: frozenset[str]
    ) -> Chosen | NoEndpoint:
        """Choose an endpoint that is not in `exclude`."""
        self._check_health(now_ms)
        ids = self._ids_by_service.get(request.service, [])
        known = [self._endpoint_by_id[name] for name in ids if name not in exclude]
        able = [endpoint for endpoint in known if _is_able(endpoint, request)]
        well = [item for item in able if not item.health.is_ejected(now_ms)]
        # An ejected endpoint is better than none.
        pool = well or able
        if not pool:
            reason = f"no endpoint of {request.service} is ready"
            return NoEndpoint(reason, RETRY_AFTER_MS * (1.0 + self._rng.random()))
        load, best = self._best(pool, request.priority, now_ms)
        cached = self._cached(pool, request, now_ms)
        if cached is not None:
            bound = AFFINITY_FACTOR * load + AFFINITY_MARGIN
            if self._load(cached, request.priority, now_ms) <= bound:
                best = cached
        return Chosen(best.info.endpoint_id)

    def _best(
        self, pool: list[_Endpoint], priority: int, now_ms: float
    ) -> tuple[float, _Endpoint]:
        """Return load and endpoint: own zone, or another one if that is full."""
        near = [item for item in pool if item.info.zone == self._local_zone]
        if not near:
            return self._better_of_two(pool, priority, now_ms)
        load, best = self._better_of_two(near, priority, now_ms)
        if load < SPILL_LOAD or len(near) == len(pool):
            return load, best
        far = [item for item in pool if item.info.zone != self._local_zone]
        far_load, far_best = self._better_of_two(far, priority, now_ms)
        if far_load + SPILL_MARGIN < load:
            return far_load, far_best
        return load, best

    def _better_of_two(
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
        """Return the work per slot ahead of a request of this priority."""
        count = endpoint.local_load(priority)
        slots = endpoint.slots
        report = endpoint.report
        if report is not None:
            age_ms = max(0.0, now_ms - report.measured_ms)
            own = weighted_load(report.own_by_priority.items(), priority, slots)
            others = max(0.0, self._reported(report.load, priority) - own)
            count += others * 0.5 ** (age_ms / LOAD_HALF_LIFE_MS)
        weight = endpoint.health.weight(now_ms)
        # One is added so that the weight counts for idle endpoints, too.
        return ((count + 1.0) / weight - 1.0) / slots

    def _reported(self, load: ReportedLoad, priority: int) -> float:
        """Return the reported work that a request of this priority waits for."""
        priority_of = self._priority_by_class.get
        rows = [*load.waiting_by_class, *load.running_by_class]
        counts = [(priority_of(name, priority), count) for name, count in rows]
        if not load.running_by_class:
            counts.append((priority, load.running))
        return weighted_load(counts, priority, max(1, load.slots))

    def _cached(
        self, pool: list[_Endpoint], request: RouteRequest, now_ms: float
    ) -> _Endpoint | None:
        """Return the usable endpoint that holds the longest prefix."""
        if not request.prefix_keys:
            return None
        ids = {endpoint.info.endpoint_id for endpoint in pool}
        found = None
        for index, name in self._prefixes.holders(request.prefix_keys, now_ms):
            if found is not None and index < found[0]:
                break
            if name in ids:
                endpoint = self._endpoint_by_id[name]
                load = self._load(endpoint, request.priority, now_ms)
                if found is None or load < found[1]:
                    found = (index, load, endpoint)
        return found[2] if found else None

    def _check_health(self, now_ms: float) -> None:
        if now_ms - self._checked_ms < CHECK_INTERVAL_MS:
            return
        self._checked_ms = now_ms
        for ids in self._ids_by_service.values():
            peers = [self._endpoint_by_id[name].health for name in ids]
            self._comparison.eject_outliers(peers, now_ms)

    def on_sent(self, endpoint_id: str, request: RouteRequest, now_ms: float) -> None:
        """Record that a request was sent."""
        self._priority_by_class[request.class_name] = request.priority
        endpoint = self._endpoint_by_id.get(endpoint_id)
        if endpoint is not None:
            endpoint.health.on_sent(now_ms)
            own = endpoint.own_by_priority
            own[request.priority] = own.get(request.priority, 0) + 1
            for prefix_key in request.prefix_keys:
                self._prefixes.add(prefix_key, endpoint_id, now_ms)

    def on_first_token(self, endpoint_id: str, wait_ms: float, now_ms: float) -> None:
        """Record the time to the first token of a request."""
        endpoint = self._endpoint_by_id.get(endpoint_id)
        if endpoint is not None:
            endpoint.health.on_first_token(now_ms)

    def on_tokens(self, endpoint_id: str, tokens: int, now_ms: float) -> None:
        """Record tokens received, for the comparison of peers."""
        endpoint = self._endpoint_by_id.get(endpoint_id)
        if endpoint is not None:
            endpoint.health.on_tokens(tokens, now_ms)

    def on_ended(
        self, endpoint_id: str, request: RouteRequest, ok: bool, now_ms: float
    ) -> None:
        """Record that a request sent there has ended; `ok` False is a failure there.

        A refusal by the sidecar is no failure: pass `ok` True for it.
        """
        endpoint = self._endpoint_by_id.get(endpoint_id)
        if endpoint is not None:
            endpoint.health.on_ended(ok, now_ms)
            own = endpoint.own_by_priority
            own[request.priority] = max(0, own.get(request.priority, 0) - 1)

    def on_cache_event(
        self, endpoint_id: str, prefix_key: int, stored: bool, now_ms: float
    ) -> None:
        """Record that a prefix was stored or evicted at an endpoint."""
        if stored:
            self._prefixes.add(prefix_key, endpoint_id, now_ms)
        else:
            self._prefixes.remove(prefix_key, endpoint_id)

    def is_ejected(self, endpoint_id: str, now_ms: float) -> bool:
        """Return whether an endpoint gets no new work; its queued work may be moved."""
        endpoint = self._endpoint_by_id.get(endpoint_id)
        return endpoint is not None and endpoint.health.is_ejected(now_ms)

    def endpoints(
        self, now_ms: float
    ) -> Iterator[tuple[EndpointInfo, ReportedLoad | None, bool]]:
        """Yield each endpoint, its last report, and whether it gets no new work."""
        for endpoint in self._endpoint_by_id.values():
            load = endpoint.report.load if endpoint.report else None
            yield endpoint.info, load, endpoint.health.is_ejected(now_ms)

    def load_of(self, endpoint_id: str, priority: int, now_ms: float) -> float:
        """Return the estimated work per slot; infinite for an unknown endpoint."""
        endpoint = self._endpoint_by_id.get(endpoint_id)
        if endpoint is None:
            return float("inf")
        return self._load(endpoint, priority, now_ms)


def _is_able(endpoint: _Endpoint, request: RouteRequest) -> bool:
    """Return whether the endpoint is ready and serves the model."""
    report = endpoint.report
    if report is not None and not report.load.ready:
        return False
    models = endpoint.info.models
    return not request.model or not models or request.model in models
