"""Interface to the HTTP headers of a platform.

An adapter implements `HeaderCodec`, which decodes headers into the types below.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from wigeonwind.addresses import SocketAddress

Header = tuple[bytes, bytes]
"""Name and value of a header, as received."""


@dataclass(frozen=True, slots=True)
class PromptChunk:
    """A chunk of a prompt; requests with the same leading chunks can share KV cache."""

    chunk_id: int
    tokens: int


@dataclass(frozen=True, slots=True)
class RequestMetadata:
    """Decoded headers of a caller's request.

    `forwarded_headers` are passed to the endpoint unchanged. `caller_timeout_ms` is how
    long the caller will wait, None if it states no time.
    """

    request_id: str
    host: str
    forwarded_headers: tuple[Header, ...]
    api_key: str | None = None
    caller_timeout_ms: float | None = None
    prompt_tokens: int = 0
    prompt_chunks: tuple[PromptChunk, ...] = ()
    last_event_id: int | None = None
    """Id of the last event that the caller has received of a stream to resume."""
    expected_output_tokens: int = 0
    """The caller's estimate of the tokens in the response, 0 without one."""


@dataclass(frozen=True, slots=True)
class SendMetadata:
    """Values for the headers that this system adds to one send of a request.

    `time_left_ms` is the time until the deadline. `priority` 0 is the most urgent. Only
    the endpoint `instance_id` may run the request. `fetch_from` is the address of an
    endpoint whose KV cache of the prompt is to be copied first.
    """

    time_left_ms: float
    instance_id: str
    priority: int | None = None
    customer: str | None = None
    last_event_id: int | None = None
    fetch_from: SocketAddress | None = None


@dataclass(frozen=True, slots=True)
class ResponseMetadata:
    """Decoded headers of an endpoint's response.

    `is_signed` says that the endpoint's signature is present. `was_not_run` says that
    the endpoint did not run the request. `is_encoded` says that the body has a content
    encoding. `is_leaving` says that the endpoint announces that it leaves;
    `odd_announcement` is a value of that announcement which says nothing.
    """

    request_id: str
    is_signed: bool
    was_not_run: bool
    is_event_stream: bool
    is_encoded: bool
    forwarded_headers: tuple[Header, ...]
    is_leaving: bool = False
    odd_announcement: str = ""


class HeaderCodec(Protocol):
    """Decodes and encodes the HTTP headers of a platform."""

    def decode_request_headers(self, headers: Sequence[Header]) -> RequestMetadata:
        """Decode the headers of a caller's request."""
        ...

    def encode_request_headers(
        self, metadata: RequestMetadata, send: SendMetadata
    ) -> bytes:
        """Return the header lines of a request to an endpoint, without framing."""
        ...

    def decode_response_headers(self, headers: Sequence[Header]) -> ResponseMetadata:
        """Decode the headers of an endpoint's response."""
        ...

    def local_response_headers(self, request_id: str) -> Sequence[Header]:
        """Return the headers of a response that this process generates itself."""
        ...
