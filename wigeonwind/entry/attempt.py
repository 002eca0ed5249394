"""One attempt of a request at one sidecar, from Submit to its outcome."""

from collections.abc import Callable, Generator
from dataclasses import dataclass

from wigeonwind.clock import Clock
from wigeonwind.entry.pending_attempts import LinkLost, Mailbox
from wigeonwind.entry.request_response import (
    AdmittedRequest,
    PartialResponse,
    ResponseData,
    ResponseEnd,
    ResponseHead,
)
from wigeonwind.links.link_types import Link
from wigeonwind.links.messages import (
    Cancel,
    Chunk,
    Failed,
    Finished,
    Head,
    Queued,
    Refused,
    Started,
    Submit,
    Withdraw,
    WithdrawResult,
)
from wigeonwind.outcomes import ErrorCode

WITHDRAW_WAIT_MS = 500.0
"""Time a sidecar has to confirm a withdrawal after the deadline."""

STOP_WITHDRAW_WAIT_MS = 150.0
"""The same when the entry stops: it must answer before its drain's limit."""

REROUTE_CHECK_MS = 100.0
"""Interval between checks whether a queued attempt should be rerouted."""

FAILED_RETRY_AFTER_MS = 1000.0
"""Retry-After of a request whose sidecar could not reach its endpoint.

Within this time the comparison with other endpoints ejects the endpoint.
"""


@dataclass(frozen=True)
class NotRun:
    """The attempt did not run; `code` is an ErrorCode value."""

    code: str
    reason: str
    retry_after_ms: float | None = None


@dataclass(frozen=True)
class AttemptFailed:
    """The attempt ended without a complete response and may have run.

    `certainly_ran` is set if a model had already started to respond.
    """

    reason: str
    certainly_ran: bool


@dataclass(frozen=True)
class Withdrawn:
    """The sidecar confirmed that the attempt was withdrawn before it started."""


@dataclass(frozen=True)
class TimedOut:
    """The deadline passed before the response was complete.

    `certainly_not_run` is set if the sidecar confirmed that it did not start the
    attempt, `certainly_ran` if a model had started to respond.
    """

    certainly_not_run: bool
    certainly_ran: bool


@dataclass(frozen=True)
class Stopped:
    """The entry stopped before the response was complete; fields as in TimedOut."""

    certainly_not_run: bool
    certainly_ran: bool


@dataclass(frozen=True)
class CallerDisconnected:
    """The caller closed its connection before the response was complete."""


AttemptOutcome = (
    ResponseEnd
    | NotRun
    | AttemptFailed
    | Withdrawn
    | TimedOut
    | Stopped
    | CallerDisconnected
)
AttemptEvent = ResponseHead | ResponseData
AttemptEvents = Generator[AttemptEvent, None, AttemptOutcome]


class Attempt:
    """One attempt that is sent over `link`.

    `key` is the request id and the number of the attempt. `sent_ms` and `first_data_ms`
    are clock readings; `tokens` counts the tokens of this attempt only.
    """

    def __init__(
        self,
        request: AdmittedRequest,
        submit: Submit,
        link: Link,
        mailbox: Mailbox,
        response: PartialResponse,
        clock: Clock,
    ) -> None:
        self.request = request
        self._is_model = request.is_model
        self.key = (submit.request_id, submit.attempt)
        self.link = link
        self.mailbox = mailbox
        self.response = response
        self.clock = clock
        self.sent_ms = clock.now_ms()
        self.first_data_ms: float | None = None
        self.tokens = 0
        self.started = False
        self._withdraw_sent = False
        self._withdraw_refused = False
        self._outcome: AttemptOutcome | None = None
        self._new_chunks: list[bytes] = []

    def events(self, should_reroute: Callable[[], bool] | None) -> AttemptEvents:
        """Yield the response as it arrives and return the attempt's outcome.

        While the attempt is queued at the sidecar, `should_reroute` is called every
        REROUTE_CHECK_MS; when it returns True, a withdrawal is requested, once.
        """
        while self._outcome is None:
            if not self._wait(should_reroute is not None):
                self._on_wait_timeout(should_reroute)
                continue
            if self.mailbox.caller_disconnected:
                return CallerDisconnected()
            yield from self._process_messages()
            if self.mailbox.is_stopping and self._outcome is None:
                self._outcome = self._on_stop()
        return self._outcome

    def cancel(self) -> None:
        """Request the cancellation of the attempt from the sidecar."""
        self.link.send(Cancel(*self.key))

    def _wait(self, may_reroute: bool) -> bool:
        remaining_ms = self.request.deadline_ms - self.clock.now_ms()
        if may_reroute and self._may_reroute():
            remaining_ms = min(remaining_ms, REROUTE_CHECK_MS)
        return self.mailbox.wait(remaining_ms)

    def _may_reroute(self) -> bool:
        return not (self.started or self._withdraw_sent)

    def _on_wait_timeout(self, should_reroute: Callable[[], bool] | None) -> None:
        if self.clock.now_ms() >= self.request.deadline_ms:
            self._outcome = self._on_deadline()
        elif should_reroute is not None and self._may_reroute() and should_reroute():
            self._withdraw_sent = True
            self.link.send(Withdraw(*self.key))

    def _on_deadline(self) -> TimedOut:
        not_run = self._try_withdraw(WITHDRAW_WAIT_MS)
        return TimedOut(not_run, self._certainly_ran())

    def _on_stop(self) -> Stopped:
        not_run = self._try_withdraw(STOP_WITHDRAW_WAIT_MS)
        return Stopped(not_run, self._certainly_ran())

    def _try_withdraw(self, wait_ms: float) -> bool:
        """Try to withdraw the attempt; return whether it certainly does not run."""
        if not self.started and self.link.send(Withdraw(*self.key)):
            limit_ms = self.clock.now_ms() + wait_ms
            while self._outcome is None and self._wait_until(limit_ms):
                self._process_messages()
        return isinstance(self._outcome, (Withdrawn, NotRun))

    def _wait_until(self, limit_ms: float) -> bool:
        remaining_ms = limit_ms - self.clock.now_ms()
        if (
            remaining_ms <= 0
            or self._withdraw_refused
            or self.mailbox.caller_disconnected
        ):
            return False
        return self.mailbox.wait(remaining_ms)

    def _process_messages(self) -> list[AttemptEvent]:
        """Process all received messages; chunks received together form one event."""
        events: list[AttemptEvent] = []
        messages = self.mailbox.messages
        while messages and self._outcome is None:
            message = messages.popleft()
            if type(message) is Chunk:
                self._on_chunk(message)
            elif type(message) is Head:
                self._on_head(message, events)
            else:
                self._on_control_message(message)
        if self._new_chunks:
            events.append(ResponseData(self._new_chunks))
            self._new_chunks = []
        return events

    def _on_chunk(self, chunk: Chunk) -> None:
        response = self.response
        if not response.accept(chunk):
            reason = f"received chunk {chunk.seq}, expected {response.next_seq}"
            self._outcome = AttemptFailed(reason, self._certainly_ran())
            return
        data = chunk.data
        if self._is_model:
            response.chunks.append(data)
        elif not response.has_head:
            self._outcome = AttemptFailed(
                "received body data before the response head", False
            )
            return
        self.started = True
        if self.first_data_ms is None:
            self.first_data_ms = self.clock.now_ms()
        self.mailbox.unread_bytes -= len(data)
        self.tokens += chunk.tokens
        response.tokens += chunk.tokens
        if data:
            self._new_chunks.append(data)

    def _on_head(self, head: Head, events: list[AttemptEvent]) -> None:
        self.started = True
        if self._is_model or self.response.has_head:
            self._outcome = AttemptFailed(
                "received an unexpected response head", self._certainly_ran()
            )
            return
        self.response.has_head = True
        events.append(ResponseHead(head.status, head.headers))

    def _on_control_message(self, message: object) -> None:
        match message:
            case Started():
                self.started = True
            case Queued():
                pass
            case Finished():
                self._outcome = self._finished(message)
            case Refused(code=code, reason=reason, retry_after_ms=retry_after_ms):
                self._outcome = self._not_run(code, reason, retry_after_ms)
            case Failed(started=False, code=code, reason=reason):
                self._outcome = self._not_run(code, reason, FAILED_RETRY_AFTER_MS)
            case Failed(code=ErrorCode.DEADLINE.value):
                # The sidecar stopped a late attempt; a retry would be late too.
                self._outcome = TimedOut(False, self._is_model)
            case Failed(reason=reason):
                self._outcome = AttemptFailed(reason, self._is_model)
            case WithdrawResult(withdrawn=True):
                self._outcome = self._withdrawn()
            case WithdrawResult():
                self._withdraw_refused = True
            case LinkLost(reason=reason):
                self._outcome = AttemptFailed(
                    f"link lost: {reason}", self._certainly_ran()
                )

    def _not_run(
        self, code: str, reason: str, retry_after_ms: float | None
    ) -> NotRun | AttemptFailed:
        if self._has_response():
            return AttemptFailed(
                f"refused after the response had started: {reason}",
                self._certainly_ran(),
            )
        return NotRun(code, reason, retry_after_ms)

    def _withdrawn(self) -> Withdrawn | AttemptFailed:
        if self._has_response():
            return AttemptFailed(
                "withdrawn after the response had started", self._certainly_ran()
            )
        return Withdrawn()

    def _has_response(self) -> bool:
        """Return whether this attempt has sent any part of its response."""
        return self.response.next_seq > 0 or self.response.has_head

    def _finished(self, finished: Finished) -> AttemptOutcome:
        response = self.response
        if not response.is_complete(finished):
            counts = f"received {response.next_seq} of {finished.chunks} chunks"
            return AttemptFailed(counts, self._certainly_ran())
        if not self._is_model and not response.has_head:
            return AttemptFailed("the response has no head", False)
        return ResponseEnd(
            finished.finish_reason,
            finished.prompt_tokens,
            response.tokens,
            finished.cached_tokens,
        )

    def _certainly_ran(self) -> bool:
        """Return whether a model has certainly run at least part of the request."""
        return self._is_model and self.started


def failure_code(code: str) -> ErrorCode:
    """Return the ErrorCode of a sidecar's code, ENDPOINT_FAILED for an unknown one."""
    try:
        return ErrorCode(code)
    except ValueError:
        return ErrorCode.ENDPOINT_FAILED
