"""Runs one seed of the soak: processes, callers, faults and the checks."""

from dataclasses import dataclass
from pathlib import Path
from random import Random

import gevent

from wigeonwind.clock import MS_PER_SECOND
from wigeonwind.soak.soak_callers import SoakCaller
from wigeonwind.soak.soak_checks import Violation, find_violations
from wigeonwind.soak.soak_faults import SOAK_FAULTS, FaultContext, draw_faults
from wigeonwind.soak.soak_fleet import GRACE_S, SoakFleet, loopback_network
from wigeonwind.soak.soak_records import SoakHistory, soak_now_ms

RECOVERY_S = 6.0
"""Time without new faults at the end of a run, for the system to recover."""

EXIT_POLL_S = 0.2


@dataclass(frozen=True)
class SoakOptions:
    """Size and faults of one run.

    Faults begin during `seconds`, on average `gap_s` apart. `only` names the kinds of
    fault to draw, empty for all. `grace_s` is the time from SIGTERM to SIGKILL.
    """

    seed: int = 1
    seconds: float = 15.0
    gap_s: float = 1.0
    callers: int = 12
    routers: int = 3
    engines: int = 3
    desks: int = 3
    only: tuple[str, ...] = ()
    grace_s: int = GRACE_S


@dataclass(frozen=True)
class SoakResult:
    """The history of one run and the violations found in it."""

    history: SoakHistory
    violations: list[Violation]


def run_soak(options: SoakOptions, directory: Path) -> SoakResult:
    """Run one seed; the processes write their logs to `directory`."""
    network = loopback_network(options.seed)
    fleet = SoakFleet(directory, network, grace_s=options.grace_s)
    background: list[gevent.Greenlet] = []
    try:
        fleet.start(options.routers, options.engines, options.desks)
        end_ms = soak_now_ms() + (options.seconds + RECOVERY_S) * MS_PER_SECOND
        callers = [
            gevent.spawn(SoakCaller(fleet, number, options.seed).run, end_ms)
            for number in range(options.callers)
        ]
        background.append(gevent.spawn(_poll_exits, fleet))
        background.append(gevent.spawn(fleet.loop_lag.run))
        faults = _start_faults(fleet, options)
        gevent.joinall(faults)
        gevent.joinall(callers)
        fleet.history.unready += [
            router.name for router in fleet.routers if not fleet.is_ready(router)
        ]
    finally:
        gevent.killall(background)
        fleet.stop()
    return SoakResult(fleet.history, find_violations(fleet.history))


def _start_faults(fleet: SoakFleet, options: SoakOptions) -> list[gevent.Greenlet]:
    """Start each fault at its time; return their greenlets, some still running."""
    start_ms = soak_now_ms()
    started = []
    scheduled = draw_faults(options.seed, options.seconds, options.gap_s, options.only)
    for number, (at_s, name) in enumerate(scheduled):
        wait_ms = start_ms + at_s * MS_PER_SECOND - soak_now_ms()
        gevent.sleep(max(0.0, wait_ms) / MS_PER_SECOND)
        action = SOAK_FAULTS.get(name)
        assert action is not None, name
        context = FaultContext(
            fleet,
            Random(f"{options.seed}/{number}"),
            Random(f"pauses/{options.seed}/{number}"),
        )
        started.append(gevent.spawn(action, context))
    return started


def _poll_exits(fleet: SoakFleet) -> None:
    while True:
        gevent.sleep(EXIT_POLL_S)
        fleet.record_unexpected_exits()
