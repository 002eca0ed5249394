"""Bookings: executes the steps of the claim protocol for callers' requests."""

import time
from collections.abc import Generator

import gevent
from gevent.event import AsyncResult
from gevent.timeout import Timeout

from wigeonwind.clock import MS_PER_SECOND
from wigeonwind.entry.attempt import failure_code
from wigeonwind.entry.dispatch import Dispatcher
from wigeonwind.entry.http_call import HttpCall
from wigeonwind.entry.plain_headers import reply_headers
from wigeonwind.entry.recent_bookings import RecentBookings
from wigeonwind.entry.replies import (
    Reply,
    failure,
    failure_reply,
    status_line,
    stopping_refusal,
)
from wigeonwind.entry.request_execution import RequestExecution
from wigeonwind.entry.request_response import (
    AdmittedRequest,
    ResponseData,
    ResponseEnd,
    ResponseHead,
)
from wigeonwind.entry.request_tracker import ActiveRequest
from wigeonwind.ids import new_id
from wigeonwind.links.link_types import Link
from wigeonwind.links.messages import ClaimState, ResolveClaim
from wigeonwind.outcomes import ErrorCode, Failure, Outcome
from wigeonwind.runtime.tracing import Tracer
from wigeonwind.state.booking_record import RecordedResponse
from wigeonwind.state.booking_steps import (
    AttemptResult,
    BodyMismatch,
    Booked,
    BookingRequest,
    BookingResult,
    BookingUnknown,
    ChooseTarget,
    ClaimResolution,
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
    StepResult,
    Target,
    Unresolved,
    WriteRecord,
)
from wigeonwind.state.bookings import body_digest, book, record_key
from wigeonwind.state.store_types import NotFound, Store

RESOLVE_TIMEOUT_MS = 2000.0
"""Time a sidecar has to report the state of a claim."""

RETRY_WITHIN_HEADER = ("X-Booking-Retry-Within", "86400")
"""Seconds in which a caller may retry a key; booking records are kept longer."""


class BookingCalls:
    """Executes bookings; asks sidecars for the state of earlier claims."""

    def __init__(self, store: Store, dispatcher: Dispatcher, tracer: Tracer) -> None:
        self._store = store
        self._tracer = tracer
        self._dispatcher = dispatcher
        self._recent = RecentBookings(dispatcher.context.clock)
        self._pending_by_token: dict[str, tuple[Link, AsyncResult]] = {}

    def handle(
        self,
        call: HttpCall,
        request: AdmittedRequest,
        active_request: ActiveRequest,
        key: str,
    ) -> Generator[bytes, None, None]:
        """Handle one request that has an idempotency key."""
        booking = BookingRequest(
            record_key(request.customer, request.service.name, key),
            body_digest(request.method, request.path, request.body),
        )
        execution = self._dispatcher.execute(request, active_request.mailbox)
        result = self._result_of_lost_record(booking, request.traceparent)
        if result is None:
            result = self._run_protocol(booking, execution, request.traceparent)
        self._recent.add(booking, result)
        active_request.set_outcome(_outcome_of(result))
        yield from _reply(call, result)

    def on_claim_state(self, link: Link, state: ClaimState) -> bool:
        """Handle a sidecar's report of a claim's state; False if no query matches."""
        pending = self._pending_by_token.get(state.claim_token)
        if pending is None or pending[0] is not link:
            return False
        pending[1].set(state)
        return True

    def on_down(self, link: Link) -> None:
        """End the queries for claims that were sent over a lost link."""
        for pending_link, result in tuple(self._pending_by_token.values()):
            if pending_link is link:
                result.set(None)

    def _result_of_lost_record(
        self, booking: BookingRequest, traceparent: str
    ) -> BookingResult | None:
        """Return the result of a recent key whose record is gone, None otherwise."""
        if not self._recent.is_known(booking):
            return None
        found = self._call_store(ReadRecord(booking.record_key), traceparent)
        if not isinstance(found, NotFound):
            return None
        return self._recent.result_without_record(booking)

    def _run_protocol(
        self, booking: BookingRequest, execution: RequestExecution, traceparent: str
    ) -> BookingResult:
        """Execute the steps of the claim protocol one by one; return its result."""
        steps = book(booking, new_id, _wall_ms)
        result: StepResult = None
        while True:
            try:
                step = steps.send(result)
            except StopIteration as end:
                return end.value
            if isinstance(step, ReadRecord | WriteRecord):
                result = self._call_store(step, traceparent)
            else:
                result = self._execute_step(step, execution)

    def _call_store(
        self, step: ReadRecord | WriteRecord, traceparent: str
    ) -> StepResult:
        is_read = isinstance(step, ReadRecord)
        name = "store.get" if is_read else "store.put"
        span = self._tracer.start_span(name, traceparent, {})
        result: StepResult = None
        try:
            if isinstance(step, ReadRecord):
                result = self._store.get(step.key)
            else:
                result = self._store.put(step.key, step.value, step.if_version)
        finally:
            span.end({"result": type(result).__name__})
        return result

    def _execute_step(
        self,
        step: ChooseTarget | SendAttempt | ForbidClaim | Pause,
        execution: RequestExecution,
    ) -> StepResult:
        match step:
            case ChooseTarget():
                return _choose_target(execution)
            case SendAttempt(claim_token=token, target=target):
                return _run_attempt(execution, token, target)
            case ForbidClaim(claim_token=token, target=target):
                return self._resolve_claim(token, target)
            case Pause(duration_ms=duration_ms):
                gevent.sleep(duration_ms / MS_PER_SECOND)
                return None

    def _resolve_claim(self, token: str, target: Target) -> ClaimResolution:
        link = self._dispatcher.context.links.open_link(target.endpoint_id)
        if link is None or link.hello.incarnation != target.incarnation:
            return Unresolved(
                "the endpoint that may have run the booking cannot be reached"
            )
        if token in self._pending_by_token:
            return Unresolved("another request is resolving the same claim")
        result = AsyncResult()
        self._pending_by_token[token] = (link, result)
        try:
            if not link.send(ResolveClaim(token, target.incarnation)):
                return Unresolved(
                    "the endpoint that may have run the booking cannot be reached"
                )
            state = result.get(timeout=RESOLVE_TIMEOUT_MS / MS_PER_SECOND)
        except Timeout:
            return Unresolved(
                "the endpoint did not report the state of the claim in time"
            )
        finally:
            del self._pending_by_token[token]
        return _claim_resolution(state)


def _wall_ms() -> float:
    return time.time() * MS_PER_SECOND


def _claim_resolution(state: ClaimState | None) -> ClaimResolution:
    if state is None:
        return Unresolved(
            "the link was lost before the endpoint reported the state of the claim"
        )
    if state.state == "forbidden":
        return Forbidden()
    if state.state == "done":
        return Completed(
            RecordedResponse(state.status, state.headers or [], state.body)
        )
    return Unresolved(f"the endpoint reports the claim as {state.state}")


def _choose_target(execution: RequestExecution) -> Target | NoTarget:
    """Choose the endpoint of the next claim; after an attempt if a retry may follow."""
    if execution.mailbox.is_stopping:
        stopping = stopping_refusal()
        code = stopping.code.value
        return NoTarget(stopping.message, stopping.retry_after_ms, code)
    if execution.attempt_count and not execution.may_resend_not_run():
        return NoTarget("no further attempt is allowed", None)
    chosen = execution.choose()
    if isinstance(chosen, Failure):
        return NoTarget(chosen.message, chosen.retry_after_ms, chosen.code.value)
    return Target(chosen.hello.member_id, chosen.hello.incarnation)


def _run_attempt(
    execution: RequestExecution, token: str, target: Target
) -> AttemptResult:
    """Send the request once and collect its complete response."""
    head: ResponseHead | None = None
    chunks: list[bytes] = []
    only_target = (target.endpoint_id, target.incarnation)
    for event in execution.events(only_target, token):
        match event:
            case ResponseHead():
                head = event
            case ResponseData():
                chunks += event.chunks
            case ResponseEnd() if head is not None:
                body = b"".join(chunks)
                return Completed(RecordedResponse(head.status, head.headers, body))
            case Failure(outcome=Outcome.NOT_RUN):
                return NotRun(event.code.value, event.message, event.retry_after_ms)
            case Failure():
                return MayHaveRun(event.message)
    return MayHaveRun("the response has no head")


def _outcome_of(result: BookingResult) -> str:
    match result:
        case Booked():
            return "whole"
        case BookingUnknown():
            return Outcome.UNKNOWN.value
    return Outcome.NOT_RUN.value


def _failure_of(result: NotBooked | BookingUnknown | BodyMismatch) -> Failure:
    match result:
        case NotBooked(reason=reason, retry_after_ms=retry_after_ms):
            message = f"the booking was not run: {reason}"
            code = failure_code(result.code)
            return failure(Outcome.NOT_RUN, code, message, retry_after_ms)
        case BookingUnknown(reason=reason, retry_after_ms=retry_after_ms):
            message = f"the booking may have run: {reason}; retry with the same key"
            code = ErrorCode.BOOKING_UNKNOWN
            return failure(Outcome.UNKNOWN, code, message, retry_after_ms)
    message = "this Idempotency-Key was used for a request with a different body"
    return failure(Outcome.NOT_RUN, ErrorCode.BOOKING_CONFLICT, message)


def _reply(call: HttpCall, result: BookingResult) -> Generator[bytes, None, None]:
    if not isinstance(result, Booked):
        error = _failure_of(result)
        reply = failure_reply(error, call.request_id)
        headers = [*reply.headers, RETRY_WITHIN_HEADER]
        yield from call.reply(Reply(reply.status, headers, reply.body))
        return
    recorded = result.answer
    headers = [
        row
        for row in reply_headers(recorded.headers)
        if row[0].lower() != "content-length"
    ]
    headers.append(("X-Request-Id", call.request_id))
    if result.replayed:
        headers.append(("X-Booking-Replayed", "true"))
    body = recorded.body
    if body is None:
        headers.append(("X-Booking-Body", "not-recorded"))
        body = b""
    if recorded.status not in (204, 304):
        headers.append(("Content-Length", str(len(body))))
    call.start_response(status_line(recorded.status), headers)
    yield body
