"""Log output to standard output: limited in rate, and never blocking."""

import os
from collections.abc import MutableMapping
from typing import Any

import structlog

from wigeonwind.clock import MS_PER_SECOND, Clock

MAX_PENDING_BYTES = 1_000_000
"""Buffer for a blocked standard output; further lines are dropped and counted."""

MAX_LINES_PER_S = 25.0
"""Rate limit per event and outcome; about 10 KB/s at 400 bytes a line, at any load."""

MAX_BURST_LINES = 100.0
"""Burst limit per event and outcome."""

DROP_REPORT_INTERVAL_MS = 1_000.0
"""Minimum interval between reports of suppressed lines."""


class NonBlockingOutput:
    r"""Writes lines to a file descriptor without blocking.

    >>> reader, writer = os.pipe()
    >>> NonBlockingOutput(writer).msg("a line")
    >>> os.read(reader, 100)
    b'a line\n'
    """

    def __init__(self, fileno: int) -> None:
        self._fileno = fileno
        self._pending = b""
        self.dropped_lines = 0
        os.set_blocking(fileno, False)

    def msg(self, line: str) -> None:
        """Write a line, or buffer it until the next call (called by structlog)."""
        data = line.encode(errors="replace") + b"\n"
        if len(self._pending) + len(data) > MAX_PENDING_BYTES:
            self.dropped_lines += 1
            data = b""
        self._pending += data
        try:
            while self._pending:
                written = os.write(self._fileno, self._pending)
                self._pending = self._pending[written:]
        except BlockingIOError:
            pass  # The pipe is full; the next line retries.
        except OSError:
            # The reader has closed the pipe; this cannot be reported anywhere else.
            self._pending = b""

    debug = info = warning = error = critical = msg


class EventRateLimiter:
    """Suppresses and counts lines of events above a rate limit (token bucket).

    Each pair of event and outcome has its own limit, so that many successes never hide
    a failure. Warnings and errors have twice the rate.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._bucket_by_key: dict[tuple[str, str], tuple[float, float]] = {}
        self._suppressed_by_event: dict[str, int] = {}
        self._last_report_ms = clock.now_ms()

    def __call__(
        self, logger: Any, method: str, event: MutableMapping[str, Any]
    ) -> MutableMapping[str, Any]:
        """Return the event, or drop it (a structlog processor)."""
        now_ms = self._clock.now_ms()
        name, outcome = str(event.get("event", "")), str(event.get("outcome", ""))
        rate = MAX_LINES_PER_S * (2.0 if method in ("warning", "error") else 1.0)
        tokens, updated_ms = self._bucket_by_key.get(
            (name, outcome), (MAX_BURST_LINES, now_ms)
        )
        elapsed_s = (now_ms - updated_ms) / MS_PER_SECOND
        tokens = min(MAX_BURST_LINES, tokens + elapsed_s * rate)
        is_kept = tokens >= 1.0
        self._bucket_by_key[name, outcome] = (tokens - is_kept, now_ms)
        if not is_kept:
            self._suppressed_by_event[name] = self._suppressed_by_event.get(name, 0) + 1
            raise structlog.DropEvent
        if (
            self._suppressed_by_event
            and now_ms - self._last_report_ms >= DROP_REPORT_INTERVAL_MS
        ):
            self._last_report_ms = now_ms
            event["left_out"] = dict(self._suppressed_by_event)
            self._suppressed_by_event.clear()
        return event
