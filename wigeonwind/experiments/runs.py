"""Runs experiments and aggregates their results over seeds."""

from collections import defaultdict
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass
from statistics import mean

from wigeonwind.experiments.policies import POLICIES
from wigeonwind.experiments.results import (
    CustomerRow,
    Row,
    class_rows,
    customer_rows,
    recovery_ms,
)
from wigeonwind.experiments.simulation import Simulation
from wigeonwind.experiments.workloads import SCENARIOS


@dataclass(frozen=True)
class RunResult:
    """The results of one run.

    `recovery_ms` is None without a burst or if no request after it missed its target.
    """

    rows: tuple[Row, ...]
    recovery_ms: float | None
    customers: tuple[CustomerRow, ...]
    cached_tokens: int
    """Prompt tokens that were found in prefix caches of engines."""
    computed_tokens: int


def run_one(experiment: str, policy: str, seed: int) -> RunResult:
    """Run one experiment with a policy; both names must be registered."""
    make_scenario = SCENARIOS.get(experiment)
    chosen_policy = POLICIES.get(policy)
    assert make_scenario is not None and chosen_policy is not None
    scenario = make_scenario()
    outcomes = Simulation(scenario, chosen_policy, seed).run()
    rows = tuple(class_rows(experiment, seed, policy, scenario.catalog, outcomes))
    recovery = None
    urgent = scenario.catalog.class_by_name[scenario.urgent_class]
    if scenario.burst_end_ms:
        recovery = recovery_ms(outcomes, urgent, scenario.burst_end_ms)
    return RunResult(
        rows,
        recovery,
        tuple(customer_rows(policy, urgent, outcomes)),
        sum(outcome.cached_tokens for outcome in outcomes),
        sum(outcome.computed_tokens for outcome in outcomes),
    )


def run_all(
    experiment: str, policies: Sequence[str], seeds: Iterable[int]
) -> Iterator[RunResult]:
    """Run all policies on the same arrivals, for each seed."""
    for seed in seeds:
        for policy in policies:
            yield run_one(experiment, policy, seed)


@dataclass(frozen=True)
class Aggregate:
    """Mean, minimum and maximum over the seeds."""

    mean: float
    minimum: float
    maximum: float

    def __str__(self) -> str:
        """Return `mean (minimum to maximum)`."""
        return f"{self.mean:.4g} ({self.minimum:.4g} to {self.maximum:.4g})"


def aggregate(values: Sequence[float]) -> Aggregate:
    """Return the aggregate of at least one value."""
    return Aggregate(mean(values), min(values), max(values))


def customer_attainments(
    results: Iterable[RunResult],
) -> dict[tuple[str, str], Aggregate]:
    """Return the attainment of the urgent class by policy and customer."""
    values: dict[tuple[str, str], list[float]] = defaultdict(list)
    for result in results:
        for row in result.customers:
            values[(row.policy, row.customer)].append(row.attainment)
    return {key: aggregate(group) for key, group in values.items()}


@dataclass(frozen=True)
class Summary:
    """Aggregated results of one class under one policy."""

    policy: str
    class_name: str
    attainment: Aggregate
    goodput_tokens: Aggregate
    wasted_tokens: Aggregate
    refused: Aggregate
    ttft_p95_ms: Aggregate


def summarize(rows: Iterable[Row]) -> list[Summary]:
    """Return a summary for each policy and class, in order of first appearance."""
    rows_by_key: dict[tuple[str, str], list[Row]] = defaultdict(list)
    for row in rows:
        rows_by_key[(row.policy, row.class_name)].append(row)
    return [
        Summary(
            policy,
            class_name,
            aggregate([row.attainment for row in group]),
            aggregate([float(row.goodput_tokens) for row in group]),
            aggregate([float(row.wasted_tokens) for row in group]),
            aggregate([float(row.refused) for row in group]),
            aggregate([row.ttft_p95_ms for row in group]),
        )
        for (policy, class_name), group in rows_by_key.items()
    ]
