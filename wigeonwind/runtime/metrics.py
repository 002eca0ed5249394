"""Counters, gauges and latencies of one process, as Prometheus text.

prometheus_client keeps and renders counters and gauges. Latencies are kept in
hdrhistogram, whose quantiles are exact to three digits over the whole range, and shown
as a summary. Names are `wigeonwind_<thing>_total`, `_ms` or the plain thing.
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
    # Loading the link messages takes longer than all else that metrics need.
    from wigeonwind.links.link_types import LinkCounts

PREFIX = "wigeonwind_"
"""Start of every metric's name."""

QUANTILES = (0.5, 0.95, 0.99)
"""Quantiles shown of each latency."""

LONGEST_US = 3_600_000_000
"""Longest latency that is told apart: one hour, in microseconds."""

WINDOW_MS = 60_000.0
"""Quantiles cover between one and two windows, so that an old burst is forgotten."""

US_PER_MS = 1000.0
"""Microseconds in one millisecond."""


class Latency:
    """One latency distribution over the last one to two minutes."""

    def __init__(self, clock: Clock) -> None:
        self.count = 0
        self.sum_ms = 0.0
        self._clock = clock
        self._began_ms = clock.now_ms()
        self._present = HdrHistogram(1, LONGEST_US, 3)
        self._previous = HdrHistogram(1, LONGEST_US, 3)

    def record(self, value_ms: float) -> None:
        """Record one latency in milliseconds."""
        self._turn_window()
        self.count += 1
        self.sum_ms += value_ms
        self._present.record_value(min(max(int(value_ms * US_PER_MS), 1), LONGEST_US))

    def quantile_ms(self, quantile: float) -> float:
        """Return the latency below which this share (0 to 1) lies; 0 without data."""
        self._turn_window()
        both = HdrHistogram(1, LONGEST_US, 3)
        both.add(self._present)
        both.add(self._previous)
        if not both.get_total_count():
            return 0.0
        return both.get_value_at_percentile(quantile * 100.0) / US_PER_MS

    def _turn_window(self) -> None:
        elapsed_ms = self._clock.now_ms() - self._began_ms
        if elapsed_ms < WINDOW_MS:
            return
        self._previous, self._present = self._present, self._previous
        self._present.reset()
        if elapsed_ms >= 2 * WINDOW_MS:
            self._previous.reset()
        self._began_ms = self._clock.now_ms()


class Metrics:
    """All metrics of one process; the same name always gives the same metric."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._registry = CollectorRegistry()
        self._counter_by_name: dict[str, Counter] = {}
        self._gauge_by_name: dict[str, Gauge] = {}
        self._latency_by_name: dict[str, tuple[str, Latency]] = {}
        self._registry.register(_Reader(self._latency_metrics))

    def counter(self, name: str, text: str, labels: tuple[str, ...] = ()) -> Counter:
        """Return the counter `wigeonwind_<name>_total`."""
        if name not in self._counter_by_name:
            counter = Counter(PREFIX + name, text, labels, registry=self._registry)
            self._counter_by_name[name] = counter
        return self._counter_by_name[name]

    def gauge(self, name: str, text: str, labels: tuple[str, ...] = ()) -> Gauge:
        """Return the gauge `wigeonwind_<name>`."""
        if name not in self._gauge_by_name:
            gauge = Gauge(PREFIX + name, text, labels, registry=self._registry)
            self._gauge_by_name[name] = gauge
        return self._gauge_by_name[name]

    def latency(self, name: str, text: str) -> Latency:
        """Return the latency `wigeonwind_<name>_ms`."""
        if name not in self._latency_by_name:
            self._latency_by_name[name] = (text, Latency(self._clock))
        return self._latency_by_name[name][1]

    def callback_counter(self, name: str, text: str, read: Callable[[], int]) -> None:
        """Show a plain integer as the counter `wigeonwind_<name>_total`.

        For what is counted with every token: adding to an integer costs a seventh of
        adding to a Counter.
        """
        self._registry.register(
            _Reader(lambda: iter([CounterMetricFamily(PREFIX + name, text, read())]))
        )

    def add_link_counts(self, counts: "LinkCounts") -> None:
        """Show the counts of the process's links as well."""
        self._registry.register(_Reader(lambda: _link_metrics(counts)))

    def render(self) -> bytes:
        """Return everything as Prometheus text."""
        return generate_latest(self._registry)

    def _latency_metrics(self) -> Iterator[Metric]:
        for name, (text, latency) in sorted(self._latency_by_name.items()):
            full = f"{PREFIX}{name}_ms"
            metric = Metric(full, text, "summary")
            for quantile in QUANTILES:
                value = latency.quantile_ms(quantile)
                metric.add_sample(full, {"quantile": str(quantile)}, value)
            metric.add_sample(full + "_count", {}, latency.count)
            metric.add_sample(full + "_sum", {}, latency.sum_ms)
            yield metric


class _Reader(Collector):
    """Metrics that are read when they are rendered."""

    def __init__(self, read: Callable[[], Iterator[Metric]]) -> None:
        self._read = read

    def collect(self) -> Iterator[Metric]:
        return self._read()


def _link_metrics(counts: "LinkCounts") -> Iterator[Metric]:
    for name, value in asdict(counts).items():
        text = f"Links: {name.replace('_', ' ')}."
        yield CounterMetricFamily(f"{PREFIX}link_{name}", text, value=value)
    open_links = counts.opened - counts.closed
    yield GaugeMetricFamily(f"{PREFIX}links_open", "Open links.", value=open_links)
