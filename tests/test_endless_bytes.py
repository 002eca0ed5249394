"""Peers that send bytes without end as fast as they are read."""

import time

import gevent
import pytest
from flooding_server import as_worker, flooding
from routing_fleet import configuration, entry, route, running_fleet

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


def config():
    """Return routes to a flooding service and to a sound one."""
    flood = {"backend": "flood", "attempts": 1, "timeout_ms": 5_000}
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
    with (
        running_fleet(1, config=config()) as fleet,
        flooding(start, repeated) as server,
    ):
        worker = as_worker(server, "f1")
        fleet.store.put("servers", "f1", entry(worker, backend="flood"))
        fleet.wait_for(lambda: len(fleet.router.endpoints) == 2)
        reply = fleet.call(path, "POST", b"x", ("Deadline-Ms: 60000",))
        fleet.wait_for(lambda: server.closed)
    assert server.sent_bytes <= MAX_SENT_BYTES
    assert not (reply.status == 200 and reply.is_whole)
