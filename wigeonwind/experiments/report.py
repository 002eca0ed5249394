"""Plots that compare the policies of an experiment, as one PNG file."""

from collections.abc import Callable, Sequence
from typing import Any

import matplotlib

from wigeonwind.experiments.results import ALL
from wigeonwind.experiments.runs import Spread, Summary

matplotlib.use("Agg")

from matplotlib import pyplot  # noqa: E402

WIDTH_INCHES = 12.0
HEIGHT_INCHES = 8.0

RecoveryByPolicy = dict[str, list[float]]
"""Times to recover in milliseconds, of the seeds in which something was late."""


def write_report(
    path: str, experiment: str, summaries: Sequence[Summary], recovery: RecoveryByPolicy
) -> None:
    """Draw attainment, goodput, wasted tokens and time to recover into `path`."""
    figure, axes = pyplot.subplots(2, 2, figsize=(WIDTH_INCHES, HEIGHT_INCHES))
    _bars(axes[0][0], "attainment", summaries, lambda each: each.attainment)
    _bars(axes[0][1], "goodput, tokens", summaries, lambda each: each.goodput_tokens)
    _bars(axes[1][0], "wasted tokens", summaries, lambda each: each.wasted_tokens)
    _recovery(axes[1][1], recovery)
    figure.suptitle(f"{experiment}: mean over the seeds, lines show least and most")
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)


def _bars(
    axis: Any,
    title: str,
    summaries: Sequence[Summary],
    pick: Callable[[Summary], Spread],
) -> None:
    """Draw one group of bars for each class, one bar for each policy."""
    policies = list(dict.fromkeys(each.policy for each in summaries))
    names = list(dict.fromkeys(each.class_name for each in summaries))
    width = 0.8 / len(policies)
    for number, policy in enumerate(policies):
        spreads = [
            pick(each)
            for name in names
            for each in summaries
            if each.policy == policy and each.class_name == name
        ]
        places = [place + number * width for place in range(len(names))]
        below = [spread.mean - spread.least for spread in spreads]
        above = [spread.most - spread.mean for spread in spreads]
        means = [spread.mean for spread in spreads]
        axis.bar(places, means, width, yerr=[below, above], label=policy, capsize=2)
    axis.set_xticks([place + 0.4 - width / 2 for place in range(len(names))])
    axis.set_xticklabels(["all classes" if name == ALL else name for name in names])
    axis.set_title(title)
    axis.legend(fontsize="small")


def _recovery(axis: Any, recovery: RecoveryByPolicy) -> None:
    policies = list(recovery)
    seconds = [max(recovery[policy], default=0.0) / 1000.0 for policy in policies]
    axis.bar(policies, seconds)
    axis.set_title("longest time to recover after the burst, s")
