"""The runtime of one process: its links, members, configuration and role."""

from collections.abc import Iterator
from dataclasses import dataclass
from random import Random
from typing import Any, Protocol

from gevent import sleep
from gevent.event import Event
from structlog import get_logger

from wigeonwind.addresses import SocketAddress, parse_address, parse_address_list
from wigeonwind.catalog import Catalog, ServiceKind
from wigeonwind.clock import MS_PER_SECOND, Clock, wall_clock_ms
from wigeonwind.decisions.interfaces import EndpointInfo
from wigeonwind.ids import new_incarnation
from wigeonwind.links.link import LinkServer, connect_link
from wigeonwind.links.link_types import Link, LinkOptions
from wigeonwind.links.messages import Hello, Leaving, OrderResult
from wigeonwind.outcomes import Failure, Ok
from wigeonwind.runtime.configuration_readiness import ConfigurationReadinessGate
from wigeonwind.runtime.dialer import Dialer
from wigeonwind.runtime.gossip import ANTI_ENTROPY_MS, Gossip
from wigeonwind.runtime.link_table import LinkTable
from wigeonwind.runtime.loops import SupervisedLoops
from wigeonwind.runtime.peering import Peering, link_address_of
from wigeonwind.runtime.rollout_controller import RolloutController
from wigeonwind.settings import Settings
from wigeonwind.state.configuration_replica import ConfigurationReplica
from wigeonwind.state.lease import Lease
from wigeonwind.state.membership import MemberRecord, Membership, MemberState
from wigeonwind.state.rollouts import RolloutTimings
from wigeonwind.state.store_types import Store
from wigeonwind.state.subset import is_store_watcher

PEERING_INTERVAL_MS = 250.0
"""Interval between checks for missing and unused links."""

WATCHERS_PER_ZONE = 2
"""Entries per availability zone that watch the store and the VM list and try to acquire
the rollout lease; with two, one may restart."""

ENTRIES_CLOSE_TIMEOUT_MS = 5_000.0
"""Time limit for entries to close their links to a leaving sidecar. They do so at their
next check, but a paused entry must not delay the shutdown."""

LINK_POLL_INTERVAL_MS = 20.0
"""Interval of polling whether linked peers have confirmed a version or closed links."""

log = get_logger("wigeonwind.node")


class Role(Protocol):
    """Interface of a role (entry or sidecar) to the runtime."""

    def on_up(self, link: Link) -> None:
        """Handle a link that becomes the active one to its peer."""
        ...

    def on_message(self, link: Link, message: Any) -> bool:
        """Handle a message; return False if it is not for this role."""
        ...

    def on_down(self, link: Link, reason: str) -> None:
        """Handle the end of the active link to a peer."""
        ...

    def set_catalog(self, catalog: Catalog) -> None:
        """Use another version of the configuration."""
        ...

    def start(self) -> Any:
        """Start serving."""
        ...

    def drain(self, started_ms: float | None = None) -> None:
        """Reject new requests and finish running ones; block until done.

        The times of the drain count from the clock reading `started_ms`, by default
        from now.
        """
        ...

    def stop(self) -> None:
        """Stop immediately."""
        ...


class EndpointConsumer(Protocol):
    """Interface of the component of an entry that chooses endpoints."""

    def set_endpoints(self, endpoints: tuple[EndpointInfo, ...]) -> None:
        """Use these endpoints for new attempts."""
        ...

    def is_idle(self, link: Link) -> bool:
        """Return whether no attempt is in flight on the link."""
        ...


@dataclass
class NodeCounts:
    """Counters of one process since its start."""

    unhandled_messages: int = 0


class Node:
    """The parts of a process that do not depend on its role.

    The role is set by `attach` before `start`, as roles need the parts of the node.
    """

    def __init__(
        self,
        settings: Settings,
        clock: Clock,
        store: Store,
        options: LinkOptions,
        rng: Random,
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.store = store
        self.options = options
        self.rng = rng
        self.counts = NodeCounts()
        self.incarnation = new_incarnation()
        self.links = LinkTable(self._on_active_up, self._on_active_down)
        self.configuration = ConfigurationReplica(self.links.broadcast, clock)
        self.configuration_readiness = ConfigurationReadinessGate(
            clock, self._newest_announced_version
        )
        self.configuration.subscribe(self.configuration_readiness.on_catalog)
        self.members = Membership(self._local_record())
        self.gossip = Gossip(self.members, self.configuration, self.links, clock, rng)
        seeds = parse_address_list(settings.platform.seeds)
        self.peering = Peering(self.members, settings.links.subset_size, seeds)
        self._server = LinkServer(
            parse_address(settings.listen.links), self.hello, self, options
        )
        self.dialer = Dialer(
            self.peering, self.links, self._connect, self._is_idle, clock, rng
        )
        self._stopped = Event()
        self._endpoint_ids: tuple[str, ...] = ()
        self.role: Role | None = None
        self.endpoint_consumer: EndpointConsumer | None = None
        self.rollout_controller: RolloutController | None = None
        self.rollout_timings = RolloutTimings()
        self.loops = SupervisedLoops(self.stop)

    def _newest_announced_version(self) -> int:
        return self.gossip.newest_configuration_version()

    def _local_record(self) -> MemberRecord:
        node = self.settings.node
        endpoint = self.settings.endpoint
        service = endpoint.service if endpoint and node.role == "side" else ""
        return MemberRecord(
            node.id,
            self.incarnation,
            MemberState.LIVE,
            node.role,
            node.zone,
            service,
            self.settings.listen.links,
        )

    def hello(self) -> Hello:
        """Return the Hello that opens each link."""
        local = self.members.local
        return Hello(
            local.member_id,
            local.incarnation,
            local.role,
            local.zone,
            local.service,
            self.configuration.version,
            address=local.address,
        )

    def attach(self, role: Role, consumer: EndpointConsumer | None = None) -> None:
        """Set the role, and for an entry the component that chooses endpoints."""
        self.role = role
        self.endpoint_consumer = consumer
        self.configuration_readiness.subscribe(role.set_catalog)
        if consumer is not None:
            self.configuration_readiness.subscribe(
                lambda catalog: self.refresh_endpoints()
            )

    @property
    def endpoint_ids(self) -> tuple[str, ...]:
        """Return the endpoints to which this entry may send new attempts."""
        return self._endpoint_ids

    def start(self) -> SocketAddress:
        """Accept links and start dialling; return the bound link address."""
        bound = self._server.start()
        local = self.members.local
        if not local.address.endswith(f":{bound.port}"):
            self._set_bound_port(bound)
        self.loops.start(self._peering_loop)
        self.loops.start(self._gossip_loop)
        if self.settings.node.role == "entry":
            self._start_rollout_controller()
        return bound

    def _set_bound_port(self, bound: SocketAddress) -> None:
        """Publish the port that was bound, for settings with port 0."""
        host = parse_address(self.settings.listen.links).host
        self.members.set_local_address(f"{host}:{bound.port}")

    def _start_rollout_controller(self) -> None:
        lease = Lease(self.store, self.settings.node.id, self.clock, wall_clock_ms)
        self.rollout_controller = RolloutController(
            self.store,
            lease,
            self.clock,
            lambda: self.configuration.catalog,
            lambda service: self.members.live("side", service),
            self.open_link,
            self.rollout_timings,
            self.is_watcher,
        )
        self.loops.start(self.rollout_controller.keep_lease)
        self.loops.start(self.rollout_controller.run)

    def is_watcher(self) -> bool:
        """Return whether this process watches the store and the VM list."""
        local = self.members.local
        peers = self.members.live(local.role)
        watches = is_store_watcher(
            local.member_id, local.zone, peers, WATCHERS_PER_ZONE
        )
        return local.role == "entry" and watches

    def stop(self) -> None:
        """Close all links and stop immediately."""
        self._stopped.set()
        if self.rollout_controller is not None:
            self.rollout_controller.stop()
        self.loops.stop()
        self._server.stop()
        for link in [*self.links.active_links(), *self.links.spare_links()]:
            link.close("the process is stopping")

    def announce_leaving(self) -> None:
        """Notify all peers that this process accepts no new requests."""
        local = self.members.local
        rows = self.members.leave(self.clock.now_ms())
        self.links.broadcast(Leaving(local.member_id, local.incarnation))
        self.gossip.announce(rows)
        log.info("leaving", member_id=local.member_id)

    def drain(self, started_ms: float | None = None) -> None:
        """Shut down gracefully: announce, release the lease, drain the role, stop.

        The times of the drain count from the clock reading `started_ms`, by default
        from now.
        """
        if started_ms is None:
            started_ms = self.clock.now_ms()
        self.announce_leaving()
        if self.rollout_controller is not None:
            self.rollout_controller.stop()
        if self.role is not None:
            self.role.drain(started_ms)
        if self.settings.node.role == "side":
            limit_ms = started_ms + self.settings.drain.limit_ms
            self._wait_for_entries(limit_ms)
        self.stop()

    def _wait_for_entries(self, limit_ms: float) -> None:
        """Wait until the entries have closed their links, at most until `limit_ms`.

        Until then the sidecar returns the attempts that still arrive.
        """
        deadline_ms = min(self.clock.now_ms() + ENTRIES_CLOSE_TIMEOUT_MS, limit_ms)
        while self.clock.now_ms() < deadline_ms:
            if not any(
                link.hello.role == "entry" for link in self.links.active_links()
            ):
                return
            sleep(LINK_POLL_INTERVAL_MS / MS_PER_SECOND)

    def on_up(self, link: Link) -> None:
        """Handle a new link."""
        self.links.add(link)
        self.gossip.on_up(link)
        self.configuration_readiness.on_link_up()

    def on_message(self, link: Link, message: Any) -> None:
        """Dispatch a message to the component that handles it."""
        if self.role is not None and self.role.on_message(link, message):
            return
        if self.gossip.on_message(link, message):
            self.refresh_endpoints()
        elif isinstance(message, OrderResult) and self.rollout_controller is not None:
            self.rollout_controller.on_result(message)
        else:
            self.counts.unhandled_messages += 1

    def on_down(self, link: Link, reason: str) -> None:
        """Handle the end of a link."""
        self.links.remove(link, reason)
        if self.links.get(link.hello.member_id) is None:
            self.gossip.on_down(link)
        self.refresh_endpoints()

    def _on_active_up(self, link: Link) -> None:
        if self.role is not None:
            self.role.on_up(link)

    def _on_active_down(self, link: Link, reason: str) -> None:
        if self.role is not None:
            self.role.on_down(link, reason)

    def refresh_endpoints(self) -> None:
        """Update the endpoints to which the entry may send new attempts."""
        if self.endpoint_consumer is None:
            return
        infos = tuple(self._usable_endpoints())
        ids = tuple(info.endpoint_id for info in infos)
        if ids != self._endpoint_ids:
            self._endpoint_ids = ids
            self.endpoint_consumer.set_endpoints(infos)

    def _usable_endpoints(self) -> Iterator[EndpointInfo]:
        catalog = self.configuration.catalog
        for record in self.peering.selected_sidecars(catalog.service_by_name):
            link = self.links.get(record.member_id)
            if link is None:
                continue
            service = catalog.service_by_name[record.service]
            models = service.models if service.kind is ServiceKind.MODEL else ()
            yield EndpointInfo(record.member_id, record.zone, record.service, models)

    def open_link(self, record: MemberRecord) -> Link | None:
        """Return the link to a member; open it if there is none, and block."""
        link = self.links.get(record.member_id)
        if link is None:
            address = link_address_of(record)
            if address is not None:
                self._connect(address)
            link = self.links.get(record.member_id)
        return link

    def link_to_entry(self, member_id: str) -> Link | None:
        """Return the link to another entry; if there is none, start to open it."""
        record = self.members.record(member_id)
        return self.dialer.dial_member(record) if record else None

    def _connect(self, address: SocketAddress) -> Ok[Link] | Failure:
        return connect_link(address, self.hello, self, self.options)

    def _is_idle(self, link: Link) -> bool:
        consumer = self.endpoint_consumer
        return consumer is None or consumer.is_idle(link)

    def wait_for_confirmation(self, version: int, timeout_ms: float) -> list[str]:
        """Wait until every linked zone has `version`; return the zones that have it.

        The wait ends after `timeout_ms`, also if zones are missing.
        """
        deadline_ms = self.clock.now_ms() + timeout_ms
        while True:
            linked = {link.hello.zone for link in self.links.active_links()}
            confirmed = self.gossip.zones_with_configuration(version)
            if linked <= confirmed or self.clock.now_ms() >= deadline_ms:
                return sorted(confirmed)
            sleep(LINK_POLL_INTERVAL_MS / MS_PER_SECOND)

    def _gossip_loop(self) -> None:
        while not self._stopped.is_set():
            sleep(self.rng.uniform(0.8, 1.2) * ANTI_ENTROPY_MS / MS_PER_SECOND)
            self.gossip.tick()

    def _peering_loop(self) -> None:
        while not self._stopped.is_set():
            services = tuple(self.configuration.catalog.service_by_name)
            self.dialer.tick(services, self.settings.node.role == "entry")
            self.configuration_readiness.tick()
            self.refresh_endpoints()
            sleep(PEERING_INTERVAL_MS / MS_PER_SECOND)
