"""Metrics of the entry: counters and latencies by name and labels."""

from collections.abc import Mapping
from typing import Protocol

from prometheus_client import Counter

from wigeonwind.runtime.metrics import Latency, Metrics

HELP_BY_METRIC = {
    "entry_requests": "Admitted requests by service, class and outcome.",
    "entry_refused": "Requests refused before admission, by code.",
    "entry_dropped_messages": "Messages that matched no attempt on their link.",
    "entry_cancelled": "Requests whose caller closed its connection.",
    "entry_resent": "Attempts after the first of a request.",
    "entry_moved": "Waiting attempts that were withdrawn and sent elsewhere.",
    "entry_resumed": "Answers that went on at another endpoint.",
    "entry_first_part": "Time to the first part of an answer.",
    "entry_whole": "Time to the whole answer.",
}
"""Help text of each metric of the entry."""


class MetricsSink(Protocol):
    """Counters and latency histograms of one process."""

    def count(self, name: str, labels: Mapping[str, str], n: int = 1) -> None:
        """Add `n` to a counter."""
        ...

    def observe_ms(self, name: str, labels: Mapping[str, str], ms: float) -> None:
        """Record one latency in milliseconds."""
        ...

    def render(self) -> bytes:
        """Return all metrics of the process as Prometheus text."""
        ...


NO_LABELS: Mapping[str, str] = {}
"""Labels of a metric without labels."""


class PrometheusSink:
    """Records the entry's metrics in the Prometheus registry of its process."""

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics
        self._counter_by_key: dict[tuple[str, ...], Counter] = {}
        self._latency_by_key: dict[tuple[str, ...], Latency] = {}

    def count(self, name: str, labels: Mapping[str, str], n: int = 1) -> None:
        """Add `n` to `wigeonwind_<name>_total`."""
        key = (name, *labels.values())
        counter = self._counter_by_key.get(key)
        if counter is None:
            counter = self._counter(name, labels)
            self._counter_by_key[key] = counter
        counter.inc(n)

    def observe_ms(self, name: str, labels: Mapping[str, str], ms: float) -> None:
        """Record a latency under `<name>_<class>`; latencies have no labels."""
        key = (name, labels.get("class", ""))
        latency = self._latency_by_key.get(key)
        if latency is None:
            metric_name = "_".join(part for part in key if part).replace("-", "_")
            latency = self._metrics.latency(metric_name, HELP_BY_METRIC.get(name, name))
            self._latency_by_key[key] = latency
        latency.record(ms)

    def render(self) -> bytes:
        """Return all metrics of the process as Prometheus text."""
        return self._metrics.render()

    def _counter(self, name: str, labels: Mapping[str, str]) -> Counter:
        help_text = HELP_BY_METRIC.get(name, name)
        counter = self._metrics.counter(name, help_text, tuple(labels))
        return counter.labels(**labels) if labels else counter
