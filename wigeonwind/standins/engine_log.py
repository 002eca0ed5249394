"""Log of started, paused and resumed requests of an engine, for checkers."""

from collections import deque
from dataclasses import dataclass
from time import time

from wigeonwind.clock import MS_PER_SECOND

MAX_RECORDS = 200_000
"""Records kept of each kind; older ones are discarded."""


@dataclass(frozen=True)
class ExecutionRecord:
    """A request and the wall-clock time at which it started, paused or resumed."""

    request_id: str
    at_ms: float


class ExecutionLog:
    """Records by kind; a crash of the engine keeps them, as only checkers read them."""

    def __init__(self) -> None:
        self.started: deque[ExecutionRecord] = deque(maxlen=MAX_RECORDS)
        self.paused: deque[ExecutionRecord] = deque(maxlen=MAX_RECORDS)
        self.resumed: deque[ExecutionRecord] = deque(maxlen=MAX_RECORDS)

    def record_started(self, request_id: str) -> None:
        """Record that the engine has accepted a request."""
        self.started.append(ExecutionRecord(request_id, time() * MS_PER_SECOND))

    def record_paused(self, request_id: str) -> None:
        """Record that the engine has paused a request."""
        self.paused.append(ExecutionRecord(request_id, time() * MS_PER_SECOND))

    def record_resumed(self, request_id: str) -> None:
        """Record that the engine has resumed a paused request."""
        self.resumed.append(ExecutionRecord(request_id, time() * MS_PER_SECOND))
