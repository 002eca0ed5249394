"""How one send of a request to an endpoint ended."""

from dataclasses import dataclass

from wigeonwind.routing.answer_parser import Answer
from wigeonwind.routing.wire import AnswerFacts


@dataclass(frozen=True, slots=True)
class Delivered:
    """The caller has the whole answer; `status` is that of the endpoint."""

    status: int


@dataclass(frozen=True, slots=True)
class NotRun:
    """The endpoint certainly did not run the request.

    `was_sent` is False if not even a byte of it left; `is_stranger` says that another
    endpoint has taken over the address.
    """

    reason: str
    was_sent: bool
    is_stranger: bool = False


@dataclass(frozen=True, slots=True)
class Broken:
    """There is no whole answer, and the request may have run."""

    reason: str


@dataclass(frozen=True, slots=True)
class Failed:
    """The endpoint answered with a failure that another one may not share."""

    answer: Answer
    facts: AnswerFacts


@dataclass(frozen=True, slots=True)
class TimedOut:
    """The time for the request is over."""


@dataclass(frozen=True, slots=True)
class CallerGone:
    """The caller has closed its connection."""


SendEnd = Delivered | NotRun | Broken | Failed | TimedOut | CallerGone
