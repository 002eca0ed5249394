"""The HTTP server for callers: gevent's WSGI server with limits per connection."""

import fcntl
import socket
import ssl
import struct
import sys
import termios
from collections.abc import Callable, Iterable
from http.client import HTTPException
from time import monotonic
from typing import Any
from urllib.parse import unquote

import gevent
from gevent import get_hub
from gevent.pool import Pool
from gevent.pywsgi import MAX_REQUEST_LINE, Input, WSGIHandler, WSGIServer

from wigeonwind.addresses import SocketAddress
from wigeonwind.clock import MS_PER_SECOND
from wigeonwind.entry.http_call import (
    BODY_KEY,
    HEADERS_KEY,
    SOCKET_KEY,
    TARGET_KEY,
    ReplyAbortedError,
)
from wigeonwind.entry.http_limits import (
    REFUSAL_DRAIN_S,
    BoundedHeaderReader,
    RequestRefusedError,
    body_too_large,
    check_framing,
    request_refused,
    send_refusal,
)
from wigeonwind.entry.replies import failure, refusal, stopping_refusal
from wigeonwind.outcomes import ErrorCode, Failure, Outcome
from wigeonwind.settings import LimitSettings

IDLE_CLOSE_S = 0.3
"""Time for which a draining entry still reads from a connection that has no request."""

IDLE_TIMEOUT_S = 60.0
"""Socket timeout: for the next request of a connection and for a blocked write.

Load balancers commonly drop idle connections after a minute.
"""

LINGER_RESET = struct.pack("ii", 1, 0)
"""SO_LINGER value with which `close` resets the connection."""

BODY_READ_BYTES = 65_536
SMALL_BODY_BYTES = 65_536
MAX_LARGE_BODY_TOTAL_BYTES = 96_000_000
"""Limit of the bytes beyond SMALL_BODY_BYTES of all bodies together, under half of a
node's memory. Small bodies are not counted, so that large bodies that arrive slowly
cannot block other callers.
"""

OVERLOAD_RETRY_AFTER_MS = 1000.0

Application = Callable[[dict[str, Any], Callable[..., Any]], Iterable[bytes]]


class CallerHandler(WSGIHandler):
    """Serves the requests of one connection."""

    server: "CallerServer"

    def handle_one_request(self) -> Any:
        """Serve one request, whose head and body must arrive in `read_timeout_ms`."""
        if not self._await_request():
            return None
        timer = gevent.Timeout.start_new(self.server.read_timeout_s)
        self._read_timer = timer
        self.server.in_flight += 1
        self.server.greenlet_by_unread[self] = gevent.getcurrent()
        try:
            return super().handle_one_request()
        except RequestRefusedError as error:
            self._refuse(error.failure)
            return None
        except gevent.Timeout as expired:
            if expired is not timer:
                raise
            message = "the request was not received completely within the read timeout"
            self._refuse(refusal(ErrorCode.BAD_REQUEST, message, http_status=408))
            return None
        finally:
            self.server.in_flight -= 1
            self.server.greenlet_by_unread.pop(self, None)
            timer.close()

    def _await_request(self) -> bool:
        """Wait for the first byte of a request; False if none will be served."""
        self._idle_since_s = monotonic()
        self.server.idle_handlers.add(self)
        if self.server.is_closing:
            self.close_when_idle()
        try:
            return bool(self.rfile.peek(1))
        except (OSError, ValueError):
            return False
        finally:
            self.server.idle_handlers.discard(self)

    def close_when_idle(self) -> None:
        """Close the connection once no request has started on it for IDLE_CLOSE_S.

        Its caller may be sending one, as no response has said that it will be closed.
        """
        idle_s = monotonic() - self._idle_since_s
        if self not in self.server.idle_handlers:
            return
        if idle_s < IDLE_CLOSE_S:
            gevent.spawn_later(IDLE_CLOSE_S - idle_s, self.close_when_idle)
        elif not _has_unread_input(self.socket):
            self._shut_down()

    def _shut_down(self) -> None:
        try:
            self.socket.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass

    def read_requestline(self) -> str:
        """Read the request line; raise RequestRefusedError if it is invalid."""
        line = str(super().read_requestline())
        if len(line) >= MAX_REQUEST_LINE:
            message = "the request line is too long"
            raise request_refused(message, ErrorCode.TOO_LARGE, 414)
        if line and not line.endswith("\r\n"):
            raise request_refused(
                "the request line is malformed", ErrorCode.BAD_REQUEST, 400
            )
        return line

    def MessageClass(self, rfile: Any, *args: Any) -> Any:  # noqa: N802
        """Read the header lines and check the framing of the body."""
        bounded = BoundedHeaderReader(rfile, self.server.limits.max_header_bytes)
        headers = super().MessageClass(bounded, *args)
        # gevent drops Content-Length next to Transfer-Encoding: chunked, so check here.
        check_framing(headers, self.server.limits.max_body_bytes)
        return headers

    def read_request(self, raw_requestline: str) -> bool:
        """Parse the head; raise ValueError if it is not valid HTTP/1.x."""
        if len(raw_requestline.split()) != 3:
            raise request_refused(
                "the request line is malformed", ErrorCode.BAD_REQUEST, 400
            )
        read = super().read_request(raw_requestline)
        if self.request_version != "HTTP/1.1":
            # HTTP/1.0 has no chunked encoding: closing ends a streamed reply.
            self.close_connection = True
        return bool(read)

    def get_environ(self) -> Any:
        """Return only the WSGI variables that the caller-facing interfaces use.

        Building the complete environment costs as much as the rest of a short request.
        """
        headers = [list(pair) for pair in self.headers.items()]
        self._expects_continue = (
            self.headers.get("expect", "").lower() == "100-continue"
        )
        chunked = self.headers.get("transfer-encoding") is not None
        self.wsgi_input = Input(
            self.rfile,
            self.content_length,
            socket=self.socket if self._expects_continue else None,
            chunked_input=chunked,
        )
        environ = self.server.get_environ()
        environ["REQUEST_METHOD"] = self.command
        environ["PATH_INFO"] = unquote(self.path.partition("?")[0])
        environ["REMOTE_ADDR"] = self.client_address[0]
        environ["wsgi.input"] = self.wsgi_input
        environ[TARGET_KEY] = self.path
        environ[HEADERS_KEY] = headers
        environ[SOCKET_KEY] = self.socket
        return environ

    def handle_one_response(self) -> None:
        """Read the body within its limits, then call the application."""
        self._reserved_bytes = 0
        try:
            if self._receive_body():
                self.server.greenlet_by_unread.pop(self, None)
                self._read_timer.close()
                super().handle_one_response()
        finally:
            self.server.large_body_bytes -= self._reserved_bytes

    def _receive_body(self) -> bool:
        """Read the body; return False if the request has been refused.

        After the grace period of a drain no caller is asked to send a body.
        """
        if self.server.is_closing and self._expects_continue:
            self._refuse(stopping_refusal())
            return False
        try:
            self.environ[BODY_KEY] = self._read_body()
        except RequestRefusedError as error:
            self._refuse(error.failure)
            return False
        except (OSError, ValueError):
            message = "the body is incomplete or its chunked encoding is malformed"
            self._refuse(refusal(ErrorCode.BAD_REQUEST, message))
            return False
        return True

    def _read_body(self) -> bytes:
        chunks = []
        size = 0
        while chunk := self.wsgi_input.read(BODY_READ_BYTES):
            size += len(chunk)
            if size > self.server.limits.max_body_bytes:
                raise body_too_large(self.server.limits.max_body_bytes)
            if size > SMALL_BODY_BYTES:
                self._reserve_body_memory(len(chunk))
            chunks.append(chunk)
        return b"".join(chunks)

    def _reserve_body_memory(self, size: int) -> None:
        """Count bytes of a large body; refuse it if large bodies exceed the limit."""
        self._reserved_bytes += size
        self.server.large_body_bytes += size
        if self.server.large_body_bytes > MAX_LARGE_BODY_TOTAL_BYTES:
            message = "too many large request bodies at the same time"
            error = refusal(ErrorCode.OVERLOADED, message, OVERLOAD_RETRY_AFTER_MS)
            raise RequestRefusedError(error)

    def _handle_client_error(self, ex: Exception) -> None:
        if isinstance(ex, RequestRefusedError):
            self._refuse(ex.failure)
        elif isinstance(ex, HTTPException):
            message = "the request has too many header lines"
            self._refuse(refusal(ErrorCode.TOO_LARGE, message, http_status=431))
        else:
            message = "the request is not valid HTTP"
            self._refuse(refusal(ErrorCode.BAD_REQUEST, message))

    def _refuse(self, error: Failure) -> None:
        """Send a refusal and close the connection."""
        self.close_connection = True
        self.server.greenlet_by_unread.pop(self, None)
        self.server.count_refusal(error)
        send_refusal(self.socket, error, self.server.linger_s)

    def finalize_headers(self) -> None:
        """Add `Connection: close` while the entry drains.

        A caller that has sent requests behind this one gets it with the last response.
        """
        ends = self.server.is_draining and not self._has_pipelined_request()
        if ends and not self.close_connection:
            self.close_connection = True
            self.response_headers.append((b"Connection", b"close"))
        super().finalize_headers()
        if self.command == "HEAD":
            self.response_use_chunked = False

    def _has_pipelined_request(self) -> bool:
        """Return whether the caller has sent more, without waiting for it."""
        self.socket.settimeout(0.0)
        try:
            return bool(self.rfile.peek(1))
        except (OSError, ValueError):
            return False
        finally:
            self.socket.settimeout(IDLE_TIMEOUT_S)

    def _write_with_headers(self, data: bytes) -> None:
        """Send the head and the first data in one packet if they fit."""
        self.headers_sent = True
        self.finalize_headers()
        if self.command == "HEAD":
            data = b""
        lines = [b"HTTP/1.1 " + self.status]
        lines += [name + b": " + value for name, value in self.response_headers]
        head = b"\r\n".join([*lines, b"", b""])
        if data and self.response_use_chunked:
            head += b"%x\r\n" % len(data)
            data += b"\r\n"
        self._sendall(head + data)

    def _write(self, data: bytes) -> None:
        """Send more of the body, except in a reply to HEAD."""
        if self.command != "HEAD":
            super()._write(data)

    def _sendall(self, data: bytes) -> None:
        """Send what fits into the socket buffer now and wait only for the rest."""
        if self.server.tls is not None:
            self.socket.sendall(data)
            self.response_length += len(data)
            return
        try:
            sent = self.socket._sock.send(data)
        except BlockingIOError:
            sent = 0
        except OSError:
            self.close_connection = True
            raise
        self.response_length += len(data)
        if sent < len(data):
            self.socket.sendall(memoryview(data)[sent:])

    def process_result(self) -> None:
        """Send the reply; an aborted reply ends without its final chunk."""
        try:
            super().process_result()
        except ReplyAbortedError:
            self._cut_off()
        except BaseException:
            if self.headers_sent:
                self._cut_off()
            raise

    def _cut_off(self) -> None:
        self.close_connection = True
        if not (self.response_use_chunked or self.provided_content_length):
            self._reset_on_close()

    def _reset_on_close(self) -> None:
        """Reset the connection, as an unframed reply would otherwise seem complete."""
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)

    def handle_error(self, t: Any, v: Any, tb: Any) -> None:
        """Reply to an internal error with outcome unknown: the request may have run."""
        self._log_error(t, v, tb)
        self.close_connection = True
        if not self.headers_sent:
            message = "the entry stopped or failed before the request was answered"
            code = ErrorCode.ENDPOINT_FAILED
            is_stop = self.server.is_draining and issubclass(t, gevent.GreenletExit)
            status = 502 if is_stop else 500
            self._refuse(failure(Outcome.UNKNOWN, code, message, http_status=status))

    def log_request(self) -> None:
        """Write no access log; the metrics count requests."""


def _has_unread_input(sock: Any) -> bool:
    """Return whether the kernel holds bytes that have not been read."""
    try:
        buffer = fcntl.ioctl(sock.fileno(), termios.FIONREAD, bytes(4))
    except (OSError, ValueError):
        return False
    return bool(int.from_bytes(buffer, sys.byteorder))


class CallerServer(WSGIServer):
    """Accepts callers' connections.

    `in_flight` counts the requests that are being received or answered, `connections`
    the open connections, and `large_body_bytes` the bytes under
    MAX_LARGE_BODY_TOTAL_BYTES.
    """

    handler_class = CallerHandler

    def __init__(
        self,
        address: SocketAddress,
        application: Application,
        limits: LimitSettings,
        count_refusal: Callable[[Failure], None],
        tls: ssl.SSLContext | None = None,
    ) -> None:
        super().__init__(
            (address.host, address.port),
            application,
            # A pool lets `stop` close the connections that are still open.
            spawn=Pool(),
            log=None,
            error_log=None,
            # A fixed name avoids a lookup, which blocks on a machine without resolver.
            environ={"SERVER_NAME": address.host},
        )
        self.limits = limits
        self.tls = tls
        self.read_timeout_s = limits.read_timeout_ms / MS_PER_SECOND
        self.count_refusal = count_refusal
        self.idle_handlers: set[CallerHandler] = set()
        self.greenlet_by_unread: dict[CallerHandler, gevent.Greenlet] = {}
        """Greenlets of the handlers that are receiving a request."""
        self.linger_s = REFUSAL_DRAIN_S
        self.in_flight = 0
        self.connections = 0
        self.large_body_bytes = 0
        self.is_draining = False
        self.is_closing = False

    def handle(self, sock: Any, address: Any) -> None:
        """Serve one connection."""
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.settimeout(IDLE_TIMEOUT_S)
        self.connections += 1
        try:
            if self.connections > self.limits.max_connections:
                self._refuse_connection(sock)
                return
            tls_socket = self._wrap_tls(sock)
            if tls_socket is not None:
                super().handle(tls_socket, address)
        finally:
            self.connections -= 1

    def _wrap_tls(self, sock: Any) -> Any:
        """Wrap the socket in TLS if configured; return None if the handshake fails."""
        if self.tls is None:
            return sock
        try:
            with gevent.Timeout(
                self.read_timeout_s, TimeoutError("TLS handshake timed out")
            ):
                return self.tls.wrap_socket(sock, server_side=True)
        except (OSError, ValueError):
            sock.close()
            return None

    def _refuse_connection(self, sock: Any) -> None:
        message = "too many open connections"
        error = refusal(ErrorCode.OVERLOADED, message, OVERLOAD_RETRY_AFTER_MS)
        self.count_refusal(error)
        send_refusal(sock, error)
        sock.close()

    def close_idle(self) -> None:
        """Stop accepting connections and close those without a request."""
        self.is_closing = True
        self.close()
        for handler in tuple(self.idle_handlers):
            handler.close_when_idle()

    @property
    def is_busy(self) -> bool:
        """Return whether a request is open or may still come on a connection."""
        return bool(self.in_flight or self.idle_handlers)

    def refuse_unread(self, error: Failure) -> int:
        """Refuse all requests that are being received; return their number."""
        for handler in tuple(self.greenlet_by_unread):
            get_hub().loop.run_callback(self._refuse_if_unread, handler, error)
        return len(self.greenlet_by_unread)

    def _refuse_if_unread(self, handler: CallerHandler, error: Failure) -> None:
        # The request may have been received completely since the callback was added.
        greenlet = self.greenlet_by_unread.pop(handler, None)
        if greenlet is not None:
            greenlet.throw(RequestRefusedError(error))

    @property
    def bound_address(self) -> SocketAddress:
        """Return the listening address; its port is known after `start`."""
        return SocketAddress(self.server_host, self.server_port)
