"""A TCP proxy on loopback that harms the connections through it."""

import socket
import struct
from dataclasses import dataclass
from enum import Enum

import gevent
from gevent import socket as gevent_socket
from gevent.server import StreamServer

from wigeonwind.addresses import SocketAddress
from wigeonwind.clock import MS_PER_SECOND

READ_BYTES = 65_536

RESET_LINGER = struct.pack("ii", 1, 0)
"""Socket option value with which `close` resets the connection."""

HOLD_POLL_S = 0.02
"""Interval at which a held direction looks whether it may go on."""


class ProxyFault(Enum):
    """What happens to bytes and connections."""

    NONE = "none"
    SILENT = "silent"
    """Nothing passes in either direction, and new connections hang."""
    ONE_WAY = "one-way"
    """Requests pass, answers do not."""
    REFUSED = "refused"
    """New connections are reset; open ones go on."""


@dataclass
class ConnectionPair:
    """Both ends of one connection."""

    client: gevent_socket.socket
    server: gevent_socket.socket
    is_muted: bool = False
    """Nothing passes on this connection any more, while new ones work."""


class LoopbackProxy:
    """Forwards to `target`; `fault` and `delay_ms` apply to all its connections."""

    def __init__(self, target: SocketAddress) -> None:
        self.target = target
        self.fault = ProxyFault.NONE
        self.delay_ms = 0.0
        self._pairs: list[ConnectionPair] = []
        self._server = StreamServer(("127.0.0.1", 0), self._handle)
        self._server.start()

    @property
    def address(self) -> SocketAddress:
        """Return the address that stands for the target."""
        return SocketAddress("127.0.0.1", self._server.server_port)

    def stop(self) -> None:
        """Stop at once."""
        self._server.stop(timeout=0)
        self.reset_all()

    def reset_all(self) -> None:
        """Reset every open connection."""
        for pair in list(self._pairs):
            self._close(pair, is_reset=True)

    def mute_open_connections(self) -> None:
        """Silence the connections that are open now; new ones work."""
        for pair in self._pairs:
            pair.is_muted = True

    def _handle(self, client: gevent_socket.socket, _: object) -> None:
        while self.fault is ProxyFault.SILENT:
            gevent.sleep(HOLD_POLL_S)
        if self.fault is ProxyFault.REFUSED:
            client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_LINGER)
            client.close()
            return
        try:
            server = gevent_socket.create_connection(
                (self.target.host, self.target.port), 1.0
            )
        except OSError:
            # The target is down; its callers see that as a reset.
            client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_LINGER)
            client.close()
            return
        server.settimeout(None)
        pair = ConnectionPair(client, server)
        for sock in (client, server):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._pairs.append(pair)
        back = gevent.spawn(self._forward, pair, server, client, True)
        self._forward(pair, client, server, False)
        back.join()
        self._close(pair, is_reset=False)

    def _forward(
        self,
        pair: ConnectionPair,
        source: gevent_socket.socket,
        sink: gevent_socket.socket,
        is_answer: bool,
    ) -> None:
        try:
            while data := source.recv(READ_BYTES):
                if self.delay_ms:
                    gevent.sleep(self.delay_ms / MS_PER_SECOND)
                while self._is_held(pair, is_answer):
                    gevent.sleep(HOLD_POLL_S)
                sink.sendall(data)
            sink.shutdown(socket.SHUT_WR)
        except OSError:
            # One end has gone; the other one must see it, too.
            self._close(pair, is_reset=True)

    def _is_held(self, pair: ConnectionPair, is_answer: bool) -> bool:
        if pair not in self._pairs:
            raise ConnectionResetError("the connection was closed meanwhile")
        if pair.is_muted or self.fault is ProxyFault.SILENT:
            return True
        return is_answer and self.fault is ProxyFault.ONE_WAY

    def _close(self, pair: ConnectionPair, is_reset: bool) -> None:
        if pair in self._pairs:
            self._pairs.remove(pair)
        for sock in (pair.client, pair.server):
            try:
                if is_reset:
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_LINGER)
                sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass  # It was closed by its other end.
            sock.close()
