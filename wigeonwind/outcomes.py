"""Result types: values, failures of requests and validation errors.

Errors that a caller or peer can cause are returned, never raised. Only a violated
invariant raises an exception, which stops the process.
"""

from dataclasses import dataclass
from enum import Enum
from typing import Generic, TypeVar

T = TypeVar("T")


class Outcome(Enum):
    """What is known about the execution of a request without a complete response.

    The values are those of the `X-Outcome` response header.
    """

    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    FAILED = "failed"


class ErrorCode(Enum):
    """The `code` field of an error body."""

    BAD_REQUEST = "bad_request"
    UNAUTHORIZED = "unauthorized"
    UNKNOWN_SERVICE = "unknown_service"
    UNKNOWN_CLASS = "unknown_class"
    UNKNOWN_CUSTOMER = "unknown_customer"
    UNKNOWN_MODEL = "unknown_model"
    TOO_LARGE = "too_large"
    RATE_LIMITED = "rate_limited"
    OVERLOADED = "overloaded"
    NO_ENDPOINT = "no_endpoint"
    DEADLINE = "deadline"
    ENDPOINT_FAILED = "endpoint_failed"
    BOOKING_CONFLICT = "booking_conflict"
    BOOKING_UNKNOWN = "booking_unknown"
    STORE_UNAVAILABLE = "store_unavailable"
    DRAINING = "draining"
    CANCELLED = "cancelled"
    QUARANTINED = "quarantined"


@dataclass(frozen=True)
class Ok(Generic[T]):
    """A successful result."""

    value: T


@dataclass(frozen=True)
class Failure:
    """An operation or a request that ended without a complete response.

    `retry_after_ms` is None where a retry would not help. `http_status` is the status
    that is returned to a caller.
    """

    outcome: Outcome
    code: ErrorCode
    message: str
    http_status: int = 503
    retry_after_ms: float | None = None


@dataclass(frozen=True)
class Problem:
    """One validation error in a settings file or configuration.

    `line` is 1-based, 0 if unknown.
    """

    section: str
    key: str
    value: str
    expected: str
    line: int = 0

    def __str__(self) -> str:
        """Return one sentence for an operator."""
        place = f"line {self.line}: " if self.line else ""
        name = f"[{self.section}] {self.key}".strip()
        return f"{place}{name} = {self.value!r}: expected {self.expected}"


@dataclass(frozen=True)
class Invalid:
    """An input that failed validation, with all its errors."""

    problems: tuple[Problem, ...]
