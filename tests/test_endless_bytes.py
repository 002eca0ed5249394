"""Peers that send bytes without end as fast as they are read."""

import subprocess
import sys
import time
import tracemalloc
from contextlib import contextmanager
from random import Random

import gevent
import pytest
from flooding_server import as_worker, flooding
from routing_fleet import configuration, entry, route, running_fleet
from test_links_link import LinkHarness

from wigeonwind.clock import SystemClock
from wigeonwind.platform.store_format import PlatformStoreFormat
from wigeonwind.routing import peer_state
from wigeonwind.routing.request_parser import RequestParser
from wigeonwind.routing.response_limits import MAX_BUFFERED_TOTAL_BYTES
from wigeonwind.routing.routes import CallerLimits
from wigeonwind.side.endpoint_http import HttpExchange, HttpFailure
from wigeonwind.standins.platform_worker import EndlessBytes
from wigeonwind.state.store_client import StoreClient, StoreLimits
from wigeonwind.state.store_http import PoolLimits
from wigeonwind.state.store_types import StoreFailure

HEAD = b"HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nWorker-Signature: s\r\n"
CLOSED_STREAM = HEAD + b"Content-Type: text/event-stream\r\n\r\nid: 1\ndata: 1\n\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
FOREIGN = b"HTTP/1.1 200 OK\r\nRequest-Id: 0123\r\nWorker-Signature: s\r\n"
OF_OTHER = FOREIGN + CHUNKED

CALL_TIMEOUT_MS = 600.0
SLACK_MS = 500.0
"""A call is answered half a second after its timeout at the latest, by its failure."""

MAX_SENT_BYTES = 40_000_000
"""The longest response to another request (16 MB), and what buffers hold."""

FLOOD_BY_NAME = {
    "repeated event": ("/flood-stream/x", CLOSED_STREAM, b"id: 1\n\n"),
    "repeated long event": (
        "/flood-stream/x",
        CLOSED_STREAM,
        b"id: 1\ndata: %s\n\n" % (b"x" * 900),
    ),
    "comments": ("/flood-stream/x", CLOSED_STREAM, b":\n\n"),
    "event without end": ("/flood-stream/x", CLOSED_STREAM, b"data: x\n"),
    "body of a stream for another request": (
        "/flood-stream/x",
        OF_OTHER,
        b"1\r\nx\r\n",
    ),
    "body for another request": ("/flood/x", OF_OTHER, b"1\r\nx\r\n"),
    "body in small chunks": ("/flood/x", HEAD + CHUNKED, b"1\r\nx\r\n"),
    "body": ("/flood/x", HEAD + b"\r\n", b"x"),
    "headers": ("/flood/x", HEAD, b"X-More: 1\r\n"),
}


def config(flood_timeout_ms=5_000):
    """Return routes to a flooding service and to a sound one."""
    flood = {"backend": "flood", "attempts": 1, "timeout_ms": flood_timeout_ms}
    routes = [
        route("flood", "/flood/", "unsafe", **flood),
        route("flood-stream", "/flood-stream/", "streaming", gap_aim_ms=200, **flood),
        route("safe", "/safe/", "safe", timeout_ms=int(CALL_TIMEOUT_MS)),
    ]
    services = [{"name": name, "max_conns": 100} for name in ("desk", "flood")]
    return configuration(routes=routes, backends=services)


def timed_calls_ms(fleet, count, interval_s=0.05):
    """Return how long each of several calls to the sound service took."""

    def call(number):
        began = time.monotonic()
        with gevent.Timeout(5.0, False):
            fleet.call("/safe/x", request_id=f"c{number}")
        return (time.monotonic() - began) * 1e3

    calls = []
    for number in range(count):
        calls.append(gevent.spawn(call, number))
        gevent.sleep(interval_s)
    return [each.get() for each in calls]


@pytest.mark.parametrize("name", FLOOD_BY_NAME)
def test_other_calls_are_answered_beside_a_response_without_end(name):
    # Guards against a greenlet that reads on and on while bytes are waiting, so that
    # the process answers nothing else.
    path, start, repeated = FLOOD_BY_NAME[name]
    with (
        running_fleet(2, config=config()) as fleet,
        flooding(start, repeated) as server,
    ):
        worker = as_worker(server, "f1")
        fleet.store.put("servers", "f1", entry(worker, backend="flood"))
        fleet.wait_for(lambda: len(fleet.router.endpoints) == 3)
        flooded = [
            gevent.spawn(
                fleet.call, path, "POST", b"x", ("Deadline-Ms: 5000",), f"f{n}"
            )
            for n in range(2)
        ]
        took_ms = timed_calls_ms(fleet, 30)
        gevent.killall(flooded)
    assert max(took_ms) <= CALL_TIMEOUT_MS + SLACK_MS


@pytest.mark.parametrize("name", ["repeated event", "body for another request"])
def test_a_response_that_brings_nothing_new_is_ended(name):
    # Guards against a processor that is busy until the deadline with bytes that are
    # skipped or discarded.
    path, start, repeated = FLOOD_BY_NAME[name]
    settings = config(flood_timeout_ms=60_000)
    with (
        running_fleet(1, config=settings) as fleet,
        flooding(start, repeated) as server,
    ):
        worker = as_worker(server, "f1")
        fleet.store.put("servers", "f1", entry(worker, backend="flood"))
        fleet.wait_for(lambda: len(fleet.router.endpoints) == 2)
        with gevent.Timeout(30.0):
            reply = fleet.call(path, "POST", b"x", ("Deadline-Ms: 60000",))
        fleet.wait_for(lambda: server.closed)
    assert server.sent_bytes <= MAX_SENT_BYTES
    assert not (reply.status == 200 and reply.is_whole)


def test_events_without_end_of_many_streams_share_the_memory_for_responses():
    # Guards against one buffer of full size for each stream, with which one faulty
    # worker takes the memory of a process and of all its other requests.
    streams, event_bytes = 80, 950_000
    partial = b"%x\r\ndata: %s\r\n" % (event_bytes + 6, b"x" * event_bytes)
    start = HEAD + b"Content-Type: text/event-stream\r\n" + CHUNKED + partial
    # Bytes of a chunk's head, which go on without adding to the event.
    waiting = EndlessBytes(start, b"0", pause_ms=200.0)
    with running_fleet(1, waiting) as fleet:
        calls = [
            gevent.spawn(fleet.call, "/stream/x", "POST", b"x", (), f"f{n}")
            for n in range(streams)
        ]
        most = 0
        for _ in range(60):
            gevent.sleep(0.025)
            open_streams = list(fleet.router._in_flight)
            buffered = sum(len(each._events._partial_event) for each in open_streams)
            most = max(most, buffered)
        gevent.killall(calls)
    assert event_bytes < most <= MAX_BUFFERED_TOTAL_BYTES


def test_a_body_in_small_chunks_takes_no_more_memory_than_in_large_ones():
    # Guards against a caller whose body takes many times its size in memory.
    size = 1_000_000
    parser = RequestParser(CallerLimits(max_body_bytes=size))
    head = b"POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
    tracemalloc.start()
    try:
        parser.feed(head)
        for _ in range(size // 2_000):
            parser.feed(b"2\r\nab\r\n" * 1_000)
        used, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert used <= 2 * size


@contextmanager
def measured_ticks():
    """Yield a list of how late a timer of 10 ms was each time, in milliseconds."""
    late_ms = []

    def tick():
        while True:
            began = time.monotonic()
            gevent.sleep(0.01)
            late_ms.append((time.monotonic() - began) * 1e3 - 10.0)

    ticking = gevent.spawn(tick)
    try:
        yield late_ms
        gevent.sleep(0.02)
    finally:
        ticking.kill()


RESPONSE_BY_NAME = {
    "body": (b"HTTP/1.1 200 OK\r\n\r\n", b"x"),
    "body in small chunks": (b"HTTP/1.1 200 OK\r\n" + CHUNKED, b"1\r\nx\r\n"),
    "header line": (b"HTTP/1.1 200 OK\r\nX-Long: ", b"x"),
    "interim responses": (b"", b"HTTP/1.1 102 Processing\r\n\r\n"),
}
TIMEOUT_MS = 500.0


@pytest.mark.parametrize("name", RESPONSE_BY_NAME)
def test_a_sidecar_ends_a_call_whose_response_has_no_end(name):
    # Guards against a sidecar that serves nothing else, and whose timer never fires.
    with flooding(*RESPONSE_BY_NAME[name]) as server, measured_ticks() as late_ms:
        exchange = HttpExchange(server.address, TIMEOUT_MS)
        began = time.monotonic()
        assert exchange.connect() is None
        result = exchange.request("GET", "/x", [], b"")
        while result and not isinstance(result, HttpFailure):
            result = exchange.read()
        took_ms = (time.monotonic() - began) * 1e3
        exchange.close()
    assert isinstance(result, HttpFailure)
    assert took_ms <= TIMEOUT_MS + SLACK_MS
    assert max(late_ms) <= SLACK_MS


@pytest.mark.parametrize("name", RESPONSE_BY_NAME)
def test_a_call_to_the_store_whose_response_has_no_end_fails_in_time(name):
    # Guards against a store that makes a process stand still, or run out of memory.
    limits = PoolLimits(2, 100, TIMEOUT_MS)
    with flooding(*RESPONSE_BY_NAME[name]) as server, measured_ticks() as late_ms:
        store = StoreClient(
            server.address,
            StoreLimits(limits, limits, limits),
            SystemClock(),
            Random(1),
            format=PlatformStoreFormat(),
        )
        began = time.monotonic()
        result = store.list_objects("config/")
        took_ms = (time.monotonic() - began) * 1e3
        store.close()
        with gevent.Timeout(5.0):
            while not server.closed:
                gevent.sleep(0.01)
    assert isinstance(result, StoreFailure)
    assert took_ms <= TIMEOUT_MS + SLACK_MS
    assert max(late_ms) <= SLACK_MS
    assert server.sent_bytes <= MAX_SENT_BYTES


@pytest.mark.parametrize("name", RESPONSE_BY_NAME)
def test_the_state_of_a_peer_without_end_is_given_up(name):
    # Guards against a peer that holds up the processes which read its state.
    with flooding(*RESPONSE_BY_NAME[name]) as server, measured_ticks() as late_ms:
        result = peer_state._fetch(server.address, "/state")
    assert isinstance(result, str)
    assert max(late_ms) <= SLACK_MS


DATAGRAM_SENDER = """
import socket, sys, time
until = time.monotonic() + 10.0
with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
    while time.monotonic() < until:
        sock.sendto(b"x" * 50, (sys.argv[1], int(sys.argv[2])))
"""


def test_datagrams_without_end_do_not_hold_up_calls():
    # Guards against a VM that sends datagrams as fast as they are read.
    with running_fleet(1) as fleet:
        host, port = fleet.router.peers._sock.getsockname()
        command = [sys.executable, "-c", DATAGRAM_SENDER, host, str(port)]
        with subprocess.Popen(command) as sender:
            gevent.sleep(0.3)
            took_ms = timed_calls_ms(fleet, 20)
            received = fleet.router.peers.undecodable_datagrams
            sender.kill()
    assert received > 1_000
    assert max(took_ms) <= CALL_TIMEOUT_MS + SLACK_MS


FRAME_SENDER = r"""
import socket, sys
masked_pong = b"\x8a\x80\0\0\0\0"
with socket.socket(fileno=int(sys.argv[1])) as sock:
    sock.setblocking(True)
    while True:
        sock.sendall(masked_pong * 5_000)
"""


def test_frames_without_end_on_a_link_do_not_hold_up_the_process():
    # Guards against a peer that sends control frames as fast as they are read.
    harness = LinkHarness()
    sock, _ = harness.connect_raw()
    descriptor = sock.fileno()
    command = [sys.executable, "-c", FRAME_SENDER, str(descriptor)]
    sender = subprocess.Popen(command, pass_fds=(descriptor,))
    with measured_ticks() as late_ms, sender:
        gevent.sleep(1.5)
        sender.kill()
    harness.server.stop()
    assert max(late_ms) <= SLACK_MS
