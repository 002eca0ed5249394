"""Decisions that keep urgent work on time under load, each with its former fault."""

from random import Random

from decisions_engine import Engine, attempt_spec

from wigeonwind.decisions.admission import Admission, Backlog
from wigeonwind.decisions.choice import EndpointChooser, weighted_load
from wigeonwind.decisions.estimates import ServiceEstimates
from wigeonwind.decisions.interfaces import (
    AttemptSpec,
    EndpointInfo,
    ReportedLoad,
    RouteRequest,
)
from wigeonwind.decisions.preemption import KvCosts

CHAT = RouteRequest("llm", "chat", 0, 100)


def long_dossier(number):
    return AttemptSpec(f"d{number}", 0, "llm", "dossier", f"c{number}", 0.0, 2500)


def running(engine):
    return engine.queue.report(engine.now_ms).running


def test_lower_prompts_enter_the_engine_a_few_at_a_time():
    # Guards against an urgent prompt behind 8 long ones, which took 4 s to prefill.
    engine = Engine(8)
    for number in range(8):
        engine.offer(long_dossier(number), 50)
    engine.act()
    assert running(engine) == 1
    for number in range(8):
        engine.offer(attempt_spec(f"chat{number}", "chat", customer=f"c{number}"), 50)
    engine.act()
    # The one dossier keeps its slot for its minimum run.
    assert engine.queue.report(engine.now_ms).running_by_class[0] == ("chat", 7)


def test_lower_work_leaves_memory_for_urgent_work():
    # Guards against urgent work that has a slot but waits for KV memory in the engine.
    engine = Engine(8, kv_costs=KvCosts(kv_limit_tokens=10_000))
    for number in range(8):
        engine.offer(long_dossier(number), 400)
    for _ in range(60):
        engine.step()
    assert running(engine) == 3


def test_an_early_end_frees_the_slot_that_was_expected_to_end_then():
    # Guards against a backlog whose earliest slot drifts ahead of the real one.
    backlog = Backlog(2)
    backlog.add(1000.0, 0.0)
    backlog.add(5000.0, 0.0)
    backlog.correct(-900.0, 100.0)
    assert backlog.wait_ms(100.0) == 0.0
    backlog.add(300.0, 100.0)
    assert backlog.wait_ms(100.0) == 300.0


def test_uneven_lengths_bound_the_wait_by_the_rate_of_ends():
    # Guards against refusals while slots become free all the time.
    estimates = ServiceEstimates()
    admission = Admission(estimates, 8, Random(1))
    admission.rebuild([0, 1], 8, [], 0.0)
    work = attempt_spec("a", "chat")
    assert admission.turnover_ms(work, 0, 7) == 0.0
    assert admission.turnover_ms(work, 0, 8) == float("inf")
    for tokens in (20, 400) * 10:
        estimates.on_done(work, tokens, 0.0)
    slot_ms = estimates.slot_ms(work)
    assert admission.turnover_ms(work, 0, 9) == 2 * slot_ms / 8
    assert admission.turnover_ms(work, 1, 9) == float("inf")


def test_waiting_lower_work_counts_no_further_than_the_slots():
    # Guards against sending chat to a full endpoint because others hold more dossiers.
    assert weighted_load([(0, 8), (2, 40)], 0, 8) < weighted_load([(0, 9)], 0, 8)
    assert weighted_load([(0, 2), (2, 40)], 0, 8) == 2 + 0.25 * 6


def test_paused_answers_are_no_sign_of_a_straggler():
    # Guards against ejecting an endpoint whose lower answers are paused.
    made = EndpointChooser("a", Random(1))
    names = [f"e{n}" for n in range(4)]
    made.set_endpoints(tuple(EndpointInfo(n, "a", "llm") for n in names), 0.0)
    for name in names:
        report = ReportedLoad(4, 8, (), 0.0, 20.0, 100.0, 0)
        made.on_load(name, report, 0.0)
        for _ in range(20 if name == "e0" else 4):
            made.on_sent(name, CHAT, 0.0)
            made.on_first_token(name, 10.0, 0.0)
    for step in range(1, 200):
        for name in names:
            made.on_tokens(name, 4, step * 20.0)
        made.choose(CHAT, step * 20.0, frozenset())
    assert not made.is_ejected("e0", 4000.0)
    made.on_load("e0", ReportedLoad(4, 8, (), 0.0, 80.0, 100.0, 0), 4000.0)
    made.choose(CHAT, 4300.0, frozenset())
    assert made.is_ejected("e0", 4300.0)
