"""Scheduling, guaranteed shares, admission and preemption of an endpoint's queue."""

from copy import deepcopy
from random import Random

from decisions_engine import CATALOG, STEP_MS, Engine, attempt_spec
from hypothesis import given, settings
from hypothesis import strategies as st

from wigeonwind.catalog import Catalog, Customer
from wigeonwind.decisions.interfaces import (
    PauseAttempt,
    Rejected,
    ResumeAttempt,
    StartAttempt,
)
from wigeonwind.decisions.preemption import MIN_RUN_MS, KvCosts

CHAT_TOKENS = 100
"""The answer length that the queue expects before the first answer."""


def arrivals(seed, steps, chat_rate, lower_rate):
    """Return rows of step, class, tokens; chat does not depend on `lower_rate`."""
    chat_rng, lower_rng = Random(seed), Random(seed + 1)
    rows = []
    for step in range(steps):
        if chat_rng.random() < chat_rate:
            rows.append((step, "chat", CHAT_TOKENS))
        if lower_rng.random() < lower_rate:
            name = lower_rng.choice(("tagging", "dossier"))
            rows.append((step, name, lower_rng.randint(1, 800)))
    return rows


def serve(rows, steps, slots):
    engine = Engine(slots)
    by_step = {}
    for number, row in enumerate(rows):
        by_step.setdefault(row[0], []).append((f"{row[1]}-{row[0]}-{number}", row))
    for step in range(steps):
        for name, (_, class_name, tokens) in by_step.get(step, ()):
            engine.offer(attempt_spec(name, class_name, engine.now_ms), tokens)
        engine.step()
    return engine


@settings(max_examples=30)
@given(
    st.integers(0, 10_000),
    st.sampled_from([1, 2, 8]),
    st.floats(0.005, 0.3),
    st.floats(0.0, 0.2),
)
def test_urgent_work_is_refused_only_if_refused_without_lower_work(
    seed, slots, chat_rate, lower_rate
):
    # Guards P1: the second run has the same chat requests but no lower classes.
    rows = arrivals(seed, 600, chat_rate, lower_rate)
    mixed = serve(rows, 600, slots)
    chat_only = serve([row for row in rows if row[1] == "chat"], 600, slots)

    def refused(engine):
        names = [*engine.rejected, *engine.expired]
        return {name.split("-")[1] for name in names if name.startswith("chat")}

    assert refused(mixed) <= refused(chat_only)


def without_lower_classes(queue, admitted, now_ms):
    """Return a copy of the queue with all attempts but chat removed."""
    # The mappings of the frozen catalog cannot be copied, so it is shared.
    reduced = deepcopy(queue, {id(CATALOG): CATALOG})
    for name, attempt in admitted:
        if not name.startswith("chat") and not reduced.withdraw((name, attempt)):
            reduced.on_done((name, attempt), now_ms)
    return reduced


@settings(max_examples=15)
@given(st.integers(0, 10_000), st.sampled_from([1, 4, 8]))
def test_a_refusal_stands_when_lower_work_is_taken_away(seed, slots):
    # Guards P1 for answers of any length: a refused attempt is also refused if the
    # attempts of lower classes are removed at that moment.
    rng = Random(seed)
    engine = Engine(slots, seed)
    refused = 0
    for step in range(400):
        if rng.random() < 0.1:
            name = rng.choice(("tagging", "dossier"))
            engine.offer(attempt_spec(f"{name}-{step}", name, engine.now_ms), 300)
        if rng.random() < 0.1 * slots:
            spec = attempt_spec(f"chat-{step}", "chat", engine.now_ms)
            rejected = engine.offer(spec, rng.randint(1, 400))
            if isinstance(rejected, Rejected) and refused < 5:
                refused += 1
                chat_only = without_lower_classes(
                    engine.queue, engine.remaining_tokens, engine.now_ms
                )
                assert isinstance(chat_only.offer(spec, engine.now_ms), Rejected)
        engine.step()
    assert refused


@settings(max_examples=12)
@given(st.integers(0, 10_000), st.sampled_from([1, 2, 8, 20]), st.integers(20, 150))
def test_every_class_gets_a_slot_within_its_bound_in_a_flood(seed, slots, tokens):
    # Guards P2, with queued attempts of all three classes at all times.
    engine = Engine(slots, seed)
    rng = Random(seed)
    longest_ms = tokens * STEP_MS
    served_ms = {"tagging": 0.0, "dossier": 0.0}
    bound_ms = {name: engine.queue.bound_ms(name, longest_ms) for name in served_ms}
    worst_ms = dict.fromkeys(served_ms, 0.0)
    for step in range(3000):
        waiting = dict(engine.queue.report(engine.now_ms).waiting_by_class)
        for name in ("chat", *served_ms):
            if waiting.get(name, 0) < 2:
                spec = attempt_spec(f"{name}-{step}", name, engine.now_ms)
                engine.offer(spec, rng.randint(1, tokens))
        engine.step()
        waiting = dict(engine.queue.report(engine.now_ms).waiting_by_class)
        running = {spec.class_name for spec in engine.running.values()}
        for name in served_ms:
            if name in running or not waiting.get(name):
                served_ms[name] = engine.now_ms
            worst_ms[name] = max(worst_ms[name], engine.now_ms - served_ms[name])
    for name, bound in bound_ms.items():
        assert worst_ms[name] <= bound + 2 * STEP_MS


def test_a_lower_class_gets_about_its_share_and_no_more():
    # Guards against a lower class that gets more than its configured share.
    engine = Engine(8)
    slot_steps = 0
    for step in range(6_000):
        waiting = dict(engine.queue.report(engine.now_ms).waiting_by_class)
        for name in ("chat", "dossier"):
            if waiting.get(name, 0) < 2:
                engine.offer(attempt_spec(f"{name}-{step}", name, engine.now_ms), 50)
        engine.step()
        running = [spec.class_name for spec in engine.running.values()]
        slot_steps += running.count("dossier")
    assert 0.04 < slot_steps / (8 * 6_000) < 0.06


def test_urgent_work_pauses_lower_work_and_never_the_other_way():
    engine = Engine(1)
    engine.offer(attempt_spec("d", "dossier"), 500)
    engine.step()
    engine.now_ms = MIN_RUN_MS + STEP_MS
    chat = attempt_spec("c", "chat", engine.now_ms)
    engine.offer(chat, 50)
    engine.offer(attempt_spec("d2", "dossier", engine.now_ms), 50)
    engine.step()
    assert engine.actions[1:] == [
        PauseAttempt(attempt_spec("d", "dossier"), "keep")
    ] + [StartAttempt(chat)]
    while engine.running or engine.now_ms < 2000.0:
        engine.step()
        if "c" in engine.finished_ms:
            break
        assert chat.key in engine.running


def test_pauses_do_not_follow_each_other_faster_than_the_minimum_run():
    # Guards against thrashing when short urgent attempts arrive continuously.
    engine = Engine(1)
    engine.offer(attempt_spec("d", "dossier"), 5000)
    for step in range(1000):
        if step % 5 == 0:
            engine.offer(attempt_spec(f"c{step}", "chat", engine.now_ms), 2)
        engine.step()
    assert 0 < engine.queue.report(0.0).pauses <= 1000 * STEP_MS / MIN_RUN_MS
    # All 200 but those that arrived before the first answer length was measured.
    assert len(engine.finished_ms) > 190


def test_kv_cache_is_dropped_if_keeping_and_moving_cost_more():
    costs = KvCosts(
        export_ms_per_token=5.0, import_ms_per_token=5.0, paused_limit_tokens=10
    )
    engine = Engine(1, kv_costs=costs)
    engine.offer(attempt_spec("d", "dossier"), 500)
    for _ in range(20):
        engine.step()
    engine.offer(attempt_spec("c", "chat", engine.now_ms), 1)
    engine.step()
    pauses = [action for action in engine.actions if isinstance(action, PauseAttempt)]
    assert [action.kv for action in pauses] == ["drop"]
    assert engine.queue.report(0.0).dropped_tokens == 100 + 20


def test_everything_is_admitted_once_the_queue_is_empty():
    engine = Engine(2)
    for number in range(200):
        engine.offer(attempt_spec(f"c{number}", "chat"), 100)
    assert engine.rejected
    while engine.queue.report(engine.now_ms).running or not engine.finished_ms:
        engine.step()
    refused = len(engine.rejected)
    engine.offer(attempt_spec("x", "chat", engine.now_ms), 100)
    engine.offer(attempt_spec("y", "chat", engine.now_ms), 100)
    assert len(engine.rejected) == refused


def test_retry_after_grows_with_the_excess_wait():
    engine = Engine(1)
    for number in range(60):
        engine.offer(attempt_spec(f"d{number}", "dossier"), 100)
    small = engine.offer(attempt_spec("small", "dossier", -200_000.0), 100)
    large = engine.offer(attempt_spec("large", "dossier", -290_000.0), 100)
    assert isinstance(small, Rejected) and isinstance(large, Rejected)
    assert 20_000.0 < small.retry_after_ms < 36_000.0
    assert 60_000.0 <= large.retry_after_ms <= 90_000.0


def test_customers_share_a_class_by_weight():
    heavy = Customer("heavy", weight=3.0)
    catalog = Catalog(
        1,
        class_by_name=CATALOG.class_by_name,
        customer_by_name={"heavy": heavy, "light": Customer("light")},
    )
    engine = Engine(2, catalog=catalog)
    for number in range(100):
        for name in ("light", "heavy"):
            spec = attempt_spec(f"{name}-{number}", "dossier", customer=name)
            engine.offer(spec, 20)
    for _ in range(400):
        engine.step()
    counts = [name.split("-")[0] for name in engine.finished_ms]
    assert 2.5 < counts.count("heavy") / counts.count("light") < 3.5


def test_a_long_answer_yields_to_short_ones_and_is_resumed():
    engine = Engine(1)
    engine.offer(attempt_spec("long", "dossier"), 1200)
    for _ in range(300):
        engine.step()
    engine.offer(attempt_spec("short", "dossier", engine.now_ms), 20)
    for _ in range(1300):
        engine.step()
    assert engine.finished_ms["short"] < engine.finished_ms["long"]
    assert any(isinstance(action, ResumeAttempt) for action in engine.actions)


def test_an_expired_attempt_never_starts():
    engine = Engine(2)
    for name in ("first", "second"):
        engine.offer(attempt_spec(name, "dossier", may_pause=False), 300)
    engine.step()
    engine.offer(attempt_spec("a", "chat", deadline_ms=3000.0), 10)
    engine.offer(attempt_spec("b", "chat"), 10)
    while engine.now_ms < 8000.0:
        engine.step()
    assert engine.expired["a"].code == "deadline"
    assert "a" not in engine.started_ms
    # Calls that cannot be paused delay urgent attempts but do not expire them.
    assert "b" in engine.finished_ms


def test_a_withdrawn_attempt_leaves_no_timer_for_its_key():
    engine = Engine(1)
    engine.offer(attempt_spec("d", "dossier", may_pause=False), 400)
    engine.step()
    for _ in range(2):
        engine.offer(attempt_spec("c", "chat", engine.now_ms), 10)
        engine.queue.withdraw(("c", 0))
        engine.now_ms += 1000.0
    engine.offer(attempt_spec("c", "chat", engine.now_ms), 10)
    while "c" not in engine.finished_ms:
        engine.step()
    assert not engine.expired


def test_a_withdrawn_attempt_never_starts():
    engine = Engine(1)
    engine.offer(attempt_spec("a", "dossier"), 10)
    engine.step()
    engine.offer(attempt_spec("b", "dossier"), 10)
    assert engine.queue.withdraw(("b", 0))
    assert not engine.queue.withdraw(("a", 0))
    for _ in range(50):
        engine.step()
    assert "b" not in engine.started_ms


def test_a_new_configuration_and_fewer_slots_drop_no_admitted_attempt():
    engine = Engine(4)
    for number in range(8):
        engine.offer(attempt_spec(f"d{number}", "dossier"), 30)
    engine.step()
    engine.queue.set_catalog(Catalog(2, class_by_name={}))
    engine.queue.set_slots(1)
    assert isinstance(engine.offer(attempt_spec("new", "dossier"), 1), Rejected)
    for _ in range(400):
        engine.step()
    assert len(engine.finished_ms) == 8


def test_overdue_attempts_start_soon_after_max_wait():
    # Guards P2: a late attempt must not wait behind all attempts that can still meet
    # their target for as long as an overload lasts (a chat waited 24 s in a run with
    # the configuration of examples/polluvili).
    rng = Random(1)
    engine = Engine(4)
    arrived_ms = {}
    for step in range(3000):
        if step % 200 == 0:
            engine.offer(
                attempt_spec(f"dossier-{step}", "dossier", engine.now_ms), 2000
            )
        if rng.random() < 0.08:
            name = f"chat-{step}"
            arrived_ms[name] = engine.now_ms
            customer = f"c{rng.randrange(3)}"
            tokens = int(rng.lognormvariate(3.6, 0.8)) + 1
            engine.offer(attempt_spec(name, "chat", engine.now_ms, customer), tokens)
        engine.step()
    waits = [
        engine.started_ms[n] - at
        for n, at in arrived_ms.items()
        if n in engine.started_ms
    ]
    assert max(waits) > 4000.0
    assert max(waits) < 6000.0
