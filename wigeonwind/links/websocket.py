"""One link over websockets' Sans-I/O protocol on a gevent socket.

A reader greenlet decodes and hands over messages; a writer greenlet sends everything
that is queued when it runs in one write, and waits for nothing; a heartbeat greenlet
closes a link whose peer is silent or does not read, and sends Ping unless another
message has been sent within the interval.
"""

import socket
from collections.abc import Callable
from dataclasses import replace
from typing import Any

from gevent import Greenlet, Timeout, sleep, spawn
from gevent.event import Event
from websockets.client import ClientProtocol
from websockets.exceptions import WebSocketException
from websockets.frames import CloseCode, Frame, Opcode
from websockets.protocol import State
from websockets.server import ServerProtocol

from wigeonwind.clock import MS_PER_SECOND
from wigeonwind.links.codec import DecodeFailure, decode, encode
from wigeonwind.links.handshake import (
    RECEIVE_BYTES,
    HandshakeError,
    accept_handshake,
    has_valid_token,
    hello_token,
    request_handshake,
    send_pending,
)
from wigeonwind.links.link_types import LinkHandler, LinkOptions
from wigeonwind.links.messages import Hello, Ping, Pong

MAX_HELLO_BYTES = 65_536
"""Bound of a message from a peer that is not yet known."""

SOCKET_ERRORS = (OSError, ValueError, EOFError, WebSocketException)
"""What a broken connection raises; ValueError comes from a TLS socket being closed."""


NOT_BINARY = DecodeFailure("frame", "not one whole binary message")
"""What a text or a fragment is to a link."""


class WebsocketLink:
    """A `Link`; made by `LinkServer` and `connect_link` only."""

    def __init__(
        self,
        sock: Any,
        protocol: ServerProtocol | ClientProtocol,
        handler: LinkHandler,
        options: LinkOptions,
    ) -> None:
        self.hello = Hello("", 0, "", "", "", 0)
        self.is_open = False
        self.round_trip_ms: float | None = None
        """Time of the newest heartbeat that was answered by a Pong."""
        self._sock = sock
        self._protocol = protocol
        self._handler = handler
        self._options = options
        self._clock = options.clock
        self._counts = options.counts
        self._queue: list[bytes] = []
        self._queued_bytes = 0
        self._has_sent = False
        self._wake = Event()
        self._written = Event()
        self._reason = ""
        self._last_received_ms = self._clock.now_ms()
        self._write_began_ms: float | None = None
        self._close_began_ms: float | None = None
        self._helpers: list[Greenlet] = []

    def open(self, own_hello: Callable[[], Hello]) -> None:
        """Exchange handshakes and Hellos; raise HandshakeError with the reason."""
        late = HandshakeError("no Hello in time")
        try:
            with Timeout(self._options.timeout_ms / MS_PER_SECOND, late):
                self._exchange(own_hello)
        except HandshakeError:
            self._close_socket()
            raise
        except SOCKET_ERRORS as error:
            self._close_socket()
            raise HandshakeError(str(error)) from error

    def abort(self) -> None:
        """Drop an opened link that is not to be served."""
        self._close_socket()

    def run(self) -> None:
        """Serve the opened link until it is down."""
        self._begin()
        self._serve()

    def start(self) -> None:
        """Call `on_up`, then serve the opened link in a greenlet of its own."""
        self._begin()
        spawn(self._serve)

    def send(self, message: Any) -> bool:
        """Queue a message; see `Link.send`."""
        if not self.is_open:
            return False
        data = encode(message)
        if len(data) > self._options.max_message_bytes:
            self._counts.overflows += 1
            return False
        if self._queued_bytes and (
            self._queued_bytes + len(data) > self._options.max_queue_bytes
        ):
            self._counts.overflows += 1
            self._fail("send queue full: the peer does not read")
            return False
        self._queue.append(data)
        self._has_sent = True
        self._queued_bytes += len(data)
        self._wake.set()
        return True

    def wait_writable(self) -> None:
        """Wait until little is queued or the link is closed; see `Link`."""
        while self.is_open and self._queued_bytes > self._options.max_queue_bytes // 4:
            self._written.clear()
            self._written.wait()

    def close(self, reason: str) -> None:
        """Send what is queued, then close; see `Link.close`."""
        if self.is_open:
            self.is_open = False
            self._reason = reason
            self._close_began_ms = self._clock.now_ms()
            self._wake.set()

    def _exchange(self, own_hello: Callable[[], Hello]) -> None:
        protocol = self._protocol
        if isinstance(protocol, ServerProtocol):
            nonces = accept_handshake(self._sock, protocol)
            own_side, peer_side = "server", "client"
        else:
            nonces = request_handshake(self._sock, protocol)
            own_side, peer_side = "client", "server"
        key = self._options.key
        hello = own_hello()
        token = hello_token(key, hello, own_side, nonces)
        protocol.send_binary(encode(replace(hello, token=token)))
        send_pending(self._sock, protocol)
        peer = self._read_hello()
        keys = (key, *self._options.more_keys)
        if not any(has_valid_token(each, peer, peer_side, nonces) for each in keys):
            raise HandshakeError("the peer does not have the key of the fleet")
        self.hello = peer
        protocol.max_message_size = self._options.max_message_bytes

    def _read_hello(self) -> Hello:
        while not self._protocol.events:
            data = self._sock.recv(RECEIVE_BYTES)
            if not data:
                raise HandshakeError("closed before its Hello")
            self._protocol.receive_data(data)
            if self._protocol.parser_exc is not None:
                raise HandshakeError(str(self._protocol.parser_exc))
        frame = self._protocol.events.pop(0)
        assert isinstance(frame, Frame)
        message = self._decode_frame(frame)
        if isinstance(message, DecodeFailure):
            raise HandshakeError(message.reason)
        if not isinstance(message, Hello):
            raise HandshakeError("the first message is not a Hello")
        return message

    def _begin(self) -> None:
        self.is_open = True
        self._counts.opened += 1
        self._last_received_ms = self._clock.now_ms()
        self._handler.on_up(self)
        self._helpers = [spawn(self._write_loop), spawn(self._heartbeat_loop)]

    def _serve(self) -> None:
        try:
            self._read_loop()
        finally:
            self.is_open = False
            self._counts.closed += 1
            for helper in self._helpers:
                helper.kill(block=False)
            self._close_socket()
            self._handler.on_down(self, self._reason)

    def _read_loop(self) -> None:
        """Read until the end; after `close` only to let the peer see our last bytes.

        A socket closed with unread input is reset, and a reset can destroy messages
        that the peer has not read yet.
        """
        self._take_events()
        while True:
            try:
                data = self._sock.recv(RECEIVE_BYTES)
            except SOCKET_ERRORS as error:
                self._fail(f"connection broken: {error}")
                return
            if not data:
                self._fail("closed by the peer")
                return
            if self.is_open and self._note_received(len(data)):
                self._protocol.receive_data(data)
                self._take_events()

    def _note_received(self, size: int) -> bool:
        """Record received bytes; False after a silence that ends the link.

        A process that was paused finds old messages in its socket. They must not be
        acted on: the peer may have given up this link long ago.
        """
        now_ms = self._clock.now_ms()
        if now_ms - self._last_received_ms > self._options.timeout_ms:
            self._counts.silences += 1
            self._fail("silence")
            return False
        self._last_received_ms = now_ms
        self._counts.bytes_received += size
        return True

    def _take_events(self) -> None:
        for frame in self._protocol.events_received():
            if not self.is_open:
                return
            assert isinstance(frame, Frame)
            opcode = frame.opcode
            if opcode is Opcode.BINARY:
                self._take_message(self._decode_frame(frame))
            elif opcode is Opcode.CLOSE:
                self.close("closed by the peer")
                return
            elif opcode is not Opcode.PING and opcode is not Opcode.PONG:
                self._take_message(NOT_BINARY)
        if self._protocol.parser_exc is not None:
            self._counts.decode_failures += 1
            self._fail(f"not a websocket message: {self._protocol.parser_exc}")
        if self._protocol.writes:
            self._wake.set()

    def _decode_frame(self, frame: Frame) -> Any | DecodeFailure:
        """Decode one frame; peers of this system never send text or fragments."""
        if frame.opcode is Opcode.BINARY and frame.fin:
            return decode(bytes(frame.data))
        return NOT_BINARY

    def _take_message(self, message: Any) -> None:
        if isinstance(message, DecodeFailure):
            self._counts.decode_failures += 1
            self._fail(f"message cannot be decoded: {message.reason}")
            return
        self._counts.messages_received += 1
        if type(message) is Ping:
            self.send(Pong(message.sent_ms))
        elif type(message) is Pong:
            self.round_trip_ms = self._clock.now_ms() - message.sent_ms
        else:
            self._handler.on_message(self, message)

    def _write_loop(self) -> None:
        try:
            while self.is_open:
                self._wake.wait()
                self._wake.clear()
                self._write_queue()
            self._write_queue()
            if self._protocol.state is State.OPEN:
                self._protocol.send_close(CloseCode.NORMAL_CLOSURE)
            self._write_queue()
        except SOCKET_ERRORS as error:
            self._fail(f"connection broken: {error}")
        else:
            self._shut_down(socket.SHUT_WR)

    def _write_queue(self) -> None:
        """Send all that is queued in one write."""
        protocol = self._protocol
        queue, self._queue = self._queue, []
        if protocol.state is State.OPEN:
            for data in queue:
                protocol.send_binary(data)
        data = b"".join(protocol.data_to_send())
        if not data:
            return
        self._write_began_ms = self._clock.now_ms()
        self._sock.sendall(data)
        self._write_began_ms = None
        self._queued_bytes -= sum(map(len, queue))
        self._counts.messages_sent += len(queue)
        self._counts.bytes_sent += len(data)
        self._counts.writes += 1
        self._written.set()

    def _heartbeat_loop(self) -> None:
        while True:
            sleep(self._options.heartbeat_ms / MS_PER_SECOND)
            now_ms = self._clock.now_ms()
            marks = (
                self._last_received_ms,
                self._write_began_ms,
                self._close_began_ms,
            )
            oldest_ms = min(mark for mark in marks if mark is not None)
            if now_ms - oldest_ms > self._options.timeout_ms:
                self._counts.silences += 1
                self._fail("silence")
            elif not self._has_sent:
                self.send(Ping(now_ms))
            self._has_sent = False

    def _fail(self, reason: str) -> None:
        """Close at once, without sending what is queued."""
        self._reason = self._reason or reason
        self.is_open = False
        self._queue = []
        self._wake.set()
        self._written.set()
        self._shut_down(socket.SHUT_RDWR)

    def _shut_down(self, how: int) -> None:
        """End the connection; a greenlet that waits on the socket wakes up."""
        try:
            self._sock.shutdown(how)
        except SOCKET_ERRORS:
            pass

    def _close_socket(self) -> None:
        try:
            self._sock.close()
        except SOCKET_ERRORS:
            pass
