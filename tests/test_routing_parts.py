"""Modules of the routing process without I/O: discovery, parsers, store follower."""

import time
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
    DEPARTURE_HOLD_MS,
    DEPARTURE_MEMORY_MS,
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
    HistoryExpired,
    ObjectPage,
    StoredObject,
    StoreFailure,
    WatchBatch,
    WatchEvent,
)


def split_at(data, positions):
    """Split bytes at the positions, which are taken modulo the length."""
    edges = [
        0,
        *sorted(position % (len(data) + 1) for position in positions),
        len(data),
    ]
    return [data[a:b] for a, b in zip(edges, edges[1:], strict=False)]


EVENTS = b"".join(b"id: %d\ndata: %d\n\n" % (n, n) for n in range(1, 9))


MAX_SEARCH_S = 5.0
"""Processor time for an event of 1 MB in 10,000 parts."""

CRLF_EVENTS = EVENTS.replace(b"\n", b"\r\n")


@given(
    st.sampled_from([CRLF_EVENTS, EVENTS + CRLF_EVENTS.replace(b"id: ", b"id: 1")]),
    st.lists(st.integers(0, 1000), max_size=12),
)
def test_events_with_crlf_are_complete_for_any_read_boundaries(events, positions):
    # Guards against a stream whose lines end with CRLF that is passed on at its end
    # only, or cut off as one event of more than 1 MB.
    splitter = EventSplitter()
    for part in split_at(events, positions):
        output = splitter.feed(part)
        assert not output or output.endswith((b"\n\n", b"\n\r\n"))
        assert splitter.partial_bytes < 25
    assert (splitter.error, splitter.has_partial_event) == ("", False)
    assert splitter.last_id in (8, 18)


@given(st.lists(st.integers(0, 1000), max_size=12))
def test_each_event_with_crlf_is_passed_on_once(positions):
    # Guards against changed, lost or repeated bytes of a stream with CRLF.
    splitter = EventSplitter(last_id=2)
    parts = split_at(CRLF_EVENTS, positions)
    output = b"".join(splitter.feed(part) for part in parts)
    assert output == CRLF_EVENTS[CRLF_EVENTS.index(b"id: 3") :]


def test_empty_lines_at_the_end_of_a_stream_are_no_partial_event():
    # Guards against a complete stream that is reported as broken.
    for end in (b"\n", b"\r\n"):
        splitter = EventSplitter()
        data = b"id: 1" + end * 3
        assert splitter.feed(data) == data
        assert not splitter.has_partial_event


def test_a_large_event_with_crlf_is_searched_once():
    # Guards against an event in small parts that is searched anew for each part, which
    # holds up all other requests.
    splitter = EventSplitter()
    started_s = time.process_time()
    for _ in range(MAX_EVENT_BYTES // 100 - 1):
        splitter.feed(b"data: " + b"x" * 92 + b"\r\n")
    assert time.process_time() - started_s < MAX_SEARCH_S
    assert splitter.feed(b"\r\n").endswith(b"x\r\n\r\n")


@given(st.lists(st.integers(0, 1000), max_size=12))
def test_events_are_complete_for_any_read_boundaries(positions):
    # Guards against lost or duplicated events if a read ends within an event.
    splitter = EventSplitter()
    output = b"".join(splitter.feed(part) for part in split_at(EVENTS, positions))
    assert output == EVENTS
    assert (splitter.last_id, splitter.has_partial_event) == (8, False)


@given(st.integers(0, 8), st.integers(0, 8), st.lists(st.integers(0, 500), max_size=4))
def test_resumed_stream_has_each_event_once(broken_after, resumed_from, positions):
    # Guards against duplicated events if the second endpoint repeats some, and against
    # the partial event of the first endpoint in the output.
    events = [b"id: %d\ndata: %d\n\n" % (n, n) for n in range(1, 9)]
    splitter = EventSplitter()
    output = splitter.feed(b"".join(events[:broken_after]) + b"id: 7")
    splitter.discard_partial_event()
    second = b"".join(events[min(resumed_from, broken_after) :])
    output += b"".join(splitter.feed(part) for part in split_at(second, positions))
    assert output == b"".join(events)


def test_unterminated_event_is_an_error():
    # Guards against unbounded memory use for an event that never ends.
    with pytest.raises(ValueError, match="too long"):
        EventSplitter().feed(b"x" * (MAX_EVENT_BYTES + 1))


RESPONSES = (
    b"HTTP/1.1 100 Continue\r\n\r\n"
    b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc"
    b"HTTP/1.1 503 No\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nde\r\n0\r\n\r\n"
)


@given(st.lists(st.integers(0, 1000), max_size=8))
def test_responses_are_parsed_for_any_read_boundaries(positions):
    # Guards against assigning bytes of one response to another.
    parser = ResponseParser()
    for part in split_at(RESPONSES, positions):
        parser.feed(part)
    received = [(each.status, each.take_body()) for each in parser.responses]
    assert received == [(200, b"abc"), (503, b"de")]
    assert not parser.error


@given(st.binary(max_size=300))
def test_response_parser_accepts_any_bytes(data):
    # Guards against an exception for bytes that are not a response.
    parser = ResponseParser()
    parser.feed(data)
    parser.feed_end()


@given(st.binary(max_size=300))
def test_request_parser_accepts_any_bytes(data):
    # Guards against an exception for bytes that are not a request.
    parser = RequestParser(CallerLimits())
    parser.feed(data)
    parser.feed(b"\r\n\r\n" + data)


def test_close_completes_only_a_body_without_length():
    # Guards against treating a truncated response as complete.
    parser = ResponseParser()
    parser.feed(b"HTTP/1.1 200 OK\r\n\r\nabc")
    assert not parser.responses[0].is_complete
    parser.feed_end()
    assert parser.responses[0].is_complete
    truncated = ResponseParser()
    truncated.feed(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc")
    truncated.feed_end()
    assert not truncated.responses[0].is_complete


def endpoint(name="w0", **fields):
    values = {"service": "desk", "address": SocketAddress("127.0.0.1", 1), "zone": "a"}
    return Endpoint(name, **{**values, "started_ms": 5, "slots": 4, **fields})


class DiscoveryHarness:
    """An endpoint set with a manual clock."""

    def __init__(self):
        self.clock = ManualClock()
        chooser = LatencyChooser("a", Random(1))
        pool = ConnectionPool(self.clock, lambda: None)
        self.endpoints = EndpointSet(self.clock, chooser, pool)
        self.endpoints.on_listed([endpoint("w0"), endpoint("w1")])

    def instance_ids(self):
        return sorted(each.instance_id for each in self.endpoints.all())

    def advance_ms(self, ms):
        self.clock.advance(ms)
        self.endpoints.expire_entries()


def test_leaving_endpoint_is_not_used():
    # Guards against requests to an endpoint that drains or was removed.
    discovery = DiscoveryHarness()
    discovery.endpoints.on_changed(endpoint("w0", is_draining=True))
    assert discovery.instance_ids() == ["w1"]
    discovery.endpoints.on_removed("w1")
    assert discovery.instance_ids() == []


def test_entries_that_expire_in_an_outage_are_used_for_a_grace_period():
    # Guards against losing all endpoints in an outage of the store.
    discovery = DiscoveryHarness()
    discovery.endpoints.on_store_unreachable()
    discovery.advance_ms(60_000.0)
    discovery.endpoints.on_store_recovered()
    discovery.endpoints.on_listed([])
    assert discovery.instance_ids() == ["w0", "w1"]
    discovery.endpoints.on_changed(endpoint("w0"))
    discovery.advance_ms(EXPIRED_ENTRY_GRACE_MS + 1.0)
    assert discovery.instance_ids() == ["w0"]


def test_entry_removed_after_the_grace_period_is_not_used():
    # Guards against a grace period that continues after the store is authoritative
    # again.
    discovery = DiscoveryHarness()
    discovery.endpoints.on_store_unreachable()
    discovery.endpoints.on_store_recovered()
    discovery.advance_ms(EXPIRED_ENTRY_GRACE_MS + 1.0)
    discovery.endpoints.on_removed("w0")
    assert discovery.instance_ids() == ["w1"]


def test_draining_endpoint_gets_no_grace_period():
    # Guards against requests to an endpoint that left during an outage of the store.
    discovery = DiscoveryHarness()
    discovery.endpoints.on_changed(endpoint("w0", is_draining=True))
    discovery.endpoints.on_store_unreachable()
    discovery.endpoints.on_store_recovered()
    discovery.endpoints.on_listed([endpoint("w1")])
    assert discovery.instance_ids() == ["w1"]


def test_restart_under_the_same_id_is_another_endpoint():
    # Guards against applying the state of an earlier start to a new one.
    discovery = DiscoveryHarness()
    old = next(each for each in discovery.endpoints.all() if each.instance_id == "w0")
    discovery.endpoints.on_changed(endpoint("w0", started_ms=6))
    assert discovery.endpoints.get(old.key) is None
    assert discovery.instance_ids() == ["w0", "w1"]


def test_misdirected_endpoint_is_excluded_for_a_time():
    # Guards against repeated requests to an address that belongs to another endpoint.
    discovery = DiscoveryHarness()
    discovery.endpoints.on_misdirected(endpoint("w0"))
    assert discovery.instance_ids() == ["w1"]
    discovery.advance_ms(MISDIRECTED_HOLD_MS + 1.0)
    assert discovery.instance_ids() == ["w0", "w1"]


def test_departed_endpoint_is_held_back_after_each_return_of_the_store():
    # Guards against requests to endpoints whose departure a return has undone, also by
    # a second return, and against holding back an endpoint that is written again.
    discovery = DiscoveryHarness()
    discovery.endpoints.on_changed(endpoint("w0", is_draining=True))
    discovery.endpoints.on_removed("w1")
    for _ in range(2):
        discovery.endpoints.on_store_returned()
        discovery.endpoints.on_listed([endpoint("w0"), endpoint("w1")])
        assert discovery.instance_ids() == []
        discovery.advance_ms(DEPARTURE_HOLD_MS / 2.0)
    discovery.endpoints.on_changed(endpoint("w0"))
    discovery.endpoints.on_changed(endpoint("w1"))
    assert discovery.instance_ids() == ["w1"]
    discovery.endpoints.on_changed(endpoint("w0", started_ms=6))
    assert discovery.instance_ids() == ["w0", "w1"]


def test_endpoint_that_a_peer_knows_to_have_left_is_held_back_after_a_return():
    # Guards against requests to an endpoint whose entry expired in an outage and which
    # is gone by the listing of a peer, after a return of the store has undone that.
    discovery = DiscoveryHarness()
    discovery.endpoints.on_store_unreachable()
    discovery.endpoints.on_listed([])
    discovery.endpoints.on_listed([endpoint("w1")], is_authoritative=True)
    discovery.endpoints.on_store_returned()
    discovery.endpoints.on_listed([endpoint("w0"), endpoint("w1")])
    assert discovery.instance_ids() == ["w1"]


def test_second_return_does_not_hold_back_an_endpoint_that_was_used_again():
    # Guards against a live endpoint that each return of the store holds back again.
    discovery = DiscoveryHarness()
    discovery.endpoints.on_removed("w0")
    for held_ids in (["w1"], ["w0", "w1"]):
        discovery.endpoints.on_store_returned()
        discovery.endpoints.on_listed([endpoint("w0"), endpoint("w1")])
        assert discovery.instance_ids() == held_ids
        discovery.advance_ms(DEPARTURE_HOLD_MS + 1.0)
        assert discovery.instance_ids() == ["w0", "w1"]


def test_departures_are_forgotten():
    # Guards against memory that grows, and against an endpoint that is held back for
    # ever.
    discovery = DiscoveryHarness()
    discovery.endpoints.on_changed(endpoint("w0", is_draining=True))
    discovery.endpoints.on_removed("w1")
    discovery.endpoints.on_store_returned()
    discovery.endpoints.on_listed([endpoint("w0"), endpoint("w1")])
    discovery.advance_ms(DEPARTURE_HOLD_MS + 1.0)
    assert discovery.instance_ids() == ["w1"]
    discovery.advance_ms(DEPARTURE_MEMORY_MS)
    assert discovery.instance_ids() == ["w0", "w1"]
    assert not discovery.endpoints._departure_by_key


class ScriptedStore:
    """Returns the next scripted result for each call."""

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
    """Records the calls of a follower."""

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


def test_lost_watch_history_causes_a_listing():
    # Guards against missed changes if the store drops its watch history.
    changed = WatchEvent("k/a", 8, 8, False, b"{}")
    removed = WatchEvent("k/a", 9, 9, True)
    store = ScriptedStore(
        page(7, "k/a"),
        Ok(WatchBatch(9, (changed, removed))),
        HistoryExpired(9),
        page(20, "k/b"),
    )
    handler = RecordingHandler()
    follower = StoreFollower(store, "k/", handler, lambda _: None)
    assert [follower.step() for _ in range(4)] == [True] * 4
    assert store.calls == ["list", "watch 7", "watch 9", "list"]
    assert handler.events[-1] == ("listed", ["k/b"])
    assert ("removed", "k/a") in handler.events


def test_store_is_listed_after_a_failure():
    # Guards against noticing the end of an outage only with the next change: workers
    # whose entries had expired in the outage were sent requests for too long after it
    # (found by a randomized test on the platform, seed 935489481002).
    store = ScriptedStore(page(1), StoreFailure("down", False), page(5, "k/a"))
    reachability = []
    follower = StoreFollower(store, "k/", RecordingHandler(), reachability.append)
    assert [follower.step() for _ in range(3)] == [True, False, True]
    assert store.calls == ["list", "watch 1", "list"]
    assert reachability == [False, True]


COUNT = st.integers(0, 2**63)
LOADS = st.dictionaries(
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


@given(LOADS, st.lists(st.tuples(COUNT, st.integers(0, 2**32 - 1)), max_size=5))
def test_load_message_round_trip(load_by_id, prefixes):
    # Guards against decoding another load than was encoded.
    message = LoadMessage("edge-1", 3, 4, load_by_id, tuple(prefixes))
    assert decode_load(encode_load(message)) == message


@given(st.binary(max_size=200))
def test_any_datagram_is_decoded_or_rejected(data):
    # Guards against an invalid datagram that ends the receive loop.
    assert isinstance(decode_load(data), (LoadMessage, str))
