"""What the routing code needs to know of a platform's HTTP headers.

An adapter implements `Wire`; it decodes headers once into the types below.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from wigeonwind.addresses import SocketAddress

Header = tuple[bytes, bytes]
"""Name and value of one header, as they were received."""


@dataclass(frozen=True, slots=True)
class PromptPart:
    """One part of a prompt; requests that share leading parts can share KV cache."""

    part_id: int
    tokens: int


@dataclass(frozen=True, slots=True)
class RequestFacts:
    """What the headers of a caller's request say.

    `forwarded` are the headers that the endpoint gets unchanged. `wait_ms` is how long
    the caller will wait, None if it does not say.
    """

    request_id: str
    host: str
    forwarded: tuple[Header, ...]
    api_key: str | None = None
    wait_ms: float | None = None
    prompt_tokens: int = 0
    prompt_parts: tuple[PromptPart, ...] = ()
    after_event: int | None = None
    """Id of the last event the caller has of a stream that it resumes."""


@dataclass(frozen=True, slots=True)
class SendFacts:
    """What the system itself tells an endpoint about one send of a request.

    `time_left_ms` is how long the endpoint may work on it. `priority` 0 is the most
    urgent. `instance_id` is the only endpoint that may run it. `fetch_from` is the
    endpoint whose KV cache of the prompt is copied first.
    """

    time_left_ms: float
    instance_id: str
    priority: int | None = None
    customer: str | None = None
    after_event: int | None = None
    fetch_from: SocketAddress | None = None


@dataclass(frozen=True, slots=True)
class AnswerFacts:
    """What the headers of an endpoint's answer say.

    `is_signed` is whether it carries the endpoint's signature. `was_not_run` is the
    endpoint's statement that it did not run the request.
    """

    request_id: str
    is_signed: bool
    was_not_run: bool
    is_event_stream: bool
    is_encoded: bool
    forwarded: tuple[Header, ...]


class Wire(Protocol):
    """Header formats of a platform."""

    def read_request(self, headers: Sequence[Header]) -> RequestFacts:
        """Decode the headers of a caller's request."""
        ...

    def endpoint_headers(self, facts: RequestFacts, send: SendFacts) -> bytes:
        """Return the header lines of a request to an endpoint, framing left out."""
        ...

    def read_answer(self, headers: Sequence[Header]) -> AnswerFacts:
        """Decode the headers of an endpoint's answer."""
        ...

    def own_answer_headers(self, request_id: str) -> Sequence[Header]:
        """Return the headers of an answer that the system itself makes."""
        ...
