"""The HTTP side shared by all test doubles: routes, JSON, faults, lost connections."""

import json
import os
import socket
from collections.abc import Callable, Generator, Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any, NoReturn
from urllib.parse import parse_qs

from gevent import sleep, spawn_later
from gevent.event import Event
from gevent.pywsgi import WSGIHandler, WSGIServer

from wigeonwind.addresses import SocketAddress
from wigeonwind.clock import MS_PER_SECOND, Clock, SystemClock
from wigeonwind.outcomes import Invalid
from wigeonwind.standins.faults import (
    FAULTS,
    ActiveFaults,
    Crash,
    Fault,
    Freeze,
    LoseAnswers,
    Outage,
    Slow,
    read_fault,
)

SOCKET_KEY = "wigeonwind.socket"
CLIENT_CHECK_INTERVAL_S = 0.05
"""Interval at which a waiting answer looks whether its client is still there."""

CRASH_DELAY_S = 0.02
"""Time in which answers made before a crash still leave."""

MAX_BODY_BYTES = 16_000_000
JSON_TYPE = "application/json"
CRASH_EXIT_STATUS = 70

REASON_BY_STATUS = {
    200: "OK",
    400: "Bad Request",
    404: "Not Found",
    409: "Conflict",
    412: "Precondition Failed",
    413: "Content Too Large",
    429: "Too Many Requests",
    503: "Service Unavailable",
}


@dataclass(frozen=True)
class Call:
    """One HTTP request."""

    method: str
    path: str
    query: Mapping[str, str]
    headers: Mapping[str, str]
    """Names are in lower case."""
    body: bytes
    connection: socket.socket

    def json(self) -> Any:
        """Return the body as JSON, None if it is not JSON."""
        try:
            return json.loads(self.body)
        except (ValueError, RecursionError):
            return None

    def json_object(self) -> dict[str, Any]:
        """Return the body as a JSON object, empty if it is none."""
        value = self.json()
        return value if isinstance(value, dict) else {}

    def client_is_gone(self) -> bool:
        """Return whether the client has closed the connection."""
        flags = socket.MSG_PEEK | socket.MSG_DONTWAIT
        try:
            # The raw socket answers at once where gevent's would wait.
            return self.connection._sock.recv(1, flags) == b""  # type: ignore[attr-defined]
        except (BlockingIOError, InterruptedError):
            return False
        except (OSError, AttributeError):
            return True


@dataclass(frozen=True)
class Reply:
    """One HTTP answer; `stream` takes the place of `body` where it is set.

    A stream has begun already, so that closing it always runs its clean-up.
    """

    status: int = 200
    body: bytes = b""
    content_type: str = JSON_TYPE
    headers: tuple[tuple[str, str], ...] = ()
    stream: Generator[bytes, None, None] | None = field(default=None, compare=False)


def json_reply(value: Any, status: int = 200, **headers: str) -> Reply:
    """Return a JSON answer; underscores in header names become hyphens."""
    pairs = tuple((name.replace("_", "-"), text) for name, text in headers.items())
    return Reply(status, json.dumps(value).encode(), headers=pairs)


def error_reply(status: int, code: str, message: str, **fields: Any) -> Reply:
    """Return an error with a JSON body; a 429 or 503 says when to retry."""
    body = {"error": {"code": code, "message": message, "type": code}, **fields}
    headers = {"Retry_After": "1"} if status in (429, 503) else {}
    return json_reply(body, status, **headers)


class ConnectionLostError(Exception):
    """The connection is to be closed without an answer."""


Handler = Callable[[Call], Reply]


class StandinHandler(WSGIHandler):
    """Passes the connection to the application."""

    def get_environ(self) -> dict[str, Any]:
        """Return the WSGI environment with the connection in it."""
        environ = super().get_environ()
        environ[SOCKET_KEY] = self.socket
        return environ


class TestDoubleServer(WSGIServer):
    """A WSGI server without Nagle's delay that can drop its connections."""

    __test__ = False

    def __init__(self, address: SocketAddress, application: Any) -> None:
        pair = (address.host, address.port)
        super().__init__(pair, application, log=None, handler_class=StandinHandler)
        self.connections: set[socket.socket] = set()

    def handle(self, sock: socket.socket, address: Any) -> None:
        """Serve one connection."""
        # With Nagle's algorithm each small chunk waits for an ACK, some 40 ms.
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.connections.add(sock)
        try:
            super().handle(sock, address)
        finally:
            self.connections.discard(sock)


def shut_down(sock: socket.socket) -> None:
    """Close both directions of a connection; it may be closed already."""
    try:
        sock.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass


class StandinServer:
    """Base of the test doubles' servers; sub-classes fill `routes`.

    A route is a method and a path; a path that ends in `/` also serves all below it.
    """

    kind = ""
    refuses_in_outage = True
    """False if the calls themselves check for an outage."""
    supported_faults = frozenset({"crash", "freeze", "outage", "slow", "lose_answers"})

    def __init__(self, address: SocketAddress, clock: Clock | None = None) -> None:
        self.clock = clock or SystemClock()
        self.faults = ActiveFaults()
        self.routes: dict[tuple[str, str], Handler] = {}
        self.calls = 0
        self._server = TestDoubleServer(address, self._serve)
        self._faults_changed = Event()

    def start(self) -> SocketAddress:
        """Start to accept connections and return the bound address."""
        self._server.start()
        return self.address

    @property
    def address(self) -> SocketAddress:
        """Return the bound address."""
        return SocketAddress(self._server.server_host, self._server.server_port)

    def stop(self) -> None:
        """Stop accepting and close all connections."""
        self._server.close()
        _end_connections(list(self._server.connections), exit_process=False)

    def on_fault(self, fault: Fault) -> None:
        """Let a fault that was just switched on take effect."""
        if isinstance(fault, Crash) and fault.strikes_now:
            self.crash_now(fault)

    def on_faults_cleared(self) -> None:
        """Return to normal after all faults were switched off."""

    def crash_now(self, fault: Crash) -> None:
        """Answer nothing from now on; close connections, or end the process, soon."""
        self.faults.switch_on(Crash())
        connections = list(self._server.connections)
        spawn_later(CRASH_DELAY_S, _end_connections, connections, fault.exit_process)

    def is_down(self) -> bool:
        """Return whether the server is crashed."""
        crash = self.faults.find(Crash)
        return crash is not None and crash.strikes_now

    def loses_answer(self, call: Call) -> bool:
        """Return whether the answer to this call is lost, and count it."""
        return call.method != "GET" and self.faults.strikes(LoseAnswers)

    def _serve(self, environ: dict[str, Any], start_response: Any) -> Iterable[bytes]:
        try:
            call = _read_call(environ)
            reply = self._answer(call)
        except ConnectionLostError:
            shut_down(environ[SOCKET_KEY])
            reply = Reply(503)
        status = f"{reply.status} {REASON_BY_STATUS.get(reply.status, 'Unknown')}"
        headers = [("Content-Type", reply.content_type), *reply.headers]
        if reply.stream is not None:
            try:
                # Without this the headers would wait for the first token.
                start_response(status, headers)(b"")
            except OSError:
                reply.stream.close()
                raise
            return reply.stream
        headers.append(("Content-Length", str(len(reply.body))))
        start_response(status, headers)
        return [reply.body]

    def _answer(self, call: Call) -> Reply:
        if call.path == "/faults":
            return self._serve_faults(call)
        self.calls += 1
        self._wait_while_frozen(call)
        if self.is_down():
            self.lose_connection()
        if self.refuses_in_outage and self.faults.find(Outage):
            return error_reply(503, "outage", f"the {self.kind} is unavailable")
        slow = self.faults.find(Slow)
        if slow:
            sleep(slow.ms / MS_PER_SECOND)
        if len(call.body) > MAX_BODY_BYTES:
            return error_reply(413, "too_large", f"over {MAX_BODY_BYTES} bytes")
        reply = self._dispatch(call)
        if self.loses_answer(call):
            if reply.stream:
                reply.stream.close()
            self.lose_connection()
        return reply

    def lose_connection(self) -> NoReturn:
        """Close the connection of the call in progress without an answer."""
        raise ConnectionLostError

    def _wait_while_frozen(self, call: Call) -> None:
        while self.faults.find(Freeze):
            if call.client_is_gone():
                self.lose_connection()
            self._faults_changed.clear()
            self._faults_changed.wait(CLIENT_CHECK_INTERVAL_S)

    def _dispatch(self, call: Call) -> Reply:
        handler = self.routes.get((call.method, call.path))
        if handler is None:
            handler = self._subtree_handler(call)
        if handler is None:
            message = f"no route for {call.method} {call.path}"
            return error_reply(404, "not_found", message)
        return handler(call)

    def _subtree_handler(self, call: Call) -> Handler | None:
        for (method, path), handler in self.routes.items():
            is_below = path.endswith("/") and call.path.startswith(path)
            if is_below and method in (call.method, "*"):
                return handler
        return None

    def _serve_faults(self, call: Call) -> Reply:
        if call.method == "DELETE":
            self.faults.clear()
            self.on_faults_cleared()
        elif call.method == "POST":
            result = read_fault(call.json(), self.supported_faults)
            if isinstance(result, Invalid):
                problems = [str(problem) for problem in result.problems]
                return error_reply(400, "bad_request", "; ".join(problems))
            self.inject(result.value)
        self._faults_changed.set()
        return json_reply({"faults": self.faults.names()})

    def inject(self, fault: Fault) -> None:
        """Switch a fault on, as `POST /faults` does."""
        names = [name for name, kind in FAULTS if kind is type(fault)]
        assert names and names[0] in self.supported_faults, f"unsupported: {fault}"
        self.faults.switch_on(fault)
        self.on_fault(fault)

    def clear_faults(self) -> None:
        """Switch all faults off, as `DELETE /faults` does."""
        self.faults.clear()
        self.on_faults_cleared()
        self._faults_changed.set()


def _end_connections(connections: list[socket.socket], exit_process: bool) -> None:
    if exit_process:
        os._exit(CRASH_EXIT_STATUS)
    for connection in connections:
        shut_down(connection)


def _read_call(environ: dict[str, Any]) -> Call:
    query = parse_qs(environ.get("QUERY_STRING", ""), keep_blank_values=True)
    headers = {
        key[5:].replace("_", "-").lower(): value
        for key, value in environ.items()
        if key.startswith("HTTP_")
    }
    if environ.get("CONTENT_TYPE"):
        headers["content-type"] = environ["CONTENT_TYPE"]
    return Call(
        method=environ["REQUEST_METHOD"],
        path=environ["PATH_INFO"].encode("latin-1").decode("utf-8", "replace"),
        query={name: values[-1] for name, values in query.items()},
        headers=headers,
        body=environ["wsgi.input"].read(MAX_BODY_BYTES + 1),
        connection=environ[SOCKET_KEY],
    )
