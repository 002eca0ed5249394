"""Runs routing processes under injected faults and checks the promises.

Example: python -m wigeonwind.soak --seed=7 --seeds=3 --seconds=20
"""

import sys
import tempfile
from collections import Counter
from pathlib import Path

from absl import app, flags

from wigeonwind.soak.run_soak import SoakOptions, run_soak
from wigeonwind.soak.soak_checks import Violation
from wigeonwind.soak.soak_faults import SOAK_FAULTS
from wigeonwind.soak.soak_fleet import GRACE_S

FLAGS = flags.FLAGS
flags.DEFINE_integer("seed", 1, "First seed.", 0)
flags.DEFINE_integer("seeds", 1, "Number of consecutive seeds.", 1, 1_000)
flags.DEFINE_float("seconds", 15.0, "Seconds during which faults begin.", 1.0, 600.0)
flags.DEFINE_float("gap", 1.0, "Mean seconds between faults.", 0.05, 60.0)
flags.DEFINE_integer("callers", 12, "Callers.", 1, 200)
flags.DEFINE_integer("routers", 3, "Number of routing processes.", 1, 40)
flags.DEFINE_integer("engines", 3, "Number of workers that stream responses.", 1, 40)
flags.DEFINE_integer("desks", 3, "Number of workers that send whole responses.", 1, 40)
flags.DEFINE_integer("grace", GRACE_S, "Seconds from SIGTERM to SIGKILL.", 2, 30)
flags.DEFINE_list("only", [], "Draw only these kinds of fault.")
flags.DEFINE_string("logs", "", "Directory in which to keep the logs of all seeds.")


def _run_seed(options: SoakOptions) -> list[Violation]:
    """Run one seed and print the results."""
    with tempfile.TemporaryDirectory() as temporary:
        directory = Path(FLAGS.logs or temporary) / f"soak-{options.seed}"
        directory.mkdir(parents=True, exist_ok=True)
        result = run_soak(options, directory)
    statuses = Counter(each.status for each in result.history.exchanges)
    counts = ", ".join(f"{count} x {status}" for status, count in statuses.items())
    faults = len(result.history.disturbances)
    print(f"seed {options.seed}: {counts}; {faults} disturbances", end="; ")
    print(f"{len(result.violations)} violations", flush=True)
    for violation in result.violations:
        print(f"  {violation.promise}: {violation.message}", flush=True)
    return result.violations


def main(_argv: list[str]) -> int:
    """Run the seeds; return 1 if a promise was broken, else 0."""
    unknown = sorted(set(FLAGS.only) - set(SOAK_FAULTS.names()))
    if unknown:
        known = ", ".join(SOAK_FAULTS.names())
        raise app.UsageError(f"--only: unknown {', '.join(unknown)}; known: {known}")
    failed_seeds = []
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
            FLAGS.grace,
        )
        if _run_seed(options):
            failed_seeds.append(seed)
    if failed_seeds:
        print(
            f"{len(failed_seeds)} of {FLAGS.seeds} seeds "
            f"broke a promise: {failed_seeds}"
        )
    return 1 if failed_seeds else 0


if __name__ == "__main__":
    sys.exit(app.run(main))
