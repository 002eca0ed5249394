"""The claim protocol with random interleavings, crashes, lost responses and outages."""

from collections.abc import Generator
from dataclasses import dataclass, field
from random import Random

import pytest
from entry_fakes import ScriptedFailureStore

from wigeonwind.state.booking_record import RETENTION_MS, RecordedResponse
from wigeonwind.state.booking_steps import (
    BodyMismatch,
    Booked,
    BookingRequest,
    BookingResult,
    BookingUnknown,
    ChooseTarget,
    Completed,
    ForbidClaim,
    Forbidden,
    MayHaveRun,
    NoTarget,
    NotBooked,
    NotRun,
    Pause,
    ReadRecord,
    SendAttempt,
    Step,
    StepResult,
    Target,
    Unresolved,
    WriteRecord,
)
from wigeonwind.state.booking_sweep import BookingSweep
from wigeonwind.state.bookings import MAX_FORBIDDABLE_CLAIM_AGE_MS, book, record_key
from wigeonwind.state.store_types import StoreFailure

STORE_DOWN = StoreFailure("down", False)
RESPONSE_LOST = StoreFailure("lost", True)


@dataclass
class SimulatedSystem:
    """A store, two endpoints with sidecars, and a clock.

    `executions` counts the bookings that the endpoints have executed. Each step meets a
    fault with probability `fault_probability`.
    """

    rng: Random
    store: ScriptedFailureStore = field(default_factory=ScriptedFailureStore)
    wall_ms: float = 0.0
    token_count: int = 0
    executions: int = 0
    forbidden: set[str] = field(default_factory=set)
    answer_by_token: dict[str, RecordedResponse] = field(default_factory=dict)
    fault_probability: float = 0.0

    def new_token(self) -> str:
        self.token_count += 1
        return f"t{self.token_count}"

    def request(self, digest: str = "d") -> Generator:
        """Start a request with the same key each time and this body digest."""
        return book(BookingRequest("bookings/k", digest), self.new_token, self.now)

    def now(self) -> float:
        return self.wall_ms

    def has_fault(self) -> bool:
        return self.rng.random() < self.fault_probability

    def perform(self, step: Step) -> StepResult:
        match step:
            case ReadRecord(key=key):
                return STORE_DOWN if self.has_fault() else self.store.get(key)
            case WriteRecord():
                if self.has_fault():
                    return STORE_DOWN
                lost = self.has_fault()
                written = self.store.put(step.key, step.value, step.if_version)
                return RESPONSE_LOST if lost else written
            case ChooseTarget():
                if self.has_fault():
                    return NoTarget("none", 100.0)
                return Target(self.rng.choice(("a", "b")), 1)
            case Pause():
                return None
            case SendAttempt(claim_token=token):
                return self.execute(token)
            case ForbidClaim(claim_token=token):
                return self.forbid(token)

    def execute(self, token: str) -> StepResult:
        if token in self.forbidden or self.has_fault():
            self.forbidden.add(token)
            return NotRun("overloaded", "refused", 100.0)
        if self.has_fault():
            return MayHaveRun("the message was lost with the link")
        self.executions += 1
        self.answer_by_token[token] = RecordedResponse(200, [], b"booked")
        if self.has_fault():
            return MayHaveRun("the link broke after the execution")
        return Completed(self.answer_by_token[token])

    def forbid(self, token: str) -> StepResult:
        if self.has_fault():
            return Unresolved("unreachable")
        if token in self.answer_by_token:
            return Completed(self.answer_by_token[token])
        self.forbidden.add(token)
        return Forbidden()

    def finish(self, steps: Generator, result: StepResult = None) -> BookingResult:
        while True:
            try:
                step = steps.send(result)
            except StopIteration as stop:
                return stop.value
            result = self.perform(step)


@dataclass
class PausedRequest:
    """A request paused between a step and its result; it may never be resumed."""

    steps: Generator
    result: StepResult = None


def advance(system: SimulatedSystem, paused: PausedRequest) -> BookingResult | None:
    try:
        step = paused.steps.send(paused.result)
    except StopIteration as stop:
        return stop.value
    paused.result = system.perform(step)
    return None


@pytest.mark.parametrize("fault", [0.0, 0.1, 0.3])
def test_interleaved_requests_book_at_most_once(fault: float) -> None:
    # Guards against a second execution and against a false NotBooked when entries crash
    # or pause or responses are lost.
    seen: set[type] = set()
    for seed in range(400):
        system = SimulatedSystem(Random(seed), fault_probability=fault)
        running = [PausedRequest(system.request()) for _ in range(4)]
        while running:
            paused = system.rng.choice(running)
            if system.rng.random() < fault / 4:
                running.remove(paused)
                continue
            result = advance(system, paused)
            if result is None:
                continue
            running.remove(paused)
            seen.add(type(result))
            assert system.executions <= 1, seed
            if isinstance(result, Booked):
                assert (system.executions, result.answer.body) == (1, b"booked"), seed
        assert system.executions <= 1, seed
    assert Booked in seen


def test_a_single_request_gets_a_true_result() -> None:
    # Guards against NotBooked although the endpoint has executed the booking or a later
    # request finds it executed.
    not_booked_count = 0
    for seed in range(1500):
        system = SimulatedSystem(Random(seed), fault_probability=0.3)
        result = system.finish(system.request())
        if isinstance(result, NotBooked):
            not_booked_count += 1
            assert system.executions == 0, seed
        system.fault_probability = 0.0
        later = system.finish(system.request())
        if isinstance(result, Booked):
            assert isinstance(later, Booked) and later.replayed, seed
        assert isinstance(later, Booked) and system.executions == 1, seed
    assert not_booked_count > 100


def test_retry_replays_and_refuses_another_body() -> None:
    # Guards against a retry that is executed again or gets the response of another
    # request.
    system = SimulatedSystem(Random(1))
    assert system.finish(system.request()) == Booked(
        RecordedResponse(200, [], b"booked"), False
    )
    assert system.finish(system.request()) == Booked(
        RecordedResponse(200, [], b"booked"), True
    )
    assert system.finish(system.request("other")) == BodyMismatch()
    assert system.executions == 1


def test_new_booking_is_not_executed_in_a_store_outage() -> None:
    # Guards against a booking that is executed without a claim.
    system = SimulatedSystem(Random(1))
    system.store.is_down = True
    result = system.finish(system.request())
    assert isinstance(result, NotBooked) and result.code == "store_unavailable"
    assert result.retry_after_ms == 1500.0 and system.executions == 0


def test_old_claim_is_never_taken_over() -> None:
    # Guards against trusting a sidecar that has dropped the token it executed.
    system = SimulatedSystem(Random(1))
    first = PausedRequest(system.request())
    for _ in range(2):
        advance(system, first)
    system.wall_ms = MAX_FORBIDDABLE_CLAIM_AGE_MS + 1.0
    assert isinstance(system.finish(system.request()), BookingUnknown)


@pytest.mark.parametrize("failure", [STORE_DOWN, NoTarget("none", 100.0)])
def test_a_replaced_claim_is_not_reported_as_not_booked(failure: StepResult) -> None:
    # Guards against NotBooked while another request replaces the claim and executes.
    system = SimulatedSystem(Random(1))
    first, second = PausedRequest(system.request()), PausedRequest(system.request())
    for _ in range(2):
        advance(system, first)
    while not isinstance(second.result, Forbidden):
        advance(system, second)
    assert isinstance(system.finish(system.request()), Booked)
    step = second.steps.send(second.result)
    if isinstance(failure, StoreFailure):
        step = second.steps.send(Target("a", 1))
        assert isinstance(step, WriteRecord)
    with pytest.raises(StopIteration) as stopped:
        second.steps.send(failure)
    assert isinstance(stopped.value.value, BookingUnknown)


def test_expired_record_is_replaced() -> None:
    # Guards against a key that stays claimed after its retention.
    system = SimulatedSystem(Random(1))
    system.finish(system.request())
    system.wall_ms = RETENTION_MS + 1.0
    result = system.finish(system.request("other"))
    assert isinstance(result, Booked) and not result.replayed


def test_unreadable_record_gives_an_unknown_outcome() -> None:
    # Guards against overwriting a record of a newer format version.
    system = SimulatedSystem(Random(1))
    system.store.put("bookings/k", b"\xa1\x61v\x02", 0)
    assert isinstance(system.finish(system.request()), BookingUnknown)


def test_response_is_recorded_after_a_short_outage() -> None:
    # Guards against a record that stays claimed after a short store failure.
    system = SimulatedSystem(Random(1))
    steps = system.request()
    first = PausedRequest(steps)
    for _ in range(3):
        advance(system, first)
    system.store.failures = [STORE_DOWN, RESPONSE_LOST]
    assert isinstance(system.finish(steps, first.result), Booked)
    system.answer_by_token.clear()
    assert isinstance(system.finish(system.request()), Booked)
    assert system.executions == 1


def test_sweep_deletes_only_expired_records() -> None:
    # Guards against a store that fills up, and against deleting a record too early.
    system = SimulatedSystem(Random(1))
    for number in range(20):
        system.wall_ms = number * RETENTION_MS / 10
        key = record_key("c", "s", str(number))
        system.finish(book(BookingRequest(key, "d"), system.new_token, system.now))
    system.store.put("bookings/00unreadable", b"x", 0)
    sweep = BookingSweep(system.store, system.now)
    steps = [sweep.step() for _ in range(256)]
    assert sum(step.deleted for step in steps) == 9
    assert len(system.store.objects) == 12
    system.store.is_down = True
    assert not sweep.step().complete
