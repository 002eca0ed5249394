"""Results of this entry's recent bookings, for keys whose record the store has lost."""

from collections import OrderedDict
from dataclasses import dataclass

from wigeonwind.clock import Clock
from wigeonwind.state.booking_record import RecordedResponse
from wigeonwind.state.booking_steps import (
    BodyMismatch,
    Booked,
    BookingRequest,
    BookingResult,
    BookingUnknown,
)
from wigeonwind.state.bookings import UNKNOWN_OUTCOME_RETRY_MS

KEPT_MS = 600_000.0
"""Time for which a result is kept, as long as at the sidecar."""

MAX_BOOKINGS = 2_000
MAX_BODY_BYTES = 8_192
"""Limits of the memory: 16 MB. A larger response is remembered as unknown."""


@dataclass(frozen=True)
class _Recent:
    body_digest: str
    response: RecordedResponse | None
    at_ms: float


class RecentBookings:
    """Results by record key; the oldest is forgotten first."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._recent_by_key: OrderedDict[str, _Recent] = OrderedDict()

    def add(self, booking: BookingRequest, result: BookingResult) -> None:
        """Remember a booking that was run or may have been."""
        if not isinstance(result, Booked | BookingUnknown):
            return
        response = result.answer if isinstance(result, Booked) else None
        if response is not None and len(response.body or b"") > MAX_BODY_BYTES:
            response = None
        now_ms = self._clock.now_ms()
        self._recent_by_key.pop(booking.record_key, None)
        recent = _Recent(booking.body_digest, response, now_ms)
        self._recent_by_key[booking.record_key] = recent
        while len(self._recent_by_key) > MAX_BOOKINGS:
            self._recent_by_key.popitem(last=False)

    def result_without_record(self, booking: BookingRequest) -> BookingResult | None:
        """Return the result of a key that has no record, None for a new key."""
        recent = self._recent_by_key.get(booking.record_key)
        if recent is None or self._clock.now_ms() - recent.at_ms > KEPT_MS:
            return None
        if recent.body_digest != booking.body_digest:
            return BodyMismatch()
        if recent.response is None:
            reason = "the store has lost the record of the booking"
            return BookingUnknown(reason, UNKNOWN_OUTCOME_RETRY_MS)
        return Booked(recent.response, True)

    def is_known(self, booking: BookingRequest) -> bool:
        """Return whether the key has a recent result."""
        return self.result_without_record(booking) is not None
