"""The lagging load report of the engine model."""

from collections import deque

from wigeonwind.standins.engine_types import EngineLoad

SNAPSHOT_INTERVAL_MS = 20.0
"""Least time between two recorded states."""


class LoadHistory:
    """Recent states of an engine, of which readers get an old one."""

    def __init__(self, lag_ms: float) -> None:
        self.lag_ms = lag_ms
        self._loads: deque[EngineLoad] = deque()

    def is_due(self, now_ms: float) -> bool:
        """Return whether another state is to be recorded."""
        if not self._loads:
            return True
        return now_ms - self._loads[-1].measured_at_ms >= SNAPSHOT_INTERVAL_MS

    def record(self, load: EngineLoad, now_ms: float) -> None:
        """Add the present state and forget what no reader can get any more."""
        self._loads.append(load)
        self.read(now_ms)

    def read(self, now_ms: float) -> EngineLoad:
        """Return the newest recorded state that is at least `lag_ms` old."""
        visible_ms = now_ms - self.lag_ms
        while len(self._loads) > 1 and self._loads[1].measured_at_ms <= visible_ms:
            self._loads.popleft()
        return self._loads[0]
