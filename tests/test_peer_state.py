"""Configuration and endpoints from peers, for a process that cannot reach the store."""

from contextlib import contextmanager
from dataclasses import replace
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
from wigeonwind.soak.loopback_proxy import LoopbackProxy, ProxyFault
from wigeonwind.state.store_client import StoreClient
from wigeonwind.state.store_types import (
    UNKNOWN_ERA,
    ObjectPage,
    StoredObject,
    StoreRevision,
)


def second_router(store_address, peers=ANY):
    clock, rng = SystemClock(), Random(2)
    format = PlatformStoreFormat()
    store = StoreClient(store_address, STORE_LIMITS, clock, rng, format=format)
    settings = RouterSettings("edge-2", "tartu-a", ANY, ANY, None, peers, 4_000.0)
    return Router(settings, clock, rng, PlatformHeaderCodec(), SCHEMA, store)


@contextmanager
def two_routers():
    """Yield a fleet, a second router, and the proxy between this one and the store."""
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


def test_process_refused_by_the_store_follows_its_peers():
    # Guards against a process that misses a configuration or a drain while the store
    # refuses only its connections.
    with two_routers() as (fleet, second, proxy):
        proxy.fault = ProxyFault.REFUSED
        proxy.reset_all()
        leaving_worker, remaining_worker = fleet.workers
        draining = entry(leaving_worker, state="draining")
        fleet.store.put("servers", leaving_worker.name, draining)
        fleet.store.put("config", "main", configuration(8))
        fleet.wait_for(lambda: second.configuration.table.version == 8)
        fleet.wait_for(lambda: len(second.endpoints) == 1)
        instance_ids = [each.instance_id for each in second.endpoints.all()]
        assert instance_ids == [remaining_worker.name]


def test_endpoint_removed_at_a_peer_is_not_used():
    # Guards against requests to an address that may belong to another service by now.
    with two_routers() as (fleet, second, proxy):
        proxy.fault = ProxyFault.REFUSED
        proxy.reset_all()
        fleet.wait_for(lambda: not second.is_store_reachable)
        fleet.store.remove("servers", fleet.workers[0].name)
        fleet.wait_for(lambda: len(second.endpoints) == 1)


def test_process_starts_without_the_store():
    # Guards against a restarted process that cannot serve until an outage of the store
    # ends.
    with two_routers() as (fleet, second, proxy):
        address = second.peers.address
        second.stop()
        gevent.sleep(0.05)  # gevent closes a socket with waiters in a later iteration.
        proxy.fault = ProxyFault.REFUSED
        restarted = second_router(proxy.address, address)
        restarted.start()
        try:
            fleet.wait_for(lambda: restarted.is_ready)
            assert restarted.configuration.table.version == 1
            assert len(restarted.endpoints) == 2
        finally:
            restarted.stop()


def test_older_state_of_a_peer_is_ignored():
    # Guards against adding an endpoint again after its removal.
    with two_routers() as (fleet, second, _):
        stale = second.peer_state.local_state()
        fleet.store.remove("servers", fleet.workers[0].name)
        fleet.wait_for(lambda: len(second.endpoints) == 1)
        second.peer_state._apply(stale, ANY)
        assert len(second.endpoints) == 1


STORED_OBJECTS = st.builds(StoredObject, st.text(), st.integers(0, 2**63), st.binary())


@given(
    st.builds(StoreRevision, st.integers(-1, 2**63), st.integers(0, 2**63)),
    st.booleans(),
    st.none() | STORED_OBJECTS,
    st.lists(STORED_OBJECTS),
)
def test_state_round_trip(revision, is_current, configuration, endpoints):
    # Guards against decoding another state than was encoded.
    state = SharedState(revision, is_current, configuration, tuple(endpoints))
    assert decode_state(encode_state(state)) == state
    earlier = replace(state, revision=StoreRevision(UNKNOWN_ERA, revision.number))
    assert decode_state(encode_state(state, version=1)) == earlier


@given(st.binary(max_size=200))
def test_any_bytes_are_decoded_or_rejected(data):
    # Guards against an invalid response at a peer's address that ends the polling loop.
    assert isinstance(decode_state(data), (SharedState, str))


@pytest.mark.parametrize(("silent_ms", "count"), [(10.0, 1), (MAX_AGE_MS + 1.0, 2)])
def test_peer_restart_after_the_clock_was_set_back(silent_ms, count):
    # Guards against ignoring the load of a peer until its clock has caught up.
    clock = ManualClock()
    received_loads = []
    chooser = LatencyChooser("a", Random(1))
    chooser.on_peer_load = lambda *load: received_loads.append(load)
    exchange = PeerExchange("me", clock, Random(1), chooser, None, "routers/")
    source = SocketAddress("127.0.0.1", 9)
    exchange._on_message(LoadMessage("other", 2_000_000, 7, {}, ()), source)
    clock.advance(silent_ms)
    exchange._on_message(LoadMessage("other", 1_000_000, 1, {}, ()), source)
    exchange.stop()
    assert len(received_loads) == count


class RecordStore:
    """A directory with the records of two processes; records the deletions."""

    def __init__(self):
        self.deleted = []
        self.process_ids = ("me", "gone")

    def list_objects(self, _):
        value = b'{"address":"127.0.0.1:9"}'
        found = tuple(
            StoredObject(f"routers/{process_id}", 5, value)
            for process_id in self.process_ids
        )
        return Ok(ObjectPage(found, 9))

    def delete(self, key, if_version):
        self.deleted.append((key, if_version))
        return Ok(None)


def test_record_of_a_silent_peer_is_deleted():
    # Guards against a directory that only grows, and against datagrams to dead
    # addresses.
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


def test_a_silent_peer_is_removed_although_another_process_deleted_its_record():
    # Guards against peers that stay in memory for ever, each with datagrams to its
    # dead address: only a record that is still listed led to the removal.
    clock, store = ManualClock(), RecordStore()
    chooser = LatencyChooser("a", Random(1))
    exchange = PeerExchange("me", clock, Random(1), chooser, store, "routers/")
    exchange._read_directory()
    assert exchange.peer_count() == 1
    clock.advance(PEER_EXPIRY_MS - 1.0)
    store.process_ids = ("me",)
    exchange._read_directory()
    assert exchange.peer_count() == 1
    clock.advance(2.0)
    exchange._read_directory()
    assert (exchange.peer_count(), store.deleted) == (0, [])
    exchange.stop()


def test_process_without_a_record_registers_again():
    # Guards against a process that was cut off for a minute and is not found again,
    # because its peers have deleted its record.
    chooser, store = LatencyChooser("a", Random(1)), RecordStore()
    exchange = PeerExchange("me", ManualClock(), Random(1), chooser, store, "routers/")
    assert exchange._read_directory()
    other = PeerExchange("new", ManualClock(), Random(1), chooser, store, "routers/")
    assert not other._read_directory()
    exchange.stop()
    other.stop()
