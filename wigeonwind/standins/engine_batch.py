"""Continuous batching in the engine model: admission, KV memory and iterations."""

from collections.abc import Iterator
from heapq import heappop, heappush
from math import ceil

from wigeonwind.clock import MS_PER_SECOND
from wigeonwind.standins.engine_decode import (
    DecodeSet,
    IterationRun,
    RequestState,
    Stage,
)
from wigeonwind.standins.engine_types import (
    EngineConfig,
    EngineCounters,
    EngineEvent,
    RequestDone,
    RequestLost,
    StepRun,
    TokensProduced,
)
from wigeonwind.standins.prefix_cache import PrefixCache

TIME_TOLERANCE_MS = 1e-6
"""Keeps rounding errors from hiding an iteration that ends exactly now."""


class BatchScheduler:
    """Schedules all requests of one engine in a continuous batch.

    The batch consists of the running requests, which are in prefill or decode; other
    requests wait, are paused or are in KV transfer. A request reserves KV memory for
    its complete answer when it enters the batch, so no request is preempted for lack of
    memory. If the first waiting request does not fit into the free KV memory, smaller
    requests behind it wait too.
    """

    def __init__(self, config: EngineConfig, cache: PrefixCache) -> None:
        self.config = config
        self.cache = cache
        self.straggle_factor = 1.0
        self.state_by_id: dict[str, RequestState] = {}
        self.events: list[EngineEvent] = []
        self.decode_tokens = 0
        self.dropped_tokens = 0
        self.refused_count = 0
        self.kv_used_tokens = 0
        self.paused_count = 0
        self._kv_reserved_tokens = 0
        self._decoding = DecodeSet(self.events)
        self._prefilling: dict[str, RequestState] = {}
        self._waiting: list[tuple[int, int, int, RequestState]] = []
        self._transfers: list[tuple[float, int, RequestState]] = []
        self._enqueue_count = 0
        self._prefill_tokens = 0
        self._cached_tokens = 0
        self._finished_count = 0
        self._lost_count = 0

    @property
    def running_count(self) -> int:
        """Return the number of requests that are in prefill or decode."""
        return len(self._decoding) + len(self._prefilling)

    @property
    def step_ms(self) -> float:
        """Return the duration of a decode step without prefill in milliseconds."""
        config = self.config
        duration_ms = config.decode_ms_base
        duration_ms += config.decode_ms_per_running * len(self._decoding)
        return duration_ms * self.straggle_factor

    def counters(self) -> EngineCounters:
        """Return a snapshot of the counters."""
        return EngineCounters(
            self._prefill_tokens,
            self.decode_tokens,
            self._cached_tokens,
            self.dropped_tokens,
            self._finished_count,
            self._lost_count,
            self.refused_count,
        )

    def take_events(self, partial: bool) -> list[EngineEvent]:
        """Return and clear the pending events.

        With `partial`, the tokens of running requests so far are included.
        """
        if partial:
            self._decoding.report_all()
        events = list(self.events)
        self.events.clear()
        return events

    def current_state(self, request_id: str) -> RequestState | None:
        """Return a request with up-to-date token counts, None if it is unknown."""
        state = self.state_by_id.get(request_id)
        if state:
            self._decoding.update(state)
        return state

    def enqueue(self, state: RequestState, ready_ms: float, now_ms: float) -> None:
        """Queue the request for a slot at `ready_ms`, when its KV transfer ends.

        Unless `ready_ms` is later than `now_ms`, the request is queued at once.
        """
        if state.stage is Stage.PAUSED:
            self.paused_count -= 1
        self.state_by_id[state.request.request_id] = state
        self._enqueue_count += 1
        if ready_ms > now_ms:
            state.stage = Stage.TRANSFER
            heappush(self._transfers, (ready_ms, self._enqueue_count, state))
            return
        state.stage = Stage.WAITING
        entry = (state.request.priority, state.seq, self._enqueue_count, state)
        heappush(self._waiting, entry)

    def remove(self, state: RequestState, stage: Stage) -> None:
        """Take the request out of the batch or the queue and set its stage.

        `Stage.REMOVED` also frees the KV memory of the request and deletes its state.
        """
        request_id = state.request.request_id
        self._decoding.remove(state)
        self._prefilling.pop(request_id, None)
        if state.stage is Stage.PAUSED:
            self.paused_count -= 1
        if stage is Stage.PAUSED:
            self.paused_count += 1
        state.stage = stage
        if stage is Stage.REMOVED:
            self.free_kv(state)
            del self.state_by_id[request_id]

    def add_kv(self, state: RequestState, tokens: int) -> None:
        """Account for `tokens` more of KV cache held by the request."""
        state.kv_tokens += tokens
        self.kv_used_tokens += tokens

    def free_kv(self, state: RequestState) -> None:
        """Free the KV memory of a request that is not decoding."""
        self._kv_reserved_tokens -= state.reserved
        self.kv_used_tokens -= state.kv_tokens
        state.reserved = 0
        state.kv_tokens = 0
        state.host_tokens = 0

    def discard(self, state: RequestState) -> int:
        """Free the request's KV cache and count its computed tokens as dropped.

        Return the number of dropped tokens.
        """
        dropped = state.computed
        state.computed = 0
        self.dropped_tokens += dropped
        self.free_kv(state)
        return dropped

    def fail_all(self, reason: str, now_ms: float) -> None:
        """Remove every request and report it as lost."""
        for state in list(self.state_by_id.values()):
            self._decoding.remove(state)
            self.discard(state)
            self.remove(state, Stage.REMOVED)
            self._lost_count += 1
            request_id = state.request.request_id
            self.events.append(RequestLost(request_id, now_ms, state.produced, reason))

    def next_transfer_ms(self) -> float | None:
        """Return when the next KV cache transfer ends, None if there is none."""
        while self._transfers and self._transfers[0][2].stage is not Stage.TRANSFER:
            heappop(self._transfers)
        return self._transfers[0][0] if self._transfers else None

    def plan_iterations(
        self, at_ms: float, token_limit: int | None
    ) -> IterationRun | None:
        """Admit waiting requests and return the next run of equal iterations.

        Return None if no request is running. `token_limit` bounds the tokens that are
        decoded in the run, rounded up to whole iterations.
        """
        self._complete_transfers(at_ms)
        self._admit()
        if not self.running_count:
            return None
        prefill = list(self._split_prefill_budget())
        tokens = sum(chunk for _, chunk in prefill)
        prefill_ms = tokens * MS_PER_SECOND / self.config.prefill_tokens_per_s
        step_ms = self.step_ms + prefill_ms * self.straggle_factor
        count = self._iteration_count(prefill, token_limit)
        transfer_ms = self.next_transfer_ms()
        if transfer_ms is not None:
            count = min(count, max(1, ceil((transfer_ms - at_ms) / step_ms)))
        return IterationRun(at_ms, step_ms, count, prefill)

    def apply_iterations(self, iterations: IterationRun, done_count: int) -> None:
        """Advance the run until `done_count` of its iterations are done."""
        count = done_count - iterations.done
        last_ms = iterations.end_ms(done_count)
        if len(self._decoding):
            tokens = count * len(self._decoding)
            self.decode_tokens += tokens
            self.kv_used_tokens += tokens
            for state in self._decoding.advance(iterations, done_count):
                self._complete(state, last_ms)
        iterations.done = done_count
        # A request whose prefill ends here is decoded from the next iteration on.
        for state, chunk in iterations.prefill:
            if state.stage is Stage.PREFILL:
                self._apply_prefill(state, chunk * count, last_ms)

    def _complete_transfers(self, at_ms: float) -> None:
        ready_ms = self.next_transfer_ms()
        while ready_ms is not None and ready_ms <= at_ms + TIME_TOLERANCE_MS:
            _, _, state = heappop(self._transfers)
            self.enqueue(state, at_ms, at_ms)
            ready_ms = self.next_transfer_ms()

    def _admit(self) -> None:
        while self._waiting and self.running_count < self.config.slots:
            state = self._waiting[0][3]
            # Entries of requests that were paused or removed stay in the heap.
            if state.stage is Stage.WAITING:
                needed_tokens = state.final_tokens - state.reserved
                if (
                    self._kv_reserved_tokens + needed_tokens
                    > self.config.kv_limit_tokens
                ):
                    return
                self._kv_reserved_tokens += needed_tokens
                state.reserved += needed_tokens
                self._start(state)
            heappop(self._waiting)

    def _start(self, state: RequestState) -> None:
        self.add_kv(state, state.host_tokens)
        state.host_tokens = 0
        if not state.kv_tokens:
            # The last prompt token is always computed: it yields the first token of the
            # answer.
            max_cached = max(0, state.request.prompt_tokens - 1)
            state.cached = min(self.cache.match(state.request.prefix_keys), max_cached)
            self.add_kv(state, state.cached)
            self._cached_tokens += state.cached
        state.prefill_left = max(0, state.context_tokens - state.kv_tokens)
        if state.prefill_left or state.produced >= state.output:
            state.stage = Stage.PREFILL
            self._prefilling[state.request.request_id] = state
        else:
            self._decoding.add(state)

    def _split_prefill_budget(self) -> Iterator[tuple[RequestState, int]]:
        budget = self.config.prefill_chunk_tokens
        for state in self._prefilling.values():
            chunk = min(budget, state.prefill_left)
            yield state, chunk
            budget -= chunk
            if not budget:
                return

    def _iteration_count(
        self, prefill: list[tuple[RequestState, int]], token_limit: int | None
    ) -> int:
        if len(prefill) > 1:
            # The prefill budget may be split differently in the next iteration.
            return 1
        limits = [
            state.prefill_left // chunk if chunk else 1 for state, chunk in prefill
        ]
        steps = self._decoding.steps_until_event()
        if steps is not None:
            limits.append(steps)
            if token_limit is not None:
                limits.append(ceil(token_limit / len(self._decoding)))
        return max(1, min(limits))

    def _apply_prefill(self, state: RequestState, tokens: int, at_ms: float) -> None:
        state.prefill_left -= tokens
        state.computed += tokens
        self.add_kv(state, tokens)
        self._prefill_tokens += tokens
        if state.prefill_left:
            return
        request_id = state.request.request_id
        self.cache.store(state.request.prefix_keys, at_ms)
        if state.produced < state.output:
            self._emit_prefill_token(state, at_ms)
        if state.produced >= state.output:
            self._complete(state, at_ms)
            return
        del self._prefilling[request_id]
        self._decoding.add(state)

    def _emit_prefill_token(self, state: RequestState, at_ms: float) -> None:
        """Emit the token that the last prefill iteration of a request yields."""
        request_id = state.request.request_id
        runs = (StepRun(at_ms, 0.0, 0, 1),)
        first = not state.started
        self.events.append(TokensProduced(request_id, state.produced, 1, runs, first))
        state.started = True
        state.produced += 1
        state.computed += 1
        self.add_kv(state, 1)
        self.decode_tokens += 1

    def _complete(self, state: RequestState, at_ms: float) -> None:
        self._finished_count += 1
        self.remove(state, Stage.REMOVED)
        request_id = state.request.request_id
        event = RequestDone(request_id, at_ms, state.produced, state.cached)
        self.events.append(event)
