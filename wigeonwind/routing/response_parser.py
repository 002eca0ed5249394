"""Endpoints' HTTP answers, parsed as their bytes arrive."""

from collections import deque

from httptools import HttpParserError, HttpParserUpgrade, HttpResponseParser

from wigeonwind.clock import MS_PER_SECOND
from wigeonwind.routing.header_codec import Header

FIRST_FINAL_STATUS = 200
"""Answers below are interim (RFC 9110 section 15.2)."""

BODYLESS_STATUSES = (204, 304)


class Response:
    """One answer; `body` holds the pieces that arrived since they were last taken."""

    __slots__ = ("body", "headers", "is_complete", "reason", "status")

    def __init__(self) -> None:
        self.status = 0
        self.reason = b""
        self.headers: list[Header] = []
        self.body: list[bytes] = []
        self.is_complete = False

    def take_body(self) -> bytes:
        """Return the body bytes that arrived since the last call."""
        body = b"".join(self.body)
        self.body.clear()
        return body

    @property
    def is_delimited_by_close(self) -> bool:
        """Return whether only the end of the connection ends the body."""
        names = {name.lower() for name, _ in self.headers}
        has_length = b"content-length" in names or b"transfer-encoding" in names
        return not has_length and self.status not in BODYLESS_STATUSES


class ResponseParser:
    r"""Parses the answers on one connection, interim ones left out.

    `responses` holds the responses whose head has arrived. A faulty endpoint may send
    more responses than it received requests; the user of the parser matches them.

    >>> parser = ResponseParser()
    >>> parser.feed(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 5")
    >>> response = parser.responses[0]
    >>> response.status, response.take_body(), parser.has_partial_message
    (200, b'ok', True)
    """

    def __init__(self) -> None:
        self.responses: deque[Response] = deque()
        self.error = ""
        self.has_partial_message = False
        """Part of an answer has arrived, but not all of it."""
        self.keeps_alive = True
        self._response = Response()
        self._parser = HttpResponseParser(self)

    def feed(self, data: bytes) -> None:
        """Take the next bytes of the connection; sets `error` where it breaks off."""
        if self.error:
            return
        try:
            self._parser.feed_data(data)
        except HttpParserUpgrade:
            self.error = "the endpoint switched protocols"
        except HttpParserError as error:
            self.error = f"not a valid answer: {error}"

    def feed_end(self) -> None:
        """Note that the endpoint closed the connection in order."""
        response = self._response
        if not self.error and response.status and not response.is_complete:
            response.is_complete = response.is_delimited_by_close

    def on_message_begin(self) -> None:
        """Start an answer (called by the parser)."""
        self._response = Response()
        self.has_partial_message = True

    def on_status(self, status: bytes) -> None:
        """Collect the reason phrase (called by the parser)."""
        self._response.reason += status

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header (called by the parser)."""
        self._response.headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Publish the head (called by the parser)."""
        self._response.status = self._parser.get_status_code()
        self.keeps_alive = self._parser.should_keep_alive()
        if self._response.status >= FIRST_FINAL_STATUS:
            self.responses.append(self._response)

    def on_body(self, body: bytes) -> None:
        """Collect part of the body (called by the parser)."""
        self._response.body.append(body)

    def on_message_complete(self) -> None:
        """Finish an answer (called by the parser)."""
        self._response.is_complete = True
        self.has_partial_message = False


def keep_alive_ms(response: Response) -> float | None:
    """Return the `timeout` of a Keep-Alive header in milliseconds, if there is one."""
    for name, value in response.headers:
        if name.lower() == b"keep-alive":
            for part in value.split(b","):
                key, _, number = part.strip().partition(b"=")
                if key.lower() == b"timeout" and number.isdigit():
                    return int(number) * MS_PER_SECOND
    return None
