"""Results of a load run by request class: counts, attainment and latencies."""

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from typing import Any

from hdrh.histogram import HdrHistogram

from wigeonwind.catalog import LatencyTarget, TargetKind
from wigeonwind.checking.history import End, RequestSeen
from wigeonwind.clock import MS_PER_SECOND
from wigeonwind.outcomes import Ok
from wigeonwind.standins.answer_text import check_complete_answer

MAX_LATENCY_US = 3_600_000_000
"""One hour; longer latencies are recorded as this value."""

PERCENTILES = (50.0, 90.0, 95.0, 99.0, 99.9)
US_PER_MS = 1000


@dataclass(frozen=True)
class Latency:
    """The distribution of a latency in milliseconds.

    Latencies to the first token and to the end of the answer count from the intended
    send time: a generator that falls behind its plan would otherwise hide the wait that
    callers would have seen (coordinated omission).
    """

    count: int
    mean_ms: float
    max_ms: float
    percentile_ms: Mapping[str, float]


@dataclass(frozen=True)
class ClassReport:
    """The results of one request class.

    `ends` counts requests by the value of their `End`, `codes` by outcome and error
    code. `attainment` is the fraction of the offered requests that met the latency
    target, None without a target.
    """

    request_class: str
    offered: int
    ends: Mapping[str, int]
    codes: Mapping[str, int]
    attainment: float | None
    tokens: int
    first_token: Latency
    whole: Latency
    between_tokens: Latency


@dataclass(frozen=True)
class LoadReport:
    """The results of a run."""

    seed: int
    duration_s: float
    offered: int
    late_sends: int
    """Requests that were sent more than 50 ms after their intended time."""
    wrong_answers: int
    classes: tuple[ClassReport, ...]


def make_report(
    records: Sequence[RequestSeen],
    seed: int,
    target_by_class: Mapping[str, LatencyTarget] | None = None,
) -> LoadReport:
    """Summarize the records of the requests of a run."""
    targets = target_by_class or {}
    names = sorted({each.request_class for each in records})
    begin_ms = min((each.intended_ms for each in records), default=0.0)
    end_ms = max((each.ended_ms for each in records), default=0.0)
    classes = tuple(
        _class_report(
            name, [each for each in records if each.request_class == name], targets
        )
        for name in names
    )
    return LoadReport(
        seed,
        (end_ms - begin_ms) / MS_PER_SECOND,
        len(records),
        sum(each.sent_ms - each.intended_ms > 50 for each in records),
        sum(has_wrong_answer(each) for each in records),
        classes,
    )


def has_wrong_answer(record: RequestSeen) -> bool:
    """Return whether a complete answer differs from the one expected for its prompt."""
    if record.end is not End.WHOLE or not record.prompt:
        return False
    result = check_complete_answer(record.prompt, record.text, record.max_tokens)
    return not isinstance(result, Ok)


def _class_report(
    name: str, records: Sequence[RequestSeen], targets: Mapping[str, LatencyTarget]
) -> ClassReport:
    whole = [each for each in records if each.end is End.WHOLE]
    target = targets.get(name)
    attained = sum(met_target(each, target) for each in whole) if target else 0
    first_token_ms = (
        e.first_ms - e.intended_ms for e in records if e.first_ms is not None
    )
    return ClassReport(
        name,
        len(records),
        dict(Counter(each.end.value for each in records)),
        dict(Counter(f"{e.outcome} {e.code}" for e in records if e.outcome)),
        attained / len(records) if target and records else None,
        sum(len(each.pieces) for each in records if each.prompt),
        _summarize_latency(first_token_ms),
        _summarize_latency(each.ended_ms - each.intended_ms for each in whole),
        _summarize_latency(
            _mean_token_gap_ms(each) for each in whole if len(each.pieces) > 1
        ),
    )


def met_target(record: RequestSeen, target: LatencyTarget) -> bool:
    """Return whether a complete answer met its target.

    First-token and whole-answer latencies count from the intended send time.
    """
    if record.end is not End.WHOLE or record.first_ms is None:
        return False
    if target.kind is TargetKind.FIRST_TOKEN:
        return record.first_ms - record.intended_ms <= target.limit_ms
    if target.kind is TargetKind.WHOLE:
        return record.ended_ms - record.intended_ms <= target.limit_ms
    return _mean_token_gap_ms(record) <= target.limit_ms


def _mean_token_gap_ms(record: RequestSeen) -> float:
    """Return the mean time between tokens."""
    assert record.first_ms is not None
    gaps = max(1, len(record.pieces) - 1)
    return (record.pieces[-1].at_ms - record.first_ms) / gaps


def _summarize_latency(values_ms: Iterable[float]) -> Latency:
    histogram = HdrHistogram(1, MAX_LATENCY_US, 3)
    for value_ms in values_ms:
        value_us = round(value_ms * US_PER_MS)
        histogram.record_value(min(max(value_us, 1), MAX_LATENCY_US))
    count = histogram.get_total_count()
    if not count:
        return Latency(0, 0.0, 0.0, {})
    percentiles = {
        f"p{percentile:g}": histogram.get_value_at_percentile(percentile) / US_PER_MS
        for percentile in PERCENTILES
    }
    max_ms = histogram.get_max_value() / US_PER_MS
    mean_ms = histogram.get_mean_value() / US_PER_MS
    return Latency(count, mean_ms, max_ms, percentiles)


def table_rows(report: LoadReport) -> list[Sequence[Any]]:
    """Return the rows of a table with the columns `TABLE_TITLES`."""
    return [
        (
            each.request_class,
            each.offered,
            each.ends.get("whole", 0),
            each.ends.get("refused", 0),
            each.offered - each.ends.get("whole", 0) - each.ends.get("refused", 0),
            "-" if each.attainment is None else f"{each.attainment:.3f}",
            _format_percentile(each.first_token, "p50"),
            _format_percentile(each.first_token, "p95"),
            _format_percentile(each.whole, "p95"),
        )
        for each in report.classes
    ]


TABLE_TITLES = (
    "class",
    "offered",
    "whole",
    "refused",
    "other",
    "attained",
    "first p50 ms",
    "first p95 ms",
    "whole p95 ms",
)


def _format_percentile(latency: Latency, name: str) -> str:
    return f"{latency.percentile_ms[name]:.0f}" if latency.count else "-"
