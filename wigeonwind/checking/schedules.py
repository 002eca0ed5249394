"""Fault schedules, drawn by seed."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from numpy.random import default_rng

from wigeonwind.checking.process_fleet import ProcessFleet
from wigeonwind.registry import Registry


@dataclass(frozen=True)
class Fault:
    """One fault of a schedule; `choice` selects its target among those possible."""

    name: str
    at_ms: float
    duration_ms: float
    choice: int

    def __str__(self) -> str:
        """Return the fault in one line."""
        return f"{self.at_ms / 1000:.1f} s {self.name} for {self.duration_ms:.0f} ms"


FaultAction = Callable[[ProcessFleet, Fault], None]


@dataclass(frozen=True)
class FaultKind:
    """How one kind of fault is done; `is_planned` for changes that harm nobody."""

    action: FaultAction
    is_planned: bool


FAULT_KINDS: Registry[FaultKind] = Registry("fault")


def register_fault_kind(
    name: str, is_planned: bool = False
) -> Callable[[FaultAction], FaultAction]:
    """Return a decorator that registers how a fault is done."""

    def add(action: FaultAction) -> FaultAction:
        FAULT_KINDS.register(name)(FaultKind(action, is_planned))
        return action

    return add


@dataclass(frozen=True)
class ScheduleOptions:
    """What to draw; `only` names kinds, empty for all of them."""

    seed: int
    load_ms: float
    mean_gap_ms: float = 3_000.0
    planned_only: bool = False
    only: tuple[str, ...] = field(default=())


MIN_FAULT_MS = 500.0
MAX_FAULT_MS = 8_000.0


def draw_schedule(options: ScheduleOptions) -> tuple[Fault, ...]:
    """Return the faults of a seed in the order of their times."""
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
