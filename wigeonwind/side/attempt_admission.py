"""Admission, withdrawal and claim resolution of attempts that have not started."""

from collections.abc import Callable

from wigeonwind.clock import Clock
from wigeonwind.decisions.interfaces import (
    AttemptSpec,
    EndpointQueueDecisions,
    Rejected,
)
from wigeonwind.links.link_types import Link
from wigeonwind.links.messages import (
    ClaimState,
    Queued,
    Refused,
    ResolveClaim,
    Submit,
    Withdraw,
    WithdrawResult,
)
from wigeonwind.outcomes import ErrorCode
from wigeonwind.side.attempt_table import Attempt, AttemptStatus, AttemptTable
from wigeonwind.side.claim_registry import ClaimRegistry, TokenState
from wigeonwind.side.pause_detector import PauseDetector
from wigeonwind.side.sidecar_metrics import SidecarMetrics

FULL_RETRY_AFTER_MS = 1_000.0
"""Retry-After when the attempt table or the claim registry is full."""


def _rejection(code: ErrorCode, reason: str, retry_after_ms: float = 0.0) -> Rejected:
    return Rejected(code.value, reason, retry_after_ms)


class AttemptAdmission:
    """Admits Submits to the queue, and removes the attempts that must not start.

    Starting queued attempts is the task of AttemptRunner.
    """

    def __init__(
        self,
        clock: Clock,
        table: AttemptTable,
        claims: ClaimRegistry,
        queue: EndpointQueueDecisions,
        metrics: SidecarMetrics,
        pause_detector: PauseDetector,
        incarnation: int,
        service: str,
        may_pause: bool,
        check_accepting: Callable[[], Rejected | None],
    ) -> None:
        self._clock = clock
        self._table = table
        self._claims = claims
        self._queue = queue
        self._metrics = metrics
        self._pause_detector = pause_detector
        self._incarnation = incarnation
        self._service = service
        self._may_pause = may_pause
        self._check_accepting = check_accepting

    def on_submit(self, link: Link, submit: Submit) -> None:
        """Queue an attempt or refuse it.

        A duplicate is refused again if the first copy was refused or withdrawn, and
        ignored otherwise.
        """
        key = (submit.request_id, submit.attempt)
        status = self._table.status(key)
        if status is not AttemptStatus.NEW:
            self._metrics.duplicates.inc()
            if status is AttemptStatus.WITHDRAWN:
                reason = "this attempt has already been withdrawn or refused"
                self._send_refused(link, key, _rejection(ErrorCode.CANCELLED, reason))
            return
        rejected = self._check(submit)
        if rejected is None:
            rejected = self._enqueue(link, submit)
        if rejected is not None:
            self._table.record_refused(key)
            self._send_refused(link, key, rejected)

    def return_to_entry(self, attempt: Attempt, rejected: Rejected) -> bool:
        """Refuse a queued attempt; return False if it has started."""
        if attempt.is_started or not self._queue.withdraw(attempt.spec.key):
            return False
        self.mark_never_started(attempt)
        self._send_refused(attempt.link, attempt.spec.key, rejected)
        return True

    def mark_never_started(self, attempt: Attempt) -> None:
        """Record that an attempt was removed from the queue and never starts."""
        self._table.withdraw(attempt.spec.key)
        if attempt.is_booking:
            self._claims.mark_not_run(attempt.submit.claim_token)

    def on_expired(self, spec: AttemptSpec, rejected: Rejected) -> None:
        """Refuse an attempt that the queue has expired."""
        attempt = self._table.get(spec.key)
        assert attempt is not None
        self.mark_never_started(attempt)
        self._send_refused(attempt.link, spec.key, rejected)

    def on_withdraw(self, link: Link, message: Withdraw) -> None:
        """Withdraw a queued attempt, or refuse its Submit in advance."""
        key = (message.request_id, message.attempt)
        attempt = self._table.get(key)
        if attempt is None:
            withdrawn = self._table.forbid(key)
        else:
            withdrawn = not attempt.is_started and self._queue.withdraw(key)
            if withdrawn:
                self.mark_never_started(attempt)
        link.send(WithdrawResult(*key, withdrawn))

    def on_resolve(self, link: Link, message: ResolveClaim) -> None:
        """Respond with the state of a claim token.

        A token whose attempt has not started is forbidden. The state is unknown if the
        claim was sent to another incarnation of the sidecar.
        """
        token = message.claim_token
        if message.target_incarnation not in (0, self._incarnation):
            link.send(ClaimState(token, TokenState.UNKNOWN.value))
            return
        key = self._claims.queued_key(token)
        if key is not None:
            attempt = self._table.get(key)
            assert attempt is not None
            reason = "another request has resolved this claim of the booking"
            self.return_to_entry(
                attempt, _rejection(ErrorCode.BOOKING_CONFLICT, reason)
            )
        link.send(self._claims.resolve(token))

    def _check(self, submit: Submit) -> Rejected | None:
        if submit.target_incarnation != self._incarnation:
            reason = "the sidecar has restarted since the entry chose it"
            return _rejection(ErrorCode.NO_ENDPOINT, reason)
        if submit.service != self._service:
            reason = f"this endpoint serves {self._service}, not {submit.service}"
            return _rejection(ErrorCode.UNKNOWN_SERVICE, reason)
        refused = self._check_accepting()
        if refused is not None:
            return refused
        if (
            submit.budget_ms
            and submit.budget_ms <= self._pause_detector.max_receive_delay_ms()
        ):
            return _rejection(
                ErrorCode.DEADLINE, "the deadline passed before the request was read"
            )
        if self._table.is_full:
            reason = "the attempt table of the sidecar is full"
            return _rejection(ErrorCode.OVERLOADED, reason, FULL_RETRY_AFTER_MS)
        return self._check_claim(submit.claim_token)

    def _check_claim(self, token: str) -> Rejected | None:
        if not token:
            return None
        state = self._claims.state(token)
        if state is TokenState.FORBIDDEN:
            reason = "this claim of the booking has been forbidden"
            return _rejection(ErrorCode.BOOKING_CONFLICT, reason)
        if state is not None:
            reason = "this claim of the booking has already been used"
            return _rejection(ErrorCode.BOOKING_UNKNOWN, reason)
        if self._claims.is_full:
            reason = "the claim registry of the sidecar is full"
            return _rejection(ErrorCode.OVERLOADED, reason, FULL_RETRY_AFTER_MS)
        return None

    def _enqueue(self, link: Link, submit: Submit) -> Rejected | None:
        spec = self._make_spec(submit)
        result = self._queue.offer(spec, spec.arrived_ms)
        if isinstance(result, Rejected):
            return result
        self._table.add(Attempt(spec, submit, link))
        if submit.claim_token:
            self._claims.add(submit.claim_token, spec.key)
        link.send(Queued(submit.request_id, submit.attempt, result.position))
        return None

    def _make_spec(self, submit: Submit) -> AttemptSpec:
        now_ms = self._clock.now_ms()
        deadline_ms = None
        if submit.budget_ms:
            remaining_ms = (
                submit.budget_ms - self._pause_detector.max_receive_delay_ms()
            )
            deadline_ms = now_ms + remaining_ms
        return AttemptSpec(
            submit.request_id,
            submit.attempt,
            submit.service,
            submit.class_name,
            submit.customer,
            now_ms,
            submit.prompt_tokens,
            deadline_ms,
            submit.resume_tokens,
            self._may_pause,
        )

    def _send_refused(
        self, link: Link, key: tuple[str, int], rejected: Rejected
    ) -> None:
        self._metrics.on_refused()
        link.send(
            Refused(*key, rejected.code, rejected.reason, rejected.retry_after_ms)
        )
