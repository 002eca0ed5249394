"""Load, latency and errors of one endpoint, as observed by one router."""

from collections.abc import Iterable, Iterator

from wigeonwind.decisions.peer_loads import InFlightLoad, short_id, sum_loads
from wigeonwind.decisions.placement import Candidate, Send

LOWER_PRIORITY_WEIGHT = 0.5
"""Weight of pending prefill of lower priorities. An engine prefills more urgent prompts
before it, but first finishes the chunk that it is prefilling."""

LATENCY_SAMPLE_WEIGHT = 0.15
"""Weight of one sample in the latency ratio of an endpoint."""

LATENCY_RATIO_RANGE = (0.5, 8.0)
"""Bounds of a sample of the latency ratio; larger deviations carry no information."""

LATENCY_HALF_LIFE_MS = 4_000.0
"""Half-life of the latency ratio; periods of high load are shorter than this."""

ERROR_SAMPLE_WEIGHT = 0.1
"""Weight of one response in the error rate of an endpoint."""

ERROR_HALF_LIFE_MS = 5_000.0
"""Half-life of the error rate, so that an endpoint is tried again."""

SILENCE_LIMIT_MS = 700.0
"""Time without a byte after which an endpoint with requests in flight is avoided.
Working engines send several events of running requests in this time."""

UNREACHABLE_BACKOFF_MS = 500.0
"""Time for which an endpoint is avoided after a failed connection; it doubles with each
further failure."""

MAX_UNREACHABLE_BACKOFF_MS = 4_000.0

OVERDUE_FACTOR = 2.0
"""Time to the first event, as a multiple of the latency target, after which a prompt no
longer counts as pending: its answer is lost, or the engine's load is not known."""

EVENT_GAP_WEIGHT = 0.05
"""Weight of one pause in the mean pause of the streams of an endpoint."""


class EndpointState:
    """State of one endpoint at this router.

    Attributes whose names begin with `peer_` count requests, long prompts and pending
    prefill tokens of other routers, the others those of this router. The endpoint is
    avoided until `full_until_ms` after a refusal for lack of capacity, and until
    `unreachable_until_ms` after a failed connection; both are clock readings. After the
    next failed connection it is avoided for `unreachable_backoff_ms`.
    """

    __slots__ = (
        "candidate",
        "error_rate",
        "error_rate_updated_ms",
        "event_gap_ms",
        "full_until_ms",
        "last_response_ms",
        "latency_ratio",
        "long_prompts",
        "latency_updated_ms",
        "in_flight",
        "peer_long_prompts",
        "peer_running",
        "peer_pending_prefill",
        "short_id",
        "unreachable_backoff_ms",
        "unreachable_until_ms",
        "pending_prefill_by_priority",
    )

    def __init__(self, candidate: Candidate, now_ms: float) -> None:
        self.candidate = candidate
        self.short_id = short_id(candidate.endpoint_id)
        self.in_flight: set[Send] = set()
        self.long_prompts = 0
        self.peer_running = 0
        self.peer_long_prompts = 0
        self.peer_pending_prefill: dict[int, int] = {}
        self.pending_prefill_by_priority: dict[int, int] = {}
        self.last_response_ms = now_ms
        self.latency_ratio = 1.0
        self.latency_updated_ms = now_ms
        self.event_gap_ms = 0.0
        """Mean pause between the events of a stream, 0 until one is measured."""
        self.error_rate = 0.0
        self.error_rate_updated_ms = now_ms
        self.unreachable_backoff_ms = UNREACHABLE_BACKOFF_MS
        self.unreachable_until_ms = float("-inf")
        self.full_until_ms = float("-inf")

    def pending_prefill_tokens(self, priority: int) -> float:
        """Return the tokens to prefill before a request of this priority, weighted."""
        rows = [
            *self.pending_prefill_by_priority.items(),
            *self.peer_pending_prefill.items(),
        ]
        return sum(
            tokens if other <= priority else tokens * LOWER_PRIORITY_WEIGHT
            for other, tokens in rows
        )

    @property
    def total_pending_prefill(self) -> int:
        """Return the tokens that the endpoint has not prefilled yet."""
        local = sum(self.pending_prefill_by_priority.values())
        return local + sum(self.peer_pending_prefill.values())

    @property
    def in_flight_count(self) -> int:
        """Return the number of requests in flight, including those of peers."""
        return len(self.in_flight) + self.peer_running

    def recent_latency_ratio(self, now_ms: float) -> float:
        """Return measured over expected latency, which decays towards 1."""
        age_ms = max(0.0, now_ms - self.latency_updated_ms)
        return 1.0 + (self.latency_ratio - 1.0) * 0.5 ** (age_ms / LATENCY_HALF_LIFE_MS)

    def recent_error_rate(self, now_ms: float) -> float:
        """Return the error rate (0 to 1), which decays towards 0."""
        age_ms = max(0.0, now_ms - self.error_rate_updated_ms)
        return self.error_rate * 0.5 ** (age_ms / ERROR_HALF_LIFE_MS)

    def silence_ms(self, now_ms: float) -> float:
        """Return the time since the last byte or the oldest send in flight.

        The later of the two counts; 0 if no request is in flight.
        """
        if not self.in_flight:
            return 0.0
        oldest_ms = min(send.sent_ms for send in self.in_flight)
        return now_ms - max(oldest_ms, self.last_response_ms)

    def is_avoided(self, now_ms: float) -> bool:
        """Return whether the endpoint is unreachable or silent.

        Such an endpoint is chosen only if there is no other.
        """
        if now_ms < self.unreachable_until_ms:
            return True
        return self.silence_ms(now_ms) > SILENCE_LIMIT_MS

    def add(self, send: Send) -> None:
        """Count a request that is sent to the endpoint."""
        priority = send.request.priority
        self.in_flight.add(send)
        self.long_prompts += send.request.is_long
        pending_tokens = (
            self.pending_prefill_by_priority.get(priority, 0) + send.prefill_tokens
        )
        self.pending_prefill_by_priority[priority] = pending_tokens

    def counts(self, send: Send) -> bool:
        """Return whether the request is counted as in flight.

        It is not if the endpoint was dropped after the send, and added again since.
        """
        return send in self.in_flight

    def remove(self, send: Send) -> None:
        """Stop counting a request that has ended."""
        if not self.counts(send):
            return
        self._mark_prefilled(send)
        self.in_flight.discard(send)
        self.long_prompts -= send.request.is_long

    def _mark_prefilled(self, send: Send) -> None:
        """Stop counting the prompt of a request in flight as pending."""
        if not send.is_started:
            send.is_started = True
            self.pending_prefill_by_priority[send.request.priority] -= (
                send.prefill_tokens
            )

    def give_up_overdue(self, now_ms: float) -> Iterator[Send]:
        """Stop counting prompts whose first event is overdue as pending; yield them."""
        for send in self.in_flight:
            limit_ms = OVERDUE_FACTOR * send.request.target_ms
            is_overdue = send.request.is_long and now_ms - send.sent_ms > limit_ms
            if is_overdue and not send.is_started:
                self._mark_prefilled(send)
                yield send

    def on_event_gap(self, gap_ms: float) -> None:
        """Record the pause between two events of a stream."""
        if self.event_gap_ms:
            gap_ms = self.event_gap_ms + EVENT_GAP_WEIGHT * (gap_ms - self.event_gap_ms)
        self.event_gap_ms = gap_ms

    def on_received(self, now_ms: float) -> None:
        """Record that bytes of a response were received."""
        self.last_response_ms = now_ms
        self.unreachable_backoff_ms = UNREACHABLE_BACKOFF_MS
        self.unreachable_until_ms = float("-inf")

    def on_started(self, send: Send, now_ms: float) -> None:
        """Record the latency of a first event or a plain call, if it is counted."""
        if not self.counts(send):
            return
        self._mark_prefilled(send)
        ratio = (now_ms - send.sent_ms) / send.expected_ms
        ratio = min(max(ratio, LATENCY_RATIO_RANGE[0]), LATENCY_RATIO_RANGE[1])
        latency_ratio = self.recent_latency_ratio(now_ms)
        self.latency_ratio = latency_ratio + LATENCY_SAMPLE_WEIGHT * (
            ratio - latency_ratio
        )
        self.latency_updated_ms = now_ms

    def on_response(self, ok: bool, now_ms: float) -> None:
        """Add a response to the error rate."""
        rate = self.recent_error_rate(now_ms)
        self.error_rate = rate + ERROR_SAMPLE_WEIGHT * ((0.0 if ok else 1.0) - rate)
        self.error_rate_updated_ms = now_ms

    def on_unreachable(self, now_ms: float) -> None:
        """Avoid the endpoint for a time after a failed connection."""
        self.unreachable_until_ms = now_ms + self.unreachable_backoff_ms
        self.unreachable_backoff_ms = min(
            2.0 * self.unreachable_backoff_ms, MAX_UNREACHABLE_BACKOFF_MS
        )

    def set_peers(self, rows: Iterable[InFlightLoad]) -> None:
        """Replace the load that other routers have in flight at the endpoint."""
        total = sum_loads(rows)
        self.peer_running, self.peer_long_prompts, self.peer_pending_prefill = total

    @property
    def long_prompt_count(self) -> int:
        """Return the number of long prompts in flight, including those of peers."""
        return self.long_prompts + self.peer_long_prompts
