"""Takes, gives back and resolves attempts that have not started."""

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

FULL_RETRY_MS = 1_000.0
"""Wait proposed when a memory is full."""


def _rejected(code: ErrorCode, reason: str, retry_after_ms: float = 0.0) -> Rejected:
    return Rejected(code.value, reason, retry_after_ms)


class AttemptAdmission:
    """Admission of Submits and what undoes it; runs nothing itself."""

    def __init__(
        self,
        clock: Clock,
        table: AttemptTable,
        claims: ClaimRegistry,
        queue: EndpointQueueDecisions,
        metrics: SidecarMetrics,
        pauses: PauseDetector,
        incarnation: int,
        service: str,
        may_pause: bool,
        refuse_new: Callable[[], Rejected | None],
    ) -> None:
        self._clock = clock
        self._table = table
        self._claims = claims
        self._queue = queue
        self._metrics = metrics
        self._pauses = pauses
        self._incarnation = incarnation
        self._service = service
        self._may_pause = may_pause
        self._refuse_new = refuse_new

    def on_submit(self, link: Link, submit: Submit) -> None:
        """Queue an attempt, refuse it, or ignore a copy of one that is known."""
        key = (submit.request_id, submit.attempt)
        known = self._table.known(key)
        if known is not AttemptStatus.NEW:
            self._metrics.duplicates.inc()
            if known is AttemptStatus.WITHDRAWN:
                reason = "this attempt was withdrawn or refused"
                self._send_refused(link, key, _rejected(ErrorCode.CANCELLED, reason))
            return
        rejected = self._check(submit)
        if rejected is None:
            rejected = self._offer(link, submit)
        if rejected is not None:
            self._table.note_refused(key)
            self._send_refused(link, key, rejected)

    def give_back(self, attempt: Attempt, rejected: Rejected) -> bool:
        """Refuse an attempt that waits; False if the queue has let it through."""
        if attempt.is_started or not self._queue.withdraw(attempt.item.key):
            return False
        self.forget_waiting(attempt)
        self._send_refused(attempt.link, attempt.item.key, rejected)
        return True

    def forget_waiting(self, attempt: Attempt) -> None:
        """Record that an attempt which left the queue unstarted never starts."""
        self._table.withdraw(attempt.item.key)
        if attempt.is_booking:
            self._claims.forbid(attempt.submit.claim_token)

    def on_expired(self, item: AttemptSpec, rejected: Rejected) -> None:
        """Refuse an attempt that the queue has given up."""
        attempt = self._table.get(item.key)
        assert attempt is not None
        self.forget_waiting(attempt)
        self._send_refused(attempt.link, item.key, rejected)

    def on_withdraw(self, link: Link, message: Withdraw) -> None:
        """Give an attempt back, or make sure that it never comes."""
        key = (message.request_id, message.attempt)
        attempt = self._table.get(key)
        if attempt is None:
            withdrawn = self._table.forbid(key)
        else:
            withdrawn = not attempt.is_started and self._queue.withdraw(key)
            if withdrawn:
                self.forget_waiting(attempt)
        link.send(WithdrawResult(*key, withdrawn))

    def on_resolve(self, link: Link, message: ResolveClaim) -> None:
        """Say what became of a claim token, and forbid it if it has not started."""
        token = message.claim_token
        if message.target_incarnation not in (0, self._incarnation):
            link.send(ClaimState(token, TokenState.UNKNOWN.value))
            return
        key = self._claims.waiting_key(token)
        if key is not None:
            attempt = self._table.get(key)
            assert attempt is not None
            reason = "the booking is resolved by another request"
            self.give_back(attempt, _rejected(ErrorCode.BOOKING_CONFLICT, reason))
        link.send(self._claims.resolve(token))

    def _check(self, submit: Submit) -> Rejected | None:
        if submit.target_incarnation != self._incarnation:
            reason = "the sidecar has restarted"
            return _rejected(ErrorCode.NO_ENDPOINT, reason)
        if submit.service != self._service:
            reason = f"this endpoint serves {self._service}"
            return _rejected(ErrorCode.UNKNOWN_SERVICE, reason)
        refused = self._refuse_new()
        if refused is not None:
            return refused
        if submit.budget_ms and submit.budget_ms <= self._pauses.lateness_ms():
            return _rejected(ErrorCode.DEADLINE, "the deadline passed on the way")
        if self._table.is_full:
            reason = "no room to remember another attempt"
            return _rejected(ErrorCode.OVERLOADED, reason, FULL_RETRY_MS)
        return self._check_claim(submit.claim_token)

    def _check_claim(self, token: str) -> Rejected | None:
        if not token:
            return None
        state = self._claims.state(token)
        if state is TokenState.FORBIDDEN:
            reason = "this claim of the booking was given up"
            return _rejected(ErrorCode.BOOKING_CONFLICT, reason)
        if state is not None:
            reason = "this claim of the booking was used before"
            return _rejected(ErrorCode.BOOKING_UNKNOWN, reason)
        if self._claims.is_full:
            reason = "no room to remember another booking"
            return _rejected(ErrorCode.OVERLOADED, reason, FULL_RETRY_MS)
        return None

    def _offer(self, link: Link, submit: Submit) -> Rejected | None:
        item = self._item_of(submit)
        result = self._queue.offer(item, item.arrived_ms)
        if isinstance(result, Rejected):
            return result
        self._table.add(Attempt(item, submit, link))
        if submit.claim_token:
            self._claims.add(submit.claim_token, item.key)
        link.send(Queued(submit.request_id, submit.attempt, result.position))
        return None

    def _item_of(self, submit: Submit) -> AttemptSpec:
        now_ms = self._clock.now_ms()
        deadline_ms = None
        if submit.budget_ms:
            left_ms = submit.budget_ms - self._pauses.lateness_ms()
            deadline_ms = now_ms + left_ms
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
