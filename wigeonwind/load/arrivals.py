"""Arrival processes for load that varies over stages."""

from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass

from numpy.random import Generator

from wigeonwind.clock import MS_PER_SECOND
from wigeonwind.outcomes import Invalid, Ok, Problem
from wigeonwind.registry import Registry

BURST_SIZE = 8
"""Requests in one burst."""


@dataclass(frozen=True)
class LoadStage:
    """A period in which the arrival rate changes linearly from one value to another."""

    duration_ms: float
    from_rate_per_s: float
    to_rate_per_s: float

    @property
    def expected_arrivals(self) -> float:
        """Return the expected number of arrivals in the stage."""
        mean_rate = (self.from_rate_per_s + self.to_rate_per_s) / 2
        return mean_rate * self.duration_ms / MS_PER_SECOND

    def offset_ms(self, arrivals: float) -> float:
        """Return the time in the stage by which `arrivals` arrivals are expected."""
        slope = (self.to_rate_per_s - self.from_rate_per_s) / self.duration_ms
        if not slope:
            return arrivals * MS_PER_SECOND / self.from_rate_per_s
        # Solves (from * t + slope * t^2 / 2) / 1000 = arrivals for t in ms.
        square = self.from_rate_per_s**2 + 2 * slope * arrivals * MS_PER_SECOND
        return float((max(0.0, square) ** 0.5 - self.from_rate_per_s) / slope)


GapProcess = Callable[[Generator], Iterator[float]]
"""Yields the gaps between arrivals, in units of the mean gap."""

ARRIVALS: Registry[GapProcess] = Registry("arrival process")


@ARRIVALS.register("poisson")
def poisson_gaps(rng: Generator) -> Iterator[float]:
    """Yield independent, exponentially distributed gaps."""
    while True:
        yield float(rng.exponential())


@ARRIVALS.register("constant")
def constant_gaps(rng: Generator) -> Iterator[float]:
    """Yield equal gaps."""
    while True:
        yield 1.0


@ARRIVALS.register("bursts")
def burst_gaps(rng: Generator) -> Iterator[float]:
    """Yield gaps of a Poisson process of bursts of `BURST_SIZE` arrivals."""
    while True:
        yield float(rng.exponential()) * BURST_SIZE
        yield from [0.0] * (BURST_SIZE - 1)


def arrival_times(
    process: str, stages: Sequence[LoadStage], rng: Generator
) -> Iterator[float]:
    """Yield arrival times in milliseconds from the start.

    The process is generated at a rate of one and then scaled in time to the rates of
    the stages, so that a ramp changes its rate but not its kind.
    """
    make_gaps = ARRIVALS.get(process)
    assert make_gaps is not None, process
    gaps = make_gaps(rng)
    next_arrival = next(gaps)
    stage_begin_ms = 0.0
    arrivals_before = 0.0
    for stage in stages:
        arrivals_through = arrivals_before + stage.expected_arrivals
        while next_arrival < arrivals_through:
            yield stage_begin_ms + stage.offset_ms(next_arrival - arrivals_before)
            next_arrival += next(gaps)
        arrivals_before = arrivals_through
        stage_begin_ms += stage.duration_ms


def parse_stages(specs: Sequence[str]) -> Ok[tuple[LoadStage, ...]] | Invalid:
    """Parse stages `SECONDS:RATE` or, for a ramp, `SECONDS:RATE-RATE`.

    >>> parse_stages(["10:5", "2:5-20"]).value[1].to_rate_per_s
    20.0
    >>> str(parse_stages(["10"]).problems[0].value)
    '10'
    """
    stages = [_parse_stage(spec) for spec in specs]
    expected = "SECONDS:RATE or SECONDS:RATE-RATE, all above 0"
    problems = tuple(
        Problem("load", "stages", spec, expected)
        for spec, stage in zip(specs, stages, strict=True)
        if stage is None
    )
    return Invalid(problems) if problems else Ok(tuple(s for s in stages if s))


def _parse_stage(spec: str) -> LoadStage | None:
    seconds, _, rates = spec.partition(":")
    first, _, last = rates.partition("-")
    try:
        stage = LoadStage(
            float(seconds) * MS_PER_SECOND, float(first), float(last or first)
        )
    except ValueError:
        return None
    values = (stage.duration_ms, stage.from_rate_per_s, stage.to_rate_per_s)
    return stage if all(0 < value < 1e9 for value in values) else None
