"""One attempt of a request at one sidecar, from Submit to its end."""

from collections.abc import Callable, Generator
from dataclasses import dataclass

from wigeonwind.clock import Clock
from wigeonwind.entry.answer import (
    AnswerEnd,
    AnswerHead,
    AnswerParts,
    AnswerSoFar,
    CallerRequest,
)
from wigeonwind.entry.pending import LinkLost, Mailbox
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
"""Time a sidecar has to confirm a withdrawal when the deadline has passed."""


MOVE_CHECK_MS = 100.0
"""Interval between looks whether a waiting attempt should go elsewhere."""

FAILED_RETRY_MS = 1000.0
"""Retry-After of a request whose endpoint could not be reached: by then the comparison
with other endpoints has marked it.
"""


@dataclass(frozen=True)
class NotRun:
    """The attempt certainly never ran; `code` is an ErrorCode value."""

    code: str
    reason: str
    retry_after_ms: float | None = None


@dataclass(frozen=True)
class Broken:
    """The attempt ended without a whole answer and may have run.

    `ran` says that it certainly ran (at a model that had begun to answer).
    """

    reason: str
    ran: bool


@dataclass(frozen=True)
class Withdrawn:
    """The sidecar confirmed that the attempt never starts."""


@dataclass(frozen=True)
class TimedOut:
    """The deadline passed; `certain_not_run` if a withdrawal was confirmed."""

    certain_not_run: bool
    ran: bool


@dataclass(frozen=True)
class CallerGone:
    """The caller closed its connection."""


AttemptEnd = AnswerEnd | NotRun | Broken | Withdrawn | TimedOut | CallerGone
AnswerEvent = AnswerHead | AnswerParts
AttemptEvents = Generator[AnswerEvent, None, AttemptEnd]


class Attempt:
    """One attempt that has been sent over `link`."""

    def __init__(
        self,
        request: CallerRequest,
        submit: Submit,
        link: Link,
        mailbox: Mailbox,
        answer: AnswerSoFar,
        clock: Clock,
    ) -> None:
        self.request = request
        self._is_model = request.is_model
        self.key = (submit.request_id, submit.attempt)
        self.link = link
        self.mailbox = mailbox
        self.answer = answer
        self.clock = clock
        self.sent_ms = clock.now_ms()
        self.first_part_ms: float | None = None
        self.tokens = 0
        self.started = False
        self._asked_back = False
        self._kept = False
        self._end: AttemptEnd | None = None
        self._pieces: list[bytes] = []

    def events(self, should_move: Callable[[], bool] | None) -> AttemptEvents:
        """Yield the answer as it arrives and return how the attempt ended.

        While the attempt waits in the sidecar's queue, `should_move` is asked every
        MOVE_CHECK_MS; if it says so the attempt is asked back, once.
        """
        while self._end is None:
            if not self._wait(should_move is not None):
                self._on_time(should_move)
                continue
            if self.mailbox.caller_gone:
                return CallerGone()
            yield from self._take_all()
        return self._end

    def cancel(self) -> None:
        """Tell the sidecar to stop."""
        self.link.send(Cancel(*self.key))

    def _wait(self, checks_moves: bool) -> bool:
        left_ms = self.request.deadline_ms - self.clock.now_ms()
        if checks_moves and self._may_move():
            left_ms = min(left_ms, MOVE_CHECK_MS)
        return self.mailbox.wait(left_ms)

    def _may_move(self) -> bool:
        return not (self.started or self._asked_back)

    def _on_time(self, should_move: Callable[[], bool] | None) -> None:
        if self.clock.now_ms() >= self.request.deadline_ms:
            self._end = self._time_out()
        elif should_move is not None and self._may_move() and should_move():
            self._asked_back = True
            self.link.send(Withdraw(*self.key))

    def _time_out(self) -> TimedOut:
        """Ask the attempt back, so that the caller may be told not-run."""
        if not self.started and self.link.send(Withdraw(*self.key)):
            limit_ms = self.clock.now_ms() + WITHDRAW_WAIT_MS
            while self._end is None and self._wait_until(limit_ms):
                self._take_all()
        certain = isinstance(self._end, (Withdrawn, NotRun))
        return TimedOut(certain, self._is_model and self.started)

    def _wait_until(self, limit_ms: float) -> bool:
        left_ms = limit_ms - self.clock.now_ms()
        if left_ms <= 0 or self._kept or self.mailbox.caller_gone:
            return False
        return self.mailbox.wait(left_ms)

    def _take_all(self) -> list[AnswerEvent]:
        """Handle all that has arrived; pieces that arrived together stay together."""
        events: list[AnswerEvent] = []
        items = self.mailbox.items
        while items and self._end is None:
            item = items.popleft()
            if type(item) is Chunk:
                self._on_chunk(item)
            elif type(item) is Head:
                self._on_head(item, events)
            else:
                self._on_other(item)
        if self._pieces:
            events.append(AnswerParts(self._pieces))
            self._pieces = []
        return events

    def _on_chunk(self, chunk: Chunk) -> None:
        answer = self.answer
        if not answer.accepts(chunk):
            reason = f"chunk {chunk.seq} arrived where {answer.next_seq} was due"
            self._end = Broken(reason, self._ran())
            return
        data = chunk.data
        if self._is_model:
            answer.pieces.append(data)
        elif not answer.has_head:
            self._end = Broken("the body arrived before its head", False)
            return
        self.started = True
        if self.first_part_ms is None:
            self.first_part_ms = self.clock.now_ms()
        self.mailbox.unread_bytes -= len(data)
        self.tokens += chunk.tokens
        answer.tokens += chunk.tokens
        if data:
            self._pieces.append(data)

    def _on_head(self, head: Head, events: list[AnswerEvent]) -> None:
        self.started = True
        if self._is_model or self.answer.has_head:
            self._end = Broken("a head arrived out of place", self._ran())
            return
        self.answer.has_head = True
        events.append(AnswerHead(head.status, head.headers))

    def _on_other(self, item: object) -> None:
        match item:
            case Started():
                self.started = True
            case Queued():
                pass
            case Finished():
                self._end = self._finished(item)
            case Refused(code=code, reason=reason, retry_after_ms=retry_after_ms):
                self._end = self._not_run(code, reason, retry_after_ms)
            case Failed(started=False, code=code, reason=reason):
                self._end = self._not_run(code, reason, FAILED_RETRY_MS)
            case Failed(code=ErrorCode.DEADLINE.value):
                # The sidecar stopped late work; running it elsewhere is of no use.
                self._end = TimedOut(False, self._is_model)
            case Failed(reason=reason):
                self._end = Broken(reason, self._is_model)
            case WithdrawResult(withdrawn=True):
                self._end = self._withdrawn()
            case WithdrawResult():
                self._kept = True
            case LinkLost(reason=reason):
                self._end = Broken(f"link lost: {reason}", self._ran())

    def _not_run(
        self, code: str, reason: str, retry_after_ms: float | None
    ) -> NotRun | Broken:
        if self._has_answer():
            return Broken(f"refused after the answer had begun: {reason}", self._ran())
        return NotRun(code, reason, retry_after_ms)

    def _withdrawn(self) -> Withdrawn | Broken:
        if self._has_answer():
            return Broken("withdrawn after the answer had begun", self._ran())
        return Withdrawn()

    def _has_answer(self) -> bool:
        """Return whether this attempt has sent any of its answer."""
        return self.answer.next_seq > 0 or self.answer.has_head

    def _finished(self, finished: Finished) -> AttemptEnd:
        answer = self.answer
        if not answer.is_whole(finished):
            counts = f"{answer.next_seq} of {finished.chunks} chunks arrived"
            return Broken(counts, self._ran())
        if not self._is_model and not answer.has_head:
            return Broken("the answer has no head", False)
        return AnswerEnd(
            finished.finish_reason,
            finished.prompt_tokens,
            answer.tokens,
            finished.cached_tokens,
        )

    def _ran(self) -> bool:
        """Return whether it is certain that a model has run (part of) the request."""
        return self._is_model and self.started


def failure_code(code: str) -> ErrorCode:
    """Return the code a sidecar gave, or ENDPOINT_FAILED for an unknown one."""
    try:
        return ErrorCode(code)
    except ValueError:
        return ErrorCode.ENDPOINT_FAILED
