"""Orders to the endpoint: fencing, and one at a time (design 5.2)."""

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
"""Order of a leader that only announces its fencing token and asks for the state."""

OLD_FENCE = "old fencing token"
"""Reason given to a leader that has been replaced."""

MAX_PENDING = 16
"""Orders that may wait; there is one leader, which waits for each answer."""

STOPPING_ACTIONS = frozenset({"load_model", "change_role"})
"""Orders during which an engine takes no request."""

POLL_MS = 200.0
"""Interval between looks at an engine that carries out an order."""

READ_RETRY_MS = 1_000.0
"""Interval between attempts to read the lease after the start."""

log = get_logger("wigeonwind.orders")


class CommandTarget(Protocol):
    """The endpoint as far as orders are concerned."""

    def order(self, order: Order) -> EngineFailure | None:
        """Carry out an order; None when it is done."""
        ...

    def load(self) -> EngineLoad | EngineFailure:
        """Read what the endpoint has loaded."""
        ...


class Quiescer(Protocol):
    """Keeps work away from the endpoint while it is changed."""

    def begin(self) -> None:
        """Let no new work in and block until none is left."""
        ...

    def end(self) -> None:
        """Let work in again."""
        ...


@dataclass
class VersionCounts:
    """Requests since the endpoint's version was loaded."""

    ended: int = 0
    failed: int = 0
    attained: int = 0

    def reset(self) -> None:
        """Start again for another version."""
        self.ended = self.failed = self.attained = 0


class CommandExecutor:
    """Lets through one order at a time, and none with an old fencing token."""

    def __init__(
        self,
        clock: Clock,
        store: Store,
        target: CommandTarget | None,
        work_stop: Quiescer,
        is_ready: Callable[[], bool],
        counts: VersionCounts,
    ) -> None:
        self._counts = counts
        self._clock = clock
        self._work_stop = work_stop
        self._store = store
        self._target = target
        self._is_ready = is_ready
        self._highest_fence = 0
        self._is_lease_read = False
        self._last_done: Order | None = None
        """None after a failed order, which may still take effect at any time."""
        self._pending: deque[tuple[Link, Order]] = deque()
        self._worker: Greenlet | None = None
        self._reader: Greenlet | None = None

    @property
    def highest_fence(self) -> int:
        """Return the highest fencing token seen."""
        return self._highest_fence

    def start(self) -> None:
        """Begin to read the lease; until it is read all orders are refused."""
        self._reader = spawn(self._read_until_known)

    def stop(self) -> None:
        """Carry out no further order."""
        for greenlet in (self._reader, self._worker):
            if greenlet is not None:
                greenlet.kill(block=False)

    def on_order(self, link: Link, order: Order) -> None:
        """Take an order; its answer goes to `link`."""
        if not self._is_lease_read:
            self._refuse(link, order, "the lease has not been read since the start")
        elif order.fence < self._highest_fence:
            self._refuse(link, order, OLD_FENCE)
        elif len(self._pending) >= MAX_PENDING:
            self._refuse(link, order, "too many orders wait")
        else:
            # From now on orders of an older leader are refused, waiting ones too.
            self._highest_fence = order.fence
            self._take(link, order)

    def _take(self, link: Link, order: Order) -> None:
        if self._target is None:
            self._refuse(link, order, "this endpoint takes no orders")
        elif order.action == OBSERVE:
            # A new leader must not wait for the order of an older one.
            spawn(self._answer, self._target, link, order, "")
        else:
            self._pending.append((link, order))
            self._ensure_worker(self._target)

    def read_lease(self) -> bool:
        """Read the lease once; True when its fencing token is known.

        An object that cannot be read is no proof that there is no newer leader.
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

    def _read_until_known(self) -> None:
        while not self.read_lease():
            sleep(READ_RETRY_MS / MS_PER_SECOND)

    def _ensure_worker(self, target: CommandTarget) -> None:
        if self._worker is None or self._worker.ready():
            self._worker = spawn(self._work, target)

    def _work(self, target: CommandTarget) -> None:
        while self._pending:
            link, order = self._pending.popleft()
            reason = self._carry_out(target, order)
            log.info(
                "order",
                action=order.action,
                version=order.version,
                fence=order.fence,
                reason=reason,
            )
            self._answer(target, link, order, reason)

    def _carry_out(self, target: CommandTarget, order: Order) -> str:
        """Return why the order was not carried out, or an empty text."""
        if order.action not in STOPPING_ACTIONS:
            return self._give(target, order)
        if order.fence < self._highest_fence:
            return OLD_FENCE
        if self._is_done_already(target, order):
            return ""
        self._work_stop.begin()
        try:
            reason = self._give(target, order) or self._wait_in_force(target, order)
        finally:
            self._work_stop.end()
        self._last_done = None if reason else order
        return reason

    def _is_done_already(self, target: CommandTarget, order: Order) -> bool:
        """Return whether the last order, of an earlier leader, has had this effect.

        Stopping the work again would cost capacity for nothing.
        """
        last = self._last_done
        if last is None or _effect(last) != _effect(order):
            return False
        load = target.load()
        return not isinstance(load, EngineFailure) and _is_in_force(order, load)

    def _give(self, target: CommandTarget, order: Order) -> str:
        # Checked last: a newer leader may have spoken while the work ended.
        if order.fence < self._highest_fence:
            return OLD_FENCE
        failure = target.order(order)
        if failure is not None:
            return failure.reason or "the endpoint refused the order"
        if order.action == "load_model":
            self._counts.reset()
        return ""

    def _wait_in_force(self, target: CommandTarget, order: Order) -> str:
        """Wait until the endpoint reports what was ordered."""
        began_ms = self._clock.now_ms()
        while self._clock.now_ms() - began_ms < COMMAND_TIMEOUT_MS:
            load = target.load()
            if not isinstance(load, EngineFailure) and _is_in_force(order, load):
                return ""
            sleep(POLL_MS / MS_PER_SECOND)
        return "the endpoint did not report what was ordered in time"

    def _answer(
        self, target: CommandTarget, link: Link, order: Order, reason: str
    ) -> None:
        link.send(self._result(target, order, reason))

    def _result(self, target: CommandTarget, order: Order, reason: str) -> OrderResult:
        load = target.load()
        if isinstance(load, EngineFailure):
            load = EngineLoad(0, 0.0, 0.0, "", "", "")
            reason = reason or "the endpoint does not report its state"
        counts = self._counts
        return OrderResult(
            order.order_id,
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

    def _refuse(self, link: Link, order: Order, reason: str) -> None:
        link.send(
            OrderResult(
                order.order_id,
                False,
                self._highest_fence,
                "",
                "",
                "",
                reason,
                self._is_ready(),
            )
        )


def _effect(order: Order) -> tuple[str, str, str, str]:
    return order.action, order.model, order.version, order.role


def _is_in_force(order: Order, load: EngineLoad) -> bool:
    if order.action == "change_role":
        return load.role == order.role
    return load.version == order.version and order.model in ("", load.model)
