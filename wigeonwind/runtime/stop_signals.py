"""Handles the signals that stop a process, and records when they came."""

import signal
from collections.abc import Callable
from types import FrameType

from gevent import get_hub, spawn

from wigeonwind.clock import Clock

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


class StopSignals:
    """Calls `on_stop` in the event loop with the clock reading of each stop signal.

    The interpreter runs the handler between two instructions, also while a greenlet
    holds up the event loop. A signal to a paused process is recorded when it continues.
    """

    def __init__(self, clock: Clock, on_stop: Callable[[float], None]) -> None:
        self._clock = clock
        self._on_stop = on_stop

    def install(self) -> None:
        """Install the handlers; must be called in the main thread."""
        self._loop = get_hub().loop
        for number in STOP_SIGNALS:
            signal.signal(number, self._on_signal)

    def _on_signal(self, number: int, frame: FrameType | None) -> None:
        now_ms = self._clock.now_ms()
        self._loop.run_callback_threadsafe(spawn, self._on_stop, now_ms)
