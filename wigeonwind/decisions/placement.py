"""What the choice of an endpoint depends on, and its result."""

from dataclasses import dataclass

LONG_PROMPT_TOKENS = 4_000
"""Prompt from which a request counts as long: an engine reads about that much in one
step, and streams that run beside several such steps pause too long."""

LONG_TARGET_MS = 600.0
"""Latency target from which a request can wait for an engine for long prompts."""


@dataclass(frozen=True, slots=True)
class PlacementRequest:
    """What the choice depends on.

    `prefix_keys` name growing prefixes of the prompt, `prefix_tokens` their lengths;
    `shared_prefixes` of them occur in other requests, too. `target_ms` is the time to
    the first event that is still on time.
    """

    service: str
    priority: int
    prompt_tokens: int = 0
    prefix_keys: tuple[int, ...] = ()
    prefix_tokens: tuple[int, ...] = ()
    shared_prefixes: int = 0
    is_generation: bool = False
    target_ms: float = 0.0

    @property
    def is_long(self) -> bool:
        """Return whether reading the prompt disturbs what runs beside it."""
        has_time = self.target_ms >= LONG_TARGET_MS
        return has_time and self.prompt_tokens >= LONG_PROMPT_TOKENS


@dataclass(frozen=True, slots=True)
class Candidate:
    """An endpoint as discovery reports it."""

    endpoint_id: str
    service: str
    zone: str
    slots: int


@dataclass(slots=True, eq=False)
class Send:
    """One request on its way; `unread_tokens` of its prompt are not in the cache."""

    work: PlacementRequest
    endpoint_id: str
    sent_ms: float
    unread_tokens: int
    expected_ms: float
    is_started: bool = False


@dataclass(frozen=True, slots=True)
class Placement:
    """The endpoint for a request.

    `fetch_from` is the endpoint from which it copies KV cache of the prompt first.
    """

    endpoint_id: str
    fetch_from: str | None = None
