"""One odd object in the store must not hide the sound ones or end a process."""

import gevent
import pytest
from odd_values import odd_objects, unnamed_objects
from routing_fleet import running_fleet
from structlog.testing import capture_logs

ODD = dict(odd_objects("odd"))
UNNAMED = dict(unnamed_objects())
IGNORED = "ignored an invalid endpoint entry"

LARGE_BYTES = 100_000
LARGE = ("1 MB in spec", "very deep in spec", "very deep in metadata")
"""The large objects that are in the answers; the store client bounds a response."""

IN_ANSWERS = [
    text
    for label, text in [*ODD.items(), *UNNAMED.items()]
    if len(text) < LARGE_BYTES or label in LARGE
]


def wait_for_entries(fleet, router, expected):
    """Wait until a router uses exactly the endpoints with the `expected` ids."""
    fleet.wait_for(
        lambda: {each.instance_id for each in router.endpoints.all()} == expected
    )


def check_router(fleet, router):
    """Check that a router runs, follows the store, and serves requests."""
    assert not router.stopped.is_set()
    assert router.is_store_reachable
    assert fleet.call("/safe/x", router=router).status == 200


def ignored_lines(logs):
    return [line for line in logs if line["event"] == IGNORED]


@pytest.mark.parametrize("kind", ["servers", "routers", "config"])
def test_odd_objects_leave_the_sound_ones_in_use(kind):
    # Guards against one object of another writer that ends all routers, or stops them
    # from following the store. Every kind of odd object is in the answers at once.
    with running_fleet(workers=2) as fleet:
        for number, text in enumerate(IN_ANSWERS):
            fleet.store.put_raw(kind, f"odd-{number}", text)
        gevent.sleep(0.3)
        fleet.store.remove("servers", "w1")
        wait_for_entries(fleet, fleet.router, {"w0"})
        check_router(fleet, fleet.router)
        fresh = fleet.add_router()
        fleet.wait_for(lambda: fresh.is_ready)
        wait_for_entries(fleet, fresh, {"w0"})
        check_router(fleet, fresh)
        fleet.wait_for(lambda: len(fresh.peers.live_addresses()) == 1)


@pytest.mark.parametrize("label", ["deep in spec", "lone surrogate in spec"])
def test_an_odd_entry_is_ignored_on_both_paths(label):
    # Guards against an end of the process, or a stopped follower, by one entry alone.
    with running_fleet(workers=1) as fleet:
        fleet.store.put_raw("servers", "odd", ODD[label])
        fleet.store.put("servers", "w9", ENTRY_BESIDE)
        wait_for_entries(fleet, fleet.router, {"w0", "w9"})
        check_router(fleet, fleet.router)
        fresh = fleet.add_router()
        fleet.wait_for(lambda: fresh.is_ready)
        wait_for_entries(fleet, fresh, {"w0", "w9"})


ENTRY_BESIDE = {
    "backend": "other",
    "address": "127.0.0.1:9",
    "zone": "tartu-a",
    "version": "v1",
    "capacity": 8,
    "state": "ready",
    "warmup_left_ms": 0,
    "seq": 1,
}
