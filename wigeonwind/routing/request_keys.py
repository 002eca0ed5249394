"""Keys of the parts of a request that may crash the endpoint which runs it."""

from collections.abc import Iterator

from wigeonwind.hashing import stable_hash
from wigeonwind.routing.header_codec import RequestMetadata
from wigeonwind.routing.request_parser import HttpRequest


def request_keys(
    service: str, request: HttpRequest, metadata: RequestMetadata
) -> tuple[int, ...]:
    """Return a key for each chunk of the prompt, or one for a request without chunks.

    All routers derive the same keys. A chunk has the same key wherever it stands in a
    prompt.
    """
    return tuple(dict.fromkeys(_keys(service, request, metadata)))


def _keys(
    service: str, request: HttpRequest, metadata: RequestMetadata
) -> Iterator[int]:
    for chunk in metadata.prompt_chunks:
        yield stable_hash(f"chunk|{service}|{chunk.chunk_id:x}")
    if not metadata.prompt_chunks:
        content = b"%s %s %s" % (request.method, request.target, request.body)
        yield stable_hash(f"request|{service}|{content.decode('latin-1')}")


def format_key(key: int) -> str:
    """Return a key as it appears in logs and in the operators' interface."""
    return f"{key:016x}"
