"""Requests in planned stops and their endpoints' silences: findings of a review."""

import json

import gevent
import pytest
from entry_fakes import CHAT, EntryUnderTest, respond_plain, respond_with_words
from routing_fleet import (
    RoutingFleet,
    configuration,
    entry,
    read_reply,
    request_bytes,
    route,
)
from test_entry_drain import HEAD, drain_and_stop, drain_settings, read_all, send
from test_stop_admission_requests import (
    LEARNING_CALLS,
    LONG,
    executed_ids,
    fleet_with,
    sleep_until,
    stop_router,
)

from wigeonwind.links.messages import Chunk, Started
from wigeonwind.standins.platform_worker import (
    ConnectionReset,
    EchoRequestId,
    EventStream,
    NotExecuted,
    RawBytes,
)


@pytest.fixture
def make_entry():
    """Yield a function that makes an entry with a limit of its drain of 3 s."""
    entries = []

    def make():
        entries.append(EntryUnderTest(source=drain_settings(3_000, 3_000)))
        return entries[-1]

    yield make
    for each in entries:
        each.role.stop()


RESUMABLE = route(
    "resume", "/resume/", "streaming", resumable=True, timeout_ms=20_000, slo_ms=250
)

EVENTS_WITH_IDS = (b"id: 1\nd:1\n\n", b"id: 2\nd:2\n\n", b"id: 3\nd:3\n\n")
EVENTS_WITHOUT_IDS = (b"data: 001\n\n", b"data: 002\n\n", b"data: 003\n\n")

STREAM_HEAD = (
    b"HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nWorker-Signature: s\r\n"
    b"Content-Type: text/event-stream\r\nContent-Length: 33\r\n\r\n"
)


def silent_stream(events, silence_ms=1_650.0):
    """Return a stream that begins at once and is silent before each further event."""
    return RawBytes((STREAM_HEAD + events[0], *events[1:]), gap_ms=silence_ms)


def streams_first(fleet, first, later):
    """Let the workers answer the first POST with `first` and others with `later`."""
    answered = []
    for worker in fleet.workers:

        def respond(sock, request, behaviour, original=worker._respond):
            if request.method != b"POST":
                return original(sock, request, behaviour)
            answered.append(request)
            return original(sock, request, first if len(answered) == 1 else later)

        worker._respond = respond
    return answered


@pytest.mark.parametrize(
    ("first", "later"),
    [
        (silent_stream(EVENTS_WITH_IDS), NotExecuted()),
        (silent_stream(EVENTS_WITH_IDS), ConnectionReset()),
        (silent_stream(EVENTS_WITHOUT_IDS), EventStream(count=3, gap_ms=10.0)),
    ],
    ids=["other-refuses", "other-resets", "no-event-ids"],
)
def test_a_stream_is_not_cut_in_a_stop_as_its_endpoint_is_silent(first, later):
    # Guards against a resumable stream that is given up after 1.5 s of silence although
    # it cannot go on elsewhere, and is cut in a stop while its endpoint is at work.
    fleet = RoutingFleet(2, EchoRequestId(), configuration(routes=[RESUMABLE]))
    fleet.router.stop_limit_ms = 8_000.0
    try:
        with gevent.Timeout(12.0), fleet.connect() as sock:
            answered = streams_first(fleet, first, later)
            signaled_s = stop_router(fleet.router)
            sleep_until(signaled_s, 0.5)
            sock.sendall(request_bytes("/resume/x", "POST", b"b", LONG, "a1"))
            reply = read_reply(sock)
        print(len(answered), reply)
        assert reply.status == 200 and reply.is_whole
    finally:
        fleet.stop()


def test_a_stream_is_not_cut_in_a_stop_as_the_other_endpoint_leaves():
    # Guards against a resumable stream that is given up after 1.5 s of silence, though
    # its only other endpoint is draining.
    fleet = RoutingFleet(2, EchoRequestId(), configuration(routes=[RESUMABLE]))
    fleet.router.stop_limit_ms = 8_000.0
    try:
        with gevent.Timeout(12.0), fleet.connect() as sock:
            stream = silent_stream(EVENTS_WITH_IDS)
            answered = streams_first(fleet, stream, EventStream(count=3))
            leaving = entry(fleet.workers[1], state="draining", seq=2)
            fleet.store.put("servers", fleet.workers[1].name, leaving)
            gevent.sleep(0.3)
            signaled_s = stop_router(fleet.router)
            sleep_until(signaled_s, 0.5)
            sock.sendall(request_bytes("/resume/x", "POST", b"b", LONG, "a1"))
            reply = read_reply(sock)
        print(len(answered), reply)
        assert reply.status == 200 and reply.is_whole
    finally:
        fleet.stop()


@pytest.mark.parametrize(
    ("sent_s", "silence_ms"),
    [(6.0, 1_600.0), (5.6, 2_400.0)],
    ids=["one-silence", "two-silences"],
)
def test_a_booking_late_in_a_stop_is_not_cut(sent_s, silence_ms):
    # Guards against a booking whose end is unknown as its endpoint is silent for longer
    # than the allowance, or twice.
    with fleet_with(EchoRequestId(delay_ms=10.0), 8_000.0) as fleet:
        for number in range(LEARNING_CALLS):
            fleet.call("/once/x", "POST", b"b", LONG, f"c{number}")
        with fleet.connect() as sock:
            fleet.workers[0].default = EchoRequestId(delay_ms=7_000.0)
            sock.sendall(request_bytes("/safe/x", "POST", b"b", LONG, "long"))
            gevent.sleep(0.1)
            sleep_until(stop_router(fleet.router), sent_s)
            fleet.workers[0].default = EchoRequestId(delay_ms=silence_ms)
            late = fleet.call("/once/x", "POST", b"b", LONG, "late")
    print(late)
    assert late.is_whole
    assert late.status == 200 or "late" not in executed_ids(fleet)


@pytest.mark.parametrize(
    ("limit_ms", "sent_s"), [(1_000.0, 0.45), (2_000.0, 1.45), (2_400.0, 1.8)]
)
def test_a_stream_is_not_cut_at_the_end_of_a_short_stop(limit_ms, sent_s):
    # Guards against a stream of unknown length that is taken some ms before the end of
    # a short stop, and cut before the last sixth of its limit.
    with (
        fleet_with(EventStream(count=5, gap_ms=300.0), limit_ms) as fleet,
        fleet.connect() as sock,
    ):
        signaled_s = stop_router(fleet.router)
        sleep_until(signaled_s, sent_s)
        sock.sendall(request_bytes("/stream/x", "POST", b"b", LONG, "late"))
        late = read_reply(sock)
    print(late)
    assert late.is_whole
    assert late.status == 200 or "late" not in executed_ids(fleet)


def test_an_entry_does_not_cut_a_call_late_in_its_drain(make_entry):
    # Guards against a booking that an entry takes late in its drain as those before
    # were short, and whose end is unknown as its endpoint is silent for 1.2 s.
    process = make_entry()
    delays_s = [0.01, 0.01, 0.01, 1.2]

    def respond(sidecar, submit):
        gevent.sleep(delays_s.pop(0))
        respond_plain(200, b"ok")(sidecar, submit)

    process.add_sidecar(respond, "spot-desk")
    for _ in range(3):
        assert process.call("POST", "/svc/spot-desk/x").status == 200
    drain_and_stop(process)
    gevent.sleep(1.9)
    reply = process.call("POST", "/svc/spot-desk/x")
    print(reply)
    assert (reply.status, reply.outcome) in ((200, None), (200, ""), (503, "not-run"))


def test_an_entry_does_not_cut_a_stream_late_in_its_drain(make_entry):
    # The same for a stream, whose caller gets a part of the answer.
    process = make_entry()
    usual = respond_with_words("x")
    sent = []

    def respond(sidecar, submit):
        sent.append(submit)
        if len(sent) <= 3:
            usual(sidecar, submit)
            return
        key = (submit.request_id, submit.attempt)
        sidecar.reply(Started(*key), Chunk(*key, 0, b"half", 1))
        gevent.sleep(1.2)
        usual(sidecar, submit)

    process.add_sidecar(respond)
    body = json.dumps({**CHAT, "stream": True})
    head = HEAD.format("POST", "1.1").replace(
        "/svc/spot-desk/x", "/v1/chat/completions"
    )
    request = f"{head}Connection: close\r\nContent-Length: {len(body)}\r\n\r\n{body}"
    for _ in range(3):
        assert b"[DONE]" in read_all(send(process, request))
    drain_and_stop(process)
    gevent.sleep(1.9)
    reply = read_all(send(process, request))
    print(reply)
    assert b"[DONE]" in reply or reply.startswith(b"HTTP/1.1 503 ")
