"""Phases of a planned stop of a routing process."""

from dataclasses import dataclass
from enum import Enum

ACCEPT_MS = 3_000.0
"""Time after a stop signal for which requests are still served. The load balancer
checks readiness every second and removes a process after two failed checks."""

EXIT_MARGIN_MS = 300.0
"""Time before the limit of the stop at which the process exits by itself."""

ENDING_MS = 200.0
"""Time before the exit at which every open request gets its final response."""


class StopPhase(Enum):
    """What a process does with requests."""

    RUNNING = "running"
    ACCEPTING = "accepting"
    """Requests are served; responses end their connections."""
    REFUSING = "refusing"
    """Requests in flight are served, all others refused."""
    ENDING = "ending"
    """Requests in flight get their final response at once."""


@dataclass(frozen=True, slots=True)
class PlannedStop:
    """The times of a planned stop, clock readings in milliseconds."""

    signaled_ms: float
    refuses_from_ms: float
    ends_from_ms: float
    exits_ms: float

    def phase(self, now_ms: float) -> StopPhase:
        """Return the phase at a time from the signal on."""
        if now_ms >= self.ends_from_ms:
            return StopPhase.ENDING
        if now_ms >= self.refuses_from_ms:
            return StopPhase.REFUSING
        return StopPhase.ACCEPTING


def plan_stop(signaled_ms: float, limit_ms: float) -> PlannedStop:
    """Return the times of a stop that must end within `limit_ms`.

    >>> stop = plan_stop(0.0, 8_000.0)
    >>> stop.refuses_from_ms, stop.ends_from_ms, stop.exits_ms
    (3000.0, 7500.0, 7700.0)
    >>> stop.phase(3_000.0)
    <StopPhase.REFUSING: 'refusing'>
    """
    exits_ms = signaled_ms + max(0.0, limit_ms - EXIT_MARGIN_MS)
    ends_from_ms = max(signaled_ms, exits_ms - ENDING_MS)
    refuses_from_ms = min(signaled_ms + ACCEPT_MS, ends_from_ms)
    return PlannedStop(signaled_ms, refuses_from_ms, ends_from_ms, exits_ms)
