"""Deletes booking records whose retention has ended."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol, runtime_checkable

from wigeonwind.outcomes import Ok
from wigeonwind.state.booking_record import decode_record, is_expired
from wigeonwind.state.bookings import KEY_PREFIX
from wigeonwind.state.store_types import Conflict, NotFound, StoredObject, StoreFailure

KEY_PARTITIONS = 256
"""Number of partitions: the first two hexadecimal digits of a key digest select one.

Each step sweeps one partition, so that it takes only a small part of the store's read
limit.
"""


@runtime_checkable
class ListingStore(Protocol):
    """The store calls that a sweep needs."""

    def list_versions(self, prefix: str) -> Ok[dict[str, int]] | StoreFailure:
        """Return the versions of all keys that begin with `prefix`."""
        ...

    def get(self, key: str) -> Ok[StoredObject] | NotFound | StoreFailure:
        """Read one object."""
        ...

    def delete(self, key: str, if_version: int) -> Ok[None] | Conflict | StoreFailure:
        """Delete if the object has `if_version`."""
        ...


@dataclass(frozen=True)
class SweepResult:
    """Records read and deleted in one step; `complete` is False if the store failed."""

    read: int
    deleted: int
    complete: bool


class BookingSweep:
    """Deletes expired records, one partition of the key space per step.

    `wall_ms` returns milliseconds since 1970. Several processes may sweep at the same
    time: a record is deleted only if it still has the version that was read.
    """

    def __init__(self, store: ListingStore, wall_ms: Callable[[], float]) -> None:
        self._store = store
        self._wall_ms = wall_ms
        self._partition = 0

    def step(self) -> SweepResult:
        """Sweep one partition; it is repeated in the next step if the store fails."""
        listed = self._store.list_versions(f"{KEY_PREFIX}{self._partition:02x}")
        if isinstance(listed, StoreFailure):
            return SweepResult(0, 0, False)
        read = deleted = 0
        for key in listed.value:
            found = self._store.get(key)
            if isinstance(found, StoreFailure):
                return SweepResult(read, deleted, False)
            read += 1
            if isinstance(found, Ok) and self._is_expired(found.value):
                removed = self._store.delete(key, found.value.version)
                deleted += isinstance(removed, Ok)
        self._partition = (self._partition + 1) % KEY_PARTITIONS
        return SweepResult(read, deleted, True)

    def _is_expired(self, stored: StoredObject) -> bool:
        record = decode_record(stored.value)
        return record is not None and is_expired(record, self._wall_ms())
