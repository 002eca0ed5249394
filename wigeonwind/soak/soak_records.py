"""Records of callers, workers and injected faults in one soak run.

All times are monotonic milliseconds of the process that runs the soak.
"""

import time
from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import Enum

from wigeonwind.clock import MS_PER_SECOND

SETTLE_MS = 3_000.0
"""Time after a disturbance in which promises with a time bound are not checked; the
platform names it `contact_ms`."""

STORE = "store"
ALL_TARGETS = "everything"
"""Target of a disturbance that counts for every target."""


PART_CRASH = "part-crash"
"""Fault name of the disturbances in which a prompt part has crashed a worker."""


def soak_now_ms() -> float:
    """Return the current time on the clock of the records."""
    return time.monotonic() * MS_PER_SECOND


class Kind(Enum):
    """Kinds of request, most of which are named after their route."""

    SAFE = "safe"
    ONCE = "once"
    STREAM = "stream"
    RESUMABLE = "resume"
    UNKNOWN_KEY = "unknown-key"
    REVOKED_KEY = "revoked-key"
    MOVED = "moved"
    """Configuration changes move its route between the two services."""
    CRASHING = "crashing"
    """Its prompt contains a part that crashes workers; its route is that of STREAM."""


@dataclass
class ExchangeSeen:
    """One request and its response as the caller saw them.

    `status` is 0 if no response began; `signature` names the worker that executed the
    request, as the response states.
    """

    request_id: str
    kind: Kind
    router: str
    sent_ms: float
    ended_ms: float = 0.0
    status: int = 0
    body: bytes = b""
    signature: str = ""
    prompt_parts: tuple[int, ...] = ()
    """Ids of the parts of the prompt; the last one belongs to the request itself."""
    is_whole: bool = False
    is_connected: bool = True
    was_left: bool = False
    """Whether the caller closed the connection before the response ended."""
    is_extra: bool = False
    """Whether bytes that do not belong to the response followed it."""
    is_sent_whole: bool = True
    """Whether all of the request was written; a router may have closed before."""


@dataclass(frozen=True)
class RunSeen:
    """A request that a worker began to execute."""

    request_id: str
    worker: str
    service: str
    at_ms: float
    customer: str
    has_key: bool


@dataclass
class Disturbance:
    """A fault or a planned stop of one target."""

    target: str
    fault: str
    begin_ms: float
    end_ms: float = float("inf")


@dataclass
class Silence:
    """A time in which a sound worker sent nothing; it is no disturbance."""

    worker: str
    begin_ms: float
    end_ms: float = float("inf")


@dataclass
class CrashingPart:
    """A prompt part that crashed each engine for a time, and when it did."""

    part_id: int
    begin_ms: float
    end_ms: float = float("inf")
    crash_times_ms: list[float] = field(default_factory=list)


@dataclass(frozen=True)
class ConfigSeen:
    """A configuration, as acknowledged by the store."""

    version: int
    acknowledged_ms: float
    moved_service: str
    revoked_is_valid: bool


@dataclass(frozen=True)
class DrainSeen:
    """The drain of a worker, as acknowledged by the store."""

    worker: str
    acknowledged_ms: float


@dataclass(frozen=True)
class EndSeen:
    """The exit of a router; `was_asked` tells whether the soak stopped or killed it.

    For one that was asked, `after_ms` is the time from the signal until the soak
    noticed the exit, and `loop_lag_ms` the longest delay of the soak's own event loop
    in that time. `last_log_line` is the last line of a router that had to be killed at
    the limit of its planned stop.
    """

    router: str
    at_ms: float
    exit_code: int
    was_asked: bool
    after_ms: float = 0.0
    loop_lag_ms: float = 0.0
    last_log_line: str = ""


@dataclass
class SoakHistory:
    """All records of a run."""

    exchanges: list[ExchangeSeen] = field(default_factory=list)
    runs: list[RunSeen] = field(default_factory=list)
    disturbances: list[Disturbance] = field(default_factory=list)
    silences: list[Silence] = field(default_factory=list)
    crashing_parts: list[CrashingPart] = field(default_factory=list)
    configs: list[ConfigSeen] = field(default_factory=list)
    drains: list[DrainSeen] = field(default_factory=list)
    ends: list[EndSeen] = field(default_factory=list)
    unready: list[str] = field(default_factory=list)
    """Routers that were not ready at the end of the run, after all faults."""

    def runs_by_id(self) -> dict[str, list[RunSeen]]:
        """Return the executions of each request by its id."""
        found: dict[str, list[RunSeen]] = defaultdict(list)
        for run in self.runs:
            found[run.request_id].append(run)
        return found

    def disturbances_of(
        self, targets: tuple[str, ...], begin_ms: float, end_ms: float
    ) -> Iterator[Disturbance]:
        """Yield disturbances of targets from `begin_ms` - SETTLE_MS to `end_ms`."""
        for each in self.disturbances:
            if each.target != ALL_TARGETS and each.target not in targets:
                continue
            if each.begin_ms <= end_ms and each.end_ms >= begin_ms - SETTLE_MS:
                yield each

    def is_undisturbed(
        self, targets: tuple[str, ...], begin_ms: float, end_ms: float
    ) -> bool:
        """Return whether `disturbances_of` the targets finds none in that time."""
        return not any(self.disturbances_of(targets, begin_ms, end_ms))
