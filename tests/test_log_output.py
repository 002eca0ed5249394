"""Log output: limited in rate, and never blocking."""

import os

import pytest
import structlog

from wigeonwind.clock import ManualClock
from wigeonwind.runtime.log_output import (
    MAX_BURST_LINES,
    MAX_LINES_PER_S,
    MAX_PENDING_BYTES,
    EventRateLimiter,
    NonBlockingOutput,
)


def count_kept(limiter, count, **event):
    """Return how many of `count` equal events are not suppressed."""
    passed = 0
    for _ in range(count):
        try:
            limiter(None, "info", dict(event))
            passed += 1
        except structlog.DropEvent:
            continue
    return passed


def test_the_volume_is_bounded():
    # Guards against a log volume that grows with the load.
    clock = ManualClock()
    limiter = EventRateLimiter(clock)
    assert (
        count_kept(limiter, 1000, event="request ended", outcome="ok")
        == MAX_BURST_LINES
    )
    clock.advance(1000.0)
    assert (
        count_kept(limiter, 1000, event="request ended", outcome="ok")
        == MAX_LINES_PER_S
    )


def test_successes_never_hide_failures():
    # Guards against suppressing a rare failure because of frequent successes.
    limiter = EventRateLimiter(ManualClock())
    count_kept(limiter, 1000, event="request ended", outcome="delivered")
    assert count_kept(limiter, 5, event="request ended", outcome="broken") == 5


def test_suppressed_lines_are_reported():
    # Guards against taking suppressed lines for events that did not happen.
    clock = ManualClock()
    limiter = EventRateLimiter(clock)
    count_kept(limiter, int(MAX_BURST_LINES) + 7, event="a")
    clock.advance(2000.0)
    assert limiter(None, "info", {"event": "b"})["left_out"] == {"a": 7}
    assert "left_out" not in limiter(None, "info", {"event": "b"})


def test_a_blocked_reader_does_not_block_the_process():
    # Guards against a process that hangs because its log is not read.
    reader, writer = os.pipe()
    output = NonBlockingOutput(writer)
    line = "x" * 10_000
    for _ in range(300):
        output.msg(line)
    assert output.dropped_lines > 0
    assert len(output._pending) <= MAX_PENDING_BYTES
    first = os.read(reader, 10_001)
    assert first.decode() == line + "\n"
    os.close(reader)
    output.msg("to nobody")
    os.close(writer)


def test_lines_keep_their_order_after_a_stall():
    # Guards against truncated lines after the reader has caught up.
    reader, writer = os.pipe()
    output = NonBlockingOutput(writer)
    for number in range(60):
        output.msg(f"{number:05d}" + "y" * 5_000)
    os.set_blocking(reader, False)
    data = b""
    for _ in range(200):
        try:
            data += os.read(reader, 65536)
        except BlockingIOError:
            output.msg("more")
            if b"more" in data:
                break
    numbers = [int(line[:5]) for line in data.split(b"\n") if line[:5].isdigit()]
    assert numbers == list(range(60))
    os.close(reader)
    os.close(writer)


@pytest.mark.parametrize("method", ["warning", "error"])
def test_warnings_have_a_higher_rate(method):
    # Guards against suppressing warnings at the rate that applies to information.
    clock = ManualClock()
    limiter = EventRateLimiter(clock)
    for _ in range(int(MAX_BURST_LINES)):
        limiter(None, method, {"event": "a"})
    clock.advance(1000.0)
    for _ in range(int(2 * MAX_LINES_PER_S)):
        limiter(None, method, {"event": "a"})
    with pytest.raises(structlog.DropEvent):
        limiter(None, method, {"event": "a"})
