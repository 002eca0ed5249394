"""Tests of the object store, VM list, weight store and plain service doubles."""

import json
import sys
from base64 import b64decode
from contextlib import contextmanager
from http.client import HTTPConnection, RemoteDisconnected
from urllib.parse import quote

import gevent
import pytest
from gevent import subprocess

from wigeonwind.addresses import SocketAddress, parse_address
from wigeonwind.clock import ManualClock
from wigeonwind.outcomes import Ok
from wigeonwind.standins.faults import (
    Crash,
    Lag,
    LoseAnswers,
    Outage,
    RepeatWatch,
    SkipWatch,
    Slow,
)
from wigeonwind.standins.local_store import InProcessStore
from wigeonwind.standins.object_store import (
    ObjectStore,
    RateLimited,
    ResponseLost,
    StoreLimits,
    StoreUnavailable,
    ValueTooLarge,
)
from wigeonwind.standins.object_store_server import ObjectStoreServer
from wigeonwind.standins.plain_service import PlainServiceServer
from wigeonwind.standins.vm_list import Vm, VmListServer
from wigeonwind.standins.weight_store import WeightLimits, WeightStoreServer
from wigeonwind.state.store_types import Conflict, NotFound, StoreFailure

ANY_PORT = SocketAddress("127.0.0.1", 0)


@contextmanager
def running(server):
    server.start()
    try:
        yield server
    finally:
        server.stop()


def call_address(address, method, path, body=None, headers=None):
    """Return (status, JSON body)."""
    connection = HTTPConnection(address.host, address.port, timeout=5)
    if body is not None and not isinstance(body, bytes):
        body = json.dumps(body)
    connection.request(method, path, body, headers or {})
    reply = connection.getresponse()
    content = reply.read()
    connection.close()
    return reply.status, json.loads(content)


def call_api(server, method, path, body=None, headers=None):
    return call_address(server.address, method, path, body, headers)


def watch_events(batch):
    return [(event.key, event.version, event.deleted) for event in batch.value.events]


def test_a_conditional_write_takes_effect_only_at_the_expected_version():
    store = ObjectStore()
    assert store.put("k", b"1", 0, 0.0) == Ok(1)
    assert store.put("k", b"x", 0, 0.0) == Conflict("k", 1)
    assert store.put("k", b"2", 1, 0.0) == Ok(2)
    assert store.put("k", b"x", 1, 0.0) == Conflict("k", 2)
    assert store.peek("k").value == b"2"
    assert store.delete("k", 1, 0.0) == Conflict("k", 2)
    assert store.delete("k", 2, 0.0) == Ok(None)
    assert store.get("k", 0.0) == NotFound("k")


def test_versions_of_a_key_increase_across_a_delete():
    # Guards against a writer that read the deleted object: its conditional write must
    # not overwrite an object that was written under the same key since.
    store = ObjectStore()
    store.put("k", b"1", 0, 0.0)
    store.delete("k", 1, 0.0)
    assert store.put("k", b"2", 0, 0.0) == Ok(2)


def test_a_lost_response_does_not_undo_the_write():
    store = ObjectStore()
    store.faults.switch_on(LoseAnswers(2))
    assert store.put("k", b"1", 0, 0.0) == ResponseLost()
    assert store.peek("k").value == b"1"
    assert store.delete("k", 1, 0.0) == ResponseLost()
    assert store.peek("k") is None
    assert store.put("k", b"2", 0, 0.0) == Ok(2)


def test_a_conflict_response_can_be_lost_too():
    store = ObjectStore()
    store.put("k", b"1", 0, 0.0)
    store.faults.switch_on(LoseAnswers(1))
    assert store.put("k", b"2", 0, 0.0) == ResponseLost()
    assert store.peek("k").value == b"1"


def test_an_outage_refuses_and_changes_nothing():
    store = ObjectStore()
    store.faults.switch_on(Outage())
    assert store.put("k", b"1", 0, 0.0) == StoreUnavailable()
    store.faults.clear()
    assert store.get("k", 0.0) == NotFound("k")


def test_every_call_counts_towards_the_rate_limit():
    store = ObjectStore(StoreLimits(writes_per_s=10.0, reads_per_s=20.0, burst_s=1.0))
    writes = [store.put("k", b"", None, 0.0) for _ in range(12)]
    assert [isinstance(result, Ok) for result in writes].count(True) == 10
    assert writes[-1] == RateLimited(100.0)
    reads = [store.get("k", 0.0), store.watch("", 0, 0.0), store.list_versions("", 0.0)]
    reads += [store.get("k", 0.0) for _ in range(20)]
    assert [isinstance(result, Ok) for result in reads].count(True) == 20
    assert isinstance(store.put("k", b"", None, 100.0), Ok)
    counts = store.counts()
    assert (counts.reads, counts.writes, counts.rate_limited) == (23, 13, 5)


def test_a_value_over_the_limit_is_refused():
    store = ObjectStore()
    assert store.put("k", b"x" * 1_000_001, 0, 0.0) == ValueTooLarge(1_000_000)
    assert store.put("k", b"x" * 1_000_000, 0, 0.0) == Ok(1)


def test_a_watch_returns_changes_of_its_prefix_after_the_revision():
    store = ObjectStore()
    for key in ("a/1", "b/1", "a/2", "a/1"):
        store.put(key, b"", None, 0.0)
    store.delete("a/2", 1, 0.0)
    batch = store.watch("a/", 1, 0.0)
    assert watch_events(batch) == [
        ("a/2", 1, False),
        ("a/1", 2, False),
        ("a/2", 1, True),
    ]
    assert watch_events(store.watch("a/", batch.value.revision, 0.0)) == []


def test_a_watch_older_than_the_event_log_gets_the_latest_event_of_each_key(
    monkeypatch,
):
    monkeypatch.setattr("wigeonwind.standins.object_store.EVENT_LOG_LENGTH", 3)
    store = ObjectStore()
    for number in range(9):
        store.put(f"k{number % 4}", b"", None, 0.0)
    latest_events = watch_events(store.watch("", 0, 0.0))
    assert latest_events == [
        ("k1", 2, False),
        ("k2", 2, False),
        ("k3", 2, False),
        ("k0", 3, 0),
    ]


def test_a_skipped_event_is_not_returned_by_later_watches():
    store = ObjectStore()
    store.put("a", b"", 0, 0.0)
    store.put("b", b"", 0, 0.0)
    store.faults.switch_on(SkipWatch(1))
    batch = store.watch("", 0, 0.0)
    assert watch_events(batch) == [("b", 1, False)]
    assert watch_events(store.watch("", batch.value.revision, 0.0)) == []
    assert len(watch_events(store.watch("", 0, 0.0))) == 2


def test_a_repeated_event_precedes_the_new_events():
    store = ObjectStore()
    store.put("a", b"", 0, 0.0)
    store.put("a", b"", 1, 0.0)
    store.faults.switch_on(RepeatWatch(1))
    assert watch_events(store.watch("", 1, 0.0)) == [("a", 1, False), ("a", 2, False)]
    assert watch_events(store.watch("", 1, 0.0)) == [("a", 2, False)]


def test_the_in_process_store_reports_whether_a_write_may_have_taken_effect():
    clock = ManualClock()
    backing_store = ObjectStore()
    store = InProcessStore(backing_store, clock, clock.advance)
    backing_store.faults.switch_on(Outage())
    assert store.put("k", b"", 0) == StoreFailure("outage", maybe_written=False)
    backing_store.faults.clear()
    backing_store.faults.switch_on(Slow(300.0))
    assert store.put("k", b"", 0) == Ok(1)
    assert clock.now_ms() == 300.0
    backing_store.faults.switch_on(LoseAnswers(1))
    failure = store.delete("k", 1)
    assert isinstance(failure, StoreFailure)
    assert failure.maybe_written
    assert store.get("k") == NotFound("k")
    assert store.delete("k", 1) == Conflict("k", 0)


def test_object_operations_over_http():
    with running(ObjectStoreServer(ANY_PORT)) as server:
        key = "/v1/objects/" + quote("text/হেড ১%41")
        none = {"If-Match": "0"}
        assert call_api(server, "PUT", key, b"\x00\xff", none) == (200, {"version": 1})
        assert call_api(server, "PUT", key, b"x", none)[0] == 412
        status, response_body = call_api(server, "GET", key)
        assert (status, response_body["key"]) == (200, "text/হেড ১%41")
        assert b64decode(response_body["value"]) == b"\x00\xff"
        assert call_api(server, "GET", "/v1/objects/nothing")[0] == 404
        rows = call_api(server, "GET", "/v1/objects?prefix=text/")[1]["objects"]
        assert rows == [{"key": "text/হেড ১%41", "version": 1}]
        assert call_api(server, "PUT", key, b"x" * 1_000_001)[0] == 413
        assert call_api(server, "PUT", key, b"x", {"If-Match": "one"})[0] == 400
        assert call_api(server, "DELETE", key, headers={"If-Match": "7"})[0] == 412
        assert call_api(server, "DELETE", key, headers={"If-Match": "1"})[0] == 200


def test_a_lost_response_over_http_drops_the_connection_after_the_write():
    with running(ObjectStoreServer(ANY_PORT)) as server:
        call_api(server, "POST", "/faults", {"name": "lose_answers", "count": 1})
        with pytest.raises((RemoteDisconnected, ConnectionError)):
            call_api(server, "PUT", "/v1/objects/k", b"1", {"If-Match": "0"})
        status, response_body = call_api(server, "GET", "/v1/objects/k")
        assert (status, response_body["version"]) == (200, 1)


def test_a_long_poll_watch_counts_once_and_ends_with_a_change_under_its_prefix():
    with running(ObjectStoreServer(ANY_PORT)) as server:
        path = "/v1/watch?prefix=a/&after=0&timeout_ms=5000"
        waiting = gevent.spawn(call_api, server, "GET", path)
        gevent.sleep(0.02)
        call_api(server, "PUT", "/v1/objects/b/1", b"")
        gevent.sleep(0.02)
        assert not waiting.ready()
        call_api(server, "PUT", "/v1/objects/a/1", b"")
        reply = waiting.get(timeout=5)[1]
        assert [event["key"] for event in reply["events"]] == ["a/1"]
        assert reply["revision"] == 2
        assert server.store.counts().reads == 1


def test_a_watch_without_changes_under_its_prefix_times_out_empty():
    with running(ObjectStoreServer(ANY_PORT)) as server:
        call_api(server, "PUT", "/v1/objects/b/1", b"")
        path = "/v1/watch?prefix=a/&after=0&timeout_ms=10"
        assert call_api(server, "GET", path) == (200, {"revision": 1, "events": []})


def test_an_outage_ends_a_waiting_watch():
    with running(ObjectStoreServer(ANY_PORT)) as server:
        path = "/v1/watch?prefix=&after=0&timeout_ms=5000"
        waiting = gevent.spawn(call_api, server, "GET", path)
        gevent.sleep(0.02)
        server.inject(Outage())
        assert waiting.get(timeout=5)[0] == 503
        server.clear_faults()
        assert call_api(server, "GET", "/v1/objects/k")[0] == 404


def test_the_vm_list_lags():
    clock = ManualClock(100_000.0)
    with running(VmListServer(ANY_PORT, clock=clock)) as server:
        row = {"id": "e1", "address": "10.0.0.1:80", "zone": "tartu-a", "state": "live"}
        assert call_api(server, "POST", "/v1/vms", row)[0] == 200
        assert call_api(server, "GET", "/v1/vms")[1]["vms"] == [row]
        server.inject(Lag(30_000.0))
        server.put(Vm("e1", "10.0.0.1:80", "tartu-a", "leaving"))
        assert call_api(server, "GET", "/v1/vms")[1]["vms"] == []
        clock.advance(29_999.0)
        assert call_api(server, "GET", "/v1/vms")[1]["vms"] == []
        clock.advance(1.0)
        rows = call_api(server, "GET", "/v1/vms")[1]["vms"]
        assert [vm["state"] for vm in rows] == ["leaving"]
        assert call_api(server, "POST", "/v1/vms", {**row, "state": "gone"})[0] == 400


def test_the_weight_store_refuses_fetches_over_its_queue_limit():
    limits = WeightLimits(fetch_ms=20.0, parallel=1, max_queued=1)
    body = {"model": "barley-7b", "version": "2"}
    with running(WeightStoreServer(ANY_PORT, limits, ManualClock())) as server:
        fetches = [
            gevent.spawn(call_api, server, "POST", "/v1/fetch", body) for _ in range(3)
        ]
        statuses = sorted(fetch.get(timeout=5)[0] for fetch in fetches)
        assert statuses == [200, 200, 429]


def post_booking(server, key):
    headers = {"Idempotency-Key": key, "X-Lot": "17"}
    return call_api(server, "POST", "/bookings/lot?x=1", b"two tonnes", headers)


def test_the_plain_service_counts_a_duplicate_booking():
    with running(PlainServiceServer(ANY_PORT)) as server:
        assert post_booking(server, "k1")[1]["booking"] == 1
        post_booking(server, "k1")
        response_body = call_api(server, "GET", "/executions?key=k1")[1]
        assert response_body["counts"] == {"k1": 2}
        execution = response_body["executions"][0]
        assert (execution["method"], execution["path"]) == ("POST", "/bookings/lot")
        assert execution["headers"]["x-lot"] == "17"
        assert execution["body"] == "two tonnes"
        assert call_api(server, "GET", "/stock/7")[1]["stock"] == 999_998


def test_a_plain_service_that_checks_keys_executes_a_booking_once():
    with running(PlainServiceServer(ANY_PORT, checks_keys=True)) as server:
        assert post_booking(server, "k1") == post_booking(server, "k1")
        assert server.ledger.count_by_key["k1"] == 1


@pytest.mark.parametrize(("fault", "executions"), [
    (Crash(when="before"), 0),
    (Crash(when="after"), 1),
    (LoseAnswers(1), 1),
    (Outage(), 0),
])  # fmt: skip
def test_whether_a_booking_without_a_response_was_executed(fault, executions):
    with running(PlainServiceServer(ANY_PORT)) as server:
        server.inject(fault)
        if fault == Outage():
            assert post_booking(server, "k1")[0] == 503
        else:
            with pytest.raises((RemoteDisconnected, ConnectionError)):
                post_booking(server, "k1")
        assert server.ledger.count_by_key["k1"] == executions
        if isinstance(fault, Crash):
            with pytest.raises((RemoteDisconnected, ConnectionError)):
                call_api(server, "GET", "/stock")
        call_api(server, "DELETE", "/faults")
        assert post_booking(server, "k1")[0] == 200


def test_the_program_prints_its_address_and_stops_on_sigterm():
    command = [sys.executable, "-m", "wigeonwind.standins.main", "--kind=plain"]
    fault = '--fault={"name": "outage"}'
    with subprocess.Popen([*command, fault], stdout=subprocess.PIPE) as process:
        words = process.stdout.readline().decode().split()
        assert words[0] == "ready"
        assert call_address(parse_address(words[1]), "GET", "/stock")[0] == 503
        process.terminate()
        assert process.wait(timeout=10) == 0
