"""The side of an entry that serves requests under fleet-wide limits; see `grants`."""

from collections.abc import Iterator
from dataclasses import replace

from wigeonwind.catalog import Limit
from wigeonwind.clock import MS_PER_SECOND
from wigeonwind.decisions.grants import (
    IDLE_MS,
    LONG_VALID_MS,
    RUNNING_VALID_MS,
    GrantRow,
    Scope,
)

ASK_INTERVAL_MS = 500.0
"""Interval between requests for a scope; half a grant, so that one may be lost."""

HOLD_INTERVAL_MS = 1500.0
"""Interval between requests for a scope that only has running requests."""

URGENT_INTERVAL_MS = 50.0
"""Interval between requests for a scope that has just refused work."""

LONG_INTERVAL_MS = 1500.0
"""Interval between requests for a scope with a long grant, if that covers its use."""

LONG_DEMAND = 0.05
"""Share of a limit up to which an entry's demand counts as far below it."""

SILENT_MS = 1500.0
"""Time without an answer after which an entry uses its equal part of the limit."""

MAX_DEBT_S = 10.0
"""Most debt, in seconds of the limit; a wrong count must not block for long."""

ASK_MARGIN = 1.25
"""Units asked for relative to recent demand, so that growth is not refused."""


class _Account:
    """Units of one kind at one entry."""

    __slots__ = ("debt", "demand", "demand_ms", "granted")

    def __init__(self, now_ms: float) -> None:
        self.granted = 0.0
        self.debt = 0.0
        self.demand = 0.0
        self.demand_ms = now_ms

    def ask(self, units: float, now_ms: float) -> None:
        """Count demand, as units of the last second or so."""
        elapsed_s = max(0.0, now_ms - self.demand_ms) / MS_PER_SECOND
        self.demand = self.demand * max(0.0, 1.0 - elapsed_s) + units
        self.demand_ms = max(now_ms, self.demand_ms)

    def take(self, units: float, rate: float) -> None:
        """Use units: granted ones first, the rest as debt."""
        used = min(units, self.granted)
        self.granted -= used
        self.debt = min(self.debt + units - used, MAX_DEBT_S * rate + 1.0)

    def on_grant(self, units: float) -> None:
        """Repay the debt; the rest adds to what is left of earlier grants."""
        repaid = min(self.debt, units)
        self.debt -= repaid
        self.granted += units - repaid

    def wanted(self, now_ms: float, seconds: float = 1.0) -> float:
        """Return the units to ask for, for use within some seconds."""
        self.ask(0.0, now_ms)
        demand = self.demand * seconds
        return self.debt + max(0.0, demand * ASK_MARGIN - self.granted)


def _credit(rate: float, entries: int) -> float:
    """Return the units an entry may use before it has a grant.

    One unit lets limits below one a second work: later grants repay it in parts.
    """
    return max(1.0, rate / entries)


class ClientScope:
    """One scope at one entry that serves requests."""

    __slots__ = (
        "answered_ms",
        "asked_ms",
        "granted_until_ms",
        "home",
        "is_long",
        "limit",
        "refused",
        "requests",
        "running",
        "running_granted",
        "running_until_ms",
        "scope",
        "settled_ms",
        "tokens",
        "used_ms",
        "version",
        "waiting_since_ms",
    )

    def __init__(self, scope: Scope, limit: Limit, home: str, now_ms: float) -> None:
        self.scope = scope
        self.limit = limit
        self.home = home
        self.version = 0
        self.requests = _Account(now_ms)
        self.tokens = _Account(now_ms)
        self.running = 0
        self.running_granted = 0.0
        self.running_until_ms = now_ms
        self.granted_until_ms = now_ms
        self.answered_ms = now_ms
        self.asked_ms = float("-inf")
        self.waiting_since_ms: float | None = None
        self.settled_ms = now_ms
        self.used_ms = now_ms
        self.refused = False
        self.is_long = False

    def refresh(self, entries: int, now_ms: float) -> None:
        """Expire the grant, and let debt decay while the home is silent."""
        if now_ms >= self.granted_until_ms:
            self.requests.granted = 0.0
            self.tokens.granted = 0.0
        elapsed_s = max(0.0, now_ms - self.settled_ms) / MS_PER_SECOND
        self.settled_ms = max(now_ms, self.settled_ms)
        if self.is_silent(now_ms):
            part = elapsed_s / entries
            for account, rate in self._rates():
                account.debt = max(0.0, account.debt - rate * part)

    def is_silent(self, now_ms: float) -> bool:
        """Return whether the home has not answered for too long."""
        since_ms = self.waiting_since_ms
        return since_ms is not None and now_ms - since_ms > SILENT_MS

    def _rates(self) -> Iterator[tuple[_Account, float]]:
        if self.limit.requests_per_s is not None:
            yield self.requests, self.limit.requests_per_s
        if self.limit.tokens_per_s is not None:
            yield self.tokens, self.limit.tokens_per_s

    def exceeded(self, entries: int, now_ms: float) -> tuple[str, float] | None:
        """Return name and Retry-After (ms) of a limit that refuses a request."""
        rate = self.limit.requests_per_s
        if rate is not None and self._is_over(self.requests, 1.0, rate, entries):
            return "requests_per_s", _repay_ms(self.requests, rate, entries)
        rate = self.limit.tokens_per_s
        if rate is not None and self._is_over(self.tokens, 0.0, rate, entries):
            return "tokens_per_s", _repay_ms(self.tokens, rate, entries)
        if self.running + 1 > self._running_allowed(entries, now_ms):
            return "concurrency", MS_PER_SECOND / 2.0
        return None

    def _is_over(
        self, account: _Account, units: float, rate: float, entries: int
    ) -> bool:
        if rate <= 0.0:
            return True
        if account.granted >= max(units, 1e-9):
            return False
        return account.debt + units > _credit(rate, entries)

    def _running_allowed(self, entries: int, now_ms: float) -> float:
        if self.limit.concurrency is None:
            return float("inf")
        if self.limit.concurrency <= 0:
            return 0.0
        if now_ms < self.running_until_ms:
            return self.running_granted
        return max(1.0, float(self.limit.concurrency // entries))

    def ask(self, prompt_tokens: int, now_ms: float) -> None:
        """Count the demand of one request, admitted or not."""
        self.used_ms = now_ms
        self.requests.ask(1.0, now_ms)
        self.tokens.ask(float(prompt_tokens), now_ms)

    def take(self, prompt_tokens: int) -> None:
        """Count one admitted request."""
        for account, rate in self._rates():
            account.take(1.0 if account is self.requests else prompt_tokens, rate)
        self.running += 1

    def add_tokens(self, tokens: int, now_ms: float) -> None:
        """Count generated tokens."""
        if self.limit.tokens_per_s is not None:
            self.used_ms = now_ms
            self.tokens.ask(float(tokens), now_ms)
            self.tokens.take(tokens, self.limit.tokens_per_s)

    def is_due(self, now_ms: float) -> bool:
        """Return whether the home should be asked now."""
        interval_ms = HOLD_INTERVAL_MS
        if self.refused:
            interval_ms = URGENT_INTERVAL_MS
        elif self.used_ms > self.asked_ms or self._has_debt():
            is_covered = self.is_long and not self._has_debt()
            interval_ms = LONG_INTERVAL_MS if is_covered else ASK_INTERVAL_MS
        return now_ms - self.asked_ms >= interval_ms

    def has_grant(self, now_ms: float) -> bool:
        """Return whether the last grant is still valid."""
        return now_ms < self.granted_until_ms

    def needs_home(self) -> bool:
        """Return whether to ask again although nothing new was requested."""
        return self._has_debt() or bool(self.running and self.limit.concurrency)

    def _has_debt(self) -> bool:
        return any(account.debt > 0.0 for account, _ in self._rates())

    def is_old(self, now_ms: float) -> bool:
        """Return whether there was no request for a while."""
        return now_ms - self.used_ms > IDLE_MS

    def is_idle(self, now_ms: float) -> bool:
        """Return whether nothing is lost by dropping this state."""
        return self.is_old(now_ms) and not self.running and not self.needs_home()

    def set_home(self, home: str) -> None:
        """Ask another home from now on; what the old one granted stays valid."""
        if home != self.home:
            self.home = home
            self.asked_ms = float("-inf")
            self.waiting_since_ms = None

    def row(self, now_ms: float) -> GrantRow:
        """Return what to ask the home for, and note that it was asked."""
        self.asked_ms = now_ms
        if self.waiting_since_ms is None:
            self.waiting_since_ms = now_ms
        requests = tokens = 0.0
        if self.limit.requests_per_s is not None:
            requests = self.requests.wanted(now_ms)
        if self.limit.tokens_per_s is not None:
            tokens = self.tokens.wanted(now_ms)
        more = 1 + int(self.requests.demand) if self.limit.concurrency else 0
        row = GrantRow(self.scope, requests, tokens, float(self.running), float(more))
        return self._with_long(row, now_ms) if self._is_light() else row

    def _is_light(self) -> bool:
        """Return whether the demand is far below each rate."""
        return not self.refused and all(
            account.demand <= LONG_DEMAND * rate for account, rate in self._rates()
        )

    def _with_long(self, row: GrantRow, now_ms: float) -> GrantRow:
        seconds = LONG_VALID_MS / MS_PER_SECOND
        long = [
            account.wanted(now_ms, seconds) if rate is not None else 0.0
            for account, rate in (
                (self.requests, self.limit.requests_per_s),
                (self.tokens, self.limit.tokens_per_s),
            )
        ]
        return replace(row, long_requests=long[0], long_tokens=long[1])

    def on_grant(self, row: GrantRow, valid_ms: float, now_ms: float) -> None:
        """Use an answer of the home."""
        self.requests.on_grant(row.requests)
        self.tokens.on_grant(row.tokens)
        self.running_granted = row.held
        self.running_until_ms = self.asked_ms + RUNNING_VALID_MS
        if row.is_long:
            valid_ms = LONG_VALID_MS
        if row.requests or row.tokens or not self.is_long:
            self.is_long = row.is_long
            self.granted_until_ms = now_ms + valid_ms
        self.waiting_since_ms = None
        self.refused = False


def _repay_ms(account: _Account, rate: float, entries: int) -> float:
    """Return about the time until the account has a unit again."""
    units = 1.0 + max(0.0, account.debt - _credit(rate, entries))
    seconds = units / max(rate, 1e-3)
    return min(max(seconds * MS_PER_SECOND, URGENT_INTERVAL_MS), 30_000.0)
