"""Plots of a load run, as one PNG file."""

from collections.abc import Sequence
from typing import Any

import matplotlib

from wigeonwind.checking.history import End, RequestSeen
from wigeonwind.clock import MS_PER_SECOND

matplotlib.use("Agg")

from matplotlib import pyplot  # noqa: E402

BIN_MS = 1000.0


def write_plot(path: str, seen: Sequence[RequestSeen]) -> None:
    """Draw requests over time and the latencies of first tokens into `path`."""
    figure, axes = pyplot.subplots(2, 1, figsize=(10.0, 8.0), sharex=True)
    begin_ms = min((each.intended_ms for each in seen), default=0.0)
    names = sorted({each.request_class for each in seen})
    for name in names:
        mine = [each for each in seen if each.request_class == name]
        _rates(axes[0], name, mine, begin_ms)
        begun = [each for each in mine if each.first_ms is not None]
        places = [(each.intended_ms - begin_ms) / MS_PER_SECOND for each in begun]
        waits = [(each.first_ms or 0.0) - each.intended_ms for each in begun]
        axes[1].scatter(places, waits, s=4, label=name)
    axes[0].set_ylabel("requests/s")
    axes[1].set_ylabel("first token after intended send, ms")
    axes[1].set_yscale("log")
    axes[1].set_xlabel("seconds")
    for axis in axes:
        axis.legend()
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)


def _rates(axis: Any, name: str, seen: Sequence[RequestSeen], begin_ms: float) -> None:
    """Draw offered and whole requests in each second."""
    length = 1 + max(int((e.intended_ms - begin_ms) / BIN_MS) for e in seen)
    offered, whole = [0] * length, [0] * length
    for each in seen:
        place = int((each.intended_ms - begin_ms) / BIN_MS)
        offered[place] += 1
        whole[place] += each.end is End.WHOLE
    (line,) = axis.plot(range(length), offered, label=f"{name} offered")
    axis.plot(
        range(length), whole, "--", color=line.get_color(), label=f"{name} answered"
    )
