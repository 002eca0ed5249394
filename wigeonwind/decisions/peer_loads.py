"""What other entries have sent to the endpoints, as their last messages say."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from wigeonwind.hashing import stable_hash

MAX_AGE_MS = 1_500.0
"""Age at which a peer's load is dropped: it has stopped, or its messages are lost."""

SHORT_ID_MASK = 0xFFFF_FFFF
"""Endpoints are named by 32 bits in messages; a collision skews an estimate only."""


def short_id(endpoint_id: str) -> int:
    """Return the number that stands for an endpoint in messages."""
    return stable_hash(endpoint_id) & SHORT_ID_MASK


@dataclass(frozen=True, slots=True)
class InFlightLoad:
    """One entry's work at one endpoint.

    `unread_by_priority` counts prompt tokens that are not read yet, `long_prompts` the
    requests among the running ones whose prompts count as long.
    """

    running: int
    long_prompts: int
    unread_by_priority: tuple[tuple[int, int], ...]


@dataclass(frozen=True, slots=True)
class _PeerLoad:
    received_ms: float
    work_by_id: dict[int, InFlightLoad]


class PeerLoads:
    """The last load of each peer, and their sums by endpoint."""

    def __init__(self) -> None:
        self._load_by_peer: dict[str, _PeerLoad] = {}

    def on_load(
        self, peer_id: str, work_by_id: dict[int, InFlightLoad], now_ms: float
    ) -> None:
        """Replace what is known of a peer."""
        self._load_by_peer[peer_id] = _PeerLoad(now_ms, work_by_id)

    def forget_old(self, now_ms: float) -> None:
        """Drop peers that have been silent for too long."""
        limit_ms = now_ms - MAX_AGE_MS
        old = [
            name
            for name, load in self._load_by_peer.items()
            if load.received_ms < limit_ms
        ]
        for name in old:
            del self._load_by_peer[name]

    def work_at(self, number: int) -> Iterator[InFlightLoad]:
        """Yield the work of every peer at an endpoint."""
        for load in self._load_by_peer.values():
            work = load.work_by_id.get(number)
            if work is not None:
                yield work

    def __len__(self) -> int:
        """Return the number of peers that were heard lately."""
        return len(self._load_by_peer)


def sum_work(rows: Iterable[InFlightLoad]) -> tuple[int, int, dict[int, int]]:
    """Return requests, long prompts and unread tokens by priority of several entries.

    >>> sum_work([InFlightLoad(1, 0, ((0, 5),)), InFlightLoad(2, 1, ((0, 1), (3, 9)))])
    (3, 1, {0: 6, 3: 9})
    """
    running = 0
    long_prompts = 0
    unread: dict[int, int] = {}
    for row in rows:
        running += row.running
        long_prompts += row.long_prompts
        for priority, tokens in row.unread_by_priority:
            unread[priority] = unread.get(priority, 0) + tokens
    return running, long_prompts, unread
