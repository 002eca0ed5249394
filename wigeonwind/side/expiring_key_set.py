"""A compact set of attempt keys that removes each key after a fixed time."""

from collections import deque

from wigeonwind.clock import Clock
from wigeonwind.decisions.interfaces import AttemptKey
from wigeonwind.hashing import stable_hash

BUCKET_COUNT = 10
"""Time buckets per retention period; a key is retained up to one bucket longer."""


class ExpiringKeySet:
    """Keys in buckets by the time at which they were added.

    Only a 64-bit hash of each key is stored, which takes about 70 bytes per key instead
    of several hundred. Among half a million keys the probability of a hash collision is
    below 1e-7.
    """

    def __init__(self, clock: Clock, retention_ms: float) -> None:
        self._clock = clock
        self._retention_ms = retention_ms
        self._bucket_ms = retention_ms / BUCKET_COUNT
        self._buckets: deque[tuple[float, set[int]]] = deque()

    def add(self, key: AttemptKey) -> None:
        """Add a key, which expires after the retention period."""
        now_ms = self._clock.now_ms()
        if not self._buckets or now_ms - self._buckets[-1][0] >= self._bucket_ms:
            self._buckets.append((now_ms, set()))
        self._buckets[-1][1].add(_hash_of(key))

    def __contains__(self, key: AttemptKey) -> bool:
        """Return whether the key was added within the retention period."""
        self._remove_expired()
        if not self._buckets:
            return False
        hashed = _hash_of(key)
        return any(hashed in hashes for _, hashes in self._buckets)

    def __len__(self) -> int:
        """Return the number of keys that have not expired."""
        self._remove_expired()
        return sum(len(hashes) for _, hashes in self._buckets)

    def _remove_expired(self) -> None:
        oldest_ms = self._clock.now_ms() - self._retention_ms - self._bucket_ms
        while self._buckets and self._buckets[0][0] <= oldest_ms:
            self._buckets.popleft()


def _hash_of(key: AttemptKey) -> int:
    return stable_hash(f"{key[0]}.{key[1]}")
