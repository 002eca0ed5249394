"""Returns of the store with wrong eras, unchanged versions and held endpoints."""

import gevent
import pytest
from routing_fleet import ANY, configuration, entry, running_fleet
from test_peer_state import two_routers
from test_store_era import instance_ids

from wigeonwind.routing.peer_messages import LoadMessage
from wigeonwind.routing.store_watchers import StoreView
from wigeonwind.soak.loopback_proxy import ProxyFault
from wigeonwind.state.store_eras import StoreEras
from wigeonwind.state.store_types import StoreRevision


def refuse(fleet, second, proxy):
    proxy.fault = ProxyFault.REFUSED
    proxy.reset_all()
    fleet.wait_for(lambda: not second.is_store_reachable)


def send_view(router, era):
    """Let a router receive one message of an unknown peer that states an era."""
    view = StoreView("z", 1, StoreRevision(era, 1), True, False)
    router.peers._on_message(LoadMessage("odd", 1, 1, {}, (), view), ANY)


@pytest.mark.parametrize("era", [2, 2**63 - 1])
def test_refused_router_follows_peers_after_one_message_with_a_wrong_era(era):
    # Guards against a router that ignores the states of all peers for ever.
    with two_routers() as (fleet, second, proxy):
        refuse(fleet, second, proxy)
        send_view(second, era)
        fleet.store.put("servers", "w0", entry(fleet.workers[0], state="draining"))
        fleet.wait_for(lambda: instance_ids(fleet.router) == ["w1"])
        fleet.wait_for(lambda: instance_ids(second) == ["w1"])


def test_refused_router_follows_peers_when_the_era_of_the_store_goes_down():
    # Guards against a router that ignores its peers because their era is lower.
    with two_routers() as (fleet, second, proxy):
        fleet.store.state.era = 7
        fleet.store.put("servers", "w1", entry(fleet.workers[1], warmup_left_ms=5))
        gevent.sleep(1.0)
        refuse(fleet, second, proxy)
        fleet.store.return_from(fleet.store.state.copy())
        fleet.store.state.era = 3
        fleet.store.put("servers", "w0", entry(fleet.workers[0], state="draining"))
        fleet.wait_for(lambda: instance_ids(fleet.router) == ["w1"])
        fleet.wait_for(lambda: instance_ids(second) == ["w1"])


def test_era_of_a_peer_is_learned_after_a_wrong_one():
    # Guards against routers that never learn of a return from peers any more, because
    # one message had a huge era that the store did not confirm.
    eras = StoreEras()
    eras.observe(1, eras.current)
    eras.learn(2**63 - 1)
    eras.observe(1, eras.current)
    assert eras.current == 1
    eras.learn(2)
    assert eras.current == 2


def test_refused_router_uses_an_endpoint_that_is_written_again():
    # Guards against a live endpoint that is held back for 10 s where entries come from
    # peers, which give listings and no changes.
    with two_routers() as (fleet, second, proxy):
        copy = fleet.store.state.copy()
        fleet.store.remove("servers", "w0")
        for router in (fleet.router, second):
            fleet.wait_for(lambda router=router: instance_ids(router) == ["w1"])
        refuse(fleet, second, proxy)
        fleet.store.return_from(copy)
        gevent.sleep(1.0)
        assert instance_ids(second) == ["w1"]
        fleet.store.put("servers", "w0", entry(fleet.workers[0], warmup_left_ms=5))
        fleet.wait_for(lambda: instance_ids(fleet.router) == ["w0", "w1"])
        fleet.wait_for(lambda: instance_ids(second) == ["w0", "w1"])


def test_configuration_of_the_same_version_with_other_content():
    # Guards against routers that keep a configuration of which the store has lost every
    # trace: a version given out again for another configuration.
    with running_fleet(workers=1, routers=2) as fleet:
        copy = fleet.store.state.copy()
        fleet.store.put("config", "main", configuration(2))
        for each in fleet.routers:
            fleet.wait_for(lambda each=each: each.configuration.table.version == 2)
        fleet.store.return_from(copy)
        other = configuration(2, tenants=[{"name": "mill", "api_keys": ["key-2"]}])
        fleet.store.put("config", "main", other)
        fresh = fleet.add_router()
        fleet.wait_for(lambda: fresh.is_ready)
        gevent.sleep(2.0)
        keys = [
            list(each.configuration.table.customer_by_key) for each in fleet.routers
        ]
        assert keys == [["key-2"]] * 3
