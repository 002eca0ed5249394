"""One endpoint of a run: an engine model and the queue decisions before it."""

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
    RequestStopped,
    TokensProduced,
)

POLL_MS = 100.0
"""Interval at which progress is reported to the queue; the daemon reports every token,
which changes only how soon a long answer is seen to be long."""


@dataclass(frozen=True)
class Attempt:
    """One attempt of an arrival at an endpoint."""

    arrival: Arrival
    item: AttemptSpec
    priority: int


class AttemptEvents(Protocol):
    """Receiver of what becomes of attempts, in the order of time."""

    def on_started(self, attempt: Attempt, at_ms: float) -> None:
        """Note that the engine has the request."""
        ...

    def on_tokens(self, attempt: Attempt, tokens: TokensProduced) -> None:
        """Note tokens of the answer."""
        ...

    def on_done(self, attempt: Attempt, done: RequestDone) -> None:
        """Note the whole answer."""
        ...

    def on_lost(self, attempt: Attempt, at_ms: float, started: bool) -> None:
        """Note that the attempt ended without a whole answer."""
        ...

    def on_refused(self, attempt: Attempt, rejected: Rejected, at_ms: float) -> None:
        """Note that the attempt was refused or given back, certainly not run."""
        ...

    def on_dropped(self, attempt: Attempt, tokens: int) -> None:
        """Note cache contents discarded by a pause."""
        ...


class SimulatedEndpoint:
    """Drives one engine and its queue; `schedule(at_ms, call)` is the run's timer."""

    def __init__(
        self,
        endpoint_id: str,
        zone: str,
        engine: EngineModel,
        queue: EndpointQueueDecisions,
        events: AttemptEvents,
        schedule: Callable[[float, Callable[[float], None]], None],
    ) -> None:
        self.endpoint_id = endpoint_id
        self.zone = zone
        self.engine = engine
        self.queue = queue
        self._events = events
        self._schedule = schedule
        self._attempt_by_key: dict[AttemptKey, Attempt] = {}
        self._key_by_engine_id: dict[str, AttemptKey] = {}
        self._tokens_by_key: dict[AttemptKey, int] = {}
        self.straggle = 1.0
        self._wake_ms: float | None = None
        self._cache_seq = 0

    def offer(self, attempt: Attempt, now_ms: float) -> bool:
        """Take an attempt into the queue; False if it was refused."""
        self._collect(now_ms)
        if self.engine.crashed:
            self._events.on_lost(attempt, now_ms, started=False)
            return False
        answer = self.queue.offer(attempt.item, now_ms)
        if not isinstance(answer, Admitted):
            self._events.on_refused(attempt, answer, now_ms)
            return False
        self._attempt_by_key[attempt.item.key] = attempt
        self._act(now_ms)
        return True

    def cancel(self, key: AttemptKey, now_ms: float) -> None:
        """Drop an attempt whose caller has gone."""
        self._collect(now_ms)
        if key not in self._attempt_by_key:
            return
        if not self.queue.withdraw(key):
            self.engine.cancel(_engine_id(key), now_ms)
            self.queue.on_done(key, now_ms)
        self._forget(key)
        self._act(now_ms)

    def withdraw(self, key: AttemptKey, now_ms: float) -> bool:
        """Give a waiting attempt back; True if it was waiting."""
        self._collect(now_ms)
        if key not in self._attempt_by_key or not self.queue.withdraw(key):
            return False
        self._forget(key)
        return True

    def load(self, now_ms: float) -> ReportedLoad:
        """Return the report an entry gets; the engine's part lags."""
        self._collect(now_ms)
        self._act(now_ms)
        engine = self.engine.load_report(now_ms)
        queue = self.queue.report(now_ms)
        ready = not self.engine.crashed
        age_ms = now_ms - engine.measured_at_ms
        return ReportedLoad(
            engine.running,
            queue.slots,
            queue.waiting_by_class,
            age_ms,
            queue.ms_per_token,
            queue.ms_to_first_token,
            queue.queued_tokens,
            ready,
            queue.running_by_class,
        )

    def new_cache_events(self, now_ms: float) -> tuple[CacheEvent, ...]:
        """Return cache events that have become known since the last call."""
        batch = self.engine.cache_events(self._cache_seq, now_ms)
        self._cache_seq = batch.next_seq
        return batch.events

    def true_wait(self, priority: int, now_ms: float) -> float:
        """Return the time until an attempt would get a slot, from known lengths.

        In tokens of one answer; infinite if the engine is dead. Only for an oracle.
        """
        self._collect(now_ms)
        if self.engine.crashed:
            return float("inf")
        free = [0.0] * self.engine.config.slots
        for attempt in self._attempt_by_key.values():
            if attempt.priority <= priority:
                left = attempt.arrival.output_tokens
                left -= self._tokens_by_key.get(attempt.item.key, 0)
                heapreplace(free, free[0] + left)
        # Among endpoints with a free slot, the one with the least work is the best.
        return (free[0] + 1e-3 * sum(free)) * self.straggle

    def crash(self, now_ms: float) -> None:
        """Let the engine die; waiting work is handed back, certainly not run."""
        self._collect(now_ms)
        self.engine.crash(now_ms)
        self._collect(now_ms)
        for key, attempt in list(self._attempt_by_key.items()):
            if self.queue.withdraw(key):
                self._forget(key)
                self._events.on_lost(attempt, now_ms, started=False)

    def _act(self, now_ms: float) -> None:
        for action in self.queue.actions(now_ms):
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
                self._events.on_refused(attempt, action.rejection, now_ms)
        self._set_wake(now_ms)

    def _start(self, attempt: Attempt, now_ms: float) -> None:
        key = attempt.item.key
        arrival = attempt.arrival
        request = EngineRequest(
            _engine_id(key),
            arrival.prompt_tokens,
            arrival.output_tokens,
            attempt.priority,
            arrival.prefix_keys,
            attempt.item.resume_tokens,
        )
        self._key_by_engine_id[request.request_id] = key
        answer = self.engine.submit(request, now_ms)
        if isinstance(answer, RequestAccepted):
            self._events.on_started(attempt, now_ms)
            return
        self.queue.on_done(key, now_ms)
        self._forget(key)
        self._events.on_lost(attempt, now_ms, started=False)

    def _pause(self, attempt: Attempt, kv: str, now_ms: float) -> None:
        stopped = self.engine.pause(_engine_id(attempt.item.key), kv, now_ms)
        if isinstance(stopped, RequestStopped) and stopped.dropped_tokens:
            self._events.on_dropped(attempt, stopped.dropped_tokens)

    def _collect(self, now_ms: float) -> None:
        """Take the engine's events up to `now_ms`."""
        for event in self.engine.advance(now_ms):
            key = self._key_by_engine_id[event.request_id]
            attempt = self._attempt_by_key.get(key)
            if attempt is None:
                continue
            if isinstance(event, TokensProduced):
                self._tokens_by_key[key] = event.index + event.count
                self.queue.on_tokens(key, event.count, event.last_ms)
                self._events.on_tokens(attempt, event)
                continue
            self.queue.on_done(key, event.at_ms)
            self._forget(key)
            if isinstance(event, RequestDone):
                self._events.on_done(attempt, event)
            else:
                assert isinstance(event, RequestLost)
                self._events.on_lost(attempt, event.at_ms, started=True)

    def _forget(self, key: AttemptKey) -> None:
        del self._attempt_by_key[key]
        self._tokens_by_key.pop(key, None)
        self._key_by_engine_id.pop(_engine_id(key), None)

    def _set_wake(self, now_ms: float) -> None:
        """Look again when the engine has news, and at the latest after POLL_MS."""
        if not self._attempt_by_key:
            return
        due_ms = now_ms + POLL_MS
        engine_ms = self.engine.next_event_ms()
        if engine_ms is not None:
            due_ms = min(due_ms, max(engine_ms, now_ms))
        if self._wake_ms is None or due_ms < self._wake_ms:
            self._wake_ms = due_ms
            self._schedule(due_ms, self._wake)

    def _wake(self, now_ms: float) -> None:
        if self._wake_ms is None or now_ms < self._wake_ms:
            return
        self._wake_ms = None
        self._collect(now_ms)
        self._act(now_ms)


def _engine_id(key: AttemptKey) -> str:
    return f"{key[0]}/{key[1]}"
