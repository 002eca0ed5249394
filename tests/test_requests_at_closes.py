"""Requests that are under way while this process closes their idle connection."""

import gevent
import pytest
from routing_fleet import read_reply, request_bytes, running_fleet
from test_requests_during_stops import CLOSING_MS, TAKING_MS, stopping_fleet

from wigeonwind.standins.platform_worker import EchoRequestId

REQUEST = request_bytes("/once/x", "POST", b"b", (), "a2")


def is_close_notice(reply):
    """Return whether a reply says that the request has not run and never will."""
    return (
        reply.status == 408
        and reply.is_whole
        and reply.headers["x-outcome"] == "not-run"
        and reply.headers["connection"] == "close"
    )


def use(sock, path="/once/x"):
    """Have a request answered on a connection that stays open."""
    sock.sendall(request_bytes(path, "POST", b"b", (), "a1"))
    reply = read_reply(sock)
    assert reply.status == 200
    assert "connection" not in reply.headers


@pytest.mark.parametrize("crossing_ms", [5.0, 40.0])
@pytest.mark.parametrize("is_used", [True, False])
def test_a_request_that_crosses_the_close_in_a_stop_is_refused(is_used, crossing_ms):
    # Guards against a request that was sent before the caller could know that the
    # process closes the connection, and that gets neither an answer nor a refusal.
    with stopping_fleet(EchoRequestId()) as stopping:
        with stopping.fleet.connect() as sock:
            if is_used:
                use(sock)
            stopping.stop()
            stopping.wait_until(CLOSING_MS + crossing_ms)
            sock.sendall(REQUEST)
            reply = read_reply(sock)
            assert is_close_notice(reply) or reply.status in (200, 503)
        executed = stopping.executed_ids()
        assert ("a2" in executed) == (reply.status == 200)


def test_a_request_that_crosses_the_idle_timeout_is_refused():
    # Guards against the same at the end of the idle timeout.
    with running_fleet(1, EchoRequestId()) as fleet, fleet.connect() as sock:
        use(sock)
        gevent.sleep(2.04)
        sock.sendall(REQUEST)
        reply = read_reply(sock)
        assert is_close_notice(reply) or reply.body == b"a2"
        assert sum(len(worker.executions) for worker in fleet.workers) <= 2


@pytest.mark.parametrize(("cut", "wait_s"), [(20, 0.5), (-1, 2.1)])
def test_a_request_whose_rest_comes_too_late_is_refused(cut, wait_s):
    # Guards against a caller that learns nothing when the timeout of its head or body
    # ends the connection.
    with running_fleet(1, EchoRequestId()) as fleet, fleet.connect() as sock:
        sock.sendall(REQUEST[:cut])
        gevent.sleep(wait_s)
        sock.sendall(REQUEST[cut:])
        assert is_close_notice(read_reply(sock))
        gevent.sleep(0.1)
        assert not fleet.received()


def test_a_close_without_a_request_is_announced():
    # Guards against callers that cannot tell an idle close from a lost request.
    with running_fleet(1, EchoRequestId()) as fleet, fleet.connect() as sock:
        use(sock)
        assert is_close_notice(read_reply(sock))
        assert sock.recv(1) == b""


def test_idle_callers_that_ignore_the_close_do_not_delay_the_stop():
    # Guards against a stop that waits for callers which keep their connection open.
    with stopping_fleet(EchoRequestId()) as stopping:
        socks = [stopping.fleet.connect() for _ in range(40)]
        try:
            for sock in socks:
                use(sock)
            stopping.stop()
            stopping.wait_until(TAKING_MS)
            late = stopping.fleet.connect()
            socks.append(late)
            assert stopping.wait_until_stopped() < CLOSING_MS + 400.0
        finally:
            for sock in socks:
                sock.close()
