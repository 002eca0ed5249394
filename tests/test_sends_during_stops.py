"""Sends during planned stops: the time left when a request is sent, not just taken."""

import math
import time
from types import SimpleNamespace

import gevent
import pytest
from routing_fleet import RoutingFleet, configuration, read_reply, request_bytes, route
from test_requests_during_stops import (
    SLOW_ROUTES,
    STOP_LIMIT_MS,
    is_refused,
    stopping_fleet,
)
from test_stop_admission_requests import (
    LONG,
    answer_requests,
    sleep_until,
    stop_router,
)

from wigeonwind.clock import ManualClock
from wigeonwind.decisions.quarantine import NeedsTrial
from wigeonwind.decisions.stop_admission import OtherRouters, StopDecision, StopReason
from wigeonwind.routing.planned_stop import plan_stop
from wigeonwind.routing.send_window import SendWindow
from wigeonwind.standins.platform_worker import (
    EchoRequestId,
    EventStream,
    NotExecuted,
)

SAFE_ROUTE = route("safe", "/safe/", "safe", timeout_ms=20_000, slo_ms=3_000)
PROMPT = (*LONG, "Token-Usage: 20000,50", "Prefix-Hash: 1:20000")


@pytest.mark.parametrize("sent_at_ms", [-100.0, 1_500.0])
def test_a_request_is_not_sent_so_late_that_it_is_cut(sent_at_ms):
    # Guards against a stream that waits for capacity until shortly before the end of a
    # stop, is sent then, and is cut, though it could be refused as not run.
    config = configuration(routes=SLOW_ROUTES)
    with stopping_fleet(EventStream(count=20, gap_ms=100.0), config) as stopping:
        fleet = stopping.fleet
        has_capacity = [False]
        fleet.router._chooser.has_capacity = lambda *_: has_capacity[0]
        with fleet.connect() as sock:
            if sent_at_ms < 0:
                sock.sendall(request_bytes("/stream/x", "POST", b"b", PROMPT, "a1"))
                gevent.sleep(-sent_at_ms / 1_000.0)
            stopping.stop()
            if sent_at_ms > 0:
                stopping.wait_until(sent_at_ms)
                sock.sendall(request_bytes("/stream/x", "POST", b"b", PROMPT, "a1"))
            stopping.wait_until(STOP_LIMIT_MS - 800.0)
            has_capacity[0] = True
            reply = read_reply(sock)
        assert is_refused(reply)


def test_a_request_is_not_sent_again_so_late_that_it_is_cut():
    # Guards against a stream that one worker refuses shortly before the end of a stop,
    # and that is sent to another one and cut, though it could be refused as not run.
    config = configuration(routes=SLOW_ROUTES)
    fleet = RoutingFleet(2, EventStream(count=20, gap_ms=100.0), config)
    fleet.router.stop_limit_ms = STOP_LIMIT_MS
    try:
        for worker in fleet.workers:
            respond = worker._respond
            worker._respond = lambda sock, request, behaviour, respond=respond: (
                late_refusal(sock, request, behaviour, respond)
            )
        refused = []

        def late_refusal(sock, request, behaviour, respond):
            if not refused and request.method == b"POST":
                refused.append(request)
                gevent.sleep(max(0.0, signaled_s + 3.1 - time.monotonic()))
                return respond(sock, request, NotExecuted())
            return respond(sock, request, behaviour)

        with gevent.Timeout(8.0), fleet.connect() as sock:
            signaled_s = stop_router(fleet.router)
            sleep_until(signaled_s, 0.5)
            sock.sendall(request_bytes("/stream/x", "POST", b"b", LONG, "a1"))
            reply = read_reply(sock)
        assert refused
        assert is_refused(reply)
    finally:
        fleet.stop()


def test_a_wait_ends_when_its_request_can_no_longer_end_in_time():
    # Guards against a caller who is held until the end of a stop and refused only then.
    config = configuration(routes=SLOW_ROUTES)
    with stopping_fleet(EchoRequestId(), config) as stopping:
        stopping.fleet.router._chooser.has_capacity = lambda *_: False
        stopping.stop()
        with stopping.fleet.connect() as sock:
            sock.sendall(request_bytes("/once/x", "POST", b"b", PROMPT, "a1"))
            reply = read_reply(sock)
        took_ms = (time.monotonic() - stopping.signaled_s) * 1_000.0
        assert is_refused(reply)
        assert not stopping.executed_ids()
        assert took_ms < 3_100.0


def test_a_wait_for_a_trial_ends_when_its_request_can_no_longer_end_in_time():
    # Guards against a request that waits for the trial of a suspect part and is then
    # sent without one as its time is over, or held until the end of the wait.
    config = configuration(routes=SLOW_ROUTES)
    with stopping_fleet(EchoRequestId(), config) as stopping:
        quarantine = stopping.fleet.router.quarantine
        quarantine._quarantine.verdict = lambda keys, _: NeedsTrial(keys)
        quarantine._try_to_start_trial = lambda *_: None
        stopping.stop()
        with stopping.fleet.connect() as sock:
            sock.sendall(request_bytes("/once/x", "POST", b"b", PROMPT, "a1"))
            reply = read_reply(sock)
        took_ms = (time.monotonic() - stopping.signaled_s) * 1_000.0
        assert is_refused(reply)
        assert b"draining" in reply.body
        assert not stopping.executed_ids()
        assert took_ms < 2_900.0


def test_a_short_call_that_waited_in_a_stop_is_sent():
    # Guards against a call that is refused after its wait, though it takes some ms.
    config = configuration(routes=SLOW_ROUTES)
    with stopping_fleet(EchoRequestId(), config) as stopping:
        fleet = stopping.fleet
        # After the wait there is time for the call and for a silence of its endpoint.
        fleet.router.stop_limit_ms = 5_000.0
        answer_requests(fleet, "/once/x")
        has_capacity = [False]
        fleet.router._chooser.has_capacity = lambda *_: has_capacity[0]
        stopping.stop()
        with fleet.connect() as sock:
            stopping.wait_until(1_500.0)
            sock.sendall(request_bytes("/once/x", "POST", b"b", PROMPT, "a1"))
            stopping.wait_until(2_700.0)
            has_capacity[0] = True
            reply = read_reply(sock)
        assert reply.status == 200


def test_a_request_that_may_have_run_is_not_refused_as_not_run():
    # Guards against a 503 for a repeatable request that one worker began and lost.
    config = configuration(routes=SLOW_ROUTES + [SAFE_ROUTE])
    fleet = RoutingFleet(2, EchoRequestId(), config)
    fleet.router.stop_limit_ms = STOP_LIMIT_MS
    lost = []

    def lose_first(sock, request, behaviour, respond):
        if not lost and request.method == b"POST":
            lost.append(request)
            gevent.sleep(max(0.0, signaled_s + 3.1 - time.monotonic()))
            sock.close()
            return False
        return respond(sock, request, behaviour)

    try:
        for worker in fleet.workers:
            respond = worker._respond
            worker._respond = lambda sock, request, behaviour, respond=respond: (
                lose_first(sock, request, behaviour, respond)
            )
        with gevent.Timeout(8.0), fleet.connect() as sock:
            signaled_s = stop_router(fleet.router)
            sleep_until(signaled_s, 0.5)
            sock.sendall(request_bytes("/safe/x", "POST", b"b", LONG, "a1"))
            reply = read_reply(sock)
        assert lost
        print(reply.status, reply.headers)
        assert reply.status == 200
    finally:
        fleet.stop()


class StopRequestsStub:
    """Takes a request if a number of milliseconds is left."""

    def __init__(self, clock, needed_ms):
        self.clock, self.needed_ms, self.calls = clock, needed_ms, []

    def decide(self, routed, stop, others):
        left_ms = stop.ends_from_ms - self.clock.now_ms()
        self.calls.append((stop.leaves_from_ms, others))
        is_taken = self.needed_ms <= left_ms
        return StopDecision(
            is_taken, StopReason.LIKELY, self.needed_ms, self.needed_ms, left_ms
        )


def window_at(clock, stop, needed_ms, deadline_ms):
    routed = SimpleNamespace(
        metadata=SimpleNamespace(request_id="a1"), route=SimpleNamespace(name="once")
    )
    stub = StopRequestsStub(clock, needed_ms)
    started_ms = clock.now_ms()
    return stub, SendWindow(clock, stub, lambda: stop, routed, started_ms, deadline_ms)


def test_a_request_that_is_sent_at_once_keeps_the_decision_of_its_arrival():
    # Guards against a request that is taken on arrival and refused some ms later.
    clock = ManualClock(1_000.0)
    stop = plan_stop(None, 0.0, 2_500.0)
    _, window = window_at(clock, stop, 1_000.0, 20_000.0)
    clock.advance(100.0)
    assert window.check() and window.check_in_wait()
    clock.advance(1.0)
    assert not window.check_in_wait() and window.is_over


def test_a_request_is_not_refused_for_a_stop_that_outlasts_its_deadline():
    # Guards against a refusal of a request that the stop can't cut, or of any request
    # while no stop runs.
    clock = ManualClock(1_000.0)
    for stop, deadline_ms in (
        (plan_stop(None, 0.0, 2_500.0), 2_000.0),
        (None, 20_000.0),
    ):
        stub, window = window_at(clock, stop, 30_000.0, deadline_ms)
        clock.advance(500.0)
        assert window.check() and window.check_in_wait()
        assert not stub.calls


def test_a_request_that_was_taken_is_not_refused_as_the_process_leaves():
    # Guards against a request that was taken and is refused, with time left, as the
    # process has stopped listening since or as other processes have become ready.
    clock = ManualClock(1_000.0)
    stop = plan_stop(None, 0.0, 8_000.0)
    stop.leaves_from_ms = 1_100.0
    stub, window = window_at(clock, stop, 1_000.0, 20_000.0)
    clock.advance(600.0)
    assert window.check()
    assert stub.calls == [(math.inf, OtherRouters())]
    assert stop.leaves_from_ms == 1_100.0
