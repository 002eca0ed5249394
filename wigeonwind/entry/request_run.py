"""One admitted request: its attempts, retries, resumption and outcome."""

from collections.abc import Generator

from wigeonwind.decisions.interfaces import (
    GiveUp,
    NoEndpoint,
    RetryCause,
    RouteRequest,
)
from wigeonwind.entry.answer import (
    AnswerEnd,
    AnswerHead,
    AnswerParts,
    AnswerSoFar,
    CallerRequest,
)
from wigeonwind.entry.attempt import (
    Attempt,
    AttemptEnd,
    Broken,
    CallerGone,
    NotRun,
    TimedOut,
    Withdrawn,
    failure_code,
)
from wigeonwind.entry.metrics_sink import NO_LABELS
from wigeonwind.entry.moves import Moves
from wigeonwind.entry.pending import Mailbox
from wigeonwind.entry.replies import failure
from wigeonwind.entry.run_context import RunContext
from wigeonwind.links.link_types import Link
from wigeonwind.links.messages import (
    Submit,
)
from wigeonwind.outcomes import ErrorCode, Failure, Outcome

MAX_ATTEMPTS = 8
"""Attempts of one request, whatever the retry decisions allow."""

REPORT_MS = 50.0
"""Least time between two reports of a request's tokens to the decisions.

Reporting each token would cost more than formatting it.
"""

Event = AnswerHead | AnswerParts | AnswerEnd | Failure
Events = Generator[Event, None, None]


class RequestRun:
    """One request with its attempts."""

    def __init__(
        self, context: RunContext, request: CallerRequest, mailbox: Mailbox
    ) -> None:
        self.context = context
        self.request = request
        self.mailbox = mailbox
        self.clock = context.clock
        self.answer = AnswerSoFar()
        self.attempts = 0
        self.may_have_run = False
        self.ran = False
        self._refused_by: frozenset[str] = frozenset()
        self._left: frozenset[str] = frozenset()
        self._moves = Moves(context, request.request_class)
        self._last_not_run: NotRun | None = None

    def events(
        self,
        only: tuple[str, int] | None = None,
        claim_token: str = "",
    ) -> Events:
        """Yield the answer's events; the last is AnswerEnd or Failure.

        `only` names the one endpoint and incarnation that may run it.
        """
        self.context.retry.on_request(self.clock.now_ms())
        while True:
            if self.request.deadline_ms <= self.clock.now_ms():
                yield self._deadline_passed()
                return
            route = self.choose() if only is None else self._named_link(*only)
            if isinstance(route, Failure):
                yield route
                return
            end = yield from self._attempt(route, claim_token, only is None)
            self._exclude(route, end)
            outcome = self._after(end, only is None)
            if outcome is not None:
                yield outcome
                return

    def _exclude(self, link: Link, end: AttemptEnd) -> None:
        """Prefer others to one that failed; never return to one that refused."""
        if isinstance(end, NotRun):
            self._refused_by |= {link.hello.member_id}
        if isinstance(end, (Withdrawn, Broken)):
            self._left |= {link.hello.member_id}

    def choose(self) -> Link | Failure:
        """Choose an endpoint with an open link."""
        found = self._choose(self._refused_by | self._left)
        if isinstance(found, NoEndpoint) and self._left:
            self._left = frozenset()
            found = self._choose(self._refused_by)
        return self._no_endpoint(found) if isinstance(found, NoEndpoint) else found

    def _choose(self, excluded: frozenset[str]) -> Link | NoEndpoint:
        links = self.context.links
        excluded |= links.leaving_ids()
        for _ in range(len(links) + 1):
            now_ms = self.clock.now_ms()
            chosen = self.context.choice.choose(self._route(), now_ms, excluded)
            if isinstance(chosen, NoEndpoint):
                return chosen
            link = links.open_link(chosen.endpoint_id)
            if link is not None:
                return link
            excluded |= {chosen.endpoint_id}
        return NoEndpoint("no endpoint is connected", 1000.0)

    def _other(self, endpoint_id: str) -> str | None:
        """Return another endpoint that could take a request that waits."""
        found = self._choose(self._refused_by | self._left | {endpoint_id})
        return None if isinstance(found, NoEndpoint) else found.hello.member_id

    def _named_link(self, endpoint_id: str, incarnation: int) -> Link | Failure:
        link = self.context.links.open_link(endpoint_id)
        if link is None or link.hello.incarnation != incarnation:
            return self._no_endpoint(NoEndpoint("the endpoint has gone", 1000.0))
        return link

    def _no_endpoint(self, none: NoEndpoint) -> Failure:
        refused = self._last_not_run
        if refused is not None:
            return self._not_run_failure(refused)
        message = f"no endpoint can take the request: {none.reason}"
        return failure(
            self._outcome(), ErrorCode.NO_ENDPOINT, message, none.retry_after_ms
        )

    def _route(self) -> RouteRequest:
        request = self.request
        return RouteRequest(
            request.service.name,
            request.request_class.name,
            request.request_class.priority,
            request.prompt_tokens,
            request.model,
            request.prefix_keys,
        )

    def _attempt(
        self, link: Link, claim_token: str, may_move: bool
    ) -> Generator[AnswerHead | AnswerParts, None, AttemptEnd]:
        """Send one attempt and yield its part of the answer."""
        endpoint_id = link.hello.member_id
        self.answer.begin_attempt()
        self.mailbox.clear()
        submit = self._submit(link, claim_token)
        key = (submit.request_id, submit.attempt)
        self.attempts += 1
        pending = self.context.pending
        pending.add(key, link, self.mailbox)
        end: AttemptEnd = CallerGone()
        sent = False
        attempt = Attempt(
            self.request, submit, link, self.mailbox, self.answer, self.clock
        )
        try:
            sent = link.send(submit)
            if not sent:
                end = NotRun(ErrorCode.NO_ENDPOINT.value, "the link is closed", 1000.0)
                return end
            now_ms = self.clock.now_ms()
            self.context.choice.on_sent(endpoint_id, self._route(), now_ms)
            end = yield from self._observed(attempt, endpoint_id, may_move)
            return end
        finally:
            pending.remove(key)
            if sent:
                self._after_attempt(attempt, endpoint_id, end)

    def _observed(
        self, attempt: Attempt, endpoint_id: str, may_move: bool
    ) -> Generator[AnswerHead | AnswerParts, None, AttemptEnd]:
        """Pass the attempt's events on and report tokens to the decisions."""

        def should_move() -> bool:
            return self._moves.is_wanted(
                endpoint_id, attempt.sent_ms, lambda: self._other(endpoint_id)
            )

        events = attempt.events(should_move if may_move else None)
        counted = 0
        due_ms = 0.0
        try:
            while True:
                try:
                    event = next(events)
                except StopIteration as stop:
                    return stop.value
                now_ms = self.clock.now_ms()
                if now_ms >= due_ms and attempt.tokens > counted:
                    self._report_tokens(attempt, endpoint_id, counted, now_ms)
                    counted = attempt.tokens
                    due_ms = now_ms + REPORT_MS
                yield event
        finally:
            if attempt.tokens > counted:
                now_ms = self.clock.now_ms()
                self._report_tokens(attempt, endpoint_id, counted, now_ms)

    def _report_tokens(
        self, attempt: Attempt, endpoint_id: str, counted: int, now_ms: float
    ) -> None:
        """Report the tokens beyond `counted` to the choice and the limits."""
        choice = self.context.choice
        request = self.request
        if counted == 0 and attempt.first_part_ms is not None:
            wait_ms = attempt.first_part_ms - attempt.sent_ms
            choice.on_first_token(endpoint_id, wait_ms, now_ms)
        tokens = attempt.tokens - counted
        choice.on_tokens(endpoint_id, tokens, now_ms)
        class_name = request.request_class.name
        self.context.limits.on_tokens(request.customer, class_name, tokens, now_ms)

    def _after_attempt(
        self, attempt: Attempt, endpoint_id: str, end: AttemptEnd
    ) -> None:
        now_ms = self.clock.now_ms()
        ok = _speaks_well(end)
        self.context.choice.on_ended(endpoint_id, self._route(), ok, now_ms)
        if isinstance(end, (CallerGone, TimedOut, Broken)):
            attempt.cancel()
        if isinstance(end, CallerGone):
            self.context.metrics.count("entry_cancelled", NO_LABELS)

    def _submit(self, link: Link, claim_token: str) -> Submit:
        request = self.request
        hello = link.hello
        return Submit(
            request.request_id,
            self.attempts,
            hello.incarnation,
            request.catalog.version,
            request.service.name,
            request.request_class.name,
            request.customer,
            request.method,
            request.path,
            request.headers,
            request.body,
            request.stream,
            request.prompt_tokens,
            max(0.0, request.deadline_ms - self.clock.now_ms()),
            self.answer.resume_text() if request.is_model else "",
            self.answer.tokens,
            claim_token,
            request.traceparent,
        )

    def _after(self, end: AttemptEnd, may_retry: bool) -> AnswerEnd | Failure | None:
        """Return the last event of the request, or None to send another attempt."""
        match end:
            case AnswerEnd():
                return end
            case CallerGone():
                message = "the caller closed its connection"
                return failure(self._cut_outcome(), ErrorCode.CANCELLED, message)
            case TimedOut():
                return self._on_timeout(end)
            case Withdrawn():
                self._moves.on_moved()
                self.context.metrics.count("entry_moved", NO_LABELS)
                return None
            case NotRun():
                self._last_not_run = end
                return self._on_not_run(end, may_retry)
            case Broken():
                self.may_have_run = True
                self.ran = self.ran or end.ran
                return self._on_broken(end, may_retry)

    def _on_timeout(self, end: TimedOut) -> Failure:
        if not end.certain_not_run:
            self.may_have_run = True
            self.ran = self.ran or end.ran
        return self._deadline_passed()

    def _deadline_passed(self) -> Failure:
        message = "the request's time is over"
        return failure(self._outcome(), ErrorCode.DEADLINE, message)

    def _on_not_run(self, end: NotRun, may_retry: bool) -> Failure | None:
        if may_retry and self._moves.may_return(end.code):
            self._left = frozenset()
            return None
        if may_retry and self._may_resend(True, _cause_of(end)):
            return None
        return self._not_run_failure(end)

    def _not_run_failure(self, end: NotRun) -> Failure:
        code = failure_code(end.code)
        return failure(self._outcome(), code, end.reason, end.retry_after_ms)

    def _on_broken(self, end: Broken, may_retry: bool) -> Failure | None:
        has_plain_part = self.answer.has_head
        cause = RetryCause.FAILED
        if self.answer.pieces:
            cause = RetryCause.INTERRUPTED
        if may_retry and not has_plain_part and self._may_resend(False, cause):
            return None
        message = f"the endpoint failed: {end.reason}"
        retry_ms = 1000.0 if self.request.repeatable else None
        code = ErrorCode.ENDPOINT_FAILED
        return failure(self._outcome(), code, message, retry_ms)

    def may_resend_not_run(self) -> bool:
        """Return whether a certain not-run may be followed by another attempt."""
        last = self._last_not_run
        cause = _cause_of(last) if last else RetryCause.FAILED
        return self._may_resend(True, cause)

    def _may_resend(self, certain_not_run: bool, cause: RetryCause) -> bool:
        """Ask the retry decisions, and wait as long as they say."""
        request = self.request
        repeatable = request.repeatable
        if self.attempts >= MAX_ATTEMPTS or not (certain_not_run or repeatable):
            return False
        now_ms = self.clock.now_ms()
        left_ms = request.deadline_ms - now_ms
        decision = self.context.retry.decide(
            self.attempts - 1, certain_not_run, repeatable, left_ms, now_ms, cause
        )
        if isinstance(decision, GiveUp) or decision.delay_ms >= left_ms:
            return False
        resumes = request.is_model and bool(self.answer.pieces)
        name = "entry_resumed" if resumes else "entry_resent"
        self.context.metrics.count(name, NO_LABELS)
        self.mailbox.clear()
        if decision.delay_ms > 0:
            self.mailbox.wait(decision.delay_ms)
        return not self.mailbox.caller_gone

    def _outcome(self) -> Outcome:
        if self.ran:
            return Outcome.FAILED
        return Outcome.UNKNOWN if self.may_have_run else Outcome.NOT_RUN

    def _cut_outcome(self) -> Outcome:
        return Outcome.UNKNOWN if self.attempts else Outcome.NOT_RUN


def _cause_of(end: NotRun) -> RetryCause:
    """Return why an attempt that never ran is followed by another."""
    if end.code in (ErrorCode.OVERLOADED.value, ErrorCode.RATE_LIMITED.value):
        return RetryCause.REFUSED
    return RetryCause.HANDED_BACK


def _speaks_well(end: AttemptEnd) -> bool:
    """Return whether an end says nothing against the endpoint's health.

    An endpoint that refuses because it is full or leaving works as it should, and the
    deadline is the caller's choice.
    """
    if isinstance(end, NotRun):
        return failure_code(end.code) is not ErrorCode.ENDPOINT_FAILED
    return not isinstance(end, Broken)
