"""Client of the object store; implements `Store` over its HTTP interface."""

from collections.abc import Callable
from dataclasses import dataclass, replace
from random import Random
from typing import Any

from gevent.event import AsyncResult

from wigeonwind.addresses import SocketAddress
from wigeonwind.clock import Clock, SystemClock
from wigeonwind.outcomes import Ok
from wigeonwind.state.store_eras import StoreEras
from wigeonwind.state.store_format import NativeStoreFormat, StoreFormat, StoreRequest
from wigeonwind.state.store_http import (
    BreakerLimits,
    PoolLimits,
    StoreConnectionPool,
    StoreResponse,
)
from wigeonwind.state.store_types import (
    UNKNOWN_ERA,
    Conflict,
    HistoryExpired,
    NotFound,
    ObjectPage,
    StoredObject,
    StoreFailure,
    WatchBatch,
)


@dataclass(frozen=True)
class StoreLimits:
    """Limits on the store calls of one process.

    The store allows about 2,000 reads and several hundred writes per second in total.
    The rate limits bound the share that one faulty process can take.
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
    """Limits of each pool's circuit breaker; None for no circuit breaker."""


class StoreClient:
    """Calls the store; concurrently queued reads of one key are coalesced."""

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
        self.eras = StoreEras()
        """Era of the store, from the answers to all calls."""
        limits = limits or StoreLimits()
        clock = clock or SystemClock()
        random = random or Random()
        breaker = limits.breaker

        def pool(pool_limits: PoolLimits) -> StoreConnectionPool:
            return StoreConnectionPool(
                address,
                pool_limits,
                clock,
                random,
                breaker,
                sleep_ms,
                self._format.era_header,
                self.eras,
            )

        self.pool_by_kind = {
            "reads": pool(limits.reads),
            "writes": pool(limits.writes),
            "watches": pool(limits.watches),
        }
        self.coalesced_reads = 0
        self._in_flight_by_key: dict[str, AsyncResult] = {}
        self._queued_by_key: dict[str, AsyncResult] = {}

    def close(self) -> None:
        """Close all connections."""
        for pool in self.pool_by_kind.values():
            pool.close()

    def count_by_kind(self) -> dict[str, int]:
        """Return the number of requests sent to the store by kind."""
        return {kind: pool.counts.calls for kind, pool in self.pool_by_kind.items()}

    def get(self, key: str) -> Ok[StoredObject] | NotFound | StoreFailure:
        """Read one object.

        A read shares the result of another read of the key only if that one has not
        been sent yet: the response to a read in flight may be older than a write whose
        result the caller has received.
        """
        queued = self._queued_by_key.get(key)
        if queued is not None:
            self.coalesced_reads += 1
            return queued.get()
        in_flight = self._in_flight_by_key.get(key)
        if in_flight is None:
            return self._run_read(key, AsyncResult())
        queued = self._queued_by_key[key] = AsyncResult()
        in_flight.wait()
        del self._queued_by_key[key]
        return self._run_read(key, queued)

    def _run_read(
        self, key: str, pending: AsyncResult
    ) -> Ok[StoredObject] | NotFound | StoreFailure:
        self._in_flight_by_key[key] = pending
        result: Any = StoreFailure("read was interrupted", maybe_written=False)
        try:
            result = self._read(key)
        finally:
            if self._in_flight_by_key.get(key) is pending:
                del self._in_flight_by_key[key]
            pending.set(result)
        return result

    def _read(self, key: str) -> Ok[StoredObject] | NotFound | StoreFailure:
        response = self._call("reads", self._format.get(key))
        if isinstance(response, StoreFailure):
            return _as_read_failure(response)
        return self._format.read_get(key, response) or _unexpected_response(
            response, False
        )

    def _call(
        self, kind: str, request: StoreRequest, hold_ms: float = 0.0
    ) -> StoreResponse | StoreFailure:
        pool = self.pool_by_kind[kind]
        return pool.call(
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

        Its revision is that of the first page, so a watch from there includes changes
        made while the other pages were read. Pages of two eras are not joined.
        """
        objects: list[StoredObject] = []
        revision: int | None = None
        era = UNKNOWN_ERA
        after = ""
        while True:
            response = self._call("reads", self._format.list_page(prefix, after))
            if isinstance(response, StoreFailure):
                return _as_read_failure(response)
            if after and response.era != era:
                objects, revision, after = [], None, ""
                continue
            page = self._format.read_list_page(prefix, response)
            if page is None:
                return _unexpected_response(response, maybe_written=False)
            objects += page.value.objects
            if revision is None:
                revision, era = page.value.revision, response.era
            if not page.value.next_after:
                return Ok(ObjectPage(tuple(objects), revision, era=era))
            after = page.value.next_after

    def put(
        self, key: str, value: bytes, if_version: int
    ) -> Ok[int] | Conflict | StoreFailure:
        """Write if the object has `if_version` (0: must not exist).

        The result is the new version.
        """
        response = self._call("writes", self._format.put(key, value, if_version))
        if isinstance(response, StoreFailure):
            return response
        if response.era != self.eras.current:
            # What was written in the earlier era may be lost.
            return StoreFailure("the store has returned from a copy meanwhile", True)
        found = self._format.read_put(key, response)
        return found or _unexpected_response(
            response, maybe_written=response.status == 200
        )

    def delete(self, key: str, if_version: int) -> Ok[None] | Conflict | StoreFailure:
        """Delete if the object has `if_version`."""
        response = self._call("writes", self._format.delete(key, if_version))
        if isinstance(response, StoreFailure):
            return response
        return self._format.read_delete(key, response) or _unexpected_response(
            response, False
        )

    def watch(
        self, prefix: str, after: int, timeout_ms: float
    ) -> Ok[WatchBatch] | HistoryExpired | StoreFailure:
        """Wait for changes; events the store skips or repeats are not corrected."""
        timeout_ms = min(timeout_ms, self.pool_by_kind["watches"].limits.hold_ms)
        request = self._format.watch(prefix, after, timeout_ms)
        response = self._call("watches", request, hold_ms=timeout_ms)
        if isinstance(response, StoreFailure):
            return _as_read_failure(response)
        result = self._format.read_watch(prefix, after, response)
        if isinstance(result, HistoryExpired):
            return replace(result, era=response.era)
        if result is None:
            return _unexpected_response(response, False)
        return Ok(replace(result.value, era=response.era))


def _as_read_failure(failure: StoreFailure) -> StoreFailure:
    """Return the failure without `maybe_written`, as a read writes nothing."""
    return StoreFailure(failure.reason, False, failure.retry_after_ms)


def _unexpected_response(response: StoreResponse, maybe_written: bool) -> StoreFailure:
    text = response.body[:80].decode(errors="replace")
    reason = f"unexpected store response: status {response.status}, body {text!r}"
    return StoreFailure(reason, maybe_written)
