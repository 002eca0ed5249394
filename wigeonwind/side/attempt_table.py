"""The attempts of one sidecar: what waits, what runs, and what must never run (again).

An attempt that has ended or was withdrawn is remembered for RETENTION_MS, longer than
any attempt may wait, so that a late copy of it never starts. Nothing is forgotten
earlier: when the memory is full, new attempts are refused instead.
"""

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol

from gevent.event import Event

from wigeonwind.clock import Clock
from wigeonwind.decisions.interfaces import AttemptKey, AttemptSpec
from wigeonwind.links.link_types import Link
from wigeonwind.links.messages import Submit
from wigeonwind.outcomes import ErrorCode
from wigeonwind.side.expiring_key_set import ExpiringKeySet

RETENTION_MS = 600_000.0
"""Time for which an attempt that must not run again is remembered: 10 minutes."""

MAX_ATTEMPTS = 500_000
"""Attempts held and remembered together: 800 a second for 10 minutes."""

MAX_REFUSED_ATTEMPTS = 20_000
"""Refused attempts that are remembered. The oldest are forgotten first, as a burst of
refusals must not fill the memory that new work needs."""


class AttemptStatus(Enum):
    """What is known of an attempt."""

    NEW = "new"
    ACTIVE = "active"
    ENDED = "ended"
    WITHDRAWN = "withdrawn"


class Abortable(Protocol):
    """An exchange with the endpoint that can be broken off."""

    def abort(self) -> None:
        """Break it off."""
        ...


@dataclass
class Attempt:
    """One attempt that waits or runs; only its sidecar changes it.

    `cancelled` is the reason why it was stopped, empty if it was not. `chunks` and
    `tokens` count what has been sent to the entry.
    """

    spec: AttemptSpec
    submit: Submit
    link: Link
    started_ms: float | None = None
    is_sent: bool = False
    """Whether the request has left for the endpoint."""
    is_ended: bool = False
    cancel_reason: str = ""
    cancel_code: ErrorCode = ErrorCode.CANCELLED
    chunks: int = 0
    tokens: int = 0
    outcome: str = ""
    """How it ended: `finished` or `failed`; empty before."""
    first_token_ms: float | None = None
    exchange: Abortable | None = None
    sent_or_ended: Event = field(default_factory=Event)
    pending_control_calls: deque[str] = field(default_factory=deque)

    @property
    def is_started(self) -> bool:
        """Return whether the attempt has left the queue."""
        return self.started_ms is not None

    @property
    def is_booking(self) -> bool:
        """Return whether the attempt carries the claim of a booking."""
        return bool(self.submit.claim_token)


class AttemptTable:
    """All attempts by key, with the rule that none starts twice."""

    def __init__(self, clock: Clock, max_attempts: int = MAX_ATTEMPTS) -> None:
        self._clock = clock
        self._max_attempts = max_attempts
        self._active_by_key: dict[AttemptKey, Attempt] = {}
        self._ended = ExpiringKeySet(clock, RETENTION_MS)
        self._withdrawn = ExpiringKeySet(clock, RETENTION_MS)
        self._refused: dict[AttemptKey, None] = {}

    def status(self, key: AttemptKey) -> AttemptStatus:
        """Return what is known of an attempt."""
        if key in self._active_by_key:
            return AttemptStatus.ACTIVE
        if key in self._ended:
            return AttemptStatus.ENDED
        if key in self._withdrawn or key in self._refused:
            return AttemptStatus.WITHDRAWN
        return AttemptStatus.NEW

    @property
    def is_full(self) -> bool:
        """Return whether another attempt could not be remembered."""
        held = len(self._active_by_key) + len(self._ended) + len(self._withdrawn)
        return held >= self._max_attempts

    def add(self, attempt: Attempt) -> None:
        """Take a new attempt; raise ValueError if it is not new or does not fit."""
        key = attempt.spec.key
        if self.status(key) is not AttemptStatus.NEW or self.is_full:
            raise ValueError(f"attempt {key} cannot be taken")
        self._active_by_key[key] = attempt

    def get(self, key: AttemptKey) -> Attempt | None:
        """Return an attempt that waits or runs."""
        return self._active_by_key.get(key)

    def start(self, key: AttemptKey) -> Attempt:
        """Mark a waiting attempt as started; raise ValueError if it does not wait."""
        attempt = self._active_by_key.get(key)
        if attempt is None or attempt.is_started:
            raise ValueError(f"attempt {key} does not wait")
        attempt.started_ms = self._clock.now_ms()
        return attempt

    def end(self, key: AttemptKey) -> None:
        """Remember an active attempt as ended."""
        attempt = self._active_by_key.pop(key)
        attempt.is_ended = True
        attempt.sent_or_ended.set()
        self._ended.add(key)

    def withdraw(self, key: AttemptKey) -> None:
        """Remember a waiting attempt as never to be started."""
        attempt = self._active_by_key[key]
        if attempt.is_started:
            raise ValueError(f"attempt {key} has started")
        del self._active_by_key[key]
        self._withdrawn.add(key)

    def forbid(self, key: AttemptKey) -> bool:
        """Remember an attempt that has not come yet; False if there is no room."""
        if self.status(key) is AttemptStatus.WITHDRAWN:
            return True
        if self.status(key) is not AttemptStatus.NEW or self.is_full:
            return False
        self._withdrawn.add(key)
        return True

    def record_refused(self, key: AttemptKey) -> None:
        """Remember an attempt that was refused before it was taken."""
        self._refused[key] = None
        if len(self._refused) > MAX_REFUSED_ATTEMPTS:
            del self._refused[next(iter(self._refused))]

    def waiting(self) -> Iterator[Attempt]:
        """Yield the attempts that have not started."""
        return iter([a for a in self._active_by_key.values() if not a.is_started])

    def started(self) -> Iterator[Attempt]:
        """Yield the attempts that have started."""
        return iter([a for a in self._active_by_key.values() if a.is_started])

    def on_link(self, link: Link) -> Iterator[Attempt]:
        """Yield the attempts that came over a link."""
        return iter([a for a in self._active_by_key.values() if a.link is link])

    def __len__(self) -> int:
        """Return the number of attempts that wait or run."""
        return len(self._active_by_key)

    def __iter__(self) -> Iterator[Attempt]:
        """Yield all attempts that wait or run."""
        return iter(list(self._active_by_key.values()))
