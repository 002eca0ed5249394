"""The roller: the entry that holds the lease and carries out model rollouts."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass

from gevent import Timeout, sleep, spawn
from gevent.event import AsyncResult
from gevent.pool import Pool
from structlog import get_logger

from wigeonwind.catalog import Catalog, Service, ServiceKind
from wigeonwind.clock import MS_PER_SECOND, Clock
from wigeonwind.ids import new_id
from wigeonwind.links.link_types import Link
from wigeonwind.links.messages import Order, OrderResult
from wigeonwind.outcomes import Ok
from wigeonwind.state.lease import RENEW_INTERVAL_MS, Lease
from wigeonwind.state.load_pace import LoadConcurrencyLimiter
from wigeonwind.state.membership import MemberRecord
from wigeonwind.state.rollouts import (
    EndpointView,
    LoadVersion,
    RolloutPlanner,
    RolloutRecord,
    RolloutTimings,
    StoreRecord,
    decode_rollout_record,
)
from wigeonwind.state.store_types import NotFound, Store

OBSERVE_TIMEOUT_MS = 2_000.0
"""Time for a sidecar to describe its endpoint."""

LOAD_TIMEOUT_MS = 600_000.0
"""Time for an endpoint to load a model version."""

PARALLEL_OBSERVATIONS = 20
"""Sidecars that are looked at at a time; at 800, links opened all at once would hold up
the requests of this entry."""

IDLE_MS_PER_SIDECAR = 375.0
"""Time between idle looks for each sidecar: five minutes at 800, where opening a link
to each costs the roller about a second of a core."""

DEFAULT_TIMES = RolloutTimings()

log = get_logger("wigeonwind.roller")


@dataclass(frozen=True)
class _StoredRecord:
    record: RolloutRecord | None
    version: int


class RolloutController:
    """Carries out rollouts while it holds the lease.

    `open_link` returns a link to a sidecar, in use or opened for the purpose. Only a
    candidate tries for the lease: each try costs the store a read.
    """

    def __init__(
        self,
        store: Store,
        lease: Lease,
        clock: Clock,
        catalog: Callable[[], Catalog],
        sidecars: Callable[[str], Iterator[MemberRecord]],
        open_link: Callable[[MemberRecord], Link | None],
        times: RolloutTimings = DEFAULT_TIMES,
        is_candidate: Callable[[], bool] = lambda: True,
    ) -> None:
        self._is_candidate = is_candidate
        self._observations = Pool(PARALLEL_OBSERVATIONS)
        self._times = times
        self._seen_catalog = -1
        self._pace_by_service: dict[str, LoadConcurrencyLimiter] = {}
        self._store = store
        self._lease = lease
        self._clock = clock
        self._catalog = catalog
        self._sidecars = sidecars
        self._open_link = open_link
        self._planner_by_service: dict[str, RolloutPlanner] = {}
        self._result_by_order_id: dict[str, AsyncResult] = {}
        self._loading_ids: set[str] = set()
        self._stopped = False
        self._fence_held: int | None = None

    @property
    def holds_lease(self) -> bool:
        """Return whether this process certainly holds the lease now."""
        return self._lease.fence() is not None

    def keep_lease(self) -> None:
        """Try for the lease and renew it until `stop`; blocks.

        This loop is apart from `run`: a look at many endpoints that do not answer takes
        longer than the lease.
        """
        while not self._stopped:
            if self.holds_lease or self._is_candidate():
                self._note_fence(self._lease.step())
            self._pause()

    def run(self) -> None:
        """Carry out rollouts while the lease is held, until `stop`; blocks."""
        next_round_ms = 0.0
        while not self._stopped:
            now_ms = self._clock.now_ms()
            if self.holds_lease and (now_ms >= next_round_ms or self._is_edited()):
                self._seen_catalog = self._catalog().version
                busy = self._round()
                next_round_ms = now_ms + self._wait_ms(busy)
            self._pause()

    def _pause(self) -> None:
        sleep(min(RENEW_INTERVAL_MS, self._times.poll_interval_ms) / MS_PER_SECOND)

    def _wait_ms(self, busy: bool) -> float:
        """Return the time to the next look."""
        if busy:
            return self._times.poll_interval_ms
        services = self._catalog().service_by_name
        sidecars = sum(len(list(self._sidecars(name))) for name in services)
        return max(self._times.idle_poll_interval_ms, sidecars * IDLE_MS_PER_SIDECAR)

    def stop(self) -> None:
        """Stop after the present step and give the lease back."""
        self._stopped = True
        self._lease.release()

    def on_result(self, result: OrderResult) -> None:
        """Take a sidecar's answer to an order."""
        waiting = self._result_by_order_id.get(result.order_id)
        if waiting is not None:
            waiting.set(result)

    def _is_edited(self) -> bool:
        return self._catalog().version != self._seen_catalog

    def _note_fence(self, fence: int | None) -> None:
        if fence != self._fence_held:
            self._fence_held = fence
            state = "held" if fence is not None else "not held"
            log.info("roller lease", state=state, fence=fence)

    def _round(self) -> bool:
        """Look at each model service once; return whether any rollout is under way."""
        services = self._catalog().service_by_name.values()
        busy = [
            self._round_of(service)
            for service in services
            if service.kind is ServiceKind.MODEL and service.model_version
        ]
        return any(busy)

    def _round_of(self, service: Service) -> bool:
        stored = self._read_record(service.name)
        if stored is None:
            # The store is down; a rollout may be under way.
            return True
        views = list(self._observe(service))
        planner = self._planner_by_service.setdefault(
            service.name, RolloutPlanner(service.name, self._times.soak_ms)
        )
        now_ms = self._clock.now_ms()
        target = service.model_version
        steps = list(planner.plan(target, stored.record, views, now_ms))
        for step in self._paced(service, steps, now_ms):
            self._carry_out(service, step, stored.version)
        running = stored.record is None or stored.record.verdict.value == "running"
        return bool(steps) or running

    def _paced(
        self,
        service: Service,
        steps: list[StoreRecord | LoadVersion],
        now_ms: float,
    ) -> list[StoreRecord | LoadVersion]:
        """Leave out loads that are under way, and those that would come too fast."""
        loads = [s for s in steps if isinstance(s, LoadVersion)]
        due = [s for s in loads if s.endpoint_id not in self._loading_ids]
        pace = self._pace_of(service.name)
        room = pace.available_loads(now_ms, len(self._loading_ids), len(due))
        return [s for s in steps if isinstance(s, StoreRecord)] + due[:room]

    def _pace_of(self, service: str) -> LoadConcurrencyLimiter:
        pace = LoadConcurrencyLimiter(self._times.poll_interval_ms)
        return self._pace_by_service.setdefault(service, pace)

    def _read_record(self, service: str) -> _StoredRecord | None:
        found = self._store.get(f"rolls/{service}")
        if isinstance(found, Ok):
            record = decode_rollout_record(found.value.value)
            return _StoredRecord(record, found.value.version)
        if isinstance(found, NotFound):
            return _StoredRecord(None, 0)
        return None

    def _observe(self, service: Service) -> Iterator[EndpointView]:
        model = service.models[0] if service.models else ""
        pending = [
            (
                record,
                self._observations.spawn(self._order, record, "observe", model, ""),
            )
            for record in list(self._sidecars(service.name))
        ]
        for record, greenlet in pending:
            result = greenlet.get()
            member_id = record.member_id
            if result is None:
                # It counts as out of service, or others would be taken out besides it.
                yield EndpointView(member_id, record.zone, "", False)
                continue
            loading = member_id in self._loading_ids
            yield EndpointView(
                member_id,
                record.zone,
                result.version,
                result.ready and not loading,
                result.ended,
                result.failed,
                result.attained,
            )

    def _carry_out(
        self, service: Service, step: StoreRecord | LoadVersion, version: int
    ) -> None:
        if isinstance(step, StoreRecord):
            record = step.record
            self._store.put(f"rolls/{service.name}", record.to_bytes(), version)
            log.info(
                "rollout",
                service=service.name,
                target=record.target,
                verdict=record.verdict.value,
                reason=record.reason,
            )
        else:
            self._loading_ids.add(step.endpoint_id)
            spawn(self._load, service, step)

    def _load(self, service: Service, step: LoadVersion) -> None:
        pace = self._pace_of(service.name)
        try:
            result = self._give_load(service, step)
            loading = len(self._loading_ids)
            if result is not None and result.done:
                pace.on_load_succeeded()
            elif result is not None:
                pace.on_load_failed(self._clock.now_ms(), loading)
                log.info("load failed", id=step.endpoint_id, reason=result.reason)
        finally:
            self._loading_ids.discard(step.endpoint_id)

    def _give_load(self, service: Service, step: LoadVersion) -> OrderResult | None:
        for record in self._sidecars(service.name):
            if record.member_id == step.endpoint_id:
                model = service.models[0]
                return self._order(record, "load_model", model, step.version)
        return None

    def _order(
        self, record: MemberRecord, action: str, model: str, version: str
    ) -> OrderResult | None:
        """Give one order; None if the lease is not held or no answer came."""
        link = self._open_link(record)
        # Checked last: the lease may have ended while the link was opened.
        fence = self._lease.fence()
        if link is None or fence is None:
            return None
        order_id = new_id()
        waiting: AsyncResult = AsyncResult()
        self._result_by_order_id[order_id] = waiting
        link.send(Order(order_id, fence, action, model, version, ""))
        limit_ms = OBSERVE_TIMEOUT_MS if action == "observe" else LOAD_TIMEOUT_MS
        try:
            return waiting.get(timeout=limit_ms / MS_PER_SECOND)
        except Timeout:
            return None
        finally:
            del self._result_by_order_id[order_id]
