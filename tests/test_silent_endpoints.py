"""Sound endpoints that are silent for a while, in the middle of a request."""

import gevent
import pytest
from routing_fleet import configuration, entry, route, running_fleet

from wigeonwind.decisions.interfaces import GiveUp
from wigeonwind.standins.platform_worker import EventStream, FullResponse, RawBytes


def runs(fleet):
    """Return how often workers have run a request."""
    return sum(len(worker.executions) for worker in fleet.workers)


def use_up_retry_budget(fleet):
    policy = fleet.router._context.retry_policy_of("desk")
    now_ms = fleet.router._clock.now_ms()
    for _ in range(100):
        if isinstance(policy.decide(0, True, True, None, now_ms), GiveUp):
            return
    raise AssertionError("the budget has no end")


@pytest.mark.parametrize("how", ["draining", "removed"])
@pytest.mark.parametrize(
    ("path", "response"),
    [
        ("/resume/x", EventStream(count=3, gap_ms=250.0)),
        ("/safe/x", FullResponse(delay_ms=400.0)),
    ],
)
def test_a_request_in_flight_at_a_leaving_endpoint_is_not_repeated(path, response, how):
    # Guards against requests that are taken for silent, and sent once more, as soon as
    # their endpoint is no longer offered to new ones.
    with running_fleet(2, response) as fleet:
        call = gevent.spawn(fleet.call, path, "POST", b"x")
        fleet.wait_for(lambda: runs(fleet) == 1)
        (worker,) = [each for each in fleet.workers if each.executions]
        if how == "draining":
            leaving = entry(worker, state="draining", seq=2)
            fleet.store.put("servers", worker.name, leaving)
        else:
            fleet.store.remove("servers", worker.name)
        reply = call.get()
        assert runs(fleet) == 1
    assert reply.status == 200 and reply.is_whole


def test_a_stream_that_has_begun_is_not_given_up_after_a_second_of_silence():
    # Guards against streams of sound endpoints that are resumed, or cut, for a pause.
    head = (
        b"HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nWorker-Signature: s\r\n"
        b"Content-Type: text/event-stream\r\nContent-Length: 30\r\n\r\n"
    )
    parts = (head + b"id: 1\ndata: 1\n\n", b"id: 2\ndata: 2\n\n")
    with running_fleet(2, RawBytes(parts, gap_ms=1_200.0)) as fleet:
        reply = fleet.call("/resume/x", "POST", b"x", ("Deadline-Ms: 6000",))
        assert runs(fleet) == 1
    assert reply.status == 200 and reply.is_whole


@pytest.mark.parametrize(
    ("path", "response"),
    [
        ("/resume/x", EventStream(count=2, gap_ms=1_700.0)),
        ("/safe/x", FullResponse(delay_ms=1_200.0)),
    ],
)
def test_a_silent_endpoint_is_waited_for_if_no_retry_is_allowed(path, response):
    # Guards against answers that end with a failure because of a silence, though
    # nothing else can be done than to wait.
    routes = [
        route("safe", "/safe/", "safe"),
        route("resume", "/resume/", "streaming", resumable=True, timeout_ms=5000),
    ]
    with running_fleet(2, response, configuration(routes=routes)) as fleet:
        use_up_retry_budget(fleet)
        reply = fleet.call(path, "POST", b"x", ("Deadline-Ms: 6000",))
    assert reply.status == 200 and reply.is_whole


def test_a_silent_endpoint_is_waited_for_if_there_is_no_other():
    # Guards against answers that fail because their only endpoint is silent.
    with running_fleet(1, FullResponse(delay_ms=1_200.0)) as fleet:
        reply = fleet.call("/safe/x", "POST", b"x", ("Deadline-Ms: 6000",))
    assert reply.status == 200 and reply.is_whole


def test_a_call_without_an_answer_is_sent_to_another_endpoint_after_a_silence():
    # Guards against callers that lose their call with an endpoint that has died.
    with running_fleet(2) as fleet:
        for worker in fleet.workers:
            worker.scripted.append(FullResponse(delay_ms=10_000.0))
        replies = [fleet.call("/safe/x", request_id=f"r{n}") for n in range(2)]
    assert [reply.status for reply in replies].count(200) >= 1


def test_a_stream_whose_endpoint_is_silent_in_a_stop_is_not_cut():
    # Guards against streams that are given up for a silence while their process stops,
    # as it may not send them again.
    limits_ms = 4_000.0
    with running_fleet(2, EventStream(count=2, gap_ms=1_000.0)) as fleet:
        for worker in fleet.workers:
            fleet.call("/resume/x", "POST", b"x", request_id=f"warm-{worker.name}")
        begun = runs(fleet)
        fleet.router.stop_limit_ms = limits_ms
        call = gevent.spawn(
            fleet.call, "/resume/x", "POST", b"x", ("Deadline-Ms: 9000",)
        )
        fleet.wait_for(lambda: runs(fleet) == begun + 1)
        gevent.spawn(fleet.router.drain)
        reply = call.get()
        assert runs(fleet) == begun + 1
    assert reply.status == 200 and reply.is_whole
