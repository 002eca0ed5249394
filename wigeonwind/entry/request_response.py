"""An admitted request and the parts of its response."""

from dataclasses import dataclass, field

from wigeonwind.catalog import Catalog, RequestClass, Service, ServiceKind
from wigeonwind.links.messages import Chunk, Finished


@dataclass(frozen=True)
class AdmittedRequest:
    """One admitted request and the catalog version it was admitted with.

    `deadline_ms` is a clock reading, `prompt_tokens` an estimate. `prefix_keys` are
    hashes of prefixes of the prompt, shortest first.
    """

    request_id: str
    catalog: Catalog
    service: Service
    request_class: RequestClass
    customer: str
    method: str
    path: str
    headers: list[list[str]]
    body: bytes
    stream: bool
    prompt_tokens: int
    deadline_ms: float
    model: str = ""
    prefix_keys: tuple[int, ...] = ()
    traceparent: str = ""
    endpoint_deduplicates: bool = False
    """Whether the endpoint refuses to run the same booking key twice."""

    @property
    def is_model(self) -> bool:
        """Return whether a model serves the request; such requests are repeatable."""
        return self.service.kind is ServiceKind.MODEL

    @property
    def repeatable(self) -> bool:
        """Return whether it is safe to run the request more than once."""
        if self.is_model or self.endpoint_deduplicates:
            return True
        return self.method.upper() not in self.service.unrepeatable_methods


@dataclass(frozen=True)
class ResponseHead:
    """Status and headers of a plain service's response."""

    status: int
    headers: list[list[str]]


@dataclass(frozen=True)
class ResponseData:
    """Consecutive chunks of the response body that were available together."""

    chunks: list[bytes]


@dataclass(frozen=True)
class ResponseEnd:
    """End of a complete response."""

    finish_reason: str
    prompt_tokens: int
    completion_tokens: int
    cached_tokens: int


@dataclass
class PartialResponse:
    """The part of the response that has been passed to the caller.

    `next_seq` is the sequence number expected next from the current attempt. `chunks`
    holds the text of a model's response, for resumption; that of a plain service is not
    kept.
    """

    chunks: list[bytes] = field(default_factory=list)
    tokens: int = 0
    next_seq: int = 0
    has_head: bool = False

    def begin_attempt(self) -> None:
        """Start a new attempt; its sequence numbers start at 0."""
        self.next_seq = 0

    def resume_text(self) -> str:
        """Return the text after which a new attempt resumes the response."""
        return b"".join(self.chunks).decode()

    def accept(self, chunk: Chunk) -> bool:
        """Count a chunk; return False if it is out of sequence or a duplicate."""
        if chunk.seq != self.next_seq:
            return False
        self.next_seq += 1
        return True

    def is_complete(self, finished: Finished) -> bool:
        """Return whether as many chunks arrived as the sender reports."""
        return finished.chunks == self.next_seq
