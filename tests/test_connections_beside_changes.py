"""Callers' connections while the configuration changes or the process is held up."""

import gevent
import pytest
from gevent import monkey
from routing_fleet import (
    configuration,
    read_reply,
    request_bytes,
    running_fleet,
)
from test_requests_during_stops import ByteReader

from wigeonwind.standins.platform_worker import EchoRequestId

# Blocks the whole process, as a long calculation does.
block_process = monkey.get_original("time", "sleep")


def apply_limits(fleet, **limits):
    """Put a configuration with these limits in force."""
    config = configuration(2)
    config["limits"].update(limits)
    fleet.store.put("config", "main", config)
    fleet.wait_for(lambda: fleet.router.configuration.table.version == 2)


def test_a_request_that_came_before_its_idle_timeout_is_answered():
    # Guards against a whole request without an answer: the process was held up while
    # it came, and closed the connection as idle before it read the request.
    with running_fleet(1, EchoRequestId()) as fleet, fleet.connect() as sock:
        sock.sendall(request_bytes("/once/x", "POST", b"b", (), "a1"))
        assert read_reply(sock).status == 200
        gevent.sleep(1.8)
        sock.sendall(request_bytes("/once/x", "POST", b"b", (), "a2"))
        block_process(0.5)
        assert read_reply(sock).body == b"a2"


@pytest.mark.parametrize("cut", [20, -1])
def test_a_request_that_came_before_its_read_timeout_is_answered(cut):
    # Guards against the same where the first part of the head or body was read before.
    with running_fleet(1, EchoRequestId()) as fleet, fleet.connect() as sock:
        data = request_bytes("/once/x", "POST", b"body", (), "a1")
        sock.sendall(data[:cut])
        gevent.sleep(0.3 if cut == 20 else 1.8)
        sock.sendall(data[cut:])
        block_process(0.5)
        assert read_reply(sock).body == b"a1"


def test_a_caller_that_sends_a_head_slowly_is_disconnected():
    # Guards against connections that are held open by input of a byte at a time.
    with running_fleet(1, EchoRequestId()) as fleet, fleet.connect() as sock:
        for byte in request_bytes("/once/x", "POST", b"b", (), "a1")[:60]:
            try:
                sock.sendall(bytes([byte]))
            except OSError:
                break
            gevent.sleep(0.02)
        else:
            pytest.fail("the connection was not closed")


def test_a_shorter_idle_timeout_does_not_keep_the_process_busy():
    # Guards against connections that wake up a thousand times a second each, from the
    # end of the new timeout to the end of the old one, and hold up all requests.
    with running_fleet(1, EchoRequestId()) as fleet, fleet.connect() as sock:
        sock.sendall(request_bytes("/once/x", "POST", b"b", (), "a1"))
        assert read_reply(sock).status == 200
        (connection,) = fleet.router._connections
        apply_limits(fleet, idle_timeout_ms=200)
        gevent.sleep(0.3)
        checks, check = [], connection._has_timed_out
        connection._has_timed_out = lambda: checks.append(1) or check()
        gevent.sleep(0.5)
        assert len(checks) < 10
        sock.sendall(request_bytes("/once/x", "POST", b"b", (), "a2"))
        assert read_reply(sock).status == 200


def test_requests_behind_many_pipelined_ones_are_answered():
    # Guards against the header timeout of a request that is not being read, because
    # enough others wait before it.
    with running_fleet(1, EchoRequestId(delay_ms=60.0)) as fleet:
        with fleet.connect() as sock:
            ids = [f"a{number}" for number in range(17)]
            datas = [request_bytes("/once/x", "POST", b"b", (), a) for a in ids]
            first = b"".join(datas)
            sock.sendall(first[:-30])
            gevent.sleep(0.1)
            sock.sendall(first[-30:])
            answered = []
            data = b""
            with gevent.Timeout(5.0, False):
                while received := sock.recv(65536):
                    data += received
                    answered = [a for a in ids if b"\r\n\r\n" + a.encode() in data]
                    if len(answered) == len(ids):
                        break
        assert answered == ids


def test_the_body_of_a_pipelined_request_is_asked_for():
    # Guards against a caller that waits for `100 Continue` without end, because the
    # head of its request came while another one was being served.
    with running_fleet(1, EchoRequestId(delay_ms=200.0)) as fleet:
        sock = fleet.connect()
        sock.sendall(request_bytes("/once/x", "POST", b"b", (), "a1"))
        gevent.sleep(0.05)
        headers = ("Expect: 100-continue",)
        data = request_bytes("/once/x", "POST", b"b", headers, "a2")
        sock.sendall(data[:-1])
        assert read_reply(ByteReader(sock)).body == b"a1"
        sock.settimeout(1.0)
        assert sock.recv(100).startswith(b"HTTP/1.1 100")
        sock.sendall(data[-1:])
        assert read_reply(sock).body == b"a2"
        sock.close()


def test_many_upgrade_offers_in_one_read_are_answered():
    # Guards against a reader that ends by an unexpected error, after which requests of
    # the connection have no answer.
    with running_fleet(1, EchoRequestId()) as fleet, fleet.connect() as sock:
        data = b"GET / HTTP/1.1\r\nHost: a\r\nUpgrade: a\r\nConnection: upgrade\r\n\r\n"
        sock.sendall(data * 1_000)
        sock.settimeout(1.0)
        assert read_reply(sock).status == 400


@pytest.mark.parametrize("path", ["/once/x", "/safe/x", "/stream/x", "/resume/x"])
def test_requests_in_flight_at_a_change_are_answered(path):
    # Guards against requests in flight whose route, service or customer is removed.
    with running_fleet(1, EchoRequestId(delay_ms=400.0)) as fleet:
        with fleet.connect() as sock:
            sock.sendall(request_bytes(path, "POST", b"b", (), "a1"))
            gevent.sleep(0.1)
            empty = configuration(2, routes=[], backends=[], tenants=[])
            empty["limits"].update(max_header_bytes=64, max_body_bytes=1)
            empty["limits"].update(header_timeout_ms=20, idle_timeout_ms=20)
            fleet.store.put("config", "main", empty)
            fleet.wait_for(lambda: fleet.router.configuration.table.version == 2)
            reply = read_reply(sock)
        assert (reply.status, reply.is_whole) == (200, True)


@pytest.mark.parametrize("cut", [30, -1])
def test_requests_read_in_part_at_a_change_are_answered(cut):
    # Guards against limits that shrink below what a caller is sending already.
    with running_fleet(1, EchoRequestId()) as fleet, fleet.connect() as sock:
        data = request_bytes("/once/x", "POST", b"body", (), "a1")
        sock.sendall(data[:cut])
        gevent.sleep(0.02)
        apply_limits(
            fleet,
            max_header_bytes=64,
            max_body_bytes=1,
            header_timeout_ms=20,
            idle_timeout_ms=20,
        )
        gevent.sleep(0.1)
        sock.sendall(data[cut:])
        assert read_reply(sock).body == b"a1"
