"""How long the requests of a route take, learned from those that have ended.

The distribution of durations is the product-limit (Kaplan-Meier) estimate. It takes
account of requests that are still running or were interrupted: without them, a process
that started a moment ago would know short requests only.
"""

import math
from collections import OrderedDict, deque
from collections.abc import Hashable, Iterable
from dataclasses import dataclass

MAX_GROUPS = 256
"""Groups of requests that are kept; the least recently added to is dropped first."""

MAX_SAMPLES = 128
"""Samples that are kept of a group."""

MAX_SAMPLE_AGE_MS = 60_000.0
"""Age at which a sample no longer counts."""

MIN_SAMPLES = 8
"""Fewest whole durations for an estimate."""


@dataclass(frozen=True, slots=True)
class _Sample:
    """One request; `is_whole` is False if it was interrupted after `duration_ms`."""

    added_ms: float
    duration_ms: float
    is_whole: bool


class ResponseTimes:
    """Durations of requests by group; all times in milliseconds.

    >>> times = ResponseTimes()
    >>> for duration_ms in range(100, 200, 10):
    ...     times.add("lookup", 0.0, duration_ms)
    >>> times.quantile_ms("lookup", 0.5, 0.0), times.quantile_ms("lookup", 0.95, 0.0)
    (140, 190)
    >>> times.quantile_ms("booking", 0.5, 0.0) is None
    True
    """

    def __init__(self) -> None:
        self._samples_by_group: OrderedDict[Hashable, deque[_Sample]] = OrderedDict()

    def add(
        self, group: Hashable, now_ms: float, duration_ms: float, is_whole: bool = True
    ) -> None:
        """Add the duration of a request, or how long it ran until it broke off."""
        samples = self._samples_by_group.get(group)
        if samples is None:
            samples = self._samples_by_group[group] = deque(maxlen=MAX_SAMPLES)
            if len(self._samples_by_group) > MAX_GROUPS:
                self._samples_by_group.popitem(last=False)
        self._samples_by_group.move_to_end(group)
        samples.append(_Sample(now_ms, duration_ms, is_whole))

    def quantile_ms(
        self,
        group: Hashable,
        quantile: float,
        now_ms: float,
        running_ms: Iterable[float] = (),
        min_samples: int = MIN_SAMPLES,
        long_ms: float = math.inf,
    ) -> float | None:
        """Return a quantile of the durations of a group, None if it is not known.

        It is known from `min_samples` whole durations on, and infinite if requests that
        run or were interrupted show that it lies above all whole durations.
        `running_ms` is how long each request in flight has been running. With fewer
        whole durations it is infinite too if, of at least `min_samples` requests, so
        many have run for `long_ms` that it lies above that.
        """
        since_ms = now_ms - MAX_SAMPLE_AGE_MS
        samples = [
            (each.duration_ms, not each.is_whole)
            for each in self._samples_by_group.get(group, ())
            if each.added_ms >= since_ms
        ]
        whole = sum(not is_interrupted for _, is_interrupted in samples)
        samples += [(duration_ms, True) for duration_ms in running_ms]
        if whole < min_samples:
            long = sum(duration_ms >= long_ms for duration_ms, _ in samples)
            is_long = long > (1.0 - quantile) * len(samples)
            return math.inf if is_long and len(samples) >= min_samples else None
        surviving, at_risk = 1.0, len(samples)
        samples.sort()
        for duration_ms, is_interrupted in samples:
            if not is_interrupted:
                surviving *= 1.0 - 1.0 / at_risk
                if surviving <= 1.0 - quantile + 1e-9:
                    return duration_ms
            at_risk -= 1
        return math.inf
