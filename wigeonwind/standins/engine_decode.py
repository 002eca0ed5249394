"""The decoding requests of the engine model, advanced together.

An iteration gives every decoding request one token, so it is recorded once for all.
What one request has gained is worked out when it is asked for or leaves.
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

STEP_LOG_LENGTH = 4096
"""Recorded runs after which all progress is reported, so that the log stays small."""


class Stage(Enum):
    """Where a request is inside the engine."""

    TRANSFER = "transfer"
    WAITING = "waiting"
    PREFILL = "prefill"
    RUNNING = "running"
    PAUSED = "paused"
    GONE = "gone"


class RequestState:
    """One request inside the engine.

    While it decodes, `produced`, `computed` and `kv_tokens` lag behind until the
    decode set settles them. `host_tokens` of KV cache wait outside the engine's memory
    until the request enters the batch.
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

    def over_at(self, now_ms: float, tolerance_ms: float) -> int:
        """Return how many iterations are over at `now_ms`."""
        elapsed = now_ms - self.start_ms + tolerance_ms
        return min(self.repeat, int(elapsed / self.step_ms))

    def end_early(self) -> None:
        """Plan anew after the iteration in progress."""
        self.repeat = min(self.repeat, self.done + 1)


class DecodeSet:
    """The requests that get one token in each iteration."""

    def __init__(self, events: list[EngineEvent]) -> None:
        self._events = events
        self._state_by_id: dict[str, RequestState] = {}
        self._steps = 0
        self._log: list[StepRun] = []
        self._finishes: list[tuple[int, int, RequestState]] = []
        self._starting: list[RequestState] = []
        self._entries = 0

    def __len__(self) -> int:
        """Return the number of decoding requests."""
        return len(self._state_by_id)

    def add(self, state: RequestState) -> None:
        """Let the request take part in the next iteration."""
        state.stage = Stage.RUNNING
        state.settled_step = self._steps
        state.log_index = len(self._log)
        self._state_by_id[state.request.request_id] = state
        self._entries += 1
        state.finish_entry = self._entries
        finish_step = self._steps + state.output - state.produced
        heappush(self._finishes, (finish_step, self._entries, state))
        if not state.started:
            self._starting.append(state)

    def remove(self, state: RequestState) -> None:
        """Report the request's progress and take it out, if it is in."""
        if self._state_by_id.get(state.request.request_id) is state:
            self._report(state)
            del self._state_by_id[state.request.request_id]

    def steps_to_report(self) -> int | None:
        """Return the iterations until a first token or an end, None if empty."""
        if not self._state_by_id:
            return None
        if self._starting:
            return 1
        while not self._is_current(self._finishes[0]):
            heappop(self._finishes)
        return self._finishes[0][0] - self._steps

    def step(self, iteration: Iteration, over: int) -> list[RequestState]:
        """Carry out iterations until `over` are done; return the finished requests."""
        count = over - iteration.done
        run = StepRun(iteration.start_ms, iteration.step_ms, iteration.done + 1, count)
        self._log.append(run)
        self._steps += count
        for state in self._starting:
            if self._state_by_id.get(state.request.request_id) is state:
                self._report(state)
        self._starting.clear()
        if len(self._log) >= STEP_LOG_LENGTH:
            self._clear_log()
        return self._finished()

    def settle(self, state: RequestState) -> None:
        """Bring the counts of one decoding request up to date."""
        if state.stage is Stage.RUNNING:
            self._report(state)

    def report_all(self) -> None:
        """Report the progress of every request."""
        for state in self._state_by_id.values():
            self._report(state)

    def _is_current(self, entry: tuple[int, int, RequestState]) -> bool:
        _, number, state = entry
        request_id = state.request.request_id
        member = self._state_by_id.get(request_id) is state
        return member and number == state.finish_entry

    def _finished(self) -> list[RequestState]:
        found = []
        while self._finishes and self._finishes[0][0] <= self._steps:
            entry = heappop(self._finishes)
            if self._is_current(entry):
                found.append(entry[2])
        return found

    def _report(self, state: RequestState) -> None:
        count = self._steps - state.settled_step
        if not count:
            return
        runs = tuple(self._log[state.log_index :])
        event = TokensProduced(
            state.request.request_id,
            state.produced,
            count,
            runs,
            not state.started,
        )
        self._events.append(event)
        state.started = True
        state.settled_step = self._steps
        state.log_index = len(self._log)
        state.produced += count
        state.computed += count
        state.kv_tokens += count

    def _clear_log(self) -> None:
        self.report_all()
        self._log.clear()
        for state in self._state_by_id.values():
            state.log_index = 0
