"""Results of object store calls, and the interface of the store."""

from dataclasses import dataclass
from typing import Protocol

from wigeonwind.outcomes import Ok

UNKNOWN_ERA = -1
"""Era of a store that does not state any; it is older than every known era."""


@dataclass(frozen=True, order=True, slots=True)
class StoreRevision:
    """A point in the history of a store, ordered by era, then by number.

    The era rises each time the store returns from a copy. The number counts the changes
    of the store; after a return it goes back, and numbers are given out again.
    """

    era: int
    number: int


NO_REVISION = StoreRevision(UNKNOWN_ERA, 0)
"""Older than every revision of a store, as these start above 0."""


@dataclass(frozen=True)
class StoredObject:
    """One stored object; `version` counts its writes from 1."""

    key: str
    version: int
    value: bytes


@dataclass(frozen=True)
class NotFound:
    """No object exists under this key."""

    key: str


@dataclass(frozen=True)
class Conflict:
    """A conditional write found another version; `version` 0 means no object."""

    key: str
    version: int


@dataclass(frozen=True)
class StoreFailure:
    """A call got no usable response from the store.

    `maybe_written` is True if a write may have taken effect nevertheless. The call may
    be repeated after `retry_after_ms`.
    """

    reason: str
    maybe_written: bool
    retry_after_ms: float = 1000.0


@dataclass(frozen=True)
class WatchEvent:
    """One change under a watched prefix.

    `version` counts the writes of the object, `revision` the changes of the store.
    """

    key: str
    version: int
    revision: int
    deleted: bool
    value: bytes | None = None
    """The new value, if the store sends values with events."""


@dataclass(frozen=True)
class ObjectPage:
    """One page of a listing; `revision` is that of the store when it was created.

    `next_after` is the key after which the next page starts, empty on the last page.
    `era` is that of the store when it answered.
    """

    objects: tuple[StoredObject, ...]
    revision: int
    next_after: str = ""
    era: int = UNKNOWN_ERA


@dataclass(frozen=True)
class HistoryExpired:
    """The store no longer has the changes after a revision; the caller must relist."""

    revision: int
    era: int = UNKNOWN_ERA


@dataclass(frozen=True)
class WatchBatch:
    """Changes after a revision; `revision` is where the next watch starts."""

    revision: int
    events: tuple[WatchEvent, ...]
    era: int = UNKNOWN_ERA


class Store(Protocol):
    """The object store calls that the rest of the system uses."""

    def get(self, key: str) -> Ok[StoredObject] | NotFound | StoreFailure:
        """Read one object."""
        ...

    def put(
        self, key: str, value: bytes, if_version: int
    ) -> Ok[int] | Conflict | StoreFailure:
        """Write if the object has `if_version` (0: must not exist).

        The result is the new version.
        """
        ...

    def delete(self, key: str, if_version: int) -> Ok[None] | Conflict | StoreFailure:
        """Delete if the object has `if_version`."""
        ...

    def watch(
        self, prefix: str, after: int, timeout_ms: float
    ) -> Ok[WatchBatch] | HistoryExpired | StoreFailure:
        """Wait for changes under `prefix` after revision `after`."""
        ...
