"""Base class of HTTP test doubles: routes, JSON, faults, dropped connections."""

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
"""Key of the connection's socket in the WSGI environment."""

CLIENT_CHECK_INTERVAL_S = 0.05
"""Interval at which a waiting handler polls whether its client disconnected."""

CRASH_DELAY_S = 0.02
"""Time between a crash and the shutdown, in which finished responses are sent."""

MAX_BODY_BYTES = 16_000_000
"""A request with a larger body gets status 413."""

JSON_CONTENT_TYPE = "application/json"
CRASH_EXIT_STATUS = 70
"""Exit status of a process that a crash fault ends."""

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
class HttpRequest:
    """One HTTP request."""

    method: str
    path: str
    query: Mapping[str, str]
    """The last value of each query parameter."""
    headers: Mapping[str, str]
    """Names are in lower case."""
    body: bytes
    connection: socket.socket

    def json(self) -> Any:
        """Return the decoded JSON body, None if it is not valid JSON."""
        try:
            return json.loads(self.body)
        except (ValueError, RecursionError):
            return None

    def json_object(self) -> dict[str, Any]:
        """Return the decoded JSON body, empty if it is not a JSON object."""
        value = self.json()
        return value if isinstance(value, dict) else {}

    def client_disconnected(self) -> bool:
        """Return whether the client has closed the connection; do not block."""
        flags = socket.MSG_PEEK | socket.MSG_DONTWAIT
        try:
            # gevent's recv would wait for data; that of the raw socket does not block.
            return self.connection._sock.recv(1, flags) == b""  # type: ignore[attr-defined]
        except (BlockingIOError, InterruptedError):
            return False
        except (OSError, AttributeError):
            return True


@dataclass(frozen=True)
class HttpResponse:
    """One HTTP response; if `stream` is set, it is sent instead of `body`.

    The generator `stream` must have been started: only then does closing it run its
    `finally` block.
    """

    status: int = 200
    body: bytes = b""
    content_type: str = JSON_CONTENT_TYPE
    headers: tuple[tuple[str, str], ...] = ()
    stream: Generator[bytes, None, None] | None = field(default=None, compare=False)


def json_response(value: Any, status: int = 200, **headers: str) -> HttpResponse:
    """Return a JSON response; underscores in header names become hyphens."""
    pairs = tuple((name.replace("_", "-"), text) for name, text in headers.items())
    return HttpResponse(status, json.dumps(value).encode(), headers=pairs)


def error_response(status: int, code: str, message: str, **fields: Any) -> HttpResponse:
    """Return an error response in JSON; 429 and 503 get a Retry-After header."""
    body = {"error": {"code": code, "message": message, "type": code}, **fields}
    headers = {"Retry_After": "1"} if status in (429, 503) else {}
    return json_response(body, status, **headers)


class DropConnectionError(Exception):
    """Raised to close the connection without a response."""


Handler = Callable[[HttpRequest], HttpResponse]


class TestDoubleWsgiHandler(WSGIHandler):
    """Puts the connection's socket into the WSGI environment."""

    def get_environ(self) -> dict[str, Any]:
        """Return the WSGI environment with the socket."""
        environ = super().get_environ()
        environ[SOCKET_KEY] = self.socket
        return environ


class TestDoubleWsgiServer(WSGIServer):
    """A WSGI server with TCP_NODELAY that tracks its open connections.

    `connections` lets a crash shut them down.
    """

    __test__ = False

    def __init__(self, address: SocketAddress, application: Any) -> None:
        pair = (address.host, address.port)
        super().__init__(
            pair, application, log=None, handler_class=TestDoubleWsgiHandler
        )
        self.connections: set[socket.socket] = set()

    def handle(self, sock: socket.socket, address: Any) -> None:
        """Serve one connection."""
        # Nagle's algorithm would delay each small chunk by about 40 ms, until an ACK.
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.connections.add(sock)
        try:
            super().handle(sock, address)
        finally:
            self.connections.discard(sock)


def shutdown_socket(sock: socket.socket) -> None:
    """Shut down both directions of a connection, which may be closed already."""
    try:
        sock.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass


class TestDoubleServer:
    """Base class of the test doubles' servers; subclasses fill `routes`.

    A route is a method and a path. A path that ends in `/` also matches all paths below
    that path; there the method `*` matches any method.
    """

    kind = ""
    """Name of the test double in error messages."""
    refuses_in_outage = True
    """False if the handlers check for an outage themselves."""
    supported_faults = frozenset({"crash", "freeze", "outage", "slow", "lose_answers"})
    """Names of the faults that `POST /faults` accepts."""

    def __init__(self, address: SocketAddress, clock: Clock | None = None) -> None:
        self.clock = clock or SystemClock()
        self.faults = ActiveFaults()
        self.routes: dict[tuple[str, str], Handler] = {}
        self.request_count = 0
        self._server = TestDoubleWsgiServer(address, self._application)
        self._faults_changed = Event()

    def start(self) -> SocketAddress:
        """Start accepting connections and return the bound address."""
        self._server.start()
        return self.address

    @property
    def address(self) -> SocketAddress:
        """Return the bound address."""
        return SocketAddress(self._server.server_host, self._server.server_port)

    def stop(self) -> None:
        """Stop accepting connections and close all open ones."""
        self._server.close()
        _end_connections(list(self._server.connections), exit_process=False)

    def on_fault(self, fault: Fault) -> None:
        """Apply a fault that was just switched on."""
        if isinstance(fault, Crash) and fault.is_immediate:
            self.begin_crash(fault)

    def on_faults_cleared(self) -> None:
        """Restore normal operation after all faults were switched off."""

    def begin_crash(self, fault: Crash) -> None:
        """Stop responding; close connections or end the process after CRASH_DELAY_S."""
        # From now on `is_crashed` is true, also if `fault` was not immediate.
        self.faults.switch_on(Crash())
        connections = list(self._server.connections)
        spawn_later(CRASH_DELAY_S, _end_connections, connections, fault.exit_process)

    def is_crashed(self) -> bool:
        """Return whether the server has crashed."""
        crash = self.faults.find(Crash)
        return crash is not None and crash.is_immediate

    def drops_response(self, request: HttpRequest) -> bool:
        """Return whether a fault drops the response; decrement the fault's count."""
        return request.method != "GET" and self.faults.consume(LoseAnswers)

    def _application(
        self, environ: dict[str, Any], start_response: Any
    ) -> Iterable[bytes]:
        try:
            request = _read_request(environ)
            response = self._respond(request)
        except DropConnectionError:
            shutdown_socket(environ[SOCKET_KEY])
            response = HttpResponse(503)
        status = f"{response.status} {REASON_BY_STATUS.get(response.status, 'Unknown')}"
        headers = [("Content-Type", response.content_type), *response.headers]
        if response.stream is not None:
            try:
                # Sends the headers now instead of with the first token.
                start_response(status, headers)(b"")
            except OSError:
                response.stream.close()
                raise
            return response.stream
        headers.append(("Content-Length", str(len(response.body))))
        start_response(status, headers)
        return [response.body]

    def _respond(self, request: HttpRequest) -> HttpResponse:
        if request.path == "/faults":
            return self._handle_faults(request)
        self.request_count += 1
        self._wait_while_frozen(request)
        if self.is_crashed():
            self.drop_connection()
        if self.refuses_in_outage and self.faults.find(Outage):
            return error_response(503, "outage", f"the {self.kind} is unavailable")
        slow = self.faults.find(Slow)
        if slow:
            sleep(slow.ms / MS_PER_SECOND)
        if len(request.body) > MAX_BODY_BYTES:
            return error_response(
                413, "too_large", f"body exceeds {MAX_BODY_BYTES} bytes"
            )
        response = self._dispatch(request)
        if self.drops_response(request):
            if response.stream:
                response.stream.close()
            self.drop_connection()
        return response

    def drop_connection(self) -> NoReturn:
        """Close the connection of the current request without a response."""
        raise DropConnectionError

    def _wait_while_frozen(self, request: HttpRequest) -> None:
        while self.faults.find(Freeze):
            if request.client_disconnected():
                self.drop_connection()
            self._faults_changed.clear()
            self._faults_changed.wait(CLIENT_CHECK_INTERVAL_S)

    def _dispatch(self, request: HttpRequest) -> HttpResponse:
        handler = self.routes.get((request.method, request.path))
        if handler is None:
            handler = self._subtree_handler(request)
        if handler is None:
            message = f"no route for {request.method} {request.path}"
            return error_response(404, "not_found", message)
        return handler(request)

    def _subtree_handler(self, request: HttpRequest) -> Handler | None:
        for (method, path), handler in self.routes.items():
            is_below = path.endswith("/") and request.path.startswith(path)
            if is_below and method in (request.method, "*"):
                return handler
        return None

    def _handle_faults(self, request: HttpRequest) -> HttpResponse:
        if request.method == "DELETE":
            self.faults.clear()
            self.on_faults_cleared()
        elif request.method == "POST":
            result = read_fault(request.json(), self.supported_faults)
            if isinstance(result, Invalid):
                problems = [str(problem) for problem in result.problems]
                return error_response(400, "bad_request", "; ".join(problems))
            self.inject(result.value)
        self._faults_changed.set()
        return json_response({"faults": self.faults.names()})

    def inject(self, fault: Fault) -> None:
        """Switch a fault on, as `POST /faults` does."""
        names = [name for name, kind in FAULTS if kind is type(fault)]
        assert names and names[0] in self.supported_faults, (
            f"unsupported fault: {fault}"
        )
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
        shutdown_socket(connection)


def _read_request(environ: dict[str, Any]) -> HttpRequest:
    query = parse_qs(environ.get("QUERY_STRING", ""), keep_blank_values=True)
    headers = {
        key[5:].replace("_", "-").lower(): value
        for key, value in environ.items()
        if key.startswith("HTTP_")
    }
    if environ.get("CONTENT_TYPE"):
        headers["content-type"] = environ["CONTENT_TYPE"]
    return HttpRequest(
        method=environ["REQUEST_METHOD"],
        path=environ["PATH_INFO"].encode("latin-1").decode("utf-8", "replace"),
        query={name: values[-1] for name, values in query.items()},
        headers=headers,
        body=environ["wsgi.input"].read(MAX_BODY_BYTES + 1),
        connection=environ[SOCKET_KEY],
    )
