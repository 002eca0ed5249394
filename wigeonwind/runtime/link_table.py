"""The open links of a process by peer, and which link of a peer is in use."""

from collections.abc import Callable, Iterator
from typing import Any

from wigeonwind.links.link_types import Link


class LinkTable:
    """Open links by member id.

    Two processes may dial each other at the same time. The first link stays in use and
    any other is a spare, which takes over when the first breaks: closing either at once
    could break a request in flight.
    """

    def __init__(
        self,
        on_first_up: Callable[[Link], None],
        on_last_down: Callable[[Link, str], None],
    ) -> None:
        self._links_by_id: dict[str, list[Link]] = {}
        self._on_up = on_first_up
        self._on_down = on_last_down

    def add(self, link: Link) -> None:
        """File a link that has come up; announce it if it is the peer's first.

        Links to an earlier start of the peer are closed: a VM that died silently would
        else keep its successor out of use until the heartbeat's timeout.
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
        """Drop a link that is down; a spare takes over."""
        member_id = link.hello.member_id
        links = self._links_by_id.get(member_id, [])
        if link not in links:
            return
        was_used = links[0] is link
        links.remove(link)
        if not links:
            del self._links_by_id[member_id]
        if was_used:
            self._on_down(link, reason)
            if links:
                self._on_up(links[0])

    def get(self, member_id: str) -> Link | None:
        """Return the link in use to a peer, or None."""
        links = self._links_by_id.get(member_id)
        return links[0] if links else None

    def active_links(self) -> Iterator[Link]:
        """Yield the link in use of each peer."""
        return iter([links[0] for links in self._links_by_id.values()])

    def spare_links(self) -> Iterator[Link]:
        """Yield links that are not in use."""
        return iter(
            [link for links in self._links_by_id.values() for link in links[1:]]
        )

    def broadcast(self, message: Any, source: Link | None = None) -> None:
        """Send to each peer but the one that `source` leads to."""
        skipped = source.hello.member_id if source else None
        for link in self.active_links():
            if link.hello.member_id != skipped:
                link.send(message)

    def __len__(self) -> int:
        """Return the number of linked peers."""
        return len(self._links_by_id)
