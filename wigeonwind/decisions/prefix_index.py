"""Which endpoints probably hold the KV cache of a prompt prefix."""

from collections import OrderedDict
from collections.abc import Iterator

ENTRY_LIFE_MS = 120_000.0
"""Time after which a prefix counts as evicted; the event of it may have been lost."""

MAX_PREFIXES = 50_000
"""Prefixes remembered; the one not used for longest is dropped."""

MAX_ENDPOINTS = 4
"""Endpoints remembered for one prefix; more would not change the choice."""


class PrefixIndex:
    """Prefix keys and the endpoints that hold them, from late and gappy events.

    A missed `stored` event is covered by recording what was sent where; a missed
    `evicted` event by the life of an entry. A wrong entry costs one prefill, never a
    wrong answer.
    """

    def __init__(self, limit: int = MAX_PREFIXES) -> None:
        self._limit = limit
        self._expiry_by_endpoint: OrderedDict[int, dict[str, float]] = OrderedDict()

    def add(self, prefix_key: int, endpoint_id: str, now_ms: float) -> None:
        """Record that an endpoint holds a prefix."""
        expiry_by_endpoint = self._expiry_by_endpoint.setdefault(prefix_key, {})
        expiry_by_endpoint.pop(endpoint_id, None)
        expiry_by_endpoint[endpoint_id] = now_ms + ENTRY_LIFE_MS
        if len(expiry_by_endpoint) > MAX_ENDPOINTS:
            del expiry_by_endpoint[next(iter(expiry_by_endpoint))]
        self._expiry_by_endpoint.move_to_end(prefix_key)
        if len(self._expiry_by_endpoint) > self._limit:
            self._expiry_by_endpoint.popitem(last=False)

    def remove(self, prefix_key: int, endpoint_id: str) -> None:
        """Record that an endpoint has evicted a prefix."""
        expiry_by_endpoint = self._expiry_by_endpoint.get(prefix_key)
        if expiry_by_endpoint is None:
            return
        expiry_by_endpoint.pop(endpoint_id, None)
        if not expiry_by_endpoint:
            del self._expiry_by_endpoint[prefix_key]

    def holders(
        self, prefix_keys: tuple[int, ...], now_ms: float
    ) -> Iterator[tuple[int, str]]:
        """Yield (prefix length index, endpoint), the longest prefix first."""
        for index in range(len(prefix_keys) - 1, -1, -1):
            expiry_by_endpoint = self._expiry_by_endpoint.get(prefix_keys[index], {})
            # The copy that was used last is the least likely to be evicted.
            for endpoint_id, expiry_ms in reversed(expiry_by_endpoint.items()):
                if expiry_ms > now_ms:
                    yield index, endpoint_id

    def __len__(self) -> int:
        """Return the number of prefixes remembered."""
        return len(self._expiry_by_endpoint)
