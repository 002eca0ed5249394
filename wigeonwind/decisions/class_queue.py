"""Admitted attempts of one class at an endpoint, by state."""

from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum

from sortedcontainers import SortedList

from wigeonwind.catalog import RequestClass
from wigeonwind.decisions.admission import ShareBacklog, StartDeadlines
from wigeonwind.decisions.fair_queue import FairQueue, rank_ms
from wigeonwind.decisions.interfaces import AttemptKey, AttemptSpec


class AttemptState(Enum):
    """State of an admitted attempt.

    A LATE attempt is queued and has missed its latency target; an OVERDUE attempt is
    queued and has waited for longer than the max_wait of its class.
    """

    WAITING = "waiting"
    LATE = "late"
    OVERDUE = "overdue"
    RUNNING = "running"
    PAUSED = "paused"


WAITING_STATES = (AttemptState.WAITING, AttemptState.LATE, AttemptState.OVERDUE)
"""States of an attempt that has not started."""


@dataclass(slots=True, eq=False)
class AdmittedAttempt:
    """An admitted attempt; points in time are clock readings in milliseconds."""

    spec: AttemptSpec
    priority: int
    deadlines: StartDeadlines
    expected_slot_ms: float
    """Expected time for which the attempt holds a slot; doubled when exceeded."""
    rank: float
    """Order among the attempts of the customer (see `rank_ms`); the lowest is first."""
    admitted_ms: float
    charged_ms: float = 0.0
    """Slot time that the customer has been charged for the attempt."""
    state: AttemptState = AttemptState.WAITING
    tokens: int = 0
    """Tokens generated in this attempt."""
    earlier_slot_ms: float = 0.0
    """Slot time of the runs before the last pause."""
    running_since_ms: float = 0.0
    last_token_ms: float | None = None
    """Time of the last token since the start or resumption, None before the first."""
    kept_tokens: int = 0
    """Tokens of KV cache that the engine keeps while the attempt is paused."""

    @property
    def context_tokens(self) -> int:
        """Return the number of tokens in the KV cache of the attempt."""
        return self.spec.prompt_tokens + self.spec.resume_tokens + self.tokens

    def slot_ms(self, now_ms: float) -> float:
        """Return the total slot time of all runs."""
        if self.state is not AttemptState.RUNNING:
            return self.earlier_slot_ms
        return self.earlier_slot_ms + now_ms - self.running_since_ms


class ClassQueue:
    """The attempts of one class: ready (queued or paused) and running.

    Queued attempts that are late or overdue are ordered by rank only, not fairly
    between customers. `waiting_count` is the number of queued attempts.
    """

    def __init__(self, request_class: RequestClass) -> None:
        self.request_class = request_class
        self._fair_queue = FairQueue()
        self._late: SortedList = SortedList()
        self._overdue: SortedList = SortedList()
        self._running: SortedList = SortedList()
        self._attempt_by_key: dict[AttemptKey, AdmittedAttempt] = {}
        self._slot_released_ms = float("-inf")
        self.share_backlog = ShareBacklog()
        self.waiting_count = 0

    @property
    def name(self) -> str:
        """Return the name of the class."""
        return self.request_class.name

    @property
    def priority(self) -> int:
        """Return the priority; 0 is the most urgent."""
        return self.request_class.priority

    @property
    def running_count(self) -> int:
        """Return the number of attempts that hold a slot."""
        return len(self._running)

    @property
    def ready_count(self) -> int:
        """Return the number of queued and paused attempts."""
        return self._fair_queue.ready_count + len(self._late) + len(self._overdue)

    @property
    def attempt_count(self) -> int:
        """Return the number of admitted attempts."""
        return len(self._attempt_by_key)

    def held_slot_since(self, since_ms: float) -> bool:
        """Return whether the class has held a slot at or after `since_ms`."""
        return bool(self._running) or self._slot_released_ms >= since_ms

    def admit(self, attempt: AdmittedAttempt, weight: float) -> None:
        """Queue a new attempt; `weight` is that of its customer."""
        self._attempt_by_key[attempt.spec.key] = attempt
        self._fair_queue.add_attempt(attempt.spec.customer, weight)
        self._fair_queue.add_ready(
            attempt.spec.customer, attempt.rank, attempt.spec.key
        )
        self.waiting_count += 1

    def remove(self, attempt: AdmittedAttempt, now_ms: float) -> None:
        """Remove an attempt in any state."""
        if attempt.state is AttemptState.RUNNING:
            self._slot_released_ms = now_ms
        self._remove_from_state(attempt)
        del self._attempt_by_key[attempt.spec.key]
        if not self._attempt_by_key:
            self.share_backlog.clear()
        self._fair_queue.remove_attempt(attempt.spec.customer)

    def _remove_from_state(self, attempt: AdmittedAttempt) -> None:
        key = attempt.spec.key
        if attempt.state is AttemptState.RUNNING:
            self._running.remove((attempt.rank, key))
        elif attempt.state is AttemptState.LATE:
            self._late.remove((attempt.rank, key))
        elif attempt.state is AttemptState.OVERDUE:
            self._overdue.remove((attempt.rank, key))
        else:
            self._fair_queue.remove_ready(attempt.spec.customer, attempt.rank, key)
        if attempt.state in WAITING_STATES:
            self.waiting_count -= 1

    def first(self) -> AdmittedAttempt | None:
        """Return the next attempt to run: overdue ones first, late ones last."""
        first = self._overdue[0] if self._overdue else self._fair_queue.first()
        if first is None and self._late:
            first = self._late[0]
        return self._attempt_by_key[first[1]] if first else None

    def mark_late(self, attempt: AdmittedAttempt) -> None:
        """Move a queued attempt behind those that can still meet their target."""
        self._fair_queue.remove_ready(
            attempt.spec.customer, attempt.rank, attempt.spec.key
        )
        self._late.add((attempt.rank, attempt.spec.key))
        attempt.state = AttemptState.LATE

    def mark_overdue(self, attempt: AdmittedAttempt) -> None:
        """Move a queued attempt before all others of its class.

        An overdue attempt must not be refused. Behind the attempts that can meet their
        target it would wait for as long as an overload lasts.
        """
        self._remove_from_state(attempt)
        self.waiting_count += 1
        self._overdue.add((attempt.rank, attempt.spec.key))
        attempt.state = AttemptState.OVERDUE

    def run(self, attempt: AdmittedAttempt, now_ms: float) -> None:
        """Give a ready attempt a slot.

        Its first run charges the expected slot time to the customer.
        """
        self._remove_from_state(attempt)
        self._fair_queue.on_start(attempt.spec.customer)
        if not attempt.charged_ms:
            self._charge(attempt, attempt.expected_slot_ms)
        attempt.state = AttemptState.RUNNING
        attempt.running_since_ms = now_ms
        attempt.last_token_ms = None
        self._running.add((attempt.rank, attempt.spec.key))

    def pause(self, attempt: AdmittedAttempt, now_ms: float) -> None:
        """Take the slot from a running attempt."""
        self._running.remove((attempt.rank, attempt.spec.key))
        self._slot_released_ms = now_ms
        attempt.earlier_slot_ms += now_ms - attempt.running_since_ms
        attempt.state = AttemptState.PAUSED
        self._fair_queue.add_ready(
            attempt.spec.customer, attempt.rank, attempt.spec.key
        )

    def add_tokens(self, attempt: AdmittedAttempt, tokens: int, now_ms: float) -> None:
        """Count generated tokens, and update rank and charge of the attempt."""
        attempt.tokens += tokens
        generated = attempt.spec.resume_tokens + attempt.tokens
        rank = rank_ms(attempt.spec.arrived_ms, generated)
        if rank != attempt.rank and attempt.state is AttemptState.RUNNING:
            self._running.remove((attempt.rank, attempt.spec.key))
            attempt.rank = rank
            self._running.add((attempt.rank, attempt.spec.key))
        self._charge(attempt, max(0.0, attempt.slot_ms(now_ms) - attempt.charged_ms))

    def settle_charge(self, attempt: AdmittedAttempt, now_ms: float) -> None:
        """Correct the charge of an ended attempt to the slot time it has used."""
        self._charge(attempt, attempt.slot_ms(now_ms) - attempt.charged_ms)

    def _charge(self, attempt: AdmittedAttempt, slot_ms: float) -> None:
        if slot_ms:
            attempt.charged_ms += slot_ms
            self._fair_queue.charge(attempt.spec.customer, slot_ms)

    def pausable(self) -> Iterator[AdmittedAttempt]:
        """Yield the running attempts that can be paused, the longest answers first."""
        for _, key in reversed(self._running):
            attempt = self._attempt_by_key[key]
            if attempt.spec.may_pause:
                yield attempt
