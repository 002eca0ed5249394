"""Pooled connections to endpoints."""

import socket
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from gevent import socket as gevent_socket

from wigeonwind.addresses import SocketAddress
from wigeonwind.clock import MS_PER_SECOND, Clock
from wigeonwind.routing.endpoints import Endpoint, EndpointKey
from wigeonwind.routing.response_parser import ResponseParser
from wigeonwind.runtime.fair_receive import receive

READ_BYTES = 16_384
"""Most bytes read from the socket at a time. Other requests wait while they are parsed,
about 5 ms for the shortest events."""

CONNECT_TIMEOUT_MS = 400.0
"""Timeout of a connection attempt. The round trip is a few milliseconds. A lost SYN is
retransmitted only after a second, so a second attempt is faster."""

IDLE_MARGIN_MS = 500.0
"""A pooled connection is not used within this time before the endpoint closes it."""

MAX_REMEMBERED_REQUESTS = 64
"""Most request ids that a connection remembers, the latest ones."""

MAX_IDLE_MS = 10_000.0
"""Longest idle time of a connection if the endpoint sends no Keep-Alive timeout."""


@dataclass(frozen=True, slots=True)
class ConnectFailure:
    """The connection could not be opened, so nothing was sent.

    `is_refused` says that no process listens at the address.
    """

    reason: str
    is_refused: bool = False


class EndpointConnection:
    """One connection to one endpoint; it carries one request at a time."""

    def __init__(self, endpoint: Endpoint, sock: gevent_socket.socket) -> None:
        self.endpoint = endpoint
        self.parser = ResponseParser()
        self.has_sent_foreign_response = False
        """Whether a response to another request has arrived; more may follow."""
        self.is_closed_by_endpoint = False
        """Whether the end of the input has been read."""
        self.is_lost = False
        """Whether the connection ended while a response was due."""
        self.received_bytes = 0
        self.has_write_failed = False
        """Whether an error ended a write. The kernel reports a reset once, so that the
        end of input which is then read may be no orderly one."""
        self.usable_until_ms = float("inf")
        self.request_ids: deque[str] = deque(maxlen=MAX_REMEMBERED_REQUESTS)
        """Ids of the requests that the connection has carried."""
        self._sock = sock

    def send(self, data: bytes, timeout_ms: float) -> None:
        """Send all bytes; raises OSError if that fails or exceeds the timeout."""
        self._sock.settimeout(max(timeout_ms, 1.0) / MS_PER_SECOND)
        try:
            self._sock.sendall(data)
        except OSError:
            self.has_write_failed = True
            raise

    def has_unread_data(self) -> bool:
        """Return whether unread bytes have arrived."""
        try:
            self._sock.settimeout(0.0)
            return bool(self._sock.recv(1, socket.MSG_PEEK))
        except OSError:
            return False

    def receive(self, timeout_ms: float) -> bytes:
        """Return the next bytes, empty at the end of input; give way to others.

        Raises OSError if the connection is broken, TimeoutError after the timeout.
        """
        self._sock.settimeout(max(timeout_ms, 1.0) / MS_PER_SECOND)
        data = receive(self._sock, READ_BYTES)
        self.received_bytes += len(data)
        return data

    def is_reusable(self) -> bool:
        """Return whether the connection is open and has no unread bytes."""
        try:
            self._sock.settimeout(0.0)
            self._sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    def close(self) -> None:
        """Close the connection; pending reads and writes raise OSError."""
        self._sock.close()


class ConnectionPool:
    """Idle connections by endpoint, most recently used first.

    That order lets surplus connections expire, while the others are rarely idle for
    long.
    """

    def __init__(self, clock: Clock, on_opened: Callable[[], None]) -> None:
        self._clock = clock
        self._on_opened = on_opened
        self._idle_by_key: dict[EndpointKey, list[EndpointConnection]] = {}

    def acquire_idle(
        self, endpoint: Endpoint, request_id: str
    ) -> EndpointConnection | None:
        """Take a reusable connection out of the pool, None if there is none.

        One that has carried a request with the same id is closed: a repeated response
        to that request would be taken for the response to this one.
        """
        idle = self._idle_by_key.get(endpoint.key)
        now_ms = self._clock.now_ms()
        while idle:
            connection = idle.pop()
            if (
                now_ms < connection.usable_until_ms
                and request_id not in connection.request_ids
                and connection.is_reusable()
            ):
                return connection
            connection.close()
        return None

    def open(self, endpoint: Endpoint) -> EndpointConnection | ConnectFailure:
        """Open a new connection."""
        try:
            sock = _connect(endpoint.address)
        except OSError as error:
            is_refused = isinstance(error, ConnectionRefusedError)
            return ConnectFailure(str(error) or type(error).__name__, is_refused)
        self._on_opened()
        return EndpointConnection(endpoint, sock)

    def release(
        self, connection: EndpointConnection, keep_alive_ms: float | None
    ) -> None:
        """Return a connection to the pool; its response must have been read in full."""
        idle_ms = MAX_IDLE_MS if keep_alive_ms is None else keep_alive_ms
        connection.usable_until_ms = self._clock.now_ms() + idle_ms - IDLE_MARGIN_MS
        connection.parser = ResponseParser()
        self._idle_by_key.setdefault(connection.endpoint.key, []).append(connection)

    def close_expired(self) -> None:
        """Close connections that have been idle for too long."""
        now_ms = self._clock.now_ms()
        for key, idle in list(self._idle_by_key.items()):
            for connection in idle:
                if connection.usable_until_ms <= now_ms:
                    connection.close()
            idle[:] = [each for each in idle if each.usable_until_ms > now_ms]
            if not idle:
                del self._idle_by_key[key]

    def discard(self, key: EndpointKey) -> None:
        """Close the idle connections of an endpoint that is no longer used."""
        for connection in self._idle_by_key.pop(key, ()):
            connection.close()

    def idle_count(self) -> int:
        """Return the number of idle connections."""
        return sum(map(len, self._idle_by_key.values()))


def _connect(address: SocketAddress) -> gevent_socket.socket:
    sock = gevent_socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.settimeout(CONNECT_TIMEOUT_MS / MS_PER_SECOND)
        sock.connect((address.host, address.port))
        # Requests are short writes, which Nagle's algorithm would delay.
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    except OSError:
        sock.close()
        raise
    return sock
