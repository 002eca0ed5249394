"""One HTTP request of a caller, and detection of the caller's disconnect."""

import socket
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from typing import Any

from gevent import get_hub

from wigeonwind.entry.replies import Headers, Reply, status_line
from wigeonwind.ids import new_id

BODY_KEY = "wigeonwind.body"
TARGET_KEY = "wigeonwind.target"
HEADERS_KEY = "wigeonwind.headers"
SOCKET_KEY = "wigeonwind.socket"
"""Keys that CallerHandler adds to the WSGI environment: the request body, the request
target, the headers as sent, and the socket of the connection."""

READ_EVENT = 1
"""Event mask of the event loop for a readable socket."""

CLOSE_POLL_S = 0.25
"""Interval between state polls of a connection that has unread data."""

TCP_CLOSE = 7
TCP_CLOSE_WAIT = 8
"""TCP states after the peer has closed the connection (Linux, tcp_states.h)."""

StartResponse = Callable[[str, Headers], Any]
Body = Iterable[bytes]


class ReplyAbortedError(Exception):
    """Aborts a reply so that the caller can tell that it is incomplete."""


class DisconnectWatcher:
    """Detects that a caller closes its connection while its request is served.

    A caller that shuts down only its sending direction counts as disconnected too: the
    two cannot be told apart before the response is written.
    """

    def __init__(self, sock: Any) -> None:
        self._sock = sock
        self._timer: Any = None
        self._watcher: Any = None
        self._on_disconnect: Callable[[], None] | None = None

    def start(self, on_disconnect: Callable[[], None]) -> None:
        """Call `on_disconnect` once when the caller closes the connection."""
        self._on_disconnect = on_disconnect
        self._watcher = get_hub().loop.io(self._sock.fileno(), READ_EVENT)
        self._watcher.start(self._on_readable)

    def stop(self) -> None:
        """Stop watching the connection."""
        for watcher in (self._watcher, self._timer):
            if watcher is not None:
                watcher.stop()
                watcher.close()
        self._watcher = self._timer = None

    def _on_readable(self) -> None:
        try:
            data = self._sock._sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if not data:
            self._report_disconnect()
            return
        # Unread data, such as a TLS close_notify, would trigger the watcher endlessly.
        self._watcher.stop()
        self._timer = get_hub().loop.timer(CLOSE_POLL_S, CLOSE_POLL_S)
        self._timer.start(self._poll_closed)

    def _poll_closed(self) -> None:
        """Detect that a connection with unread data has been closed."""
        try:
            tcp_state = self._sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0]
        except OSError:
            tcp_state = TCP_CLOSE_WAIT
        if tcp_state in (TCP_CLOSE_WAIT, TCP_CLOSE):
            self._report_disconnect()

    def _report_disconnect(self) -> None:
        self.stop()
        if self._on_disconnect is not None:
            self._on_disconnect()


@dataclass(frozen=True)
class HttpCall:
    """A request whose body has been read.

    `target` is the path with its query, as sent. `header_by_name` has lower-case names
    and the last value of repeated headers; `headers` has all header lines as sent.
    """

    request_id: str
    method: str
    path: str
    target: str
    header_by_name: Mapping[str, str]
    headers: list[list[str]]
    body: bytes
    start_response: StartResponse
    disconnect_watcher: DisconnectWatcher | None

    def reply(self, reply: Reply) -> list[bytes]:
        """Start a complete reply and return its body."""
        self.start_response(status_line(reply.status), reply.headers)
        return [reply.body]


def read_call(environ: Mapping[str, Any], start_response: StartResponse) -> HttpCall:
    """Return the request that CallerServer has read.

    The environment may also be that of another WSGI server; then the body is empty and
    the headers are not as sent.
    """
    headers = environ.get(HEADERS_KEY)
    if headers is None:
        headers = _environ_headers(environ)
    sock = environ.get(SOCKET_KEY)
    return HttpCall(
        new_id(),
        environ["REQUEST_METHOD"],
        environ["PATH_INFO"],
        environ.get(TARGET_KEY, environ["PATH_INFO"]),
        {name.lower(): value for name, value in headers},
        headers,
        environ.get(BODY_KEY, b""),
        start_response,
        None if sock is None else DisconnectWatcher(sock),
    )


def _environ_headers(environ: Mapping[str, Any]) -> list[list[str]]:
    names = [name for name in environ if name.startswith("HTTP_")]
    return [[name[5:].replace("_", "-"), environ[name]] for name in names]
