"""Keys of the parts of a request that may crash the endpoint which runs it."""

from collections.abc import Iterator

from wigeonwind.decisions.quarantine import OWN_KEY_BIT
from wigeonwind.hashing import stable_hash
from wigeonwind.routing.header_codec import RequestMetadata
from wigeonwind.routing.request_parser import HttpRequest

MAX_KEYS = 4_096
"""Most keys of a request. A head of 16 KB, the usual limit, has room for no more chunks
of a prompt."""

KEY_CHARS = 16
"""Length of a formatted key: 64 bits in hexadecimal digits."""


def request_keys(
    service: str, request: HttpRequest, metadata: RequestMetadata
) -> tuple[int, ...]:
    """Return a key for each chunk of the prompt, or one for a request without chunks.

    All routers derive the same keys. A chunk has the same key wherever it stands in a
    prompt, except for the last one, which belongs to the request or its session. Beyond
    MAX_KEYS, the chunks before the last one have none.
    """
    *keys, own = dict.fromkeys(_keys(service, request, metadata))
    return (*keys[: MAX_KEYS - 1], own)


def _keys(
    service: str, request: HttpRequest, metadata: RequestMetadata
) -> Iterator[int]:
    *shared, own = metadata.prompt_chunks or (None,)
    for chunk in shared:
        yield _shared_key(f"chunk|{service}|{chunk.chunk_id:x}")
    if own is not None:
        yield _own_key(f"chunk|{service}|{own.chunk_id:x}")
    else:
        content = b"%s %s %s" % (request.method, request.target, request.body)
        yield _own_key(f"request|{service}|".encode() + content)


def _shared_key(content: str) -> int:
    return stable_hash(content) & ~OWN_KEY_BIT


def _own_key(content: str | bytes) -> int:
    return stable_hash(content) | OWN_KEY_BIT


def format_key(key: int) -> str:
    """Return a key as it appears in logs and in the operators' interface."""
    return f"{key:016x}"


def parse_key(text: str) -> int | None:
    """Return the key that `format_key` formats as `text`, None if there is none.

    >>> parse_key(format_key(42)), parse_key("x")
    (42, None)
    """
    if len(text) != KEY_CHARS:
        return None
    try:
        key = int(text, 16)
    except ValueError:
        return None
    return key if format_key(key) == text else None
