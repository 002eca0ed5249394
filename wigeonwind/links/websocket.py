"""A link over a gevent socket, with the Sans-I/O protocol of the websockets library.

A reader greenlet decodes messages and passes them to the handler. A writer greenlet
sends all queued messages in one write, without waiting for more. A heartbeat greenlet
closes a link whose peer is silent or does not read, and sends a Ping if nothing else
was sent within the interval.
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
from wigeonwind.runtime.fair_receive import receive

MAX_HELLO_BYTES = 65_536
"""Maximum message size before the peer is authenticated."""

SOCKET_ERRORS = (OSError, ValueError, EOFError, WebSocketException)
"""Errors of a broken connection; a TLS socket being closed raises ValueError."""


NOT_BINARY = DecodeFailure("frame", "not an unfragmented binary message")
"""Result for text frames and fragments, which peers never send."""


class WebsocketLink:
    """A `Link`; created by `LinkServer` and `connect_link` only."""

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
        """Round-trip time of the last heartbeat that was answered."""
        self._sock = sock
        self._protocol = protocol
        self._handler = handler
        self._options = options
        self._clock = options.clock
        self._counts = options.counts
        self._queue: list[bytes] = []
        self._queued_bytes = 0
        self._has_sent_since_heartbeat = False
        self._write_requested = Event()
        self._write_done = Event()
        self._close_reason = ""
        self._last_received_ms = self._clock.now_ms()
        self._write_started_ms: float | None = None
        self._close_started_ms: float | None = None
        self._background_greenlets: list[Greenlet] = []

    def open(self, local_hello: Callable[[], Hello]) -> None:
        """Perform the handshake and exchange Hellos; raises HandshakeError."""
        timeout_error = HandshakeError("no Hello received within the link timeout")
        try:
            with Timeout(self._options.timeout_ms / MS_PER_SECOND, timeout_error):
                self._exchange_hellos(local_hello)
        except HandshakeError:
            self._close_socket()
            raise
        except SOCKET_ERRORS as error:
            self._close_socket()
            raise HandshakeError(str(error)) from error

    def abort(self) -> None:
        """Close an opened link without serving it."""
        self._close_socket()

    def run(self) -> None:
        """Call `on_up`, then serve the opened link until it is down."""
        self._mark_up()
        self._serve()

    def start(self) -> None:
        """Call `on_up`, then serve the opened link in a new greenlet."""
        self._mark_up()
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
        self._has_sent_since_heartbeat = True
        self._queued_bytes += len(data)
        self._write_requested.set()
        return True

    def wait_writable(self) -> None:
        """Wait until a quarter of the queue limit is in use, or the link is closed."""
        while self.is_open and self._queued_bytes > self._options.max_queue_bytes // 4:
            self._write_done.clear()
            self._write_done.wait()

    def close(self, reason: str) -> None:
        """Send queued messages, then close; see `Link.close`."""
        if self.is_open:
            self.is_open = False
            self._close_reason = reason
            self._close_started_ms = self._clock.now_ms()
            self._write_requested.set()

    def _exchange_hellos(self, local_hello: Callable[[], Hello]) -> None:
        protocol = self._protocol
        if isinstance(protocol, ServerProtocol):
            nonces = accept_handshake(self._sock, protocol)
            local_sender, peer_sender = "server", "client"
        else:
            nonces = request_handshake(self._sock, protocol)
            local_sender, peer_sender = "client", "server"
        key = self._options.key
        hello = local_hello()
        token = hello_token(key, hello, local_sender, nonces)
        protocol.send_binary(encode(replace(hello, token=token)))
        send_pending(self._sock, protocol)
        peer = self._read_hello()
        keys = (key, *self._options.more_keys)
        if not any(has_valid_token(each, peer, peer_sender, nonces) for each in keys):
            raise HandshakeError("the token of the peer does not match the fleet key")
        self.hello = peer
        protocol.max_message_size = self._options.max_message_bytes

    def _read_hello(self) -> Hello:
        while not self._protocol.events:
            data = receive(self._sock, RECEIVE_BYTES)
            if not data:
                raise HandshakeError("connection closed before the Hello")
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

    def _mark_up(self) -> None:
        self.is_open = True
        self._counts.opened += 1
        self._last_received_ms = self._clock.now_ms()
        self._handler.on_up(self)
        self._background_greenlets = [
            spawn(self._write_loop),
            spawn(self._heartbeat_loop),
        ]

    def _serve(self) -> None:
        try:
            self._read_loop()
        finally:
            self.is_open = False
            self._counts.closed += 1
            for greenlet in self._background_greenlets:
                greenlet.kill(block=False)
            self._close_socket()
            self._handler.on_down(self, self._close_reason)

    def _read_loop(self) -> None:
        """Read until the connection ends; discard what arrives after `close`.

        Closing a socket with unread input resets the connection, and a reset can
        discard messages that the peer has not read yet.
        """
        self._process_frames()
        while True:
            try:
                data = receive(self._sock, RECEIVE_BYTES)
            except SOCKET_ERRORS as error:
                self._fail(f"connection broken: {error}")
                return
            if not data:
                self._fail("closed by the peer")
                return
            if self.is_open and self._record_received(len(data)):
                self._protocol.receive_data(data)
                self._process_frames()

    def _record_received(self, size: int) -> bool:
        """Record received bytes; return False and close the link if they came too late.

        They are too late after a silence of more than the timeout. A process resumed
        after a pause finds old messages in its socket. They must not be processed: the
        peer may have closed this link long ago.
        """
        now_ms = self._clock.now_ms()
        if now_ms - self._last_received_ms > self._options.timeout_ms:
            self._counts.silences += 1
            self._fail("silence")
            return False
        self._last_received_ms = now_ms
        self._counts.bytes_received += size
        return True

    def _process_frames(self) -> None:
        for frame in self._protocol.events_received():
            if not self.is_open:
                return
            assert isinstance(frame, Frame)
            opcode = frame.opcode
            if opcode is Opcode.BINARY:
                self._handle_message(self._decode_frame(frame))
            elif opcode is Opcode.CLOSE:
                self.close("closed by the peer")
                return
            elif opcode is not Opcode.PING and opcode is not Opcode.PONG:
                self._handle_message(NOT_BINARY)
        if self._protocol.parser_exc is not None:
            self._counts.decode_failures += 1
            self._fail(f"invalid websocket data: {self._protocol.parser_exc}")
        if self._protocol.writes:
            self._write_requested.set()

    def _decode_frame(self, frame: Frame) -> Any | DecodeFailure:
        """Decode one frame; text frames and fragments are decode failures."""
        if frame.opcode is Opcode.BINARY and frame.fin:
            return decode(bytes(frame.data))
        return NOT_BINARY

    def _handle_message(self, message: Any) -> None:
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
                self._write_requested.wait()
                self._write_requested.clear()
                self._write_queue()
            self._write_queue()
            if self._protocol.state is State.OPEN:
                self._protocol.send_close(CloseCode.NORMAL_CLOSURE)
            self._write_queue()
        except SOCKET_ERRORS as error:
            self._fail(f"connection broken: {error}")
        else:
            self._shutdown_socket(socket.SHUT_WR)

    def _write_queue(self) -> None:
        """Send all queued messages in one write."""
        protocol = self._protocol
        queue, self._queue = self._queue, []
        if protocol.state is State.OPEN:
            for data in queue:
                protocol.send_binary(data)
        data = b"".join(protocol.data_to_send())
        if not data:
            return
        self._write_started_ms = self._clock.now_ms()
        self._sock.sendall(data)
        self._write_started_ms = None
        self._queued_bytes -= sum(map(len, queue))
        self._counts.messages_sent += len(queue)
        self._counts.bytes_sent += len(data)
        self._counts.writes += 1
        self._write_done.set()

    def _heartbeat_loop(self) -> None:
        while True:
            sleep(self._options.heartbeat_ms / MS_PER_SECOND)
            now_ms = self._clock.now_ms()
            pending_since_ms = (
                self._last_received_ms,
                self._write_started_ms,
                self._close_started_ms,
            )
            oldest_ms = min(
                since_ms for since_ms in pending_since_ms if since_ms is not None
            )
            if now_ms - oldest_ms > self._options.timeout_ms:
                self._counts.silences += 1
                self._fail("silence")
            elif not self._has_sent_since_heartbeat:
                self.send(Ping(now_ms))
            self._has_sent_since_heartbeat = False

    def _fail(self, reason: str) -> None:
        """Close immediately and discard queued messages."""
        self._close_reason = self._close_reason or reason
        self.is_open = False
        self._queue = []
        self._write_requested.set()
        self._write_done.set()
        self._shutdown_socket(socket.SHUT_RDWR)

    def _shutdown_socket(self, how: int) -> None:
        """Shut the socket down, which wakes up greenlets that wait on it."""
        try:
            self._sock.shutdown(how)
        except SOCKET_ERRORS:
            pass

    def _close_socket(self) -> None:
        try:
            self._sock.close()
        except SOCKET_ERRORS:
            pass
