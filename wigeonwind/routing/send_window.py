"""Whether a request that was taken may still be sent while a planned stop runs."""

from collections.abc import Callable
from dataclasses import replace
from math import inf

from structlog import get_logger

from wigeonwind.clock import Clock
from wigeonwind.decisions.stop_admission import OtherRouters
from wigeonwind.routing.planned_stop import PlannedStop
from wigeonwind.routing.routed_request import RoutedRequest
from wigeonwind.routing.stop_requests import StopRequests

ARRIVAL_DECISION_MS = 100.0
"""Time for which the decision at the arrival of a request holds. A request that is sent
at once is not refused for the few ms since its arrival."""

WAIT_CHECK_MS = 250.0
"""Interval of the checks while a request waits; each one reads many durations."""

log = get_logger("wigeonwind.router")


class SendWindow:
    """Tells until when one request may be sent, so that a stop does not cut it.

    `started_ms` is the arrival of the request and `deadline_ms` its deadline, both
    clock readings. `current_stop` returns the planned stop that runs, None without one.
    """

    __slots__ = (
        "_clock",
        "_current_stop",
        "_deadline_ms",
        "_next_check_ms",
        "_routed",
        "_started_ms",
        "_stop_requests",
        "is_over",
    )

    def __init__(
        self,
        clock: Clock,
        stop_requests: StopRequests,
        current_stop: Callable[[], PlannedStop | None],
        routed: RoutedRequest,
        started_ms: float,
        deadline_ms: float,
    ) -> None:
        self._clock = clock
        self._stop_requests = stop_requests
        self._current_stop = current_stop
        self._routed = routed
        self._started_ms = started_ms
        self._deadline_ms = deadline_ms
        self._next_check_ms = 0.0
        self.is_over = False
        """Whether a check has found that the request must not be sent any more."""

    @property
    def is_in_stop(self) -> bool:
        """Return whether a planned stop runs."""
        return self._current_stop() is not None

    def check(self) -> bool:
        """Return whether the request may be sent now."""
        if self.is_over:
            return False
        stop = self._current_stop()
        if stop is None:
            return True
        now_ms = self._clock.now_ms()
        if now_ms - self._started_ms <= ARRIVAL_DECISION_MS:
            return True
        if self._deadline_ms <= stop.ends_from_ms:
            return True
        self._next_check_ms = now_ms + WAIT_CHECK_MS
        # The request was taken: only the time until open requests are ended counts, not
        # what other processes can take or that this one has stopped listening.
        decision = self._stop_requests.decide(
            self._routed, replace(stop, leaves_from_ms=inf), OtherRouters()
        )
        if not decision.is_taken:
            self.is_over = True
            log.info(
                "request not sent as the stop may cut it off",
                request_id=self._routed.metadata.request_id,
                route=self._routed.route.name,
                waited_ms=round(now_ms - self._started_ms),
                estimate_ms=round(decision.estimate_ms),
                left_ms=round(decision.left_ms),
            )
        return decision.is_taken

    def check_in_wait(self) -> bool:
        """Return what `check` does, from a decision up to WAIT_CHECK_MS old."""
        if self.is_over or self._current_stop() is None:
            return not self.is_over
        return self._clock.now_ms() < self._next_check_ms or self.check()
