"""Model rollouts as a pure plan: from what is seen to the next steps.

The planner keeps nothing between calls but the time at which it saw things, so that a
new leader goes on from the endpoints and the stored record alone.
"""

import json
from collections import Counter
from collections.abc import Iterator
from dataclasses import asdict, dataclass, replace
from enum import Enum

MAX_LOADING_SHARE = 0.2
"""Share of a service's endpoints that may be out of service for loading."""

SOAK_MS = 30_000.0
"""Time the first converted endpoint serves before the others follow."""

MIN_SAMPLES = 20
"""Ended requests on the new version before it can be judged."""

MAX_SOAK_PERIODS = 10
"""Soak times for which a version with fewer than MIN_SAMPLES is waited for."""

MIN_REQUEST_SHARE = 0.25
"""Work that an endpoint with the new version must have got by then, against the others.

Entries send less to an endpoint that is slower than its peers, so a bad version may
never collect MIN_SAMPLES while the others are busy.
"""

MAX_REGRESSION = 0.05
"""Attainment lost or errors gained, as a share, that halt a rollout."""


@dataclass(frozen=True)
class RolloutTimings:
    """Times of a rollout in milliseconds; tests use shorter ones.

    `poll_interval_ms` is the interval between polls of the endpoints during a rollout,
    `idle_poll_interval_ms` the interval when no rollout is running.
    """

    soak_ms: float = SOAK_MS
    poll_interval_ms: float = 5_000.0
    idle_poll_interval_ms: float = 60_000.0


class Verdict(Enum):
    """State of a rollout."""

    RUNNING = "running"
    HALTED = "halted"
    DONE = "done"


@dataclass(frozen=True)
class RolloutRecord:
    """What the store keeps of a rollout, under `rolls/<service>`."""

    service: str
    target: str
    previous: str
    verdict: Verdict
    reason: str = ""

    def to_bytes(self) -> bytes:
        """Return the stored form."""
        return json.dumps({**asdict(self), "verdict": self.verdict.value}).encode()


def decode_rollout_record(data: bytes) -> RolloutRecord | None:
    """Return a stored record, or None if it cannot be read."""
    try:
        fields = json.loads(data)
        fields["verdict"] = Verdict(fields["verdict"])
        return RolloutRecord(**fields)
    except (ValueError, KeyError, TypeError):
        return None


@dataclass(frozen=True)
class EndpointView:
    """One endpoint as its sidecar described it; counts are since the version loaded.

    An endpoint that gave no answer is not ready and has no `version`.
    """

    endpoint_id: str
    zone: str
    version: str
    ready: bool
    ended: int = 0
    failed: int = 0
    attained: int = 0


@dataclass(frozen=True)
class StoreRecord:
    """Store this record before anything else is done."""

    record: RolloutRecord


@dataclass(frozen=True)
class LoadVersion:
    """Order this endpoint to load the version."""

    endpoint_id: str
    version: str


RolloutStep = StoreRecord | LoadVersion


@dataclass(frozen=True)
class _Quality:
    ended: int
    failed_share: float
    attained_share: float


def _quality(views: list[EndpointView]) -> _Quality:
    ended = sum(view.ended for view in views)
    if not ended:
        return _Quality(0, 0.0, 1.0)
    failed = sum(view.failed for view in views)
    attained = sum(view.attained for view in views)
    return _Quality(ended, failed / ended, attained / ended)


class RolloutPlanner:
    """Plans the rollout of one service."""

    def __init__(self, service: str, soak_ms: float = SOAK_MS) -> None:
        self._service = service
        self._soak_ms = soak_ms
        self._first_converted_ms: float | None = None
        self._ended_before_by_id: dict[str, int] = {}

    def plan(
        self,
        target: str,
        record: RolloutRecord | None,
        views: list[EndpointView],
        now_ms: float,
    ) -> Iterator[RolloutStep]:
        """Yield the next steps; empty while there is nothing to do or to wait for."""
        if not views or not target:
            return
        if record is None or record.target != target:
            yield from self._begin(target, record, views)
        elif record.verdict is Verdict.RUNNING:
            yield from self._advance(record, views, now_ms)
        elif record.verdict is Verdict.HALTED:
            yield from self._convert(record.previous, views, len(views))
        else:
            # A replaced VM may come up with another version than the one in force.
            yield from self._convert(record.target, views, len(views))

    def _begin(
        self, target: str, record: RolloutRecord | None, views: list[EndpointView]
    ) -> Iterator[RolloutStep]:
        self._first_converted_ms = None
        verdict = Verdict.RUNNING
        if all(view.version == target for view in views):
            verdict = Verdict.DONE
        previous = _last_good(record) or _most_common_version(views)
        yield StoreRecord(RolloutRecord(self._service, target, previous, verdict))

    def _advance(
        self, record: RolloutRecord, views: list[EndpointView], now_ms: float
    ) -> Iterator[RolloutStep]:
        new = [view for view in views if view.version == record.target]
        old = [view for view in views if view.version != record.target]
        soaked_ms = self._soaked_ms(new, old, now_ms)
        ended = self._ended_since(old)
        is_judged = _quality(new).ended >= MIN_SAMPLES or not ended
        is_waited_out = soaked_ms >= MAX_SOAK_PERIODS * self._soak_ms
        reason = _worsened(_quality(new), _quality(old))
        if is_waited_out and not is_judged and _is_avoided(new, ended / len(old)):
            reason = "entries send little work to the new version"
        if reason:
            halted = replace(record, verdict=Verdict.HALTED, reason=reason)
            yield StoreRecord(halted)
        elif not old:
            yield StoreRecord(replace(record, verdict=Verdict.DONE))
        elif soaked_ms >= self._soak_ms and (is_judged or is_waited_out):
            yield from self._convert(record.target, views, len(views))
        elif not new:
            yield from self._convert(record.target, views, 1)

    def _soaked_ms(
        self, new: list[EndpointView], old: list[EndpointView], now_ms: float
    ) -> float:
        """Return for how long the new version has served, -1 if it does not."""
        if not any(view.ready for view in new):
            self._first_converted_ms = None
            return -1.0
        if self._first_converted_ms is None:
            self._first_converted_ms = now_ms
            self._ended_before_by_id = {view.endpoint_id: view.ended for view in old}
        return now_ms - self._first_converted_ms

    def _ended_since(self, old: list[EndpointView]) -> int:
        """Return what the others ended since the new version began to serve."""
        before = self._ended_before_by_id
        return sum(
            max(0, view.ended - before.get(view.endpoint_id, view.ended))
            for view in old
        )

    def _convert(
        self, version: str, views: list[EndpointView], most: int
    ) -> Iterator[RolloutStep]:
        """Load `version` on a few endpoints of one zone at a time."""
        waiting = [view for view in views if view.version != version]
        busy = [view for view in views if not view.ready]
        allowed = max(1, int(len(views) * MAX_LOADING_SHARE))
        room = min(most, allowed - len(busy))
        # An endpoint that is out of service already loses nothing by loading.
        waiting.sort(key=lambda view: (view.ready, view.zone, view.endpoint_id))
        zones = {view.zone for view in busy} or {view.zone for view in waiting[:1]}
        for view in waiting:
            if not view.ready:
                yield LoadVersion(view.endpoint_id, version)
            elif room > 0 and view.zone in zones:
                room -= 1
                yield LoadVersion(view.endpoint_id, version)


def _last_good(record: RolloutRecord | None) -> str:
    if record is None:
        return ""
    return record.target if record.verdict is Verdict.DONE else record.previous


def _most_common_version(views: list[EndpointView]) -> str:
    counts = Counter(view.version for view in views if view.version)
    return max(sorted(counts), key=lambda version: counts[version], default="")


def _is_avoided(new: list[EndpointView], ended_by_each_other: float) -> bool:
    ended = _quality(new).ended / max(1, len(new))
    # A single request more or less says nothing.
    return ended + 1 < MIN_REQUEST_SHARE * ended_by_each_other


def _worsened(new: _Quality, old: _Quality) -> str:
    """Return why the new version is worse, or an empty string."""
    if new.ended < MIN_SAMPLES:
        return ""
    if new.failed_share > old.failed_share + MAX_REGRESSION:
        return f"errors rose from {old.failed_share:.1%} to {new.failed_share:.1%}"
    if new.attained_share < old.attained_share - MAX_REGRESSION:
        share = f"{old.attained_share:.1%} to {new.attained_share:.1%}"
        return f"attainment fell from {share}"
    return ""
