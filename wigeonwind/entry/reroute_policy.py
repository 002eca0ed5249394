"""Decides which queued attempts are withdrawn and sent to another endpoint."""

from collections.abc import Callable

from wigeonwind.catalog import RequestClass
from wigeonwind.entry.entry_context import EntryContext, ReportsEjection, ReportsLoad
from wigeonwind.outcomes import ErrorCode

MAX_EARLY_REROUTES = 2
"""Reroutes of a request before the maximum wait of its class has passed."""

MAX_REROUTES = 6
"""Reroutes in total; those beyond the early ones require the maximum wait."""

REROUTE_WAIT_FRACTION = 0.5
"""Fraction of the class's maximum wait after which a queued attempt is rerouted early.

One half leaves the other endpoint as much time as the first one had.
"""

FREE_SLOT_LOAD = 1.0
"""Load per slot below which an endpoint can start a request soon."""

MIN_LOAD_IMPROVEMENT = 0.25
"""Difference in load per slot that justifies a reroute to a full endpoint."""


class ReroutePolicy:
    """Decides whether one request is rerouted.

    A high-priority request can wait longer than the maximum wait of its class while
    guaranteed shares of lower priorities occupy the slots. It is then rerouted only to
    an endpoint with capacity and otherwise stays queued until its deadline, because in
    another full queue it would start at the end.
    """

    def __init__(self, context: EntryContext, request_class: RequestClass) -> None:
        self._context = context
        self._class = request_class
        self._reroutes = 0
        self._resends = 0

    def should_reroute(
        self,
        endpoint_id: str,
        sent_ms: float,
        find_alternative: Callable[[], str | None],
    ) -> bool:
        """Return whether an attempt queued since `sent_ms` should be rerouted.

        An attempt leaves an ejected endpoint at once, any other after a fraction of the
        maximum wait of its class if the alternative has capacity. `find_alternative`
        returns the endpoint to which the attempt would be sent, or None.
        """
        if self._reroutes >= MAX_REROUTES:
            return False
        now_ms = self._context.clock.now_ms()
        is_early = self._reroutes < MAX_EARLY_REROUTES
        if is_early and self._is_ejected(endpoint_id, now_ms):
            return find_alternative() is not None
        fraction = REROUTE_WAIT_FRACTION if is_early else 1.0
        if now_ms - sent_ms < self._class.max_wait_ms * fraction:
            return False
        alternative = find_alternative()
        return alternative is not None and self._has_capacity(
            alternative, endpoint_id, now_ms
        )

    def _is_ejected(self, endpoint_id: str, now_ms: float) -> bool:
        choice = self._context.choice
        return isinstance(choice, ReportsEjection) and choice.is_ejected(
            endpoint_id, now_ms
        )

    def _has_capacity(self, alternative: str, endpoint_id: str, now_ms: float) -> bool:
        choice = self._context.choice
        if not isinstance(choice, ReportsLoad):
            return True
        priority = self._class.priority
        alternative_load = choice.load_of(alternative, priority, now_ms)
        current_load = choice.load_of(endpoint_id, priority, now_ms)
        return (
            alternative_load < FREE_SLOT_LOAD
            or alternative_load + MIN_LOAD_IMPROVEMENT < current_load
        )

    def on_rerouted(self) -> None:
        """Count a reroute whose withdrawal was confirmed."""
        self._reroutes += 1

    def may_resend_refused(self, code: str) -> bool:
        """Return whether a refused request may be resent without the retry budget.

        The request lost its place in a queue because of a reroute. At most one such
        resend is allowed per reroute.
        """
        if code != ErrorCode.OVERLOADED.value or self._resends >= self._reroutes:
            return False
        self._resends += 1
        return True
