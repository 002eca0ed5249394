"""Outcomes of requests by class over the last minute."""

from collections import Counter, deque
from typing import Any

from wigeonwind.catalog import LatencyTarget, TargetKind
from wigeonwind.clock import Clock

WINDOW_MS = 60_000.0
"""Time that the counts cover, to within one bucket."""

BUCKET_MS = 5_000.0
"""Width of a bucket; expired buckets are dropped as a whole."""

Counts = Counter[tuple[str, str]]


def meets_target(
    target: LatencyTarget, first_ms: float, total_ms: float, tokens: int
) -> bool:
    """Return whether a complete response met its target.

    `first_ms` and `total_ms` are times from the request to the first data and the end.

    >>> meets_target(LatencyTarget(TargetKind.BETWEEN_TOKENS, 50.0), 900.0, 1300.0, 11)
    True
    """
    if target.kind is TargetKind.FIRST_TOKEN:
        return first_ms <= target.limit_ms
    if target.kind is TargetKind.WHOLE:
        return total_ms <= target.limit_ms
    return (total_ms - first_ms) / max(tokens - 1, 1) <= target.limit_ms


class RecentOutcomes:
    """Sliding-window counts by class and outcome, in buckets of BUCKET_MS."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._buckets: deque[tuple[float, Counts]] = deque()

    def count(self, class_name: str, outcome: str) -> None:
        """Count one event of a class: an outcome, or `attained` for a met target."""
        self._drop_expired()
        now_ms = self._clock.now_ms()
        if not self._buckets or now_ms - self._buckets[-1][0] >= BUCKET_MS:
            self._buckets.append((now_ms, Counter()))
        self._buckets[-1][1][class_name, outcome] += 1

    def rows_by_class(self) -> dict[str, dict[str, Any]]:
        """Return the counts of each class and the attainment of its target.

        `attainment` is the share of ended requests that met their target, None if none
        ended. Refused and failed requests count as missed; cancelled ones do not count.
        """
        self._drop_expired()
        total: Counts = Counter()
        for _, counts in self._buckets:
            total.update(counts)
        names = sorted({class_name for class_name, _ in total})
        return {name: self._row(name, total) for name in names}

    def _row(self, name: str, total: Counts) -> dict[str, Any]:
        refused, attained = total[name, "not-run"], total[name, "attained"]
        failed = total[name, "failed"] + total[name, "unknown"]
        ended = total[name, "whole"] + refused + failed
        return {
            "whole": total[name, "whole"],
            "refused": refused,
            "failed": failed,
            "attainment": attained / ended if ended else None,
        }

    def _drop_expired(self) -> None:
        oldest_ms = self._clock.now_ms() - WINDOW_MS
        while self._buckets and self._buckets[0][0] <= oldest_ms:
            self._buckets.popleft()
