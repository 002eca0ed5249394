"""How many endpoints of a service may load a version now, from how loads ended.

The weight store bounds its rate and answers 429 above it. A failed load has taken its
endpoint out of service for nothing, so fewer are tried after a failure, and later.
"""

INITIAL_BACKOFF_MS = 5_000.0
"""Wait after the first failure; it doubles with each further one in a row."""

MAX_BACKOFF_MS = 120_000.0
"""A rollout goes on at least this often, as a weight store may recover any time."""


class LoadConcurrencyLimiter:
    """Additive increase and multiplicative decrease of the loads at a time.

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
        self._first_wait_ms = initial_backoff_ms
        self._wait_ms = initial_backoff_ms
        self._not_before_ms = 0.0
        self._most: int | None = None

    def available_loads(self, now_ms: float, loading: int, wanted: int) -> int:
        """Return how many of the `wanted` loads may begin now."""
        if now_ms < self._not_before_ms:
            return 0
        if self._most is None:
            return wanted
        return max(0, min(wanted, self._most - loading))

    def on_load_succeeded(self) -> None:
        """Note a load that succeeded."""
        self._wait_ms = self._first_wait_ms
        if self._most is not None:
            self._most += 1

    def on_load_failed(self, now_ms: float, loading: int) -> None:
        """Note a load that failed while `loading` were under way, itself included.

        Failures of one wave count once: the later ones fall into the wait.
        """
        if now_ms < self._not_before_ms:
            return
        self._most = max(1, min(loading, self._most or loading) // 2)
        self._not_before_ms = now_ms + self._wait_ms
        self._wait_ms = min(MAX_BACKOFF_MS, self._wait_ms * 2)
