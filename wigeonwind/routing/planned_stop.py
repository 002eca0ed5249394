"""Phases of a planned stop of a routing process."""

from dataclasses import dataclass
from enum import Enum
from math import inf

from wigeonwind.decisions.stop_admission import LEAVING_MS

EXIT_MARGIN_MS = 300.0
"""Time before the limit of the stop at which the process exits by itself."""

ENDING_MS = 200.0
"""Time before the exit at which every open request gets its final response."""


MIN_STOP_MS = 1_500.0
"""Least time that is left of a stop, margins included, whenever its signal came."""


class StopPhase(Enum):
    """What a process does with connections and requests."""

    RUNNING = "running"
    LISTENING = "listening"
    """Connections are accepted; responses end them."""
    LEAVING = "leaving"
    """The listener and idle connections are closed, requests in flight are served."""
    CLOSING = "closing"
    """Requests that have been read in part are refused, those in flight are served."""
    ENDING = "ending"
    """Requests in flight get their final response at once."""


@dataclass(slots=True)
class PlannedStop:
    """The times of a planned stop, clock readings in milliseconds."""

    signaled_ms: float
    ends_from_ms: float
    exits_ms: float
    leaves_from_ms: float = inf
    """When the process began to leave; infinite before."""

    def phase(self, now_ms: float) -> StopPhase:
        """Return the phase at a time from the signal on."""
        if now_ms >= self.ends_from_ms:
            return StopPhase.ENDING
        if now_ms >= self.leaves_from_ms + LEAVING_MS:
            return StopPhase.CLOSING
        if now_ms >= self.leaves_from_ms:
            return StopPhase.LEAVING
        return StopPhase.LISTENING


def plan_stop(signaled_ms: float | None, now_ms: float, limit_ms: float) -> PlannedStop:
    """Return the times of a stop that must end within `limit_ms`.

    `signaled_ms` is the earliest time at which the signal may have come, None for now.
    After a pause that is longer than the stop, MIN_STOP_MS of it are left, because the
    signal may have come late in the pause.

    >>> stop = plan_stop(0.0, 0.0, 8_000.0)
    >>> stop.ends_from_ms, stop.exits_ms
    (7500.0, 7700.0)
    >>> stop.leaves_from_ms = 2_500.0
    >>> stop.phase(2_499.0), stop.phase(2_500.0)
    (<StopPhase.LISTENING: 'listening'>, <StopPhase.LEAVING: 'leaving'>)
    >>> plan_stop(0.0, 20_000.0, 8_000.0).ends_from_ms
    21000.0
    """
    earliest_ms = now_ms - max(0.0, limit_ms - MIN_STOP_MS)
    began_ms = now_ms if signaled_ms is None else max(signaled_ms, earliest_ms)
    exits_ms = began_ms + max(0.0, limit_ms - EXIT_MARGIN_MS)
    return PlannedStop(began_ms, max(began_ms, exits_ms - ENDING_MS), exits_ms)
