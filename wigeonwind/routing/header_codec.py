"""What the routing code needs to know of a platform's HTTP headers.

An adapter implements `HeaderCodec`; it decodes headers once into the types below.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from wigeonwind.addresses import SocketAddress

Header = tuple[bytes, bytes]
"""Name and value of one header, as they were received."""


@dataclass(frozen=True, slots=True)
class PromptChunk:
    """One part of a prompt; requests that share leading parts can share KV cache."""

    chunk_id: int
    tokens: int


@dataclass(frozen=True, slots=True)
class RequestMetadata:
    """What the headers of a caller's request say.

    `forwarded_headers` are passed to the endpoint unchanged. `caller_timeout_ms` is how
    long the caller will wait, None if it does not say.
    """

    request_id: str
    host: str
    forwarded_headers: tuple[Header, ...]
    api_key: str | None = None
    caller_timeout_ms: float | None = None
    prompt_tokens: int = 0
    prompt_chunks: tuple[PromptChunk, ...] = ()
    last_event_id: int | None = None
    """Id of the last event the caller has of a stream that it resumes."""


@dataclass(frozen=True, slots=True)
class SendMetadata:
    """What the system itself tells an endpoint about one send of a request.

    `time_left_ms` is how long the endpoint may work on it. `priority` 0 is the most
    urgent. `instance_id` is the only endpoint that may run it. `fetch_from` is the
    endpoint whose KV cache of the prompt is copied first.
    """

    time_left_ms: float
    instance_id: str
    priority: int | None = None
    customer: str | None = None
    last_event_id: int | None = None
    fetch_from: SocketAddress | None = None


@dataclass(frozen=True, slots=True)
class ResponseMetadata:
    """What the headers of an endpoint's answer say.

    `is_signed` is whether it carries the endpoint's signature. `was_not_run` is the
    endpoint's statement that it did not run the request.
    """

    request_id: str
    is_signed: bool
    was_not_run: bool
    is_event_stream: bool
    is_encoded: bool
    forwarded_headers: tuple[Header, ...]


class HeaderCodec(Protocol):
    """Header formats of a platform."""

    def decode_request_headers(self, headers: Sequence[Header]) -> RequestMetadata:
        """Decode the headers of a caller's request."""
        ...

    def encode_request_headers(
        self, metadata: RequestMetadata, send: SendMetadata
    ) -> bytes:
        """Return the header lines of a request to an endpoint, framing left out."""
        ...

    def decode_response_headers(self, headers: Sequence[Header]) -> ResponseMetadata:
        """Decode the headers of an endpoint's answer."""
        ...

    def local_response_headers(self, request_id: str) -> Sequence[Header]:
        """Return the headers of an answer that the system itself makes."""
        ...
