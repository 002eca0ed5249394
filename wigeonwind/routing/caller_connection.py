"""A caller's connection, whose requests are answered in order."""

import socket
import struct
from collections.abc import Callable, Iterable

from gevent import sleep, spawn
from gevent import socket as gevent_socket
from gevent.event import Event
from structlog import get_logger

from wigeonwind.clock import MS_PER_SECOND, Clock
from wigeonwind.entry.replies import status_line
from wigeonwind.outcomes import ErrorCode, Failure, Outcome
from wigeonwind.routing.header_codec import Header
from wigeonwind.routing.local_responses import failure_response
from wigeonwind.routing.planned_stop import StopPhase
from wigeonwind.routing.refusals import STOPPING
from wigeonwind.routing.request_parser import HttpRequest, RequestParser
from wigeonwind.routing.routes import CallerLimits

READ_BYTES = 65_536
"""Most bytes read from the socket at a time."""

MAX_PIPELINED = 16
"""Most pipelined requests that wait to be served; at that number reading pauses."""

SEND_TIMEOUT_MS = 10_000.0
"""Timeout of one write; a caller that reads nothing for so long is disconnected."""

LINGER_MS = 300.0
"""Time for which input is discarded after an error response that ends a connection.
Closing a socket with unread input resets it, and the caller would lose the response."""

LINGER_POLL_MS = 10.0

STOP_IDLE_MS = 200.0
"""Idle time after which a process that leaves closes a connection."""

CLOSE_LINGER_MS = 100.0
"""Time for which input is discarded after a close notice; more than a round trip, so
that a request on its way does not reset the connection before the notice is read."""

CLOSED = Failure(
    Outcome.NOT_RUN,
    ErrorCode.CANCELLED,
    "the connection was closed before a whole request arrived; retry on a new one",
    408,
    0.0,
)
"""The close notice: the response to a request that crosses the close of its connection
(RFC 9110 section 15.5.9). Nothing that arrives after it is served."""

RESET_LINGER = struct.pack("ii", 1, 0)
"""SO_LINGER value that makes `close` reset the connection."""


log = get_logger("wigeonwind.connections")


class CallerDisconnectedError(OSError):
    """Raised when a response can no longer reach its caller."""


class CallerConnection:
    """Reads requests and passes them to `serve` one after the other.

    A reader greenlet reads input as it arrives, so that a disconnect is noticed while
    a response is being sent. `on_disconnect` is then called once.
    """

    def __init__(
        self,
        sock: gevent_socket.socket,
        clock: Clock,
        limits: Callable[[], CallerLimits],
        serve: Callable[["CallerConnection", HttpRequest], None],
        stop_phase: Callable[[], StopPhase],
    ) -> None:
        self._sock = sock
        self._clock = clock
        self._limits = limits
        self._serve = serve
        self._stop_phase = stop_phase
        self._parser = RequestParser(limits())
        self._wakeup = Event()
        self._may_read = Event()
        self._may_read.set()
        self.on_disconnect: Callable[[], None] | None = None
        self.is_disconnected = False
        self.was_aborted = False
        """Whether `abort` cut off a response; the caller did not disconnect."""
        self.is_serving = False
        self._discards_input = False
        self._head_sent = False
        self._is_response_whole = False
        self._is_answer_missing = False
        """Whether a request was served, but not the first byte of its response sent."""
        self._is_chunked = False
        self._closes_after_response = False
        self._idle_since_ms = clock.now_ms()
        self._served = 0
        """Requests that were answered or refused."""
        self._head_started_ms: float | None = None
        self._has_caller_left = False
        self._is_notice_sent = False
        self._close_reason = "unexpected error"
        """Why the connection ends, for the log."""
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.settimeout(SEND_TIMEOUT_MS / MS_PER_SECOND)

    def run(self) -> None:
        """Serve requests until the connection is closed."""
        reader = spawn(self._read)
        try:
            self._serve_requests()
        except CallerDisconnectedError as error:
            self._close_reason = str(error)
        except Exception as error:
            log.error("connection failed", error=repr(error), exc_info=True)
            raise
        finally:
            if not self.is_disconnected:
                self._log_close()
            self.is_disconnected = True
            reader.kill(block=False)
            self._sock.close()

    def _log_close(self) -> None:
        """Log a close by this process that the caller may not expect."""
        if self._has_caller_left:
            return
        unread = self._has_unread_input()
        unanswered = len(self._parser.requests) + self._is_answer_missing
        event = "connection closed with requests unanswered"
        if not (unanswered or unread):
            event = "connection closed while idle"
            if self._closes_after_response:
                return
        log.info(
            event,
            reason=self._close_reason,
            caller=self._caller_address(),
            served=self._served,
            unanswered=unanswered,
            has_unread_input=unread,
            has_partial_message=self._parser.has_partial_message,
            idle_ms=round(self._clock.now_ms() - self._idle_since_ms),
            stop_phase=self._stop_phase().value,
        )

    def _caller_address(self) -> str:
        try:
            host, port = self._sock.getpeername()[:2]
        except OSError:
            return "unknown"
        return f"{host}:{port}"

    def _serve_requests(self) -> None:
        while not self.is_disconnected:
            requests = self._parser.requests
            if requests:
                self._serve_request(requests.popleft())
                if self.was_aborted:
                    self._close_reason = "response cut off"
                    return
                if self._closes_after_response:
                    self._close_reason = "response that closes the connection"
                    self._close_gracefully()
                    return
                continue
            if self._parser.failure is not None:
                self._close_reason = "invalid request"
                self.send_failure(self._parser.failure, "", ())
                self._close_gracefully()
                return
            if self._parser.has_partial_message and (
                self._stop_phase() in (StopPhase.CLOSING, StopPhase.ENDING)
            ):
                self._close_reason = "message incomplete in a stop"
                self.send_failure(STOPPING, "", ())
                self._close_gracefully()
                return
            if self._is_idle_in_stop() and not self._has_unread_input():
                self._close_with_notice("idle in a stop")
                return
            self._ask_for_body()
            self._wakeup.clear()
            self._may_read.set()
            self._wakeup.wait(self._read_timeout_s())
            if not self._parser.requests and self._has_timed_out():
                self._close_with_notice("timeout")
                return

    def _serve_request(self, request: HttpRequest) -> None:
        self.is_serving = True
        self._head_sent = self._is_response_whole = False
        self._is_answer_missing = True
        self._closes_after_response = not request.keeps_alive
        self._is_chunked = request.is_http11
        try:
            self._serve(self, request)
            self._is_answer_missing = not self._head_sent
            self._served += 1
        finally:
            self.is_serving = False
            self.on_disconnect = None
            self._idle_since_ms = self._clock.now_ms()

    def _read_timeout_s(self) -> float:
        """Return the time in seconds until the idle or header timeout."""
        limits = self._limits()
        remaining_ms = (
            limits.idle_timeout_ms + self._idle_since_ms - self._clock.now_ms()
        )
        if self._head_started_ms is not None:
            head_ms = limits.header_timeout_ms + self._head_started_ms
            remaining_ms = min(remaining_ms, head_ms - self._clock.now_ms())
        if self._is_leaving():
            idle_ms = self._clock.now_ms() - self._idle_since_ms
            remaining_ms = min(remaining_ms, max(STOP_IDLE_MS - idle_ms, 10.0))
        return max(remaining_ms, 1.0) / MS_PER_SECOND

    def _is_leaving(self) -> bool:
        return self._stop_phase() not in (StopPhase.RUNNING, StopPhase.LISTENING)

    def _is_idle_in_stop(self) -> bool:
        """Return whether a stopping process should close the connection now."""
        if not self._is_leaving() or self._parser.has_partial_message:
            return False
        if self._stop_phase() is StopPhase.ENDING:
            return True
        return self._clock.now_ms() - self._idle_since_ms >= STOP_IDLE_MS

    def _has_unread_input(self) -> bool:
        """Return whether bytes have arrived that the reader has not read yet."""
        timeout_s = self._sock.gettimeout()
        try:
            self._sock.settimeout(0.0)
            return bool(self._sock.recv(1, socket.MSG_PEEK))
        except OSError:
            return False
        finally:
            self._sock.settimeout(timeout_s)

    def _has_timed_out(self) -> bool:
        """Return whether the idle or header timeout has expired.

        A shortened idle timeout applies from the next request on, because the caller
        may still reuse the connection within the old one.
        """
        limits = self._limits()
        now_ms = self._clock.now_ms()
        if self._head_started_ms is not None:
            return now_ms - self._head_started_ms >= limits.header_timeout_ms
        idle_ms = now_ms - self._idle_since_ms
        longest_ms = max(limits.idle_timeout_ms, self._parser.limits.idle_timeout_ms)
        return idle_ms >= longest_ms

    def _read(self) -> None:
        """Feed the parser until end of input (runs in a separate greenlet)."""
        fileno = self._sock.fileno()
        try:
            while not self.is_disconnected and self._parser.failure is None:
                self._may_read.wait()
                gevent_socket.wait_read(fileno)
                data = self._sock.recv(READ_BYTES)
                if not data:
                    break
                self._feed(data)
        except OSError:
            pass
        except Exception as error:
            log.error("reading from a caller failed", error=repr(error), exc_info=True)
            raise
        if self._parser.failure is None:
            self._mark_disconnected()
        self._wakeup.set()

    def _feed(self, data: bytes) -> None:
        if self._discards_input:
            if self._is_notice_sent:
                log.info(
                    "input arrived after the close notice",
                    reason=self._close_reason,
                    caller=self._caller_address(),
                    bytes=len(data),
                    stop_phase=self._stop_phase().value,
                )
            return
        now_ms = self._clock.now_ms()
        if not self._parser.has_partial_message:
            self._parser.limits = self._limits()
        self._parser.feed(data)
        self._idle_since_ms = now_ms
        if not self._parser.has_partial_head:
            self._head_started_ms = None
        elif self._head_started_ms is None:
            self._head_started_ms = now_ms
            # The current wait uses the idle timeout, not the header timeout.
            self._wakeup.set()
        if not (self.is_serving or self._parser.requests):
            self._ask_for_body()
        if len(self._parser.requests) >= MAX_PIPELINED:
            self._may_read.clear()
        if self._parser.requests or self._parser.failure is not None:
            self._wakeup.set()

    def _ask_for_body(self) -> None:
        """Send `100 Continue` if the caller waits for it before it sends the body."""
        if self._parser.expects_continue:
            self._parser.expects_continue = False
            self._send(b"HTTP/1.1 100 Continue\r\n\r\n")

    def _mark_disconnected(self) -> None:
        self.is_disconnected = True
        self._has_caller_left = True
        if self.on_disconnect is not None:
            self.on_disconnect()

    def send_head(
        self, status: int, reason: bytes, headers: Iterable[Header], first_body: bytes
    ) -> None:
        """Send the head and the first bytes of a body of unknown length."""
        head = self._head_lines(status, reason, headers)
        if self._is_chunked:
            head.append(b"Transfer-Encoding: chunked\r\n")
        else:
            self._closes_after_response = True
        head.append(self._connection_header() + b"\r\n")
        self._head_sent = True
        self._send(b"".join(head) + self._encode_chunk(first_body))

    def send_chunk(self, data: bytes) -> None:
        """Send the next bytes of the body."""
        self._send(self._encode_chunk(data))

    def finish_body(self) -> None:
        """End the body; a chunked one gets its last chunk."""
        if self._is_chunked:
            self._send(b"0\r\n\r\n")
        self._is_response_whole = True

    def send_response(
        self, status: int, reason: bytes, headers: Iterable[Header], body: bytes
    ) -> None:
        """Send a response whose body is complete."""
        head = self._head_lines(status, reason, headers)
        head.append(b"Content-Length: %d\r\n" % len(body))
        head.append(self._connection_header() + b"\r\n")
        self._head_sent = True
        self._send(b"".join(head) + body)
        self._is_response_whole = True

    def send_failure(
        self, failure: Failure, request_id: str, headers: Iterable[Header]
    ) -> None:
        """Send an error response that this process generates."""
        self._close_if_stopping()
        if self._parser.failure is not None:
            self._closes_after_response = True
        closes = self._closes_after_response
        self._head_sent = True
        self._send(failure_response(failure, request_id, tuple(headers), closes))
        self._is_response_whole = True

    def abort(self) -> None:
        """Cut off a response so that the caller can tell that it is incomplete.

        Raises CallerDisconnectedError. A chunked body lacks its last chunk. Otherwise
        the connection is reset, which may also lose bytes that are still in transit.
        """
        self._reset_on_close()
        self.is_disconnected = True
        self.was_aborted = True
        raise CallerDisconnectedError("the response was cut off")

    def _reset_on_close(self) -> None:
        """Reset the connection at its close if that ends a body of unknown length."""
        if self._is_chunked:
            return
        try:
            self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_LINGER)
        except OSError:
            pass  # The caller has already closed the connection.

    def cut_off(self) -> None:
        """Close the connection at the exit of the process.

        A response that is incomplete does not look complete.
        """
        if self.is_serving and not self._is_response_whole:
            self._reset_on_close()
        self._close_reason = "exit of the process"
        self._log_close()
        self.is_disconnected = True
        self._sock.close()

    @property
    def head_sent(self) -> bool:
        """Return whether the head of the current response has been sent."""
        return self._head_sent

    def _head_lines(
        self, status: int, reason: bytes, headers: Iterable[Header]
    ) -> list[bytes]:
        reason_phrase = reason or status_line(status).partition(" ")[2].encode()
        lines = [b"HTTP/1.1 %d %s\r\n" % (status, reason_phrase)]
        lines += [b"%s: %s\r\n" % header for header in headers]
        return lines

    def _connection_header(self) -> bytes:
        self._close_if_stopping()
        return b"Connection: close\r\n" if self._closes_after_response else b""

    def _close_if_stopping(self) -> None:
        """End the connection with this response, unless requests wait behind it."""
        if self._stop_phase() is not StopPhase.RUNNING and not self._parser.requests:
            self._closes_after_response = True

    def _encode_chunk(self, data: bytes) -> bytes:
        if not self._is_chunked:
            return data
        return b"%x\r\n%s\r\n" % (len(data), data) if data else b""

    def _send(self, data: bytes) -> None:
        if self.is_disconnected:
            raise CallerDisconnectedError("the caller has disconnected")
        try:
            self._sock.sendall(data)
        except OSError as error:
            self._mark_disconnected()
            raise CallerDisconnectedError(str(error)) from error

    def _close_with_notice(self, reason: str) -> None:
        """Close a connection that has no whole request.

        The caller may have sent its next one already. It takes the notice for the
        response, and knows that the request does not run.
        """
        self._close_reason = reason
        self._log_close()
        self._discards_input = self._is_notice_sent = True
        self._closes_after_response = True
        self._send(failure_response(CLOSED, "", (), True))
        self._close_gracefully(CLOSE_LINGER_MS)

    def _close_gracefully(self, linger_ms: float = LINGER_MS) -> None:
        """Close the write side first, so that the response is not lost to a reset.

        Input that follows is read and discarded. Without effect after `abort`: the end
        of a body without length would look like its regular end.
        """
        if self.was_aborted:
            return
        self._discards_input = True
        self._may_read.set()
        try:
            self._sock.shutdown(socket.SHUT_WR)
        except OSError:
            return
        deadline_ms = self._clock.now_ms() + linger_ms
        while not self.is_disconnected and self._clock.now_ms() < deadline_ms:
            if self._parser.failure is not None and not self._discard_input():
                return
            sleep(LINGER_POLL_MS / MS_PER_SECOND)

    def _discard_input(self) -> bool:
        """Read and discard input; return False at the end of input."""
        try:
            gevent_socket.wait_read(self._sock.fileno(), LINGER_MS / MS_PER_SECOND)
            return bool(self._sock.recv(READ_BYTES))
        except OSError:
            return False

    def on_stop_phase(self) -> None:
        """Act on the next phase of a planned stop."""
        self._wakeup.set()


def bad_request(message: str) -> Failure:
    """Return the failure for a request that violates the protocol."""
    return Failure(Outcome.NOT_RUN, ErrorCode.BAD_REQUEST, message, 400)
