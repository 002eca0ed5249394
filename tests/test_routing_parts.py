"""Parts of the routing process without I/O: discovery, events, store following."""

from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from wigeonwind.addresses import SocketAddress
from wigeonwind.clock import ManualClock
from wigeonwind.decisions.latency_choice import LatencyChooser
from wigeonwind.decisions.peer_loads import InFlightLoad
from wigeonwind.outcomes import Ok
from wigeonwind.routing.discovery import (
    EXPIRED_ENTRY_GRACE_MS,
    MISDIRECTED_HOLD_MS,
    EndpointSet,
)
from wigeonwind.routing.endpoint_connection import ConnectionPool
from wigeonwind.routing.endpoints import Endpoint
from wigeonwind.routing.event_stream import MAX_EVENT_BYTES, EventSplitter
from wigeonwind.routing.peer_messages import LoadMessage, decode_load, encode_load
from wigeonwind.routing.request_parser import RequestParser
from wigeonwind.routing.response_parser import ResponseParser
from wigeonwind.routing.routes import CallerLimits
from wigeonwind.routing.store_follower import StoreFollower
from wigeonwind.state.store_types import (
    HistoryGone,
    ObjectPage,
    StoredObject,
    StoreFailure,
    WatchBatch,
    WatchEvent,
)


def cut(data, positions):
    """Cut bytes at positions, in order."""
    edges = [
        0,
        *sorted(position % (len(data) + 1) for position in positions),
        len(data),
    ]
    return [data[a:b] for a, b in zip(edges, edges[1:], strict=False)]


EVENTS = b"".join(b"id: %d\ndata: %d\n\n" % (n, n) for n in range(1, 9))


@given(st.lists(st.integers(0, 1000), max_size=12))
def test_events_survive_any_cut(positions):
    # Guards against events that are lost or doubled where reads end within them.
    splitter = EventSplitter()
    passed = b"".join(splitter.feed(part) for part in cut(EVENTS, positions))
    assert passed == EVENTS
    assert (splitter.last_id, splitter.has_partial_event) == (8, False)


@given(st.integers(0, 8), st.integers(0, 8), st.lists(st.integers(0, 500), max_size=4))
def test_a_resumed_stream_has_each_event_once(broken_after, resumed_from, positions):
    # Guards against joined pieces where the second endpoint repeats events.
    events = [b"id: %d\ndata: %d\n\n" % (n, n) for n in range(1, 9)]
    splitter = EventSplitter()
    passed = splitter.feed(b"".join(events[:broken_after]) + b"id: 7")
    splitter.discard_partial_event()
    second = b"".join(events[min(resumed_from, broken_after) :])
    passed += b"".join(splitter.feed(part) for part in cut(second, positions))
    assert passed == b"".join(events)


def test_an_endless_event_is_an_error():
    # Guards against unbounded memory for an event that never ends.
    with pytest.raises(ValueError, match="too long"):
        EventSplitter().feed(b"x" * (MAX_EVENT_BYTES + 1))


ANSWERS = (
    b"HTTP/1.1 100 Continue\r\n\r\n"
    b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc"
    b"HTTP/1.1 503 No\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nde\r\n0\r\n\r\n"
)


@given(st.lists(st.integers(0, 1000), max_size=8))
def test_answers_survive_any_cut(positions):
    # Guards against bytes of one answer that are counted to another.
    parser = ResponseParser()
    for part in cut(ANSWERS, positions):
        parser.feed(part)
    found = [(each.status, each.take_body()) for each in parser.responses]
    assert found == [(200, b"abc"), (503, b"de")]
    assert not parser.error


@given(st.binary(max_size=300))
def test_any_bytes_of_an_endpoint_are_an_answer_or_an_error(data):
    # Guards against an exception from bytes that are no answer.
    parser = ResponseParser()
    parser.feed(data)
    parser.feed_end()


@given(st.binary(max_size=300))
def test_any_bytes_of_a_caller_are_a_request_or_a_failure(data):
    # Guards against an exception from bytes that are no request.
    parser = RequestParser(CallerLimits())
    parser.feed(data)
    parser.feed(b"\r\n\r\n" + data)


def test_a_body_that_ends_with_the_connection():
    # Guards against a cut answer that is taken for a whole one.
    parser = ResponseParser()
    parser.feed(b"HTTP/1.1 200 OK\r\n\r\nabc")
    assert not parser.responses[0].is_complete
    parser.feed_end()
    assert parser.responses[0].is_complete
    short = ResponseParser()
    short.feed(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc")
    short.feed_end()
    assert not short.responses[0].is_complete


def endpoint(name="w0", **fields):
    values = {"service": "desk", "address": SocketAddress("127.0.0.1", 1), "zone": "a"}
    return Endpoint(name, **{**values, "started_ms": 5, "slots": 4, **fields})


class Discovery:
    """An endpoint set with a clock that tests move."""

    def __init__(self):
        self.clock = ManualClock()
        chooser = LatencyChooser("a", Random(1))
        pool = ConnectionPool(self.clock, lambda: None)
        self.endpoints = EndpointSet(self.clock, chooser, pool)
        self.endpoints.on_listed([endpoint("w0"), endpoint("w1")])

    def names(self):
        return sorted(each.instance_id for each in self.endpoints.all())

    def pass_ms(self, ms):
        self.clock.advance(ms)
        self.endpoints.expire_entries()


def test_an_endpoint_that_leaves_gets_nothing_more():
    # Guards against work for an endpoint that drains or is gone.
    found = Discovery()
    found.endpoints.on_changed(endpoint("w0", is_draining=True))
    assert found.names() == ["w1"]
    found.endpoints.on_removed("w1")
    assert found.names() == []


def test_entries_that_lapse_with_the_store_are_used_for_a_while():
    # Guards against an outage of the store that takes all endpoints away.
    found = Discovery()
    found.endpoints.on_store_unreachable()
    found.pass_ms(60_000.0)
    found.endpoints.on_store_recovered()
    found.endpoints.on_listed([])
    assert found.names() == ["w0", "w1"]
    found.endpoints.on_changed(endpoint("w0"))
    found.pass_ms(EXPIRED_ENTRY_GRACE_MS + 1.0)
    assert found.names() == ["w0"]


def test_an_entry_that_vanishes_later_is_gone():
    # Guards against a grace that goes on after the store can be trusted again.
    found = Discovery()
    found.endpoints.on_store_unreachable()
    found.endpoints.on_store_recovered()
    found.pass_ms(EXPIRED_ENTRY_GRACE_MS + 1.0)
    found.endpoints.on_removed("w0")
    assert found.names() == ["w1"]


def test_a_draining_endpoint_does_not_lapse_into_use():
    # Guards against new work for an endpoint that left during an outage.
    found = Discovery()
    found.endpoints.on_changed(endpoint("w0", is_draining=True))
    found.endpoints.on_store_unreachable()
    found.endpoints.on_store_recovered()
    found.endpoints.on_listed([endpoint("w1")])
    assert found.names() == ["w1"]


def test_a_restart_under_the_same_id_is_another_endpoint():
    # Guards against state of an earlier start that is held for a new one.
    found = Discovery()
    old = next(each for each in found.endpoints.all() if each.instance_id == "w0")
    found.endpoints.on_changed(endpoint("w0", started_ms=6))
    assert found.endpoints.get(old.key) is None
    assert found.names() == ["w0", "w1"]


def test_an_address_that_was_taken_over_is_not_used():
    # Guards against requests that go to another service again and again.
    found = Discovery()
    found.endpoints.on_misdirected(endpoint("w0"))
    assert found.names() == ["w1"]
    found.pass_ms(MISDIRECTED_HOLD_MS + 1.0)
    assert found.names() == ["w0", "w1"]


class ScriptedStore:
    """Answers each call with the next entry of a script."""

    def __init__(self, *script):
        self.script = list(script)
        self.calls = []

    def list_objects(self, prefix):
        self.calls.append("list")
        return self.script.pop(0)

    def watch(self, prefix, after, timeout_ms):
        self.calls.append(f"watch {after}")
        return self.script.pop(0)


class RecordingHandler:
    """Records what a follower is told."""

    def __init__(self):
        self.events = []

    def on_listed(self, objects):
        self.events.append(("listed", [each.key for each in objects]))

    def on_changed(self, changed):
        self.events.append(("changed", changed.key))

    def on_removed(self, key):
        self.events.append(("removed", key))


def page(revision, *keys):
    objects = tuple(StoredObject(key, 1, b"{}") for key in keys)
    return Ok(ObjectPage(objects, revision))


def test_lost_history_is_read_again():
    # Guards against changes that are missed when the store drops its history.
    changed = WatchEvent("k/a", 8, 8, False, b"{}")
    removed = WatchEvent("k/a", 9, 9, True)
    store = ScriptedStore(
        page(7, "k/a"),
        Ok(WatchBatch(9, (changed, removed))),
        HistoryGone(9),
        page(20, "k/b"),
    )
    handler = RecordingHandler()
    follower = StoreFollower(store, "k/", handler, lambda _: None)
    assert [follower.step() for _ in range(4)] == [True] * 4
    assert store.calls == ["list", "watch 7", "watch 9", "list"]
    assert handler.events[-1] == ("listed", ["k/b"])
    assert ("removed", "k/a") in handler.events


def test_the_store_is_listed_at_once_when_it_may_be_back():
    # Guards against a return that is noticed only with the next change: entries that
    # lapsed were then used for too long (DRAIN, hunt of bscg-wire, seed 935489481002).
    store = ScriptedStore(page(1), StoreFailure("down", False), page(5, "k/a"))
    reachable = []
    follower = StoreFollower(store, "k/", RecordingHandler(), reachable.append)
    assert [follower.step() for _ in range(3)] == [True, False, True]
    assert store.calls == ["list", "watch 1", "list"]
    assert reachable == [False, True]


COUNT = st.integers(0, 2**63)
ROWS = st.dictionaries(
    st.integers(0, 2**32 - 1),
    st.builds(
        InFlightLoad,
        st.integers(0, 1000),
        st.integers(0, 1000),
        st.lists(st.tuples(st.integers(0, 9), st.integers(0, 10**6)), max_size=3).map(
            tuple
        ),
    ),
    max_size=5,
)


@given(ROWS, st.lists(st.tuples(COUNT, st.integers(0, 2**32 - 1)), max_size=5))
def test_load_messages_survive_the_wire(rows, prefixes):
    # Guards against a peer's load that is read as another one.
    message = LoadMessage("edge-1", 3, 4, rows, tuple(prefixes))
    assert decode_load(encode_load(message)) == message


@given(st.binary(max_size=200))
def test_any_datagram_is_a_message_or_a_reason(data):
    # Guards against a stranger's datagram that stops the receiving loop.
    assert isinstance(decode_load(data), (LoadMessage, str))
