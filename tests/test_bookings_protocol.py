"""The claim protocol under interleavings, crashes, lost answers and outages."""

from collections.abc import Generator
from dataclasses import dataclass, field
from random import Random

import pytest
from entry_fakes import FakeStore

from wigeonwind.state.booking_record import RETENTION_MS, RecordedAnswer
from wigeonwind.state.booking_steps import (
    Answered,
    BodyMismatch,
    Booked,
    BookingRequest,
    BookingResult,
    BookingUnknown,
    ChooseTarget,
    ForbidClaim,
    Forbidden,
    MayHaveExecuted,
    NoTarget,
    NotBooked,
    NotExecuted,
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

DOWN = StoreFailure("down", False)
LOST = StoreFailure("lost", True)


@dataclass
class World:
    """A store, two sidecars and a clock; `executions` counts runs at endpoints."""

    rng: Random
    store: FakeStore = field(default_factory=FakeStore)
    wall_ms: float = 0.0
    tokens: int = 0
    executions: int = 0
    forbidden: set[str] = field(default_factory=set)
    answer_by_token: dict[str, RecordedAnswer] = field(default_factory=dict)
    fault: float = 0.0

    def new_token(self) -> str:
        self.tokens += 1
        return f"t{self.tokens}"

    def call(self, digest: str = "d") -> Generator:
        return book(BookingRequest("bookings/k", digest), self.new_token, self.now)

    def now(self) -> float:
        return self.wall_ms

    def has_fault(self) -> bool:
        return self.rng.random() < self.fault

    def carry_out(self, step: Step) -> StepResult:
        match step:
            case ReadRecord(key=key):
                return DOWN if self.has_fault() else self.store.get(key)
            case WriteRecord():
                if self.has_fault():
                    return DOWN
                lost = self.has_fault()
                written = self.store.put(step.key, step.value, step.if_version)
                return LOST if lost else written
            case ChooseTarget():
                if self.has_fault():
                    return NoTarget("none", 100.0)
                return Target(self.rng.choice(("a", "b")), 1)
            case Pause():
                return None
            case SendAttempt(claim_token=token):
                return self.run(token)
            case ForbidClaim(claim_token=token):
                return self.ask(token)

    def run(self, token: str) -> StepResult:
        if token in self.forbidden or self.has_fault():
            self.forbidden.add(token)
            return NotExecuted("overloaded", "refused", 100.0)
        if self.has_fault():
            return MayHaveExecuted("the message was lost with the link")
        self.executions += 1
        self.answer_by_token[token] = RecordedAnswer(200, [], b"booked")
        if self.has_fault():
            return MayHaveExecuted("the link broke after the run")
        return Answered(self.answer_by_token[token])

    def ask(self, token: str) -> StepResult:
        if self.has_fault():
            return Unresolved("out of reach")
        if token in self.answer_by_token:
            return Answered(self.answer_by_token[token])
        self.forbidden.add(token)
        return Forbidden()

    def finish(self, steps: Generator, result: StepResult = None) -> BookingResult:
        while True:
            try:
                step = steps.send(result)
            except StopIteration as end:
                return end.value
            result = self.carry_out(step)


@dataclass
class Paused:
    """A call stopped between a step and its result; it may never go on."""

    steps: Generator
    result: StepResult = None


def advance(world: World, paused: Paused) -> BookingResult | None:
    try:
        step = paused.steps.send(paused.result)
    except StopIteration as end:
        return end.value
    paused.result = world.carry_out(step)
    return None


@pytest.mark.parametrize("fault", [0.0, 0.1, 0.3])
def test_interleaved_calls_book_at_most_once(fault: float) -> None:
    # Guards against a second execution and against a false not-run, whatever entries
    # crash or pause, and whatever answers are lost.
    seen: set[type] = set()
    for seed in range(400):
        world = World(Random(seed), fault=fault)
        running = [Paused(world.call()) for _ in range(4)]
        while running:
            paused = world.rng.choice(running)
            if world.rng.random() < fault / 4:
                running.remove(paused)
                continue
            end = advance(world, paused)
            if end is None:
                continue
            running.remove(paused)
            seen.add(type(end))
            assert world.executions <= 1, seed
            if isinstance(end, Booked):
                assert (world.executions, end.answer.body) == (1, b"booked"), seed
        assert world.executions <= 1, seed
    assert Booked in seen


def test_call_alone_is_told_the_truth() -> None:
    # Guards against a not-run after which the endpoint has run the booking, now or
    # when a paused entry goes on.
    told = 0
    for seed in range(1500):
        world = World(Random(seed), fault=0.3)
        end = world.finish(world.call())
        if isinstance(end, NotBooked):
            told += 1
            assert world.executions == 0, seed
        world.fault = 0.0
        later = world.finish(world.call())
        if isinstance(end, Booked):
            assert isinstance(later, Booked) and later.replayed, seed
        assert isinstance(later, Booked) and world.executions == 1, seed
    assert told > 100


def test_retry_replays_and_refuses_another_body() -> None:
    # Guards against a retry that runs again or gets another call's answer.
    world = World(Random(1))
    assert world.finish(world.call()) == Booked(
        RecordedAnswer(200, [], b"booked"), False
    )
    assert world.finish(world.call()) == Booked(
        RecordedAnswer(200, [], b"booked"), True
    )
    assert world.finish(world.call("other")) == BodyMismatch()
    assert world.executions == 1


def test_store_outage_is_not_run_for_a_new_booking() -> None:
    # Guards against a booking that runs without a claim.
    world = World(Random(1))
    world.store.is_down = True
    end = world.finish(world.call())
    assert isinstance(end, NotBooked) and end.code == "store_unavailable"
    assert end.retry_after_ms == 1500.0 and world.executions == 0


def test_old_claim_is_never_taken_over() -> None:
    # Guards against trust in a sidecar that has forgotten the claim it ran.
    world = World(Random(1))
    first = Paused(world.call())
    for _ in range(2):
        advance(world, first)
    world.wall_ms = MAX_FORBIDDABLE_CLAIM_AGE_MS + 1.0
    assert isinstance(world.finish(world.call()), BookingUnknown)


@pytest.mark.parametrize("failure", [DOWN, NoTarget("none", 100.0)])
def test_taken_over_claim_is_not_called_not_run(failure: StepResult) -> None:
    # Guards against a not-run told while another call takes the claim over and runs.
    world = World(Random(1))
    first, second = Paused(world.call()), Paused(world.call())
    for _ in range(2):
        advance(world, first)
    while not isinstance(second.result, Forbidden):
        advance(world, second)
    assert isinstance(world.finish(world.call()), Booked)
    step = second.steps.send(second.result)
    if isinstance(failure, StoreFailure):
        step = second.steps.send(Target("a", 1))
        assert isinstance(step, WriteRecord)
    with pytest.raises(StopIteration) as end:
        second.steps.send(failure)
    assert isinstance(end.value.value, BookingUnknown)


def test_expired_record_is_replaced() -> None:
    # Guards against a key that stays taken after its retention.
    world = World(Random(1))
    world.finish(world.call())
    world.wall_ms = RETENTION_MS + 1.0
    end = world.finish(world.call("other"))
    assert isinstance(end, Booked) and not end.replayed


def test_unreadable_record_is_unknown() -> None:
    # Guards against a newer record format that this version would overwrite.
    world = World(Random(1))
    world.store.put("bookings/k", b"\xa1\x61v\x02", 0)
    assert isinstance(world.finish(world.call()), BookingUnknown)


def test_answer_is_recorded_after_a_short_outage() -> None:
    # Guards against a record left claimed because the store failed for a moment.
    world = World(Random(1))
    steps = world.call()
    first = Paused(steps)
    for _ in range(3):
        advance(world, first)
    world.store.failures = [DOWN, LOST]
    assert isinstance(world.finish(steps, first.result), Booked)
    world.answer_by_token.clear()
    assert isinstance(world.finish(world.call()), Booked)
    assert world.executions == 1


def test_sweep_deletes_only_what_has_expired() -> None:
    # Guards against a store that fills up, and against a record deleted too early.
    world = World(Random(1))
    for number in range(20):
        world.wall_ms = number * RETENTION_MS / 10
        key = record_key("c", "s", str(number))
        world.finish(book(BookingRequest(key, "d"), world.new_token, world.now))
    world.store.put("bookings/00unreadable", b"x", 0)
    sweep = BookingSweep(world.store, world.now)
    steps = [sweep.step() for _ in range(256)]
    assert sum(step.deleted for step in steps) == 9
    assert len(world.store.objects) == 12
    world.store.is_down = True
    assert not sweep.step().complete
