"""Paces model loads: limits how many endpoints of a service load a version at once.

The weight store has a rate limit and answers 429 above it. An endpoint is out of
service while it loads, in vain if the load fails. A failure therefore lowers the limit
and starts a backoff.
"""

INITIAL_BACKOFF_MS = 5_000.0
"""Backoff after the first failure; it doubles with each consecutive failure."""

MAX_BACKOFF_MS = 120_000.0
"""Longest backoff. Loads are retried at least this often, as the weight store may
recover at any time."""


class LoadConcurrencyLimiter:
    """Additive increase, multiplicative decrease (AIMD) of concurrent model loads.

    Their number is not limited before the first failure.

    >>> limiter = LoadConcurrencyLimiter(initial_backoff_ms=100.0)
    >>> limiter.available_loads(0.0, loading=0, wanted=8)
    8
    >>> limiter.on_load_failed(0.0, loading=8)
    >>> limiter.available_loads(99.0, loading=0, wanted=8)
    0
    >>> limiter.available_loads(100.0, loading=0, wanted=8)
    4
    >>> limiter.on_load_succeeded()
    >>> limiter.available_loads(100.0, loading=3, wanted=8)
    2
    """

    def __init__(self, initial_backoff_ms: float = INITIAL_BACKOFF_MS) -> None:
        self._initial_backoff_ms = initial_backoff_ms
        self._backoff_ms = initial_backoff_ms
        self._backoff_until_ms = 0.0
        self._max_loads: int | None = None

    def available_loads(self, now_ms: float, loading: int, wanted: int) -> int:
        """Return how many of the `wanted` loads may start while `loading` run."""
        if now_ms < self._backoff_until_ms:
            return 0
        if self._max_loads is None:
            return wanted
        return max(0, min(wanted, self._max_loads - loading))

    def on_load_succeeded(self) -> None:
        """Record a load that succeeded."""
        self._backoff_ms = self._initial_backoff_ms
        if self._max_loads is not None:
            self._max_loads += 1

    def on_load_failed(self, now_ms: float, loading: int) -> None:
        """Record a load that failed; `loading` counts running loads including it.

        Failures during a backoff are ignored, so loads that were started together and
        fail together count once.
        """
        if now_ms < self._backoff_until_ms:
            return
        self._max_loads = max(1, min(loading, self._max_loads or loading) // 2)
        self._backoff_until_ms = now_ms + self._backoff_ms
        self._backoff_ms = min(MAX_BACKOFF_MS, self._backoff_ms * 2)
