"""Maintains the links of a process: dials missing links and closes unused ones."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from random import Random

from gevent import spawn

from wigeonwind.addresses import SocketAddress, parse_valid_address
from wigeonwind.clock import Clock
from wigeonwind.links.link_types import Link
from wigeonwind.outcomes import Failure, Ok
from wigeonwind.runtime.link_table import LinkTable
from wigeonwind.runtime.peering import DialBackoff, Peering, link_address_of
from wigeonwind.state.membership import MemberRecord

UNUSED_LINK_TIMEOUT_MS = 30_000.0
"""Time after which an idle link that is not needed is closed: a spare link to a peer, a
link outside the current subset, or one that was opened for a single command."""


@dataclass
class DialCounts:
    """Counters of one process since its start."""

    dials: int = 0
    failed_dials: int = 0
    closed_unused: int = 0


class Dialer:
    """Dials and closes links; call `tick` a few times a second.

    `connect` opens a link and blocks. `is_idle` returns whether no attempt is in flight
    on a link. Only the process that sends attempts closes unused links, so that an
    attempt is never sent on a link that its receiver is closing.
    """

    def __init__(
        self,
        peering: Peering,
        links: LinkTable,
        connect: Callable[[SocketAddress], Ok[Link] | Failure],
        is_idle: Callable[[Link], bool],
        clock: Clock,
        rng: Random,
    ) -> None:
        self.counts = DialCounts()
        self._peering = peering
        self._links = links
        self._connect = connect
        self._is_idle = is_idle
        self._clock = clock
        self._rng = rng
        self._backoff = DialBackoff(rng)
        self._dialling_addresses: set[str] = set()
        self._idle_since_ms: dict[Link, float] = {}

    def tick(self, services: Iterable[str], closes_unused: bool) -> None:
        """Dial missing links; close unused ones if this process sends attempts."""
        linked = len(self._links)
        wanted = list(self._peering.wanted_members(tuple(services), linked))
        for record in wanted:
            self.dial_member(record)
        if not linked:
            for address in self._peering.join_addresses(self._rng):
                self._start_dial(address)
        if closes_unused:
            self._close_unused({record.member_id for record in wanted})

    def dial_member(self, record: MemberRecord) -> Link | None:
        """Return the link to a member, or start to open one and return None."""
        link = self._links.get(record.member_id)
        if link is None and link_address_of(record) is not None:
            self._start_dial(record.address)
        return link

    def _start_dial(self, address: str) -> None:
        target = parse_valid_address(address)
        if target is None or address in self._dialling_addresses:
            return
        if self._backoff.may_dial(address, self._clock.now_ms()):
            self._dialling_addresses.add(address)
            spawn(self._open_link, address, target)

    def _open_link(self, address: str, target: SocketAddress) -> None:
        self.counts.dials += 1
        try:
            result = self._connect(target)
        finally:
            self._dialling_addresses.discard(address)
        if isinstance(result, Ok):
            self._backoff.on_success(address)
        else:
            self.counts.failed_dials += 1
            self._backoff.on_failure(address, self._clock.now_ms())

    def _close_unused(self, wanted_ids: set[str]) -> None:
        now_ms = self._clock.now_ms()
        unwanted = [
            link
            for link in self._links.active_links()
            if link.hello.member_id not in wanted_ids
        ]
        unwanted += self._links.spare_links()
        idle_since_ms = {
            link: self._idle_since_ms.get(link, now_ms)
            for link in unwanted
            if self._is_idle(link)
        }
        self._idle_since_ms = idle_since_ms
        for link, since_ms in idle_since_ms.items():
            # A leaving sidecar waits until entries close their links. If it closed them
            # itself, the outcome of attempts in transit would be unknown.
            is_leaving = self._peering.is_leaving(link.hello.member_id)
            if is_leaving or now_ms - since_ms > UNUSED_LINK_TIMEOUT_MS:
                self.counts.closed_unused += 1
                link.close("the link is no longer needed")
