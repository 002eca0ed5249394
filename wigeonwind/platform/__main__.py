"""The routing process on the platform's VMs: `python -m wigeonwind.platform`."""

import signal

if __name__ == "__main__":
    # Until the settings can be reloaded; by default the signal ends the process.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)

import atexit
import os
import sys
from collections.abc import Sequence
from dataclasses import replace
from pathlib import Path
from random import Random

import gevent
from structlog import get_logger

from wigeonwind.addresses import SocketAddress
from wigeonwind.clock import MS_PER_SECOND, Clock, SystemClock
from wigeonwind.outcomes import Invalid, Ok, Problem
from wigeonwind.platform.configuration import (
    CONFIGURATION_KEY,
    CONFIGURATION_PREFIX,
    decode_configuration,
)
from wigeonwind.platform.endpoint_entries import (
    ENDPOINTS_PREFIX,
    decode_endpoint,
    endpoint_id,
)
from wigeonwind.platform.headers import PlatformHeaderCodec
from wigeonwind.platform.node_file import (
    PATH_VARIABLE,
    NodeSettings,
    decode_node_file,
)
from wigeonwind.platform.store_format import PlatformStoreFormat
from wigeonwind.routing.router import Router, RouterSettings
from wigeonwind.routing.routing_state import StoreSchema
from wigeonwind.runtime.logs import configure_logs
from wigeonwind.runtime.stop_signal import STOP_SIGNALS, StopSignal
from wigeonwind.state.store_client import StoreClient, StoreLimits
from wigeonwind.state.store_http import PoolLimits

EXIT_BAD_SETTINGS = 2
EXIT_CANNOT_LISTEN = 3

METRICS_PORT = 9464
"""Metrics port, as declared in deploy/system.toml."""

SETTINGS_CHECK_MS = 5_000.0
"""Interval of the check for a changed settings file; changes are never urgent."""

STORE_LIMITS = StoreLimits(
    reads=PoolLimits(2, 20, 1_500, max_backoff_ms=300),
    writes=PoolLimits(2, 10, 1_500, max_backoff_ms=300),
    watches=PoolLimits(8, 30, 800, hold_ms=30_000, max_backoff_ms=300),
)
"""A call takes about 4 ms; a watch is abandoned 0.8 s after the store should have ended
it, or at once if the store has returned from a copy. The connection of an abandoned
watch stays busy until then. The backoff is short because changes must be in force
within 2 s."""

log = get_logger("wigeonwind.platform")

SCHEMA = StoreSchema(
    CONFIGURATION_PREFIX,
    CONFIGURATION_KEY,
    ENDPOINTS_PREFIX,
    decode_configuration,
    decode_endpoint,
    endpoint_id,
)


def load_settings() -> Ok[NodeSettings] | Invalid:
    """Read the settings file whose path is in the environment."""
    path = os.environ.get(PATH_VARIABLE, "")
    try:
        return decode_node_file(Path(path).read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError) as error:
        return Invalid((Problem("", PATH_VARIABLE, path, f"a file: {error}"),))


def build_router(settings: NodeSettings) -> Router:
    """Return a router that uses the platform's store and formats."""
    clock, rng = SystemClock(), Random()
    store = StoreClient(
        settings.store, STORE_LIMITS, clock, rng, format=PlatformStoreFormat()
    )
    metrics = SocketAddress(settings.ip, METRICS_PORT)
    router_settings = RouterSettings(
        settings.node_id,
        settings.zone,
        settings.callers,
        settings.readiness,
        metrics,
        settings.peers,
        settings.stop_limit_ms,
    )
    return Router(router_settings, clock, rng, PlatformHeaderCodec(), SCHEMA, store)


def reload_settings(router: Router, initial_settings: NodeSettings) -> None:
    """Read the settings file again; an invalid file changes nothing.

    Only the limit of a graceful stop can change. The addresses are set at the start of
    the process, so other changes need a restart.
    """
    result = load_settings()
    if isinstance(result, Invalid):
        problems = [str(problem) for problem in result.problems]
        log.error(
            "invalid settings file; the current settings stay in force",
            problems=problems,
        )
        return
    settings = result.value
    router.stop_limit_ms = settings.stop_limit_ms
    needs_restart = replace(settings, stop_limit_ms=0.0) != replace(
        initial_settings, stop_limit_ms=0.0
    )
    log.info(
        "settings reloaded",
        stop_limit_ms=settings.stop_limit_ms,
        needs_restart=needs_restart,
    )


def watch_settings(router: Router, initial_settings: NodeSettings) -> None:
    """Reload the settings when the file changes, even without a SIGHUP.

    Runs until killed.
    """
    path = Path(os.environ.get(PATH_VARIABLE, ""))
    changed_ns = _modified_ns(path)
    while True:
        gevent.sleep(SETTINGS_CHECK_MS / MS_PER_SECOND)
        if _modified_ns(path) != changed_ns:
            changed_ns = _modified_ns(path)
            reload_settings(router, initial_settings)


def _modified_ns(path: Path) -> int:
    """Return the modification time of a file, 0 if it cannot be read."""
    try:
        return path.stat().st_mtime_ns
    except OSError:
        return 0


def log_exit_step(event: str, clock: Clock, stop_signal: StopSignal) -> None:
    """Log a step of the exit with the time since the stop signal, None without one.

    The lines tell a slow exit of the interpreter from one that is noticed late.
    """
    came_ms = stop_signal.came_ms
    after_ms = None if came_ms is None else round(clock.now_ms() - came_ms)
    log.info(event, after_ms=after_ms, pid=os.getpid())


def main(arguments: Sequence[str]) -> int:
    """Serve until a stop signal; `--check` only checks the settings file."""
    result = load_settings()
    if isinstance(result, Invalid):
        for problem in result.problems:
            print(problem, file=sys.stderr)
        return EXIT_BAD_SETTINGS
    if arguments == ["--check"]:
        print("the settings are valid")
        return 0
    if arguments:
        print(f"unexpected argument: {arguments[0]}", file=sys.stderr)
        return EXIT_BAD_SETTINGS
    configure_logs()
    router = build_router(result.value)
    clock = SystemClock()
    stop_signal = StopSignal(clock, router.drain)
    stop_signal.install(STOP_SIGNALS)
    gevent.signal_handler(signal.SIGHUP, reload_settings, router, result.value)
    try:
        router.start()
    except OSError as error:
        print(f"cannot listen: {error}", file=sys.stderr)
        return EXIT_CANNOT_LISTEN
    gevent.spawn(watch_settings, router, result.value)
    atexit.register(log_exit_step, "exit handlers run", clock, stop_signal)
    router.stopped.wait()
    log_exit_step("exiting", clock, stop_signal)
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
