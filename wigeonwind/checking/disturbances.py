"""When a run was disturbed by something that no promise excludes from harm."""

from collections.abc import Iterator
from dataclasses import dataclass
from math import inf

from wigeonwind.checking.history import (
    FaultSeen,
    History,
    MemberChange,
    MemberSeen,
)

SETTLE_MS = 15_000.0
"""Time after an unplanned fault in which its effects may still be seen.

A link is closed after 5 s of silence, a claim is asked about for 2 s, and an endpoint
that failed is tried again within 5 s.
"""


@dataclass(frozen=True)
class Interval:
    """A time in which `member_id` or a test double did not work as planned."""

    member_id: str
    from_ms: float
    until_ms: float

    def overlaps(self, from_ms: float, until_ms: float) -> bool:
        """Return whether both intervals have a moment in common."""
        return self.from_ms <= until_ms and from_ms <= self.until_ms


def unplanned(history: History) -> tuple[Interval, ...]:
    """Return the time of each kill, freeze and fault, with the time to settle."""
    return (*_faults(history), *_kills(history), *_freezes(history))


def planned_stops(history: History) -> tuple[Interval, ...]:
    """Return the time of each planned stop, from the signal to the end."""
    return tuple(_spans(history, MemberChange.DRAIN, MemberChange.STOPPED))


def _faults(history: History) -> Iterator[Interval]:
    for fault in history.of(FaultSeen):
        yield Interval(fault.target, fault.from_ms, fault.until_ms + SETTLE_MS)


def _kills(history: History) -> Iterator[Interval]:
    for seen in history.of(MemberSeen):
        died = seen.change is MemberChange.STOPPED and seen.exit_code not in (0, None)
        if seen.change is MemberChange.KILLED or died:
            yield Interval(seen.member_id, seen.at_ms, seen.at_ms + SETTLE_MS)


def _freezes(history: History) -> Iterator[Interval]:
    for span in _spans(history, MemberChange.FROZEN, MemberChange.THAWED):
        yield Interval(span.member_id, span.from_ms, span.until_ms + SETTLE_MS)


def _spans(
    history: History, begin: MemberChange, end: MemberChange
) -> Iterator[Interval]:
    open_by_member: dict[tuple[str, int], float] = {}
    for seen in sorted(history.of(MemberSeen), key=lambda each: each.at_ms):
        key = (seen.member_id, seen.start)
        if seen.change is begin:
            open_by_member.setdefault(key, seen.at_ms)
        elif seen.change in (end, MemberChange.KILLED) and key in open_by_member:
            yield Interval(seen.member_id, open_by_member.pop(key), seen.at_ms)
    for (member_id, _), from_ms in open_by_member.items():
        yield Interval(member_id, from_ms, inf)
