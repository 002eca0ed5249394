"""Drains an endpoint for a planned stop or for a change of its model or role."""

from collections.abc import Callable

from gevent import sleep
from gevent.event import Event

from wigeonwind.clock import MS_PER_SECOND, Clock
from wigeonwind.decisions.interfaces import Rejected
from wigeonwind.outcomes import ErrorCode
from wigeonwind.side.attempt_table import Attempt, AttemptTable

ABORT_WAIT_MS = 1_000.0
"""Time for cancelled attempts to end."""

ACCEPT_GRACE_MS = 200.0
"""Time for which attempts are still accepted after the entries were asked to send none:
many times the latency between zones."""

POLL_INTERVAL_MS = 20.0
"""Interval at which time limits are checked while attempts end."""


class AttemptDrainer:
    """Waits for all attempts to end and cancels those that do not end in time."""

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
        """Wake the greenlet that waits for the attempts to end."""
        self._attempt_ended.set()

    def return_queued(self, code: ErrorCode, reason: str) -> None:
        """Refuse all queued attempts; their entries send them to other endpoints."""
        for attempt in self._table.queued():
            self._return_to_entry(attempt, Rejected(code.value, reason, 0.0))

    def finish(self, code: ErrorCode, reason: str, elapsed_ms: float = 0.0) -> None:
        """Block until all attempts have ended.

        After the time limit, of which `elapsed_ms` have passed, queued attempts are
        refused and running ones cancelled, with `code` and `reason`.
        """
        self._wait(self._limit_ms - elapsed_ms)
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
    """Keeps attempts away from the endpoint while it changes its model or role.

    Implements `control_commands.Quiescer`. Queued attempts are finished here, not
    returned to their entries. The entries are notified at once; attempts that they sent
    before the notification reached them are still accepted.
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
        """Return whether entries should send no new attempts."""
        return self._started_ms is not None

    @property
    def refuses_requests(self) -> bool:
        """Return whether new attempts are refused."""
        if self._started_ms is None:
            return False
        return self._clock.now_ms() - self._started_ms >= ACCEPT_GRACE_MS

    def begin(self) -> None:
        """Stop accepting attempts and block until all have ended."""
        self._started_ms = self._clock.now_ms()
        self._on_change()
        while not self.refuses_requests:
            sleep(POLL_INTERVAL_MS / MS_PER_SECOND)
        reason = "the endpoint is changing its model or role"
        self._drainer.finish(ErrorCode.NO_ENDPOINT, reason)

    def end(self) -> None:
        """Accept attempts again."""
        self._started_ms = None
        self._on_change()
