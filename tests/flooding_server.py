"""A server in a thread of its own that sends bytes without end.

Doubles that share the event loop with the router can't keep it busy: they send only
while it is idle.
"""

import socket
import threading
from contextlib import contextmanager
from types import SimpleNamespace

from wigeonwind.addresses import SocketAddress


class FloodingServer:
    """Answers each connection with `start`, then `repeated` until it is closed.

    `{id}` in `start` is replaced by the request id. `closed` counts the connections
    that the caller has closed.
    """

    def __init__(self, start: bytes, repeated: bytes) -> None:
        self._start = start
        self._repeated = repeated * max(1, 20_000 // len(repeated))
        self._listener = socket.create_server(("127.0.0.1", 0))
        self._is_stopped = False
        self.closed = 0
        self.sent_bytes = 0
        threading.Thread(target=self._accept, daemon=True).start()

    @property
    def address(self) -> SocketAddress:
        return SocketAddress(*self._listener.getsockname())

    def _accept(self) -> None:
        while not self._is_stopped:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(target=self._flood, args=(sock,), daemon=True).start()

    def _flood(self, sock: socket.socket) -> None:
        with sock:
            try:
                head = b""
                while b"\r\n\r\n" not in head:
                    data = sock.recv(65_536)
                    if not data:
                        return
                    head += data
                request_id = head.lower().partition(b"request-id: ")[2]
                request_id = request_id.partition(b"\r\n")[0]
                sock.sendall(self._start.replace(b"{id}", request_id))
                while not self._is_stopped:
                    sock.sendall(self._repeated)
                    self.sent_bytes += len(self._repeated)
            except OSError:
                self.closed += 1

    def stop(self) -> None:
        self._is_stopped = True
        self._listener.close()


@contextmanager
def flooding(start: bytes, repeated: bytes):
    """Yield a running server."""
    server = FloodingServer(start, repeated)
    try:
        yield server
    finally:
        server.stop()


def as_worker(server: FloodingServer, name: str) -> SimpleNamespace:
    """Return the name and address of a server for a store entry."""
    return SimpleNamespace(name=name, address=server.address)
