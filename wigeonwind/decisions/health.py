"""Stragglers and silent failures among endpoints, found by comparing peers."""

from collections.abc import Iterable
from statistics import median

STRAGGLER_FACTOR = 3.0
"""Time per token, relative to the median of the peers, that marks a straggler."""

CONFIRM_FACTOR = 1.5
"""Time per token that the sidecar reports, relative to the median of its peers, below
which an endpoint is no straggler. The entry's own measure also counts the time for
which answers are paused, which a sidecar leaves out."""

MIN_SAMPLE_TOKENS = 20.0
"""Recent tokens below which an endpoint's time per token is not compared."""

SILENT_FACTOR = 20.0
"""Silence, relative to the peers' median time per token, that marks a failure."""

MIN_SILENT_MS = 2000.0
"""Least silence that marks a failure; shorter gaps come from queues and links."""

FAILURES_IN_A_ROW = 5
"""Failed requests in a row that eject an endpoint."""

HALF_LIFE_MS = 3000.0
"""Age at which a measured token counts half."""

EJECTION_MS = 5000.0
"""First ejection; it doubles with each one that follows."""

MAX_EJECTION_MS = 60_000.0
"""Longest ejection."""

MAX_EJECTED_SHARE = 0.34
"""Largest share of the endpoints of a service ejected at a time.

If more look bad, the cause is more likely shared, and ejecting them would only move
the load to the rest.
"""

SLOW_START_MS = 10_000.0
"""Time over which a new or returning endpoint comes to its full weight."""

LEAST_WEIGHT = 0.1
"""Weight at the beginning of a slow start."""


class EndpointHealth:
    """What one endpoint has done recently."""

    def __init__(self, now_ms: float, is_new: bool) -> None:
        self.outstanding = 0
        self.streaming = 0
        self.failures = 0
        self.reported_ms_per_token = 0.0
        self.ejected_until_ms = float("-inf")
        self._ejections = 0
        self._start_ms = now_ms if is_new else float("-inf")
        self._progress_ms = now_ms
        self._updated_ms = now_ms
        self._stream_ms = 0.0
        self._tokens = 0.0

    def _advance(self, now_ms: float) -> None:
        elapsed_ms = max(0.0, now_ms - self._updated_ms)
        if elapsed_ms:
            decay = 0.5 ** (elapsed_ms / HALF_LIFE_MS)
            self._stream_ms = self._stream_ms * decay + elapsed_ms * self.streaming
            self._tokens *= decay
            self._updated_ms = now_ms

    def on_sent(self, now_ms: float) -> None:
        """Record a request sent; silence counts from the first outstanding one."""
        self._advance(now_ms)
        if not self.outstanding:
            self._progress_ms = now_ms
        self.outstanding += 1

    def on_first_token(self, now_ms: float) -> None:
        """Record that an answer has begun to stream."""
        self._advance(now_ms)
        self.streaming = min(self.outstanding, self.streaming + 1)
        self._progress_ms = now_ms

    def on_tokens(self, tokens: int, now_ms: float) -> None:
        """Record tokens of any of its answers."""
        self._advance(now_ms)
        self._tokens += tokens
        self._progress_ms = now_ms

    def on_ended(self, ok: bool, now_ms: float) -> None:
        """Record that a request has ended."""
        self._advance(now_ms)
        self.outstanding = max(0, self.outstanding - 1)
        self.streaming = min(self.outstanding, max(0, self.streaming - ok))
        self.failures = 0 if ok else self.failures + 1
        if ok:
            self._progress_ms = now_ms

    def ms_per_token(self, now_ms: float) -> float | None:
        """Return the recent time per token of one answer, None if not measured."""
        self._advance(now_ms)
        if self._tokens < MIN_SAMPLE_TOKENS:
            return None
        return self._stream_ms / self._tokens

    def silence_ms(self, now_ms: float) -> float:
        """Return the time without progress while work is outstanding."""
        return now_ms - self._progress_ms if self.outstanding else 0.0

    def weight(self, now_ms: float) -> float:
        """Return the weight (0 to 1] of its slow start."""
        part = (now_ms - self._start_ms) / SLOW_START_MS
        return min(1.0, max(LEAST_WEIGHT, part))

    def is_ejected(self, now_ms: float) -> bool:
        """Return whether it receives no new work now."""
        return now_ms < self.ejected_until_ms

    def eject(self, now_ms: float) -> None:
        """Send it no new work for a while; then it starts slowly."""
        duration_ms = min(MAX_EJECTION_MS, EJECTION_MS * 2.0**self._ejections)
        self._ejections += 1
        self.ejected_until_ms = now_ms + duration_ms
        self._start_ms = self.ejected_until_ms
        self._stream_ms = 0.0
        self._tokens = 0.0
        self.failures = 0
        # An old silence must not eject it again at once when it returns.
        self._progress_ms = self.ejected_until_ms

    def forgive(self, now_ms: float) -> None:
        """Forget earlier ejections once it has done well for a while."""
        if now_ms - self.ejected_until_ms > MAX_EJECTION_MS:
            self._ejections = 0


class PeerComparison:
    """Ejects endpoints of one service that do much worse than their peers."""

    def eject_outliers(
        self, peers: Iterable[EndpointHealth], now_ms: float
    ) -> list[EndpointHealth]:
        """Eject what is bad, within the allowed share; return what was ejected."""
        peers = list(peers)
        out = sum(peer.is_ejected(now_ms) for peer in peers)
        allowed = max(1, int(len(peers) * MAX_EJECTED_SHARE)) if len(peers) > 1 else 0
        ejected = []
        for peer in peers:
            peer.forgive(now_ms)
            if out >= allowed:
                break
            if not peer.is_ejected(now_ms) and self._is_bad(peer, peers, now_ms):
                peer.eject(now_ms)
                ejected.append(peer)
                out += 1
        return ejected

    def _is_bad(
        self, peer: EndpointHealth, peers: list[EndpointHealth], now_ms: float
    ) -> bool:
        others = [other for other in peers if other is not peer]
        if peer.failures >= FAILURES_IN_A_ROW:
            return any(other.failures < FAILURES_IN_A_ROW for other in others)
        return self._is_straggler(peer, others, now_ms) or self._is_silent(
            peer, others, now_ms
        )

    def _is_straggler(
        self, peer: EndpointHealth, others: list[EndpointHealth], now_ms: float
    ) -> bool:
        own_ms = peer.ms_per_token(now_ms)
        times_ms = _known(other.ms_per_token(now_ms) for other in others)
        if own_ms is None or not times_ms:
            return False
        if own_ms <= STRAGGLER_FACTOR * median(times_ms):
            return False
        reported = [other.reported_ms_per_token for other in others]
        known_ms = [time_ms for time_ms in reported if time_ms > 0.0]
        if not peer.reported_ms_per_token or not known_ms:
            return True
        return peer.reported_ms_per_token > CONFIRM_FACTOR * median(known_ms)

    def _is_silent(
        self, peer: EndpointHealth, others: list[EndpointHealth], now_ms: float
    ) -> bool:
        """Compare silence, with an equal silence of all peers as no evidence."""
        silence_ms = peer.silence_ms(now_ms)
        if silence_ms < MIN_SILENT_MS:
            return False
        busy = [other.silence_ms(now_ms) for other in others if other.outstanding]
        if not busy or silence_ms < STRAGGLER_FACTOR * median(busy):
            return False
        times_ms = _known(other.ms_per_token(now_ms) for other in others)
        return not times_ms or silence_ms > SILENT_FACTOR * median(times_ms)


def _known(values: Iterable[float | None]) -> list[float]:
    return [value for value in values if value is not None]
