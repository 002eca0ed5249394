"""Whole requests beside changes of the configuration, at each point of their way."""

import time

import gevent
import pytest
from gevent.event import Event
from routing_fleet import configuration, read_reply, request_bytes, route, running_fleet
from test_requests_during_stops import ByteReader

from wigeonwind.standins.platform_worker import (
    EchoRequestId,
    NotExecuted,
    TruncatedResponse,
)

PATHS = ["/once/x", "/safe/x", "/stream/x", "/resume/x"]


def _routes(timeout_ms, backend="desk"):
    kinds = {"safe": "safe", "once": "unsafe", "stream": "streaming"}
    fields = {"timeout_ms": timeout_ms, "backend": backend}
    routes = [route(name, f"/{name}/", kind, **fields) for name, kind in kinds.items()]
    return [*routes, route("resume", "/resume/", "streaming", resumable=True, **fields)]


SHRUNK_LIMITS = {
    "max_header_bytes": 64,
    "max_body_bytes": 1,
    "header_timeout_ms": 20,
    "idle_timeout_ms": 20,
}
NO_CUSTOMER = [{"name": "other", "api_keys": ["key-2"], "priority": 0}]
CHANGES = {
    "limits": {"limits": SHRUNK_LIMITS},
    "timeout": {"routes": _routes(20)},
    "routes": {"routes": []},
    "service": {"routes": _routes(3000, "mill"), "backends": [{"name": "mill"}]},
    "customer": {"tenants": NO_CUSTOMER},
    "all": {"routes": [], "backends": [], "tenants": [], "limits": SHRUNK_LIMITS},
}


def put_changes(fleet, *names):
    """Write a version for each of the named changes, one right after the other."""
    for version, name in enumerate(names, 2):
        fleet.store.put("config", "main", configuration(version, **CHANGES[name]))


def wait_for_version(fleet, version):
    fleet.wait_for(lambda: fleet.router.configuration.table.version == version)


def requests_of(fleet):
    """Return how often workers received each request."""
    ids = [
        dict(request.headers)[b"Request-Id"].decode()
        for worker in fleet.workers
        for request in worker.requests
    ]
    return {request_id: ids.count(request_id) for request_id in ids}


@pytest.mark.parametrize("path", PATHS)
@pytest.mark.parametrize("name", CHANGES)
def test_a_request_that_waits_for_its_connection_is_answered(name, path):
    # Guards against a request that is lost, or goes on without its route, because the
    # configuration changes before it is sent.
    with running_fleet(1, EchoRequestId()) as fleet:
        pool = fleet.router.pool
        open_connection, may_open = pool.open, Event()

        def open_later(endpoint):
            may_open.wait(2.0)
            return open_connection(endpoint)

        pool.open = open_later
        with fleet.connect() as sock:
            sock.sendall(request_bytes(path, "POST", b"b", (), "a1"))
            fleet.wait_for(lambda: len(fleet.router._in_flight) == 1)
            put_changes(fleet, name)
            wait_for_version(fleet, 2)
            may_open.set()
            reply = read_reply(sock)
        assert (reply.status, reply.body, reply.is_whole) == (200, b"a1", True)


@pytest.mark.parametrize("name", CHANGES)
def test_a_request_that_is_being_repeated_is_answered(name):
    # Guards against a retry that is decided by another route than its first send.
    with running_fleet(2, EchoRequestId(delay_ms=150.0)) as fleet:
        for worker in fleet.workers:
            worker.scripted.append(NotExecuted())
        with fleet.connect() as sock:
            sock.sendall(request_bytes("/safe/x", "POST", b"b", (), "a1"))
            fleet.wait_for(fleet.received)
            put_changes(fleet, name)
            reply = read_reply(sock)
            wait_for_version(fleet, 2)
        assert reply.is_whole
        assert reply.status in (200, 503)
        assert requests_of(fleet)["a1"] <= 2


@pytest.mark.parametrize("name", CHANGES)
def test_a_request_whose_first_endpoint_breaks_off_is_answered(name):
    # Guards against the same after a failed response.
    with running_fleet(2, EchoRequestId()) as fleet:
        for worker in fleet.workers:
            worker.scripted.append(TruncatedResponse())
        with fleet.connect() as sock:
            sock.sendall(request_bytes("/once/x", "POST", b"b", (), "a1"))
            put_changes(fleet, name)
            reply = read_reply(sock)
        assert (reply.status, reply.is_whole) == (502, True)
        assert reply.headers["x-outcome"] == "unknown"
        assert requests_of(fleet) == {"a1": 1}


@pytest.mark.parametrize("path", PATHS)
@pytest.mark.parametrize(
    "names", [("limits", "timeout"), ("routes", "customer"), ("all", "service", "all")]
)
def test_requests_in_flight_at_two_changes_are_answered(names, path):
    # Guards against a second change that comes before the first one is in force.
    with running_fleet(1, EchoRequestId(delay_ms=300.0)) as fleet:
        with fleet.connect() as sock:
            sock.sendall(request_bytes(path, "POST", b"b", (), "a1"))
            fleet.wait_for(fleet.received)
            put_changes(fleet, *names)
            wait_for_version(fleet, len(names) + 1)
            reply = read_reply(sock)
        assert (reply.status, reply.body, reply.is_whole) == (200, b"a1", True)


@pytest.mark.parametrize("name", CHANGES)
def test_pipelined_requests_are_answered_in_order(name):
    # Guards against requests behind another one, read under the old configuration and
    # served under the new one, that get nothing.
    with running_fleet(1, EchoRequestId(delay_ms=80.0)) as fleet:
        ids = [f"a{number}" for number in range(6)]
        with fleet.connect() as sock:
            data = [request_bytes("/once/x", "POST", b"b", (), each) for each in ids]
            sock.sendall(b"".join(data))
            gevent.sleep(0.1)
            put_changes(fleet, name)
            reader = ByteReader(sock)
            replies = [read_reply(reader) for _ in ids]
        assert all(reply.is_whole for reply in replies)
        served = [reply.body.decode() for reply in replies if reply.status == 200]
        refused = {reply.status for reply in replies} - {200}
        assert served == ids[: len(served)]
        assert len(served) >= 2
        assert refused <= {401, 404, 503, 504}
        if name == "limits":
            assert served == ids


@pytest.mark.parametrize("name", CHANGES)
@pytest.mark.parametrize("is_chunked", [False, True])
def test_a_body_in_pieces_beside_changes_is_answered(is_chunked, name):
    # Guards against a body that is cut off, or its request dropped, because the limits
    # shrink while it arrives.
    with running_fleet(1, EchoRequestId()) as fleet, fleet.connect() as sock:
        headers = ("Transfer-Encoding: chunked",) if is_chunked else ()
        data = request_bytes("/once/x", "POST", b"" if is_chunked else b"body", headers)
        data += b"2\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n" if is_chunked else b""
        sock.sendall(data[:-7])
        gevent.sleep(0.02)
        put_changes(fleet, name, name)
        wait_for_version(fleet, 3)
        for byte in data[-7:]:
            gevent.sleep(0.03)
            sock.sendall(bytes([byte]))
        reply = read_reply(sock)
        assert reply.is_whole
        if name == "limits":
            assert reply.status == 200
        elif reply.status != 200 or name != "timeout":
            assert reply.headers["x-outcome"] == "not-run"


def test_connections_used_as_they_are_closed_get_a_response():
    # Guards against requests that are lost at the end of an idle timeout that a change
    # has shortened.
    with running_fleet(1, EchoRequestId()) as fleet:
        limits = {**configuration()["limits"], "idle_timeout_ms": 300}
        fleet.store.put("config", "main", configuration(2, limits=limits))
        wait_for_version(fleet, 2)
        offsets_ms = [number - 15.0 for number in range(40)]
        replies = [gevent.spawn(_reuse, fleet, each) for each in offsets_ms]
        gevent.joinall(replies, raise_error=True)
        statuses = [each.value.status for each in replies]
        assert all(each.value.is_whole for each in replies), statuses
        assert set(statuses) <= {200, 408}
        assert fleet.received() == len(offsets_ms) + statuses.count(200)


def _reuse(fleet, offset_ms):
    """Use a connection again at a time relative to its idle timeout."""
    with fleet.connect() as sock:
        sock.sendall(request_bytes("/once/x", "POST", b"b", (), f"a{offset_ms}"))
        assert read_reply(sock).status == 200
        answered_s = time.monotonic()
        gevent.sleep((300.0 + offset_ms) / 1_000.0 - (time.monotonic() - answered_s))
        sock.sendall(request_bytes("/once/x", "POST", b"b", (), f"b{offset_ms}"))
        return read_reply(sock)


@pytest.mark.parametrize("name", CHANGES)
def test_requests_are_answered_while_the_store_falls_silent(name):
    # Guards against a change that lands while the store goes away, in force or not.
    with running_fleet(1, EchoRequestId(delay_ms=200.0)) as fleet:
        with fleet.connect() as sock:
            sock.sendall(request_bytes("/once/x", "POST", b"b", (), "a1"))
            fleet.wait_for(fleet.received)
            put_changes(fleet, name)
            fleet.store.stop()
            reply = read_reply(sock)
            sock.sendall(request_bytes("/once/x", "POST", b"b", (), "a2"))
            later = read_reply(sock)
        assert (reply.status, reply.body, reply.is_whole) == (200, b"a1", True)
        assert later.is_whole
        assert later.status in (200, 401, 404, 408, 431, 503, 504)
