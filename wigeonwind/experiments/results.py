"""What became of each request of a run, and the rows of an experiment's file."""

from collections import defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import asdict, dataclass, field

from wigeonwind.catalog import Catalog, RequestClass, TargetKind
from wigeonwind.experiments.scenario import Arrival

ALL = "all"
"""Class name of the row over all classes."""


@dataclass
class Outcome:
    """The history of one request.

    `computed_tokens` counts every token an engine made for it, `dropped_tokens` cache
    contents that were discarded by a pause. Times are None while they have not come.
    """

    arrival: Arrival
    first_ms: float | None = None
    last_ms: float | None = None
    done_ms: float | None = None
    refused: bool = False
    refusals: int = 0
    attempts: int = 0
    delivered: int = 0
    computed_tokens: int = 0
    dropped_tokens: int = 0
    cached_tokens: int = 0
    started_ms: float | None = None
    reasons: list[str] = field(default_factory=list)

    @property
    def wasted_tokens(self) -> int:
        """Return computed tokens that are in no whole answer, and dropped ones."""
        used = self.arrival.output_tokens if self.done_ms is not None else 0
        return max(0, self.computed_tokens - used) + self.dropped_tokens

    def attained(self, request_class: RequestClass) -> bool:
        """Return whether the request was answered whole and within its target."""
        if self.done_ms is None or self.first_ms is None:
            return False
        target = request_class.target
        if target.kind is TargetKind.FIRST_TOKEN:
            return self.first_ms - self.arrival.at_ms <= target.limit_ms
        if target.kind is TargetKind.WHOLE:
            return self.done_ms - self.arrival.at_ms <= target.limit_ms
        gaps = max(1, self.arrival.output_tokens - 1)
        return (self.done_ms - self.first_ms) / gaps <= target.limit_ms


@dataclass(frozen=True)
class Row:
    """One row of an experiment's file; tokens are sums over the run."""

    experiment: str
    seed: int
    policy: str
    class_name: str
    offered: int
    finished: int
    refused: int
    attainment: float
    goodput_tokens: int
    wasted_tokens: int
    ttft_p95_ms: float

    def to_json(self) -> dict[str, object]:
        """Return the row under its published names."""
        fields = asdict(self)
        fields["class"] = fields.pop("class_name")
        return fields


def percentile(values: Iterable[float], share: float) -> float:
    """Return the value below which `share` (0 to 1) of the values lie; 0 if empty.

    >>> percentile([1.0, 2.0, 3.0, 4.0], 0.5)
    2.0
    """
    ordered = sorted(values)
    if not ordered:
        return 0.0
    return ordered[max(0, round(share * len(ordered)) - 1)]


def class_rows(
    experiment: str, seed: int, policy: str, catalog: Catalog, outcomes: list[Outcome]
) -> Iterator[Row]:
    """Yield one row for each class in the order of priority, and one for all."""
    by_class: dict[str, list[Outcome]] = defaultdict(list)
    for outcome in outcomes:
        by_class[outcome.arrival.class_name].append(outcome)
    ordered = sorted(by_class, key=lambda name: catalog.class_by_name[name].priority)
    for name in ordered:
        yield _row(experiment, seed, policy, name, catalog, by_class[name])
    yield _row(experiment, seed, policy, ALL, catalog, outcomes)


def _row(
    experiment: str,
    seed: int,
    policy: str,
    name: str,
    catalog: Catalog,
    outcomes: list[Outcome],
) -> Row:
    attained = [
        outcome
        for outcome in outcomes
        if outcome.attained(catalog.class_by_name[outcome.arrival.class_name])
    ]
    waits = [o.first_ms - o.arrival.at_ms for o in outcomes if o.first_ms is not None]
    return Row(
        experiment,
        seed,
        policy,
        name,
        offered=len(outcomes),
        finished=sum(outcome.done_ms is not None for outcome in outcomes),
        refused=sum(outcome.refused for outcome in outcomes),
        attainment=round(len(attained) / max(1, len(outcomes)), 4),
        goodput_tokens=sum(outcome.arrival.output_tokens for outcome in attained),
        wasted_tokens=sum(outcome.wasted_tokens for outcome in outcomes),
        ttft_p95_ms=round(percentile(waits, 0.95), 1),
    )


@dataclass(frozen=True)
class CustomerRow:
    """What one customer got in one class, over one run."""

    policy: str
    customer: str
    class_name: str
    offered: int
    attainment: float


def customer_rows(
    policy: str, request_class: RequestClass, outcomes: Iterable[Outcome]
) -> Iterator[CustomerRow]:
    """Yield one row for each customer of a class, in the order of their names."""
    by_customer: dict[str, list[bool]] = defaultdict(list)
    for outcome in outcomes:
        if outcome.arrival.class_name == request_class.name:
            attained = outcome.attained(request_class)
            by_customer[outcome.arrival.customer].append(attained)
    for name, attained_list in sorted(by_customer.items()):
        share = sum(attained_list) / len(attained_list)
        yield CustomerRow(policy, name, request_class.name, len(attained_list), share)


def recovery_ms(
    outcomes: list[Outcome], request_class: RequestClass, burst_end_ms: float
) -> float | None:
    """Return how long after the burst the last arrival missed its target; None: never.

    Only arrivals after the end of the burst count.
    """
    late = [
        outcome.arrival.at_ms - burst_end_ms
        for outcome in outcomes
        if outcome.arrival.class_name == request_class.name
        and outcome.arrival.at_ms >= burst_end_ms
        and not outcome.attained(request_class)
    ]
    return max(late, default=None)
