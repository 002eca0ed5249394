"""Policies of an experiment: the product's decisions and three baselines.

All run the same arrivals on the same engines. A baseline differs in how an endpoint is
chosen and in the order of its queue; it refuses nothing and pauses nothing.
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
    """How a run decides.

    `resumes` says whether a request whose engine died goes on from the tokens already
    delivered, or starts again.
    """

    name: str
    make_queue: Callable[[Catalog, EngineConfig, str, Random], EndpointQueueDecisions]
    make_choice: Callable[[str, Random], EndpointChoice]
    resumes: bool


POLICIES: Registry[Policy] = Registry("policy")
"""Policies by name."""

DEFAULT_POLICIES = ("fifo", "round-robin", "least-reported", "ours")
"""Policies of an experiment that names none."""


class FifoQueue:
    """First come, first served, without refusal or pause."""

    def __init__(self, slots: int) -> None:
        self._slots = slots
        self._waiting: deque[AttemptSpec] = deque()
        self._running: set[AttemptKey] = set()

    def set_catalog(self, catalog: Catalog) -> None:
        """Ignore the text: all classes are alike."""

    def set_slots(self, slots: int) -> None:
        """Change the number of attempts that run at a time."""
        self._slots = slots

    def offer(self, item: AttemptSpec, now_ms: float) -> Admitted | Rejected:
        """Admit everything."""
        self._waiting.append(item)
        return Admitted(len(self._waiting) - 1)

    def actions(self, now_ms: float) -> Iterator[QueueAction]:
        """Start what has a slot."""
        while self._waiting and len(self._running) < self._slots:
            item = self._waiting.popleft()
            self._running.add(item.key)
            yield StartAttempt(item)

    def on_tokens(self, key: AttemptKey, tokens: int, now_ms: float) -> None:
        """Ignore progress."""

    def on_done(self, key: AttemptKey, now_ms: float) -> None:
        """Free the slot."""
        self._running.discard(key)

    def withdraw(self, key: AttemptKey) -> bool:
        """Give waiting work back."""
        for item in self._waiting:
            if item.key == key:
                self._waiting.remove(item)
                return True
        return False

    def report(self, now_ms: float) -> QueueReport:
        """Return the present state."""
        count = len(self._waiting)
        waiting = (("all", count),) if count else ()
        return QueueReport(
            len(self._running), 0, self._slots, waiting, 0.0, 0.0, 100 * count
        )


class _Baseline:
    """Parts that the baselines' choices share."""

    def __init__(self, own_zone: str, rng: Random) -> None:
        self._rng = rng
        self._endpoint_ids: tuple[str, ...] = ()
        self._outstanding_by_id: dict[str, int] = {}
        self._load_by_id: dict[str, ReportedLoad] = {}
        self._next = 0

    def set_endpoints(self, endpoints: tuple[EndpointInfo, ...], now_ms: float) -> None:
        """Replace the endpoints."""
        self._endpoint_ids = tuple(each.endpoint_id for each in endpoints)

    def on_load(self, endpoint_id: str, load: ReportedLoad, now_ms: float) -> None:
        """Keep the last report."""
        self._load_by_id[endpoint_id] = load

    def choose(
        self, request: RouteRequest, now_ms: float, exclude: frozenset[str]
    ) -> Chosen | NoEndpoint:
        """Choose among the endpoints that report to be ready."""
        usable = [
            each
            for each in self._endpoint_ids
            if each not in exclude and self._is_ready(each)
        ]
        return Chosen(self._pick(usable)) if usable else NoEndpoint("none", 1000.0)

    def _is_ready(self, endpoint_id: str) -> bool:
        load = self._load_by_id.get(endpoint_id)
        return load is None or load.ready

    def _pick(self, usable: list[str]) -> str:
        raise NotImplementedError

    def on_sent(self, endpoint_id: str, request: RouteRequest, now_ms: float) -> None:
        """Count outstanding work."""
        count = self._outstanding_by_id.get(endpoint_id, 0)
        self._outstanding_by_id[endpoint_id] = count + 1

    def on_first_token(self, endpoint_id: str, wait_ms: float, now_ms: float) -> None:
        """Ignore it."""

    def on_tokens(self, endpoint_id: str, tokens: int, now_ms: float) -> None:
        """Ignore them."""

    def on_ended(
        self, endpoint_id: str, request: RouteRequest, ok: bool, now_ms: float
    ) -> None:
        """Count outstanding work."""
        self._outstanding_by_id[endpoint_id] -= 1

    def on_cache_event(
        self, endpoint_id: str, prefix_key: int, stored: bool, now_ms: float
    ) -> None:
        """Ignore it."""


class LeastOutstanding(_Baseline):
    """The better of two random endpoints by own outstanding work."""

    def _pick(self, usable: list[str]) -> str:
        pair = self._rng.sample(usable, min(2, len(usable)))
        return min(pair, key=lambda each: self._outstanding_by_id.get(each, 0))


class RoundRobin(_Baseline):
    """One endpoint after another."""

    def _pick(self, usable: list[str]) -> str:
        self._next += 1
        return usable[self._next % len(usable)]


class LeastReported(_Baseline):
    """The endpoint with the least work in its last report."""

    def _pick(self, usable: list[str]) -> str:
        return min(usable, key=lambda each: (self._reported(each), self._rng.random()))

    def _reported(self, endpoint_id: str) -> int:
        load = self._load_by_id.get(endpoint_id)
        if load is None:
            return 0
        return load.running + sum(count for _, count in load.waiting_by_class)


TrueWait = Callable[[str, int, float], float]
"""The wait at an endpoint, by endpoint, priority and time; from known lengths."""


class OracleChoice(LeastOutstanding):
    """The endpoint whose slots are free first, by the present load and true lengths.

    No product can know these. It shows what a better choice could still gain.
    """

    def connect(self, true_wait: TrueWait) -> None:
        """Use this source of knowledge."""
        self._true_wait = true_wait

    def choose(
        self, request: RouteRequest, now_ms: float, exclude: frozenset[str]
    ) -> Chosen | NoEndpoint:
        """Choose the endpoint with the least wait."""
        wait_by_id = {
            each: self._true_wait(each, request.priority, now_ms)
            for each in self._endpoint_ids
            if each not in exclude
        }
        best = min(wait_by_id, key=wait_by_id.__getitem__, default="")
        if not best or wait_by_id[best] == float("inf"):
            return NoEndpoint("none", 1000.0)
        return Chosen(best)


class NoAffinityChooser(EndpointChooser):
    """The product's choice without regard to cached prefixes."""

    def choose(
        self, request: RouteRequest, now_ms: float, exclude: frozenset[str]
    ) -> Chosen | NoEndpoint:
        """Choose as for a request without a known prefix."""
        return super().choose(replace(request, prefix_keys=()), now_ms, exclude)


def _fifo(
    catalog: Catalog, config: EngineConfig, service: str, rng: Random
) -> FifoQueue:
    return FifoQueue(config.slots)


def _own_queue(
    catalog: Catalog, config: EngineConfig, service: str, rng: Random
) -> EndpointQueueDecisions:
    transfer_ms = MS_PER_SECOND / config.kv_transfer_tokens_per_s
    room = int(config.kv_limit_tokens * PAUSED_KV_SHARE)
    costs = KvCosts(transfer_ms, transfer_ms, room, config.kv_limit_tokens)
    return EndpointQueue(catalog, config.slots, rng, costs, service)


POLICIES.register("fifo")(Policy("fifo", _fifo, LeastOutstanding, resumes=False))
POLICIES.register("round-robin")(
    Policy("round-robin", _fifo, RoundRobin, resumes=False)
)
POLICIES.register("least-reported")(
    Policy("least-reported", _fifo, LeastReported, resumes=False)
)
POLICIES.register("ours")(Policy("ours", _own_queue, EndpointChooser, resumes=True))
POLICIES.register("oracle")(Policy("oracle", _own_queue, OracleChoice, resumes=True))
POLICIES.register("ours-no-affinity")(
    Policy("ours-no-affinity", _own_queue, NoAffinityChooser, resumes=True)
)
