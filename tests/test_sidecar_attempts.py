"""The sidecar's promises to entries: certain not-run, at most once, truthful ends."""

import json
from dataclasses import replace

import pytest
from gevent import spawn
from sidecar_fakes import Bed, FakeLink, wait_until

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
def make_bed():
    beds = []

    def make(**options):
        beds.append(Bed(**options))
        return beds[-1]

    yield make
    for bed in beds:
        bed.close()


def text_of(link):
    return b"".join(chunk.data for chunk in link.of_type(Chunk)).decode()


def test_an_answer_arrives_whole_and_in_order(make_bed):
    bed = make_bed()
    bed.endpoint.script = [f"w{i} " for i in range(300)] + ["end"]
    bed.submit(resume_text="before", path="/v1/completions")
    end = bed.link.wait_for(Finished)
    chunks = bed.link.of_type(Chunk)
    assert text_of(bed.link) == "".join(f"w{i} " for i in range(300))
    assert [chunk.seq for chunk in chunks] == list(range(len(chunks)))
    assert sum(chunk.tokens for chunk in chunks) == 300
    assert end == Finished("r1", 0, len(chunks), "stop", 3, 2, 1)
    kinds = [type(m) for m in bed.link.sent if type(m) not in (Chunk, LoadReport)]
    assert kinds == [Queued, Started, Finished]
    fields = json.loads(bed.endpoint.requests[0][3])
    assert fields["resume_text"] == "before"
    assert (fields["priority"], fields["stream"]) == (2, True)


def test_a_late_copy_of_a_withdrawn_attempt_never_runs(make_bed):
    bed = make_bed(slots=0)
    copy = bed.submit()
    bed.side.on_message(bed.link, Withdraw("r1", 0))
    assert bed.link.wait_for(WithdrawResult).withdrawn
    bed.queue.slots = 2
    bed.side.on_message(bed.link, copy)
    assert bed.link.wait_for(Refused).attempt == 0
    # Still so just before the ten minutes are over.
    bed.clock.advance(599_000.0)
    bed.side.on_message(bed.link, copy)
    bed.submit("r2")
    bed.link.wait_for(Finished)
    assert len(bed.endpoint.requests) == 1


def test_a_withdrawal_that_overtakes_its_submit_holds(make_bed):
    # The Submit may come over an older link than the Withdraw.
    bed = make_bed()
    bed.side.on_message(bed.link, Withdraw("r1", 0))
    assert bed.link.wait_for(WithdrawResult).withdrawn
    bed.submit()
    assert bed.link.wait_for(Refused)
    assert bed.endpoint.requests == []


def test_started_and_ended_attempts_are_not_withdrawn_and_not_repeated(make_bed):
    bed = make_bed()
    bed.endpoint.free = 1
    copy = bed.submit()
    bed.link.wait_for(Chunk)
    bed.side.on_message(bed.link, copy)
    bed.side.on_message(bed.link, Withdraw("r1", 0))
    assert not bed.link.wait_for(WithdrawResult).withdrawn
    bed.endpoint.gate.set()
    bed.link.wait_for(Finished)
    bed.side.on_message(bed.link, copy)
    bed.side.on_message(bed.link, Withdraw("r1", 0))
    assert not bed.link.wait_for(WithdrawResult, 2).withdrawn
    assert bed.endpoint.paths() == ["/v1/chat/completions"]
    assert bed.link.of_type(Refused) == []
    assert bed.count("wigeonwind_duplicate_submits_total") == 2


@pytest.mark.parametrize("is_link_lost", [False, True])
def test_a_cancelled_stream_stops_the_engine_and_counts_waste(make_bed, is_link_lost):
    bed = make_bed()
    bed.endpoint.free = 2
    bed.submit()
    wait_until(lambda: text_of(bed.link) == "a b")
    if is_link_lost:
        bed.link.is_open = False
        bed.side.on_down(bed.link, "broken")
    else:
        bed.side.on_message(bed.link, Cancel("r1", 0))
        end = bed.link.wait_for(Failed)
        assert (end.started, end.code) == (True, "cancelled")
    wait_until(lambda: "/control/cancel" in bed.endpoint.paths())
    body = json.loads(bed.endpoint.requests[-1][3])
    sent = json.loads(bed.endpoint.requests[0][3])
    assert body["request_id"] == sent["request_id"]
    name = 'wigeonwind_wasted_tokens_total{reason="cancelled"}'
    # Two tokens were sent, and the engine says that it generated three.
    wait_until(lambda: bed.count(name) == 3)
    wait_until(lambda: not bed.queue.running)


def test_a_broken_link_takes_back_what_waits(make_bed):
    bed = make_bed(slots=0)
    bed.submit()
    bed.link.is_open = False
    # The runtime may not announce the end of a spare link; the tick finds it.
    bed.side.tick()
    assert bed.queue.waiting == []
    bed.queue.slots = 2
    bed.side.tick()
    assert bed.endpoint.requests == []


def test_an_engine_that_dies_mid_answer_is_reported_as_started(make_bed):
    bed = make_bed()
    bed.endpoint.script = ["a", " b", "cut"]
    bed.submit()
    end = bed.link.wait_for(Failed)
    assert (end.started, end.code) == (True, "endpoint_failed")
    assert text_of(bed.link) == "a b"


def test_a_stream_without_a_finish_reason_is_not_a_whole_answer(make_bed):
    # Otherwise a truncated answer would be delivered as whole.
    bed = make_bed()
    bed.endpoint._event = lambda item: b"data: [DONE]\n\n"
    bed.submit()
    assert bed.link.wait_for(Failed).started
    assert bed.link.of_type(Finished) == []


@pytest.mark.parametrize("body", [b"no JSON", b"[" * 100_000, b"[]"])
def test_a_body_that_no_engine_can_use_is_reported_and_not_sent(make_bed, body):
    # A parser that runs out of stack must not leave the entry without an answer.
    bed = make_bed()
    bed.submit(body=body)
    end = bed.link.wait_for(Failed)
    assert (end.started, end.code) == (False, "bad_request")
    assert bed.endpoint.requests == []


@pytest.mark.parametrize("kind", ["model", "plain"])
def test_an_endpoint_that_refuses_the_connection_certainly_ran_nothing(make_bed, kind):
    bed = make_bed(kind=kind, address="127.0.0.1:1")
    bed.submit()
    end = bed.link.wait_for(Failed)
    assert not end.started
    assert bed.link.of_type(Started) == []


@pytest.mark.parametrize(
    "fields, code",
    [
        ({"target_incarnation": 6}, "no_endpoint"),
        ({"service": "other"}, "unknown_service"),
        ({"budget_ms": 300.0}, "deadline"),
    ],
)
def test_submits_that_must_not_run_are_refused(make_bed, fields, code):
    bed = make_bed()
    bed.side.tick()
    # The process is paused; the Submit may have waited in the socket all the time.
    bed.clock.advance(400.0)
    bed.submit(**fields)
    assert bed.link.wait_for(Refused).code == code
    assert bed.queue.running == {}


def test_a_pause_shortens_the_deadline_of_what_is_read_after_it(make_bed):
    bed = make_bed(slots=0)
    bed.side.tick()
    bed.clock.advance(400.0)
    bed.side.tick()
    bed.submit(budget_ms=1000.0)
    assert bed.queue.waiting[0].deadline_ms == bed.clock.now_ms() + 600.0


def test_pause_and_resume_reach_the_engine_in_order(make_bed):
    bed = make_bed()
    bed.endpoint.free = 1
    bed.submit()
    bed.link.wait_for(Chunk)
    bed.queue.pause(("r1", 0), "drop")
    bed.queue.resume(("r1", 0))
    bed.side.tick()
    wait_until(lambda: len(bed.endpoint.requests) == 3)
    assert bed.endpoint.paths()[1:] == ["/control/pause", "/control/resume"]
    assert json.loads(bed.endpoint.requests[1][3])["kv"] == "drop"
    # Both calls answer 5 dropped tokens in this fake.
    name = 'wigeonwind_wasted_tokens_total{reason="kv_dropped"}'
    wait_until(lambda: bed.count(name) == 10)
    bed.endpoint.gate.set()
    bed.link.wait_for(Finished)


def test_a_plain_call_keeps_method_body_and_end_to_end_headers(make_bed):
    bed = make_bed(kind="plain")
    bed.endpoint.reply = (
        b"409 Conflict",
        [(b"Set-Cookie", b"a=1"), (b"Set-Cookie", b"b=2"), (b"Keep-Alive", b"5")],
        b"x" * 200_000,
    )
    headers = [["X-Mine", "1"], ["Connection", "X-Hop"], ["X-Hop", "1"]]
    bed.submit(path="/book?a=b", method="PUT", body=b"body", headers=headers)
    end = bed.link.wait_for(Finished)
    method, path, got, body = bed.endpoint.requests[0]
    assert (method, path, body) == ("PUT", "/book?a=b", b"body")
    assert got["x-mine"] == "1"
    assert "x-hop" not in got
    head = bed.link.of_type(Head)[0]
    assert head.status == 409
    names = [name.lower() for name, _ in head.headers]
    assert names.count("set-cookie") == 2
    assert "keep-alive" not in names
    assert text_of(bed.link) == "x" * 200_000
    assert end.chunks == len(bed.link.of_type(Chunk))


@pytest.mark.parametrize("method", ["GET", "PUT", "DELETE", "POST"])
def test_a_plain_call_is_never_repeated(make_bed, method):
    # The HTTP library repeats idempotent methods by itself when a connection breaks.
    bed = make_bed(kind="plain")
    bed.endpoint._answer = lambda sock, path: None
    bed.submit(path="/x", method=method)
    assert bed.link.wait_for(Failed).started
    assert len(bed.endpoint.requests) == 1


def test_a_booking_runs_to_its_end_without_its_entry_and_is_remembered(make_bed):
    bed = make_bed(kind="plain")
    bed.endpoint.free = 0
    bed.book()
    wait_until(lambda: bed.endpoint.requests)
    bed.link.is_open = False
    bed.side.on_down(bed.link, "broken")
    other = FakeLink("entry-2")
    bed.side.on_message(other, ResolveClaim("t1"))
    assert other.sent[-1] == ClaimState("t1", "running")
    bed.endpoint.gate.set()
    wait_until(lambda: not bed.queue.running)
    bed.side.on_message(other, ResolveClaim("t1"))
    state = other.sent[-1]
    assert (state.state, state.status, state.body) == ("done", 200, b"plain answer")
    # The answer is dropped after a while, but the token is never called forbidden.
    bed.clock.advance(3_600_000.0)
    bed.side.on_message(other, ResolveClaim("t1"))
    assert other.sent[-1] == ClaimState("t1", "unknown")
    bed.book("r2")
    assert bed.link.of_type(Refused) == []
    assert len(bed.endpoint.requests) == 1


def test_a_forbidden_claim_is_refused_later(make_bed):
    bed = make_bed(kind="plain", slots=0)
    bed.side.on_message(bed.link, ResolveClaim("t1", 7))
    assert bed.link.sent[-1] == ClaimState("t1", "forbidden")
    bed.book()
    assert bed.link.wait_for(Refused).code == "booking_conflict"
    bed.book("r2", "t2")
    bed.side.on_message(FakeLink("entry-2"), ResolveClaim("t2"))
    assert bed.link.wait_for(Refused, 2).request_id == "r2"
    bed.queue.slots = 2
    bed.book("r3", "t2")
    assert bed.link.wait_for(Refused, 3).request_id == "r3"
    assert bed.endpoint.requests == []


def test_a_restarted_sidecar_does_not_forbid_what_may_have_run_before(make_bed):
    bed = make_bed(kind="plain")
    bed.side.on_message(bed.link, ResolveClaim("t1", 6))
    assert bed.link.sent[-1] == ClaimState("t1", "unknown")


def test_a_booking_whose_outcome_was_lost_is_unknown(make_bed):
    bed = make_bed(kind="plain")
    bed.endpoint._answer = lambda sock, path: None
    bed.book()
    assert bed.link.wait_for(Failed).started
    bed.side.on_message(bed.link, ResolveClaim("t1"))
    assert bed.link.sent[-1] == ClaimState("t1", "unknown")


def test_drain_hands_back_what_waits_and_finishes_what_runs(make_bed):
    bed = make_bed(slots=1)
    bed.endpoint.free = 1
    bed.submit("r1")
    bed.submit("r2")
    bed.link.wait_for(Chunk)
    drain = spawn(bed.side.drain)
    refused = bed.link.wait_for(Refused)
    assert (refused.request_id, refused.code) == ("r2", "draining")
    assert bed.link.of_type(Leaving) == [Leaving("side-1", 7)]
    bed.submit("r3")
    assert bed.link.wait_for(Refused, 2).request_id == "r3"
    late = FakeLink("entry-2")
    bed.side.on_up(late)
    assert late.of_type(Leaving)
    assert not late.of_type(LoadReport)[0].ready
    assert not drain.ready()
    bed.endpoint.gate.set()
    drain.join(5)
    assert bed.link.wait_for(Finished).request_id == "r1"
    assert bed.endpoint.paths() == ["/v1/chat/completions"]


def test_drain_is_bounded_and_says_what_it_broke_off(make_bed):
    bed = make_bed()
    bed.endpoint.free = 1
    bed.submit("r1")
    bed.link.wait_for(Chunk)
    drain = spawn(bed.side.drain)
    bed.link.wait_for(Leaving)
    assert not drain.ready()
    bed.clock.advance(120_001.0)
    end = bed.link.wait_for(Failed)
    assert (end.started, end.code) == (True, "draining")
    drain.join(5)
    assert drain.ready()


def test_load_reports_say_whether_the_endpoint_answers(make_bed):
    bed = make_bed()
    reporter = bed.side._reporter
    assert not reporter.report().ready
    reporter.poll()
    report = reporter.report()
    assert (report.ready, report.engine_running, report.slots) == (True, 1, 2)
    bed.clock.advance(10_000.0)
    assert not reporter.report().ready


def test_paused_work_may_keep_a_share_of_the_engines_own_cache(make_bed):
    # Guards against a fixed room that is more than a small engine has.
    bed = make_bed()
    costs = []
    bed.queue.set_kv_costs = costs.append
    bed.endpoint.load = {"kv_limit_tokens": 4000}
    for _ in range(2):
        bed.side._reporter.poll()
    limits = [(each.paused_limit_tokens, each.kv_limit_tokens) for each in costs]
    assert limits == [(1000, 4000)]


@pytest.mark.parametrize("finish_late", [True, False])
@pytest.mark.parametrize("kind", [TargetKind.WHOLE, TargetKind.FIRST_TOKEN])
def test_running_work_whose_target_is_lost_ends_unless_its_class_finishes_late(
    make_bed, kind, finish_late
):
    bed = make_bed()
    bed.endpoint.free = 2 if kind is TargetKind.WHOLE else 0
    target = LatencyTarget(kind, 1000.0)
    chat = RequestClass("chat", 2, target, 9000.0, finish_late=finish_late)
    bed.side.set_catalog(replace(bed.side._catalog, class_by_name={"chat": chat}))
    bed.submit()
    bed.link.wait_for(Started)
    sent = "a b" if kind is TargetKind.WHOLE else ""
    wait_until(lambda: text_of(bed.link) == sent)
    bed.clock.advance(999.0)
    bed.side.tick()
    assert not any(attempt.cancel_reason for attempt in bed.side._table)
    bed.clock.advance(2.0)
    bed.side.tick()
    if finish_late:
        assert not any(attempt.cancel_reason for attempt in bed.side._table)
        return
    end = bed.link.wait_for(Failed)
    assert (end.started, end.code) == (True, "deadline")
    wait_until(lambda: "/control/cancel" in bed.endpoint.paths())
    assert bed.count('wigeonwind_attempts_total{outcome="late"}') == 1
    # The engine's answer to the cancellation says that it has generated 3 tokens.
    assert bed.count("wigeonwind_wasted_tokens_total") == 3
    assert bed.side._commands._counts.ended == 1
