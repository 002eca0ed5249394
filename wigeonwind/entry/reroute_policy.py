"""Which waiting requests are asked back from a queue and sent to another endpoint."""

from collections.abc import Callable

from wigeonwind.catalog import RequestClass
from wigeonwind.entry.entry_context import EntryContext, ReportsEjection, ReportsLoad
from wigeonwind.outcomes import ErrorCode

MAX_EARLY_REROUTES = 2
"""Times a request is moved before its class's longest wait at an endpoint is over."""

MAX_REROUTES = 6
"""Moves in all; later ones only after the whole of that wait."""

REROUTE_WAIT_FRACTION = 0.5
"""Share of the class's wait after which a queued attempt is asked back.

Half leaves the other endpoint as much time as the first had.
"""

FREE_SLOT_LOAD = 1.0
"""Load per slot below which another endpoint can start the request soon."""

MIN_LOAD_IMPROVEMENT = 0.25
"""Load per slot by which a full endpoint must be better to be worth a move."""


class ReroutePolicy:
    """The moves of one request.

    Urgent work can wait beyond its class's longest wait, while a minimum share of lower
    work holds the slots. It leaves only for an endpoint with room, and otherwise waits
    to the caller's deadline: in another full queue it would start from the end.
    """

    def __init__(self, context: EntryContext, request_class: RequestClass) -> None:
        self._context = context
        self._class = request_class
        self._moves = 0
        self._refused = 0

    def should_reroute(
        self,
        endpoint_id: str,
        sent_ms: float,
        find_alternative: Callable[[], str | None],
    ) -> bool:
        """Return whether an attempt that waits since `sent_ms` should go elsewhere.

        It leaves an endpoint that peers show to be failing at once, any other after a
        share of its class's wait. `find_other` names the endpoint it would go to.
        """
        if self._moves >= MAX_REROUTES:
            return False
        now_ms = self._context.clock.now_ms()
        is_early = self._moves < MAX_EARLY_REROUTES
        if is_early and self._is_ejected(endpoint_id, now_ms):
            return find_alternative() is not None
        share = REROUTE_WAIT_FRACTION if is_early else 1.0
        if now_ms - sent_ms < self._class.max_wait_ms * share:
            return False
        other = find_alternative()
        return other is not None and self._has_capacity(other, endpoint_id, now_ms)

    def _is_ejected(self, endpoint_id: str, now_ms: float) -> bool:
        choice = self._context.choice
        return isinstance(choice, ReportsEjection) and choice.is_ejected(
            endpoint_id, now_ms
        )

    def _has_capacity(self, other: str, endpoint_id: str, now_ms: float) -> bool:
        choice = self._context.choice
        if not isinstance(choice, ReportsLoad):
            return True
        priority = self._class.priority
        load = choice.load_of(other, priority, now_ms)
        present = choice.load_of(endpoint_id, priority, now_ms)
        return load < FREE_SLOT_LOAD or load + MIN_LOAD_IMPROVEMENT < present

    def on_rerouted(self) -> None:
        """Count a confirmed withdrawal."""
        self._moves += 1

    def may_resend_refused(self, code: str) -> bool:
        """Return whether a refused request may go back where it was admitted.

        It had a place in a queue and lost it by our move, so this is no retry that its
        budget must allow; there is at most one for each move.
        """
        if code != ErrorCode.OVERLOADED.value or self._refused >= self._moves:
            return False
        self._refused += 1
        return True
