"""The core of the object store test double, without I/O or a clock."""

from collections import deque
from dataclasses import dataclass
from itertools import islice

from wigeonwind.clock import MS_PER_SECOND
from wigeonwind.outcomes import Ok
from wigeonwind.standins.faults import (
    ActiveFaults,
    LoseAnswers,
    Outage,
    RepeatWatch,
    SkipWatch,
)
from wigeonwind.state.store_types import (
    Conflict,
    NotFound,
    StoredObject,
    WatchBatch,
    WatchEvent,
)

EVENT_LOG_LENGTH = 20_000
"""Events kept for watches.

A watch after an older revision gets the latest event of each key instead.
"""


class TokenBucket:
    """A token bucket rate limiter.

    >>> bucket = TokenBucket(rate_per_s=10.0, burst=2.0)
    >>> [bucket.take(0.0) for _ in range(3)]
    [0.0, 0.0, 100.0]
    >>> bucket.take(100.0)
    0.0
    """

    def __init__(self, rate_per_s: float, burst: float) -> None:
        self._rate_per_ms = rate_per_s / MS_PER_SECOND
        self._burst = burst
        self._tokens = burst
        self._updated_ms = 0.0

    def take(self, now_ms: float) -> float:
        """Take one token and return 0, or return the wait for one in milliseconds."""
        elapsed_ms = max(0.0, now_ms - self._updated_ms)
        self._updated_ms = max(self._updated_ms, now_ms)
        self._tokens = min(self._burst, self._tokens + elapsed_ms * self._rate_per_ms)
        if self._tokens < 1.0:
            return (1.0 - self._tokens) / self._rate_per_ms
        self._tokens -= 1.0
        return 0.0


@dataclass(frozen=True)
class StoreLimits:
    """Rate limits of all clients together, and the maximum size of a value.

    A burst may have as many operations as `burst_s` seconds at the limit.
    """

    writes_per_s: float = 400.0
    reads_per_s: float = 2000.0
    burst_s: float = 0.5
    max_value_bytes: int = 1_000_000


@dataclass(frozen=True)
class RateLimited:
    """The rate limit is exceeded; the operation had no effect."""

    retry_after_ms: float


@dataclass(frozen=True)
class ValueTooLarge:
    """The value is larger than `limit_bytes`; it was not written."""

    limit_bytes: int


@dataclass(frozen=True)
class StoreUnavailable:
    """The store has an outage; the operation had no effect."""


@dataclass(frozen=True)
class ResponseLost:
    """The write took effect if its condition held, but the response is lost."""


Refusal = RateLimited | StoreUnavailable


@dataclass(frozen=True)
class ObjectVersion:
    """One entry of a listing."""

    key: str
    version: int


@dataclass(frozen=True)
class CallCounts:
    """Numbers of operations requested, including refused ones.

    Reads include listings and watches. `rate_limited` operations are counted as reads
    or writes too.
    """

    reads: int
    writes: int
    rate_limited: int


@dataclass(frozen=True)
class StoreCopy:
    """The content of an ObjectStore at one time."""

    object_by_key: dict[str, StoredObject]
    last_version_by_key: dict[str, int]
    last_event_by_key: dict[str, WatchEvent]
    events: tuple[WatchEvent, ...]
    revision: int


class ObjectStore:
    """Objects with versions, conditional writes and watches.

    The version of a key increases by one with each write and is not reset by a delete.
    Every change increments the revision of the store.

    >>> store = ObjectStore()
    >>> store.put("a", b"1", 0, now_ms=0.0)
    Ok(value=1)
    >>> store.put("a", b"2", 0, now_ms=0.0)
    Conflict(key='a', version=1)
    >>> store.watch("", 0, now_ms=0.0).value.revision
    1
    """

    def __init__(
        self, limits: StoreLimits | None = None, faults: ActiveFaults | None = None
    ) -> None:
        self.limits = limits or StoreLimits()
        self.faults = faults or ActiveFaults()
        burst_s = self.limits.burst_s
        self._reads = TokenBucket(
            self.limits.reads_per_s, self.limits.reads_per_s * burst_s
        )
        self._writes = TokenBucket(
            self.limits.writes_per_s, self.limits.writes_per_s * burst_s
        )
        self._object_by_key: dict[str, StoredObject] = {}
        self._last_version_by_key: dict[str, int] = {}
        self._last_event_by_key: dict[str, WatchEvent] = {}
        self._event_log: deque[WatchEvent] = deque(maxlen=EVENT_LOG_LENGTH)
        self._revision = 0
        self._read_count = 0
        self._write_count = 0
        self._rate_limited_count = 0

    @property
    def revision(self) -> int:
        """Return the revision of the latest change, 0 before the first one."""
        return self._revision

    def counts(self) -> CallCounts:
        """Return the numbers of operations since the store was created."""
        return CallCounts(self._read_count, self._write_count, self._rate_limited_count)

    def take_copy(self) -> StoreCopy:
        """Return a copy to which the store can return."""
        return StoreCopy(
            dict(self._object_by_key),
            dict(self._last_version_by_key),
            dict(self._last_event_by_key),
            tuple(self._event_log),
            self._revision,
        )

    def return_to(self, copy: StoreCopy) -> None:
        """Continue from a copy, as after the loss of all newer data.

        Versions and revisions after the copy are given out again.

        >>> store = ObjectStore()
        >>> copy = store.take_copy()
        >>> store.put("a", b"1", 0, now_ms=0.0)
        Ok(value=1)
        >>> store.return_to(copy)
        >>> store.put("a", b"2", 0, now_ms=0.0), store.revision
        (Ok(value=1), 1)
        """
        self._object_by_key = dict(copy.object_by_key)
        self._last_version_by_key = dict(copy.last_version_by_key)
        self._last_event_by_key = dict(copy.last_event_by_key)
        self._event_log = deque(copy.events, maxlen=EVENT_LOG_LENGTH)
        self._revision = copy.revision

    def peek(self, key: str) -> StoredObject | None:
        """Return an object without counting a read, for checkers."""
        return self._object_by_key.get(key)

    def get(self, key: str, now_ms: float) -> Ok[StoredObject] | NotFound | Refusal:
        """Read an object."""
        refusal = self._admit_read(now_ms)
        if refusal:
            return refusal
        found = self._object_by_key.get(key)
        return Ok(found) if found else NotFound(key)

    def list_versions(
        self, prefix: str, now_ms: float
    ) -> Ok[tuple[ObjectVersion, ...]] | Refusal:
        """Return keys and versions of all objects under `prefix`, sorted by key."""
        refusal = self._admit_read(now_ms)
        if refusal:
            return refusal
        keys = sorted(key for key in self._object_by_key if key.startswith(prefix))
        rows = [ObjectVersion(key, self._object_by_key[key].version) for key in keys]
        return Ok(tuple(rows))

    def put(
        self, key: str, value: bytes, if_version: int | None, now_ms: float
    ) -> Ok[int] | Conflict | ValueTooLarge | ResponseLost | Refusal:
        """Write the object if its version is `if_version`.

        0 requires that it does not exist; None makes the write unconditional.
        """
        refusal = self._admit_write(now_ms)
        if refusal:
            return refusal
        if len(value) > self.limits.max_value_bytes:
            return ValueTooLarge(self.limits.max_value_bytes)
        result = self._put(key, value, if_version)
        return ResponseLost() if self.faults.consume(LoseAnswers) else result

    def delete(
        self, key: str, if_version: int | None, now_ms: float
    ) -> Ok[None] | Conflict | NotFound | ResponseLost | Refusal:
        """Delete the object if its version is `if_version`, None: unconditionally."""
        refusal = self._admit_write(now_ms)
        if refusal:
            return refusal
        result = self._delete(key, if_version)
        return ResponseLost() if self.faults.consume(LoseAnswers) else result

    def watch(self, prefix: str, after: int, now_ms: float) -> Ok[WatchBatch] | Refusal:
        """Count a read; return the changes under `prefix` after revision `after`."""
        return self._admit_read(now_ms) or Ok(self.changes(prefix, after))

    def changes(self, prefix: str, after: int) -> WatchBatch:
        """Return the changes under `prefix` after revision `after`.

        No read is counted: a waiting watch was counted when it began.
        """
        events = [
            event for event in self._events_after(after) if event.key.startswith(prefix)
        ]
        if events and self.faults.consume(SkipWatch):
            del events[0]
        earlier = self._latest_event_until(prefix, after)
        if earlier and self.faults.consume(RepeatWatch):
            events.insert(0, earlier)
        return WatchBatch(self._revision, tuple(events))

    def _events_after(self, after: int) -> list[WatchEvent]:
        if after >= self._revision:
            return []
        if after < self._event_log[0].revision - 1:
            latest = self._last_event_by_key.values()
            found = [event for event in latest if event.revision > after]
            return sorted(found, key=lambda event: event.revision)
        # Revisions in the log are consecutive.
        newest = islice(reversed(self._event_log), self._revision - after)
        return list(newest)[::-1]

    def _latest_event_until(self, prefix: str, until: int) -> WatchEvent | None:
        for event in reversed(self._event_log):
            if event.revision <= until and event.key.startswith(prefix):
                return event
        return None

    def _admit_read(self, now_ms: float) -> Refusal | None:
        self._read_count += 1
        return self._admit(self._reads, now_ms)

    def _admit_write(self, now_ms: float) -> Refusal | None:
        self._write_count += 1
        return self._admit(self._writes, now_ms)

    def _admit(self, bucket: TokenBucket, now_ms: float) -> Refusal | None:
        if self.faults.find(Outage):
            return StoreUnavailable()
        wait_ms = bucket.take(now_ms)
        if not wait_ms:
            return None
        self._rate_limited_count += 1
        return RateLimited(wait_ms)

    def _put(
        self, key: str, value: bytes, if_version: int | None
    ) -> Ok[int] | Conflict:
        current = self._current_version(key)
        if if_version is not None and if_version != current:
            return Conflict(key, current)
        version = self._last_version_by_key.get(key, 0) + 1
        self._last_version_by_key[key] = version
        self._object_by_key[key] = StoredObject(key, version, value)
        self._record(key, version, deleted=False)
        return Ok(version)

    def _delete(
        self, key: str, if_version: int | None
    ) -> Ok[None] | Conflict | NotFound:
        current = self._current_version(key)
        if if_version is not None and if_version != current:
            return Conflict(key, current)
        if not current:
            return NotFound(key)
        del self._object_by_key[key]
        self._record(key, current, deleted=True)
        return Ok(None)

    def _current_version(self, key: str) -> int:
        found = self._object_by_key.get(key)
        return found.version if found else 0

    def _record(self, key: str, version: int, deleted: bool) -> None:
        self._revision += 1
        event = WatchEvent(key, version, self._revision, deleted)
        self._event_log.append(event)
        self._last_event_by_key[key] = event
