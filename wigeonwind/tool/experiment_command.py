"""`wigeonctl experiment`: compares policies by simulation in virtual time."""

import json
import sys
from collections.abc import Sequence

from absl import flags

from wigeonwind.experiments.policies import DEFAULT_POLICIES, POLICIES
from wigeonwind.experiments.runs import (
    RunResult,
    Summary,
    customer_attainments,
    run_one,
    summarize,
)
from wigeonwind.experiments.workloads import SCENARIOS
from wigeonwind.tool.commands import ExitCode, command, format_table, print_error


def _define_flags(values: flags.FlagValues) -> None:
    flags.DEFINE_integer("seed", 1, "First seed.", flag_values=values)
    flags.DEFINE_integer(
        "seeds",
        1,
        "Number of consecutive seeds to run, from --seed up.",
        1,
        flag_values=values,
    )
    flags.DEFINE_list(
        "policy", list(DEFAULT_POLICIES), "Policies to compare.", flag_values=values
    )
    flags.DEFINE_bool(
        "by_customer",
        False,
        "Print the attainment of the urgent class for each customer.",
        flag_values=values,
    )
    flags.DEFINE_string(
        "json", "", "File to write the result rows to, as JSON.", flag_values=values
    )
    flags.DEFINE_string(
        "plot", "", "PNG file to write the plots to.", flag_values=values
    )


@command(
    "experiment",
    "NAME",
    "Compare policies by simulation in virtual time.",
    _define_flags,
)
def experiment(arguments: Sequence[str], values: flags.FlagValues) -> ExitCode:
    """Run one experiment with every policy on the same arrivals."""
    name = arguments[0]
    policies: list[str] = values["policy"].value or []
    if not _check_names(name, policies):
        return ExitCode.USAGE
    first_seed: int = values["seed"].value or 0
    seeds = range(first_seed, first_seed + (values["seeds"].value or 1))
    results: list[RunResult] = []
    for seed in seeds:
        for policy in policies:
            results.append(run_one(name, policy, seed))
            print(f"seed {seed}, {policy}: done", file=sys.stderr)
    return _write_results(name, policies, results, values)


def _check_names(name: str, policies: Sequence[str]) -> bool:
    if SCENARIOS.get(name) is None:
        known = ", ".join(SCENARIOS.names())
        print_error(f"no experiment {name!r}; known experiments: {known}")
        return False
    for policy in policies:
        if POLICIES.get(policy) is None:
            known = ", ".join(POLICIES.names())
            print_error(f"no policy {policy!r}; known policies: {known}")
            return False
    return True


def _write_results(
    name: str,
    policies: Sequence[str],
    results: Sequence[RunResult],
    values: flags.FlagValues,
) -> ExitCode:
    rows = [row for result in results for row in result.rows]
    recovery_ms_by_policy = {
        policy: _recovery_times_ms(policy, results) for policy in policies
    }
    summaries = summarize(rows)
    try:
        if values["json"].value:
            with open(values["json"].value, "w", encoding="utf-8") as file:
                json.dump([row.to_json() for row in rows], file, indent=1)
        if values["plot"].value:
            _plot(values["plot"].value, name, summaries, recovery_ms_by_policy)
    except OSError as error:
        print_error(f"cannot write the results: {error}")
        return ExitCode.USAGE
    _print_table(summaries, recovery_ms_by_policy)
    if values["by_customer"].value:
        _print_customers(results)
    for policy in policies:
        runs = [each for each in results if each.rows[0].policy == policy]
        cached = sum(each.cached_tokens for each in runs) / len(runs)
        computed = sum(each.computed_tokens for each in runs) / len(runs)
        print(f"{policy}: {computed:.0f} tokens generated, {cached:.0f} cached")
    return ExitCode.DONE


def _print_customers(results: Sequence[RunResult]) -> None:
    rows = [
        (policy, customer, attainment)
        for (policy, customer), attainment in customer_attainments(results).items()
    ]
    print(format_table(("policy", "customer", "urgent attainment"), rows))


def _plot(
    path: str,
    name: str,
    summaries: Sequence[Summary],
    recovery_ms_by_policy: dict[str, list[float]],
) -> None:
    # Imported lazily: importing matplotlib takes longer than a short experiment.
    from wigeonwind.experiments.report import write_report

    write_report(path, name, summaries, recovery_ms_by_policy)


def _recovery_times_ms(policy: str, results: Sequence[RunResult]) -> list[float]:
    return [
        result.recovery_ms
        for result in results
        if result.rows[0].policy == policy and result.recovery_ms is not None
    ]


def _print_table(
    summaries: Sequence[Summary], recovery_ms_by_policy: dict[str, list[float]]
) -> None:
    titles = ("policy", "class", "attainment", "goodput", "wasted", "refused", "ttft95")
    rows = [
        (
            each.policy,
            each.class_name,
            each.attainment,
            each.goodput_tokens,
            each.wasted_tokens,
            each.refused,
            each.ttft_p95_ms,
        )
        for each in summaries
    ]
    print(format_table(titles, rows))
    for policy, times_ms in recovery_ms_by_policy.items():
        if times_ms:
            print(
                f"{policy}: last missed target {max(times_ms) / 1000:.1f} s "
                "after the burst"
            )
