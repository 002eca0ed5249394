"""Index of the endpoints that probably hold the KV cache of a prompt prefix."""

from collections import OrderedDict
from collections.abc import Iterator

PREFIX_TTL_MS = 120_000.0
"""Time after which a prefix counts as evicted: its `evicted` event may be lost."""

MAX_PREFIXES = 50_000
"""Most prefixes in the index; the least recently added one is evicted."""

MAX_ENDPOINTS = 4
"""Most endpoints of one prefix; more would not change the choice."""


class PrefixIndex:
    """Endpoints by prefix key, from delayed and possibly incomplete cache events.

    A lost `stored` event is compensated by recording where prompts were sent, a lost
    `evicted` event by the expiry of the record. A wrong record costs a prefill but
    never causes a wrong answer.
    """

    def __init__(self, limit: int = MAX_PREFIXES) -> None:
        self._limit = limit
        self._holders_by_prefix: OrderedDict[int, dict[str, float]] = OrderedDict()

    def add(self, prefix_key: int, endpoint_id: str, now_ms: float) -> None:
        """Record that an endpoint holds a prefix."""
        expiry_by_endpoint = self._holders_by_prefix.setdefault(prefix_key, {})
        expiry_by_endpoint.pop(endpoint_id, None)
        expiry_by_endpoint[endpoint_id] = now_ms + PREFIX_TTL_MS
        if len(expiry_by_endpoint) > MAX_ENDPOINTS:
            del expiry_by_endpoint[next(iter(expiry_by_endpoint))]
        self._holders_by_prefix.move_to_end(prefix_key)
        if len(self._holders_by_prefix) > self._limit:
            self._holders_by_prefix.popitem(last=False)

    def remove(self, prefix_key: int, endpoint_id: str) -> None:
        """Record that an endpoint has evicted a prefix."""
        expiry_by_endpoint = self._holders_by_prefix.get(prefix_key)
        if expiry_by_endpoint is None:
            return
        expiry_by_endpoint.pop(endpoint_id, None)
        if not expiry_by_endpoint:
            del self._holders_by_prefix[prefix_key]

    def holders(
        self, prefix_keys: tuple[int, ...], now_ms: float
    ) -> Iterator[tuple[int, str]]:
        """Yield (index into `prefix_keys`, endpoint id), the longest prefix first."""
        for index in range(len(prefix_keys) - 1, -1, -1):
            expiry_by_endpoint = self._holders_by_prefix.get(prefix_keys[index], {})
            # The most recently recorded copy is the least likely to have been evicted.
            for endpoint_id, expiry_ms in reversed(expiry_by_endpoint.items()):
                if expiry_ms > now_ms:
                    yield index, endpoint_id

    def __len__(self) -> int:
        """Return the number of prefixes in the index."""
        return len(self._holders_by_prefix)
