"""The entry's HTTP server: refusals, limits, health checks, drain, plain services."""

import json
import socket
from collections.abc import Iterator

import gevent
import pytest
from entry_fakes import (
    CHAT,
    KEY,
    MODEL,
    EntryUnderTest,
    FakeSidecar,
    respond_plain,
    respond_with_words,
)

from wigeonwind.entry.health_api import HealthApi
from wigeonwind.entry.http_call import read_call
from wigeonwind.entry.openai_request import prefix_keys
from wigeonwind.links.messages import (
    Cancel,
    Chunk,
    Failed,
    Head,
    Leaving,
    LoadReport,
    Submit,
)
from wigeonwind.standins.answer_text import prefix_keys as engine_prefix_keys

POST = "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nX-Customer: named\r\n"


@pytest.fixture
def entry() -> Iterator[EntryUnderTest]:
    running = EntryUnderTest()
    yield running
    running.role.stop()


def connect(entry: EntryUnderTest) -> socket.socket:
    address = (entry.address.host, entry.address.port)
    return socket.create_connection(address, timeout=5)


def send_raw(entry: EntryUnderTest, data: bytes) -> bytes:
    """Send bytes and return all that arrives until the server closes."""
    with connect(entry) as sock:
        sock.sendall(data)
        return read_all(sock)


def read_all(sock: socket.socket) -> bytes:
    chunks = []
    while chunk := sock.recv(65536):
        chunks.append(chunk)
    return b"".join(chunks)


CHUNKED = POST + "Transfer-Encoding: chunked\r\n\r\n"


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (f"{POST}X-Big: {'a' * 20000}\r\n\r\n", 431),
        (POST + "".join(f"X-{n}: 1\r\n" for n in range(150)) + "\r\n", 431),
        (f"GET /{'a' * 9000} HTTP/1.1\r\n\r\n", 414),
        ("nonsense\r\n\r\n", 400),
        ("GET /v1/models HTTP/7.1\r\n\r\n", 400),
        (POST + "Content-Length: 100001\r\n\r\n", 413),
        (POST + "Content-Length: 1_0\r\n\r\n", 400),
        (POST + "Content-Length: 2\r\nContent-Length: 3\r\n\r\n{}", 400),
        (POST + "Transfer-Encoding: gzip, chunked\r\n\r\n", 501),
        (CHUNKED + "zz\r\n", 400),
        (CHUNKED + "f" * 40 + "\r\n", 400),
        (CHUNKED + "4\r\n{}{}XX", 400),
        (CHUNKED + "186a1\r\n" + "a" * 100001 + "\r\n0\r\n\r\n", 413),
        (POST + "Content-Length: 10\r\n\r\n{", 408),
        (POST, 408),
    ],
)
def test_malformed_requests_get_clear_refusals(
    entry: EntryUnderTest, data: str, status: int
) -> None:
    # Guards against hangs, resets and replies without details for malformed input.
    reply = send_raw(entry, data.encode())
    head, _, body = reply.partition(b"\r\n\r\n")
    assert head.startswith(f"HTTP/1.1 {status} ".encode())
    assert b"X-Outcome: not-run" in head and b"X-Request-Id: " in head
    assert json.loads(body)["error"]["message"]


@pytest.mark.parametrize(
    "body",
    [
        b"[" * 100_000,
        b'{"a":' * 15_000,
        b"[]",
        b"{",
        b"\xff",
        b'{"model": 1}',
        b'{"model": "barley-7b"}',
        b'{"model": "barley-7b", "messages": [1]}',
        b'{"model": "barley-7b", "messages": [{}], "n": 2}',
        b'{"model": "barley-7b", "messages": [{}], "stream": "yes"}',
        b'{"model": "barley-7b", "messages": [{}], "n": ' + b"9" * 9000 + b"}",
    ],
)
def test_malformed_bodies_get_clear_refusals(
    entry: EntryUnderTest, body: bytes
) -> None:
    # Guards against a stack overflow, and forwarding malformed bodies to an endpoint.
    sidecar = entry.add_sidecar(respond_with_words("x"))
    response = entry.call("POST", "/v1/chat/completions", body)
    assert (response.status, response.outcome) == (400, "not-run")
    assert sidecar.submits == []


def test_slow_callers_do_not_block_others(entry: EntryUnderTest) -> None:
    # Guards against slow-loris connections that block other callers.
    entry.add_sidecar(respond_with_words("x"))
    slow = [connect(entry) for _ in range(10)]
    for sock in slow:
        sock.sendall(b"POST /v1/chat/completions HT")
    assert entry.chat().status == 200
    assert b" 408 " in read_all(slow[0])
    for sock in slow:
        sock.close()


def test_too_many_connections_are_refused(entry: EntryUnderTest) -> None:
    # Guards against unbounded memory, and connections that are queued without a reply.
    idle = [connect(entry) for _ in range(20)]
    gevent.sleep(0.01)
    reply = send_raw(entry, b"")
    assert b"HTTP/1.1 503 " in reply and b"Retry-After: 1" in reply
    for sock in idle:
        sock.close()
    gevent.sleep(0.01)
    assert entry.call("GET", "/healthz").status == 200


@pytest.mark.parametrize(
    ("headers", "status"),
    [
        ({"Authorization": f"Bearer {KEY}"}, 200),
        ({"Authorization": "Bearer wrong"}, 401),
        ({"X-Customer": "named"}, 200),
        ({"X-Customer": "keyed"}, 401),
        ({"X-Customer": "nobody"}, 403),
        ({}, 401),
        ({"X-Customer": "named", "X-Request-Class": "gold"}, 400),
        ({"X-Customer": "named", "X-Request-Class": "desk"}, 400),
        ({"X-Customer": "named", "X-Request-Timeout-Ms": "-1"}, 400),
    ],
)
def test_identity_and_class_are_checked(
    entry: EntryUnderTest, headers: dict[str, str], status: int
) -> None:
    # Guards against serving unknown callers, and API keys in error messages.
    entry.add_sidecar(respond_with_words("x"))
    fields = {"X-Customer": "", **headers}
    response = entry.call("POST", "/v1/chat/completions", CHAT, fields)
    assert response.status == status
    assert (response.outcome is None) == (status == 200)
    assert b"wrong" not in response.body


def test_customer_without_the_class_is_refused(entry: EntryUnderTest) -> None:
    # Guards against a customer that uses a class it is not permitted to use.
    entry.add_sidecar(respond_plain(200, b""), "spot-desk")
    response = entry.call(
        "GET", "/svc/spot-desk/x", headers={"X-Customer": "chat-only"}
    )
    assert (response.status, response.outcome) == (403, "not-run")


def test_unknown_names_are_refused(entry: EntryUnderTest) -> None:
    # Guards against forwarding a request with an unknown name to some endpoint.
    assert entry.chat(model="rye-7b").json["code"] == "unknown_model"
    response = entry.call("GET", "/svc/nowhere/x")
    assert (response.status, response.json["code"]) == (404, "unknown_service")
    assert entry.call("GET", "/svc/wigeon-llm/x").status == 404
    assert entry.call("GET", "/v1/models/rye-7b").status == 404
    assert entry.call("GET", f"/v1/models/{MODEL}").json["id"] == MODEL
    assert entry.call("GET", "/nothing").outcome == "not-run"


def test_plain_request_keeps_all_but_hop_by_hop_headers(entry: EntryUnderTest) -> None:
    # Guards against altered requests or responses, and API keys sent to an endpoint.
    reply_headers = [["Set-Cookie", "a=1"], ["Set-Cookie", "b=2"], ["X-Outcome", "x"]]
    reply_headers += [["Connection", "X-Hop"], ["X-Hop", "1"], ["Content-Length", "2"]]
    sidecar = entry.add_sidecar(respond_plain(418, b"ok", reply_headers), "spot-desk")
    headers = {
        "Authorization": f"Bearer {KEY}",
        "X-Own": "1",
        "Connection": "X-Gone",
        "X-Gone": "1",
        "TE": "trailers",
    }
    path = "/svc/spot-desk/lots/a%2Fb?day=2&x=%20"
    response = entry.call("PATCH", path, b"\x00\x01", headers)
    submit = sidecar.submits[0]
    assert (submit.method, submit.path) == ("PATCH", "/lots/a%2Fb?day=2&x=%20")
    assert submit.body == b"\x00\x01" and submit.customer == "keyed"
    names = {name.lower() for name, _ in submit.headers}
    assert "x-own" in names and not names & {"authorization", "x-gone", "te"}
    assert (response.status, response.body, response.outcome) == (418, b"ok", None)
    assert response.headers["Set-Cookie"] == "b=2" and "X-Hop" not in response.headers


@pytest.mark.parametrize("length", [None, "10"])
def test_truncated_plain_response_never_looks_complete(
    entry: EntryUnderTest, length: str | None
) -> None:
    # Guards against a truncated body that looks complete to a client.
    def truncate(sidecar: FakeSidecar, submit: Submit) -> None:
        key = (submit.request_id, submit.attempt)
        headers = [["Content-Length", length]] if length else []
        sidecar.reply(Head(*key, 200, headers), Chunk(*key, 0, b"half", 0))
        sidecar.reply(Failed(*key, True, "endpoint_failed", "crashed"))

    entry.add_sidecar(truncate, "spot-desk")
    request = b"GET /svc/spot-desk/x HTTP/1.1\r\nX-Customer: named\r\n\r\n"
    reply = send_raw(entry, request)
    assert b"half" in reply
    assert not reply.endswith(b"0\r\n\r\n")


def test_entry_is_ready_once_an_endpoint_is_ready(entry: EntryUnderTest) -> None:
    # Guards against traffic from the load balancer before the entry can serve it.
    assert entry.call("GET", "/readyz").status == 503
    sidecar = entry.add_sidecar(respond_with_words("x"))
    # A link to a sidecar whose endpoint is down does not make the entry ready.
    sidecar.reply(LoadReport("side-0", 0, 8, [], 0, 0.0, 0.0, 0.0, 0, False))
    assert entry.call("GET", "/readyz").status == 503
    sidecar.reply(LoadReport("side-0", 0, 8, [], 0, 0.0, 0.0, 0.0, 0, True))
    assert entry.call("GET", "/readyz").status == 200
    assert entry.call("GET", "/healthz").status == 200
    assert entry.call("GET", "/metrics").body == b"metrics 1\n"


def test_leaving_sidecar_gets_no_new_requests(entry: EntryUnderTest) -> None:
    # Guards against requests sent to a VM after it has announced that it is leaving.
    sidecar = entry.add_sidecar(respond_with_words("x"))
    entry.add_sidecar(respond_with_words("y"))
    entry.role.on_message(sidecar, Leaving("side-0", 7))
    for _ in range(5):
        assert entry.chat().status == 200
    assert sidecar.submits == []


def test_drain_finishes_requests_in_flight(entry: EntryUnderTest) -> None:
    # Guards against a drain that truncates a response or leaves idle connections.
    in_flight: list[tuple[FakeSidecar, Submit]] = []
    entry.add_sidecar(lambda sidecar, submit: in_flight.append((sidecar, submit)))
    idle = connect(entry)
    request_greenlet = gevent.spawn(entry.chat)
    while not in_flight:
        gevent.sleep(0.001)
    drain_greenlet = gevent.spawn(entry.role.drain)
    gevent.sleep(0.001)
    assert not entry.role.ready
    assert read_all(idle) == b""
    assert not drain_greenlet.ready()
    respond_with_words("whole")(*in_flight[0])
    response = request_greenlet.get(timeout=5)
    assert response.status == 200 and response.headers["Connection"] == "close"
    drain_greenlet.get(timeout=5)
    with pytest.raises(ConnectionRefusedError):
        connect(entry)


def test_drain_answers_a_request_whose_body_is_still_arriving(
    entry: EntryUnderTest,
) -> None:
    # Guards against a stop that drops a request which was begun before it without an
    # answer, so that the caller cannot tell whether it was run.
    entry.add_sidecar(respond_with_words("whole"), "spot-desk")
    sock = connect(entry)
    head = "POST /svc/spot-desk/x HTTP/1.1\r\nX-Customer: named\r\n"
    sock.sendall(f"{head}Content-Length: 40\r\n\r\n".encode() + b"x" * 8)
    gevent.sleep(0.02)
    drain_greenlet = gevent.spawn(entry.role.drain)
    gevent.sleep(0.05)
    assert not drain_greenlet.ready()
    sock.sendall(b"x" * 32)
    assert read_all(sock).startswith(b"HTTP/1.1 ")
    drain_greenlet.get(timeout=5)


def test_stop_reports_unknown_outcome_for_requests_in_flight(
    entry: EntryUnderTest,
) -> None:
    # Guards against a stop that leaves callers waiting or reports not-run.
    sidecar = entry.add_sidecar(lambda sidecar, submit: None)
    request_greenlet = gevent.spawn(entry.chat)
    while not sidecar.submits:
        gevent.sleep(0.001)
    entry.role.stop()
    response = request_greenlet.get(timeout=5)
    assert (response.status, response.outcome) == (500, "unknown")


def test_reply_to_head_has_no_body(entry: EntryUnderTest) -> None:
    # Guards against a body after HEAD, which the caller would parse as the next reply.
    entry.add_sidecar(respond_plain(200, b"", [["Content-Length", "7"]]), "spot-desk")
    request = "HEAD {} HTTP/1.1\r\nX-Customer: named\r\n{}\r\n"
    first = request.format("/svc/spot-desk/x", "") + request.format("/healthz", "")
    reply = send_raw(
        entry, (first + request.format("/x", "Connection: close\r\n")).encode()
    )
    heads = reply.split(b"\r\n\r\n")
    assert [head[9:12] for head in heads] == [b"200", b"200", b"404", b""]
    assert b"Content-Length: 7" in heads[0]


def test_http_1_0_stream_ends_with_the_connection(entry: EntryUnderTest) -> None:
    # Guards against a stream without chunked encoding whose end is not detectable.
    entry.add_sidecar(respond_with_words("x"))
    body = json.dumps({**CHAT, "stream": True})
    head = f"{POST.replace('1.1', '1.0')}Content-Length: {len(body)}\r\n"
    reply = send_raw(entry, f"{head}Connection: keep-alive\r\n\r\n{body}".encode())
    assert reply.endswith(b"data: [DONE]\n\n")


def test_buffer_of_caller_that_never_reads_is_bounded(
    entry: EntryUnderTest, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against memory that grows with the data that a slow caller does not read.
    monkeypatch.setattr("wigeonwind.entry.pending_attempts.MAX_UNREAD_BYTES", 100_000)
    sidecar = entry.add_sidecar(lambda sidecar, submit: None)
    body = json.dumps({**CHAT, "stream": True})
    with connect(entry) as sock:
        sock.sendall(f"{POST}Content-Length: {len(body)}\r\n\r\n{body}".encode())
        while not sidecar.submits:
            gevent.sleep(0.001)
        key = (sidecar.submits[0].request_id, sidecar.submits[0].attempt)
        for seq in range(20):
            sidecar.reply(Chunk(*key, seq, b"x" * 10_000, 1))
        while not any(isinstance(row, Cancel) for row in sidecar.sent):
            gevent.sleep(0.001)
        assert entry.metrics.counts["entry_dropped_messages"] == 10


def test_health_checks_work_under_a_plain_wsgi_server() -> None:
    # Guards against failures under the operators' listener, a plain WSGI server.
    environ = {"REQUEST_METHOD": "GET", "PATH_INFO": "/healthz", "HTTP_X_A": "b"}
    statuses: list[str] = []
    call = read_call(environ, lambda status, headers: statuses.append(status))
    assert HealthApi(lambda: True, None).handle(call) == [b"alive\n"]
    assert statuses == ["200 OK"] and call.header_by_name == {"x-a": "b"}


def test_prefix_keys_match_those_of_the_engines() -> None:
    # Guards against prefix keys that do not match those in the engines' cache events.
    prompt = "a\ud800é" * 300
    keys = [row.key for row in engine_prefix_keys(prompt)]
    assert list(prefix_keys(prompt)) == keys and len(keys) == 3


def test_total_size_of_large_bodies_is_bounded(
    entry: EntryUnderTest, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against bodies within their own limit that exhaust memory together.
    monkeypatch.setattr(
        "wigeonwind.entry.entry_http.MAX_LARGE_BODY_TOTAL_BYTES", 20_000
    )
    entry.add_sidecar(respond_with_words("x"))
    for _ in range(2):
        refused = entry.chat(padding="x" * 90_000)
        assert (refused.status, refused.outcome) == (503, "not-run")
        assert entry.chat(padding="x" * 60_000).status == 200
