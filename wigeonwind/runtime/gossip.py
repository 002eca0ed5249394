"""Gossip of member records and of the configuration over the links of a process."""

from random import Random
from typing import Any

from wigeonwind.clock import Clock
from wigeonwind.links.link_types import Link
from wigeonwind.links.messages import (
    Hello,
    Leaving,
    Members,
    MembersBuckets,
    MembersDigest,
    TextChange,
    TextRequest,
    TextVersion,
)
from wigeonwind.registry import Registry
from wigeonwind.runtime.link_table import LinkTable
from wigeonwind.state.configuration_replica import ConfigurationReplica
from wigeonwind.state.membership import (
    MemberRecord,
    Membership,
    MemberState,
    record_from_row,
)

ANTI_ENTROPY_MS = 10_000.0
"""Interval of comparing records and configuration version with a random peer, which
repairs updates lost with a link. It costs about 40 bytes each time."""

HANDLERS: Registry[Any] = Registry("gossip handler")
"""Handlers by message class name; called with the Gossip, the link and the message."""


class Gossip:
    """Replicates member records and the configuration between linked processes."""

    def __init__(
        self,
        membership: Membership,
        configuration: ConfigurationReplica,
        links: LinkTable,
        clock: Clock,
        rng: Random,
    ) -> None:
        self.membership = membership
        self.configuration = configuration
        self.links = links
        self.clock = clock
        self._rng = rng
        self._configuration_version_by_id: dict[str, int] = {}
        self._handler_by_type = {
            message_type: HANDLERS.get(message_type.__name__)
            for message_type in (
                Leaving,
                Members,
                MembersBuckets,
                MembersDigest,
                TextChange,
                TextRequest,
                TextVersion,
            )
        }

    def on_up(self, link: Link) -> None:
        """Merge the record in the peer's Hello; start a comparison with the peer."""
        hello = link.hello
        self.membership.on_received(hello.member_id, self.clock.now_ms())
        self.merge([record_of_hello(hello)], link)
        link.send(MembersDigest(self.membership.digest(), 0))
        self.configuration.announce(link.send)

    def on_down(self, link: Link) -> None:
        """Mark the peer as suspect in this process only."""
        self.membership.on_link_lost(link.hello.member_id)
        self._configuration_version_by_id.pop(link.hello.member_id, None)

    def on_message(self, link: Link, message: Any) -> bool:
        """Handle a gossip message; return False for other messages."""
        handler = self._handler_by_type.get(type(message))
        if handler is None:
            return False
        handler(self, link, message)
        return True

    def merge(self, records: list[MemberRecord], source: Link | None) -> None:
        """Merge records and forward those that changed."""
        changed = self.membership.merge(records, self.clock.now_ms())
        self.announce(changed, source)

    def announce(self, rows: list, source: Link | None = None) -> None:
        """Send changed rows to all peers except the source."""
        if rows:
            self.links.broadcast(Members(rows), source)

    def tick(self) -> None:
        """Start a comparison with a random peer; to be called every ANTI_ENTROPY_MS."""
        self.membership.expire(self.clock.now_ms())
        links = list(self.links.active_links())
        if links:
            link = self._rng.choice(links)
            link.send(MembersDigest(self.membership.digest(), 0))
            self.configuration.announce(link.send)

    def record_configuration_version(self, member_id: str, version: int) -> None:
        """Record the version of the configuration that a peer has in force."""
        self._configuration_version_by_id[member_id] = version

    def configuration_version_of(self, member_id: str) -> int | None:
        """Return the version of a linked peer, None if the peer is not linked."""
        return self._configuration_version_by_id.get(member_id)

    def newest_configuration_version(self) -> int:
        """Return the highest version that a linked peer announced, 0 if none."""
        return max(self._configuration_version_by_id.values(), default=0)

    def zones_with_configuration(self, version: int) -> set[str]:
        """Return the zones in which a linked peer has `version` or a later one."""
        return {
            link.hello.zone
            for link in self.links.active_links()
            if self._configuration_version_by_id.get(link.hello.member_id, 0) >= version
        }


def record_of_hello(hello: Hello) -> MemberRecord:
    """Return the member record of the sender of a Hello."""
    return MemberRecord(
        hello.member_id,
        hello.incarnation,
        MemberState.LIVE,
        hello.role,
        hello.zone,
        hello.service,
        hello.address,
    )


@HANDLERS.register("Members")
def _on_members(gossip: Gossip, link: Link, message: Members) -> None:
    records = [record for row in message.records if (record := record_from_row(row))]
    gossip.merge(records, link)


@HANDLERS.register("MembersDigest")
def _on_digest(gossip: Gossip, link: Link, message: MembersDigest) -> None:
    if message.digest != gossip.membership.digest():
        link.send(MembersBuckets(gossip.membership.bucket_digests(), reply=True))


@HANDLERS.register("MembersBuckets")
def _on_buckets(gossip: Gossip, link: Link, message: MembersBuckets) -> None:
    rows = gossip.membership.differing_rows(message.digests)
    if message.reply:
        link.send(MembersBuckets(gossip.membership.bucket_digests(), reply=False))
    if rows:
        link.send(Members(rows))


@HANDLERS.register("Leaving")
def _on_leaving(gossip: Gossip, link: Link, message: Leaving) -> None:
    now_ms = gossip.clock.now_ms()
    rows = gossip.membership.on_leaving(message.member_id, message.incarnation, now_ms)
    gossip.announce(rows, link)


@HANDLERS.register("TextVersion")
def _on_configuration_version(gossip: Gossip, link: Link, message: TextVersion) -> None:
    gossip.record_configuration_version(link.hello.member_id, message.version)
    gossip.configuration.on_text_version(message, link.send)


@HANDLERS.register("TextRequest")
def _on_configuration_request(gossip: Gossip, link: Link, message: TextRequest) -> None:
    gossip.configuration.on_text_request(message, link.send)


@HANDLERS.register("TextChange")
def _on_configuration_change(gossip: Gossip, link: Link, message: TextChange) -> None:
    gossip.configuration.on_text_change(message, link.send)
