"""Estimates of durations in planned stops: groups, failures, and what is unknown."""

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


@pytest.mark.parametrize("status", [400, 500])
def test_failures_do_not_count_as_durations(status):
    # Guards against quick failures of workers that pass for durations of streams.
    with fleet_with(FullResponse(status=status), 4_000.0) as fleet:
        for number in range(30):
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
        for number in range(30):
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
