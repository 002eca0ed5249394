"""Rollout plans: staged, halted on regression, resumed from the observed state."""

from dataclasses import replace

from wigeonwind.state.load_pace import MAX_BACKOFF_MS, LoadConcurrencyLimiter
from wigeonwind.state.rollouts import (
    MAX_SOAK_PERIODS,
    SOAK_MS,
    EndpointView,
    LoadVersion,
    RolloutPlanner,
    RolloutRecord,
    StoreRecord,
    Verdict,
    decode_rollout_record,
)

RUNNING = RolloutRecord("llm", "2", "1", Verdict.RUNNING)


def make_views(count: int, version: str = "1") -> list[EndpointView]:
    return [
        EndpointView(f"side-{i:02}", f"zone-{i % 3}", version, True, 100, 0, 100)
        for i in range(count)
    ]


def run_rollout(views, record, planner, steps=200, update_counts=None):
    """Perform the planned steps; each load takes one interval of 10 s.

    `update_counts` returns a view with the counts that the endpoint reports next.
    """
    now_ms = 0.0
    max_out_of_service = 0
    for _ in range(steps):
        views = [replace(view, ready=True) for view in views]
        if update_counts:
            views = [update_counts(view) for view in views]
        for step in list(planner.plan("2", record, views, now_ms)):
            if isinstance(step, StoreRecord):
                record = step.record
            else:
                views = [
                    replace(v, version=step.version, ready=False, ended=0, attained=0)
                    if v.endpoint_id == step.endpoint_id
                    else v
                    for v in views
                ]
        out_of_service = [view for view in views if not view.ready]
        assert len({view.zone for view in out_of_service}) <= 1
        max_out_of_service = max(max_out_of_service, len(out_of_service))
        now_ms += 10_000.0
    return views, record, max_out_of_service


def test_a_rollout_starts_with_one_endpoint_after_the_record_is_stored():
    planner = RolloutPlanner("llm")
    first = list(planner.plan("2", None, make_views(5), 0.0))
    assert first == [StoreRecord(RUNNING)]
    second = list(planner.plan("2", RUNNING, make_views(5), 1.0))
    assert second == [LoadVersion("side-00", "2")]


def test_the_others_wait_until_the_first_has_served():
    planner = RolloutPlanner("llm")
    views = make_views(5)
    views[0] = replace(views[0], version="2")
    assert list(planner.plan("2", RUNNING, views, 0.0)) == []
    assert list(planner.plan("2", RUNNING, views, SOAK_MS - 1)) == []
    assert len(list(planner.plan("2", RUNNING, views, SOAK_MS))) == 1


def test_a_rollout_keeps_most_endpoints_in_service():
    views, record, max_out_of_service = run_rollout(
        make_views(20), None, RolloutPlanner("llm")
    )
    assert all(view.version == "2" for view in views)
    assert record.verdict is Verdict.DONE
    assert max_out_of_service <= 4


def test_a_worse_version_is_halted_and_rolled_back():
    def miss_targets(view):
        if view.version == "2" and not view.ended:
            return replace(view, ended=50, attained=40)
        return view

    views, record, _ = run_rollout(
        make_views(10), None, RolloutPlanner("llm"), update_counts=miss_targets
    )
    assert record.verdict is Verdict.HALTED
    assert "attainment fell" in record.reason
    assert {view.version for view in views} == {"1"}


def test_a_version_that_entries_avoid_is_halted():
    # Guards against a slow version that is rolled out because it gets few requests.
    planner = RolloutPlanner("llm")
    views = make_views(3)
    views[0] = replace(views[0], version="2", ended=3, attained=0)
    assert list(planner.plan("2", RUNNING, views, 0.0)) == []
    views[1:] = [replace(view, ended=200, attained=200) for view in views[1:]]
    assert list(planner.plan("2", RUNNING, views, SOAK_MS)) == []
    (step,) = planner.plan("2", RUNNING, views, MAX_SOAK_PERIODS * SOAK_MS)
    assert step.record.verdict is Verdict.HALTED


def test_a_higher_error_rate_halts_a_rollout():
    views = make_views(5)
    views[0] = replace(views[0], version="2", ended=50, failed=10, attained=40)
    (step,) = RolloutPlanner("llm").plan("2", RUNNING, views, 0.0)
    assert step.record.verdict is Verdict.HALTED


def test_a_new_lease_holder_continues_from_the_observed_endpoints():
    views = make_views(10)
    half_done = [replace(v, version="2") if i < 5 else v for i, v in enumerate(views)]
    ended, record, _ = run_rollout(half_done, RUNNING, RolloutPlanner("llm"))
    assert all(view.version == "2" for view in ended)
    assert record.verdict is Verdict.DONE


def test_a_replaced_vm_gets_the_version_in_force():
    done = replace(RUNNING, verdict=Verdict.DONE)
    views = make_views(5, "2")
    views[3] = replace(views[3], version="1", ready=False)
    steps = list(RolloutPlanner("llm").plan("2", done, views, 0.0))
    assert steps == [LoadVersion("side-03", "2")]


def test_reverting_the_configuration_completes_a_halted_rollout():
    halted = replace(RUNNING, verdict=Verdict.HALTED, reason="errors")
    (step,) = RolloutPlanner("llm").plan("1", halted, make_views(5), 0.0)
    assert step.record == RolloutRecord("llm", "1", "1", Verdict.DONE)


def test_a_record_is_unchanged_by_encoding_and_decoding():
    assert decode_rollout_record(RUNNING.to_bytes()) == RUNNING
    assert decode_rollout_record(b"{}") is None


def test_failed_loads_are_retried_later_and_fewer_at_a_time():
    # Guards against a rollout that keeps a rate-limited weight store at its limit.
    limiter, now_ms, waits = LoadConcurrencyLimiter(1_000.0), 0.0, []
    for _ in range(10):
        started_ms = now_ms
        while not (allowed := limiter.available_loads(now_ms, 0, 16)):
            now_ms += 500.0
        waits.append(now_ms - started_ms)
        for _ in range(allowed):
            limiter.on_load_failed(now_ms, allowed)
    assert waits[1:5] == [1_000.0, 2_000.0, 4_000.0, 8_000.0]
    assert max(waits) == MAX_BACKOFF_MS
    assert allowed == 1
