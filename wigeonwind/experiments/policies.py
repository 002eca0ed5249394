"""The policies that an experiment compares: the product, baselines and variants.

All policies get the same arrivals on the same engines. A baseline has its own choice of
endpoints and queue order; it refuses no request and pauses none.
"""

from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace
from random import Random

from wigeonwind.catalog import Catalog
from wigeonwind.clock import MS_PER_SECOND
from wigeonwind.decisions.choice import EndpointChooser
from wigeonwind.decisions.endpoint_queue import EndpointQueue
from wigeonwind.decisions.interfaces import (
    Admitted,
    AttemptKey,
    AttemptSpec,
    Chosen,
    EndpointChoice,
    EndpointInfo,
    EndpointQueueDecisions,
    NoEndpoint,
    QueueAction,
    QueueReport,
    Rejected,
    ReportedLoad,
    RouteRequest,
    StartAttempt,
)
from wigeonwind.decisions.preemption import PAUSED_KV_SHARE, KvCosts
from wigeonwind.registry import Registry
from wigeonwind.standins.engine_types import EngineConfig


@dataclass(frozen=True)
class Policy:
    """The decisions of a run.

    `make_queue(catalog, config, service, rng)` makes the queue of one endpoint and
    `make_choice(local_zone, rng)` the endpoint choice of one entry.
    `resumes` says whether a request whose engine crashed continues after the tokens
    already delivered or restarts from the beginning.
    """

    name: str
    make_queue: Callable[[Catalog, EngineConfig, str, Random], EndpointQueueDecisions]
    make_choice: Callable[[str, Random], EndpointChoice]
    resumes: bool


POLICIES: Registry[Policy] = Registry("policy")
"""Policies by name."""

DEFAULT_POLICIES = ("fifo", "round-robin", "least-reported", "ours")
"""Policies to compare when none are named."""


class FifoQueue:
    """First-in, first-out queue that never refuses or pauses an attempt."""

    def __init__(self, slots: int) -> None:
        self._slots = slots
        self._waiting: deque[AttemptSpec] = deque()
        self._running: set[AttemptKey] = set()

    def set_catalog(self, catalog: Catalog) -> None:
        """Ignore the configuration: all classes are treated alike."""

    def set_slots(self, slots: int) -> None:
        """Set the number of attempts that run concurrently."""
        self._slots = slots

    def offer(self, spec: AttemptSpec, now_ms: float) -> Admitted | Rejected:
        """Admit every attempt."""
        self._waiting.append(spec)
        return Admitted(len(self._waiting) - 1)

    def due_actions(self, now_ms: float) -> Iterator[QueueAction]:
        """Start queued attempts while there are free slots."""
        while self._waiting and len(self._running) < self._slots:
            spec = self._waiting.popleft()
            self._running.add(spec.key)
            yield StartAttempt(spec)

    def on_tokens(self, key: AttemptKey, tokens: int, now_ms: float) -> None:
        """Ignore generated tokens."""

    def on_done(self, key: AttemptKey, now_ms: float) -> None:
        """Free the slot."""
        self._running.discard(key)

    def withdraw(self, key: AttemptKey) -> bool:
        """Remove a queued attempt; False if it has started or is unknown."""
        for spec in self._waiting:
            if spec.key == key:
                self._waiting.remove(spec)
                return True
        return False

    def report(self, now_ms: float) -> QueueReport:
        """Return the current state of the queue."""
        queued = len(self._waiting)
        waiting_by_class = (("all", queued),) if queued else ()
        return QueueReport(
            len(self._running), 0, self._slots, waiting_by_class, 0.0, 0.0, 100 * queued
        )


class _BaselineChoice:
    """Common parts of the baselines' endpoint choices."""

    def __init__(self, local_zone: str, rng: Random) -> None:
        self._rng = rng
        self._endpoint_ids: tuple[str, ...] = ()
        self._in_flight_by_id: dict[str, int] = {}
        self._load_by_id: dict[str, ReportedLoad] = {}
        self._next_index = 0

    def set_endpoints(self, endpoints: tuple[EndpointInfo, ...], now_ms: float) -> None:
        """Replace the set of endpoints."""
        self._endpoint_ids = tuple(each.endpoint_id for each in endpoints)

    def on_load(self, endpoint_id: str, load: ReportedLoad, now_ms: float) -> None:
        """Record the most recent load report."""
        self._load_by_id[endpoint_id] = load

    def choose(
        self, request: RouteRequest, now_ms: float, exclude: frozenset[str]
    ) -> Chosen | NoEndpoint:
        """Choose among the endpoints that are not reported as unready."""
        candidates = [
            each
            for each in self._endpoint_ids
            if each not in exclude and self._is_ready(each)
        ]
        return (
            Chosen(self._select(candidates))
            if candidates
            else NoEndpoint("none", 1000.0)
        )

    def _is_ready(self, endpoint_id: str) -> bool:
        load = self._load_by_id.get(endpoint_id)
        return load is None or load.ready

    def _select(self, candidates: list[str]) -> str:
        raise NotImplementedError

    def on_sent(self, endpoint_id: str, request: RouteRequest, now_ms: float) -> None:
        """Count the request as in flight at the endpoint."""
        in_flight = self._in_flight_by_id.get(endpoint_id, 0)
        self._in_flight_by_id[endpoint_id] = in_flight + 1

    def on_first_token(self, endpoint_id: str, wait_ms: float, now_ms: float) -> None:
        """Ignore first tokens."""

    def on_tokens(self, endpoint_id: str, tokens: int, now_ms: float) -> None:
        """Ignore generated tokens."""

    def on_ended(
        self, endpoint_id: str, request: RouteRequest, ok: bool, now_ms: float
    ) -> None:
        """Count the request as ended."""
        self._in_flight_by_id[endpoint_id] -= 1

    def on_cache_event(
        self, endpoint_id: str, prefix_key: int, stored: bool, now_ms: float
    ) -> None:
        """Ignore cache events."""


class LeastOutstanding(_BaselineChoice):
    """Power of two choices by the number of requests in flight from this entry."""

    def _select(self, candidates: list[str]) -> str:
        pair = self._rng.sample(candidates, min(2, len(candidates)))
        return min(pair, key=lambda each: self._in_flight_by_id.get(each, 0))


class RoundRobin(_BaselineChoice):
    """Each endpoint in turn."""

    def _select(self, candidates: list[str]) -> str:
        self._next_index += 1
        return candidates[self._next_index % len(candidates)]


class LeastReported(_BaselineChoice):
    """The endpoint with the fewest attempts in its last load report."""

    def _select(self, candidates: list[str]) -> str:
        return min(
            candidates,
            key=lambda each: (self._reported_attempts(each), self._rng.random()),
        )

    def _reported_attempts(self, endpoint_id: str) -> int:
        load = self._load_by_id.get(endpoint_id)
        if load is None:
            return 0
        return load.running + sum(count for _, count in load.waiting_by_class)


WaitFunction = Callable[[str, int, float], float]
"""Returns the wait for a slot by endpoint id, priority and time in ms.

The unit is the time for one token of one answer; only comparisons matter.
"""


class OracleChoice(LeastOutstanding):
    """The endpoint with the shortest wait by its current load and true answer lengths.

    No real router knows the lengths. The oracle bounds what a better choice could gain.
    """

    def set_wait_function(self, wait_function: WaitFunction) -> None:
        """Set the function that returns the wait at an endpoint."""
        self._wait_function = wait_function

    def choose(
        self, request: RouteRequest, now_ms: float, exclude: frozenset[str]
    ) -> Chosen | NoEndpoint:
        """Choose the endpoint with the shortest wait."""
        wait_by_id = {
            each: self._wait_function(each, request.priority, now_ms)
            for each in self._endpoint_ids
            if each not in exclude
        }
        best = min(wait_by_id, key=wait_by_id.__getitem__, default="")
        if not best or wait_by_id[best] == float("inf"):
            return NoEndpoint("none", 1000.0)
        return Chosen(best)


class NoAffinityChooser(EndpointChooser):
    """The product's endpoint choice without prefix affinity."""

    def choose(
        self, request: RouteRequest, now_ms: float, exclude: frozenset[str]
    ) -> Chosen | NoEndpoint:
        """Choose as for a request without prefix keys."""
        return super().choose(replace(request, prefix_keys=()), now_ms, exclude)


def _make_fifo_queue(
    catalog: Catalog, config: EngineConfig, service: str, rng: Random
) -> FifoQueue:
    return FifoQueue(config.slots)


def _make_endpoint_queue(
    catalog: Catalog, config: EngineConfig, service: str, rng: Random
) -> EndpointQueueDecisions:
    transfer_ms_per_token = MS_PER_SECOND / config.kv_transfer_tokens_per_s
    paused_kv_tokens = int(config.kv_limit_tokens * PAUSED_KV_SHARE)
    costs = KvCosts(
        transfer_ms_per_token,
        transfer_ms_per_token,
        paused_kv_tokens,
        config.kv_limit_tokens,
    )
    return EndpointQueue(catalog, config.slots, rng, costs, service)


POLICIES.register("fifo")(
    Policy("fifo", _make_fifo_queue, LeastOutstanding, resumes=False)
)
POLICIES.register("round-robin")(
    Policy("round-robin", _make_fifo_queue, RoundRobin, resumes=False)
)
POLICIES.register("least-reported")(
    Policy("least-reported", _make_fifo_queue, LeastReported, resumes=False)
)
POLICIES.register("ours")(
    Policy("ours", _make_endpoint_queue, EndpointChooser, resumes=True)
)
POLICIES.register("oracle")(
    Policy("oracle", _make_endpoint_queue, OracleChoice, resumes=True)
)
POLICIES.register("ours-no-affinity")(
    Policy("ours-no-affinity", _make_endpoint_queue, NoAffinityChooser, resumes=True)
)
