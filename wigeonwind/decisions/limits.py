"""Limits of customers and classes at one entry, in force fleet-wide."""

from collections import OrderedDict
from collections.abc import Iterator

from wigeonwind.catalog import NO_LIMIT, Catalog, Limit
from wigeonwind.decisions.grant_client import ClientScope
from wigeonwind.decisions.grants import (
    GRANT_VALID_MS,
    GrantLedger,
    GrantRow,
    Scope,
    owner_of,
    owner_weight,
)
from wigeonwind.decisions.interfaces import Allowed, Limited

GOLDEN_RATIO = 0.6180339887498949
"""Step of a sequence that spreads Retry-After evenly without a random source."""

RETRY_JITTER = 0.5
"""Largest addition to Retry-After, as a share of it."""


class CustomerLimiter:
    """Limits of requests/s, tokens/s and concurrency; see `grants` for the bound.

    A limit of a customer counts all its requests; a limit of a class counts those of
    all customers. Requests and tokens both include refused demand only when asking for
    grants. Tokens are prompt and generated tokens. State exists for active scopes only.

    The caller sends `requests` to the home entries every 50 ms or so, answers those of
    other entries with `on_request`, and hands answers to `on_grant`. Without any of
    that the entry is its own home, so that limits hold in a single process.
    """

    def __init__(self, catalog: Catalog, local_id: str) -> None:
        self._catalog = catalog
        self._catalog_number = 0
        self._local_id = local_id
        self._entry_ids: tuple[str, ...] = (local_id,)
        self._ledger = GrantLedger()
        self._client_by_scope: OrderedDict[Scope, ClientScope] = OrderedDict()
        self._pending: dict[Scope, ClientScope] = {}
        self._refusals = 0

    def set_catalog(self, catalog: Catalog) -> None:
        """Use another version of the text; what is admitted stays admitted."""
        self._catalog = catalog
        self._catalog_number += 1

    def set_entries(self, entry_ids: tuple[str, ...], unreachable: int = 0) -> None:
        """Replace the live entries; this one is always among them.

        `unreachable` of them cannot reach this entry and use their own part.
        """
        new_ids = tuple(sorted({*entry_ids, self._local_id}))
        added = set(new_ids) - set(self._entry_ids)
        removed = set(self._entry_ids) - set(new_ids)
        self._entry_ids = new_ids
        self._ledger.set_reachable_share(1.0 - min(1.0, unreachable / len(new_ids)))
        for client in self._client_by_scope.values():
            client.set_home(self._new_home(client, added, removed))

    def _new_home(self, client: ClientScope, added: set[str], removed: set[str]) -> str:
        """Return the home; only the new entries need to be weighed."""
        if client.home in removed:
            return owner_of(client.scope, self._entry_ids)
        rivals = [client.home, *added]
        return max(rivals, key=lambda entry_id: owner_weight(client.scope, entry_id))

    def check(
        self, customer: str, class_name: str, prompt_tokens: int, now_ms: float
    ) -> Allowed | Limited:
        """Admit (and count) one request, or say which limit refuses it."""
        self._evict(now_ms)
        clients = list(self._clients(customer, class_name, now_ms))
        for client in clients:
            client.ask(prompt_tokens, now_ms)
        for client in clients:
            limited = self._refusal(client, now_ms)
            if limited is not None:
                return limited
        for client in clients:
            client.take(prompt_tokens)
        return Allowed()

    def _refusal(self, client: ClientScope, now_ms: float) -> Limited | None:
        entries = len(self._entry_ids)
        client.refresh(entries, now_ms)
        if client.home == self._local_id and not client.has_grant(now_ms):
            self._ask_self(client, now_ms)
        exceeded = client.exceeded(entries, now_ms)
        if exceeded is not None and client.home == self._local_id:
            self._ask_self(client, now_ms)
            exceeded = client.exceeded(entries, now_ms)
        if exceeded is None:
            return None
        client.refused = True
        self._refusals += 1
        name, retry_ms = exceeded
        jitter = RETRY_JITTER * ((self._refusals * GOLDEN_RATIO) % 1.0)
        customer, class_name = client.scope
        owner = f"customer {customer}" if customer else f"class {class_name}"
        return Limited(f"{name} of {owner}", retry_ms * (1.0 + jitter))

    def _ask_self(self, client: ClientScope, now_ms: float) -> None:
        limit = self._limit(client.scope)
        row = self._ledger.grant(self._local_id, client.row(now_ms), limit, now_ms)
        client.on_grant(row, GRANT_VALID_MS, now_ms)

    def _clients(
        self, customer: str, class_name: str, now_ms: float
    ) -> Iterator[ClientScope]:
        """Yield the limited scopes of a request."""
        for scope in ((customer, ""), ("", class_name)):
            client = self._client_by_scope.get(scope)
            if client is None:
                client = self._new_client(scope, now_ms)
            elif client.version != self._catalog_number:
                client.limit = self._limit(scope)
                client.version = self._catalog_number
            if client is not None:
                self._client_by_scope.move_to_end(scope)
                self._pending[scope] = client
                yield client

    def _new_client(self, scope: Scope, now_ms: float) -> ClientScope | None:
        limit = self._limit(scope)
        if limit == NO_LIMIT:
            return None
        home = owner_of(scope, self._entry_ids)
        client = ClientScope(scope, limit, home, now_ms)
        client.version = self._catalog_number
        self._client_by_scope[scope] = client
        return client

    def _limit(self, scope: Scope) -> Limit:
        customer_name, class_name = scope
        if class_name:
            request_class = self._catalog.class_by_name.get(class_name)
            return request_class.limit if request_class else NO_LIMIT
        customer = self._catalog.customer_by_name.get(customer_name)
        default = self._catalog.default_limit
        return _merged(customer.limit, default) if customer else default

    def _evict(self, now_ms: float) -> None:
        """Look at the two scopes not used for longest, and drop idle ones."""
        for _ in range(min(2, len(self._client_by_scope))):
            scope, client = next(iter(self._client_by_scope.items()))
            if not client.is_old(now_ms):
                return
            if client.is_idle(now_ms):
                del self._client_by_scope[scope]
                self._pending.pop(scope, None)
            else:
                self._client_by_scope.move_to_end(scope)

    def on_tokens(
        self, customer: str, class_name: str, tokens: int, now_ms: float
    ) -> None:
        """Count generated tokens."""
        for scope in ((customer, ""), ("", class_name)):
            client = self._client_by_scope.get(scope)
            if client is not None:
                client.add_tokens(tokens, now_ms)
                self._pending[scope] = client

    def on_ended(self, customer: str, class_name: str, now_ms: float) -> None:
        """Give back the concurrency of one admitted request."""
        for scope in ((customer, ""), ("", class_name)):
            client = self._client_by_scope.get(scope)
            if client is not None:
                client.running = max(0, client.running - 1)
                client.used_ms = now_ms

    def due_grant_requests(self, now_ms: float) -> dict[str, list[list]]:
        """Return rows of GrantRequest that are due, by home entry."""
        self._evict(now_ms)
        self._ledger.evict(now_ms)
        rows_by_home: dict[str, list[list]] = {}
        for client in list(self._pending.values()):
            if client.home == self._local_id:
                self._refresh_own(client, now_ms)
            elif client.is_due(now_ms):
                client.refresh(len(self._entry_ids), now_ms)
                rows = rows_by_home.setdefault(client.home, [])
                rows.append(client.row(now_ms).to_list())
        return rows_by_home

    def _refresh_own(self, client: ClientScope, now_ms: float) -> None:
        if client.needs_home() and client.is_due(now_ms):
            client.refresh(len(self._entry_ids), now_ms)
            self._ask_self(client, now_ms)
        if not client.needs_home():
            self._pending.pop(client.scope, None)

    def on_grant_request(
        self, entry_id: str, rows: list[list], now_ms: float
    ) -> list[list]:
        """Answer the rows of another entry's GrantRequest, valid GRANT_VALID_MS."""
        asked = (GrantRow.from_list(row) for row in rows)
        return [
            self._ledger.grant(entry_id, row, self._limit(row.scope), now_ms).to_list()
            for row in asked
        ]

    def on_grant(self, rows: list[list], valid_ms: float, now_ms: float) -> None:
        """Use the rows of a Grant."""
        for row in map(GrantRow.from_list, rows):
            client = self._client_by_scope.get(row.scope)
            if client is None:
                continue
            client.refresh(len(self._entry_ids), now_ms)
            client.on_grant(row, valid_ms, now_ms)
            if not client.needs_home():
                self._pending.pop(row.scope, None)

    def scope_count(self) -> int:
        """Return the number of scopes with state, as serving entry and as home."""
        return len(self._client_by_scope) + self._ledger.scope_count()


def _merged(limit: Limit, default: Limit) -> Limit:
    """Return a customer's limit with the defaults where it says nothing."""
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
