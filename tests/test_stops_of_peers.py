"""Messages about planned stops: large fleets and routers of earlier versions."""

from random import Random

import cbor2
import gevent
import pytest
from test_stop_admission_requests import fleet_with, stop_router

from wigeonwind.addresses import SocketAddress
from wigeonwind.clock import ManualClock
from wigeonwind.decisions.latency_choice import LatencyChooser
from wigeonwind.routing.peer_exchange import (
    BASE_INTERVAL_PEERS,
    MAX_PEERS_PER_SEND,
    SEND_INTERVAL_MS,
    SETTLING_MS,
    PeerExchange,
)
from wigeonwind.routing.peer_messages import LoadMessage, decode_load, encode_load
from wigeonwind.routing.peer_stops import SILENCE_MS
from wigeonwind.routing.planned_stop import plan_stop
from wigeonwind.routing.store_watchers import StoreView
from wigeonwind.standins.platform_worker import EchoRequestId
from wigeonwind.state.store_types import StoreRevision

VIEW = StoreView("z", 1, StoreRevision(1, 2), True, False)


@pytest.mark.parametrize("peers", [48, 60, 100, 300])
def test_stop_messages_come_more_often_than_the_silence_limit(peers):
    # Guards against routers of a large fleet that take one another for gone.
    interval_ms = SEND_INTERVAL_MS * max(
        1.0, min(peers, MAX_PEERS_PER_SEND) / BASE_INTERVAL_PEERS
    )
    mean_gap_ms = interval_ms * max(1.0, peers / MAX_PEERS_PER_SEND)
    assert mean_gap_ms < SILENCE_MS


def test_a_stopping_peer_of_an_earlier_version_does_not_count_as_ready():
    # Guards against a process that leaves, or refuses long requests, because a peer
    # that stops without a message counts as ready.
    with fleet_with(EchoRequestId(), 8_000.0, routers=2) as fleet:
        gevent.sleep(1.2)
        stopping, of_earlier_version = fleet.routers
        of_earlier_version.peers.announce_stop = lambda *_: None
        stop_router(of_earlier_version)
        stop_router(stopping)
        gevent.sleep(0.5)
        assert not of_earlier_version.is_ready
        assert stopping.peers.others(stopping._stopping.plan).ready == 0


@pytest.mark.parametrize(("version", "fields"), [(2, 7), (3, 7), (4, 8)])
def test_load_messages_of_each_version_have_their_fields(version, fields):
    # Guards against routers of two versions that ignore each other's load messages.
    message = LoadMessage("edge-1", 1, 1, {}, (), VIEW, version, True)
    data = encode_load(message)
    assert len(cbor2.loads(data)) == fields
    decoded = decode_load(data)
    assert decoded.version == version
    assert decoded.is_ready is (True if version == 4 else None)


@pytest.mark.parametrize(
    ("version", "is_ready", "ready"),
    [(4, True, 1), (4, False, 0), (3, True, 0), (2, True, 0)],
)
def test_only_peers_that_say_so_count_as_ready(version, is_ready, ready):
    # Guards against a process that leaves because a peer counts as ready whose messages
    # do not say so.
    clock = ManualClock()
    chooser = LatencyChooser("a", Random(1))
    exchange = PeerExchange("me", clock, Random(1), chooser, None, "routers/")
    source = SocketAddress("127.0.0.1", 9)
    for sequence, at_ms in enumerate((0.0, SETTLING_MS + 1.0), start=1):
        clock.advance(at_ms)
        message = LoadMessage("peer", 1, sequence, {}, (), VIEW, version, is_ready)
        exchange._on_message(decode_load(encode_load(message)), source)
    plan = plan_stop(None, clock.now_ms(), 8_000.0)
    assert exchange.others(plan).ready == ready
    exchange.stop()
