"""Executes control commands on the endpoint: fenced, one at a time (design 5.2)."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from gevent import Greenlet, sleep, spawn
from structlog import get_logger

from wigeonwind.clock import MS_PER_SECOND, Clock
from wigeonwind.links.link_types import Link
from wigeonwind.links.messages import Order, OrderResult
from wigeonwind.outcomes import Ok
from wigeonwind.side.engine_client import (
    COMMAND_TIMEOUT_MS,
    EngineFailure,
    EngineLoad,
)
from wigeonwind.state.lease import LEASE_KEY, decode_lease_value
from wigeonwind.state.store_types import NotFound, Store

OBSERVE = "observe"
"""Command by which the lease holder only announces its fencing token and reads the
state."""

STALE_FENCE = "old fencing token"
"""Reason given to a former lease holder."""

MAX_PENDING_COMMANDS = 16
"""Most queued commands. There is one lease holder, which waits for each result."""

QUIESCING_ACTIONS = frozenset({"load_model", "change_role"})
"""Commands during which an engine accepts no requests."""

POLL_INTERVAL_MS = 200.0
"""Interval between polls of an engine that executes a command."""

LEASE_READ_RETRY_MS = 1_000.0
"""Interval between attempts to read the lease after the start of the process."""

log = get_logger("wigeonwind.orders")


class CommandTarget(Protocol):
    """The calls to the endpoint that control commands need."""

    def execute_command(self, command: Order) -> EngineFailure | None:
        """Execute a control command; return None on success."""
        ...

    def load(self) -> EngineLoad | EngineFailure:
        """Read the load report, which names the loaded model, version and role."""
        ...


class Quiescer(Protocol):
    """Keeps attempts away from the endpoint while a command changes it."""

    def begin(self) -> None:
        """Stop accepting attempts and block until all have ended."""
        ...

    def end(self) -> None:
        """Accept attempts again."""
        ...


@dataclass
class VersionCounts:
    """Attempts that have ended since the endpoint loaded its model version.

    `attained` counts those that met the latency target of their class.
    """

    ended: int = 0
    failed: int = 0
    attained: int = 0

    def reset(self) -> None:
        """Reset all counts, for another version."""
        self.ended = self.failed = self.attained = 0


class CommandExecutor:
    """Executes one command at a time, and none with a stale fencing token."""

    def __init__(
        self,
        clock: Clock,
        store: Store,
        target: CommandTarget | None,
        quiescer: Quiescer,
        is_ready: Callable[[], bool],
        counts: VersionCounts,
    ) -> None:
        self._counts = counts
        self._clock = clock
        self._quiescer = quiescer
        self._store = store
        self._target = target
        self._is_ready = is_ready
        self._highest_fence = 0
        self._is_lease_read = False
        self._last_applied: Order | None = None
        """None after a failed command, which may still take effect at any time."""
        self._pending: deque[tuple[Link, Order]] = deque()
        self._worker: Greenlet | None = None
        self._reader: Greenlet | None = None

    @property
    def highest_fence(self) -> int:
        """Return the highest fencing token seen."""
        return self._highest_fence

    def start(self) -> None:
        """Start to read the lease; all commands are refused until it has been read."""
        self._reader = spawn(self._read_lease_loop)

    def stop(self) -> None:
        """Stop executing commands."""
        for greenlet in (self._reader, self._worker):
            if greenlet is not None:
                greenlet.kill(block=False)

    def on_command(self, link: Link, command: Order) -> None:
        """Queue, execute or refuse a command; the result is sent on `link`."""
        if not self._is_lease_read:
            self._refuse(
                link, command, "the sidecar has not yet read the lease since its start"
            )
        elif command.fence < self._highest_fence:
            self._refuse(link, command, STALE_FENCE)
        elif len(self._pending) >= MAX_PENDING_COMMANDS:
            self._refuse(link, command, "too many control commands are queued")
        else:
            # From now on commands of earlier lease holders are refused, also queued
            # ones.
            self._highest_fence = command.fence
            self._accept(link, command)

    def _accept(self, link: Link, command: Order) -> None:
        if self._target is None:
            self._refuse(link, command, "this endpoint supports no control commands")
        elif command.action == OBSERVE:
            # A new lease holder must not have to wait for the command of an earlier
            # one.
            spawn(self._send_result, self._target, link, command, "")
        else:
            self._pending.append((link, command))
            self._ensure_worker(self._target)

    def read_lease(self) -> bool:
        """Try to read the lease; return whether its fencing token has been read.

        A missing lease counts as read. An invalid one does not, as there may be a newer
        lease holder.
        """
        found = self._store.get(LEASE_KEY)
        if isinstance(found, NotFound):
            self._is_lease_read = True
        elif isinstance(found, Ok):
            value = decode_lease_value(found.value.value)
            if value is not None:
                self._highest_fence = max(self._highest_fence, value.fence)
                self._is_lease_read = True
        return self._is_lease_read

    def _read_lease_loop(self) -> None:
        while not self.read_lease():
            sleep(LEASE_READ_RETRY_MS / MS_PER_SECOND)

    def _ensure_worker(self, target: CommandTarget) -> None:
        if self._worker is None or self._worker.ready():
            self._worker = spawn(self._execute_pending, target)

    def _execute_pending(self, target: CommandTarget) -> None:
        while self._pending:
            link, command = self._pending.popleft()
            reason = self._execute(target, command)
            log.info(
                "order",
                action=command.action,
                version=command.version,
                fence=command.fence,
                reason=reason,
            )
            self._send_result(target, link, command, reason)

    def _execute(self, target: CommandTarget, command: Order) -> str:
        """Return why the command was not executed, empty on success."""
        if command.action not in QUIESCING_ACTIONS:
            return self._send_to_target(target, command)
        if command.fence < self._highest_fence:
            return STALE_FENCE
        if self._is_already_applied(target, command):
            return ""
        self._quiescer.begin()
        try:
            reason = self._send_to_target(target, command) or self._wait_until_applied(
                target, command
            )
        finally:
            self._quiescer.end()
        self._last_applied = None if reason else command
        return reason

    def _is_already_applied(self, target: CommandTarget, command: Order) -> bool:
        """Return whether the last applied command has had the same effect.

        That command may be one of an earlier lease holder. Quiescing the endpoint again
        would cost capacity for no benefit.
        """
        last = self._last_applied
        if last is None or _effect(last) != _effect(command):
            return False
        load = target.load()
        return not isinstance(load, EngineFailure) and _is_applied(command, load)

    def _send_to_target(self, target: CommandTarget, command: Order) -> str:
        # Checked again: a newer lease holder may have sent a command in the meantime.
        if command.fence < self._highest_fence:
            return STALE_FENCE
        failure = target.execute_command(command)
        if failure is not None:
            return failure.reason or "the endpoint refused the control command"
        if command.action == "load_model":
            self._counts.reset()
        return ""

    def _wait_until_applied(self, target: CommandTarget, command: Order) -> str:
        """Poll the endpoint until it reports the requested state; return an error."""
        started_ms = self._clock.now_ms()
        while self._clock.now_ms() - started_ms < COMMAND_TIMEOUT_MS:
            load = target.load()
            if not isinstance(load, EngineFailure) and _is_applied(command, load):
                return ""
            sleep(POLL_INTERVAL_MS / MS_PER_SECOND)
        return "the endpoint did not report the requested state in time"

    def _send_result(
        self, target: CommandTarget, link: Link, command: Order, reason: str
    ) -> None:
        link.send(self._result(target, command, reason))

    def _result(
        self, target: CommandTarget, command: Order, reason: str
    ) -> OrderResult:
        load = target.load()
        if isinstance(load, EngineFailure):
            load = EngineLoad(0, 0.0, 0.0, "", "", "")
            reason = reason or "the endpoint did not return its load report"
        counts = self._counts
        return OrderResult(
            command.order_id,
            not reason,
            self._highest_fence,
            load.model,
            load.version,
            load.role,
            reason[:500],
            self._is_ready(),
            counts.ended,
            counts.failed,
            counts.attained,
        )

    def _refuse(self, link: Link, command: Order, reason: str) -> None:
        link.send(
            OrderResult(
                command.order_id,
                False,
                self._highest_fence,
                "",
                "",
                "",
                reason,
                self._is_ready(),
            )
        )


def _effect(command: Order) -> tuple[str, str, str, str]:
    return command.action, command.model, command.version, command.role


def _is_applied(command: Order, load: EngineLoad) -> bool:
    if command.action == "change_role":
        return load.role == command.role
    return load.version == command.version and command.model in ("", load.model)
