"""The batch of the engine model: admission, memory and the plan of iterations."""

from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum
from heapq import heappop, heappush
from math import ceil

from wigeonwind.clock import MS_PER_SECOND
from wigeonwind.standins.engine_types import (
    EngineConfig,
    EngineCounters,
    EngineEvent,
    EngineRequest,
    RequestDone,
    RequestLost,
    TokensProduced,
)
from wigeonwind.standins.prefix_cache import PrefixCache

TIME_TOLERANCE_MS = 1e-6
"""Rounding of sums of durations must not hide an iteration that ends just now."""


class Stage(Enum):
    """Where a request is inside the engine."""

    TRANSFER = "transfer"
    WAITING = "waiting"
    PREFILL = "prefill"
    RUNNING = "running"
    PAUSED = "paused"
    GONE = "gone"


class RequestState:
    """One request inside the engine."""

    __slots__ = (
        "cached",
        "computed",
        "kv_tokens",
        "output",
        "prefill_left",
        "produced",
        "request",
        "reserved",
        "seq",
        "stage",
        "started",
    )

    def __init__(self, request: EngineRequest, seq: int, kv_tokens: int) -> None:
        self.request = request
        self.seq = seq
        self.stage = Stage.WAITING
        self.output = request.output_tokens
        self.produced = min(request.resume_tokens, request.output_tokens)
        self.prefill_left = 0
        self.kv_tokens = kv_tokens
        self.computed = 0
        self.cached = 0
        self.reserved = 0
        self.started = False

    @property
    def context_tokens(self) -> int:
        """Return the tokens whose KV cache the next token depends on."""
        return self.request.prompt_tokens + self.produced

    @property
    def full_tokens(self) -> int:
        """Return the KV cache tokens that the finished request will hold."""
        return self.request.prompt_tokens + self.output


@dataclass
class Iteration:
    """`repeat` equal iterations from `start_ms`, of which `done` are over."""

    start_ms: float
    step_ms: float
    repeat: int
    prefill: list[tuple[RequestState, int]]
    done: int = 0

    def end_ms(self, count: int) -> float:
        """Return the time at which `count` of the iterations are over."""
        return self.start_ms + count * self.step_ms

    def over_at(self, now_ms: float) -> int:
        """Return how many iterations are over at `now_ms`."""
        elapsed = now_ms - self.start_ms + TIME_TOLERANCE_MS
        return min(self.repeat, int(elapsed / self.step_ms))

    def end_early(self) -> None:
        """Plan anew after the iteration in progress."""
        self.repeat = min(self.repeat, self.done + 1)


class Batch:
    """All requests of one engine, in the order in which it serves them.

    A request reserves memory for its whole answer when it enters the batch, so that
    the batch never has to be broken up for memory. The most urgent waiting request is
    never overtaken for memory by a smaller one.
    """

    def __init__(self, config: EngineConfig, cache: PrefixCache) -> None:
        self.config = config
        self.cache = cache
        self.straggle = 1.0
        self.state_by_id: dict[str, RequestState] = {}
        self.events: list[EngineEvent] = []
        self.kv_reserved = 0
        self._running: dict[str, RequestState] = {}
        self._prefilling: dict[str, RequestState] = {}
        self._waiting: list[tuple[int, int, int, RequestState]] = []
        self._transfers: list[tuple[float, int, RequestState]] = []
        self._entries = 0
        self._prefill_tokens = 0
        self.decode_tokens = 0
        self._cached_tokens = 0
        self._finished = 0
        self._lost = 0
        self.dropped_tokens = 0
        self.refused = 0

    @property
    def running(self) -> int:
        """Return the number of requests in the batch."""
        return len(self._running) + len(self._prefilling)

    @property
    def step_ms(self) -> float:
        """Return the duration of an iteration without prefill."""
        config = self.config
        work_ms = config.decode_ms_base
        work_ms += config.decode_ms_per_running * len(self._running)
        return work_ms * self.straggle

    def count(self, stage: Stage) -> int:
        """Return the number of requests in `stage`."""
        return sum(1 for state in self.state_by_id.values() if state.stage is stage)

    def kv_used(self) -> int:
        """Return the tokens of KV cache in use."""
        return sum(state.kv_tokens for state in self.state_by_id.values())

    def counters(self) -> EngineCounters:
        """Return all counters."""
        return EngineCounters(
            self._prefill_tokens,
            self.decode_tokens,
            self._cached_tokens,
            self.dropped_tokens,
            self._finished,
            self._lost,
            self.refused,
        )

    def enqueue(self, state: RequestState, ready_ms: float, now_ms: float) -> None:
        """Let the request wait for a slot from `ready_ms` on."""
        self.state_by_id[state.request.request_id] = state
        self._entries += 1
        if ready_ms > now_ms:
            state.stage = Stage.TRANSFER
            heappush(self._transfers, (ready_ms, self._entries, state))
            return
        state.stage = Stage.WAITING
        order = (state.request.priority, state.seq, self._entries, state)
        heappush(self._waiting, order)

    def take_out(self, state: RequestState, stage: Stage) -> None:
        """Remove the request from the batch or the queue and set its stage."""
        request_id = state.request.request_id
        self._running.pop(request_id, None)
        self._prefilling.pop(request_id, None)
        state.stage = stage
        if stage is Stage.GONE:
            self.release(state)
            del self.state_by_id[request_id]

    def release(self, state: RequestState) -> None:
        """Free the memory of the request."""
        self.kv_reserved -= state.reserved
        state.reserved = 0
        state.kv_tokens = 0

    def drop(self, state: RequestState) -> int:
        """Discard what was computed for the request; return the tokens wasted."""
        dropped = state.computed
        state.computed = 0
        self.dropped_tokens += dropped
        self.release(state)
        return dropped

    def lose_all(self, reason: str, now_ms: float) -> None:
        """Lose every request."""
        for state in list(self.state_by_id.values()):
            self.drop(state)
            self.take_out(state, Stage.GONE)
            self._lost += 1
            request_id = state.request.request_id
            self.events.append(RequestLost(request_id, now_ms, state.produced, reason))

    def next_transfer_ms(self) -> float | None:
        """Return when the next KV cache transfer ends."""
        while self._transfers and self._transfers[0][2].stage is not Stage.TRANSFER:
            heappop(self._transfers)
        return self._transfers[0][0] if self._transfers else None

    def plan(self, at_ms: float, token_limit: int | None) -> Iteration | None:
        """Admit what fits and return the next iterations, None if there is no work.

        `token_limit` bounds the decoded tokens of the plan, rounded up to iterations.
        """
        self._finish_transfers(at_ms)
        self._admit(at_ms)
        if not self._running and not self._prefilling:
            return None
        prefill = list(self._prefill_shares())
        tokens = sum(share for _, share in prefill)
        prefill_ms = tokens * MS_PER_SECOND / self.config.prefill_tokens_per_s
        step_ms = self.step_ms + prefill_ms * self.straggle
        repeat = self._repeat(prefill, token_limit)
        transfer_ms = self.next_transfer_ms()
        if transfer_ms is not None:
            repeat = min(repeat, max(1, ceil((transfer_ms - at_ms) / step_ms)))
        return Iteration(at_ms, step_ms, repeat, prefill)

    def finish(self, iteration: Iteration, over: int) -> None:
        """Carry out the iterations of the plan until `over` of them are done."""
        count = over - iteration.done
        first_ms = iteration.end_ms(iteration.done + 1)
        last_ms = iteration.end_ms(over)
        iteration.done = over
        # Prefilled requests join the running ones only after this decode step.
        self._decode(count, first_ms, last_ms, iteration.step_ms)
        for state, share in iteration.prefill:
            if state.stage is Stage.PREFILL:
                self._prefill(state, share * count, last_ms)

    def _finish_transfers(self, at_ms: float) -> None:
        ready_ms = self.next_transfer_ms()
        while ready_ms is not None and ready_ms <= at_ms + TIME_TOLERANCE_MS:
            _, _, state = heappop(self._transfers)
            self.enqueue(state, at_ms, at_ms)
            ready_ms = self.next_transfer_ms()

    def _admit(self, at_ms: float) -> None:
        while self._waiting and self.running < self.config.slots:
            state = self._waiting[0][3]
            if state.stage is Stage.WAITING:
                missing = state.full_tokens - state.reserved
                if self.kv_reserved + missing > self.config.kv_limit_tokens:
                    return
                self.kv_reserved += missing
                state.reserved += missing
                self._enter(state)
            heappop(self._waiting)

    def _enter(self, state: RequestState) -> None:
        request_id = state.request.request_id
        if not state.kv_tokens:
            # The last prompt token is always computed: it gives the first answer token.
            most = state.request.prompt_tokens - 1
            state.cached = min(self.cache.match(state.request.prefix_keys), most)
            state.kv_tokens = max(0, state.cached)
            self._cached_tokens += state.kv_tokens
        state.prefill_left = max(0, state.context_tokens - state.kv_tokens)
        if state.prefill_left or state.produced >= state.output:
            state.stage = Stage.PREFILL
            self._prefilling[request_id] = state
        else:
            state.stage = Stage.RUNNING
            self._running[request_id] = state

    def _prefill_shares(self) -> Iterator[tuple[RequestState, int]]:
        budget = self.config.prefill_chunk_tokens
        for state in self._prefilling.values():
            share = min(budget, state.prefill_left)
            yield state, share
            budget -= share
            if not budget:
                return

    def _repeat(
        self, prefill: list[tuple[RequestState, int]], token_limit: int | None
    ) -> int:
        if len(prefill) > 1:
            return 1
        limits = [state.output - state.produced for state in self._running.values()]
        if any(not state.started for state in self._running.values()):
            return 1
        for state, share in prefill:
            limits.append(state.prefill_left // share if share else 1)
        if token_limit is not None and self._running:
            limits.append(ceil(token_limit / len(self._running)))
        return max(1, min(limits))

    def _decode(
        self, count: int, first_ms: float, last_ms: float, step_ms: float
    ) -> None:
        finished = []
        for request_id, state in self._running.items():
            first = not state.started
            event = TokensProduced(
                request_id, state.produced, count, first_ms, step_ms, first
            )
            self.events.append(event)
            state.started = True
            state.produced += count
            state.computed += count
            state.kv_tokens += count
            if state.produced >= state.output:
                finished.append(state)
        self.decode_tokens += count * len(self._running)
        for state in finished:
            self._finish(state, last_ms)

    def _prefill(self, state: RequestState, tokens: int, at_ms: float) -> None:
        state.prefill_left -= tokens
        state.computed += tokens
        state.kv_tokens += tokens
        self._prefill_tokens += tokens
        if state.prefill_left:
            return
        request = state.request
        self.cache.store(request.prefix_keys, at_ms)
        if state.produced < state.output:
            first = not state.started
            event = TokensProduced(
                request.request_id, state.produced, 1, at_ms, 0.0, first
            )
            self.events.append(event)
            state.started = True
            state.produced += 1
            state.computed += 1
            state.kv_tokens += 1
            self.decode_tokens += 1
        if state.produced >= state.output:
            self._finish(state, at_ms)
            return
        del self._prefilling[request.request_id]
        state.stage = Stage.RUNNING
        self._running[request.request_id] = state

    def _finish(self, state: RequestState, at_ms: float) -> None:
        self._finished += 1
        self.take_out(state, Stage.GONE)
        request_id = state.request.request_id
        event = RequestDone(request_id, at_ms, state.produced, state.cached)
        self.events.append(event)
