"""One odd object in the store must not hide the sound ones or end a process."""

import json
import re
import time

import gevent
import pytest
from odd_values import ODD_TEXTS, SPEC, odd_objects, place, stored, unnamed_objects
from routing_fleet import entry, running_fleet
from structlog.testing import capture_logs
from test_peer_state import ProxyFault, two_routers

from wigeonwind.platform.endpoint_entries import decode_endpoint
from wigeonwind.platform.store_format import PlatformStoreFormat
from wigeonwind.routing.endpoints import Endpoint
from wigeonwind.routing.peer_messages import MESSAGE_VERSION
from wigeonwind.standins.platform_worker import EventStream, FullResponse
from wigeonwind.state.store_http import StoreResponse
from wigeonwind.state.store_types import Conflict

ODD = dict(odd_objects("odd"))
UNNAMED = dict(unnamed_objects())
IGNORED = "ignored an invalid endpoint entry"

MAX_LINE_CHARS = 600

MAX_SPLIT_S = 3.0
"""Processor time for two responses of 300 KB; a quadratic search takes far more."""

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


SOUND = json.dumps(stored("sound")).encode()
LAST = json.dumps(stored("z-last")).encode()


def answers(odd):
    """Return a listing and a watch answer with an odd element among sound ones."""
    listing = b'{"entries": [%s, %s, %s], "has_more": true, "store_revision": 30}'
    event = b'{"removed": false, "object": %s}'
    events = b", ".join(event % text for text in (SOUND, odd, LAST))
    changes = b'{"events": [%s], "store_revision": 30}' % events
    return listing % (SOUND, odd, LAST), changes


@pytest.mark.parametrize("label", [*ODD, *UNNAMED])
def test_each_odd_object_is_decoded_alone(label):
    # Guards against an odd object that raises, spoils its response or is used.
    odd = ODD.get(label) or UNNAMED[label]
    listing, changes = answers(odd)
    store_format = PlatformStoreFormat()
    page = store_format.read_list_page("servers/", StoreResponse(200, listing))
    batch = store_format.read_watch("servers/", 5, StoreResponse(200, changes))
    assert (page.value.revision, page.value.next_after) == (30, "z-last")
    assert batch.value.revision == 30
    for objects in (page.value.objects, batch.value.events):
        first, second, third = objects
        assert [first.key, third.key] == ["servers/sound", "servers/z-last"]
        assert (second.key == "servers/odd") == (label in ODD)
        assert isinstance(decode_endpoint(second.key, second.value), str)
        for sound in (first, third):
            assert isinstance(decode_endpoint(sound.key, sound.value), Endpoint)


@pytest.mark.parametrize("label", [*ODD, *UNNAMED])
def test_a_conflict_with_an_odd_object_is_a_conflict(label):
    # Guards against a router that cannot replace its own record in the directory.
    odd = ODD.get(label) or UNNAMED[label]
    written = PlatformStoreFormat().read_put("k/odd", StoreResponse(409, odd))
    assert isinstance(written, Conflict)
    if "revision" not in label and label in ODD:
        assert written.version == 5
    PlatformStoreFormat().read_get("k/odd", StoreResponse(200, odd))


@pytest.mark.parametrize("text", [b'{"removed": 1, "object": %s}', b"[]", b"7", b"{}"])
def test_an_odd_event_leaves_the_others(text):
    # Guards against a lost change, or a listing for each watch.
    odd = text.replace(b"%s", SOUND)
    changes = b'{"events": [%s, {"object": %s}], "store_revision": 30}' % (odd, LAST)
    batch = PlatformStoreFormat().read_watch("k/", 5, StoreResponse(200, changes))
    assert [each.key for each in batch.value.events][1:] == ["k/z-last"]
    assert not batch.value.events[0].deleted


@pytest.mark.parametrize("count", [200, 300_000])
@pytest.mark.parametrize(
    "text", ["[", "{", '"', '\\"', '"\\"', ",", "]", '{"a":', "\\"]
)
def test_any_response_is_split_in_linear_time(text, count):
    # Guards against a response that blocks the process, which has one thread.
    body = b'{"entries": [' + (text * (count // len(text))).encode()
    for end in (b"", b"]}", b'"]}', b'], "store_revision": 3}'):
        response = StoreResponse(200, body + end)
        started_s = time.process_time()
        PlatformStoreFormat().read_list_page("servers/", response)
        PlatformStoreFormat().read_watch("servers/", 1, response)
        assert time.process_time() - started_s < MAX_SPLIT_S


def test_an_entry_that_turns_odd_is_not_used_until_it_is_sound():
    # Guards against requests to an address that a foreign writer has replaced, also
    # after an outage, when missing entries are used for a while.
    with running_fleet(workers=2) as fleet:
        fleet.router.endpoints.on_view_interrupted()
        assert not fleet.router.endpoints.is_authoritative
        fleet.store.put("servers", "w1", entry(fleet.workers[1], address="x:0"))
        wait_for_entries(fleet, fleet.router, {"w0"})
        assert not fleet.router.endpoints.is_authoritative
        fleet.store.put("servers", "w1", entry(fleet.workers[1], seq=2))
        wait_for_entries(fleet, fleet.router, {"w0", "w1"})
        fleet.router.endpoints.on_view_interrupted()
        fleet.store.put("servers", "w1", entry(fleet.workers[1], address="x:0"))
        fleet.store.compact()
        wait_for_entries(fleet, fleet.router, {"w0"})
        assert not fleet.router.endpoints.is_authoritative


def test_an_odd_entry_is_logged_and_counted_once():
    # Guards against a line for each listing, and against lines as long as the entry.
    with running_fleet(workers=1) as fleet, capture_logs() as logs:
        text = place(stored("odd", SPEC | {"state": "PLACE"}), f'"{"x" * 9_000}"')
        fleet.store.put_raw("servers", "odd", text)
        fleet.wait_for(lambda: ignored_lines(logs))
        for _ in range(3):
            listings = len(fleet.store.requests)
            fleet.store.put("servers", "later", {})
            fleet.store.remove("servers", "later")
            fleet.store.compact()
            fleet.wait_for(lambda n=listings: len(fleet.store.requests) > n + 1)
        lines = [line for line in ignored_lines(logs) if line["key"] == "servers/odd"]
        assert len(lines) == 1
        assert len(str(lines[0])) < MAX_LINE_CHARS
        metrics = fleet.router.metrics.render().decode()
        count = re.search(r"wigeonwind_endpoint_entries_ignored_total (\d+)", metrics)
        assert count is not None
        assert int(count[1]) >= 1
        check_router(fleet, fleet.router)


def test_odd_entries_are_not_passed_on_to_peers():
    # Guards against a state of a peer that is too large, or ends the router reading it.
    with two_routers() as (fleet, second, proxy):
        proxy.fault = ProxyFault.REFUSED
        proxy.reset_all()
        fleet.wait_for(lambda: not second.is_store_reachable)
        for number, text in enumerate(IN_ANSWERS):
            fleet.store.put_raw("servers", f"odd-{number}", text)
        fleet.store.remove("servers", "w0")
        wait_for_entries(fleet, second, {"w1"})
        assert not second.stopped.is_set()
        shared = fleet.router.peer_state.local_state().endpoints
        assert [each.key for each in shared] == ["servers/w1"]


@pytest.mark.parametrize("label", ["deep", "lone surrogate", "NaN"])
def test_a_router_replaces_an_odd_record_under_its_name(label):
    # Guards against a router that its peers cannot find, because it cannot register.
    with running_fleet(workers=1) as fleet:
        revision = fleet.store.state.revision + 1
        metadata = {"name": "edge-2", "revision": revision}
        record = stored("edge-2", {}, metadata=metadata, status="PLACE")
        text = place(record, ODD_TEXTS[label])
        assert fleet.store.put_raw("routers", "edge-2", text) == revision
        router = fleet.add_router()
        records = fleet.store.state.objects_by_kind["routers"]
        expected = {
            "address": str(router.peers.address),
            "message_version": MESSAGE_VERSION,
        }
        fleet.wait_for(lambda: records["edge-2"].spec == expected)
        fleet.wait_for(lambda: router.is_ready)


@pytest.mark.parametrize("path", ["/once/x", "/safe/x", "/stream/x"])
def test_an_answer_of_an_endpoint_whose_entry_was_spoiled_arrives(path):
    # Guards against an error at the first event of a request that was sent before
    # another writer spoiled the entry: its answer became 502.
    behaviour = FullResponse(delay_ms=1_200.0)
    if path.startswith("/stream"):
        behaviour = EventStream(prefill_ms=1_200.0)
    with running_fleet(workers=1, default_response=behaviour) as fleet:
        worker = fleet.workers[0]
        prompt = ("Token-Usage: 500,40",)
        call = gevent.spawn(fleet.call, path, "POST", b"abc", prompt)
        fleet.wait_for(lambda: fleet.received() == 1)
        fleet.store.put("servers", worker.name, entry(worker, state="odd"))
        wait_for_entries(fleet, fleet.router, set())
        gevent.sleep(0.6)
        fleet.store.put("servers", worker.name, entry(worker))
        wait_for_entries(fleet, fleet.router, {worker.name})
        reply = call.get(timeout=5.0)
        assert (reply.status, reply.is_whole) == (200, True)
        assert fleet.received() == 1
