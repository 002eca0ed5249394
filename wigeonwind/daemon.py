"""The daemon `wigeonwindd`: runs an entry or a sidecar, as its settings say."""

from gevent import monkey

monkey.patch_all()

import signal
import sys
from pathlib import Path

import gevent
from absl import app, flags
from structlog import get_logger

from wigeonwind.clock import SystemClock
from wigeonwind.outcomes import Invalid, Ok
from wigeonwind.runtime.logs import configure_logs
from wigeonwind.runtime.process import EXIT_OK, Process, build_process
from wigeonwind.runtime.stop_signal import STOP_SIGNALS, StopSignal
from wigeonwind.settings import Settings, read_settings

EXIT_BAD_SETTINGS = 2
EXIT_CANNOT_LISTEN = 3
"""A listener could not be opened, usually because its address is in use."""

FLAGS = flags.FLAGS
flags.DEFINE_string("settings", "", "Settings file (INI).")
flags.DEFINE_bool("check", False, "Check the settings and exit.")

log = get_logger("wigeonwind.daemon")


def load_settings(path: str) -> Ok[Settings] | Invalid | str:
    """Read and validate a settings file; return a message if it cannot be read."""
    if not path:
        return "no settings file given: start with --settings=FILE"
    try:
        source = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return f"cannot read the settings file {path}: {error}"
    return read_settings(source)


def run(process: Process) -> int:
    """Serve until the process has stopped and return its exit code.

    SIGTERM and SIGINT start a drain; SIGHUP reloads the settings.
    """
    stop_signal = StopSignal(SystemClock(), process.drain)
    stop_signal.install(STOP_SIGNALS)
    gevent.signal_handler(signal.SIGHUP, process.reload)
    try:
        addresses = process.start()
    except OSError as error:
        print(f"cannot listen: {error}", file=sys.stderr)
        return EXIT_CANNOT_LISTEN
    callers = f" callers {addresses.callers}" if addresses.callers else ""
    operators = f" operators {addresses.operators}" if addresses.operators else ""
    print(f"listening links {addresses.links}{callers}{operators}", flush=True)
    process.stopped.wait()
    return process.exit_code


def start(argv: list[str]) -> int:
    """Validate the settings and run the process that they describe."""
    if len(argv) > 1:
        print(f"unexpected argument: {argv[1]}", file=sys.stderr)
        return EXIT_BAD_SETTINGS
    settings = load_settings(FLAGS.settings)
    if isinstance(settings, str):
        print(settings, file=sys.stderr)
        return EXIT_BAD_SETTINGS
    built = settings if isinstance(settings, Invalid) else build_process(settings.value)
    if isinstance(built, Invalid):
        for problem in built.problems:
            print(problem, file=sys.stderr)
        return EXIT_BAD_SETTINGS
    if FLAGS.check:
        print("the settings are valid")
        return EXIT_OK
    configure_logs()
    return run(built.value)


def main() -> None:
    """Run the daemon."""
    app.run(start)


if __name__ == "__main__":
    main()
