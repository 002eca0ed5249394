"""Runs routing processes under faults from outside, and checks the promises.

Example: python -m wigeonwind.soak.run_soak --seed=7 --seeds=3 --seconds=20
"""

import sys
import tempfile
from collections import Counter
from dataclasses import dataclass
from pathlib import Path
from random import Random

import gevent
from absl import app, flags

from wigeonwind.clock import MS_PER_SECOND
from wigeonwind.soak.soak_callers import SoakCaller
from wigeonwind.soak.soak_checks import Breach, find_breaches
from wigeonwind.soak.soak_faults import SOAK_FAULTS, FaultContext, draw_faults
from wigeonwind.soak.soak_fleet import SoakFleet, loopback_network
from wigeonwind.soak.soak_records import SoakHistory, soak_now_ms

CALM_S = 6.0
"""Time without new faults at the end, in which the system must recover."""

ENDS_POLL_S = 0.2

FLAGS = flags.FLAGS
flags.DEFINE_integer("seed", 1, "First seed.", 0)
flags.DEFINE_integer("seeds", 1, "Number of seeds, counted up.", 1, 1_000)
flags.DEFINE_float("seconds", 15.0, "Time in which faults begin.", 1.0, 600.0)
flags.DEFINE_float("gap", 1.0, "Mean seconds between faults.", 0.05, 60.0)
flags.DEFINE_integer("callers", 12, "Callers.", 1, 200)
flags.DEFINE_integer("routers", 3, "Routing processes.", 1, 40)
flags.DEFINE_integer("engines", 3, "Workers that stream.", 1, 40)
flags.DEFINE_integer("desks", 3, "Workers that answer at once.", 1, 40)
flags.DEFINE_list("only", [], "Only these kinds of fault.")
flags.DEFINE_string("logs", "", "Directory for the logs of failed seeds.")


@dataclass(frozen=True)
class SoakOptions:
    """Size and faults of one run."""

    seed: int = 1
    seconds: float = 15.0
    gap_s: float = 1.0
    callers: int = 12
    routers: int = 3
    engines: int = 3
    desks: int = 3
    only: tuple[str, ...] = ()


@dataclass(frozen=True)
class SoakResult:
    """What one run saw, and the promises that it broke."""

    history: SoakHistory
    breaches: list[Breach]


def run_soak(options: SoakOptions, directory: Path) -> SoakResult:
    """Run one seed; the logs of the processes are left in `directory`."""
    fleet = SoakFleet(directory, loopback_network(options.seed))
    background: list[gevent.Greenlet] = []
    try:
        fleet.start(options.routers, options.engines, options.desks)
        end_ms = soak_now_ms() + (options.seconds + CALM_S) * MS_PER_SECOND
        callers = [
            gevent.spawn(SoakCaller(fleet, number, options.seed).run, end_ms)
            for number in range(options.callers)
        ]
        background.append(gevent.spawn(_watch_ends, fleet))
        faults = _begin_faults(fleet, options)
        gevent.joinall(faults)
        gevent.joinall(callers)
        fleet.history.unready += [
            router.name for router in fleet.routers if not fleet.is_ready(router)
        ]
    finally:
        gevent.killall(background)
        fleet.stop()
    return SoakResult(fleet.history, find_breaches(fleet.history))


def _begin_faults(fleet: SoakFleet, options: SoakOptions) -> list[gevent.Greenlet]:
    """Begin each fault at its time; return them, some still under way."""
    began_ms = soak_now_ms()
    begun = []
    drawn = draw_faults(options.seed, options.seconds, options.gap_s, options.only)
    for number, (at_s, name) in enumerate(drawn):
        wait_ms = began_ms + at_s * MS_PER_SECOND - soak_now_ms()
        gevent.sleep(max(0.0, wait_ms) / MS_PER_SECOND)
        act = SOAK_FAULTS.get(name)
        assert act is not None, name
        context = FaultContext(fleet, Random(f"{options.seed}/{number}"))
        begun.append(gevent.spawn(act, context))
    return begun


def _watch_ends(fleet: SoakFleet) -> None:
    while True:
        gevent.sleep(ENDS_POLL_S)
        fleet.note_unexpected_ends()


def _run_seed(options: SoakOptions) -> list[Breach]:
    """Run one seed and print what it found."""
    with tempfile.TemporaryDirectory() as temporary:
        directory = Path(FLAGS.logs or temporary) / f"soak-{options.seed}"
        directory.mkdir(parents=True, exist_ok=True)
        result = run_soak(options, directory)
    statuses = Counter(each.status for each in result.history.exchanges)
    counts = ", ".join(f"{count} x {status}" for status, count in statuses.items())
    faults = len(result.history.disturbances)
    print(f"seed {options.seed}: {counts}; {faults} disturbances", end="; ")
    print(f"{len(result.breaches)} breaches", flush=True)
    for breach in result.breaches:
        print(f"  {breach.promise}: {breach.message}", flush=True)
    return result.breaches


def main(_argv: list[str]) -> int:
    """Run the seeds; the exit code is 1 if a promise was broken."""
    unknown = sorted(set(FLAGS.only) - set(SOAK_FAULTS.names()))
    if unknown:
        known = ", ".join(SOAK_FAULTS.names())
        raise app.UsageError(f"--only: unknown {', '.join(unknown)}; known: {known}")
    bad = []
    for seed in range(FLAGS.seed, FLAGS.seed + FLAGS.seeds):
        options = SoakOptions(
            seed,
            FLAGS.seconds,
            FLAGS.gap,
            FLAGS.callers,
            FLAGS.routers,
            FLAGS.engines,
            FLAGS.desks,
            tuple(FLAGS.only),
        )
        if _run_seed(options):
            bad.append(seed)
    if bad:
        print(f"{len(bad)} of {FLAGS.seeds} seeds broke a promise: {bad}")
    return 1 if bad else 0


if __name__ == "__main__":
    sys.exit(app.run(main))
