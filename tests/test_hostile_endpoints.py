"""Endpoints that send bytes without end, or too slowly to ever finish."""

import resource
import time

import gevent
import pytest
from routing_fleet import request_bytes, running_fleet

from wigeonwind.clock import MS_PER_SECOND
from wigeonwind.routing.request_parser import RequestParser
from wigeonwind.routing.response_limits import MAX_FRAMING_BYTES, BufferBudget
from wigeonwind.routing.response_parser import ResponseParser
from wigeonwind.routing.routes import CallerLimits
from wigeonwind.standins.platform_worker import (
    EndlessBytes,
    EventStream,
    LateCopy,
)

HEAD = b"HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nWorker-Signature: s\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
READ = 65_536

ENDLESS = {
    "header line": (b"HTTP/1.1 200 OK\r\nX: ", b"a" * READ),
    "headers": (HEAD, b"X-A: 1\r\n" * 8_000),
    "status line": (b"HTTP/1.1 200 ", b"O" * READ),
    "chunk extension": (CHUNKED + b"4;a=", b"x" * READ),
    "trailers": (CHUNKED + b"0\r\n", b"X-A: 1\r\n" * 8_000),
    "interim responses": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 2_000),
    "garbage": (b"", b"\x00\xff" * READ),
    "responses to others": (
        b"",
        b"HTTP/1.1 200 OK\r\nRequest-Id: z\r\nContent-Length: 1\r\n\r\nx" * 500,
    ),
    "body without length": (HEAD + b"\r\n", b"b" * READ),
    "body where none is due": (
        HEAD.replace(b"200 OK", b"204 No") + b"\r\n",
        b"b" * READ,
    ),
    "event": (
        HEAD + b"Content-Type: text/event-stream\r\n\r\ndata: ",
        b"e" * READ,
    ),
}

MAX_GROWTH_KB = 60_000
"""Memory that one faulty endpoint may take: the smallest VM has 200 MB, a process
without requests about 40 MB."""

LATEST_END_MS = 3_500.0
"""Timeout of the routes (3,000 ms) and half a second."""


@pytest.mark.parametrize(
    "what",
    [
        "header line",
        "headers",
        "status line",
        "chunk extension",
        "trailers",
        "interim responses",
    ],
)
def test_framing_without_end_is_an_error(what):
    # Guards against bytes that the HTTP parser accepts and that never complete a body:
    # 112 MB of headers from one endpoint, which end a small process.
    start, repeated = ENDLESS[what]
    parser = ResponseParser()
    parser.feed(start)
    for _ in range(MAX_FRAMING_BYTES // len(repeated) + 2):
        parser.feed(repeated)
    assert parser.error


def test_a_long_body_in_small_chunks_is_no_error():
    # Guards against a limit that counts the framing of a whole response.
    parser = ResponseParser()
    parser.feed(CHUNKED)
    for _ in range(40_000):
        parser.feed(b"1\r\nx\r\n")
    parser.feed(b"0\r\n\r\n")
    assert not parser.error and parser.responses[0].is_complete


@pytest.mark.parametrize(
    "start, repeated",
    [
        (b"POST / HTTP/1.1\r\nHost: a\r\nX: ", b"a" * 1_000),
        (b"POST / HTTP/1.1\r\nHost: a\r\n", b"X-A: 1\r\n" * 100),
        (
            b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n4;a=",
            b"x" * 1_000,
        ),
        (
            b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
            b"X-A: 1\r\n" * 100,
        ),
    ],
)
def test_a_request_without_end_is_refused(start, repeated):
    # Guards against a caller whose head, extensions or trailers fill the memory.
    parser = RequestParser(CallerLimits())
    parser.feed(start)
    for _ in range(parser.limits.max_header_bytes // len(repeated) + 2):
        parser.feed(repeated)
    assert parser.failure is not None and parser.failure.http_status == 431


def test_trailers_are_not_taken_for_headers():
    # Guards against a header that proxies in front do not see, as the API key.
    parser = RequestParser(CallerLimits())
    parser.feed(
        b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"0\r\nX-Api-Key: k\r\n\r\n"
    )
    assert b"X-Api-Key" not in dict(parser.requests[0].headers)
    response = ResponseParser()
    response.feed(CHUNKED + b"0\r\nNot-Executed: 1\r\n\r\n")
    assert b"Not-Executed" not in dict(response.responses[0].headers)


def test_bodies_of_many_responses_share_one_budget():
    # Guards against one buffer of full size for each connection.
    budget = BufferBudget(100)
    assert budget.take(60) and not budget.take(60)
    budget.give_back(60)
    assert budget.take(60) and budget.used_bytes == 60


@pytest.mark.parametrize("path", ["/safe/x", "/once/x", "/stream/x"])
@pytest.mark.parametrize("what", ENDLESS)
def test_bytes_without_end_end_the_request_only(what, path):
    # Guards against memory, a wrong success, a false not-run or the loss of the
    # process by an endpoint that sends until its caller closes.
    before_kb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    start, repeated = ENDLESS[what]
    with running_fleet(workers=1) as fleet:
        worker = fleet.workers[0]
        worker.scripted.append(EndlessBytes(start, repeated))
        began = time.monotonic()
        reply = fleet.call(path, "POST", b"abc")
        took_ms = (time.monotonic() - began) * MS_PER_SECOND
        with gevent.Timeout(LATEST_END_MS / MS_PER_SECOND):
            worker.closed_by_caller.wait()
        after = fleet.call("/safe/y", request_id="r2")
        assert fleet.router._context.buffer_budget.used_bytes == 0
    if what == "body where none is due":
        # The status 204 is complete with its head; the bytes after it are not relayed.
        assert (reply.status, reply.body) == (204, b"")
    else:
        assert not (reply.is_whole and reply.status == 200)
        assert reply.status != 503, "the endpoint may have run the request"
    assert took_ms <= LATEST_END_MS
    assert (after.status, after.body) == (200, b"whole")
    grown_kb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss - before_kb
    assert grown_kb <= MAX_GROWTH_KB


LATE_COPIES = [
    b"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nWorker-Signature: s\r\n"
    b"Content-Length: 5\r\n\r\nother",
    b"HTTP/1.1 503 No\r\nRequest-Id: r1\r\nNot-Executed: 1\r\n"
    b"Content-Length: 0\r\n\r\n",
    b"HTTP/1.1 503 No\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n",
    b"HTTP/1.1 500 No\r\nWorker-Signature: s\r\nContent-Length: 5\r\n\r\nother",
    b"HTTP/1.1 200 OK\r\nWorker-Signature: s\r\nContent-Length: 5\r\n\r\nother",
]


@pytest.mark.parametrize("copy", LATE_COPIES)
def test_a_late_copy_on_a_reused_connection_belongs_to_no_caller(copy):
    # Guards against an answer of another request, and against the refusal of another
    # request, which would be a false promise that this one has not run.
    with running_fleet(workers=1, default_response=LateCopy(copy)) as fleet:
        first = fleet.call("/once/x", "POST", b"abc", request_id="r1")
        second = fleet.call("/once/x", "POST", b"abc", request_id="r2")
        runs = [each.request.headers for each in fleet.workers[0].executions]
    assert (first.status, first.body) == (200, b"whole")
    assert (second.status, second.body) == (200, b"whole") or (
        second.status == 502 and second.headers["x-outcome"] == "unknown"
    )
    assert len(runs) == 2


@pytest.mark.parametrize("pause_ms", [5.0, 40.0, 400.0])
def test_an_endpoint_that_stalls_with_a_byte_now_and_then_is_given_up(pause_ms):
    # Guards against a stream that never ends because each byte resets a timeout.
    head = HEAD + b"Content-Type: text/event-stream\r\n\r\n"
    with running_fleet(workers=1) as fleet:
        fleet.workers[0].scripted.append(EndlessBytes(head, b":", pause_ms))
        began = time.monotonic()
        reply = fleet.call("/stream/x", "POST", b"abc")
        took_ms = (time.monotonic() - began) * MS_PER_SECOND
    assert took_ms <= LATEST_END_MS
    assert reply.status == 504


@pytest.mark.parametrize("count, gap_ms", [(30, 50.0), (4, 400.0), (2, 900.0)])
def test_a_slow_sound_stream_is_not_cut(count, gap_ms):
    # Guards against a timeout between events that ends working streams.
    stream = EventStream(count=count, gap_ms=gap_ms)
    with running_fleet(workers=1, default_response=stream) as fleet:
        reply = fleet.call("/stream/x", "POST", b"abc")
    assert reply.status == 200 and reply.is_whole
    assert reply.body.count(b"\n\n") == count


def test_a_caller_without_end_is_refused_and_others_are_served():
    # Guards against a caller whose trailers hold a connection and fill the memory.
    with running_fleet(workers=1) as fleet:
        sock = fleet.connect()
        head = request_bytes("/safe/x", "POST", b"", ("Transfer-Encoding: chunked",))
        head = head.replace(b"Content-Length: 0\r\n", b"")
        sock.sendall(head + b"0\r\n")
        received = b""
        with pytest.raises(OSError):
            for _ in range(10_000):
                sock.sendall(b"X-A: 1\r\n" * 100)
                gevent.sleep(0)
        sock.settimeout(0.5)
        try:
            received = sock.recv(READ)
        except OSError:
            pass  # A reset after the refusal discards it.
        sock.close()
        after = fleet.call("/safe/y", request_id="r2")
    assert received == b"" or b" 431 " in received
    assert (after.status, after.body) == (200, b"whole")
