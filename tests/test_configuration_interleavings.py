"""Submissions of two operators and a reader under every interleaving and fault.

For each invariant, a deliberately broken protocol shows that the check detects it.
"""

from collections.abc import Callable
from typing import Any

import pytest

from wigeonwind.checking.explorer import CallFault, Exploration, explore
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
SOURCE_BY_OPERATOR = {
    "anna": BASE.replace("priority = 0", "priority = 1"),
    "bela": BASE.replace("priority = 0", "priority = 2"),
}
Submit = Callable[[int, str, Any], Steps[Any]]
Offer = Callable[[ConfigurationReplica, int, str], Any]


def without_pauses(steps: Steps[Any]) -> Steps[Any]:
    """Skip pauses, as the explorer covers any delay between two calls anyway."""
    result: Any = None
    while True:
        try:
            call = steps.send(result)
        except StopIteration as stop:
            return stop.value
        result = None if isinstance(call, PauseCall) else (yield call)


class SubmissionModel:
    """Model of two operators who edit version 1 while a process reads the head.

    The reader fetches `reads` times. With `resubmits`, each operator submits twice.
    `submit` and `offer` are replaced by broken ones to test the invariants.
    """

    def __init__(
        self,
        submit: Submit = submit_steps,
        offer: Offer = ConfigurationReplica.offer,
        reads: int = 0,
        resubmits: bool = False,
    ) -> None:
        self.store = MemoryStore()
        self.replica = ConfigurationReplica(lambda message: None)
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
        for digest, chunk in first.chunk_by_digest.items():
            self.store.put(CHUNK_PREFIX + digest, chunk.source.encode(), 0)
        self.store.put(HEAD_KEY, first.head.encode(), 0)
        self.replica.offer(1, BASE)

    def processes(self) -> dict[str, Any]:
        running = {name: self._operator(name) for name in SOURCE_BY_OPERATOR}
        return {**running, "reader": self._reader()} if self.reads else running

    def _operator(self, name: str) -> Steps[Any]:
        """Submit, and submit the same id again if the outcome is unknown."""
        sections = split_configuration(SOURCE_BY_OPERATOR[name]).sections
        result = yield from without_pauses(self.submit(1, name, sections))
        if isinstance(result, SubmitUnavailable) or self.resubmits:
            result = yield from without_pauses(self.submit(1, name, sections))
        return result

    def _reader(self) -> Steps[Any]:
        for _ in range(self.reads):
            fetched = yield from without_pauses(fetch_steps(0, dict))
            if isinstance(fetched, FetchedConfiguration):
                self.offer(self.replica, fetched.version, fetched.source)
        # A delayed response with the old version arrives last.
        self.offer(self.replica, 1, BASE)

    def perform(self, process: str, call: Any) -> Any:
        return perform(self.store, call)

    def result_without_response(self, call: Any) -> StoreFailure:
        return StoreFailure("no response", isinstance(call, PutCall))

    def possible_faults(self, call: Any) -> tuple[CallFault, ...]:
        if isinstance(call, PutCall):
            return (
                CallFault.CRASH,
                CallFault.LOST_CALL,
                CallFault.LOST_RESPONSE,
                CallFault.LATE_CALL,
            )
        return (CallFault.CRASH,)

    def record_result(self, process: str, result: Any) -> None:
        self.result_by_operator[process] = result

    def check_invariants(self) -> str:
        written = self.store.value_by_key_version
        heads = [
            (version, decode_head(value, version))
            for (key, version), values in written.items()
            if key == HEAD_KEY
            for value in values
        ]
        versions = [version for version, _ in heads]
        if len(set(versions)) < len(versions):
            return "two configurations under one version"
        ids = [head.submission_id for _, head in heads if head]
        if len(set(ids)) < len(ids):
            return "one submission was written twice"
        listed_keys = [
            CHUNK_PREFIX + digest for _, head in heads if head for digest in head.parts
        ]
        if any(self.store.version_of(key) == 0 for key in listed_keys):
            return "a head lists a chunk that is missing"
        return self._check_results(ids) or self._check_replica()

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
                return "an operator was told that its accepted submission lost"
        return ""

    def _check_replica(self) -> str:
        before, self.in_force = self.in_force, self.replica.version
        if self.replica.version < before:
            return "an accepted configuration was reverted"
        return ""


FAULTS = {CallFault.CRASH: 1, CallFault.LOST_RESPONSE: 1}
MAX_RUNS = 20_000


def explored(
    model: Callable[[], SubmissionModel], faults: dict[CallFault, int]
) -> Exploration:
    return explore(model, faults, MAX_RUNS)


@pytest.mark.parametrize(
    "faults",
    [
        FAULTS,
        {CallFault.LATE_CALL: 1, CallFault.CRASH: 1},
        {CallFault.LOST_CALL: 1, CallFault.LOST_RESPONSE: 1},
        {CallFault.LATE_CALL: 1, CallFault.LOST_RESPONSE: 1},
    ],
)
def test_one_operator_wins_and_both_get_the_true_result(faults: dict[CallFault, int]):
    result = explored(SubmissionModel, faults)
    assert result.violation is None
    assert result.is_complete
    assert result.runs >= 100


def test_chunks_are_written_before_the_head_that_lists_them(monkeypatch):
    monkeypatch.setattr(configuration_head, "MAX_INLINE_BYTES", 10)
    result = explored(SubmissionModel, FAULTS)
    assert result.violation is None
    assert result.is_complete
    broken = explored(lambda: SubmissionModel(write_head_first), {})
    assert broken.violation is not None
    assert broken.violation.message == "a head lists a chunk that is missing"


def test_a_resubmission_is_never_written_twice():
    result = explored(
        lambda: SubmissionModel(resubmits=True), {CallFault.LOST_RESPONSE: 1}
    )
    assert result.violation is None
    assert result.is_complete


class RetireAndRestore(SubmissionModel):
    """One operator retires a chunk while the other restores it."""

    def _operator(self, name: str) -> Steps[Any]:
        if name == "anna":
            sections = split_configuration(SOURCE_BY_OPERATOR["anna"]).sections
            return (yield from without_pauses(submit_steps(1, name, sections)))
        head = yield GetCall(HEAD_KEY)
        if not isinstance(head, Ok) or head.value.version != 2:
            return None
        sections = split_configuration(BASE).sections
        return (yield from without_pauses(self.submit(2, name, sections)))

    def _check_results(self, ids: list[str]) -> str:
        return ""

    def check_invariants(self) -> str:
        stored = self.store.object_by_key[HEAD_KEY]
        head = decode_head(stored.value, stored.version)
        assert head is not None
        missing = [
            digest
            for digest in head.parts
            if self.store.version_of(CHUNK_PREFIX + digest) == 0
        ]
        return "a head lists a chunk that is missing" if missing else ""

    def possible_faults(self, call: Any) -> tuple[CallFault, ...]:
        return (CallFault.CRASH, CallFault.LOST_RESPONSE, CallFault.LATE_CALL)


def trust_existing_chunk(base: int, submission: str, sections: Any) -> Steps[Any]:
    """Rely on an existing chunk without rewriting it."""
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


def test_a_chunk_in_use_is_never_deleted(monkeypatch):
    monkeypatch.setattr(configuration_head, "MAX_INLINE_BYTES", 10)
    monkeypatch.setattr(configuration_chunks, "MEAN_SECTIONS_PER_CHUNK", 1)
    monkeypatch.setattr(configuration_head, "CHUNK_RETENTION_VERSIONS", 0)
    for fault in (CallFault.CRASH, CallFault.LOST_RESPONSE, CallFault.LATE_CALL):
        result = explored(RetireAndRestore, {fault: 1})
        assert result.violation is None, fault
        assert result.is_complete
    broken = explored(lambda: RetireAndRestore(trust_existing_chunk), {})
    assert broken.violation is not None


def test_a_replica_never_reverts_to_an_older_version():
    result = explored(lambda: SubmissionModel(reads=2), {CallFault.CRASH: 1})
    assert result.violation is None
    assert result.is_complete


def write_unconditionally(base: int, submission: str, sections: Any) -> Steps[Any]:
    """Write against the stored version, whichever it is."""
    current = yield GetCall(HEAD_KEY)
    head = decode_head(current.value.value, current.value.version)
    assert head is not None
    stored = build_stored_configuration(sections, head, submission)
    result = yield PutCall(HEAD_KEY, stored.head.encode(), head.version)
    return Accepted(result.value) if isinstance(result, Ok) else result


def assume_success(base: int, submission: str, sections: Any) -> Steps[Any]:
    """Treat a lost response as success."""
    result = yield from write_unconditionally(base, submission, sections)
    return Accepted(base + 1) if isinstance(result, StoreFailure) else result


def assume_failure(base: int, submission: str, sections: Any) -> Steps[Any]:
    """Treat a lost response as a failure."""
    result = yield from write_unconditionally(base, submission, sections)
    return SubmitConflict(base, "") if isinstance(result, StoreFailure) else result


def write_head_first(base: int, submission: str, sections: Any) -> Steps[Any]:
    """Write the head before its chunks."""
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


def test_an_unconditional_write_is_detected():
    result = explored(lambda: SubmissionModel(write_unconditionally), {})
    assert result.violation is not None
    assert result.violation.message == "two operators won the same version"


def test_a_lost_response_treated_as_success_is_detected():
    result = explored(lambda: SubmissionModel(assume_success), {CallFault.LOST_CALL: 1})
    assert result.violation is not None
    assert "did not happen" in result.violation.message


def test_a_lost_response_treated_as_failure_is_detected():
    result = explored(
        lambda: SubmissionModel(assume_failure), {CallFault.LOST_RESPONSE: 1}
    )
    assert result.violation is not None
    assert "its accepted submission lost" in result.violation.message


def test_a_resubmission_that_is_not_recognised_is_detected():
    model = lambda: SubmissionModel(write_unconditionally, resubmits=True)  # noqa: E731
    result = explored(model, {})
    assert result.violation is not None
    assert result.violation.message == "one submission was written twice"


def test_a_store_that_ignores_versions_is_detected():
    class IgnoresVersions(SubmissionModel):
        def perform(self, process: str, call: Any) -> Any:
            if isinstance(call, PutCall):
                # Two heads of version 2 overwrite each other.
                self.store.object_by_key.pop(call.key, None)
                key = (call.key, call.if_version + 1)
                self.store.value_by_key_version.setdefault(key, []).append(call.value)
                return Ok(call.if_version + 1)
            return super().perform(process, call)

    result = explored(IgnoresVersions, {})
    assert result.violation is not None
    assert result.violation.message == "two configurations under one version"


def test_a_replica_that_accepts_any_version_is_detected():
    def offer(replica: ConfigurationReplica, version: int, source: str) -> None:
        replica._adopt(version, replica.check(source, version))

    result = explored(lambda: SubmissionModel(offer=offer, reads=2), {})
    assert result.violation is not None
    assert result.violation.message == "an accepted configuration was reverted"
