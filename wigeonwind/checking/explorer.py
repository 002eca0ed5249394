"""Bounded exhaustive exploration of interleavings and faults of small processes.

A process is a generator that yields calls and receives their results. At each step the
explorer chooses the process to resume and the fault that affects its call. It replays
the model from its initial state for each sequence of choices (depth first), so models
need not be copied, and the order of runs is deterministic.

If `explore` gets a function that returns the state of a model, it ends runs at states
that it has visited before. The state of a process is the sequence of results that it
received.
"""

from collections.abc import Callable, Generator, Hashable, Iterator, Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import Any, Protocol

Process = Generator[Any, Any, Any]


class CallFault(Enum):
    """What happens to one call of a process."""

    NONE = "runs"
    CRASH = "crashes"
    """The process ends before it makes the call."""
    LOST_CALL = "loses its call"
    """The call has no effect, and no response arrives."""
    LOST_RESPONSE = "loses its answer"
    """The call takes effect, and its response is lost."""
    LATE_CALL = "has its call delayed"
    """No response arrives, and the call takes effect at any later time."""


class Model(Protocol):
    """The interface of a system that the explorer runs."""

    def processes(self) -> Mapping[str, Process]:
        """Return new processes by name."""
        ...

    def perform(self, process: str, call: Any) -> Any:
        """Apply the effect of a call and return its result."""
        ...

    def result_without_response(self, call: Any) -> Any:
        """Return the result that a process receives when no response arrives."""
        ...

    def possible_faults(self, call: Any) -> tuple[CallFault, ...]:
        """Return the faults that can affect this call."""
        ...

    def record_result(self, process: str, result: Any) -> None:
        """Store the result of a process that ended."""
        ...

    def check_invariants(self) -> str:
        """Return a description of a broken invariant, empty if there is none."""
        ...


@dataclass(frozen=True)
class Violation:
    """A broken invariant and the steps that led to it."""

    message: str
    steps: tuple[str, ...]


@dataclass(frozen=True)
class Exploration:
    """Size and outcome of an exploration; `violation` is the first one found.

    `steps` is the sum over all runs.
    """

    runs: int
    steps: int
    is_complete: bool
    violation: Violation | None = None


@dataclass
class _Chooser:
    """Replays a sequence of choices, then always takes the first option."""

    prefix: list[int]
    choices: list[int] = field(default_factory=list)
    option_counts: list[int] = field(default_factory=list)

    def choose(self, count: int) -> int:
        """Return the next choice out of `count`."""
        index = len(self.choices)
        choice = self.prefix[index] if index < len(self.prefix) else 0
        self.choices.append(choice)
        self.option_counts.append(count)
        return choice

    def next_prefix(self) -> list[int] | None:
        """Return the next sequence in depth-first order, None after the last."""
        for index in range(len(self.choices) - 1, -1, -1):
            if self.choices[index] + 1 < self.option_counts[index]:
                return [*self.choices[:index], self.choices[index] + 1]
        return None


@dataclass(frozen=True)
class _Transition:
    """One possible step: a call with a fault or none, or a delayed call's effect."""

    process: str
    fault: CallFault
    late_call_index: int = -1


class _Run:
    """One run of the model under one sequence of choices."""

    def __init__(self, model: Model, fault_budget: Mapping[CallFault, int]) -> None:
        self._model = model
        self._remaining_faults = dict(fault_budget)
        self._process_by_name = dict(model.processes())
        self._call_by_name: dict[str, Any] = {}
        self._late_calls: list[tuple[str, Any]] = []
        self._results_by_process: dict[str, list[str]] = {}
        self.trace: list[str] = []
        for name in list(self._process_by_name):
            self._resume(name, None)

    def transitions(self) -> list[_Transition]:
        """Return all transitions possible now, in a fixed order."""
        return list(self._iter_transitions())

    def _iter_transitions(self) -> Iterator[_Transition]:
        for name, call in self._call_by_name.items():
            yield _Transition(name, CallFault.NONE)
            for fault in self._model.possible_faults(call):
                if self._remaining_faults.get(fault, 0) > 0:
                    yield _Transition(name, fault)
        for index, (name, _) in enumerate(self._late_calls):
            yield _Transition(name, CallFault.NONE, index)

    def apply(self, transition: _Transition) -> None:
        """Apply a transition and add it to the trace."""
        if transition.late_call_index >= 0:
            name, call = self._late_calls.pop(transition.late_call_index)
            self.trace.append(f"{name}: delayed {_describe_call(call)} takes effect")
            self._model.perform(name, call)
            return
        call = self._call_by_name.pop(transition.process)
        self.trace.append(
            f"{transition.process}: {_describe_call(call)} {transition.fault.value}"
        )
        if transition.fault is not CallFault.NONE:
            self._remaining_faults[transition.fault] -= 1
        self._perform_call(transition.process, call, transition.fault)

    def _perform_call(self, name: str, call: Any, fault: CallFault) -> None:
        if fault is CallFault.CRASH:
            self._process_by_name.pop(name).close()
            self._results_by_process[name] = [fault.value]
            return
        result = None
        if fault in (CallFault.NONE, CallFault.LOST_RESPONSE):
            result = self._model.perform(name, call)
        if fault is CallFault.LATE_CALL:
            self._late_calls.append((name, call))
        if fault is not CallFault.NONE:
            result = self._model.result_without_response(call)
        self._resume(name, result)

    def _resume(self, name: str, result: Any) -> None:
        """Resume a process until its next call or its end."""
        self._results_by_process.setdefault(name, []).append(repr(result))
        try:
            self._call_by_name[name] = self._process_by_name[name].send(result)
        except StopIteration as stop:
            del self._process_by_name[name]
            self._results_by_process[name] = [f"ended {stop.value!r}"]
            self._model.record_result(name, stop.value)

    def state(self, model_state: Hashable) -> Hashable:
        """Return the state that determines all further transitions."""
        received = [
            (name, tuple(results)) for name, results in self._results_by_process.items()
        ]
        late = sorted(repr(late) for late in self._late_calls)
        return (
            tuple(received),
            tuple(late),
            tuple(self._remaining_faults.items()),
            model_state,
        )

    def check_invariants(self) -> str:
        """Return a description of a broken invariant, empty if there is none."""
        return self._model.check_invariants()

    def close(self) -> None:
        """Close the remaining processes."""
        for process in self._process_by_name.values():
            process.close()


def explore(
    make_model: Callable[[], Model],
    fault_budget: Mapping[CallFault, int],
    max_runs: int,
    max_steps: int = 200,
    state_of: Callable[[Any], Hashable] | None = None,
) -> Exploration:
    """Run the model under all sequences of choices until an invariant breaks.

    `fault_budget` limits how often each fault occurs in one run. `max_runs`, and
    `max_steps` per run, bound the search; the result says whether it was complete.
    `state_of` returns the state of a model apart from that of its processes.
    """
    seen_states: set[Hashable] = set()
    prefix: list[int] | None = []
    runs = steps = 0
    cut_off = False
    while prefix is not None:
        if runs >= max_runs:
            return Exploration(runs, steps, is_complete=False)
        chooser = _Chooser(prefix)
        model = make_model()
        run = _Run(model, fault_budget)

        def is_new(run: _Run = run, model: Model = model) -> bool:
            return state_of is None or _add_state(
                seen_states, run.state(state_of(model))
            )

        message, ended = _run_once(run, chooser, max_steps, is_new)
        runs += 1
        steps += len(run.trace)
        cut_off = cut_off or not ended
        if message:
            violation = Violation(message, tuple(run.trace))
            return Exploration(runs, steps, False, violation)
        prefix = chooser.next_prefix()
    return Exploration(runs, steps, is_complete=not cut_off)


def _add_state(seen_states: set[Hashable], state: Hashable) -> bool:
    """Add a state to those visited; return whether it is new."""
    count = len(seen_states)
    # Store only the hash, as a whole state takes several kilobytes.
    seen_states.add(hash(state))
    return len(seen_states) > count


def _run_once(
    run: _Run, chooser: _Chooser, max_steps: int, is_new: Callable[[], bool]
) -> tuple[str, bool]:
    """Run to the end or to a state visited before.

    Return the broken invariant, empty if there is none, and whether the run ended
    within `max_steps`.
    """
    try:
        while transitions := run.transitions():
            if len(run.trace) >= max_steps:
                return "", False
            run.apply(transitions[chooser.choose(len(transitions))])
            message = run.check_invariants()
            if message:
                return message, True
            # Replayed steps lead to states that the previous run has visited.
            if len(chooser.choices) >= len(chooser.prefix) and not is_new():
                return "", True
        return "", True
    finally:
        run.close()


def _describe_call(call: Any) -> str:
    """Return a short description of a call for the trace."""
    key = getattr(call, "key", "")
    return f"{type(call).__name__} {key}".strip()
