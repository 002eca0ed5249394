"""Ends of planned stops: connections, errors, hold-ups and other processes."""

from dataclasses import replace

import gevent
import pytest
from routing_fleet import configuration, read_reply, request_bytes
from test_requests_during_stops import SLOW_ROUTES, STOP_LIMIT_MS, stopping_fleet
from test_stop_admission_requests import (
    LONG,
    answer_requests,
    fleet_with,
    sleep_until,
    stop_router,
)

from wigeonwind.clock import SystemClock
from wigeonwind.decisions.stop_admission import (
    DurationEstimate,
    StopSituation,
    decide_in_stop,
)
from wigeonwind.routing.peer_stops import PeerStops
from wigeonwind.routing.stop_messages import StopMessage
from wigeonwind.runtime.stop_signal import StopSignal
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


@pytest.mark.parametrize("step", ["announce_stop", "repeat_stop"])
def test_a_stop_that_meets_an_error_ends_the_process(step):
    # Guards against a process that ignores all further stop signals and never ends.
    with stopping_fleet(EchoRequestId()) as stopping:

        def fail(*_):
            raise RuntimeError("a fault")

        setattr(stopping.fleet.router.peers, step, fail)
        stopping.stop()
        assert stopping.wait_until_stopped() < STOP_LIMIT_MS


def test_work_goes_on_after_a_pause_that_is_longer_than_the_stop():
    # Guards against requests that are cut at once, as the signal may have come at the
    # begin of a pause, though the whole time of the stop may be left.
    config = configuration(routes=SLOW_ROUTES)
    with stopping_fleet(EchoRequestId(delay_ms=500.0), config) as stopping:
        with stopping.fleet.connect() as sock:
            sock.sendall(request_bytes("/once/x", "POST", b"b", LONG, "a1"))
            gevent.sleep(0.1)
            stop_signal = StopSignal(SystemClock(), stopping.fleet.router.drain)
            stop_signal._ran_ms -= 10_000.0
            stop_signal._timer = gevent.get_hub().loop.timer(1.0, ref=False)
            stop_signal._handle(0, None)
            reply = read_reply(sock)
        assert reply.status == 200


def test_a_slow_body_does_not_keep_a_process_that_no_longer_listens():
    # Guards against a successor that is delayed until the end of a stop by one caller
    # who sends its body slowly.
    with fleet_with(EchoRequestId(delay_ms=10.0), 8_000.0, routers=2) as fleet:
        data = request_bytes("/once/x", "POST", b"0123456789abcdef", LONG, "slow")
        with fleet.connect() as sock:
            sock.sendall(data[:-14])
            gevent.sleep(0.1)
            signaled_s = stop_router(fleet.router)
            for step in range(10):
                sleep_until(signaled_s, 0.6 * (step + 1))
                if fleet.router.stopped.is_set():
                    break
                sock.sendall(data[step - 14 : step - 13])
            assert fleet.router.stopped.is_set()


def test_peers_that_cannot_serve_callers_do_not_count_as_ready():
    # Guards against a process that leaves, or refuses long requests, because a peer
    # without a configuration counts as ready.
    with fleet_with(EchoRequestId(), 8_000.0, routers=2) as fleet:
        gevent.sleep(1.2)
        stopping, unconfigured = fleet.routers
        view = replace(unconfigured._store_view(), configuration_version=0)
        unconfigured.peers._local_view = lambda: view
        gevent.sleep(0.3)
        stop_router(stopping)
        assert stopping.peers.others(stopping._stopping.plan).ready == 0


@pytest.mark.parametrize("delay_ms", [0.6, 1.0, 5.0])
def test_of_routers_that_stop_at_the_same_time_one_takes_long_work(delay_ms):
    # Guards against callers who are sent from one stopping process to the other, each
    # of which takes the other one for the one that stops later.
    decisions = []
    for local_id, peer_id in (("r1", "r2"), ("r2", "r1")):
        stops = PeerStops(local_id)
        for step in range(1, 31):
            since_ms = round(step * 100.3)
            message = StopMessage(peer_id, 1, since_ms, 4_000, True)
            stops.on_message(message, step * 100.3 + delay_ms)
        others = stops.others(0, 0.0, 3_010.0)
        situation = StopSituation(3_010.0, 4_490.0, None, others)
        estimate = DurationEstimate(2_000.0, 2_000.0, 1_200.0)
        decisions.append(decide_in_stop(situation, estimate, True))
    print(decisions)
    assert any(each.is_taken for each in decisions)


def test_a_caller_who_is_sent_to_a_router_that_listens_comes_back_at_once():
    # Guards against a Retry-After of several seconds while another router, which stops
    # later, takes requests at once.
    with fleet_with(EchoRequestId(delay_ms=1_100.0), 8_000.0, routers=2) as fleet:
        first, second = fleet.routers
        answer_requests(fleet, "/once/x", first)
        answer_requests(fleet, "/once/x", second)
        fleet.workers[0].default = EchoRequestId(delay_ms=6_500.0)
        socks = []
        for number, router in enumerate(fleet.routers):
            sock = fleet.connect(router)
            sock.sendall(request_bytes("/safe/x", "POST", b"b", LONG, f"o{number}"))
            socks.append(sock)
        gevent.sleep(0.1)
        fleet.workers[0].default = EchoRequestId(delay_ms=1_100.0)
        signaled_s = stop_router(first)
        sleep_until(signaled_s, 1.0)
        stop_router(second)
        sleep_until(signaled_s, 3.0)
        reply = fleet.call("/once/x", "POST", b"b", LONG, "a", first)
        other = fleet.call("/once/x", "POST", b"b", LONG, "b", second)
        for sock in socks:
            sock.close()
        assert (reply.status, other.status) == (503, 200)
        assert float(reply.headers["retry-after"]) < 1.0
