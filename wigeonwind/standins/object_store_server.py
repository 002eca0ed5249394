"""The object store test double over HTTP (design 6.3)."""

from base64 import b64encode
from dataclasses import asdict
from math import ceil

from gevent.event import Event

from wigeonwind.addresses import SocketAddress
from wigeonwind.clock import MS_PER_SECOND, Clock
from wigeonwind.outcomes import Ok
from wigeonwind.standins.faults import Fault, Outage
from wigeonwind.standins.http_server import (
    CLIENT_CHECK_INTERVAL_S,
    Call,
    Reply,
    StandinServer,
    error_reply,
    json_reply,
)
from wigeonwind.standins.object_store import (
    ObjectStore,
    RateLimited,
    ResponseLost,
    StoreLimits,
    StoreUnavailable,
    ValueTooLarge,
)
from wigeonwind.state.store_types import Conflict, NotFound, WatchBatch

OBJECTS_PATH = "/v1/objects/"
MAX_WATCH_MS = 60_000.0


class ObjectStoreServer(StandinServer):
    """Serves an `ObjectStore`; `store` may be read by checkers."""

    kind = "object store"
    refuses_in_outage = False
    supported_faults = StandinServer.supported_faults | {"skip_watch", "repeat_watch"}

    def __init__(
        self,
        address: SocketAddress,
        limits: StoreLimits | None = None,
        clock: Clock | None = None,
    ) -> None:
        super().__init__(address, clock)
        self.store = ObjectStore(limits, self.faults)
        self._watch_by_event: dict[Event, str] = {}
        self.routes[("GET", "/v1/objects")] = self._list
        self.routes[("GET", OBJECTS_PATH)] = self._get
        self.routes[("PUT", OBJECTS_PATH)] = self._put
        self.routes[("DELETE", OBJECTS_PATH)] = self._delete
        self.routes[("GET", "/v1/watch")] = self._watch
        self.routes[("GET", "/v1/counts")] = self._counts

    def loses_answer(self, call: Call) -> bool:
        """Return False: the store itself decides which answers are lost."""
        return False

    def on_fault(self, fault: Fault) -> None:
        """Wake the waiting watches, as an outage ends them."""
        super().on_fault(fault)
        self._wake("")

    def _wake(self, key: str) -> None:
        for event, prefix in list(self._watch_by_event.items()):
            if not key or key.startswith(prefix):
                event.set()

    def _list(self, call: Call) -> Reply:
        result = self.store.list_versions(
            call.query.get("prefix", ""), self.clock.now_ms()
        )
        if not isinstance(result, Ok):
            return _refusal(result)
        return json_reply({"objects": [asdict(row) for row in result.value]})

    def _get(self, call: Call) -> Reply:
        result = self.store.get(_key(call), self.clock.now_ms())
        if not isinstance(result, Ok):
            return _refusal(result)
        found = result.value
        value = b64encode(found.value).decode()
        return json_reply({"key": found.key, "version": found.version, "value": value})

    def _put(self, call: Call) -> Reply:
        condition = call.headers.get("if-match")
        if not _is_version(condition):
            return _bad_version()
        if_version = int(condition) if condition else None
        now_ms = self.clock.now_ms()
        result = self.store.put(_key(call), call.body, if_version, now_ms)
        self._wake(_key(call))
        if not isinstance(result, Ok):
            return self._write_refusal(result)
        return json_reply({"version": result.value})

    def _delete(self, call: Call) -> Reply:
        condition = call.headers.get("if-match")
        if not _is_version(condition):
            return _bad_version()
        if_version = int(condition) if condition else None
        result = self.store.delete(_key(call), if_version, self.clock.now_ms())
        self._wake(_key(call))
        if not isinstance(result, Ok):
            return self._write_refusal(result)
        return json_reply({})

    def _write_refusal(self, result: object) -> Reply:
        if isinstance(result, ResponseLost):
            self.lose_connection()
        return _refusal(result)

    def _watch(self, call: Call) -> Reply:
        after = call.query.get("after", "0")
        timeout = call.query.get("timeout_ms", "0")
        if not after.isdigit() or not timeout.isdigit():
            return error_reply(400, "bad_request", "after and timeout_ms: numbers")
        prefix = call.query.get("prefix", "")
        now_ms = self.clock.now_ms()
        result = self.store.watch(prefix, int(after), now_ms)
        if not isinstance(result, Ok):
            return _refusal(result)
        batch = result.value
        if not batch.events:
            until_ms = now_ms + min(float(timeout), MAX_WATCH_MS)
            waited = self._wait_for_change(call, prefix, batch.revision, until_ms)
            if waited is None:
                return _refusal(StoreUnavailable())
            batch = waited
        return json_reply(asdict(batch))

    def _wait_for_change(
        self, call: Call, prefix: str, after: int, until_ms: float
    ) -> WatchBatch | None:
        """Return the first changes, an empty batch in the end, None in an outage."""
        changed = Event()
        self._watch_by_event[changed] = prefix
        try:
            while True:
                left_s = (until_ms - self.clock.now_ms()) / MS_PER_SECOND
                if left_s <= 0:
                    return self.store.changes(prefix, after)
                if not changed.wait(min(left_s, CLIENT_CHECK_INTERVAL_S)):
                    if call.client_is_gone():
                        self.lose_connection()
                    continue
                changed.clear()
                if self.faults.find(Outage):
                    return None
                batch = self.store.changes(prefix, after)
                if batch.events:
                    return batch
                after = batch.revision
        finally:
            del self._watch_by_event[changed]

    def _counts(self, call: Call) -> Reply:
        return json_reply(asdict(self.store.counts()))


def _key(call: Call) -> str:
    return call.path.removeprefix(OBJECTS_PATH)


def _is_version(text: str | None) -> bool:
    return text is None or text.isdigit()


def _bad_version() -> Reply:
    return error_reply(400, "bad_request", "If-Match must be a version number")


def _refusal(result: object) -> Reply:
    if isinstance(result, NotFound):
        return error_reply(404, "not_found", f"no object {result.key!r}")
    if isinstance(result, Conflict):
        message = f"{result.key!r} has version {result.version}"
        return error_reply(412, "conflict", message, version=result.version)
    if isinstance(result, ValueTooLarge):
        return error_reply(413, "too_large", f"over {result.limit_bytes} bytes")
    if isinstance(result, RateLimited):
        retry_after_ms = ceil(result.retry_after_ms)
        message = "over the rate of the store"
        return error_reply(429, "rate_limited", message, retry_after_ms=retry_after_ms)
    assert isinstance(result, StoreUnavailable), result
    return error_reply(503, "outage", "the object store is unavailable")
