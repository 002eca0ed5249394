"""Requests during planned stops: the time that they need against the time left."""

import time
from contextlib import contextmanager

import gevent
from routing_fleet import RoutingFleet, configuration, read_reply, request_bytes, route

from wigeonwind.standins.platform_worker import EchoRequestId, EventStream

TIMEOUT_S = 20.0

LONG = ("Deadline-Ms: 20000",)
ROUTES = [
    route("once", "/once/", "unsafe", timeout_ms=20_000, slo_ms=3_000),
    route("safe", "/safe/", "safe", timeout_ms=20_000, slo_ms=3_000),
    route("stream", "/stream/", "streaming", timeout_ms=20_000, slo_ms=3_000),
]

LEARNING_CALLS = 30
"""Requests of a route that the process answers before the stop."""


@contextmanager
def fleet_with(response, stop_limit_ms, routers=1):
    fleet = RoutingFleet(1, response, configuration(routes=ROUTES), routers)
    for router in fleet.routers:
        router.stop_limit_ms = stop_limit_ms
    try:
        with gevent.Timeout(TIMEOUT_S):
            yield fleet
    finally:
        fleet.stop()


def answer_requests(fleet, path, router=None):
    """Let the process answer some requests, from which it learns their durations."""
    calls = [
        gevent.spawn(fleet.call, path, "POST", b"b", LONG, f"c{number}", router)
        for number in range(LEARNING_CALLS)
    ]
    gevent.joinall(calls, raise_error=True)
    assert {each.value.status for each in calls} == {200}


def stop_router(router):
    """Start a planned stop and return the time of its start in seconds."""
    gevent.spawn(router.drain)
    gevent.sleep(0.0)
    return time.monotonic()


def sleep_until(since_s, seconds):
    gevent.sleep(max(0.0, since_s + seconds - time.monotonic()))


def executed_ids(fleet):
    return {
        dict(execution.request.headers)[b"Request-Id"].decode()
        for worker in fleet.workers
        for execution in worker.executions
    }


def test_a_stream_that_needs_longer_than_is_left_is_refused():
    # Guards against a stream that is taken in a stop and cut at its end, though its
    # route's streams are known to last longer than the time left.
    with fleet_with(EventStream(count=15, gap_ms=100.0), 4_000.0) as fleet:
        answer_requests(fleet, "/stream/x")
        signaled_s = stop_router(fleet.router)
        sleep_until(signaled_s, 2.3)
        reply = fleet.call("/stream/x", "POST", b"b", LONG, "late")
        assert (reply.status, reply.is_whole) == (503, True)
        assert reply.headers["x-outcome"] == "not-run"
        assert "late" not in executed_ids(fleet)


def test_a_short_call_late_in_a_stop_is_served():
    # Guards against callers who are turned away, or find no connection, seconds before
    # the end of a stop although their call takes some ms.
    with fleet_with(EchoRequestId(delay_ms=10.0), 8_000.0) as fleet:
        answer_requests(fleet, "/once/x")
        fleet.workers[0].default = EchoRequestId(delay_ms=5_000.0)
        with fleet.connect() as sock:
            sock.sendall(request_bytes("/safe/x", "POST", b"b", LONG, "long"))
            gevent.sleep(0.1)
            fleet.workers[0].default = EchoRequestId(delay_ms=10.0)
            signaled_s = stop_router(fleet.router)
            sleep_until(signaled_s, 4.0)
            reply = fleet.call("/once/x", "POST", b"b", LONG, "short")
            assert (reply.status, reply.body) == (200, b"short")
            assert read_reply(sock).body == b"long"


def test_a_process_with_only_short_work_leaves_early():
    # Guards against a process that stays away from callers, and delays its successor,
    # after the load balancer had the time to take it out of rotation.
    with fleet_with(EchoRequestId(delay_ms=10.0), 8_000.0, routers=2) as fleet:
        signaled_s = stop_router(fleet.router)
        while not fleet.router.stopped.is_set():
            try:
                fleet.call("/once/x", "POST", b"b", LONG)
            except OSError:
                pass
            gevent.sleep(0.02)
        assert time.monotonic() - signaled_s < 2.95


def connect_to_any(fleet, routers):
    """Connect as the load balancer does: to a ready process, otherwise to any one."""
    for router in sorted(routers, key=lambda each: not each.is_ready):
        try:
            return fleet.connect(router)
        except OSError:
            continue
    return None


def test_a_rolling_stop_leaves_no_caller_without_a_connection():
    # Guards against stops that overlap, so that all processes are deaf at once while
    # each of them waits for the end of one stream.
    with fleet_with(EchoRequestId(delay_ms=10.0), 8_000.0, routers=3) as fleet:
        routers, socks = list(fleet.routers), []
        for router in routers:
            answer_requests(fleet, "/once/x", router)
        fleet.workers[0].default = EchoRequestId(delay_ms=6_000.0)
        for number, router in enumerate(routers):
            sock = fleet.connect(router)
            sock.sendall(request_bytes("/safe/x", "POST", b"b", LONG, f"l{number}"))
            socks.append(sock)
        gevent.sleep(0.1)
        fleet.workers[0].default = EchoRequestId(delay_ms=10.0)

        def restart(router):
            stop_router(router)
            router.stopped.wait()
            routers.remove(router)
            routers.append(fleet.add_router())

        restarts = [
            gevent.spawn_later(0.5 * number, restart, router)
            for number, router in enumerate(list(routers))
        ]
        without_connection, statuses = 0, []
        while not all(each.ready() for each in restarts):
            sock = connect_to_any(fleet, routers)
            if sock is None:
                without_connection += 1
            else:
                with sock:
                    sock.sendall(request_bytes("/once/x", "POST", b"b", LONG, "s"))
                    statuses.append(read_reply(sock).status)
            gevent.sleep(0.05)
        for number, sock in enumerate(socks):
            assert read_reply(sock).body == f"l{number}".encode()
            sock.close()
        assert not without_connection
        assert statuses.count(200) >= 0.95 * len(statuses)
