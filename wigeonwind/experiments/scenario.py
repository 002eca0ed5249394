"""What an experiment is made of: arrivals, engines, faults; all frozen and seeded."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from heapq import merge
from itertools import count
from math import exp, log
from random import Random

from wigeonwind.catalog import Catalog
from wigeonwind.clock import MS_PER_SECOND
from wigeonwind.standins.engine_types import EngineConfig, PrefixKey

HOP_MS = 0.5
"""Delay of one message between an entry and a sidecar."""


@dataclass(frozen=True)
class Arrival:
    """One request of a caller; `output_tokens` is known to the engine only."""

    at_ms: float
    request_id: str
    class_name: str
    customer: str
    prompt_tokens: int
    output_tokens: int
    prefix_keys: tuple[PrefixKey, ...] = ()


@dataclass(frozen=True)
class Lengths:
    """A log-normal distribution of token counts, cut at both ends."""

    median: float
    sigma: float
    least: int = 1
    most: int = 6000

    def draw(self, rng: Random) -> int:
        """Return one length in tokens."""
        value = exp(rng.gauss(log(self.median), self.sigma))
        return int(min(max(value, self.least), self.most))

    def mean(self) -> float:
        """Return the mean of the distribution, cut off aside."""
        return self.median * exp(self.sigma**2 / 2)


@dataclass(frozen=True)
class Stage:
    """From `start_ms` on, a class takes `load` of the capacity of all engines."""

    start_ms: float
    load: float


@dataclass(frozen=True)
class Stream:
    """The arrivals of one class: a Poisson process with stages of load.

    `conversations` above 0 makes requests return with a growing prefix.
    """

    class_name: str
    prompt: Lengths
    output: Lengths
    stages: tuple[Stage, ...]
    customers: tuple[tuple[str, float], ...] = (("customer-1", 1.0),)
    conversations: int = 0


@dataclass(frozen=True)
class Fault:
    """Something that goes wrong at one engine, or at all engines of a zone.

    `kind` is crash, restart, straggle, freeze or unfreeze.
    """

    at_ms: float
    kind: str
    engine: int = -1
    zone: str = ""
    value: float = 0.0


@dataclass(frozen=True)
class Scenario:
    """One experiment, ready to run with any policy.

    `patience_ms` is how long a caller waits for a first token before it gives up and
    sends its request again, at most `caller_retries` times; 0 is for ever.
    """

    name: str
    catalog: Catalog
    service: str
    engines: tuple[EngineConfig, ...]
    zones: tuple[str, ...]
    streams: tuple[Stream, ...]
    end_ms: float
    faults: tuple[Fault, ...] = ()
    report_interval_ms: float = 1000.0
    report_delay_ms: float = HOP_MS
    """Time from a load report's making to its arrival at the entries."""
    patience_ms: float = 0.0
    caller_retries: int = 0
    entries: int = 3
    urgent_class: str = "chat"
    traffic: str = ""
    """Seeds the arrivals; experiments that are compared share it. Empty: `name`."""
    burst_end_ms: float = field(default=0.0)
    """When the load falls back, for the time to recover; 0 if there is no burst."""


def engine_ms(config: EngineConfig, prompt: float, output: float) -> float:
    """Return the engine time that one request costs in a full batch."""
    step_ms = config.decode_ms_base + config.slots * config.decode_ms_per_running
    prefill_ms = prompt * MS_PER_SECOND / config.prefill_tokens_per_s
    return prefill_ms + output * step_ms / config.slots


def rate_per_s(scenario: Scenario, stream: Stream, load: float) -> float:
    """Return the arrivals a second that take `load` of all engines' time."""
    config = scenario.engines[0]
    cost_ms = engine_ms(config, stream.prompt.mean(), stream.output.mean())
    return load * len(scenario.engines) * MS_PER_SECOND / cost_ms


def arrivals(scenario: Scenario, seed: int) -> Iterator[Arrival]:
    """Yield all arrivals in the order of time; the same for every policy."""
    traffic = scenario.traffic or scenario.name
    each = [
        _stream_arrivals(scenario, stream, Random(f"{seed}/{traffic}/{number}"))
        for number, stream in enumerate(scenario.streams)
    ]
    return merge(*each, key=lambda arrival: arrival.at_ms)


def _stream_arrivals(
    scenario: Scenario, stream: Stream, rng: Random
) -> Iterator[Arrival]:
    talks = [_Conversation(rng.getrandbits(60)) for _ in range(stream.conversations)]
    names = [name for name, _ in stream.customers]
    weights = [weight for _, weight in stream.customers]
    for number, at_ms in zip(count(), _times(scenario, stream, rng), strict=False):
        prompt = stream.prompt.draw(rng)
        output = stream.output.draw(rng)
        request_id = f"{stream.class_name}-{number}"
        customer = rng.choices(names, weights)[0]
        keys: tuple[PrefixKey, ...] = ()
        if talks:
            prompt, keys = rng.choice(talks).next_turn(prompt, output)
        yield Arrival(
            at_ms, request_id, stream.class_name, customer, prompt, output, keys
        )


def _times(scenario: Scenario, stream: Stream, rng: Random) -> Iterator[float]:
    for number, stage in enumerate(stream.stages):
        following = stream.stages[number + 1 :]
        end_ms = min([scenario.end_ms, *(each.start_ms for each in following)])
        per_ms = rate_per_s(scenario, stream, stage.load) / MS_PER_SECOND
        if per_ms <= 0:
            continue
        at_ms = stage.start_ms + rng.expovariate(per_ms)
        while at_ms < end_ms:
            yield at_ms
            at_ms += rng.expovariate(per_ms)


class _Conversation:
    """A conversation whose next prompt repeats all that was said before."""

    LONGEST_TOKENS = 8000

    def __init__(self, key: int) -> None:
        self._key = key
        self._turn = 0
        self._tokens = 0
        self._keys: tuple[PrefixKey, ...] = ()

    def next_turn(self, new: int, output: int) -> tuple[int, tuple[PrefixKey, ...]]:
        """Return prompt length and prefix keys of the next turn."""
        if self._tokens > self.LONGEST_TOKENS:
            self._tokens = 0
            self._keys = ()
            self._key += 1 << 61
        prompt = self._tokens + new
        self._turn += 1
        self._keys = (*self._keys, PrefixKey(hash((self._key, self._turn)), prompt))
        self._tokens = prompt + output
        return prompt, self._keys


ScenarioMaker = Callable[[], Scenario]
