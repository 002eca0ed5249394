"""The entry role: accepts callers' requests and serves them through sidecars."""

from collections.abc import Callable, Iterable, Mapping
from ssl import SSLContext
from typing import Any

import gevent
from gevent.event import Event
from structlog import get_logger

from wigeonwind.addresses import SocketAddress, parse_address
from wigeonwind.catalog import Catalog
from wigeonwind.clock import MS_PER_SECOND, Clock
from wigeonwind.decisions.interfaces import (
    EndpointChoice,
    EndpointInfo,
    LimitDecisions,
    ReportedLoad,
    RetryDecisions,
)
from wigeonwind.entry.admission import Admission
from wigeonwind.entry.booking_call import BookingCalls
from wigeonwind.entry.dispatch import Dispatcher
from wigeonwind.entry.drain_times import DrainTimes
from wigeonwind.entry.endpoint_links import EndpointLinks
from wigeonwind.entry.entry_context import EntryContext, ListsEndpoints
from wigeonwind.entry.entry_http import CallerServer
from wigeonwind.entry.entry_status import EndpointRow, entry_status
from wigeonwind.entry.grant_exchange import GrantExchange
from wigeonwind.entry.health_api import HealthApi
from wigeonwind.entry.http_call import HttpCall, StartResponse, read_call
from wigeonwind.entry.metrics_sink import MetricsSink
from wigeonwind.entry.openai_api import OpenAiApi
from wigeonwind.entry.pending_attempts import PendingAttempts
from wigeonwind.entry.plain_api import PLAIN_PREFIX, PlainApi
from wigeonwind.entry.replies import failure_reply, refusal, stopping_refusal
from wigeonwind.entry.request_durations import RequestDurations
from wigeonwind.entry.request_tracker import RequestTracker
from wigeonwind.links.link_types import Link
from wigeonwind.links.messages import CacheEvents, ClaimState, Leaving, LoadReport
from wigeonwind.outcomes import ErrorCode
from wigeonwind.runtime.loops import SupervisedLoops
from wigeonwind.runtime.tracing import Tracer
from wigeonwind.settings import Settings
from wigeonwind.state.store_types import Store

DRAIN_POLL_MS = 20.0
"""Interval between checks during a drain whether requests are in flight."""

log = get_logger("wigeonwind.entry")


class EntryRole:
    """Composes an entry and holds its state: starting, ready, draining, stopped."""

    def __init__(
        self,
        settings: Settings,
        clock: Clock,
        store: Store,
        choice: EndpointChoice,
        limits: LimitDecisions,
        retry: RetryDecisions,
        metrics: MetricsSink,
        tracer: Tracer,
        tls: SSLContext | None = None,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._choice = choice
        self._metrics = metrics
        self._links = EndpointLinks()
        self._endpoint_was_ready = False
        self._started = False
        self._drain_times = DrainTimes(clock, settings.drain)
        self._grace_period_over = Event()
        self._pending = PendingAttempts()
        context = EntryContext(
            clock, self._links, choice, limits, retry, metrics, self._pending
        )
        self.dispatcher = Dispatcher(context)
        self.grants: GrantExchange | None = None
        """Set before `start` if limits are shared with other entries."""
        self.loops = SupervisedLoops(self.stop)
        timeout_ms = float(settings.limits.request_timeout_ms)
        durations = RequestDurations(clock)
        self._admission = Admission(
            clock, limits, timeout_ms, self._drain_times, durations
        )
        tracker = RequestTracker(
            clock, self._admission, self.dispatcher, metrics, tracer, durations
        )
        self._tracker = tracker
        self._bookings = BookingCalls(store, self.dispatcher, tracer)
        self._openai = OpenAiApi(self._admission, tracker)
        self._plain = PlainApi(self._admission, tracker, self._bookings.handle)
        listen = settings.listen
        is_public = listen.metrics_for_callers or not listen.operators
        metrics_for_callers = metrics.render if is_public else None
        self._health = HealthApi(lambda: self.ready, metrics_for_callers)
        self._server = CallerServer(
            parse_address(settings.listen.callers),
            self.application,
            settings.limits,
            tracker.count_refusal,
            tls,
        )

    @property
    def ready(self) -> bool:
        """Return whether the entry may receive new requests."""
        if not self._started or self._drain_times.is_draining:
            return False
        return self._admission.has_catalog and self._endpoint_was_ready

    def application(
        self, environ: Mapping[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Answer one HTTP request (a WSGI application)."""
        call = read_call(environ, start_response)
        if call.path.startswith("/v1/"):
            return self._openai.handle(call)
        if call.path.startswith(PLAIN_PREFIX):
            return self._plain.handle(call)
        health = self._health.handle(call)
        return self._not_found(call) if health is None else health

    def _not_found(self, call: HttpCall) -> Iterable[bytes]:
        message = "unknown path"
        error = refusal(ErrorCode.BAD_REQUEST, message, http_status=404)
        self._tracker.count_refusal(error)
        return call.reply(failure_reply(error, call.request_id))

    def on_up(self, link: Link) -> None:
        """Register an established link."""
        self._links.on_up(link)

    def on_message(self, link: Link, message: object) -> bool:
        """Handle a message; return False if others should handle it too.

        A Leaving message takes effect here at once; as the membership needs it too, the
        result is False.
        """
        if self.dispatcher.on_message(link, message):
            return True
        if self.grants is not None and self.grants.on_message(link, message):
            return True
        match message:
            case LoadReport():
                self._on_load(link, message)
                return True
            case CacheEvents():
                self._on_cache_events(link, message)
                return True
            case ClaimState():
                return self._bookings.on_claim_state(link, message)
            case Leaving(member_id=member_id, incarnation=incarnation):
                self._links.on_leaving(member_id, incarnation)
        return False

    def _on_load(self, link: Link, report: LoadReport) -> None:
        # A link does not make the entry ready: the endpoint may not be running.
        self._endpoint_was_ready = self._endpoint_was_ready or report.ready
        waiting = tuple((str(row[0]), int(row[1])) for row in report.waiting_by_class)
        load = ReportedLoad(
            report.running,
            report.slots,
            waiting,
            report.engine_age_ms,
            report.ms_per_token,
            report.ms_to_first_token,
            report.queued_tokens,
            report.ready,
            tuple((str(row[0]), int(row[1])) for row in report.running_by_class or ()),
        )
        self._choice.on_load(link.hello.member_id, load, self._clock.now_ms())

    def _on_cache_events(self, link: Link, events: CacheEvents) -> None:
        name, now_ms = link.hello.member_id, self._clock.now_ms()
        for keys, stored in ((events.stored, True), (events.evicted, False)):
            for key in keys:
                self._choice.on_cache_event(name, key, stored, now_ms)

    def on_down(self, link: Link, reason: str) -> None:
        """Remove a lost link; its attempts fail."""
        self._links.on_down(link)
        self._pending.on_down(link, reason)
        self._bookings.on_down(link)

    def set_catalog(self, catalog: Catalog) -> None:
        """Admit new requests with this catalog; admitted ones keep theirs."""
        self._admission.set_catalog(catalog)

    def is_idle(self, link: Link) -> bool:
        """Return whether no attempt is in flight on the link."""
        return not self._pending.has_attempts(link)

    def set_endpoints(self, endpoints: tuple[EndpointInfo, ...]) -> None:
        """Replace the endpoints to choose from."""
        self._choice.set_endpoints(endpoints, self._clock.now_ms())

    def status(self) -> dict[str, Any]:
        """Return the entry's fields of `/admin/status`."""
        choice = self._choice
        rows: Iterable[EndpointRow] = ()
        if isinstance(choice, ListsEndpoints):
            rows = choice.endpoints(self._clock.now_ms())
        return entry_status(self._tracker.recent_outcomes, rows)

    def start(self) -> SocketAddress:
        """Start listening for callers and return the address."""
        self._server.start()
        self._started = True
        if self.grants is not None:
            self.loops.start(self.grants.run)
        return self._server.bound_address

    def drain(self, started_ms: float | None = None) -> None:
        """Stop gracefully; block until nothing is in flight or the limit is near.

        Shortly before the limit each open request gets its final response. A second
        call ends the grace period early and waits for the same condition. The times
        count from the clock reading `started_ms`, by default from now.
        """
        times = self._drain_times
        if times.is_draining:
            self._grace_period_over.set()
        times.begin(self._clock.now_ms() if started_ms is None else started_ms)
        self._server.is_draining = True
        self._grace_period_over.wait(times.grace_left_ms() / MS_PER_SECOND)
        self._server.close_idle()
        self._wait_while_busy(times.ending_in_ms)
        if not self._server.is_busy:
            return
        active = self._tracker.end_all()
        unread = self._server.refuse_unread(stopping_refusal())
        log.info("open requests ended by the drain", active=active, unread=unread)
        self._wait_while_busy(times.abort_in_ms)
        self._server.linger_s = times.limit_in_ms() / MS_PER_SECOND

    def _wait_while_busy(self, left_ms: Callable[[], float]) -> None:
        while self._server.is_busy and left_ms() > 0.0:
            gevent.sleep(min(DRAIN_POLL_MS, left_ms()) / MS_PER_SECOND)

    def stop(self) -> None:
        """Stop at once; requests in flight are aborted."""
        self._started = False
        self.loops.stop()
        self._server.close_idle()
        self._server.stop(timeout=0)
