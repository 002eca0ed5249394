"""Formats of the platform: configuration, entries, headers, settings and store."""

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st
from routing_fleet import configuration, running_fleet

from wigeonwind.addresses import SocketAddress
from wigeonwind.outcomes import Invalid, Ok
from wigeonwind.platform.configuration import decode_configuration
from wigeonwind.platform.endpoint_entries import decode_endpoint
from wigeonwind.platform.headers import PlatformHeaderCodec
from wigeonwind.platform.node_file import decode_node_file
from wigeonwind.platform.store_format import PlatformStoreFormat
from wigeonwind.routing.endpoints import Endpoint
from wigeonwind.routing.header_codec import PromptChunk, SendMetadata
from wigeonwind.routing.routes import Repetition
from wigeonwind.state.store_http import StoreResponse
from wigeonwind.state.store_types import Conflict, HistoryExpired, NotFound

ENTRY = {
    "backend": "desk",
    "address": "10.128.0.9:8080",
    "zone": "tartu-a",
    "version": "v1",
    "capacity": 96,
    "state": "ready",
    "warmup_left_ms": 0,
    "seq": 4,
    "born": 1_790_000_000_000,
}
JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False) | st.text(),
    lambda inner: (
        st.lists(inner, max_size=3) | st.dictionaries(st.text(), inner, max_size=3)
    ),
    max_leaves=8,
)


def dumps(document):
    return json.dumps(document).encode()


def test_configuration_is_decoded():
    # Guards against a wrong repetition, service share or API key of a route.
    split = [{"backend": "a", "weight": 90}, {"backend": "b", "weight": 10}]
    document = configuration(7)
    document["routes"][0].update(split=split)
    result = decode_configuration(dumps(document))
    assert isinstance(result, Ok)
    table = result.value
    assert (table.version, table.needs_key) == (7, True)
    repetition_by_route = {each.name: each.repetition for each in table.routes}
    assert repetition_by_route["safe"] is Repetition.SAFE
    assert (
        repetition_by_route["once"] is repetition_by_route["stream"] is Repetition.ONCE
    )
    assert repetition_by_route["resume"] is Repetition.RESUMABLE
    assert [each.service for each in table.routes[0].shares] == ["a", "b"]
    assert table.customer_by_key["key-1"].name == "mill"
    assert table.customer_by_key["key-1"].priority == 0


@pytest.mark.parametrize(
    ("engine", "rate"),
    [
        ({"moves": True, "kv_token_bytes": 18432, "link_mbps": 180_000.0}, 1220.7),
        ({"moves": False, "kv_token_bytes": 18432, "link_mbps": 180_000.0}, None),
        ({"moves": True, "kv_token_bytes": 0, "link_mbps": 180_000.0}, None),
        (None, None),
    ],
)
def test_kv_copy_rate_is_decoded(engine, rate):
    # Guards against copies for engines that make none, and against a division by zero.
    document = configuration(7)
    document["backends"][0]["engine"] = engine
    result = decode_configuration(dumps(document))
    assert isinstance(result, Ok)
    expected = {} if rate is None else {"desk": pytest.approx(rate, abs=0.1)}
    assert result.value.fetch_rate_by_service == expected


@pytest.mark.parametrize(
    ("split", "services"),
    [
        ([], ["desk"]),
        ([{"backend": "a", "weight": 0}], []),
        ([{"backend": "a", "weight": 0}, {"backend": "b", "weight": 0}], []),
        ([{"backend": "a", "weight": 0}, {"backend": "b", "weight": 3}], ["b"]),
        ([{"backend": "a", "weight": -1}, {"backend": "b", "weight": 3}], ["b"]),
    ],
)
def test_services_with_weight_0_get_no_requests(split, services):
    # Guards against a weight of 0 that is taken for no weight, and against an error
    # for each request of a route whose weights are all 0.
    document = configuration(7)
    document["routes"][0].update(split=split)
    result = decode_configuration(dumps(document))
    assert isinstance(result, Ok)
    shares = result.value.routes[0].shares
    assert [each.service for each in shares if each.service] == services
    assert shares


def test_request_of_a_route_without_weights_is_refused():
    # Guards against an unexpected error, which says nothing of whether a request ran.
    config = configuration()
    shares = [{"backend": "desk", "weight": 0}, {"backend": "mill", "weight": 0}]
    config["routes"][0].update(split=shares)
    with running_fleet(workers=1, config=config) as fleet:
        reply = fleet.call("/safe/x")
        assert fleet.received() == 0
    assert (reply.status, reply.headers["x-outcome"]) == (503, "not-run")


def test_kv_copy_source_is_encoded():
    # Guards against an engine that computes a shared prefix again instead of copying
    # it.
    metadata = PlatformHeaderCodec().decode_request_headers(((b"Request-Id", b"r1"),))
    send = SendMetadata(100.0, "i-1", fetch_from=SocketAddress("10.0.0.1", 80))
    lines = PlatformHeaderCodec().encode_request_headers(metadata, send)
    assert b"\r\nKv-Fetch: 10.0.0.1:80\r\n" in lines


@given(st.binary(max_size=100) | JSON.map(dumps))
def test_any_configuration_is_decoded_or_rejected(value):
    # Guards against an exception that ends the store follower.
    assert isinstance(decode_configuration(value), (Ok, Invalid))


def test_endpoint_entry_is_decoded():
    # Guards against a wrong address, draining state or start time of an endpoint.
    result = decode_endpoint("servers/i-1", dumps({**ENTRY, "state": "draining"}))
    assert isinstance(result, Endpoint)
    assert (result.instance_id, result.service, result.slots) == ("i-1", "desk", 96)
    assert result.is_draining
    assert result.started_ms == ENTRY["born"]


@pytest.mark.parametrize(
    "change",
    [
        {"backend": 3},
        {"backend": ""},
        {"state": "resting"},
        {"address": "10.0.0.256:80"},
        {"address": "here"},
        {"capacity": "many"},
        {"born": 1.5},
    ],
)
def test_endpoint_entry_with_an_invalid_field_is_rejected(change):
    # Guards against an invalid entry that stops discovery or is used.
    assert isinstance(decode_endpoint("servers/i-1", dumps({**ENTRY, **change})), str)


@pytest.mark.parametrize("field", ["backend", "address", "zone", "state", "capacity"])
def test_endpoint_entry_with_a_missing_field_is_rejected(field):
    # Guards against using an incomplete entry of another program.
    entry = {key: value for key, value in ENTRY.items() if key != field}
    assert isinstance(decode_endpoint("servers/i-1", dumps(entry)), str)


@given(st.binary(max_size=100) | JSON.map(dumps))
def test_any_endpoint_entry_is_decoded_or_rejected(value):
    # Guards against an exception that ends the store follower.
    assert isinstance(decode_endpoint("servers/i-1", value), (Endpoint, str))


HEADERS = (
    (b"Host", b"A.example:80"),
    (b"Request-Id", b"r1"),
    (b"Deadline-Ms", b"1500"),
    (b"Token-Usage", b"1460,80"),
    (b"Prefix-Hash", b"5c:800, 91:410,zz:9"),
    (b"Last-Event-Id", b"4"),
    (b"X-Api-Key", b"k"),
    (b"Connection", b"keep-alive, X-Hop"),
    (b"X-Hop", b"1"),
    (b"Request-Priority", b"0"),
    (b"Kv-From", b"10.0.0.1:1/h"),
    (b"X-Mine", b"m"),
)


def test_request_headers_are_decoded():
    # Guards against forwarding headers of a caller that only the system may set.
    metadata = PlatformHeaderCodec().decode_request_headers(HEADERS)
    assert (metadata.request_id, metadata.host, metadata.api_key) == (
        "r1",
        "a.example",
        "k",
    )
    assert (metadata.caller_timeout_ms, metadata.prompt_tokens) == (1500, 1460)
    assert metadata.prompt_chunks == (PromptChunk(0x5C, 800), PromptChunk(0x91, 410))
    assert metadata.last_event_id == 4
    names = [name for name, _ in metadata.forwarded_headers]
    assert names == [b"Host", b"Request-Id", b"Token-Usage", b"Prefix-Hash", b"X-Mine"]


def test_endpoint_headers_are_encoded():
    # Guards against a send without deadline, instance, customer or last event id.
    header_codec = PlatformHeaderCodec()
    metadata = header_codec.decode_request_headers(HEADERS)
    lines = header_codec.encode_request_headers(
        metadata, SendMetadata(900.7, "i-1", 12, "mill", 5)
    )
    for line in (
        b"Deadline-Ms: 900\r\n",
        b"Expect-Instance: i-1\r\n",
        b"Tenant: mill\r\n",
        b"Request-Priority: 9\r\n",
        b"Last-Event-Id: 5\r\n",
    ):
        assert line in lines
    assert b"X-Api-Key" not in lines


@given(st.lists(st.tuples(st.binary(max_size=20), st.binary(max_size=20)), max_size=5))
def test_any_header_values_are_decoded(values):
    # Guards against an exception for the headers of a caller or an endpoint.
    header_codec = PlatformHeaderCodec()
    names = [name for name, _ in HEADERS]
    headers = [(name, value) for name, (_, value) in zip(names, values, strict=False)]
    header_codec.decode_request_headers(headers)
    header_codec.decode_response_headers(headers)


NODE = """
node = "edge-a-1"
zone = "tartu-a"
ip = "10.1.0.40"
port_range = [7340,7355]
unknown = 3
[listen]
ingress = "10.1.0.40:8227"
ready = "10.1.0.40:8220"
[bounds]
grace_s = 8
[platform]
address = "10.200.1.7:8223"
"""


def test_node_file_is_decoded():
    # Guards against wrong addresses of the listeners or the store.
    result = decode_node_file(NODE)
    assert isinstance(result, Ok)
    settings = result.value
    assert (settings.node_id, settings.stop_limit_ms) == ("edge-a-1", 8000.0)
    assert [str(a) for a in (settings.callers, settings.store, settings.peers)] == [
        "10.1.0.40:8227",
        "10.200.1.7:8223",
        "10.1.0.40:7340",
    ]


@pytest.mark.parametrize(
    "source", ["", "node = ", NODE.replace('node = "edge-a-1"', "")]
)
def test_invalid_node_file_is_rejected(source):
    # Guards against a process that starts with incomplete settings.
    assert isinstance(decode_node_file(source), Invalid)


STORED = {"metadata": {"name": "a", "revision": 9}, "spec": {"x": 1}}


def test_store_responses_are_decoded():
    # Guards against treating a conflict as success, and lost watch history as an empty
    # batch.
    store_format = PlatformStoreFormat()
    assert store_format.read_put("k/a", StoreResponse(409, dumps(STORED))) == Conflict(
        "k/a", 9
    )
    assert store_format.read_put("k/a", StoreResponse(200, dumps(STORED))) == Ok(9)
    assert store_format.read_get("k/a", StoreResponse(404, b"")) == NotFound("k/a")
    assert store_format.read_watch("k/", 5, StoreResponse(410, b"")) == HistoryExpired(
        5
    )
    listing = dumps({"entries": [STORED], "has_more": True, "store_revision": 30})
    page = store_format.read_list_page("k/", StoreResponse(200, listing))
    assert page is not None
    assert (page.value.next_after, page.value.revision) == ("a", 30)
    assert page.value.objects[0].value == b'{"x": 1}'
    assert store_format.list_page("k/", "a").path.endswith("k?after=a")


def test_store_requests_are_conditional():
    # Guards against a create that replaces an object, and an unconditional replace.
    store_format = PlatformStoreFormat()
    created = store_format.put("k/a", b"{}", 0)
    replaced = store_format.put("k/a", b"{}", 9)
    assert (created.method, created.path) == ("POST", "/api/objects/k")
    assert (replaced.method, replaced.path) == ("PUT", "/api/objects/k/a")
    assert json.loads(replaced.body)["metadata"] == {"name": "a", "revision": 9}


@given(st.integers(200, 599), st.binary(max_size=80) | JSON.map(dumps))
def test_any_store_response_is_decoded_or_rejected(status, body):
    # Guards against an exception for a response of unexpected shape.
    store_format = PlatformStoreFormat()
    response = StoreResponse(status, body)
    store_format.read_get("k/a", response)
    store_format.read_put("k/a", response)
    store_format.read_delete("k/a", response)
    store_format.read_list_page("k/", response)
    store_format.read_watch("k/", 1, response)
