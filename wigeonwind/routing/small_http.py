"""HTTP server for readiness, metrics and peer state; one response per connection."""

from collections.abc import Callable

import gevent
from gevent import socket as gevent_socket
from gevent.server import StreamServer

from wigeonwind.addresses import SocketAddress
from wigeonwind.clock import MS_PER_SECOND
from wigeonwind.runtime.fair_receive import receive

READ_TIMEOUT_MS = 1_000.0
"""Timeout for a request and its response; readiness is checked once a second."""

MAX_HEAD_BYTES = 8_192

BACKLOG = 64

Respond = Callable[[str, str], bytes]
"""Returns the bytes of a complete response for the method and path of a request."""


class SmallHttpServer:
    """Answers each request with the bytes that `respond` returns."""

    def __init__(self, address: SocketAddress, respond: Respond) -> None:
        self._respond = respond
        listen_address = (address.host, address.port)
        self._server = StreamServer(listen_address, self._handle, backlog=BACKLOG)

    @property
    def address(self) -> SocketAddress:
        """Return the address in use."""
        return SocketAddress(self._server.server_host, self._server.server_port)

    def start(self) -> None:
        """Start listening; raises OSError if the address is taken."""
        self._server.start()

    def stop(self) -> None:
        """Stop listening."""
        self._server.stop(timeout=0)

    def _handle(self, sock: gevent_socket.socket, _: object) -> None:
        try:
            with gevent.Timeout(READ_TIMEOUT_MS / MS_PER_SECOND, TimeoutError):
                sock.sendall(self._respond(*_read_request_line(sock)))
                sock.shutdown(gevent_socket.SHUT_WR)
        except OSError:
            pass  # The client has disconnected or timed out; it will retry.
        finally:
            sock.close()


def _read_request_line(sock: gevent_socket.socket) -> tuple[str, str]:
    """Read the head of a request; return its method and path, empty if invalid."""
    head = b""
    while b"\r\n\r\n" not in head and len(head) < MAX_HEAD_BYTES:
        data = receive(sock, MAX_HEAD_BYTES)
        if not data:
            break
        head += data
    words = head.partition(b"\r\n")[0].decode("latin-1").split(" ")
    return (words[0], words[1]) if len(words) > 1 else ("", "")
