"""Stop signals of a process, and when they came."""

import signal
from collections.abc import Callable, Iterable
from types import FrameType

import gevent
from structlog import get_logger

from wigeonwind.clock import Clock

log = get_logger("wigeonwind.stop_signal")


class StopSignal:
    """Calls `on_stop` once, in a new greenlet, for the first of some stop signals."""

    def __init__(self, clock: Clock, on_stop: Callable[[], None]) -> None:
        self._clock = clock
        self._on_stop = on_stop
        self._loop = gevent.get_hub().loop
        self.handled_ms: float | None = None
        """Clock reading at which the handler of the first signal ran, None before."""

    def install(self, signal_numbers: Iterable[int]) -> None:
        """Handle these signals; call it in the main thread."""
        for number in signal_numbers:
            signal.signal(number, self._handle)

    def _handle(self, _number: int, _frame: FrameType | None) -> None:
        """Handle a signal; this may interrupt any code of the main thread."""
        if self.handled_ms is not None:
            return
        self.handled_ms = self._clock.now_ms()
        self._loop.run_callback_threadsafe(gevent.spawn, self._begin_stop)

    def _begin_stop(self) -> None:
        assert self.handled_ms is not None
        lag_ms = self._clock.now_ms() - self.handled_ms
        log.info("stop signal received", loop_lag_ms=round(lag_ms, 1))
        self._on_stop()
