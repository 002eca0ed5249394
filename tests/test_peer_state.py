"""Configuration and endpoints from peers, where the store does not serve a process."""

from contextlib import contextmanager
from random import Random

import gevent
import pytest
from hypothesis import given
from hypothesis import strategies as st
from routing_fleet import ANY, RoutingFleet, configuration, entry

from wigeonwind.addresses import SocketAddress
from wigeonwind.clock import ManualClock, SystemClock
from wigeonwind.decisions.latency_choice import LatencyChooser
from wigeonwind.decisions.peer_loads import MAX_AGE_MS
from wigeonwind.outcomes import Ok
from wigeonwind.platform.__main__ import SCHEMA, STORE_LIMITS
from wigeonwind.platform.headers import PlatformHeaderCodec
from wigeonwind.platform.store_format import PlatformStoreFormat
from wigeonwind.routing.peer_exchange import PEER_EXPIRY_MS, PeerExchange
from wigeonwind.routing.peer_messages import LoadMessage
from wigeonwind.routing.peer_state import SharedState, decode_state, encode_state
from wigeonwind.routing.router import Router, RouterSettings
from wigeonwind.soak.loopback_proxy import Harm, LoopbackProxy
from wigeonwind.state.store_client import StoreClient
from wigeonwind.state.store_types import ObjectPage, StoredObject


def second_router(store_address, peers=ANY):
    clock, rng = SystemClock(), Random(2)
    format = PlatformStoreFormat()
    store = StoreClient(store_address, STORE_LIMITS, clock, rng, format=format)
    settings = RouterSettings("edge-2", "tartu-a", ANY, ANY, None, peers, 4_000.0)
    return Router(settings, clock, rng, PlatformHeaderCodec(), SCHEMA, store)


@contextmanager
def two_routers():
    """Yield a fleet, a second router in it, and the path of that one to the store."""
    fleet = RoutingFleet()
    proxy = LoopbackProxy(fleet.store.address)
    second = second_router(proxy.address)
    second.start()
    try:
        for peers in (fleet.router.peers, second.peers):
            fleet.wait_for(lambda peers=peers: peers.live_addresses())
        fleet.wait_for(lambda: second.is_ready)
        yield fleet, second, proxy
    finally:
        second.stop()
        proxy.stop()
        fleet.stop()


def test_a_process_that_the_store_turns_away_follows_its_peers():
    # Guards against a configuration and a drain that one process never learns of while
    # the store serves all others.
    with two_routers() as (fleet, second, proxy):
        proxy.harm = Harm.REFUSED
        proxy.reset_all()
        leaving, staying = fleet.workers
        draining = entry(leaving, state="draining")
        fleet.store.put("servers", leaving.name, draining)
        fleet.store.put("config", "main", configuration(8))
        fleet.wait_for(lambda: second.configuration.table.version == 8)
        fleet.wait_for(lambda: len(second.endpoints) == 1)
        instance_ids = [each.instance_id for each in second.endpoints.all()]
        assert instance_ids == [staying.name]


def test_an_endpoint_that_a_peer_saw_leave_is_gone():
    # Guards against work for an address that may belong to another service.
    with two_routers() as (fleet, second, proxy):
        proxy.harm = Harm.REFUSED
        proxy.reset_all()
        fleet.wait_for(lambda: not second.is_store_reachable)
        fleet.store.remove("servers", fleet.workers[0].name)
        fleet.wait_for(lambda: len(second.endpoints) == 1)


def test_a_fresh_process_starts_without_the_store():
    # Guards against a restart that cannot serve until an outage of the store is over.
    with two_routers() as (fleet, second, proxy):
        address = second.peers.address
        second.stop()
        gevent.sleep(0.05)  # gevent closes sockets that were waited on a turn later.
        proxy.harm = Harm.REFUSED
        restarted = second_router(proxy.address, address)
        restarted.start()
        try:
            fleet.wait_for(lambda: restarted.is_ready)
            assert restarted.configuration.table.version == 1
            assert len(restarted.endpoints) == 2
        finally:
            restarted.stop()


def test_an_older_view_of_a_peer_changes_nothing():
    # Guards against an endpoint that returns after it was seen to leave.
    with two_routers() as (fleet, second, _):
        stale = second.peer_state.local_state()
        fleet.store.remove("servers", fleet.workers[0].name)
        fleet.wait_for(lambda: len(second.endpoints) == 1)
        second.peer_state._apply(stale, ANY)
        assert len(second.endpoints) == 1


OBJECTS = st.builds(StoredObject, st.text(), st.integers(0, 2**63), st.binary())


@given(st.integers(0, 2**63), st.booleans(), st.none() | OBJECTS, st.lists(OBJECTS))
def test_a_state_survives_the_wire(revision, is_current, configuration, endpoints):
    # Guards against a configuration that is read as another one.
    state = SharedState(revision, is_current, configuration, tuple(endpoints))
    assert decode_state(encode_state(state)) == state


@given(st.binary(max_size=200))
def test_any_bytes_are_a_state_or_a_reason(data):
    # Guards against a stranger at a peer's address that stops the reading loop.
    assert isinstance(decode_state(data), (SharedState, str))


@pytest.mark.parametrize(("silent_ms", "count"), [(10.0, 1), (MAX_AGE_MS + 1.0, 2)])
def test_a_restart_after_the_time_of_day_jumped_back_is_heard(silent_ms, count):
    # Guards against a peer whose work is not counted until its clock has caught up.
    clock = ManualClock()
    taken = []
    chooser = LatencyChooser("a", Random(1))
    chooser.on_peer_load = lambda *_: taken.append(_)
    exchange = PeerExchange("me", clock, Random(1), chooser, None, "routers/")
    source = SocketAddress("127.0.0.1", 9)
    exchange._on_message(LoadMessage("other", 2_000_000, 7, {}, ()), source)
    clock.advance(silent_ms)
    exchange._on_message(LoadMessage("other", 1_000_000, 1, {}, ()), source)
    exchange.stop()
    assert len(taken) == count


class RecordStore:
    """A directory with the records of two processes; keeps what is deleted."""

    def __init__(self):
        self.deleted = []

    def list_objects(self, _):
        value = b'{"address":"127.0.0.1:9"}'
        instance_ids = ("me", "gone")
        found = tuple(
            StoredObject(f"routers/{name}", 5, value) for name in instance_ids
        )
        return Ok(ObjectPage(found, 9))

    def delete(self, key, if_version):
        self.deleted.append((key, if_version))
        return Ok(None)


def test_the_record_of_a_peer_that_is_gone_is_deleted():
    # Guards against a directory, and datagrams to dead addresses, that only grow.
    clock, store = ManualClock(), RecordStore()
    chooser = LatencyChooser("a", Random(1))
    exchange = PeerExchange("me", clock, Random(1), chooser, store, "routers/")
    exchange._read_directory()
    clock.advance(PEER_EXPIRY_MS - 1.0)
    exchange._read_directory()
    assert (exchange.peer_count(), store.deleted) == (1, [])
    clock.advance(2.0)
    exchange._read_directory()
    assert (exchange.peer_count(), store.deleted) == (0, [("routers/gone", 5)])
    exchange.stop()


def test_a_process_that_was_forgotten_registers_again():
    # Guards against a process that was cut off for a minute and is never found again.
    chooser, store = LatencyChooser("a", Random(1)), RecordStore()
    exchange = PeerExchange("me", ManualClock(), Random(1), chooser, store, "routers/")
    assert exchange._read_directory()
    other = PeerExchange("new", ManualClock(), Random(1), chooser, store, "routers/")
    assert not other._read_directory()
    exchange.stop()
    other.stop()
