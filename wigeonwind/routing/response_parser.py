"""Incremental parsing of the HTTP responses of endpoints."""

import re
from collections import deque

from httptools import HttpParserError, HttpParserUpgrade, HttpResponseParser

from wigeonwind.clock import MS_PER_SECOND
from wigeonwind.routing.header_codec import Header
from wigeonwind.routing.response_limits import MAX_FRAMING_BYTES

MAX_KEEP_ALIVE_S = 86_400
"""Longest time for which an idle connection is used again, in seconds."""

MAX_DIGITS = 9
"""Digits of a number in a header that are read."""

FIRST_FINAL_STATUS = 200
"""Responses with a lower status are interim (RFC 9110 section 15.2)."""

BODYLESS_STATUSES = (204, 304)

STATUS_LINE = re.compile(rb"HTTP/1\.[01] \d{3}")
"""Start of a response. Within a header it shows that an endpoint has stopped in the
middle of a head and gone on with another response."""


STATUS_LINE_PREFIXES = tuple(b"HTTP/1.1"[:length] for length in range(1, 9))


def has_head_within(body: bytes) -> bool:
    """Return whether a body contains the head of a response or ends within one.

    >>> has_head_within(b"firstHTTP/1.1 503 No"), has_head_within(b"firstHT")
    (True, True)
    >>> has_head_within(b"first")
    False
    """
    return bool(STATUS_LINE.search(body)) or body.endswith(STATUS_LINE_PREFIXES)


class Response:
    """One response; `body` holds the bytes received since the last `take_body`."""

    __slots__ = ("body", "headers", "is_complete", "is_empty", "reason", "status")

    def __init__(self) -> None:
        self.status = 0
        self.is_empty = True
        """Whether no byte of the body has been received."""
        self.reason = b""
        self.headers: list[Header] = []
        self.body: list[bytes] = []
        self.is_complete = False

    def take_body(self) -> bytes:
        """Return and clear the body bytes received since the last call."""
        body = b"".join(self.body)
        self.body.clear()
        return body

    @property
    def is_delimited_by_close(self) -> bool:
        """Return whether the body ends where the connection is closed."""
        names = {name.lower() for name, _ in self.headers}
        has_length = b"content-length" in names or b"transfer-encoding" in names
        return not has_length and self.status not in BODYLESS_STATUSES

    @property
    def is_ended_by_close(self) -> bool:
        """Return whether the body is complete because the connection was closed."""
        return self.is_complete and self.is_delimited_by_close

    @property
    def ends_with_head(self) -> bool:
        """Return whether the connection was closed where a body without length begins.

        The endpoint may have stopped there, so the response is not known to be whole.
        """
        return self.is_ended_by_close and self.is_empty


class ResponseParser:
    r"""Parses the responses of one connection; interim responses are set aside.

    `responses` holds the responses whose head has arrived. A faulty endpoint may send
    more responses than it received requests, so whoever takes a response must check
    that it belongs to the request. More than MAX_FRAMING_BYTES in a row without body
    bytes are an error, because llhttp accepts heads and trailers of any length.

    >>> parser = ResponseParser()
    >>> parser.feed(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 5")
    >>> response = parser.responses[0]
    >>> response.status, response.take_body(), parser.has_partial_message
    (200, b'ok', True)
    """

    def __init__(self) -> None:
        self.responses: deque[Response] = deque()
        self.interim_heads: list[list[Header]] = []
        """Headers of interim responses, until `take_interim_heads`."""
        self.error = ""
        self.has_partial_message = False
        """Whether a response has been received in part."""
        self.keeps_alive = True
        self._response = Response()
        self._framing_bytes = 0
        """Bytes received since the last byte of a body."""
        self._parser = HttpResponseParser(self)

    def feed(self, data: bytes) -> None:
        """Parse the next bytes of the connection; set `error` if they are invalid."""
        if self.error:
            return
        self._framing_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except HttpParserUpgrade:
            self.error = "the endpoint switched protocols without being asked to"
        except HttpParserError as error:
            self.error = f"invalid HTTP response: {error}"
        if self._framing_bytes > MAX_FRAMING_BYTES:
            self.error = f"more than {MAX_FRAMING_BYTES} bytes without a body"

    def take_interim_heads(self) -> list[list[Header]]:
        """Return and clear the headers of the interim responses received."""
        heads, self.interim_heads = self.interim_heads, []
        return heads

    def feed_end(self) -> None:
        """Handle an orderly close of the connection by the endpoint."""
        response = self._response
        if not self.error and response.status and not response.is_complete:
            response.is_complete = response.is_delimited_by_close

    def on_message_begin(self) -> None:
        """Start a response (parser callback)."""
        self._response = Response()
        self.has_partial_message = True

    def on_status(self, status: bytes) -> None:
        """Append to the reason phrase (parser callback)."""
        self._response.reason += status

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header (parser callback); trailers are dropped (RFC 9110 6.5.1)."""
        if not self._response.status:
            self._response.headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Add a final response to `responses` (parser callback)."""
        self._response.status = self._parser.get_status_code()
        self.keeps_alive = self._parser.should_keep_alive()
        if self._has_second_head():
            raise ValueError("a second head within the head of a response")
        if self._response.status >= FIRST_FINAL_STATUS:
            self.responses.append(self._response)
        elif self._response.headers:
            self.interim_heads.append(self._response.headers)

    def _has_second_head(self) -> bool:
        values = [value for _, value in self._response.headers]
        return any(map(STATUS_LINE.search, [self._response.reason, *values]))

    def on_body(self, body: bytes) -> None:
        """Append to the body (parser callback)."""
        self._framing_bytes = 0
        self._response.body.append(body)
        self._response.is_empty = False

    def on_message_complete(self) -> None:
        """Mark the response as complete (parser callback)."""
        self._response.is_complete = True
        self.has_partial_message = False


def keep_alive_ms(response: Response) -> float | None:
    """Return the `timeout` of the Keep-Alive header in milliseconds, None if absent."""
    for name, value in response.headers:
        if name.lower() == b"keep-alive":
            for part in value.split(b","):
                key, _, number = part.strip().partition(b"=")
                if key.lower() == b"timeout" and number.isdigit():
                    seconds = int(number[:MAX_DIGITS])
                    return min(seconds, MAX_KEEP_ALIVE_S) * MS_PER_SECOND
    return None
