"""HTTP server of the object store test double (design 6.3)."""

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
    HttpRequest,
    HttpResponse,
    TestDoubleServer,
    error_response,
    json_response,
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
"""Upper limit of the `timeout_ms` of a watch."""


class ObjectStoreServer(TestDoubleServer):
    """Serves an `ObjectStore`; checkers may read `store` directly."""

    kind = "object store"
    refuses_in_outage = False
    supported_faults = TestDoubleServer.supported_faults | {
        "skip_watch",
        "repeat_watch",
    }

    def __init__(
        self,
        address: SocketAddress,
        limits: StoreLimits | None = None,
        clock: Clock | None = None,
    ) -> None:
        super().__init__(address, clock)
        self.store = ObjectStore(limits, self.faults)
        self._prefix_by_waiter: dict[Event, str] = {}
        self.routes[("GET", "/v1/objects")] = self._list
        self.routes[("GET", OBJECTS_PATH)] = self._get
        self.routes[("PUT", OBJECTS_PATH)] = self._put
        self.routes[("DELETE", OBJECTS_PATH)] = self._delete
        self.routes[("GET", "/v1/watch")] = self._watch
        self.routes[("GET", "/v1/counts")] = self._counts

    def drops_response(self, request: HttpRequest) -> bool:
        """Return False: the `ObjectStore` decides which responses are lost."""
        return False

    def on_fault(self, fault: Fault) -> None:
        """Wake the waiting watches; an outage ends them."""
        super().on_fault(fault)
        self._wake_watches("")

    def _wake_watches(self, key: str) -> None:
        """Wake the waiting watches of `key`, or all if `key` is empty."""
        for waiter, prefix in list(self._prefix_by_waiter.items()):
            if not key or key.startswith(prefix):
                waiter.set()

    def _list(self, request: HttpRequest) -> HttpResponse:
        result = self.store.list_versions(
            request.query.get("prefix", ""), self.clock.now_ms()
        )
        if not isinstance(result, Ok):
            return _refusal_response(result)
        return json_response({"objects": [asdict(row) for row in result.value]})

    def _get(self, request: HttpRequest) -> HttpResponse:
        result = self.store.get(_object_key(request), self.clock.now_ms())
        if not isinstance(result, Ok):
            return _refusal_response(result)
        stored = result.value
        value = b64encode(stored.value).decode()
        return json_response(
            {"key": stored.key, "version": stored.version, "value": value}
        )

    def _put(self, request: HttpRequest) -> HttpResponse:
        condition = request.headers.get("if-match")
        if not _is_version(condition):
            return _invalid_version()
        if_version = int(condition) if condition else None
        now_ms = self.clock.now_ms()
        result = self.store.put(_object_key(request), request.body, if_version, now_ms)
        self._wake_watches(_object_key(request))
        if not isinstance(result, Ok):
            return self._write_refusal_response(result)
        return json_response({"version": result.value})

    def _delete(self, request: HttpRequest) -> HttpResponse:
        condition = request.headers.get("if-match")
        if not _is_version(condition):
            return _invalid_version()
        if_version = int(condition) if condition else None
        result = self.store.delete(
            _object_key(request), if_version, self.clock.now_ms()
        )
        self._wake_watches(_object_key(request))
        if not isinstance(result, Ok):
            return self._write_refusal_response(result)
        return json_response({})

    def _write_refusal_response(self, result: object) -> HttpResponse:
        if isinstance(result, ResponseLost):
            self.drop_connection()
        return _refusal_response(result)

    def _watch(self, request: HttpRequest) -> HttpResponse:
        after = request.query.get("after", "0")
        timeout = request.query.get("timeout_ms", "0")
        if not after.isdigit() or not timeout.isdigit():
            return error_response(
                400, "bad_request", "after and timeout_ms must be non-negative integers"
            )
        prefix = request.query.get("prefix", "")
        now_ms = self.clock.now_ms()
        result = self.store.watch(prefix, int(after), now_ms)
        if not isinstance(result, Ok):
            return _refusal_response(result)
        batch = result.value
        if not batch.events:
            until_ms = now_ms + min(float(timeout), MAX_WATCH_MS)
            changes = self._wait_for_changes(request, prefix, batch.revision, until_ms)
            if changes is None:
                return _refusal_response(StoreUnavailable())
            batch = changes
        events = [asdict(event) for event in batch.events]
        return json_response({"revision": batch.revision, "events": events})

    def _wait_for_changes(
        self, request: HttpRequest, prefix: str, after: int, until_ms: float
    ) -> WatchBatch | None:
        """Return the next changes, or an empty batch after a timeout.

        None means that the store has an outage.
        """
        changed = Event()
        self._prefix_by_waiter[changed] = prefix
        try:
            while True:
                remaining_s = (until_ms - self.clock.now_ms()) / MS_PER_SECOND
                if remaining_s <= 0:
                    return self.store.changes(prefix, after)
                if not changed.wait(min(remaining_s, CLIENT_CHECK_INTERVAL_S)):
                    if request.client_disconnected():
                        self.drop_connection()
                    continue
                changed.clear()
                if self.faults.find(Outage):
                    return None
                batch = self.store.changes(prefix, after)
                if batch.events:
                    return batch
                after = batch.revision
        finally:
            del self._prefix_by_waiter[changed]

    def _counts(self, request: HttpRequest) -> HttpResponse:
        return json_response(asdict(self.store.counts()))


def _object_key(request: HttpRequest) -> str:
    return request.path.removeprefix(OBJECTS_PATH)


def _is_version(text: str | None) -> bool:
    return text is None or text.isdigit()


def _invalid_version() -> HttpResponse:
    return error_response(400, "bad_request", "If-Match must be a version number")


def _refusal_response(result: object) -> HttpResponse:
    if isinstance(result, NotFound):
        return error_response(404, "not_found", f"object {result.key!r} does not exist")
    if isinstance(result, Conflict):
        message = f"object {result.key!r} has version {result.version}"
        return error_response(412, "conflict", message, version=result.version)
    if isinstance(result, ValueTooLarge):
        return error_response(
            413, "too_large", f"value exceeds {result.limit_bytes} bytes"
        )
    if isinstance(result, RateLimited):
        retry_after_ms = ceil(result.retry_after_ms)
        message = "rate limit of the object store exceeded"
        return error_response(
            429, "rate_limited", message, retry_after_ms=retry_after_ms
        )
    assert isinstance(result, StoreUnavailable), result
    return error_response(503, "outage", "the object store is unavailable")
