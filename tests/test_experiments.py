"""The virtual-time experiments, on a scenario of a few seconds."""

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
PUBLISHED = (
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


def short(name="harvest", seconds=24):
    return replace(SCENARIOS.get(name)(), end_ms=seconds * 1000.0)


def run(scenario, policy):
    return Simulation(scenario, POLICIES.get(policy), SEED).run()


def without_lower(scenario):
    return replace(scenario, streams=scenario.streams[:1])


@pytest.fixture(scope="module")
def outcomes_by_policy():
    names = (*DEFAULT_POLICIES, "oracle")
    return {name: run(short(), name) for name in names}


def test_rows_have_the_published_names(outcomes_by_policy):
    # Guards the file that others read: names, and one row for each class and for all.
    catalog = short().catalog
    made = [
        row.to_json()
        for row in class_rows(
            "harvest", SEED, "ours", catalog, outcomes_by_policy["ours"]
        )
    ]
    assert [row["class"] for row in made] == ["chat", "dossier", "tagging", "all"]
    assert all(sorted(row) == sorted(PUBLISHED) for row in made)
    assert json.loads(json.dumps(made)) == made


def test_all_policies_get_the_same_arrivals(outcomes_by_policy):
    # Guards against a comparison of policies on different traffic.
    expected = list(arrivals(short(), SEED))
    for outcomes in outcomes_by_policy.values():
        assert [outcome.arrival for outcome in outcomes] == expected
    reference = list(arrivals(short("steady"), SEED))
    assert list(arrivals(short("straggler"), SEED)) == reference


def test_a_run_is_repeated_exactly(outcomes_by_policy):
    # Guards against a source of randomness without a seed.
    assert run(short(), "ours") == outcomes_by_policy["ours"]


def test_every_request_ends_once_and_only_ours_refuses(outcomes_by_policy):
    # Guards against requests that a policy loses, and baselines that shed load.
    for name, outcomes in outcomes_by_policy.items():
        assert all((o.done_ms is not None) != o.refused for o in outcomes)
        if name in ("fifo", "round-robin", "least-reported"):
            assert not any(o.refused for o in outcomes)


def test_lower_work_costs_urgent_work_no_refusal():
    # Guards P1 over a burst: the same chat with and without all lower work.
    scenario = short(seconds=28)
    chat = [o for o in run(scenario, "ours") if o.arrival.class_name == "chat"]
    alone = run(without_lower(scenario), "ours")
    assert [o.arrival for o in chat] == [o.arrival for o in alone]
    assert sum(o.refused for o in chat) <= sum(o.refused for o in alone)
    assert sum(o.met_target(CHAT) for o in chat) >= 0.99 * len(chat)


def test_a_delayed_report_arrives_late_with_its_age():
    # Guards against a stale experiment whose reports are fresh.
    simulation = Simulation(short("stale", 8), POLICIES.get("ours"), SEED)
    seen = []
    for entry in simulation.entries:
        entry.choice.on_load = lambda name, load, now_ms: seen.append((now_ms, load))
    simulation.run()
    assert min(now_ms for now_ms, _ in seen) == 5000.0
    assert all(load.age_ms >= 5000.0 for _, load in seen)


def test_a_customer_row_counts_only_its_own_requests():
    # Guards the view by customer against counting others or other classes.
    def outcome(number, customer, class_name, first_ms):
        arrival = Arrival(0.0, f"r{number}", class_name, customer, 10, 5)
        return Outcome(arrival, first_ms=first_ms, done_ms=9000.0)

    rows = [
        outcome(1, "a", "chat", 100.0),
        outcome(2, "a", "chat", 1600.0),
        outcome(3, "b", "chat", 100.0),
        outcome(4, "b", "dossier", 9000.0),
    ]
    made = list(customer_rows("ours", CHAT, rows))
    assert [(r.customer, r.offered, r.attainment) for r in made] == [
        ("a", 2, 0.5),
        ("b", 1, 1.0),
    ]


def test_affinity_takes_more_from_the_prefix_caches(monkeypatch):
    # Guards the comparison: the variant must really leave cached prefixes out.
    scenario = short("prefix", 20)
    monkeypatch.setattr(SCENARIOS, "get", lambda name: lambda: scenario)
    cached = run_one("prefix", "ours", SEED).cached_tokens
    assert cached > run_one("prefix", "ours-no-affinity", SEED).cached_tokens
