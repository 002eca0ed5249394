"""Runs experiments over policies and seeds, and summarises their rows."""

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
    """Rows of one run; `recovery_ms` is None if there is no burst or nothing late."""

    rows: tuple[Row, ...]
    recovery_ms: float | None
    customers: tuple[CustomerRow, ...]
    cached_tokens: int
    """Prompt tokens that came from engines' prefix caches."""
    computed_tokens: int


def run_one(experiment: str, policy: str, seed: int) -> RunResult:
    """Run one experiment; the names must be registered."""
    maker = SCENARIOS.get(experiment)
    chosen = POLICIES.get(policy)
    assert maker is not None and chosen is not None
    scenario = maker()
    outcomes = Simulation(scenario, chosen, seed).run()
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
    """Run every policy on the same arrivals, seed by seed."""
    for seed in seeds:
        for policy in policies:
            yield run_one(experiment, policy, seed)


@dataclass(frozen=True)
class Spread:
    """Mean and extremes over the seeds."""

    mean: float
    least: float
    most: float

    def __str__(self) -> str:
        """Return `mean (least to most)`."""
        return f"{self.mean:.4g} ({self.least:.4g} to {self.most:.4g})"


def spread_of(values: Sequence[float]) -> Spread:
    """Return mean and extremes of at least one value."""
    return Spread(mean(values), min(values), max(values))


def customer_spreads(
    results: Iterable[RunResult],
) -> dict[tuple[str, str], Spread]:
    """Return the urgent attainment by policy and customer."""
    values: dict[tuple[str, str], list[float]] = defaultdict(list)
    for result in results:
        for row in result.customers:
            values[(row.policy, row.customer)].append(row.attainment)
    return {key: spread_of(group) for key, group in values.items()}


@dataclass(frozen=True)
class Summary:
    """One class under one policy, over all seeds."""

    policy: str
    class_name: str
    attainment: Spread
    goodput_tokens: Spread
    wasted_tokens: Spread
    refused: Spread
    ttft_p95_ms: Spread


def summarise(rows: Iterable[Row]) -> list[Summary]:
    """Return a summary for each policy and class, in the order of the rows."""
    rows_by_key: dict[tuple[str, str], list[Row]] = defaultdict(list)
    for row in rows:
        rows_by_key[(row.policy, row.class_name)].append(row)
    return [
        Summary(
            policy,
            class_name,
            spread_of([row.attainment for row in group]),
            spread_of([float(row.goodput_tokens) for row in group]),
            spread_of([float(row.wasted_tokens) for row in group]),
            spread_of([float(row.refused) for row in group]),
            spread_of([row.ttft_p95_ms for row in group]),
        )
        for (policy, class_name), group in rows_by_key.items()
    ]
