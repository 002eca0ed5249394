"""Where log lines go: standard output, bounded in volume, never blocking."""

import os
from collections.abc import MutableMapping
from typing import Any

import structlog

from wigeonwind.clock import MS_PER_SECOND, Clock

MAX_PENDING_BYTES = 1_000_000
"""Lines kept while standard output takes none; further ones are dropped and counted."""

LINES_PER_S = 25.0
"""Lines of one event and outcome a second that are written: with some 400 bytes a line
10 KB/s, whatever the load."""

BURST_LINES = 100.0
"""Lines of one event and outcome that may be written at once."""

REPORT_MS = 1_000.0
"""Interval between the lines that tell what was left out."""


class NonBlockingOutput:
    r"""Writes lines to a file descriptor that may be slow to take them.

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
        """Write a line, or keep it for the next call (called by structlog)."""
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
            pass  # The reader is behind; the next line tries again.
        except OSError:
            # Nobody reads any more; there is no other place to tell it.
            self._pending = b""

    debug = info = warning = error = critical = msg


class EventRateLimiter:
    """Leaves out lines of events that come too often, and counts them.

    Each pair of event and outcome has its own rate, so that many successes never hide a
    failure. Warnings and errors have twice the rate.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._budget_by_key: dict[tuple[str, str], tuple[float, float]] = {}
        self._left_out_by_event: dict[str, int] = {}
        self._reported_ms = clock.now_ms()

    def __call__(
        self, logger: Any, method: str, event: MutableMapping[str, Any]
    ) -> MutableMapping[str, Any]:
        """Pass a line on or drop it (a processor of structlog)."""
        now_ms = self._clock.now_ms()
        name, outcome = str(event.get("event", "")), str(event.get("outcome", ""))
        rate = LINES_PER_S * (2.0 if method in ("warning", "error") else 1.0)
        tokens, since_ms = self._budget_by_key.get(
            (name, outcome), (BURST_LINES, now_ms)
        )
        elapsed_s = (now_ms - since_ms) / MS_PER_SECOND
        tokens = min(BURST_LINES, tokens + elapsed_s * rate)
        is_kept = tokens >= 1.0
        self._budget_by_key[name, outcome] = (tokens - is_kept, now_ms)
        if not is_kept:
            self._left_out_by_event[name] = self._left_out_by_event.get(name, 0) + 1
            raise structlog.DropEvent
        if self._left_out_by_event and now_ms - self._reported_ms >= REPORT_MS:
            self._reported_ms = now_ms
            event["left_out"] = dict(self._left_out_by_event)
            self._left_out_by_event.clear()
        return event
