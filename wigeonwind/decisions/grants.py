"""Fleet-wide limits without a store write per request: quota is granted for one second.

Each limited scope (a customer or a class) has one owner entry. `GrantLedger` is used by
the owner and grants the quota of each second once. `ScopeQuota` in `grant_client` is
used by the entries that serve requests: they consume grants, and without a grant a
small credit that later grants repay.

Bound on overshoot. With a limit of R per second and N live entries, the units admitted
by the fleet in any T seconds are at most R * (T + 1 + BUCKET_S), plus R for units that
entries hold for more than a second through long grants, plus a credit of
N * max(1, R / N) units that later grants repay, plus R, the grants of one second, for
each change of owner within the T seconds. An entry that receives no responses admits at
most R / N per second beyond its credit; the owner holds back that quota for each entry
that is reported as unreachable. Concurrency C is exceeded by at most N * max(1, C / N),
by entries that have no grant yet. Tokens of running answers are counted as they are
generated, so running requests can exceed a token limit. The excess is debt that blocks
new requests, up to MAX_DEBT_S seconds of the limit.
"""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, replace

from xxhash import xxh64_intdigest

from wigeonwind.catalog import Limit
from wigeonwind.clock import MS_PER_SECOND

GRANT_VALID_MS = 1000.0
"""Validity of a grant; unused units expire with it."""

LONG_GRANT_VALID_MS = 4000.0
"""Validity of a long grant, which saves messages for scopes far below their limit."""

LONG_GRANT_BUDGET_S = 0.4
"""Seconds of a limit that may be outstanding as long grants. In the long run a quarter
of it is granted per second, a tenth of the limit. Entries hold at most 1.25 *
LONG_GRANT_VALID_MS (5 s) of what they use, so 0.5 + 0.4 seconds of a limit in total."""

REQUEST_EXPIRY_MS = 5000.0
"""Age at which the owner drops the last grant request of an entry and the concurrency
that it granted for it."""

CONCURRENCY_VALID_MS = 3000.0
"""Validity of granted concurrency, counted from the grant request; shorter than
REQUEST_EXPIRY_MS, after which the owner grants it to other entries."""

BUCKET_S = 0.5
"""Seconds of a limit that the owner may grant at once after a period without use."""

SCOPE_IDLE_MS = 10_000.0
"""Time without use after which the state of a scope is dropped."""

Scope = tuple[str, str]
"""Customer and class; one of them is empty."""


@dataclass(frozen=True)
class GrantRow:
    """Units requested or granted in one scope.

    In a request, `concurrency` is the number of running requests and
    `extra_concurrency` how many more the entry may need; in a grant, `concurrency` is
    the number of requests that may run. `long_requests` and `long_tokens` are the units
    that the entry would use of a long grant, for scopes far below their limit; in a
    grant, a positive value marks a long grant.
    """

    scope: Scope
    requests: float
    tokens: float
    concurrency: float = 0.0
    extra_concurrency: float = 0.0
    long_requests: float = 0.0
    long_tokens: float = 0.0

    @property
    def is_long(self) -> bool:
        """Return whether a long grant is requested or granted."""
        return self.long_requests > 0.0 or self.long_tokens > 0.0

    def to_list(self) -> list:
        """Return the row as encoded in GrantRequest and Grant."""
        numbers = [self.requests, self.tokens, self.concurrency, self.extra_concurrency]
        if self.is_long:
            numbers += [self.long_requests, self.long_tokens]
        return [*self.scope, *map(_compact, numbers)]

    @staticmethod
    def from_list(row: list) -> "GrantRow":
        """Decode a row of four (without concurrency) to eight elements."""
        numbers = [*row[2:8], 0.0, 0.0, 0.0, 0.0][:6]
        return GrantRow((row[0], row[1]), *numbers)


def _compact(number: float) -> float:
    """Return a whole number as an integer, which CBOR encodes in fewer bytes."""
    return int(number) if number == int(number) else number


def owner_weight(scope: Scope, entry_id: str) -> int:
    """Return the rendezvous weight of an entry; the highest one owns the scope."""
    return xxh64_intdigest(f"{scope[0]}\0{scope[1]}\0{entry_id}".encode())


def owner_of(scope: Scope, entry_ids: Iterable[str]) -> str:
    """Return the owner entry of a scope; `entry_ids` must not be empty.

    >>> owner_of(("a", ""), ["e1", "e2", "e3"]) in ("e1", "e2", "e3")
    True
    """
    return max(entry_ids, key=lambda entry_id: owner_weight(scope, entry_id))


class _LongGrantBudget:
    """Units of one kind that the owner has outstanding as long grants."""

    __slots__ = ("granted", "updated_ms")

    def __init__(self, now_ms: float) -> None:
        self.granted = 0.0
        self.updated_ms = now_ms

    def allows(self, units: float, rate: float | None, now_ms: float) -> bool:
        """Return whether `units` more may be granted."""
        if rate is None:
            return True
        per_ms = rate * LONG_GRANT_BUDGET_S / LONG_GRANT_VALID_MS
        elapsed_ms = max(0.0, now_ms - self.updated_ms)
        self.granted = max(0.0, self.granted - elapsed_ms * per_ms)
        self.updated_ms = max(now_ms, self.updated_ms)
        return self.granted + units <= rate * LONG_GRANT_BUDGET_S


class _Bucket:
    """Token bucket of the units of one kind that the owner may grant."""

    __slots__ = ("level", "updated_ms")

    def __init__(self, now_ms: float) -> None:
        # Starts empty: the credit of the entries covers the start of a new owner.
        self.level = 0.0
        self.updated_ms = now_ms

    def take(
        self,
        requested: float,
        total_requested: float,
        rate: float | None,
        now_ms: float,
    ) -> float:
        """Take and return the units for one entry.

        If the entries request more than `rate`, each gets a part in proportion to what
        it requests. A `rate` of None is no limit.
        """
        if rate is None:
            return requested
        elapsed_s = max(0.0, now_ms - self.updated_ms) / MS_PER_SECOND
        size = max(1.0, rate * BUCKET_S)
        self.level = min(size, self.level + rate * elapsed_s)
        self.updated_ms = max(now_ms, self.updated_ms)
        share = (
            requested * min(1.0, rate / total_requested)
            if total_requested > 0.0
            else 0.0
        )
        granted = min(share, self.level)
        self.level -= granted
        return granted


@dataclass(slots=True)
class _LastRequest:
    """The last request of one entry, and the concurrency granted for it."""

    at_ms: float
    row: GrantRow
    granted: float


class _OwnedScope:
    """State of one scope at its owner: buckets and the last request of each entry."""

    __slots__ = (
        "request_by_entry",
        "long_requests",
        "long_tokens",
        "requests",
        "tokens",
        "last_used_ms",
    )

    def __init__(self, now_ms: float) -> None:
        self.requests = _Bucket(now_ms)
        self.tokens = _Bucket(now_ms)
        self.long_requests = _LongGrantBudget(now_ms)
        self.long_tokens = _LongGrantBudget(now_ms)
        self.request_by_entry: dict[str, _LastRequest] = {}
        self.last_used_ms = now_ms

    def drop_expired(self, now_ms: float) -> None:
        """Drop grant requests that are older than REQUEST_EXPIRY_MS."""
        requests = self.request_by_entry
        for name in [
            n for n, r in requests.items() if now_ms - r.at_ms > REQUEST_EXPIRY_MS
        ]:
            del requests[name]

    def allows_long_grant(self, row: GrantRow, limit: Limit, now_ms: float) -> bool:
        """Return whether the long grant that the row requests is available."""
        requests, tokens = self.long_requests, self.long_tokens
        return (
            row.is_long
            and requests.allows(row.long_requests, limit.requests_per_s, now_ms)
            and tokens.allows(row.long_tokens, limit.tokens_per_s, now_ms)
        )

    def free_concurrency(self, entry_id: str, limit: float) -> float:
        """Return the concurrency that other entries do not hold."""
        others = sum(
            max(request.granted, request.row.concurrency)
            for name, request in self.request_by_entry.items()
            if name != entry_id
        )
        return max(0.0, limit - others)


class GrantLedger:
    """Grants quota of the scopes that this entry owns."""

    def __init__(self) -> None:
        self._scope_by_name: OrderedDict[Scope, _OwnedScope] = OrderedDict()
        self._reachable_share = 1.0

    def set_reachable_share(self, share: float) -> None:
        """Hold back 1 - `share` of each limit for entries that are unreachable."""
        self._reachable_share = share

    def grant(
        self, entry_id: str, row: GrantRow, limit: Limit, now_ms: float
    ) -> GrantRow:
        """Return the grant for one row of a grant request of `entry_id`."""
        state = self._owned_scope(row.scope, now_ms)
        state.drop_expired(now_ms)
        is_long = state.allows_long_grant(row, limit, now_ms)
        if is_long:
            row = replace(row, requests=row.long_requests, tokens=row.long_tokens)
        request = _LastRequest(now_ms, row, 0.0)
        state.request_by_entry[entry_id] = request
        rows = [other.row for other in state.request_by_entry.values()]
        requests = state.requests.take(
            row.requests,
            sum(other.requests for other in rows),
            self._reachable(limit.requests_per_s),
            now_ms,
        )
        tokens = state.tokens.take(
            row.tokens,
            sum(other.tokens for other in rows),
            self._reachable(limit.tokens_per_s),
            now_ms,
        )
        request.granted = self._grantable_concurrency(state, entry_id, row, limit)
        if not is_long:
            return GrantRow(row.scope, requests, tokens, request.granted)
        state.long_requests.granted += requests
        state.long_tokens.granted += tokens
        return GrantRow(row.scope, requests, tokens, request.granted, 0.0, 1.0)

    def _reachable(self, rate: float | None) -> float | None:
        return None if rate is None else rate * self._reachable_share

    def _grantable_concurrency(
        self, state: _OwnedScope, entry_id: str, row: GrantRow, limit: Limit
    ) -> float:
        requested = row.concurrency + row.extra_concurrency
        total = self._reachable(limit.concurrency)
        if total is None:
            return requested
        rows = [request.row for request in state.request_by_entry.values()]
        total_requested = sum(
            other.concurrency + other.extra_concurrency for other in rows
        )
        proportional = max(1, round(total * requested / max(1.0, total_requested)))
        free = state.free_concurrency(entry_id, total)
        return float(int(min(requested, proportional, free) + 1e-9))

    def _owned_scope(self, scope: Scope, now_ms: float) -> _OwnedScope:
        state = self._scope_by_name.get(scope)
        if state is None:
            state = self._scope_by_name[scope] = _OwnedScope(now_ms)
        state.last_used_ms = now_ms
        self._scope_by_name.move_to_end(scope)
        return state

    def evict(self, now_ms: float) -> None:
        """Drop scopes without a request for SCOPE_IDLE_MS."""
        while self._scope_by_name:
            oldest = next(iter(self._scope_by_name))
            if now_ms - self._scope_by_name[oldest].last_used_ms <= SCOPE_IDLE_MS:
                return
            del self._scope_by_name[oldest]

    def scope_count(self) -> int:
        """Return the number of scopes with state."""
        return len(self._scope_by_name)
