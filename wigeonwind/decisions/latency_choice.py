"""Choice of an endpoint by expected latency, with regard to cached prompt prefixes.

Used by routers, which send to endpoints directly, without a sidecar that owns the
queue. The choice relies on the router's own requests, the responses to them and the
load that other routers report.
"""

from collections.abc import Callable, Iterable, Iterator, Mapping
from random import Random

from wigeonwind.decisions.cached_prompt import MIN_FETCH_TOKENS, CachedPrompt
from wigeonwind.decisions.endpoint_state import EndpointState
from wigeonwind.decisions.engine_profile import EngineProfile, ServiceProfile
from wigeonwind.decisions.engine_ranking import SLOT_WAIT_MS, EngineRanking
from wigeonwind.decisions.interfaces import NoEndpoint
from wigeonwind.decisions.peer_loads import InFlightLoad, PeerLoads, short_id
from wigeonwind.decisions.placement import Candidate, Placement, PlacementRequest, Send
from wigeonwind.decisions.prefill_window import GOAL_FRACTION, PrefillWindow
from wigeonwind.decisions.prefix_index import PrefixIndex
from wigeonwind.decisions.stream_stalls import StreamStalls
from wigeonwind.hashing import stable_hash

DELAY_PER_RUNNING_MS = 0.5
"""Delay of a first event per running request: each lengthens the engine steps, of which
the first event takes several."""

PLAIN_CALL_MS = 30.0
"""Assumed latency of a call to a plain service at an idle endpoint."""

REPEATED_PREFILL_FACTOR = 12.0
"""Penalty of a shared prefix that is prefilled again at another endpoint, relative to
the time of its prefill: it takes engine time and KV cache from other requests."""

FETCH_SETUP_MS = 8.0
"""Time to set up a transfer of KV cache from another engine."""

FETCH_PENALTY_FACTOR = 0.9
"""Penalty of transferred KV cache, relative to the time of its prefill. A transfer
costs about a thirteenth of a repeated prefill (REPEATED_PREFILL_FACTOR)."""

MAX_PREFERRED_PENALTY_MS = 40.0
"""Penalty up to which an endpoint can be the preferred one of a prefix."""

ERROR_PENALTY_MS = 400.0
"""Cost of a failed response: about the time until the caller retries."""

OTHER_ZONE_PENALTY_MS = 2.0
"""Cost of an endpoint in another availability zone: the round trip."""

REFUSAL_BACKOFF_MS = 100.0
"""Time for which an endpoint is avoided after it refused a request for lack of
capacity."""

RETRY_AFTER_MS = 300.0
"""Retry-After when no endpoint is available; discovery updates within a second."""

FULL_SLOT_SHARE = 0.85
"""Share of an engine's slots in use from which requests are expected to wait. Counts
from peers are delayed, and a full engine preempts."""

NO_SLOT_PENALTY_MS = 500.0
"""Additional cost of an engine without a free slot, where the request waits for a
stream to end or preempts one."""

MAX_NEW_PREFIXES = 200
"""Most prefixes that are pending for the next message to peers; more would not fit."""

JITTER_MS = 2.0
"""Largest random addition to a cost, so that entries with the same data do not all
choose the same endpoint."""


class LatencyChooser:
    """Chooses the endpoint with the earliest expected first event.

    The estimate includes the prompts in flight at the endpoint that are not prefilled
    yet, the tokens of the prompt that are not cached there, and the ratio of recent
    latencies to their estimates. Prefixes are recorded at the endpoints that have
    prefilled them. A prefix without a record has a preferred endpoint, which all
    entries derive from the hash of the prefix.
    """

    def __init__(self, local_zone: str, rng: Random) -> None:
        self._local_zone = local_zone
        self._rng = rng
        self._endpoint_by_id: dict[str, EndpointState] = {}
        self._endpoints_by_service: dict[str, list[EndpointState]] = {}
        self._fetch_rate_by_service: Mapping[str, float] = {}
        self._prefixes = PrefixIndex()
        self._peers = PeerLoads()
        self._id_by_short: dict[int, str] = {}
        self._new_prefixes: list[tuple[int, int]] = []
        self._window_by_service: dict[str, PrefillWindow] = {}
        self._profile_by_service: dict[str, EngineProfile] = {}
        self._stalls_by_service: dict[str, StreamStalls] = {}

    def _window_of(self, service: str) -> PrefillWindow:
        return self._window_by_service.setdefault(service, PrefillWindow())

    def profile_of(self, service: str) -> EngineProfile:
        """Return the learned speed of the engines of a service."""
        return self._profile_by_service.setdefault(service, EngineProfile())

    def service_profiles(self) -> Iterator[ServiceProfile]:
        """Yield what is known of the engines of each service."""
        for service, profile in self._profile_by_service.items():
            yield ServiceProfile(
                service,
                profile.prefill_rate,
                profile.base_ms,
                self._window_of(service).limit,
            )

    def _stalls_of(self, service: str) -> StreamStalls:
        return self._stalls_by_service.setdefault(service, StreamStalls())

    def set_fetch_rates(self, rate_by_service: Mapping[str, float]) -> None:
        """Set the tokens of KV cache that engines transfer per ms, by service."""
        self._fetch_rate_by_service = rate_by_service

    def set_candidates(self, candidates: Iterable[Candidate], now_ms: float) -> None:
        """Replace the endpoints that may receive requests."""
        old_by_id = self._endpoint_by_id
        self._endpoint_by_id = {}
        self._endpoints_by_service = {}
        for candidate in candidates:
            name = candidate.endpoint_id
            endpoint = old_by_id.get(name) or EndpointState(candidate, now_ms)
            endpoint.candidate = candidate
            self._endpoint_by_id[name] = endpoint
            self._endpoints_by_service.setdefault(candidate.service, []).append(
                endpoint
            )
        self._id_by_short = {short_id(name): name for name in self._endpoint_by_id}

    def _pool(
        self, request: PlacementRequest, exclude: frozenset[str]
    ) -> list[EndpointState]:
        endpoints = self._endpoints_by_service.get(request.service, ())
        return [each for each in endpoints if each.candidate.endpoint_id not in exclude]

    def choose(
        self, request: PlacementRequest, now_ms: float, exclude: frozenset[str]
    ) -> Placement | NoEndpoint:
        """Return the best endpoint that is not in `exclude`."""
        pool = self._pool(request, exclude)
        if not pool:
            reason = f"no endpoint of {request.service} is available"
            return NoEndpoint(reason, RETRY_AFTER_MS * (1.0 + self._rng.random()))
        usable = _usable(pool, now_ms)
        with_capacity = [
            each for each in usable if each.full_until_ms <= now_ms
        ] or usable
        penalty = EngineRanking(with_capacity).penalties(request)
        cached_prompt = self._cached_prompt(request, usable, now_ms)
        cost = self._cost_of(request, with_capacity, penalty, cached_prompt, now_ms)
        name = min(with_capacity, key=cost).candidate.endpoint_id
        return Placement(name, cached_prompt.source_for(name))

    def by_load(self, service: str, now_ms: float) -> list[str]:
        """Return the endpoints of a service, the one with the least requests first."""
        pool = _usable(list(self._endpoints_by_service.get(service, ())), now_ms)
        pool.sort(key=lambda each: each.in_flight_count)
        return [each.candidate.endpoint_id for each in pool]

    def has_capacity(
        self,
        request: PlacementRequest,
        now_ms: float,
        exclude: frozenset[str],
        waiting: int = 0,
    ) -> bool:
        """Return whether an engine of the service should take the prompt now.

        Only long prompts are limited: too many of them slow each other down, stall
        streams, and leave no slots for short ones. Prompts that engines cannot begin to
        answer in time wait at the router, where newer ones can overtake them; `waiting`
        of them do.
        """
        if not request.is_long:
            return True
        window = self._window_of(request.service)
        window.waiting = waiting
        if not window.has_room():
            return False
        pool = _usable(self._pool(request, exclude), now_ms)
        if not pool:
            return True
        if not EngineRanking(pool).has_capacity():
            return False
        cached_by_id = self._cached_tokens(request, now_ms)
        return any(self._can_take(each, request, cached_by_id) for each in pool)

    def _can_take(
        self,
        endpoint: EndpointState,
        request: PlacementRequest,
        cached_by_id: Mapping[str, float],
    ) -> bool:
        """Return whether an engine can answer in time without stalling streams."""
        cached_tokens = cached_by_id.get(endpoint.candidate.endpoint_id, 0.0)
        if not cached_tokens and request.shared_prefixes:
            # The choice prefers engines that hold the prefix, or copies it from one.
            cached_tokens = float(request.prefix_tokens[request.shared_prefixes - 1])
        prefill_tokens = max(0.0, request.prompt_tokens - cached_tokens)
        profile = self.profile_of(request.service)
        stalls = self._stalls_of(request.service)
        if stalls.penalty_ms(request, endpoint, prefill_tokens, profile) > 0.0:
            return False
        # The prompt itself is left out: a very long one is late on every engine.
        waiting_ms = endpoint.pending_prefill_tokens(request.priority)
        waiting_ms /= profile.prefill_rate
        return waiting_ms <= GOAL_FRACTION * request.target_ms

    def _preferred_endpoint(
        self,
        request: PlacementRequest,
        pool: list[EndpointState],
        penalty: dict[str, float],
    ) -> str:
        """Return the endpoint that all entries prefer for the longest shared prefix.

        Uses rendezvous hashing over the endpoints with a small penalty; empty if there
        is no shared prefix or only one endpoint.
        """
        if not request.shared_prefixes or len(pool) < 2:
            return ""
        key = request.prefix_keys[request.shared_prefixes - 1]
        names = [each.candidate.endpoint_id for each in pool]
        limit = max(min(penalty.values(), default=0.0), MAX_PREFERRED_PENALTY_MS)
        near = [name for name in names if penalty.get(name, 0.0) <= limit]
        return max(near or names, key=lambda name: _score(key, name))

    def _cost_of(
        self,
        request: PlacementRequest,
        pool: list[EndpointState],
        penalty: dict[str, float],
        cached_prompt: CachedPrompt,
        now_ms: float,
    ) -> Callable[[EndpointState], float]:
        """Return a function that estimates the cost of an endpoint in ms."""
        cached_by_id = dict(cached_prompt.tokens_by_id)
        profile = self.profile_of(request.service)
        stalls = self._stalls_of(request.service)
        shared_tokens = 0
        if request.shared_prefixes:
            shared_tokens = request.prefix_tokens[request.shared_prefixes - 1]
        if not any(tokens >= shared_tokens for tokens in cached_by_id.values()):
            preferred = self._preferred_endpoint(request, pool, penalty)
            if preferred:
                cached_tokens = max(
                    cached_by_id.get(preferred, 0.0), float(shared_tokens)
                )
                cached_by_id[preferred] = cached_tokens

        def cost(endpoint: EndpointState) -> float:
            name = endpoint.candidate.endpoint_id
            cached_tokens = cached_by_id.get(name, 0.0)
            source = cached_prompt.source_for(name)
            fetch_ms = 0.0
            if source is not None:
                fetched = cached_prompt.fetched_tokens(name, source)
                cached_tokens += fetched
                fetch_ms = FETCH_SETUP_MS + fetched * (
                    FETCH_PENALTY_FACTOR / profile.prefill_rate
                    + 1.0 / cached_prompt.fetch_rate
                )
            total = self._expected_ms(endpoint, request, cached_tokens)
            total *= endpoint.recent_latency_ratio(now_ms)
            total += fetch_ms
            repeated_tokens = shared_tokens - cached_tokens
            # Short prefixes would gather all their streams on one engine.
            if repeated_tokens >= MIN_FETCH_TOKENS:
                repeated_ms = repeated_tokens / profile.prefill_rate
                total += repeated_ms * REPEATED_PREFILL_FACTOR
            prefill_tokens = max(0.0, request.prompt_tokens - cached_tokens)
            total += stalls.penalty_ms(request, endpoint, prefill_tokens, profile)
            total += endpoint.recent_error_rate(now_ms) * ERROR_PENALTY_MS
            if endpoint.candidate.zone != self._local_zone:
                total += OTHER_ZONE_PENALTY_MS
            return total + penalty.get(name, 0.0) + JITTER_MS * self._rng.random()

        return cost

    def _expected_ms(
        self, endpoint: EndpointState, request: PlacementRequest, cached_tokens: float
    ) -> float:
        """Return the expected time to the first event, or of a plain call."""
        in_flight = endpoint.in_flight_count
        if not request.is_generation:
            return PLAIN_CALL_MS * (1.0 + in_flight / max(1, endpoint.candidate.slots))
        profile = self.profile_of(request.service)
        tokens = _tokens_to_first_event(endpoint, request, cached_tokens)
        waiting_ms = profile.expected_ms(tokens)
        usable_slots = FULL_SLOT_SHARE * endpoint.candidate.slots
        waiting_ms += max(0.0, in_flight + 1 - usable_slots) * SLOT_WAIT_MS
        if in_flight >= endpoint.candidate.slots:
            waiting_ms += NO_SLOT_PENALTY_MS
        return waiting_ms + DELAY_PER_RUNNING_MS * in_flight

    def _cached_tokens(
        self, request: PlacementRequest, now_ms: float
    ) -> dict[str, float]:
        """Return the cached tokens of the prompt by endpoint."""
        cached_by_id: dict[str, float] = {}
        for index, name in self._prefixes.holders(request.prefix_keys, now_ms):
            cached_by_id.setdefault(name, float(request.prefix_tokens[index]))
        return cached_by_id

    def _cached_prompt(
        self, request: PlacementRequest, pool: list[EndpointState], now_ms: float
    ) -> CachedPrompt:
        tokens_by_id = self._cached_tokens(request, now_ms)
        names = {each.candidate.endpoint_id for each in pool}
        sources = sorted(
            (name for name in tokens_by_id if name in names),
            key=lambda name: -tokens_by_id[name],
        )
        rate = self._fetch_rate_by_service.get(request.service, 0.0)
        return CachedPrompt(tokens_by_id, tuple(sources), rate)

    def on_sent(
        self,
        endpoint_id: str,
        request: PlacementRequest,
        now_ms: float,
        fetch_from: str | None = None,
    ) -> Send:
        """Record that a request is sent; return a handle for the other methods."""
        tokens_by_id = self._cached_tokens(request, now_ms)
        held_by = (endpoint_id, fetch_from or "")
        cached_tokens = max(tokens_by_id.get(name, 0.0) for name in held_by)
        prefill_tokens = max(0, request.prompt_tokens - int(cached_tokens))
        endpoint = self._endpoint_by_id.get(endpoint_id)
        if endpoint is None:
            expected_ms = self.profile_of(request.service).base_ms
            return Send(request, endpoint_id, now_ms, prefill_tokens, expected_ms)
        expected_ms = self._expected_ms(endpoint, request, cached_tokens)
        tokens = _tokens_to_first_event(endpoint, request, cached_tokens)
        send = Send(request, endpoint_id, now_ms, prefill_tokens, expected_ms, tokens)
        self._stalls_of(request.service).on_sent(request, now_ms)
        endpoint.add(send)
        if request.is_long:
            self._window_of(request.service).on_sent(send)
        # Recorded at once, so that the next requests with one of these prefixes do not
        # prefill it at another endpoint.
        for key in request.prefix_keys:
            self._prefixes.add(key, endpoint_id, now_ms)
        if len(self._new_prefixes) < MAX_NEW_PREFIXES:
            shared = request.prefix_keys[: request.shared_prefixes]
            self._new_prefixes += [(key, endpoint.short_id) for key in shared]
        return send

    def local_load(self, now_ms: float) -> dict[int, InFlightLoad]:
        """Return the load that this router has in flight, by short endpoint id.

        Also drops the load of peers that have not reported for MAX_AGE_MS, and prompts
        whose first event is overdue.
        """
        self._peers.remove_stale(now_ms)
        self._sum_peers()
        for endpoint in self._endpoint_by_id.values():
            for send in endpoint.give_up_overdue(now_ms):
                self._window_of(send.request.service).on_ended(send, now_ms)
        return {
            each.short_id: InFlightLoad(
                len(each.in_flight),
                each.long_prompts,
                tuple(
                    pair for pair in each.pending_prefill_by_priority.items() if pair[1]
                ),
            )
            for each in self._endpoint_by_id.values()
            if each.in_flight
        }

    def take_new_prefixes(self) -> tuple[tuple[int, int], ...]:
        """Return (prefix, short endpoint id) pairs sent since the last call."""
        taken = tuple(dict.fromkeys(self._new_prefixes))
        self._new_prefixes.clear()
        return taken

    def on_peer_load(
        self, peer_id: str, load_by_id: dict[int, InFlightLoad], now_ms: float
    ) -> None:
        """Replace the load that another router has in flight."""
        self._peers.on_load(peer_id, load_by_id, now_ms)
        self._sum_peers()

    def _sum_peers(self) -> None:
        for endpoint in self._endpoint_by_id.values():
            endpoint.set_peers(self._peers.loads_at(endpoint.short_id))

    def on_peer_prefixes(
        self, prefixes: Iterable[tuple[int, int]], now_ms: float
    ) -> None:
        """Record (prefix, short endpoint id) of prefixes that another router sent."""
        for key, endpoint_short_id in prefixes:
            name = self._id_by_short.get(endpoint_short_id)
            if name is not None:
                self._prefixes.add(key, name, now_ms)

    def on_received(self, send: Send, now_ms: float) -> None:
        """Record that bytes of a response were received."""
        endpoint = self._endpoint_by_id.get(send.endpoint_id)
        if endpoint is not None:
            endpoint.on_received(now_ms)

    def on_started(self, send: Send, now_ms: float) -> None:
        """Record the first event of a stream, or the response to a plain call."""
        self._window_of(send.request.service).on_started(send, now_ms)
        endpoint = self._endpoint_by_id.get(send.endpoint_id)
        is_counted = endpoint is not None and endpoint.counts(send)
        if endpoint is not None and is_counted and not send.is_started:
            endpoint.on_started(send, now_ms)
            if send.tokens_to_first_event == send.prefill_tokens > 0:
                # Prompts of others may have been prefilled by the time of this one, so
                # that samples with them would show too high a rate.
                profile = self.profile_of(send.request.service)
                profile.on_first_event(
                    send.tokens_to_first_event, now_ms - send.sent_ms
                )
        send.is_started = True

    def on_event_gap(self, send: Send, gap_ms: float) -> None:
        """Record the pause between two events of a stream."""
        endpoint = self._endpoint_by_id.get(send.endpoint_id)
        if endpoint is not None:
            endpoint.on_event_gap(gap_ms)

    def on_ended(self, send: Send, ok: bool, now_ms: float) -> None:
        """Record the end of a send; `ok` is False if the endpoint failed."""
        self._window_of(send.request.service).on_ended(send, now_ms)
        endpoint = self._endpoint_by_id.get(send.endpoint_id)
        if endpoint is not None and endpoint.counts(send):
            endpoint.remove(send)
            endpoint.on_response(ok, now_ms)

    def on_refused(self, send: Send, now_ms: float) -> None:
        """Record that the endpoint refused a request for lack of capacity."""
        self._window_of(send.request.service).on_ended(send, now_ms)
        endpoint = self._endpoint_by_id.get(send.endpoint_id)
        if endpoint is None or not endpoint.counts(send):
            return
        endpoint.remove(send)
        endpoint.full_until_ms = now_ms + REFUSAL_BACKOFF_MS
        for key in send.request.prefix_keys:
            self._prefixes.remove(key, send.endpoint_id)

    def on_unreachable(self, endpoint_id: str, now_ms: float) -> None:
        """Record that no connection to the endpoint could be opened."""
        endpoint = self._endpoint_by_id.get(endpoint_id)
        if endpoint is not None:
            endpoint.on_unreachable(now_ms)

    def silence_ms(self, endpoint_id: str, now_ms: float) -> float:
        """Return for how long an endpoint with requests in flight has sent no bytes."""
        endpoint = self._endpoint_by_id.get(endpoint_id)
        return float("inf") if endpoint is None else endpoint.silence_ms(now_ms)


def _usable(pool: list[EndpointState], now_ms: float) -> list[EndpointState]:
    """Return the endpoints that are not avoided, or all if there are none."""
    return [each for each in pool if not each.is_avoided(now_ms)] or pool


def _tokens_to_first_event(
    endpoint: EndpointState, request: PlacementRequest, cached_tokens: float
) -> float:
    """Return the tokens that the engine prefills before the first event."""
    pending_tokens = endpoint.pending_prefill_tokens(request.priority)
    return pending_tokens + max(0.0, request.prompt_tokens - cached_tokens)


def _score(key: int, endpoint_id: str) -> int:
    return stable_hash(f"{key}|{endpoint_id}")
