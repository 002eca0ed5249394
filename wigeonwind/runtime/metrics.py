"""Counters, gauges and latencies of one process in the Prometheus text format.

Counters and gauges are those of prometheus_client. Latencies are recorded in
hdrhistogram, which is exact to three digits over the whole range, and exposed as a
summary. Names are `wigeonwind_<name>_total` for counters, `wigeonwind_<name>_ms` for
latencies and `wigeonwind_<name>` for gauges.
"""

from collections.abc import Callable, Iterator
from dataclasses import asdict
from typing import TYPE_CHECKING

from hdrh.histogram import HdrHistogram
from prometheus_client import CollectorRegistry, Counter, Gauge, generate_latest
from prometheus_client.metrics_core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    Metric,
)
from prometheus_client.registry import Collector

from wigeonwind.clock import Clock

if TYPE_CHECKING:
    # Importing the link messages takes longer than all other imports here.
    from wigeonwind.links.link_types import LinkCounts

PREFIX = "wigeonwind_"
"""Prefix of all metric names."""

QUANTILES = (0.5, 0.95, 0.99)
"""Quantiles exposed for each latency."""

MAX_LATENCY_US = 3_600_000_000
"""Upper bound of recorded latencies: one hour, in microseconds."""

WINDOW_MS = 60_000.0
"""Length of a window; quantiles cover one to two windows, so old bursts expire."""

US_PER_MS = 1000.0
"""Microseconds in one millisecond."""


class Latency:
    """Latency distribution of the last one to two minutes."""

    def __init__(self, clock: Clock) -> None:
        self.count = 0
        self.sum_ms = 0.0
        self._clock = clock
        self._window_started_ms = clock.now_ms()
        self._current = HdrHistogram(1, MAX_LATENCY_US, 3)
        self._previous = HdrHistogram(1, MAX_LATENCY_US, 3)

    def record(self, value_ms: float) -> None:
        """Record one latency in milliseconds."""
        self._rotate_window()
        self.count += 1
        self.sum_ms += value_ms
        self._current.record_value(
            min(max(int(value_ms * US_PER_MS), 1), MAX_LATENCY_US)
        )

    def quantile_ms(self, quantile: float) -> float:
        """Return a quantile (0 to 1) in milliseconds; 0 without data."""
        self._rotate_window()
        merged = HdrHistogram(1, MAX_LATENCY_US, 3)
        merged.add(self._current)
        merged.add(self._previous)
        if not merged.get_total_count():
            return 0.0
        return merged.get_value_at_percentile(quantile * 100.0) / US_PER_MS

    def _rotate_window(self) -> None:
        elapsed_ms = self._clock.now_ms() - self._window_started_ms
        if elapsed_ms < WINDOW_MS:
            return
        self._previous, self._current = self._current, self._previous
        self._current.reset()
        if elapsed_ms >= 2 * WINDOW_MS:
            self._previous.reset()
        self._window_started_ms = self._clock.now_ms()


class Metrics:
    """The metrics of one process; each name is registered once."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._registry = CollectorRegistry()
        self._counter_by_name: dict[str, Counter] = {}
        self._gauge_by_name: dict[str, Gauge] = {}
        self._latency_by_name: dict[str, tuple[str, Latency]] = {}
        self._registry.register(_CallbackCollector(self._latency_metrics))

    def counter(
        self, name: str, documentation: str, labels: tuple[str, ...] = ()
    ) -> Counter:
        """Return the counter `wigeonwind_<name>_total`."""
        if name not in self._counter_by_name:
            counter = Counter(
                PREFIX + name, documentation, labels, registry=self._registry
            )
            self._counter_by_name[name] = counter
        return self._counter_by_name[name]

    def gauge(
        self, name: str, documentation: str, labels: tuple[str, ...] = ()
    ) -> Gauge:
        """Return the gauge `wigeonwind_<name>`."""
        if name not in self._gauge_by_name:
            gauge = Gauge(PREFIX + name, documentation, labels, registry=self._registry)
            self._gauge_by_name[name] = gauge
        return self._gauge_by_name[name]

    def latency(self, name: str, documentation: str) -> Latency:
        """Return the latency `wigeonwind_<name>_ms`."""
        if name not in self._latency_by_name:
            self._latency_by_name[name] = (documentation, Latency(self._clock))
        return self._latency_by_name[name][1]

    def callback_counter(
        self, name: str, documentation: str, read: Callable[[], int]
    ) -> None:
        """Expose an integer as the counter `wigeonwind_<name>_total`.

        For counts that change with every token: incrementing an integer takes a seventh
        of the time of incrementing a Counter.
        """
        self._registry.register(
            _CallbackCollector(
                lambda: iter(
                    [CounterMetricFamily(PREFIX + name, documentation, read())]
                )
            )
        )

    def add_link_counts(self, counts: "LinkCounts") -> None:
        """Expose the counters of the links of the process."""
        self._registry.register(_CallbackCollector(lambda: _link_metrics(counts)))

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self._registry)

    def _latency_metrics(self) -> Iterator[Metric]:
        for name, (documentation, latency) in sorted(self._latency_by_name.items()):
            metric_name = f"{PREFIX}{name}_ms"
            metric = Metric(metric_name, documentation, "summary")
            for quantile in QUANTILES:
                value = latency.quantile_ms(quantile)
                metric.add_sample(metric_name, {"quantile": str(quantile)}, value)
            metric.add_sample(metric_name + "_count", {}, latency.count)
            metric.add_sample(metric_name + "_sum", {}, latency.sum_ms)
            yield metric


class _CallbackCollector(Collector):
    """Metrics whose values are read when they are rendered."""

    def __init__(self, read: Callable[[], Iterator[Metric]]) -> None:
        self._read = read

    def collect(self) -> Iterator[Metric]:
        return self._read()


def _link_metrics(counts: "LinkCounts") -> Iterator[Metric]:
    for name, value in asdict(counts).items():
        documentation = f"Links: {name.replace('_', ' ')}."
        yield CounterMetricFamily(f"{PREFIX}link_{name}", documentation, value=value)
    open_links = counts.opened - counts.closed
    yield GaugeMetricFamily(f"{PREFIX}links_open", "Open links.", value=open_links)
