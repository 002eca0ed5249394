"""The lease has one holder at a time, even with lost responses and paused processes."""

import gevent

from wigeonwind.catalog import Catalog
from wigeonwind.clock import ManualClock
from wigeonwind.outcomes import Ok
from wigeonwind.runtime.rollout_controller import RolloutController
from wigeonwind.state.lease import LEASE_KEY, LEASE_MS, TAKEOVER_MS, Lease
from wigeonwind.state.rollouts import RolloutTimings
from wigeonwind.state.store_types import Conflict, NotFound, StoredObject, StoreFailure


class OneObjectStore:
    """A store of one object; each injected write fault applies to the next write."""

    def __init__(self):
        self.object: StoredObject | None = None
        self.down = False
        self.lose_next_response = False
        self.time_out_next_write = False

    def get(self, key):
        if self.down:
            return StoreFailure("outage", maybe_written=False)
        return Ok(self.object) if self.object else NotFound(key)

    def put(self, key, value, if_version):
        if self.down:
            return StoreFailure("outage", maybe_written=False)
        if self.time_out_next_write:
            self.time_out_next_write = False
            return StoreFailure("timeout", maybe_written=True)
        present = self.object.version if self.object else 0
        if present != if_version:
            return Conflict(key, present)
        self.object = StoredObject(key, present + 1, value)
        if self.lose_next_response:
            self.lose_next_response = False
            return StoreFailure("response lost", maybe_written=True)
        return Ok(present + 1)

    def delete(self, key, if_version):
        raise NotImplementedError

    def watch(self, prefix, after, timeout_ms):
        raise NotImplementedError


def make_pair():
    store, clock = OneObjectStore(), ManualClock()
    return store, clock, Lease(store, "a", clock), Lease(store, "b", clock)


def test_a_challenger_waits_longer_than_the_lease():
    _, clock, first, second = make_pair()
    assert first.step() == 1
    assert second.step() is None
    clock.advance(LEASE_MS)
    assert second.step() is None
    clock.advance(TAKEOVER_MS - LEASE_MS + 1)
    assert second.step() == 2
    assert first.fence() is None


def test_a_renewed_lease_is_not_taken_over():
    _, clock, first, second = make_pair()
    for _ in range(20):
        assert first.step() == 1
        assert second.step() is None
        clock.advance(LEASE_MS / 3)


def test_a_paused_holder_detects_that_its_lease_expired():
    _, clock, first, second = make_pair()
    first.step()
    second.step()
    clock.advance(TAKEOVER_MS + 1)
    assert first.fence() is None
    second.step()
    assert first.step() is None
    assert second.fence() == 2


def test_a_lost_response_is_resolved_by_reading_back():
    store, clock, first, second = make_pair()
    store.lose_next_response = True
    assert first.step() is None
    clock.advance(1000.0)
    assert first.step() == 1
    # The lease counts from the write whose response was lost, not from the read.
    clock.advance(LEASE_MS - 1000.0)
    assert first.fence() is None


def test_an_outage_ends_the_lease_in_time():
    store, clock, first, _ = make_pair()
    first.step()
    store.down = True
    clock.advance(LEASE_MS / 3)
    assert first.step() == 1
    clock.advance(LEASE_MS)
    assert first.step() is None
    store.down = False
    assert first.step() == 1


def test_a_released_lease_is_taken_at_once_with_a_higher_token():
    store, _, first, second = make_pair()
    first.step()
    first.release()
    assert first.fence() is None
    assert second.step() == 2


def test_a_restarted_holder_does_not_inherit_the_lease():
    # A new process with the same holder id must get a new fencing token.
    store, clock, first, _ = make_pair()
    first.step()
    restarted = Lease(store, "a", clock)
    assert restarted.step() is None
    clock.advance(TAKEOVER_MS + 1)
    assert restarted.step() == 2
    assert store.object.key == LEASE_KEY


def test_a_renewal_that_never_took_effect_extends_nothing():
    # A challenger measures from the version it reads, which such a renewal leaves
    # unchanged.
    store, clock, first, second = make_pair()
    first.step()
    second.step()
    clock.advance(LEASE_MS - 1000.0)
    store.time_out_next_write = True
    first.step()
    clock.advance(900.0)
    store.down = True
    first.step()
    store.down = False
    clock.advance(101.0)
    assert first.fence() is None
    clock.advance(TAKEOVER_MS - LEASE_MS)
    assert second.step() == 2
    assert first.step() is None


def test_only_a_candidate_reads_the_store_for_the_lease():
    # If all 390 entries tried, they would cost the store 78 reads a second.
    class CountingStore(OneObjectStore):
        reads = 0

        def get(self, key):
            self.reads += 1
            return super().get(key)

    def keep_lease_for_10_ms(is_candidate):
        store, clock = CountingStore(), ManualClock()
        lease = Lease(store, "e1", clock)
        controller = RolloutController(
            store,
            lease,
            clock,
            lambda: Catalog(0),
            lambda service: iter(()),
            lambda record: None,
            RolloutTimings(poll_interval_ms=1.0),
            lambda: is_candidate,
        )
        loop = gevent.spawn(controller.keep_lease)
        gevent.sleep(0.01)
        loop.kill()
        return store.reads, controller.holds_lease

    assert keep_lease_for_10_ms(False) == (0, False)
    reads, holds = keep_lease_for_10_ms(True)
    assert reads > 0 and holds
