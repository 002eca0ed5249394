"""An in-memory object store with the platform's semantics and injectable faults."""

from collections import deque
from dataclasses import dataclass, field

from wigeonwind.outcomes import Ok
from wigeonwind.state.store_types import (
    Conflict,
    NotFound,
    StoredObject,
    StoreFailure,
    WatchBatch,
    WatchEvent,
)

MAX_VALUE_BYTES = 1_000_000
"""Value limit of the platform's store."""

STORE_DOWN = StoreFailure("store is down", maybe_written=False)


@dataclass
class StoreFaults:
    """Faults injected into the next calls; each injection decrements its counter."""

    down: bool = False
    """All calls fail until it is reset."""
    fail_before: int = 0
    """Writes that have no effect but are reported as `maybe_written`."""
    lose_answer: int = 0
    """Writes that take effect and whose response is lost."""
    fail_reads: int = 0
    """Reads that fail."""
    skip_events: int = 0
    """Watches whose events are lost."""
    repeat_events: int = 0
    """Watches that return all events since the first revision."""


@dataclass(frozen=True)
class MemoryStoreCopy:
    """The content of a MemoryStore at one time."""

    object_by_key: dict[str, StoredObject]
    revision: int
    events: tuple[WatchEvent, ...]


@dataclass
class MemoryStore:
    """Implements `Store`: versions, conditional writes, watches that return at once.

    `value_by_key_version` keeps every value ever written, for checks.
    """

    faults: StoreFaults = field(default_factory=StoreFaults)
    object_by_key: dict[str, StoredObject] = field(default_factory=dict)
    value_by_key_version: dict[tuple[str, int], list[bytes]] = field(
        default_factory=dict
    )
    count_by_kind: dict[str, int] = field(default_factory=dict)
    revision: int = 0
    _events: deque[WatchEvent] = field(default_factory=deque)

    def get(self, key: str) -> Ok[StoredObject] | NotFound | StoreFailure:
        """Read one object."""
        self._count("reads")
        if self.faults.down or self._inject("fail_reads"):
            return STORE_DOWN
        stored = self.object_by_key.get(key)
        return NotFound(key) if stored is None else Ok(stored)

    def put(
        self, key: str, value: bytes, if_version: int
    ) -> Ok[int] | Conflict | StoreFailure:
        """Write if the object has `if_version` (0: must not exist)."""
        self._count("writes")
        if self.faults.down:
            return STORE_DOWN
        if self._inject("fail_before"):
            return StoreFailure("no response", maybe_written=True)
        if len(value) > MAX_VALUE_BYTES:
            return StoreFailure("value exceeds 1 MB", maybe_written=False)
        result = self._write(key, value, if_version)
        if self._inject("lose_answer"):
            return StoreFailure("no response", maybe_written=True)
        return result

    def _write(self, key: str, value: bytes, if_version: int) -> Ok[int] | Conflict:
        version = self.version_of(key)
        if version != if_version:
            return Conflict(key, version)
        self.object_by_key[key] = StoredObject(key, version + 1, value)
        written = self.value_by_key_version.setdefault((key, version + 1), [])
        written.append(value)
        self._add_event(key, version + 1, deleted=False)
        return Ok(version + 1)

    def delete(self, key: str, if_version: int) -> Ok[None] | Conflict | StoreFailure:
        """Delete if the object has `if_version`."""
        self._count("writes")
        if self.faults.down:
            return STORE_DOWN
        version = self.version_of(key)
        if version != if_version:
            return Conflict(key, version)
        self.object_by_key.pop(key, None)
        self._add_event(key, version, deleted=True)
        return Ok(None)

    def watch(
        self, prefix: str, after: int, timeout_ms: float
    ) -> Ok[WatchBatch] | StoreFailure:
        """Return the changes after revision `after` without waiting for any."""
        self._count("watches")
        if self.faults.down:
            return STORE_DOWN
        if self._inject("repeat_events"):
            after = 0
        events = [e for e in self._events if e.revision > after]
        events = [event for event in events if event.key.startswith(prefix)]
        if events and self._inject("skip_events"):
            events = []
        return Ok(WatchBatch(self.revision, tuple(events)))

    def take_copy(self) -> MemoryStoreCopy:
        """Return a copy to which the store can return."""
        return MemoryStoreCopy(
            dict(self.object_by_key), self.revision, tuple(self._events)
        )

    def return_to(self, copy: MemoryStoreCopy) -> None:
        """Continue from a copy: versions and revisions after it are used again."""
        self.object_by_key = dict(copy.object_by_key)
        self.revision = copy.revision
        self._events = deque(copy.events)

    def version_of(self, key: str) -> int:
        """Return the version of an object, 0 if there is none."""
        stored = self.object_by_key.get(key)
        return stored.version if stored else 0

    def _add_event(self, key: str, version: int, deleted: bool) -> None:
        self.revision += 1
        self._events.append(WatchEvent(key, version, self.revision, deleted))

    def _count(self, kind: str) -> None:
        self.count_by_kind[kind] = self.count_by_kind.get(kind, 0) + 1

    def _inject(self, fault: str) -> bool:
        remaining = getattr(self.faults, fault)
        if remaining > 0:
            setattr(self.faults, fault, remaining - 1)
        return remaining > 0
