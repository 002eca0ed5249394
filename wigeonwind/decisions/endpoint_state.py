"""What one entry knows of the load, speed and errors of one endpoint."""

from collections.abc import Iterable

from wigeonwind.decisions.peer_loads import InFlightLoad, short_id, sum_work
from wigeonwind.decisions.placement import Candidate, Send

LOWER_WORK_WEIGHT = 0.5
"""Weight of unread prompts of lower priority. They yield, but the part that is being
read is finished first."""

SPEED_WEIGHT = 0.15
"""Weight of one measurement in an endpoint's relative speed."""

SPEED_RANGE = (0.5, 8.0)
"""Bounds of a relative latency; beyond them the estimate says nothing more."""

SPEED_HALF_LIFE_MS = 4_000.0
"""Age at which a measured speed counts half; a busy spell is over sooner than that."""

ERROR_WEIGHT = 0.1
"""Weight of one answer in an endpoint's error rate."""

ERROR_HALF_LIFE_MS = 5_000.0
"""Age at which errors count half, so that an endpoint is tried again."""

SILENT_MS = 700.0
"""Silence with outstanding work after which an endpoint gets no new work. Engines that
live send events of running requests several times in this time."""

UNREACHABLE_MS = 500.0
"""Time without new work after a failed connection; it doubles with each one."""

MAX_UNREACHABLE_MS = 4_000.0


class EndpointState:
    """What this entry knows of one endpoint."""

    __slots__ = (
        "candidate",
        "error_rate",
        "errors_ms",
        "failures",
        "full_until_ms",
        "last_response_ms",
        "latency",
        "long_prompts",
        "measured_ms",
        "outstanding",
        "peer_long_prompts",
        "peer_running",
        "peer_unread",
        "short_id",
        "unreachable_until_ms",
        "unread_by_priority",
    )

    def __init__(self, candidate: Candidate, now_ms: float) -> None:
        self.candidate = candidate
        self.short_id = short_id(candidate.endpoint_id)
        self.outstanding: set[Send] = set()
        self.long_prompts = 0
        self.peer_running = 0
        self.peer_long_prompts = 0
        self.peer_unread: dict[int, int] = {}
        self.unread_by_priority: dict[int, int] = {}
        self.last_response_ms = now_ms
        self.latency = 1.0
        self.measured_ms = now_ms
        self.error_rate = 0.0
        self.errors_ms = now_ms
        self.failures = 0
        self.unreachable_until_ms = float("-inf")
        self.full_until_ms = float("-inf")

    def unread_tokens(self, priority: int) -> float:
        """Return the unread prompt tokens that a request of this priority waits for."""
        rows = [*self.unread_by_priority.items(), *self.peer_unread.items()]
        return sum(
            tokens if other <= priority else tokens * LOWER_WORK_WEIGHT
            for other, tokens in rows
        )

    @property
    def outstanding_count(self) -> int:
        """Return the requests on their way there, those of peers included."""
        return len(self.outstanding) + self.peer_running

    def relative_latency(self, now_ms: float) -> float:
        """Return measured over expected latency, which approaches 1 with its age."""
        age_ms = max(0.0, now_ms - self.measured_ms)
        return 1.0 + (self.latency - 1.0) * 0.5 ** (age_ms / SPEED_HALF_LIFE_MS)

    def recent_error_rate(self, now_ms: float) -> float:
        """Return the error rate (0 to 1), which falls with its age."""
        age_ms = max(0.0, now_ms - self.errors_ms)
        return self.error_rate * 0.5 ** (age_ms / ERROR_HALF_LIFE_MS)

    def silence_ms(self, now_ms: float) -> float:
        """Return for how long work is outstanding without a byte from the endpoint."""
        if not self.outstanding:
            return 0.0
        oldest_ms = min(sent.sent_ms for sent in self.outstanding)
        return now_ms - max(oldest_ms, self.last_response_ms)

    def is_avoided(self, now_ms: float) -> bool:
        """Return whether it gets new work only if there is no other."""
        if now_ms < self.unreachable_until_ms:
            return True
        return self.silence_ms(now_ms) > SILENT_MS

    def add(self, sent: Send) -> None:
        """Count a request that is sent there."""
        priority = sent.work.priority
        self.outstanding.add(sent)
        self.long_prompts += sent.work.is_long
        unread = self.unread_by_priority.get(priority, 0) + sent.unread_tokens
        self.unread_by_priority[priority] = unread

    def remove(self, sent: Send) -> None:
        """Take a request off that has ended."""
        self.outstanding.discard(sent)
        self.long_prompts -= sent.work.is_long
        self._mark_read(sent)

    def _mark_read(self, sent: Send) -> None:
        if not sent.is_started:
            sent.is_started = True
            self.unread_by_priority[sent.work.priority] -= sent.unread_tokens

    def on_received(self, now_ms: float) -> None:
        """Record that bytes of an answer arrived."""
        self.last_response_ms = now_ms
        self.failures = 0
        self.unreachable_until_ms = float("-inf")

    def on_started(self, sent: Send, now_ms: float) -> None:
        """Compare the time to the first event, or of a call, with the estimate."""
        self._mark_read(sent)
        ratio = (now_ms - sent.sent_ms) / sent.expected_ms
        ratio = min(max(ratio, SPEED_RANGE[0]), SPEED_RANGE[1])
        latency = self.relative_latency(now_ms)
        self.latency = latency + SPEED_WEIGHT * (ratio - latency)
        self.measured_ms = now_ms

    def on_answered(self, ok: bool, now_ms: float) -> None:
        """Count an answer in the error rate."""
        rate = self.recent_error_rate(now_ms)
        self.error_rate = rate + ERROR_WEIGHT * ((0.0 if ok else 1.0) - rate)
        self.errors_ms = now_ms

    def on_unreachable(self, now_ms: float) -> None:
        """Leave an endpoint for a while to which no connection could be opened."""
        wait_ms = min(UNREACHABLE_MS * 2.0**self.failures, MAX_UNREACHABLE_MS)
        self.failures += 1
        self.unreachable_until_ms = now_ms + wait_ms

    def set_peers(self, rows: Iterable[InFlightLoad]) -> None:
        """Replace the work that other entries have sent there."""
        total = sum_work(rows)
        self.peer_running, self.peer_long_prompts, self.peer_unread = total

    @property
    def long_count(self) -> int:
        """Return the long prompts there, those of peers included."""
        return self.long_prompts + self.peer_long_prompts
