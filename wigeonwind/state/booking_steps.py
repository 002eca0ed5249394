"""Steps of the claim protocol for bookings, their results, and the final results."""

from collections.abc import Generator
from dataclasses import dataclass

from wigeonwind.outcomes import Ok
from wigeonwind.state.booking_record import RecordedResponse
from wigeonwind.state.store_types import Conflict, NotFound, StoredObject, StoreFailure


@dataclass(frozen=True)
class BookingRequest:
    """A request with an idempotency key; `record_key` is the key of its record."""

    record_key: str
    body_digest: str


@dataclass(frozen=True)
class ReadRecord:
    """Read the record; the result is that of `Store.get`."""

    key: str


@dataclass(frozen=True)
class WriteRecord:
    """Write the record if it has `if_version`; the result is that of `Store.put`."""

    key: str
    value: bytes
    if_version: int


@dataclass(frozen=True)
class ChooseTarget:
    """Choose the endpoint for the next claim; the result is a Target or NoTarget."""


@dataclass(frozen=True)
class SendAttempt:
    """Send the request once, only to `target`; the result is an AttemptResult."""

    claim_token: str
    target: "Target"


@dataclass(frozen=True)
class ForbidClaim:
    """Ask the sidecar of `target` to forbid a claim token.

    The result is a ClaimResolution. Another incarnation of the sidecar cannot resolve
    the claim; the result is then Unresolved.
    """

    claim_token: str
    target: "Target"


@dataclass(frozen=True)
class Pause:
    """Wait before the next step; the result is None."""

    duration_ms: float


Step = ReadRecord | WriteRecord | ChooseTarget | SendAttempt | ForbidClaim | Pause


@dataclass(frozen=True)
class Target:
    """One incarnation of an endpoint's sidecar."""

    endpoint_id: str
    incarnation: int


@dataclass(frozen=True)
class NoTarget:
    """No endpoint can accept the request; `code` is an ErrorCode value."""

    reason: str
    retry_after_ms: float | None
    code: str = "no_endpoint"


@dataclass(frozen=True)
class Completed:
    """The endpoint ran the request, and its complete response was received."""

    answer: RecordedResponse


@dataclass(frozen=True)
class NotRun:
    """The attempt did not run and never will; `code` is an ErrorCode value."""

    code: str
    reason: str
    retry_after_ms: float | None


@dataclass(frozen=True)
class MayHaveRun:
    """The attempt was sent, and it is unknown whether it ran."""

    reason: str


@dataclass(frozen=True)
class Forbidden:
    """The sidecar has not executed the claim token and will refuse it from now on."""


@dataclass(frozen=True)
class Unresolved:
    """The sidecar is executing the claim, has no record of it, or is unreachable."""

    reason: str


AttemptResult = Completed | NotRun | MayHaveRun
ClaimResolution = Forbidden | Completed | Unresolved
StepResult = (
    Ok[StoredObject]
    | Ok[int]
    | NotFound
    | Conflict
    | StoreFailure
    | Target
    | NoTarget
    | AttemptResult
    | ClaimResolution
    | None
)


@dataclass(frozen=True)
class Booked:
    """The booking was executed once; `replayed` if by an earlier request."""

    answer: RecordedResponse
    replayed: bool


@dataclass(frozen=True)
class NotBooked:
    """This request certainly did not run; `code` is an ErrorCode value."""

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
    """The idempotency key belongs to a request with another body."""


BookingResult = Booked | NotBooked | BookingUnknown | BodyMismatch
Steps = Generator[Step, StepResult, BookingResult]
