"""Completion requests of the OpenAI API: parsing bodies and encoding responses."""

import json
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from wigeonwind.ids import new_id
from wigeonwind.outcomes import Invalid, Ok, Problem
from wigeonwind.standins.answer_text import (
    AnswerMismatch,
    AnswerTokens,
    answer_length,
    check_partial_answer,
    count_prompt_tokens,
    prefix_keys,
    prompt_from_messages,
)
from wigeonwind.standins.engine_types import EngineRequest

DONE_EVENT = b"data: [DONE]\n\n"
TOKEN_PLACEHOLDER = "@token@"


@dataclass(frozen=True)
class CompletionRequest:
    """A validated completion request.

    Its complete answer has `answer_tokens` tokens, of which the first `resume_tokens`
    were delivered before. `kv_id` identifies imported KV cache, if any.
    """

    request_id: str
    model: str
    prompt: str
    prompt_tokens: int
    answer_tokens: int
    resume_tokens: int
    is_truncated: bool
    """Whether `max_tokens` truncates the answer."""
    priority: int
    stream: bool
    chat: bool
    """Whether the request has chat messages instead of a prompt."""
    kv_id: str

    def engine_request(self) -> EngineRequest:
        """Return the request in the form that the engine model takes."""
        return EngineRequest(
            self.request_id,
            self.prompt_tokens,
            self.answer_tokens,
            self.priority,
            prefix_keys(self.prompt),
            self.resume_tokens,
            self.kv_id,
        )


def read_completion(body: Any, chat: bool) -> Ok[CompletionRequest] | Invalid:
    """Parse the body of a completion request; report its first error."""
    if not isinstance(body, dict):
        return _invalid("body", body, "a JSON object")
    prompt = (
        prompt_from_messages(body.get("messages")) if chat else _prompt_from_body(body)
    )
    if prompt is None:
        key = "messages" if chat else "prompt"
        return _invalid(key, body.get(key), "text")
    max_tokens = body.get("max_completion_tokens", body.get("max_tokens"))
    if max_tokens is not None and not _is_positive_int(max_tokens):
        return _invalid("max_tokens", max_tokens, "an integer, 1 or more")
    priority = body.get("priority") or 0
    if not isinstance(priority, int):
        return _invalid("priority", priority, "an integer")
    resume_text = body.get("resume_text") or ""
    if not isinstance(resume_text, str):
        return _invalid("resume_text", resume_text, "text")
    resumed = check_partial_answer(prompt, resume_text, max_tokens)
    if isinstance(resumed, AnswerMismatch):
        expected = f"a prefix of the answer; token {resumed.index} differs"
        return _invalid("resume_text", resume_text[:80], expected)
    length = answer_length(prompt, max_tokens)
    return Ok(
        CompletionRequest(
            request_id=str(body.get("request_id") or new_id()),
            model=str(body.get("model") or ""),
            prompt=prompt,
            prompt_tokens=count_prompt_tokens(prompt),
            answer_tokens=length,
            resume_tokens=resumed.value,
            is_truncated=length < answer_length(prompt),
            priority=priority,
            stream=body.get("stream") is True,
            chat=chat,
            kv_id=str(body.get("kv_id") or ""),
        )
    )


def _prompt_from_body(body: dict[str, Any]) -> str | None:
    prompt = body.get("prompt")
    if isinstance(prompt, list) and len(prompt) == 1:
        prompt = prompt[0]
    return prompt if isinstance(prompt, str) else None


def _is_positive_int(value: Any) -> bool:
    return isinstance(value, int) and not isinstance(value, bool) and value >= 1


def _invalid(key: str, value: Any, expected: str) -> Invalid:
    return Invalid((Problem("request", key, str(value)[:80], expected),))


class ResponseWriter:
    """Encodes the response to one completion request, streamed or complete.

    Token events are filled into a template: running the JSON encoder for each token
    would cost more than the rest of the server.
    """

    def __init__(self, completion: CompletionRequest, model: str) -> None:
        self._completion = completion
        self._model = model
        self._tokens = AnswerTokens(completion.prompt)
        event = self._event(self._choice(TOKEN_PLACEHOLDER, None))
        head, _, tail = event.partition(TOKEN_PLACEHOLDER.encode())
        self._event_head = head
        self._event_tail = tail

    def token_events(self, first: int, end: int) -> bytes:
        """Return the events of tokens `first` to `end - 1`."""
        texts = self._token_texts(first, end)
        return b"".join(self._event_head + text + self._event_tail for text in texts)

    def final_events(
        self, finish_reason: str, generated_tokens: int, cached_tokens: int
    ) -> bytes:
        """Return the event with finish reason and usage, and the `[DONE]` event."""
        choice = self._choice("", finish_reason)
        return (
            self._event(choice, usage=self._usage(generated_tokens, cached_tokens))
            + DONE_EVENT
        )

    def error_event(self, code: str, message: str) -> bytes:
        """Return an event with the reason why the stream ends without `[DONE]`."""
        error = {"error": {"code": code, "message": message, "type": code}}
        return b"data: " + json.dumps(error).encode() + b"\n\n"

    def full_body(
        self, first: int, end: int, finish_reason: str, cached_tokens: int
    ) -> Any:
        """Return the JSON body of a response with tokens `first` to `end - 1`."""
        text = b"".join(self._token_texts(first, end)).decode()
        kind = "chat.completion" if self._completion.chat else "text_completion"
        choice = self._choice(text, finish_reason, message_key="message")
        usage = self._usage(end - first, cached_tokens)
        return self._envelope(kind, choice, usage=usage)

    def _token_texts(self, first: int, end: int) -> Iterator[bytes]:
        return (self._tokens.stream_text(index).encode() for index in range(first, end))

    def _choice(
        self, text: str, finish_reason: str | None, message_key: str = "delta"
    ) -> dict[str, Any]:
        choice = {"index": 0, "finish_reason": finish_reason}
        if not self._completion.chat:
            return {"text": text, "logprobs": None, **choice}
        message = {"role": "assistant", "content": text}
        return {message_key: message, **choice}

    def _event(self, choice: dict[str, Any], **fields: Any) -> bytes:
        chat = self._completion.chat
        kind = "chat.completion.chunk" if chat else "text_completion"
        envelope = self._envelope(kind, choice, **fields)
        return b"data: " + json.dumps(envelope).encode() + b"\n\n"

    def _envelope(self, kind: str, choice: Any, **fields: Any) -> dict[str, Any]:
        return {
            "id": self._completion.request_id,
            "object": kind,
            "created": 0,
            "model": self._model,
            "choices": [choice],
            **fields,
        }

    def _usage(self, generated_tokens: int, cached_tokens: int) -> dict[str, int]:
        prompt_tokens = self._completion.prompt_tokens
        return {
            "prompt_tokens": prompt_tokens,
            "completion_tokens": generated_tokens,
            "total_tokens": prompt_tokens + generated_tokens,
            "cached_tokens": cached_tokens,
        }
