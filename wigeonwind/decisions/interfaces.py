"""Typed inputs and results of the decisions, shared by the daemon and the bench."""

from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from wigeonwind.catalog import Catalog


@dataclass(frozen=True)
class AttemptSpec:
    """One attempt that asks an endpoint for service.

    `deadline_ms` is a clock reading, None for no deadline. `resume_tokens` tokens of
    the answer are already delivered.
    """

    request_id: str
    attempt_number: int
    service: str
    class_name: str
    customer: str
    arrived_ms: float
    prompt_tokens: int
    deadline_ms: float | None = None
    resume_tokens: int = 0
    may_pause: bool = True
    """False for calls to plain services: they cannot be paused."""

    @property
    def key(self) -> tuple[str, int]:
        """Return the identity of the attempt: request id and attempt number."""
        return (self.request_id, self.attempt_number)


AttemptKey = tuple[str, int]


@dataclass(frozen=True)
class Admitted:
    """The work waits at `position` (0 is next)."""

    position: int


@dataclass(frozen=True)
class Rejected:
    """The work is refused and certainly not run; `code` is an ErrorCode value."""

    code: str
    reason: str
    retry_after_ms: float


@dataclass(frozen=True)
class StartAttempt:
    """Send this waiting work to the engine now."""

    spec: AttemptSpec


@dataclass(frozen=True)
class PauseAttempt:
    """Pause this running work; `kv` is `keep`, `export` or `drop`."""

    spec: AttemptSpec
    kv: str


@dataclass(frozen=True)
class ResumeAttempt:
    """Resume this paused work."""

    spec: AttemptSpec


@dataclass(frozen=True)
class ExpireAttempt:
    """Give this waiting work back: its deadline cannot be met any more (not-run)."""

    spec: AttemptSpec
    rejection: Rejected


QueueAction = StartAttempt | PauseAttempt | ResumeAttempt | ExpireAttempt


@dataclass(frozen=True)
class QueueReport:
    """The state of one endpoint's queue; counts of attempts and tokens."""

    running: int
    paused: int
    slots: int
    waiting_by_class: tuple[tuple[str, int], ...]
    ms_per_token: float
    ms_to_first_token: float
    queued_tokens: int
    pauses: int = 0
    """Pauses since the start."""
    dropped_tokens: int = 0
    """Tokens of KV cache dropped by pauses since the start; computed again later."""
    running_by_class: tuple[tuple[str, int], ...] = ()


class EndpointQueueDecisions(Protocol):
    """Order, admission, shares and preemption at one endpoint."""

    def set_catalog(self, catalog: Catalog) -> None:
        """Use another version of the text for new work."""
        ...

    def set_slots(self, slots: int) -> None:
        """Change the number of attempts the endpoint runs at a time."""
        ...

    def offer(self, spec: AttemptSpec, now_ms: float) -> Admitted | Rejected:
        """Admit or refuse one attempt."""
        ...

    def actions(self, now_ms: float) -> Iterator[QueueAction]:
        """Yield what to do now; each yielded action counts as carried out."""
        ...

    def on_tokens(self, key: AttemptKey, tokens: int, now_ms: float) -> None:
        """Record that running work has produced `tokens` more tokens."""
        ...

    def on_done(self, key: AttemptKey, now_ms: float) -> None:
        """Record that started work has ended, whole, failed or cancelled."""
        ...

    def withdraw(self, key: AttemptKey) -> bool:
        """Give waiting work back; True if it was waiting and now never starts."""
        ...

    def report(self, now_ms: float) -> QueueReport:
        """Return the present state."""
        ...


@dataclass(frozen=True)
class EndpointInfo:
    """An endpoint an entry may send to, named by its side's member id."""

    endpoint_id: str
    zone: str
    service: str
    models: tuple[str, ...] = ()


@dataclass(frozen=True)
class RouteRequest:
    """What the choice of an endpoint depends on.

    `prefix_keys` are hashes of growing prompt prefixes, shortest first.
    """

    service: str
    class_name: str
    priority: int
    prompt_tokens: int
    model: str = ""
    prefix_keys: tuple[int, ...] = ()


@dataclass(frozen=True)
class Chosen:
    """Send to this endpoint."""

    endpoint_id: str


@dataclass(frozen=True)
class NoEndpoint:
    """No endpoint may take the request; `reason` is for the error message."""

    reason: str
    retry_after_ms: float


@dataclass(frozen=True)
class ReportedLoad:
    """A load report as seen by an entry; `age_ms` is its age when it was received."""

    running: int
    slots: int
    waiting_by_class: tuple[tuple[str, int], ...]
    age_ms: float
    ms_per_token: float
    ms_to_first_token: float
    queued_tokens: int
    ready: bool = True
    running_by_class: tuple[tuple[str, int], ...] = ()
    """Empty if the sender is of a release that does not report it."""


class EndpointChoice(Protocol):
    """Choice among the endpoints of an entry's subset."""

    def set_endpoints(self, endpoints: tuple[EndpointInfo, ...], now_ms: float) -> None:
        """Replace the set of endpoints; new ones start slowly."""
        ...

    def on_load(self, endpoint_id: str, load: ReportedLoad, now_ms: float) -> None:
        """Record a load report."""
        ...

    def choose(
        self, request: RouteRequest, now_ms: float, exclude: frozenset[str]
    ) -> Chosen | NoEndpoint:
        """Choose an endpoint that is not in `exclude`."""
        ...

    def on_sent(self, endpoint_id: str, request: RouteRequest, now_ms: float) -> None:
        """Record that a request was sent."""
        ...

    def on_first_token(self, endpoint_id: str, wait_ms: float, now_ms: float) -> None:
        """Record the time to the first token of a request."""
        ...

    def on_tokens(self, endpoint_id: str, tokens: int, now_ms: float) -> None:
        """Record tokens received, for the comparison of peers."""
        ...

    def on_ended(
        self, endpoint_id: str, request: RouteRequest, ok: bool, now_ms: float
    ) -> None:
        """Record that a request sent there has ended."""
        ...

    def on_cache_event(
        self, endpoint_id: str, prefix_key: int, stored: bool, now_ms: float
    ) -> None:
        """Record that a prefix was stored or evicted at an endpoint."""
        ...


@dataclass(frozen=True)
class Allowed:
    """Within all limits."""


@dataclass(frozen=True)
class Limited:
    """Over a limit; `limit` names it."""

    limit: str
    retry_after_ms: float


class LimitDecisions(Protocol):
    """Limits of customers and classes at one entry."""

    def set_catalog(self, catalog: Catalog) -> None:
        """Use another version of the text; what is admitted stays admitted."""
        ...

    def check(
        self, customer: str, class_name: str, prompt_tokens: int, now_ms: float
    ) -> Allowed | Limited:
        """Admit (and count) one request, or say which limit refuses it."""
        ...

    def on_tokens(
        self, customer: str, class_name: str, tokens: int, now_ms: float
    ) -> None:
        """Count generated tokens."""
        ...

    def on_ended(self, customer: str, class_name: str, now_ms: float) -> None:
        """Give back the concurrency of one admitted request."""
        ...


@dataclass(frozen=True)
class Resend:
    """Send another attempt, not before `delay_ms` from now."""

    delay_ms: float


@dataclass(frozen=True)
class GiveUp:
    """Send no other attempt."""

    reason: str


class RetryCause(Enum):
    """Why another attempt is needed."""

    REFUSED = "refused"
    """The endpoint had no room; retries of these can feed an overload."""
    FAILED = "failed"
    """The endpoint failed before anything of the answer was delivered."""
    HANDED_BACK = "handed-back"
    """The endpoint leaves or was lost before the attempt began; nothing was spent."""
    INTERRUPTED = "interrupted"
    """The endpoint died in the middle of an answer, which goes on elsewhere."""


class RetryDecisions(Protocol):
    """Whether a failed attempt is followed by another."""

    def on_request(self, now_ms: float) -> None:
        """Count a first attempt; it feeds the budget."""
        ...

    def decide(
        self,
        attempt: int,
        certain_not_run: bool,
        repeatable: bool,
        remaining_ms: float | None,
        now_ms: float,
        cause: RetryCause = RetryCause.FAILED,
    ) -> Resend | GiveUp:
        """Decide after attempt number `attempt` (from 0) has failed."""
        ...
