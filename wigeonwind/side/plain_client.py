"""Client of a plain service: forwards each call once, without hop-by-hop headers."""

from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass

from wigeonwind.addresses import SocketAddress
from wigeonwind.hop_headers import HOP_BY_HOP, connection_options
from wigeonwind.links.messages import Submit
from wigeonwind.side.endpoint_http import (
    HttpExchange,
    HttpFailure,
    HttpHead,
    trace_headers,
)

REPLACED_HEADERS = frozenset({"host", "content-length", "expect"})
"""Request headers that are not forwarded. The client sets Host and Content-Length, and
Expect is not needed because the complete body has already been received."""


EVENT_ENDS = (b"\n\n", b"\n\r\n")
"""Ends of an event: an empty line. Lines end with LF or CRLF."""


@dataclass(frozen=True)
class PlainEnd:
    """The complete response has been received."""


PlainItem = HttpHead | bytes | PlainEnd | HttpFailure


def end_to_end_headers(headers: Iterable[list[str]]) -> list[list[str]]:
    """Return the headers without hop-by-hop headers.

    >>> end_to_end_headers([["Connection", "X-Hop"], ["X-Hop", "1"], ["Accept", "*"]])
    [['Accept', '*']]
    """
    pairs = list(headers)
    dropped = HOP_BY_HOP | connection_options(pairs)
    return [[name, value] for name, value in pairs if name.lower() not in dropped]


class PlainCall:
    """One call to a plain service."""

    def __init__(
        self, exchange: HttpExchange, submit: Submit, traceparent: str
    ) -> None:
        self._exchange = exchange
        self._traceparent = traceparent
        self._submit = submit

    def items(self, on_connected: Callable[[], None]) -> Iterator[PlainItem]:
        """Yield the head, chunks of the body, then PlainEnd or HttpFailure.

        `on_connected` is called when the request is about to be sent.
        """
        try:
            yield from self._items(on_connected)
        finally:
            self._exchange.close()

    def _items(self, on_connected: Callable[[], None]) -> Iterator[PlainItem]:
        failure = self._exchange.connect()
        if failure is not None:
            yield failure
            return
        on_connected()
        submit = self._submit
        headers = [
            pair
            for pair in end_to_end_headers(submit.headers)
            if pair[0].lower() not in REPLACED_HEADERS
        ]
        headers += trace_headers(self._traceparent)
        head = self._exchange.request(submit.method, submit.path, headers, submit.body)
        if isinstance(head, HttpFailure):
            yield head
            return
        yield HttpHead(head.status, end_to_end_headers(head.headers))
        yield from self._body_items(_is_event_stream(head))

    def _body_items(self, is_event_stream: bool) -> Iterator[PlainItem]:
        tail = b""
        while True:
            data = self._exchange.read()
            if isinstance(data, bytes) and not data:
                if is_event_stream and tail and not tail.endswith(EVENT_ENDS):
                    yield HttpFailure(True, "the stream ended within an event")
                else:
                    yield PlainEnd()
                return
            yield data
            if isinstance(data, HttpFailure):
                return
            tail = (tail + data)[-max(map(len, EVENT_ENDS)) :]

    def abort(self) -> None:
        """Abort the exchange from another greenlet."""
        self._exchange.abort()


def _is_event_stream(head: HttpHead) -> bool:
    return any(
        name.lower() == "content-type" and value.lower().startswith("text/event-stream")
        for name, value in head.headers
    )


class PlainClient:
    """Client of one plain service."""

    def __init__(self, address: SocketAddress, request_timeout_ms: float) -> None:
        self._address = address
        self._request_timeout_ms = request_timeout_ms

    def call(self, submit: Submit, traceparent: str = "") -> PlainCall:
        """Return a call; `items` sends the request."""
        exchange = HttpExchange(self._address, self._request_timeout_ms)
        return PlainCall(exchange, submit, traceparent)
