"""Explores all interleavings of small processes with faults, within bounds.

A process is a generator that yields calls and is sent their results. At each step the
explorer chooses which process goes on and which fault its call meets. It runs the
model again from the start for each sequence of choices (depth first), so a model needs
no copying, and the order of runs is always the same.

A model that can describe its own state lets the explorer leave out what follows from a
state that it has met before. The state of a process is what it was sent so far.
"""

from collections.abc import Callable, Generator, Hashable, Iterator, Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import Any, Protocol

Process = Generator[Any, Any, Any]


class Fault(Enum):
    """What can happen to one call of a process."""

    NONE = "runs"
    CRASH = "crashes"
    """The process ends before its call."""
    LOST_CALL = "loses its call"
    """The call has no effect and no answer."""
    LOST_ANSWER = "loses its answer"
    """The call takes effect, and its answer is lost."""
    LATE_CALL = "has its call delayed"
    """No answer arrives, and the call takes effect at any later time."""


class Model(Protocol):
    """What the explorer needs to know of the system that it explores."""

    def processes(self) -> Mapping[str, Process]:
        """Return the processes, freshly started."""
        ...

    def perform(self, process: str, call: Any) -> Any:
        """Let a call take effect and return its result."""
        ...

    def result_without_answer(self, call: Any) -> Any:
        """Return what a process is sent when it gets no answer."""
        ...

    def possible_faults(self, call: Any) -> tuple[Fault, ...]:
        """Return the faults that this call can meet."""
        ...

    def record_result(self, process: str, result: Any) -> None:
        """Note the result of a process."""
        ...

    def check_invariants(self) -> str:
        """Return which invariant is broken now, empty if none is."""
        ...


@dataclass(frozen=True)
class Violation:
    """A broken invariant and the steps that led to it."""

    message: str
    steps: tuple[str, ...]


@dataclass(frozen=True)
class Exploration:
    """How much was explored; `violation` is the first one met."""

    runs: int
    steps: int
    is_complete: bool
    violation: Violation | None = None


@dataclass
class _Chooser:
    """Replays a sequence of choices and then takes the first option each time."""

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
    """One possible step: a process meets a fault, or a delayed call takes effect."""

    process: str
    fault: Fault
    late_call_index: int = -1


class _Run:
    """One run of the model under one sequence of choices."""

    def __init__(self, model: Model, fault_budget: Mapping[Fault, int]) -> None:
        self._model = model
        self._remaining_faults = dict(fault_budget)
        self._process_by_name = dict(model.processes())
        self._call_by_name: dict[str, Any] = {}
        self._late_calls: list[tuple[str, Any]] = []
        self._received_by_name: dict[str, list[str]] = {}
        self.trace: list[str] = []
        for name in list(self._process_by_name):
            self._send(name, None)

    def transitions(self) -> list[_Transition]:
        """Return all steps possible now, in a fixed order."""
        return list(self._iter_transitions())

    def _iter_transitions(self) -> Iterator[_Transition]:
        for name, call in self._call_by_name.items():
            yield _Transition(name, Fault.NONE)
            for fault in self._model.possible_faults(call):
                if self._remaining_faults.get(fault, 0) > 0:
                    yield _Transition(name, fault)
        for index, (name, _) in enumerate(self._late_calls):
            yield _Transition(name, Fault.NONE, index)

    def apply(self, transition: _Transition) -> None:
        """Take one step."""
        if transition.late_call_index >= 0:
            name, call = self._late_calls.pop(transition.late_call_index)
            self.trace.append(f"{name}: delayed {_describe_call(call)} takes effect")
            self._model.perform(name, call)
            return
        call = self._call_by_name.pop(transition.process)
        self.trace.append(
            f"{transition.process}: {_describe_call(call)} {transition.fault.value}"
        )
        if transition.fault is not Fault.NONE:
            self._remaining_faults[transition.fault] -= 1
        self._apply_fault(transition.process, call, transition.fault)

    def _apply_fault(self, name: str, call: Any, fault: Fault) -> None:
        if fault is Fault.CRASH:
            self._process_by_name.pop(name).close()
            self._received_by_name[name] = [fault.value]
            return
        result = None
        if fault in (Fault.NONE, Fault.LOST_ANSWER):
            result = self._model.perform(name, call)
        if fault is Fault.LATE_CALL:
            self._late_calls.append((name, call))
        if fault is not Fault.NONE:
            result = self._model.result_without_answer(call)
        self._send(name, result)

    def _send(self, name: str, result: Any) -> None:
        """Let a process go on to its next call or its end."""
        self._received_by_name.setdefault(name, []).append(repr(result))
        try:
            self._call_by_name[name] = self._process_by_name[name].send(result)
        except StopIteration as stop:
            del self._process_by_name[name]
            self._received_by_name[name] = [f"ended {stop.value!r}"]
            self._model.record_result(name, stop.value)

    def state(self, model_state: Hashable) -> Hashable:
        """Return all that decides what can follow."""
        received = [
            (name, tuple(results)) for name, results in self._received_by_name.items()
        ]
        late = sorted(repr(late) for late in self._late_calls)
        return (
            tuple(received),
            tuple(late),
            tuple(self._remaining_faults.items()),
            model_state,
        )

    def check_invariants(self) -> str:
        """Return which invariant is broken now, empty if none is."""
        return self._model.check_invariants()

    def close(self) -> None:
        """End processes that are left."""
        for process in self._process_by_name.values():
            process.close()


def explore(
    make_model: Callable[[], Model],
    fault_budget: Mapping[Fault, int],
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
    count = len(seen_states)
    # Only the hash is kept: a whole state is some kilobytes.
    seen_states.add(hash(state))
    return len(seen_states) > count


def _run_once(
    run: _Run, chooser: _Chooser, max_steps: int, is_new: Callable[[], bool]
) -> tuple[str, bool]:
    """Run to the end or to a state met before.

    Return the broken invariant and whether such an end was reached.
    """
    try:
        while transitions := run.transitions():
            if len(run.trace) >= max_steps:
                return "", False
            run.apply(transitions[chooser.choose(len(transitions))])
            message = run.check_invariants()
            if message:
                return message, True
            # Steps that repeat the run before lead to states that it has met.
            if len(chooser.choices) >= len(chooser.prefix) and not is_new():
                return "", True
        return "", True
    finally:
        run.close()


def _describe_call(call: Any) -> str:
    """Return a call in few words for the list of steps."""
    key = getattr(call, "key", "")
    return f"{type(call).__name__} {key}".strip()
