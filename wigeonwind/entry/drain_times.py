"""The times of an entry's drain, which everything that serves a request asks."""

from math import inf

from wigeonwind.clock import Clock
from wigeonwind.settings import DrainSettings

ENDING_MS = 300.0
"""Time before the limit at which each open request gets its final response."""

ABORT_MS = 100.0
"""Time before the limit at which what has no response yet is aborted."""


class DrainTimes:
    """When a drain accepts requests, ends them and aborts them.

    Durations are in milliseconds; all are infinite while the entry does not drain.

    >>> from wigeonwind.clock import ManualClock
    >>> times = DrainTimes(ManualClock(), DrainSettings(grace_ms=2000, limit_ms=10000))
    >>> times.ending_in_ms()
    inf
    >>> times.begin(0.0)
    >>> times.grace_left_ms(), times.ending_in_ms(), times.abort_in_ms()
    (2000.0, 9700.0, 9900.0)
    """

    def __init__(self, clock: Clock, settings: DrainSettings) -> None:
        self._clock = clock
        self._settings = settings
        self._started_ms: float | None = None

    @property
    def is_draining(self) -> bool:
        """Return whether the drain has begun."""
        return self._started_ms is not None

    def begin(self, started_ms: float) -> None:
        """Start the drain; its times count from the clock reading `started_ms`."""
        if self._started_ms is None:
            self._started_ms = started_ms

    def grace_left_ms(self) -> float:
        """Return the time for which new connections are still accepted."""
        return min(self._left_ms(self._settings.grace_ms), self.ending_in_ms())

    def ending_in_ms(self) -> float:
        """Return the time until all open requests get their final response."""
        return self._left_ms(self._settings.limit_ms - ENDING_MS)

    def abort_in_ms(self) -> float:
        """Return the time until requests without a response are aborted."""
        return self._left_ms(self._settings.limit_ms - ABORT_MS)

    def limit_in_ms(self) -> float:
        """Return the time until the limit of the drain."""
        return self._left_ms(self._settings.limit_ms)

    def _left_ms(self, duration_ms: float) -> float:
        if self._started_ms is None:
            return inf
        return max(0.0, self._started_ms + duration_ms - self._clock.now_ms())
