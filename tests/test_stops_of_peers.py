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
    SETTLING_MS,
    PeerExchange,
)
from wigeonwind.routing.peer_messages import (
    MESSAGE_VERSION,
    LoadMessage,
    decode_load,
    encode_load,
)
from wigeonwind.routing.peer_stops import PeerStops
from wigeonwind.routing.planned_stop import plan_stop
from wigeonwind.routing.send_schedule import MAX_PEERS_PER_SEND, send_interval_ms
from wigeonwind.routing.stop_messages import (
    StopMessage,
    decode_stop,
    encode_stop,
    is_stop_message,
)
from wigeonwind.routing.store_watchers import StoreView
from wigeonwind.standins.platform_worker import EchoRequestId
from wigeonwind.state.store_types import StoreRevision

VIEW = StoreView("z", 1, StoreRevision(1, 2), True, False)


class RecordingSocket:
    """Keeps the datagrams that are sent, by the port that they are sent to."""

    def __init__(self):
        self.sent = []

    def sendto(self, data, address):
        self.sent.append((address[1], data))


def stopping_exchange(peers, stopping, version=MESSAGE_VERSION):
    """Return the exchange of a router that stops and its clock and socket.

    It knows peers p0, p1 and so on at ports from 1; the first `stopping` stop too.
    """
    clock = ManualClock()
    chooser = LatencyChooser("a", Random(1))
    exchange = PeerExchange("me", clock, Random(1), chooser, None, "routers/")
    exchange.stop()
    exchange._sock = RecordingSocket()
    for number in range(peers):
        message = LoadMessage(f"p{number}", 1, 1, {}, (), VIEW, version, True)
        exchange._on_message(message, SocketAddress("127.0.0.1", 1 + number))
    for number in range(stopping):
        stop = StopMessage(f"p{number}", 1, 0, 7_000, True)
        exchange.stops.on_message(stop, 0.0)
    plan = plan_stop(None, clock.now_ms(), 8_000.0)
    exchange.announce_stop(plan, lambda: plan.exits_ms)
    return exchange, clock


def running_exchange():
    """Return an exchange with a bound socket, and its clock."""
    clock = ManualClock()
    chooser = LatencyChooser("a", Random(1))
    exchange = PeerExchange("me", clock, Random(1), chooser, None, "routers/")
    exchange.start(SocketAddress("127.0.0.1", 0))
    return exchange, clock


def stop_messages_by_port(exchange):
    """Return and forget the stop messages that were sent, by port."""
    sent = exchange._sock.sent
    by_port = {port: decode_stop(data) for port, data in sent if is_stop_message(data)}
    sent.clear()
    return by_port


def listens(stops, now_ms):
    """Return whether the one router that stops still listens."""
    others = stops.others(0, -1.0, now_ms)
    return others.stops_later + others.leaves_first == 1


@pytest.mark.parametrize("peers", [48, 60, 100, 300])
def test_stop_messages_come_more_often_than_the_silence_limit(peers):
    # Guards against routers of a large fleet that take one another for gone.
    exchange, clock = stopping_exchange(peers, stopping=8)
    stops_by_port = {port: PeerStops() for port in range(1, peers + 1)}
    received_by_port = dict.fromkeys(stops_by_port, 0)
    for step in range(18):
        for port, message in stop_messages_by_port(exchange).items():
            stops_by_port[port].on_message(message, clock.now_ms())
            received_by_port[port] += 1
        clock.advance(send_interval_ms(peers))
        for port, stops in stops_by_port.items():
            assert listens(stops, clock.now_ms()), (step, port)
        exchange._send_once()
    assert min(received_by_port.values()) >= 2
    assert {received_by_port[port] for port in range(1, 9)} == {18}


@pytest.mark.parametrize("peers", [12, 48, 60, 100, 300])
def test_a_stopping_router_is_noticed_soon_after_it_has_gone(peers):
    # Guards against a limit of the silence that grows with the fleet, and against one
    # that a single lost message exceeds.
    exchange, clock = stopping_exchange(peers, stopping=8)
    message = stop_messages_by_port(exchange)[1]
    stops = PeerStops()
    stops.on_message(message, clock.now_ms())
    assert listens(stops, clock.now_ms() + 2.0 * send_interval_ms(peers))
    assert not listens(stops, clock.now_ms() + 900.0)


@pytest.mark.parametrize("stopping", [0, 8, 47, 48, 300])
def test_a_stop_sends_no_more_than_its_part_of_the_control_traffic(stopping):
    # Guards against the stops of a large fleet that exceed 8 KB/s per router.
    exchange, clock = stopping_exchange(300, stopping)
    exchange._sock.sent.clear()
    for _ in range(10):
        exchange._send_once()
        clock.advance(send_interval_ms(300))
    sizes = [len(data) for _, data in exchange._sock.sent if is_stop_message(data)]
    assert len(sizes) == 10 * MAX_PEERS_PER_SEND
    assert sum(sizes) / (clock.now_ms() / 1_000.0) < 8_192 / 1.5


@pytest.mark.parametrize("version", [2, 3])
def test_routers_of_earlier_versions_get_stops_that_they_understand(version):
    # Guards against a mixed fleet in which stops are not heard of.
    exchange, _ = stopping_exchange(2, 1, version)
    sent = [cbor2.loads(data) for _, data in exchange._sock.sent]
    stops = [each for each in sent if each[0] == "stops/1"]
    assert len(stops) == 2
    assert {len(each) for each in stops} == {6}
    assert "stops/2" not in {each[0] for each in sent}


def test_the_silence_limit_of_an_earlier_version_follows_from_the_fleet():
    # Guards against a router of an earlier version that is taken for gone between two
    # messages of its stop.
    exchange, clock = stopping_exchange(100, 0)
    stop = encode_stop(StopMessage("p1", 1, 0, 7_000, True))
    exchange._on_datagram(stop, SocketAddress("127.0.0.1", 2))
    mean_gap_ms = send_interval_ms(100) * 100 / MAX_PEERS_PER_SEND
    assert listens(exchange.stops, clock.now_ms() + 2.0 * mean_gap_ms)
    assert not listens(exchange.stops, clock.now_ms() + 6_000.0)


def test_an_exchange_that_stops_while_it_receives_raises_no_error():
    # Guards against a traceback at the end of each stop whose socket is closed before
    # the greenlet that reads it has ended.
    exchange, _ = running_exchange()
    receiver = gevent.spawn(exchange._receive)
    gevent.sleep(0.01)
    exchange.stop()
    receiver.join(timeout=1.0)
    assert receiver.ready() and receiver.exception is None


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
