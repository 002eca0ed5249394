"""Measurement of how long greenlets run without giving way to others.

All work of a process shares one event loop, so a greenlet that runs for long holds up
every other request. gevent reports nothing of this by itself.
"""

from collections.abc import Callable, Iterator
from types import FrameType
from typing import Any

import greenlet
from structlog import get_logger

from wigeonwind.clock import Clock

MIN_RECORDED_MS = 5.0
"""Shortest turn that is recorded; most turns take microseconds."""

MIN_LOGGED_MS = 100.0
"""Shortest turn that is logged: a large part of a latency target."""

LOG_INTERVAL_MS = 1_000.0

PACKAGE = __name__.partition(".")[0]

MAX_LOGGED_FUNCTIONS = 4

log = get_logger("wigeonwind.loop")


class LoopMonitor:
    """Times each turn of a greenlet; `on_turn` gets the duration of long ones in ms.

    A pause of the whole VM within a turn counts as part of it.
    """

    def __init__(self, clock: Clock, on_turn: Callable[[float], None]) -> None:
        self._clock = clock
        self._on_turn = on_turn
        self._turn_began_ms = clock.now_ms()
        self._logged_ms = float("-inf")

    def start(self) -> None:
        """Observe all switches between greenlets of this thread."""
        self._turn_began_ms = self._clock.now_ms()
        greenlet.settrace(self._on_switch)

    def stop(self) -> None:
        """Stop observing, unless another monitor has been started since."""
        if greenlet.gettrace() == self._on_switch:
            greenlet.settrace(None)

    def _on_switch(self, event: str, args: tuple[Any, Any]) -> None:
        now_ms = self._clock.now_ms()
        took_ms = now_ms - self._turn_began_ms
        self._turn_began_ms = now_ms
        if took_ms < MIN_RECORDED_MS or event not in ("switch", "throw"):
            return
        origin = args[0]
        if origin.gr_frame is not None and not _is_in_package(origin.gr_frame):
            return  # The event loop itself, which waits for events.
        self._on_turn(took_ms)
        if took_ms >= MIN_LOGGED_MS and now_ms - self._logged_ms >= LOG_INTERVAL_MS:
            self._logged_ms = now_ms
            log.warning(
                "event loop held up",
                took_ms=round(took_ms),
                by=list(_functions(origin.gr_frame))[:MAX_LOGGED_FUNCTIONS],
                work=getattr(origin, "work", None),
            )


def name_work(work: str) -> None:
    """Say what the current greenlet works on, for the log line of a long turn."""
    current = greenlet.getcurrent()
    current.work = work  # type: ignore[attr-defined]


def _functions(frame: FrameType | None) -> Iterator[str]:
    """Yield the functions of this project on a stack, the innermost first."""
    while frame is not None:
        module = frame.f_globals.get("__name__", "")
        if module.startswith(PACKAGE):
            yield f"{module}:{frame.f_code.co_qualname}"
        frame = frame.f_back


def _is_in_package(frame: FrameType) -> bool:
    return next(_functions(frame), None) is not None
