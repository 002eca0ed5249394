"""Which engines hold how much of one prompt, and from which a copy pays."""

from dataclasses import dataclass

MIN_FETCH_TOKENS = 400
"""Least tokens that are copied: reading fewer is as fast as to set up a copy."""


@dataclass(frozen=True, slots=True)
class CachedPrompt:
    """Where a prompt is cached: tokens by endpoint, and the longest that can be copied.

    `sources` are the endpoints with the most tokens that answer, best first.
    """

    tokens_by_id: dict[str, float]
    sources: tuple[str, ...]
    fetch_rate: float

    def source_for(self, endpoint_id: str) -> str | None:
        """Return the endpoint from which a copy pays, None if there is none."""
        if not self.fetch_rate:
            return None
        for source in self.sources:
            if source != endpoint_id:
                more = self.fetched_tokens(endpoint_id, source)
                return source if more >= MIN_FETCH_TOKENS else None
        return None

    def fetched_tokens(self, endpoint_id: str, source: str) -> float:
        """Return the tokens that `source` has beyond those of an endpoint."""
        own = self.tokens_by_id.get(endpoint_id, 0.0)
        return max(0.0, self.tokens_by_id[source] - own)
