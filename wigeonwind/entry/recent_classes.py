"""What became of each class's requests over the last minute."""

from collections import Counter, deque
from typing import Any

from wigeonwind.catalog import LatencyTarget, TargetKind
from wigeonwind.clock import Clock

WINDOW_MS = 60_000.0
"""Time that the counts cover, to within one part."""

PART_MS = 5_000.0
"""Time counted together; older parts are dropped whole."""

Counts = Counter[tuple[str, str]]


def is_attained(
    target: LatencyTarget, first_ms: float, whole_ms: float, tokens: int
) -> bool:
    """Return whether a whole answer met its target; times are from the request.

    >>> is_attained(LatencyTarget(TargetKind.BETWEEN_TOKENS, 50.0), 900.0, 1300.0, 11)
    True
    """
    if target.kind is TargetKind.FIRST_TOKEN:
        return first_ms <= target.limit_ms
    if target.kind is TargetKind.WHOLE:
        return whole_ms <= target.limit_ms
    return (whole_ms - first_ms) / max(tokens - 1, 1) <= target.limit_ms


class RecentClasses:
    """Counts by class and outcome in parts of PART_MS."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._parts: deque[tuple[float, Counts]] = deque()

    def count(self, class_name: str, outcome: str) -> None:
        """Count one event of a class."""
        self._drop_old()
        now_ms = self._clock.now_ms()
        if not self._parts or now_ms - self._parts[-1][0] >= PART_MS:
            self._parts.append((now_ms, Counter()))
        self._parts[-1][1][class_name, outcome] += 1

    def rows(self) -> dict[str, dict[str, Any]]:
        """Return the counts of each class; `attainment` is None without an end.

        It is the share of the ended requests that met their target; those that were
        refused or failed count as missed, those that their caller left do not count.
        """
        self._drop_old()
        total: Counts = Counter()
        for _, counts in self._parts:
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

    def _drop_old(self) -> None:
        oldest_ms = self._clock.now_ms() - WINDOW_MS
        while self._parts and self._parts[0][0] <= oldest_ms:
            self._parts.popleft()
