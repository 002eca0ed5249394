"""Outlier detection: ejects endpoints that do much worse than their peers.

The peers of an endpoint are the other endpoints of its service.
"""

from collections.abc import Iterable
from statistics import median

STRAGGLER_FACTOR = 3.0
"""Time per token, relative to the median of the peers, above which an endpoint is a
straggler. The silence of an endpoint is compared with that of its peers by the same
factor."""

REPORTED_STRAGGLER_FACTOR = 1.5
"""Time per token that the sidecar reports, relative to the median of the peers, up to
which an endpoint is not a straggler. The time per token that the entry measures
includes pauses of answers; the one that the sidecar reports does not."""

MIN_SAMPLE_TOKENS = 20.0
"""Recent tokens that are needed to compare the time per token of an endpoint."""

SILENCE_FACTOR = 20.0
"""Time without progress, relative to the peers' median time per token, above which an
endpoint counts as failed."""

MIN_SILENCE_MS = 2000.0
"""Shortest time without progress that counts as a failure; queues and links cause
shorter gaps."""

EJECTION_FAILURES = 5
"""Consecutive failed requests that eject an endpoint."""

HALF_LIFE_MS = 3000.0
"""Age at which the weight of a measured token has halved."""

FIRST_EJECTION_MS = 5000.0
"""Duration of the first ejection; it doubles with each further one."""

MAX_EJECTION_MS = 60_000.0
"""Longest duration of an ejection."""

MAX_EJECTED_SHARE = 0.34
"""Largest share of the endpoints of a service that are ejected at the same time.

If more of them perform badly, they probably have a common cause, and ejecting them
would only shift the load to the rest.
"""

SLOW_START_MS = 10_000.0
"""Time in which a new or returning endpoint reaches its full weight."""

MIN_SLOW_START_WEIGHT = 0.1
"""Weight at the start of a slow start."""


class EndpointHealth:
    """Recent progress, failures and ejections of one endpoint."""

    def __init__(self, now_ms: float, is_new: bool) -> None:
        self.in_flight = 0
        self.streaming = 0
        self.consecutive_failures = 0
        self.reported_ms_per_token = 0.0
        self.ejected_until_ms = float("-inf")
        self._ejections = 0
        self._slow_start_since_ms = now_ms if is_new else float("-inf")
        self._last_progress_ms = now_ms
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
        """Record that a request was sent.

        Silence is measured from the first request in flight.
        """
        self._advance(now_ms)
        if not self.in_flight:
            self._last_progress_ms = now_ms
        self.in_flight += 1

    def on_first_token(self, now_ms: float) -> None:
        """Record the first token of an answer."""
        self._advance(now_ms)
        self.streaming = min(self.in_flight, self.streaming + 1)
        self._last_progress_ms = now_ms

    def on_tokens(self, tokens: int, now_ms: float) -> None:
        """Record received tokens of any answer."""
        self._advance(now_ms)
        self._tokens += tokens
        self._last_progress_ms = now_ms

    def on_ended(self, ok: bool, now_ms: float) -> None:
        """Record that a request has ended."""
        self._advance(now_ms)
        self.in_flight = max(0, self.in_flight - 1)
        self.streaming = min(self.in_flight, max(0, self.streaming - ok))
        self.consecutive_failures = 0 if ok else self.consecutive_failures + 1
        if ok:
            self._last_progress_ms = now_ms

    def ms_per_token(self, now_ms: float) -> float | None:
        """Return the recent time per token of an answer, None without enough tokens."""
        self._advance(now_ms)
        if self._tokens < MIN_SAMPLE_TOKENS:
            return None
        return self._stream_ms / self._tokens

    def silence_ms(self, now_ms: float) -> float:
        """Return the time without progress, 0 if no request is in flight."""
        return now_ms - self._last_progress_ms if self.in_flight else 0.0

    def weight(self, now_ms: float) -> float:
        """Return the slow-start weight, from MIN_SLOW_START_WEIGHT to 1."""
        progress = (now_ms - self._slow_start_since_ms) / SLOW_START_MS
        return min(1.0, max(MIN_SLOW_START_WEIGHT, progress))

    def is_ejected(self, now_ms: float) -> bool:
        """Return whether the endpoint is ejected now."""
        return now_ms < self.ejected_until_ms

    def eject(self, now_ms: float) -> None:
        """Eject the endpoint for a time, followed by a slow start."""
        duration_ms = min(MAX_EJECTION_MS, FIRST_EJECTION_MS * 2.0**self._ejections)
        self._ejections += 1
        self.ejected_until_ms = now_ms + duration_ms
        self._slow_start_since_ms = self.ejected_until_ms
        self._stream_ms = 0.0
        self._tokens = 0.0
        self.consecutive_failures = 0
        # Silence from before the ejection must not eject it again on return.
        self._last_progress_ms = self.ejected_until_ms

    def reset_ejections(self, now_ms: float) -> None:
        """Reset the ejection count MAX_EJECTION_MS after the last ejection."""
        if now_ms - self.ejected_until_ms > MAX_EJECTION_MS:
            self._ejections = 0


class OutlierDetector:
    """Ejects endpoints of a service that do much worse than their peers."""

    def eject_outliers(
        self, endpoints: Iterable[EndpointHealth], now_ms: float
    ) -> list[EndpointHealth]:
        """Eject and return outliers, up to the allowed share of the endpoints."""
        endpoints = list(endpoints)
        ejected_count = sum(endpoint.is_ejected(now_ms) for endpoint in endpoints)
        allowed = (
            max(1, int(len(endpoints) * MAX_EJECTED_SHARE)) if len(endpoints) > 1 else 0
        )
        ejected = []
        for endpoint in endpoints:
            endpoint.reset_ejections(now_ms)
            if ejected_count >= allowed:
                break
            if not endpoint.is_ejected(now_ms) and self._is_outlier(
                endpoint, endpoints, now_ms
            ):
                endpoint.eject(now_ms)
                ejected.append(endpoint)
                ejected_count += 1
        return ejected

    def _is_outlier(
        self, endpoint: EndpointHealth, endpoints: list[EndpointHealth], now_ms: float
    ) -> bool:
        peers = [peer for peer in endpoints if peer is not endpoint]
        if endpoint.consecutive_failures >= EJECTION_FAILURES:
            return any(peer.consecutive_failures < EJECTION_FAILURES for peer in peers)
        return self._is_straggler(endpoint, peers, now_ms) or self._is_silent(
            endpoint, peers, now_ms
        )

    def _is_straggler(
        self, endpoint: EndpointHealth, peers: list[EndpointHealth], now_ms: float
    ) -> bool:
        endpoint_ms = endpoint.ms_per_token(now_ms)
        times_ms = _measured(peer.ms_per_token(now_ms) for peer in peers)
        if endpoint_ms is None or not times_ms:
            return False
        if endpoint_ms <= STRAGGLER_FACTOR * median(times_ms):
            return False
        reported = [peer.reported_ms_per_token for peer in peers]
        reported_ms = [time_ms for time_ms in reported if time_ms > 0.0]
        if not endpoint.reported_ms_per_token or not reported_ms:
            return True
        return endpoint.reported_ms_per_token > REPORTED_STRAGGLER_FACTOR * median(
            reported_ms
        )

    def _is_silent(
        self, endpoint: EndpointHealth, peers: list[EndpointHealth], now_ms: float
    ) -> bool:
        """Return whether the endpoint is silent for much longer than its peers.

        Equal silence of all endpoints is no evidence against one of them.
        """
        silence_ms = endpoint.silence_ms(now_ms)
        if silence_ms < MIN_SILENCE_MS:
            return False
        busy = [peer.silence_ms(now_ms) for peer in peers if peer.in_flight]
        if not busy or silence_ms < STRAGGLER_FACTOR * median(busy):
            return False
        times_ms = _measured(peer.ms_per_token(now_ms) for peer in peers)
        return not times_ms or silence_ms > SILENCE_FACTOR * median(times_ms)


def _measured(values: Iterable[float | None]) -> list[float]:
    return [value for value in values if value is not None]
