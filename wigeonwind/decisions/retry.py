"""Whether and when a failed attempt is followed by another."""

from random import Random

from wigeonwind.clock import MS_PER_SECOND
from wigeonwind.decisions.interfaces import GiveUp, Resend

BUDGET_SHARE = 0.1
"""Retries allowed per recent first attempt; a tenth keeps an overload from growing."""

BUDGET_FLOOR_PER_S = 1.0
"""Retries a second that are allowed however little traffic there is."""

BUDGET_CAP_S = 10.0
"""Seconds of recent traffic whose unused budget is kept."""

MAX_RETRIES = 3
"""Retries of one request."""

BASE_DELAY_MS = 25.0
"""Upper bound of the delay before the first retry; it doubles with each retry."""

MAX_DELAY_MS = 2000.0
"""Upper bound of any delay."""


class RetryPolicy:
    """Retry budget with exponential delay and full jitter.

    The budget is a leaky sum of first attempts with a time constant of
    BUDGET_CAP_S, so in any window retries stay below a tenth of the requests of about
    that time plus one a second.
    """

    def __init__(self, rng: Random) -> None:
        self._rng = rng
        self._budget = BUDGET_FLOOR_PER_S
        self._updated_ms: float | None = None

    def on_request(self, now_ms: float) -> None:
        """Count a first attempt; it feeds the budget."""
        self._refill(now_ms)
        self._budget += BUDGET_SHARE

    def _refill(self, now_ms: float) -> None:
        if self._updated_ms is None:
            self._updated_ms = now_ms
        elapsed_s = max(0.0, now_ms - self._updated_ms) / MS_PER_SECOND
        self._updated_ms = max(now_ms, self._updated_ms)
        self._budget *= max(0.0, 1.0 - elapsed_s / BUDGET_CAP_S)
        self._budget += BUDGET_FLOOR_PER_S * elapsed_s
        self._budget = max(self._budget, min(1.0, self._budget))

    def decide(
        self,
        attempt: int,
        certain_not_run: bool,
        repeatable: bool,
        remaining_ms: float | None,
        now_ms: float,
    ) -> Resend | GiveUp:
        """Decide after attempt number `attempt` (from 0) has failed."""
        if not (certain_not_run or repeatable):
            return GiveUp("the request may have run and may not be repeated")
        if attempt >= MAX_RETRIES:
            return GiveUp(f"{MAX_RETRIES} retries failed")
        delay_ms = self._delay_ms(attempt)
        if remaining_ms is not None and delay_ms >= remaining_ms:
            return GiveUp("the deadline comes before the next attempt")
        self._refill(now_ms)
        if self._budget < 1.0:
            return GiveUp("the retry budget is used up")
        self._budget -= 1.0
        return Resend(delay_ms)

    def _delay_ms(self, attempt: int) -> float:
        bound_ms = min(MAX_DELAY_MS, BASE_DELAY_MS * 2.0**attempt)
        return self._rng.uniform(0.0, bound_ms)
