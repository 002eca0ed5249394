"""One HTTP request to the endpoint, on a connection of its own and never repeated.

geventhttpclient repeats some requests by itself when a kept connection turns out to be
closed. A request that may run only once must not be repeated, so each gets a fresh
connection; beside the endpoint that costs a fraction of a millisecond. The library's
request writer and response parser are used without its connection pool.
"""

import socket
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from gevent import Greenlet, spawn_later
from gevent import socket as gevent_socket
from geventhttpclient import HTTPClient
from geventhttpclient.header import Headers
from geventhttpclient.response import HTTPParseError, HTTPSocketResponse

from wigeonwind.addresses import SocketAddress
from wigeonwind.clock import MS_PER_SECOND

READ_BYTES = 65_536
"""Most bytes taken from a connection at a time."""

CONNECT_TIMEOUT_MS = 2_000.0
"""Time to connect; the endpoint is on the same VM."""

HTTP_ERRORS = (OSError, ValueError, HTTPParseError)
"""What a broken connection or a malformed answer raises."""


def trace_headers(traceparent: str) -> list[list[str]]:
    """Return the header that continues a trace at the endpoint, if there is a trace."""
    return [["traceparent", traceparent]] if traceparent else []


@dataclass(frozen=True)
class HttpFailure:
    """No whole answer; `sent` False means that no byte of the request was sent."""

    sent: bool
    reason: str


@dataclass(frozen=True)
class HttpHead:
    """Status and header pairs of an answer."""

    status: int
    headers: list[list[str]]


class _StreamResponse(HTTPSocketResponse):
    """A response whose body can be read as it arrives."""

    def read_available(self) -> bytes:
        """Return what is there of the body, waiting only if it is nothing.

        Empty at the end; raises one of HTTP_ERRORS if the body is cut off.
        """
        while not self._body_buffer and not self.message_complete:
            assert self._sock is not None
            data = self._sock.recv(READ_BYTES)
            self.feed(data)
            if not data and not self.message_complete:
                raise HTTPParseError("connection closed within the body")
        body = bytes(self._body_buffer)
        self._body_buffer.clear()
        return body


class HttpExchange:
    """One request and its answer; calls are made in the order of the methods.

    `timeout_ms` bounds the whole exchange. One timer for each exchange is far cheaper
    than one for each read, which a token stream would need.
    """

    def __init__(self, address: SocketAddress, timeout_ms: float) -> None:
        self._address = address
        self._timeout_s = timeout_ms / MS_PER_SECOND
        self._timer: Greenlet | None = None
        self._request_builder = HTTPClient(address.host, address.port)
        self._sock: Any = None
        self._response: _StreamResponse | None = None
        self._aborted = False

    def connect(self) -> HttpFailure | None:
        """Open the connection; a failure is certain not to have sent anything."""
        target = (self._address.host, self._address.port)
        timeout_s = CONNECT_TIMEOUT_MS / MS_PER_SECOND
        try:
            sock = gevent_socket.create_connection(target, timeout_s)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        except OSError as error:
            return HttpFailure(False, f"endpoint cannot be reached: {error}")
        sock.settimeout(None)
        self._sock = sock
        self._timer = spawn_later(self._timeout_s, self.abort)
        if self._aborted:
            return HttpFailure(False, "cancelled before it was sent")
        return None

    def request(
        self, method: str, path: str, headers: Iterable[list[str]], body: bytes
    ) -> HttpHead | HttpFailure:
        """Send the request and wait for the head of the answer."""
        fields = Headers([(name, value) for name, value in headers])
        try:
            text = self._request_builder._build_request(
                method, path, body, fields, False
            )
            head = text.encode("latin-1")
        except (ValueError, UnicodeError) as error:
            return HttpFailure(False, f"request is not valid HTTP: {error}")
        try:
            self._sock.sendall(head + body)
            self._response = _StreamResponse(self._sock, READ_BYTES, method)
        except HTTP_ERRORS as error:
            return HttpFailure(True, f"endpoint broke the connection: {error}")
        pairs = [[name, value] for name, value in self._response.items()]
        return HttpHead(self._response.status_code, pairs)

    def read(self) -> bytes | HttpFailure:
        """Return the next bytes of the body as they arrive, empty at the end."""
        assert self._response is not None
        try:
            return self._response.read_available()
        except HTTP_ERRORS as error:
            return HttpFailure(True, f"endpoint broke the connection: {error}")

    def read_all(self, limit: int) -> bytes | HttpFailure:
        """Return the whole body, or a failure if it is longer than `limit` bytes."""
        body = bytearray()
        while True:
            data = self.read()
            if isinstance(data, HttpFailure):
                return data
            if not data:
                return bytes(body)
            body += data
            if len(body) > limit:
                return HttpFailure(True, f"answer is longer than {limit} bytes")

    def abort(self) -> None:
        """End the exchange from another greenlet; the reader sees a failure."""
        self._aborted = True
        if self._sock is not None:
            try:
                self._sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass

    def close(self) -> None:
        """Close the connection; may be called at any time."""
        if self._timer is not None:
            self._timer.kill(block=False)
        if self._sock is not None:
            self._sock.close()
