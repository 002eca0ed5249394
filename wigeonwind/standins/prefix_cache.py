"""The prefix cache of the engine model and its lossy event log."""

from collections import OrderedDict, deque
from collections.abc import Iterable

from xxhash import xxh64_intdigest

from wigeonwind.standins.engine_types import CacheEvent, CacheEventBatch, PrefixKey

EVENT_LOG_LENGTH = 20_000
"""Events kept for readers; an engine has bounded memory for them."""

HASH_RANGE = float(2**64)
"""Number of values of xxh64."""


class PrefixCache:
    """A cache of prompt blocks with LRU eviction and a capacity in tokens.

    Each prefix key stands for one block: the tokens after the next shorter prefix. A
    prefix is a cache hit only if all shorter ones are.

    `event_gap` is the share (0 to 1) of events that are omitted from the event log.
    Whether an event is omitted depends only on `seed` and its number.

    >>> cache = PrefixCache(limit_tokens=100)
    >>> keys = (PrefixKey(1, 40), PrefixKey(2, 80))
    >>> cache.store(keys, 0.0)
    >>> cache.match((PrefixKey(1, 40), PrefixKey(9, 80)))
    40
    """

    def __init__(
        self, limit_tokens: int, event_gap: float = 0.0, seed: int = 1
    ) -> None:
        self._limit_tokens = limit_tokens
        self._used_tokens = 0
        self._block_tokens_by_key: OrderedDict[int, int] = OrderedDict()
        self._events: deque[CacheEvent] = deque(maxlen=EVENT_LOG_LENGTH)
        self._last_seq = 0
        self._seed = seed
        self.event_gap = event_gap

    def match(self, keys: Iterable[PrefixKey]) -> int:
        """Return the length in tokens of the longest cached prefix; mark it as used."""
        found = []
        tokens = 0
        for prefix in keys:
            if prefix.key not in self._block_tokens_by_key:
                break
            found.append(prefix.key)
            tokens = prefix.tokens
        # A prefix must be evicted after its extensions, so it is marked as used last.
        for key in reversed(found):
            self._block_tokens_by_key.move_to_end(key)
        return tokens

    def store(self, keys: tuple[PrefixKey, ...], now_ms: float) -> None:
        """Store the prefixes and evict the least recently used blocks over capacity."""
        previous_tokens = 0
        for prefix in keys:
            if prefix.tokens > self._limit_tokens:
                break
            if prefix.key not in self._block_tokens_by_key:
                self._block_tokens_by_key[prefix.key] = prefix.tokens - previous_tokens
                self._used_tokens += prefix.tokens - previous_tokens
                self._record("stored", prefix.key, now_ms)
            previous_tokens = prefix.tokens
        self.match(keys)
        while self._used_tokens > self._limit_tokens:
            key, tokens = self._block_tokens_by_key.popitem(last=False)
            self._used_tokens -= tokens
            self._record("evicted", key, now_ms)

    def clear(self, now_ms: float) -> None:
        """Evict all blocks, as a crash or the load of another model does."""
        for key in self._block_tokens_by_key:
            self._record("evicted", key, now_ms)
        self._block_tokens_by_key.clear()
        self._used_tokens = 0

    def events(self, after: int, until_ms: float) -> CacheEventBatch:
        """Return the logged events after number `after` and up to time `until_ms`.

        Without such events, the next number to ask for stays `after`.
        """
        found = [e for e in self._events if e.seq > after and e.at_ms <= until_ms]
        return CacheEventBatch(tuple(found), found[-1].seq if found else after)

    def _record(self, kind: str, key: int, now_ms: float) -> None:
        self._last_seq += 1
        name = f"gap:{self._last_seq}".encode()
        draw = xxh64_intdigest(name, seed=self._seed) / HASH_RANGE
        if draw >= self.event_gap:
            self._events.append(CacheEvent(self._last_seq, kind, key, now_ms))
