"""Plots of the results of a load run, as one PNG file."""

from collections.abc import Sequence
from typing import Any

import matplotlib

from wigeonwind.checking.history import End, RequestSeen
from wigeonwind.clock import MS_PER_SECOND

matplotlib.use("Agg")

from matplotlib import pyplot  # noqa: E402

BIN_WIDTH_MS = 1000.0


def write_plot(path: str, records: Sequence[RequestSeen]) -> None:
    """Plot request rates and first-token latencies over time to the file `path`."""
    figure, axes = pyplot.subplots(2, 1, figsize=(10.0, 8.0), sharex=True)
    begin_ms = min((each.intended_ms for each in records), default=0.0)
    class_names = sorted({each.request_class for each in records})
    for name in class_names:
        requests = [each for each in records if each.request_class == name]
        _plot_rates(axes[0], name, requests, begin_ms)
        answered = [each for each in requests if each.first_ms is not None]
        offsets_s = [(each.intended_ms - begin_ms) / MS_PER_SECOND for each in answered]
        latencies_ms = [(each.first_ms or 0.0) - each.intended_ms for each in answered]
        axes[1].scatter(offsets_s, latencies_ms, s=4, label=name)
    axes[0].set_ylabel("requests/s")
    axes[1].set_ylabel("first token after intended send, ms")
    axes[1].set_yscale("log")
    axes[1].set_xlabel("seconds")
    for axis in axes:
        axis.legend()
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)


def _plot_rates(
    axis: Any, name: str, records: Sequence[RequestSeen], begin_ms: float
) -> None:
    """Plot offered and completely answered requests in each second."""
    bin_count = 1 + max(int((e.intended_ms - begin_ms) / BIN_WIDTH_MS) for e in records)
    offered, whole = [0] * bin_count, [0] * bin_count
    for each in records:
        index = int((each.intended_ms - begin_ms) / BIN_WIDTH_MS)
        offered[index] += 1
        whole[index] += each.end is End.WHOLE
    (line,) = axis.plot(range(bin_count), offered, label=f"{name} offered")
    axis.plot(
        range(bin_count), whole, "--", color=line.get_color(), label=f"{name} answered"
    )
