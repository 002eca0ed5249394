"""Scenarios: the engines, faults and load of an experiment, and its seeded arrivals."""

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
"""One-way delay of a message between an entry and a sidecar."""


@dataclass(frozen=True)
class Arrival:
    """One request of a caller; only the engine knows `output_tokens`."""

    at_ms: float
    request_id: str
    class_name: str
    customer: str
    prompt_tokens: int
    output_tokens: int
    prefix_keys: tuple[PrefixKey, ...] = ()


@dataclass(frozen=True)
class LengthDistribution:
    """A log-normal distribution of token counts, clamped to a range."""

    median: float
    sigma: float
    minimum: int = 1
    maximum: int = 6000

    def draw(self, rng: Random) -> int:
        """Draw one token count."""
        value = exp(rng.gauss(log(self.median), self.sigma))
        return int(min(max(value, self.minimum), self.maximum))

    def mean(self) -> float:
        """Return the mean of the distribution without clamping."""
        return self.median * exp(self.sigma**2 / 2)


@dataclass(frozen=True)
class LoadStep:
    """From `start_ms` on, a class offers the fraction `load` of the total capacity."""

    start_ms: float
    load: float


@dataclass(frozen=True)
class ArrivalStream:
    """The arrivals of one class: a Poisson process whose rate changes in steps.

    `customers` are names with relative weights. With `conversations` above 0 each
    request continues one of that many conversations, with a growing shared prefix.
    """

    class_name: str
    prompt: LengthDistribution
    output: LengthDistribution
    steps: tuple[LoadStep, ...]
    customers: tuple[tuple[str, float], ...] = (("customer-1", 1.0),)
    conversations: int = 0


@dataclass(frozen=True)
class Fault:
    """A fault of one engine, or of all engines in a zone, or its repair.

    `kind` is crash, restart, straggle, freeze or unfreeze. `engine` is the index of the
    engine, -1 for those in `zone`. For straggle, `value` is the factor by which the
    engine is slower.
    """

    at_ms: float
    kind: str
    engine: int = -1
    zone: str = ""
    value: float = 0.0


@dataclass(frozen=True)
class Scenario:
    """One experiment, ready to run with any policy.

    `zones` has the zone of each of the `engines`; `entries` is the number of entries.
    A caller in the urgent class that has no first token after `caller_timeout_ms`
    cancels its request and sends it again, at most `caller_retries` times; 0 disables
    the timeout.
    """

    name: str
    catalog: Catalog
    service: str
    engines: tuple[EngineConfig, ...]
    zones: tuple[str, ...]
    streams: tuple[ArrivalStream, ...]
    end_ms: float
    faults: tuple[Fault, ...] = ()
    report_interval_ms: float = 1000.0
    report_delay_ms: float = HOP_MS
    """Time from the creation of a load report to its arrival at the entries."""
    caller_timeout_ms: float = 0.0
    caller_retries: int = 0
    entries: int = 3
    urgent_class: str = "chat"
    arrival_seed: str = ""
    """Part of the seed of the arrivals, `name` if empty. Experiments that are compared
    with each other share it."""
    burst_end_ms: float = field(default=0.0)
    """End of the burst, from which recovery is measured; 0 if there is no burst."""


def engine_time_ms(
    config: EngineConfig, prompt_tokens: float, output_tokens: float
) -> float:
    """Return the engine time that one request costs when all slots are in use."""
    step_ms = config.decode_ms_base + config.slots * config.decode_ms_per_running
    prefill_ms = prompt_tokens * MS_PER_SECOND / config.prefill_tokens_per_s
    return prefill_ms + output_tokens * step_ms / config.slots


def arrival_rate_per_s(scenario: Scenario, stream: ArrivalStream, load: float) -> float:
    """Return the arrival rate that takes the fraction `load` of all engines' time."""
    config = scenario.engines[0]
    request_ms = engine_time_ms(config, stream.prompt.mean(), stream.output.mean())
    return load * len(scenario.engines) * MS_PER_SECOND / request_ms


def arrivals(scenario: Scenario, seed: int) -> Iterator[Arrival]:
    """Yield all arrivals in order of time; they do not depend on the policy."""
    arrival_seed = scenario.arrival_seed or scenario.name
    streams = [
        _stream_arrivals(scenario, stream, Random(f"{seed}/{arrival_seed}/{number}"))
        for number, stream in enumerate(scenario.streams)
    ]
    return merge(*streams, key=lambda arrival: arrival.at_ms)


def _stream_arrivals(
    scenario: Scenario, stream: ArrivalStream, rng: Random
) -> Iterator[Arrival]:
    conversations = [
        _Conversation(rng.getrandbits(60)) for _ in range(stream.conversations)
    ]
    customers = [name for name, _ in stream.customers]
    weights = [weight for _, weight in stream.customers]
    for number, at_ms in zip(
        count(), _arrival_times(scenario, stream, rng), strict=False
    ):
        prompt_tokens = stream.prompt.draw(rng)
        output_tokens = stream.output.draw(rng)
        request_id = f"{stream.class_name}-{number}"
        customer = rng.choices(customers, weights)[0]
        keys: tuple[PrefixKey, ...] = ()
        if conversations:
            prompt_tokens, keys = rng.choice(conversations).next_turn(
                prompt_tokens, output_tokens
            )
        yield Arrival(
            at_ms,
            request_id,
            stream.class_name,
            customer,
            prompt_tokens,
            output_tokens,
            keys,
        )


def _arrival_times(
    scenario: Scenario, stream: ArrivalStream, rng: Random
) -> Iterator[float]:
    for number, step in enumerate(stream.steps):
        following = stream.steps[number + 1 :]
        end_ms = min([scenario.end_ms, *(each.start_ms for each in following)])
        rate_per_ms = arrival_rate_per_s(scenario, stream, step.load) / MS_PER_SECOND
        if rate_per_ms <= 0:
            continue
        at_ms = step.start_ms + rng.expovariate(rate_per_ms)
        while at_ms < end_ms:
            yield at_ms
            at_ms += rng.expovariate(rate_per_ms)


class _Conversation:
    """A conversation in which each prompt repeats all previous prompts and answers."""

    MAX_TOKENS = 8000
    """After a turn that exceeds this, the next one starts a new conversation."""

    def __init__(self, key: int) -> None:
        self._key = key
        self._turn = 0
        self._tokens = 0
        self._keys: tuple[PrefixKey, ...] = ()

    def next_turn(
        self, new_tokens: int, output_tokens: int
    ) -> tuple[int, tuple[PrefixKey, ...]]:
        """Return the prompt length in tokens and the prefix keys of the next turn."""
        if self._tokens > self.MAX_TOKENS:
            self._tokens = 0
            self._keys = ()
            self._key += 1 << 61
        prompt_tokens = self._tokens + new_tokens
        self._turn += 1
        self._keys = (
            *self._keys,
            PrefixKey(hash((self._key, self._turn)), prompt_tokens),
        )
        self._tokens = prompt_tokens + output_tokens
        return prompt_tokens, self._keys


ScenarioFactory = Callable[[], Scenario]
