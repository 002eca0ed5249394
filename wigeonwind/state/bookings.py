"""At-most-once execution of bookings: the claim protocol, without any I/O.

`book` is a generator of typed steps. The caller performs each step and sends back its
result, so a model checker can pause or crash the process or lose the response at any
step. The protocol is that of section 5.5 of the design: write a claim, execute once on
the claimed endpoint, record the response.
"""

import hashlib
from collections.abc import Callable, Generator
from dataclasses import dataclass, replace

from wigeonwind.outcomes import Ok
from wigeonwind.state.booking_record import (
    BookingRecord,
    RecordedResponse,
    RecordState,
    decode_record,
    encode_record,
    is_expired,
    omit_large_body,
)
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
    Steps,
    Target,
    Unresolved,
    WriteRecord,
)
from wigeonwind.state.store_types import Conflict, NotFound, StoredObject, StoreFailure

KEY_PREFIX = "bookings/"

MAX_CLAIMS = 4
"""Claims that one request may write. Each claim after the first follows an attempt that
certainly did not run, or a conflicting write of another entry.
"""

MAX_RESPONSE_WRITES = 3
"""Attempts to record a response. The caller gets the response even if all of them fail:
the sidecar of the endpoint keeps it for retries in the next minutes.
"""

MAX_RESPONSE_WRITE_PAUSE_MS = 200.0
"""Longest pause between attempts to record a response, which delay it for the caller.
"""

MAX_FORBIDDABLE_CLAIM_AGE_MS = 24 * 3_600_000.0
"""Age of a claim up to which the sidecar's state `forbidden` for it is trusted.

A sidecar keeps the tokens of started attempts for 25 hours; after that it cannot tell
them from tokens it never received. The difference of one hour allows for clock skew.
"""

MAX_CLAIM_TO_SEND_MS = 3_600_000.0
"""Longest time between a claim and its attempt, equal to the longest request.

If a process was paused for longer, its claim may have been forbidden so long ago that
the sidecar has dropped the token and would execute it.
"""

UNKNOWN_OUTCOME_RETRY_MS = 5000.0
"""Retry-After of a booking with an unknown outcome.

Its sidecar is still executing the claim or is unreachable.
"""

_PAUSED_TOO_LONG = NotRun(
    "deadline",
    "this process was paused between the claim and the attempt",
    UNKNOWN_OUTCOME_RETRY_MS,
)


def record_key(customer: str, service: str, key: str) -> str:
    """Return the store key of a booking's record; `key` is the idempotency key."""
    text = "\0".join((customer, service, key)).encode()
    return KEY_PREFIX + hashlib.sha256(text).hexdigest()


def body_digest(method: str, path: str, body: bytes) -> str:
    """Return a digest of method, path and body, to tell requests of one key apart."""
    head = f"{method}\0{path}\0".encode("utf-8", "surrogateescape")
    return hashlib.sha256(head + body).hexdigest()


@dataclass(frozen=True)
class _Claimed:
    """A claim of this request that is in the store under `version`."""

    record: BookingRecord
    version: int


def book(
    request: BookingRequest, new_token: Callable[[], str], wall_ms: Callable[[], float]
) -> Steps:
    """Execute a booking at most once; the result says whether it was executed.

    `new_token` returns a unique claim token, `wall_ms` the wall-clock time in
    milliseconds since 1970.
    """
    return _Protocol(request, new_token, wall_ms).steps()


class _Protocol:
    """State of the claim protocol for one request.

    `_replaced_version` is the version of the record that the next claim replaces, 0 for
    none; the claim in that record can no longer be executed. `_saw_other_claim` is set
    once a claim of another request was read: after that a store failure means that the
    booking may have been executed.
    """

    def __init__(
        self,
        request: BookingRequest,
        new_token: Callable[[], str],
        wall_ms: Callable[[], float],
    ) -> None:
        self._request = request
        self._new_token = new_token
        self._wall_ms = wall_ms
        self._replaced_version = 0
        self._saw_other_claim = False
        self._last_claim: _Claimed | None = None
        self._last_not_run: NotRun | None = None

    def steps(self) -> Steps:
        for _ in range(MAX_CLAIMS):
            found = yield from self._claim()
            if isinstance(found, _Claimed):
                outcome = yield from self._send(found)
            elif isinstance(found, StoredObject):
                outcome = yield from self._resolve(found)
            else:
                outcome = found
            if outcome is not None:
                return outcome
        return (yield from self._release("the record changed during every claim"))

    def _claim(
        self,
    ) -> Generator[Step, StepResult, _Claimed | StoredObject | BookingResult | None]:
        """Write a claim; return it, the conflicting record, or the final result."""
        target = yield ChooseTarget()
        if isinstance(target, NoTarget):
            return (yield from self._resolve_without_target(target))
        assert isinstance(target, Target)
        record = BookingRecord(
            RecordState.CLAIMED,
            self._new_token(),
            self._request.body_digest,
            target.endpoint_id,
            target.incarnation,
            self._wall_ms(),
        )
        written = yield self._write(record, self._replaced_version)
        match written:
            case Ok(value=int() as version):
                return _Claimed(record, version)
            case Conflict():
                return (yield from self._read())
            case StoreFailure(maybe_written=True):
                return (yield from self._read_back(record, written))
        assert isinstance(written, StoreFailure), written
        return self._store_failure_result(written)

    def _resolve_without_target(
        self, target: NoTarget
    ) -> Generator[Step, StepResult, StoredObject | BookingResult | None]:
        """Read the record of an earlier request that may have executed the booking."""
        if self._replaced_version:
            return (yield from self._release(target.reason, target))
        found = yield from self._read()
        if found is None:
            return NotBooked(target.code, target.reason, target.retry_after_ms)
        return found

    def _read(
        self,
    ) -> Generator[Step, StepResult, StoredObject | BookingResult | None]:
        """Return the stored record, None if there is none, or the final result."""
        found = yield ReadRecord(self._request.record_key)
        match found:
            case Ok(value=StoredObject() as stored):
                return stored
            case NotFound():
                self._replaced_version = 0
                return None
        assert isinstance(found, StoreFailure), found
        return self._store_failure_result(found)

    def _read_back(
        self, record: BookingRecord, lost: StoreFailure
    ) -> Generator[Step, StepResult, _Claimed | StoredObject | BookingResult | None]:
        """Find out whether a claim was written although the store's response was lost.

        The attempt is sent only if the stored claim is that of this request, so after a
        failure here no attempt of this request is running.
        """
        found = yield from self._read()
        if isinstance(found, StoredObject):
            present = decode_record(found.value)
            if present is not None and present.claim_token == record.claim_token:
                return _Claimed(record, found.version)
        return self._store_failure_result(lost) if found is None else found

    def _send(
        self, claimed: _Claimed
    ) -> Generator[Step, StepResult, BookingResult | None]:
        record = claimed.record
        target = Target(record.endpoint_id, record.incarnation)
        result: StepResult = _PAUSED_TOO_LONG
        if self._wall_ms() - record.claimed_ms <= MAX_CLAIM_TO_SEND_MS:
            result = yield SendAttempt(record.claim_token, target)
        match result:
            case Completed(answer=response):
                yield from self._record_response(record, claimed.version, response)
                return Booked(response, False)
            case MayHaveRun(reason=reason):
                return BookingUnknown(reason, UNKNOWN_OUTCOME_RETRY_MS)
        assert isinstance(result, NotRun), result
        self._replaced_version = claimed.version
        self._last_claim = claimed
        self._last_not_run = result
        return None

    def _resolve(
        self, stored: StoredObject
    ) -> Generator[Step, StepResult, BookingResult | None]:
        """Return the result for a stored record, None to claim again."""
        record = decode_record(stored.value)
        if record is None:
            return BookingUnknown("unreadable booking record", UNKNOWN_OUTCOME_RETRY_MS)
        if is_expired(record, self._wall_ms()):
            self._replaced_version = stored.version
            return None
        if record.body_digest != self._request.body_digest:
            return BodyMismatch()
        if record.state is RecordState.DONE and record.answer is not None:
            return Booked(record.answer, True)
        if record.state is RecordState.RELEASED or self._is_own_claim_not_run(record):
            self._replaced_version = stored.version
            return None
        self._saw_other_claim = True
        return (yield from self._forbid_claim(record, stored.version))

    def _is_own_claim_not_run(self, record: BookingRecord) -> bool:
        """Return whether the record is this request's claim that did not run."""
        last = self._last_claim
        return last is not None and last.record.claim_token == record.claim_token

    def _forbid_claim(
        self, record: BookingRecord, version: int
    ) -> Generator[Step, StepResult, BookingResult | None]:
        """Ask the sidecar to forbid a claim; return the result, None to claim again."""
        target = Target(record.endpoint_id, record.incarnation)
        resolution = yield ForbidClaim(record.claim_token, target)
        age_ms = self._wall_ms() - record.claimed_ms
        match resolution:
            case Completed(answer=response):
                yield from self._record_response(record, version, response)
                return Booked(response, True)
            case Forbidden() if age_ms <= MAX_FORBIDDABLE_CLAIM_AGE_MS:
                self._replaced_version = version
                return None
            case Forbidden():
                reason = "the claim is older than the sidecar's record of claim tokens"
                return BookingUnknown(reason, UNKNOWN_OUTCOME_RETRY_MS)
        assert isinstance(resolution, Unresolved), resolution
        return BookingUnknown(resolution.reason, UNKNOWN_OUTCOME_RETRY_MS)

    def _record_response(
        self, record: BookingRecord, version: int, response: RecordedResponse
    ) -> Generator[Step, StepResult, None]:
        """Record the response; after a conflict, another request has recorded it.

        If the store has lost the claim, the response is recorded without it.
        """
        done = replace(record, state=RecordState.DONE, answer=omit_large_body(response))
        for _ in range(MAX_RESPONSE_WRITES):
            written = yield self._write(done, version)
            if isinstance(written, Conflict) and version and not written.version:
                version = 0
                continue
            if not isinstance(written, StoreFailure):
                return
            yield Pause(min(written.retry_after_ms, MAX_RESPONSE_WRITE_PAUSE_MS))

    def _release(
        self, reason: str, no_target: NoTarget | None = None
    ) -> Generator[Step, StepResult, BookingResult]:
        """Release the last claim, whose attempt did not run, and return the result."""
        claimed = self._last_claim
        if claimed is not None and claimed.version == self._replaced_version:
            released = replace(claimed.record, state=RecordState.RELEASED)
            written = yield self._write(released, claimed.version)
            if isinstance(written, Conflict):
                return BookingUnknown(
                    "another request has claimed the key", UNKNOWN_OUTCOME_RETRY_MS
                )
        last = self._last_not_run
        if last is not None:
            return NotBooked(last.code, last.reason, last.retry_after_ms)
        if no_target is not None and not self._saw_other_claim:
            return NotBooked(no_target.code, no_target.reason, no_target.retry_after_ms)
        return BookingUnknown(reason, UNKNOWN_OUTCOME_RETRY_MS)

    def _store_failure_result(self, failed: StoreFailure) -> NotBooked | BookingUnknown:
        if self._saw_other_claim:
            return BookingUnknown(
                f"store unavailable: {failed.reason}", failed.retry_after_ms
            )
        reason = f"cannot claim the booking, store unavailable: {failed.reason}"
        return NotBooked("store_unavailable", reason, failed.retry_after_ms)

    def _write(self, record: BookingRecord, if_version: int) -> WriteRecord:
        return WriteRecord(self._request.record_key, encode_record(record), if_version)
