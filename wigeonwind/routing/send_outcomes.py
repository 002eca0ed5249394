"""Outcomes of one send of a request to an endpoint."""

from dataclasses import dataclass

from wigeonwind.routing.header_codec import ResponseMetadata
from wigeonwind.routing.response_parser import Response


@dataclass(frozen=True, slots=True)
class Delivered:
    """The caller got the complete response; `status` is that of the endpoint."""

    status: int


@dataclass(frozen=True, slots=True)
class NotRun:
    """The endpoint certainly did not run the request.

    `was_sent` is False if no byte of the request was sent. `is_misdirected` says that
    another endpoint now listens at the address.
    """

    reason: str
    was_sent: bool
    is_misdirected: bool = False


@dataclass(frozen=True, slots=True)
class Broken:
    """There is no complete response, and the request may have run."""

    reason: str


@dataclass(frozen=True, slots=True)
class Failed:
    """The endpoint sent a complete 5xx response; another endpoint may succeed."""

    response: Response
    metadata: ResponseMetadata


@dataclass(frozen=True, slots=True)
class TimedOut:
    """The deadline of the request has passed."""


@dataclass(frozen=True, slots=True)
class CallerDisconnected:
    """The caller disconnected before the end of the response."""


@dataclass(frozen=True, slots=True)
class Stopped:
    """The process reached the end of a planned stop."""


@dataclass(frozen=True, slots=True)
class Quarantined:
    """The request was not sent, as a part of it may crash the endpoint.

    It may be sent after `retry_after_ms` at the earliest.
    """

    reason: str
    retry_after_ms: float


SendOutcome = (
    Delivered
    | NotRun
    | Broken
    | Failed
    | TimedOut
    | CallerDisconnected
    | Stopped
    | Quarantined
)
