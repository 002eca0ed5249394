"""Load plans, and the reproducible sequence of requests that a plan describes."""

import json
from collections import deque
from collections.abc import Iterator, Sequence
from dataclasses import dataclass

from numpy.random import default_rng

from wigeonwind.load.arrivals import LoadStage, arrival_times
from wigeonwind.standins.answer_text import answer_text

SHARED_PREFIX_COUNT = 8
SHARED_PREFIX_CHARACTERS = 1024
RECENT_REQUESTS_KEPT = 50
"""Number of recent conversations to continue and of recent bookings to repeat."""

MAX_CONVERSATION_CHARACTERS = 12_000
"""Longer prompts are not continued by a later request."""

MAX_ANSWER_TOKENS = 4_000
CHARACTERS_PER_TOKEN = 4

WORDS = ("barley", "protein", "lot", "moisture", "price", "quality", "delivery", "tag")


@dataclass(frozen=True)
class ClassMix:
    """One request class of the mix, with its relative weight and mean lengths."""

    request_class: str
    weight: float = 1.0
    prompt_tokens: float = 100.0
    answer_tokens: float = 60.0


@dataclass(frozen=True)
class LoadCustomer:
    """A customer that sends load; without an API key it is identified by its name."""

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
    """Request classes to send, at the same times as in the full plan; empty for all.

    Two runs that differ only in `send_only` show how the omitted classes affect the
    classes sent.
    """


@dataclass(frozen=True)
class PlannedRequest:
    """One request; `key` and `body` are set for bookings, `prompt` for model requests.

    `at_ms` counts from the start of the run. `entry_number` is a random number that
    selects the entry, modulo the number of ready entries.
    """

    number: int
    at_ms: float
    service: str
    request_class: str
    customer: LoadCustomer
    entry_number: int
    prompt: str = ""
    model: str = ""
    key: str = ""
    body: str = ""


class RequestGenerator:
    """Generates the requests of a plan; the same seed gives the same requests."""

    def __init__(self, plan: LoadPlan) -> None:
        self._plan = plan
        # Separate generators, so that arrival times do not depend on the mix.
        self._arrival_rng = default_rng([plan.seed, 1])
        self._rng = default_rng([plan.seed, 2])
        self._prefixes = [
            self._draw_words(SHARED_PREFIX_CHARACTERS // CHARACTERS_PER_TOKEN)
            for _ in range(SHARED_PREFIX_COUNT)
        ]
        self._conversations: deque[tuple[str, str, LoadCustomer]] = deque(
            maxlen=RECENT_REQUESTS_KEPT
        )
        self._bookings: deque[tuple[str, str, LoadCustomer]] = deque(
            maxlen=RECENT_REQUESTS_KEPT
        )
        self._class_probabilities = normalize([each.weight for each in plan.mix])
        self._customer_probabilities = normalize(
            [each.weight for each in plan.customers]
        )

    def requests(self) -> Iterator[PlannedRequest]:
        """Yield the requests to send, in order of time."""
        send_only = self._plan.send_only
        for planned in self._all_requests():
            if not send_only or planned.request_class in send_only:
                yield planned

    def _all_requests(self) -> Iterator[PlannedRequest]:
        plan = self._plan
        times = arrival_times(plan.arrivals, plan.stages, self._arrival_rng)
        for number, at_ms in enumerate(times):
            if number >= plan.max_requests:
                return
            if self._rng.random() < plan.booking_fraction:
                yield self._make_booking(number, at_ms)
            else:
                yield self._make_model_request(number, at_ms)

    def _make_booking(self, number: int, at_ms: float) -> PlannedRequest:
        plan = self._plan
        if self._bookings and self._rng.random() < plan.booking_retry_fraction:
            chosen = int(self._rng.integers(len(self._bookings)))
            key, body, customer = self._bookings[chosen]
        else:
            key = f"booking-{plan.seed}-{number}"
            body = json.dumps({"lot": number})
            customer = self._draw_customer()
            self._bookings.append((key, body, customer))
        return PlannedRequest(
            number,
            at_ms,
            plan.booking_service,
            plan.booking_class,
            customer,
            self._draw_entry_number(),
            key=key,
            body=body,
        )

    def _make_model_request(self, number: int, at_ms: float) -> PlannedRequest:
        plan = self._plan
        mix = plan.mix[
            int(self._rng.choice(len(plan.mix), p=self._class_probabilities))
        ]
        customer = self._draw_customer()
        prompt = ""
        if self._rng.random() < plan.shared_prefix_fraction:
            prompt = self._prefixes[int(self._rng.integers(SHARED_PREFIX_COUNT))]
        if self._conversations and self._rng.random() < plan.continued_fraction:
            chosen = int(self._rng.integers(len(self._conversations)))
            earlier, name, customer = self._conversations[chosen]
            mix = next(each for each in plan.mix if each.request_class == name)
            # The answer of the engine test double depends on the prompt alone, so it is
            # computed without sending the request. The first `len=` in a prompt sets
            # the answer length, so that of the earlier prompt is removed.
            prompt = f"{earlier}\n{answer_text(earlier)}\n"
            prompt = prompt.replace("len=", "length ")
        length = min(MAX_ANSWER_TOKENS, 1 + int(self._draw_length(mix.answer_tokens)))
        words = self._draw_words(int(self._draw_length(mix.prompt_tokens)))
        prompt = f"{prompt}request {plan.seed}-{number} {words} len={length}"
        if len(prompt) <= MAX_CONVERSATION_CHARACTERS:
            self._conversations.append((prompt, mix.request_class, customer))
        return PlannedRequest(
            number,
            at_ms,
            plan.service,
            mix.request_class,
            customer,
            self._draw_entry_number(),
            prompt,
            plan.model,
        )

    def _draw_length(self, mean: float) -> float:
        """Draw a log-normal token count with this mean.

        Sigma is 0.6 as for chat answers in experiments; mu is -sigma^2 / 2.
        """
        return float(mean * self._rng.lognormal(-0.18, 0.6))

    def _draw_words(self, tokens: int) -> str:
        """Draw words with about `tokens` tokens, two per word."""
        chosen = self._rng.integers(len(WORDS), size=max(1, tokens // 2))
        return " ".join(WORDS[number] for number in chosen)

    def _draw_customer(self) -> LoadCustomer:
        customers = self._plan.customers
        return customers[
            int(self._rng.choice(len(customers), p=self._customer_probabilities))
        ]

    def _draw_entry_number(self) -> int:
        return int(self._rng.integers(1 << 30))


def normalize(weights: Sequence[float]) -> list[float]:
    """Scale the weights to a sum of 1.

    >>> normalize([1.0, 3.0])
    [0.25, 0.75]
    """
    total = sum(weights)
    return [weight / total for weight in weights]
