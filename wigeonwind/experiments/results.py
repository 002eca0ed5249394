"""The outcome of each request of a run, and the result rows of an experiment."""

from collections import defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import asdict, dataclass, field

from wigeonwind.catalog import Catalog, RequestClass, TargetKind
from wigeonwind.experiments.scenario import Arrival

ALL_CLASSES = "all"
"""Class name in the row that covers all classes."""


@dataclass
class Outcome:
    """The outcome of one request; times are None until the event has happened.

    `delivered` counts the answer tokens that the caller has received, `computed_tokens`
    all tokens that engines have generated for the request, and `dropped_tokens` the KV
    cache tokens that pauses have dropped. `reasons` has one item for each time that the
    caller timed out and sent the request again.
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
        """Return computed tokens outside of complete answers, plus dropped tokens."""
        used = self.arrival.output_tokens if self.done_ms is not None else 0
        return max(0, self.computed_tokens - used) + self.dropped_tokens

    def met_target(self, request_class: RequestClass) -> bool:
        """Return whether the request was answered completely and within its target."""
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
    """One result row of an experiment; token counts are sums over the run."""

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
        """Return the row with the field names of the results file."""
        fields = asdict(self)
        fields["class"] = fields.pop("class_name")
        return fields


def percentile(values: Iterable[float], fraction: float) -> float:
    """Return the value at the quantile `fraction` (0 to 1); 0 if there are none.

    >>> percentile([1.0, 2.0, 3.0, 4.0], 0.5)
    2.0
    """
    sorted_values = sorted(values)
    if not sorted_values:
        return 0.0
    return sorted_values[max(0, round(fraction * len(sorted_values)) - 1)]


def class_rows(
    experiment: str, seed: int, policy: str, catalog: Catalog, outcomes: list[Outcome]
) -> Iterator[Row]:
    """Yield one row for each class, in order of priority, and one for all classes."""
    outcomes_by_class: dict[str, list[Outcome]] = defaultdict(list)
    for outcome in outcomes:
        outcomes_by_class[outcome.arrival.class_name].append(outcome)
    class_names = sorted(
        outcomes_by_class, key=lambda name: catalog.class_by_name[name].priority
    )
    for name in class_names:
        yield _make_row(
            experiment, seed, policy, name, catalog, outcomes_by_class[name]
        )
    yield _make_row(experiment, seed, policy, ALL_CLASSES, catalog, outcomes)


def _make_row(
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
        if outcome.met_target(catalog.class_by_name[outcome.arrival.class_name])
    ]
    first_token_ms = [
        o.first_ms - o.arrival.at_ms for o in outcomes if o.first_ms is not None
    ]
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
        ttft_p95_ms=round(percentile(first_token_ms, 0.95), 1),
    )


@dataclass(frozen=True)
class CustomerRow:
    """Attainment of one customer in one class over one run."""

    policy: str
    customer: str
    class_name: str
    offered: int
    attainment: float


def customer_rows(
    policy: str, request_class: RequestClass, outcomes: Iterable[Outcome]
) -> Iterator[CustomerRow]:
    """Yield one row for each customer of a class, in order of name."""
    attained_by_customer: dict[str, list[bool]] = defaultdict(list)
    for outcome in outcomes:
        if outcome.arrival.class_name == request_class.name:
            attained = outcome.met_target(request_class)
            attained_by_customer[outcome.arrival.customer].append(attained)
    for customer, attained_list in sorted(attained_by_customer.items()):
        attainment = sum(attained_list) / len(attained_list)
        yield CustomerRow(
            policy, customer, request_class.name, len(attained_list), attainment
        )


def recovery_ms(
    outcomes: list[Outcome], request_class: RequestClass, burst_end_ms: float
) -> float | None:
    """Return the time from the end of the burst to the last arrival missing its target.

    None if every arrival after the end of the burst met its target.
    """
    missed_after_ms = [
        outcome.arrival.at_ms - burst_end_ms
        for outcome in outcomes
        if outcome.arrival.class_name == request_class.name
        and outcome.arrival.at_ms >= burst_end_ms
        and not outcome.met_target(request_class)
    ]
    return max(missed_after_ms, default=None)
