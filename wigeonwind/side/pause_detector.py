"""Detects pauses of this process, and bounds the delay of messages read after one."""

from wigeonwind.clock import Clock

TICK_MS = 50.0
"""Interval at which `PauseDetector.tick` is called."""

PAUSE_THRESHOLD_MS = 4 * TICK_MS
"""A longer gap between ticks is a pause of the process, not only a busy event loop."""

CATCH_UP_MS = 100.0
"""Time after a pause within which the messages that arrived during it are read."""


class PauseDetector:
    """Bounds the time that a message may have waited in the socket buffer.

    A message states the time left until its deadline, counted from the time of sending.
    If it is read after a pause, it may have been sent at any time during the pause.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._last_tick_ms: float | None = None
        self._pause_ms = 0.0
        self._catch_up_until_ms = 0.0

    def tick(self) -> None:
        """Record that the process is running; must be called every TICK_MS."""
        now_ms = self._clock.now_ms()
        gap_ms = self._gap_ms(now_ms)
        if gap_ms > PAUSE_THRESHOLD_MS:
            self._pause_ms = gap_ms
            self._catch_up_until_ms = now_ms + CATCH_UP_MS
        self._last_tick_ms = now_ms

    def max_receive_delay_ms(self) -> float:
        """Return the longest time that a message read now may have waited, in ms."""
        now_ms = self._clock.now_ms()
        gap_ms = self._gap_ms(now_ms)
        if gap_ms > PAUSE_THRESHOLD_MS:
            return gap_ms
        return self._pause_ms if now_ms < self._catch_up_until_ms else 0.0

    def _gap_ms(self, now_ms: float) -> float:
        return 0.0 if self._last_tick_ms is None else now_ms - self._last_tick_ms
