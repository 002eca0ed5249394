"""Load that other routers have in flight at the endpoints, from their last messages."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from wigeonwind.hashing import stable_hash

MAX_AGE_MS = 1_500.0
"""Age at which a peer's load is dropped: it has stopped or its messages are lost."""

SHORT_ID_MASK = 0xFFFF_FFFF
"""Messages identify endpoints by 32 bits; a collision only distorts an estimate."""


def short_id(endpoint_id: str) -> int:
    """Return the number that identifies an endpoint in messages."""
    return stable_hash(endpoint_id) & SHORT_ID_MASK


@dataclass(frozen=True, slots=True)
class InFlightLoad:
    """What one router has in flight at one endpoint.

    `running` is the number of requests, `long_prompts` the number of requests with long
    prompts. `pending_prefill_by_priority` holds pairs of priority and prompt tokens
    that are not prefilled yet.
    """

    running: int
    long_prompts: int
    pending_prefill_by_priority: tuple[tuple[int, int], ...]


@dataclass(frozen=True, slots=True)
class _PeerLoad:
    """The last reported load of one peer, by short endpoint id."""

    received_ms: float
    load_by_id: dict[int, InFlightLoad]


class PeerLoads:
    """The last reported load of each peer, another router."""

    def __init__(self) -> None:
        self._load_by_peer: dict[str, _PeerLoad] = {}

    def on_load(
        self, peer_id: str, load_by_id: dict[int, InFlightLoad], now_ms: float
    ) -> None:
        """Replace the load of a peer."""
        self._load_by_peer[peer_id] = _PeerLoad(now_ms, load_by_id)

    def remove_stale(self, now_ms: float) -> None:
        """Drop the load of peers that has not been updated for MAX_AGE_MS."""
        limit_ms = now_ms - MAX_AGE_MS
        stale = [
            name
            for name, peer in self._load_by_peer.items()
            if peer.received_ms < limit_ms
        ]
        for name in stale:
            del self._load_by_peer[name]

    def loads_at(self, endpoint_short_id: int) -> Iterator[InFlightLoad]:
        """Yield the load of every peer at an endpoint, by its short id."""
        for peer in self._load_by_peer.values():
            load = peer.load_by_id.get(endpoint_short_id)
            if load is not None:
                yield load

    def __len__(self) -> int:
        """Return the number of peers with a recent report."""
        return len(self._load_by_peer)


def sum_loads(rows: Iterable[InFlightLoad]) -> tuple[int, int, dict[int, int]]:
    """Return the sums of requests, long prompts and pending prefill by priority.

    >>> sum_loads([InFlightLoad(1, 0, ((0, 5),)), InFlightLoad(2, 1, ((0, 1), (3, 9)))])
    (3, 1, {0: 6, 3: 9})
    """
    running = 0
    long_prompts = 0
    pending_prefill: dict[int, int] = {}
    for row in rows:
        running += row.running
        long_prompts += row.long_prompts
        for priority, tokens in row.pending_prefill_by_priority:
            pending_prefill[priority] = pending_prefill.get(priority, 0) + tokens
    return running, long_prompts, pending_prefill
