"""The sidecar: the only process that sends requests to its endpoint."""

from collections.abc import Callable
from typing import Any, Protocol, runtime_checkable

from gevent import sleep, spawn

from wigeonwind.addresses import SocketAddress, parse_address
from wigeonwind.catalog import Catalog
from wigeonwind.clock import MS_PER_SECOND, Clock
from wigeonwind.decisions.interfaces import (
    EndpointQueueDecisions,
    ExpireAttempt,
    PauseAttempt,
    QueueAction,
    Rejected,
    ResumeAttempt,
    StartAttempt,
)
from wigeonwind.decisions.preemption import PAUSED_KV_SHARE, KvCosts
from wigeonwind.ids import new_incarnation
from wigeonwind.links.link_types import Link
from wigeonwind.links.messages import (
    Cancel,
    Failed,
    Leaving,
    Order,
    ResolveClaim,
    Submit,
    Withdraw,
)
from wigeonwind.outcomes import ErrorCode
from wigeonwind.runtime.loops import SupervisedLoops
from wigeonwind.runtime.metrics import Metrics
from wigeonwind.runtime.tracing import PropagatingTracer, Tracer
from wigeonwind.settings import Settings
from wigeonwind.side.attempt_admission import AttemptAdmission
from wigeonwind.side.attempt_runner import AttemptRunner
from wigeonwind.side.attempt_table import Attempt, AttemptTable
from wigeonwind.side.cache_event_forwarder import CacheEventForwarder
from wigeonwind.side.claim_registry import ClaimRegistry
from wigeonwind.side.control_commands import CommandExecutor, VersionCounts
from wigeonwind.side.draining import ABORT_WAIT_MS, AttemptDrainer, EndpointQuiescer
from wigeonwind.side.engine_client import EngineClient, EngineLoad
from wigeonwind.side.load_reporter import LoadReporter
from wigeonwind.side.missed_targets import attempts_past_target
from wigeonwind.side.pause_detector import TICK_MS, PauseDetector
from wigeonwind.side.plain_client import PlainClient
from wigeonwind.side.sidecar_metrics import SidecarMetrics
from wigeonwind.side.version_gate import VersionGate
from wigeonwind.state.store_types import Store

LOWEST_PRIORITY = 99
"""Priority of a class that is no longer in the configuration."""


@runtime_checkable
class SupportsKvCosts(Protocol):
    """A queue that decides what happens to the KV cache of paused attempts."""

    def set_kv_costs(self, kv_costs: KvCosts) -> None:
        """Set the costs of moving KV cache and the limit for paused attempts."""
        ...


class SidecarRole:
    """Connects links, queue, endpoint and control commands.

    Raises ValueError if the settings have no section `[endpoint]`.
    """

    def __init__(
        self,
        settings: Settings,
        clock: Clock,
        store: Store,
        queue: EndpointQueueDecisions,
        metrics: Metrics,
        incarnation: int | None = None,
        tracer: Tracer | None = None,
    ) -> None:
        endpoint = settings.endpoint
        if endpoint is None:
            raise ValueError("the settings of a sidecar need the section [endpoint]")
        self.member_id = settings.node.id
        self.incarnation = incarnation or new_incarnation()
        self._settings = settings
        self._tracer = tracer or PropagatingTracer()
        self._endpoint = endpoint
        self._clock = clock
        self._queue = queue
        self._catalog = Catalog(0)
        self._links: list[Link] = []
        self._is_draining = False
        self._kv_limit_tokens = 0
        self._version_gate: VersionGate | None = None
        self._store = store
        self.loops = SupervisedLoops(self.stop)
        self._pause_detector = PauseDetector(clock)
        self._table = AttemptTable(clock)
        self._claims = ClaimRegistry(clock)
        address = parse_address(endpoint.address)
        timeout_ms = settings.limits.request_timeout_ms
        self._engine: EngineClient | None = None
        if endpoint.kind == "model":
            self._engine = EngineClient(address, timeout_ms)
        counts = VersionCounts()
        self._metrics = SidecarMetrics(metrics, clock, counts)
        self._reporter = self._make_reporter(address)
        self._cache_events = self._make_cache_events()
        self._admission = self._make_admission()
        self._runner = self._make_runner(
            self._engine or PlainClient(address, timeout_ms)
        )
        self._drainer = AttemptDrainer(
            clock,
            self._table,
            self._admission.return_to_entry,
            self._runner.cancel,
            settings.drain.limit_ms,
        )
        self._quiescer = EndpointQuiescer(clock, self._drainer, self._reporter.send)
        is_ready = self._reporter.is_ready
        self._commands = CommandExecutor(
            clock, store, self._engine, self._quiescer, is_ready, counts
        )
        self._handler_by_type: dict[type, Callable[[Link, Any], None]] = {
            Submit: self._admission.on_submit,
            Withdraw: self._admission.on_withdraw,
            ResolveClaim: self._admission.on_resolve,
            Cancel: self._on_cancel,
            Order: self._commands.on_command,
        }

    def _make_reporter(self, address: SocketAddress) -> LoadReporter:
        return LoadReporter(
            self.member_id,
            self._clock,
            self._queue,
            self._engine,
            address,
            self._settings.links.report_ms,
            self._accepts_requests,
            self._on_load,
        )

    def _accepts_requests(self) -> bool:
        if self._is_draining or self._quiescer.is_active:
            return False
        return self._version_gate is None or not self._version_gate.blocks(
            self._reporter.version
        )

    def _make_cache_events(self) -> CacheEventForwarder | None:
        if self._engine is None:
            return None
        return CacheEventForwarder(
            self.member_id, self._clock, self._engine, lambda: len(self._table) > 0
        )

    def _make_admission(self) -> AttemptAdmission:
        return AttemptAdmission(
            self._clock,
            self._table,
            self._claims,
            self._queue,
            self._metrics,
            self._pause_detector,
            self.incarnation,
            self._endpoint.service,
            self._engine is not None,
            self._check_accepting,
        )

    def _make_runner(self, client: EngineClient | PlainClient) -> AttemptRunner:
        return AttemptRunner(
            self._clock,
            self._table,
            self._claims,
            self._queue,
            client,
            self._metrics,
            self._priority_of,
            self._on_ended,
            self._tracer,
        )

    def start(self) -> None:
        """Start to poll the endpoint, to send load reports and to read the lease."""
        self._reporter.start(self.loops)
        self._commands.start()
        if self._engine is not None:
            self._version_gate = VersionGate(
                self._clock, self._store, self._endpoint.service
            )
            spawn(self._version_gate.read)
        self.loops.start(self._tick_loop)
        if self._cache_events is not None:
            self.loops.start(self._cache_events.run)

    def set_catalog(self, catalog: Catalog) -> None:
        """Use another version of the configuration for new attempts."""
        self._catalog = catalog
        self._metrics.set_catalog(catalog)
        self._queue.set_catalog(catalog)
        service = catalog.service_by_name.get(self._endpoint.service)
        if service is not None:
            self._queue.set_slots(service.concurrency)
        self._run_queue_actions()

    def on_up(self, link: Link) -> None:
        """Handle a new link to a peer."""
        self._links.append(link)
        self._reporter.on_up(link)
        if self._cache_events is not None:
            self._cache_events.on_up(link)
        if self._is_draining:
            link.send(Leaving(self.member_id, self.incarnation))

    def on_message(self, link: Link, message: Any) -> bool:
        """Handle a message; return False if it is not for this role."""
        handler = self._handler_by_type.get(type(message))
        if handler is None:
            return False
        handler(link, message)
        self._run_queue_actions()
        return True

    def on_down(self, link: Link, reason: str) -> None:
        """Cancel the attempts of a closed link, except bookings that have started."""
        if link in self._links:
            self._links.remove(link)
        self._reporter.on_down(link)
        if self._cache_events is not None:
            self._cache_events.on_down(link)
        for attempt in self._table.submitted_on(link):
            self._stop_orphaned(attempt)
        self._run_queue_actions()

    def drain(self, started_ms: float | None = None) -> None:
        """Announce the drain, return queued attempts and block until all have ended.

        Its limit counts from the clock reading `started_ms`, by default from now.
        """
        if started_ms is None:
            started_ms = self._clock.now_ms()
        if not self._is_draining:
            self._is_draining = True
            for link in self._links:
                link.send(Leaving(self.member_id, self.incarnation))
        reason = "the endpoint is draining"
        self._drainer.return_queued(ErrorCode.DRAINING, reason)
        # The entries must hear how their attempts ended before the limit.
        elapsed_ms = self._clock.now_ms() - started_ms + ABORT_WAIT_MS
        self._drainer.finish(ErrorCode.DRAINING, reason, elapsed_ms)
        self.stop()

    def stop(self) -> None:
        """Stop at once and cancel all running attempts."""
        self._is_draining = True
        self.loops.stop()
        self._commands.stop()
        for attempt in self._table.started():
            self._runner.cancel(attempt, "the sidecar is stopping")

    def tick(self) -> None:
        """Check for pauses, closed links, missed targets and deadlines."""
        self._pause_detector.tick()
        for attempt in self._table:
            if not attempt.link.is_open:
                self._stop_orphaned(attempt)
        started = self._table.started()
        for attempt in attempts_past_target(
            started, self._catalog, self._clock.now_ms()
        ):
            reason = "the latency target is missed and the class has finish_late = no"
            self._runner.cancel(attempt, reason, ErrorCode.DEADLINE)
        self._run_queue_actions()

    def _tick_loop(self) -> None:
        while True:
            sleep(TICK_MS / MS_PER_SECOND)
            self.tick()

    def _on_load(self, load: EngineLoad) -> None:
        """Let paused attempts use a share of the KV cache that the engine reports."""
        limit = load.kv_limit_tokens
        if limit != self._kv_limit_tokens and isinstance(self._queue, SupportsKvCosts):
            self._kv_limit_tokens = limit
            paused_limit = int(limit * PAUSED_KV_SHARE)
            costs = KvCosts(paused_limit_tokens=paused_limit, kv_limit_tokens=limit)
            self._queue.set_kv_costs(costs)

    def _check_accepting(self) -> Rejected | None:
        """Return why new attempts are refused now, None if they are accepted."""
        if self._is_draining:
            code, reason = ErrorCode.DRAINING, "the endpoint is draining"
        elif self._quiescer.refuses_requests:
            code, reason = (
                ErrorCode.NO_ENDPOINT,
                "the endpoint is changing its model or role",
            )
        else:
            return None
        return Rejected(code.value, reason, 0.0)

    def _on_cancel(self, link: Link, message: Cancel) -> None:
        """Cancel an attempt, or refuse its Submit in advance if it has not arrived.

        A booking that has started is not cancelled.
        """
        key = (message.request_id, message.attempt)
        attempt = self._table.get(key)
        if attempt is None:
            self._table.forbid(key)
        elif not attempt.is_started:
            self._queue.withdraw(key)
            self._admission.mark_never_started(attempt)
            reason = "cancelled while it was queued"
            link.send(Failed(*key, False, ErrorCode.CANCELLED.value, reason))
        elif not attempt.is_booking:
            self._runner.cancel(attempt, "cancelled by the caller")

    def _stop_orphaned(self, attempt: Attempt) -> None:
        """Withdraw or cancel an attempt whose link is closed, as in `on_down`."""
        if not attempt.is_started:
            self._queue.withdraw(attempt.spec.key)
            self._admission.mark_never_started(attempt)
        elif not attempt.is_booking:
            self._runner.cancel(attempt, "the link to the entry closed")

    def _on_ended(self, attempt: Attempt) -> None:
        self._drainer.on_ended()
        if self._cache_events is not None:
            self._cache_events.record_activity()
        self._run_queue_actions()

    def _run_queue_actions(self) -> None:
        """Carry out the actions that the queue has decided; must not block."""
        for action in self._queue.due_actions(self._clock.now_ms()):
            self._perform(action)

    def _perform(self, action: QueueAction) -> None:
        if isinstance(action, StartAttempt):
            self._runner.start(action.spec)
        elif isinstance(action, PauseAttempt):
            self._runner.pause(action)
        elif isinstance(action, ResumeAttempt):
            self._runner.resume(action)
        else:
            assert isinstance(action, ExpireAttempt)
            self._admission.on_expired(action.spec, action.rejection)

    def _priority_of(self, class_name: str) -> int:
        request_class = self._catalog.class_by_name.get(class_name)
        return request_class.priority if request_class else LOWEST_PRIORITY
