"""Bookings under every interleaving of two requests, faults, late copies and restarts.

For each invariant, a deliberately broken system shows that the check detects it.
"""

from dataclasses import replace
from typing import Any

import pytest

from wigeonwind.checking.booking_model import (
    Advance,
    BookingModel,
    Collect,
    Deliver,
    Restart,
)
from wigeonwind.checking.explorer import CallFault, Exploration, explore
from wigeonwind.side.claim_registry import RESPONSE_RETENTION_MS, TOKEN_RETENTION_MS
from wigeonwind.state import bookings
from wigeonwind.state.booking_steps import (
    Booked,
    BookingUnknown,
    Completed,
    Forbidden,
    MayHaveRun,
    NotBooked,
    NotRun,
    Target,
    WriteRecord,
)
from wigeonwind.state.store_types import StoreFailure

SAME = {"anna": "7", "bela": "7"}
OTHER_BODY = {"anna": "7", "bela": "8"}
"""Body of the request that each of two entries sends with the same idempotency key."""
RESTART = {"vm": [Restart("a")]}
CRASHES, LATE = {CallFault.CRASH: 2}, {CallFault.LATE_CALL: 1}
LOST, UNSENT = {CallFault.LOST_RESPONSE: 1}, {CallFault.LOST_CALL: 1}
TWICE = {"a booking was executed twice"}
FALSE_NOT_RUN = {"a caller was told not-run, but its booking was executed"}
WRONG_RESPONSE = {
    "a caller got a response that is not that of the execution",
    "the record holds a response that is not that of the execution",
}


@pytest.fixture(autouse=True)
def few_claims(monkeypatch: pytest.MonkeyPatch) -> None:
    """Bound the claims of one request, so that the exploration is complete."""
    monkeypatch.setattr(bookings, "MAX_CLAIMS", 2)


def explored(
    faults: dict[CallFault, int], model: type[BookingModel] = BookingModel, *args: Any
) -> Exploration:
    arguments = args or (SAME,)
    return explore(
        lambda: model(*arguments), faults, 30_000, state_of=BookingModel.state
    )


@pytest.mark.parametrize(
    ("faults", "arguments"),
    [
        (CRASHES, (SAME,)),
        (CRASHES | UNSENT, (SAME,)),
        (LATE | {CallFault.CRASH: 1}, (SAME, ("a", "b"))),
        (LOST | UNSENT, (SAME,)),
        ({CallFault.LOST_RESPONSE: 2}, (SAME,)),
        (LOST | LATE, (OTHER_BODY,)),
        (CRASHES, (SAME, ("a",), RESTART)),
        (LOST, (SAME, ("a",), RESTART)),
    ],
)
def test_no_fault_or_pair_of_faults_breaks_an_invariant(
    faults: dict[CallFault, int], arguments: tuple[Any, ...]
) -> None:
    # Guards against a second execution, a false NotBooked and a record with a wrong
    # response.
    result = explored(faults, BookingModel, *arguments)
    assert result.violation is None
    assert result.is_complete
    assert result.runs >= 500


@pytest.mark.parametrize(
    "pause_ms", [RESPONSE_RETENTION_MS + 1, TOKEN_RETENTION_MS + 1]
)
def test_a_request_resumed_after_a_long_pause_executes_nothing(pause_ms: float) -> None:
    # Guards against a sidecar that has dropped the token it forbade or executed.
    others = {"time": [Advance(pause_ms)]}
    result = explored({}, BookingModel, SAME, ("a",), others)
    assert result.violation is None
    assert result.is_complete


def test_a_long_pause_before_the_attempt_is_detected(monkeypatch) -> None:
    # Shows that MAX_CLAIM_TO_SEND_MS is needed: without it, a request resumed after the
    # sidecar has dropped the forbidden token is executed a second time.
    monkeypatch.setattr(bookings, "MAX_CLAIM_TO_SEND_MS", float("inf"))
    others = {"time": [Advance(TOKEN_RETENTION_MS + 1)]}
    result = explored({}, PausedBeforeSending, SAME, ("a",), others)
    assert result.violation is not None
    assert result.violation.message in TWICE


class PausedBeforeSending(BookingModel):
    """Anna's request can be paused between its claim and its attempt."""

    def _run_attempt(self, step, body):
        if step.claim_token.startswith("anna"):
            yield Advance(0.0)
        return (yield from super()._run_attempt(step, body))


class ForbidsNothing(BookingModel):
    """A sidecar reports a claim token as forbidden without recording that."""

    def resolve_at(self, sidecar, token):
        if sidecar.claims.state(token) is None:
            return Forbidden()
        return super().resolve_at(sidecar, token)


class IgnoresIncarnation(BookingModel):
    """A restarted sidecar resolves claims of its previous incarnation."""

    def resolve_claim(self, token, target):
        return self.resolve_at(self.sidecar_by_id[target.endpoint_id], token)


class ExecutesForbidden(BookingModel):
    """A sidecar executes a late copy of a request whose claim it has forbidden."""

    def deliver(self, call):
        sidecar = self._find_sidecar(call.target)
        if sidecar is not None and sidecar.claims.state(call.token) is not None:
            sidecar.claims._claim_by_token.pop(call.token)
        return super().deliver(call)


class IgnoresVersions(BookingModel):
    """The store writes a claim whatever the stored version is."""

    def perform(self, process, call):
        if isinstance(call, WriteRecord):
            version = self.store.version_of(call.key)
            call = replace(call, if_version=version)
        return super().perform(process, call)


class ResultMapping(BookingModel):
    """Base of models that change the step results or the final result."""

    def protocol(self, booking_request, new_token):
        steps = super().protocol(booking_request, new_token)
        result = step = None
        while True:
            try:
                step = steps.send(self.map_result(step, result))
            except StopIteration as stop:
                return self.map_outcome(stop.value)
            result = yield step

    def map_result(self, step, result):
        return result

    def map_outcome(self, result):
        return result


class LostLinkAsNotRun(ResultMapping):
    """A broken link is treated as an attempt that did not run."""

    def map_result(self, step, result):
        if isinstance(result, MayHaveRun):
            return NotRun("no_endpoint", result.reason, None)
        return result


class FailedWriteAsClaim(ResultMapping):
    """A failed write to the store is treated as a successful claim."""

    def map_result(self, step, result):
        if isinstance(step, WriteRecord) and isinstance(result, StoreFailure):
            return bookings.Ok(1)
        return result


class UnknownAsNotBooked(ResultMapping):
    """A caller gets NotBooked although its booking may have been executed."""

    def map_outcome(self, result):
        if isinstance(result, BookingUnknown):
            return NotBooked("no_endpoint", result.reason, None)
        return result


class EmptyResponses(BookingModel):
    """A sidecar does not keep the response that it delivered."""

    def resolve_at(self, sidecar, token):
        found = super().resolve_at(sidecar, token)
        if isinstance(found, Completed):
            return Completed(replace(found.answer, body=b""))
        return found


class WrongResponses(BookingModel):
    """A sidecar delivers another response than that of the endpoint."""

    def collect(self, token: str, target: Target):
        found = super().collect(token, target)
        if isinstance(found, Completed):
            return Completed(replace(found.answer, body=b"other"))
        return found


@pytest.mark.parametrize(
    ("model", "faults", "others", "messages"),
    [
        (ForbidsNothing, {}, {}, TWICE),
        (IgnoresIncarnation, {}, RESTART, TWICE),
        (ExecutesForbidden, LATE, {}, TWICE),
        (IgnoresVersions, {}, {}, TWICE),
        (LostLinkAsNotRun, LOST, {}, TWICE | FALSE_NOT_RUN),
        (FailedWriteAsClaim, UNSENT, {}, TWICE),
        (UnknownAsNotBooked, LOST, {}, FALSE_NOT_RUN),
        (EmptyResponses, {CallFault.CRASH: 1}, {}, WRONG_RESPONSE),
        (EmptyResponses, LOST, {}, WRONG_RESPONSE),
        (WrongResponses, {}, {}, WRONG_RESPONSE),
    ],
)
def test_a_broken_system_is_detected(
    model: type[BookingModel],
    faults: dict[CallFault, int],
    others: dict[str, Any],
    messages: set[str],
) -> None:
    result = explored(faults, model, SAME, ("a",), others)
    assert result.violation is not None
    assert result.violation.message in messages


def test_a_single_request_gets_a_true_result_at_each_crash_point() -> None:
    # Guards against a request that ends with none of the results of the protocol.
    seen: set[type] = set()

    class RecordsResult(BookingModel):
        def record_result(self, process, result):
            super().record_result(process, result)
            seen.add(type(self.result_by_entry.get("anna")))

    faults = LOST | UNSENT | LATE
    result = explored(faults, RecordsResult, {"anna": "7"}, ("a",), RESTART)
    assert result.violation is None and result.is_complete
    assert seen == {type(None), Booked, NotBooked, BookingUnknown}


def test_each_step_of_an_attempt_can_meet_a_fault() -> None:
    # Guards against a model whose steps are too coarse to find violations.
    model = BookingModel(SAME)
    target = Target("a", 1)
    assert CallFault.LATE_CALL in model.possible_faults(Deliver("t", target, "7", 0.0))
    assert CallFault.LOST_RESPONSE in model.possible_faults(Collect("t", target))
