"""Admission control: refuses attempts that are expected to start too late."""

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
"""Largest random addition to Retry-After, relative to it."""


USABLE_TARGET_SHARE = 0.9
"""Share of the time left before a latency target that an estimated wait may take.

The rest covers the interval between queue polls and errors of the estimate. Without it,
an attempt admitted right at its target would start too late half of the time.
"""


LOAD_HALF_LIFE_MS = 3000.0
"""Half-life of the recent load of more urgent classes; short, so that a burst stops
counting soon after it ends."""

BURST_HORIZON_MS = 60_000.0
"""Time for which more urgent classes are assumed to keep their recent arrival rate. A
class with a target of minutes need not be refused for a burst that ends sooner."""


class Backlog:
    """Simulated slots that serve only attempts of one priority and above.

    Keeps the time at which each slot would become free if these attempts were served
    first come, first served. Attempts of lower classes are not counted, even if they
    occupy real slots, so promise P1 (see `EndpointQueue`) holds by construction. Adding
    an attempt takes O(log slots).
    """

    def __init__(self, slots: int) -> None:
        self._free_at_ms = [0.0] * slots

    def wait_ms(self, now_ms: float) -> float:
        """Return the time until a new attempt would start, infinite without slots."""
        if not self._free_at_ms:
            return float("inf")
        return max(0.0, self._free_at_ms[0] - now_ms)

    def add(self, slot_ms: float, now_ms: float) -> None:
        """Add an attempt that is expected to hold a slot for `slot_ms`."""
        if self._free_at_ms:
            start_ms = max(now_ms, self._free_at_ms[0])
            heapreplace(self._free_at_ms, start_ms + slot_ms)

    def adjust_slot_time(self, delta_ms: float, now_ms: float) -> None:
        """Add `delta_ms` of slot time for an attempt whose duration was misestimated.

        A negative `delta_ms` is taken from the slot whose expected end is nearest to
        that of the attempt. If it were taken from the slot that becomes free last, the
        expected end of the earliest slot would stay too late, and attempts would be
        refused while slots are free.
        """
        if not self._free_at_ms:
            return
        if delta_ms > 0.0:
            self.add(delta_ms, now_ms)
            return
        slots = range(len(self._free_at_ms))
        expected_ms = now_ms - delta_ms
        nearest = min(slots, key=lambda n: abs(self._free_at_ms[n] - expected_ms))
        rest_ms = self._shorten(nearest, -delta_ms, now_ms)
        latest = max(slots, key=self._free_at_ms.__getitem__)
        self._shorten(latest, rest_ms, now_ms)
        heapify(self._free_at_ms)

    def _shorten(self, index: int, by_ms: float, now_ms: float) -> float:
        """Free a slot up to `by_ms` earlier, but not before now; return the excess."""
        possible_ms = min(by_ms, max(0.0, self._free_at_ms[index] - now_ms))
        self._free_at_ms[index] -= possible_ms
        return by_ms - possible_ms

    def clear(self) -> None:
        """Reset to free slots, when no attempt of these priorities remains."""
        self._free_at_ms = [0.0] * len(self._free_at_ms)


class RecentLoad:
    """Slot time admitted per millisecond, with exponential decay."""

    def __init__(self) -> None:
        self._slot_time_ms = 0.0
        self._updated_ms = 0.0

    def rate(self, now_ms: float) -> float:
        """Return the number of slots that the recently admitted attempts occupy."""
        elapsed_ms = max(0.0, now_ms - self._updated_ms)
        self._slot_time_ms *= 2.0 ** (-elapsed_ms / LOAD_HALF_LIFE_MS)
        self._updated_ms = max(now_ms, self._updated_ms)
        return self._slot_time_ms * math.log(2.0) / LOAD_HALF_LIFE_MS

    def add(self, slot_ms: float, now_ms: float) -> None:
        """Add the slot time of an admitted attempt."""
        self.rate(now_ms)
        self._slot_time_ms += slot_ms


class ShareBacklog:
    """The backlog of one class if it were served by its guaranteed share alone.

    Lets a lower class be admitted at the rate of its share while more urgent classes
    fill the endpoint; otherwise the share would stay unused in a long overload.
    """

    def __init__(self) -> None:
        self._slot_time_ms = 0.0
        self._updated_ms = 0.0

    def wait_ms(self, rate: float, first_slot_ms: float, now_ms: float) -> float:
        """Return the time until a new attempt would start.

        `rate` is the share in slots, `first_slot_ms` the time until the share grants
        its first slot.
        """
        elapsed_ms = max(0.0, now_ms - self._updated_ms)
        self._slot_time_ms = max(0.0, self._slot_time_ms - elapsed_ms * rate)
        self._updated_ms = max(now_ms, self._updated_ms)
        if rate <= 0.0:
            return float("inf")
        return self._slot_time_ms / rate + first_slot_ms

    def add(self, slot_ms: float) -> None:
        """Add slot time, or subtract it if `slot_ms` is negative."""
        self._slot_time_ms = max(0.0, self._slot_time_ms + slot_ms)

    def clear(self) -> None:
        """Reset the backlog, when the class has no attempt left."""
        self._slot_time_ms = 0.0


@dataclass(frozen=True)
class StartDeadlines:
    """Latest useful start times of an attempt, as clock readings in milliseconds.

    A start after `target_ms` misses the latency target; at `expire_ms` the attempt is
    refused. `deadline_ms` is the bound on `expire_ms` that the caller's deadline sets.
    """

    target_ms: float
    expire_ms: float
    deadline_ms: float


class Admission:
    """Refuses attempts whose estimated start is too late, lowest classes first.

    The estimate for priority p counts attempts of priority p and above only. A lower
    class counts more attempts, and those that arrive meanwhile in more urgent classes,
    so it is refused first at equal targets. If there is no attempt of priority p or
    above, the wait is zero regardless of earlier load.
    """

    def __init__(self, estimates: ServiceEstimates, slots: int, rng: Random) -> None:
        self._estimates = estimates
        self._slots = slots
        self._rng = rng
        self._backlog_by_priority: dict[int, Backlog] = {}
        self._recent_load_by_priority: dict[int, RecentLoad] = {}

    def rebuild(
        self,
        priorities: Iterable[int],
        slots: int,
        admitted: Iterable[tuple[int, float]],
        now_ms: float,
    ) -> None:
        """Recompute the backlogs for other priorities or another number of slots.

        `admitted` has priority and remaining slot time (ms) of each admitted attempt.
        """
        self._slots = slots
        distinct_priorities = sorted(set(priorities))
        self._backlog_by_priority = {
            each: Backlog(slots) for each in distinct_priorities
        }
        previous = self._recent_load_by_priority
        self._recent_load_by_priority = {
            each: previous.get(each) or RecentLoad() for each in distinct_priorities
        }
        for priority, remaining_ms in admitted:
            self._add_backlog(priority, remaining_ms, now_ms)

    def start_deadlines(
        self, spec: AttemptSpec, request_class: RequestClass
    ) -> StartDeadlines:
        """Return the latest useful start times of an attempt.

        A resumed attempt of a class with `finish_late` has no latency target: its
        request has started and is finished even if it misses the target.
        """
        deadline_ms = float("inf")
        if spec.deadline_ms is not None:
            deadline_ms = spec.deadline_ms - self._estimates.prefill_ms(spec)
        expire_ms = min(deadline_ms, spec.arrived_ms + request_class.max_wait_ms)
        is_resumed = spec.resume_tokens > 0
        if is_resumed and request_class.finish_late:
            return StartDeadlines(expire_ms, expire_ms, deadline_ms)
        allowed_ms = self._target_ms(spec, request_class.target)
        target_ms = min(expire_ms, spec.arrived_ms + allowed_ms)
        return StartDeadlines(target_ms, expire_ms, deadline_ms)

    def _target_ms(self, spec: AttemptSpec, target: LatencyTarget) -> float:
        if target.kind is TargetKind.FIRST_TOKEN:
            return target.limit_ms - self._estimates.prefill_ms(spec)
        if target.kind is TargetKind.WHOLE:
            return target.limit_ms - self._estimates.slot_ms(spec)
        return float("inf")

    def decide(
        self,
        priority: int,
        deadlines: StartDeadlines,
        bound_ms: float,
        now_ms: float,
    ) -> Rejected | None:
        """Return the refusal, or None to admit.

        `bound_ms` is an upper bound on the wait from other sources than the backlog:
        the guaranteed share, or the rate at which slots become free.
        """
        if deadlines.deadline_ms <= now_ms:
            reason = "the deadline is too early for the request to start"
            return Rejected(ErrorCode.DEADLINE.value, reason, 0.0)
        wait_ms = min(self._wait_ms(priority, now_ms), bound_ms)
        excess_ms = wait_ms - USABLE_TARGET_SHARE * max(
            0.0, deadlines.target_ms - now_ms
        )
        if excess_ms <= 0.0:
            return None
        return self.overload_rejection(
            excess_ms, "the request would start too late for its latency target"
        )

    def turnover_ms(self, spec: AttemptSpec, priority: int, ahead: int) -> float:
        """Return a bound on the wait behind `ahead` attempts of this priority or above.

        The bound is 0 if there are fewer attempts than slots: without attempts of
        lower classes a slot would be free. If answer lengths vary widely, the expected
        ends in the backlog are wrong and the earliest of them is far too late, but the
        rate at which slots become free is known. The bound is infinite for uniform
        lengths. It is also infinite for all but the most urgent class, because the
        attempts ahead of the others are of several classes.
        """
        if ahead < self._slots:
            return 0.0
        is_most_urgent = priority == min(self._backlog_by_priority, default=priority)
        if not is_most_urgent or not self._slots:
            return float("inf")
        if not self._estimates.has_variable_length(spec.class_name):
            return float("inf")
        slot_ms = self._estimates.slot_ms(spec)
        return (ahead - self._slots + 1) * slot_ms / self._slots

    def _wait_ms(self, priority: int, now_ms: float) -> float:
        """Return the wait behind admitted attempts and more urgent arrivals."""
        wait_ms = self._backlog_by_priority[priority].wait_ms(now_ms)
        if not wait_ms or not self._slots:
            return wait_ms
        urgent_slots = sum(
            load.rate(now_ms)
            for load_priority, load in self._recent_load_by_priority.items()
            if load_priority < priority
        )
        extended_ms = wait_ms / max(1e-3, 1.0 - urgent_slots / self._slots)
        return min(extended_ms, wait_ms + BURST_HORIZON_MS)

    def overload_rejection(self, excess_ms: float, reason: str) -> Rejected:
        """Return a rejection whose Retry-After grows with `excess_ms`."""
        retry_ms = min(max(MIN_RETRY_AFTER_MS, excess_ms), 60_000.0)
        retry_ms *= 1.0 + RETRY_JITTER * self._rng.random()
        return Rejected(ErrorCode.OVERLOADED.value, reason, retry_ms)

    def add(self, priority: int, slot_ms: float, now_ms: float) -> None:
        """Add an admitted attempt that is expected to hold a slot for `slot_ms`."""
        self._recent_load_by_priority[priority].add(slot_ms, now_ms)
        self._add_backlog(priority, slot_ms, now_ms)

    def _add_backlog(self, priority: int, slot_ms: float, now_ms: float) -> None:
        for backlog_priority, backlog in self._backlog_by_priority.items():
            if backlog_priority >= priority:
                backlog.add(slot_ms, now_ms)

    def adjust_slot_time(self, priority: int, delta_ms: float, now_ms: float) -> None:
        """Record that an admitted attempt takes `delta_ms` more than expected."""
        for backlog_priority, backlog in self._backlog_by_priority.items():
            if backlog_priority >= priority:
                backlog.adjust_slot_time(delta_ms, now_ms)

    def clear_empty(self, count_by_priority: dict[int, int]) -> None:
        """Clear the backlogs that have no attempt left.

        `count_by_priority` is the number of admitted attempts of each priority.
        """
        total = 0
        for backlog_priority in sorted(self._backlog_by_priority):
            total += count_by_priority.get(backlog_priority, 0)
            if total:
                return
            self._backlog_by_priority[backlog_priority].clear()
