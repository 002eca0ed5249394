"""The decoding requests of the engine model, advanced together.

A decode step yields one token for every decoding request, so each step is logged once
for all of them. The tokens of one request are derived from the step log when they are
reported.
"""

from dataclasses import dataclass
from enum import Enum
from heapq import heappop, heappush

from wigeonwind.standins.engine_types import (
    EngineEvent,
    EngineRequest,
    StepRun,
    TokensProduced,
)

MAX_STEP_LOG_ENTRIES = 4096
"""At this length, all progress is reported and the step log is cleared.

This bounds the memory of the log.
"""


class Stage(Enum):
    """Processing stage of a request inside the engine."""

    TRANSFER = "transfer"
    WAITING = "waiting"
    PREFILL = "prefill"
    DECODE = "running"
    PAUSED = "paused"
    REMOVED = "gone"


class RequestState:
    """One request inside the engine; all counts are in tokens.

    `output` is the length of the complete answer and `produced` that of the answer so
    far; both include tokens that were delivered before. `cached` prompt tokens were
    prefix cache hits. `computed` tokens of the prompt and the answer were computed by
    this engine and not dropped since. The KV cache holds `kv_tokens`, for which KV
    memory of `reserved` tokens is set aside; `host_tokens` are outside the KV memory
    until the request enters the batch. `started` tells whether this engine has
    generated a token of the answer.

    While the request decodes, `produced`, `computed` and `kv_tokens` are out of date
    until `DecodeSet.update` or a report. `settled_step` is the decode step up to which
    they are counted, and `log_index` the first later entry of the step log.
    `finish_entry` is the number of its current entry in the finish heap. `seq` is the
    order of submission.
    """

    __slots__ = (
        "cached",
        "computed",
        "finish_entry",
        "host_tokens",
        "kv_tokens",
        "log_index",
        "output",
        "prefill_left",
        "produced",
        "request",
        "reserved",
        "seq",
        "settled_step",
        "stage",
        "started",
    )

    def __init__(self, request: EngineRequest, seq: int) -> None:
        self.request = request
        self.seq = seq
        self.stage = Stage.WAITING
        self.output = request.output_tokens
        self.produced = min(request.resume_tokens, request.output_tokens)
        self.prefill_left = 0
        self.kv_tokens = 0
        self.host_tokens = 0
        self.computed = 0
        self.cached = 0
        self.reserved = 0
        self.started = False
        self.settled_step = 0
        self.finish_entry = 0
        self.log_index = 0

    @property
    def context_tokens(self) -> int:
        """Return the number of tokens in the context of the next token."""
        return self.request.prompt_tokens + self.produced

    @property
    def final_tokens(self) -> int:
        """Return the KV cache size of the finished request in tokens."""
        return self.request.prompt_tokens + self.output


@dataclass
class IterationRun:
    """`count` equal iterations from `start_ms` on, of which `done` are applied.

    Each iteration takes `step_ms`. `prefill` holds the requests in prefill and the
    number of tokens that each iteration prefills for them.
    """

    start_ms: float
    step_ms: float
    count: int
    prefill: list[tuple[RequestState, int]]
    done: int = 0

    def end_ms(self, count: int) -> float:
        """Return the time at which the first `count` iterations have ended."""
        return self.start_ms + count * self.step_ms

    def count_done_at(self, now_ms: float, tolerance_ms: float) -> int:
        """Return how many iterations have ended at `now_ms`."""
        elapsed = now_ms - self.start_ms + tolerance_ms
        return min(self.count, int(elapsed / self.step_ms))

    def truncate(self) -> None:
        """End the run with the iteration in progress."""
        self.count = min(self.count, self.done + 1)


class DecodeSet:
    """The requests that get one token in each decode step."""

    def __init__(self, events: list[EngineEvent]) -> None:
        self._events = events
        self._state_by_id: dict[str, RequestState] = {}
        self._step_count = 0
        self._step_log: list[StepRun] = []
        self._finish_heap: list[tuple[int, int, RequestState]] = []
        self._awaiting_first_token: list[RequestState] = []
        self._add_count = 0

    def __len__(self) -> int:
        """Return the number of decoding requests."""
        return len(self._state_by_id)

    def add(self, state: RequestState) -> None:
        """Add a request, which is decoded from the next iteration on."""
        state.stage = Stage.DECODE
        state.settled_step = self._step_count
        state.log_index = len(self._step_log)
        self._state_by_id[state.request.request_id] = state
        self._add_count += 1
        state.finish_entry = self._add_count
        finish_step = self._step_count + state.output - state.produced
        heappush(self._finish_heap, (finish_step, self._add_count, state))
        if not state.started:
            self._awaiting_first_token.append(state)

    def remove(self, state: RequestState) -> None:
        """Report the request's progress and remove it, if it is decoding."""
        if self._state_by_id.get(state.request.request_id) is state:
            self._report_progress(state)
            del self._state_by_id[state.request.request_id]

    def steps_until_event(self) -> int | None:
        """Return the steps until a request gets its first or last token.

        None if no request is decoding.
        """
        if not self._state_by_id:
            return None
        if self._awaiting_first_token:
            return 1
        while not self._is_current(self._finish_heap[0]):
            heappop(self._finish_heap)
        return self._finish_heap[0][0] - self._step_count

    def advance(self, iterations: IterationRun, done_count: int) -> list[RequestState]:
        """Decode up to iteration `done_count`; return the finished requests."""
        count = done_count - iterations.done
        run = StepRun(
            iterations.start_ms, iterations.step_ms, iterations.done + 1, count
        )
        self._step_log.append(run)
        self._step_count += count
        for state in self._awaiting_first_token:
            if self._state_by_id.get(state.request.request_id) is state:
                self._report_progress(state)
        self._awaiting_first_token.clear()
        if len(self._step_log) >= MAX_STEP_LOG_ENTRIES:
            self._compact_log()
        return self._pop_finished()

    def update(self, state: RequestState) -> None:
        """Bring the counts of a request up to date, if it is decoding."""
        if state.stage is Stage.DECODE:
            self._report_progress(state)

    def report_all(self) -> None:
        """Report the progress of every request."""
        for state in self._state_by_id.values():
            self._report_progress(state)

    def _is_current(self, entry: tuple[int, int, RequestState]) -> bool:
        """Return whether a finish heap entry is that of the last `add` of a request.

        Entries of requests that were removed since stay in the heap.
        """
        _, number, state = entry
        request_id = state.request.request_id
        is_member = self._state_by_id.get(request_id) is state
        return is_member and number == state.finish_entry

    def _pop_finished(self) -> list[RequestState]:
        found = []
        while self._finish_heap and self._finish_heap[0][0] <= self._step_count:
            entry = heappop(self._finish_heap)
            if self._is_current(entry):
                found.append(entry[2])
        return found

    def _report_progress(self, state: RequestState) -> None:
        count = self._step_count - state.settled_step
        if not count:
            return
        runs = tuple(self._step_log[state.log_index :])
        event = TokensProduced(
            state.request.request_id,
            state.produced,
            count,
            runs,
            not state.started,
        )
        self._events.append(event)
        state.started = True
        state.settled_step = self._step_count
        state.log_index = len(self._step_log)
        state.produced += count
        state.computed += count
        state.kv_tokens += count

    def _compact_log(self) -> None:
        self.report_all()
        self._step_log.clear()
        for state in self._state_by_id.values():
            state.log_index = 0
