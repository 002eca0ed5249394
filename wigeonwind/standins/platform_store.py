"""A test double of the outer platform's store: objects by kind and name over HTTP."""

import json
import re
import socket
from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from typing import Any
from urllib.parse import parse_qs, unquote

import gevent
from gevent.event import Event
from gevent.pywsgi import WSGIHandler, WSGIServer

from wigeonwind.addresses import SocketAddress
from wigeonwind.clock import MS_PER_SECOND

OBJECTS_PATH = "/api/objects/"

ERA_HEADER = "Store-Era"

SOCKET_KEY = "wigeonwind.socket"
"""Key of the connection's socket in the WSGI environment."""

RAW_MARK = "raw object "
RAW_PATTERN = re.compile(b'"%s([0-9a-f]*)"' % RAW_MARK.encode())
"""Placeholder for the text of a `RawObject` in a response."""

SILENCE_POLL_MS = 50.0
"""Interval at which a request to a silent store polls for the end of the silence."""


@dataclass(frozen=True)
class RawObject:
    """The text of a whole object, which is sent as it is, valid or not."""

    text: bytes


@dataclass
class _StoredObject:
    revision: int
    spec: Any
    """The JSON value of the spec, or a `RawObject`."""


ObjectsByKind = dict[str, dict[str, _StoredObject]]


@dataclass(frozen=True)
class _Change:
    revision: int
    kind: str
    name: str
    spec: Any
    is_removed: bool


@dataclass
class PlatformStoreFaults:
    """The active faults of a platform store.

    If `status` is not 0, every request gets that status. With `is_silent`, no request
    gets a response. The next `unanswered_writes` writes take effect, but their
    connections are closed without a response.
    """

    status: int = 0
    is_silent: bool = False
    unanswered_writes: int = 0


@dataclass
class PlatformStoreState:
    """The objects and all changes since the last compaction."""

    era: int = 1
    """Rises by one each time that the store returns from a copy."""
    revision: int = 1
    objects_by_kind: ObjectsByKind = field(default_factory=dict)
    changes: list[_Change] = field(default_factory=list)
    oldest_revision: int = 0
    """Revision of the last compaction; watches from before it get status 410."""

    def copy(self) -> "PlatformStoreState":
        """Return a copy that later writes do not change."""
        return replace(
            self,
            objects_by_kind={
                kind: dict(objects) for kind, objects in self.objects_by_kind.items()
            },
            changes=list(self.changes),
        )


class _Handler(WSGIHandler):
    """Puts the connection's socket into the WSGI environment."""

    def get_environ(self) -> dict[str, Any]:
        """Return the WSGI environment with the socket."""
        return {**super().get_environ(), SOCKET_KEY: self.socket}


class PlatformStore:
    """Serves the store's HTTP API; tests write objects with `put` and `remove`.

    `requests` holds the method and path of every request received. With `states_era`,
    every response has the header ERA_HEADER.
    """

    def __init__(
        self, address: SocketAddress | None = None, states_era: bool = True
    ) -> None:
        address = address or SocketAddress("127.0.0.1", 0)
        self.states_era = states_era
        self.state = PlatformStoreState()
        self.faults = PlatformStoreFaults()
        self.requests: list[str] = []
        self._changed = Event()
        self._interruptions = 0
        target = (address.host, address.port)
        self._server = WSGIServer(
            target, self._application, handler_class=_Handler, log=None, error_log=None
        )
        self._server.start()

    @property
    def address(self) -> SocketAddress:
        """Return the bound address."""
        return SocketAddress("127.0.0.1", self._server.server_port)

    def stop(self) -> None:
        """Stop without waiting for requests in flight."""
        self._server.stop(timeout=0)

    def put(self, kind: str, name: str, spec: Any) -> int:
        """Write an object and return its revision."""
        state = self.state
        state.revision += 1
        stored = _StoredObject(state.revision, spec)
        state.objects_by_kind.setdefault(kind, {})[name] = stored
        state.changes.append(_Change(state.revision, kind, name, spec, False))
        self._wake_watches()
        return state.revision

    def put_raw(self, kind: str, name: str, text: bytes) -> int:
        """Write an object whose text is sent as it is; return its revision."""
        return self.put(kind, name, RawObject(text))

    def remove(self, kind: str, name: str) -> None:
        """Remove an object, if it exists."""
        state = self.state
        if state.objects_by_kind.get(kind, {}).pop(name, None) is None:
            return
        state.revision += 1
        state.changes.append(_Change(state.revision, kind, name, None, True))
        self._wake_watches()

    def compact(self) -> None:
        """Discard the change history; watches that need it end with status 410."""
        self.state.changes.clear()
        self.state.oldest_revision = self.state.revision
        self._wake_watches()

    def return_from(
        self, copy: PlatformStoreState, is_noticed_by_watches: bool = True
    ) -> None:
        """Go on from a copy made earlier; what was written since is lost.

        Open watches are answered, with status 410 if the copy lacks their revision.
        Without `is_noticed_by_watches`, open watches wait on: their revision is not
        checked again, and they get the next change beyond it.
        """
        self.state = replace(copy.copy(), era=self.state.era + 1)
        if is_noticed_by_watches:
            self._interrupt_watches()

    def _interrupt_watches(self) -> None:
        self._interruptions += 1
        self._wake_watches()

    def _wake_watches(self) -> None:
        self._changed.set()
        self._changed = Event()

    def _application(self, environ: dict[str, Any], start: Any) -> Iterable[bytes]:
        method, path = environ["REQUEST_METHOD"], environ["PATH_INFO"]
        self.requests.append(f"{method} {path}")
        body = environ["wsgi.input"].read()
        while self.faults.is_silent:
            gevent.sleep(SILENCE_POLL_MS / MS_PER_SECOND)
        if self.faults.status:
            return self._respond(start, self.faults.status, {})
        kind, _, name = unquote(path.removeprefix(OBJECTS_PATH)).partition("/")
        query = {
            key: rows[0] for key, rows in parse_qs(environ["QUERY_STRING"]).items()
        }
        if method != "GET" and self.faults.unanswered_writes:
            self.faults.unanswered_writes -= 1
            self._write(method, kind, name, query, body)
            # The response below does not reach the client after this.
            environ[SOCKET_KEY].shutdown(socket.SHUT_RDWR)
            return self._respond(start, 500, {})
        if method == "GET" and "watch" in query:
            wait_ms = float(query.get("wait_ms", 0))
            status, document = self._watch(kind, int(query["watch"]), wait_ms)
        elif method == "GET":
            status, document = self._read(kind, name)
        else:
            status, document = self._write(method, kind, name, query, body)
        return self._respond(start, status, document)

    def _respond(self, start: Any, status: int, document: Any) -> Iterable[bytes]:
        era = str(self.state.era) if self.states_era else None
        return _respond(start, status, document, era)

    def _read(self, kind: str, name: str) -> tuple[int, Any]:
        objects = self.state.objects_by_kind.get(kind, {})
        if name:
            found = objects.get(name)
            return (404, {}) if found is None else (200, _object(name, found))
        entries = [_object(each, stored) for each, stored in sorted(objects.items())]
        page = {"entries": entries, "has_more": False}
        return 200, {**page, "store_revision": self.state.revision}

    def _watch(self, kind: str, after: int, wait_ms: float) -> tuple[int, Any]:
        deadline_s = gevent.get_hub().loop.now() + wait_ms / MS_PER_SECOND
        interruptions, is_known = self._interruptions, after <= self.state.revision
        while True:
            state = self.state
            is_interrupted = self._interruptions != interruptions
            if is_interrupted:
                is_known = after <= state.revision
            if after < state.oldest_revision or not is_known:
                return 410, {}
            events = [
                {
                    "removed": change.is_removed,
                    "object": _object(
                        change.name, _StoredObject(change.revision, change.spec)
                    ),
                }
                for change in state.changes
                if change.revision > after and change.kind == kind
            ]
            remaining_s = deadline_s - gevent.get_hub().loop.now()
            if events or remaining_s <= 0 or is_interrupted:
                return 200, {"events": events, "store_revision": state.revision}
            self._changed.wait(remaining_s)
            gevent.get_hub().loop.update_now()

    def _write(
        self, method: str, kind: str, name: str, query: dict[str, str], body: bytes
    ) -> tuple[int, Any]:
        document = json.loads(body) if body else {}
        metadata = document.get("metadata", {})
        name = name or metadata.get("name", "")
        found = self.state.objects_by_kind.get(kind, {}).get(name)
        expected_revision = int(query.get("revision") or metadata.get("revision") or 0)
        if method == "POST" and found is not None:
            return 409, _object(name, found)
        if method != "POST" and found is None:
            return 404, {}
        if (
            found is not None
            and expected_revision
            and expected_revision != found.revision
        ):
            return 409, _object(name, found)
        if method == "DELETE":
            self.remove(kind, name)
            return 200, {}
        revision = self.put(kind, name, document.get("spec"))
        return 200, _object(name, _StoredObject(revision, document.get("spec")))


def _object(name: str, stored: _StoredObject) -> Any:
    if isinstance(stored.spec, RawObject):
        return RAW_MARK + stored.spec.text.hex()
    metadata = {"name": name, "revision": stored.revision, "created": 1}
    return {"metadata": metadata, "spec": stored.spec, "status": None}


def _respond(
    start: Any, status: int, document: Any, era: str | None
) -> Iterable[bytes]:
    body = RAW_PATTERN.sub(_raw_text, json.dumps(document).encode())
    headers = [("Content-Type", "application/json"), ("Content-Length", str(len(body)))]
    if era is not None:
        headers.append((ERA_HEADER, era))
    start(f"{status} Status", headers)
    return [body]


def _raw_text(match: re.Match[bytes]) -> bytes:
    return bytes.fromhex(match[1].decode())
