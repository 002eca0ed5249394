"""Decides when failed attempts are retried and when queued ones are moved."""

from collections import deque
from dataclasses import dataclass
from random import Random

from wigeonwind.clock import MS_PER_SECOND
from wigeonwind.decisions.interfaces import GiveUp, Resend, RetryCause

BUDGET_SHARE = 0.1
"""Retries per recent first attempt; a tenth keeps an overload from growing."""

BUDGET_FLOOR_PER_S = 1.0
"""Retries per second that are allowed regardless of traffic."""

WINDOW_S = 10
"""Length of the sliding window of recent traffic in seconds."""

MAX_RETRIES = 3
"""Most retries of one request."""

BASE_DELAY_MS = 25.0
"""Upper bound of the delay before the first retry; it doubles with each retry."""

MAX_DELAY_MS = 2000.0
"""Upper bound of any delay."""

UNBUDGETED = frozenset({RetryCause.HANDED_BACK, RetryCause.INTERRUPTED})
"""Causes of retries that need no budget. They are bounded by what an endpoint held when
it drained or failed, and by MAX_RETRIES. A budget would lose most answers of a failed
engine."""

MAX_WITHDRAWALS = 2
"""Most times that one request is moved to another queue."""

MIN_QUEUED_MS = 200.0
"""Least time in a queue before an attempt is moved, and least reduction of its wait by
the move; load reports are up to a second old anyway."""

WITHDRAW_FACTOR = 2.0
"""Remaining wait, relative to that of the alternative, above which an attempt is
moved."""


@dataclass(frozen=True, slots=True)
class RetryLimits:
    """Parameters of a retry policy; see the constants of the same names."""

    budget_share: float = BUDGET_SHARE
    budget_floor_per_s: float = BUDGET_FLOOR_PER_S
    base_delay_ms: float = BASE_DELAY_MS
    unbudgeted: frozenset[RetryCause] = UNBUDGETED


@dataclass(slots=True)
class _WindowSecond:
    """Counts of one second of the window."""

    number: int
    requests: int = 0
    retries: int = 0


class RetryPolicy:
    """Retry budget over a sliding window, exponential backoff with full jitter.

    Invariant: in any WINDOW_S whole seconds, the budgeted retries are at most the
    larger of the budget's share of first attempts and its floor. Only the entry
    retries, so budgets of several hops do not multiply.
    """

    def __init__(self, rng: Random, limits: RetryLimits | None = None) -> None:
        self._rng = rng
        self._limits = limits or RetryLimits()
        self._seconds: deque[_WindowSecond] = deque()
        self._requests = 0
        self._retries = 0

    def on_request(self, now_ms: float) -> None:
        """Count a first attempt, which adds to the retry budget."""
        self._current_second(now_ms).requests += 1
        self._requests += 1

    def _current_second(self, now_ms: float) -> _WindowSecond:
        number = int(now_ms // MS_PER_SECOND)
        seconds = self._seconds
        while seconds and seconds[0].number <= number - WINDOW_S:
            expired = seconds.popleft()
            self._requests -= expired.requests
            self._retries -= expired.retries
        if not seconds or seconds[-1].number < number:
            seconds.append(_WindowSecond(number))
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
        """Decide whether to retry after attempt number `attempt` (from 0).

        `certain_not_run` is True if the attempt was certainly not executed,
        `remaining_ms` the time until the deadline, None without one.
        """
        if not (certain_not_run or repeatable):
            return GiveUp("the request may have been executed and is not repeatable")
        if attempt >= MAX_RETRIES:
            return GiveUp(f"{MAX_RETRIES} retries failed")
        delay_ms = self._delay_ms(attempt)
        if remaining_ms is not None and delay_ms >= remaining_ms:
            return GiveUp("the deadline is before the next attempt")
        if cause in self._limits.unbudgeted:
            return Resend(delay_ms)
        current = self._current_second(now_ms)
        if self._retries + 1 > self._budget():
            return GiveUp("the retry budget is exhausted")
        current.retries += 1
        self._retries += 1
        return Resend(delay_ms)

    def confirm(self, decided_ms: float, now_ms: float) -> bool:
        """Count a retry at its send, which may come long after the decision.

        Return whether it may be sent: retries of different windows that have waited for
        the same endpoint must not arrive in one.
        """
        current = self._current_second(now_ms)
        decided = int(decided_ms // MS_PER_SECOND)
        counted = next((each for each in self._seconds if each.number == decided), None)
        if counted is None:
            if self._retries + 1 > self._budget():
                return False
            self._retries += 1
        else:
            counted.retries -= 1
        current.retries += 1
        return True

    def has_budget(self, now_ms: float) -> bool:
        """Return whether the budget allows one more retry now."""
        self._current_second(now_ms)
        return self._retries + 1 <= self._budget()

    def _budget(self) -> float:
        return max(
            self._limits.budget_share * self._requests,
            self._limits.budget_floor_per_s * WINDOW_S,
        )

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
    """Return whether to withdraw a queued attempt in order to send it elsewhere.

    `queued_ms` is the time that the attempt has waited, `remaining_wait_ms` the
    estimated rest of the wait, and `alternative_wait_ms` the estimated wait at the best
    other endpoint, None without one. An attempt is sent elsewhere only after its
    withdrawal is confirmed; this needs no retry budget, as it was not executed.

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
