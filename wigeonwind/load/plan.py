"""What is sent when: a reproducible plan of requests."""

import json
from collections import deque
from collections.abc import Iterator, Sequence
from dataclasses import dataclass

from numpy.random import default_rng

from wigeonwind.load.arrivals import LoadStage, arrival_times
from wigeonwind.standins.answer_text import answer_text

SHARED_PREFIXES = 8
SHARED_PREFIX_CHARACTERS = 1024
CONVERSATIONS_KEPT = 50
MAX_CONVERSATION_CHARACTERS = 12_000
MAX_ANSWER_TOKENS = 4_000
CHARACTERS_PER_TOKEN = 4

WORDS = ("barley", "protein", "lot", "moisture", "price", "quality", "delivery", "tag")


@dataclass(frozen=True)
class ClassMix:
    """One class of the mix: its share and mean lengths in tokens."""

    request_class: str
    weight: float = 1.0
    prompt_tokens: float = 100.0
    answer_tokens: float = 60.0


@dataclass(frozen=True)
class LoadCustomer:
    """A customer; `api_key` is empty where the name is enough."""

    name: str
    api_key: str = ""
    weight: float = 1.0


@dataclass(frozen=True)
class LoadPlan:
    """Everything that determines the requests of a run, except the entry addresses.

    The fractions are between 0 and 1. `shared_prefix_fraction` of the prompts begin
    with a common prefix, `continued_fraction` continue an earlier conversation.
    `booking_fraction` of the requests are bookings at `booking_service`;
    `booking_retry_fraction` of these repeat an earlier idempotency key.
    """

    stages: tuple[LoadStage, ...]
    mix: tuple[ClassMix, ...] = (ClassMix("chat"),)
    customers: tuple[LoadCustomer, ...] = (LoadCustomer(""),)
    arrivals: str = "poisson"
    model: str = "barley-7b"
    service: str = "wigeon-llm"
    shared_prefix_fraction: float = 0.3
    continued_fraction: float = 0.2
    booking_fraction: float = 0.0
    booking_retry_fraction: float = 0.2
    booking_service: str = "spot-desk"
    booking_class: str = "desk"
    seed: int = 1
    max_requests: int = 100_000
    send_only: tuple[str, ...] = ()
    """Classes that are sent, at the times they have in the whole plan; empty for all.

    Two runs that differ in this alone show what the other classes cost a class.
    """


@dataclass(frozen=True)
class PlannedRequest:
    """One request; `key` is set for a booking, `prompt` for a model."""

    number: int
    at_ms: float
    service: str
    request_class: str
    customer: LoadCustomer
    target: int
    prompt: str = ""
    model: str = ""
    key: str = ""
    body: str = ""


class RequestGenerator:
    """Draws the requests of a plan; the same seed gives the same requests."""

    def __init__(self, plan: LoadPlan) -> None:
        self._plan = plan
        # Two streams of numbers: arrivals do not change with the mix.
        self._arrival_rng = default_rng([plan.seed, 1])
        self._rng = default_rng([plan.seed, 2])
        self._prefixes = [
            self._words(SHARED_PREFIX_CHARACTERS // CHARACTERS_PER_TOKEN)
            for _ in range(SHARED_PREFIXES)
        ]
        self._talks: deque[tuple[str, str, LoadCustomer]] = deque(
            maxlen=CONVERSATIONS_KEPT
        )
        self._keys: deque[tuple[str, str, LoadCustomer]] = deque(
            maxlen=CONVERSATIONS_KEPT
        )
        self._class_shares = shares([each.weight for each in plan.mix])
        self._customer_shares = shares([each.weight for each in plan.customers])

    def requests(self) -> Iterator[PlannedRequest]:
        """Yield the requests to send in the order of their times."""
        only = self._plan.send_only
        for planned in self._all_requests():
            if not only or planned.request_class in only:
                yield planned

    def _all_requests(self) -> Iterator[PlannedRequest]:
        plan = self._plan
        times = arrival_times(plan.arrivals, plan.stages, self._arrival_rng)
        for number, at_ms in enumerate(times):
            if number >= plan.max_requests:
                return
            if self._rng.random() < plan.booking_fraction:
                yield self._booking(number, at_ms)
            else:
                yield self._generation(number, at_ms)

    def _booking(self, number: int, at_ms: float) -> PlannedRequest:
        plan = self._plan
        if self._keys and self._rng.random() < plan.booking_retry_fraction:
            chosen = int(self._rng.integers(len(self._keys)))
            key, body, customer = self._keys[chosen]
        else:
            key = f"booking-{plan.seed}-{number}"
            body = json.dumps({"lot": number})
            customer = self._customer()
            self._keys.append((key, body, customer))
        return PlannedRequest(
            number,
            at_ms,
            plan.booking_service,
            plan.booking_class,
            customer,
            self._target(),
            key=key,
            body=body,
        )

    def _generation(self, number: int, at_ms: float) -> PlannedRequest:
        plan = self._plan
        mix = plan.mix[int(self._rng.choice(len(plan.mix), p=self._class_shares))]
        customer = self._customer()
        prompt = ""
        if self._rng.random() < plan.shared_prefix_fraction:
            prompt = self._prefixes[int(self._rng.integers(SHARED_PREFIXES))]
        if self._talks and self._rng.random() < plan.continued_fraction:
            chosen = int(self._rng.integers(len(self._talks)))
            earlier, name, customer = self._talks[chosen]
            mix = next(each for each in plan.mix if each.request_class == name)
            # The answer is known beforehand, since it depends on the prompt alone.
            prompt = f"{earlier}\n{answer_text(earlier)}\n"
            prompt = prompt.replace("len=", "length ")
        length = min(MAX_ANSWER_TOKENS, 1 + int(self._size(mix.answer_tokens)))
        words = self._words(int(self._size(mix.prompt_tokens)))
        prompt = f"{prompt}request {plan.seed}-{number} {words} len={length}"
        if len(prompt) <= MAX_CONVERSATION_CHARACTERS:
            self._talks.append((prompt, mix.request_class, customer))
        return PlannedRequest(
            number,
            at_ms,
            plan.service,
            mix.request_class,
            customer,
            self._target(),
            prompt,
            plan.model,
        )

    def _size(self, mean: float) -> float:
        """Return a length; the spread is that of the experiments' answers."""
        return float(mean * self._rng.lognormal(-0.18, 0.6))

    def _words(self, tokens: int) -> str:
        chosen = self._rng.integers(len(WORDS), size=max(1, tokens // 2))
        return " ".join(WORDS[number] for number in chosen)

    def _customer(self) -> LoadCustomer:
        customers = self._plan.customers
        return customers[int(self._rng.choice(len(customers), p=self._customer_shares))]

    def _target(self) -> int:
        return int(self._rng.integers(1 << 30))


def shares(weights: Sequence[float]) -> list[float]:
    """Return the weights so that they add up to 1.

    >>> shares([1.0, 3.0])
    [0.25, 0.75]
    """
    total = sum(weights)
    return [weight / total for weight in weights]
