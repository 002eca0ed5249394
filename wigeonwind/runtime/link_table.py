"""The open links of a process by peer, and the active link of each peer."""

from collections.abc import Callable, Iterator
from typing import Any

from wigeonwind.links.link_types import Link


class LinkTable:
    """Open links by member id.

    Two processes may dial each other at the same time. The first link is active and any
    other is a spare, which becomes active when the first breaks. Neither is closed at
    once, as that could interrupt a request in flight.

    `on_active_up` is called for each link that becomes active, `on_active_down` when an
    active link is down.
    """

    def __init__(
        self,
        on_active_up: Callable[[Link], None],
        on_active_down: Callable[[Link, str], None],
    ) -> None:
        self._links_by_id: dict[str, list[Link]] = {}
        self._on_up = on_active_up
        self._on_down = on_active_down

    def add(self, link: Link) -> None:
        """Add a link that is up; it becomes active if it is the only one to the peer.

        Links to an earlier incarnation of the peer are closed. Otherwise the link to a
        VM that died silently would stay active until its heartbeat times out.
        """
        links = self._links_by_id.setdefault(link.hello.member_id, [])
        for old in list(links):
            if old.hello.incarnation < link.hello.incarnation:
                self.remove(old, "the peer has restarted")
                old.close("the peer has restarted")
        links = self._links_by_id.setdefault(link.hello.member_id, [])
        links.append(link)
        if len(links) == 1:
            self._on_up(link)

    def remove(self, link: Link, reason: str) -> None:
        """Remove a link that is down; a spare becomes active."""
        member_id = link.hello.member_id
        links = self._links_by_id.get(member_id, [])
        if link not in links:
            return
        was_active = links[0] is link
        links.remove(link)
        if not links:
            del self._links_by_id[member_id]
        if was_active:
            self._on_down(link, reason)
            if links:
                self._on_up(links[0])

    def get(self, member_id: str) -> Link | None:
        """Return the active link to a peer, or None."""
        links = self._links_by_id.get(member_id)
        return links[0] if links else None

    def active_links(self) -> Iterator[Link]:
        """Yield the active link of each peer."""
        return iter([links[0] for links in self._links_by_id.values()])

    def spare_links(self) -> Iterator[Link]:
        """Yield the spare links of all peers."""
        return iter(
            [link for links in self._links_by_id.values() for link in links[1:]]
        )

    def broadcast(self, message: Any, source: Link | None = None) -> None:
        """Send to all peers except the peer of `source`."""
        skipped = source.hello.member_id if source else None
        for link in self.active_links():
            if link.hello.member_id != skipped:
                link.send(message)

    def __len__(self) -> int:
        """Return the number of linked peers."""
        return len(self._links_by_id)
