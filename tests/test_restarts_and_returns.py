"""Endpoints that start again under their id around a return of the store."""

from routing_fleet import entry, running_fleet
from test_store_era import holds_for, instance_ids


def starts(router):
    return sorted(
        (each.instance_id, str(each.address)) for each in router.endpoints.all()
    )


def test_new_start_under_the_same_id_is_not_replaced_by_the_start_in_the_copy():
    # Guards against a live endpoint that is dropped, and one that has ended that is
    # used again, because the copy has an earlier start under the same id.
    with running_fleet(workers=2) as fleet:
        old, new = fleet.workers
        fleet.store.remove("servers", "w1")
        fleet.wait_for(lambda: instance_ids(fleet.router) == ["w0"])
        copy = fleet.store.state.copy()
        fleet.store.put("servers", "w0", entry(new, born=2000))
        expected = [("w0", str(new.address))]
        fleet.wait_for(lambda: starts(fleet.router) == expected)
        fleet.store.return_from(copy)
        assert holds_for(1.5, lambda: starts(fleet.router) == expected)


def test_live_new_start_stays_when_the_copy_has_the_drained_one():
    # Guards against a service without an endpoint: the earlier start is held back and
    # the live one is dropped.
    with running_fleet(workers=2) as fleet:
        old, new = fleet.workers
        fleet.store.remove("servers", "w1")
        fleet.wait_for(lambda: instance_ids(fleet.router) == ["w0"])
        copy = fleet.store.state.copy()
        fleet.store.put("servers", "w0", entry(old, state="draining"))
        fleet.wait_for(lambda: instance_ids(fleet.router) == [])
        fleet.store.put("servers", "w0", entry(new, born=2000))
        expected = [("w0", str(new.address))]
        fleet.wait_for(lambda: starts(fleet.router) == expected)
        fleet.store.return_from(copy)
        assert holds_for(1.5, lambda: starts(fleet.router) == expected)
