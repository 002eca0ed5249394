"""Random fault schedules, reproducible by seed."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from numpy.random import default_rng

from wigeonwind.checking.process_fleet import ProcessFleet
from wigeonwind.registry import Registry


@dataclass(frozen=True)
class Fault:
    """One fault of a schedule; `choice` selects its target among the candidates."""

    name: str
    at_ms: float
    duration_ms: float
    choice: int

    def __str__(self) -> str:
        """Return a one-line description."""
        return f"{self.at_ms / 1000:.1f} s {self.name} for {self.duration_ms:.0f} ms"


FaultAction = Callable[[ProcessFleet, Fault], None]


@dataclass(frozen=True)
class FaultKind:
    """A kind of fault; `is_planned` marks changes that must fail no request."""

    action: FaultAction
    is_planned: bool


FAULT_KINDS: Registry[FaultKind] = Registry("fault")


def register_fault_kind(
    name: str, is_planned: bool = False
) -> Callable[[FaultAction], FaultAction]:
    """Return a decorator that registers a function as the action of a fault kind."""

    def register(action: FaultAction) -> FaultAction:
        FAULT_KINDS.register(name)(FaultKind(action, is_planned))
        return action

    return register


@dataclass(frozen=True)
class ScheduleOptions:
    """Options of a schedule: faults begin within `load_ms`, after the first second.

    `only` names the fault kinds to draw, empty for all.
    """

    seed: int
    load_ms: float
    mean_gap_ms: float = 3_000.0
    planned_only: bool = False
    only: tuple[str, ...] = field(default=())


MIN_FAULT_MS = 500.0
MAX_FAULT_MS = 8_000.0


def draw_schedule(options: ScheduleOptions) -> tuple[Fault, ...]:
    """Return the faults of a seed, ordered by time."""
    return tuple(_draw(options))


def _draw(options: ScheduleOptions) -> Iterator[Fault]:
    rng = default_rng([options.seed, 3])
    names = [
        name
        for name, kind in FAULT_KINDS
        if (kind.is_planned or not options.planned_only)
        and (not options.only or name in options.only)
    ]
    at_ms = 1_000.0
    while names:
        at_ms += float(rng.exponential(options.mean_gap_ms))
        if at_ms >= options.load_ms:
            return
        duration_ms = float(rng.uniform(MIN_FAULT_MS, MAX_FAULT_MS))
        name = names[int(rng.integers(len(names)))]
        yield Fault(name, at_ms, duration_ms, int(rng.integers(1 << 30)))
