"""Requests through a routing process, with test doubles of the platform."""

import errno
import json
import socket

import gevent
import pytest
from routing_fleet import (
    RoutingFleet,
    configuration,
    entry,
    read_reply,
    request_bytes,
    route,
    running_fleet,
)

from wigeonwind.routing.peer_exchange import PeerExchange
from wigeonwind.standins.platform_worker import (
    ConnectionReset,
    EventStream,
    ExtraResponse,
    FullResponse,
    NoResponse,
    NotExecuted,
    PlatformWorker,
    StaleResponse,
    TruncatedResponse,
)

THREE_EVENTS = b"id: 1\ndata: 1\n\nid: 2\ndata: 2\n\nid: 3\ndata: 3\n\n"
GENERATION_HEADERS = ("Model: m", "Token-Usage: 900,50", "Prefix-Hash: aa:400,bb:500")


def first_worker_with_request(fleet):
    return next(worker for worker in fleet.workers if worker.requests)


def test_response_is_relayed_unchanged():
    # Guards against a changed status, body or signature.
    with running_fleet() as fleet:
        reply = fleet.call("/safe/x?q=1")
    worker = first_worker_with_request(fleet)
    assert (reply.status, reply.body, reply.is_whole) == (200, b"whole", True)
    assert reply.headers["worker-signature"] == worker.name
    assert reply.headers["request-id"] == "r1"
    assert worker.requests[0].target == b"/safe/x?q=1"


def test_endpoint_receives_customer_but_not_api_key():
    # Guards against an API key that is forwarded, and against a caller that sets
    # headers of the system.
    with running_fleet() as fleet:
        fleet.call("/once/x", "POST", b"abc", ("Tenant: other", "Hold: h", "X-Own: 1"))
    worker = first_worker_with_request(fleet)
    assert worker.requests[0].body == b"abc"
    assert worker.header(0, "Tenant") == "mill"
    assert worker.header(0, "X-Api-Key") is None
    assert worker.header(0, "Hold") is None
    assert worker.header(0, "X-Own") == "1"
    assert worker.header(0, "Expect-Instance") == worker.name


def test_remaining_time_is_sent_to_endpoint():
    # Guards against an endpoint that runs a request for longer than the caller waits.
    with running_fleet() as fleet:
        fleet.call("/safe/x", headers=("Deadline-Ms: 700",))
        fleet.call("/safe/x", headers=("Deadline-Ms: 90000",))
    times = [
        int(w.header(n, "Deadline-Ms"))
        for w in fleet.workers
        for n in range(len(w.requests))
    ]
    assert max(times) <= 3000
    assert min(times) <= 700


@pytest.mark.parametrize(
    ("path", "headers", "status"),
    [
        ("/none/x", (), 404),
        ("/safe", (), 404),
        ("/safe/x", ("Host: b.example",), 404),
        ("/safe/x", ("X-Api-Key: wrong",), 401),
        ("/open/x", ("X-Api-Key: wrong",), 200),
    ],
)
def test_request_without_route_or_valid_api_key_is_refused(path, headers, status):
    # Guards against running a request that matches no route or has no valid API key,
    # and against refusing one of a public route for its key.
    with running_fleet() as fleet:
        reply = fleet.call(path, headers=headers)
        assert reply.status == status
        assert fleet.received() == (status == 200)
        if status != 200:
            assert reply.headers["x-outcome"] == "not-run"
            assert json.loads(reply.body)["request_id"] == "r1"


def test_longest_path_prefix_is_matched():
    # Guards against a route that still gets the requests of a more specific one.
    config = configuration()
    config["routes"].append(route("deep", "/safe/deep/", "safe", backend="gone"))
    with running_fleet(config=config) as fleet:
        assert fleet.call("/safe/x").status == 200
        assert fleet.call("/safe/deep/x").status == 503


def test_refusal_does_not_exclude_an_endpoint():
    # Guards against refusing a request although an endpoint has capacity again.
    with running_fleet() as fleet:
        for worker in fleet.workers:
            worker.scripted.append(NotExecuted())
        assert fleet.call("/safe/x").status == 503
        reply = fleet.call("/safe/x", request_id="r2")
    assert reply.status == 200


def test_refused_request_gets_short_retry_after():
    # Guards against a Retry-After of a whole second, which exceeds a third of most
    # deadlines.
    with running_fleet(default_response=NotExecuted()) as fleet:
        reply = fleet.call("/safe/x")
    assert reply.status == 503
    assert reply.headers["x-outcome"] == "not-run"
    assert 0.2 <= float(reply.headers["retry-after"]) <= 0.5


@pytest.mark.parametrize(
    "fault", [ConnectionReset(), TruncatedResponse(), FullResponse(is_signed=False)]
)
def test_run_once_request_is_not_retried(fault):
    # Guards against a second execution, and against reporting `not-run` for a request
    # that may have run.
    with running_fleet(default_response=fault) as fleet:
        reply = fleet.call("/once/x", "POST", b"abc")
        assert fleet.received() == 1
    assert reply.status == 502
    assert reply.headers["x-outcome"] == "unknown"


@pytest.mark.parametrize(
    "fault",
    [
        ConnectionReset(),
        TruncatedResponse(),
        FullResponse(is_signed=False),
        FullResponse(500),
    ],
)
def test_safe_request_is_retried_at_another_endpoint(fault):
    # Guards against a failure that a retry would have avoided.
    with running_fleet() as fleet:
        fleet.workers[0].default = fault
        replies = [fleet.call("/safe/x", request_id=f"r{n}") for n in range(8)]
        assert fleet.workers[0].requests
    assert {reply.status for reply in replies} == {200}


def test_failure_of_both_endpoints_is_relayed():
    # Guards against replacing the endpoint's error response with a generated one.
    with running_fleet(default_response=FullResponse(500, b"broken")) as fleet:
        reply = fleet.call("/safe/x")
        assert fleet.received() == 2
    assert (reply.status, reply.body) == (500, b"broken")
    assert "worker-signature" in reply.headers


def test_response_to_another_request_is_discarded():
    # Guards against relaying the response to another request.
    with running_fleet(1, default_response=StaleResponse()) as fleet:
        replies = [fleet.call("/safe/x", request_id=f"r{n}") for n in range(3)]
    assert {reply.body for reply in replies} == {b"whole"}


def test_connection_with_extra_bytes_is_not_reused():
    # Guards against taking extra bytes after a response for the next response.
    with running_fleet(1, default_response=ExtraResponse()) as fleet:
        replies = [fleet.call("/safe/x", request_id=f"r{n}") for n in range(3)]
        assert fleet.workers[0].connection_count == 3
    assert {reply.body for reply in replies} == {b"whole"}


def test_endpoint_connections_are_reused():
    # Guards against opening a connection for each request.
    with running_fleet(1) as fleet:
        for n in range(5):
            fleet.call("/safe/x", request_id=f"r{n}")
        assert fleet.workers[0].connection_count == 1


def test_misdirected_endpoint_is_excluded():
    # Guards against further requests to an address that now belongs to another
    # endpoint.
    with running_fleet(1, default_response=NotExecuted(421)) as fleet:
        assert fleet.call("/once/x", "POST", b"a").status == 503
        assert fleet.call("/once/x", "POST", b"a").status == 503
        assert fleet.received() == 1


def test_stream_is_relayed():
    # Guards against lost or changed events.
    with running_fleet(default_response=EventStream()) as fleet:
        reply = fleet.call("/stream/x", "POST", b"p", GENERATION_HEADERS)
    assert (reply.status, reply.body, reply.is_whole) == (200, THREE_EVENTS, True)
    assert first_worker_with_request(fleet).header(0, "Request-Priority") is not None


def test_caller_cannot_set_the_kv_copy_source():
    # Guards against an engine that copies KV cache from an address that a caller chose.
    with running_fleet(default_response=EventStream()) as fleet:
        fleet.call("/resume/x", headers=(*GENERATION_HEADERS, "Kv-Fetch: 10.0.0.9:1"))
    assert first_worker_with_request(fleet).header(0, "Kv-Fetch") is None


def test_stream_delimited_by_close_is_complete():
    # Guards against treating a stream without a length as broken.
    with running_fleet(default_response=EventStream(is_chunked=False)) as fleet:
        reply = fleet.call("/stream/x", "POST", b"p")
    assert (reply.body, reply.is_whole) == (THREE_EVENTS, True)


def test_resumed_stream_has_each_event_once():
    # Guards against a partial event in the output: the first endpoint stops within its
    # second event.
    with running_fleet(1) as fleet:
        other = PlatformWorker("w9", EventStream())
        fleet.workers.append(other)
        fleet.workers[0].default = EventStream(cut_after=1)
        fleet.store.put("servers", "w9", entry(other, capacity=8))
        fleet.wait_for(lambda: len(fleet.router.endpoints) == 2)
        for n in range(6):
            reply = fleet.call("/resume/x", "POST", b"p", request_id=f"r{n}")
            assert (reply.body, reply.is_whole) == (THREE_EVENTS, True)
        resumed = [other.header(n, "Last-Event-Id") for n in range(len(other.requests))]
    assert "1" in resumed


def test_broken_stream_that_cannot_be_resumed_is_cut_off():
    # Guards against a broken stream that looks complete, and against a second
    # execution.
    with running_fleet(default_response=EventStream(cut_after=1)) as fleet:
        reply = fleet.call("/stream/x", "POST", b"p")
        assert fleet.received() == 1
    assert reply.status == 200
    assert not reply.is_whole
    assert b"id: 2" not in reply.body


def test_caller_disconnect_cancels_the_send():
    # Guards against an endpoint that continues a request after its caller disconnected.
    with running_fleet(1, default_response=NoResponse()) as fleet:
        sock = fleet.connect()
        sock.sendall(request_bytes("/stream/x", "POST", b"p"))
        fleet.wait_for(lambda: fleet.received() == 1)
        sock.close()
        assert fleet.workers[0].closed_by_caller.wait(1.0)


def test_timed_out_request_has_unknown_outcome():
    # Guards against waiting beyond the deadline, and against reporting `not-run` for a
    # request that may have run.
    with running_fleet(1, default_response=NoResponse()) as fleet:
        reply = fleet.call("/once/x", "POST", b"a", ("Deadline-Ms: 150",))
    assert reply.status == 504
    assert reply.headers["x-outcome"] == "unknown"


def test_pipelined_requests_are_answered_in_order():
    # Guards against responses out of order on a pipelined connection.
    with running_fleet(1) as fleet:
        fleet.workers[0].scripted += [
            FullResponse(body=b"one", delay_ms=50.0),
            FullResponse(body=b"two"),
        ]
        with fleet.connect() as sock:
            sock.sendall(
                request_bytes("/safe/1") + request_bytes("/safe/2", request_id="r2")
            )
            data = b""
            while b"two" not in data:
                data += sock.recv(65536)
    assert data.index(b"one") < data.index(b"two")


@pytest.mark.parametrize(
    ("raw", "status"),
    [
        (b"GET /safe/x HTTP/1.1\r\nRequest-Id: r\r\n\r\n", 400),
        (b"GET /safe/x HTTP/1.1\nHost: a.example\n\n", 400),
        (b"POST /once/x HTTP/1.1\r\nHost: a\r\nContent-Length: 999999\r\n\r\n", 413),
        (b"GET /safe/x HTTP/1.1\r\nHost: a\r\nA: " + b"x" * 5000 + b"\r\n\r\n", 431),
        (
            b"POST /once/x HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            400,
        ),
    ],
)
def test_protocol_violation_is_refused(raw, status):
    # Guards against request smuggling and unbounded memory use.
    with running_fleet(1) as fleet:
        with fleet.connect() as sock:
            sock.sendall(raw)
            assert read_reply(sock).status == status
        assert fleet.received() == 0


def test_incomplete_request_head_times_out():
    # Guards against connections that are held open forever.
    with running_fleet(1) as fleet, fleet.connect() as sock:
        sock.sendall(b"GET /safe/x HTTP/1.1\r\nHost:")
        sock.settimeout(2.0)
        reply = read_reply(sock)
        assert (reply.status, reply.is_whole) == (408, True)
        assert reply.headers["connection"] == "close"
        assert sock.recv(100) == b""


def test_graceful_stop_completes_requests_in_flight():
    # Guards against a planned stop that cuts off a request.
    with running_fleet(1, default_response=FullResponse(delay_ms=300.0)) as fleet:
        sock = fleet.connect()
        sock.sendall(request_bytes("/once/x", "POST", b"a"))
        fleet.wait_for(lambda: fleet.received() == 1)
        stopping = gevent.spawn(fleet.router.drain)
        fleet.wait_for(lambda: fleet.router.is_draining)
        assert not fleet.router.is_ready
        reply = read_reply(sock)
        assert (reply.status, reply.headers["connection"]) == (200, "close")
        stopping.kill()


def test_connection_opened_during_a_stop_is_served():
    # Guards against a reset before the request is read: the load balancer opens new
    # connections for up to two seconds after the stop signal. In incident inc-a7d3
    # 501 requests were lost this way.
    with running_fleet() as fleet:
        stopping = gevent.spawn(fleet.router.drain)
        fleet.wait_for(lambda: fleet.router.is_draining)
        with fleet.connect() as sock:
            gevent.sleep(0.1)
            sock.sendall(request_bytes("/safe/x"))
            reply = read_reply(sock)
            assert (reply.status, reply.is_whole) == (200, True)
            assert reply.headers["connection"] == "close"
            assert sock.recv(1) == b""
        stopping.join()


def test_request_without_configuration_is_not_run():
    # Guards against 404 or 401 from a process that has not read a configuration yet.
    fleet = RoutingFleet()
    try:
        fleet.router.configuration.table = None
        reply = fleet.call("/safe/x")
    finally:
        fleet.stop()
    assert reply.status == 503
    assert reply.headers["x-outcome"] == "not-run"


def test_readiness_follows_usable_endpoints():
    # Guards against new callers at a process that cannot serve them.
    with running_fleet(1) as fleet:
        address = fleet.router.readiness_address

        def status():
            with socket.create_connection((address.host, address.port), 2.0) as sock:
                sock.sendall(b"GET /api/readyz HTTP/1.1\r\nHost: x\r\n\r\n")
                return read_reply(sock).status

        assert status() == 200
        fleet.store.remove("servers", "w0")
        fleet.wait_for(lambda: len(fleet.router.endpoints) == 0)
        assert status() == 503


def test_a_fleet_starts_although_a_port_is_in_use_for_datagrams(monkeypatch):
    # Guards against a harness that fails when another process of the machine has bound
    # the number of a router's free TCP port for UDP.
    start = PeerExchange.start
    refused = []

    def start_once_refused(exchange, address):
        if not refused:
            refused.append(address)
            raise OSError(errno.EADDRINUSE, "Address already in use")
        start(exchange, address)

    monkeypatch.setattr(PeerExchange, "start", start_once_refused)
    with running_fleet(1) as fleet:
        assert refused
        assert fleet.call("/safe/x").status == 200
