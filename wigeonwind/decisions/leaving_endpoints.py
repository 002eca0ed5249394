"""Endpoints that have announced in a response that they are leaving.

An announcement concerns one start of an instance, which is named by a digest of its
key, so that routers can tell each other of endpoints that they have not discovered yet.
It holds whatever the endpoint's entry in the store says: a stale one may still be
ready. A restart of the instance has another key and is not concerned.
"""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from wigeonwind.hashing import stable_hash

HOLD_MS = 600_000.0
"""Time from the last announcement for which an endpoint is not used. Leaving takes
seconds to minutes; the same start of an instance does not come back."""

MAX_ENDPOINTS = 4_096
"""Most endpoints that are remembered, those that were learned last."""


@dataclass(frozen=True, slots=True)
class LeavingRow:
    """An announcement as told to peers; `age_ms` is the time since it was made."""

    digest: int
    age_ms: int


@dataclass(frozen=True, slots=True)
class _Announcement:
    """Times are clock readings; `learned_ms` is when this router learned of it."""

    first_ms: float
    last_ms: float
    learned_ms: float


def key_digest(key: str) -> int:
    """Return the 64-bit digest that names an endpoint key."""
    return stable_hash(key)


class LeavingEndpoints:
    """The announcements that a router has read itself or learned from peers."""

    def __init__(self) -> None:
        self._by_digest: dict[int, _Announcement] = {}
        """In the order in which they were last learned."""

    def __contains__(self, digest: int) -> bool:
        """Return whether an endpoint must not get new requests."""
        return digest in self._by_digest

    def __len__(self) -> int:
        """Return the number of endpoints that are leaving."""
        return len(self._by_digest)

    def add(self, digest: int, announced_ms: float, now_ms: float) -> bool:
        """Record an announcement; return whether the endpoint is a new one.

        One whose hold has passed changes nothing, nor does an earlier one than known.
        """
        if announced_ms + HOLD_MS <= now_ms:
            return False
        known = self._by_digest.pop(digest, None)
        if known is None:
            self._by_digest[digest] = _Announcement(announced_ms, announced_ms, now_ms)
            if len(self._by_digest) > MAX_ENDPOINTS:
                del self._by_digest[next(iter(self._by_digest))]
            return True
        self._by_digest[digest] = _Announcement(
            min(known.first_ms, announced_ms),
            max(known.last_ms, announced_ms),
            known.learned_ms,
        )
        return False

    def _end_ms(self, digest: int) -> float:
        return self._by_digest[digest].last_ms + HOLD_MS

    def since_ms(self, digest: int) -> float:
        """Return the clock reading of the first announcement; it must be known."""
        return self._by_digest[digest].first_ms

    def left_ms(self, digest: int, now_ms: float) -> float:
        """Return for how long the endpoint is not used; it must be known."""
        return max(0.0, self._end_ms(digest) - now_ms)

    def drop_expired(self, now_ms: float) -> tuple[int, ...]:
        """Forget the announcements whose hold has passed; return their digests."""
        expired = tuple(
            digest for digest in self._by_digest if self._end_ms(digest) <= now_ms
        )
        for digest in expired:
            del self._by_digest[digest]
        return expired

    def rows(self, now_ms: float, learned_since_ms: float) -> Iterator[LeavingRow]:
        """Yield what was learned since a time, for the peers."""
        for digest, each in self._by_digest.items():
            if each.learned_ms >= learned_since_ms:
                yield LeavingRow(digest, max(0, round(now_ms - each.last_ms)))

    def merge(self, rows: Iterable[LeavingRow], now_ms: float) -> tuple[int, ...]:
        """Add what a peer knows; return the digests of endpoints that are new."""
        return tuple(
            row.digest
            for row in rows
            if self.add(row.digest, now_ms - row.age_ms, now_ms)
        )
