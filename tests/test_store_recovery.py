"""How one lane of the store client behaves in an outage and after it."""

from random import Random

import gevent
from gevent.event import Event

from wigeonwind.addresses import SocketAddress
from wigeonwind.clock import ManualClock
from wigeonwind.state.store_http import PoolLimits, Reply, StoreConnectionPool
from wigeonwind.state.store_types import StoreFailure

LIMITS = PoolLimits(connections=8, calls_per_s=100, timeout_ms=2_000)


class Lane(StoreConnectionPool):
    """A lane whose store is up, down or silent; time passes only when it waits."""

    def __init__(self):
        self.clock = ManualClock(0.0)
        self.is_up = True
        self.sent_ms = []
        self.gate = Event()
        self.gate.set()
        address = SocketAddress("127.0.0.1", 1)
        super().__init__(address, LIMITS, self.clock, Random(1), None, self.wait)

    def wait(self, delay_ms):
        self.clock.advance(delay_ms)
        gevent.sleep(0)

    def _exchange(self, method, path, body, headers, deadline_ms):
        self.sent_ms.append(self.clock.now_ms())
        self.gate.wait()
        self.clock.advance(1.0)
        if self.is_up:
            return Reply(200, b"{}")
        return StoreFailure("store answered 503", maybe_written=True)


def put(lane):
    return lane.call("PUT", "/v1/objects/bookings/x")


def test_the_first_call_after_an_outage_is_answered():
    # Guards against a backoff longer than a call may wait: it refused bookings for up
    # to 10 s without asking a store that was back.
    lane = Lane()
    lane.is_up = False
    while lane.clock.now_ms() < 60_000:
        assert isinstance(put(lane), StoreFailure)
    assert lane.counts.over_budget == 0
    lane.is_up = True
    back_ms = lane.clock.now_ms()
    assert isinstance(put(lane), Reply)
    assert lane.clock.now_ms() - back_ms <= LIMITS.max_backoff_ms + 1.0
    assert len(lane.sent_ms) <= 150


def test_calls_that_fail_together_count_as_one_failure():
    # Guards against eight bookings under way in one short fault that cause the
    # backoff of a long outage.
    lane = Lane()
    lane.gate.clear()
    lane.is_up = False
    jobs = [gevent.spawn(put, lane) for _ in range(8)]
    gevent.sleep(0)
    lane.gate.set()
    gevent.joinall(jobs)
    lane.is_up = True
    began_ms = lane.clock.now_ms()
    assert isinstance(put(lane), Reply)
    assert lane.clock.now_ms() - began_ms <= 101.0


def test_one_call_asks_whether_the_store_is_back_and_the_others_follow():
    lane = Lane()
    lane.is_up = False
    put(lane)
    lane.gate.clear()
    jobs = [gevent.spawn(put, lane) for _ in range(6)]
    gevent.sleep(0.01)
    assert len(lane.sent_ms) == 2
    lane.is_up = True
    lane.gate.set()
    gevent.joinall(jobs)
    assert all(isinstance(job.value, Reply) for job in jobs)
