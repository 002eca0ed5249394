"""Input and result types of the decisions, used by the daemon and the simulations."""

from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from wigeonwind.catalog import Catalog


@dataclass(frozen=True)
class AttemptSpec:
    """Properties of an attempt that the queue of an endpoint uses.

    `arrived_ms` and `deadline_ms` are clock readings; None means no deadline.
    `resume_tokens` is the number of answer tokens that earlier attempts of the request
    have delivered.
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
    """False for calls to plain services, which cannot be paused."""

    @property
    def key(self) -> tuple[str, int]:
        """Return request id and attempt number, which identify the attempt."""
        return (self.request_id, self.attempt_number)


AttemptKey = tuple[str, int]


@dataclass(frozen=True)
class Admitted:
    """The attempt is queued with `position` attempts ahead of it."""

    position: int


@dataclass(frozen=True)
class Rejected:
    """The attempt is refused and was not executed; `code` is an ErrorCode value."""

    code: str
    reason: str
    retry_after_ms: float


@dataclass(frozen=True)
class StartAttempt:
    """Send this queued attempt to the engine."""

    spec: AttemptSpec


@dataclass(frozen=True)
class PauseAttempt:
    """Pause this running attempt.

    `kv` says what happens to its KV cache: `keep`, `export` or `drop`.
    """

    spec: AttemptSpec
    kv: str


@dataclass(frozen=True)
class ResumeAttempt:
    """Resume this paused attempt."""

    spec: AttemptSpec


@dataclass(frozen=True)
class ExpireAttempt:
    """Refuse this queued attempt, which can no longer start in time (`not-run`)."""

    spec: AttemptSpec
    rejection: Rejected


QueueAction = StartAttempt | PauseAttempt | ResumeAttempt | ExpireAttempt


@dataclass(frozen=True)
class QueueReport:
    """The state of an endpoint's queue.

    `running`, `paused` and the counts by class are numbers of attempts, `slots` is the
    largest number that may run. `queued_tokens` counts the prompt tokens of queued
    attempts. `ms_per_token` and `ms_to_first_token` are means over recent attempts.
    """

    running: int
    paused: int
    slots: int
    waiting_by_class: tuple[tuple[str, int], ...]
    ms_per_token: float
    ms_to_first_token: float
    queued_tokens: int
    pauses: int = 0
    """Pauses since the process started."""
    dropped_tokens: int = 0
    """Tokens of KV cache dropped by pauses since the process started; the engine
    recomputes them when it resumes the attempt."""
    running_by_class: tuple[tuple[str, int], ...] = ()


class EndpointQueueDecisions(Protocol):
    """Scheduling, admission, guaranteed shares and preemption at one endpoint."""

    def set_catalog(self, catalog: Catalog) -> None:
        """Use another version of the configuration for new attempts."""
        ...

    def set_slots(self, slots: int) -> None:
        """Set the number of attempts that the endpoint runs concurrently."""
        ...

    def offer(self, spec: AttemptSpec, now_ms: float) -> Admitted | Rejected:
        """Admit or refuse one attempt."""
        ...

    def due_actions(self, now_ms: float) -> Iterator[QueueAction]:
        """Yield the actions that are due; each is assumed to be carried out."""
        ...

    def on_tokens(self, key: AttemptKey, tokens: int, now_ms: float) -> None:
        """Record that a running attempt has generated `tokens` more tokens."""
        ...

    def on_done(self, key: AttemptKey, now_ms: float) -> None:
        """Record that a started attempt has completed, failed or been cancelled."""
        ...

    def withdraw(self, key: AttemptKey) -> bool:
        """Remove a queued attempt; False if it has started or is unknown."""
        ...

    def report(self, now_ms: float) -> QueueReport:
        """Return the current state of the queue."""
        ...


@dataclass(frozen=True)
class EndpointInfo:
    """An endpoint that an entry may send to.

    `endpoint_id` is the member id of its sidecar. An endpoint without `models` serves
    any model.
    """

    endpoint_id: str
    zone: str
    service: str
    models: tuple[str, ...] = ()


@dataclass(frozen=True)
class RouteRequest:
    """The properties of a request that the choice of an endpoint depends on.

    Priority 0 is the most urgent. `model` is empty if any model may serve the request.
    `prefix_keys` are hashes of successively longer prompt prefixes, shortest first.
    """

    service: str
    class_name: str
    priority: int
    prompt_tokens: int
    model: str = ""
    prefix_keys: tuple[int, ...] = ()


@dataclass(frozen=True)
class Chosen:
    """The endpoint to send the request to."""

    endpoint_id: str


@dataclass(frozen=True)
class NoEndpoint:
    """No endpoint is available; `reason` is for the error message."""

    reason: str
    retry_after_ms: float


@dataclass(frozen=True)
class ReportedLoad:
    """A load report of an endpoint; `age_ms` is its age when it was received."""

    running: int
    slots: int
    waiting_by_class: tuple[tuple[str, int], ...]
    age_ms: float
    ms_per_token: float
    ms_to_first_token: float
    queued_tokens: int
    ready: bool = True
    running_by_class: tuple[tuple[str, int], ...] = ()
    """Empty if the sender runs a release that does not report it."""


class EndpointChoice(Protocol):
    """Chooses among the subset of endpoints that an entry is connected to."""

    def set_endpoints(self, endpoints: tuple[EndpointInfo, ...], now_ms: float) -> None:
        """Replace the set of endpoints; traffic to new ones is ramped up."""
        ...

    def on_load(self, endpoint_id: str, load: ReportedLoad, now_ms: float) -> None:
        """Record a load report."""
        ...

    def choose(
        self, request: RouteRequest, now_ms: float, exclude: frozenset[str]
    ) -> Chosen | NoEndpoint:
        """Return an endpoint that is not in `exclude`."""
        ...

    def on_sent(self, endpoint_id: str, request: RouteRequest, now_ms: float) -> None:
        """Record that a request was sent."""
        ...

    def on_first_token(self, endpoint_id: str, wait_ms: float, now_ms: float) -> None:
        """Record the first token of a request, `wait_ms` after it was sent."""
        ...

    def on_tokens(self, endpoint_id: str, tokens: int, now_ms: float) -> None:
        """Record received tokens, for the comparison with other endpoints."""
        ...

    def on_ended(
        self, endpoint_id: str, request: RouteRequest, ok: bool, now_ms: float
    ) -> None:
        """Record that a request sent to the endpoint has ended."""
        ...

    def on_cache_event(
        self, endpoint_id: str, prefix_key: int, stored: bool, now_ms: float
    ) -> None:
        """Record that an endpoint has stored or evicted a prefix."""
        ...


@dataclass(frozen=True)
class Allowed:
    """The request is within all limits."""


@dataclass(frozen=True)
class Limited:
    """The request exceeds a limit, which `limit` names."""

    limit: str
    retry_after_ms: float


class LimitDecisions(Protocol):
    """Enforces the limits of customers and classes at one entry."""

    def set_catalog(self, catalog: Catalog) -> None:
        """Use another configuration version; admitted requests stay admitted."""
        ...

    def check(
        self, customer: str, class_name: str, prompt_tokens: int, now_ms: float
    ) -> Allowed | Limited:
        """Admit and count a request, or return the limit that it exceeds."""
        ...

    def on_tokens(
        self, customer: str, class_name: str, tokens: int, now_ms: float
    ) -> None:
        """Count generated tokens against the limits."""
        ...

    def on_ended(self, customer: str, class_name: str, now_ms: float) -> None:
        """Release the concurrency slot of an admitted request."""
        ...


@dataclass(frozen=True)
class Resend:
    """Send another attempt after `delay_ms`."""

    delay_ms: float


@dataclass(frozen=True)
class GiveUp:
    """Send no further attempt."""

    reason: str


class RetryCause(Enum):
    """Why another attempt is needed."""

    REFUSED = "refused"
    """The endpoint had no capacity; retries after refusals can amplify an overload."""
    FAILED = "failed"
    """The endpoint failed before any part of the answer was delivered."""
    HANDED_BACK = "handed-back"
    """The endpoint is draining or was lost before the attempt started; no engine time
    was spent."""
    INTERRUPTED = "interrupted"
    """The endpoint failed during an answer, which another endpoint resumes."""


class RetryDecisions(Protocol):
    """Decides whether a failed attempt is retried."""

    def on_request(self, now_ms: float) -> None:
        """Count a first attempt, which adds to the retry budget."""
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
        """Decide whether to retry after attempt number `attempt` (from 0)."""
        ...
