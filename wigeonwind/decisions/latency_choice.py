"""Choice of an endpoint by the time until it would answer, KV cache included.

It serves entries that send straight to endpoints, without a sidecar that owns the
queue: all that is known is this entry's own work and what its answers tell.
"""

from collections.abc import Callable, Iterable, Mapping
from random import Random

from wigeonwind.decisions.cached_prompt import CachedPrompt
from wigeonwind.decisions.endpoint_state import EndpointState
from wigeonwind.decisions.engine_ranking import SLOT_WAIT_MS, EngineRanking
from wigeonwind.decisions.interfaces import NoEndpoint
from wigeonwind.decisions.peer_loads import InFlightLoad, PeerLoads, short_id
from wigeonwind.decisions.placement import Candidate, Placement, PlacementRequest, Send
from wigeonwind.decisions.prefix_index import PrefixIndex
from wigeonwind.hashing import stable_hash

TOKENS_PER_MS = 150.0
"""Prompt tokens that an engine reads in a millisecond; the sheets give 157. Only the
relation between prompt and fixed costs depends on it."""

FIRST_EVENT_MS = 35.0
"""Time to the first event of an engine that is idle, apart from reading the prompt."""

RUNNING_MS = 0.5
"""Delay of a first event for each running request: a step takes longer, and several
steps pass before the event is full."""

CALL_MS = 30.0
"""Latency of a call to a plain endpoint that has not answered yet."""

REREAD_MS = 0.08
"""Cost of a token of a shared prefix that is read again at another endpoint."""

FETCH_SETUP_MS = 8.0
"""Time until a copy of KV cache from another engine begins."""

FETCH_MS = 0.006
"""Cost of a token of KV cache that is copied, on top of the time. The sheets price it
at a thirteenth of a shared token that is read again."""

HOME_PENALTY_MS = 40.0
"""Largest penalty of an endpoint that may be the home of a prefix."""

ERROR_PENALTY_MS = 400.0
"""Cost of a failed answer: about the time until a caller tries again."""

OTHER_ZONE_MS = 2.0
"""Cost of another availability zone: the round trip."""

FULL_MS = 100.0
"""Time for which an endpoint that refused for lack of room is the last choice."""

RETRY_AFTER_MS = 300.0
"""Retry-After where no endpoint can be chosen; discovery changes within a second."""

BUSY_SHARE = 0.55
"""Share of all slots in use from which work may be refused. The sheets price refusals
while less than half is in use; the rest covers what peers report late."""

FULL_SHARE = 0.85
"""Share of an engine's slots from which waiting is expected. Counts of peers are late,
and a full engine preempts."""

NO_SLOT_MS = 500.0
"""Further cost of an engine without a free slot: the request waits for the end of a
stream there, or preempts one."""

MAX_NEW_PREFIXES = 200
"""Prefixes that wait to be told to peers; more would not fit into a message."""

JITTER_MS = 2.0
"""Random part of a cost, so that entries with the same view spread their choices."""


class LatencyChooser:
    """Sends each request where its first event is expected soonest.

    The estimate counts the unread prompts that this entry has sent to an endpoint, the
    part of the prompt that is not cached there, and how its recent answers compare
    with such estimates. Prefixes are remembered where they were read; one that is not
    known anywhere has a home endpoint that all entries derive from its hash.
    """

    def __init__(self, local_zone: str, rng: Random) -> None:
        self._local_zone = local_zone
        self._rng = rng
        self._load_by_id: dict[str, EndpointState] = {}
        self._loads_by_service: dict[str, list[EndpointState]] = {}
        self._fetch_rate_by_service: Mapping[str, float] = {}
        self._prefixes = PrefixIndex()
        self._peers = PeerLoads()
        self._id_by_short: dict[int, str] = {}
        self._new_prefixes: list[tuple[int, int]] = []

    def set_fetch_rates(self, rate_by_service: Mapping[str, float]) -> None:
        """Set the tokens of KV cache that engines copy in a ms, by service."""
        self._fetch_rate_by_service = rate_by_service

    def set_candidates(self, candidates: Iterable[Candidate], now_ms: float) -> None:
        """Replace the endpoints that may get new work."""
        old_by_id = self._load_by_id
        self._load_by_id = {}
        self._loads_by_service = {}
        for candidate in candidates:
            name = candidate.endpoint_id
            load = old_by_id.get(name) or EndpointState(candidate, now_ms)
            load.candidate = candidate
            self._load_by_id[name] = load
            self._loads_by_service.setdefault(candidate.service, []).append(load)
        self._id_by_short = {short_id(name): name for name in self._load_by_id}

    def _pool(
        self, work: PlacementRequest, exclude: frozenset[str]
    ) -> list[EndpointState]:
        loads = self._loads_by_service.get(work.service, ())
        return [each for each in loads if each.candidate.endpoint_id not in exclude]

    def choose(
        self, work: PlacementRequest, now_ms: float, exclude: frozenset[str]
    ) -> Placement | NoEndpoint:
        """Choose an endpoint that is not in `exclude`."""
        pool = self._pool(work, exclude)
        if not pool:
            reason = f"no endpoint of {work.service} is known or left"
            return NoEndpoint(reason, RETRY_AFTER_MS * (1.0 + self._rng.random()))
        usable = _usable(pool, now_ms)
        with_room = [each for each in usable if each.full_until_ms <= now_ms] or usable
        penalty = EngineRanking(with_room).penalties(work)
        cached = self._cached_prompt(work, usable, now_ms)
        cost = self._cost_of(work, with_room, penalty, cached, now_ms)
        name = min(with_room, key=cost).candidate.endpoint_id
        return Placement(name, cached.source_for(name))

    def has_capacity(
        self, work: PlacementRequest, now_ms: float, exclude: frozenset[str]
    ) -> bool:
        """Return whether an engine may take a long prompt now.

        Slots full of long prompts slow each other down, and leave none for short ones.
        """
        if not work.is_long:
            return True
        pool = _usable(self._pool(work, exclude), now_ms)
        return not pool or EngineRanking(pool).has_capacity()

    def is_busy(self, work: PlacementRequest, exclude: frozenset[str]) -> bool:
        """Return whether so few slots are free that a refusal is justified."""
        pool = self._pool(work, exclude)
        slots = sum(each.candidate.slots for each in pool)
        return sum(each.outstanding_count for each in pool) >= BUSY_SHARE * slots

    def _home(
        self,
        work: PlacementRequest,
        pool: list[EndpointState],
        penalty: dict[str, float],
    ) -> str:
        """Return the endpoint that all entries prefer for the longest shared prefix."""
        if not work.shared_prefixes or len(pool) < 2:
            return ""
        key = work.prefix_keys[work.shared_prefixes - 1]
        names = [each.candidate.endpoint_id for each in pool]
        limit = max(min(penalty.values(), default=0.0), HOME_PENALTY_MS)
        near = [name for name in names if penalty.get(name, 0.0) <= limit]
        return max(near or names, key=lambda name: _score(key, name))

    def _cost_of(
        self,
        work: PlacementRequest,
        pool: list[EndpointState],
        penalty: dict[str, float],
        prompt: CachedPrompt,
        now_ms: float,
    ) -> Callable[[EndpointState], float]:
        """Return the function that estimates the cost of an endpoint in ms."""
        cached_by_id = dict(prompt.tokens_by_id)
        shared_tokens = 0
        if work.shared_prefixes:
            shared_tokens = work.prefix_tokens[work.shared_prefixes - 1]
        if not any(tokens >= shared_tokens for tokens in cached_by_id.values()):
            home = self._home(work, pool, penalty)
            if home:
                cached = max(cached_by_id.get(home, 0.0), float(shared_tokens))
                cached_by_id[home] = cached

        def cost(load: EndpointState) -> float:
            name = load.candidate.endpoint_id
            cached = cached_by_id.get(name, 0.0)
            source = prompt.source_for(name)
            fetch_ms = 0.0
            if source is not None:
                fetched = prompt.fetched_tokens(name, source)
                cached += fetched
                fetch_ms = FETCH_SETUP_MS + fetched * (
                    FETCH_MS + 1.0 / prompt.fetch_rate
                )
            total = self._expected_ms(load, work, cached)
            total *= load.relative_latency(now_ms)
            total += fetch_ms
            total += max(0.0, shared_tokens - cached) * REREAD_MS
            total += load.recent_error_rate(now_ms) * ERROR_PENALTY_MS
            if load.candidate.zone != self._local_zone:
                total += OTHER_ZONE_MS
            return total + penalty.get(name, 0.0) + JITTER_MS * self._rng.random()

        return cost

    def _expected_ms(
        self, load: EndpointState, work: PlacementRequest, cached: float
    ) -> float:
        """Return the expected time to the first event, or of a whole plain call."""
        outstanding = load.outstanding_count
        if not work.is_generation:
            return CALL_MS * (1.0 + outstanding / max(1, load.candidate.slots))
        unread = load.unread_tokens(work.priority)
        unread += max(0.0, work.prompt_tokens - cached)
        waiting_ms = unread / TOKENS_PER_MS
        room = FULL_SHARE * load.candidate.slots
        waiting_ms += max(0.0, outstanding + 1 - room) * SLOT_WAIT_MS
        if outstanding >= load.candidate.slots:
            waiting_ms += NO_SLOT_MS
        return FIRST_EVENT_MS + waiting_ms + RUNNING_MS * outstanding

    def _cached_tokens(self, work: PlacementRequest, now_ms: float) -> dict[str, float]:
        """Return by endpoint how many tokens of the prompt it holds."""
        cached_by_id: dict[str, float] = {}
        for index, name in self._prefixes.holders(work.prefix_keys, now_ms):
            cached_by_id.setdefault(name, float(work.prefix_tokens[index]))
        return cached_by_id

    def _cached_prompt(
        self, work: PlacementRequest, pool: list[EndpointState], now_ms: float
    ) -> CachedPrompt:
        tokens_by_id = self._cached_tokens(work, now_ms)
        names = {each.candidate.endpoint_id for each in pool}
        sources = sorted(
            (name for name in tokens_by_id if name in names),
            key=lambda name: -tokens_by_id[name],
        )
        rate = self._fetch_rate_by_service.get(work.service, 0.0)
        return CachedPrompt(tokens_by_id, tuple(sources), rate)

    def on_sent(
        self,
        endpoint_id: str,
        work: PlacementRequest,
        now_ms: float,
        fetch_from: str | None = None,
    ) -> Send:
        """Record that a request is sent; the result is passed to the other calls."""
        tokens_by_id = self._cached_tokens(work, now_ms)
        held_by = (endpoint_id, fetch_from or "")
        cached = max(tokens_by_id.get(name, 0.0) for name in held_by)
        unread = max(0, work.prompt_tokens - int(cached))
        load = self._load_by_id.get(endpoint_id)
        if load is None:
            return Send(work, endpoint_id, now_ms, unread, FIRST_EVENT_MS)
        expected_ms = self._expected_ms(load, work, cached)
        sent = Send(work, endpoint_id, now_ms, unread, expected_ms)
        load.add(sent)
        # Requests that follow at once would otherwise read the same prefix elsewhere.
        for key in work.prefix_keys:
            self._prefixes.add(key, endpoint_id, now_ms)
        if len(self._new_prefixes) < MAX_NEW_PREFIXES:
            shared = work.prefix_keys[: work.shared_prefixes]
            self._new_prefixes += [(key, load.short_id) for key in shared]
        return sent

    def local_load(self, now_ms: float) -> dict[int, InFlightLoad]:
        """Return what this entry has on its way, by short id of the endpoint."""
        self._peers.forget_old(now_ms)
        self._sum_peers()
        return {
            each.short_id: InFlightLoad(
                len(each.outstanding),
                each.long_prompts,
                tuple(pair for pair in each.unread_by_priority.items() if pair[1]),
            )
            for each in self._load_by_id.values()
            if each.outstanding
        }

    def take_new_prefixes(self) -> tuple[tuple[int, int], ...]:
        """Return the shared prefixes sent since the last call, and where to."""
        taken = tuple(dict.fromkeys(self._new_prefixes))
        self._new_prefixes.clear()
        return taken

    def on_peer_load(
        self, peer_id: str, work_by_id: dict[int, InFlightLoad], now_ms: float
    ) -> None:
        """Take another entry's work into account."""
        self._peers.on_load(peer_id, work_by_id, now_ms)
        self._sum_peers()

    def _sum_peers(self) -> None:
        for load in self._load_by_id.values():
            load.set_peers(self._peers.work_at(load.short_id))

    def on_peer_prefixes(
        self, prefixes: Iterable[tuple[int, int]], now_ms: float
    ) -> None:
        """Record the prefixes that another entry has sent to endpoints."""
        for key, number in prefixes:
            name = self._id_by_short.get(number)
            if name is not None:
                self._prefixes.add(key, name, now_ms)

    def on_received(self, sent: Send, now_ms: float) -> None:
        """Record that bytes of an answer arrived."""
        load = self._load_by_id.get(sent.endpoint_id)
        if load is not None:
            load.on_received(now_ms)

    def on_started(self, sent: Send, now_ms: float) -> None:
        """Record the first event of a stream, or the answer of a plain call."""
        load = self._load_by_id.get(sent.endpoint_id)
        if load is not None and not sent.is_started:
            load.on_started(sent, now_ms)

    def on_ended(self, sent: Send, ok: bool, now_ms: float) -> None:
        """Record the end; `ok` False says that the endpoint failed the request."""
        load = self._load_by_id.get(sent.endpoint_id)
        if load is not None and sent in load.outstanding:
            load.remove(sent)
            load.on_answered(ok, now_ms)

    def on_refused(self, sent: Send, now_ms: float) -> None:
        """Record that the endpoint had no room; it certainly did not run it."""
        load = self._load_by_id.get(sent.endpoint_id)
        if load is None or sent not in load.outstanding:
            return
        load.remove(sent)
        load.full_until_ms = now_ms + FULL_MS
        for key in sent.work.prefix_keys:
            self._prefixes.remove(key, sent.endpoint_id)

    def on_unreachable(self, endpoint_id: str, now_ms: float) -> None:
        """Record that no connection could be opened."""
        load = self._load_by_id.get(endpoint_id)
        if load is not None:
            load.on_unreachable(now_ms)

    def silence_ms(self, endpoint_id: str, now_ms: float) -> float:
        """Return for how long an endpoint with outstanding work has sent nothing."""
        load = self._load_by_id.get(endpoint_id)
        return float("inf") if load is None else load.silence_ms(now_ms)


def _usable(pool: list[EndpointState], now_ms: float) -> list[EndpointState]:
    """Return the endpoints that answer, or all where none does."""
    return [each for each in pool if not each.is_avoided(now_ms)] or pool


def _score(key: int, endpoint_id: str) -> int:
    return stable_hash(f"{key}|{endpoint_id}")
