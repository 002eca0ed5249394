"""Fleet-wide limits without a write per request: grants of one second.

Each limited scope (a customer, or a class) has one home entry. `GrantLedger` is the
home's side: it gives out each second's limit once. `ClientScope` (module
`grant_client`) is the side of an entry that serves requests: it uses grants, and
without one a small credit that later grants repay.

Bound on overshoot. With a limit of R per second and N live entries, the units admitted
fleet-wide in any T seconds are at most R * (T + 1 + BUCKET_S), plus R of units that
long grants let entries hold for longer than a second, plus a credit of
N * max(1, R / N) units that later grants repay, plus R, the grants of one second, for
each change of home within the T seconds. An entry that gets no answers
admits at most R / N a second beyond its credit; the home holds that part back for
every entry it is told it cannot reach. Concurrency C is exceeded by at most
N * max(1, C / N), by entries that have no grant yet. Tokens of running answers are
counted after the fact, so work that is already running can exceed a token limit; the
excess is debt that blocks new work, up to MAX_DEBT_S seconds of the limit.
"""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, replace

from xxhash import xxh64_intdigest

from wigeonwind.catalog import Limit
from wigeonwind.clock import MS_PER_SECOND

GRANT_VALID_MS = 1000.0
"""Life of a grant; unused units expire with it."""

LONG_VALID_MS = 4000.0
"""Life of a long grant, for scopes far below their limit: fewer messages."""

LONG_SHARE = 0.4
"""Seconds of a limit that may be given out as long grants at once; a quarter of it a
second is given out in the long run. Entries hold at most 1.25 * LONG_VALID_MS of what
they use, so 0.5 + 0.4 seconds of a limit in all."""

FORGET_MS = 5000.0
"""Time after which the home forgets what an entry has asked for and holds."""

RUNNING_VALID_MS = 3000.0
"""Life of granted concurrency, from the request; the home remembers it for longer."""

BUCKET_S = 0.5
"""Seconds of a limit that the home may give out at once after a pause."""

IDLE_MS = 10_000.0
"""Time without requests after which the state of a scope is dropped."""

Scope = tuple[str, str]
"""Customer and class; one of them is empty."""


@dataclass(frozen=True)
class GrantRow:
    """Units asked for or granted in one scope.

    In a request `held` is the number of concurrent requests that run and `more` how
    many the entry may need beside them. In a grant `held` is the number that may run.
    `long_requests` and `long_tokens` are what the entry would use of a long grant, for
    scopes far below their limit; in a grant, one that is positive makes it a long one.
    """

    scope: Scope
    requests: float
    tokens: float
    held: float = 0.0
    more: float = 0.0
    long_requests: float = 0.0
    long_tokens: float = 0.0

    @property
    def is_long(self) -> bool:
        """Return whether a long grant is asked for or given."""
        return self.long_requests > 0.0 or self.long_tokens > 0.0

    def to_list(self) -> list:
        """Return the row as sent in GrantRequest and Grant."""
        numbers = [self.requests, self.tokens, self.held, self.more]
        if self.is_long:
            numbers += [self.long_requests, self.long_tokens]
        return [*self.scope, *map(_short, numbers)]

    @staticmethod
    def from_list(row: list) -> "GrantRow":
        """Read a row; one without concurrency has four elements."""
        numbers = [*row[2:8], 0.0, 0.0, 0.0, 0.0][:6]
        return GrantRow((row[0], row[1]), *numbers)


def _short(number: float) -> float:
    """Return a whole number as an integer, which CBOR writes in fewer bytes."""
    return int(number) if number == int(number) else number


def owner_weight(scope: Scope, entry_id: str) -> int:
    """Return the rendezvous weight of an entry for a scope; the highest is home."""
    return xxh64_intdigest(f"{scope[0]}\0{scope[1]}\0{entry_id}".encode())


def owner_of(scope: Scope, entry_ids: Iterable[str]) -> str:
    """Return the home entry of a scope; `entry_ids` must not be empty.

    >>> owner_of(("a", ""), ["e1", "e2", "e3"]) in ("e1", "e2", "e3")
    True
    """
    return max(entry_ids, key=lambda entry_id: owner_weight(scope, entry_id))


class _LongRoom:
    """Units of one kind that the home may still give out as long grants."""

    __slots__ = ("given", "updated_ms")

    def __init__(self, now_ms: float) -> None:
        self.given = 0.0
        self.updated_ms = now_ms

    def has(self, units: float, rate: float | None, now_ms: float) -> bool:
        """Return whether there is room for `units`."""
        if rate is None:
            return True
        per_ms = rate * LONG_SHARE / LONG_VALID_MS
        elapsed_ms = max(0.0, now_ms - self.updated_ms)
        self.given = max(0.0, self.given - elapsed_ms * per_ms)
        self.updated_ms = max(now_ms, self.updated_ms)
        return self.given + units <= rate * LONG_SHARE


class _Bucket:
    """Units of one kind that the home may still give out."""

    __slots__ = ("level", "updated_ms")

    def __init__(self, now_ms: float) -> None:
        # Starts empty: the entries' credit covers the first moments of a new home.
        self.level = 0.0
        self.updated_ms = now_ms

    def take(
        self, wanted: float, all_wanted: float, rate: float | None, now_ms: float
    ) -> float:
        """Take the part of one entry, in proportion to what all entries want."""
        if rate is None:
            return wanted
        elapsed_s = max(0.0, now_ms - self.updated_ms) / MS_PER_SECOND
        size = max(1.0, rate * BUCKET_S)
        self.level = min(size, self.level + rate * elapsed_s)
        self.updated_ms = max(now_ms, self.updated_ms)
        part = wanted * min(1.0, rate / all_wanted) if all_wanted > 0.0 else 0.0
        granted = min(part, self.level)
        self.level -= granted
        return granted


@dataclass(slots=True)
class _Asked:
    """The last request of one entry, and the concurrency granted for it."""

    at_ms: float
    row: GrantRow
    granted: float


class _HomeScope:
    """What the home knows of one scope: buckets and each entry's last request."""

    __slots__ = (
        "asked_by_entry",
        "long_requests",
        "long_tokens",
        "requests",
        "tokens",
        "used_ms",
    )

    def __init__(self, now_ms: float) -> None:
        self.requests = _Bucket(now_ms)
        self.tokens = _Bucket(now_ms)
        self.long_requests = _LongRoom(now_ms)
        self.long_tokens = _LongRoom(now_ms)
        self.asked_by_entry: dict[str, _Asked] = {}
        self.used_ms = now_ms

    def drop_old(self, now_ms: float) -> None:
        """Forget entries that no longer ask."""
        asked = self.asked_by_entry
        for name in [n for n, a in asked.items() if now_ms - a.at_ms > FORGET_MS]:
            del asked[name]

    def has_long_room(self, row: GrantRow, limit: Limit, now_ms: float) -> bool:
        """Return whether the row may get the long grant that it asks for."""
        requests, tokens = self.long_requests, self.long_tokens
        return (
            row.is_long
            and requests.has(row.long_requests, limit.requests_per_s, now_ms)
            and tokens.has(row.long_tokens, limit.tokens_per_s, now_ms)
        )

    def free_running(self, entry_id: str, limit: float) -> float:
        """Return the concurrency that the other entries do not hold."""
        others = sum(
            max(asked.granted, asked.row.held)
            for name, asked in self.asked_by_entry.items()
            if name != entry_id
        )
        return max(0.0, limit - others)


class GrantLedger:
    """The home's side of the scopes that hash to this entry."""

    def __init__(self) -> None:
        self._scope_by_name: OrderedDict[Scope, _HomeScope] = OrderedDict()
        self._reachable_share = 1.0

    def set_reachable_share(self, share: float) -> None:
        """Hold back 1 - `share` of each limit, used by entries out of reach."""
        self._reachable_share = share

    def grant(
        self, entry_id: str, row: GrantRow, limit: Limit, now_ms: float
    ) -> GrantRow:
        """Answer one row of a request."""
        home = self._scope(row.scope, now_ms)
        home.drop_old(now_ms)
        is_long = home.has_long_room(row, limit, now_ms)
        if is_long:
            row = replace(row, requests=row.long_requests, tokens=row.long_tokens)
        asked = _Asked(now_ms, row, 0.0)
        home.asked_by_entry[entry_id] = asked
        rows = [other.row for other in home.asked_by_entry.values()]
        requests = home.requests.take(
            row.requests,
            sum(other.requests for other in rows),
            self._reachable(limit.requests_per_s),
            now_ms,
        )
        tokens = home.tokens.take(
            row.tokens,
            sum(other.tokens for other in rows),
            self._reachable(limit.tokens_per_s),
            now_ms,
        )
        asked.granted = self._running(home, entry_id, row, limit)
        if not is_long:
            return GrantRow(row.scope, requests, tokens, asked.granted)
        home.long_requests.given += requests
        home.long_tokens.given += tokens
        return GrantRow(row.scope, requests, tokens, asked.granted, 0.0, 1.0)

    def _reachable(self, rate: float | None) -> float | None:
        return None if rate is None else rate * self._reachable_share

    def _running(
        self, home: _HomeScope, entry_id: str, row: GrantRow, limit: Limit
    ) -> float:
        wanted = row.held + row.more
        total = self._reachable(limit.concurrency)
        if total is None:
            return wanted
        rows = [asked.row for asked in home.asked_by_entry.values()]
        all_wanted = sum(other.held + other.more for other in rows)
        fair = max(1, round(total * wanted / max(1.0, all_wanted)))
        free = home.free_running(entry_id, total)
        return float(int(min(wanted, fair, free) + 1e-9))

    def _scope(self, scope: Scope, now_ms: float) -> _HomeScope:
        home = self._scope_by_name.get(scope)
        if home is None:
            home = self._scope_by_name[scope] = _HomeScope(now_ms)
        home.used_ms = now_ms
        self._scope_by_name.move_to_end(scope)
        return home

    def evict(self, now_ms: float) -> None:
        """Drop scopes for which no entry has asked for a while."""
        while self._scope_by_name:
            oldest = next(iter(self._scope_by_name))
            if now_ms - self._scope_by_name[oldest].used_ms <= IDLE_MS:
                return
            del self._scope_by_name[oldest]

    def scope_count(self) -> int:
        """Return the number of scopes remembered."""
        return len(self._scope_by_name)
