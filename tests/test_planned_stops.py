"""Planned stops of a routing process while callers use open and new connections."""

from collections import Counter

import gevent
import pytest
from routing_fleet import RoutingFleet, read_reply, request_bytes

from wigeonwind.standins.platform_worker import EchoRequestId

PAUSE_S = 0.01

LOAD_TIMEOUT_S = 60.0
"""Time limit until each caller has been answered; only reached by a failing test."""


def play_caller(fleet, number, results):
    """Send requests one after the other until the process refuses connections.

    Each request ends as `answered`, `refused` with the promise that it has not run,
    `unknown` with another error, or `cut` without an answer.
    """
    sock, count = None, 0
    while True:
        try:
            sock = sock or fleet.connect()
        except OSError:
            return
        count += 1
        request_id = f"{number:04x}{count:04x}"
        try:
            sock.sendall(request_bytes("/once/x", "POST", b"abc", (), request_id))
            reply = read_reply(sock)
        except OSError:
            reply = None
        if reply is None or not reply.is_whole or not reply.status:
            results["cut"].append(request_id)
            sock = None
            continue
        if reply.status == 200:
            wrong = reply.body != request_id.encode()
            results["wrong" if wrong else "answered"].append(request_id)
        elif reply.status == 503:
            results["refused"].append(request_id)
        else:
            results["unknown"].append(request_id)
        if reply.headers.get("connection") == "close":
            sock.close()
            sock = None
        gevent.sleep(PAUSE_S)


def describe_progress(results):
    """Return how far the load has built up, for a run whose limit is exceeded."""
    counts = {kind: len(request_ids) for kind, request_ids in results.items()}
    callers = len({each[:4] for each in results["answered"]})
    return f"callers answered: {callers}, requests: {counts}"


@pytest.mark.parametrize("callers", [50, 200, 800])
def test_a_planned_stop_cuts_no_accepted_request(callers):
    # Guards against requests that a stopping process has read, or passed on, and ends
    # without an answer: callers could not tell whether a booking was made.
    fleet = RoutingFleet(2, EchoRequestId(delay_ms=20.0))
    for worker in fleet.workers:
        worker.default = EchoRequestId(delay_ms=20.0)
    results = {kind: [] for kind in ("answered", "refused", "unknown", "cut", "wrong")}
    try:
        greenlets = [
            gevent.spawn(play_caller, fleet, number, results)
            for number in range(callers)
        ]
        # The stop begins under load, however long that takes to build up.
        with gevent.Timeout(LOAD_TIMEOUT_S, False):
            while len({each[:4] for each in results["answered"]}) < callers:
                gevent.sleep(PAUSE_S)
        assert len({each[:4] for each in results["answered"]}) == callers, (
            describe_progress(results)
        )
        gevent.spawn(fleet.router.drain)
        with gevent.Timeout(30.0):
            fleet.router.stopped.wait()
        gevent.joinall(greenlets, timeout=5.0)
        executed = Counter(
            dict(execution.request.headers)[b"Request-Id"].decode()
            for worker in fleet.workers
            for execution in worker.executions
        )
    finally:
        gevent.killall(greenlets)
        fleet.stop()
    assert not results["wrong"]
    # A request that crosses the close of its connection was not passed on.
    assert not [each for each in results["cut"] if executed[each]]
    assert not [each for each in results["refused"] if executed[each]]
    assert max(executed.values()) == 1
