"""Objects shared by all requests that a routing process forwards."""

from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import TYPE_CHECKING, Any

from structlog import get_logger

from wigeonwind.clock import Clock
from wigeonwind.decisions.interfaces import GiveUp, Resend, RetryCause
from wigeonwind.decisions.latency_choice import LatencyChooser
from wigeonwind.decisions.lifo_queue import LifoQueue
from wigeonwind.decisions.placement import PlacementRequest
from wigeonwind.decisions.retry import RetryLimits, RetryPolicy
from wigeonwind.hashing import stable_hash
from wigeonwind.routing.discovery import EndpointSet
from wigeonwind.routing.endpoint_connection import ConnectionPool
from wigeonwind.routing.header_codec import HeaderCodec, RequestMetadata
from wigeonwind.routing.request_quarantine import RequestQuarantine
from wigeonwind.routing.response_limits import BufferBudget
from wigeonwind.routing.routes import HttpRoute
from wigeonwind.routing.send_outcomes import SendOutcome

if TYPE_CHECKING:
    from wigeonwind.routing.exchange import Exchange

RETRY_LIMITS = RetryLimits(
    budget_share=0.12,
    budget_floor_per_s=0.2,
    base_delay_ms=0.0,
    unbudgeted=frozenset[RetryCause](),
)
"""Retry budget. For all routing processes together, the platform allows retries of 20%
of the requests and a fixed number per window. `budget_floor_per_s` is the part of that
number for one process of 30. Retries are not delayed, as deadlines are short."""

OutcomeObserver = Callable[["Exchange", SendOutcome], None]


@dataclass
class ForwardingContext:
    """Dependencies of every exchange."""

    clock: Clock
    header_codec: HeaderCodec
    pool: ConnectionPool
    endpoints: EndpointSet
    quarantine: RequestQuarantine
    chooser: LatencyChooser
    rng: Random
    on_outcome: OutcomeObserver
    on_retry: Callable[["Exchange", SendOutcome, Resend | GiveUp], None]
    log: Any = field(default_factory=lambda: get_logger("wigeonwind.routing"))
    buffer_budget: BufferBudget = field(default_factory=BufferBudget)
    _waiting_queue_by_service: dict[str, LifoQueue] = field(default_factory=dict)
    _retry_by_service: dict[str, RetryPolicy] = field(default_factory=dict)

    def retry_policy_of(self, service: str) -> RetryPolicy:
        """Return the retry policy of a service, which holds its retry budget."""
        policy = self._retry_by_service.get(service)
        if policy is None:
            policy = RetryPolicy(self.rng, RETRY_LIMITS)
            self._retry_by_service[service] = policy
        return policy

    def waiting_queue_of(self, service: str) -> LifoQueue:
        """Return the queue of requests that wait for capacity at a service."""
        return self._waiting_queue_by_service.setdefault(service, LifoQueue())

    def pick_service(self, route: HttpRoute) -> str:
        """Return a random service of a route, weighted by the route's shares."""
        shares = route.shares
        if len(shares) == 1:
            return shares[0].service
        weights = [share.weight for share in shares]
        return self.rng.choices(shares, weights)[0].service

    def placement_request_of(
        self, service: str, priority: int, metadata: RequestMetadata, route: HttpRoute
    ) -> PlacementRequest:
        """Return the properties of a request that the choice of an endpoint uses."""
        keys, lengths, tokens = [], [], 0
        key = service
        for chunk in metadata.prompt_chunks:
            key = f"{key},{chunk.chunk_id:x}"
            tokens += chunk.tokens
            keys.append(stable_hash(key))
            lengths.append(tokens)
        return PlacementRequest(
            service,
            priority,
            max(metadata.prompt_tokens, tokens),
            tuple(keys),
            tuple(lengths),
            max(0, len(keys) - 1),
            metadata.prompt_tokens > 0,
            route.target_ms,
            route.max_pause_ms,
        )
