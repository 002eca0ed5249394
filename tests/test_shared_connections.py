"""Connections to endpoints that are reused while an earlier response is still sent."""

import socket

import gevent
import pytest
from routing_fleet import request_bytes, running_fleet

from wigeonwind.standins.platform_worker import FullResponse

LARGE_BODY = b"x" * 12_000_000
"""More than the buffers of a connection hold, so that sending it waits."""


def begin_to_read(fleet, path):
    """Send a request whose caller reads only the beginning of a large response."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    address = fleet.router.callers_address
    sock.connect((address.host, address.port))
    sock.sendall(request_bytes(path, request_id="large"))
    assert sock.recv(100)
    return sock


@pytest.mark.parametrize("path", ["/safe/x", "/stream/x"])
@pytest.mark.parametrize("status", [200, 404])
def test_a_caller_that_leaves_does_not_end_another_request(path, status):
    # Guards against closing a connection that is back in the pool, and in use by
    # another request, when the caller of the earlier one leaves.
    with running_fleet(workers=1) as fleet:
        worker = fleet.workers[0]
        worker.scripted.append(FullResponse(status, LARGE_BODY))
        worker.scripted.append(FullResponse(body=b"second", delay_ms=300.0))
        sock = begin_to_read(fleet, path)
        call = gevent.spawn(fleet.call, "/once/x", "POST", b"abc", request_id="second")
        fleet.wait_for(lambda: fleet.received() == 2)
        assert worker.connection_count == 1
        sock.close()
        reply = call.get(timeout=5.0)
        assert (reply.status, reply.body) == (200, b"second")
        assert fleet.received() == 2


def test_the_end_of_a_stop_ends_only_its_own_request():
    # Guards against closing the connection of another request at the end of a stop.
    with running_fleet(workers=1) as fleet:
        worker = fleet.workers[0]
        worker.scripted.append(FullResponse(body=LARGE_BODY))
        worker.scripted.append(FullResponse(body=b"second", delay_ms=300.0))
        with begin_to_read(fleet, "/safe/x"):
            call = gevent.spawn(
                fleet.call, "/once/x", "POST", b"abc", request_id="second"
            )
            fleet.wait_for(lambda: fleet.received() == 2)
            (first,) = [
                each
                for each in fleet.router._in_flight
                if each.metadata.request_id == "large"
            ]
            first.end_by_stop()
            reply = call.get(timeout=5.0)
        assert (reply.status, reply.body) == (200, b"second")


def test_a_connection_with_an_unsigned_response_is_not_reused():
    # Guards against the next request on a connection whose last response was refused.
    with running_fleet(workers=1) as fleet:
        worker = fleet.workers[0]
        worker.scripted.append(FullResponse(is_signed=False))
        assert fleet.call("/once/x", "POST", b"a", request_id="one").status == 502
        assert fleet.call("/once/x", "POST", b"a", request_id="two").status == 200
        assert worker.connection_count == 2
