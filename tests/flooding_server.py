"""A server in a process of its own that sends bytes without end.

Doubles that share the event loop with the router can't keep it busy: they send only
while it is idle.
"""

import subprocess
import sys
from contextlib import contextmanager
from types import SimpleNamespace

import gevent

from wigeonwind.addresses import SocketAddress

SERVER = r"""
import socket, sys, threading

start, repeated = map(bytes.fromhex, sys.argv[1:])
repeated *= max(1, 20_000 // len(repeated))
listener = socket.create_server(("127.0.0.1", 0))
print(listener.getsockname()[1], flush=True)

def flood(sock):
    sent = 0
    try:
        head = b""
        while b"\r\n\r\n" not in head:
            data = sock.recv(65_536)
            if not data:
                return
            head += data
        request_id = head.lower().partition(b"request-id: ")[2].partition(b"\r\n")[0]
        sock.sendall(start.replace(b"{id}", request_id))
        while True:
            sock.sendall(repeated)
            sent += len(repeated)
    except OSError:
        print(sent, flush=True)

while True:
    threading.Thread(target=flood, args=listener.accept()[:1], daemon=True).start()
"""
"""Answers each connection with the first argument, then the second one without end.

`{id}` in the first one is replaced by the request id. Prints its port, then the bytes
sent on each connection that the caller has closed.
"""


class FloodingServer:
    """A running server; `closed` connections have been sent `sent_bytes` in all."""

    def __init__(self, start: bytes, repeated: bytes) -> None:
        command = [sys.executable, "-c", SERVER, start.hex(), repeated.hex()]
        self._process = subprocess.Popen(command, stdout=subprocess.PIPE)
        self.address = SocketAddress("127.0.0.1", int(self._read_line()))
        self.closed = 0
        self.sent_bytes = 0
        self._reader = gevent.spawn(self._count)

    def _read_line(self) -> bytes:
        assert self._process.stdout is not None
        return self._process.stdout.readline()

    def _count(self) -> None:
        while line := self._read_line():
            self.sent_bytes += int(line)
            self.closed += 1

    def stop(self) -> None:
        self._process.kill()
        self._process.wait()
        self._reader.join()


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
