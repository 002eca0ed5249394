"""Deletes booking records that are past their retention."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol, runtime_checkable

from wigeonwind.outcomes import Ok
from wigeonwind.state.booking_record import decode_record, is_expired
from wigeonwind.state.bookings import KEY_PREFIX
from wigeonwind.state.store_types import Conflict, NotFound, StoredObject, StoreFailure

KEY_PARTITIONS = 256
"""Parts of the key space, by the first two hexadecimal digits of the digest.

A step reads the records of one part, so that it stays small against the store's limit
of reads.
"""


@runtime_checkable
class ListingStore(Protocol):
    """The calls of the object store that a sweep makes."""

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
    """What one step did; `complete` False means that the store failed."""

    read: int
    deleted: int
    complete: bool


class BookingSweep:
    """Goes through all records part by part; `wall_ms` is milliseconds since 1970.

    Several processes may sweep at the same time: a record is deleted only in the
    version that was read.
    """

    def __init__(self, store: ListingStore, wall_ms: Callable[[], float]) -> None:
        self._store = store
        self._wall_ms = wall_ms
        self._part = 0

    def step(self) -> SweepResult:
        """Sweep one part; a part in which the store failed is tried again next."""
        listed = self._store.list_versions(f"{KEY_PREFIX}{self._part:02x}")
        if isinstance(listed, StoreFailure):
            return SweepResult(0, 0, False)
        read = deleted = 0
        for key in listed.value:
            found = self._store.get(key)
            if isinstance(found, StoreFailure):
                return SweepResult(read, deleted, False)
            read += 1
            if isinstance(found, Ok) and self._is_due(found.value):
                gone = self._store.delete(key, found.value.version)
                deleted += isinstance(gone, Ok)
        self._part = (self._part + 1) % KEY_PARTITIONS
        return SweepResult(read, deleted, True)

    def _is_due(self, stored: StoredObject) -> bool:
        record = decode_record(stored.value)
        return record is not None and is_expired(record, self._wall_ms())
