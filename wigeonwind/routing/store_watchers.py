"""Selection of the routers that watch the store on behalf of a large fleet.

Each watch is a call that the store counts, and all routers together share its rate.
In a large fleet a few routers of each availability zone watch. The others learn from
their messages that something has changed, and read it from one of them. A router that
hears of no watcher, or that the store has refused, follows the store itself.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass

from wigeonwind.addresses import SocketAddress
from wigeonwind.hashing import stable_hash
from wigeonwind.state.store_types import UNKNOWN_ERA, StoreRevision

WATCHERS_PER_ZONE = 2
"""Routers of an availability zone that watch, so that one of them may be lost."""

MIN_PEERS = 12
"""Peers from which only some routers watch. Fewer cost the store little."""


@dataclass(frozen=True, slots=True)
class StoreView:
    """What a router knows of the store, as its messages to peers state it.

    `endpoints_revision` is the store revision of the last change of an endpoint entry;
    its era is unknown in the messages of processes of an earlier version.
    `is_watching` says that the router follows the store itself and that the store
    answers it, `is_refused` that the last call of the router failed.
    """

    zone: str
    configuration_version: int
    endpoints_revision: StoreRevision
    is_watching: bool
    is_refused: bool


@dataclass(frozen=True, slots=True)
class PeerView:
    """The last view of a peer whose messages are recent, and its address."""

    view: StoreView
    address: SocketAddress


class StoreWatchers:
    """Decides whether the local router watches the store, and which peers are ahead."""

    def __init__(
        self,
        local_id: str,
        zone: str,
        live_views: Callable[[], Mapping[str, PeerView]],
        knows_era: Callable[[], bool] = lambda: False,
    ) -> None:
        self._local_id = local_id
        self._zone = zone
        self._live_views = live_views
        self._knows_era = knows_era

    def is_passive(self, is_refused: bool) -> bool:
        """Return whether the local router leaves the watching to others.

        `is_refused` says that the last call of the local router to the store failed.
        """
        by_id = self._live_views()
        if is_refused or len(by_id) < MIN_PEERS:
            return False
        if self._knows_era():
            # Revisions of an unknown era cannot be compared, so such peers are no help.
            by_id = {
                peer_id: each
                for peer_id, each in by_id.items()
                if each.view.endpoints_revision.era != UNKNOWN_ERA
            }
        if not any(each.view.is_watching for each in by_id.values()):
            return False
        candidates = [
            peer_id
            for peer_id, each in by_id.items()
            if each.view.zone == self._zone and not each.view.is_refused
        ]
        local_rank = _rank(self._local_id)
        before = sum(_rank(peer_id) < local_rank for peer_id in candidates)
        return before >= WATCHERS_PER_ZONE

    def peers_ahead(
        self, configuration_version: int, endpoints_revision: StoreRevision
    ) -> list[SocketAddress]:
        """Return the peers that know of a later change, those of the zone if any."""
        ahead = [
            each
            for each in self._live_views().values()
            if each.view.endpoints_revision > endpoints_revision
            or each.view.configuration_version > configuration_version
        ]
        near = [each.address for each in ahead if each.view.zone == self._zone]
        return near or [each.address for each in ahead]

    def peers_with_later_configuration(self, version: int) -> list[SocketAddress]:
        """Return the peers that know of a later version of the configuration."""
        return [
            each.address
            for each in self._live_views().values()
            if each.view.configuration_version > version
        ]


def _rank(router_id: str) -> tuple[int, str]:
    """Return the sort key that all routers derive for a router."""
    return stable_hash(router_id), router_id
