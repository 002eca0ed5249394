"""Bodies and events of the OpenAI interface."""

import json
import time
from collections.abc import Sequence
from functools import cached_property
from json.encoder import encode_basestring_ascii

from wigeonwind.entry.answer import AnswerEnd
from wigeonwind.entry.replies import error_body
from wigeonwind.outcomes import Failure

DONE_EVENT = b"data: [DONE]\n\n"


class AnswerFormat:
    """The JSON around answer texts; what does not change is encoded once."""

    id_prefix = ""
    whole_object = ""
    chunk_object = ""

    def __init__(self, request_id: str, model: str) -> None:
        self._id = f"{self.id_prefix}-{request_id}"
        self._model = model
        self._created = int(time.time())
        self._has_begun = False

    @cached_property
    def _chunk_start(self) -> str:
        start = json.dumps(self._fields(self.chunk_object))[:-1]
        return f"data: {start}, "

    @cached_property
    def _around(self) -> tuple[str, str]:
        return self._around_text()

    def events(self, pieces: Sequence[bytes]) -> bytes:
        """Return one event for each piece of text."""
        before, after = self._around
        events = [
            f"{before}{encode_basestring_ascii(piece.decode())}{after}"
            for piece in pieces
        ]
        joined = "".join(events).encode("ascii")
        if self._has_begun:
            return joined
        self._has_begun = True
        return self._opening() + joined

    def end_events(self, end: AnswerEnd, include_usage: bool) -> bytes:
        """Return the events of a whole answer's end, with `[DONE]`."""
        text = self._chunk_start + '"choices": [' + self._last_choice(end) + "]}\n\n"
        if include_usage:
            usage = json.dumps(usage_of(end))
            text += f'{self._chunk_start}"choices": [], "usage": {usage}}}\n\n'
        opening = b"" if self._has_begun else self._opening()
        return opening + text.encode("ascii") + DONE_EVENT

    def whole(self, text: str, end: AnswerEnd) -> bytes:
        """Return the body of a whole answer."""
        document = self._fields(self.whole_object)
        document["choices"] = [self._whole_choice(text, end)]
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
        return b""

    def _around_text(self) -> tuple[str, str]:
        raise NotImplementedError

    def _last_choice(self, end: AnswerEnd) -> str:
        raise NotImplementedError

    def _whole_choice(self, text: str, end: AnswerEnd) -> dict[str, object]:
        raise NotImplementedError


class ChatFormat(AnswerFormat):
    """Chat completions."""

    id_prefix = "chatcmpl"
    whole_object = "chat.completion"
    chunk_object = "chat.completion.chunk"

    def _opening(self) -> bytes:
        role = '{"index": 0, "delta": {"role": "assistant", "content": ""}'
        text = f'{self._chunk_start}"choices": [{role}, "finish_reason": null}}]}}\n\n'
        return text.encode("ascii")

    def _around_text(self) -> tuple[str, str]:
        start = f'{self._chunk_start}"choices": [{{"index": 0, "delta": {{"content": '
        return start, '}, "finish_reason": null}]}\n\n'

    def _last_choice(self, end: AnswerEnd) -> str:
        reason = json.dumps(end.finish_reason)
        return f'{{"index": 0, "delta": {{}}, "finish_reason": {reason}}}'

    def _whole_choice(self, text: str, end: AnswerEnd) -> dict[str, object]:
        return {
            "index": 0,
            "message": {"role": "assistant", "content": text},
            "logprobs": None,
            "finish_reason": end.finish_reason,
        }


class CompletionFormat(AnswerFormat):
    """Text completions."""

    id_prefix = "cmpl"
    whole_object = "text_completion"
    chunk_object = "text_completion"

    def _around_text(self) -> tuple[str, str]:
        start = f'{self._chunk_start}"choices": [{{"index": 0, "text": '
        return start, ', "logprobs": null, "finish_reason": null}]}\n\n'

    def _last_choice(self, end: AnswerEnd) -> str:
        reason = json.dumps(end.finish_reason)
        start = '{"index": 0, "text": "", "logprobs": null'
        return f'{start}, "finish_reason": {reason}}}'

    def _whole_choice(self, text: str, end: AnswerEnd) -> dict[str, object]:
        return {
            "index": 0,
            "text": text,
            "logprobs": None,
            "finish_reason": end.finish_reason,
        }


def usage_of(end: AnswerEnd) -> dict[str, object]:
    """Return the `usage` object of an answer."""
    return {
        "prompt_tokens": end.prompt_tokens,
        "completion_tokens": end.completion_tokens,
        "total_tokens": end.prompt_tokens + end.completion_tokens,
        "prompt_tokens_details": {"cached_tokens": end.cached_tokens},
    }


def error_event(error: Failure, request_id: str) -> bytes:
    """Return the event that ends a broken stream; no `[DONE]` follows it."""
    return b"data: " + error_body(error, request_id) + b"\n\n"
