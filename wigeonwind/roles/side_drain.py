"""Graceful shutdown of a sidecar: hand back what waits, finish what runs."""

from collections.abc import Callable

from gevent.event import Event

from wigeonwind.clock import MS_PER_SECOND, Clock
from wigeonwind.decisions.interfaces import Rejected
from wigeonwind.outcomes import ErrorCode
from wigeonwind.roles.work_table import Attempt, WorkTable

BREAK_OFF_MS = 1_000.0
"""Time for broken-off attempts to report their end."""

POLL_MS = 20.0
"""Longest time between two looks at the clock while work is finished."""


class SideDrain:
    """One planned stop."""

    def __init__(
        self,
        clock: Clock,
        table: WorkTable,
        give_back: Callable[[Attempt, Rejected], bool],
        cancel: Callable[[Attempt, str, ErrorCode], None],
        limit_ms: float,
    ) -> None:
        self._clock = clock
        self._table = table
        self._give_back = give_back
        self._cancel = cancel
        self._limit_ms = limit_ms
        self._changed = Event()

    def on_ended(self) -> None:
        """Look at once whether anything still runs."""
        self._changed.set()

    def run(self) -> None:
        """Block until nothing waits or runs, at most for the limit."""
        began_ms = self._clock.now_ms()
        self._hand_back()
        while len(self._table) and self._clock.now_ms() - began_ms < self._limit_ms:
            self._changed.clear()
            self._changed.wait(POLL_MS / MS_PER_SECOND)
        self._break_off()

    def _hand_back(self) -> None:
        reason = "the endpoint is leaving"
        rejected = Rejected(ErrorCode.DRAINING.value, reason, 0.0)
        for attempt in self._table.waiting():
            self._give_back(attempt, rejected)

    def _break_off(self) -> None:
        """Stop what did not end in time; its entries are told by the runner."""
        reason = "the endpoint left before the answer was whole"
        for attempt in self._table.started():
            self._cancel(attempt, reason, ErrorCode.DRAINING)
        began_ms = self._clock.now_ms()
        while len(self._table) and self._clock.now_ms() - began_ms < BREAK_OFF_MS:
            self._changed.clear()
            self._changed.wait(POLL_MS / MS_PER_SECOND)
