"""Cost of the streams that the prefill of a prompt would stall.

An engine prefills waiting prompts between the steps of running streams. If the prompts
take longer than the pause that a stream may have, every stream on the engine is late,
however short the prompt of the stream was.
"""

from wigeonwind.decisions.endpoint_state import EndpointState
from wigeonwind.decisions.engine_profile import EngineProfile
from wigeonwind.decisions.placement import PlacementRequest

PAUSE_SHARE = 0.85
"""Share of the allowed pause that a prompt may use up; the rest is for what other
routers send unseen."""

STREAMS_PER_PROMPT = 2.0
"""Stalled streams that are as bad as one request that misses its target."""

MEMORY_MS = 30_000.0
"""Time for which the shortest allowed pause is remembered."""


class StreamStalls:
    """Knows the shortest pause that streams with short prompts may have."""

    def __init__(self) -> None:
        self._max_pause_ms = float("inf")
        self._seen_ms = float("-inf")

    def on_sent(self, request: PlacementRequest, now_ms: float) -> None:
        """Record the pause that a stream with a short prompt may have."""
        if request.is_long or request.max_pause_ms <= 0.0:
            return
        is_old = now_ms - self._seen_ms > MEMORY_MS
        if is_old or request.max_pause_ms <= self._max_pause_ms:
            self._max_pause_ms = request.max_pause_ms
            self._seen_ms = now_ms

    def penalty_ms(
        self,
        request: PlacementRequest,
        endpoint: EndpointState,
        prefill_tokens: float,
        profile: EngineProfile,
    ) -> float:
        """Return the penalty for the streams that a prompt would stall, in ms.

        At most the target of the request: beyond that it is better late itself.
        """
        if not request.is_long:
            return 0.0
        tokens = prefill_tokens + endpoint.total_pending_prefill
        pause_ms = endpoint.event_gap_ms + tokens / profile.prefill_rate
        if pause_ms <= PAUSE_SHARE * self._max_pause_ms:
            return 0.0
        streams = max(0, endpoint.in_flight_count - endpoint.long_prompt_count)
        return min(1.0, streams / STREAMS_PER_PROMPT) * request.target_ms
