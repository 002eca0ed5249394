"""Arrival processes over stages of load."""

from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass

from numpy.random import Generator

from wigeonwind.clock import MS_PER_SECOND
from wigeonwind.outcomes import Invalid, Ok, Problem
from wigeonwind.registry import Registry

BURST_SIZE = 8
"""Requests of one burst."""


@dataclass(frozen=True)
class LoadStage:
    """A time in which the rate goes evenly from one value to another."""

    duration_ms: float
    from_rate_per_s: float
    to_rate_per_s: float

    @property
    def expected(self) -> float:
        """Return the mean number of arrivals in the stage."""
        mean_rate = (self.from_rate_per_s + self.to_rate_per_s) / 2
        return mean_rate * self.duration_ms / MS_PER_SECOND

    def offset_ms(self, arrivals: float) -> float:
        """Return when `arrivals` have come on average, from the stage's start."""
        change = (self.to_rate_per_s - self.from_rate_per_s) / self.duration_ms
        if not change:
            return arrivals * MS_PER_SECOND / self.from_rate_per_s
        # Solves from * t + change * t^2 / 2 = arrivals, rates being per second.
        square = self.from_rate_per_s**2 + 2 * change * arrivals * MS_PER_SECOND
        return float((max(0.0, square) ** 0.5 - self.from_rate_per_s) / change)


Gaps = Callable[[Generator], Iterator[float]]
"""Yields the mean number of arrivals between one arrival and the next."""

ARRIVALS: Registry[Gaps] = Registry("arrival process")


@ARRIVALS.register("poisson")
def poisson_gaps(rng: Generator) -> Iterator[float]:
    """Arrivals that do not know of each other."""
    while True:
        yield float(rng.exponential())


@ARRIVALS.register("constant")
def constant_gaps(rng: Generator) -> Iterator[float]:
    """Arrivals at even distances."""
    while True:
        yield 1.0


@ARRIVALS.register("bursts")
def burst_gaps(rng: Generator) -> Iterator[float]:
    """Bursts of 8 that do not know of each other."""
    while True:
        yield float(rng.exponential()) * BURST_SIZE
        yield from [0.0] * (BURST_SIZE - 1)


def arrival_times(
    process: str, stages: Sequence[LoadStage], rng: Generator
) -> Iterator[float]:
    """Yield arrival times in milliseconds from the start.

    The process runs in units of mean arrivals and is then stretched to the rates, so
    a ramp changes nothing of its nature.
    """
    make = ARRIVALS.get(process)
    assert make is not None, process
    gaps = make(rng)
    position = next(gaps)
    begin_ms = 0.0
    begun = 0.0
    for stage in stages:
        end = begun + stage.expected
        while position < end:
            yield begin_ms + stage.offset_ms(position - begun)
            position += next(gaps)
        begun = end
        begin_ms += stage.duration_ms


def read_stages(texts: Sequence[str]) -> Ok[tuple[LoadStage, ...]] | Invalid:
    """Read stages `SECONDS:RATE` or `SECONDS:RATE-RATE`, the latter a ramp.

    >>> read_stages(["10:5", "2:5-20"]).value[1].to_rate_per_s
    20.0
    >>> str(read_stages(["10"]).problems[0].value)
    '10'
    """
    stages = [_read_stage(text) for text in texts]
    expected = "SECONDS:RATE or SECONDS:RATE-RATE, all above 0"
    problems = tuple(
        Problem("load", "stages", text, expected)
        for text, stage in zip(texts, stages, strict=True)
        if stage is None
    )
    return Invalid(problems) if problems else Ok(tuple(s for s in stages if s))


def _read_stage(text: str) -> LoadStage | None:
    seconds, _, rates = text.partition(":")
    first, _, last = rates.partition("-")
    try:
        stage = LoadStage(
            float(seconds) * MS_PER_SECOND, float(first), float(last or first)
        )
    except ValueError:
        return None
    values = (stage.duration_ms, stage.from_rate_per_s, stage.to_rate_per_s)
    return stage if all(0 < value < 1e9 for value in values) else None
