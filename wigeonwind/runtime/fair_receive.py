"""Reading from sockets without holding up the other greenlets of the process.

gevent switches to other greenlets only where a read has to wait. A peer that sends as
fast as its bytes are processed, or faster, would therefore keep the event loop to
itself, and no timeout could end it.
"""

from functools import partial
from typing import Any

import gevent
from gevent import socket as gevent_socket
from geventhttpclient import HTTPClient

SHORTEST_SLEEP_S = 1e-6
"""A sleep of 0 s would not do: gevent runs up to 50 greenlets that are ready, however
long they take, before it looks for new events."""


def give_way() -> None:
    """Let other greenlets run if this one has not waited since its last call.

    Returns at once if the event loop has turned in the meantime, which is so after each
    read that had to wait.
    """
    current = gevent.getcurrent()
    loop = gevent.get_hub().loop
    if getattr(current, "gave_way_at", None) == loop.iteration:
        gevent.sleep(SHORTEST_SLEEP_S)
    current.gave_way_at = loop.iteration


def receive(sock: Any, size: int) -> bytes:
    """Return the next bytes of a gevent socket, as `recv`, and give way to others."""
    data = sock.recv(size)
    give_way()
    return data


class FairSocket(gevent_socket.socket):
    """A socket for libraries that call `recv` themselves.

    It bounds the bytes of one response: those that arrive after one `sendall` and
    before the next one. Beyond `max_response_bytes`, `recv` raises OSError.
    """

    def __init__(
        self, family: int, kind: int, protocol: int, max_response_bytes: int
    ) -> None:
        super().__init__(family, kind, protocol)
        self._max_response_bytes = max_response_bytes
        self._response_bytes = 0

    def sendall(self, data: Any, flags: int = 0) -> None:
        """Send all bytes; what is received from now on is a new response."""
        self._response_bytes = 0
        super().sendall(data, flags)

    def recv(self, *args: Any) -> bytes:
        """Return the next bytes, and give way to others."""
        data = receive(super(), *args)
        self._response_bytes += len(data)
        if self._response_bytes > self._max_response_bytes:
            raise OSError(f"response exceeds {self._max_response_bytes} bytes")
        return data


def use_fair_sockets(client: HTTPClient, max_response_bytes: int) -> None:
    """Let an HTTP client open fair sockets, which bound each of its responses."""
    pool: Any = client._connection_pool
    pool._create_tcp_socket = partial(_open_fair_socket, max_response_bytes)


def _open_fair_socket(
    max_response_bytes: int, family: int, kind: int, protocol: int
) -> FairSocket:
    return FairSocket(family, kind, protocol, max_response_bytes)
