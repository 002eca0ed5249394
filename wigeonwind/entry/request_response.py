"""What an entry knows of one request and its answer so far."""

from dataclasses import dataclass, field

from wigeonwind.catalog import Catalog, RequestClass, Service, ServiceKind
from wigeonwind.links.messages import Chunk, Finished


@dataclass(frozen=True)
class AdmittedRequest:
    """One admitted request; it keeps the catalog it was admitted under.

    `deadline_ms` is a clock reading. `prefix_keys` are hashes of growing prefixes of
    the prompt, shortest first.
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
    """Whether the endpoint itself refuses a second run under the same booking key."""

    @property
    def is_model(self) -> bool:
        """Return whether a model answers; such requests may be repeated."""
        return self.service.kind is ServiceKind.MODEL

    @property
    def repeatable(self) -> bool:
        """Return whether the request may run more than once."""
        if self.is_model or self.endpoint_deduplicates:
            return True
        return self.method.upper() not in self.service.unrepeatable_methods


@dataclass(frozen=True)
class ResponseHead:
    """Status and headers of a plain service's answer."""

    status: int
    headers: list[list[str]]


@dataclass(frozen=True)
class ResponseData:
    """Pieces of the answer, in order; all that had arrived when the reader looked."""

    chunks: list[bytes]


@dataclass(frozen=True)
class ResponseEnd:
    """The whole answer has been delivered."""

    finish_reason: str
    prompt_tokens: int
    completion_tokens: int
    cached_tokens: int


@dataclass
class PartialResponse:
    """The part of the answer that has been handed to the caller.

    `next_seq` is the sequence number the present attempt must send next.
    """

    chunks: list[bytes] = field(default_factory=list)
    tokens: int = 0
    next_seq: int = 0
    has_head: bool = False

    def begin_attempt(self) -> None:
        """Start a new attempt: sequence numbers begin again."""
        self.next_seq = 0

    def resume_text(self) -> str:
        """Return the text that a new attempt continues after."""
        return b"".join(self.chunks).decode()

    def accept(self, chunk: Chunk) -> bool:
        """Count a chunk; False if one before it is missing or it is a repetition."""
        if chunk.seq != self.next_seq:
            return False
        self.next_seq += 1
        return True

    def is_complete(self, finished: Finished) -> bool:
        """Return whether all chunks the sender speaks of have arrived."""
        return finished.chunks == self.next_seq
