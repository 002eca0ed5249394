"""Client of a model engine (design 6.2): streams, control calls, load and commands."""

import json
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Any

from wigeonwind.addresses import SocketAddress
from wigeonwind.links.messages import Order, Submit
from wigeonwind.side.endpoint_http import (
    HttpExchange,
    HttpFailure,
    trace_headers,
)
from wigeonwind.side.sse import StreamEnd, StreamError, TokenBatch, TokenStreamParser

CALL_TIMEOUT_MS = 5_000.0
"""Timeout of a cancel, pause or resume call, a load report or a cache-event poll."""

COMMAND_TIMEOUT_MS = 600_000.0
"""Timeout of a control command; loading weights from the rate-limited store is slow."""

MAX_RESPONSE_BYTES = 4_000_000
"""Limit of a response that is not a stream. The longest is a full log of cache events:
20,000 events take about 1.4 MB."""

GENERATION_PATHS = frozenset({"/v1/chat/completions", "/v1/completions"})
"""Paths of an engine's generation API."""

JSON_HEADERS = [["Content-Type", "application/json"]]
"""Headers of every request to an engine."""


@dataclass(frozen=True)
class EngineFailure:
    """The engine sent no complete or no successful response.

    If `sent` is False, the engine certainly did not receive the request. `status` is
    the HTTP status, 0 if there was none.
    """

    sent: bool
    reason: str
    status: int = 0


@dataclass(frozen=True)
class EngineLoad:
    """Load report of the engine; `measured_at_ms` is a reading of its clock."""

    running: int
    tokens_per_s: float
    measured_at_ms: float
    model: str
    version: str
    role: str
    kv_limit_tokens: int = 0
    """Capacity of the KV cache in tokens; 0 if the engine does not report it."""


@dataclass(frozen=True)
class EngineCacheEvents:
    """Changes of the prompt cache, oldest first.

    Each change is a prefix key and whether the prefix was stored (True) or evicted
    (False). `next_seq` is the number to pass to the next poll.
    """

    changes: tuple[tuple[int, bool], ...]
    next_seq: int


@dataclass(frozen=True)
class ControlResponse:
    """Tokens generated so far, and tokens of KV cache that the call dropped."""

    tokens: int
    dropped_tokens: int


EngineItem = TokenBatch | StreamEnd | EngineFailure


def engine_request_id(submit: Submit) -> str:
    """Return the request id of an attempt at the engine."""
    return f"{submit.request_id}.{submit.attempt}"


def engine_request_body(submit: Submit, priority: int) -> bytes | EngineFailure:
    """Return the request body for the engine.

    Adds the request id, the priority and the text to resume after to the fields of the
    caller, and always requests a stream. Returns a failure with status 400 if the body
    is not a JSON object or the path does not generate text.
    """
    try:
        fields = json.loads(submit.body)
    except (ValueError, RecursionError):
        fields = None
    if not isinstance(fields, dict) or submit.path not in GENERATION_PATHS:
        return EngineFailure(False, "not a request to generate text", 400)
    fields["stream"] = True
    fields["request_id"] = engine_request_id(submit)
    fields["priority"] = priority
    if submit.resume_text:
        fields["resume_text"] = submit.resume_text
    return json.dumps(fields).encode()


class EngineStream:
    """One streamed generation."""

    def __init__(
        self, exchange: HttpExchange, path: str, body: bytes, traceparent: str
    ) -> None:
        self._exchange = exchange
        self._headers = [*JSON_HEADERS, *trace_headers(traceparent)]
        self._path = path
        self._body = body

    def items(self, on_connected: Callable[[], None]) -> Iterator[EngineItem]:
        """Yield batches of tokens, then one StreamEnd or EngineFailure.

        `on_connected` is called when the request is about to be sent.
        """
        try:
            yield from self._items(on_connected)
        finally:
            self._exchange.close()

    def _items(self, on_connected: Callable[[], None]) -> Iterator[EngineItem]:
        failure = self._exchange.connect()
        if failure is not None:
            yield EngineFailure(False, failure.reason)
            return
        on_connected()
        head = self._exchange.request("POST", self._path, self._headers, self._body)
        if isinstance(head, HttpFailure):
            yield EngineFailure(head.sent, head.reason)
        elif head.status != 200:
            text = self._exchange.read_all(MAX_RESPONSE_BYTES)
            reason = text.decode("utf-8", "replace") if isinstance(text, bytes) else ""
            yield EngineFailure(True, reason[:500], head.status)
        else:
            yield from self._stream_items()

    def _stream_items(self) -> Iterator[EngineItem]:
        stream = TokenStreamParser()
        while True:
            data = self._exchange.read()
            if isinstance(data, HttpFailure):
                yield EngineFailure(True, data.reason)
                return
            if not data:
                yield EngineFailure(True, "the engine closed the stream before its end")
                return
            for item in stream.feed(data):
                if isinstance(item, StreamError):
                    yield EngineFailure(True, item.reason)
                    return
                yield item
                if isinstance(item, StreamEnd):
                    return

    def abort(self) -> None:
        """Abort the exchange from another greenlet."""
        self._exchange.abort()


class EngineClient:
    """Client of one model engine; only the calling greenlet waits for a response."""

    def __init__(self, address: SocketAddress, request_timeout_ms: float) -> None:
        self._address = address
        self._request_timeout_ms = request_timeout_ms

    def stream(self, path: str, body: bytes, traceparent: str = "") -> EngineStream:
        """Return the stream of a generation; `items` sends the request."""
        exchange = HttpExchange(self._address, self._request_timeout_ms)
        return EngineStream(exchange, path, body, traceparent)

    def cancel(self, engine_id: str) -> ControlResponse | EngineFailure:
        """Cancel a generation."""
        return self._control("/control/cancel", {"request_id": engine_id})

    def pause(self, engine_id: str, kv: str) -> ControlResponse | EngineFailure:
        """Pause a generation; `kv` is `keep`, `export` or `drop`."""
        return self._control("/control/pause", {"request_id": engine_id, "kv": kv})

    def resume(self, engine_id: str) -> ControlResponse | EngineFailure:
        """Resume a paused generation."""
        return self._control("/control/resume", {"request_id": engine_id})

    def load(self) -> EngineLoad | EngineFailure:
        """Read the engine's load report."""
        fields = self._call("GET", "/load", None, CALL_TIMEOUT_MS)
        if isinstance(fields, EngineFailure):
            return fields
        try:
            return EngineLoad(
                int(fields["running"]),
                float(fields.get("tokens_per_s", 0.0)),
                float(fields.get("measured_at_ms", 0.0)),
                str(fields.get("model", "")),
                str(fields.get("version", "")),
                str(fields.get("role", "")),
                int(fields.get("kv_limit_tokens", 0)),
            )
        except (KeyError, TypeError, ValueError, OverflowError) as error:
            return EngineFailure(
                True, f"the engine sent an invalid load report: {error}"
            )

    def cache_events(self, after: int) -> EngineCacheEvents | EngineFailure:
        """Read the prompt-cache events after number `after`."""
        path = f"/cache/events?after={after}"
        fields = self._call("GET", path, None, CALL_TIMEOUT_MS)
        if isinstance(fields, EngineFailure):
            return fields
        try:
            changes = tuple(
                (int(event["prefix"]), event["kind"] == "stored")
                for event in fields["events"]
            )
            return EngineCacheEvents(changes, int(fields["next"]))
        except (KeyError, TypeError, ValueError, OverflowError) as error:
            return EngineFailure(True, f"the engine sent invalid cache events: {error}")

    def execute_command(self, command: Order) -> EngineFailure | None:
        """Execute a control command; return None on success."""
        fields = {
            "fence": command.fence,
            "action": command.action,
            "model": command.model,
            "version": command.version,
            "role": command.role,
        }
        response = self._call("POST", "/orders", fields, COMMAND_TIMEOUT_MS)
        return response if isinstance(response, EngineFailure) else None

    def _control(
        self, path: str, fields: dict[str, Any]
    ) -> ControlResponse | EngineFailure:
        response = self._call("POST", path, fields, CALL_TIMEOUT_MS)
        if isinstance(response, EngineFailure):
            return response
        try:
            tokens = int(response.get("tokens", 0))
            return ControlResponse(tokens, int(response.get("dropped_tokens", 0)))
        except (TypeError, ValueError) as error:
            return EngineFailure(True, f"{path}: invalid response: {error}")

    def _call(
        self, method: str, path: str, fields: dict | None, timeout_ms: float
    ) -> dict[str, Any] | EngineFailure:
        exchange = HttpExchange(self._address, timeout_ms)
        try:
            failure = exchange.connect()
            if failure is not None:
                return EngineFailure(False, failure.reason)
            body = b"" if fields is None else json.dumps(fields).encode()
            head = exchange.request(method, path, JSON_HEADERS, body)
            if isinstance(head, HttpFailure):
                return EngineFailure(head.sent, head.reason)
            data = exchange.read_all(MAX_RESPONSE_BYTES)
        finally:
            exchange.close()
        if isinstance(data, HttpFailure):
            return EngineFailure(True, data.reason)
        return _parse_json_response(path, head.status, data)


def _parse_json_response(
    path: str, status: int, data: bytes
) -> dict[str, Any] | EngineFailure:
    if status != 200:
        text = data.decode("utf-8", "replace")[:500]
        return EngineFailure(True, f"{path}: HTTP status {status}: {text}", status)
    try:
        fields = json.loads(data or b"{}")
    except (ValueError, RecursionError):
        return EngineFailure(True, f"{path}: response is not JSON", status)
    if not isinstance(fields, dict):
        return EngineFailure(True, f"{path}: response is not a JSON object", status)
    return fields
