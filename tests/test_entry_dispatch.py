"""The entry's attempts, retries, reroutes and outcomes, with fake sidecars."""

import socket
from collections.abc import Callable, Iterator
from types import SimpleNamespace

import gevent
import pytest
from entry_fakes import (
    EntryUnderTest,
    FakeSidecar,
    chunks,
    finished,
    make_catalog,
    respond_plain,
    respond_with_words,
)

from wigeonwind.clock import ManualClock
from wigeonwind.entry.reroute_policy import ReroutePolicy
from wigeonwind.links.messages import (
    Cancel,
    Chunk,
    Failed,
    Head,
    LoadReport,
    Queued,
    Refused,
    Started,
    Submit,
    Withdraw,
    WithdrawResult,
)

Handler = Callable[[FakeSidecar, Submit], None]


@pytest.fixture(autouse=True)
def short_reroute_checks(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("wigeonwind.entry.attempt.REROUTE_CHECK_MS", 5.0)


@pytest.fixture
def entry() -> Iterator[EntryUnderTest]:
    running = EntryUnderTest(make_catalog(max_wait_ms=40.0))
    yield running
    running.role.stop()


def queue_only(sidecar: FakeSidecar, submit: Submit) -> None:
    sidecar.reply(Queued(submit.request_id, submit.attempt, 3))


def refuse(sidecar: FakeSidecar, submit: Submit) -> None:
    key = (submit.request_id, submit.attempt)
    sidecar.reply(Refused(*key, "overloaded", "queue is full", 1200.0))


def fail(started: bool) -> Handler:
    def on_submit(sidecar: FakeSidecar, submit: Submit) -> None:
        key = (submit.request_id, submit.attempt)
        sidecar.reply(Failed(*key, started, "endpoint_failed", "crashed"))

    return on_submit


def break_link(sidecar: FakeSidecar, submit: Submit) -> None:
    sidecar.break_link()


def once(first: Handler, then: Handler) -> Handler:
    """Return a handler that calls `first` once and `then` for all later attempts."""
    handlers = [first]

    def on_submit(sidecar: FakeSidecar, submit: Submit) -> None:
        handler = handlers.pop() if handlers else then
        handler(sidecar, submit)

    return on_submit


def add_two_sidecars(
    entry: EntryUnderTest, handler: Handler, service: str = "wigeon-llm"
):
    return entry.add_sidecar(handler, service), entry.add_sidecar(handler, service)


def submits(*sidecars: FakeSidecar) -> list[Submit]:
    return [submit for sidecar in sidecars for submit in sidecar.submits]


@pytest.mark.parametrize("failure", ["failed", "link", "truncated", "gap", "repeated"])
def test_response_resumes_without_gap_or_repetition(
    entry: EntryUnderTest, failure: str
) -> None:
    # Guards against a retry that repeats or skips text that the caller has received.
    def fail_midway(sidecar: FakeSidecar, submit: Submit) -> None:
        sidecar.reply(*chunks(submit, ["a ", "b "]))
        if failure == "failed":
            fail(True)(sidecar, submit)
        elif failure == "link":
            sidecar.break_link()
        elif failure == "truncated":
            sidecar.reply(finished(submit, 3))
        else:
            seq = 3 if failure == "gap" else 1
            sidecar.reply(*chunks(submit, ["x"], seq))

    def resume(sidecar: FakeSidecar, submit: Submit) -> None:
        assert (submit.resume_text, submit.resume_tokens) == ("a b ", 2)
        sidecar.reply(*chunks(submit, ["c"]), finished(submit, 1))

    sidecars = add_two_sidecars(entry, once(fail_midway, resume))
    streamed = entry.chat(stream=True)
    assert streamed.text == "a b c"
    assert streamed.body.endswith(b"data: [DONE]\n\n")
    assert sorted(row.attempt for row in submits(*sidecars)) == [0, 1]
    assert entry.metrics.counts["entry_resumed"] == 1


@pytest.mark.parametrize("stream", [True, False])
def test_truncated_response_never_looks_complete(
    entry: EntryUnderTest, stream: bool
) -> None:
    # Guards against a lost chunk followed by a reply that looks complete to a client.
    def truncate(sidecar: FakeSidecar, submit: Submit) -> None:
        sidecar.reply(*chunks(submit, ["a"]), finished(submit, 2))

    entry.add_sidecar(truncate)
    response = entry.chat(stream=stream)
    assert b"[DONE]" not in response.body
    assert b'"outcome": "failed"' in response.body
    if not stream:
        assert (response.status, response.outcome) == (502, "failed")


def test_late_or_misdirected_messages_reach_no_caller(entry: EntryUnderTest) -> None:
    # Guards against messages that arrive late, twice or over another link.
    def send_stray_messages(sidecar: FakeSidecar, submit: Submit) -> None:
        key = (submit.request_id, submit.attempt)
        other = entry.sidecars[0] if sidecar is entry.sidecars[1] else entry.sidecars[1]
        other.reply(Chunk(*key, 0, b"stolen", 1))
        sidecar.reply(Chunk(submit.request_id, submit.attempt + 1, 0, b"future", 1))
        respond_with_words("own")(sidecar, submit)
        sidecar.reply(Chunk(*key, 1, b"late", 1), finished(submit, 2))

    add_two_sidecars(entry, send_stray_messages)
    bodies = [entry.chat().json for _ in range(4)]
    texts = {body["choices"][0]["message"]["content"] for body in bodies}
    assert texts == {"own"}
    # Messages after Finished are dropped too, unless the request's greenlet has not yet
    # processed Finished.
    assert entry.metrics.counts["entry_dropped_messages"] >= 8


@pytest.mark.parametrize(
    ("handler", "outcome", "status"),
    [
        (refuse, "not-run", 503),
        (fail(False), "not-run", 502),
        (fail(True), "unknown", 502),
        (break_link, "unknown", 502),
    ],
)
def test_outcome_of_unrepeatable_request(
    entry: EntryUnderTest, handler: Handler, outcome: str, status: int
) -> None:
    # Guards against reporting not-run for a request that may have run, and retrying it.
    sidecars = add_two_sidecars(entry, handler, "spot-desk")
    response = entry.call("POST", "/svc/spot-desk/lots", b"x")
    assert (response.outcome, response.status) == (outcome, status)
    assert response.json["request_id"] == response.headers["X-Request-Id"]
    if outcome == "unknown":
        assert len(submits(*sidecars)) == 1


def test_refusal_carries_retry_after_in_whole_seconds(entry: EntryUnderTest) -> None:
    # Guards against fractional Retry-After values, invalid in HTTP, and rounding down.
    add_two_sidecars(entry, refuse)
    response = entry.chat()
    assert response.headers["Retry-After"] == "2"
    assert response.json["error"]["code"] == response.json["code"] == "overloaded"


@pytest.mark.parametrize("handler", [fail(False), fail(True), break_link])
def test_repeatable_request_is_retried_at_another_endpoint(
    entry: EntryUnderTest, handler: Handler
) -> None:
    # Guards against giving up while another endpoint could serve the request.
    add_two_sidecars(entry, once(handler, respond_plain(200, b"ok")), "spot-desk")
    assert entry.call("GET", "/svc/spot-desk/stock").body == b"ok"


@pytest.mark.parametrize("withdrawn", [True, False])
def test_queued_request_is_rerouted_only_after_withdrawal(
    entry: EntryUnderTest, withdrawn: bool
) -> None:
    # Guards against a request that runs at two endpoints.
    def on_other(sidecar: FakeSidecar, message: object) -> None:
        if isinstance(message, Withdraw):
            key = (message.request_id, message.attempt)
            sidecar.reply(WithdrawResult(*key, withdrawn))
            if not withdrawn:
                respond_plain(200, b"slow")(sidecar, sidecar.submits[0])

    handler = once(queue_only, respond_plain(200, b"fast"))
    for _ in range(2):
        entry.add_sidecar(handler, "spot-desk", on_other=on_other)
    response = entry.call("POST", "/svc/spot-desk/lots", b"x")
    assert response.body == (b"fast" if withdrawn else b"slow")
    assert len(submits(*entry.sidecars)) == (2 if withdrawn else 1)


def test_queued_request_leaves_an_ejected_endpoint() -> None:
    # Guards against requests that stay queued at an endpoint that has been ejected.
    entry = EntryUnderTest(make_catalog(max_wait_ms=60_000.0))

    def on_other(sidecar: FakeSidecar, message: object) -> None:
        if isinstance(message, Withdraw):
            key = (message.request_id, message.attempt)
            sidecar.reply(WithdrawResult(*key, True))

    def eject(sidecar: FakeSidecar, submit: Submit) -> None:
        queue_only(sidecar, submit)
        name = sidecar.hello.member_id
        entry.choice.is_ejected = lambda found, now_ms: found == name

    handler = once(eject, respond_with_words("x"))
    for _ in range(2):
        entry.add_sidecar(handler, on_other=on_other)
    assert entry.chat().status == 200
    assert entry.metrics.counts["entry_moved"] == 1
    entry.role.stop()


@pytest.mark.parametrize(
    ("reply", "outcome"), [(True, "not-run"), (False, "unknown"), (None, "unknown")]
)
def test_deadline_is_not_run_only_when_withdrawn(
    entry: EntryUnderTest, reply: bool | None, outcome: str
) -> None:
    # Guards against reporting not-run for a request that the sidecar may still start.
    def on_other(sidecar: FakeSidecar, message: object) -> None:
        if isinstance(message, Withdraw) and reply is not None:
            key = (message.request_id, message.attempt)
            sidecar.reply(WithdrawResult(*key, reply))

    sidecar = entry.add_sidecar(queue_only, on_other=on_other)
    path = "/v1/chat/completions"
    body = {"model": "barley-7b", "messages": [{"role": "user", "content": "x"}]}
    response = entry.call("POST", path, body, {"X-Request-Timeout-Ms": "10"})
    assert (response.status, response.outcome) == (504, outcome)
    assert 0 < sidecar.submits[0].budget_ms <= 10


def test_request_of_disconnected_caller_is_cancelled(entry: EntryUnderTest) -> None:
    # Guards against an endpoint that computes a response after the caller disconnected.
    sidecar = entry.add_sidecar(queue_only)
    body = b'{"model": "barley-7b", "messages": [{"role": "user"}]}'
    head = f"POST /v1/chat/completions HTTP/1.1\r\nContent-Length: {len(body)}\r\n"
    sock = socket.create_connection((entry.address.host, entry.address.port))
    sock.sendall(head.encode() + b"X-Customer: named\r\n\r\n" + body)
    wait_for(lambda: bool(sidecar.submits))
    sock.close()
    wait_for(lambda: any(isinstance(row, Cancel) for row in sidecar.sent))
    assert entry.metrics.counts["entry_cancelled"] == 1


def test_admitted_request_keeps_its_catalog(entry: EntryUnderTest) -> None:
    # Guards against a configuration change that affects an admitted request.
    def change_catalog_and_fail(sidecar: FakeSidecar, submit: Submit) -> None:
        entry.role.set_catalog(make_catalog(version=2))
        sidecar.reply(Started(submit.request_id, submit.attempt))
        fail(True)(sidecar, submit)

    sidecars = add_two_sidecars(
        entry, once(change_catalog_and_fail, respond_with_words("x"))
    )
    assert entry.chat().status == 200
    assert [row.text_version for row in submits(*sidecars)] == [1, 1]
    entry.chat()
    assert 2 in [row.text_version for row in submits(*sidecars)]


def test_request_without_an_endpoint_is_not_run(entry: EntryUnderTest) -> None:
    # Guards against waiting when no endpoint is connected.
    response = entry.chat()
    assert (response.status, response.outcome) == (503, "not-run")
    sidecar = entry.add_sidecar(respond_with_words("x"))
    sidecar.is_open = False
    assert (entry.chat().outcome, sidecar.submits) == ("not-run", [])


def wait_for(condition: Callable[[], bool]) -> None:
    """Let other greenlets run until `condition` holds, up to two seconds."""
    with gevent.Timeout(2.0):
        while not condition():
            gevent.sleep(0.001)


def confirm_withdrawal(sidecar: FakeSidecar, message: object) -> None:
    if isinstance(message, Withdraw):
        sidecar.reply(WithdrawResult(message.request_id, message.attempt, True))


def report_full_load(sidecar: FakeSidecar) -> None:
    name = sidecar.hello.member_id
    rows = [["chat", 8]]
    report = LoadReport(name, 8, 8, rows, 8, 0.0, 20.0, 100.0, 0, True, rows)
    assert sidecar.entry.on_message(sidecar, report)


def test_queued_request_stays_while_other_endpoints_are_full(
    entry: EntryUnderTest,
) -> None:
    # Guards against a reroute from one full queue to the end of another one.
    def respond_later(sidecar: FakeSidecar, submit: Submit) -> None:
        gevent.sleep(0.06)
        respond_with_words("x")(sidecar, submit)

    for _ in range(2):
        report_full_load(entry.add_sidecar(respond_later, on_other=confirm_withdrawal))
    assert entry.chat().status == 200
    assert len(submits(*entry.sidecars)) == 1
    assert not [m for s in entry.sidecars for m in s.sent if isinstance(m, Withdraw)]


def test_rerouted_request_that_is_refused_is_resent_and_served(
    entry: EntryUnderTest,
) -> None:
    # Guards against failing an admitted request only because it was rerouted.
    handler = once(queue_only, once(refuse, respond_with_words("x")))
    for _ in range(2):
        entry.add_sidecar(handler, on_other=confirm_withdrawal)
    assert entry.chat().status == 200
    first, second, third = (message.attempt for message in submits(*entry.sidecars))
    assert sorted((first, second, third)) == [0, 1, 2]
    assert sorted(len(sidecar.submits) for sidecar in entry.sidecars) == [1, 2]
    assert entry.metrics.counts["entry_resent"] == 0


def test_request_is_rerouted_again_only_after_the_maximum_wait() -> None:
    # Guards against high-priority requests that wait behind a guaranteed share while
    # another endpoint has free slots.
    load_by_id = {"a": 1.5, "b": 0.0}
    choice = SimpleNamespace(
        is_ejected=lambda name, now_ms: False,
        load_of=lambda name, priority, now_ms: load_by_id[name],
    )
    context = SimpleNamespace(clock=ManualClock(0.0), choice=choice)
    chat = make_catalog(max_wait_ms=4000.0).class_by_name["chat"]
    policy = ReroutePolicy(context, chat)  # type: ignore[arg-type]
    rerouted_after_ms = []
    for expected_ms in (2000.0, 2000.0, 4000.0, 4000.0):
        sent_ms = context.clock.now_ms()
        while not policy.should_reroute("a", sent_ms, lambda: "b"):
            context.clock.advance(100.0)
        rerouted_after_ms.append(context.clock.now_ms() - sent_ms)
        policy.on_rerouted()
        assert rerouted_after_ms[-1] == expected_ms
    context.clock.advance(60_000.0)
    load_by_id["b"] = 1.4
    assert not policy.should_reroute("a", 0.0, lambda: "b")


def test_late_attempt_stopped_by_sidecar_is_not_retried(
    entry: EntryUnderTest,
) -> None:
    # Guards against `finish_late = no` that retries a late attempt at another endpoint.
    def stop_late(sidecar: FakeSidecar, submit: Submit) -> None:
        key = (submit.request_id, submit.attempt)
        sidecar.reply(Started(*key), Failed(*key, True, "deadline", "target lost"))

    add_two_sidecars(entry, stop_late)
    response = entry.chat()
    assert (response.status, response.headers["X-Outcome"]) == (504, "failed")
    assert len(submits(*entry.sidecars)) == 1


@pytest.mark.parametrize("ending", ["failed", "refused", "head", "finished short"])
def test_an_error_after_a_stream_has_begun_is_not_part_of_its_text(
    entry: EntryUnderTest, ending: str
) -> None:
    # Guards against the text of another endpoint's error in the middle of a stream that
    # has begun, and against a stream that ends as if it were complete.
    def begin(sidecar: FakeSidecar, submit: Submit) -> None:
        sidecar.reply(*chunks(submit, ["a ", "b "]))
        fail(True)(sidecar, submit)

    def end(sidecar: FakeSidecar, submit: Submit) -> None:
        key = (submit.request_id, submit.attempt)
        if ending == "failed":
            sidecar.reply(Failed(*key, True, "bad_request", "HTTP/1.1 500 error text"))
        elif ending == "refused":
            refuse(sidecar, submit)
        elif ending == "head":
            sidecar.reply(Head(*key, 500, [["X-Error", "error text"]]))
        else:
            sidecar.reply(finished(submit, 1))

    add_two_sidecars(entry, once(begin, end))
    streamed = entry.chat(stream=True)
    assert streamed.text == "a b "
    assert b"[DONE]" not in streamed.body and b'finish_reason": "' not in streamed.body
    assert b'"outcome": "failed"' in streamed.body
