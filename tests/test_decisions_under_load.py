"""Decisions that keep urgent requests on time under load."""

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


def long_prompt_spec(number):
    return AttemptSpec(f"d{number}", 0, "llm", "dossier", f"c{number}", 0.0, 2500)


def running_count(engine):
    return engine.queue.report(engine.now_ms).running


def test_prefill_of_lower_classes_is_bounded():
    # Guards against urgent prompts that wait for the prefill of long ones of lower
    # classes; eight of them took 4 s.
    engine = Engine(8)
    for number in range(8):
        engine.offer(long_prompt_spec(number), 50)
    engine.act()
    assert running_count(engine) == 1
    for number in range(8):
        engine.offer(attempt_spec(f"chat{number}", "chat", customer=f"c{number}"), 50)
    engine.act()
    # The dossier keeps its slot for MIN_RUN_MS.
    assert engine.queue.report(engine.now_ms).running_by_class[0] == ("chat", 7)


def test_lower_classes_leave_kv_memory_for_urgent_attempts():
    # Guards against urgent attempts that have a slot but wait for KV memory in the
    # engine.
    engine = Engine(8, kv_costs=KvCosts(kv_limit_tokens=10_000))
    for number in range(8):
        engine.offer(long_prompt_spec(number), 400)
    for _ in range(60):
        engine.step()
    assert running_count(engine) == 3


def test_an_early_end_frees_the_slot_with_the_nearest_expected_end():
    # Guards against a backlog in which the earliest slot becomes free later than at the
    # endpoint.
    backlog = Backlog(2)
    backlog.add(1000.0, 0.0)
    backlog.add(5000.0, 0.0)
    backlog.adjust_slot_time(-900.0, 100.0)
    assert backlog.wait_ms(100.0) == 0.0
    backlog.add(300.0, 100.0)
    assert backlog.wait_ms(100.0) == 300.0


def test_variable_lengths_bound_the_wait_by_the_rate_of_free_slots():
    # Guards against refusals although slots become free continuously.
    estimates = ServiceEstimates()
    admission = Admission(estimates, 8, Random(1))
    admission.rebuild([0, 1], 8, [], 0.0)
    spec = attempt_spec("a", "chat")
    assert admission.turnover_ms(spec, 0, 7) == 0.0
    assert admission.turnover_ms(spec, 0, 8) == float("inf")
    for tokens in (20, 400) * 10:
        estimates.on_done(spec, tokens, 0.0)
    slot_ms = estimates.slot_ms(spec)
    assert admission.turnover_ms(spec, 0, 9) == 2 * slot_ms / 8
    assert admission.turnover_ms(spec, 1, 9) == float("inf")


def test_lower_priority_load_counts_up_to_the_slots_only():
    # Guards against sending chat to an endpoint whose slots are full of chat because
    # other endpoints have more queued dossiers.
    assert weighted_load([(0, 8), (2, 40)], 0, 8) < weighted_load([(0, 9)], 0, 8)
    assert weighted_load([(0, 2), (2, 40)], 0, 8) == 2 + 0.25 * 6


def test_paused_answers_do_not_mark_a_straggler():
    # Guards against ejecting an endpoint that pauses answers of lower classes.
    chooser = EndpointChooser("a", Random(1))
    names = [f"e{n}" for n in range(4)]
    chooser.set_endpoints(tuple(EndpointInfo(n, "a", "llm") for n in names), 0.0)
    for name in names:
        report = ReportedLoad(4, 8, (), 0.0, 20.0, 100.0, 0)
        chooser.on_load(name, report, 0.0)
        for _ in range(20 if name == "e0" else 4):
            chooser.on_sent(name, CHAT, 0.0)
            chooser.on_first_token(name, 10.0, 0.0)
    for step in range(1, 200):
        for name in names:
            chooser.on_tokens(name, 4, step * 20.0)
        chooser.choose(CHAT, step * 20.0, frozenset())
    assert not chooser.is_ejected("e0", 4000.0)
    chooser.on_load("e0", ReportedLoad(4, 8, (), 0.0, 80.0, 100.0, 0), 4000.0)
    chooser.choose(CHAT, 4300.0, frozenset())
    assert chooser.is_ejected("e0", 4300.0)
