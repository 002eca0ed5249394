"""Estimates of durations in planned stops: groups, failures, and what is unknown."""

import math
from dataclasses import replace
from types import SimpleNamespace

import gevent
import pytest
from routing_fleet import configuration, entry, request_bytes
from test_stop_admission_requests import (
    LONG,
    ROUTES,
    answer_requests,
    fleet_with,
    sleep_until,
    stop_router,
)

from wigeonwind.clock import ManualClock
from wigeonwind.decisions.response_times import ResponseTimes
from wigeonwind.decisions.stop_admission import (
    OtherRouters,
    StopSituation,
    decide_in_stop,
    estimate_duration,
)
from wigeonwind.routing.header_codec import RequestMetadata
from wigeonwind.routing.planned_stop import plan_stop
from wigeonwind.routing.routed_request import RoutedRequest
from wigeonwind.routing.routes import HttpRoute, Repetition, ServiceShare
from wigeonwind.routing.send_outcomes import Delivered
from wigeonwind.routing.stop_requests import ESTIMATE_AGE_MS, StopRequests
from wigeonwind.standins.platform_worker import (
    EchoRequestId,
    EventStream,
    FullResponse,
    PlatformWorker,
)


def test_a_route_that_moved_is_not_judged_by_its_former_service():
    # Guards against a stream that is taken because the service to which its route led
    # before was quick.
    with fleet_with(EventStream(count=2, gap_ms=10.0), 4_000.0) as fleet:
        for _ in range(3):
            answer_requests(fleet, "/stream/x")
        slow = PlatformWorker("w9", EventStream(count=30, gap_ms=100.0))
        fleet.workers.append(slow)
        fleet.store.put("servers", "w9", entry(slow, backend="slow"))
        routes = [dict(each, backend="slow") for each in ROUTES]
        backends = [
            {"name": "desk", "max_conns": 100},
            {"name": "slow", "max_conns": 100},
        ]
        fleet.store.put(
            "config", "main", configuration(2, routes=routes, backends=backends)
        )
        fleet.wait_for(lambda: fleet.router.configuration.table.version == 2)
        fleet.wait_for(lambda: len(fleet.router.endpoints) == 2)
        with fleet.connect() as sock:
            sock.sendall(request_bytes("/safe/x", "POST", b"b", LONG, "open"))
            gevent.sleep(0.1)
            signaled_s = stop_router(fleet.router)
            sleep_until(signaled_s, 2.35)
            reply = fleet.call("/stream/x", "POST", b"b", LONG, "late")
        print(reply.status, reply.is_whole)
        assert (reply.status, reply.is_whole) == (503, True)


class StopTrial:
    """Requests of a route with given services in a stop that ends after 7.5 s."""

    def __init__(self, *services, is_stream=False):
        self.clock = ManualClock()
        self.running = []
        self.requests = StopRequests(self.clock, self.running)
        shares = tuple(ServiceShare(each, 1.0) for each in services)
        self.route = HttpRoute(
            "r", "h", "/", Repetition.ONCE, is_stream, shares, 0, 20_000.0, 1_000.0
        )

    def exchange(self, service, ran_ms, tokens=0):
        metadata = RequestMetadata("a", "h", (), expected_output_tokens=tokens)
        return SimpleNamespace(
            route=self.route,
            service=service,
            metadata=metadata,
            started_ms=self.clock.now_ms() - ran_ms,
            sends=1,
            may_have_run=True,
        )

    def answer(self, service, durations_ms, tokens=0):
        for took_ms in durations_ms:
            exchange = self.exchange(service, took_ms, tokens)
            self.requests.on_outcome(exchange, Delivered(200))

    def decide(self, since_signal_ms, tokens=0):
        metadata = RequestMetadata("a", "h", (), expected_output_tokens=tokens)
        routed = RoutedRequest(None, metadata, self.route, None, 1)
        stop = plan_stop(None, self.clock.now_ms() - since_signal_ms, 8_000.0)
        return self.requests.decide(routed, stop, OtherRouters())


@pytest.mark.parametrize("status", [400, 500])
def test_failures_do_not_count_as_durations(status):
    # Guards against quick failures of workers that pass for durations of streams.
    with fleet_with(FullResponse(status=status), 4_000.0) as fleet:
        for number in range(70):
            reply = fleet.call("/stream/x", "POST", b"b", LONG, f"c{number}")
            assert reply.status == status
        fleet.workers[0].default = EventStream(count=30, gap_ms=100.0)
        with fleet.connect() as sock:
            sock.sendall(request_bytes("/safe/x", "POST", b"b", LONG, "open"))
            gevent.sleep(0.1)
            signaled_s = stop_router(fleet.router)
            sleep_until(signaled_s, 2.4)
            reply = fleet.call("/stream/x", "POST", b"b", LONG, "late")
        print(reply.status, reply.is_whole)
        assert (reply.status, reply.is_whole) == (503, True)


def test_long_requests_are_not_judged_by_short_ones_of_their_route():
    # Guards against a stream of an expected length that has not been seen, and that is
    # taken as long as the short ones of its route.
    short, long = ("Length-Hint: 8",), ("Length-Hint: 4000",)
    with fleet_with(EventStream(count=2, gap_ms=10.0), 4_000.0) as fleet:
        for number in range(70):
            fleet.call("/stream/x", "POST", b"b", LONG + short, f"c{number}")
        fleet.workers[0].default = EventStream(count=30, gap_ms=100.0)
        with fleet.connect() as sock:
            sock.sendall(request_bytes("/safe/x", "POST", b"b", LONG, "open"))
            signaled_s = stop_router(fleet.router)
            sleep_until(signaled_s, 2.35)
            reply = fleet.call("/stream/x", "POST", b"b", LONG + long, "late")
        print(reply.status, reply.is_whole)
        assert (reply.status, reply.is_whole) == (503, True)


def test_longer_requests_count_if_there_are_too_few_of_the_same_length():
    # Guards against short calls that are turned away late in a stop because their
    # length is rare, though those that are expected to take longer are known to end.
    longer = ("Length-Hint: 4000",)
    with fleet_with(EchoRequestId(delay_ms=10.0), 5_000.0) as fleet:
        for number in range(30):
            fleet.call("/once/x", "POST", b"b", LONG + longer, f"c{number}")
        fleet.workers[0].default = EchoRequestId(delay_ms=4_000.0)
        with fleet.connect() as sock:
            sock.sendall(request_bytes("/safe/x", "POST", b"b", LONG, "open"))
            gevent.sleep(0.1)
            fleet.workers[0].default = EchoRequestId(delay_ms=10.0)
            signaled_s = stop_router(fleet.router)
            sleep_until(signaled_s, 2.6)
            shorter = (*LONG, "Length-Hint: 100")
            reply = fleet.call("/once/x", "POST", b"b", shorter, "late")
        assert reply.status == 200


def test_a_long_group_with_few_whole_durations_is_not_unknown():
    # Guards against requests that are taken as unknown although all that run have been
    # running for longer than is left.
    times = ResponseTimes()
    for _ in range(8):
        times.add("r", 0.0, 100.0)
    likely_ms = times.quantile_ms("r", 0.75, 0.0, [6_000.0] * 30)
    estimate = estimate_duration(None, likely_ms, 20_000.0)
    situation = StopSituation(2_200.0, 5_300.0, None, OtherRouters())
    decision = decide_in_stop(situation, estimate, likely_ms is not None)
    assert not decision.is_taken


@pytest.mark.parametrize("whole", [0, 3])
def test_requests_that_run_for_long_show_that_a_group_is_long(whole):
    # Guards against a fresh process that takes requests as unknown although those that
    # run have been running for longer than is left, and against one that takes requests
    # for long because many have just begun.
    times = ResponseTimes()
    for _ in range(whole):
        times.add("r", 0.0, 100.0)
    running = [6_000.0] * 30
    assert times.quantile_ms("r", 0.75, 0.0, running, long_ms=5_300.0) == math.inf
    for running in ([50.0] * 30, [6_000.0] * 4, [50.0] * 30 + [6_000.0] * 5):
        assert times.quantile_ms("r", 0.75, 0.0, running, long_ms=5_300.0) is None


@pytest.mark.parametrize("services", [("quick", "long"), ("long", "new", "quick")])
def test_the_slowest_service_of_a_route_counts(services):
    # Guards against requests that are taken because one of the services of their route
    # is quick or unknown, though another one needs longer than is left.
    trial = StopTrial(*services)
    trial.answer("quick", [10.0] * 30)
    trial.answer("long", [10.0] * 30)
    assert trial.decide(500.0).is_taken
    trial.running.extend(trial.exchange("long", 9_000.0) for _ in range(60))
    trial.clock.advance(1_000.0)
    assert not trial.decide(500.0).is_taken


def test_long_requests_do_not_show_that_shorter_ones_are_long():
    # Guards against requests of a rare length that are turned away early in a stop,
    # when callers reach no other process, because longer ones do not end in time.
    trial = StopTrial("desk")
    trial.answer("desk", [9_000.0] * 30, tokens=4_000)
    assert trial.decide(500.0, tokens=100).is_taken
    assert not trial.decide(500.0, tokens=4_000).is_taken
    assert not trial.decide(2_400.0, tokens=100).is_taken


def test_late_streams_are_judged_by_their_limit_alone():
    # Guards against streams that are cut because their durations have a heavy tail, or
    # their endpoint is silent, after the time in which an uncertain one may be taken.
    trial = StopTrial("desk", is_stream=True)
    trial.answer("desk", [100.0] * 128)
    assert trial.decide(2_200.0).is_taken
    decision = trial.decide(2_400.0)
    assert (decision.is_taken, decision.estimate_ms) == (False, 20_000.0)
    trial.route = replace(trial.route, timeout_ms=4_000.0)
    assert trial.decide(3_400.0).is_taken
    assert not trial.decide(3_600.0).is_taken


def test_late_calls_are_judged_by_those_before_and_a_silence():
    # Guards against short calls that are turned away late in a stop because the rule
    # for streams is applied to them, and against calls that are cut because their
    # endpoint is silent for a second.
    trial = StopTrial("desk")
    trial.answer("desk", [10.0] * 24)
    assert trial.decide(5_750.0).is_taken
    assert not trial.decide(5_850.0).is_taken


class CountedReads(list):
    """Requests in flight; `reads` counts how many were read."""

    reads = 0

    def __iter__(self):
        for each in super().__iter__():
            self.reads += 1
            yield each


def test_decisions_do_not_each_read_all_requests_in_flight():
    # Guards against a stopping process that is busy with decisions when many requests
    # are in flight, and against estimates that stay as they are.
    trial = StopTrial("desk", "spare")
    trial.running = CountedReads(trial.exchange("desk", 10.0) for _ in range(1_000))
    trial.requests = StopRequests(trial.clock, trial.running)
    for service in ("desk", "spare"):
        trial.answer(service, [10.0] * 30)
    for number in range(100):
        assert trial.decide(500.0, tokens=2 ** (number % 16)).is_taken
    assert trial.running.reads == 1_000
    trial.clock.advance(ESTIMATE_AGE_MS)
    trial.decide(500.0)
    assert trial.running.reads == 2_000
    trial.clock.advance(9_000.0)
    assert not trial.decide(500.0).is_taken
