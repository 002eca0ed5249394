"""Runs a fleet of real processes under load and faults, and checks the promises.

Example: python -m wigeonwind.checking.run_faults --seed=7 --seconds=20
"""

from gevent import monkey

monkey.patch_all()

import sys
import time
from collections import Counter
from dataclasses import replace
from pathlib import Path

from absl import app, flags

from wigeonwind.checking.fleet_run import RunOptions, RunResult, run_fleet
from wigeonwind.checking.history import RequestSeen, to_json, write_history
from wigeonwind.checking.profiles import PROFILES, LoadOptions
from wigeonwind.checking.schedules import (
    FAULT_KINDS,
    ScheduleOptions,
    draw_schedule,
)
from wigeonwind.clock import MS_PER_SECOND
from wigeonwind.load.report import TABLE_TITLES, make_report, table_rows
from wigeonwind.outcomes import Ok
from wigeonwind.state.configuration import parse_catalog
from wigeonwind.tool.commands import format_table

FLAGS = flags.FLAGS
flags.DEFINE_integer("seed", 1, "First seed.", 0)
flags.DEFINE_integer("seeds", 1, "Number of consecutive seeds.", 1, 1000)
flags.DEFINE_float("seconds", 20.0, "Duration of the load in seconds.", 1.0, 600.0)
flags.DEFINE_float("rate", 25.0, "Requests/s.", 0.1, 200.0)
flags.DEFINE_float("gap", 3.0, "Mean seconds between faults.", 0.1, 600.0)
flags.DEFINE_bool("planned", False, "Draw only planned changes.")
flags.DEFINE_bool("no_faults", False, "Inject no faults.")
flags.DEFINE_enum("profile", "mixed", PROFILES.names(), "Configuration and load.")
flags.DEFINE_list("send_only", [], "Send only these classes of the load plan.")
flags.DEFINE_list("only", [], "Draw only these kinds of fault.")
flags.DEFINE_integer("entries", 2, "Entries.", 1, 6)
flags.DEFINE_integer("engines", 3, "Number of model endpoints.", 1, 10)
flags.DEFINE_integer("desks", 2, "Number of plain endpoints.", 1, 6)
flags.DEFINE_string(
    "history", "", "File for the history; the seed is added to its name."
)


def replay_command(seed: int) -> str:
    """Return the command line that runs one seed again."""
    arguments = [
        flag.serialize()
        for flag in FLAGS.get_key_flags_for_module(sys.modules[__name__])
        if flag.value != flag.default and flag.name not in ("seed", "seeds", "history")
    ]
    words = ["python -m wigeonwind.checking.run_faults", f"--seed={seed}", *arguments]
    return " ".join(words)


def run_seed(seed: int) -> RunResult:
    """Run one seed and print the results."""
    only = tuple(FLAGS.only)
    schedule = ScheduleOptions(
        seed,
        FLAGS.seconds * MS_PER_SECOND,
        FLAGS.gap * MS_PER_SECOND,
        FLAGS.planned,
        only,
    )
    make_profile = PROFILES.get(FLAGS.profile)
    assert make_profile is not None, FLAGS.profile
    profile = make_profile(LoadOptions(seed, FLAGS.seconds, FLAGS.rate))
    fleet_options = replace(
        profile.fleet_options,
        entries=FLAGS.entries,
        engines=FLAGS.engines,
        plain_endpoints=FLAGS.desks,
    )
    faults = () if FLAGS.no_faults else draw_schedule(schedule)
    begin = time.monotonic()
    plan = replace(profile.plan, send_only=tuple(FLAGS.send_only))
    result = run_fleet(RunOptions(profile.source, fleet_options, plan, faults))
    seconds = time.monotonic() - begin
    ends = Counter(seen.end.value for seen in result.history.of(RequestSeen))
    counts = ", ".join(f"{count} {end}" for end, count in sorted(ends.items()))
    print(
        f"seed {seed}: {counts}; {len(result.violations)} violations, {seconds:.0f} s"
    )
    if FLAGS.history:
        path = Path(FLAGS.history)
        name = path.with_name(f"{path.stem}-{seed}{path.suffix}")
        write_history(str(name), result.history.records)
    _print_load_report(seed, profile.source, result)
    if result.violations:
        _print_violations(seed, result)
    return result


def _print_load_report(seed: int, source: str, result: RunResult) -> None:
    parsed = parse_catalog(source, 1)
    assert isinstance(parsed, Ok), parsed
    targets = {name: c.target for name, c in parsed.value.class_by_name.items()}
    seen = list(result.history.of(RequestSeen))
    print(format_table(TABLE_TITLES, table_rows(make_report(seen, seed, targets))))


def _print_violations(seed: int, result: RunResult) -> None:
    for violation in result.violations:
        print(f"  {violation.promise}: {violation.message}")
        for record in violation.evidence[:3]:
            print(f"    {_shorten(to_json(record))}")
    print(f"  replay: {replay_command(seed)}", flush=True)


def _shorten(text: str) -> str:
    return text if len(text) <= 700 else f"{text[:500]} … {text[-200:]}"


def main(_argv: list[str]) -> int:
    """Run the seeds; return 1 if a promise was broken, else 0."""
    unknown = sorted(set(FLAGS.only) - set(FAULT_KINDS.names()))
    if unknown:
        known = ", ".join(FAULT_KINDS.names())
        raise app.UsageError(f"--only: unknown {', '.join(unknown)}; known: {known}")
    seeds = range(FLAGS.seed, FLAGS.seed + FLAGS.seeds)
    failed_seeds = [seed for seed in seeds if run_seed(seed).violations]
    if failed_seeds:
        print(
            f"{len(failed_seeds)} of {len(seeds)} seeds broke a promise: {failed_seeds}"
        )
    return 1 if failed_seeds else 0


if __name__ == "__main__":
    app.run(main)
