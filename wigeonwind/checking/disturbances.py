"""Unplanned faults of a run whose effects on requests are no violations."""

from collections.abc import Iterator
from dataclasses import dataclass
from math import inf

from wigeonwind.checking.history import (
    EndpointSeen,
    FaultSeen,
    History,
    MemberChange,
    MemberSeen,
    RequestSeen,
)

SETTLE_MS = 15_000.0
"""Time after an unplanned fault during which its effects may last.

A link is closed after 5 s of silence, a claim is queried for 2 s, and an endpoint that
failed is retried within 5 s.
"""

TOLERATED_FAULTS = frozenset(
    {"lag", "event_gap", "ignore_fence", "skip_watch", "repeat_watch"}
)
"""Faults of test doubles that must have no effect on requests."""


@dataclass(frozen=True)
class Interval:
    """A period in which the process or test double `member_id` was disturbed."""

    member_id: str
    from_ms: float
    until_ms: float

    def overlaps(self, from_ms: float, until_ms: float) -> bool:
        """Return whether the intervals have a time in common."""
        return self.from_ms <= until_ms and from_ms <= self.until_ms


def unplanned_intervals(history: History) -> tuple[Interval, ...]:
    """Return the interval of each kill, freeze and fault, extended by SETTLE_MS."""
    return (
        *_fault_intervals(history),
        *_kill_intervals(history),
        *_freeze_intervals(history),
    )


class Disturbances:
    """The unplanned faults of a run, which may explain the outcome of a request.

    A fault of an entry affects the requests sent to it; a fault of a sidecar or its
    endpoint affects those for its service. A booking depends on the store and on the
    entries and sidecars of earlier requests with its key, so any fault may explain it.
    """

    def __init__(self, history: History) -> None:
        self.intervals = unplanned_intervals(history)
        self._service_by_member = {
            each.member_id: each.service for each in history.of(EndpointSeen)
        }

    def may_explain(
        self, request: RequestSeen, from_ms: float, until_ms: float
    ) -> bool:
        """Return whether a fault in this period may explain the request's outcome."""
        return any(
            fault.overlaps(from_ms, until_ms) and self._affects(fault, request)
            for fault in self.intervals
        )

    def entry_was_disturbed(self, request: RequestSeen) -> bool:
        """Return whether its entry was disturbed while the request was open."""
        return any(
            fault.member_id == request.entry
            and fault.overlaps(request.sent_ms, request.ended_ms)
            for fault in self.intervals
        )

    def _affects(self, fault: Interval, request: RequestSeen) -> bool:
        service = self._service_by_member.get(fault.member_id)
        is_related = fault.member_id == request.entry or service == request.service
        return bool(request.key) or is_related


def planned_stops(history: History) -> tuple[Interval, ...]:
    """Return the interval of each planned stop, from the signal to the exit."""
    return tuple(_intervals_between(history, MemberChange.DRAIN, MemberChange.STOPPED))


def _fault_intervals(history: History) -> Iterator[Interval]:
    for fault in history.of(FaultSeen):
        if fault.name in TOLERATED_FAULTS:
            continue
        yield Interval(fault.target, fault.from_ms, fault.until_ms + SETTLE_MS)


def _kill_intervals(history: History) -> Iterator[Interval]:
    for seen in history.of(MemberSeen):
        failed = seen.change is MemberChange.STOPPED and seen.exit_code not in (0, None)
        if seen.change is MemberChange.KILLED or failed:
            yield Interval(seen.member_id, seen.at_ms, seen.at_ms + SETTLE_MS)


def _freeze_intervals(history: History) -> Iterator[Interval]:
    for span in _intervals_between(history, MemberChange.FROZEN, MemberChange.THAWED):
        yield Interval(span.member_id, span.from_ms, span.until_ms + SETTLE_MS)


def _intervals_between(
    history: History, begin: MemberChange, end: MemberChange
) -> Iterator[Interval]:
    """Yield the interval from each `begin` of a process to its `end` or its kill.

    Each start of a member is a separate process. An interval without an end is open.
    """
    open_by_member: dict[tuple[str, int], float] = {}
    for seen in sorted(history.of(MemberSeen), key=lambda each: each.at_ms):
        key = (seen.member_id, seen.start)
        if seen.change is begin:
            open_by_member.setdefault(key, seen.at_ms)
        elif seen.change in (end, MemberChange.KILLED) and key in open_by_member:
            yield Interval(seen.member_id, open_by_member.pop(key), seen.at_ms)
    for (member_id, _), from_ms in open_by_member.items():
        yield Interval(member_id, from_ms, inf)
