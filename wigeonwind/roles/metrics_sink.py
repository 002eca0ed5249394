"""What the entry needs of the metrics: counts and latencies by name and labels."""

from collections.abc import Mapping
from typing import Protocol


class MetricsSink(Protocol):
    """Counters and latency histograms of one process."""

    def count(self, name: str, labels: Mapping[str, str], n: int = 1) -> None:
        """Add `n` to a counter."""
        ...

    def observe_ms(self, name: str, labels: Mapping[str, str], ms: float) -> None:
        """Record one latency in milliseconds."""
        ...


NO_LABELS: Mapping[str, str] = {}
"""Labels of a metric that has none."""
