"""The client of the object store; implements `Store` over its HTTP interface."""

from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Any

from gevent.event import AsyncResult

from wigeonwind.addresses import SocketAddress
from wigeonwind.clock import Clock, SystemClock
from wigeonwind.outcomes import Ok
from wigeonwind.state.store_format import NativeStoreFormat, StoreFormat, StoreRequest
from wigeonwind.state.store_http import (
    BreakerLimits,
    PoolLimits,
    Reply,
    StoreConnectionPool,
)
from wigeonwind.state.store_types import (
    Conflict,
    HistoryGone,
    NotFound,
    ObjectPage,
    StoredObject,
    StoreFailure,
    WatchBatch,
)


@dataclass(frozen=True)
class StoreLimits:
    """Budgets of a process.

    The store allows about 2,000 reads and several hundred writes a second in total. The
    rates bound what one faulty process can take.
    """

    reads: PoolLimits = PoolLimits(connections=8, calls_per_s=100, timeout_ms=2_000)
    writes: PoolLimits = PoolLimits(connections=8, calls_per_s=50, timeout_ms=2_000)
    watches: PoolLimits = PoolLimits(
        connections=4,
        calls_per_s=2,
        timeout_ms=5_000,
        hold_ms=60_000,
        max_backoff_ms=10_000,
    )
    breaker: BreakerLimits | None = None


class StoreClient:
    """Calls the store; identical reads that wait at the same time become one."""

    def __init__(
        self,
        address: SocketAddress,
        limits: StoreLimits | None = None,
        clock: Clock | None = None,
        random: Random | None = None,
        sleep_ms: Callable[[float], None] | None = None,
        format: StoreFormat | None = None,
    ) -> None:
        self._format = format or NativeStoreFormat()
        limits = limits or StoreLimits()
        clock = clock or SystemClock()
        random = random or Random()
        breaker = limits.breaker

        def lane(budget: PoolLimits) -> StoreConnectionPool:
            return StoreConnectionPool(
                address, budget, clock, random, breaker, sleep_ms
            )

        self.pool_by_kind = {
            "reads": lane(limits.reads),
            "writes": lane(limits.writes),
            "watches": lane(limits.watches),
        }
        self.coalesced_reads = 0
        self._running_by_key: dict[str, AsyncResult] = {}
        self._queued_by_key: dict[str, AsyncResult] = {}

    def close(self) -> None:
        """Close all connections."""
        for lane in self.pool_by_kind.values():
            lane.close()

    def count_by_kind(self) -> dict[str, int]:
        """Return the number of requests sent to the store by kind."""
        return {kind: lane.counts.calls for kind, lane in self.pool_by_kind.items()}

    def get(self, key: str) -> Ok[StoredObject] | NotFound | StoreFailure:
        """Read one object.

        A read joins another of the same key only if that one has not been sent: an
        answer that was already under way may be older than a write known to the caller.
        """
        queued = self._queued_by_key.get(key)
        if queued is not None:
            self.coalesced_reads += 1
            return queued.get()
        running = self._running_by_key.get(key)
        if running is None:
            return self._run_read(key, AsyncResult())
        queued = self._queued_by_key[key] = AsyncResult()
        running.wait()
        del self._queued_by_key[key]
        return self._run_read(key, queued)

    def _run_read(
        self, key: str, waiting: AsyncResult
    ) -> Ok[StoredObject] | NotFound | StoreFailure:
        self._running_by_key[key] = waiting
        result: Any = StoreFailure("read was cut short", maybe_written=False)
        try:
            result = self._read(key)
        finally:
            if self._running_by_key.get(key) is waiting:
                del self._running_by_key[key]
            waiting.set(result)
        return result

    def _read(self, key: str) -> Ok[StoredObject] | NotFound | StoreFailure:
        reply = self._call("reads", self._format.get(key))
        if isinstance(reply, StoreFailure):
            return _of_read(reply)
        return self._format.read_get(key, reply) or _unusable(reply, False)

    def _call(
        self, kind: str, request: StoreRequest, hold_ms: float = 0.0
    ) -> Reply | StoreFailure:
        lane = self.pool_by_kind[kind]
        return lane.call(
            request.method, request.path, request.body, request.headers, hold_ms
        )

    def list_versions(self, prefix: str) -> Ok[dict[str, int]] | StoreFailure:
        """Return the version of each object whose key begins with `prefix`."""
        page = self.list_objects(prefix)
        if isinstance(page, StoreFailure):
            return page
        return Ok({each.key: each.version for each in page.value.objects})

    def list_objects(self, prefix: str) -> Ok[ObjectPage] | StoreFailure:
        """Return all objects whose key begins with `prefix`, as one page.

        Its revision is that of the first page: changes made while the others were read
        are seen by a watch from there.
        """
        objects: list[StoredObject] = []
        revision: int | None = None
        after = ""
        while True:
            reply = self._call("reads", self._format.list_page(prefix, after))
            if isinstance(reply, StoreFailure):
                return _of_read(reply)
            page = self._format.read_list_page(prefix, reply)
            if page is None:
                return _unusable(reply, maybe_written=False)
            objects += page.value.objects
            revision = page.value.revision if revision is None else revision
            if not page.value.next_after:
                return Ok(ObjectPage(tuple(objects), revision))
            after = page.value.next_after

    def put(
        self, key: str, value: bytes, if_version: int
    ) -> Ok[int] | Conflict | StoreFailure:
        """Write if the object has `if_version`; the value is the body as it is."""
        reply = self._call("writes", self._format.put(key, value, if_version))
        if isinstance(reply, StoreFailure):
            return reply
        found = self._format.read_put(key, reply)
        return found or _unusable(reply, maybe_written=reply.status == 200)

    def delete(self, key: str, if_version: int) -> Ok[None] | Conflict | StoreFailure:
        """Delete if the object has `if_version`."""
        reply = self._call("writes", self._format.delete(key, if_version))
        if isinstance(reply, StoreFailure):
            return reply
        return self._format.read_delete(key, reply) or _unusable(reply, False)

    def watch(
        self, prefix: str, after: int, timeout_ms: float
    ) -> Ok[WatchBatch] | HistoryGone | StoreFailure:
        """Wait for changes; events that the store skips or repeats are passed on so."""
        timeout_ms = min(timeout_ms, self.pool_by_kind["watches"].limits.hold_ms)
        request = self._format.watch(prefix, after, timeout_ms)
        reply = self._call("watches", request, hold_ms=timeout_ms)
        if isinstance(reply, StoreFailure):
            return _of_read(reply)
        return self._format.read_watch(prefix, after, reply) or _unusable(reply, False)


def _of_read(failure: StoreFailure) -> StoreFailure:
    """Return the failure of a call that cannot have written anything."""
    return StoreFailure(failure.reason, False, failure.retry_after_ms)


def _unusable(reply: Reply, maybe_written: bool) -> StoreFailure:
    text = reply.body[:80].decode(errors="replace")
    reason = f"store answered {reply.status} {text!r}"
    return StoreFailure(reason, maybe_written)
