"""Emptying an endpoint without harm: for a planned stop, or for a change of it."""

from collections.abc import Callable

from gevent import sleep
from gevent.event import Event

from wigeonwind.clock import MS_PER_SECOND, Clock
from wigeonwind.decisions.interfaces import Rejected
from wigeonwind.outcomes import ErrorCode
from wigeonwind.side.attempt_table import Attempt, AttemptTable

ABORT_WAIT_MS = 1_000.0
"""Time for broken-off attempts to report their end."""

ACCEPT_GRACE_MS = 200.0
"""Time in which work is still taken after entries were told to send none: many times
the latency between zones."""

POLL_INTERVAL_MS = 20.0
"""Longest time between two looks at the clock while work is finished."""


class AttemptDrainer:
    """Waits for the end of all work, and breaks off what does not end in time."""

    def __init__(
        self,
        clock: Clock,
        table: AttemptTable,
        return_to_entry: Callable[[Attempt, Rejected], bool],
        cancel: Callable[[Attempt, str, ErrorCode], None],
        limit_ms: float,
    ) -> None:
        self._clock = clock
        self._table = table
        self._return_to_entry = return_to_entry
        self._cancel = cancel
        self._limit_ms = limit_ms
        self._attempt_ended = Event()

    def on_ended(self) -> None:
        """Look at once whether anything is left."""
        self._attempt_ended.set()

    def return_queued(self, code: ErrorCode, reason: str) -> None:
        """Refuse what waits; its entries send it elsewhere."""
        for attempt in self._table.waiting():
            self._return_to_entry(attempt, Rejected(code.value, reason, 0.0))

    def finish(self, code: ErrorCode, reason: str) -> None:
        """Block until nothing is left; break off what is left after the limit."""
        self._wait(self._limit_ms)
        self.return_queued(code, reason)
        for attempt in self._table.started():
            self._cancel(attempt, reason, code)
        self._wait(ABORT_WAIT_MS)

    def _wait(self, limit_ms: float) -> None:
        started_ms = self._clock.now_ms()
        while len(self._table) and self._clock.now_ms() - started_ms < limit_ms:
            self._attempt_ended.clear()
            self._attempt_ended.wait(POLL_INTERVAL_MS / MS_PER_SECOND)


class EndpointQuiescer:
    """Keeps work away while the endpoint is changed, see `orders.Quiescer`.

    Waiting work is not handed back: it is finished here as it would have been. Entries
    are told at once, and what they sent before they could know is still taken.
    """

    def __init__(
        self, clock: Clock, drainer: AttemptDrainer, on_change: Callable[[], None]
    ) -> None:
        self._clock = clock
        self._drainer = drainer
        self._on_change = on_change
        self._started_ms: float | None = None

    @property
    def is_active(self) -> bool:
        """Return whether entries should send no new work."""
        return self._started_ms is not None

    @property
    def refuses_requests(self) -> bool:
        """Return whether new work is refused."""
        if self._started_ms is None:
            return False
        return self._clock.now_ms() - self._started_ms >= ACCEPT_GRACE_MS

    def begin(self) -> None:
        """Let no new work in and block until none is left."""
        self._started_ms = self._clock.now_ms()
        self._on_change()
        while not self.refuses_requests:
            sleep(POLL_INTERVAL_MS / MS_PER_SECOND)
        reason = "the endpoint is being changed"
        self._drainer.finish(ErrorCode.NO_ENDPOINT, reason)

    def end(self) -> None:
        """Let work in again."""
        self._started_ms = None
        self._on_change()
