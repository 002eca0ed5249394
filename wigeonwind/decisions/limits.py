"""Fleet-wide limits of customers and classes, as enforced by one entry."""

from collections import OrderedDict
from collections.abc import Iterator

from wigeonwind.catalog import NO_LIMIT, Catalog, Limit
from wigeonwind.decisions.grant_client import ScopeQuota
from wigeonwind.decisions.grants import (
    GRANT_VALID_MS,
    GrantLedger,
    GrantRow,
    Scope,
    owner_of,
    owner_weight,
)
from wigeonwind.decisions.interfaces import Allowed, Limited

JITTER_STEP = 0.6180339887498949
"""Step, the inverse of the golden ratio, of a sequence modulo 1 that distributes
Retry-After evenly without a random source."""

RETRY_JITTER = 0.5
"""Largest addition to Retry-After, relative to it."""


class RequestLimiter:
    """Limits of requests/s, tokens/s and concurrency; see `grants` for the bounds.

    A limit of a customer applies to all its requests, a limit of a class to those of
    all customers. Tokens are prompt and generated tokens. Refused requests count only
    as demand in grant requests. State is kept for active scopes only.

    The caller sends `due_grant_requests` to the owner entries about every 50 ms,
    handles those of other entries with `on_grant_request`, and passes grants to
    `on_grant`. Until other entries are set, the entry owns all scopes, so that limits
    also apply in a single process.
    """

    def __init__(self, catalog: Catalog, local_id: str) -> None:
        self._catalog = catalog
        self._catalog_generation = 0
        self._local_id = local_id
        self._entry_ids: tuple[str, ...] = (local_id,)
        self._ledger = GrantLedger()
        self._quota_by_scope: OrderedDict[Scope, ScopeQuota] = OrderedDict()
        self._pending: dict[Scope, ScopeQuota] = {}
        self._refusals = 0

    def set_catalog(self, catalog: Catalog) -> None:
        """Use another configuration version; admitted requests stay admitted."""
        self._catalog = catalog
        self._catalog_generation += 1

    def set_entries(self, entry_ids: tuple[str, ...], unreachable: int = 0) -> None:
        """Replace the live entries; this one is always among them.

        `unreachable` is the number of entries that cannot reach this one and therefore
        use their equal share of the limits.
        """
        new_ids = tuple(sorted({*entry_ids, self._local_id}))
        added = set(new_ids) - set(self._entry_ids)
        removed = set(self._entry_ids) - set(new_ids)
        self._entry_ids = new_ids
        self._ledger.set_reachable_share(1.0 - min(1.0, unreachable / len(new_ids)))
        for quota in self._quota_by_scope.values():
            quota.set_owner(self._new_owner(quota, added, removed))

    def _new_owner(self, quota: ScopeQuota, added: set[str], removed: set[str]) -> str:
        """Return the owner; only added entries can replace one that remains."""
        if quota.owner in removed:
            return owner_of(quota.scope, self._entry_ids)
        candidates = [quota.owner, *added]
        return max(candidates, key=lambda entry_id: owner_weight(quota.scope, entry_id))

    def check(
        self, customer: str, class_name: str, prompt_tokens: int, now_ms: float
    ) -> Allowed | Limited:
        """Admit and count a request, or return the limit that it exceeds."""
        self._evict_idle(now_ms)
        quotas = list(self._quotas(customer, class_name, now_ms))
        for quota in quotas:
            quota.record_demand(prompt_tokens, now_ms)
        for quota in quotas:
            limited = self._refusal(quota, now_ms)
            if limited is not None:
                return limited
        for quota in quotas:
            quota.consume(prompt_tokens)
        return Allowed()

    def _refusal(self, quota: ScopeQuota, now_ms: float) -> Limited | None:
        """Return the refusal of a request by one scope, None if it is within limits.

        The owner of a scope grants quota to itself when a request needs it.
        """
        entry_count = len(self._entry_ids)
        quota.refresh(entry_count, now_ms)
        if quota.owner == self._local_id and not quota.has_grant(now_ms):
            self._grant_locally(quota, now_ms)
        exceeded = quota.exceeded(entry_count, now_ms)
        if exceeded is not None and quota.owner == self._local_id:
            self._grant_locally(quota, now_ms)
            exceeded = quota.exceeded(entry_count, now_ms)
        if exceeded is None:
            return None
        quota.has_refused = True
        self._refusals += 1
        name, retry_ms = exceeded
        jitter = RETRY_JITTER * ((self._refusals * JITTER_STEP) % 1.0)
        customer, class_name = quota.scope
        subject = f"customer {customer}" if customer else f"class {class_name}"
        return Limited(f"{name} of {subject}", retry_ms * (1.0 + jitter))

    def _grant_locally(self, quota: ScopeQuota, now_ms: float) -> None:
        limit = self._limit(quota.scope)
        row = self._ledger.grant(
            self._local_id, quota.request_row(now_ms), limit, now_ms
        )
        quota.on_grant(row, GRANT_VALID_MS, now_ms)

    def _quotas(
        self, customer: str, class_name: str, now_ms: float
    ) -> Iterator[ScopeQuota]:
        """Yield the quotas of the limited scopes of a request."""
        for scope in ((customer, ""), ("", class_name)):
            quota = self._quota_by_scope.get(scope)
            if quota is None:
                quota = self._new_quota(scope, now_ms)
            elif quota.version != self._catalog_generation:
                quota.limit = self._limit(scope)
                quota.version = self._catalog_generation
            if quota is not None:
                self._quota_by_scope.move_to_end(scope)
                self._pending[scope] = quota
                yield quota

    def _new_quota(self, scope: Scope, now_ms: float) -> ScopeQuota | None:
        limit = self._limit(scope)
        if limit == NO_LIMIT:
            return None
        owner = owner_of(scope, self._entry_ids)
        quota = ScopeQuota(scope, limit, owner, now_ms)
        quota.version = self._catalog_generation
        self._quota_by_scope[scope] = quota
        return quota

    def _limit(self, scope: Scope) -> Limit:
        customer_name, class_name = scope
        if class_name:
            request_class = self._catalog.class_by_name.get(class_name)
            return request_class.limit if request_class else NO_LIMIT
        customer = self._catalog.customer_by_name.get(customer_name)
        default = self._catalog.default_limit
        return _merged(customer.limit, default) if customer else default

    def _evict_idle(self, now_ms: float) -> None:
        """Check the two least recently used scopes, and drop idle ones."""
        for _ in range(min(2, len(self._quota_by_scope))):
            scope, quota = next(iter(self._quota_by_scope.items()))
            if not quota.is_unused(now_ms):
                return
            if quota.can_be_dropped(now_ms):
                del self._quota_by_scope[scope]
                self._pending.pop(scope, None)
            else:
                self._quota_by_scope.move_to_end(scope)

    def on_tokens(
        self, customer: str, class_name: str, tokens: int, now_ms: float
    ) -> None:
        """Count generated tokens against the limits."""
        for scope in ((customer, ""), ("", class_name)):
            quota = self._quota_by_scope.get(scope)
            if quota is not None:
                quota.add_tokens(tokens, now_ms)
                self._pending[scope] = quota

    def on_ended(self, customer: str, class_name: str, now_ms: float) -> None:
        """Release the concurrency slot of an admitted request."""
        for scope in ((customer, ""), ("", class_name)):
            quota = self._quota_by_scope.get(scope)
            if quota is not None:
                quota.running = max(0, quota.running - 1)
                quota.last_used_ms = now_ms

    def due_grant_requests(self, now_ms: float) -> dict[str, list[list]]:
        """Return the rows of GrantRequest that are due, by owner entry."""
        self._evict_idle(now_ms)
        self._ledger.evict(now_ms)
        rows_by_owner: dict[str, list[list]] = {}
        for quota in list(self._pending.values()):
            if quota.owner == self._local_id:
                self._refresh_local(quota, now_ms)
            elif quota.is_due(now_ms):
                quota.refresh(len(self._entry_ids), now_ms)
                rows = rows_by_owner.setdefault(quota.owner, [])
                rows.append(quota.request_row(now_ms).to_list())
        return rows_by_owner

    def _refresh_local(self, quota: ScopeQuota, now_ms: float) -> None:
        if quota.needs_grant() and quota.is_due(now_ms):
            quota.refresh(len(self._entry_ids), now_ms)
            self._grant_locally(quota, now_ms)
        if not quota.needs_grant():
            self._pending.pop(quota.scope, None)

    def on_grant_request(
        self, entry_id: str, rows: list[list], now_ms: float
    ) -> list[list]:
        """Return the grants for the rows of another entry, valid for GRANT_VALID_MS."""
        requests = (GrantRow.from_list(row) for row in rows)
        return [
            self._ledger.grant(entry_id, row, self._limit(row.scope), now_ms).to_list()
            for row in requests
        ]

    def on_grant(self, rows: list[list], valid_ms: float, now_ms: float) -> None:
        """Apply the rows of a Grant."""
        for row in map(GrantRow.from_list, rows):
            quota = self._quota_by_scope.get(row.scope)
            if quota is None:
                continue
            quota.refresh(len(self._entry_ids), now_ms)
            quota.on_grant(row, valid_ms, now_ms)
            if not quota.needs_grant():
                self._pending.pop(row.scope, None)

    def scope_count(self) -> int:
        """Return the number of scopes with state, served and owned."""
        return len(self._quota_by_scope) + self._ledger.scope_count()


def _merged(limit: Limit, default: Limit) -> Limit:
    """Return the limit of a customer, with the defaults for unset fields."""
    if limit is NO_LIMIT or limit == NO_LIMIT:
        return default
    requests = limit.requests_per_s
    tokens = limit.tokens_per_s
    concurrency = limit.concurrency
    return Limit(
        default.requests_per_s if requests is None else requests,
        default.tokens_per_s if tokens is None else tokens,
        default.concurrency if concurrency is None else concurrency,
    )
