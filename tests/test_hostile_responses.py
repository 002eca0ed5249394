"""Endpoints that repeat refusals, break off within a response, or resume wrongly."""

import time
from collections import deque
from socket import socket

import pytest
from routing_fleet import Reply, RoutingFleet, request_bytes, running_fleet

from wigeonwind.routing.endpoint_connection import EndpointConnection
from wigeonwind.routing.event_stream import EventSplitter
from wigeonwind.standins.platform_worker import (
    EventStream,
    RawBytes,
)

OK_HEAD = b"HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nWorker-Signature: s\r\n"
WHOLE = OK_HEAD + b"Content-Length: 5\r\n\r\nwhole"
CHUNKED_WHOLE = (
    OK_HEAD + b"Transfer-Encoding: chunked\r\n\r\n3\r\nwho\r\n2\r\nle\r\n0\r\n\r\n"
)
STREAM_HEAD = OK_HEAD + b"Content-Type: text/event-stream\r\n"
OTHER_ID = b"Request-Id: 0123\r\n"


def read_to_end(sock: socket) -> tuple[bytes, bool]:
    """Return what is received up to the end, and whether that is a reset."""
    received = b""
    try:
        while data := sock.recv(65_536):
            received += data
    except ConnectionResetError:
        return received, True
    return received, False


def event(number: int) -> bytes:
    """Return one event of a stream."""
    return b"id: %d\ndata: %d\n\n" % (number, number)


def chunk(data: bytes) -> bytes:
    """Return one chunk of a chunked body."""
    return b"%x\r\n%s\r\n" % (len(data), data)


def refusal(status: int, id_line: bytes, body: bytes = b"") -> bytes:
    """Return a response that says that a request was not run."""
    head = b"HTTP/1.1 %d No\r\nNot-Executed: 1\r\n%s" % (status, id_line)
    return head + b"Content-Length: %d\r\n\r\n%s" % (len(body), body)


def promises_not_run(reply: Reply) -> bool:
    """Return whether the caller was told that its request has not run."""
    return reply.status in (408, 421, 429, 503)


REFUSALS = [
    refusal(status, id_line, body)
    for status in (503, 429, 421, 400)
    for id_line in (b"", OTHER_ID)
    for body in (b"", b"full")
]


@pytest.mark.parametrize("path", ["/safe/x", "/once/x", "/stream/x", "/resume/x"])
@pytest.mark.parametrize("is_reused", [False, True])
def test_a_repeated_refusal_before_the_answer_is_no_promise(path, is_reused):
    # Guards against a request that ran and whose caller is told that it did not, or
    # that runs a second time, because of a refusal that the endpoint wrote again.
    for copy in REFUSALS:
        for parts in (
            (copy, WHOLE),
            (copy + copy, WHOLE),
            (copy[:20], copy[20:], WHOLE),
        ):
            with running_fleet(2) as fleet:
                for worker in fleet.workers:
                    if not is_reused:
                        worker.default = RawBytes(parts, gap_ms=2.0)
                if is_reused:
                    for n in range(4):
                        fleet.call("/safe/y", request_id=f"a{n}")
                    for worker in fleet.workers:
                        worker.default = RawBytes(parts, gap_ms=2.0)
                before = fleet.received()
                reply = fleet.call(path, "POST", b"abc", request_id="r1")
                sends = fleet.received() - before
            assert not promises_not_run(reply), (copy, parts)
            assert (reply.status, reply.body) in ((200, b"whole"), (502, reply.body))
            if path in ("/once/x", "/stream/x"):
                assert sends == 1, (copy, parts)


@pytest.mark.parametrize("copy", [refusal(503, b""), refusal(503, OTHER_ID)])
def test_a_repeated_refusal_that_crosses_the_request_is_no_promise(copy, monkeypatch):
    # Guards against the same if the copy arrives after the check for unread bytes and
    # before the request is sent.
    monkeypatch.setattr(EndpointConnection, "is_reusable", lambda self: True)
    after_answer = RawBytes((WHOLE + copy[:30], copy[30:]), gap_ms=2.0)
    with running_fleet(1) as fleet:
        fleet.workers[0].default = after_answer
        replies = [fleet.call("/once/x", request_id=f"r{n}") for n in range(4)]
        assert fleet.received() == 4
    for reply in replies:
        assert (reply.status, reply.body) in ((200, b"whole"), (502, reply.body))


def test_a_connection_with_a_response_to_another_request_is_not_reused():
    # Guards against believing what follows on a connection that has sent a copy.
    parts = (refusal(503, OTHER_ID) + WHOLE,)
    with running_fleet(1, default_response=RawBytes(parts)) as fleet:
        replies = [fleet.call("/once/x", request_id=f"r{n}") for n in range(3)]
        assert fleet.workers[0].connection_count == 3
    assert {reply.body for reply in replies} == {b"whole"}


@pytest.mark.parametrize("status", [503, 429, 421, 400])
@pytest.mark.parametrize("body", [b"", b"full"])
def test_the_refusal_of_the_request_itself_is_a_promise(status, body):
    # Guards against refusing to believe endpoints that are full.
    refused = RawBytes((refusal(status, b"Request-Id: {id}\r\n", body),))
    with running_fleet(1, default_response=refused) as fleet:
        reply = fleet.call("/once/x", "POST", b"abc")
    assert (reply.status, reply.headers["x-outcome"]) == (503, "not-run")


def test_a_request_id_in_use_again_gets_a_connection_of_its_own():
    # Guards against the repeated refusal of an earlier attempt with the same request
    # id, which would be believed.
    own = b"Request-Id: {id}\r\n"
    with running_fleet(1) as fleet:
        worker = fleet.workers[0]
        worker.scripted.append(RawBytes((refusal(503, own),)))
        assert fleet.call("/once/x", request_id="r1").status == 503
        fleet.call("/once/x", request_id="r2")
        assert worker.connection_count == 1
        worker.default = RawBytes((WHOLE,))
        for _ in range(2):
            assert fleet.call("/once/x", request_id="r1").body == b"whole"
        assert worker.connection_count == 3
        assert fleet.call("/once/x", request_id="r3").body == b"whole"
        assert worker.connection_count == 3


HEAD_CUTS = [
    b"Request-Id: {id}\r\nWorker-Signature: s\r\nX: ",
    b"Request-Id: {id}\r\nWorker-Signature: s",
    b"Worker-Signature: s\r\nRequest-Id: {id}\r\nX-A: b",
    b"Request-Id: {id}\r\nWorker-Signature: s\r\nX-A: b\r\n",
    b"Request-Id: {id}\r\nWorker-Signature: s\r\nX-A",
]


@pytest.mark.parametrize("cut", HEAD_CUTS)
@pytest.mark.parametrize("id_line", [b"", OTHER_ID])
@pytest.mark.parametrize("not_executed", [b"", b"Not-Executed: 1\r\n"])
def test_a_second_head_within_a_head_is_no_response(cut, id_line, not_executed):
    # Guards against a head that stops midway and goes on with an earlier response:
    # the headers of both make a 200 with an empty body, or a false promise.
    second = b"HTTP/1.1 503 No\r\n" + not_executed + id_line
    second += b"Content-Length: 0\r\n\r\n"
    mixed = RawBytes((b"HTTP/1.1 200 OK\r\n" + cut, second), "close", gap_ms=1.0)
    with running_fleet(1, default_response=mixed) as fleet:
        reply = fleet.call("/once/x", "POST", b"abc")
    assert (reply.status, reply.headers["x-outcome"]) == (502, "unknown")


@pytest.mark.parametrize(
    "headers",
    [
        b"Request-Id: 0123\r\nRequest-Id: {id}\r\n",
        b"Request-Id: {id}\r\nRequest-Id: 0123\r\n",
        b"Request-Id: {id}\r\nNot-Executed: 1\r\n",
    ],
)
def test_a_success_that_contradicts_itself_is_no_answer(headers):
    # Guards against taking headers of two responses for one.
    head = b"HTTP/1.1 200 OK\r\nWorker-Signature: s\r\nContent-Length: 5\r\n"
    parts = (head + headers + b"\r\nwhole",)
    with running_fleet(1, default_response=RawBytes(parts)) as fleet:
        reply = fleet.call("/once/x", "POST", b"abc")
    assert (reply.status, reply.headers["x-outcome"]) == (502, "unknown")


INTERIM = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\nLink: a\r\n\r\n"
TWO_EVENTS = event(1) + event(2)
FRAMED = {
    "length": WHOLE,
    "chunks": CHUNKED_WHOLE,
    "after interim responses": INTERIM + WHOLE,
    "stream in chunks": STREAM_HEAD
    + b"Transfer-Encoding: chunked\r\n\r\n"
    + chunk(event(1) + b"id: 2\n")
    + chunk(b"data: 2\n\n")
    + b"0\r\n\r\n",
    "stream with length": STREAM_HEAD
    + b"Content-Length: %d\r\n\r\n" % len(TWO_EVENTS)
    + TWO_EVENTS,
}


@pytest.mark.parametrize("framing", FRAMED)
@pytest.mark.parametrize(
    "end, is_reused", [("close", False), ("close", True), ("reset", False)]
)
def test_a_response_that_stops_at_any_byte_never_looks_whole(framing, end, is_reused):
    # Guards against an empty or short body, framed as whole, and against a stream that
    # ends as if it were complete.
    response = FRAMED[framing]
    gap_ms = 1.0 if end == "reset" else 0.0
    with running_fleet(1) as fleet:
        worker = fleet.workers[0]
        for cut in range(len(response)):
            if is_reused:
                fleet.call("/safe/x", request_id=f"a{cut}")
            worker.scripted.append(RawBytes((response[:cut],), end, gap_ms))
            reply = fleet.call("/stream/x", "POST", b"abc", request_id=f"r{cut}")
            assert not (reply.status == 200 and reply.is_whole), cut
            assert not promises_not_run(reply), cut
            if reply.status == 200:
                assert reply.body in (event(1), TWO_EVENTS), cut
        worker.scripted.append(RawBytes((response,), end, 5.0))
        assert fleet.call("/stream/x", "POST", b"abc").is_whole


@pytest.mark.parametrize("framing", FRAMED)
@pytest.mark.parametrize("copy", [refusal(503, b""), refusal(503, OTHER_ID), WHOLE])
def test_a_copy_within_a_response_at_any_byte_never_looks_whole(framing, copy):
    # Guards against a response of another request in the middle of a body or a stream.
    response = FRAMED[framing]
    copy = copy.replace(b"{id}", b"0123")
    with running_fleet(1) as fleet:
        worker = fleet.workers[0]
        for cut in range(1, len(response)):
            mixed = response[:cut] + copy + response[cut:]
            worker.scripted.append(RawBytes((mixed,), "close", 0.0))
            reply = fleet.call("/stream/x", "POST", b"abc", request_id=f"r{cut}")
            assert not promises_not_run(reply), cut
            if reply.status == 200:
                bodies = (b"whole",) if reply.is_whole else (b"", event(1))
                assert reply.body in (*bodies, TWO_EVENTS), cut


BEGUN = STREAM_HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + chunk(event(1) + event(2))
SECOND_RESPONSES = {
    "signed 500": b"HTTP/1.1 500 No\r\nRequest-Id: {id}\r\nWorker-Signature: s\r\n"
    b"Content-Length: 5\r\n\r\nerror",
    "signed 404": b"HTTP/1.1 404 No\r\nRequest-Id: {id}\r\nWorker-Signature: s\r\n"
    b"Content-Length: 5\r\n\r\nerror",
    "unsigned 500": b"HTTP/1.1 500 No\r\nRequest-Id: {id}\r\n"
    b"Content-Length: 5\r\n\r\nerror",
    "refusal": refusal(503, b"Request-Id: {id}\r\n", b"error"),
    "misdirected": refusal(421, b"Request-Id: {id}\r\n", b"error"),
    "whole": WHOLE,
    "unsigned stream": STREAM_HEAD.replace(b"Worker-Signature: s\r\n", b"")
    + b"Content-Length: 14\r\n\r\nid: 3\ndata: 3\n\n",
    "encoded stream": STREAM_HEAD
    + b"Content-Encoding: gzip\r\nContent-Length: 14\r\n\r\nid: 3\ndata: 3\n\n",
    "broken head": b"HTTP/1.1 500 Internal Server Err",
    "error text": STREAM_HEAD
    + b"Transfer-Encoding: chunked\r\n\r\n"
    + chunk(b"Internal Server Error\n\n")
    + b"0\r\n\r\n",
    "head in the stream": STREAM_HEAD
    + b"Transfer-Encoding: chunked\r\n\r\n"
    + chunk(event(3) + b"HTTP/1.1 503 No\nNot-Executed: 1\n\n")
    + b"0\r\n\r\n",
    "started again": STREAM_HEAD
    + b"Transfer-Encoding: chunked\r\n\r\n"
    + chunk(b"".join(map(event, range(1, 6))))
    + b"0\r\n\r\n",
    "skipped events": STREAM_HEAD
    + b"Transfer-Encoding: chunked\r\n\r\n"
    + chunk(event(4) + event(5))
    + b"0\r\n\r\n",
}


@pytest.mark.parametrize("http10", [False, True])
@pytest.mark.parametrize("what", SECOND_RESPONSES)
def test_an_error_after_a_stream_has_begun_is_not_relayed(what, http10):
    # Guards against the text or head of an error, or events of another run, in the
    # middle of a stream, and against a stream that ends as if it were complete.
    with running_fleet(2) as fleet:
        second = RawBytes((SECOND_RESPONSES[what],), "close", 0.0)
        scripts = deque((RawBytes((BEGUN + b"3\r\nid:",), "close", 0.0), second))
        for worker in fleet.workers:
            worker.scripted = scripts
        data = request_bytes("/resume/x", "POST", b"abc")
        if http10:
            data = data.replace(b"HTTP/1.1", b"HTTP/1.0", 1)
        with fleet.connect() as sock:
            sock.sendall(data)
            received, is_reset = read_to_end(sock)
        assert not scripts
    head, _, body = received.partition(b"\r\n\r\n")
    begun = [event(1) + event(2)]
    if what == "head in the stream":
        begun.append(event(3))
    if http10:
        # The reset, which shows that the stream is cut off, may discard bytes.
        assert is_reset and body in (b"", begun[0], b"".join(begun))
    else:
        assert head.startswith(b"HTTP/1.1 200")
        assert body == b"".join(map(chunk, begun))


@pytest.mark.parametrize(
    "path, begun",
    [("/safe/x", event(1)), ("/resume/x", b"data: 1\n\n"), ("/resume/x", b"id: a\n\n")],
)
def test_a_stream_that_cannot_be_resumed_is_not_sent_again(path, begun):
    # Guards against the events of two runs in one stream: a route whose streams are
    # not resumed, or a last event without an id after which to resume.
    head = STREAM_HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
    scripts = deque((RawBytes((head + chunk(begun),), "close", 0.0),))
    with running_fleet(2, default_response=EventStream()) as fleet:
        for worker in fleet.workers:
            worker.scripted = scripts
        reply = fleet.call(path, "POST", b"abc")
        assert fleet.received() == 1
    assert (reply.body, reply.is_whole) == (begun, False)


def test_ids_with_gaps_and_repeated_events_are_resumed():
    # Guards against refusing streams whose ids only increase, or whose resumption
    # repeats the last event.
    splitter = EventSplitter()
    assert splitter.feed(event(1) + event(4)) == event(1) + event(4)
    splitter.begin_run()
    assert splitter.feed(event(4) + event(9)) == event(9)
    assert not splitter.error
    splitter = EventSplitter(last_id=7)
    splitter.begin_run()
    assert splitter.feed(event(9) + b": ping\n\n") and not splitter.error
    assert splitter.can_resume


def call_http10(fleet: RoutingFleet, path: str) -> tuple[bytes, bytes, bool]:
    """Return head and body that a caller of HTTP/1.0 receives, and if it is reset."""
    data = request_bytes(path, "POST", b"abc").replace(b"HTTP/1.1", b"HTTP/1.0", 1)
    with fleet.connect() as sock:
        sock.sendall(data)
        received, is_reset = read_to_end(sock)
    head, _, body = received.partition(b"\r\n\r\n")
    return head, body, is_reset


@pytest.mark.parametrize("head", [OK_HEAD, OK_HEAD.replace(b"1.1", b"1.0", 1)])
def test_a_body_that_ends_with_its_connection_is_whole_only_after_fin(head):
    # Guards against a short body, framed as whole, after a reset.
    whole = head + b"\r\nwhole"
    with running_fleet(1) as fleet:
        worker = fleet.workers[0]
        for end, expected in (("close", 200), ("reset", 502)):
            worker.default = RawBytes((whole[:-2], whole[-2:]), end, 5.0)
            reply = fleet.call("/once/x", "POST", b"abc")
            assert (reply.status, reply.is_whole) == (expected, True)
            http10_head, body, _ = call_http10(fleet, "/once/x")
            assert b" %d " % expected in http10_head
            assert expected == 502 or body == reply.body == b"whole"


@pytest.mark.parametrize("status", [b"200 OK", b"404 No", b"500 No"])
@pytest.mark.parametrize("content_type", [b"", b"Content-Type: text/event-stream\r\n"])
def test_a_response_that_ends_with_its_head_is_not_whole(status, content_type):
    # Guards against an empty body, framed as whole, of an endpoint that stopped after
    # its head, which announced no length.
    head = OK_HEAD.replace(b"200 OK", status) + content_type + b"\r\n"
    with running_fleet(1, default_response=RawBytes((head,), "close")) as fleet:
        for path in ("/once/x", "/stream/x"):
            reply = fleet.call(path, "POST", b"abc")
            assert (reply.status, reply.headers["x-outcome"]) == (502, "unknown")


@pytest.mark.parametrize("content_type", [b"text/event-stream", b"Text/Event-Stream"])
@pytest.mark.parametrize("end", ["close", "reset"])
def test_a_stream_that_ends_within_an_event_is_broken_off(content_type, end):
    # Guards against a partial event, and against an end that looks regular.
    head = OK_HEAD + b"Content-Type: %s;charset=utf-8\r\n\r\n" % content_type
    second = event(2)
    with running_fleet(1) as fleet:
        for cut in range(1, len(second)):
            parts = (head + event(1), second[:cut])
            fleet.workers[0].default = RawBytes(parts, end, 1.0)
            reply = fleet.call("/stream/x", "POST", b"abc")
            assert (reply.status, reply.body, reply.is_whole) == (200, event(1), False)
            _, body, is_reset = call_http10(fleet, "/stream/x")
            assert is_reset and body in (b"", event(1))


def test_a_stream_without_content_has_no_chunks():
    # Guards against bytes of a body after a status that never has one.
    parts = (STREAM_HEAD.replace(b"200 OK", b"204 No Content") + b"\r\n",)
    with running_fleet(1, default_response=RawBytes(parts)) as fleet:
        reply = fleet.call("/stream/x", "POST", b"abc")
    assert (reply.status, reply.body) == (204, b"")
    assert "transfer-encoding" not in reply.headers


def test_an_event_with_many_lines_and_an_invalid_one_is_rejected_in_linear_time():
    # Guards against an event that keeps the process busy for minutes: the check of its
    # lines tried each way to match the carriage returns.
    events = EventSplitter()
    began_s = time.process_time()
    assert events.feed(b"data: x\r\n" * 25 + b"no field\n\n") == b""
    assert events.error
    assert time.process_time() - began_s < 1.0
