"""The virtual-time experiments, on shortened scenarios."""

import json
from dataclasses import replace

import pytest

from wigeonwind.experiments.policies import DEFAULT_POLICIES, POLICIES
from wigeonwind.experiments.results import Outcome, class_rows, customer_rows
from wigeonwind.experiments.runs import run_one
from wigeonwind.experiments.scenario import Arrival, arrivals
from wigeonwind.experiments.simulation import Simulation
from wigeonwind.experiments.workloads import CHAT, SCENARIOS

SEED = 7
ROW_FIELDS = (
    "experiment",
    "seed",
    "policy",
    "class",
    "offered",
    "finished",
    "refused",
    "attainment",
    "goodput_tokens",
    "wasted_tokens",
    "ttft_p95_ms",
)


def short_scenario(name="harvest", seconds=24):
    return replace(SCENARIOS.get(name)(), end_ms=seconds * 1000.0)


def run_simulation(scenario, policy):
    return Simulation(scenario, POLICIES.get(policy), SEED).run()


def without_lower_classes(scenario):
    return replace(scenario, streams=scenario.streams[:1])


@pytest.fixture(scope="module")
def outcomes_by_policy():
    names = (*DEFAULT_POLICIES, "oracle")
    return {name: run_simulation(short_scenario(), name) for name in names}


def test_rows_have_the_documented_field_names(outcomes_by_policy):
    # Guards against incompatible changes of the results file: field names, and one row
    # for each class and one for all.
    catalog = short_scenario().catalog
    rows = [
        row.to_json()
        for row in class_rows(
            "harvest", SEED, "ours", catalog, outcomes_by_policy["ours"]
        )
    ]
    assert [row["class"] for row in rows] == ["chat", "dossier", "tagging", "all"]
    assert all(sorted(row) == sorted(ROW_FIELDS) for row in rows)
    assert json.loads(json.dumps(rows)) == rows


def test_all_policies_get_the_same_arrivals(outcomes_by_policy):
    # Guards against comparing policies on different arrivals.
    expected = list(arrivals(short_scenario(), SEED))
    for outcomes in outcomes_by_policy.values():
        assert [outcome.arrival for outcome in outcomes] == expected
    reference = list(arrivals(short_scenario("steady"), SEED))
    assert list(arrivals(short_scenario("straggler"), SEED)) == reference


def test_a_run_is_reproducible(outcomes_by_policy):
    # Guards against a source of randomness that is not seeded.
    assert run_simulation(short_scenario(), "ours") == outcomes_by_policy["ours"]


def test_every_request_ends_once_and_baselines_refuse_none(outcomes_by_policy):
    # Guards against requests that never end and baselines that refuse requests.
    for name, outcomes in outcomes_by_policy.items():
        assert all((o.done_ms is not None) != o.refused for o in outcomes)
        if name in ("fifo", "round-robin", "least-reported"):
            assert not any(o.refused for o in outcomes)


def test_lower_classes_cause_no_refusals_of_urgent_requests():
    # Guards promise P1 against refusals that lower classes cause in a burst.
    # Compares the same chat requests with and without the requests of lower classes.
    scenario = short_scenario(seconds=28)
    chat = [
        o for o in run_simulation(scenario, "ours") if o.arrival.class_name == "chat"
    ]
    alone = run_simulation(without_lower_classes(scenario), "ours")
    assert [o.arrival for o in chat] == [o.arrival for o in alone]
    assert sum(o.refused for o in chat) <= sum(o.refused for o in alone)
    assert sum(o.met_target(CHAT) for o in chat) >= 0.99 * len(chat)


def test_a_delayed_report_arrives_late_and_states_its_age():
    # Guards against a `stale` experiment that delivers fresh reports.
    simulation = Simulation(short_scenario("stale", 8), POLICIES.get("ours"), SEED)
    received = []
    for entry in simulation.entries:
        entry.choice.on_load = lambda name, load, now_ms: received.append(
            (now_ms, load)
        )
    simulation.run()
    assert min(now_ms for now_ms, _ in received) == 5000.0
    assert all(load.age_ms >= 5000.0 for _, load in received)


def test_a_customer_row_counts_only_requests_of_its_customer():
    # Guards against counting requests of other customers or other classes.
    def outcome(number, customer, class_name, first_ms):
        arrival = Arrival(0.0, f"r{number}", class_name, customer, 10, 5)
        return Outcome(arrival, first_ms=first_ms, done_ms=9000.0)

    outcomes = [
        outcome(1, "a", "chat", 100.0),
        outcome(2, "a", "chat", 1600.0),
        outcome(3, "b", "chat", 100.0),
        outcome(4, "b", "dossier", 9000.0),
    ]
    rows = list(customer_rows("ours", CHAT, outcomes))
    assert [(r.customer, r.offered, r.attainment) for r in rows] == [
        ("a", 2, 0.5),
        ("b", 1, 1.0),
    ]


def test_prefix_affinity_uses_more_cached_tokens(monkeypatch):
    # Guards against a variant `ours-no-affinity` that still uses prefix affinity.
    scenario = short_scenario("prefix", 20)
    monkeypatch.setattr(SCENARIOS, "get", lambda name: lambda: scenario)
    cached = run_one("prefix", "ours", SEED).cached_tokens
    assert cached > run_one("prefix", "ours-no-affinity", SEED).cached_tokens
