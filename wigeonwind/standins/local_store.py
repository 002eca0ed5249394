"""The object store test double in process, for tests in virtual time."""

from collections.abc import Callable

from wigeonwind.clock import Clock
from wigeonwind.outcomes import Ok
from wigeonwind.standins.faults import Freeze, Slow
from wigeonwind.standins.object_store import (
    ObjectStore,
    RateLimited,
    ResponseLost,
    StoreUnavailable,
    ValueTooLarge,
)
from wigeonwind.state.store_types import (
    Conflict,
    NotFound,
    StoredObject,
    StoreFailure,
    WatchBatch,
)


class InProcessStore:
    """Implements `Store` by calls of an `ObjectStore`, with the faults of that store.

    While the `slow` fault is active, `wait` is called with the delay in milliseconds
    before an operation takes effect. A watch returns at once, also without changes.

    >>> from wigeonwind.clock import ManualClock
    >>> from wigeonwind.standins.faults import LoseAnswers
    >>> core = ObjectStore()
    >>> store = InProcessStore(core, ManualClock())
    >>> core.faults.switch_on(LoseAnswers(1))
    >>> store.put("lease/roller", b"x", 0).maybe_written
    True
    >>> store.get("lease/roller").value.version
    1
    """

    def __init__(
        self,
        store: ObjectStore,
        clock: Clock,
        wait: Callable[[float], None] | None = None,
    ) -> None:
        self.store = store
        self._clock = clock
        self._wait = wait

    def get(self, key: str) -> Ok[StoredObject] | NotFound | StoreFailure:
        """Read an object."""
        result = self.store.get(key, self._wait_and_read_clock())
        return result if isinstance(result, Ok | NotFound) else _store_failure(result)

    def put(
        self, key: str, value: bytes, if_version: int
    ) -> Ok[int] | Conflict | StoreFailure:
        """Write the object if its version is `if_version` (0: it must not exist)."""
        result = self.store.put(key, value, if_version, self._wait_and_read_clock())
        return result if isinstance(result, Ok | Conflict) else _store_failure(result)

    def delete(self, key: str, if_version: int) -> Ok[None] | Conflict | StoreFailure:
        """Delete the object if its version is `if_version`."""
        result = self.store.delete(key, if_version, self._wait_and_read_clock())
        if isinstance(result, NotFound):
            return Conflict(key, 0)
        return result if isinstance(result, Ok | Conflict) else _store_failure(result)

    def watch(
        self, prefix: str, after: int, timeout_ms: float
    ) -> Ok[WatchBatch] | StoreFailure:
        """Return the changes under `prefix` after revision `after`."""
        result = self.store.watch(prefix, after, self._wait_and_read_clock())
        return result if isinstance(result, Ok) else _store_failure(result)

    def _wait_and_read_clock(self) -> float:
        """Apply the `slow` fault; return the time of the operation in milliseconds."""
        slow = self.store.faults.find(Slow)
        if slow and self._wait:
            self._wait(slow.ms)
        assert not self.store.faults.find(Freeze), (
            "an in-process store does not support the freeze fault"
        )
        return self._clock.now_ms()


def _store_failure(
    result: RateLimited | StoreUnavailable | ResponseLost | ValueTooLarge,
) -> StoreFailure:
    if isinstance(result, RateLimited):
        return StoreFailure("rate limited", False, result.retry_after_ms)
    if isinstance(result, ResponseLost):
        return StoreFailure("response lost", maybe_written=True)
    if isinstance(result, ValueTooLarge):
        return StoreFailure(
            f"value exceeds {result.limit_bytes} bytes", maybe_written=False
        )
    return StoreFailure("outage", maybe_written=False)
