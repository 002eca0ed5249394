"""Whether and when a failed attempt is followed by another, or queued work is moved."""

from collections import deque
from dataclasses import dataclass
from random import Random

from wigeonwind.clock import MS_PER_SECOND
from wigeonwind.decisions.interfaces import GiveUp, Resend, RetryCause

BUDGET_SHARE = 0.1
"""Retries allowed per recent first attempt; a tenth keeps an overload from growing."""

BUDGET_FLOOR_PER_S = 1.0
"""Retries a second that are allowed however little traffic there is."""

WINDOW_S = 10
"""Seconds of traffic that count as recent."""

MAX_RETRIES = 3
"""Retries of one request."""

BASE_DELAY_MS = 25.0
"""Upper bound of the delay before the first retry; it doubles with each retry."""

MAX_DELAY_MS = 2000.0
"""Upper bound of any delay."""

UNBUDGETED = frozenset({RetryCause.HANDED_BACK, RetryCause.INTERRUPTED})
"""Causes that need no budget. They are bounded by what one endpoint held when it left
or died, and by MAX_RETRIES; with a budget, most answers of a dead engine were lost."""

MAX_WITHDRAWALS = 2
"""Times that one request is moved from queue to queue."""

MIN_QUEUED_MS = 200.0
"""Wait before work is moved; a load report is up to a second old anyway."""

WITHDRAW_FACTOR = 2.0
"""Remaining wait, relative to that elsewhere, from which moving pays."""


@dataclass(frozen=True, slots=True)
class RetryLimits:
    """Bounds of a retry policy; see the constants of the same names."""

    budget_share: float = BUDGET_SHARE
    budget_floor_per_s: float = BUDGET_FLOOR_PER_S
    base_delay_ms: float = BASE_DELAY_MS
    unbudgeted: frozenset[RetryCause] = UNBUDGETED


@dataclass(slots=True)
class _Second:
    """Counts of one second of the window."""

    number: int
    requests: int = 0
    retries: int = 0


class RetryPolicy:
    """Retry budget over a sliding window, exponential delay with full jitter.

    Invariant: in any WINDOW_S whole seconds, budgeted retries are at most the larger of
    the budget's share of the first attempts and its floor. Only the entry retries, so
    the budgets of several hops never multiply.
    """

    def __init__(self, rng: Random, limits: RetryLimits | None = None) -> None:
        self._rng = rng
        self._limits = limits or RetryLimits()
        self._seconds: deque[_Second] = deque()
        self._requests = 0
        self._retries = 0

    def on_request(self, now_ms: float) -> None:
        """Count a first attempt; it feeds the budget."""
        self._second(now_ms).requests += 1
        self._requests += 1

    def _second(self, now_ms: float) -> _Second:
        number = int(now_ms // MS_PER_SECOND)
        seconds = self._seconds
        while seconds and seconds[0].number <= number - WINDOW_S:
            old = seconds.popleft()
            self._requests -= old.requests
            self._retries -= old.retries
        if not seconds or seconds[-1].number < number:
            seconds.append(_Second(number))
        return seconds[-1]

    def decide(
        self,
        attempt: int,
        certain_not_run: bool,
        repeatable: bool,
        remaining_ms: float | None,
        now_ms: float,
        cause: RetryCause = RetryCause.FAILED,
    ) -> Resend | GiveUp:
        """Decide after attempt number `attempt` (from 0) has failed."""
        if not (certain_not_run or repeatable):
            return GiveUp("the request may have run and may not be repeated")
        if attempt >= MAX_RETRIES:
            return GiveUp(f"{MAX_RETRIES} retries failed")
        delay_ms = self._delay_ms(attempt)
        if remaining_ms is not None and delay_ms >= remaining_ms:
            return GiveUp("the deadline comes before the next attempt")
        if cause in self._limits.unbudgeted:
            return Resend(delay_ms)
        second = self._second(now_ms)
        budget = max(
            self._limits.budget_share * self._requests,
            self._limits.budget_floor_per_s * WINDOW_S,
        )
        if self._retries + 1 > budget:
            return GiveUp("the retry budget is used up")
        second.retries += 1
        self._retries += 1
        return Resend(delay_ms)

    def _delay_ms(self, attempt: int) -> float:
        bound_ms = min(MAX_DELAY_MS, self._limits.base_delay_ms * 2.0**attempt)
        return self._rng.uniform(0.0, bound_ms)


def should_withdraw(
    queued_ms: float,
    remaining_wait_ms: float,
    alternative_wait_ms: float | None,
    withdrawals: int = 0,
    is_ejected: bool = False,
) -> bool:
    """Return whether to ask a slow endpoint for its queued work back.

    `queued_ms` is how long the work has waited there, `remaining_wait_ms` the estimate
    of what is left, `alternative_wait_ms` that of the best other endpoint (None without
    one). Work moves only after a confirmed withdrawal, which needs no retry budget:
    the attempt certainly did not run.

    >>> should_withdraw(500.0, 3000.0, 400.0)
    True
    >>> should_withdraw(500.0, 500.0, 400.0)
    False
    >>> should_withdraw(500.0, 3000.0, 400.0, withdrawals=2)
    False
    """
    if alternative_wait_ms is None or withdrawals >= MAX_WITHDRAWALS:
        return False
    if is_ejected:
        return True
    if queued_ms < MIN_QUEUED_MS:
        return False
    gain_ms = remaining_wait_ms - alternative_wait_ms
    is_far_better = remaining_wait_ms > WITHDRAW_FACTOR * alternative_wait_ms
    return is_far_better and gain_ms > MIN_QUEUED_MS
