"""Assembly of an entry or sidecar process from its settings."""

from collections.abc import Mapping
from dataclasses import dataclass
from random import Random
from ssl import SSLContext
from typing import Any

from gevent import Greenlet, sleep, spawn
from gevent.event import Event
from structlog import get_logger

from wigeonwind.addresses import SocketAddress, parse_address
from wigeonwind.clock import MS_PER_SECOND, SystemClock, wall_clock_ms
from wigeonwind.decisions.choice import EndpointChooser
from wigeonwind.decisions.endpoint_queue import EndpointQueue
from wigeonwind.decisions.limits import RequestLimiter
from wigeonwind.decisions.retry import RetryPolicy
from wigeonwind.entry.grant_exchange import GrantExchange
from wigeonwind.entry.health_api import HealthApi
from wigeonwind.entry.http_call import StartResponse, read_call
from wigeonwind.entry.metrics_sink import PrometheusSink
from wigeonwind.entry.role import EntryRole
from wigeonwind.links.link import link_options
from wigeonwind.outcomes import Invalid, Ok, Problem
from wigeonwind.runtime.credentials import (
    caller_tls_context,
    load_certificate,
    missing_key_problems,
    read_operators_key,
    reload_link_credentials,
)
from wigeonwind.runtime.loops import SupervisedLoops
from wigeonwind.runtime.metrics import Metrics
from wigeonwind.runtime.node import Node
from wigeonwind.runtime.node_status import node_status
from wigeonwind.runtime.operators_api import OperatorsApi
from wigeonwind.runtime.operators_server import OperatorsServer
from wigeonwind.runtime.rollout_controller import RolloutController
from wigeonwind.runtime.tracing import make_tracer
from wigeonwind.runtime.vm_list_client import VmListClient
from wigeonwind.settings import Settings
from wigeonwind.side.role import SidecarRole
from wigeonwind.state.booking_sweep import BookingSweep, ListingStore, SweepResult
from wigeonwind.state.configuration_watcher import ConfigurationWatcher
from wigeonwind.state.membership import MemberState
from wigeonwind.state.store_client import StoreClient

VM_LIST_INTERVAL_MS = 5_000.0
"""Mean interval between reads of the VM list. Leaving VMs are announced over links, so
the list only serves to find new and dead VMs."""

VM_LIST_LONG_INTERVAL_MS = 60_000.0
"""The same for a linked process that is not a watcher and learns of VMs from its peers.
With 1,190 processes the list is read 23 times a second instead of 238."""

WATCHER_CHECK_INTERVAL_MS = 5_000.0
"""Interval between checks whether this process is a watcher."""

GRANT_MEMBERS_INTERVAL_MS = 250.0
"""Interval between updates of the entries that share the limits."""

SWEEP_INTERVAL_MS = 15_000.0
"""Mean interval between steps of the sweep of expired bookings; the 256 steps take
about an hour, which is short compared with the retention of 7 days."""

EXIT_OK = 0

EXIT_LOOP_FAILED = 70
"""Exit code after a background loop failed (EX_SOFTWARE of sysexits.h)."""

log = get_logger("wigeonwind.process")


@dataclass(frozen=True)
class ProcessAddresses:
    """Bound addresses of a process; None for listeners that it does not have."""

    links: SocketAddress
    callers: SocketAddress | None
    operators: SocketAddress | None


class Process:
    """An entry or sidecar; several can run in one operating system process."""

    def __init__(
        self,
        settings: Settings,
        node: Node,
        key: str,
        tls: SSLContext | None = None,
    ) -> None:
        self.settings = settings
        self._tls = tls
        self.node = node
        self.metrics = Metrics(node.clock)
        self.metrics.add_link_counts(node.options.counts)
        self.stopped = Event()
        self.exit_code = EXIT_OK
        self._loops = SupervisedLoops(self._on_loop_failure)
        node.loops.on_loop_failure = self._on_loop_failure
        self._drain_greenlet: Greenlet | None = None
        self._tracer = make_tracer(settings.trace, settings.node.id, settings.node.role)
        self.entry: EntryRole | None = None
        self.sidecar: SidecarRole | None = None
        self._attach_role()
        self._configuration_watcher = ConfigurationWatcher(
            node.store, node.configuration, node.rng, _sleep_ms
        )
        self._health = HealthApi(lambda: self.ready, self.metrics.render)
        self._operators_api = OperatorsApi(
            node.configuration,
            node.store,
            node.wait_for_confirmation,
            self.status,
            _sleep_ms,
            key,
            self._serve_health,
            self._configuration_watcher.fetch,
        )
        self._operators_server: OperatorsServer | None = None

    def _attach_role(self) -> None:
        node = self.node
        settings = self.settings
        if settings.node.role == "entry":
            chooser = EndpointChooser(settings.node.zone, node.rng)
            limiter = RequestLimiter(node.configuration.catalog, settings.node.id)
            self.entry = EntryRole(
                settings,
                node.clock,
                node.store,
                chooser,
                limiter,
                RetryPolicy(node.rng),
                PrometheusSink(self.metrics),
                self._tracer,
                self._tls,
            )
            self.entry.grants = GrantExchange(limiter, node.clock, node.link_to_entry)
            self.entry.loops.on_loop_failure = self._on_loop_failure
            node.attach(self.entry, self.entry)
        else:
            assert settings.endpoint is not None
            service = settings.endpoint.service
            catalog = node.configuration.catalog
            queue = EndpointQueue(catalog, 1, node.rng, service=service)
            self.sidecar = SidecarRole(
                settings,
                node.clock,
                node.store,
                queue,
                self.metrics,
                node.incarnation,
                self._tracer,
            )
            self.sidecar.loops.on_loop_failure = self._on_loop_failure
            node.attach(self.sidecar)

    @property
    def ready(self) -> bool:
        """Return whether the process may receive new requests."""
        if self.node.members.local.state is not MemberState.LIVE:
            return False
        if self.entry is not None:
            return self.entry.ready
        return (
            self.node.configuration_readiness.is_open and self._drain_greenlet is None
        )

    def start(self) -> ProcessAddresses:
        """Start all listeners and loops; raise OSError if an address is taken."""
        links = self.node.start()
        callers = self.entry.start() if self.entry else None
        if self.sidecar is not None:
            self.sidecar.start()
        operators = self._start_operators()
        for loop in (self._watch_loop, self._poll_loop, self._vm_list_loop):
            self._loops.start(loop)
        if self.entry is not None:
            self._loops.start(self._grants_loop)
            self._loops.start(self._sweep_loop)
        log.info("started", id=self.settings.node.id, role=self.settings.node.role)
        return ProcessAddresses(links, callers, operators)

    def _start_operators(self) -> SocketAddress | None:
        if not self.settings.listen.operators:
            return None
        address = parse_address(self.settings.listen.operators)
        server = OperatorsServer(
            (address.host, address.port), self._operators_api, log=None
        )
        server.start()
        self._operators_server = server
        return SocketAddress(server.server_host, server.server_port)

    def _serve_health(
        self, environ: Mapping[str, Any], start_response: StartResponse
    ) -> Any:
        """Serve health and metrics on the operators' listener."""
        call = read_call(environ, start_response)
        response = self._health.handle(call)
        if response is not None:
            return response
        start_response("404 Not Found", [("Content-Length", "0")])
        return []

    def status(self) -> dict[str, Any]:
        """Return the fields of `/admin/status`."""
        fields = node_status(self.node, self.ready)
        return fields | self.entry.status() if self.entry else fields

    def reload(self) -> tuple[Problem, ...]:
        """Reload keys and certificates and return the problems of invalid files.

        For an invalid file, the current key or certificate is kept.
        """
        listen = self.settings.listen
        problems = list(reload_link_credentials(self.settings.links, self.node.options))
        key = read_operators_key(listen.operators_key_file)
        if isinstance(key, Invalid):
            problems += key.problems
        else:
            self._operators_api.set_key(key)
        if self._tls is not None:
            problem = load_certificate(
                self._tls, "listen", listen.tls_certificate, listen.tls_key
            )
            problems += [problem] if problem is not None else []
        for each in problems:
            log.error(
                "credential file not reloaded; keeping the current one",
                problem=str(each),
            )
        log.info("keys and certificates reloaded", problems=len(problems))
        return tuple(problems)

    def drain(self, signaled_ms: float | None = None) -> None:
        """Start a graceful shutdown without blocking.

        Its times count from the clock reading `signaled_ms`, by default from now. A
        second call ends the grace period early.
        """
        if self._drain_greenlet is None:
            now_ms = self.node.clock.now_ms()
            started_ms = now_ms if signaled_ms is None else signaled_ms
            log.info(
                "draining", id=self.settings.node.id, signal_ms_ago=now_ms - started_ms
            )
            self._drain_greenlet = spawn(self._drain_and_stop, started_ms)
        elif self.entry is not None:
            spawn(self.entry.drain)

    def _drain_and_stop(self, started_ms: float) -> None:
        self.node.drain(started_ms)
        if self._operators_server is not None:
            limit_ms = started_ms + self.settings.drain.limit_ms
            self._operators_server.finish(self.node.clock, limit_ms)
        self._close()

    def stop(self) -> None:
        """Stop immediately, without draining."""
        if self.entry is not None:
            self.entry.stop()
        if self.sidecar is not None:
            self.sidecar.stop()
        self.node.stop()
        self._close()

    def _on_loop_failure(self) -> None:
        """Stop with EXIT_LOOP_FAILED, so that the supervisor restarts the process."""
        if self.exit_code == EXIT_OK:
            self.exit_code = EXIT_LOOP_FAILED
            self.stop()

    def _close(self) -> None:
        self._loops.stop()
        if self.entry is not None:
            self.entry.stop()
        if self._operators_server is not None:
            self._operators_server.stop(timeout=0)
        self._tracer.shutdown()
        log.info("stopped", id=self.settings.node.id)
        self.stopped.set()

    def _watch_loop(self) -> None:
        while True:
            if self.node.is_watcher():
                _sleep_ms(self._configuration_watcher.watch_step())
            else:
                _sleep_ms(WATCHER_CHECK_INTERVAL_MS)

    def _poll_loop(self) -> None:
        while True:
            delay_ms = self._configuration_watcher.poll_step()
            if self._configuration_watcher.has_read_store:
                self.node.configuration_readiness.on_store_response()
            _sleep_ms(delay_ms)

    def _grants_loop(self) -> None:
        """Update the limits when entries join, leave or become unreachable."""
        known_entries: tuple[tuple[str, ...], int] = ((), 0)
        while True:
            members = self.node.members
            live = tuple(sorted(each.member_id for each in members.live("entry")))
            unreachable = sum(members.is_suspect(each) for each in live)
            if (
                (live, unreachable) != known_entries
                and self.entry
                and self.entry.grants
            ):
                known_entries = (live, unreachable)
                self.entry.grants.set_entries(live, unreachable)
            _sleep_ms(GRANT_MEMBERS_INTERVAL_MS)

    def _sweep_loop(self) -> None:
        """Delete expired bookings, on one entry at a time."""
        store = self.node.store
        assert isinstance(store, ListingStore), store
        sweep = BookingSweep(store, wall_clock_ms)
        while True:
            _sleep_ms(self.node.rng.uniform(0.8, 1.2) * SWEEP_INTERVAL_MS)
            sweep_if_lease_held(self.node.rollout_controller, sweep)

    def _vm_list_loop(self) -> None:
        if not self.settings.platform.vm_list:
            return
        client = VmListClient(parse_address(self.settings.platform.vm_list))
        while True:
            response = client.read()
            if isinstance(response, Ok):
                node = self.node
                node.peering.set_listed_addresses(response.value.addresses)
                rows = node.members.on_vm_list(
                    response.value.vms, response.value.as_of_ms, node.clock.now_ms()
                )
                node.gossip.announce(rows)
            reads_often = self.node.is_watcher() or not len(self.node.links)
            mean_ms = VM_LIST_INTERVAL_MS if reads_often else VM_LIST_LONG_INTERVAL_MS
            _sleep_ms(self.node.rng.uniform(0.5, 1.5) * mean_ms)


def sweep_if_lease_held(
    controller: RolloutController | None, sweep: BookingSweep
) -> SweepResult | None:
    """Run one step of the booking sweep if this process holds the rollout lease."""
    if controller is None or not controller.holds_lease:
        return None
    return sweep.step()


def _sleep_ms(duration_ms: float) -> None:
    sleep(duration_ms / MS_PER_SECOND)


def build_process(settings: Settings, seed: int | None = None) -> Ok[Process] | Invalid:
    """Return the process that the settings describe, or their problems."""
    missing = tuple(missing_key_problems(settings))
    if missing:
        return Invalid(missing)
    options = link_options(settings.links, settings.limits.max_body_bytes)
    if isinstance(options, Invalid):
        return options
    rng = Random(seed)
    store = StoreClient(parse_address(settings.platform.store))
    node = Node(settings, SystemClock(), store, options.value, rng)
    key = read_operators_key(settings.listen.operators_key_file)
    if isinstance(key, Invalid):
        return key
    tls = caller_tls_context(settings.listen)
    if isinstance(tls, Invalid):
        return tls
    return Ok(Process(settings, node, key, tls.value))
