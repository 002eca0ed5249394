"""Load reports of the engine model, which lag behind its current load."""

from collections import deque

from wigeonwind.standins.engine_types import EngineLoad

SNAPSHOT_INTERVAL_MS = 20.0
"""Minimum time between two recorded loads."""


class LoadHistory:
    """Recent loads of an engine; readers get the newest one older than the lag."""

    def __init__(self, lag_ms: float) -> None:
        self.lag_ms = lag_ms
        self._loads: deque[EngineLoad] = deque()

    def is_due(self, now_ms: float) -> bool:
        """Return whether the minimum time since the last recorded load has passed."""
        if not self._loads:
            return True
        return now_ms - self._loads[-1].measured_at_ms >= SNAPSHOT_INTERVAL_MS

    def record(self, load: EngineLoad, now_ms: float) -> None:
        """Add the current load and discard loads that no reader can get any more."""
        self._loads.append(load)
        self.read(now_ms)

    def read(self, now_ms: float) -> EngineLoad:
        """Return the newest recorded load that is at least `lag_ms` old.

        If none is that old, return the oldest one. Loads older than the returned one
        are discarded.
        """
        visible_ms = now_ms - self.lag_ms
        while len(self._loads) > 1 and self._loads[1].measured_at_ms <= visible_ms:
            self._loads.popleft()
        return self._loads[0]
