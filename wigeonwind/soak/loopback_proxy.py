"""A TCP proxy on loopback that injects faults into its connections."""

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
"""SO_LINGER value with which `close` resets the connection."""

BLOCKED_POLL_S = 0.02
"""Interval at which a blocked direction checks whether the fault has ended."""


class ProxyFault(Enum):
    """A fault that applies to all connections of a proxy."""

    NONE = "none"
    SILENT = "silent"
    """No bytes are forwarded in either direction; new connections hang."""
    ONE_WAY = "one-way"
    """Requests are forwarded, responses are not."""
    REFUSED = "refused"
    """New connections are reset; open ones still work."""


@dataclass
class ConnectionPair:
    """The sockets to the client and the server of one proxied connection."""

    client: gevent_socket.socket
    server: gevent_socket.socket
    is_muted: bool = False
    """Whether this connection forwards no more bytes; new ones are not affected."""


class LoopbackProxy:
    """Forwards connections to `target`; `fault` and `delay_ms` apply to all of them."""

    def __init__(self, target: SocketAddress) -> None:
        self.target = target
        self.fault = ProxyFault.NONE
        self.delay_ms = 0.0
        self.holds_responses = False
        """Whether the target is silent: responses are kept and forwarded later."""
        self._pairs: list[ConnectionPair] = []
        self._server = StreamServer(("127.0.0.1", 0), self._handle)
        self._server.start()

    @property
    def address(self) -> SocketAddress:
        """Return the address at which clients reach the target."""
        return SocketAddress("127.0.0.1", self._server.server_port)

    def stop(self) -> None:
        """Stop accepting connections and reset the open ones."""
        self._server.stop(timeout=0)
        self.reset_all()

    def reset_all(self) -> None:
        """Reset every open connection."""
        for pair in list(self._pairs):
            self._close(pair, is_reset=True)

    def end(self) -> None:
        """Stop accepting connections and close the open ones, as an ended target."""
        self._server.stop(timeout=0)
        for pair in list(self._pairs):
            self._close(pair, is_reset=False)

    def mute_open_connections(self) -> None:
        """Stop forwarding on the open connections; new ones are not affected."""
        for pair in self._pairs:
            pair.is_muted = True

    def _handle(self, client: gevent_socket.socket, _: object) -> None:
        while self.fault is ProxyFault.SILENT:
            gevent.sleep(BLOCKED_POLL_S)
        if self.fault is ProxyFault.REFUSED:
            client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_LINGER)
            client.close()
            return
        try:
            server = gevent_socket.create_connection(
                (self.target.host, self.target.port), 1.0
            )
        except OSError:
            # The target is unreachable, which the client sees as a reset.
            client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_LINGER)
            client.close()
            return
        server.settimeout(None)
        pair = ConnectionPair(client, server)
        for sock in (client, server):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._pairs.append(pair)
        response_pump = gevent.spawn(self._forward, pair, server, client, True)
        self._forward(pair, client, server, False)
        response_pump.join()
        self._close(pair, is_reset=False)

    def _forward(
        self,
        pair: ConnectionPair,
        source: gevent_socket.socket,
        sink: gevent_socket.socket,
        is_response: bool,
    ) -> None:
        try:
            while data := source.recv(READ_BYTES):
                if self.delay_ms:
                    gevent.sleep(self.delay_ms / MS_PER_SECOND)
                while self._is_blocked(pair, is_response):
                    gevent.sleep(BLOCKED_POLL_S)
                sink.sendall(data)
            sink.shutdown(socket.SHUT_WR)
        except OSError:
            # One side closed the connection; reset the other side too.
            self._close(pair, is_reset=True)

    def _is_blocked(self, pair: ConnectionPair, is_response: bool) -> bool:
        """Return whether a fault blocks one direction of a connection.

        Raise ConnectionResetError if the connection has been closed meanwhile.
        """
        if pair not in self._pairs:
            raise ConnectionResetError("the proxied connection is closed")
        if pair.is_muted or self.fault is ProxyFault.SILENT:
            return True
        is_held = self.holds_responses or self.fault is ProxyFault.ONE_WAY
        return is_response and is_held

    def _close(self, pair: ConnectionPair, is_reset: bool) -> None:
        if pair in self._pairs:
            self._pairs.remove(pair)
        for sock in (pair.client, pair.server):
            try:
                if is_reset:
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_LINGER)
                sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass  # The peer has closed it already.
            sock.close()
