"""The rollout controller: carries out model rollouts on the entry with the lease."""

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
"""Time limit for a sidecar to report the state of its endpoint."""

LOAD_TIMEOUT_MS = 600_000.0
"""Time limit for an endpoint to load a model version."""

PARALLEL_OBSERVATIONS = 20
"""Maximum number of sidecars polled concurrently; opening 800 links at once would delay
the requests of this entry."""

IDLE_MS_PER_SIDECAR = 375.0
"""Idle poll interval per sidecar. It amounts to five minutes at 800 sidecars, where
opening a link to each takes this process about one second of CPU time."""

DEFAULT_TIMINGS = RolloutTimings()

log = get_logger("wigeonwind.roller")


@dataclass(frozen=True)
class _StoredRecord:
    """A rollout record and its version in the store, 0 if it is not stored."""

    record: RolloutRecord | None
    version: int


class RolloutController:
    """Carries out rollouts while this process holds the lease.

    `open_link` returns the link to a sidecar, opening it if necessary. Only a candidate
    tries to acquire the lease, as each try reads the store.
    """

    def __init__(
        self,
        store: Store,
        lease: Lease,
        clock: Clock,
        catalog: Callable[[], Catalog],
        sidecars: Callable[[str], Iterator[MemberRecord]],
        open_link: Callable[[MemberRecord], Link | None],
        timings: RolloutTimings = DEFAULT_TIMINGS,
        is_candidate: Callable[[], bool] = lambda: True,
    ) -> None:
        self._is_candidate = is_candidate
        self._observations = Pool(PARALLEL_OBSERVATIONS)
        self._timings = timings
        self._planned_version = -1
        self._load_limiter_by_service: dict[str, LoadConcurrencyLimiter] = {}
        self._store = store
        self._lease = lease
        self._clock = clock
        self._catalog = catalog
        self._sidecars = sidecars
        self._open_link = open_link
        self._planner_by_service: dict[str, RolloutPlanner] = {}
        self._result_by_command_id: dict[str, AsyncResult] = {}
        self._loading_ids: set[str] = set()
        self._stopped = False
        self._last_fence: int | None = None

    @property
    def holds_lease(self) -> bool:
        """Return whether this process certainly holds the lease now."""
        return self._lease.fence() is not None

    def keep_lease(self) -> None:
        """Acquire and renew the lease until `stop`; blocks.

        This loop is separate from `run`, as polling many endpoints that do not answer
        takes longer than the lease lasts.
        """
        while not self._stopped:
            if self.holds_lease or self._is_candidate():
                self._log_lease_change(self._lease.step())
            self._sleep()

    def run(self) -> None:
        """Carry out rollouts while the lease is held, until `stop`; blocks."""
        next_plan_ms = 0.0
        while not self._stopped:
            now_ms = self._clock.now_ms()
            if self.holds_lease and (
                now_ms >= next_plan_ms or self._is_configuration_changed()
            ):
                self._planned_version = self._catalog().version
                is_active = self._plan_services()
                next_plan_ms = now_ms + self._plan_interval_ms(is_active)
            self._sleep()

    def _sleep(self) -> None:
        sleep(min(RENEW_INTERVAL_MS, self._timings.poll_interval_ms) / MS_PER_SECOND)

    def _plan_interval_ms(self, is_active: bool) -> float:
        """Return the time until the next poll of the endpoints, in milliseconds."""
        if is_active:
            return self._timings.poll_interval_ms
        services = self._catalog().service_by_name
        sidecars = sum(len(list(self._sidecars(name))) for name in services)
        return max(self._timings.idle_poll_interval_ms, sidecars * IDLE_MS_PER_SIDECAR)

    def stop(self) -> None:
        """Stop after the current step and release the lease."""
        self._stopped = True
        self._lease.release()

    def on_result(self, result: OrderResult) -> None:
        """Handle a sidecar's response to a control command."""
        pending_result = self._result_by_command_id.get(result.order_id)
        if pending_result is not None:
            pending_result.set(result)

    def _is_configuration_changed(self) -> bool:
        return self._catalog().version != self._planned_version

    def _log_lease_change(self, fence: int | None) -> None:
        if fence != self._last_fence:
            self._last_fence = fence
            state = "held" if fence is not None else "not held"
            log.info("roller lease", state=state, fence=fence)

    def _plan_services(self) -> bool:
        """Advance the rollouts of all services; return whether any is in progress."""
        services = self._catalog().service_by_name.values()
        active = [
            self._plan_service(service)
            for service in services
            if service.kind is ServiceKind.MODEL and service.model_version
        ]
        return any(active)

    def _plan_service(self, service: Service) -> bool:
        stored = self._read_record(service.name)
        if stored is None:
            # The store is not available; a rollout may be in progress.
            return True
        views = list(self._observe(service))
        planner = self._planner_by_service.setdefault(
            service.name, RolloutPlanner(service.name, self._timings.soak_ms)
        )
        now_ms = self._clock.now_ms()
        target = service.model_version
        steps = list(planner.plan(target, stored.record, views, now_ms))
        for step in self._limit_loads(service, steps, now_ms):
            self._apply(service, step, stored.version)
        running = stored.record is None or stored.record.verdict.value == "running"
        return bool(steps) or running

    def _limit_loads(
        self,
        service: Service,
        steps: list[StoreRecord | LoadVersion],
        now_ms: float,
    ) -> list[StoreRecord | LoadVersion]:
        """Drop loads that are already in progress or exceed the concurrency limit."""
        loads = [s for s in steps if isinstance(s, LoadVersion)]
        due = [s for s in loads if s.endpoint_id not in self._loading_ids]
        limiter = self._load_limiter_of(service.name)
        free_loads = limiter.available_loads(now_ms, len(self._loading_ids), len(due))
        return [s for s in steps if isinstance(s, StoreRecord)] + due[:free_loads]

    def _load_limiter_of(self, service: str) -> LoadConcurrencyLimiter:
        limiter = LoadConcurrencyLimiter(self._timings.poll_interval_ms)
        return self._load_limiter_by_service.setdefault(service, limiter)

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
                self._observations.spawn(
                    self._send_command, record, "observe", model, ""
                ),
            )
            for record in list(self._sidecars(service.name))
        ]
        for record, greenlet in pending:
            result = greenlet.get()
            member_id = record.member_id
            if result is None:
                # Counted as unavailable, or the planner could take out too many others.
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

    def _apply(
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
        limiter = self._load_limiter_of(service.name)
        try:
            result = self._send_load(service, step)
            loading = len(self._loading_ids)
            if result is not None and result.done:
                limiter.on_load_succeeded()
            elif result is not None:
                limiter.on_load_failed(self._clock.now_ms(), loading)
                log.info(
                    "endpoint failed to load the model version",
                    id=step.endpoint_id,
                    reason=result.reason,
                )
        finally:
            self._loading_ids.discard(step.endpoint_id)

    def _send_load(self, service: Service, step: LoadVersion) -> OrderResult | None:
        for record in self._sidecars(service.name):
            if record.member_id == step.endpoint_id:
                model = service.models[0]
                return self._send_command(record, "load_model", model, step.version)
        return None

    def _send_command(
        self, record: MemberRecord, action: str, model: str, version: str
    ) -> OrderResult | None:
        """Send a control command; None without the lease, a link or a response."""
        link = self._open_link(record)
        # Checked last, as the lease may expire while the link is opened.
        fence = self._lease.fence()
        if link is None or fence is None:
            return None
        command_id = new_id()
        pending_result: AsyncResult = AsyncResult()
        self._result_by_command_id[command_id] = pending_result
        link.send(Order(command_id, fence, action, model, version, ""))
        limit_ms = OBSERVE_TIMEOUT_MS if action == "observe" else LOAD_TIMEOUT_MS
        try:
            return pending_result.get(timeout=limit_ms / MS_PER_SECOND)
        except Timeout:
            return None
        finally:
            del self._result_by_command_id[command_id]
