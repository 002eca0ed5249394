"""Acceptance of texts under every interleaving of two operators, faults and a reader.

Each invariant is also shown to catch a protocol that was broken on purpose.
"""

from collections.abc import Callable
from typing import Any

import pytest

from wigeonwind.checking.explorer import Exploration, Fault, explore
from wigeonwind.outcomes import Ok
from wigeonwind.state import configuration_chunks, configuration_head
from wigeonwind.state.configuration_head import (
    CHUNK_PREFIX,
    HEAD_KEY,
    Head,
    build_stored_configuration,
    decode_head,
)
from wigeonwind.state.configuration_replica import ConfigurationReplica
from wigeonwind.state.configuration_sections import split_configuration
from wigeonwind.state.configuration_store import (
    Accepted,
    FetchedConfiguration,
    SubmitConflict,
    SubmitUnavailable,
    fetch_steps,
    submit_steps,
)
from wigeonwind.state.memory_store import MemoryStore
from wigeonwind.state.store_steps import (
    GetCall,
    PauseCall,
    PutCall,
    Steps,
    perform,
)
from wigeonwind.state.store_types import Conflict, StoreFailure

BASE = """\
[service s]
kind = plain
classes = a
[class a]
priority = 0
target = whole 2s
max_wait = 2s
"""
TEXT_BY_OPERATOR = {
    "anna": BASE.replace("priority = 0", "priority = 1"),
    "bela": BASE.replace("priority = 0", "priority = 2"),
}
Submit = Callable[[int, str, Any], Steps[Any]]
Offer = Callable[[ConfigurationReplica, int, str], Any]


def without_pauses(steps: Steps[Any]) -> Steps[Any]:
    """Leave out pauses: any delay between two calls is explored anyway."""
    result: Any = None
    while True:
        try:
            call = steps.send(result)
        except StopIteration as stop:
            return stop.value
        result = None if isinstance(call, PauseCall) else (yield call)


class Acceptance:
    """Two operators edit version 1 while a process follows the head."""

    def __init__(
        self,
        submit: Submit = submit_steps,
        offer: Offer = ConfigurationReplica.offer,
        reads: int = 0,
        resubmits: bool = False,
    ) -> None:
        self.store = MemoryStore()
        self.keeper = ConfigurationReplica(lambda message: None)
        self.submit = submit
        self.offer = offer
        self.reads = reads
        self.resubmits = resubmits
        self.result_by_operator: dict[str, Any] = {}
        self.in_force = 0
        first = build_stored_configuration(
            split_configuration(BASE).sections,
            Head(version=0, submission_id="", digest=""),
            "0",
        )
        for digest, part in first.chunk_by_digest.items():
            self.store.put(CHUNK_PREFIX + digest, part.source.encode(), 0)
        self.store.put(HEAD_KEY, first.head.encode(), 0)
        self.keeper.offer(1, BASE)

    def processes(self) -> dict[str, Any]:
        running = {name: self._operator(name) for name in TEXT_BY_OPERATOR}
        return {**running, "reader": self._reader()} if self.reads else running

    def _operator(self, name: str) -> Steps[Any]:
        """Submit, and submit the same id again if the outcome is unknown."""
        sections = split_configuration(TEXT_BY_OPERATOR[name]).sections
        result = yield from without_pauses(self.submit(1, name, sections))
        if isinstance(result, SubmitUnavailable) or self.resubmits:
            result = yield from without_pauses(self.submit(1, name, sections))
        return result

    def _reader(self) -> Steps[Any]:
        for _ in range(self.reads):
            fetched = yield from without_pauses(fetch_steps(0, dict))
            if isinstance(fetched, FetchedConfiguration):
                self.offer(self.keeper, fetched.version, fetched.source)
        # An old answer that was delayed arrives last.
        self.offer(self.keeper, 1, BASE)

    def perform(self, process: str, call: Any) -> Any:
        return perform(self.store, call)

    def no_answer(self, call: Any) -> StoreFailure:
        return StoreFailure("no answer", isinstance(call, PutCall))

    def faults_of(self, call: Any) -> tuple[Fault, ...]:
        if isinstance(call, PutCall):
            return (Fault.CRASH, Fault.LOST_CALL, Fault.LOST_ANSWER, Fault.LATE_CALL)
        return (Fault.CRASH,)

    def ended(self, process: str, result: Any) -> None:
        self.result_by_operator[process] = result

    def check(self) -> str:
        written = self.store.value_by_key_version
        heads = [
            (version, decode_head(value, version))
            for (key, version), values in written.items()
            if key == HEAD_KEY
            for value in values
        ]
        versions = [version for version, _ in heads]
        if len(set(versions)) < len(versions):
            return "two texts under one version"
        ids = [head.submission_id for _, head in heads if head]
        if len(set(ids)) < len(ids):
            return "one submission was written twice"
        named = [
            CHUNK_PREFIX + part for _, head in heads if head for part in head.parts
        ]
        if any(self.store.version_of(key) == 0 for key in named):
            return "a head names a part that is missing"
        return self._check_results(ids) or self._check_keeper()

    def _check_results(self, ids: list[str]) -> str:
        results = {
            name: result
            for name, result in self.result_by_operator.items()
            if isinstance(result, Accepted)
        }
        if any(name not in ids for name in results):
            return "an operator was told of an acceptance that did not happen"
        if len(results) > 1:
            return "two operators won the same version"
        for name, result in self.result_by_operator.items():
            if name in ids and isinstance(result, SubmitConflict):
                return "an operator was told that its accepted text lost"
        return ""

    def _check_keeper(self) -> str:
        before, self.in_force = self.in_force, self.keeper.version
        if self.keeper.version < before:
            return "an accepted text was reverted"
        return ""


FAULTS = {Fault.CRASH: 1, Fault.LOST_ANSWER: 1}
MAX_RUNS = 20_000


def explored(model: Callable[[], Acceptance], faults: dict[Fault, int]) -> Exploration:
    return explore(model, faults, MAX_RUNS)


@pytest.mark.parametrize(
    "faults",
    [
        FAULTS,
        {Fault.LATE_CALL: 1, Fault.CRASH: 1},
        {Fault.LOST_CALL: 1, Fault.LOST_ANSWER: 1},
        {Fault.LATE_CALL: 1, Fault.LOST_ANSWER: 1},
    ],
)
def test_one_operator_wins_and_both_learn_the_truth(faults: dict[Fault, int]):
    result = explored(Acceptance, faults)
    assert result.violation is None
    assert result.is_complete
    assert result.runs >= 100


def test_parts_are_there_before_the_head_that_names_them(monkeypatch):
    monkeypatch.setattr(configuration_head, "MAX_INLINE_BYTES", 10)
    result = explored(Acceptance, FAULTS)
    assert result.violation is None
    assert result.is_complete
    broken = explored(lambda: Acceptance(head_first), {})
    assert broken.violation is not None
    assert broken.violation.message == "a head names a part that is missing"


def test_a_resubmission_is_never_written_twice():
    result = explored(lambda: Acceptance(resubmits=True), {Fault.LOST_ANSWER: 1})
    assert result.violation is None
    assert result.is_complete


class Restoring(Acceptance):
    """One operator retires a part at once, the other restores it at that moment."""

    def _operator(self, name: str) -> Steps[Any]:
        if name == "anna":
            sections = split_configuration(TEXT_BY_OPERATOR["anna"]).sections
            return (yield from without_pauses(submit_steps(1, name, sections)))
        head = yield GetCall(HEAD_KEY)
        if not isinstance(head, Ok) or head.value.version != 2:
            return None
        sections = split_configuration(BASE).sections
        return (yield from without_pauses(self.submit(2, name, sections)))

    def _check_results(self, ids: list[str]) -> str:
        return ""

    def check(self) -> str:
        stored = self.store.object_by_key[HEAD_KEY]
        head = decode_head(stored.value, stored.version)
        assert head is not None
        gone = [p for p in head.parts if self.store.version_of(CHUNK_PREFIX + p) == 0]
        return "a head names a part that is missing" if gone else ""

    def faults_of(self, call: Any) -> tuple[Fault, ...]:
        return (Fault.CRASH, Fault.LOST_ANSWER, Fault.LATE_CALL)


def untouched(base: int, submission: str, sections: Any) -> Steps[Any]:
    """Take a part that exists for safe, without writing it anew."""
    steps = submit_steps(base, submission, sections)
    result: Any = None
    while True:
        try:
            call = steps.send(result)
        except StopIteration as stop:
            return stop.value
        result = yield call
        if isinstance(result, Conflict) and call.key != HEAD_KEY:
            result = Ok(result.version)


def test_a_part_in_use_is_never_deleted(monkeypatch):
    monkeypatch.setattr(configuration_head, "MAX_INLINE_BYTES", 10)
    monkeypatch.setattr(configuration_chunks, "MEAN_SECTIONS_PER_CHUNK", 1)
    monkeypatch.setattr(configuration_head, "CHUNK_RETENTION_VERSIONS", 0)
    for fault in (Fault.CRASH, Fault.LOST_ANSWER, Fault.LATE_CALL):
        result = explored(Restoring, {fault: 1})
        assert result.violation is None, fault
        assert result.is_complete
    broken = explored(lambda: Restoring(untouched), {})
    assert broken.violation is not None


def test_a_process_that_follows_never_goes_back():
    result = explored(lambda: Acceptance(reads=2), {Fault.CRASH: 1})
    assert result.violation is None
    assert result.is_complete


def unconditional(base: int, submission: str, sections: Any) -> Steps[Any]:
    """Write against whatever version is there."""
    current = yield GetCall(HEAD_KEY)
    head = decode_head(current.value.value, current.value.version)
    assert head is not None
    stored = build_stored_configuration(sections, head, submission)
    result = yield PutCall(HEAD_KEY, stored.head.encode(), head.version)
    return Accepted(result.value) if isinstance(result, Ok) else result


def trusting(base: int, submission: str, sections: Any) -> Steps[Any]:
    """Take a lost answer for success."""
    result = yield from unconditional(base, submission, sections)
    return Accepted(base + 1) if isinstance(result, StoreFailure) else result


def pessimistic(base: int, submission: str, sections: Any) -> Steps[Any]:
    """Take a lost answer for a failure."""
    result = yield from unconditional(base, submission, sections)
    return SubmitConflict(base, "") if isinstance(result, StoreFailure) else result


def head_first(base: int, submission: str, sections: Any) -> Steps[Any]:
    """Write the head before its parts."""
    steps = submit_steps(base, submission, sections)
    delayed = []
    result: Any = None
    while True:
        try:
            call = steps.send(result)
        except StopIteration as stop:
            yield from delayed
            return stop.value
        if isinstance(call, PutCall) and call.key != HEAD_KEY:
            delayed.append(call)
            result = Ok(1)
        else:
            result = yield call


def test_a_write_without_the_edited_version_is_caught():
    result = explored(lambda: Acceptance(unconditional), {})
    assert result.violation is not None
    assert result.violation.message == "two operators won the same version"


def test_a_lost_answer_taken_for_success_is_caught():
    result = explored(lambda: Acceptance(trusting), {Fault.LOST_CALL: 1})
    assert result.violation is not None
    assert "did not happen" in result.violation.message


def test_a_lost_answer_taken_for_failure_is_caught():
    result = explored(lambda: Acceptance(pessimistic), {Fault.LOST_ANSWER: 1})
    assert result.violation is not None
    assert "its accepted text lost" in result.violation.message


def test_a_resubmission_that_is_not_recognised_is_caught():
    model = lambda: Acceptance(unconditional, resubmits=True)  # noqa: E731
    result = explored(model, {})
    assert result.violation is not None
    assert result.violation.message == "one submission was written twice"


def test_a_store_that_ignores_versions_is_caught():
    class Careless(Acceptance):
        def perform(self, process: str, call: Any) -> Any:
            if isinstance(call, PutCall):
                # Two heads of version 2 overwrite each other.
                self.store.object_by_key.pop(call.key, None)
                key = (call.key, call.if_version + 1)
                self.store.value_by_key_version.setdefault(key, []).append(call.value)
                return Ok(call.if_version + 1)
            return super().perform(process, call)

    result = explored(Careless, {})
    assert result.violation is not None
    assert result.violation.message == "two texts under one version"


def test_a_keeper_that_takes_any_version_is_caught():
    def offer(keeper: ConfigurationReplica, version: int, source: str) -> None:
        keeper._adopt(version, keeper.check(source, version))

    result = explored(lambda: Acceptance(offer=offer, reads=2), {})
    assert result.violation is not None
    assert result.violation.message == "an accepted text was reverted"
