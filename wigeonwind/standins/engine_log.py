"""What an engine began, paused and resumed, for checkers, by wall-clock time."""

from collections import deque
from dataclasses import dataclass
from time import time

from wigeonwind.clock import MS_PER_SECOND

MAX_ROWS = 200_000
"""Rows of each kind; older ones are forgotten."""


@dataclass(frozen=True)
class EngineLogRow:
    """A request and when the engine began, paused or resumed it."""

    request_id: str
    at_ms: float


class EngineLog:
    """Survives a crash of the engine, since only checkers read it."""

    def __init__(self) -> None:
        self.begun: deque[EngineLogRow] = deque(maxlen=MAX_ROWS)
        self.paused: deque[EngineLogRow] = deque(maxlen=MAX_ROWS)
        self.resumed: deque[EngineLogRow] = deque(maxlen=MAX_ROWS)

    def on_begun(self, request_id: str) -> None:
        """Record that the engine has accepted a request."""
        self.begun.append(EngineLogRow(request_id, time() * MS_PER_SECOND))

    def on_paused(self, request_id: str) -> None:
        """Record that the engine has paused a request."""
        self.paused.append(EngineLogRow(request_id, time() * MS_PER_SECOND))

    def on_resumed(self, request_id: str) -> None:
        """Record that the engine goes on with a paused request."""
        self.resumed.append(EngineLogRow(request_id, time() * MS_PER_SECOND))
