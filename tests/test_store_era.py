"""A store that returns from a copy some seconds old, with lower revisions."""

import json
from copy import deepcopy
from dataclasses import replace
from random import Random
from urllib.request import Request, urlopen

import cbor2
import gevent
import pytest
from routing_fleet import ANY, configuration, entry, running_fleet
from test_peer_state import two_routers
from test_routing_parts import RecordingHandler

from wigeonwind.addresses import SocketAddress
from wigeonwind.clock import ManualClock, SystemClock
from wigeonwind.decisions.latency_choice import LatencyChooser
from wigeonwind.outcomes import Ok
from wigeonwind.platform.__main__ import STORE_LIMITS
from wigeonwind.platform.store_format import PlatformStoreFormat
from wigeonwind.routing import peer_state
from wigeonwind.routing.peer_exchange import PeerExchange
from wigeonwind.routing.peer_messages import LoadMessage, decode_load, encode_load
from wigeonwind.routing.store_follower import StoreFollower
from wigeonwind.routing.store_watchers import StoreView
from wigeonwind.soak.loopback_proxy import ProxyFault
from wigeonwind.standins.platform_store import PlatformStore
from wigeonwind.state.store_client import StoreClient
from wigeonwind.state.store_eras import StoreEras
from wigeonwind.state.store_types import (
    UNKNOWN_ERA,
    HistoryExpired,
    ObjectPage,
    StoredObject,
    StoreFailure,
    StoreRevision,
)


@pytest.fixture
def store():
    platform_store = PlatformStore()
    yield platform_store
    platform_store.stop()


def client_of(platform_store):
    format = PlatformStoreFormat()
    address, rng = platform_store.address, Random(1)
    return StoreClient(address, STORE_LIMITS, SystemClock(), rng, format=format)


def test_store_double_gives_revisions_out_again(store):
    # Guards against a double that keeps what a return from a copy loses.
    client = client_of(store)
    store.put("k", "kept", 1)
    copy = store.state.copy()
    lost_revision = store.put("k", "lost", 2)
    listed = client.list_objects("k/")
    assert isinstance(listed, Ok)
    assert (listed.value.era, listed.value.revision) == (1, lost_revision)
    store.return_from(copy)
    expired = client.watch("k/", lost_revision, 10.0)
    assert expired == HistoryExpired(lost_revision, era=2)
    assert store.put("k", "new", 3) == lost_revision
    listed = client.list_objects("k/")
    assert [each.key for each in listed.value.objects] == ["k/kept", "k/new"]
    assert (listed.value.era, listed.value.revision) == (2, lost_revision)
    assert client.watch("k/", lost_revision, 10.0).value.events == ()


def test_store_double_states_its_era_in_every_response(store):
    # Guards against an era that failures and conflicts do not state.
    host = f"http://127.0.0.1:{store.address.port}"
    store.put("k", "a", 1)
    body = json.dumps({"metadata": {"name": "a"}, "spec": 1}).encode()
    for request in (
        Request(f"{host}/api/objects/k"),
        Request(f"{host}/api/objects/k/none"),
        Request(f"{host}/api/objects/k", body, method="POST"),
    ):
        try:
            response = urlopen(request, timeout=5)
        except OSError as error:
            response = error
        assert response.headers["Store-Era"] == "1"


@pytest.mark.parametrize("header", [None, "", "x", "-3", "1.5", "٣", "9" * 40])
def test_era_that_is_no_number_is_unknown(store, header, monkeypatch):
    # Guards against a response that is lost because its era cannot be read.
    store.states_era = False
    if header is not None:
        monkeypatch.setattr(store, "_respond", responder(header))
    listed = client_of(store).list_objects("k/")
    assert listed.value.era == UNKNOWN_ERA


def responder(era):
    def respond(start, status, document):
        body = json.dumps(document).encode()
        start(f"{status} x", [("Store-Era", era.encode().decode("latin-1"))])
        return [body]

    return respond


def instance_ids(router):
    return sorted(each.instance_id for each in router.endpoints.all())


def holds_for(seconds, condition):
    """Return whether a condition holds all the time."""
    with gevent.Timeout(seconds, False):
        while condition():
            gevent.sleep(0.01)
        return False
    return True


def raise_revision(store, count):
    for number in range(count):
        store.put("other", "x", number)


def test_change_under_a_revision_given_out_again_is_followed():
    # Guards against a watch that goes on over another history: no call fails, and the
    # change has the revision that the watch began from.
    with running_fleet(workers=3) as fleet:
        fleet.store.remove("servers", "w1")
        fleet.wait_for(lambda: instance_ids(fleet.router) == ["w0", "w2"])
        copy = fleet.store.state.copy()
        fleet.store.put("servers", "w1", entry(fleet.workers[1]))
        fleet.wait_for(lambda: instance_ids(fleet.router) == ["w0", "w1", "w2"])
        gevent.sleep(0.5)  # The watch from the newest revision is open.
        fleet.store.return_from(copy, is_noticed_by_watches=False)
        fleet.store.put("servers", "w2", entry(fleet.workers[2], state="draining"))
        raise_revision(fleet.store, 2)
        fleet.store.put("config", "main", configuration(2))
        fleet.wait_for(lambda: instance_ids(fleet.router) == ["w0"])


class LateStore:
    """Answers a listing of era 1 after another call has had an answer of era 2."""

    def __init__(self, eras):
        self.eras = eras
        self.calls = []

    def list_objects(self, prefix):
        self.calls.append("list")
        is_late, number = len(self.calls) == 2, 30 if len(self.calls) < 3 else 10
        era_at_send = self.eras.current
        if is_late:
            self.eras.observe(2, era_at_send)
        era = self.eras.observe(1 if number == 30 else 2, era_at_send)
        stored = StoredObject(f"k/{number}", number, b"{}")
        return Ok(ObjectPage((stored,), number, era=era))

    def watch(self, prefix, after, timeout_ms):
        self.calls.append(f"watch {after}")
        gevent.sleep(60.0)


def test_late_answer_of_the_earlier_era_is_ignored():
    # Guards against an answer on a slow connection that undoes a return of the store.
    eras, handler = StoreEras(), RecordingHandler()
    store = LateStore(eras)
    follower = StoreFollower(store, "k/", handler, lambda _: None, eras=eras)
    follower.step()
    assert follower.revision_seen == StoreRevision(1, 30)
    follower._watch_after = None
    follower.step()
    assert follower.revision_seen == StoreRevision(1, 30)
    follower.step()
    assert follower.revision_seen == StoreRevision(2, 10)
    assert handler.events == [("listed", ["k/30"]), ("listed", ["k/10"])]


def test_open_watch_is_given_up_when_another_call_shows_a_return():
    # Guards against a follower that waits for its watch while the store has returned.
    eras = StoreEras()
    store = LateStore(eras)
    follower = StoreFollower(store, "k/", RecordingHandler(), lambda _: None, eras=eras)
    loop = gevent.spawn(follower.run)
    gevent.sleep(0.05)
    eras.observe(2, 1)
    gevent.sleep(0.05)
    loop.kill()
    assert store.calls[:3] == ["list", "watch 30", "list"]


def test_era_is_the_one_of_the_newest_answer():
    # Guards against a router that ignores the store because of a peer, or of an answer
    # that arrived late.
    eras, changes = StoreEras(), []
    eras.subscribe(lambda: changes.append(eras.current))
    assert eras.observe(UNKNOWN_ERA, UNKNOWN_ERA) == UNKNOWN_ERA
    assert eras.observe(1, UNKNOWN_ERA) == 1
    assert eras.observe(3, 1) == 3
    assert (eras.observe(2, 1), eras.current) == (2, 3)
    assert eras.observe(UNKNOWN_ERA, 3) == 3
    eras.learn(9)
    assert (eras.observe(3, 3), eras.current) == (3, 9)
    assert (eras.observe(3, 9), eras.current) == (3, 3)
    eras.learn(9)
    eras.learn(UNKNOWN_ERA)
    assert eras.current == 3
    assert changes == [3, 9, 3]


def test_refused_router_follows_a_peer_over_a_return():
    # Guards against a router that keeps its state because the true revision is lower.
    with two_routers() as (fleet, second, proxy):
        copy = fleet.store.state.copy()
        raise_revision(fleet.store, 20)
        fleet.store.put("servers", "w1", entry(fleet.workers[1], warmup_left_ms=5))
        gevent.sleep(0.5)
        proxy.fault = ProxyFault.REFUSED
        proxy.reset_all()
        fleet.wait_for(lambda: not second.is_store_reachable)
        fleet.store.return_from(copy)
        fleet.store.put("servers", "w0", entry(fleet.workers[0], state="draining"))
        fleet.wait_for(lambda: instance_ids(fleet.router) == ["w1"])
        fleet.wait_for(lambda: instance_ids(second) == ["w1"])


def test_state_of_the_earlier_era_is_not_adopted():
    # Guards against the entries of a router that has not noticed the return yet.
    with two_routers() as (fleet, second, _):
        copy = fleet.store.state.copy()
        raise_revision(fleet.store, 20)
        fleet.store.put("servers", "w1", entry(fleet.workers[1], warmup_left_ms=5))
        gevent.sleep(0.5)
        stale = deepcopy(second.peer_state.local_state())
        fleet.store.return_from(copy)
        fleet.store.put("servers", "w0", entry(fleet.workers[0], state="draining"))
        fleet.wait_for(lambda: instance_ids(fleet.router) == ["w1"])
        fleet.router.peer_state._apply(stale, ANY)
        assert instance_ids(fleet.router) == ["w1"]


class RecordingSocket:
    """Records the versions of the load messages sent."""

    def __init__(self):
        self.versions = []

    def sendto(self, data, _):
        self.versions.append(cbor2.loads(data)[0])


def test_peers_get_the_latest_version_that_they_understand():
    # Guards against messages that a process of an earlier version cannot decode, and
    # against processes that never tell each other the era.
    clock, chooser = ManualClock(), LatencyChooser("a", Random(1))
    exchange = PeerExchange("me", clock, Random(1), chooser, None, "routers/")
    exchange.stop()
    exchange._sock = RecordingSocket()
    source = SocketAddress("127.0.0.1", 9)

    def sent_after(*message):
        exchange._on_message(
            LoadMessage("other", *message[:2], {}, (), None, message[2]), source
        )
        exchange._send_once()
        return exchange._sock.versions[-1]

    assert sent_after(1, 1, 2) == 2
    assert sent_after(1, 2, 3) == 3
    assert sent_after(1, 3, 2) == 3, "sent before the peer knew this process"
    assert sent_after(2, 1, 2) == 2, "a start of an earlier version"
    for record, version in (
        (b'{"address":"127.0.0.1:9"}', 2),
        (b'{"address":"127.0.0.1:9","message_version":3}', 3),
        (b'{"address":"127.0.0.1:9","message_version":5}', 4),
    ):
        exchange._on_record(StoredObject("routers/other", 1, record))
        exchange._send_once()
        assert exchange._sock.versions[-1] == version


def test_views_of_an_earlier_version_have_no_era():
    # Guards against a peer of an earlier version that cannot be read or looks newest.
    view = StoreView("a", 5, StoreRevision(4, 9), True, False)
    message = LoadMessage("other", 1, 1, {}, (), view, 2)
    version, *fields = cbor2.loads(encode_load(message))
    assert (version, fields[-1]) == (2, ["a", 5, 9, True, False])
    decoded = decode_load(encode_load(message)).store_view
    assert decoded.endpoints_revision == StoreRevision(UNKNOWN_ERA, 9)
    assert decoded.endpoints_revision < StoreRevision(0, 1)


def test_state_is_read_from_a_peer_of_an_earlier_version(monkeypatch):
    # Guards against a fresh process that cannot start during an outage of the store
    # because its peers are of an earlier version; and the other way round.
    monkeypatch.setattr(peer_state, "VERSION_BY_PATH", {"/state-2": 2, "/state": 1})
    with two_routers() as (fleet, second, proxy):
        earlier = {"/state": 1}
        server = fleet.router.peer_state
        respond = server._server._respond
        server._server._respond = lambda method, path: respond(
            method, path if path in earlier else "/none"
        )
        address = fleet.router.peers.address
        state = peer_state.decode_state(peer_state._fetch_state(address))
        assert state.revision == StoreRevision(
            UNKNOWN_ERA, fleet.router._followers[1].revision_seen.number
        )
        before = second._followers[1].revision_seen
        raised = replace(state, revision=StoreRevision(UNKNOWN_ERA, 99), endpoints=())
        second.peer_state._apply(raised, ANY)
        assert second._followers[1].revision_seen == before
        assert len(second.endpoints) == 2


def test_lost_directory_record_is_written_again():
    # Guards against a router that others do not find until the next regular check.
    with running_fleet(workers=1) as fleet:
        records = fleet.store.state.objects_by_kind
        fleet.wait_for(lambda: "edge-1" in records.get("routers", {}))
        listing = "GET /api/objects/routers"
        fleet.wait_for(lambda: listing in fleet.store.requests)
        copy = fleet.store.state.copy()
        del copy.objects_by_kind["routers"]
        fleet.store.return_from(copy)
        records = fleet.store.state.objects_by_kind
        fleet.wait_for(lambda: "edge-1" in records.get("routers", {}))


def test_write_acknowledged_before_a_return_may_be_lost(store):
    # Guards against taking a write as done whose answer arrives after the return.
    client = client_of(store)
    assert client.put("k/a", b"1", 0) == Ok(2)
    exchange = client.pool_by_kind["writes"]._exchange

    def exchange_late(*call):
        response = exchange(*call)
        client.eras.observe(2, 1)
        return response

    client.pool_by_kind["writes"]._exchange = exchange_late
    written = client.put("k/b", b"1", 0)
    assert isinstance(written, StoreFailure)
    assert written.maybe_written


def test_fresh_router_does_not_serve_an_older_configuration():
    # Guards against a revoked key and a removed route in force again at a router that
    # starts right after the return, when only its peers know the newer configuration.
    with running_fleet(workers=1, routers=2) as fleet:
        copy = fleet.store.state.copy()
        newer = configuration(2, tenants=[{"name": "mill", "api_keys": ["key-2"]}])
        newer["routes"] = [each for each in newer["routes"] if each["name"] != "open"]
        fleet.store.put("config", "main", newer)
        for each in fleet.routers:
            fleet.wait_for(lambda each=each: each.configuration.table.version == 2)
        fleet.store.return_from(copy)
        fresh = fleet.add_router()
        statuses = set()

        def call_fresh():
            statuses.add(fleet.call("/safe/x", router=fresh).status)
            statuses.add(fleet.call("/open/x", router=fresh).status)
            gevent.sleep(0.005)
            return fresh.is_ready

        fleet.wait_for(call_fresh)
        assert holds_for(1.5, call_fresh)
        assert statuses <= {503, 401, 404}
        assert {401, 404} <= statuses


def test_endpoint_that_the_copy_lists_as_ready_stays_draining():
    # Guards against requests to an endpoint whose draining the store acknowledged
    # before it returned from a copy (DRAIN).
    with running_fleet(workers=2) as fleet:
        copy = fleet.store.state.copy()
        fleet.store.put("servers", "w0", entry(fleet.workers[0], state="draining"))
        fleet.wait_for(lambda: instance_ids(fleet.router) == ["w1"])
        fleet.store.return_from(copy)
        assert holds_for(3.0, lambda: instance_ids(fleet.router) == ["w1"])
        fleet.store.put("servers", "w0", entry(fleet.workers[0], born=2000))
        fleet.wait_for(lambda: instance_ids(fleet.router) == ["w0", "w1"])


def test_endpoint_that_has_left_is_not_used_from_the_copy():
    # Guards against requests to an endpoint whose removal the store acknowledged before
    # it returned from a copy; one that is written again is used.
    with running_fleet(workers=2) as fleet:
        copy = fleet.store.state.copy()
        fleet.store.remove("servers", "w0")
        fleet.wait_for(lambda: instance_ids(fleet.router) == ["w1"])
        fleet.store.return_from(copy)
        assert holds_for(3.0, lambda: instance_ids(fleet.router) == ["w1"])
        fleet.store.put("servers", "w0", entry(fleet.workers[0], warmup_left_ms=5))
        fleet.wait_for(lambda: instance_ids(fleet.router) == ["w0", "w1"])


@pytest.mark.parametrize("is_noticed", [True, False])
def test_endpoint_that_the_copy_lacks_is_used_until_it_is_written_again(is_noticed):
    # Guards against dropping live endpoints that registered after the copy was made.
    with running_fleet(workers=2) as fleet:
        fleet.store.remove("servers", "w0")
        fleet.wait_for(lambda: instance_ids(fleet.router) == ["w1"])
        copy = fleet.store.state.copy()
        fleet.store.put("servers", "w0", entry(fleet.workers[0]))
        fleet.wait_for(lambda: instance_ids(fleet.router) == ["w0", "w1"])
        fleet.store.return_from(copy, is_noticed)
        assert holds_for(1.5, lambda: instance_ids(fleet.router) == ["w0", "w1"])
        fleet.store.put("servers", "w0", entry(fleet.workers[0]))
        assert holds_for(5.0, lambda: instance_ids(fleet.router) == ["w0", "w1"])


def test_endpoint_that_is_not_written_again_is_dropped():
    # Guards against an endpoint that is used for ever after a return.
    with running_fleet(workers=2) as fleet:
        copy = fleet.store.state.copy()
        del copy.objects_by_kind["servers"]["w0"]
        fleet.store.return_from(copy)
        fleet.wait_for(lambda: instance_ids(fleet.router) == ["w1"])


def test_several_returns_in_a_row_are_followed():
    # Guards against state of any earlier era that is kept or missed.
    with running_fleet(workers=3) as fleet:
        for number in range(4):
            copy = fleet.store.state.copy()
            raise_revision(fleet.store, 3)
            fleet.store.put(
                "servers", "w1", entry(fleet.workers[1], zone=f"z-{number}")
            )
            gevent.sleep(0.3)
            fleet.store.return_from(copy, is_noticed_by_watches=number % 2 == 0)
            fleet.store.put(
                "servers", "w2", entry(fleet.workers[2], zone=f"y-{number}")
            )
            raise_revision(fleet.store, number)
            gevent.sleep(0.1)
        expected = [("w0", "tartu-a"), ("w1", "tartu-a"), ("w2", "y-3")]
        fleet.wait_for(lambda: zones(fleet.router) == expected)


def zones(router):
    return sorted((each.instance_id, each.zone) for each in router.endpoints.all())


def test_return_during_an_outage_is_followed():
    # Guards against a grace period for the outage alone, or none for the return.
    with running_fleet(workers=2) as fleet:
        copy = fleet.store.state.copy()
        fleet.store.put("servers", "w0", entry(fleet.workers[0], state="draining"))
        fleet.wait_for(lambda: instance_ids(fleet.router) == ["w1"])
        fleet.store.faults.status = 503
        fleet.wait_for(lambda: not fleet.router.is_store_reachable)
        del copy.objects_by_kind["servers"]["w1"]
        fleet.store.return_from(copy)
        gevent.sleep(0.3)
        fleet.store.faults.status = 0
        assert holds_for(1.5, lambda: instance_ids(fleet.router) == ["w1"])
        fleet.store.put("servers", "w1", entry(fleet.workers[1]))
        assert holds_for(1.5, lambda: instance_ids(fleet.router) == ["w1"])


def test_store_without_an_era_is_followed():
    # Guards against a router that needs the header: other stores do not have it.
    with running_fleet(workers=2) as fleet:
        fleet.store.states_era = False
        fleet.store.put("servers", "w0", entry(fleet.workers[0], state="draining"))
        fleet.wait_for(lambda: instance_ids(fleet.router) == ["w1"])
        fleet.store.compact()
        fleet.store.remove("servers", "w1")
        fleet.store.put("config", "main", configuration(2))
        fleet.wait_for(lambda: instance_ids(fleet.router) == [])
        fleet.wait_for(lambda: fleet.router.configuration.table.version == 2)
