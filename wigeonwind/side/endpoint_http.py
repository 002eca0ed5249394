"""HTTP requests to the endpoint, each on a new connection and without retries.

geventhttpclient retries some requests by itself if a pooled connection turns out to be
closed. Requests that may run only once must not be retried, so each request opens a
new connection, which takes a fraction of a millisecond on the VM of the endpoint. Only
the request builder of the library is used: its response parser joins a response with
what follows it on the connection.
"""

import socket
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from gevent import Greenlet, spawn_later
from gevent import socket as gevent_socket
from geventhttpclient import HTTPClient
from geventhttpclient.header import Headers

from wigeonwind.addresses import SocketAddress
from wigeonwind.clock import MS_PER_SECOND
from wigeonwind.routing.response_parser import Response, ResponseParser
from wigeonwind.runtime.fair_receive import receive

READ_BYTES = 65_536
"""Maximum bytes per read from a connection."""

CONNECT_TIMEOUT_MS = 2_000.0
"""Connection timeout; the endpoint is on the same VM."""


def trace_headers(traceparent: str) -> list[list[str]]:
    """Return the trace context as a header pair, no pair if there is no trace."""
    return [["traceparent", traceparent]] if traceparent else []


@dataclass(frozen=True)
class HttpFailure:
    """No complete response; if `sent` is False, no byte of the request was sent."""

    sent: bool
    reason: str


@dataclass(frozen=True)
class HttpHead:
    """Status and header pairs of a response."""

    status: int
    headers: list[list[str]]


class HttpExchange:
    """One request and its response: `connect`, `request`, then `read` or `read_all`.

    `timeout_ms` limits the exchange from the moment when the connection is open. One
    timer per exchange is much cheaper than one per read, which a token stream would
    need.
    """

    def __init__(self, address: SocketAddress, timeout_ms: float) -> None:
        self._address = address
        self._timeout_s = timeout_ms / MS_PER_SECOND
        self._timer: Greenlet | None = None
        self._request_builder = HTTPClient(address.host, address.port)
        self._sock: Any = None
        self._parser = ResponseParser()
        self._response: Response | None = None
        self._is_head_request = False
        self._aborted = False

    def connect(self) -> HttpFailure | None:
        """Open the connection; after a failure certainly nothing was sent."""
        target = (self._address.host, self._address.port)
        timeout_s = CONNECT_TIMEOUT_MS / MS_PER_SECOND
        try:
            sock = gevent_socket.create_connection(target, timeout_s)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        except OSError as error:
            return HttpFailure(False, f"cannot connect to the endpoint: {error}")
        sock.settimeout(None)
        self._sock = sock
        self._timer = spawn_later(self._timeout_s, self.abort)
        if self._aborted:
            return HttpFailure(False, "cancelled before the request was sent")
        return None

    def request(
        self, method: str, path: str, headers: Iterable[list[str]], body: bytes
    ) -> HttpHead | HttpFailure:
        """Send the request and wait for the head of the response.

        A request that is not valid HTTP fails without being sent.
        """
        fields = Headers([(name, value) for name, value in headers])
        try:
            text = self._request_builder._build_request(
                method, path, body, fields, False
            )
            head = text.encode("latin-1")
        except (ValueError, UnicodeError) as error:
            return HttpFailure(False, f"invalid HTTP request: {error}")
        self._is_head_request = method == "HEAD"
        try:
            self._sock.sendall(head + body)
        except OSError as error:
            return HttpFailure(True, f"connection to the endpoint failed: {error}")
        while not self._parser.responses:
            failure = self._receive()
            if failure is not None and not self._parser.responses:
                return failure
        self._response = response = self._parser.responses[0]
        pairs = [
            [name.decode("latin-1"), value.decode("latin-1")]
            for name, value in response.headers
        ]
        return HttpHead(response.status, pairs)

    def read(self) -> bytes | HttpFailure:
        """Return the next bytes of the body as they are received, empty at the end."""
        response = self._response
        assert response is not None
        if self._is_head_request:
            return b""
        while not response.body and not response.is_complete:
            failure = self._receive()
            if failure is not None and not response.is_complete:
                return failure
        if response.ends_with_head:
            return HttpFailure(
                True, "the endpoint closed the connection after the head"
            )
        return response.take_body()

    def _receive(self) -> HttpFailure | None:
        """Receive the next bytes; return a failure if no more can be received."""
        try:
            data = receive(self._sock, READ_BYTES)
        except OSError as error:
            return HttpFailure(True, f"connection to the endpoint failed: {error}")
        if data:
            self._parser.feed(data)
            error_text = self._parser.error
            return HttpFailure(True, error_text) if error_text else None
        if self._aborted:
            return HttpFailure(True, "the request was aborted")
        self._parser.feed_end()
        return HttpFailure(True, "connection closed before the end of the response")

    def read_all(self, limit: int) -> bytes | HttpFailure:
        """Return the whole body, or a failure if it is longer than `limit` bytes."""
        received = bytearray()
        while True:
            data = self.read()
            if isinstance(data, HttpFailure):
                return data
            if not data:
                return bytes(received)
            received += data
            if len(received) > limit:
                return HttpFailure(True, f"response body is longer than {limit} bytes")

    def abort(self) -> None:
        """Abort the exchange from another greenlet; a blocked read then fails."""
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
