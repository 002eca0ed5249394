"""Model of bookings for the explorer: entries, sidecars, endpoints and the store.

Each entry runs the real claim protocol; a sidecar is represented by its claim registry.
Delivery, start and end of an attempt are separate steps, so that claim queries,
restarts and faults can occur between them. A delayed delivery is executed as soon as it
arrives, the worst case of a late duplicate.
"""

from collections.abc import Callable, Generator, Hashable
from dataclasses import dataclass, field
from typing import Any

from wigeonwind.checking.explorer import CallFault
from wigeonwind.clock import ManualClock
from wigeonwind.outcomes import Ok
from wigeonwind.side.claim_registry import BookingResponse, ClaimRegistry, TokenState
from wigeonwind.state.booking_record import RecordedResponse, RecordState, decode_record
from wigeonwind.state.booking_steps import (
    BodyMismatch,
    Booked,
    BookingRequest,
    ChooseTarget,
    Completed,
    ForbidClaim,
    Forbidden,
    MayHaveRun,
    NotBooked,
    NotRun,
    Pause,
    ReadRecord,
    SendAttempt,
    Steps,
    Target,
    Unresolved,
    WriteRecord,
)
from wigeonwind.state.bookings import book
from wigeonwind.state.memory_store import MemoryStore
from wigeonwind.state.store_types import StoreFailure

RECORD_KEY = "bookings/k"
LINK_TIMEOUT_MS = 5_000.0
"""Silence after which a sidecar closes a link and discards what was sent on it."""

LOST_WRITE = StoreFailure("no response", maybe_written=True)
REFUSED = NotRun("booking_conflict", "the sidecar refused the attempt", None)


@dataclass(frozen=True)
class Deliver:
    """The attempt reaches the sidecar and is queued there."""

    token: str
    target: Target
    body: str
    sent_ms: float


@dataclass(frozen=True)
class Start:
    """The sidecar sends the attempt to the endpoint, which executes it."""

    token: str
    target: Target
    body: str


@dataclass(frozen=True)
class Collect:
    """The sidecar has received the whole response and sends it to the entry."""

    token: str
    target: Target


@dataclass(frozen=True)
class Restart:
    """A sidecar is replaced by a new incarnation with an empty claim registry."""

    endpoint_id: str


@dataclass(frozen=True)
class Advance:
    """The clock of all processes advances."""

    duration_ms: float


@dataclass
class Sidecar:
    """One incarnation of a sidecar."""

    clock: ManualClock
    incarnation: int = 1
    claims: ClaimRegistry = field(init=False)

    def __post_init__(self) -> None:
        """Create an empty claim registry."""
        self.claims = ClaimRegistry(self.clock)


@dataclass(frozen=True)
class Execution:
    """An execution of a booking; `body` identifies the request."""

    token: str
    body: str

    def response(self) -> bytes:
        """Return the response body, which is different for each execution."""
        return f"{self.token} booked {self.body}".encode()


class BookingModel:
    """Entries that book under one key; `body_by_entry` maps each to its request body.

    `others` maps the names of further processes to their `Restart` and `Advance` steps.
    Subclasses break one rule each, to show that the invariants detect it.
    """

    def __init__(
        self,
        body_by_entry: dict[str, str],
        endpoints: tuple[str, ...] = ("a",),
        others: dict[str, list[Restart | Advance]] | None = None,
    ) -> None:
        self.store = MemoryStore()
        self.clock = ManualClock()
        self.sidecar_by_id = {name: Sidecar(self.clock) for name in endpoints}
        self.executions: list[Execution] = []
        self.entry_by_token: dict[str, str] = {}
        self.result_by_entry: dict[str, Any] = {}
        self._orphaned_tokens: set[str] = set()
        self._step_count_by_entry = dict.fromkeys(body_by_entry, 0)
        self._states_before_advance: tuple[Hashable, ...] = ()
        self._body_by_entry = body_by_entry
        self._endpoints = endpoints
        self._other_processes = others or {}

    def processes(self) -> dict[str, Generator[Any, Any, Any]]:
        """Return new processes by name."""
        entries = {
            name: self._run_entry(name, number, body)
            for number, (name, body) in enumerate(self._body_by_entry.items())
        }
        others = {
            name: _iter_steps(steps) for name, steps in self._other_processes.items()
        }
        return {**entries, **others}

    def protocol(
        self, booking_request: BookingRequest, new_token: Callable[[], str]
    ) -> Steps:
        """Return the protocol under test."""
        return book(booking_request, new_token, self.clock.now_ms)

    def _run_entry(self, name: str, number: int, body: str) -> Generator[Any, Any, Any]:
        """Run the protocol of an entry.

        Target choices and pauses are local and therefore not steps of the explorer.
        """
        steps = self.protocol(
            BookingRequest(RECORD_KEY, body), lambda: self._new_token(name)
        )
        choice_count = 0
        result: Any = None
        while True:
            try:
                step = steps.send(result)
            except StopIteration as stop:
                return stop.value
            if isinstance(step, ChooseTarget):
                result = self._choose_target(number + choice_count)
                choice_count += 1
            elif isinstance(step, SendAttempt):
                result = yield from self._run_attempt(step, body)
            else:
                result = None if isinstance(step, Pause) else (yield step)
            self._step_count_by_entry[name] += 1

    def _new_token(self, entry: str) -> str:
        token_owners = list(self.entry_by_token.values())
        token = f"{entry}-{token_owners.count(entry)}"
        self.entry_by_token[token] = entry
        return token

    def _choose_target(self, number: int) -> Target:
        endpoint_id = self._endpoints[number % len(self._endpoints)]
        return Target(endpoint_id, self.sidecar_by_id[endpoint_id].incarnation)

    def _run_attempt(self, step: SendAttempt, body: str) -> Generator[Any, Any, Any]:
        token, target = step.claim_token, step.target
        failure = yield Deliver(token, target, body, self.clock.now_ms())
        if failure is None:
            failure = yield Start(token, target, body)
        return (yield Collect(token, target)) if failure is None else failure

    def perform(self, process: str, call: Any) -> Any:
        """Apply the effect of a call and return its result."""
        match call:
            case ReadRecord(key=key):
                return self.store.get(key)
            case WriteRecord(key=key, value=value, if_version=if_version):
                return self.store.put(key, value, if_version)
            case Deliver(token=token):
                failure = self.deliver(call)
                if failure is None and token in self._orphaned_tokens:
                    self._run_orphan(call)
                return failure
            case Start():
                return self.start(call)
            case Collect(token=token, target=target):
                return self.collect(token, target)
            case ForbidClaim(claim_token=token, target=target):
                return self.resolve_claim(token, target)
            case Restart(endpoint_id=endpoint_id):
                old = self.sidecar_by_id[endpoint_id]
                new = Sidecar(self.clock, old.incarnation + 1)
                self.sidecar_by_id[endpoint_id] = new
            case Advance(duration_ms=duration_ms):
                # What the registries drop depends on the state before each advance.
                before = (
                    tuple(self._step_count_by_entry.items()),
                    self._claims_and_record(),
                )
                self._states_before_advance += (before,)
                self.clock.advance(duration_ms)
        return None

    def _find_sidecar(self, target: Target) -> Sidecar | None:
        found = self.sidecar_by_id[target.endpoint_id]
        return found if found.incarnation == target.incarnation else None

    def deliver(self, call: Deliver) -> NotRun | MayHaveRun | None:
        """Queue an attempt at its sidecar; return a failure if it is not admitted."""
        sidecar = self._find_sidecar(call.target)
        if self.clock.now_ms() - call.sent_ms > LINK_TIMEOUT_MS:
            return MayHaveRun("the sidecar closed the link after its timeout")
        if sidecar is None or sidecar.claims.state(call.token) is not None:
            return REFUSED
        sidecar.claims.add(call.token, (call.token, 0))
        return None

    def start(self, call: Start) -> NotRun | MayHaveRun | None:
        """Execute an attempt if it is still queued, else return the failure."""
        sidecar = self._find_sidecar(call.target)
        if sidecar is None:
            return MayHaveRun("the link broke")
        if sidecar.claims.state(call.token) is not TokenState.WAITING:
            return REFUSED
        sidecar.claims.start(call.token)
        self.executions.append(Execution(call.token, call.body))
        return None

    def collect(self, token: str, target: Target) -> Completed | MayHaveRun:
        """Deliver the response of an execution to its sidecar and the entry."""
        sidecar = self._find_sidecar(target)
        if sidecar is None:
            return MayHaveRun("the link broke")
        (body,) = [run.response() for run in self.executions if run.token == token]
        sidecar.claims.end(token, BookingResponse(200, [], body))
        return Completed(RecordedResponse(200, [], body))

    def resolve_claim(
        self, token: str, target: Target
    ) -> Forbidden | Completed | Unresolved:
        """Resolve a claim token at the sidecar that the claim names."""
        sidecar = self._find_sidecar(target)
        if sidecar is None:
            return Unresolved("the sidecar has another incarnation")
        return self.resolve_at(sidecar, token)

    def resolve_at(
        self, sidecar: Sidecar, token: str
    ) -> Forbidden | Completed | Unresolved:
        """Resolve a claim token at `sidecar`, whatever incarnation the claim names."""
        if sidecar.claims.state(token) is TokenState.WAITING:
            sidecar.claims.mark_not_run(token)
        state = sidecar.claims.resolve(token)
        if state.state == TokenState.FORBIDDEN.value:
            return Forbidden()
        if state.state == TokenState.DONE.value:
            return Completed(RecordedResponse(state.status, [], state.body))
        return Unresolved(state.state)

    def result_without_response(self, call: Any) -> Any:
        """Return the result that an entry receives when no response arrives.

        An attempt whose delivery gets no response is executed without its entry.
        """
        if isinstance(call, WriteRecord):
            return LOST_WRITE
        if isinstance(call, ReadRecord):
            return StoreFailure("no response", maybe_written=False)
        if isinstance(call, ForbidClaim):
            return Unresolved("no response")
        if isinstance(call, Deliver):
            self._orphaned_tokens.add(call.token)
            sidecar = self._find_sidecar(call.target)
            if sidecar and sidecar.claims.state(call.token) is TokenState.WAITING:
                self._run_orphan(call)
        return MayHaveRun("no response")

    def possible_faults(self, call: Any) -> tuple[CallFault, ...]:
        """Return the faults that can affect a call."""
        if isinstance(call, (WriteRecord, Deliver)):
            return (
                CallFault.CRASH,
                CallFault.LOST_CALL,
                CallFault.LOST_RESPONSE,
                CallFault.LATE_CALL,
            )
        if isinstance(call, (Restart, Advance)):
            return ()
        return (CallFault.CRASH, CallFault.LOST_CALL, CallFault.LOST_RESPONSE)

    def _run_orphan(self, call: Deliver) -> None:
        """Run an attempt whose entry no longer waits for the response."""
        if self.start(Start(call.token, call.target, call.body)) is None:
            self.collect(call.token, call.target)

    def record_result(self, process: str, result: Any) -> None:
        """Record the result that an entry returned to its caller."""
        if process in self._body_by_entry:
            self.result_by_entry[process] = result

    def check_invariants(self) -> str:
        """Return a description of a broken invariant, empty if there is none."""
        if len(self.executions) > 1:
            return "a booking was executed twice"
        executed_entries = {self.entry_by_token[run.token] for run in self.executions}
        responses = [run.response() for run in self.executions]
        for entry, result in self.result_by_entry.items():
            if (
                isinstance(result, (NotBooked, BodyMismatch))
                and entry in executed_entries
            ):
                return "a caller was told not-run, but its booking was executed"
            if isinstance(result, Booked) and [result.answer.body] != responses:
                return "a caller got a response that is not that of the execution"
        return self._check_record(responses)

    def state(self) -> Hashable:
        """Return the state that determines all further steps, apart from processes."""
        orphans = tuple(sorted(self._orphaned_tokens))
        runs = tuple(self.executions)
        return self._claims_and_record(), orphans, runs, self._states_before_advance

    def _claims_and_record(self) -> Hashable:
        claim_states = [
            (name, sidecar.incarnation, sidecar.claims.state(token))
            for name, sidecar in self.sidecar_by_id.items()
            for token in sorted(self.entry_by_token)
        ]
        return tuple(claim_states), self.store.object_by_key.get(RECORD_KEY)

    def _check_record(self, responses: list[bytes]) -> str:
        found = self.store.get(RECORD_KEY)
        record = decode_record(found.value.value) if isinstance(found, Ok) else None
        if record is None or record.state is not RecordState.DONE:
            return ""
        body = record.answer.body if record.answer else None
        if [body] != responses:
            return "the record holds a response that is not that of the execution"
        return ""


def _iter_steps(steps: list[Restart | Advance]) -> Generator[Any, Any, None]:
    yield from steps
