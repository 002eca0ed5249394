"""Links of an entry to sidecars, by member id."""

from wigeonwind.links.link_types import Link

SIDECAR_ROLE = "side"


class EndpointLinks:
    """The links to sidecars: one per member, to its newest incarnation."""

    def __init__(self) -> None:
        self._link_by_id: dict[str, Link] = {}
        self._leaving_incarnation_by_id: dict[str, int] = {}

    def __len__(self) -> int:
        """Return the number of links."""
        return len(self._link_by_id)

    def on_up(self, link: Link) -> None:
        """Add a link unless one to a newer incarnation is open."""
        hello = link.hello
        if hello.role != SIDECAR_ROLE:
            return
        current = self._link_by_id.get(hello.member_id)
        if current is not None and current.is_open and _is_newer(current, link):
            return
        self._link_by_id[hello.member_id] = link
        if self._leaving_incarnation_by_id.get(hello.member_id, 0) < hello.incarnation:
            self._leaving_incarnation_by_id.pop(hello.member_id, None)

    def on_down(self, link: Link) -> None:
        """Remove a link unless another one has replaced it."""
        member_id = link.hello.member_id
        if self._link_by_id.get(member_id) is link:
            del self._link_by_id[member_id]
            self._leaving_incarnation_by_id.pop(member_id, None)

    def on_leaving(self, member_id: str, incarnation: int) -> None:
        """Stop sending new requests to a member that is leaving."""
        link = self._link_by_id.get(member_id)
        if link is not None and link.hello.incarnation <= incarnation:
            self._leaving_incarnation_by_id[member_id] = incarnation

    def leaving_ids(self) -> frozenset[str]:
        """Return the ids of leaving members, which get no new requests."""
        return frozenset(self._leaving_incarnation_by_id)

    def open_link(self, member_id: str) -> Link | None:
        """Return the link to a member if it is open, else None."""
        link = self._link_by_id.get(member_id)
        return link if link is not None and link.is_open else None


def _is_newer(link: Link, other: Link) -> bool:
    return link.hello.incarnation > other.hello.incarnation
