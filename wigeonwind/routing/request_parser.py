"""Incremental parsing of the HTTP requests of callers."""

from collections import deque
from dataclasses import dataclass

from httptools import HttpParserError, HttpParserUpgrade, HttpRequestParser

from wigeonwind.outcomes import ErrorCode, Failure, Outcome
from wigeonwind.routing.header_codec import Header
from wigeonwind.routing.routes import CallerLimits

MAX_TARGET_BYTES = 8_192
"""Longest request target; RFC 9110 section 4.1 recommends at least 8,000 octets."""


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """A complete request; `target` is the path and query as the caller sent them."""

    method: bytes
    target: bytes
    headers: tuple[Header, ...]
    body: bytes
    is_http11: bool
    keeps_alive: bool

    @property
    def path(self) -> str:
        """Return the target without its query."""
        return self.target.partition(b"?")[0].decode("latin-1")


def _not_run(code: ErrorCode, message: str, status: int) -> Failure:
    return Failure(Outcome.NOT_RUN, code, message, status)


class RequestParser:
    r"""Parses the requests of one connection and enforces the limits for callers.

    Once `failure` is set, nothing more is parsed: the remaining bytes may belong to the
    body of the invalid request and must not be taken for another request.

    >>> parser = RequestParser(CallerLimits())
    >>> parser.feed(b"GET /a/?q HTTP/1.1\r\nHost: x\r\n\r\nGET /b")
    >>> parser.requests[0].target, parser.has_partial_message
    (b'/a/?q', True)
    """

    def __init__(self, limits: CallerLimits) -> None:
        self.limits = limits
        self.requests: deque[HttpRequest] = deque()
        self.failure: Failure | None = None
        self.expects_continue = False
        """Whether the caller waits for `100 Continue` before it sends the body."""
        self.has_partial_message = False
        """Whether a request has been received in part."""
        self._framing_bytes = 0
        """Bytes received since the last byte of the body, or since the start."""
        self._reset()
        self._parser = HttpRequestParser(self)

    def _reset(self) -> None:
        self._target = b""
        self._headers: list[Header] = []
        # Chunks may be as small as a byte, which would take 40 bytes each in a list.
        self._body = bytearray()
        self._body_bytes = 0
        self._head_is_complete = False

    @property
    def has_partial_head(self) -> bool:
        """Return whether the head of a request has been received in part."""
        return self.has_partial_message and not self._head_is_complete

    def feed(self, data: bytes) -> None:
        """Parse the next bytes of the connection; set `failure` if they are invalid."""
        while self.failure is None and data:
            data = self._feed_up_to_upgrade(data)

    def _feed_up_to_upgrade(self, data: bytes) -> bytes:
        """Parse bytes and return those behind an offer to upgrade the protocol.

        The offer is ignored; the request that makes it is complete.
        """
        rest = b""
        self.has_partial_message = True
        self._framing_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except HttpParserUpgrade as upgrade:
            self._parser = HttpRequestParser(self)
            rest = data[upgrade.args[0] :]
        except HttpParserError as error:
            self._fail(ErrorCode.BAD_REQUEST, f"invalid HTTP request: {error}", 400)
        if self.has_partial_message and (
            self._framing_bytes > self.limits.max_header_bytes
        ):
            what = "trailers or chunk extensions" if self._head_is_complete else "head"
            message = f"the request has a larger {what} than allowed"
            self._fail(ErrorCode.TOO_LARGE, message, 431)
        return rest

    def _fail(self, code: ErrorCode, message: str, status: int) -> None:
        if self.failure is None:
            self.failure = _not_run(code, message, status)

    def on_message_begin(self) -> None:
        """Start a request (parser callback)."""
        self._reset()
        self.has_partial_message = True

    def on_url(self, url: bytes) -> None:
        """Append to the request target (parser callback)."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header (parser callback); trailers are dropped (RFC 9110 6.5.1)."""
        if not self._head_is_complete:
            self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Check the head (parser callback)."""
        self._head_is_complete = True
        self._check_head()
        names = {name.lower(): value for name, value in self._headers}
        self.expects_continue = names.get(b"expect", b"").lower() == b"100-continue"

    def _check_head(self) -> None:
        size = sum(len(name) + len(value) + 4 for name, value in self._headers)
        if size + len(self._target) > self.limits.max_header_bytes:
            self._fail(
                ErrorCode.TOO_LARGE, "the request line and headers are too large", 431
            )
        if len(self._target) > MAX_TARGET_BYTES:
            self._fail(ErrorCode.TOO_LARGE, "the request target is too long", 414)
        values: dict[bytes, list[bytes]] = {}
        for name, value in self._headers:
            values.setdefault(name.lower(), []).append(value)
        encodings = values.get(b"transfer-encoding", [])
        lengths = values.get(b"content-length", [])
        if encodings and lengths:
            message = "both Content-Length and Transfer-Encoding are present"
            self._fail(ErrorCode.BAD_REQUEST, message, 400)
        if encodings and [value.lower() for value in encodings] != [b"chunked"]:
            message = "only the transfer encoding `chunked` is supported"
            self._fail(ErrorCode.BAD_REQUEST, message, 501)
        if len(lengths) > 1:
            self._fail(ErrorCode.BAD_REQUEST, "more than one Content-Length", 400)
        if lengths and lengths[0].isdigit():
            self._check_body(int(lengths[0]))
        if self._parser.get_http_version() == "1.1" and (
            len(values.get(b"host", [])) != 1
        ):
            self._fail(ErrorCode.BAD_REQUEST, "HTTP/1.1 needs one Host header", 400)

    def _check_body(self, size: int) -> None:
        if size > self.limits.max_body_bytes:
            limit = self.limits.max_body_bytes
            message = f"the body is larger than {limit} bytes"
            self._fail(ErrorCode.TOO_LARGE, message, 413)

    def on_body(self, body: bytes) -> None:
        """Append to the body (parser callback)."""
        self._framing_bytes = 0
        self._body_bytes += len(body)
        self._check_body(self._body_bytes)
        if self.failure is None:
            self._body += body

    def on_message_complete(self) -> None:
        """Add the request to `requests` (parser callback)."""
        self.has_partial_message = False
        self._head_is_complete = False
        self.expects_continue = False
        self._framing_bytes = 0
        if self.failure is not None:
            return
        self.requests.append(
            HttpRequest(
                self._parser.get_method(),
                self._target,
                tuple(self._headers),
                bytes(self._body),
                self._parser.get_http_version() == "1.1",
                self._parser.should_keep_alive(),
            )
        )
