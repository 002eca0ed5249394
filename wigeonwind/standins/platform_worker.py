"""A test double of the outer platform's workers: responses, streams and faults."""

import socket
import struct
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

import gevent
from gevent import socket as gevent_socket
from gevent.event import Event
from gevent.server import StreamServer

from wigeonwind.addresses import SocketAddress
from wigeonwind.clock import MS_PER_SECOND
from wigeonwind.routing.request_parser import HttpRequest, RequestParser
from wigeonwind.routing.routes import CallerLimits
from wigeonwind.standins.crashing_requests import CrashingRequests

READ_BYTES = 65_536

RESET_LINGER = struct.pack("ii", 1, 0)
"""SO_LINGER with a timeout of 0 s: `close` resets the connection."""


@dataclass(frozen=True)
class FullResponse:
    """A complete response; `is_signed` adds the header `Worker-Signature`.

    Without `has_length`, the end of the connection ends the body.
    """

    status: int = 200
    body: bytes = b"whole"
    is_signed: bool = True
    headers: tuple[str, ...] = ()
    delay_ms: float = 0.0
    has_length: bool = True


@dataclass(frozen=True)
class EchoRequestId:
    """A complete response whose body is the request id."""

    delay_ms: float = 0.0


@dataclass(frozen=True)
class EventStream:
    """A stream of `count` events, `gap_ms` apart, that resumes after a `Last-Event-Id`.

    It begins `prefill_ms` after the request. Each event holds its number from 1 and,
    with `has_id`, the request id, and is sent in two halves, `split_ms` apart.
    """

    count: int = 3
    gap_ms: float = 0.0
    cut_after: int | None = None
    """Close the connection after this many events, in the middle of the next."""
    is_chunked: bool = True
    """Whether the stream is chunked; otherwise the end of the connection ends it."""
    has_id: bool = False
    prefill_ms: float = 0.0
    split_ms: float = 0.0


@dataclass(frozen=True)
class NotExecuted:
    """A refusal with the header `Not-Executed`: the request was not executed."""

    status: int = 503


@dataclass(frozen=True)
class ConnectionReset:
    """The connection is reset without a response."""


@dataclass(frozen=True)
class NoResponse:
    """No response until the client closes the connection."""


@dataclass(frozen=True)
class TruncatedResponse:
    """The connection is closed before the announced Content-Length."""


@dataclass(frozen=True)
class StaleResponse:
    """A response to another request, followed by the matching response."""


@dataclass(frozen=True)
class ExtraResponse:
    """The matching response, followed by a response to another request."""


@dataclass(frozen=True)
class LateCopy:
    """Answers, and sends `copy` after the next request on the connection has arrived.

    That request is answered after the copy.
    """

    copy: bytes


@dataclass(frozen=True)
class EndlessBytes:
    """Sends `start`, then `repeated` without end until the router closes.

    `{id}` in `start` is replaced by the request id. A pause between the repetitions
    makes a stalled endpoint that sends a little now and then.
    """

    start: bytes
    repeated: bytes
    pause_ms: float = 0.0


@dataclass(frozen=True)
class RawBytes:
    """Sends `parts` one after the other, `gap_ms` apart, then ends as `end` says.

    `{id}` in a part is replaced by the request id. With `end` "keep" the connection
    stays open for the next request; "close" closes it, "reset" resets it.
    """

    parts: tuple[bytes, ...]
    end: str = "keep"
    gap_ms: float = 20.0


Behaviour = (
    FullResponse
    | EchoRequestId
    | EventStream
    | NotExecuted
    | ConnectionReset
    | NoResponse
    | TruncatedResponse
    | StaleResponse
    | ExtraResponse
    | LateCopy
    | EndlessBytes
    | RawBytes
)


@dataclass(frozen=True)
class Execution:
    """A request that the worker started to execute, and when (monotonic ms)."""

    request: HttpRequest
    at_ms: float


class PlatformWorker:
    """Handles each request with the next scripted behaviour, or the default one.

    A request that expects another worker is refused with status 421. `closed_by_caller`
    is set when a connection fails, or is closed while `NoResponse` keeps it open.
    A request of `crashing` crashes the worker, which then calls `on_crash`.
    """

    def __init__(self, name: str, default: Behaviour | None = None) -> None:
        self.name = name
        self.default: Behaviour = default or FullResponse()
        self.scripted: deque[Behaviour] = deque()
        self._late_copy_is_due = False
        self.requests: list[HttpRequest] = []
        self.executions: list[Execution] = []
        self.connection_count = 0
        self.closed_by_caller = Event()
        self.crashing = CrashingRequests()
        self.crash_times_ms: list[float] = []
        """Times of the crashes by requests (monotonic ms)."""
        self.on_crash: Callable[[], None] = lambda: None
        self.early_answer: RawBytes | None = None
        """Sent when the head of a request has arrived; its body stays unread."""
        self.is_ended = False
        self._open_sockets: set[gevent_socket.socket] = set()
        self._listen(0)

    def _listen(self, port: int) -> None:
        self._server = StreamServer(("127.0.0.1", port), self._handle)
        self._server.start()

    @property
    def address(self) -> SocketAddress:
        """Return the bound address."""
        return SocketAddress("127.0.0.1", self._server.server_port)

    def stop(self) -> None:
        """Stop without waiting for requests in flight."""
        self._server.stop(timeout=0)

    def end(self) -> None:
        """Close the listener and all connections at once, as at the end of a process.

        Connections end without a reset, whatever has been sent on them.
        """
        self.is_ended = True
        self._server.stop(timeout=0)
        for sock in list(self._open_sockets):
            _shut_down(sock)
        self._open_sockets.clear()

    def restart(self, name: str, port: int = 0) -> None:
        """Listen again after `end` or a crash, as another instance; port 0 is any."""
        self.name = name
        self.scripted.clear()
        self.is_ended = False
        self._listen(port)

    def reset_connections(self) -> None:
        """Reset all open connections, as the network may; the worker lives on."""
        for sock in list(self._open_sockets):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_LINGER)
            sock.close()
        self._open_sockets.clear()

    def _crash(self) -> None:
        self.crash_times_ms.append(time.monotonic() * MS_PER_SECOND)
        self.end()
        self.on_crash()

    def header(self, index: int, name: str) -> str | None:
        """Return a header of the received request number `index`, None if absent."""
        for key, value in self.requests[index].headers:
            if key.lower() == name.lower().encode():
                return value.decode()
        return None

    def _is_for_other_worker(self, request: HttpRequest) -> bool:
        """Return whether the request expects another worker at this address."""
        expected_worker = _header(request, b"expect-instance")
        return expected_worker not in ("", self.name)

    def _handle(self, sock: gevent_socket.socket, _: object) -> None:
        if self.is_ended:
            sock.close()
            return
        self.connection_count += 1
        self._open_sockets.add(sock)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        parser = RequestParser(CallerLimits())
        try:
            while True:
                while not parser.requests:
                    data = sock.recv(READ_BYTES)
                    if not data:
                        return
                    parser.feed(data)
                    if self.early_answer is not None:
                        self._answer_early(sock, data, self.early_answer)
                        return
                request = parser.requests.popleft()
                self.requests.append(request)
                behaviour = self.scripted.popleft() if self.scripted else self.default
                if self._is_for_other_worker(request):
                    behaviour = NotExecuted(421)
                if not isinstance(behaviour, NotExecuted):
                    self.executions.append(
                        Execution(request, time.monotonic() * MS_PER_SECOND)
                    )
                    if self.crashing.crashes(request):
                        gevent.sleep(self.crashing.prefill_ms / MS_PER_SECOND)
                        self._begin_last_answer(sock, _request_id(request))
                        # Another request may have ended the worker in the meantime.
                        if sock in self._open_sockets:
                            self._crash()
                        return
                if not self._respond(sock, request, behaviour):
                    return
        except OSError:
            if sock in self._open_sockets:
                self.closed_by_caller.set()
        finally:
            self._open_sockets.discard(sock)
            sock.close()

    def limit_receive_buffer(self, size: int) -> None:
        """Set the receive buffer of later connections, in bytes."""
        self._server.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)

    def _answer_early(
        self, sock: gevent_socket.socket, head: bytes, answer: RawBytes
    ) -> None:
        """Answer a request whose body is not read, and end the connection."""
        fields = head.lower().partition(b"request-id: ")[2]
        request_id = fields.partition(b"\r\n")[0]
        for part in answer.parts:
            sock.sendall(part.replace(b"{id}", request_id))
        gevent.sleep(answer.gap_ms / MS_PER_SECOND)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_LINGER)

    def _begin_last_answer(self, sock: gevent_socket.socket, request_id: str) -> None:
        """Send what the worker still writes of an answer on which it crashes."""
        if not self.crashing.sent_first:
            return
        begun = self.crashing.sent_first.replace(b"{id}", request_id.encode())
        sock.sendall(begun)
        gevent.sleep(self.crashing.writing_ms / MS_PER_SECOND)

    def _respond(
        self, sock: gevent_socket.socket, request: HttpRequest, behaviour: Behaviour
    ) -> bool:
        """Respond to a request; return whether the connection stays open."""
        request_id = _request_id(request)
        match behaviour:
            case FullResponse():
                gevent.sleep(behaviour.delay_ms / MS_PER_SECOND)
                sock.sendall(self._encode_response(request_id, behaviour))
                return behaviour.has_length
            case EchoRequestId():
                gevent.sleep(behaviour.delay_ms / MS_PER_SECOND)
                echo = FullResponse(body=request_id.encode())
                sock.sendall(self._encode_response(request_id, echo))
                return True
            case EventStream():
                return self._stream(sock, request, request_id, behaviour)
            case NotExecuted(status=status):
                head = f"HTTP/1.1 {status} No\r\nNot-Executed: 1\r\n"
                head += f"Request-Id: {request_id}\r\n"
                sock.sendall(f"{head}Content-Length: 0\r\n\r\n".encode())
                return True
            case LateCopy(copy=copy):
                whole = self._encode_response(request_id, FullResponse())
                if self._late_copy_is_due:
                    sock.sendall(copy)
                    gevent.sleep(0.02)
                self._late_copy_is_due = True
                sock.sendall(whole)
                return True
            case EndlessBytes(start, repeated, pause_ms):
                sock.sendall(start.replace(b"{id}", request_id.encode()))
                while True:
                    sock.sendall(repeated)
                    gevent.sleep(pause_ms / MS_PER_SECOND)
            case RawBytes(parts, end, gap_ms):
                for number, part in enumerate(parts):
                    gevent.sleep(gap_ms / MS_PER_SECOND if number else 0.0)
                    sock.sendall(part.replace(b"{id}", request_id.encode()))
                if end == "reset":
                    # A reset right after the bytes could discard them unread.
                    gevent.sleep(gap_ms / MS_PER_SECOND)
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_LINGER)
                return end == "keep"
            case ConnectionReset():
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_LINGER)
                return False
            case NoResponse():
                sock.recv(READ_BYTES)
                self.closed_by_caller.set()
                return False
            case TruncatedResponse():
                response = self._encode_response(
                    request_id, FullResponse(body=b"x" * 100)
                )
                sock.sendall(response[:-50])
                return False
            case StaleResponse():
                sock.sendall(
                    self._encode_response("0" * 16, FullResponse(body=b"of another"))
                )
                sock.sendall(
                    self._encode_response(
                        request_id, self._matching_response(request_id)
                    )
                )
                return True
            case ExtraResponse():
                extra = self._encode_response(
                    "0" * 16, FullResponse(body=b"of another")
                )
                matching = self._encode_response(
                    request_id, self._matching_response(request_id)
                )
                sock.sendall(matching + extra)
                return True

    def _matching_response(self, request_id: str) -> FullResponse:
        """Return a response; its body is the request id if default bodies hold it."""
        match self.default:
            case EchoRequestId() | EventStream(has_id=True):
                return FullResponse(body=request_id.encode())
        return FullResponse()

    def _encode_response(self, request_id: str, response: FullResponse) -> bytes:
        lines = [
            f"HTTP/1.1 {response.status} Status",
            f"Request-Id: {request_id}",
            *response.headers,
        ]
        if response.has_length:
            lines.append(f"Content-Length: {len(response.body)}")
        if response.is_signed:
            lines.append(f"Worker-Signature: {self.name}")
        return "\r\n".join([*lines, "", ""]).encode() + response.body

    def _stream(
        self,
        sock: gevent_socket.socket,
        request: HttpRequest,
        request_id: str,
        stream: EventStream,
    ) -> bool:
        first = 1
        for name, value in request.headers:
            if name.lower() == b"last-event-id":
                first = int(value) + 1
        gevent.sleep(stream.prefill_ms / MS_PER_SECOND)
        framing = "Transfer-Encoding: chunked" if stream.is_chunked else "X-None: 1"
        sock.sendall(
            f"HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\n{framing}\r\n"
            f"Content-Type: text/event-stream\r\n"
            f"Worker-Signature: {self.name}\r\n\r\n".encode()
        )
        for sent, number in enumerate(range(first, stream.count + 1)):
            gevent.sleep(stream.gap_ms / MS_PER_SECOND)
            data = f"{request_id}/{number}" if stream.has_id else f"{number}"
            event = f"id: {number}\ndata: {data}\n\n".encode()
            if stream.cut_after is not None and sent >= stream.cut_after:
                sock.sendall(_chunk(event[:7], stream.is_chunked))
                return False
            half = len(event) // 2 if stream.split_ms else len(event)
            sock.sendall(_chunk(event[:half], stream.is_chunked))
            if stream.split_ms:
                gevent.sleep(stream.split_ms / MS_PER_SECOND)
                sock.sendall(_chunk(event[half:], stream.is_chunked))
        if stream.is_chunked:
            sock.sendall(b"0\r\n\r\n")
        return stream.is_chunked


def _shut_down(sock: gevent_socket.socket) -> None:
    try:
        sock.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass  # The peer has closed it already.
    sock.close()


def _chunk(data: bytes, is_chunked: bool) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data) if is_chunked else data


def _request_id(request: HttpRequest) -> str:
    return _header(request, b"request-id")


def _header(request: HttpRequest, header_name: bytes) -> str:
    for name, value in request.headers:
        if name.lower() == header_name:
            return value.decode()
    return ""
