"""Datagrams about planned stops between routers."""

import gevent
from routing_fleet import running_fleet

from wigeonwind.routing.peer_messages import decode_load
from wigeonwind.routing.planned_stop import plan_stop
from wigeonwind.routing.stop_messages import StopMessage, encode_stop


def send(fleet, message):
    """Send a datagram to the first router from the socket of the second one."""
    first, second = fleet.routers
    address = first.peers.address
    second.peers._sock.sendto(encode_stop(message), (address.host, address.port))
    gevent.sleep(0.05)


def test_a_stop_is_known_to_the_peers_at_once_and_after_a_loss():
    # Guards against routers that count on one that stops, also if a datagram is lost.
    with running_fleet(routers=2) as fleet:
        first, second = fleet.routers
        second.peers._peer_by_id["edge-1"].started_ms = -1e9
        now_ms = second._clock.now_ms()
        view = plan_stop(None, now_ms, 8_000.0)
        assert second.peers.others(view).ready == 1
        plan = plan_stop(None, first._clock.now_ms(), 8_000.0)
        first.peers._local_stop = None
        first.peers.announce_stop(plan, lambda: plan.exits_ms)
        fleet.wait_for(lambda: second.peers.stops.is_stopping("edge-1"))
        assert second.peers.others(view).ready == 0
        second.peers.stops.on_incarnation("edge-1", -1)
        fleet.wait_for(lambda: second.peers.stops.is_stopping("edge-1"))


def test_foreign_stop_messages_change_nothing():
    # Guards against stops that an unknown process, or an earlier start, announces.
    with running_fleet(routers=2) as fleet:
        first, second = fleet.routers
        incarnation = second.peers._incarnation
        send(fleet, StopMessage("edge-9", incarnation, 0, 5_000, True))
        send(fleet, StopMessage("edge-2", incarnation - 1, 0, 5_000, True))
        assert not first.peers.stops.is_stopping("edge-9")
        assert not first.peers.stops.is_stopping("edge-2")
        send(fleet, StopMessage("edge-2", incarnation, 0, 5_000, True))
        assert first.peers.stops.is_stopping("edge-2")


def test_an_earlier_version_ignores_stop_messages():
    # Guards against a mixed fleet in which a stop disturbs routers of older versions.
    data = encode_stop(StopMessage("edge-1", 1, 0, 5_000, True))
    assert isinstance(decode_load(data), str)
