"""Response bodies and stream events of the OpenAI-compatible API."""

import json
import time
from collections.abc import Sequence
from functools import cached_property
from json.encoder import encode_basestring_ascii

from wigeonwind.entry.replies import error_body
from wigeonwind.entry.request_response import ResponseEnd
from wigeonwind.outcomes import Failure

DONE_EVENT = b"data: [DONE]\n\n"


class ResponseFormat:
    """Encodes the response to one request; parts shared by all events are encoded once.

    Subclasses provide the object names, the choices and the opening event.
    """

    id_prefix = ""
    complete_object = ""
    chunk_object = ""

    def __init__(self, request_id: str, model: str) -> None:
        self._id = f"{self.id_prefix}-{request_id}"
        self._model = model
        self._created = int(time.time())
        self._opening_sent = False

    @cached_property
    def _chunk_start(self) -> str:
        start = json.dumps(self._fields(self.chunk_object))[:-1]
        return f"data: {start}, "

    @cached_property
    def _event_affixes(self) -> tuple[str, str]:
        return self._make_event_affixes()

    def events(self, chunks: Sequence[bytes]) -> bytes:
        """Return one event for each chunk of text, all joined."""
        prefix, suffix = self._event_affixes
        events = [
            f"{prefix}{encode_basestring_ascii(chunk.decode())}{suffix}"
            for chunk in chunks
        ]
        joined = "".join(events).encode("ascii")
        if self._opening_sent:
            return joined
        self._opening_sent = True
        return self._opening() + joined

    def end_events(self, end: ResponseEnd, include_usage: bool) -> bytes:
        """Return the events that end a complete response, with `[DONE]`."""
        text = self._chunk_start + '"choices": [' + self._last_choice(end) + "]}\n\n"
        if include_usage:
            usage = json.dumps(usage_of(end))
            text += f'{self._chunk_start}"choices": [], "usage": {usage}}}\n\n'
        opening = b"" if self._opening_sent else self._opening()
        return opening + text.encode("ascii") + DONE_EVENT

    def complete(self, text: str, end: ResponseEnd) -> bytes:
        """Return the body of a complete response."""
        document = self._fields(self.complete_object)
        document["choices"] = [self._complete_choice(text, end)]
        document["usage"] = usage_of(end)
        return json.dumps(document).encode("ascii")

    def _fields(self, kind: str) -> dict[str, object]:
        return {
            "id": self._id,
            "object": kind,
            "created": self._created,
            "model": self._model,
        }

    def _opening(self) -> bytes:
        """Return the event before the first text, empty if the format has none."""
        return b""

    def _make_event_affixes(self) -> tuple[str, str]:
        """Return what precedes and what follows the text in an event."""
        raise NotImplementedError

    def _last_choice(self, end: ResponseEnd) -> str:
        """Return the choice of the event with the finish reason."""
        raise NotImplementedError

    def _complete_choice(self, text: str, end: ResponseEnd) -> dict[str, object]:
        """Return the choice of a response that is not streamed."""
        raise NotImplementedError


class ChatFormat(ResponseFormat):
    """The format of chat completions."""

    id_prefix = "chatcmpl"
    complete_object = "chat.completion"
    chunk_object = "chat.completion.chunk"

    def _opening(self) -> bytes:
        role = '{"index": 0, "delta": {"role": "assistant", "content": ""}'
        text = f'{self._chunk_start}"choices": [{role}, "finish_reason": null}}]}}\n\n'
        return text.encode("ascii")

    def _make_event_affixes(self) -> tuple[str, str]:
        start = f'{self._chunk_start}"choices": [{{"index": 0, "delta": {{"content": '
        return start, '}, "finish_reason": null}]}\n\n'

    def _last_choice(self, end: ResponseEnd) -> str:
        reason = json.dumps(end.finish_reason)
        return f'{{"index": 0, "delta": {{}}, "finish_reason": {reason}}}'

    def _complete_choice(self, text: str, end: ResponseEnd) -> dict[str, object]:
        return {
            "index": 0,
            "message": {"role": "assistant", "content": text},
            "logprobs": None,
            "finish_reason": end.finish_reason,
        }


class CompletionFormat(ResponseFormat):
    """The format of text completions."""

    id_prefix = "cmpl"
    complete_object = "text_completion"
    chunk_object = "text_completion"

    def _make_event_affixes(self) -> tuple[str, str]:
        start = f'{self._chunk_start}"choices": [{{"index": 0, "text": '
        return start, ', "logprobs": null, "finish_reason": null}]}\n\n'

    def _last_choice(self, end: ResponseEnd) -> str:
        reason = json.dumps(end.finish_reason)
        start = '{"index": 0, "text": "", "logprobs": null'
        return f'{start}, "finish_reason": {reason}}}'

    def _complete_choice(self, text: str, end: ResponseEnd) -> dict[str, object]:
        return {
            "index": 0,
            "text": text,
            "logprobs": None,
            "finish_reason": end.finish_reason,
        }


def usage_of(end: ResponseEnd) -> dict[str, object]:
    """Return the `usage` object of a response."""
    return {
        "prompt_tokens": end.prompt_tokens,
        "completion_tokens": end.completion_tokens,
        "total_tokens": end.prompt_tokens + end.completion_tokens,
        "prompt_tokens_details": {"cached_tokens": end.cached_tokens},
    }


def error_event(error: Failure, request_id: str) -> bytes:
    """Return the event that ends a failed stream; no `[DONE]` follows it."""
    return b"data: " + error_body(error, request_id) + b"\n\n"
