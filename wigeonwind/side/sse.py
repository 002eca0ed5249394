"""Incremental parser for the server-sent events of a model engine."""

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from pydantic_core import from_json

MAX_EVENT_BYTES = 1_000_000
"""Limit of one incomplete line; an event of an engine carries one token."""

DONE = b"[DONE]"
"""Payload of the event that ends a stream."""


@dataclass(frozen=True)
class TokenBatch:
    """Tokens that were received together."""

    text: str
    tokens: int


@dataclass(frozen=True)
class StreamEnd:
    """End of a stream, with the finish reason and token counts from the engine."""

    finish_reason: str
    prompt_tokens: int
    completion_tokens: int
    cached_tokens: int


@dataclass(frozen=True)
class StreamError:
    """The stream is invalid; the rest of it is discarded."""

    reason: str


StreamItem = TokenBatch | StreamEnd | StreamError


class TokenStreamParser:
    r"""Parses a stream; yields at most one TokenBatch per chunk of bytes, then the end.

    >>> stream = TokenStreamParser()
    >>> event = b'data: {"choices": [{"text": "a"}]}\n\n'
    >>> list(stream.feed(event + event + event[:5]))
    [TokenBatch(text='aa', tokens=2)]
    """

    def __init__(self) -> None:
        self._incomplete_line = b""
        self._end: StreamEnd | None = None
        self._finish_reason = ""
        self.is_done = False

    def feed(self, data: bytes) -> Iterator[StreamItem]:
        """Parse the next bytes; yield the items that they complete."""
        lines = (self._incomplete_line + data).split(b"\n")
        self._incomplete_line = lines.pop()
        if len(self._incomplete_line) > MAX_EVENT_BYTES:
            yield StreamError("the engine sent an event that is too long")
            return
        texts: list[str] = []
        error = self._parse_lines(lines, texts)
        if texts:
            yield TokenBatch("".join(texts), len(texts))
        if error:
            yield StreamError(error)
        elif self.is_done and self._finish_reason:
            yield self._end or StreamEnd(self._finish_reason, 0, 0, 0)
        elif self.is_done:
            yield StreamError("the engine ended the stream without a finish reason")

    def _parse_lines(self, lines: list[bytes], texts: list[str]) -> str:
        """Append the token texts; return the reason of an error, empty without one."""
        for line in lines:
            if not line.startswith(b"data:"):
                continue
            payload = line[5:].strip()
            if payload == DONE:
                self.is_done = True
                return ""
            try:
                self._parse_event(from_json(payload), texts)
            except _ENGINE_ERRORS as error:
                return f"the engine sent an invalid event: {error}"
        return ""

    def _parse_event(self, event: dict[str, Any], texts: list[str]) -> None:
        for choice in event.get("choices") or ():
            text = (
                choice["text"] if "text" in choice else choice["delta"].get("content")
            )
            if text:
                texts.append(str(text))
            if choice.get("finish_reason"):
                self._finish_reason = str(choice["finish_reason"])
        if event.get("error"):
            raise ValueError(str(event["error"])[:200])
        usage = event.get("usage")
        if usage:
            counts = [int(usage.get(name) or 0) for name in _USAGE_FIELDS]
            self._end = StreamEnd(self._finish_reason, *counts)


_USAGE_FIELDS = ("prompt_tokens", "completion_tokens", "cached_tokens")

_ENGINE_ERRORS = (ValueError, KeyError, TypeError, AttributeError, OverflowError)
"""Exceptions raised while parsing an event of an unexpected structure."""
