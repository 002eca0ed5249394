"""Results of a load run by class: counts, attainment and latency histograms."""

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

HIGHEST_US = 3_600_000_000
PERCENTILES = (50.0, 90.0, 95.0, 99.0, 99.9)
US_PER_MS = 1000


@dataclass(frozen=True)
class Latency:
    """A latency from the intended send time, in milliseconds.

    An open-loop generator that falls behind would otherwise hide the wait that callers
    see (coordinated omission).
    """

    count: int
    mean_ms: float
    max_ms: float
    percentile_ms: Mapping[str, float]


@dataclass(frozen=True)
class ClassReport:
    """What became of the requests of one class.

    `attainment` is the share of all offered requests that met the target, None
    without a target.
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
    """A whole run."""

    seed: int
    duration_s: float
    offered: int
    late_sends: int
    """Requests that left more than 50 ms after their intended time."""
    wrong_answers: int
    classes: tuple[ClassReport, ...]


def make_report(
    seen: Sequence[RequestSeen],
    seed: int,
    target_by_class: Mapping[str, LatencyTarget] | None = None,
) -> LoadReport:
    """Summarise what the callers saw."""
    targets = target_by_class or {}
    names = sorted({each.request_class for each in seen})
    begin_ms = min((each.intended_ms for each in seen), default=0.0)
    end_ms = max((each.ended_ms for each in seen), default=0.0)
    classes = tuple(
        _class_report(
            name, [each for each in seen if each.request_class == name], targets
        )
        for name in names
    )
    return LoadReport(
        seed,
        (end_ms - begin_ms) / MS_PER_SECOND,
        len(seen),
        sum(each.sent_ms - each.intended_ms > 50 for each in seen),
        sum(is_wrong(each) for each in seen),
        classes,
    )


def is_wrong(seen: RequestSeen) -> bool:
    """Return whether a whole answer is not the one to its prompt."""
    if seen.end is not End.WHOLE or not seen.prompt:
        return False
    checked = check_complete_answer(seen.prompt, seen.text, seen.max_tokens)
    return not isinstance(checked, Ok)


def _class_report(
    name: str, seen: Sequence[RequestSeen], targets: Mapping[str, LatencyTarget]
) -> ClassReport:
    whole = [each for each in seen if each.end is End.WHOLE]
    target = targets.get(name)
    attained = sum(is_attained(each, target) for each in whole) if target else 0
    first = (e.first_ms - e.intended_ms for e in seen if e.first_ms is not None)
    return ClassReport(
        name,
        len(seen),
        dict(Counter(each.end.value for each in seen)),
        dict(Counter(f"{e.outcome} {e.code}" for e in seen if e.outcome)),
        attained / len(seen) if target and seen else None,
        sum(len(each.pieces) for each in seen if each.prompt),
        _latency(first),
        _latency(each.ended_ms - each.intended_ms for each in whole),
        _latency(_between_tokens(each) for each in whole if len(each.pieces) > 1),
    )


def is_attained(seen: RequestSeen, target: LatencyTarget) -> bool:
    """Return whether a whole answer met its target, from the intended send time."""
    if seen.end is not End.WHOLE or seen.first_ms is None:
        return False
    if target.kind is TargetKind.FIRST_TOKEN:
        return seen.first_ms - seen.intended_ms <= target.limit_ms
    if target.kind is TargetKind.WHOLE:
        return seen.ended_ms - seen.intended_ms <= target.limit_ms
    return _between_tokens(seen) <= target.limit_ms


def _between_tokens(seen: RequestSeen) -> float:
    """Return the mean time between tokens in milliseconds."""
    assert seen.first_ms is not None
    gaps = max(1, len(seen.pieces) - 1)
    return (seen.pieces[-1].at_ms - seen.first_ms) / gaps


def _latency(values_ms: Iterable[float]) -> Latency:
    histogram = HdrHistogram(1, HIGHEST_US, 3)
    for value_ms in values_ms:
        value_us = round(value_ms * US_PER_MS)
        histogram.record_value(min(max(value_us, 1), HIGHEST_US))
    count = histogram.get_total_count()
    if not count:
        return Latency(0, 0.0, 0.0, {})
    percentiles = {
        f"p{percentile:g}": histogram.get_value_at_percentile(percentile) / US_PER_MS
        for percentile in PERCENTILES
    }
    highest = histogram.get_max_value() / US_PER_MS
    mean = histogram.get_mean_value() / US_PER_MS
    return Latency(count, mean, highest, percentiles)


def table_rows(report: LoadReport) -> list[Sequence[Any]]:
    """Return rows of `TABLE_TITLES` for the terminal."""
    return [
        (
            each.request_class,
            each.offered,
            each.ends.get("whole", 0),
            each.ends.get("refused", 0),
            each.offered - each.ends.get("whole", 0) - each.ends.get("refused", 0),
            "-" if each.attainment is None else f"{each.attainment:.3f}",
            _milliseconds(each.first_token, "p50"),
            _milliseconds(each.first_token, "p95"),
            _milliseconds(each.whole, "p95"),
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


def _milliseconds(latency: Latency, name: str) -> str:
    return f"{latency.percentile_ms[name]:.0f}" if latency.count else "-"
