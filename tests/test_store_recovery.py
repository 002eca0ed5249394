"""Tests of the store client's connection pool during and after an outage."""

from random import Random

import gevent
from gevent.event import Event

from wigeonwind.addresses import SocketAddress
from wigeonwind.clock import ManualClock
from wigeonwind.state.store_http import PoolLimits, StoreConnectionPool, StoreResponse
from wigeonwind.state.store_types import StoreFailure

LIMITS = PoolLimits(connections=8, calls_per_s=100, timeout_ms=2_000)


class SimulatedPool(StoreConnectionPool):
    """A pool whose store is up, down or silent; the clock advances only in waits."""

    def __init__(self):
        self.clock = ManualClock(0.0)
        self.is_up = True
        self.sent_ms = []
        self.exchange_gate = Event()
        self.exchange_gate.set()
        address = SocketAddress("127.0.0.1", 1)
        super().__init__(address, LIMITS, self.clock, Random(1), None, self.wait)

    def wait(self, delay_ms):
        self.clock.advance(delay_ms)
        gevent.sleep(0)

    def _exchange(self, method, path, body, headers, deadline_ms):
        self.sent_ms.append(self.clock.now_ms())
        self.exchange_gate.wait()
        self.clock.advance(1.0)
        if self.is_up:
            return StoreResponse(200, b"{}")
        return StoreFailure("store answered 503", maybe_written=True)


def put(pool):
    return pool.call("PUT", "/v1/objects/bookings/x")


def test_the_first_call_after_an_outage_gets_a_response():
    # Guards against a backoff longer than the timeout of a call: bookings were refused
    # for up to 10 s without a store call although the store had recovered.
    pool = SimulatedPool()
    pool.is_up = False
    while pool.clock.now_ms() < 60_000:
        assert isinstance(put(pool), StoreFailure)
    assert pool.counts.over_budget == 0
    pool.is_up = True
    recovered_ms = pool.clock.now_ms()
    assert isinstance(put(pool), StoreResponse)
    assert pool.clock.now_ms() - recovered_ms <= LIMITS.max_backoff_ms + 1.0
    assert len(pool.sent_ms) <= 150


def test_concurrent_failed_calls_count_as_one_failure():
    # Guards against counting eight bookings that fail together in one short fault as
    # eight failures, which caused the backoff of a long outage.
    pool = SimulatedPool()
    pool.exchange_gate.clear()
    pool.is_up = False
    calls = [gevent.spawn(put, pool) for _ in range(8)]
    gevent.sleep(0)
    pool.exchange_gate.set()
    gevent.joinall(calls)
    pool.is_up = True
    started_ms = pool.clock.now_ms()
    assert isinstance(put(pool), StoreResponse)
    assert pool.clock.now_ms() - started_ms <= 101.0


def test_one_call_probes_the_store_before_the_others_are_sent():
    # Guards against sending all waiting calls to a store that may still be down.
    pool = SimulatedPool()
    pool.is_up = False
    put(pool)
    pool.exchange_gate.clear()
    calls = [gevent.spawn(put, pool) for _ in range(6)]
    gevent.sleep(0.01)
    assert len(pool.sent_ms) == 2
    pool.is_up = True
    pool.exchange_gate.set()
    gevent.joinall(calls)
    assert all(isinstance(call.value, StoreResponse) for call in calls)
