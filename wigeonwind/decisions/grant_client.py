"""Quota of fleet-wide limits at the entries that serve requests; see `grants`."""

from collections.abc import Iterator
from dataclasses import replace

from wigeonwind.catalog import Limit
from wigeonwind.clock import MS_PER_SECOND
from wigeonwind.decisions.grants import (
    CONCURRENCY_VALID_MS,
    LONG_GRANT_VALID_MS,
    SCOPE_IDLE_MS,
    GrantRow,
    Scope,
)

GRANT_REQUEST_INTERVAL_MS = 500.0
"""Interval between grant requests for a scope; half the validity of a grant, so that
one message may be lost."""

CONCURRENCY_INTERVAL_MS = 1500.0
"""Interval between grant requests for a scope with running but no new requests."""

URGENT_INTERVAL_MS = 50.0
"""Interval between grant requests for a scope that has just refused a request."""

LONG_GRANT_INTERVAL_MS = 1500.0
"""Interval between grant requests for a scope whose long grant covers its demand."""

LONG_GRANT_MAX_DEMAND = 0.05
"""Share of a limit up to which the demand of an entry is low enough for long grants."""

OWNER_TIMEOUT_MS = 1500.0
"""Time without a response from the owner after which an entry uses an equal share of
the limit."""

MAX_DEBT_S = 10.0
"""Largest debt, in seconds of the limit; a wrong count must not block for long."""

DEMAND_MARGIN = 1.25
"""Requested units relative to recent demand, so that growth is not refused."""


class _Account:
    """Granted units, debt and demand of requests or tokens in a scope at one entry."""

    __slots__ = ("debt", "demand", "demand_updated_ms", "granted")

    def __init__(self, now_ms: float) -> None:
        self.granted = 0.0
        self.debt = 0.0
        self.demand = 0.0
        self.demand_updated_ms = now_ms

    def record_demand(self, units: float, now_ms: float) -> None:
        """Add demand to an average over about the last second."""
        elapsed_s = max(0.0, now_ms - self.demand_updated_ms) / MS_PER_SECOND
        self.demand = self.demand * max(0.0, 1.0 - elapsed_s) + units
        self.demand_updated_ms = max(now_ms, self.demand_updated_ms)

    def consume(self, units: float, rate: float) -> None:
        """Consume granted units; the rest becomes debt, up to MAX_DEBT_S of `rate`."""
        used = min(units, self.granted)
        self.granted -= used
        self.debt = min(self.debt + units - used, MAX_DEBT_S * rate + 1.0)

    def on_grant(self, units: float) -> None:
        """Repay debt with granted units; the rest adds to earlier grants."""
        repaid = min(self.debt, units)
        self.debt -= repaid
        self.granted += units - repaid

    def units_to_request(self, now_ms: float, seconds: float = 1.0) -> float:
        """Return the units to request for use within `seconds`."""
        self.record_demand(0.0, now_ms)
        demand = self.demand * seconds
        return self.debt + max(0.0, demand * DEMAND_MARGIN - self.granted)


def _credit(rate: float, entry_count: int) -> float:
    """Return the units that one of `entry_count` entries may use without a grant.

    At least one unit, so that limits below one per second work; later grants repay it
    in parts.
    """
    return max(1.0, rate / entry_count)


class ScopeQuota:
    """Quota of one scope at an entry that serves requests.

    `waiting_since_ms` is the time of the first grant request that is not answered yet,
    None without one. `version` is the catalog generation that `limit` comes from.
    """

    __slots__ = (
        "answered_ms",
        "requested_ms",
        "granted_until_ms",
        "owner",
        "has_long_grant",
        "limit",
        "has_refused",
        "requests",
        "running",
        "granted_concurrency",
        "concurrency_valid_until_ms",
        "scope",
        "debt_updated_ms",
        "tokens",
        "last_used_ms",
        "version",
        "waiting_since_ms",
    )

    def __init__(self, scope: Scope, limit: Limit, owner: str, now_ms: float) -> None:
        self.scope = scope
        self.limit = limit
        self.owner = owner
        self.version = 0
        self.requests = _Account(now_ms)
        self.tokens = _Account(now_ms)
        self.running = 0
        self.granted_concurrency = 0.0
        self.concurrency_valid_until_ms = now_ms
        self.granted_until_ms = now_ms
        self.answered_ms = now_ms
        self.requested_ms = float("-inf")
        self.waiting_since_ms: float | None = None
        self.debt_updated_ms = now_ms
        self.last_used_ms = now_ms
        self.has_refused = False
        self.has_long_grant = False

    def refresh(self, entry_count: int, now_ms: float) -> None:
        """Expire the grant; reduce debt by the equal share if the owner is silent."""
        if now_ms >= self.granted_until_ms:
            self.requests.granted = 0.0
            self.tokens.granted = 0.0
        elapsed_s = max(0.0, now_ms - self.debt_updated_ms) / MS_PER_SECOND
        self.debt_updated_ms = max(now_ms, self.debt_updated_ms)
        if self.is_owner_silent(now_ms):
            elapsed_share = elapsed_s / entry_count
            for account, rate in self._rates():
                account.debt = max(0.0, account.debt - rate * elapsed_share)

    def is_owner_silent(self, now_ms: float) -> bool:
        """Return whether the owner has not answered for OWNER_TIMEOUT_MS."""
        since_ms = self.waiting_since_ms
        return since_ms is not None and now_ms - since_ms > OWNER_TIMEOUT_MS

    def _rates(self) -> Iterator[tuple[_Account, float]]:
        if self.limit.requests_per_s is not None:
            yield self.requests, self.limit.requests_per_s
        if self.limit.tokens_per_s is not None:
            yield self.tokens, self.limit.tokens_per_s

    def exceeded(self, entry_count: int, now_ms: float) -> tuple[str, float] | None:
        """Return name and Retry-After (ms) of the limit that a new request exceeds."""
        rate = self.limit.requests_per_s
        if rate is not None and self._exceeds_rate(
            self.requests, 1.0, rate, entry_count
        ):
            return "requests_per_s", _repay_ms(self.requests, rate, entry_count)
        rate = self.limit.tokens_per_s
        if rate is not None and self._exceeds_rate(self.tokens, 0.0, rate, entry_count):
            return "tokens_per_s", _repay_ms(self.tokens, rate, entry_count)
        if self.running + 1 > self._allowed_concurrency(entry_count, now_ms):
            return "concurrency", MS_PER_SECOND / 2.0
        return None

    def _exceeds_rate(
        self, account: _Account, units: float, rate: float, entry_count: int
    ) -> bool:
        if rate <= 0.0:
            return True
        if account.granted >= max(units, 1e-9):
            return False
        return account.debt + units > _credit(rate, entry_count)

    def _allowed_concurrency(self, entry_count: int, now_ms: float) -> float:
        if self.limit.concurrency is None:
            return float("inf")
        if self.limit.concurrency <= 0:
            return 0.0
        if now_ms < self.concurrency_valid_until_ms:
            return self.granted_concurrency
        return max(1.0, float(self.limit.concurrency // entry_count))

    def record_demand(self, prompt_tokens: int, now_ms: float) -> None:
        """Record the demand of a request, admitted or refused."""
        self.last_used_ms = now_ms
        self.requests.record_demand(1.0, now_ms)
        self.tokens.record_demand(float(prompt_tokens), now_ms)

    def consume(self, prompt_tokens: int) -> None:
        """Consume the quota of an admitted request."""
        for account, rate in self._rates():
            account.consume(1.0 if account is self.requests else prompt_tokens, rate)
        self.running += 1

    def add_tokens(self, tokens: int, now_ms: float) -> None:
        """Consume the quota of generated tokens."""
        if self.limit.tokens_per_s is not None:
            self.last_used_ms = now_ms
            self.tokens.record_demand(float(tokens), now_ms)
            self.tokens.consume(tokens, self.limit.tokens_per_s)

    def is_due(self, now_ms: float) -> bool:
        """Return whether a grant request should be sent now."""
        interval_ms = CONCURRENCY_INTERVAL_MS
        if self.has_refused:
            interval_ms = URGENT_INTERVAL_MS
        elif self.last_used_ms > self.requested_ms or self._has_debt():
            is_covered = self.has_long_grant and not self._has_debt()
            interval_ms = (
                LONG_GRANT_INTERVAL_MS if is_covered else GRANT_REQUEST_INTERVAL_MS
            )
        return now_ms - self.requested_ms >= interval_ms

    def has_grant(self, now_ms: float) -> bool:
        """Return whether the last grant is still valid."""
        return now_ms < self.granted_until_ms

    def needs_grant(self) -> bool:
        """Return whether grants are needed even without new requests."""
        return self._has_debt() or bool(self.running and self.limit.concurrency)

    def _has_debt(self) -> bool:
        return any(account.debt > 0.0 for account, _ in self._rates())

    def is_unused(self, now_ms: float) -> bool:
        """Return whether there was no request for SCOPE_IDLE_MS."""
        return now_ms - self.last_used_ms > SCOPE_IDLE_MS

    def can_be_dropped(self, now_ms: float) -> bool:
        """Return whether the scope is unused and without running requests or debt."""
        return self.is_unused(now_ms) and not self.running and not self.needs_grant()

    def set_owner(self, owner: str) -> None:
        """Use another owner; grants of the previous one stay valid."""
        if owner != self.owner:
            self.owner = owner
            self.requested_ms = float("-inf")
            self.waiting_since_ms = None

    def request_row(self, now_ms: float) -> GrantRow:
        """Return the row of a grant request, and record that it is sent."""
        self.requested_ms = now_ms
        if self.waiting_since_ms is None:
            self.waiting_since_ms = now_ms
        requests = tokens = 0.0
        if self.limit.requests_per_s is not None:
            requests = self.requests.units_to_request(now_ms)
        if self.limit.tokens_per_s is not None:
            tokens = self.tokens.units_to_request(now_ms)
        extra_concurrency = (
            1 + int(self.requests.demand) if self.limit.concurrency else 0
        )
        row = GrantRow(
            self.scope, requests, tokens, float(self.running), float(extra_concurrency)
        )
        return self._with_long_grant(row, now_ms) if self._has_low_demand() else row

    def _has_low_demand(self) -> bool:
        """Return whether the demand is far below each limit, for a long grant."""
        return not self.has_refused and all(
            account.demand <= LONG_GRANT_MAX_DEMAND * rate
            for account, rate in self._rates()
        )

    def _with_long_grant(self, row: GrantRow, now_ms: float) -> GrantRow:
        seconds = LONG_GRANT_VALID_MS / MS_PER_SECOND
        long_units = [
            account.units_to_request(now_ms, seconds) if rate is not None else 0.0
            for account, rate in (
                (self.requests, self.limit.requests_per_s),
                (self.tokens, self.limit.tokens_per_s),
            )
        ]
        return replace(row, long_requests=long_units[0], long_tokens=long_units[1])

    def on_grant(self, row: GrantRow, valid_ms: float, now_ms: float) -> None:
        """Apply a grant of the owner."""
        self.requests.on_grant(row.requests)
        self.tokens.on_grant(row.tokens)
        self.granted_concurrency = row.concurrency
        self.concurrency_valid_until_ms = self.requested_ms + CONCURRENCY_VALID_MS
        if row.is_long:
            valid_ms = LONG_GRANT_VALID_MS
        if row.requests or row.tokens or not self.has_long_grant:
            self.has_long_grant = row.is_long
            self.granted_until_ms = now_ms + valid_ms
        self.waiting_since_ms = None
        self.has_refused = False


def _repay_ms(account: _Account, rate: float, entry_count: int) -> float:
    """Return the approximate time until the account has a unit again."""
    units = 1.0 + max(0.0, account.debt - _credit(rate, entry_count))
    seconds = units / max(rate, 1e-3)
    return min(max(seconds * MS_PER_SECOND, URGENT_INTERVAL_MS), 30_000.0)
