"""Input and result types of `latency_choice`."""

from dataclasses import dataclass

LONG_PROMPT_TOKENS = 4_000
"""Prompt length from which a request counts as long: about what an engine prefills in
one step. Several such steps stall the streams that run beside them for too long."""

MIN_LONG_TARGET_MS = 600.0
"""Least latency target of a request that counts as long; with less it cannot wait for
an engine for long prompts."""


@dataclass(frozen=True, slots=True)
class PlacementRequest:
    """The properties of a request that the choice depends on.

    `prefix_keys` are hashes of successively longer prefixes of the prompt, shortest
    first, and `prefix_tokens` the lengths of these prefixes in tokens. The first
    `shared_prefixes` of them also occur in other requests. `target_ms` is the latency
    target of the first event, `max_pause_ms` that of the pauses between events, 0 for
    none.
    """

    service: str
    priority: int
    prompt_tokens: int = 0
    prefix_keys: tuple[int, ...] = ()
    prefix_tokens: tuple[int, ...] = ()
    shared_prefixes: int = 0
    is_generation: bool = False
    target_ms: float = 0.0
    max_pause_ms: float = 0.0

    @property
    def is_long(self) -> bool:
        """Return whether the request belongs on an engine for long prompts."""
        has_time = self.target_ms >= MIN_LONG_TARGET_MS
        return has_time and self.prompt_tokens >= LONG_PROMPT_TOKENS


@dataclass(frozen=True, slots=True)
class Candidate:
    """An endpoint reported by discovery."""

    endpoint_id: str
    service: str
    zone: str
    slots: int


@dataclass(slots=True, eq=False)
class Send:
    """A send of a request to an endpoint.

    `prefill_tokens` of the prompt were not cached there, and the engine prefills
    `tokens_to_first_event` before the first event, including other prompts.
    `expected_ms` is the expected time to that event. `is_started` is set when it
    arrives, or when the send ends without one.
    """

    request: PlacementRequest
    endpoint_id: str
    sent_ms: float
    prefill_tokens: int
    expected_ms: float
    tokens_to_first_event: float = 0.0
    is_started: bool = False


@dataclass(frozen=True, slots=True)
class Placement:
    """The endpoint that is chosen for a request.

    Before the prefill, that endpoint transfers KV cache of the prompt from the endpoint
    `fetch_from`, if it is set.
    """

    endpoint_id: str
    fetch_from: str | None = None
