"""A routing process: listeners, store followers and graceful stop."""

from dataclasses import dataclass
from random import Random
from typing import Protocol

import gevent
from gevent import socket as gevent_socket
from gevent.event import Event
from gevent.server import StreamServer
from structlog import get_logger

from wigeonwind.addresses import SocketAddress
from wigeonwind.clock import MS_PER_SECOND, Clock
from wigeonwind.decisions.latency_choice import LatencyChooser
from wigeonwind.decisions.stop_admission import retry_after_ms
from wigeonwind.outcomes import Failure
from wigeonwind.routing.caller_connection import (
    CallerConnection,
    CallerDisconnectedError,
    bad_request,
)
from wigeonwind.routing.discovery import EndpointSet
from wigeonwind.routing.endpoint_connection import ConnectionPool
from wigeonwind.routing.exchange import Exchange
from wigeonwind.routing.forwarding_context import ForwardingContext
from wigeonwind.routing.header_codec import HeaderCodec, RequestMetadata
from wigeonwind.routing.leaving_api import LEAVING_PATH, leaving_response
from wigeonwind.routing.local_responses import status_response
from wigeonwind.routing.peer_exchange import DirectoryStore, PeerExchange
from wigeonwind.routing.peer_state import PeerState
from wigeonwind.routing.planned_stop import PlannedStop, plan_stop
from wigeonwind.routing.quarantine_api import QUARANTINE_PATH, quarantine_response
from wigeonwind.routing.refusals import (
    NO_CONFIGURATION,
    NO_ROUTE,
    UNAUTHORIZED,
    UNEXPECTED,
    stopping_failure,
)
from wigeonwind.routing.request_parser import HttpRequest
from wigeonwind.routing.request_quarantine import (
    QuarantineObserver,
    RequestQuarantine,
)
from wigeonwind.routing.routed_request import RoutedRequest
from wigeonwind.routing.routes import CallerLimits, HttpCustomer, HttpRoute, RouteTable
from wigeonwind.routing.routing_metrics import RoutingMetrics
from wigeonwind.routing.routing_state import (
    ConfigurationHandler,
    EndpointEntryHandler,
    StoreSchema,
)
from wigeonwind.routing.send_outcomes import SendOutcome
from wigeonwind.routing.send_window import SendWindow
from wigeonwind.routing.small_http import SmallHttpServer
from wigeonwind.routing.start_check import StartCheck
from wigeonwind.routing.stop_requests import StopRequests
from wigeonwind.routing.stop_sequence import StopSequence
from wigeonwind.routing.store_follower import FollowedStore, StoreFollower
from wigeonwind.routing.store_watchers import StoreView, StoreWatchers
from wigeonwind.runtime.error_boundary import call_isolated
from wigeonwind.runtime.loop_monitor import LoopMonitor, name_work
from wigeonwind.runtime.loops import SupervisedLoops
from wigeonwind.state.store_eras import StoreEras
from wigeonwind.state.store_types import NO_REVISION, UNKNOWN_ERA

BACKLOG = 1_024
"""Most connections that wait to be accepted. Beyond that number a connection attempt is
dropped, and the caller repeats it only after seconds."""

MAINTENANCE_INTERVAL_MS = 250.0
"""Interval at which idle connections and expired endpoint entries are dropped."""

DEFAULT_LIMITS = CallerLimits()

log = get_logger("wigeonwind.router")


@dataclass(frozen=True)
class RouterSettings:
    """Identity and addresses of a routing process; times in milliseconds.

    `metrics` is None if metrics are not served. `peers` is the address for the traffic
    between routing processes.
    """

    node_id: str
    zone: str
    callers: SocketAddress
    readiness: SocketAddress
    metrics: SocketAddress | None
    peers: SocketAddress
    stop_limit_ms: float


class RouterStore(FollowedStore, DirectoryStore, Protocol):
    """The store calls that a routing process makes."""

    eras: StoreEras
    """Era of the store, from the answers to these calls."""


class Router:
    """Accepts callers' connections and forwards their requests until it is stopped."""

    def __init__(
        self,
        settings: RouterSettings,
        clock: Clock,
        rng: Random,
        header_codec: HeaderCodec,
        schema: StoreSchema,
        store: RouterStore,
    ) -> None:
        self._settings = settings
        self.stop_limit_ms = settings.stop_limit_ms
        """Longest duration of a graceful stop; may change while the process runs."""
        self._clock = clock
        self._header_codec = header_codec
        self.metrics = RoutingMetrics(clock)
        self.pool = ConnectionPool(clock, self.metrics.count_connection)
        self._chooser = chooser = LatencyChooser(settings.zone, rng)
        self.endpoints = EndpointSet(clock, chooser, self.pool)
        self.configuration = ConfigurationHandler(schema, self._on_route_table)
        self.quarantine = RequestQuarantine(
            settings.node_id,
            clock,
            rng,
            self.pool,
            self.endpoints,
            chooser,
            QuarantineObserver(
                self.metrics.on_endpoint_crashed, self.metrics.on_trial_ended
            ),
        )
        self._context = ForwardingContext(
            clock,
            header_codec,
            self.pool,
            self.endpoints,
            self.quarantine,
            chooser,
            rng,
            self._on_outcome,
            self.metrics.on_retry,
        )
        entries = EndpointEntryHandler(
            schema, self.endpoints, self.metrics.on_entry_ignored
        )
        self._followers = (
            StoreFollower(
                store,
                schema.configuration_prefix,
                self.configuration,
                self.metrics.on_store_reachable,
                self._is_store_passive,
                on_answer=self.metrics.on_store_answer,
                eras=store.eras,
            ),
            StoreFollower(
                store,
                schema.endpoints_prefix,
                entries,
                self._on_discovery_reachable,
                self._is_store_passive,
                self.endpoints.on_view_interrupted,
                self.metrics.on_store_answer,
                store.eras,
            ),
        )
        self.peers = PeerExchange(
            settings.node_id,
            clock,
            rng,
            chooser,
            store,
            schema.peers_prefix,
            self._store_view,
            self.quarantine,
            lambda view: store.eras.learn(view.endpoints_revision.era),
            lambda: self._start_check.on_directory_read(),
            self.endpoints.leaving,
            self.endpoints.on_leaving_rows,
            lambda: self.is_ready,
        )
        self._start_check = StartCheck(
            clock, self.peers.live_views, self.peers.peer_count
        )
        self._watchers = StoreWatchers(
            settings.node_id,
            settings.zone,
            self.peers.live_views,
            lambda: store.eras.current != UNKNOWN_ERA,
        )
        self.peer_state = PeerState(
            rng,
            self.peers.live_addresses,
            self.configuration,
            self.endpoints,
            entries,
            self._followers,
            self._watchers,
            store.eras,
            self._start_check,
            self.metrics.on_state_adopted,
        )
        store.eras.subscribe(self.endpoints.on_store_returned)
        store.eras.subscribe(self.peers.on_store_returned)
        listen_address = (settings.callers.host, settings.callers.port)
        self._server = StreamServer(listen_address, self._accept, backlog=BACKLOG)
        self._readiness = SmallHttpServer(settings.readiness, self._readiness_response)
        self._metrics_server = None
        if settings.metrics is not None:
            self._metrics_server = SmallHttpServer(
                settings.metrics, self._metrics_response
            )
        self._connections: set[CallerConnection] = set()
        self._in_flight: set[Exchange] = set()
        self._stop_requests = StopRequests(clock, self._in_flight)
        self._stopping = StopSequence(
            clock,
            rng,
            self._server,
            self.peers,
            self.metrics,
            self._connections,
            self._in_flight,
            lambda: self.stopped.is_set(),
        )
        self._loops = SupervisedLoops(self.stop)
        self._loop_monitor = LoopMonitor(clock, self.metrics.loop_turns.record)
        self.stopped = Event()

    @property
    def is_draining(self) -> bool:
        """Return whether a planned stop has begun."""
        return self._stopping.plan is not None

    @property
    def is_ready(self) -> bool:
        """Return whether the process can serve new callers."""
        has_routes_and_endpoints = (
            self.configuration.table is not None and len(self.endpoints) > 0
        )
        is_checked = self._start_check.is_done
        return has_routes_and_endpoints and is_checked and not self.is_draining

    @property
    def is_store_reachable(self) -> bool:
        """Return whether the last calls to the store succeeded."""
        return all(each.is_reachable for each in self._followers)

    def _is_store_passive(self) -> bool:
        return self._watchers.is_passive(not self.is_store_reachable)

    def _store_view(self) -> StoreView:
        table = self.configuration.table
        has_listed = all(each.revision_seen != NO_REVISION for each in self._followers)
        is_refused = not (has_listed and self.is_store_reachable)
        return StoreView(
            self._settings.zone,
            table.version if table is not None else 0,
            self._followers[1].changed_revision,
            not is_refused and not self._watchers.is_passive(is_refused),
            is_refused,
        )

    @property
    def callers_address(self) -> SocketAddress:
        """Return the address that callers connect to."""
        return SocketAddress(self._server.server_host, self._server.server_port)

    @property
    def readiness_address(self) -> SocketAddress:
        """Return the address of the readiness check."""
        return self._readiness.address

    def start(self) -> None:
        """Start listening and following the store; raises OSError if that fails."""
        self._loop_monitor.start()
        self._readiness.start()
        self._server.start()
        if self._metrics_server is not None:
            self._metrics_server.start()
        self.peers.start(self.peer_state.start(self._settings.peers))
        for loop in (*self.peers.loops(), self.peer_state.run):
            self._loops.start(loop)
        for follower in self._followers:
            self._loops.start(follower.run)
        self._loops.start(self._run_maintenance)
        log.info(
            "started",
            node=self._settings.node_id,
            zone=self._settings.zone,
            callers=str(self.callers_address),
        )

    def _on_route_table(self, table: RouteTable) -> None:
        self._chooser.set_fetch_rates(table.fetch_rate_by_service)
        self.metrics.on_route_table(table)

    def _on_discovery_reachable(self, is_reachable: bool) -> None:
        self.metrics.on_store_reachable(is_reachable)
        if is_reachable:
            self.endpoints.on_store_recovered()
        else:
            self.endpoints.on_store_unreachable()

    def _run_maintenance(self) -> None:
        while True:
            gevent.sleep(MAINTENANCE_INTERVAL_MS / MS_PER_SECOND)
            self.pool.close_expired()
            self.quarantine.run_maintenance()
            self.endpoints.expire_entries()
            self.metrics.set_engine_profiles(self._chooser.service_profiles())
            self.metrics.set_suspects(self.quarantine.statuses())
            self.metrics.set_leaving(len(list(self.endpoints.leaving_endpoints())))
            self.metrics.on_store_watched(self._store_view().is_watching)
            failed_steps = sum(each.failed_steps for each in self._followers)
            self.metrics.set_failed_store_steps(failed_steps)

    def _readiness_response(self, _method: str, _path: str) -> bytes:
        status = 200 if self.is_ready else 503
        table = self.configuration.table
        document = {
            "ready": self.is_ready,
            "draining": self.is_draining,
            "version": table.version if table is not None else None,
            "endpoints": len(self.endpoints),
        }
        return status_response(status, document)

    def _metrics_response(self, method: str, path: str) -> bytes:
        if path.startswith(QUARANTINE_PATH):
            return quarantine_response(self.quarantine, method, path)
        if path.startswith(LEAVING_PATH):
            return leaving_response(self.endpoints, method, path)
        body = self.metrics.render()
        head = (
            "HTTP/1.1 200 OK\r\nContent-Type: text/plain; version=0.0.4\r\n"
            f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
        )
        return head.encode() + body

    def _limits(self) -> CallerLimits:
        table = self.configuration.table
        return table.limits if table is not None else DEFAULT_LIMITS

    def _accept(self, sock: gevent_socket.socket, _: object) -> None:
        connection = CallerConnection(
            sock, self._clock, self._limits, self._serve, lambda: self._stopping.phase
        )
        self._connections.add(connection)
        try:
            connection.run()
        finally:
            self._connections.discard(connection)

    def _serve(self, caller: CallerConnection, request: HttpRequest) -> None:
        """Check a request and forward or refuse it; report an unexpected error."""
        is_served = call_isolated(
            "a request",
            str(self.callers_address),
            lambda: self._forward_or_refuse(caller, request),
            False,
        )
        if is_served or caller.is_disconnected:
            return
        if caller.head_sent:
            caller.abort()
        caller.send_failure(UNEXPECTED, "", ())

    def _forward_or_refuse(
        self, caller: CallerConnection, request: HttpRequest
    ) -> bool:
        """Forward or refuse a request; return that there was no unexpected error."""
        try:
            self._route_request(caller, request)
        except CallerDisconnectedError:
            pass  # The connection notices it before the next request.
        return True

    def _route_request(self, caller: CallerConnection, request: HttpRequest) -> None:
        metadata = self._header_codec.decode_request_headers(request.headers)
        name_work(f"request {metadata.request_id}")
        table = self.configuration.table
        if table is None or not self._start_check.is_done:
            self._refuse(caller, metadata, NO_CONFIGURATION)
            return
        if not metadata.request_id:
            self._refuse(caller, metadata, bad_request("the request id is missing"))
            return
        route = table.match(metadata.host, request.path)
        if route is None:
            self._refuse(caller, metadata, NO_ROUTE, table.version)
            return
        customer = self._customer(table, route, metadata)
        if isinstance(customer, Failure):
            self._refuse(caller, metadata, customer, table.version)
            return
        routed = RoutedRequest(request, metadata, route, customer, table.version)
        refusal = self._refusal_in_stop(routed)
        if refusal is not None:
            self._refuse(caller, metadata, refusal, table.version)
            return
        exchange = Exchange(self._context, caller, routed, self._open_send_window)
        self._in_flight.add(exchange)
        try:
            exchange.run()
        finally:
            self._in_flight.discard(exchange)

    def _customer(
        self, table: RouteTable, route: HttpRoute, metadata: RequestMetadata
    ) -> HttpCustomer | Failure | None:
        """Return the customer of a request, None if the route needs no API key."""
        if not table.needs_key or route.is_public:
            return None
        if metadata.api_key is None:
            return UNAUTHORIZED
        return table.customer_by_key.get(metadata.api_key, UNAUTHORIZED)

    def _refusal_in_stop(self, routed: RoutedRequest) -> Failure | None:
        """Return why a stopping process refuses a request, None if it is served."""
        plan = self._stopping.plan
        if plan is None:
            return None
        others = self.peers.others(plan)
        decision = self._stop_requests.decide(routed, plan, others)
        self.metrics.on_request_during_stop(routed, plan, decision)
        if decision.is_taken:
            return None
        ready_in_ms = self.peers.stops.ready_in_ms(self._clock.now_ms())
        return stopping_failure(retry_after_ms(decision.reason, others, ready_in_ms))

    def _open_send_window(
        self, routed: RoutedRequest, started_ms: float, deadline_ms: float
    ) -> SendWindow:
        return SendWindow(
            self._clock,
            self._stop_requests,
            self._current_stop,
            routed,
            started_ms,
            deadline_ms,
        )

    def _current_stop(self) -> PlannedStop | None:
        return self._stopping.plan

    def _on_outcome(self, exchange: Exchange, outcome: SendOutcome) -> None:
        self._stop_requests.on_outcome(exchange, outcome)
        self.metrics.on_outcome(exchange, outcome)

    def _refuse(
        self,
        caller: CallerConnection,
        metadata: RequestMetadata,
        failure: Failure,
        version: int | None = None,
    ) -> None:
        self.metrics.on_refused(metadata, failure, version)
        headers = self._header_codec.local_response_headers(metadata.request_id)
        caller.send_failure(failure, metadata.request_id, headers)

    def drain(self, signaled_ms: float | None = None) -> None:
        """Stop gracefully: complete the requests of connected callers, then exit.

        `signaled_ms` is the time from which the limit of the stop counts, a clock
        reading in milliseconds; None for now.
        """
        if self.is_draining:
            return
        plan = plan_stop(signaled_ms, self._clock.now_ms(), self.stop_limit_ms)
        try:
            self._stopping.run(plan)
        finally:
            # A process whose stop fails must not go on: further signals do nothing.
            if not self.stopped.is_set():
                self.stop()

    def stop(self) -> None:
        """Stop at once; requests in flight are cut off."""
        self._loop_monitor.stop()
        self._loops.stop()
        self._server.stop(timeout=0)
        self._readiness.stop()
        self.peers.stop()
        self.peer_state.stop()
        if self._metrics_server is not None:
            self._metrics_server.stop()
        self.stopped.set()
