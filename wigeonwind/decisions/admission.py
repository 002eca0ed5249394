"""Early refusal: whether an attempt can still start in time at this endpoint."""

import math
from collections.abc import Iterable
from dataclasses import dataclass
from heapq import heapify, heapreplace
from random import Random

from wigeonwind.catalog import LatencyTarget, RequestClass, TargetKind
from wigeonwind.decisions.estimates import ServiceEstimates
from wigeonwind.decisions.interfaces import AttemptSpec, Rejected
from wigeonwind.outcomes import ErrorCode

MIN_RETRY_AFTER_MS = 200.0
"""Shortest Retry-After; less than a round trip and a start would be of no use."""

RETRY_JITTER = 0.5
"""Largest random addition to Retry-After, as a share of it."""


TARGET_MARGIN = 0.9
"""Share of the time before a target that an estimated wait may fill.

The rest covers the time between looks at the queue and errors of the estimate; work at
the very edge of its target would start too late half of the time.
"""


LOAD_HALF_LIFE_MS = 3000.0
"""Half-life of the recent load of higher classes; short, so that a burst is forgotten
soon after it ends."""

BURST_HORIZON_MS = 60_000.0
"""Time for which higher classes are assumed to go on at their recent rate. A class with
a target of minutes need not be refused for a burst that ends before."""


class Backlog:
    """The endpoint as it would be with work of one priority and above only.

    It holds the time at which each slot would become free if work were served first
    come first served. Lower classes have no part in it, whatever they do to the real
    slots: that makes promise P1 a property of the structure. O(log slots) per attempt.
    """

    def __init__(self, slots: int) -> None:
        self._free_at_ms = [0.0] * slots

    def wait_ms(self, now_ms: float) -> float:
        """Return the time until a new attempt would start; infinite without slots."""
        if not self._free_at_ms:
            return float("inf")
        return max(0.0, self._free_at_ms[0] - now_ms)

    def add(self, hold_ms: float, now_ms: float) -> None:
        """Add an attempt that holds a slot for `hold_ms`."""
        if self._free_at_ms:
            start_ms = max(now_ms, self._free_at_ms[0])
            heapreplace(self._free_at_ms, start_ms + hold_ms)

    def correct(self, delta_ms: float, now_ms: float) -> None:
        """Correct the total after an attempt took longer or shorter than expected.

        One that ended early frees the slot that was to become free at about its
        expected end. Taking the time from the latest slot instead left the earliest
        one too late, and the estimate refused work while slots were free.
        """
        if not self._free_at_ms:
            return
        if delta_ms > 0.0:
            self.add(delta_ms, now_ms)
            return
        slots = range(len(self._free_at_ms))
        expected_ms = now_ms - delta_ms
        nearest = min(slots, key=lambda n: abs(self._free_at_ms[n] - expected_ms))
        left_ms = self._shorten(nearest, -delta_ms, now_ms)
        latest = max(slots, key=self._free_at_ms.__getitem__)
        self._shorten(latest, left_ms, now_ms)
        heapify(self._free_at_ms)

    def _shorten(self, index: int, by_ms: float, now_ms: float) -> float:
        """Let a slot become free earlier, but not before now; return the rest."""
        possible_ms = min(by_ms, max(0.0, self._free_at_ms[index] - now_ms))
        self._free_at_ms[index] -= possible_ms
        return by_ms - possible_ms

    def clear(self) -> None:
        """Forget everything: the endpoint has none of this work left."""
        self._free_at_ms = [0.0] * len(self._free_at_ms)


class RecentLoad:
    """Slot time admitted per millisecond over the last few seconds."""

    def __init__(self) -> None:
        self._work_ms = 0.0
        self._updated_ms = 0.0

    def rate(self, now_ms: float) -> float:
        """Return the number of slots that the recent work fills."""
        elapsed_ms = max(0.0, now_ms - self._updated_ms)
        self._work_ms *= 2.0 ** (-elapsed_ms / LOAD_HALF_LIFE_MS)
        self._updated_ms = max(now_ms, self._updated_ms)
        return self._work_ms * math.log(2.0) / LOAD_HALF_LIFE_MS

    def add(self, hold_ms: float, now_ms: float) -> None:
        """Add the slot time of an admitted attempt."""
        self.rate(now_ms)
        self._work_ms += hold_ms


class ShareBacklog:
    """The work of one class, served at no more than its guaranteed share.

    It admits lower work at the rate of its share while higher classes fill the
    endpoint; otherwise the share would be of no use in a long overload.
    """

    def __init__(self) -> None:
        self._work_ms = 0.0
        self._updated_ms = 0.0

    def wait_ms(self, rate: float, saving_ms: float, now_ms: float) -> float:
        """Return the time until a new attempt starts.

        The class has `rate` slots, and waits `saving_ms` for its first one.
        """
        elapsed_ms = max(0.0, now_ms - self._updated_ms)
        self._work_ms = max(0.0, self._work_ms - elapsed_ms * rate)
        self._updated_ms = max(now_ms, self._updated_ms)
        if rate <= 0.0:
            return float("inf")
        return self._work_ms / rate + saving_ms

    def add(self, hold_ms: float) -> None:
        """Add slot time, or take it back if `hold_ms` is negative."""
        self._work_ms = max(0.0, self._work_ms + hold_ms)

    def clear(self) -> None:
        """Forget everything: the class has no work left."""
        self._work_ms = 0.0


@dataclass(frozen=True)
class StartLimits:
    """Latest useful start of an attempt, as clock readings in milliseconds.

    After `target_ms` the latency target is lost; after `expire_ms` the attempt is given
    back; `deadline_ms` is the part of `expire_ms` that comes from the caller.
    """

    target_ms: float
    expire_ms: float
    deadline_ms: float


class Admission:
    """Refuses an attempt whose estimated start is too late, lowest classes first.

    The estimate for priority p counts work of priority p and above only. A lower class
    counts more work, and waits for what arrives meanwhile in higher classes, so it is
    refused first at equal targets. Without work of priority p and above the wait is
    zero, whatever happened before.
    """

    def __init__(self, estimates: ServiceEstimates, slots: int, rng: Random) -> None:
        self._estimates = estimates
        self._slots = slots
        self._rng = rng
        self._backlog_by_priority: dict[int, Backlog] = {}
        self._load_by_priority: dict[int, RecentLoad] = {}

    def rebuild(
        self,
        priorities: Iterable[int],
        slots: int,
        work: Iterable[tuple[int, float]],
        now_ms: float,
    ) -> None:
        """Start again for other priorities or slots.

        `work` gives priority and remaining milliseconds of every admitted attempt.
        """
        self._slots = slots
        levels = sorted(set(priorities))
        self._backlog_by_priority = {level: Backlog(slots) for level in levels}
        old_load = self._load_by_priority
        self._load_by_priority = {
            level: old_load.get(level) or RecentLoad() for level in levels
        }
        for priority, remaining_ms in work:
            self._add_backlog(priority, remaining_ms, now_ms)

    def limits(self, spec: AttemptSpec, request_class: RequestClass) -> StartLimits:
        """Return the latest useful start of an attempt."""
        deadline_ms = float("inf")
        if spec.deadline_ms is not None:
            deadline_ms = spec.deadline_ms - self._estimates.prefill_ms(spec)
        expire_ms = min(deadline_ms, spec.arrived_ms + request_class.max_wait_ms)
        has_begun = spec.resume_tokens > 0
        if has_begun and request_class.finish_late:
            return StartLimits(expire_ms, expire_ms, deadline_ms)
        allowed_ms = self._target_ms(spec, request_class.target)
        target_ms = min(expire_ms, spec.arrived_ms + allowed_ms)
        return StartLimits(target_ms, expire_ms, deadline_ms)

    def _target_ms(self, spec: AttemptSpec, target: LatencyTarget) -> float:
        if target.kind is TargetKind.FIRST_TOKEN:
            return target.limit_ms - self._estimates.prefill_ms(spec)
        if target.kind is TargetKind.WHOLE:
            return target.limit_ms - self._estimates.hold_ms(spec)
        return float("inf")

    def decide(
        self,
        priority: int,
        limits: StartLimits,
        bound_ms: float,
        now_ms: float,
    ) -> Rejected | None:
        """Return the refusal, or None to admit.

        `bound_ms` is a bound on the wait that does not come from the backlog: its
        guaranteed share, or the rate at which slots become free.
        """
        if limits.deadline_ms <= now_ms:
            reason = "the deadline comes before the work could start"
            return Rejected(ErrorCode.DEADLINE.value, reason, 0.0)
        wait_ms = min(self._wait_ms(priority, now_ms), bound_ms)
        excess_ms = wait_ms - TARGET_MARGIN * max(0.0, limits.target_ms - now_ms)
        if excess_ms <= 0.0:
            return None
        return self.overloaded(excess_ms, "work would start too late for its target")

    def turnover_ms(self, spec: AttemptSpec, priority: int, ahead: int) -> float:
        """Return a bound on the wait behind `ahead` attempts of this priority or above.

        It is 0 while they are fewer than the slots: one slot would be free without
        lower work. With lengths that vary widely, the expected ends in the backlog are
        wrong one by one, and the earliest of them comes far too late, while the rate
        at which slots become free is known. Infinite for even lengths, and below the
        most urgent class, where the work ahead is of several kinds.
        """
        if ahead < self._slots:
            return 0.0
        is_top = priority == min(self._backlog_by_priority, default=priority)
        if not is_top or not self._slots:
            return float("inf")
        if not self._estimates.is_uneven(spec.class_name):
            return float("inf")
        hold_ms = self._estimates.hold_ms(spec)
        return (ahead - self._slots + 1) * hold_ms / self._slots

    def _wait_ms(self, priority: int, now_ms: float) -> float:
        """Return the wait behind present work, stretched by higher work to come."""
        wait_ms = self._backlog_by_priority[priority].wait_ms(now_ms)
        if not wait_ms or not self._slots:
            return wait_ms
        higher = sum(
            load.rate(now_ms)
            for level, load in self._load_by_priority.items()
            if level < priority
        )
        stretched_ms = wait_ms / max(1e-3, 1.0 - higher / self._slots)
        return min(stretched_ms, wait_ms + BURST_HORIZON_MS)

    def overloaded(self, excess_ms: float, reason: str) -> Rejected:
        """Return a refusal whose Retry-After grows with `excess_ms`."""
        retry_ms = min(max(MIN_RETRY_AFTER_MS, excess_ms), 60_000.0)
        retry_ms *= 1.0 + RETRY_JITTER * self._rng.random()
        return Rejected(ErrorCode.OVERLOADED.value, reason, retry_ms)

    def add(self, priority: int, hold_ms: float, now_ms: float) -> None:
        """Count an admitted attempt."""
        self._load_by_priority[priority].add(hold_ms, now_ms)
        self._add_backlog(priority, hold_ms, now_ms)

    def _add_backlog(self, priority: int, hold_ms: float, now_ms: float) -> None:
        for level, backlog in self._backlog_by_priority.items():
            if level >= priority:
                backlog.add(hold_ms, now_ms)

    def correct(self, priority: int, delta_ms: float, now_ms: float) -> None:
        """Count that an admitted attempt takes `delta_ms` more than expected."""
        for level, backlog in self._backlog_by_priority.items():
            if level >= priority:
                backlog.correct(delta_ms, now_ms)

    def clear_from(self, count_by_priority: dict[int, int]) -> None:
        """Clear every backlog for which no work is left.

        `count_by_priority` counts all admitted attempts by priority.
        """
        total = 0
        for level in sorted(self._backlog_by_priority):
            total += count_by_priority.get(level, 0)
            if total:
                return
            self._backlog_by_priority[level].clear()
