"""Execution of an admitted request: attempts, retries, resumption and outcome."""

from collections.abc import Generator

from wigeonwind.decisions.interfaces import (
    GiveUp,
    NoEndpoint,
    RetryCause,
    RouteRequest,
)
from wigeonwind.entry.attempt import (
    Attempt,
    AttemptFailed,
    AttemptOutcome,
    CallerDisconnected,
    NotRun,
    Stopped,
    TimedOut,
    Withdrawn,
    failure_code,
)
from wigeonwind.entry.entry_context import EntryContext
from wigeonwind.entry.metrics_sink import NO_LABELS
from wigeonwind.entry.pending_attempts import Mailbox
from wigeonwind.entry.replies import failure, stopping_refusal
from wigeonwind.entry.request_response import (
    AdmittedRequest,
    PartialResponse,
    ResponseData,
    ResponseEnd,
    ResponseHead,
)
from wigeonwind.entry.reroute_policy import ReroutePolicy
from wigeonwind.links.link_types import Link
from wigeonwind.links.messages import (
    Submit,
)
from wigeonwind.outcomes import ErrorCode, Failure, Outcome

MAX_ATTEMPTS = 8
"""Limit of attempts per request, in addition to that of the retry decisions."""

TOKEN_REPORT_INTERVAL_MS = 50.0
"""Minimum interval between reports of a request's tokens to the decisions.

Reporting each token would cost more than formatting it.
"""

RequestEvent = ResponseHead | ResponseData | ResponseEnd | Failure
RequestEvents = Generator[RequestEvent, None, None]


class RequestExecution:
    """Executes one request with its attempts.

    `may_have_run` is set after an attempt that may have run, `certainly_ran` after one
    that certainly did; they determine the outcome of a failure.
    """

    def __init__(
        self, context: EntryContext, request: AdmittedRequest, mailbox: Mailbox
    ) -> None:
        self.context = context
        self.request = request
        self.mailbox = mailbox
        self.clock = context.clock
        self.response = PartialResponse()
        self.attempt_count = 0
        self.may_have_run = False
        self.certainly_ran = False
        self._refused_endpoints: frozenset[str] = frozenset()
        self._avoided_endpoints: frozenset[str] = frozenset()
        self._reroutes = ReroutePolicy(context, request.request_class)
        self._last_not_run: NotRun | None = None

    def events(
        self,
        target: tuple[str, int] | None = None,
        claim_token: str = "",
    ) -> RequestEvents:
        """Yield the response's events; the last is ResponseEnd or Failure.

        `target` is the member id and incarnation of the only sidecar that may get the
        request, which is then sent once. With None, the endpoint choice chooses one for
        each attempt.
        """
        self.context.retry.on_request(self.clock.now_ms())
        while True:
            if self.mailbox.is_stopping:
                yield self._stopped()
                return
            if self.request.deadline_ms <= self.clock.now_ms():
                yield self._deadline_passed()
                return
            link = self.choose() if target is None else self._target_link(*target)
            if isinstance(link, Failure):
                yield link
                return
            outcome = yield from self._send_attempt(link, claim_token, target is None)
            self._update_excluded(link, outcome)
            final_event = self._next_step(outcome, target is None)
            if final_event is not None:
                yield final_event
                return

    def _update_excluded(self, link: Link, outcome: AttemptOutcome) -> None:
        """Exclude an endpoint that refused; avoid one that failed.

        One from which the attempt was withdrawn is avoided too. An avoided endpoint is
        chosen again if there is no other.
        """
        if isinstance(outcome, NotRun):
            self._refused_endpoints |= {link.hello.member_id}
        if isinstance(outcome, (Withdrawn, AttemptFailed)):
            self._avoided_endpoints |= {link.hello.member_id}

    def choose(self) -> Link | Failure:
        """Choose an endpoint; return its open link, or a failure if there is none."""
        found = self._choose(self._refused_endpoints | self._avoided_endpoints)
        if isinstance(found, NoEndpoint) and self._avoided_endpoints:
            self._avoided_endpoints = frozenset()
            found = self._choose(self._refused_endpoints)
        return self._no_endpoint(found) if isinstance(found, NoEndpoint) else found

    def _choose(self, excluded: frozenset[str]) -> Link | NoEndpoint:
        links = self.context.links
        excluded |= links.leaving_ids()
        for _ in range(len(links) + 1):
            now_ms = self.clock.now_ms()
            chosen = self.context.choice.choose(self._route_request(), now_ms, excluded)
            if isinstance(chosen, NoEndpoint):
                return chosen
            link = links.open_link(chosen.endpoint_id)
            if link is not None:
                return link
            excluded |= {chosen.endpoint_id}
        return NoEndpoint("no endpoint is connected", 1000.0)

    def _alternative(self, endpoint_id: str) -> str | None:
        """Return another endpoint to which a queued request could be rerouted."""
        found = self._choose(
            self._refused_endpoints | self._avoided_endpoints | {endpoint_id}
        )
        return None if isinstance(found, NoEndpoint) else found.hello.member_id

    def _target_link(self, endpoint_id: str, incarnation: int) -> Link | Failure:
        link = self.context.links.open_link(endpoint_id)
        if link is None or link.hello.incarnation != incarnation:
            return self._no_endpoint(
                NoEndpoint("the target endpoint is not connected", 1000.0)
            )
        return link

    def _no_endpoint(self, no_endpoint: NoEndpoint) -> Failure:
        refused = self._last_not_run
        if refused is not None:
            return self._not_run_failure(refused)
        message = f"no endpoint is available: {no_endpoint.reason}"
        return failure(
            self._outcome(), ErrorCode.NO_ENDPOINT, message, no_endpoint.retry_after_ms
        )

    def _route_request(self) -> RouteRequest:
        request = self.request
        return RouteRequest(
            request.service.name,
            request.request_class.name,
            request.request_class.priority,
            request.prompt_tokens,
            request.model,
            request.prefix_keys,
        )

    def _send_attempt(
        self, link: Link, claim_token: str, may_reroute: bool
    ) -> Generator[ResponseHead | ResponseData, None, AttemptOutcome]:
        """Send one attempt and yield its part of the response."""
        endpoint_id = link.hello.member_id
        self.response.begin_attempt()
        self.mailbox.clear()
        submit = self._make_submit(link, claim_token)
        key = (submit.request_id, submit.attempt)
        self.attempt_count += 1
        pending = self.context.pending
        pending.add(key, link, self.mailbox)
        outcome: AttemptOutcome = CallerDisconnected()
        sent = False
        attempt = Attempt(
            self.request, submit, link, self.mailbox, self.response, self.clock
        )
        try:
            sent = link.send(submit)
            if not sent:
                outcome = NotRun(
                    ErrorCode.NO_ENDPOINT.value,
                    "the link to the endpoint is closed",
                    1000.0,
                )
                return outcome
            now_ms = self.clock.now_ms()
            self.context.choice.on_sent(endpoint_id, self._route_request(), now_ms)
            outcome = yield from self._forward_events(attempt, endpoint_id, may_reroute)
            return outcome
        finally:
            pending.remove(key)
            if sent:
                self._record_outcome(attempt, endpoint_id, outcome)

    def _forward_events(
        self, attempt: Attempt, endpoint_id: str, may_reroute: bool
    ) -> Generator[ResponseHead | ResponseData, None, AttemptOutcome]:
        """Yield the attempt's events and report its tokens to the decisions."""

        def should_reroute() -> bool:
            return self._reroutes.should_reroute(
                endpoint_id, attempt.sent_ms, lambda: self._alternative(endpoint_id)
            )

        events = attempt.events(should_reroute if may_reroute else None)
        reported_tokens = 0
        report_due_ms = 0.0
        try:
            while True:
                try:
                    event = next(events)
                except StopIteration as stop:
                    return stop.value
                now_ms = self.clock.now_ms()
                if now_ms >= report_due_ms and attempt.tokens > reported_tokens:
                    self._report_tokens(attempt, endpoint_id, reported_tokens, now_ms)
                    reported_tokens = attempt.tokens
                    report_due_ms = now_ms + TOKEN_REPORT_INTERVAL_MS
                yield event
        finally:
            if attempt.tokens > reported_tokens:
                now_ms = self.clock.now_ms()
                self._report_tokens(attempt, endpoint_id, reported_tokens, now_ms)

    def _report_tokens(
        self, attempt: Attempt, endpoint_id: str, reported_tokens: int, now_ms: float
    ) -> None:
        """Report tokens beyond `reported_tokens` to endpoint choice and limits."""
        choice = self.context.choice
        request = self.request
        if reported_tokens == 0 and attempt.first_data_ms is not None:
            wait_ms = attempt.first_data_ms - attempt.sent_ms
            choice.on_first_token(endpoint_id, wait_ms, now_ms)
        tokens = attempt.tokens - reported_tokens
        choice.on_tokens(endpoint_id, tokens, now_ms)
        class_name = request.request_class.name
        self.context.limits.on_tokens(request.customer, class_name, tokens, now_ms)

    def _record_outcome(
        self, attempt: Attempt, endpoint_id: str, outcome: AttemptOutcome
    ) -> None:
        now_ms = self.clock.now_ms()
        ok = _is_healthy_outcome(outcome)
        self.context.choice.on_ended(endpoint_id, self._route_request(), ok, now_ms)
        if isinstance(outcome, (CallerDisconnected, TimedOut, Stopped, AttemptFailed)):
            attempt.cancel()
        if isinstance(outcome, CallerDisconnected):
            self.context.metrics.count("entry_cancelled", NO_LABELS)

    def _make_submit(self, link: Link, claim_token: str) -> Submit:
        request = self.request
        hello = link.hello
        return Submit(
            request.request_id,
            self.attempt_count,
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
            self.response.resume_text() if request.is_model else "",
            self.response.tokens,
            claim_token,
            request.traceparent,
        )

    def _next_step(
        self, outcome: AttemptOutcome, may_retry: bool
    ) -> ResponseEnd | Failure | None:
        """Return the final event of the request, or None to send another attempt."""
        match outcome:
            case ResponseEnd():
                return outcome
            case CallerDisconnected():
                message = "the caller closed its connection"
                return failure(self._disconnect_outcome(), ErrorCode.CANCELLED, message)
            case TimedOut():
                self._note_end(outcome)
                return self._deadline_passed()
            case Stopped():
                self._note_end(outcome)
                return self._stopped()
            case Withdrawn():
                self._reroutes.on_rerouted()
                self.context.metrics.count("entry_moved", NO_LABELS)
                return None
            case NotRun():
                self._last_not_run = outcome
                return self._on_not_run(outcome, may_retry)
            case AttemptFailed():
                self.may_have_run = True
                self.certainly_ran = self.certainly_ran or outcome.certainly_ran
                return self._on_failed(outcome, may_retry)

    def _note_end(self, outcome: TimedOut | Stopped) -> None:
        if not outcome.certainly_not_run:
            self.may_have_run = True
            self.certainly_ran = self.certainly_ran or outcome.certainly_ran

    def _stopped(self) -> Failure:
        """Return the failure of a request that the stop of the entry ends."""
        if self._outcome() is Outcome.NOT_RUN:
            return stopping_refusal()
        message = "the entry stopped before the response was complete"
        return failure(self._outcome(), ErrorCode.ENDPOINT_FAILED, message)

    def _deadline_passed(self) -> Failure:
        message = "the deadline of the request has passed"
        return failure(self._outcome(), ErrorCode.DEADLINE, message)

    def _on_not_run(self, outcome: NotRun, may_retry: bool) -> Failure | None:
        if may_retry and self._reroutes.may_resend_refused(outcome.code):
            self._avoided_endpoints = frozenset()
            return None
        if may_retry and self._may_resend(True, _retry_cause(outcome)):
            return None
        return self._not_run_failure(outcome)

    def _not_run_failure(self, outcome: NotRun) -> Failure:
        code = failure_code(outcome.code)
        return failure(self._outcome(), code, outcome.reason, outcome.retry_after_ms)

    def _on_failed(self, outcome: AttemptFailed, may_retry: bool) -> Failure | None:
        has_head = self.response.has_head
        cause = RetryCause.FAILED
        if self.response.chunks:
            cause = RetryCause.INTERRUPTED
        if may_retry and not has_head and self._may_resend(False, cause):
            return None
        message = f"the endpoint failed: {outcome.reason}"
        retry_ms = 1000.0 if self.request.repeatable else None
        code = ErrorCode.ENDPOINT_FAILED
        return failure(self._outcome(), code, message, retry_ms)

    def may_resend_not_run(self) -> bool:
        """Return whether another attempt may follow one that did not run."""
        last = self._last_not_run
        cause = _retry_cause(last) if last else RetryCause.FAILED
        return self._may_resend(True, cause)

    def _may_resend(self, certainly_not_run: bool, cause: RetryCause) -> bool:
        """Ask the retry decisions and wait for the delay that they return."""
        request = self.request
        repeatable = request.repeatable
        if self.mailbox.is_stopping:
            return False
        if self.attempt_count >= MAX_ATTEMPTS or not (certainly_not_run or repeatable):
            return False
        now_ms = self.clock.now_ms()
        remaining_ms = request.deadline_ms - now_ms
        decision = self.context.retry.decide(
            self.attempt_count - 1,
            certainly_not_run,
            repeatable,
            remaining_ms,
            now_ms,
            cause,
        )
        if isinstance(decision, GiveUp) or decision.delay_ms >= remaining_ms:
            return False
        resumes = request.is_model and bool(self.response.chunks)
        name = "entry_resumed" if resumes else "entry_resent"
        self.context.metrics.count(name, NO_LABELS)
        self.mailbox.clear()
        if decision.delay_ms > 0:
            self.mailbox.wait(decision.delay_ms)
        return not (self.mailbox.caller_disconnected or self.mailbox.is_stopping)

    def _outcome(self) -> Outcome:
        if self.certainly_ran:
            return Outcome.FAILED
        return Outcome.UNKNOWN if self.may_have_run else Outcome.NOT_RUN

    def _disconnect_outcome(self) -> Outcome:
        return Outcome.UNKNOWN if self.attempt_count else Outcome.NOT_RUN


def _retry_cause(outcome: NotRun) -> RetryCause:
    """Return the cause of a retry after an attempt that did not run."""
    if outcome.code in (ErrorCode.OVERLOADED.value, ErrorCode.RATE_LIMITED.value):
        return RetryCause.REFUSED
    return RetryCause.HANDED_BACK


def _is_healthy_outcome(outcome: AttemptOutcome) -> bool:
    """Return whether an outcome does not count against the endpoint's health.

    An endpoint that refuses because it is full or leaving is healthy, and the deadline
    is set by the caller.
    """
    if isinstance(outcome, NotRun):
        return failure_code(outcome.code) is not ErrorCode.ENDPOINT_FAILED
    return not isinstance(outcome, AttemptFailed)
