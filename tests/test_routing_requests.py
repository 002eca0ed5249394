"""Requests through a routing process, with the platform's doubles around it."""

import json
import socket
from contextlib import contextmanager

import gevent
import pytest
from routing_fleet import (
    RoutingFleet,
    configuration,
    entry,
    read_reply,
    request_bytes,
    route,
)

from wigeonwind.standins.platform_worker import (
    Events,
    ExtraAnswer,
    LateAnswer,
    NotRun,
    PlatformWorker,
    Reset,
    Silent,
    Truncated,
    Whole,
)

THREE_EVENTS = b"id: 1\ndata: 1\n\nid: 2\ndata: 2\n\nid: 3\ndata: 3\n\n"
GENERATION = ("Model: m", "Token-Usage: 900,50", "Prefix-Hash: aa:400,bb:500")


@contextmanager
def fleet(*args, **kwargs):
    made = RoutingFleet(*args, **kwargs)
    try:
        yield made
    finally:
        made.stop()


def first_request(made):
    return next(worker for worker in made.workers if worker.requests)


def test_the_answer_is_passed_on_unchanged():
    # Guards against a changed status, body or signature.
    with fleet() as made:
        reply = made.call("/safe/x?q=1")
    worker = first_request(made)
    assert (reply.status, reply.body, reply.is_whole) == (200, b"whole", True)
    assert reply.headers["worker-signature"] == worker.name
    assert reply.headers["request-id"] == "r1"
    assert worker.requests[0].target == b"/safe/x?q=1"


def test_endpoints_get_the_customer_and_never_the_key():
    # Guards against a key that reaches an endpoint, or a customer that a caller names.
    with fleet() as made:
        made.call("/once/x", "POST", b"abc", ("Tenant: other", "Hold: h", "X-Own: 1"))
    worker = first_request(made)
    assert worker.requests[0].body == b"abc"
    assert worker.header(0, "Tenant") == "mill"
    assert worker.header(0, "X-Api-Key") is None
    assert worker.header(0, "Hold") is None
    assert worker.header(0, "X-Own") == "1"
    assert worker.header(0, "Expect-Instance") == worker.name


def test_the_time_left_is_passed_on():
    # Guards against an endpoint that works for longer than the caller waits.
    with fleet() as made:
        made.call("/safe/x", headers=("Deadline-Ms: 700",))
        made.call("/safe/x", headers=("Deadline-Ms: 90000",))
    times = [
        int(w.header(n, "Deadline-Ms"))
        for w in made.workers
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
def test_routes_and_keys(path, headers, status):
    # Guards against a request that is run though no route or customer allows it.
    with fleet() as made:
        reply = made.call(path, headers=headers)
        assert reply.status == status
        assert made.received() == (status == 200)
        if status != 200:
            assert reply.headers["x-outcome"] == "not-run"
            assert json.loads(reply.body)["request_id"] == "r1"


def test_the_longest_prefix_wins():
    # Guards against a split route that still gets the requests of its parent.
    config = configuration()
    config["routes"].append(route("deep", "/safe/deep/", "safe", backend="gone"))
    with fleet(config=config) as made:
        assert made.call("/safe/x").status == 200
        assert made.call("/safe/deep/x").status == 503


def test_a_refusal_by_an_endpoint_leads_to_another():
    # Guards against a refusal while another endpoint has room.
    with fleet() as made:
        for worker in made.workers:
            worker.script.append(NotRun())
        assert made.call("/safe/x").status == 503
        reply = made.call("/safe/x", request_id="r2")
    assert reply.status == 200


def test_a_refused_request_may_come_back_soon():
    # Guards against a Retry-After of a whole second, beyond a third of most deadlines.
    with fleet(usual=NotRun()) as made:
        reply = made.call("/safe/x")
    assert reply.status == 503
    assert reply.headers["x-outcome"] == "not-run"
    assert 0.2 <= float(reply.headers["retry-after"]) <= 0.5


@pytest.mark.parametrize("fault", [Reset(), Truncated(), Whole(is_signed=False)])
def test_a_request_that_may_run_once_is_not_sent_again(fault):
    # Guards against a second execution, and against a false promise of not-run.
    with fleet(usual=fault) as made:
        reply = made.call("/once/x", "POST", b"abc")
        assert made.received() == 1
    assert reply.status == 502
    assert reply.headers["x-outcome"] == "unknown"


@pytest.mark.parametrize(
    "fault", [Reset(), Truncated(), Whole(is_signed=False), Whole(500)]
)
def test_a_safe_request_is_sent_to_another_endpoint(fault):
    # Guards against a failure that a second send would have avoided.
    with fleet() as made:
        made.workers[0].usual = fault
        replies = [made.call("/safe/x", request_id=f"r{n}") for n in range(8)]
        assert made.workers[0].requests
    assert {reply.status for reply in replies} == {200}


def test_a_failure_that_both_endpoints_share_is_passed_on():
    # Guards against an endpoint's failure that is replaced by one of our own.
    with fleet(usual=Whole(500, b"broken")) as made:
        reply = made.call("/safe/x")
        assert made.received() == 2
    assert (reply.status, reply.body) == (500, b"broken")
    assert "worker-signature" in reply.headers


def test_the_answer_of_another_request_is_dropped():
    # Guards against a caller that gets the answer of another request.
    with fleet(1, usual=LateAnswer()) as made:
        replies = [made.call("/safe/x", request_id=f"r{n}") for n in range(3)]
    assert {reply.body for reply in replies} == {b"whole"}


def test_bytes_behind_an_answer_end_the_connection():
    # Guards against extra bytes that are taken for the next answer.
    with fleet(1, usual=ExtraAnswer()) as made:
        replies = [made.call("/safe/x", request_id=f"r{n}") for n in range(3)]
        assert made.workers[0].connections == 3
    assert {reply.body for reply in replies} == {b"whole"}


def test_connections_to_endpoints_are_kept():
    # Guards against a new connection for each request.
    with fleet(1) as made:
        for n in range(5):
            made.call("/safe/x", request_id=f"r{n}")
        assert made.workers[0].connections == 1


def test_another_endpoint_at_the_address_gets_nothing():
    # Guards against work for an address that has been taken over.
    with fleet(1, usual=NotRun(421)) as made:
        assert made.call("/once/x", "POST", b"a").status == 503
        assert made.call("/once/x", "POST", b"a").status == 503
        assert made.received() == 1


def test_a_stream_is_passed_on():
    # Guards against events that are lost or changed.
    with fleet(usual=Events()) as made:
        reply = made.call("/stream/x", "POST", b"p", GENERATION)
    assert (reply.status, reply.body, reply.is_whole) == (200, THREE_EVENTS, True)
    assert first_request(made).header(0, "Request-Priority") is not None


def test_a_caller_cannot_name_the_source_of_a_copy():
    # Guards against an engine that is sent to an address of a caller's choice.
    with fleet(usual=Events()) as made:
        made.call("/resume/x", headers=(*GENERATION, "Kv-Fetch: 10.0.0.9:1"))
    assert first_request(made).header(0, "Kv-Fetch") is None


def test_a_stream_that_ends_with_its_connection_is_whole():
    # Guards against a stream without a length that is taken for a broken one.
    with fleet(usual=Events(has_length=False)) as made:
        reply = made.call("/stream/x", "POST", b"p")
    assert (reply.body, reply.is_whole) == (THREE_EVENTS, True)


def test_resumption_keeps_every_event_once():
    # Guards against joined pieces: the first endpoint stops within its second event.
    with fleet(1) as made:
        other = PlatformWorker("w9", Events())
        made.workers.append(other)
        made.workers[0].usual = Events(cut_after=1)
        made.store.put("servers", "w9", entry(other, capacity=8))
        made.wait_for(lambda: len(made.router.endpoints) == 2)
        for n in range(6):
            reply = made.call("/resume/x", "POST", b"p", request_id=f"r{n}")
            assert (reply.body, reply.is_whole) == (THREE_EVENTS, True)
        resumed = [other.header(n, "Last-Event-Id") for n in range(len(other.requests))]
    assert "1" in resumed


def test_a_stream_that_cannot_be_resumed_ends_visibly():
    # Guards against a broken stream that looks complete, and against a second run.
    with fleet(usual=Events(cut_after=1)) as made:
        reply = made.call("/stream/x", "POST", b"p")
        assert made.received() == 1
    assert reply.status == 200
    assert not reply.is_whole
    assert b"id: 2" not in reply.body


def test_a_caller_that_leaves_ends_the_work():
    # Guards against work for callers that have gone.
    with fleet(1, usual=Silent()) as made:
        sock = made.connect()
        sock.sendall(request_bytes("/stream/x", "POST", b"p"))
        made.wait_for(lambda: made.received() == 1)
        sock.close()
        assert made.workers[0].closed_by_caller.wait(1.0)


def test_no_answer_in_time_says_unknown():
    # Guards against a request that is held beyond its time, or said not to have run.
    with fleet(1, usual=Silent()) as made:
        reply = made.call("/once/x", "POST", b"a", ("Deadline-Ms: 150",))
    assert reply.status == 504
    assert reply.headers["x-outcome"] == "unknown"


def test_requests_on_one_connection_are_answered_in_order():
    # Guards against answers that overtake each other on a pipelined connection.
    with fleet(1) as made:
        made.workers[0].script += [
            Whole(body=b"one", delay_ms=50.0),
            Whole(body=b"two"),
        ]
        with made.connect() as sock:
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
def test_what_breaks_the_protocol_is_refused(raw, status):
    # Guards against smuggled requests and unbounded memory.
    with fleet(1) as made:
        with made.connect() as sock:
            sock.sendall(raw)
            assert read_reply(sock).status == status
        assert made.received() == 0


def test_a_silent_caller_is_closed():
    # Guards against connections that are held open for ever.
    with fleet(1) as made, made.connect() as sock:
        sock.sendall(b"GET /safe/x HTTP/1.1\r\nHost:")
        sock.settimeout(2.0)
        assert sock.recv(100) == b""


def test_a_stop_answers_what_is_under_way():
    # Guards against a planned stop that cuts off a request.
    with fleet(1, usual=Whole(delay_ms=300.0)) as made:
        sock = made.connect()
        sock.sendall(request_bytes("/once/x", "POST", b"a"))
        made.wait_for(lambda: made.received() == 1)
        stopping = gevent.spawn(made.router.drain)
        made.wait_for(lambda: made.router.is_draining)
        assert not made.router.is_ready
        reply = read_reply(sock)
        assert (reply.status, reply.headers["connection"]) == (200, "close")
        stopping.kill()


def test_a_connection_opened_during_a_stop_gets_an_answer():
    # Guards against callers that are reset before their request is read: the load
    # balancer sends new connections for up to two seconds after the signal (incident
    # inc-a7d3 of the wire site: 501 requests).
    with fleet() as made:
        stopping = gevent.spawn(made.router.drain)
        made.wait_for(lambda: made.router.is_draining)
        with made.connect() as sock:
            gevent.sleep(0.1)
            sock.sendall(request_bytes("/safe/x"))
            reply = read_reply(sock)
            assert (reply.status, reply.is_whole) == (200, True)
            assert reply.headers["connection"] == "close"
            assert sock.recv(1) == b""
        stopping.join()


def test_a_process_without_configuration_promises_not_run():
    # Guards against 404 or 401 from a process that knows no configuration yet.
    made = RoutingFleet()
    try:
        made.router.configuration.table = None
        reply = made.call("/safe/x")
    finally:
        made.stop()
    assert reply.status == 503
    assert reply.headers["x-outcome"] == "not-run"


def test_the_readiness_check_follows_the_state():
    # Guards against new callers for a process that cannot serve them.
    with fleet(1) as made:
        address = made.router.readiness_address

        def status():
            with socket.create_connection((address.host, address.port), 2.0) as sock:
                sock.sendall(b"GET /api/readyz HTTP/1.1\r\nHost: x\r\n\r\n")
                return read_reply(sock).status

        assert status() == 200
        made.store.remove("servers", "w0")
        made.wait_for(lambda: len(made.router.endpoints) == 0)
        assert status() == 503
