"""HTTP client that sends one request of the load and records the response."""

import json
import time
from collections.abc import Iterator

from wigeonwind.addresses import SocketAddress
from wigeonwind.checking.history import End, Piece, RequestSeen
from wigeonwind.clock import MS_PER_SECOND
from wigeonwind.load.plan import PlannedRequest
from wigeonwind.side.endpoint_http import HttpExchange, HttpFailure, HttpHead

NUMBER_HEADER = "X-Load-Number"
"""Identifies the request in the records of plain services, which receive it."""

EVENT_SEPARATOR = b"\n\n"
EVENT_DATA_PREFIX = b"data: "
STREAM_END_MARK = b"[DONE]"


def wall_ms() -> float:
    """Return wall-clock time in ms, comparable between processes of one machine."""
    return time.time() * MS_PER_SECOND


class Caller:
    """Sends one planned request to one entry and records the response."""

    def __init__(
        self,
        planned: PlannedRequest,
        entry: SocketAddress,
        intended_ms: float,
        timeout_ms: float,
    ) -> None:
        self._planned = planned
        self._entry = entry
        self._intended_ms = intended_ms
        self._timeout_ms = timeout_ms
        self._pieces: list[Piece] = []
        self._first_ms: float | None = None
        self._status = 0
        self._header_by_name: dict[str, str] = {}
        self._error: dict[str, str] = {}

    def call(self) -> RequestSeen:
        """Send the request and return the record of its result."""
        sent_ms = wall_ms()
        exchange = HttpExchange(self._entry, self._timeout_ms)
        try:
            end = self._run_exchange(exchange)
        finally:
            exchange.close()
        ended_ms = wall_ms()
        if end is End.BROKEN and ended_ms - sent_ms >= self._timeout_ms:
            end = End.TIMED_OUT
        return self._make_record(sent_ms, ended_ms, end)

    def _make_record(self, sent_ms: float, ended_ms: float, end: End) -> RequestSeen:
        planned = self._planned
        outcome = self._header_by_name.get("x-outcome", self._error.get("outcome", ""))
        return RequestSeen(
            planned.number,
            str(self._entry),
            planned.service,
            planned.request_class,
            planned.customer.name,
            self._intended_ms,
            sent_ms,
            ended_ms,
            end,
            self._first_ms,
            planned.prompt,
            key=planned.key,
            body=planned.body,
            status=self._status,
            outcome=outcome,
            code=self._error.get("code", ""),
            message=self._error.get("message", ""),
            request_id=self._header_by_name.get("x-request-id", ""),
            pieces=tuple(self._pieces),
        )

    def _run_exchange(self, exchange: HttpExchange) -> End:
        if exchange.connect() is not None:
            return End.UNREACHED
        path, headers, body = self._build_request()
        head = exchange.request("POST", path, headers, body)
        if isinstance(head, HttpFailure):
            return End.BROKEN
        self._status = head.status
        self._header_by_name = {name.lower(): value for name, value in head.headers}
        if self._planned.prompt and head.status == 200:
            return self._read_stream(exchange)
        return self._read_body(exchange, head)

    def _build_request(self) -> tuple[str, list[list[str]], bytes]:
        planned = self._planned
        headers = [
            ["Content-Type", "application/json"],
            ["X-Request-Class", planned.request_class],
            [NUMBER_HEADER, str(planned.number)],
        ]
        if planned.customer.api_key:
            headers.append(["Authorization", f"Bearer {planned.customer.api_key}"])
        elif planned.customer.name:
            headers.append(["X-Customer", planned.customer.name])
        if planned.key:
            headers.append(["Idempotency-Key", planned.key])
            path = f"/svc/{planned.service}/bookings"
            return path, headers, planned.body.encode()
        fields = {
            "model": planned.model,
            "stream": True,
            "messages": [{"role": "user", "content": planned.prompt}],
        }
        return "/v1/chat/completions", headers, json.dumps(fields).encode()

    def _read_body(self, exchange: HttpExchange, head: HttpHead) -> End:
        body = exchange.read_all(1_000_000)
        if isinstance(body, HttpFailure):
            return End.BROKEN
        text = body.decode("utf-8", "replace")
        if "x-outcome" in self._header_by_name or head.status >= 400:
            self._record_error(text)
            return End.REFUSED
        self._record_piece(text)
        return End.WHOLE

    def _record_error(self, text: str) -> None:
        try:
            error = json.loads(text)["error"]
            self._error = {name: str(value) for name, value in error.items()}
        except (ValueError, KeyError, TypeError, AttributeError):
            self._error = {"message": text[:500]}

    def _record_piece(self, text: str) -> None:
        now_ms = wall_ms()
        if self._first_ms is None:
            self._first_ms = now_ms
        self._pieces.append(Piece(now_ms, text))

    def _read_stream(self, exchange: HttpExchange) -> End:
        finish_reason = ""
        for event in _read_events(exchange):
            if event is None:
                return End.BROKEN
            if event == STREAM_END_MARK:
                # An end mark without a finish reason means a truncated answer.
                return End.WHOLE if finish_reason else End.BROKEN
            fields = json.loads(event)
            if "error" in fields:
                self._record_error(event.decode())
                return End.ERROR_EVENT
            for choice in fields.get("choices", ()):
                text = choice.get("delta", {}).get("content")
                if text:
                    self._record_piece(text)
                finish_reason = choice.get("finish_reason") or finish_reason
        return End.BROKEN


def _read_events(exchange: HttpExchange) -> Iterator[bytes | None]:
    """Yield the data of each server-sent event; None if the connection breaks."""
    rest = b""
    while True:
        data = exchange.read()
        if isinstance(data, HttpFailure):
            yield None
            return
        if not data:
            return
        *events, rest = (rest + data).split(EVENT_SEPARATOR)
        yield from (event.removeprefix(EVENT_DATA_PREFIX) for event in events if event)
