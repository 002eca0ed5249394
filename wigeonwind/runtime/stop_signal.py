"""Stop signals of a process, and when they came."""

import signal
from collections.abc import Callable, Iterable
from types import FrameType

import gevent
from structlog import get_logger

from wigeonwind.clock import MS_PER_SECOND, Clock

log = get_logger("wigeonwind.stop_signal")

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)

LOOP_CHECK_MS = 50.0
"""Interval at which the loop records that it runs."""

MAX_LOOP_LAG_MS = 25.0
"""Delay of a record from which the process counts as held up."""

HANDLER_DELAY_MS = 100.0
"""Time after a hold-up within which the handler of a signal that came during it runs.
The kernel may give the signal to another thread, so that the loop runs first."""


class StopSignal:
    """Calls `on_stop`, in a new greenlet, for each of some stop signals.

    `on_stop` gets the earliest time at which the signal may have come, a clock reading
    in milliseconds. That is when its handler ran, which Python does between any two
    instructions. A paused process or a long call into C delays even the handler; if the
    loop was held up when the first signal was handled, it is when the loop last
    recorded that it ran.
    """

    def __init__(self, clock: Clock, on_stop: Callable[[float], None]) -> None:
        self._clock = clock
        self._on_stop = on_stop
        self._loop = gevent.get_hub().loop
        self._ran_ms = clock.now_ms()
        self._held_up_from_ms = self._held_up_until_ms = float("-inf")
        """Begin and end of the last hold-up of the loop."""
        self.came_ms: float | None = None
        """Earliest time at which the first signal may have come, None before it."""

    def install(self, signal_numbers: Iterable[int]) -> None:
        """Handle these signals; call it in the main thread."""
        interval_s = LOOP_CHECK_MS / MS_PER_SECOND
        self._timer = self._loop.timer(interval_s, repeat=interval_s, ref=False)
        self._ran_ms = self._clock.now_ms()
        self._timer.start(self._record_running)
        for number in signal_numbers:
            signal.signal(number, self._handle)

    def _record_running(self) -> None:
        now_ms = self._clock.now_ms()
        if now_ms - self._ran_ms > LOOP_CHECK_MS + MAX_LOOP_LAG_MS:
            self._held_up_from_ms, self._held_up_until_ms = self._ran_ms, now_ms
        self._ran_ms = now_ms

    def _earliest_ms(self, now_ms: float) -> float:
        """Return the earliest time at which a signal handled now may have come."""
        if now_ms - self._ran_ms > LOOP_CHECK_MS + MAX_LOOP_LAG_MS:
            return self._ran_ms
        if now_ms - self._held_up_until_ms <= HANDLER_DELAY_MS:
            return self._held_up_from_ms
        return now_ms

    def _handle(self, _number: int, _frame: FrameType | None) -> None:
        """Handle a signal; this may interrupt any code of the main thread."""
        now_ms = self._clock.now_ms()
        came_ms = now_ms
        if self.came_ms is None:
            self.came_ms = came_ms = self._earliest_ms(now_ms)
        self._loop.run_callback_threadsafe(
            gevent.spawn, self._begin_stop, came_ms, now_ms
        )

    def _begin_stop(self, came_ms: float, handled_ms: float) -> None:
        self._timer.stop()
        log.info(
            "stop signal received",
            held_up_ms=round(handled_ms - came_ms, 1),
            loop_lag_ms=round(self._clock.now_ms() - handled_ms, 1),
        )
        self._on_stop(came_ms)
