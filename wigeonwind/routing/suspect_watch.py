"""What one request has to do with the quarantine: its trial and its unanswered send."""

from collections.abc import Callable, Collection

from gevent import spawn

from wigeonwind.clock import Clock
from wigeonwind.routing.endpoint_monitor import UnansweredSend
from wigeonwind.routing.endpoints import Endpoint
from wigeonwind.routing.request_quarantine import Admission, RequestQuarantine
from wigeonwind.routing.send_outcomes import Quarantined

PROVEN_AFTER_MS = 300.0
"""Time from the first event of an answer to a later one, from which the answer is
evidence that the endpoint can run the request. One that crashes as it begins to answer
may have sent the first events."""


class SuspectWatch:
    """Reports the trial and the sends of one request to the quarantine."""

    def __init__(
        self,
        clock: Clock,
        quarantine: RequestQuarantine,
        service: str,
        request_id: str,
        keys: tuple[int, ...],
    ) -> None:
        self._clock = clock
        self._quarantine = quarantine
        self._service = service
        self._request_id = request_id
        self._keys = keys
        self._unanswered: UnansweredSend | None = None
        """The current send while its answer proves nothing; see PROVEN_AFTER_MS."""
        self._first_event_ms = 0.0
        self._trial: Admission | None = None
        """Set while the request is a trial of suspect parts."""

    def admit(
        self,
        exclude: Collection[str],
        limit_ms: float,
        is_caller_gone: Callable[[], bool],
    ) -> Admission | Quarantined:
        """Wait until the request may be sent; see `RequestQuarantine.admit`."""
        admission = self._quarantine.admit(
            self._service, self._keys, exclude, limit_ms, is_caller_gone
        )
        if isinstance(admission, Admission) and admission.trial_at is not None:
            self._trial = admission
        return admission

    def end_trial(self, result: str) -> None:
        """End the trial, if there is one, with a result for the log."""
        trial, self._trial = self._trial, None
        if trial is not None:
            self._quarantine.end_trial(trial, result)

    def on_sent(self, endpoint: Endpoint, abort: Callable[[], None]) -> None:
        """Record a send that has no answer yet; `abort` gives it up."""
        self._unanswered = UnansweredSend(endpoint, self._request_id, self._keys, abort)
        self._quarantine.monitor.add(self._unanswered)

    def on_events(self) -> None:
        """Record that events of a successful answer have arrived."""
        send = self._unanswered
        if send is None:
            return
        now_ms = self._clock.now_ms()
        if not send.has_begun:
            send.has_begun = True
            self._first_event_ms = now_ms
        elif now_ms - self._first_event_ms >= PROVEN_AFTER_MS:
            self._clear(send)

    def on_answer_complete(self, is_ended_by_close: bool) -> None:
        """Record that a successful answer is complete.

        `is_ended_by_close` says that only the end of its connection shows this. The
        endpoint may then have crashed in the middle of the answer.
        """
        send = self._unanswered
        if send is None:
            return
        if not is_ended_by_close:
            self._clear(send)
            return
        self._unanswered = None
        trial, self._trial = self._trial, None
        self._quarantine.monitor.on_lost(send)
        spawn(self._quarantine.judge_closed_answer, send, trial)

    def _clear(self, send: UnansweredSend) -> None:
        self._unanswered = None
        self._quarantine.on_answered(send)
        self.end_trial("answered")

    def end_send(self, is_lost: bool) -> UnansweredSend | None:
        """Record the end of the current send; return it if no answer has cleared it.

        `is_lost` says that its connection was lost.
        """
        unanswered, self._unanswered = self._unanswered, None
        if unanswered is None:
            return None
        if is_lost or unanswered.was_aborted:
            self._quarantine.monitor.on_lost(unanswered)
        else:
            self._quarantine.monitor.remove(unanswered)
        return unanswered

    def check_endpoint(
        self, endpoint: Endpoint, unanswered: UnansweredSend | None
    ) -> None:
        """Find out whether the endpoint of a lost connection has crashed."""
        if unanswered is None:
            spawn(self._quarantine.monitor.check, endpoint)
        else:
            # The next send depends on whether this one crashed the endpoint.
            self._quarantine.monitor.check(endpoint)
