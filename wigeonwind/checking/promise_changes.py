"""Checkers of the promises about planned changes: P6 to P8."""

from collections import defaultdict
from collections.abc import Iterator

from wigeonwind.checking.disturbances import (
    Disturbances,
    Interval,
    planned_stops,
    unplanned_intervals,
)
from wigeonwind.checking.history import (
    End,
    ExecutionSeen,
    History,
    MemberChange,
    MemberSeen,
    RequestSeen,
    TextAccepted,
    TextSeen,
)
from wigeonwind.checking.promises import CHECKERS, Violation

LEAVING_GRACE_MS = 2_000.0
"""Time after the signal within which a leaving VM may still begin attempts (P6)."""

CONFIGURATION_APPLY_MS = 19_000.0
"""Time in which a configuration takes effect in all processes (docs/design.md, section
1.4)."""


@CHECKERS.register("P6")
def check_p6(history: History) -> Iterator[Violation]:
    """Check that an endpoint begins no attempt later than 2 s after its VM leaves.

    Statement: between the signal to a sidecar and its exit, its endpoint begins no
    attempt later than 2 s after the signal. Attempts in flight continue. Stops during
    which the sidecar was disturbed, such as frozen or killed, are not checked.
    """
    faults = unplanned_intervals(history)
    for stop in planned_stops(history):
        if _stop_was_disturbed(stop, faults):
            continue
        late = tuple(
            seen
            for seen in history.of(ExecutionSeen)
            if seen.member_id == stop.member_id
            and stop.from_ms + LEAVING_GRACE_MS < seen.at_ms <= stop.until_ms
        )
        if late:
            message = f"{stop.member_id} began {len(late)} attempts while leaving"
            yield Violation("P6", message, late[:5])


def _stop_was_disturbed(stop: Interval, faults: tuple[Interval, ...]) -> bool:
    return any(
        fault.member_id == stop.member_id
        and fault.overlaps(stop.from_ms, stop.until_ms)
        for fault in faults
    )


@CHECKERS.register("P7")
def check_p7(history: History) -> Iterator[Violation]:
    """Check that a planned stop fails no request and exits with code 0.

    Statement: a request that was open during a planned stop, and during no unplanned
    fault or the time to settle after it, ends whole or refused as not run; and the
    stopped process exits with code 0. Violations during a fault that overlaps a stop
    are not detected.
    """
    disturbances = Disturbances(history)
    stops = planned_stops(history)
    for request in history.of(RequestSeen):
        times = (request.sent_ms, request.ended_ms)
        if _ended_as_promised(request) or disturbances.may_explain(request, *times):
            continue
        overlapping = [stop for stop in stops if stop.overlaps(*times)]
        if overlapping:
            names = ", ".join(stop.member_id for stop in overlapping)
            message = f"{request.end.value} {request.outcome} while {names} stopped"
            yield Violation("P7", message, (request,))
    yield from _failed_exits(history)


def _ended_as_promised(request: RequestSeen) -> bool:
    if request.end is End.REFUSED:
        return request.outcome == "not-run"
    return request.end in (End.WHOLE, End.UNREACHED)


def _failed_exits(history: History) -> Iterator[Violation]:
    killed = {
        (seen.member_id, seen.start)
        for seen in history.of(MemberSeen)
        if seen.change is MemberChange.KILLED
    }
    for seen in history.of(MemberSeen):
        is_stop = seen.change is MemberChange.STOPPED
        if is_stop and seen.exit_code and (seen.member_id, seen.start) not in killed:
            message = f"{seen.member_id} exited with code {seen.exit_code}"
            yield Violation("P7", message, (seen,))


@CHECKERS.register("P8")
def check_p8(history: History) -> Iterator[Violation]:
    """Check that accepted configurations take effect everywhere and never revert.

    Statement: a version is accepted once; a process never reports a lower version than
    before within one start; all processes report the same digest for a version; and
    19 s after an acceptance, or after its own start if that is later, an undisturbed
    process reports that version or a higher one. Versions in force between two polls
    are not observed.
    """
    accepted = list(history.of(TextAccepted))
    first_by_version: dict[int, TextAccepted] = {}
    for acceptance in accepted:
        first = first_by_version.setdefault(acceptance.version, acceptance)
        if first is not acceptance:
            message = f"version {acceptance.version} was accepted twice"
            yield Violation("P8", message, (first, acceptance))
    digest_by_version = {
        acceptance.version: acceptance.digest
        for acceptance in accepted
        if acceptance.digest
    }
    seen_by_start: dict[tuple[str, int], list[TextSeen]] = defaultdict(list)
    for seen in sorted(history.of(TextSeen), key=lambda each: each.at_ms):
        seen_by_start[(seen.member_id, seen.start)].append(seen)
        known_digest = digest_by_version.setdefault(seen.version, seen.digest)
        if seen.digest and known_digest and known_digest != seen.digest:
            message = f"version {seen.version} has two digests"
            yield Violation("P8", message, (seen,))
    faults = unplanned_intervals(history)
    for versions_seen in seen_by_start.values():
        yield from _reverted_versions(versions_seen)
        yield from _late_versions(versions_seen, accepted, faults)


def _reverted_versions(versions_seen: list[TextSeen]) -> Iterator[Violation]:
    for before, after in zip(versions_seen, versions_seen[1:], strict=False):
        if after.version < before.version:
            message = f"{after.member_id} reverted to version {after.version}"
            yield Violation("P8", message, (before, after))


def _late_versions(
    versions_seen: list[TextSeen],
    accepted: list[TextAccepted],
    faults: tuple[Interval, ...],
) -> Iterator[Violation]:
    for acceptance in accepted:
        due_ms = max(acceptance.at_ms, versions_seen[0].at_ms) + CONFIGURATION_APPLY_MS
        for seen in versions_seen:
            if seen.at_ms < due_ms or seen.version >= acceptance.version:
                continue
            if not _was_disturbed(seen, acceptance.at_ms, faults):
                message = f"{seen.member_id} did not apply version {acceptance.version}"
                yield Violation("P8", message, (acceptance, seen))
                break


def _was_disturbed(
    seen: TextSeen, since_ms: float, faults: tuple[Interval, ...]
) -> bool:
    return any(
        fault.member_id == seen.member_id and fault.overlaps(since_ms, seen.at_ms)
        for fault in faults
    )
