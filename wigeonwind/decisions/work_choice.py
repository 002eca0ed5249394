"""Choice of an endpoint by the time until it would answer, KV cache included.

It serves entries that send straight to endpoints, without a sidecar that owns the
queue: all that is known is this entry's own work and what its answers tell.
"""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from random import Random

from wigeonwind.decisions.interfaces import NoEndpoint
from wigeonwind.decisions.peer_loads import (
    EndpointWork,
    PeerLoads,
    short_id,
    sum_work,
)
from wigeonwind.decisions.prefix_index import PrefixIndex
from wigeonwind.hashing import hash_text

TOKENS_PER_MS = 150.0
"""Prompt tokens that an engine reads in a millisecond; the sheets give 157. Only the
relation between prompt and fixed costs depends on it."""

FIRST_EVENT_MS = 35.0
"""Time to the first event of an engine that is idle, apart from reading the prompt."""

RUNNING_MS = 0.5
"""Delay of a first event for each running request: a step takes longer, and several
steps pass before the event is full."""

LOWER_WORK_WEIGHT = 0.5
"""Weight of unread prompts of lower priority. They yield, but the part that is being
read is finished first."""

CALL_MS = 30.0
"""Latency of a call to a plain endpoint that has not answered yet."""

REREAD_MS = 0.08
"""Cost of a token of a shared prefix that is read again at another endpoint."""

FETCH_SETUP_MS = 8.0
"""Time until a copy of KV cache from another engine begins."""

FETCH_MS = 0.006
"""Cost of a token of KV cache that is copied, on top of the time. The sheets price it
at a thirteenth of a shared token that is read again."""

MIN_FETCH_TOKENS = 400
"""Least tokens that are copied: reading fewer is as fast as to set up a copy."""

HOME_PENALTY_MS = 40.0
"""Largest penalty of an endpoint that may be the home of a prefix."""

SPEED_WEIGHT = 0.15
"""Weight of one measurement in an endpoint's relative speed."""

SPEED_RANGE = (0.5, 8.0)
"""Bounds of a relative latency; beyond them the estimate says nothing more."""

SPEED_HALF_LIFE_MS = 4_000.0
"""Age at which a measured speed counts half; a busy spell is over sooner than that."""

ERROR_WEIGHT = 0.1
"""Weight of one answer in an endpoint's error rate."""

ERROR_PENALTY_MS = 400.0
"""Cost of a failed answer: about the time until a caller tries again."""

ERROR_HALF_LIFE_MS = 5_000.0
"""Age at which errors count half, so that an endpoint is tried again."""

OTHER_ZONE_MS = 2.0
"""Cost of another availability zone: the round trip."""

SILENT_MS = 700.0
"""Silence with outstanding work after which an endpoint gets no new work. Engines that
live send events of running requests several times in this time."""

UNREACHABLE_MS = 500.0
"""Time without new work after a failed connection; it doubles with each one."""

MAX_UNREACHABLE_MS = 4_000.0

FULL_MS = 100.0
"""Time for which an endpoint that refused for lack of room is the last choice."""

RETRY_AFTER_MS = 300.0
"""Retry-After where no endpoint can be chosen; discovery changes within a second."""

LONG_PROMPT_TOKENS = 4_000
"""Prompt from which a request counts as long: an engine reads about that much in one
step, and streams that run beside several such steps pause too long."""

LONG_TARGET_MS = 600.0
"""Latency target from which a request can wait for an engine for long prompts."""

LONG_PROMPT_SHARE = 0.4
"""Share of a service's engines on which long prompts cost no penalty."""

LONG_SLOT_SHARE = 0.85
"""Share of the slots of an engine that long prompts may hold. The rest takes what
peers send before their messages arrive."""

LONG_END_SHARE = 0.85
"""Place in the ranking from which engines take no long prompts, as a share of it."""

LONG_SPAN = 0.36
"""Penalty of a long prompt on the last engine of the ranking, in its latency targets.
It falls to nothing towards the engines for long prompts, so that long prompts spread
over more engines as their own wait grows."""

SHORT_PENALTY = 0.6
"""Penalty of a short prompt on an engine for long ones, in its latency targets."""

SHORT_SPAN_MS = 30.0
"""Penalty of a short prompt on the engine next to those for long prompts, falling to
nothing on the last one: long prompts that spread find few streams first."""

FULL_SHARE = 0.85
"""Share of an engine's slots from which waiting is expected. Counts of peers are late,
and a full engine preempts."""

SLOT_WAIT_MS = 60.0
"""Wait for each request beyond that share: a stream holds one of 32 slots for 2 s."""

NO_SLOT_MS = 500.0
"""Further cost of an engine without a free slot: the request waits for the end of a
stream there, or preempts one."""

MAX_NEW_PREFIXES = 200
"""Prefixes that wait to be told to peers; more would not fit into a message."""

JITTER_MS = 2.0
"""Random part of a cost, so that entries with the same view spread their choices."""


@dataclass(frozen=True, slots=True)
class Work:
    """What the choice depends on.

    `prefix_keys` name growing prefixes of the prompt, `prefix_tokens` their lengths;
    `shared_prefixes` of them occur in other requests, too. `target_ms` is the time to
    the first event that is still on time.
    """

    service: str
    priority: int
    prompt_tokens: int = 0
    prefix_keys: tuple[int, ...] = ()
    prefix_tokens: tuple[int, ...] = ()
    shared_prefixes: int = 0
    is_generation: bool = False
    target_ms: float = 0.0

    @property
    def is_long(self) -> bool:
        """Return whether reading the prompt disturbs what runs beside it."""
        has_time = self.target_ms >= LONG_TARGET_MS
        return has_time and self.prompt_tokens >= LONG_PROMPT_TOKENS


@dataclass(frozen=True, slots=True)
class Candidate:
    """An endpoint as discovery reports it."""

    endpoint_id: str
    service: str
    zone: str
    slots: int


@dataclass(slots=True, eq=False)
class SentWork:
    """One request on its way; `unread_tokens` of its prompt are not in the cache."""

    work: Work
    endpoint_id: str
    sent_ms: float
    unread_tokens: int
    expected_ms: float
    is_started: bool = False


@dataclass(frozen=True, slots=True)
class Placement:
    """The endpoint for a request.

    `fetch_from` is the endpoint from which it copies KV cache of the prompt first.
    """

    endpoint_id: str
    fetch_from: str | None = None


@dataclass(frozen=True, slots=True)
class _CachedPrompt:
    """Where a prompt is cached: tokens by endpoint, and the longest that can be copied.

    `sources` are the endpoints with the most tokens that answer, best first.
    """

    tokens_by_id: dict[str, float]
    sources: tuple[str, ...]
    fetch_rate: float

    def source_for(self, endpoint_id: str) -> str | None:
        """Return the endpoint from which a copy pays, None if there is none."""
        if not self.fetch_rate:
            return None
        for source in self.sources:
            if source != endpoint_id:
                more = self.fetched_tokens(endpoint_id, source)
                return source if more >= MIN_FETCH_TOKENS else None
        return None

    def fetched_tokens(self, endpoint_id: str, source: str) -> float:
        """Return the tokens that `source` has beyond those of an endpoint."""
        own = self.tokens_by_id.get(endpoint_id, 0.0)
        return max(0.0, self.tokens_by_id[source] - own)


class _Endpoint:
    """What this entry knows of one endpoint."""

    __slots__ = (
        "candidate",
        "error_rate",
        "errors_ms",
        "failures",
        "full_until_ms",
        "heard_ms",
        "latency",
        "long_prompts",
        "measured_ms",
        "outstanding",
        "peer_long_prompts",
        "peer_running",
        "peer_unread",
        "short_id",
        "unreachable_until_ms",
        "unread_by_priority",
    )

    def __init__(self, candidate: Candidate, now_ms: float) -> None:
        self.candidate = candidate
        self.short_id = short_id(candidate.endpoint_id)
        self.outstanding: set[SentWork] = set()
        self.long_prompts = 0
        self.peer_running = 0
        self.peer_long_prompts = 0
        self.peer_unread: dict[int, int] = {}
        self.unread_by_priority: dict[int, int] = {}
        self.heard_ms = now_ms
        self.latency = 1.0
        self.measured_ms = now_ms
        self.error_rate = 0.0
        self.errors_ms = now_ms
        self.failures = 0
        self.unreachable_until_ms = float("-inf")
        self.full_until_ms = float("-inf")

    def unread_tokens(self, priority: int) -> float:
        """Return the unread prompt tokens that a request of this priority waits for."""
        rows = [*self.unread_by_priority.items(), *self.peer_unread.items()]
        return sum(
            tokens if other <= priority else tokens * LOWER_WORK_WEIGHT
            for other, tokens in rows
        )

    @property
    def outstanding_count(self) -> int:
        """Return the requests on their way there, those of peers included."""
        return len(self.outstanding) + self.peer_running

    def relative_latency(self, now_ms: float) -> float:
        """Return measured over expected latency, which approaches 1 with its age."""
        age_ms = max(0.0, now_ms - self.measured_ms)
        return 1.0 + (self.latency - 1.0) * 0.5 ** (age_ms / SPEED_HALF_LIFE_MS)

    def recent_error_rate(self, now_ms: float) -> float:
        """Return the error rate (0 to 1), which falls with its age."""
        age_ms = max(0.0, now_ms - self.errors_ms)
        return self.error_rate * 0.5 ** (age_ms / ERROR_HALF_LIFE_MS)

    def silence_ms(self, now_ms: float) -> float:
        """Return for how long work is outstanding without a byte from the endpoint."""
        if not self.outstanding:
            return 0.0
        oldest_ms = min(sent.sent_ms for sent in self.outstanding)
        return now_ms - max(oldest_ms, self.heard_ms)

    def is_avoided(self, now_ms: float) -> bool:
        """Return whether it gets new work only if there is no other."""
        if now_ms < self.unreachable_until_ms:
            return True
        return self.silence_ms(now_ms) > SILENT_MS


class WorkChooser:
    """Sends each request where its first event is expected soonest.

    The estimate counts the unread prompts that this entry has sent to an endpoint, the
    part of the prompt that is not cached there, and how its recent answers compare
    with such estimates. Prefixes are remembered where they were read; one that is not
    known anywhere has a home endpoint that all entries derive from its hash.

    Reading a long prompt delays every stream that runs on the same engine. Long prompts
    begin at one end of the ranking of engines and short ones at the other.
    """

    def __init__(self, own_zone: str, rng: Random) -> None:
        self._own_zone = own_zone
        self._rng = rng
        self._endpoint_by_id: dict[str, _Endpoint] = {}
        self._ids_by_service: dict[str, list[str]] = {}
        self._prefixes = PrefixIndex()
        self._peers = PeerLoads()
        self._id_by_short: dict[int, str] = {}
        self._new_prefixes: list[tuple[int, int]] = []
        self._fetch_rate_by_service: Mapping[str, float] = {}

    def set_fetch_rates(self, rate_by_service: Mapping[str, float]) -> None:
        """Set the tokens of KV cache that engines copy in a ms, by service."""
        self._fetch_rate_by_service = rate_by_service

    def set_candidates(self, candidates: Iterable[Candidate], now_ms: float) -> None:
        """Replace the endpoints that may get new work."""
        old_by_id = self._endpoint_by_id
        self._endpoint_by_id = {}
        self._ids_by_service = {}
        for candidate in candidates:
            name = candidate.endpoint_id
            known = old_by_id.get(name) or _Endpoint(candidate, now_ms)
            known.candidate = candidate
            self._endpoint_by_id[name] = known
            self._ids_by_service.setdefault(candidate.service, []).append(name)
        self._id_by_short = {short_id(name): name for name in self._endpoint_by_id}

    def choose(
        self, work: Work, now_ms: float, exclude: frozenset[str]
    ) -> Placement | NoEndpoint:
        """Choose an endpoint that is not in `exclude`."""
        ids = self._ids_by_service.get(work.service, ())
        pool = [self._endpoint_by_id[name] for name in ids if name not in exclude]
        if not pool:
            reason = f"no endpoint of {work.service} is known or left"
            return NoEndpoint(reason, RETRY_AFTER_MS * (1.0 + self._rng.random()))
        usable = [each for each in pool if not each.is_avoided(now_ms)] or pool
        with_room = [each for each in usable if each.full_until_ms <= now_ms] or usable
        penalty = self._penalties(work, with_room)
        cached = self._cached_prompt(work, usable, now_ms)
        cost = self._cost_of(work, with_room, penalty, cached, now_ms)
        name = min(with_room, key=cost).candidate.endpoint_id
        return Placement(name, cached.source_for(name))

    def has_room(self, work: Work, now_ms: float, exclude: frozenset[str]) -> bool:
        """Return whether an engine may take a long prompt now.

        Slots full of long prompts slow each other down, and leave none for short ones.
        The share of slots that they may hold falls along the ranking; the last engines
        take none.
        """
        if not work.is_long:
            return True
        ids = self._ids_by_service.get(work.service, ())
        pool = [self._endpoint_by_id[name] for name in ids if name not in exclude]
        pool = [each for each in pool if not each.is_avoided(now_ms)] or pool
        if not pool:
            return True
        limits = self._long_limits(pool)
        running = sum(each.long_prompts + each.peer_long_prompts for each in pool)
        return running < sum(limits.values())

    def is_full(self, work: Work, exclude: frozenset[str]) -> bool:
        """Return whether hardly any engine has a free slot."""
        ids = self._ids_by_service.get(work.service, ())
        pool = [self._endpoint_by_id[name] for name in ids if name not in exclude]
        slots = sum(each.candidate.slots for each in pool)
        return sum(each.outstanding_count for each in pool) >= FULL_SHARE * slots

    def _long_limits(self, pool: list[_Endpoint]) -> dict[str, float]:
        """Return by engine how many long prompts it is meant to run."""
        slots_by_id = {
            each.candidate.endpoint_id: each.candidate.slots for each in pool
        }
        ranked = _ranked(pool)
        count = max(1, round(len(ranked) * LONG_PROMPT_SHARE))
        end = max(count + 1.0, LONG_END_SHARE * len(ranked))
        limits = {}
        for rank, name in enumerate(ranked):
            share = min(1.0, max(0.0, (end - rank) / (end - count)))
            limits[name] = LONG_SLOT_SHARE * share * slots_by_id[name]
        return limits

    def _penalties(self, work: Work, pool: list[_Endpoint]) -> dict[str, float]:
        """Return what keeps long prompts and short ones on different engines, in ms.

        All entries rank the engines in the same order, so that they agree without
        talking to each other.
        """
        if not work.is_generation or len(pool) < 2:
            return {}
        ranked = _ranked(pool)
        count = max(1, round(len(ranked) * LONG_PROMPT_SHARE))
        others = max(1, len(ranked) - count)
        if work.is_long:
            step_ms = LONG_SPAN * work.target_ms / others
            limits = self._long_limits(pool)
            return {
                name: step_ms * max(0, rank - count + 1)
                + self._excess(name, limits[name]) * SLOT_WAIT_MS
                for rank, name in enumerate(ranked)
            }
        far_ms = SHORT_PENALTY * work.target_ms
        step_ms = SHORT_SPAN_MS / others
        return {
            name: far_ms if rank < count else step_ms * (len(ranked) - 1 - rank)
            for rank, name in enumerate(ranked)
        }

    def _excess(self, name: str, limit: float) -> float:
        """Return by how much another long prompt would exceed an engine's limit."""
        each = self._endpoint_by_id[name]
        return max(0.0, each.long_prompts + each.peer_long_prompts + 1 - limit)

    def _home(
        self, work: Work, pool: list[_Endpoint], penalty: dict[str, float]
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
        work: Work,
        pool: list[_Endpoint],
        penalty: dict[str, float],
        prompt: _CachedPrompt,
        now_ms: float,
    ) -> Callable[[_Endpoint], float]:
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

        def cost(endpoint: _Endpoint) -> float:
            name = endpoint.candidate.endpoint_id
            cached = cached_by_id.get(name, 0.0)
            source = prompt.source_for(name)
            fetch_ms = 0.0
            if source is not None:
                fetched = prompt.fetched_tokens(name, source)
                cached += fetched
                fetch_ms = FETCH_SETUP_MS + fetched * (
                    FETCH_MS + 1.0 / prompt.fetch_rate
                )
            total = self._expected_ms(endpoint, work, cached)
            total *= endpoint.relative_latency(now_ms)
            total += fetch_ms
            total += max(0.0, shared_tokens - cached) * REREAD_MS
            total += endpoint.recent_error_rate(now_ms) * ERROR_PENALTY_MS
            if endpoint.candidate.zone != self._own_zone:
                total += OTHER_ZONE_MS
            return total + penalty.get(name, 0.0) + JITTER_MS * self._rng.random()

        return cost

    def _expected_ms(self, endpoint: _Endpoint, work: Work, cached: float) -> float:
        """Return the expected time to the first event, or of a whole plain call."""
        outstanding = endpoint.outstanding_count
        if not work.is_generation:
            return CALL_MS * (1.0 + outstanding / max(1, endpoint.candidate.slots))
        unread = endpoint.unread_tokens(work.priority)
        unread += max(0.0, work.prompt_tokens - cached)
        waiting_ms = unread / TOKENS_PER_MS
        room = FULL_SHARE * endpoint.candidate.slots
        waiting_ms += max(0.0, outstanding + 1 - room) * SLOT_WAIT_MS
        if outstanding >= endpoint.candidate.slots:
            waiting_ms += NO_SLOT_MS
        return FIRST_EVENT_MS + waiting_ms + RUNNING_MS * outstanding

    def _cached_tokens(self, work: Work, now_ms: float) -> dict[str, float]:
        """Return by endpoint how many tokens of the prompt it holds."""
        cached_by_id: dict[str, float] = {}
        for index, name in self._prefixes.holders(work.prefix_keys, now_ms):
            cached_by_id.setdefault(name, float(work.prefix_tokens[index]))
        return cached_by_id

    def _cached_prompt(
        self, work: Work, pool: list[_Endpoint], now_ms: float
    ) -> _CachedPrompt:
        tokens_by_id = self._cached_tokens(work, now_ms)
        names = {each.candidate.endpoint_id for each in pool}
        sources = sorted(
            (name for name in tokens_by_id if name in names),
            key=lambda name: -tokens_by_id[name],
        )
        rate = self._fetch_rate_by_service.get(work.service, 0.0)
        return _CachedPrompt(tokens_by_id, tuple(sources), rate)

    def on_sent(
        self,
        endpoint_id: str,
        work: Work,
        now_ms: float,
        fetch_from: str | None = None,
    ) -> SentWork:
        """Record that a request is sent; the result is passed to the other calls."""
        tokens_by_id = self._cached_tokens(work, now_ms)
        held_by = (endpoint_id, fetch_from or "")
        cached = max(tokens_by_id.get(name, 0.0) for name in held_by)
        unread = max(0, work.prompt_tokens - int(cached))
        endpoint = self._endpoint_by_id.get(endpoint_id)
        if endpoint is None:
            return SentWork(work, endpoint_id, now_ms, unread, FIRST_EVENT_MS)
        expected_ms = self._expected_ms(endpoint, work, cached)
        sent = SentWork(work, endpoint_id, now_ms, unread, expected_ms)
        endpoint.outstanding.add(sent)
        endpoint.long_prompts += work.is_long
        by_priority = endpoint.unread_by_priority
        by_priority[work.priority] = by_priority.get(work.priority, 0) + unread
        # Requests that follow at once would otherwise read the same prefix elsewhere.
        for key in work.prefix_keys:
            self._prefixes.add(key, endpoint_id, now_ms)
        if len(self._new_prefixes) < MAX_NEW_PREFIXES:
            shared = work.prefix_keys[: work.shared_prefixes]
            self._new_prefixes += [(key, endpoint.short_id) for key in shared]
        return sent

    def own_work(self, now_ms: float) -> dict[int, EndpointWork]:
        """Return what this entry has on its way, by short id of the endpoint."""
        self._peers.forget_old(now_ms)
        self._sum_peers()
        return {
            each.short_id: EndpointWork(
                len(each.outstanding),
                each.long_prompts,
                tuple(pair for pair in each.unread_by_priority.items() if pair[1]),
            )
            for each in self._endpoint_by_id.values()
            if each.outstanding
        }

    def take_new_prefixes(self) -> tuple[tuple[int, int], ...]:
        """Return the shared prefixes sent since the last call, and where to."""
        taken = tuple(dict.fromkeys(self._new_prefixes))
        self._new_prefixes.clear()
        return taken

    def on_peer_load(
        self, peer_id: str, work_by_id: dict[int, EndpointWork], now_ms: float
    ) -> None:
        """Take another entry's work into account."""
        self._peers.on_load(peer_id, work_by_id, now_ms)
        self._sum_peers()

    def _sum_peers(self) -> None:
        for endpoint in self._endpoint_by_id.values():
            rows = self._peers.work_at(endpoint.short_id)
            total = sum_work(rows)
            endpoint.peer_running, endpoint.peer_long_prompts = total[:2]
            endpoint.peer_unread = total[2]

    def on_peer_prefixes(
        self, prefixes: Iterable[tuple[int, int]], now_ms: float
    ) -> None:
        """Record the prefixes that another entry has sent to endpoints."""
        for key, number in prefixes:
            name = self._id_by_short.get(number)
            if name is not None:
                self._prefixes.add(key, name, now_ms)

    def on_heard(self, sent: SentWork, now_ms: float) -> None:
        """Record that bytes of an answer arrived."""
        endpoint = self._endpoint_by_id.get(sent.endpoint_id)
        if endpoint is not None:
            endpoint.heard_ms = now_ms
            endpoint.failures = 0
            endpoint.unreachable_until_ms = float("-inf")

    def on_started(self, sent: SentWork, now_ms: float) -> None:
        """Record the first event of a stream, or the answer of a plain call."""
        endpoint = self._endpoint_by_id.get(sent.endpoint_id)
        if endpoint is None or sent.is_started:
            return
        self._mark_read(endpoint, sent)
        ratio = (now_ms - sent.sent_ms) / sent.expected_ms
        ratio = min(max(ratio, SPEED_RANGE[0]), SPEED_RANGE[1])
        latency = endpoint.relative_latency(now_ms)
        endpoint.latency = latency + SPEED_WEIGHT * (ratio - latency)
        endpoint.measured_ms = now_ms

    def _remove(self, endpoint: _Endpoint, sent: SentWork) -> None:
        endpoint.outstanding.discard(sent)
        endpoint.long_prompts -= sent.work.is_long
        self._mark_read(endpoint, sent)

    def _mark_read(self, endpoint: _Endpoint, sent: SentWork) -> None:
        if not sent.is_started:
            sent.is_started = True
            by_priority = endpoint.unread_by_priority
            by_priority[sent.work.priority] -= sent.unread_tokens

    def on_ended(self, sent: SentWork, ok: bool, now_ms: float) -> None:
        """Record the end; `ok` False says that the endpoint failed the request."""
        endpoint = self._endpoint_by_id.get(sent.endpoint_id)
        if endpoint is None or sent not in endpoint.outstanding:
            return
        self._remove(endpoint, sent)
        rate = endpoint.recent_error_rate(now_ms)
        endpoint.error_rate = rate + ERROR_WEIGHT * ((0.0 if ok else 1.0) - rate)
        endpoint.errors_ms = now_ms

    def on_refused(self, sent: SentWork, now_ms: float) -> None:
        """Record that the endpoint had no room; it certainly did not run it."""
        endpoint = self._endpoint_by_id.get(sent.endpoint_id)
        if endpoint is None or sent not in endpoint.outstanding:
            return
        self._remove(endpoint, sent)
        endpoint.full_until_ms = now_ms + FULL_MS
        for key in sent.work.prefix_keys:
            self._prefixes.remove(key, sent.endpoint_id)

    def on_unreachable(self, endpoint_id: str, now_ms: float) -> None:
        """Record that no connection could be opened."""
        endpoint = self._endpoint_by_id.get(endpoint_id)
        if endpoint is not None:
            wait_ms = min(UNREACHABLE_MS * 2.0**endpoint.failures, MAX_UNREACHABLE_MS)
            endpoint.failures += 1
            endpoint.unreachable_until_ms = now_ms + wait_ms

    def silence_ms(self, endpoint_id: str, now_ms: float) -> float:
        """Return for how long an endpoint with outstanding work has sent nothing."""
        endpoint = self._endpoint_by_id.get(endpoint_id)
        return float("inf") if endpoint is None else endpoint.silence_ms(now_ms)


def _ranked(pool: Iterable[_Endpoint]) -> list[str]:
    """Return the ids of endpoints in the order that all entries derive."""
    ranked = sorted(each.candidate.endpoint_id for each in pool)
    ranked.sort(key=hash_text)
    return ranked


def _score(key: int, endpoint_id: str) -> int:
    return hash_text(f"{key}|{endpoint_id}")
