"""Validation of OpenAI request bodies; unknown fields are passed unchanged."""

import json
from collections.abc import Iterator
from dataclasses import dataclass

import xxhash

from wigeonwind.entry.replies import refusal
from wigeonwind.outcomes import ErrorCode, Failure, Ok

CHARACTERS_PER_TOKEN = 4
"""Typical length of a token in English text; used only for estimates."""

PREFIX_BLOCK_CHARACTERS = 256
"""Length of a prompt block of 64 tokens. Engines cache prompts in such blocks and
identify a prefix by the xxh64 hash of its complete blocks.
"""

MAX_PREFIX_KEYS = 512
"""Prefixes beyond this many blocks are not distinguished."""


@dataclass(frozen=True)
class ModelRequest:
    """The fields of a request body that the entry uses, and estimated prompt tokens."""

    model: str
    stream: bool
    include_usage: bool
    prompt_tokens: int
    prefix_keys: tuple[int, ...]


def read_model_request(body: bytes, is_chat: bool) -> Ok[ModelRequest] | Failure:
    """Parse and validate the body of a chat or completion request."""
    document = _read_object(body)
    if isinstance(document, Failure):
        return document
    fields = document.value
    model = fields.get("model")
    if not isinstance(model, str) or not model or not _is_encodable(model):
        return _bad_request("`model` must be a non-empty string of valid Unicode")
    stream = fields.get("stream")
    if stream is not None and not isinstance(stream, bool):
        return _bad_request("`stream` must be true or false")
    if fields.get("n") not in (None, 1):
        return _bad_request("`n` must be 1 if given")
    prompt = _chat_prompt(fields) if is_chat else _completion_prompt(fields)
    if isinstance(prompt, Failure):
        return prompt
    text = prompt.value
    prompt_tokens = max(1, len(text) // CHARACTERS_PER_TOKEN)
    options = fields.get("stream_options")
    include_usage = isinstance(options, dict) and options.get("include_usage") is True
    return Ok(
        ModelRequest(
            model, bool(stream), include_usage, prompt_tokens, prefix_keys(text)
        )
    )


def prefix_keys(prompt: str) -> tuple[int, ...]:
    """Return the keys of the prompt's prefixes, shortest first.

    They match the keys in the engines' cache events.

    >>> len(prefix_keys("a" * 255)), len(prefix_keys("a" * 1024))
    (0, 4)
    """
    hasher = xxhash.xxh64()
    keys: list[int] = []
    block_count = min(len(prompt) // PREFIX_BLOCK_CHARACTERS, MAX_PREFIX_KEYS)
    for block_number in range(block_count):
        start = block_number * PREFIX_BLOCK_CHARACTERS
        block = prompt[start : start + PREFIX_BLOCK_CHARACTERS]
        hasher.update(block.encode("utf-8", "surrogatepass"))
        keys.append(hasher.intdigest())
    return tuple(keys)


def _read_object(body: bytes) -> Ok[dict[str, object]] | Failure:
    try:
        document = json.loads(body)
    except RecursionError:
        return _bad_request("the body is nested too deeply")
    except ValueError:
        return _bad_request("the body is not valid JSON")
    if not isinstance(document, dict):
        return _bad_request("the body must be a JSON object")
    return Ok(document)


def _is_encodable(text: str) -> bool:
    """Return whether a text has no lone surrogates, which JSON may contain."""
    return text.encode(errors="replace").decode() == text


def _chat_prompt(fields: dict[str, object]) -> Ok[str] | Failure:
    messages = fields.get("messages")
    if not isinstance(messages, list) or not messages:
        return _bad_request("`messages` must be a list with at least one message")
    if not all(isinstance(message, dict) for message in messages):
        return _bad_request("each of `messages` must be an object")
    texts = [text for message in messages for text in _texts(message.get("content"))]
    return Ok("\n".join(texts))


def _texts(content: object) -> Iterator[str]:
    """Yield the texts of a message's content, a string or a list of objects."""
    if isinstance(content, str):
        yield content
    elif isinstance(content, list):
        for part in content:
            if isinstance(part, dict) and isinstance(part.get("text"), str):
                yield part["text"]


def _completion_prompt(fields: dict[str, object]) -> Ok[str] | Failure:
    prompt = fields.get("prompt")
    if isinstance(prompt, list) and len(prompt) == 1:
        prompt = prompt[0]
    if not isinstance(prompt, str):
        return _bad_request("`prompt` must be a string or a list of one string")
    return Ok(prompt)


def _bad_request(message: str) -> Failure:
    return refusal(ErrorCode.BAD_REQUEST, message)
