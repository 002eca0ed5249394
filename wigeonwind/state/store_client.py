"""The client of the object store; implements `Store` over its HTTP interface."""

import json
from base64 import b64decode
from binascii import Error as Base64Error
from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Any
from urllib.parse import quote, urlencode

from gevent.event import AsyncResult

from wigeonwind.addresses import SocketAddress
from wigeonwind.clock import Clock, SystemClock
from wigeonwind.outcomes import Ok
from wigeonwind.state.store_http import BreakerLimits, LaneLimits, Reply, StoreLane
from wigeonwind.state.store_types import (
    Conflict,
    NotFound,
    StoredObject,
    StoreFailure,
    WatchBatch,
    WatchEvent,
)

CONTENT_TYPE = "application/octet-stream"


@dataclass(frozen=True)
class StoreLimits:
    """Budgets of a process.

    The store allows about 2,000 reads and several hundred writes a second in total. The
    rates bound what one faulty process can take.
    """

    reads: LaneLimits = LaneLimits(connections=8, calls_per_s=100, timeout_ms=2_000)
    writes: LaneLimits = LaneLimits(connections=8, calls_per_s=50, timeout_ms=2_000)
    watches: LaneLimits = LaneLimits(
        connections=4,
        calls_per_s=2,
        timeout_ms=5_000,
        hold_ms=60_000,
        longest_backoff_ms=10_000,
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
    ) -> None:
        limits = limits or StoreLimits()
        clock = clock or SystemClock()
        random = random or Random()
        breaker = limits.breaker

        def lane(budget: LaneLimits) -> StoreLane:
            return StoreLane(address, budget, clock, random, breaker, sleep_ms)

        self.lane_by_kind = {
            "reads": lane(limits.reads),
            "writes": lane(limits.writes),
            "watches": lane(limits.watches),
        }
        self.coalesced_reads = 0
        self._running_by_key: dict[str, AsyncResult] = {}
        self._queued_by_key: dict[str, AsyncResult] = {}

    def close(self) -> None:
        """Close all connections."""
        for lane in self.lane_by_kind.values():
            lane.close()

    def count_by_kind(self) -> dict[str, int]:
        """Return the number of requests sent to the store by kind."""
        return {kind: lane.counts.calls for kind, lane in self.lane_by_kind.items()}

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
        reply = self.lane_by_kind["reads"].call("GET", _path(key))
        if isinstance(reply, StoreFailure):
            return StoreFailure(reply.reason, False, reply.retry_after_ms)
        if reply.status == 404:
            return NotFound(key)
        body = _json(reply)
        try:
            value = b64decode(body["value"], validate=True)
            return Ok(StoredObject(key, int(body["version"]), value))
        except (*ANSWER_ERRORS, Base64Error):
            return _unusable(reply, maybe_written=False)

    def list_versions(self, prefix: str) -> Ok[dict[str, int]] | StoreFailure:
        """Return the version of each object whose key begins with `prefix`."""
        path = "/v1/objects?" + urlencode({"prefix": prefix})
        reply = self.lane_by_kind["reads"].call("GET", path)
        if isinstance(reply, StoreFailure):
            return StoreFailure(reply.reason, False, reply.retry_after_ms)
        body = _json(reply)
        rows: Any = body.get("objects") if isinstance(body, dict) else body
        try:
            return Ok({row["key"]: int(row["version"]) for row in rows})
        except ANSWER_ERRORS:
            return _unusable(reply, maybe_written=False)

    def put(
        self, key: str, value: bytes, if_version: int
    ) -> Ok[int] | Conflict | StoreFailure:
        """Write if the object has `if_version`; the value is the body as it is."""
        headers = {"If-Match": str(if_version), "Content-Type": CONTENT_TYPE}
        reply = self.lane_by_kind["writes"].call("PUT", _path(key), value, headers)
        if isinstance(reply, StoreFailure):
            return reply
        if reply.status == 412:
            return _conflict(key, reply)
        version = _version(reply)
        if reply.status == 200 and isinstance(version, int):
            return Ok(version)
        return _unusable(reply, maybe_written=reply.status == 200)

    def delete(self, key: str, if_version: int) -> Ok[None] | Conflict | StoreFailure:
        """Delete if the object has `if_version`."""
        headers = {"If-Match": str(if_version)}
        reply = self.lane_by_kind["writes"].call("DELETE", _path(key), b"", headers)
        if isinstance(reply, StoreFailure):
            return reply
        if reply.status == 412:
            return _conflict(key, reply)
        if reply.status in (200, 204):
            return Ok(None)
        if reply.status == 404:
            return Conflict(key, 0)
        return _unusable(reply, maybe_written=False)

    def watch(
        self, prefix: str, after: int, timeout_ms: float
    ) -> Ok[WatchBatch] | StoreFailure:
        """Wait for changes; events that the store skips or repeats are passed on so."""
        lane = self.lane_by_kind["watches"]
        timeout_ms = min(timeout_ms, lane.limits.hold_ms)
        fields = {"prefix": prefix, "after": after, "timeout_ms": int(timeout_ms)}
        path = "/v1/watch?" + urlencode(fields)
        reply = lane.call("GET", path, hold_ms=timeout_ms)
        if isinstance(reply, StoreFailure):
            return StoreFailure(reply.reason, False, reply.retry_after_ms)
        body = _json(reply)
        try:
            events = tuple(_event(row) for row in body["events"])
            return Ok(WatchBatch(int(body["revision"]), events))
        except ANSWER_ERRORS:
            return _unusable(reply, maybe_written=False)


ANSWER_ERRORS = (KeyError, TypeError, ValueError, OverflowError)
"""What an answer of another shape raises."""


def _path(key: str) -> str:
    return "/v1/objects/" + quote(key, safe="/")


def _json(reply: Reply) -> Any:
    try:
        return json.loads(reply.body)
    except (ValueError, RecursionError):
        return {}


def _version(reply: Reply) -> object:
    """Return the field `version` of an answer, None if it has none."""
    body = _json(reply)
    return body.get("version") if isinstance(body, dict) else None


def _event(row: Any) -> WatchEvent:
    revision, version = int(row["revision"]), int(row["version"])
    return WatchEvent(str(row["key"]), version, revision, bool(row["deleted"]))


def _conflict(key: str, reply: Reply) -> Conflict:
    version = _version(reply)
    return Conflict(key, version if isinstance(version, int) else 0)


def _unusable(reply: Reply, maybe_written: bool) -> StoreFailure:
    text = reply.body[:80].decode(errors="replace")
    reason = f"store answered {reply.status} {text!r}"
    return StoreFailure(reason, maybe_written)
