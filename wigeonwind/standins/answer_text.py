"""Answers of the engine test double, a pure function of the prompt.

Token i is `w<i>-<8 hexadecimal digits>`: the first digits of the xxh64 hash of the
prompt, a colon and i. A checker can therefore detect a swapped, truncated or duplicated
answer from the prompt alone.
"""

import re
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from xxhash import xxh64, xxh64_intdigest

from wigeonwind.outcomes import Ok
from wigeonwind.standins.engine_types import PrefixKey

LENGTH_PATTERN = re.compile(r"\blen=(\d{1,7})")
MIN_ANSWER_TOKENS = 8
ANSWER_LENGTH_RANGE_TOKENS = 120
"""An answer without `len=` has 8 to 127 tokens."""

CHARACTERS_PER_TOKEN = 4
PREFIX_BLOCK_TOKENS = 64
"""Prefix keys are computed at multiples of this many prompt tokens."""

MAX_PREFIX_KEYS = 512
"""Longer prompts have keys only for their first 32,768 tokens, as in the entry."""


@dataclass(frozen=True)
class AnswerMismatch:
    """An answer has a wrong token at `index`; an empty string stands for no token."""

    index: int
    expected: str
    found: str


def prompt_from_messages(messages: Any) -> str | None:
    """Return the contents of all chat messages joined by newlines; None if malformed.

    >>> prompt_from_messages([{"content": "a"}, {"content": "b"}]).splitlines()
    ['a', 'b']
    """
    if not isinstance(messages, list) or not messages:
        return None
    contents = [_content_text(message) for message in messages]
    found = [content for content in contents if content is not None]
    return "\n".join(found) if len(found) == len(contents) else None


def _content_text(message: Any) -> str | None:
    content = message.get("content") if isinstance(message, dict) else None
    if isinstance(content, list):
        texts = [part.get("text") for part in content if isinstance(part, dict)]
        content = "".join(text for text in texts if isinstance(text, str))
    return content if isinstance(content, str) else None


def count_prompt_tokens(prompt: str) -> int:
    """Return the prompt's length in tokens: four characters each, at least one token.

    >>> count_prompt_tokens("barley")
    2
    """
    return max(1, -(-len(prompt) // CHARACTERS_PER_TOKEN))


def answer_length(prompt: str, max_tokens: int | None = None) -> int:
    """Return the length of the complete answer in tokens.

    >>> answer_length("price of spring barley len=5")
    5
    >>> answer_length("price of spring barley len=5", max_tokens=3)
    3
    """
    match = LENGTH_PATTERN.search(prompt)
    if match:
        tokens = int(match.group(1))
    else:
        offset = xxh64_intdigest(_encode(prompt)) % ANSWER_LENGTH_RANGE_TOKENS
        tokens = MIN_ANSWER_TOKENS + offset
    return tokens if max_tokens is None else min(tokens, max_tokens)


class AnswerTokens:
    """The tokens of the answer to one prompt, computed on demand.

    >>> tokens = AnswerTokens("hello")
    >>> tokens.token(0)
    'w0-70056311'
    >>> tokens.stream_text(1)
    ' w1-3d3514b4'
    """

    def __init__(self, prompt: str) -> None:
        self._hash = xxh64(_encode(prompt) + b":")

    def token(self, index: int) -> str:
        """Return token `index` (from 0)."""
        state = self._hash.copy()
        state.update(b"%d" % index)
        return f"w{index}-{state.hexdigest()[:8]}"

    def stream_text(self, index: int) -> str:
        """Return token `index` with its leading space, as streamed."""
        token = self.token(index)
        return f" {token}" if index else token


def answer_text(prompt: str, max_tokens: int | None = None) -> str:
    """Return the complete answer to a prompt."""
    tokens = AnswerTokens(prompt)
    return " ".join(tokens.token(i) for i in range(answer_length(prompt, max_tokens)))


def check_complete_answer(
    prompt: str, text: str, max_tokens: int | None = None
) -> Ok[int] | AnswerMismatch:
    """Return the length of a complete answer in tokens, or its first mismatch.

    >>> check_complete_answer("hi len=2", answer_text("hi len=2"))
    Ok(value=2)
    >>> check_complete_answer("hi len=2", answer_text("hi len=1")).index
    0
    """
    result = check_partial_answer(prompt, text, max_tokens)
    if isinstance(result, AnswerMismatch):
        return result
    if result.value < answer_length(prompt, max_tokens):
        missing = AnswerTokens(prompt).token(result.value)
        return AnswerMismatch(result.value, missing, "")
    return result


def check_partial_answer(
    prompt: str, text: str, max_tokens: int | None = None
) -> Ok[int] | AnswerMismatch:
    """Return the length of `text`, the beginning of an answer, or its first mismatch.

    The length is in tokens.

    >>> check_partial_answer("hi len=9", answer_text("hi len=9", max_tokens=4))
    Ok(value=4)
    """
    length = answer_length(prompt, max_tokens)
    tokens = AnswerTokens(prompt)
    for index, found in _enumerate_tokens(text):
        expected = tokens.token(index) if index < length else ""
        if found != expected:
            return AnswerMismatch(index, expected, found)
    return Ok(len(text.split(" ")) if text else 0)


def _enumerate_tokens(text: str) -> Iterator[tuple[int, str]]:
    return enumerate(text.split(" ") if text else [])


def prefix_keys(prompt: str) -> tuple[PrefixKey, ...]:
    """Return the keys of the prompt's prefixes, shortest first.

    The keys are the xxh64 hashes of the first 256, 512, ... characters in UTF-8; 256
    characters are 64 tokens.

    >>> [key.tokens for key in prefix_keys("x" * 600)]
    [64, 128]
    """
    size = PREFIX_BLOCK_TOKENS * CHARACTERS_PER_TOKEN
    state = xxh64()
    keys = []
    for number in range(1, min(len(prompt) // size, MAX_PREFIX_KEYS) + 1):
        state.update(_encode(prompt[(number - 1) * size : number * size]))
        keys.append(PrefixKey(state.intdigest(), number * PREFIX_BLOCK_TOKENS))
    return tuple(keys)


def _encode(text: str) -> bytes:
    # JSON strings may contain lone surrogates, which strict UTF-8 cannot encode.
    return text.encode("utf-8", "surrogatepass")
