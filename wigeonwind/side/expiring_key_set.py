"""A compact set of attempt keys that forgets each key after a fixed time."""

from collections import deque

from wigeonwind.clock import Clock
from wigeonwind.decisions.interfaces import AttemptKey
from wigeonwind.hashing import stable_hash

PARTS = 10
"""Parts of the keeping time; a key is kept up to one part longer."""


class ExpiringKeySet:
    """Keys by the time at which they were added.

    Only a 64-bit hash of a key is kept, in one set for each part of the keeping time:
    some 70 bytes a key instead of several hundred. Two keys of half a million share a
    hash with a probability below 1e-7.
    """

    def __init__(self, clock: Clock, keep_ms: float) -> None:
        self._clock = clock
        self._keep_ms = keep_ms
        self._part_ms = keep_ms / PARTS
        self._parts: deque[tuple[float, set[int]]] = deque()

    def add(self, key: AttemptKey) -> None:
        """Remember a key from now on."""
        now_ms = self._clock.now_ms()
        if not self._parts or now_ms - self._parts[-1][0] >= self._part_ms:
            self._parts.append((now_ms, set()))
        self._parts[-1][1].add(_hash_of(key))

    def __contains__(self, key: AttemptKey) -> bool:
        """Return whether the key was added less than the keeping time ago."""
        self._forget_old()
        if not self._parts:
            return False
        hashed = _hash_of(key)
        return any(hashed in hashes for _, hashes in self._parts)

    def __len__(self) -> int:
        """Return the number of keys held."""
        self._forget_old()
        return sum(len(hashes) for _, hashes in self._parts)

    def _forget_old(self) -> None:
        oldest_ms = self._clock.now_ms() - self._keep_ms - self._part_ms
        while self._parts and self._parts[0][0] <= oldest_ms:
            self._parts.popleft()


def _hash_of(key: AttemptKey) -> int:
    return stable_hash(f"{key[0]}.{key[1]}")
