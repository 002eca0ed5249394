"""One simulated endpoint: an engine model and the decisions of its queue."""

from collections.abc import Callable
from dataclasses import dataclass
from heapq import heapreplace
from typing import Protocol

from wigeonwind.decisions.interfaces import (
    Admitted,
    AttemptKey,
    AttemptSpec,
    EndpointQueueDecisions,
    ExpireAttempt,
    PauseAttempt,
    Rejected,
    ReportedLoad,
    ResumeAttempt,
    StartAttempt,
)
from wigeonwind.experiments.scenario import Arrival
from wigeonwind.standins.engine_model import EngineModel
from wigeonwind.standins.engine_types import (
    CacheEvent,
    EngineRequest,
    RequestAccepted,
    RequestDone,
    RequestLost,
    RequestProgress,
    TokensProduced,
)

PROGRESS_INTERVAL_MS = 100.0
"""Interval at which generated tokens are reported to the queue. The daemon reports each
token; the difference only delays the detection of long answers."""


@dataclass(frozen=True)
class Attempt:
    """One attempt of an arrival at an endpoint."""

    arrival: Arrival
    spec: AttemptSpec
    priority: int


class AttemptObserver(Protocol):
    """Receives the events of attempts, in order of time."""

    def on_started(self, attempt: Attempt, at_ms: float) -> None:
        """Record that the engine has accepted the request."""
        ...

    def on_tokens(self, attempt: Attempt, tokens: TokensProduced) -> None:
        """Record tokens of the answer."""
        ...

    def on_done(self, attempt: Attempt, done: RequestDone) -> None:
        """Record the end of a complete answer."""
        ...

    def on_lost(self, attempt: Attempt, at_ms: float, started: bool) -> None:
        """Record that the attempt ended without a complete answer.

        `started` says whether the engine had accepted it.
        """
        ...

    def on_refused(self, attempt: Attempt, rejected: Rejected, at_ms: float) -> None:
        """Record that the attempt was refused and certainly not run."""
        ...

    def on_dropped(self, attempt: Attempt, tokens: int) -> None:
        """Record KV cache tokens dropped by a pause."""
        ...


class SimulatedEndpoint:
    """Drives one engine and its queue.

    `schedule(at_ms, callback)` calls `callback` at the virtual time `at_ms`.
    """

    def __init__(
        self,
        endpoint_id: str,
        zone: str,
        engine: EngineModel,
        queue: EndpointQueueDecisions,
        observer: AttemptObserver,
        schedule: Callable[[float, Callable[[float], None]], None],
    ) -> None:
        self.endpoint_id = endpoint_id
        self.zone = zone
        self.engine = engine
        self.queue = queue
        self._observer = observer
        self._schedule = schedule
        self._attempt_by_key: dict[AttemptKey, Attempt] = {}
        self._key_by_engine_id: dict[str, AttemptKey] = {}
        self._tokens_by_key: dict[AttemptKey, int] = {}
        self.slowdown = 1.0
        self._next_wake_ms: float | None = None
        self._cache_seq = 0

    def offer(self, attempt: Attempt, now_ms: float) -> bool:
        """Add an attempt to the queue; False if it is refused or the engine is down."""
        self._process_engine_events(now_ms)
        if self.engine.crashed:
            self._observer.on_lost(attempt, now_ms, started=False)
            return False
        decision = self.queue.offer(attempt.spec, now_ms)
        if not isinstance(decision, Admitted):
            self._observer.on_refused(attempt, decision, now_ms)
            return False
        self._attempt_by_key[attempt.spec.key] = attempt
        self._run_actions(now_ms)
        return True

    def cancel(self, key: AttemptKey, now_ms: float) -> None:
        """Cancel an attempt whose caller has timed out."""
        self._process_engine_events(now_ms)
        if key not in self._attempt_by_key:
            return
        if not self.queue.withdraw(key):
            self.engine.cancel(_engine_id(key), now_ms)
            self.queue.on_done(key, now_ms)
        self._forget(key)
        self._run_actions(now_ms)

    def withdraw(self, key: AttemptKey, now_ms: float) -> bool:
        """Remove a queued attempt; False if it has started or is unknown."""
        self._process_engine_events(now_ms)
        if key not in self._attempt_by_key or not self.queue.withdraw(key):
            return False
        self._forget(key)
        return True

    def load(self, now_ms: float) -> ReportedLoad:
        """Return the load report for the entries; the engine's figures lag."""
        self._process_engine_events(now_ms)
        self._run_actions(now_ms)
        engine_load = self.engine.load_report(now_ms)
        report = self.queue.report(now_ms)
        ready = not self.engine.crashed
        age_ms = now_ms - engine_load.measured_at_ms
        return ReportedLoad(
            engine_load.running,
            report.slots,
            report.waiting_by_class,
            age_ms,
            report.ms_per_token,
            report.ms_to_first_token,
            report.queued_tokens,
            ready,
            report.running_by_class,
        )

    def new_cache_events(self, now_ms: float) -> tuple[CacheEvent, ...]:
        """Return the cache events that became visible since the last call."""
        batch = self.engine.cache_events(self._cache_seq, now_ms)
        self._cache_seq = batch.next_seq
        return batch.events

    def true_wait(self, priority: int, now_ms: float) -> float:
        """Return the wait for a slot, computed from the true answer lengths.

        The unit is the time for one token of one answer; infinite if the engine has
        crashed. Only for the oracle policy.
        """
        self._process_engine_events(now_ms)
        if self.engine.crashed:
            return float("inf")
        slot_free_at = [0.0] * self.engine.config.slots
        for attempt in self._attempt_by_key.values():
            if attempt.priority <= priority:
                remaining = attempt.arrival.output_tokens
                remaining -= self._tokens_by_key.get(attempt.spec.key, 0)
                heapreplace(slot_free_at, slot_free_at[0] + remaining)
        # The second term ranks endpoints with a free slot by their remaining tokens.
        return (slot_free_at[0] + 1e-3 * sum(slot_free_at)) * self.slowdown

    def crash(self, now_ms: float) -> None:
        """Crash the engine; queued attempts are reported as certainly not run."""
        self._process_engine_events(now_ms)
        self.engine.crash(now_ms)
        self._process_engine_events(now_ms)
        for key, attempt in list(self._attempt_by_key.items()):
            if self.queue.withdraw(key):
                self._forget(key)
                self._observer.on_lost(attempt, now_ms, started=False)

    def _run_actions(self, now_ms: float) -> None:
        for action in self.queue.due_actions(now_ms):
            key = action.spec.key
            attempt = self._attempt_by_key[key]
            if isinstance(action, StartAttempt):
                self._start(attempt, now_ms)
            elif isinstance(action, PauseAttempt):
                self._pause(attempt, action.kv, now_ms)
            elif isinstance(action, ResumeAttempt):
                self.engine.resume(_engine_id(key), now_ms)
            elif isinstance(action, ExpireAttempt):
                self._forget(key)
                self._observer.on_refused(attempt, action.rejection, now_ms)
        self._schedule_wake(now_ms)

    def _start(self, attempt: Attempt, now_ms: float) -> None:
        key = attempt.spec.key
        arrival = attempt.arrival
        request = EngineRequest(
            _engine_id(key),
            arrival.prompt_tokens,
            arrival.output_tokens,
            attempt.priority,
            arrival.prefix_keys,
            attempt.spec.resume_tokens,
        )
        self._key_by_engine_id[request.request_id] = key
        response = self.engine.submit(request, now_ms)
        if isinstance(response, RequestAccepted):
            self._observer.on_started(attempt, now_ms)
            return
        self.queue.on_done(key, now_ms)
        self._forget(key)
        self._observer.on_lost(attempt, now_ms, started=False)

    def _pause(self, attempt: Attempt, kv: str, now_ms: float) -> None:
        stopped = self.engine.pause(_engine_id(attempt.spec.key), kv, now_ms)
        if isinstance(stopped, RequestProgress) and stopped.dropped_tokens:
            self._observer.on_dropped(attempt, stopped.dropped_tokens)

    def _process_engine_events(self, now_ms: float) -> None:
        """Advance the engine to `now_ms` and process its events."""
        for event in self.engine.advance(now_ms):
            key = self._key_by_engine_id[event.request_id]
            attempt = self._attempt_by_key.get(key)
            if attempt is None:
                continue
            if isinstance(event, TokensProduced):
                self._tokens_by_key[key] = event.index + event.count
                self.queue.on_tokens(key, event.count, event.last_ms)
                self._observer.on_tokens(attempt, event)
                continue
            self.queue.on_done(key, event.at_ms)
            self._forget(key)
            if isinstance(event, RequestDone):
                self._observer.on_done(attempt, event)
            else:
                assert isinstance(event, RequestLost)
                self._observer.on_lost(attempt, event.at_ms, started=True)

    def _forget(self, key: AttemptKey) -> None:
        del self._attempt_by_key[key]
        self._tokens_by_key.pop(key, None)
        self._key_by_engine_id.pop(_engine_id(key), None)

    def _schedule_wake(self, now_ms: float) -> None:
        """Wake at the next engine event, at the latest after `PROGRESS_INTERVAL_MS`."""
        if not self._attempt_by_key:
            return
        due_ms = now_ms + PROGRESS_INTERVAL_MS
        next_event_ms = self.engine.next_event_ms()
        if next_event_ms is not None:
            due_ms = min(due_ms, max(next_event_ms, now_ms))
        if self._next_wake_ms is None or due_ms < self._next_wake_ms:
            self._next_wake_ms = due_ms
            self._schedule(due_ms, self._on_wake)

    def _on_wake(self, now_ms: float) -> None:
        if self._next_wake_ms is None or now_ms < self._next_wake_ms:
            return
        self._next_wake_ms = None
        self._process_engine_events(now_ms)
        self._run_actions(now_ms)


def _engine_id(key: AttemptKey) -> str:
    return f"{key[0]}/{key[1]}"
