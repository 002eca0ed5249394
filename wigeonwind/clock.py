"""Clocks; all times and durations are in milliseconds."""

import time
from typing import Protocol

MS_PER_SECOND = 1000.0
"""Milliseconds in one second."""


def wall_clock_ms() -> float:
    """Return the wall-clock time in milliseconds since 1970."""
    return time.time() * MS_PER_SECOND


class Clock(Protocol):
    """A monotonic clock; only differences between readings are meaningful."""

    def now_ms(self) -> float:
        """Return the current reading in milliseconds."""
        ...


class SystemClock:
    """The monotonic clock of the operating system."""

    def now_ms(self) -> float:
        """Return the current reading in milliseconds."""
        return time.monotonic() * MS_PER_SECOND


class ManualClock:
    """A virtual clock that advances only on request.

    >>> clock = ManualClock()
    >>> clock.advance(250.0)
    >>> clock.now_ms()
    250.0
    """

    def __init__(self, start_ms: float = 0.0) -> None:
        self._now_ms = start_ms

    def now_ms(self) -> float:
        """Return the current reading in milliseconds."""
        return self._now_ms

    def advance(self, delta_ms: float) -> None:
        """Advance by `delta_ms`; raise ValueError if it is negative."""
        if delta_ms < 0:
            raise ValueError(f"cannot move a clock backwards: {delta_ms} ms")
        self._now_ms += delta_ms

    def advance_to(self, at_ms: float) -> None:
        """Advance to the reading `at_ms`; do nothing if it is in the past."""
        self._now_ms = max(self._now_ms, at_ms)
