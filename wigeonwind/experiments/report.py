"""Plots that compare the policies of an experiment, as one PNG file."""

from collections.abc import Callable, Sequence
from typing import Any

import matplotlib

from wigeonwind.experiments.results import ALL_CLASSES
from wigeonwind.experiments.runs import Aggregate, Summary

matplotlib.use("Agg")

from matplotlib import pyplot  # noqa: E402

WIDTH_INCHES = 12.0
HEIGHT_INCHES = 8.0

RecoveryMsByPolicy = dict[str, list[float]]
"""Recovery times in ms by policy, of the seeds in which a request missed its target."""


def write_report(
    path: str,
    experiment: str,
    summaries: Sequence[Summary],
    recovery_ms_by_policy: RecoveryMsByPolicy,
) -> None:
    """Plot attainment, goodput, wasted tokens and recovery times to the file `path`."""
    figure, axes = pyplot.subplots(2, 2, figsize=(WIDTH_INCHES, HEIGHT_INCHES))
    _plot_bars(axes[0][0], "attainment", summaries, lambda each: each.attainment)
    _plot_bars(
        axes[0][1], "goodput, tokens", summaries, lambda each: each.goodput_tokens
    )
    _plot_bars(axes[1][0], "wasted tokens", summaries, lambda each: each.wasted_tokens)
    _plot_recovery(axes[1][1], recovery_ms_by_policy)
    figure.suptitle(
        f"{experiment}: mean over the seeds, error bars: minimum to maximum"
    )
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)


def _plot_bars(
    axis: Any,
    title: str,
    summaries: Sequence[Summary],
    get_value: Callable[[Summary], Aggregate],
) -> None:
    """Plot one group of bars for each class, with one bar for each policy."""
    policies = list(dict.fromkeys(each.policy for each in summaries))
    class_names = list(dict.fromkeys(each.class_name for each in summaries))
    width = 0.8 / len(policies)
    for number, policy in enumerate(policies):
        aggregates = [
            get_value(each)
            for name in class_names
            for each in summaries
            if each.policy == policy and each.class_name == name
        ]
        positions = [index + number * width for index in range(len(class_names))]
        below = [each.mean - each.minimum for each in aggregates]
        above = [each.maximum - each.mean for each in aggregates]
        means = [each.mean for each in aggregates]
        axis.bar(positions, means, width, yerr=[below, above], label=policy, capsize=2)
    axis.set_xticks([index + 0.4 - width / 2 for index in range(len(class_names))])
    axis.set_xticklabels(
        ["all classes" if name == ALL_CLASSES else name for name in class_names]
    )
    axis.set_title(title)
    axis.legend(fontsize="small")


def _plot_recovery(axis: Any, recovery_ms_by_policy: RecoveryMsByPolicy) -> None:
    policies = list(recovery_ms_by_policy)
    seconds = [
        max(recovery_ms_by_policy[policy], default=0.0) / 1000.0 for policy in policies
    ]
    axis.bar(policies, seconds)
    axis.set_title("longest recovery time after the burst, s")
