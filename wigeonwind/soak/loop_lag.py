"""Delays of the soak's own event loop."""

from collections import deque
from collections.abc import Callable

import gevent

from wigeonwind.clock import MS_PER_SECOND

CHECK_MS = 20.0
"""Interval of the checks; a delay is measured against it."""

MAX_ROWS = 3_000
"""Checks that are remembered, about a minute."""


class LoopLag:
    """Measures how late the event loop runs its timers; times in milliseconds."""

    def __init__(self, now_ms: Callable[[], float]) -> None:
        self._now_ms = now_ms
        self._rows: deque[tuple[float, float]] = deque(maxlen=MAX_ROWS)
        """Times of the checks and their delays."""
        self._due_ms: float | None = None

    def run(self) -> None:
        """Check the loop until killed."""
        while True:
            self._due_ms = self._now_ms() + CHECK_MS
            gevent.sleep(CHECK_MS / MS_PER_SECOND)
            now_ms = self._now_ms()
            self._rows.append((now_ms, now_ms - self._due_ms))

    def longest_ms(self, since_ms: float) -> float:
        """Return the longest delay since a time, with that of the next check so far."""
        delays = [delay_ms for at_ms, delay_ms in self._rows if at_ms >= since_ms]
        if self._due_ms is not None:
            delays.append(self._now_ms() - self._due_ms)
        return max(0.0, *delays) if delays else 0.0
