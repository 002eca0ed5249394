"""Engine model tests: token times, KV memory, preemption, commands and faults."""

from dataclasses import replace
from random import Random

import pytest

from wigeonwind.standins.engine_model import EngineModel
from wigeonwind.standins.engine_types import (
    CommandAccepted,
    CommandFailed,
    CommandFenced,
    EngineCommand,
    EngineConfig,
    EngineRequest,
    KvExported,
    KvImported,
    PrefixKey,
    RefusalReason,
    RequestDone,
    RequestLost,
    RequestRefused,
    RequestStopped,
    TokensProduced,
)

CONFIG = EngineConfig(
    slots=4,
    prefill_tokens_per_s=1000.0,
    prefill_chunk_tokens=100,
    decode_ms_base=10.0,
    decode_ms_per_running=1.0,
    kv_limit_tokens=1000,
)


def make_request(name, prompt=50, output=5, **fields):
    return EngineRequest(name, prompt, output, **fields)


def token_times(events):
    """Return the (index, time in ms) pairs of all tokens by request id."""
    times = {}
    for event in events:
        if isinstance(event, TokensProduced):
            times.setdefault(event.request_id, []).extend(event.times())
    return times


def run_model(model, until_ms=100_000.0):
    return list(model.advance(until_ms))


def end_times(events):
    return {e.request_id: e.at_ms for e in events if isinstance(e, RequestDone)}


@pytest.mark.parametrize("step_ms", [1.0, 7.0, 250.0])
def test_token_times_do_not_depend_on_how_often_the_model_is_advanced(step_ms):
    def build():
        model = EngineModel(CONFIG)
        for number in range(9):
            model.submit(make_request(f"r{number}", 30 + 40 * number, 7 + number), 0.0)
        return model

    stepped = build()
    events = []
    for tick in range(int(5000 / step_ms)):
        events += stepped.advance(tick * step_ms)
    assert token_times(events) == token_times(run_model(build(), 4750.0))


def test_every_token_appears_once_and_in_order():
    model = EngineModel(CONFIG)
    for number in range(10):
        model.submit(make_request(f"r{number}", output=3 + number), 5.0 * number)
    for name, times in token_times(run_model(model)).items():
        assert [index for index, _ in times] == list(range(3 + int(name[1:])))
        assert all(a[1] < b[1] for a, b in zip(times, times[1:], strict=False))


def test_tokens_have_the_same_times_when_reported_at_the_end_of_the_request():
    def events_of(partial):
        model = EngineModel(CONFIG)
        found = []
        for number in range(12):
            at_ms = 37.0 * number
            model.submit(make_request(f"r{number}", 60, 20 + number), at_ms)
            found += model.advance(at_ms, partial)
        model.pause("r1", "keep", 410.0)
        model.resume("r1", 420.0)
        model.cancel("r2", 430.0)
        return found + list(model.advance(99_000.0, partial))

    partial_events, deferred_events = events_of(True), events_of(False)
    assert token_times(partial_events) == token_times(deferred_events)
    assert len(deferred_events) < len(partial_events)


def test_a_prefill_delays_the_running_batch():
    alone = EngineModel(CONFIG)
    alone.submit(make_request("a", output=50), 0.0)
    shared = EngineModel(CONFIG)
    shared.submit(make_request("a", output=50), 0.0)
    shared.submit(make_request("b", prompt=400, output=1), 100.0)
    # Four chunks of 100 tokens at 1000 tokens/s add 400 ms.
    delay_ms = end_times(run_model(shared))["a"] - end_times(run_model(alone))["a"]
    assert delay_ms == pytest.approx(400.0)


def test_a_larger_batch_slows_each_step():
    model = EngineModel(CONFIG)
    model.submit(make_request("a", output=100), 0.0)
    list(model.advance(100.0))
    assert model.next_token_ms() - 100.0 <= 11.0
    model.submit(make_request("b", output=100), 100.0)
    times = [at_ms for _, at_ms in token_times(run_model(model, 1000.0))["a"]]
    assert times[-1] - times[-2] == pytest.approx(12.0)


def test_new_requests_wait_while_the_kv_memory_is_full():
    model = EngineModel(CONFIG)
    model.submit(make_request("a", prompt=600, output=100), 0.0)
    model.submit(make_request("b", prompt=400, output=10), 0.0)
    events = run_model(model)
    assert min(token_times(events)["b"])[1] > end_times(events)["a"]


def test_a_request_larger_than_the_kv_memory_is_refused():
    model = EngineModel(CONFIG)
    outcome = model.submit(make_request("a", prompt=990, output=11), 0.0)
    assert outcome == RequestRefused("a", RefusalReason.TOO_LARGE)


def test_waiting_requests_start_by_priority():
    model = EngineModel(replace(CONFIG, slots=1))
    model.submit(make_request("running"), 0.0)
    model.submit(make_request("low", priority=2), 1.0)
    model.submit(make_request("urgent", priority=0), 2.0)
    assert list(end_times(run_model(model))) == ["running", "urgent", "low"]


def test_a_cached_prefix_is_not_prefilled_again():
    keys = (PrefixKey(11, 64), PrefixKey(12, 128))
    model = EngineModel(CONFIG)
    model.submit(make_request("a", prompt=130, prefix_keys=keys), 0.0)
    run_model(model, 1000.0)
    model.submit(make_request("b", prompt=130, prefix_keys=keys), 1000.0)
    done = [e for e in run_model(model) if isinstance(e, RequestDone)]
    assert done[0].cached_tokens == 128
    assert model.counters().prefill_tokens == 132


@pytest.mark.parametrize(("kv", "prefilled", "dropped"), [
    ("keep", 50, 0), ("export", 50, 0), ("drop", 50 + 53, 53),
])  # fmt: skip
def test_a_paused_request_continues_where_it_stopped(kv, prefilled, dropped):
    model = EngineModel(CONFIG)
    model.submit(make_request("a", prompt=50, output=8), 0.0)
    events = list(model.advance(85.0))
    stopped = model.pause("a", kv, 85.0)
    assert stopped == RequestStopped("a", 3, dropped)
    events += model.advance(500.0)
    model.resume("a", 500.0)
    events += run_model(model)
    times = token_times(events)["a"]
    assert [index for index, _ in times] == list(range(8))
    assert times[2][1] <= 85.0
    assert times[3][1] > 500.0
    counters = model.counters()
    assert (counters.prefill_tokens, counters.dropped_tokens) == (prefilled, dropped)


def test_only_kept_kv_cache_occupies_kv_memory():
    for kv, is_blocked in (("keep", True), ("export", False), ("drop", False)):
        model = EngineModel(CONFIG)
        model.submit(make_request("a", prompt=600, output=50), 0.0)
        list(model.advance(700.0))
        model.pause("a", kv, 700.0)
        model.submit(make_request("b", prompt=600, output=2), 700.0)
        assert ("b" not in end_times(model.advance(5000.0))) == is_blocked, kv


def test_a_cancelled_request_frees_its_slot_and_counts_as_dropped():
    model = EngineModel(replace(CONFIG, slots=1))
    model.submit(make_request("a", output=500), 0.0)
    model.submit(make_request("b"), 0.0)
    list(model.advance(83.0))
    assert model.cancel("a", 83.0) == RequestStopped("a", 3, 53)
    assert list(end_times(run_model(model))) == ["b"]
    assert model.counters().dropped_tokens == 53


def test_imported_kv_cache_avoids_the_prefill_on_another_engine():
    first, second = EngineModel(CONFIG), EngineModel(CONFIG)
    first.submit(make_request("a", prompt=400, output=20), 0.0)
    list(first.advance(500.0))
    exported = first.export_kv("a", 500.0)
    assert isinstance(exported, KvExported)
    delivered = first.cancel("a", 500.0).tokens
    assert second.import_kv(exported.kv_id, 500.0) == KvImported("a", exported.tokens)
    second.submit(make_request("a", 400, 20, resume_tokens=delivered), 500.0)
    times = token_times(run_model(second))["a"]
    assert [index for index, _ in times] == list(range(delivered, 20))
    assert second.counters().prefill_tokens == 0


def test_a_resumed_request_generates_only_the_missing_tokens():
    model = EngineModel(CONFIG)
    model.submit(make_request("a", prompt=40, output=9, resume_tokens=6), 0.0)
    assert [i for i, _ in token_times(run_model(model))["a"]] == [6, 7, 8]
    assert model.counters().prefill_tokens == 46


def test_a_load_report_lags():
    model = EngineModel(replace(CONFIG, report_lag_ms=500.0))
    model.submit(make_request("a", output=400), 1000.0)
    list(model.advance(1400.0))
    assert model.load_report(1400.0).running == 0
    list(model.advance(1600.0))
    report = model.load_report(1600.0)
    assert (report.running, report.measured_at_ms <= 1100.0) == (1, True)


def test_cache_events_lag_and_have_gaps():
    def seqs(gap, at_ms):
        model = EngineModel(replace(CONFIG, event_lag_ms=300.0, event_gap=gap))
        for number in range(40):
            keys = (PrefixKey(number, 10),)
            model.submit(make_request(f"r{number}", 20, 1, prefix_keys=keys), 0.0)
        return [e.seq for e in model.cache_events(0, at_ms).events]

    assert seqs(0.0, 299.0) == []
    assert seqs(0.0, 99_000.0) == list(range(1, 41))
    reported = seqs(0.4, 99_000.0)
    assert 10 < len(reported) < 40


def test_an_old_fence_is_refused_only_by_an_engine_that_checks_fences():
    stale_command = EngineCommand(6, "load_model", "barley-7b", "2")
    for obeys_fence in (True, False):
        model = EngineModel(replace(CONFIG, obeys_fence=obeys_fence))
        model.accept_command(EngineCommand(7, "change_role", role="mixed"), 0.0)
        outcome = model.accept_command(stale_command, 10.0)
        assert isinstance(outcome, CommandFenced if obeys_fence else CommandAccepted)
        list(model.advance(10_000.0))
        assert model.control.version == ("1" if obeys_fence else "2")


def test_loading_a_model_loses_running_requests_and_refuses_new_ones_until_done():
    model = EngineModel(replace(CONFIG, load_model_ms=1000.0))
    model.submit(make_request("a", output=400), 0.0)
    command = EngineCommand(1, "load_model", "barley-7b", "2")
    assert model.accept_command(command, 200.0) == CommandAccepted(command, 1200.0)
    assert isinstance(model.accept_command(command, 200.0), CommandFailed)
    assert [type(e) for e in model.advance(300.0)][-1] is RequestLost
    refused = RequestRefused("b", RefusalReason.LOADING)
    assert model.submit(make_request("b"), 1199.0) == refused
    model.submit(make_request("b"), 1200.0)
    assert list(end_times(run_model(model))) == ["b"]
    assert model.control.version == "2"


def test_a_crash_after_tokens_loses_the_answer_midway():
    model = EngineModel(CONFIG)
    model.submit(make_request("a", output=50), 0.0)
    model.crash(0.0, after_tokens=10)
    events = run_model(model)
    assert len(token_times(events)["a"]) == 10
    assert isinstance(events[-1], RequestLost)
    assert model.crashed
    model.restart(2000.0)
    model.submit(make_request("a"), 2000.0)
    assert list(end_times(run_model(model))) == ["a"]


def test_an_unfrozen_engine_continues_where_it_was_frozen():
    model = EngineModel(CONFIG)
    model.submit(make_request("a", output=20), 0.0)
    before = list(model.advance(100.0))
    model.freeze(100.0)
    assert list(model.advance(5000.0)) == []
    assert model.next_event_ms() is None
    model.unfreeze(5000.0)
    times = token_times(before + run_model(model))["a"]
    assert [index for index, _ in times] == list(range(20))
    assert max(b[1] - a[1] for a, b in zip(times, times[1:], strict=False)) > 4900.0


def test_a_straggler_is_slower_by_its_factor():
    model = EngineModel(CONFIG)
    model.set_straggle(3.0, 0.0)
    model.submit(make_request("a", prompt=90, output=4), 0.0)
    assert end_times(run_model(model))["a"] == pytest.approx(3 * (100.0 + 3 * 11.0))


def test_advancing_to_the_next_event_time_always_makes_progress():
    # Guards against rounding of large times, with which an event would stay due and a
    # loop that advances the model to it would not end.
    model = EngineModel(replace(CONFIG, decode_ms_per_running=0.37))
    for number in range(30):
        model.submit(
            make_request(f"r{number}", 33 + number, 3 + number), 1e9 + number / 7
        )
    calls = 0
    while (at_ms := model.next_event_ms()) is not None:
        list(model.advance(at_ms))
        calls += 1
        assert calls < 1000
    assert model.counters().finished == 30
    assert model.current_load().kv_used_tokens == 0


@pytest.mark.parametrize("seed", range(20))
def test_no_sequence_of_calls_leaks_tokens_slots_or_kv_memory(seed):
    # Guards against calls that lose or repeat a token, or leave a slot or KV memory
    # occupied, when they come in an unusual order.
    random = Random(seed)
    model = EngineModel(replace(CONFIG, prefix_cache_tokens=200))
    events, ids, cancelled, now_ms = [], [], set(), 0.0
    for number in range(300):
        now_ms += random.choice([0.0, 1.0, 13.0, 90.0])
        name = random.choice(ids) if ids else ""
        action = random.choice(["submit", "submit", "pause", "resume", "cancel", "run"])
        if action == "submit":
            ids.append(f"r{number}")
            sizes = (random.randint(1, 300), random.randint(1, 60))
            keys = (PrefixKey(number % 7, 10), PrefixKey(100 + number % 3, 40))
            priority = random.randint(0, 2)
            model.submit(EngineRequest(ids[-1], *sizes, priority, keys), now_ms)
        elif action == "pause":
            model.pause(name, random.choice(["keep", "export", "drop"]), now_ms)
        elif action == "resume":
            model.resume(name, now_ms)
        elif action == "cancel":
            if isinstance(model.cancel(name, now_ms), RequestStopped):
                cancelled.add(name)
        else:
            model.set_straggle(random.choice([1.0, 2.5]), now_ms)
        events += model.advance(now_ms, partial=random.random() < 0.5)
        load = model.current_load()
        assert load.running <= CONFIG.slots
        assert load.kv_used_tokens <= CONFIG.kv_limit_tokens
    for name in ids:
        model.resume(name, now_ms)
    events += run_model(model, now_ms + 1e6)
    done = {e.request_id: e.tokens for e in events if isinstance(e, RequestDone)}
    assert set(done) | cancelled == set(ids)
    for name, times in token_times(events).items():
        indexes = [index for index, _ in times]
        assert indexes == list(range(len(indexes)))
        assert all(a[1] < b[1] for a, b in zip(times, times[1:], strict=False))
        assert name in cancelled or len(indexes) == done[name]
    assert model.current_load().kv_used_tokens == 0
