"""Ends of planned stops: connections, errors, hold-ups and other processes."""

from routing_fleet import read_reply, request_bytes
from test_requests_during_stops import stopping_fleet
from test_stop_admission_requests import (
    LONG,
    answer_requests,
)

from wigeonwind.standins.platform_worker import EchoRequestId


def test_a_request_that_comes_while_the_listener_closes_is_answered():
    # Guards against a process that ends before it serves the connections which it
    # accepted while it closed the listener.
    with stopping_fleet(EchoRequestId()) as stopping:
        fleet = stopping.fleet
        answer_requests(fleet, "/once/x")
        repeat_stop, socks = fleet.router.peers.repeat_stop, []

        def connect_then_repeat():
            repeat_stop()
            if fleet.router._stopping.phase.value == "leaving":
                sock = fleet.connect()
                sock.sendall(request_bytes("/once/x", "POST", b"b", LONG, "late"))
                socks.append(sock)

        fleet.router.peers.repeat_stop = connect_then_repeat
        stopping.stop()
        fleet.router.stopped.wait()
        registered = len(fleet.router._connections)
        reply = read_reply(socks[0])
        assert reply.is_whole
        assert not registered
