"""Orders to the endpoint: fencing, and one at a time (design 5.2)."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from gevent import Greenlet, sleep, spawn
from structlog import get_logger

from wigeonwind.clock import MS_PER_SECOND
from wigeonwind.links.link_types import Link
from wigeonwind.links.messages import Order, OrderResult
from wigeonwind.outcomes import Ok
from wigeonwind.roles.engine_client import EngineFailure, EngineLoad
from wigeonwind.state.lease import LEASE_KEY, read_lease_value
from wigeonwind.state.store_types import NotFound, Store

OBSERVE = "observe"
"""Order of a leader that only announces its fencing token and asks for the state."""

MAX_PENDING = 16
"""Orders that may wait; there is one leader, which waits for each answer."""

READ_RETRY_MS = 1_000.0
"""Interval between attempts to read the lease after the start."""

log = get_logger("wigeonwind.orders")


class OrderTarget(Protocol):
    """The endpoint as far as orders are concerned."""

    def order(self, order: Order) -> EngineFailure | None:
        """Carry out an order; None when it is done."""
        ...

    def load(self) -> EngineLoad | EngineFailure:
        """Read what the endpoint has loaded."""
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


class OrderGate:
    """Lets through one order at a time, and none with an old fencing token."""

    def __init__(
        self,
        store: Store,
        target: OrderTarget | None,
        is_ready: Callable[[], bool],
    ) -> None:
        self.counts = VersionCounts()
        self._store = store
        self._target = target
        self._is_ready = is_ready
        self._highest_fence = 0
        self._is_lease_read = False
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
            self._refuse(link, order, "old fencing token")
        elif len(self._pending) >= MAX_PENDING:
            self._refuse(link, order, "too many orders wait")
        else:
            # From now on orders of an older leader are refused, waiting ones too.
            self._highest_fence = order.fence
            self._pending.append((link, order))
            self._ensure_worker()

    def read_lease(self) -> bool:
        """Read the lease once; True when its fencing token is known.

        An object that cannot be read is no proof that there is no newer leader.
        """
        found = self._store.get(LEASE_KEY)
        if isinstance(found, NotFound):
            self._is_lease_read = True
        elif isinstance(found, Ok):
            value = read_lease_value(found.value.value)
            if value is not None:
                self._highest_fence = max(self._highest_fence, value.fence)
                self._is_lease_read = True
        return self._is_lease_read

    def _read_until_known(self) -> None:
        while not self.read_lease():
            sleep(READ_RETRY_MS / MS_PER_SECOND)

    def _ensure_worker(self) -> None:
        if self._worker is None or self._worker.ready():
            self._worker = spawn(self._work)

    def _work(self) -> None:
        while self._pending:
            link, order = self._pending.popleft()
            if order.fence < self._highest_fence:
                self._refuse(link, order, "old fencing token")
            else:
                self._carry_out(link, order)

    def _carry_out(self, link: Link, order: Order) -> None:
        if self._target is None:
            self._refuse(link, order, "this endpoint takes no orders")
            return
        reason = ""
        if order.action != OBSERVE:
            failure = self._target.order(order)
            reason = failure.reason if failure else ""
            log.info(
                "order",
                action=order.action,
                version=order.version,
                fence=order.fence,
                reason=reason,
            )
            if failure is None:
                self.counts.reset()
        link.send(self._result(order, reason))

    def _result(self, order: Order, reason: str) -> OrderResult:
        assert self._target is not None
        load = self._target.load()
        if isinstance(load, EngineFailure):
            load = EngineLoad(0, 0.0, 0.0, "", "", "")
            reason = reason or "the endpoint does not report its state"
        counts = self.counts
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
