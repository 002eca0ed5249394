"""The stored record of one booking, encoded as versioned CBOR."""

from dataclasses import dataclass
from enum import Enum
from math import isfinite, nan
from typing import TypeVar

import cbor2

RECORD_VERSION = 1

RETENTION_MS = 7 * 24 * 3_600_000.0
"""Records are kept for 7 days; callers may retry a key for 24 hours."""

MAX_RECORDED_BODY_BYTES = 262_144
"""Larger responses are recorded without their body; the store limits values to 1 MB."""


class RecordState(Enum):
    """State of a booking."""

    CLAIMED = "claimed"
    """The attempt of the claim may be running or have ended; no outcome is recorded."""
    DONE = "done"
    """The booking was executed and its response is recorded."""
    RELEASED = "released"
    """The claim ended without an execution, so the next call may claim the key."""


MAX_INTEGER = 2**64 - 1
"""Largest number in a record."""

DECODE_ERRORS = (
    cbor2.CBORError,
    KeyError,
    TypeError,
    ValueError,
    AttributeError,
    OverflowError,
    RecursionError,
)
"""What the decoding of CBOR raises, and the use of items of a wrong type or size."""

T = TypeVar("T")


@dataclass(frozen=True)
class RecordedResponse:
    """The response of the endpoint; `body` is None if it was too large to record."""

    status: int
    headers: list[list[str]]
    body: bytes | None


@dataclass(frozen=True)
class BookingRecord:
    """The state of one booking.

    `claimed_ms` is wall-clock time in milliseconds since 1970. Only the sidecar of
    `endpoint_id` in this `incarnation` may execute the claim. `body_digest` is the
    result of `bookings.body_digest`; `answer`, the response, is set in state DONE only.
    """

    state: RecordState
    claim_token: str
    body_digest: str
    endpoint_id: str
    incarnation: int
    claimed_ms: float
    answer: RecordedResponse | None = None


def omit_large_body(response: RecordedResponse) -> RecordedResponse:
    """Return the response without its body if the body is too large for a record."""
    body = response.body
    if body is not None and len(body) > MAX_RECORDED_BODY_BYTES:
        body = None
    return RecordedResponse(response.status, response.headers, body)


def encode_record(record: BookingRecord) -> bytes:
    """Return the record as CBOR.

    >>> record = BookingRecord(RecordState.CLAIMED, "t", "d", "side-1", 7, 0.0)
    >>> decode_record(encode_record(record)) == record
    True
    """
    fields: dict[str, object] = {
        "v": RECORD_VERSION,
        "state": record.state.value,
        "token": record.claim_token,
        "digest": record.body_digest,
        "endpoint": record.endpoint_id,
        "incarnation": record.incarnation,
        "claimed_ms": record.claimed_ms,
    }
    if record.answer is not None:
        response = record.answer
        fields["answer"] = [response.status, response.headers, response.body]
    return cbor2.dumps(fields)


def decode_record(value: bytes) -> BookingRecord | None:
    """Return the record, or None if it is malformed or of another format version."""
    try:
        fields = cbor2.loads(value)
        if fields["v"] != RECORD_VERSION:
            return None
        response = fields.get("answer")
        return BookingRecord(
            RecordState(fields["state"]),
            _check(fields["token"], str),
            _check(fields["digest"], str),
            _check(fields["endpoint"], str),
            _check_integer(fields["incarnation"]),
            _check_time(fields["claimed_ms"]),
            None if response is None else _decode_response(*response),
        )
    except DECODE_ERRORS:
        return None


def _decode_response(status: object, headers: object, body: object) -> RecordedResponse:
    rows = [
        [_check(item, str) for item in _check(row, list)]
        for row in _check(headers, list)
    ]
    content = None if body is None else _check(body, bytes)
    return RecordedResponse(_check_integer(status), rows, content)


def _check(value: object, expected: type[T]) -> T:
    if not isinstance(value, expected):
        raise ValueError(f"a field is not of the type {expected.__name__}")
    return value


def _check_integer(value: object) -> int:
    number = _check(value, int)
    if isinstance(number, bool) or not 0 <= number <= MAX_INTEGER:
        raise ValueError(f"a number is not from 0 to {MAX_INTEGER}")
    return number


def _check_time(value: object) -> float:
    time_ms = float(value) if isinstance(value, (int, float)) else nan
    if not isfinite(time_ms):
        raise ValueError("a time is not finite")
    return time_ms


def is_expired(record: BookingRecord, wall_ms: float) -> bool:
    """Return whether a record is past its retention and may be replaced or deleted."""
    return wall_ms - record.claimed_ms > RETENTION_MS
