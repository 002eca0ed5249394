"""Measurement of greenlets that hold up the event loop."""

import time

import gevent
import pytest
from structlog.testing import capture_logs

from wigeonwind.clock import SystemClock
from wigeonwind.runtime.fair_receive import give_way
from wigeonwind.runtime.loop_monitor import LoopMonitor, name_work


@pytest.fixture
def turns_ms():
    turns_ms = []
    monitor = LoopMonitor(SystemClock(), turns_ms.append)
    monitor.start()
    yield turns_ms
    monitor.stop()


def work_for(seconds):
    name_work("request r1 at w1")
    until = time.perf_counter() + seconds
    while time.perf_counter() < until:
        pass


def test_a_long_turn_is_recorded_and_logged_with_its_work(turns_ms):
    # Guards against a process that answers nothing for seconds, and nobody can tell
    # which request or endpoint held it up.
    with capture_logs() as lines:
        gevent.joinall([gevent.spawn(work_for, 0.15) for _ in range(3)])
    assert len([each for each in turns_ms if each >= 150.0]) == 3
    held = [line for line in lines if line["event"] == "event loop held up"]
    assert len(held) == 1, "at most one line a second"
    assert held[0]["work"] == "request r1 at w1" and held[0]["took_ms"] >= 150


def test_waiting_is_no_turn(turns_ms):
    # Guards against idle times in the distribution of turns.
    gevent.spawn(gevent.sleep, 0.1).join()
    assert not [each for each in turns_ms if each >= 90.0]


def test_give_way_lets_new_events_in_between_long_turns():
    # Guards against greenlets that are ready again at once and are run up to 50 times
    # before a timer or socket is looked at.
    late_ms = []

    def tick():
        for _ in range(5):
            began = time.perf_counter()
            gevent.sleep(0.005)
            late_ms.append((time.perf_counter() - began) * 1e3)

    def busy():
        for _ in range(30):
            work_for(0.01)
            give_way()

    ticking = gevent.spawn(tick)
    gevent.joinall([gevent.spawn(busy), ticking])
    assert max(late_ms) < 150.0
