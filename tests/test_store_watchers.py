"""Watching of the store by a few routers of a large fleet on behalf of the others."""

from random import Random

import pytest
from routing_fleet import configuration, entry
from test_peer_state import two_routers

from wigeonwind.addresses import SocketAddress
from wigeonwind.routing import store_watchers
from wigeonwind.routing.store_watchers import (
    MIN_PEERS,
    WATCHERS_PER_ZONE,
    PeerView,
    StoreView,
    StoreWatchers,
)
from wigeonwind.state.store_types import UNKNOWN_ERA, StoreRevision

ZONES = ("a", "b", "c", "d", "e")


class SimulatedFleet:
    """Routers that tell each other their views; `hears` decides who hears whom."""

    def __init__(self, count):
        self.zone_by_id = {f"r{n}": ZONES[n % len(ZONES)] for n in range(count)}
        self.refused, self.stopped = set(), set()
        self.era_by_id = {}
        self.watching = set(self.zone_by_id)
        self.hears = lambda listener, peer: True
        self.watchers_by_id = {
            name: StoreWatchers(
                name, zone, lambda name=name: self.views_for(name), lambda: True
            )
            for name, zone in self.zone_by_id.items()
        }

    def views_for(self, listener):
        return {
            peer: PeerView(self.view_of(peer), SocketAddress("127.0.0.1", 1))
            for peer in self.zone_by_id
            if peer not in (listener, *self.stopped) and self.hears(listener, peer)
        }

    def view_of(self, peer):
        is_refused = peer in self.refused
        return StoreView(
            self.zone_by_id[peer],
            1,
            StoreRevision(self.era_by_id.get(peer, 1), 1),
            peer in self.watching and not is_refused,
            is_refused,
        )

    def step(self):
        """Let each router decide from what the others said before."""
        self.watching = {
            name
            for name, watchers in self.watchers_by_id.items()
            if name not in self.stopped
            and not watchers.is_passive(name in self.refused)
        }
        return self.watching


@pytest.mark.parametrize("count", [30, 100, 300])
def test_watches_do_not_grow_with_the_fleet(count):
    # Guards against store calls in proportion to the number of routers: at 68 of them
    # they were the dearest part of the platform's bill.
    fleet = SimulatedFleet(count)
    for _ in range(3):
        fleet.step()
    assert len(fleet.watching) == WATCHERS_PER_ZONE * len(ZONES)


def test_a_small_fleet_watches_as_a_whole():
    # Guards against a change that waits for messages where nothing is saved.
    fleet = SimulatedFleet(MIN_PEERS)
    assert len(fleet.step()) == MIN_PEERS


def test_others_watch_when_all_watchers_are_lost_or_refused():
    # Guards against a fleet that serves old data because its watchers are gone.
    fleet = SimulatedFleet(60)
    fleet.step()
    fleet.stopped = set(list(fleet.watching)[:5])
    fleet.refused = fleet.watching - fleet.stopped
    for _ in range(3):
        fleet.step()
    working = fleet.watching - fleet.refused
    assert {fleet.zone_by_id[name] for name in working} == set(ZONES)
    assert fleet.refused <= fleet.watching, "a refused router goes on trying"


def test_a_router_that_hears_of_no_watcher_watches():
    # Guards against a router that is cut off from its peers and misses a drain.
    fleet = SimulatedFleet(60)
    fleet.step()
    passive = next(name for name in fleet.zone_by_id if name not in fleet.watching)
    watching = set(fleet.watching)
    fleet.hears = lambda listener, peer: peer not in watching
    assert passive in fleet.step()


def test_lost_messages_leave_a_watcher_in_each_zone():
    # Guards against zones without a watcher when datagrams are lost or sampled.
    rng = Random(5)
    fleet = SimulatedFleet(100)
    fleet.hears = lambda listener, peer: rng.random() < 0.9
    for _ in range(5):
        fleet.step()
        zones = {fleet.zone_by_id[name] for name in fleet.watching}
        assert zones == set(ZONES)
        assert len(fleet.watching) <= 40


def test_watching_is_not_left_to_peers_that_state_no_era():
    # Guards against a router that misses changes: revisions of processes of an earlier
    # version cannot be compared with its own.
    fleet = SimulatedFleet(60)
    fleet.era_by_id = dict.fromkeys(list(fleet.zone_by_id)[30:], UNKNOWN_ERA)
    for _ in range(3):
        fleet.step()
    of_known_era = fleet.watching - set(fleet.era_by_id)
    assert {fleet.zone_by_id[name] for name in of_known_era} == set(ZONES)
    fleet.stopped = of_known_era
    assert fleet.step() - set(fleet.era_by_id)


def test_only_peers_of_the_latest_era_are_ahead():
    # Guards against taking a router for the newest that has not noticed that the store
    # has returned from a copy, or that does not state an era.
    eras = (1, 2, UNKNOWN_ERA)
    views = {
        f"r{era}": PeerView(
            StoreView("a", 1, StoreRevision(era, 9), True, False),
            SocketAddress("a", 10 + era),
        )
        for era in eras
    }
    watchers = StoreWatchers("me", "a", lambda: views)
    assert watchers.peers_ahead(1, StoreRevision(1, 50)) == [SocketAddress("a", 12)]
    assert watchers.peers_ahead(1, StoreRevision(2, 9)) == []


def test_changes_are_read_within_the_zone_if_possible():
    # Guards against traffic between availability zones that is not needed.
    newer, older = StoreRevision(1, 9), StoreRevision(1, 5)
    views = {
        "near": PeerView(StoreView("a", 2, newer, True, False), SocketAddress("a", 1)),
        "far": PeerView(StoreView("b", 3, newer, True, False), SocketAddress("b", 1)),
        "old": PeerView(StoreView("a", 1, older, True, False), SocketAddress("c", 1)),
    }
    watchers = StoreWatchers("me", "a", lambda: views)
    assert watchers.peers_ahead(1, StoreRevision(1, 9)) == [SocketAddress("a", 1)]
    assert watchers.peers_ahead(2, StoreRevision(1, 9)) == [SocketAddress("b", 1)]
    assert watchers.peers_ahead(3, StoreRevision(1, 9)) == []


def test_a_passive_router_learns_of_changes_without_a_call(monkeypatch):
    # Guards against a drain or a configuration that only watchers notice.
    monkeypatch.setattr(store_watchers, "MIN_PEERS", 1)
    monkeypatch.setattr(store_watchers, "WATCHERS_PER_ZONE", 1)
    with two_routers() as (fleet, second, _):
        routers = (fleet.router, second)
        fleet.wait_for(lambda: sum(each._is_store_passive() for each in routers) == 1)
        leaving = entry(fleet.workers[0], state="draining")
        fleet.store.put("servers", fleet.workers[0].name, leaving)
        fleet.store.put("config", "main", configuration(8))
        for each in routers:
            fleet.wait_for(lambda each=each: each.configuration.table.version == 8)
            fleet.wait_for(lambda each=each: len(each.endpoints) == 1)
