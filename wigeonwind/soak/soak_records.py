"""What callers and workers saw in one soak run, and what was done to the system.

All times are monotonic milliseconds of the one process that runs the soak.
"""

import time
from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import Enum

from wigeonwind.clock import MS_PER_SECOND

SETTLE_MS = 3_000.0
"""Time after a disturbance for which promises with a bound are not judged; the pages
of the platform name it `contact_ms`."""

STORE = "store"
ALL_TARGETS = "everything"


def soak_now_ms() -> float:
    """Return the time of all records."""
    return time.monotonic() * MS_PER_SECOND


class Kind(Enum):
    """Kinds of request, as their routes say."""

    SAFE = "safe"
    ONCE = "once"
    STREAM = "stream"
    RESUMABLE = "resume"
    UNKNOWN_KEY = "unknown-key"
    REVOKED_KEY = "revoked-key"
    MOVED = "moved"
    """Its route moves between services with each configuration."""


@dataclass
class ExchangeSeen:
    """One request and its answer as the caller saw it."""

    request_id: str
    kind: Kind
    router: str
    sent_ms: float
    ended_ms: float = 0.0
    status: int = 0
    body: bytes = b""
    signature: str = ""
    is_whole: bool = False
    is_connected: bool = True
    was_left: bool = False
    """The caller closed the connection before the answer ended."""
    is_extra: bool = False
    """Bytes of another answer came with the own one."""


@dataclass(frozen=True)
class RunSeen:
    """A request that a worker began."""

    request_id: str
    worker: str
    service: str
    at_ms: float
    customer: str
    has_key: bool


@dataclass
class Disturbance:
    """Something unplanned, or a planned stop, of one target."""

    target: str
    fault: str
    begin_ms: float
    end_ms: float = float("inf")


@dataclass(frozen=True)
class ConfigSeen:
    """A configuration that the store has acknowledged."""

    version: int
    acknowledged_ms: float
    moved_service: str
    revoked_is_valid: bool


@dataclass(frozen=True)
class DrainSeen:
    """A worker whose leaving the store has acknowledged."""

    worker: str
    acknowledged_ms: float


@dataclass(frozen=True)
class EndSeen:
    """A router that ended, and its exit code; `was_asked` if it was told to."""

    router: str
    at_ms: float
    exit_code: int
    was_asked: bool


@dataclass
class SoakHistory:
    """Everything that was seen."""

    exchanges: list[ExchangeSeen] = field(default_factory=list)
    runs: list[RunSeen] = field(default_factory=list)
    disturbances: list[Disturbance] = field(default_factory=list)
    configs: list[ConfigSeen] = field(default_factory=list)
    drains: list[DrainSeen] = field(default_factory=list)
    ends: list[EndSeen] = field(default_factory=list)
    unready: list[str] = field(default_factory=list)
    """Routers that were not ready at the end, when all faults were over."""

    def runs_by_id(self) -> dict[str, list[RunSeen]]:
        """Return the runs of each request."""
        found: dict[str, list[RunSeen]] = defaultdict(list)
        for run in self.runs:
            found[run.request_id].append(run)
        return found

    def disturbances_of(
        self, targets: tuple[str, ...], begin_ms: float, end_ms: float
    ) -> Iterator[Disturbance]:
        """Yield what harmed a target from SETTLE_MS before `begin_ms` to `end_ms`."""
        for each in self.disturbances:
            if each.target != ALL_TARGETS and each.target not in targets:
                continue
            if each.begin_ms <= end_ms and each.end_ms >= begin_ms - SETTLE_MS:
                yield each

    def is_undisturbed(
        self, targets: tuple[str, ...], begin_ms: float, end_ms: float
    ) -> bool:
        """Return whether nothing harmed the targets in that time."""
        return not any(self.disturbances_of(targets, begin_ms, end_ms))
