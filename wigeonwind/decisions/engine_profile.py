"""Speed of the engines of one service, learned from the first events of streams.

Engines differ severalfold in the rate at which they prefill prompts, and nothing that
they publish states it. The time to a first event is modelled as a constant plus the
tokens that are prefilled before it.
"""

from collections import deque
from dataclasses import dataclass

DEFAULT_PREFILL_RATE = 100.0
"""Prefill rate in tokens per ms until it has been measured."""

DEFAULT_BASE_MS = 35.0
"""Time to the first event of a prompt without prefill until it has been measured."""

MIN_RATE_TOKENS = 1_000
"""Fewest tokens of a measurement of the rate; fewer take about one engine step."""

PREFILL_RATE_RANGE = (2.0, 5_000.0)
"""Bounds of a measured rate, which protect against late or garbled first events."""

MAX_SAMPLES = 64
"""Samples that are kept; older ones may be of engines that were replaced."""

MIN_SAMPLES = 5
"""Fewest samples that replace a default value."""

RATE_QUANTILE = 0.7
"""Quantile of the measured rates. Prompts of other routers that this one does not know
of make an engine seem slower, and cached prefixes that it does not know of faster; the
former is more frequent."""

BASE_QUANTILE = 0.5


@dataclass(frozen=True, slots=True)
class ServiceProfile:
    """What a router knows of the engines of one service, for its metrics.

    `prefill_rate` is in tokens per ms, `base_ms` in ms, and `prefill_window` counts
    prompts.
    """

    service: str
    prefill_rate: float
    base_ms: float
    prefill_window: float


class EngineProfile:
    """Model of the time to a first event: `base_ms + tokens / prefill_rate`.

    >>> profile = EngineProfile()
    >>> for tokens in (500, 4_000, 9_000) * 60:
    ...     profile.on_first_event(tokens, 20.0 + tokens / 50.0)
    >>> round(profile.prefill_rate), round(profile.base_ms)
    (50, 20)
    """

    def __init__(self) -> None:
        self.prefill_rate = DEFAULT_PREFILL_RATE
        """Prompt tokens that an engine prefills per ms."""
        self.base_ms = DEFAULT_BASE_MS
        """Time to the first event without prefill, in ms."""
        self._rates: deque[float] = deque(maxlen=MAX_SAMPLES)
        self._bases_ms: deque[float] = deque(maxlen=MAX_SAMPLES)

    def expected_ms(self, tokens: float) -> float:
        """Return the expected time to the first event after `tokens` of prefill."""
        return self.base_ms + tokens / self.prefill_rate

    def on_first_event(self, tokens: float, took_ms: float) -> None:
        """Add a measurement: the tokens prefilled before the event, and its time."""
        if tokens >= MIN_RATE_TOKENS:
            low, high = PREFILL_RATE_RANGE
            rate = tokens / max(1.0, took_ms - self.base_ms)
            self._rates.append(min(max(rate, low), high))
            self.prefill_rate = _quantile(
                self._rates, RATE_QUANTILE, DEFAULT_PREFILL_RATE
            )
        else:
            self._bases_ms.append(max(1.0, took_ms - tokens / self.prefill_rate))
            self.base_ms = _quantile(self._bases_ms, BASE_QUANTILE, DEFAULT_BASE_MS)


def _quantile(samples: deque[float], quantile: float, default: float) -> float:
    """Return a quantile of the samples, `default` while there are too few."""
    if len(samples) < MIN_SAMPLES:
        return default
    return sorted(samples)[int(quantile * len(samples))]
