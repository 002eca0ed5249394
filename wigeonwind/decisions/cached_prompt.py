"""Where the KV cache of a prompt is held, and when a transfer is worthwhile."""

from dataclasses import dataclass

MIN_FETCH_TOKENS = 400
"""Fewest tokens to transfer: prefilling fewer is as fast as setting up a transfer."""


@dataclass(frozen=True, slots=True)
class CachedPrompt:
    """The cached tokens of a prompt by endpoint, and the sources of transfers.

    `sources` are the usable endpoints that hold a prefix, most tokens first.
    `fetch_rate` is in tokens per ms; 0 if engines of the service cannot transfer.
    """

    tokens_by_id: dict[str, float]
    sources: tuple[str, ...]
    fetch_rate: float

    def source_for(self, endpoint_id: str) -> str | None:
        """Return the best source of a transfer, None if none is worthwhile."""
        if not self.fetch_rate:
            return None
        for source in self.sources:
            if source != endpoint_id:
                more = self.fetched_tokens(endpoint_id, source)
                return source if more >= MIN_FETCH_TOKENS else None
        return None

    def fetched_tokens(self, endpoint_id: str, source: str) -> float:
        """Return how many more tokens of the prompt `source` holds."""
        held = self.tokens_by_id.get(endpoint_id, 0.0)
        return max(0.0, self.tokens_by_id[source] - held)
