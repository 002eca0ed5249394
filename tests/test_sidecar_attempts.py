"""Guarantees of the sidecar: reliable `not-run`, at most one run, correct outcomes."""

import json
from dataclasses import replace

import pytest
from gevent import spawn
from sidecar_fakes import FakeLink, SidecarHarness, wait_until

from wigeonwind.catalog import LatencyTarget, RequestClass, TargetKind
from wigeonwind.links.messages import (
    Cancel,
    Chunk,
    ClaimState,
    Failed,
    Finished,
    Head,
    Leaving,
    LoadReport,
    Queued,
    Refused,
    ResolveClaim,
    Started,
    Withdraw,
    WithdrawResult,
)


@pytest.fixture
def make_harness():
    harnesses = []

    def make(**options):
        harnesses.append(SidecarHarness(**options))
        return harnesses[-1]

    yield make
    for harness in harnesses:
        harness.close()


def received_text(link):
    return b"".join(chunk.data for chunk in link.of_type(Chunk)).decode()


def test_an_answer_is_relayed_completely_and_in_order(make_harness):
    harness = make_harness()
    harness.endpoint.script = [f"w{i} " for i in range(300)] + ["end"]
    harness.submit(resume_text="before", path="/v1/completions")
    end = harness.link.wait_for(Finished)
    chunks = harness.link.of_type(Chunk)
    assert received_text(harness.link) == "".join(f"w{i} " for i in range(300))
    assert [chunk.seq for chunk in chunks] == list(range(len(chunks)))
    assert sum(chunk.tokens for chunk in chunks) == 300
    assert end == Finished("r1", 0, len(chunks), "stop", 3, 2, 1)
    kinds = [type(m) for m in harness.link.sent if type(m) not in (Chunk, LoadReport)]
    assert kinds == [Queued, Started, Finished]
    fields = json.loads(harness.endpoint.requests[0][3])
    assert fields["resume_text"] == "before"
    assert (fields["priority"], fields["stream"]) == (2, True)


def test_a_delayed_duplicate_of_a_withdrawn_attempt_never_runs(make_harness):
    harness = make_harness(slots=0)
    copy = harness.submit()
    harness.sidecar.on_message(harness.link, Withdraw("r1", 0))
    assert harness.link.wait_for(WithdrawResult).withdrawn
    harness.queue.slots = 2
    harness.sidecar.on_message(harness.link, copy)
    assert harness.link.wait_for(Refused).attempt == 0
    # The key is still retained just before the 10 minutes of RETENTION_MS are over.
    harness.clock.advance(599_000.0)
    harness.sidecar.on_message(harness.link, copy)
    harness.submit("r2")
    harness.link.wait_for(Finished)
    assert len(harness.endpoint.requests) == 1


def test_a_withdrawal_that_overtakes_its_submit_is_effective(make_harness):
    # Guards against a withdrawn attempt that runs because its Submit was sent on an
    # older link than the Withdraw.
    harness = make_harness()
    harness.sidecar.on_message(harness.link, Withdraw("r1", 0))
    assert harness.link.wait_for(WithdrawResult).withdrawn
    harness.submit()
    assert harness.link.wait_for(Refused)
    assert harness.endpoint.requests == []


def test_started_and_ended_attempts_are_not_withdrawn_or_repeated(make_harness):
    harness = make_harness()
    harness.endpoint.ungated_items = 1
    copy = harness.submit()
    harness.link.wait_for(Chunk)
    harness.sidecar.on_message(harness.link, copy)
    harness.sidecar.on_message(harness.link, Withdraw("r1", 0))
    assert not harness.link.wait_for(WithdrawResult).withdrawn
    harness.endpoint.gate.set()
    harness.link.wait_for(Finished)
    harness.sidecar.on_message(harness.link, copy)
    harness.sidecar.on_message(harness.link, Withdraw("r1", 0))
    assert not harness.link.wait_for(WithdrawResult, 2).withdrawn
    assert harness.endpoint.paths() == ["/v1/chat/completions"]
    assert harness.link.of_type(Refused) == []
    assert harness.metric_value("wigeonwind_duplicate_submits_total") == 2


@pytest.mark.parametrize("is_link_lost", [False, True])
def test_a_cancelled_stream_stops_the_engine_and_counts_wasted_tokens(
    make_harness, is_link_lost
):
    harness = make_harness()
    harness.endpoint.ungated_items = 2
    harness.submit()
    wait_until(lambda: received_text(harness.link) == "a b")
    if is_link_lost:
        harness.link.is_open = False
        harness.sidecar.on_down(harness.link, "broken")
    else:
        harness.sidecar.on_message(harness.link, Cancel("r1", 0))
        end = harness.link.wait_for(Failed)
        assert (end.started, end.code) == (True, "cancelled")
    wait_until(lambda: "/control/cancel" in harness.endpoint.paths())
    body = json.loads(harness.endpoint.requests[-1][3])
    sent = json.loads(harness.endpoint.requests[0][3])
    assert body["request_id"] == sent["request_id"]
    name = 'wigeonwind_wasted_tokens_total{reason="cancelled"}'
    # Two tokens were sent; the engine reports that it has generated three.
    wait_until(lambda: harness.metric_value(name) == 3)
    wait_until(lambda: not harness.queue.running)


def test_queued_attempts_of_a_closed_link_never_start(make_harness):
    harness = make_harness(slots=0)
    harness.submit()
    harness.link.is_open = False
    # The runtime may not report the closing of a spare link; the tick detects it.
    harness.sidecar.tick()
    assert harness.queue.waiting == []
    harness.queue.slots = 2
    harness.sidecar.tick()
    assert harness.endpoint.requests == []


def test_an_engine_that_fails_during_an_answer_is_reported_as_started(make_harness):
    harness = make_harness()
    harness.endpoint.script = ["a", " b", "cut"]
    harness.submit()
    end = harness.link.wait_for(Failed)
    assert (end.started, end.code) == (True, "endpoint_failed")
    assert received_text(harness.link) == "a b"


def test_a_stream_without_a_finish_reason_is_not_complete(make_harness):
    # Guards against delivering a truncated answer as complete.
    harness = make_harness()
    harness.endpoint._event = lambda item: b"data: [DONE]\n\n"
    harness.submit()
    assert harness.link.wait_for(Failed).started
    assert harness.link.of_type(Finished) == []


@pytest.mark.parametrize("body", [b"no JSON", b"[" * 100_000, b"[]"])
def test_an_invalid_body_fails_the_attempt_and_is_not_sent(make_harness, body):
    # Guards against an attempt without an outcome if the JSON parser raises
    # RecursionError.
    harness = make_harness()
    harness.submit(body=body)
    end = harness.link.wait_for(Failed)
    assert (end.started, end.code) == (False, "bad_request")
    assert harness.endpoint.requests == []


@pytest.mark.parametrize("kind", ["model", "plain"])
def test_a_refused_connection_is_reported_as_not_started(make_harness, kind):
    harness = make_harness(kind=kind, address="127.0.0.1:1")
    harness.submit()
    end = harness.link.wait_for(Failed)
    assert not end.started
    assert harness.link.of_type(Started) == []


@pytest.mark.parametrize(
    "fields, code",
    [
        ({"target_incarnation": 6}, "no_endpoint"),
        ({"service": "other"}, "unknown_service"),
        ({"budget_ms": 300.0}, "deadline"),
    ],
)
def test_submits_with_wrong_target_or_passed_deadline_are_refused(
    make_harness, fields, code
):
    harness = make_harness()
    harness.sidecar.tick()
    # The process was paused; the Submit may have waited in the socket buffer for the
    # whole pause.
    harness.clock.advance(400.0)
    harness.submit(**fields)
    assert harness.link.wait_for(Refused).code == code
    assert harness.queue.running == {}


def test_a_process_pause_shortens_the_deadline_of_messages_read_after_it(make_harness):
    harness = make_harness(slots=0)
    harness.sidecar.tick()
    harness.clock.advance(400.0)
    harness.sidecar.tick()
    harness.submit(budget_ms=1000.0)
    assert harness.queue.waiting[0].deadline_ms == harness.clock.now_ms() + 600.0


def test_pause_and_resume_are_sent_to_the_engine_in_order(make_harness):
    harness = make_harness()
    harness.endpoint.ungated_items = 1
    harness.submit()
    harness.link.wait_for(Chunk)
    harness.queue.pause(("r1", 0), "drop")
    harness.queue.resume(("r1", 0))
    harness.sidecar.tick()
    wait_until(lambda: len(harness.endpoint.requests) == 3)
    assert harness.endpoint.paths()[1:] == ["/control/pause", "/control/resume"]
    assert json.loads(harness.endpoint.requests[1][3])["kv"] == "drop"
    # The test double reports 5 dropped tokens for both calls.
    name = 'wigeonwind_wasted_tokens_total{reason="kv_dropped"}'
    wait_until(lambda: harness.metric_value(name) == 10)
    harness.endpoint.gate.set()
    harness.link.wait_for(Finished)


def test_a_plain_call_keeps_method_body_and_end_to_end_headers(make_harness):
    harness = make_harness(kind="plain")
    harness.endpoint.reply = (
        b"409 Conflict",
        [(b"Set-Cookie", b"a=1"), (b"Set-Cookie", b"b=2"), (b"Keep-Alive", b"5")],
        b"x" * 200_000,
    )
    headers = [["X-Mine", "1"], ["Connection", "X-Hop"], ["X-Hop", "1"]]
    harness.submit(path="/book?a=b", method="PUT", body=b"body", headers=headers)
    end = harness.link.wait_for(Finished)
    method, path, got, body = harness.endpoint.requests[0]
    assert (method, path, body) == ("PUT", "/book?a=b", b"body")
    assert got["x-mine"] == "1"
    assert "x-hop" not in got
    head = harness.link.of_type(Head)[0]
    assert head.status == 409
    names = [name.lower() for name, _ in head.headers]
    assert names.count("set-cookie") == 2
    assert "keep-alive" not in names
    assert received_text(harness.link) == "x" * 200_000
    assert end.chunks == len(harness.link.of_type(Chunk))


@pytest.mark.parametrize("method", ["GET", "PUT", "DELETE", "POST"])
def test_a_plain_call_is_never_repeated(make_harness, method):
    # Guards against a second run: the HTTP library retries idempotent methods by itself
    # on a closed connection.
    harness = make_harness(kind="plain")
    harness.endpoint._answer = lambda sock, path: None
    harness.submit(path="/x", method=method)
    assert harness.link.wait_for(Failed).started
    assert len(harness.endpoint.requests) == 1


def test_a_booking_completes_without_its_entry_and_its_response_is_retained(
    make_harness,
):
    harness = make_harness(kind="plain")
    harness.endpoint.ungated_items = 0
    harness.book()
    wait_until(lambda: harness.endpoint.requests)
    harness.link.is_open = False
    harness.sidecar.on_down(harness.link, "broken")
    other = FakeLink("entry-2")
    harness.sidecar.on_message(other, ResolveClaim("t1"))
    assert other.sent[-1] == ClaimState("t1", "running")
    harness.endpoint.gate.set()
    wait_until(lambda: not harness.queue.running)
    harness.sidecar.on_message(other, ResolveClaim("t1"))
    state = other.sent[-1]
    assert (state.state, state.status, state.body) == ("done", 200, b"plain answer")
    # The response is dropped after ten minutes, but the token never becomes forbidden.
    harness.clock.advance(3_600_000.0)
    harness.sidecar.on_message(other, ResolveClaim("t1"))
    assert other.sent[-1] == ClaimState("t1", "unknown")
    harness.book("r2")
    assert harness.link.of_type(Refused) == []
    assert len(harness.endpoint.requests) == 1


def test_a_forbidden_claim_is_refused(make_harness):
    harness = make_harness(kind="plain", slots=0)
    harness.sidecar.on_message(harness.link, ResolveClaim("t1", 7))
    assert harness.link.sent[-1] == ClaimState("t1", "forbidden")
    harness.book()
    assert harness.link.wait_for(Refused).code == "booking_conflict"
    harness.book("r2", "t2")
    harness.sidecar.on_message(FakeLink("entry-2"), ResolveClaim("t2"))
    assert harness.link.wait_for(Refused, 2).request_id == "r2"
    harness.queue.slots = 2
    harness.book("r3", "t2")
    assert harness.link.wait_for(Refused, 3).request_id == "r3"
    assert harness.endpoint.requests == []


def test_a_restarted_sidecar_does_not_forbid_claims_of_its_previous_incarnation(
    make_harness,
):
    harness = make_harness(kind="plain")
    harness.sidecar.on_message(harness.link, ResolveClaim("t1", 6))
    assert harness.link.sent[-1] == ClaimState("t1", "unknown")


def test_a_booking_with_a_lost_response_is_unknown(make_harness):
    harness = make_harness(kind="plain")
    harness.endpoint._answer = lambda sock, path: None
    harness.book()
    assert harness.link.wait_for(Failed).started
    harness.sidecar.on_message(harness.link, ResolveClaim("t1"))
    assert harness.link.sent[-1] == ClaimState("t1", "unknown")


def test_drain_returns_queued_attempts_and_finishes_running_ones(make_harness):
    harness = make_harness(slots=1)
    harness.endpoint.ungated_items = 1
    harness.submit("r1")
    harness.submit("r2")
    harness.link.wait_for(Chunk)
    drain = spawn(harness.sidecar.drain)
    refused = harness.link.wait_for(Refused)
    assert (refused.request_id, refused.code) == ("r2", "draining")
    assert harness.link.of_type(Leaving) == [Leaving("side-1", 7)]
    harness.submit("r3")
    assert harness.link.wait_for(Refused, 2).request_id == "r3"
    new_link = FakeLink("entry-2")
    harness.sidecar.on_up(new_link)
    assert new_link.of_type(Leaving)
    assert not new_link.of_type(LoadReport)[0].ready
    assert not drain.ready()
    harness.endpoint.gate.set()
    drain.join(5)
    assert harness.link.wait_for(Finished).request_id == "r1"
    assert harness.endpoint.paths() == ["/v1/chat/completions"]


def test_drain_cancels_running_attempts_at_its_time_limit(make_harness):
    harness = make_harness()
    harness.endpoint.ungated_items = 1
    harness.submit("r1")
    harness.link.wait_for(Chunk)
    drain = spawn(harness.sidecar.drain)
    harness.link.wait_for(Leaving)
    assert not drain.ready()
    harness.clock.advance(120_001.0)
    end = harness.link.wait_for(Failed)
    assert (end.started, end.code) == (True, "draining")
    drain.join(5)
    assert drain.ready()


def test_load_reports_say_whether_the_endpoint_responds(make_harness):
    harness = make_harness()
    reporter = harness.sidecar._reporter
    assert not reporter.report().ready
    reporter.poll()
    report = reporter.report()
    assert (report.ready, report.engine_running, report.slots) == (True, 1, 2)
    harness.clock.advance(10_000.0)
    assert not reporter.report().ready


def test_paused_attempts_may_use_a_share_of_the_engines_kv_cache(make_harness):
    # Guards against a fixed limit that exceeds the KV cache of a small engine.
    harness = make_harness()
    costs = []
    harness.queue.set_kv_costs = costs.append
    harness.endpoint.load = {"kv_limit_tokens": 4000}
    for _ in range(2):
        harness.sidecar._reporter.poll()
    limits = [(each.paused_limit_tokens, each.kv_limit_tokens) for each in costs]
    assert limits == [(1000, 4000)]


@pytest.mark.parametrize("finish_late", [True, False])
@pytest.mark.parametrize("kind", [TargetKind.WHOLE, TargetKind.FIRST_TOKEN])
def test_an_attempt_past_its_target_is_cancelled_unless_its_class_finishes_late(
    make_harness, kind, finish_late
):
    harness = make_harness()
    harness.endpoint.ungated_items = 2 if kind is TargetKind.WHOLE else 0
    target = LatencyTarget(kind, 1000.0)
    chat = RequestClass("chat", 2, target, 9000.0, finish_late=finish_late)
    harness.sidecar.set_catalog(
        replace(harness.sidecar._catalog, class_by_name={"chat": chat})
    )
    harness.submit()
    harness.link.wait_for(Started)
    sent = "a b" if kind is TargetKind.WHOLE else ""
    wait_until(lambda: received_text(harness.link) == sent)
    harness.clock.advance(999.0)
    harness.sidecar.tick()
    assert not any(attempt.cancel_reason for attempt in harness.sidecar._table)
    harness.clock.advance(2.0)
    harness.sidecar.tick()
    if finish_late:
        assert not any(attempt.cancel_reason for attempt in harness.sidecar._table)
        return
    end = harness.link.wait_for(Failed)
    assert (end.started, end.code) == (True, "deadline")
    wait_until(lambda: "/control/cancel" in harness.endpoint.paths())
    assert harness.metric_value('wigeonwind_attempts_total{outcome="late"}') == 1
    # The engine's response to the cancel reports 3 generated tokens.
    assert harness.metric_value("wigeonwind_wasted_tokens_total") == 3
    assert harness.sidecar._commands._counts.ended == 1
