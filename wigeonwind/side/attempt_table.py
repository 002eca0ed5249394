"""Table of a sidecar's attempts: queued, running, and those that must not run (again).

The keys of ended and withdrawn attempts are retained for RETENTION_MS, longer than any
attempt may be queued, so that a delayed duplicate of a Submit never starts. None of
these keys is removed earlier: when the table is full, new attempts are refused instead.
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
"""Retention of the keys of attempts that must not run again: 10 minutes."""

MAX_ATTEMPTS = 500_000
"""Maximum of active attempts and retained keys: 800 attempts/s for 10 minutes."""

MAX_REFUSED_ATTEMPTS = 20_000
"""Maximum of retained keys of refused attempts. They are counted separately, and the
oldest is removed first, so that a burst of refusals cannot fill the table and block new
attempts."""


class AttemptStatus(Enum):
    """Status of an attempt key at this sidecar."""

    NEW = "new"
    ACTIVE = "active"
    ENDED = "ended"
    WITHDRAWN = "withdrawn"


class Abortable(Protocol):
    """An exchange with the endpoint that can be aborted."""

    def abort(self) -> None:
        """Abort the exchange."""
        ...


@dataclass
class Attempt:
    """An attempt that is queued or running.

    `cancel_reason` says why the attempt was cancelled, empty if it was not. `chunks`
    and `tokens` count what has been sent to the entry. `exchange` is the request to the
    endpoint. `pending_control_calls` are made in order, after `sent_or_ended` is set.
    """

    spec: AttemptSpec
    submit: Submit
    link: Link
    started_ms: float | None = None
    is_sent: bool = False
    """Whether the request may have reached the endpoint."""
    is_ended: bool = False
    cancel_reason: str = ""
    cancel_code: ErrorCode = ErrorCode.CANCELLED
    chunks: int = 0
    tokens: int = 0
    outcome: str = ""
    """`finished` or `failed`, empty until the attempt ends."""
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
    """All attempts by key; ensures that no attempt starts twice."""

    def __init__(self, clock: Clock, max_attempts: int = MAX_ATTEMPTS) -> None:
        self._clock = clock
        self._max_attempts = max_attempts
        self._active_by_key: dict[AttemptKey, Attempt] = {}
        self._ended = ExpiringKeySet(clock, RETENTION_MS)
        self._withdrawn = ExpiringKeySet(clock, RETENTION_MS)
        self._refused: dict[AttemptKey, None] = {}

    def status(self, key: AttemptKey) -> AttemptStatus:
        """Return the status of an attempt.

        A refused attempt counts as WITHDRAWN; a key that is not in the table is NEW.
        """
        if key in self._active_by_key:
            return AttemptStatus.ACTIVE
        if key in self._ended:
            return AttemptStatus.ENDED
        if key in self._withdrawn or key in self._refused:
            return AttemptStatus.WITHDRAWN
        return AttemptStatus.NEW

    @property
    def is_full(self) -> bool:
        """Return whether the table has no capacity for another attempt."""
        held = len(self._active_by_key) + len(self._ended) + len(self._withdrawn)
        return held >= self._max_attempts

    def add(self, attempt: Attempt) -> None:
        """Add a queued attempt.

        Raise ValueError if its key is not new or the table is full.
        """
        key = attempt.spec.key
        if self.status(key) is not AttemptStatus.NEW or self.is_full:
            raise ValueError(f"attempt {key} is not new or the attempt table is full")
        self._active_by_key[key] = attempt

    def get(self, key: AttemptKey) -> Attempt | None:
        """Return a queued or running attempt, None if there is none with this key."""
        return self._active_by_key.get(key)

    def start(self, key: AttemptKey) -> Attempt:
        """Mark a queued attempt as started; raise ValueError if it is not queued."""
        attempt = self._active_by_key.get(key)
        if attempt is None or attempt.is_started:
            raise ValueError(f"attempt {key} is not queued")
        attempt.started_ms = self._clock.now_ms()
        return attempt

    def end(self, key: AttemptKey) -> None:
        """Remove a queued or running attempt and retain its key as ended."""
        attempt = self._active_by_key.pop(key)
        attempt.is_ended = True
        attempt.sent_or_ended.set()
        self._ended.add(key)

    def withdraw(self, key: AttemptKey) -> None:
        """Remove a queued attempt and retain its key, so that it never starts.

        Raise ValueError if the attempt has started.
        """
        attempt = self._active_by_key[key]
        if attempt.is_started:
            raise ValueError(f"attempt {key} has started and cannot be withdrawn")
        del self._active_by_key[key]
        self._withdrawn.add(key)

    def forbid(self, key: AttemptKey) -> bool:
        """Refuse an attempt in advance, before its Submit arrives.

        Return True also if it has already been withdrawn or refused. Return False if it
        is queued, running or ended, or if the table is full.
        """
        if self.status(key) is AttemptStatus.WITHDRAWN:
            return True
        if self.status(key) is not AttemptStatus.NEW or self.is_full:
            return False
        self._withdrawn.add(key)
        return True

    def record_refused(self, key: AttemptKey) -> None:
        """Retain the key of an attempt that was refused before it was queued."""
        self._refused[key] = None
        if len(self._refused) > MAX_REFUSED_ATTEMPTS:
            del self._refused[next(iter(self._refused))]

    def queued(self) -> Iterator[Attempt]:
        """Yield the queued attempts."""
        return iter([a for a in self._active_by_key.values() if not a.is_started])

    def started(self) -> Iterator[Attempt]:
        """Yield the running attempts."""
        return iter([a for a in self._active_by_key.values() if a.is_started])

    def submitted_on(self, link: Link) -> Iterator[Attempt]:
        """Yield the attempts that were submitted on a link."""
        return iter([a for a in self._active_by_key.values() if a.link is link])

    def __len__(self) -> int:
        """Return the number of queued and running attempts."""
        return len(self._active_by_key)

    def __iter__(self) -> Iterator[Attempt]:
        """Yield all queued and running attempts."""
        return iter(list(self._active_by_key.values()))
