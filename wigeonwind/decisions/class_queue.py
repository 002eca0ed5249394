"""One admitted attempt and the work of one class at an endpoint."""

from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum

from sortedcontainers import SortedList

from wigeonwind.catalog import RequestClass
from wigeonwind.decisions.admission import ShareBacklog, StartLimits
from wigeonwind.decisions.fair_queue import FairQueue, rank_ms
from wigeonwind.decisions.interfaces import AttemptKey, AttemptSpec


class AttemptState(Enum):
    """Where an attempt is.

    LATE is waiting with its target lost, OVERDUE waiting beyond the longest wait of its
    class.
    """

    WAITING = "waiting"
    LATE = "late"
    OVERDUE = "overdue"
    RUNNING = "running"
    PAUSED = "paused"


WAITING_STATES = (AttemptState.WAITING, AttemptState.LATE, AttemptState.OVERDUE)
"""States of an attempt that has not begun."""


@dataclass(slots=True, eq=False)
class AdmittedAttempt:
    """One admitted attempt; times are clock readings in milliseconds."""

    spec: AttemptSpec
    priority: int
    limits: StartLimits
    expected_ms: float
    """Slot time it is expected to need; doubled when it is exceeded."""
    rank: float
    admitted_ms: float
    charged_ms: float = 0.0
    """Slot time its customer has been charged for it."""
    state: AttemptState = AttemptState.WAITING
    tokens: int = 0
    """Tokens generated in this attempt."""
    held_ms: float = 0.0
    """Time for which it held a slot in earlier runs."""
    running_since_ms: float = 0.0
    last_token_ms: float | None = None
    """Time of the last token of this run, None before the first."""
    kept_tokens: int = 0
    """Tokens of KV cache kept in the engine while paused."""

    @property
    def context_tokens(self) -> int:
        """Return the number of tokens of its KV cache."""
        return self.spec.prompt_tokens + self.spec.resume_tokens + self.tokens

    def held_until(self, now_ms: float) -> float:
        """Return for how long it has held a slot in all."""
        if self.state is not AttemptState.RUNNING:
            return self.held_ms
        return self.held_ms + now_ms - self.running_since_ms


class ClassQueue:
    """The work of one class: ready (waiting or paused), late and running."""

    def __init__(self, request_class: RequestClass) -> None:
        self.request_class = request_class
        self._shares = FairQueue()
        self._late: SortedList = SortedList()
        self._overdue: SortedList = SortedList()
        self._running: SortedList = SortedList()
        self._work_by_key: dict[AttemptKey, AdmittedAttempt] = {}
        self._slot_left_ms = float("-inf")
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
        """Return the number of attempts that want a slot."""
        return self._shares.ready_count + len(self._late) + len(self._overdue)

    @property
    def work_count(self) -> int:
        """Return the number of admitted attempts."""
        return len(self._work_by_key)

    def held_slot_since(self, since_ms: float) -> bool:
        """Return whether work of the class has held a slot at or after `since_ms`."""
        return bool(self._running) or self._slot_left_ms >= since_ms

    def admit(self, work: AdmittedAttempt, weight: float) -> None:
        """Add a new attempt, waiting."""
        self._work_by_key[work.spec.key] = work
        self._shares.enter(work.spec.customer, weight)
        self._shares.add(work.spec.customer, work.rank, work.spec.key)
        self.waiting_count += 1

    def remove(self, work: AdmittedAttempt, now_ms: float) -> None:
        """Take out an attempt in any state."""
        if work.state is AttemptState.RUNNING:
            self._slot_left_ms = now_ms
        self._take_out(work)
        del self._work_by_key[work.spec.key]
        if not self._work_by_key:
            self.share_backlog.clear()
        self._shares.leave(work.spec.customer)

    def _take_out(self, work: AdmittedAttempt) -> None:
        key = work.spec.key
        if work.state is AttemptState.RUNNING:
            self._running.remove((work.rank, key))
        elif work.state is AttemptState.LATE:
            self._late.remove((work.rank, key))
        elif work.state is AttemptState.OVERDUE:
            self._overdue.remove((work.rank, key))
        else:
            self._shares.remove(work.spec.customer, work.rank, key)
        if work.state in WAITING_STATES:
            self.waiting_count -= 1

    def first(self) -> AdmittedAttempt | None:
        """Return the ready attempt to run next: overdue ones first, late ones last."""
        first = self._overdue[0] if self._overdue else self._shares.first()
        if first is None and self._late:
            first = self._late[0]
        return self._work_by_key[first[1]] if first else None

    def make_late(self, work: AdmittedAttempt) -> None:
        """Move a waiting attempt behind those that can still meet their target."""
        self._shares.remove(work.spec.customer, work.rank, work.spec.key)
        self._late.add((work.rank, work.spec.key))
        work.state = AttemptState.LATE

    def make_overdue(self, work: AdmittedAttempt) -> None:
        """Move a waiting attempt before all others of its class.

        It may not be refused, and behind those that can meet their target it would
        wait for as long as the overload lasts.
        """
        self._take_out(work)
        self.waiting_count += 1
        self._overdue.add((work.rank, work.spec.key))
        work.state = AttemptState.OVERDUE

    def run(self, work: AdmittedAttempt, now_ms: float) -> None:
        """Give a ready attempt a slot; its first start charges the expected time."""
        self._take_out(work)
        self._shares.on_start(work.spec.customer)
        if not work.charged_ms:
            self._charge(work, work.expected_ms)
        work.state = AttemptState.RUNNING
        work.running_since_ms = now_ms
        work.last_token_ms = None
        self._running.add((work.rank, work.spec.key))

    def pause(self, work: AdmittedAttempt, now_ms: float) -> None:
        """Take the slot of a running attempt."""
        self._running.remove((work.rank, work.spec.key))
        self._slot_left_ms = now_ms
        work.held_ms += now_ms - work.running_since_ms
        work.state = AttemptState.PAUSED
        self._shares.add(work.spec.customer, work.rank, work.spec.key)

    def add_tokens(self, work: AdmittedAttempt, tokens: int, now_ms: float) -> None:
        """Count generated tokens and move the attempt to its level."""
        work.tokens += tokens
        generated = work.spec.resume_tokens + work.tokens
        rank = rank_ms(work.spec.arrived_ms, generated)
        if rank != work.rank and work.state is AttemptState.RUNNING:
            self._running.remove((work.rank, work.spec.key))
            work.rank = rank
            self._running.add((work.rank, work.spec.key))
        self._charge(work, max(0.0, work.held_until(now_ms) - work.charged_ms))

    def settle(self, work: AdmittedAttempt, now_ms: float) -> None:
        """Replace the expected charge of an attempt that has ended by its slot time."""
        self._charge(work, work.held_until(now_ms) - work.charged_ms)

    def _charge(self, work: AdmittedAttempt, held_ms: float) -> None:
        if held_ms:
            work.charged_ms += held_ms
            self._shares.charge(work.spec.customer, held_ms)

    def pausable(self) -> Iterator[AdmittedAttempt]:
        """Yield running attempts that can be paused, the most served first."""
        for _, key in reversed(self._running):
            work = self._work_by_key[key]
            if work.spec.may_pause:
                yield work
