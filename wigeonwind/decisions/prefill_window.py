"""Limit on the long prompts of one router that engines have not begun to answer.

Prompts that wait in an engine lengthen its steps, which delays every stream there, and
are prefilled even if they are too late. Prompts that wait at the router do neither.
How many prompts engines can hold without a wait depends on the kind of engine, on its
cache and on other routers, none of which a router knows. So the limit follows the time
to the first event, like the congestion window of TCP (RFC 5681): it grows with each
round trip within the goal and shrinks by a factor after one beyond it. Routers that
share engines thereby share their capacity without coordination. The growth follows the
number of waiting requests, since load balancers spread callers unevenly over routers.
"""

from wigeonwind.decisions.placement import Send

GOAL_FRACTION = 0.4
"""Time to the first event at which the window stops growing, as a fraction of the
latency target. The rest is for the wait at the router and for variance."""

INITIAL_WINDOW = 4.0
"""Window of a fresh router; it adapts within a few round trips."""

MAX_GROWTH = 2.0
"""Most that the window grows in one round trip, whatever waits."""

MIN_WINDOW = 1.0
MAX_WINDOW = 256.0

DECREASE_FACTOR = 0.7
"""Factor after a time beyond the goal. Routers share engines, so that the decreases of
all of them add up; TCP's 0.5 leaves engines idle."""


class PrefillWindow:
    """Window of the long prompts that one router has sent to one service.

    >>> window = PrefillWindow()
    >>> window.has_room()
    True
    """

    def __init__(self) -> None:
        self._limit = INITIAL_WINDOW
        self._pending: set[Send] = set()
        self._decreased_ms = float("-inf")
        self.waiting = 0
        """Requests that wait at the router for room in the window."""

    @property
    def limit(self) -> float:
        """Return the most prompts that may be pending."""
        return self._limit

    def has_room(self) -> bool:
        """Return whether another long prompt may be sent."""
        return len(self._pending) < int(self._limit)

    def on_sent(self, send: Send) -> None:
        """Count a prompt that is sent."""
        self._pending.add(send)

    def on_started(self, send: Send, now_ms: float) -> None:
        """Adapt to the first event of a prompt."""
        if send not in self._pending:
            return
        was_full = len(self._pending) >= int(self._limit)
        self._pending.discard(send)
        goal_ms = GOAL_FRACTION * send.request.target_ms
        if now_ms - send.sent_ms > goal_ms:
            self._decrease(now_ms, goal_ms)
        elif was_full:
            growth = min(max(1, self.waiting), MAX_GROWTH) / self._limit
            self._limit = min(MAX_WINDOW, self._limit + growth)

    def on_ended(self, send: Send, now_ms: float) -> None:
        """Stop counting a prompt that ended without a first event."""
        if send not in self._pending:
            return
        self._pending.discard(send)
        goal_ms = GOAL_FRACTION * send.request.target_ms
        if now_ms - send.sent_ms > goal_ms:
            self._decrease(now_ms, goal_ms)

    def _decrease(self, now_ms: float, goal_ms: float) -> None:
        """Shrink the window, once for the prompts that were sent together."""
        if now_ms - self._decreased_ms >= goal_ms:
            self._decreased_ms = now_ms
            self._limit = max(MIN_WINDOW, self._limit * DECREASE_FACTOR)
