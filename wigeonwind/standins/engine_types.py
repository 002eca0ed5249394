"""Inputs, events and results of the engine model, as immutable data classes."""

from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum

KV_KEEP = "keep"
KV_EXPORT = "export"
KV_DROP = "drop"
KV_MODES = (KV_KEEP, KV_EXPORT, KV_DROP)
"""Treatments of the KV cache of a paused request."""


@dataclass(frozen=True)
class EngineConfig:
    """Speed, memory and behaviour of one model engine.

    One iteration of a batch of n decoding requests takes `decode_ms_base` +
    n * `decode_ms_per_running` milliseconds plus the time to prefill at most
    `prefill_chunk_tokens` prompt tokens. Load reports lag by `report_lag_ms` and cache
    events by `event_lag_ms`. `event_gap` is the share (0 to 1) of cache events that are
    never reported; `seed` selects these events. Unless `obeys_fence` is set, the engine
    accepts control commands with old fencing tokens.
    """

    slots: int = 16
    prefill_tokens_per_s: float = 8000.0
    prefill_chunk_tokens: int = 512
    decode_ms_base: float = 12.0
    decode_ms_per_running: float = 0.6
    kv_limit_tokens: int = 60_000
    kv_transfer_tokens_per_s: float = 200_000.0
    prefix_cache_tokens: int = 30_000
    report_lag_ms: float = 500.0
    event_lag_ms: float = 500.0
    event_gap: float = 0.0
    obeys_fence: bool = True
    load_model_ms: float = 4000.0
    load_adapter_ms: float = 500.0
    change_role_ms: float = 1000.0
    model: str = "barley-7b"
    version: str = "1"
    role: str = "mixed"
    seed: int = 1


@dataclass(frozen=True)
class PrefixKey:
    """A hash of a prompt prefix and the length of that prefix in tokens."""

    key: int
    tokens: int


@dataclass(frozen=True)
class EngineRequest:
    """One generation; `output_tokens` is the length of the complete answer.

    A lower `priority` is served first. The first `resume_tokens` tokens of the answer
    were delivered before: they are prefilled with the prompt, and generation continues
    after them. `prefix_keys` are in order of increasing length. `kv_id` identifies
    imported KV cache; if it is empty, the KV cache imported for `request_id` is used.
    """

    request_id: str
    prompt_tokens: int
    output_tokens: int
    priority: int = 0
    prefix_keys: tuple[PrefixKey, ...] = ()
    resume_tokens: int = 0
    kv_id: str = ""


class RefusalReason(Enum):
    """Why an engine refuses a request; a refused request has not run."""

    DUPLICATE = "duplicate"
    TOO_LARGE = "too_large"
    LOADING = "loading"
    CRASHED = "crashed"


@dataclass(frozen=True)
class RequestAccepted:
    """The engine has queued the request for a slot and KV memory."""

    request_id: str


@dataclass(frozen=True)
class RequestRefused:
    """The engine has refused the request."""

    request_id: str
    reason: RefusalReason


@dataclass(frozen=True)
class RequestUnknown:
    """The engine has no request with this id to which the call applies.

    `pause` does not apply to a paused request, and `resume` only to a paused one.
    """

    request_id: str


@dataclass(frozen=True)
class RequestStopped:
    """A request was paused, resumed or cancelled.

    `tokens` is the length of its answer so far, including `resume_tokens`.
    `dropped_tokens` were computed and are now discarded.
    """

    request_id: str
    tokens: int
    dropped_tokens: int


@dataclass(frozen=True)
class KvExported:
    """A KV cache of `tokens` tokens can be imported as `kv_id`."""

    kv_id: str
    tokens: int


@dataclass(frozen=True)
class KvImported:
    """The engine has imported a KV cache of `tokens` tokens for `request_id`."""

    request_id: str
    tokens: int


@dataclass(frozen=True)
class KvRefused:
    """The KV cache cannot be imported."""

    reason: str


@dataclass(frozen=True, slots=True)
class StepRun:
    """`count` equal steps, numbered from `first`.

    Step n ends at `start_ms` + n * `step_ms`.
    """

    start_ms: float
    step_ms: float
    first: int
    count: int

    def times(self) -> Iterator[float]:
        """Yield the end of each step in milliseconds."""
        for number in range(self.first, self.first + self.count):
            yield self.start_ms + number * self.step_ms


@dataclass(frozen=True, slots=True)
class TokensProduced:
    """Tokens `index` to `index + count - 1` of one answer; `runs` holds their times.

    `first` tells whether they include the first token that this engine generated for
    the request.
    """

    request_id: str
    index: int
    count: int
    runs: tuple[StepRun, ...]
    first: bool = False

    @property
    def first_ms(self) -> float:
        """Return the time of the first of these tokens."""
        run = self.runs[0]
        return run.start_ms + run.first * run.step_ms

    @property
    def last_ms(self) -> float:
        """Return the time of the last of these tokens."""
        run = self.runs[-1]
        return run.start_ms + (run.first + run.count - 1) * run.step_ms

    def times(self) -> Iterator[tuple[int, float]]:
        """Yield (token index, time in milliseconds) of each token.

        >>> list(TokensProduced("a", 4, 3, (StepRun(80.0, 20.0, 1, 3),)).times())
        [(4, 100.0), (5, 120.0), (6, 140.0)]
        """
        index = self.index
        for run in self.runs:
            for at_ms in run.times():
                yield index, at_ms
                index += 1


@dataclass(frozen=True, slots=True)
class RequestDone:
    """The answer is complete and has `tokens` tokens.

    `cached_tokens` prompt tokens were prefix cache hits.
    """

    request_id: str
    at_ms: float
    tokens: int
    cached_tokens: int


@dataclass(frozen=True, slots=True)
class RequestLost:
    """The engine lost the request when its answer had `tokens` tokens."""

    request_id: str
    at_ms: float
    tokens: int
    reason: str


EngineEvent = TokensProduced | RequestDone | RequestLost


@dataclass(frozen=True)
class EngineLoad:
    """A load report, measured at `measured_at_ms`.

    `running` requests are in prefill or decode; `waiting` includes requests in KV
    transfer. `tokens_per_s` is the decode rate of the running batch.
    """

    running: int
    waiting: int
    paused: int
    kv_used_tokens: int
    kv_limit_tokens: int
    tokens_per_s: float
    measured_at_ms: float
    model: str
    version: str
    role: str


@dataclass(frozen=True)
class CacheEvent:
    """The prefix with key `prefix` was stored or evicted.

    `kind` is `stored` or `evicted`. Events are numbered by `seq`; omitted events have
    numbers too.
    """

    seq: int
    kind: str
    prefix: int
    at_ms: float


@dataclass(frozen=True)
class CacheEventBatch:
    """Events after the requested number; `next_seq` is the number to pass next."""

    events: tuple[CacheEvent, ...]
    next_seq: int


@dataclass(frozen=True)
class EngineCommand:
    """A control command; `fence` is the fencing token of its issuer."""

    fence: int
    action: str
    model: str = ""
    version: str = ""
    role: str = ""


@dataclass(frozen=True)
class CommandAccepted:
    """The command takes effect at `done_at_ms`."""

    order: EngineCommand
    done_at_ms: float


@dataclass(frozen=True)
class CommandFenced:
    """The command carries an older fencing token than `highest`."""

    highest: int


@dataclass(frozen=True)
class CommandFailed:
    """The engine cannot execute the command.

    `may_retry` tells whether the same command may succeed later.
    """

    reason: str
    may_retry: bool


@dataclass(frozen=True)
class EngineCounters:
    """Counts of an engine since its creation.

    `finished`, `lost` and `refused` count requests, the others tokens.
    """

    prefill_tokens: int
    decode_tokens: int
    cached_tokens: int
    dropped_tokens: int
    finished: int
    lost: int
    refused: int
