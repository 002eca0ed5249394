"""What an entry answers to the requests that are open during a drain and at its end."""

import json
import socket
import time
from collections.abc import Callable, Iterator

import gevent
import pytest
from entry_fakes import (
    CHAT,
    SETTINGS,
    EntryUnderTest,
    FakeSidecar,
    finished,
    respond_plain,
    respond_with_words,
)

from wigeonwind.links.messages import (
    Chunk,
    Head,
    Queued,
    Started,
    Submit,
    Withdraw,
    WithdrawResult,
)

LIMIT_MS = 800
HEAD = "{} /svc/spot-desk/x HTTP/{}\r\nX-Customer: named\r\n"


def drain_settings(grace_ms: int, limit_ms: int = LIMIT_MS) -> str:
    """Return the settings of an entry; its read timeout is longer than its drain."""
    source = SETTINGS.replace("read_timeout_ms = 200", "read_timeout_ms = 5000")
    source = source.replace("grace_ms = 0", f"grace_ms = {grace_ms}")
    return source.replace("limit_ms = 2000", f"limit_ms = {limit_ms}")


@pytest.fixture
def make_entry() -> Iterator[Callable[..., EntryUnderTest]]:
    entries: list[EntryUnderTest] = []

    def make(grace_ms: int = 0, limit_ms: int = LIMIT_MS) -> EntryUnderTest:
        entries.append(EntryUnderTest(source=drain_settings(grace_ms, limit_ms)))
        return entries[-1]

    yield make
    for entry in entries:
        entry.role.stop()


def connect(entry: EntryUnderTest) -> socket.socket:
    return socket.create_connection((entry.address.host, entry.address.port), 5)


def send(entry: EntryUnderTest, data: str) -> socket.socket:
    sock = connect(entry)
    sock.sendall(data.encode())
    gevent.sleep(0.03)
    return sock


def read_all(sock: socket.socket) -> bytes:
    chunks = []
    while chunk := sock.recv(65536):
        chunks.append(chunk)
    return b"".join(chunks)


def drain_and_stop(entry: EntryUnderTest) -> gevent.Greenlet:
    """Stop an entry as its process does; return the greenlet that waits for the end."""

    def run() -> float:
        started_s = time.monotonic()
        entry.role.drain()
        entry.role.stop()
        return (time.monotonic() - started_s) * 1000.0

    greenlet = gevent.spawn(run)
    gevent.sleep(0.01)
    return greenlet


def never_respond(sidecar: FakeSidecar, submit: Submit) -> None:
    sidecar.reply(Started(submit.request_id, submit.attempt))


def test_a_request_without_a_response_is_answered_as_unknown_before_the_limit(
    make_entry,
) -> None:
    # Guards against an exit that closes the connection of a request which may have run
    # without an answer, or reports an internal error instead.
    entry = make_entry()
    entry.add_sidecar(never_respond, "spot-desk")
    sock = send(entry, HEAD.format("POST", "1.1") + "Content-Length: 0\r\n\r\n")
    draining = drain_and_stop(entry)
    reply = read_all(sock)
    assert reply.startswith(b"HTTP/1.1 502 ") and b"X-Outcome: unknown" in reply
    assert draining.get(timeout=5) <= LIMIT_MS


@pytest.mark.parametrize("withdrawn", [True, False])
def test_a_queued_request_is_withdrawn_at_the_end(make_entry, withdrawn: bool) -> None:
    # Guards against a request that never starts but is reported as unknown, and against
    # one that is reported as not run although its sidecar has started it.
    def queue(sidecar: FakeSidecar, submit: Submit) -> None:
        sidecar.reply(Queued(submit.request_id, submit.attempt, 3))

    def answer(sidecar: FakeSidecar, message: object) -> None:
        if isinstance(message, Withdraw):
            key = (message.request_id, message.attempt)
            sidecar.reply(WithdrawResult(*key, withdrawn))

    entry = make_entry()
    entry.add_sidecar(queue, "spot-desk", on_other=answer)
    sock = send(entry, HEAD.format("POST", "1.1") + "Content-Length: 0\r\n\r\n")
    drain_and_stop(entry)
    status, outcome = (503, "not-run") if withdrawn else (502, "unknown")
    reply = read_all(sock).decode()
    assert reply.startswith(f"HTTP/1.1 {status} ") and f"X-Outcome: {outcome}" in reply


@pytest.mark.parametrize(
    "begun",
    ["POST /svc/spot-", HEAD.format("POST", "1.1") + "Content-Length: 9\r\n\r\nabc"],
    ids=["head", "body"],
)
def test_a_request_that_is_still_arriving_at_the_end_is_refused(
    make_entry, begun: str
) -> None:
    # Guards against an exit that drops a request whose head or body was arriving.
    entry = make_entry()
    sidecar = entry.add_sidecar(respond_plain(200, b"ok"), "spot-desk")
    sock = send(entry, begun)
    drain_and_stop(entry)
    reply = read_all(sock)
    assert reply.startswith(b"HTTP/1.1 503 ") and b"X-Outcome: not-run" in reply
    assert sidecar.submits == []


def test_an_http_1_0_response_that_is_cut_at_the_end_is_reset(make_entry) -> None:
    # Guards against a truncated response that ends like a complete one.
    def respond_half(sidecar: FakeSidecar, submit: Submit) -> None:
        key = (submit.request_id, submit.attempt)
        sidecar.reply(Head(*key, 200, []), Chunk(*key, 0, b"half", 0))

    entry = make_entry()
    entry.add_sidecar(respond_half, "spot-desk")
    sock = send(entry, HEAD.format("GET", "1.0") + "\r\n")
    drain_and_stop(entry)
    with pytest.raises(ConnectionResetError):
        read_all(sock)


def test_a_stream_that_is_cut_at_the_end_says_so(make_entry) -> None:
    # Guards against a stream that ends without an error event.
    def respond_half(sidecar: FakeSidecar, submit: Submit) -> None:
        key = (submit.request_id, submit.attempt)
        sidecar.reply(Started(*key), Chunk(*key, 0, b"half", 1))

    entry = make_entry()
    entry.add_sidecar(respond_half)
    body = json.dumps({**CHAT, "stream": True})
    head = "POST /v1/chat/completions HTTP/1.1\r\nX-Customer: named\r\n"
    sock = send(entry, f"{head}Content-Length: {len(body)}\r\n\r\n{body}")
    drain_and_stop(entry)
    reply = read_all(sock)
    assert b"half" in reply and b'"error"' in reply and b"[DONE]" not in reply


def test_a_booking_that_waits_for_the_store_is_answered_at_the_end(make_entry) -> None:
    # Guards against a booking that gets an internal error when the process exits.
    entry = make_entry()
    entry.add_sidecar(respond_plain(200, b"ok"), "spot-desk")
    entry.store.put = lambda *fields: gevent.sleep(60.0)
    head = HEAD.format("POST", "1.1") + "Idempotency-Key: k\r\n"
    sock = send(entry, head + "Content-Length: 0\r\n\r\n")
    drain_and_stop(entry)
    reply = read_all(sock)
    assert reply.startswith(b"HTTP/1.1 502 ") and b"X-Outcome: unknown" in reply


def test_a_booking_is_not_sent_at_the_end(make_entry) -> None:
    # Guards against a booking whose claim is confirmed in the last moment and that is
    # sent although its response cannot be awaited.
    entry = make_entry()
    sidecar = entry.add_sidecar(never_respond, "spot-desk")
    put = entry.store.put

    def put_late(*fields):
        gevent.sleep((LIMIT_MS - 100.0) / 1000.0)
        return put(*fields)

    entry.store.put = put_late
    head = HEAD.format("POST", "1.1") + "Idempotency-Key: k\r\n"
    sock = send(entry, head + "Content-Length: 0\r\n\r\n")
    drain_and_stop(entry)
    reply = read_all(sock)
    assert b"X-Outcome: " in reply and sidecar.submits == []


def test_pipelined_requests_are_answered_during_a_drain(make_entry) -> None:
    # Guards against requests behind the first one that are dropped with the connection.
    entry = make_entry(grace_ms=100, limit_ms=8_000)
    held: list[tuple[FakeSidecar, Submit]] = []
    entry.add_sidecar(lambda *call: held.append(call), "spot-desk")
    sock = send(entry, (HEAD.format("GET", "1.1") + "\r\n") * 3)
    drain_and_stop(entry)
    for number in range(3):
        with gevent.Timeout(2.0):
            while len(held) <= number:
                gevent.sleep(0.005)
        gevent.sleep(0.08)
        respond_plain(200, b"ok")(*held[number])
    reply = read_all(sock)
    assert reply.count(b"HTTP/1.1 ") == 3
    assert reply.count(b"Connection: close") == 1


def test_a_connection_whose_head_did_not_end_it_takes_one_more_request(
    make_entry,
) -> None:
    # Guards against a connection that is closed as its caller sends the next request,
    # though no response said that it would be closed.
    entry = make_entry(limit_ms=8_000)
    held: list[tuple[FakeSidecar, Submit]] = []

    def begin(sidecar: FakeSidecar, submit: Submit) -> None:
        key = (submit.request_id, submit.attempt)
        sidecar.reply(Head(*key, 200, []), Chunk(*key, 0, b"half", 0))
        held.append((sidecar, submit))

    entry.add_sidecar(begin, "spot-desk")
    sock = send(entry, HEAD.format("GET", "1.1") + "\r\n")
    draining = drain_and_stop(entry)
    gevent.sleep(0.05)
    held[0][0].reply(finished(held[0][1], 1))
    gevent.sleep(0.05)
    sock.sendall((HEAD.format("GET", "1.1") + "\r\n").encode())
    gevent.sleep(0.05)
    if len(held) > 1:
        held[1][0].reply(finished(held[1][1], 1))
    reply = read_all(sock)
    assert reply.count(b"HTTP/1.1 ") == 2 and b"Connection: close" in reply
    draining.get(timeout=5)


def test_a_late_request_that_waits_for_100_continue_is_refused_at_once(
    make_entry,
) -> None:
    # Guards against a caller that is asked for a body late in a drain.
    entry = make_entry()
    sidecar = entry.add_sidecar(respond_plain(200, b"ok"), "spot-desk")
    head = HEAD.format("POST", "1.1") + "Expect: 100-continue\r\nContent-Length: 9\r\n"
    sock = send(entry, head)
    drain_and_stop(entry)
    gevent.sleep(0.05)
    sock.sendall(b"\r\n")
    started_s = time.monotonic()
    reply = read_all(sock)
    assert reply.startswith(b"HTTP/1.1 503 ") and b"X-Outcome: not-run" in reply
    assert time.monotonic() - started_s < 0.4 and sidecar.submits == []


def test_a_request_that_needs_longer_than_the_time_left_is_refused(make_entry) -> None:
    # Guards against requests that are taken late in a drain and cut at its end, though
    # earlier requests of the service show that there is no time for them.
    entry = make_entry(grace_ms=600)

    def respond_slowly(sidecar: FakeSidecar, submit: Submit) -> None:
        gevent.sleep(0.4)
        respond_plain(200, b"ok")(sidecar, submit)

    sidecar = entry.add_sidecar(respond_slowly, "spot-desk")
    assert entry.call("POST", "/svc/spot-desk/x").status == 200
    drain_and_stop(entry)
    gevent.sleep(0.4)
    response = entry.call("POST", "/svc/spot-desk/x")
    assert (response.status, response.outcome) == (503, "not-run")
    assert response.json["code"] == "draining" and len(sidecar.submits) == 1


def test_a_request_of_an_unmeasured_kind_needs_time_in_reserve(make_entry) -> None:
    # Guards against a fresh process that takes a request late in its drain without
    # knowing how long it will run.
    entry = make_entry(grace_ms=600)
    sidecar = entry.add_sidecar(never_respond, "spot-desk")
    drain_and_stop(entry)
    response = entry.call("POST", "/svc/spot-desk/x")
    assert (response.status, response.outcome) == (503, "not-run")
    assert sidecar.submits == []
    short = {"X-Request-Timeout-Ms": "100"}
    response = entry.call("POST", "/svc/spot-desk/x", headers=short)
    assert (response.status, response.outcome) == (504, "unknown")


def test_a_request_is_refused_if_a_silent_endpoint_could_let_it_be_cut(
    make_entry,
) -> None:
    # Guards against a booking that is sent late in a drain, as earlier ones took some
    # ms, and ends as unknown because its endpoint is silent for a second.
    entry = make_entry(grace_ms=600, limit_ms=1_400)
    sidecar = entry.add_sidecar(respond_plain(200, b"ok"), "spot-desk")
    assert entry.call("POST", "/svc/spot-desk/x").status == 200

    def respond_late(sidecar: FakeSidecar, submit: Submit) -> None:
        gevent.sleep(1.0)
        respond_plain(200, b"ok")(sidecar, submit)

    sidecar.on_submit = respond_late
    drain_and_stop(entry)
    gevent.sleep(0.4)
    response = entry.call("POST", "/svc/spot-desk/x")
    assert (response.status, response.outcome) == (503, "not-run")
    assert len(sidecar.submits) == 1


def test_a_short_request_is_served_late_in_a_drain(make_entry) -> None:
    # Guards against refusals of requests that would have ended in time.
    entry = make_entry(grace_ms=600, limit_ms=2_400)
    entry.add_sidecar(respond_plain(200, b"ok"), "spot-desk")
    assert entry.call("POST", "/svc/spot-desk/x").status == 200
    drain_and_stop(entry)
    gevent.sleep(0.4)
    assert entry.call("POST", "/svc/spot-desk/x").status == 200


def test_a_grace_period_longer_than_the_limit_ends_with_the_limit(make_entry) -> None:
    # Guards against a drain that lasts longer than its limit.
    entry = make_entry(grace_ms=5_000)
    entry.add_sidecar(respond_with_words("x"))
    assert drain_and_stop(entry).get(timeout=10) <= LIMIT_MS + 100
