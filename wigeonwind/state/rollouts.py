"""Plans model rollouts: from the observed endpoints to the next steps, without I/O.

Between calls the planner keeps only the start of the soak period and the counts at that
time, so a new lease holder can continue from the endpoints and the stored record alone.
"""

import json
from collections import Counter
from collections.abc import Iterator
from dataclasses import asdict, dataclass, replace
from enum import Enum

import msgspec

MAX_LOADING_SHARE = 0.2
"""Share of a service's endpoints that may be out of service for loading, at least one.
"""

SOAK_MS = 30_000.0
"""Soak period: the first converted endpoint serves this long before the others load."""

MIN_SAMPLES = 20
"""Ended attempts of the new version that are needed to judge it."""

MAX_SOAK_PERIODS = 10
"""Soak periods after which the planner stops waiting for MIN_SAMPLES."""

MIN_REQUEST_SHARE = 0.25
"""Attempts that an endpoint with the new version must have ended when MAX_SOAK_PERIODS
have passed, as a share of those of an endpoint with the old version.

Entries send less to an endpoint that is slower than its peers, so a bad version may
never collect MIN_SAMPLES while the others are busy.
"""

MAX_REGRESSION = 0.05
"""Decrease of attainment or increase of errors, as a share, that halts a rollout."""


@dataclass(frozen=True)
class RolloutTimings:
    """Durations of a rollout in milliseconds; tests use shorter ones.

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
    """The stored state of a rollout, under the key `rolls/<service>`.

    `target` and `previous` are model versions; a halted rollout returns to `previous`.
    """

    service: str
    target: str
    previous: str
    verdict: Verdict
    reason: str = ""

    def to_bytes(self) -> bytes:
        """Return the record as JSON."""
        return json.dumps({**asdict(self), "verdict": self.verdict.value}).encode()


_decode_record = msgspec.json.Decoder(RolloutRecord).decode


def decode_rollout_record(data: bytes) -> RolloutRecord | None:
    """Return a stored record, or None if it is malformed."""
    try:
        return _decode_record(data)
    except (ValueError, RecursionError):
        return None


@dataclass(frozen=True)
class EndpointView:
    """One endpoint as reported by its sidecar.

    `ended` counts the attempts since the version was loaded, `failed` and `attained`
    those of them that failed or met their latency target. An endpoint that did not
    respond is not ready and has an empty `version`.
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
    """Store this record before the steps that follow."""

    record: RolloutRecord


@dataclass(frozen=True)
class LoadVersion:
    """Send this endpoint the control command to load the version."""

    endpoint_id: str
    version: str


RolloutStep = StoreRecord | LoadVersion


@dataclass(frozen=True)
class _Quality:
    ended: int
    failed_share: float
    attained_share: float


def _measure_quality(views: list[EndpointView]) -> _Quality:
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
        self._soak_start_ms: float | None = None
        self._ended_at_soak_start_by_id: dict[str, int] = {}

    def plan(
        self,
        target: str,
        record: RolloutRecord | None,
        views: list[EndpointView],
        now_ms: float,
    ) -> Iterator[RolloutStep]:
        """Yield the next steps; none while the rollout waits or has nothing to do."""
        if not views or not target:
            return
        if record is None or record.target != target:
            yield from self._start(target, record, views)
        elif record.verdict is Verdict.RUNNING:
            yield from self._continue(record, views, now_ms)
        elif record.verdict is Verdict.HALTED:
            yield from self._convert(record.previous, views, len(views))
        else:
            # A replaced VM may start with another version than the one in force.
            yield from self._convert(record.target, views, len(views))

    def _start(
        self, target: str, record: RolloutRecord | None, views: list[EndpointView]
    ) -> Iterator[RolloutStep]:
        self._soak_start_ms = None
        verdict = Verdict.RUNNING
        if all(view.version == target for view in views):
            verdict = Verdict.DONE
        previous = _last_good_version(record) or _most_common_version(views)
        yield StoreRecord(RolloutRecord(self._service, target, previous, verdict))

    def _continue(
        self, record: RolloutRecord, views: list[EndpointView], now_ms: float
    ) -> Iterator[RolloutStep]:
        new = [view for view in views if view.version == record.target]
        old = [view for view in views if view.version != record.target]
        soaked_ms = self._soaked_ms(new, old, now_ms)
        ended = self._ended_since_soak_start(old)
        # If the service gets no requests, there are no samples to wait for.
        can_be_judged = _measure_quality(new).ended >= MIN_SAMPLES or not ended
        is_soak_limit_reached = soaked_ms >= MAX_SOAK_PERIODS * self._soak_ms
        reason = _regression(_measure_quality(new), _measure_quality(old))
        if (
            is_soak_limit_reached
            and not can_be_judged
            and _receives_too_few_requests(new, ended / len(old))
        ):
            reason = "entries send too few requests to the new version to judge it"
        if reason:
            halted = replace(record, verdict=Verdict.HALTED, reason=reason)
            yield StoreRecord(halted)
        elif not old:
            yield StoreRecord(replace(record, verdict=Verdict.DONE))
        elif soaked_ms >= self._soak_ms and (can_be_judged or is_soak_limit_reached):
            yield from self._convert(record.target, views, len(views))
        elif not new:
            yield from self._convert(record.target, views, 1)

    def _soaked_ms(
        self, new: list[EndpointView], old: list[EndpointView], now_ms: float
    ) -> float:
        """Return how long the new version has served in ms, -1 if it does not serve."""
        if not any(view.ready for view in new):
            self._soak_start_ms = None
            return -1.0
        if self._soak_start_ms is None:
            self._soak_start_ms = now_ms
            self._ended_at_soak_start_by_id = {
                view.endpoint_id: view.ended for view in old
            }
        return now_ms - self._soak_start_ms

    def _ended_since_soak_start(self, old: list[EndpointView]) -> int:
        """Return the attempts that `old` ended since the new version began to serve."""
        before = self._ended_at_soak_start_by_id
        return sum(
            max(0, view.ended - before.get(view.endpoint_id, view.ended))
            for view in old
        )

    def _convert(
        self, version: str, views: list[EndpointView], limit: int
    ) -> Iterator[RolloutStep]:
        """Load `version` on endpoints out of service and on a few others of one zone.

        At most `limit` of the others, and no more than MAX_LOADING_SHARE permits.
        """
        pending = [view for view in views if view.version != version]
        out_of_service = [view for view in views if not view.ready]
        allowed = max(1, int(len(views) * MAX_LOADING_SHARE))
        available_loads = min(limit, allowed - len(out_of_service))
        # Loading on an endpoint that is already out of service costs no capacity.
        pending.sort(key=lambda view: (view.ready, view.zone, view.endpoint_id))
        zones = {view.zone for view in out_of_service} or {
            view.zone for view in pending[:1]
        }
        for view in pending:
            if not view.ready:
                yield LoadVersion(view.endpoint_id, version)
            elif available_loads > 0 and view.zone in zones:
                available_loads -= 1
                yield LoadVersion(view.endpoint_id, version)


def _last_good_version(record: RolloutRecord | None) -> str:
    if record is None:
        return ""
    return record.target if record.verdict is Verdict.DONE else record.previous


def _most_common_version(views: list[EndpointView]) -> str:
    counts = Counter(view.version for view in views if view.version)
    return max(sorted(counts), key=lambda version: counts[version], default="")


def _receives_too_few_requests(
    new: list[EndpointView], ended_per_old_endpoint: float
) -> bool:
    ended = _measure_quality(new).ended / max(1, len(new))
    # One attempt more or less is not significant.
    return ended + 1 < MIN_REQUEST_SHARE * ended_per_old_endpoint


def _regression(new: _Quality, old: _Quality) -> str:
    """Return why the new version is worse, or an empty string if it is not."""
    if new.ended < MIN_SAMPLES:
        return ""
    if new.failed_share > old.failed_share + MAX_REGRESSION:
        return f"error rate rose from {old.failed_share:.1%} to {new.failed_share:.1%}"
    if new.attained_share < old.attained_share - MAX_REGRESSION:
        share = f"{old.attained_share:.1%} to {new.attained_share:.1%}"
        return f"attainment fell from {share}"
    return ""
