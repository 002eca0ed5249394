"""At-most-once execution of bookings: the claim protocol, without any I/O.

`book` is a generator of typed steps. Whoever drives it carries out each step and sends
its result back; a checker can pause, crash or lose the answer at any step. The protocol
is that of the design's section 5.5: claim, run once on the claimed endpoint, record.
"""

import hashlib
from collections.abc import Callable, Generator
from dataclasses import dataclass, replace

from wigeonwind.outcomes import Ok
from wigeonwind.state.booking_record import (
    BookingRecord,
    RecordedAnswer,
    RecordState,
    decode_record,
    encode_record,
    is_expired,
    trim_for_record,
)
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
    Steps,
    Target,
    Unresolved,
    WriteRecord,
)
from wigeonwind.state.store_types import Conflict, NotFound, StoredObject, StoreFailure

KEY_PREFIX = "bookings/"

MAX_CLAIMS = 4
"""Claims of one call before it gives up; each but the first follows a certain not-run
or another entry's write.
"""

MAX_ANSWER_WRITES = 3
"""Tries to record an answer. The caller gets its answer all the same: the endpoint's
sidecar keeps it for retries in the next minutes.
"""

MAX_ANSWER_WRITE_PAUSE_MS = 200.0
"""Longest wait between those tries; the caller waits for its answer meanwhile."""

MAX_FORBIDDABLE_CLAIM_AGE_MS = 24 * 3_600_000.0
"""Age of a claim up to which a sidecar's `forbidden` is believed.

A sidecar keeps the tokens it has started for 25 hours. One that has forgotten a token
cannot tell it from one it never saw; an hour is left for differences of clocks.
"""

MAX_CLAIM_TO_SEND_MS = 3_600_000.0
"""Longest time between a claim and its attempt: that of the longest request.

A process that was paused for longer may hold a claim that was forbidden so long ago
that its sidecar has forgotten it and would run it a second time.
"""

UNKNOWN_OUTCOME_RETRY_MS = 5000.0
"""A sidecar that runs a booking or is out of reach may be asked again after this."""


_TOO_LATE = NotExecuted(
    "deadline", "this process was paused after its claim", UNKNOWN_OUTCOME_RETRY_MS
)


def record_key(customer: str, service: str, key: str) -> str:
    """Return the store key of a booking."""
    text = "\0".join((customer, service, key)).encode()
    return KEY_PREFIX + hashlib.sha256(text).hexdigest()


def body_digest(method: str, path: str, body: bytes) -> str:
    """Return the digest that tells two calls under one key apart."""
    head = f"{method}\0{path}\0".encode("utf-8", "surrogateescape")
    return hashlib.sha256(head + body).hexdigest()


@dataclass(frozen=True)
class _Claimed:
    """Our claim is in the store under `version`."""

    record: BookingRecord
    version: int


def book(
    call: BookingRequest, new_token: Callable[[], str], wall_ms: Callable[[], float]
) -> Steps:
    """Run a booking at most once, or say what became of it.

    `wall_ms` is the wall clock in milliseconds since 1970.
    """
    return _Protocol(call, new_token, wall_ms).steps()


class _Protocol:
    """One call's way through the claim protocol.

    `replaces` is the version of the record that the next claim replaces, 0 for none;
    that record is known never to run. `met_other` says that a claim of another call has
    been seen: from then on a store failure leaves open whether the booking has run.
    """

    def __init__(
        self,
        call: BookingRequest,
        new_token: Callable[[], str],
        wall_ms: Callable[[], float],
    ) -> None:
        self._call = call
        self._new_token = new_token
        self._wall_ms = wall_ms
        self._replaces = 0
        self._met_other = False
        self._last_claim: _Claimed | None = None
        self._last_not_run: NotExecuted | None = None

    def steps(self) -> Steps:
        for _ in range(MAX_CLAIMS):
            found = yield from self._claim()
            if isinstance(found, _Claimed):
                end = yield from self._run(found)
            elif isinstance(found, StoredObject):
                end = yield from self._resolve(found)
            else:
                end = found
            if end is not None:
                return end
        return (yield from self._give_up("the record changes too often"))

    def _claim(
        self,
    ) -> Generator[Step, StepResult, _Claimed | StoredObject | BookingResult | None]:
        """Write a claim; return it, the record that is there instead, or an end."""
        target = yield ChooseTarget()
        if isinstance(target, NoTarget):
            return (yield from self._without_target(target))
        assert isinstance(target, Target)
        record = BookingRecord(
            RecordState.CLAIMED,
            self._new_token(),
            self._call.body_digest,
            target.endpoint_id,
            target.incarnation,
            self._wall_ms(),
        )
        written = yield self._write(record, self._replaces)
        match written:
            case Ok(value=int() as version):
                return _Claimed(record, version)
            case Conflict():
                return (yield from self._read())
            case StoreFailure(maybe_written=True):
                return (yield from self._read_back(record, written))
        assert isinstance(written, StoreFailure), written
        return self._store_failed(written)

    def _without_target(
        self, target: NoTarget
    ) -> Generator[Step, StepResult, StoredObject | BookingResult | None]:
        """Look for the record of an earlier call, which may have run the booking."""
        if self._replaces:
            return (yield from self._give_up(target.reason, target))
        found = yield from self._read()
        if found is None:
            return NotBooked(target.code, target.reason, target.retry_after_ms)
        return found

    def _read(
        self,
    ) -> Generator[Step, StepResult, StoredObject | BookingResult | None]:
        """Read the record; None if there is none."""
        found = yield ReadRecord(self._call.record_key)
        match found:
            case Ok(value=StoredObject() as stored):
                return stored
            case NotFound():
                self._replaces = 0
                return None
        assert isinstance(found, StoreFailure), found
        return self._store_failed(found)

    def _read_back(
        self, record: BookingRecord, lost: StoreFailure
    ) -> Generator[Step, StepResult, _Claimed | StoredObject | BookingResult | None]:
        """Find out whether a claim whose answer was lost took effect.

        A claim that is not ours after all is never sent, so no failure here can leave
        a booking running.
        """
        found = yield from self._read()
        if isinstance(found, StoredObject):
            present = decode_record(found.value)
            if present is not None and present.claim_token == record.claim_token:
                return _Claimed(record, found.version)
        return self._store_failed(lost) if found is None else found

    def _run(
        self, claimed: _Claimed
    ) -> Generator[Step, StepResult, BookingResult | None]:
        record = claimed.record
        target = Target(record.endpoint_id, record.incarnation)
        result: StepResult = _TOO_LATE
        if self._wall_ms() - record.claimed_ms <= MAX_CLAIM_TO_SEND_MS:
            result = yield SendAttempt(record.claim_token, target)
        match result:
            case Answered(answer=answer):
                yield from self._record_answer(record, claimed.version, answer)
                return Booked(answer, False)
            case MayHaveExecuted(reason=reason):
                return BookingUnknown(reason, UNKNOWN_OUTCOME_RETRY_MS)
        assert isinstance(result, NotExecuted), result
        self._replaces = claimed.version
        self._last_claim = claimed
        self._last_not_run = result
        return None

    def _resolve(
        self, stored: StoredObject
    ) -> Generator[Step, StepResult, BookingResult | None]:
        """Find out what became of the record that is there; None to claim anew."""
        record = decode_record(stored.value)
        if record is None:
            return BookingUnknown("the record cannot be read", UNKNOWN_OUTCOME_RETRY_MS)
        if is_expired(record, self._wall_ms()):
            self._replaces = stored.version
            return None
        if record.body_digest != self._call.body_digest:
            return BodyMismatch()
        if record.state is RecordState.DONE and record.answer is not None:
            return Booked(record.answer, True)
        if record.state is RecordState.RELEASED or self._is_ended(record):
            self._replaces = stored.version
            return None
        self._met_other = True
        return (yield from self._ask(record, stored.version))

    def _is_ended(self, record: BookingRecord) -> bool:
        """Return whether the record is an own claim that certainly did not run."""
        last = self._last_claim
        return last is not None and last.record.claim_token == record.claim_token

    def _ask(
        self, record: BookingRecord, version: int
    ) -> Generator[Step, StepResult, BookingResult | None]:
        """Ask the sidecar that holds the claim."""
        target = Target(record.endpoint_id, record.incarnation)
        answer = yield ForbidClaim(record.claim_token, target)
        age_ms = self._wall_ms() - record.claimed_ms
        match answer:
            case Answered(answer=whole):
                yield from self._record_answer(record, version, whole)
                return Booked(whole, True)
            case Forbidden() if age_ms <= MAX_FORBIDDABLE_CLAIM_AGE_MS:
                self._replaces = version
                return None
            case Forbidden():
                reason = "the endpoint may have forgotten so old a claim"
                return BookingUnknown(reason, UNKNOWN_OUTCOME_RETRY_MS)
        assert isinstance(answer, Unresolved), answer
        return BookingUnknown(answer.reason, UNKNOWN_OUTCOME_RETRY_MS)

    def _record_answer(
        self, record: BookingRecord, version: int, answer: RecordedAnswer
    ) -> Generator[Step, StepResult, None]:
        """Write the answer; a conflict means that another call has written it."""
        done = replace(record, state=RecordState.DONE, answer=trim_for_record(answer))
        for _ in range(MAX_ANSWER_WRITES):
            written = yield self._write(done, version)
            if not isinstance(written, StoreFailure):
                return
            yield Pause(min(written.retry_after_ms, MAX_ANSWER_WRITE_PAUSE_MS))

    def _give_up(
        self, reason: str, none: NoTarget | None = None
    ) -> Generator[Step, StepResult, BookingResult]:
        """End a call whose claims certainly did not run."""
        claimed = self._last_claim
        if claimed is not None and claimed.version == self._replaces:
            released = replace(claimed.record, state=RecordState.RELEASED)
            written = yield self._write(released, claimed.version)
            if isinstance(written, Conflict):
                return BookingUnknown(
                    "another call has claimed", UNKNOWN_OUTCOME_RETRY_MS
                )
        last = self._last_not_run
        if last is not None:
            return NotBooked(last.code, last.reason, last.retry_after_ms)
        if none is not None and not self._met_other:
            return NotBooked(none.code, none.reason, none.retry_after_ms)
        return BookingUnknown(reason, UNKNOWN_OUTCOME_RETRY_MS)

    def _store_failed(self, failed: StoreFailure) -> NotBooked | BookingUnknown:
        if self._met_other:
            return BookingUnknown(f"store: {failed.reason}", failed.retry_after_ms)
        reason = f"bookings need the store: {failed.reason}"
        return NotBooked("store_unavailable", reason, failed.retry_after_ms)

    def _write(self, record: BookingRecord, if_version: int) -> WriteRecord:
        return WriteRecord(self._call.record_key, encode_record(record), if_version)
