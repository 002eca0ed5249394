"""Typed steps and results of the claim protocol for bookings."""

from collections.abc import Generator
from dataclasses import dataclass

from wigeonwind.outcomes import Ok
from wigeonwind.state.booking_record import RecordedAnswer
from wigeonwind.state.store_types import Conflict, NotFound, StoredObject, StoreFailure


@dataclass(frozen=True)
class BookingRequest:
    """One call with an idempotency key; `record_key` names it in the store."""

    record_key: str
    body_digest: str


@dataclass(frozen=True)
class ReadRecord:
    """Read the record; answered by what `Store.get` returns."""

    key: str


@dataclass(frozen=True)
class WriteRecord:
    """Write the record conditionally; answered by what `Store.put` returns."""

    key: str
    value: bytes
    if_version: int


@dataclass(frozen=True)
class ChooseTarget:
    """Choose the endpoint for the next claim; answered by Target or NoTarget."""


@dataclass(frozen=True)
class SendAttempt:
    """Send the call once to exactly this incarnation; answered by a RunResult."""

    claim_token: str
    target: "Target"


@dataclass(frozen=True)
class ForbidClaim:
    """Ask the sidecar to forbid a token; answered by a ClaimAnswer.

    Another incarnation of the sidecar cannot answer: that is Unresolved.
    """

    claim_token: str
    target: "Target"


@dataclass(frozen=True)
class Pause:
    """Wait before the next step; answered by None."""

    duration_ms: float


Step = ReadRecord | WriteRecord | ChooseTarget | SendAttempt | ForbidClaim | Pause


@dataclass(frozen=True)
class Target:
    """One incarnation of an endpoint's sidecar."""

    endpoint_id: str
    incarnation: int


@dataclass(frozen=True)
class NoTarget:
    """No endpoint may take the call."""

    reason: str
    retry_after_ms: float | None
    code: str = "no_endpoint"


@dataclass(frozen=True)
class Answered:
    """The endpoint answered."""

    answer: RecordedAnswer


@dataclass(frozen=True)
class NotExecuted:
    """The attempt never ran and never will."""

    code: str
    reason: str
    retry_after_ms: float | None


@dataclass(frozen=True)
class MayHaveExecuted:
    """The attempt was sent and its end is not known."""

    reason: str


@dataclass(frozen=True)
class Forbidden:
    """The claim token never ran and never will."""


@dataclass(frozen=True)
class Unresolved:
    """The sidecar runs the token, does not know it, or cannot be asked."""

    reason: str


AttemptResult = Answered | NotExecuted | MayHaveExecuted
ClaimAnswer = Forbidden | Answered | Unresolved
StepResult = (
    Ok[StoredObject]
    | Ok[int]
    | NotFound
    | Conflict
    | StoreFailure
    | Target
    | NoTarget
    | AttemptResult
    | ClaimAnswer
    | None
)


@dataclass(frozen=True)
class Booked:
    """The booking ran once; `replayed` if an earlier call ran it."""

    answer: RecordedAnswer
    replayed: bool


@dataclass(frozen=True)
class NotBooked:
    """This call certainly ran nothing; `code` is an ErrorCode value."""

    code: str
    reason: str
    retry_after_ms: float | None


@dataclass(frozen=True)
class BookingUnknown:
    """The booking may have run."""

    reason: str
    retry_after_ms: float


@dataclass(frozen=True)
class BodyMismatch:
    """The key belongs to a call with another body."""


BookingResult = Booked | NotBooked | BookingUnknown | BodyMismatch
Steps = Generator[Step, StepResult, BookingResult]
