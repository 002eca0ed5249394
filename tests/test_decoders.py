"""Every decoder of data from outside: odd values have a declared outcome."""

import ast
import json
import re
from collections.abc import Callable
from dataclasses import dataclass, fields, is_dataclass
from pathlib import Path
from typing import Any

import cbor2
import pytest
from odd_values import ODD_TEXTS, PLACE, SPEC, nested, stored
from pydantic import BaseModel
from routing_fleet import configuration, running_fleet
from structlog.testing import capture_logs

import wigeonwind
from wigeonwind.addresses import (
    SocketAddress,
    parse_address,
    parse_address_list,
    parse_valid_address,
)
from wigeonwind.decisions.leaving_endpoints import LeavingRow
from wigeonwind.decisions.peer_loads import InFlightLoad
from wigeonwind.decisions.quarantine import SuspectRow
from wigeonwind.entry.openai_request import ModelRequest, read_model_request
from wigeonwind.links.codec import DecodeFailure, decode, encode
from wigeonwind.links.messages import Hello
from wigeonwind.outcomes import Failure, Invalid, Ok
from wigeonwind.platform.configuration import decode_configuration
from wigeonwind.platform.endpoint_entries import decode_endpoint
from wigeonwind.platform.headers import PlatformHeaderCodec
from wigeonwind.platform.node_file import decode_node_file
from wigeonwind.platform.store_format import PlatformStoreFormat
from wigeonwind.routing.endpoints import Endpoint
from wigeonwind.routing.event_stream import _event_id
from wigeonwind.routing.leaving_messages import (
    LeavingMessage,
    decode_leaving,
    encode_leaving,
)
from wigeonwind.routing.peer_exchange import DirectoryEntry
from wigeonwind.routing.peer_exchange import decode_record as decode_peer_record
from wigeonwind.routing.peer_messages import LoadMessage, decode_load, encode_load
from wigeonwind.routing.peer_state import SharedState, decode_state, encode_state
from wigeonwind.routing.request_keys import format_key, parse_key
from wigeonwind.routing.response_parser import Response, keep_alive_ms
from wigeonwind.routing.routes import RouteTable
from wigeonwind.routing.stop_messages import StopMessage, decode_stop, encode_stop
from wigeonwind.routing.store_watchers import StoreView
from wigeonwind.routing.suspect_messages import (
    SuspectMessage,
    decode_suspects,
    encode_suspects,
)
from wigeonwind.runtime.demo import CONFIGURATION_PATH, settings_source
from wigeonwind.settings import Settings, read_settings
from wigeonwind.standins.platform_worker import FullResponse
from wigeonwind.state.booking_record import (
    BookingRecord,
    RecordedResponse,
    RecordState,
    encode_record,
)
from wigeonwind.state.booking_record import decode_record as decode_booking_record
from wigeonwind.state.configuration import parse_catalog, parse_configuration
from wigeonwind.state.configuration_head import Head, decode_head
from wigeonwind.state.configuration_schema import parse_duration_ms
from wigeonwind.state.lease import LeaseValue, decode_lease_value
from wigeonwind.state.rollouts import (
    RolloutRecord,
    Verdict,
    decode_rollout_record,
)
from wigeonwind.state.store_format import NativeStoreFormat
from wigeonwind.state.store_http import (
    MAX_RETRY_AFTER_MS,
    StoreResponse,
    _retry_after_ms,
)
from wigeonwind.state.store_types import StoredObject, StoreRevision

MAX_SENT_BYTES = 4_000
"""Longest header value that is sent; the limit of the test's configuration is 4,096."""

MAX_INTEGER = 2**64
"""Largest integer that a decoder may return; the hashes of keys have 64 bits."""

NODE_FILE = """
node = "edge-a-1"
zone = "tartu-a"
ip = "10.1.0.40"
port_range = [7340, 7355]
[listen]
ingress = "10.1.0.40:8227"
ready = "10.1.0.40:8220"
[bounds]
grace_s = 8
[platform]
address = "10.200.1.7:8223"
"""


@dataclass(frozen=True)
class Decoder:
    """A decoder, a valid sample, and the types of its outcomes.

    `kind` is the format of the sample: "json", "cbor" or "text". `value_type` is that
    of the value in an `Ok`, `errors` are declared exceptions.
    """

    call: Callable[[bytes], Any]
    sample: Any
    kind: str
    outcomes: tuple[type, ...]
    value_type: type = object
    errors: tuple[type[Exception], ...] = ()


def of_text(call):
    """Return a decoder of bytes for one of text; no program reads lone surrogates."""
    return lambda data: call(data.decode("utf-8", "replace"))


def of_body(read, *args, status=200):
    return lambda data: read(*args, StoreResponse(status, data))


NONE = type(None)
PLATFORM, NATIVE = PlatformStoreFormat(), NativeStoreFormat()
LOAD = LoadMessage(
    "edge-2", 7, 3, {5: InFlightLoad(1, 0, ((1, 40),))}, ((9, 5),),
    StoreView("z", 1, StoreRevision(1, 2), True, False),
)  # fmt: skip
SUSPECTS = SuspectMessage("edge-2", True, (SuspectRow(4, ((3, 9),), 5),), ((4, 3),))
ENTRY_OBJECT = stored("a")
STORED = StoredObject("k/a", 5, json.dumps(SPEC).encode())
LEAVING = LeavingMessage("r1", (LeavingRow(7, 5),))
STOP = StopMessage("r2", 1, 500, 7_000, True)
STATE = SharedState(StoreRevision(1, 5), True, STORED, (STORED,))
ANSWER = RecordedResponse(200, [["a", "b"]], b"x")
BOOKING = BookingRecord(RecordState.DONE, "t", "d", "side-1", 7, 1.0, ANSWER)
HEAD = {"version": 1, "digest": "d", "source": "x", "submission_id": "s", "recent": []}
CHAT = {"model": "m", "messages": [{"role": "user", "content": "a"}], "stream": True}
LISTING = {"entries": [ENTRY_OBJECT], "has_more": True, "store_revision": 30}
CHANGES = {"events": [{"object": ENTRY_OBJECT}], "store_revision": 30}
NATIVE_OBJECT = {"key": "k", "version": 1, "value": "YQ=="}
NATIVE_EVENT = {"key": "k", "version": 1, "revision": 2, "deleted": False}
INI = CONFIGURATION_PATH.read_text("utf-8")

DECODERS: dict[str, Decoder] = {
    "platform.configuration.decode_configuration": Decoder(
        decode_configuration, configuration(), "json", (Ok, Invalid), RouteTable
    ),
    "platform.endpoint_entries.decode_endpoint": Decoder(
        lambda data: decode_endpoint("servers/a", data), SPEC, "json", (Endpoint, str)
    ),
    "platform.node_file.decode_node_file": Decoder(
        of_text(decode_node_file), NODE_FILE, "text", (Ok, Invalid)
    ),
    "routing.peer_exchange.decode_record": Decoder(
        decode_peer_record,
        {"address": "10.0.0.1:80", "message_version": 3},
        "json",
        (DirectoryEntry, str),
    ),
    "routing.peer_messages.decode_load": Decoder(
        decode_load, encode_load(LOAD), "cbor", (LoadMessage, str)
    ),
    "routing.suspect_messages.decode_suspects": Decoder(
        decode_suspects, encode_suspects(SUSPECTS), "cbor", (SuspectMessage, str)
    ),
    "routing.leaving_messages.decode_leaving": Decoder(
        decode_leaving, encode_leaving(LEAVING), "cbor", (LeavingMessage, str)
    ),
    "routing.stop_messages.decode_stop": Decoder(
        decode_stop, encode_stop(STOP), "cbor", (StopMessage, str)
    ),
    "routing.peer_state.decode_state": Decoder(
        decode_state, encode_state(STATE), "cbor", (SharedState, str)
    ),
    "routing.request_keys.parse_key": Decoder(
        of_text(parse_key), format_key(42), "text", (int, NONE)
    ),
    "state.booking_record.decode_record": Decoder(
        decode_booking_record, encode_record(BOOKING), "cbor", (BookingRecord, NONE)
    ),
    "state.rollouts.decode_rollout_record": Decoder(
        decode_rollout_record,
        json.loads(RolloutRecord("s", "v2", "v1", Verdict.RUNNING).to_bytes()),
        "json",
        (RolloutRecord, NONE),
    ),
    "state.lease.decode_lease_value": Decoder(
        decode_lease_value,
        json.loads(LeaseValue("h", 1, "n").to_bytes()),
        "json",
        (LeaseValue, NONE),
    ),
    "state.configuration_head.decode_head": Decoder(
        lambda data: decode_head(data, 1), HEAD, "json", (Head, NONE)
    ),
    "state.configuration.parse_catalog": Decoder(
        of_text(lambda text: parse_catalog(text, 1)), INI, "text", (Ok, Invalid)
    ),
    "state.configuration.parse_configuration": Decoder(
        of_text(lambda text: parse_configuration(text, 1, None)),
        INI,
        "text",
        (Ok, Invalid),
    ),
    "state.configuration_schema.parse_duration_ms": Decoder(
        of_text(parse_duration_ms), "1500ms", "text", (float, NONE)
    ),
    "settings.read_settings": Decoder(
        of_text(read_settings),
        settings_source("a", "entry", "z", "127.0.0.1:1", ""),
        "text",
        (Ok, Invalid),
        Settings,
    ),
    "links.codec.decode": Decoder(
        decode,
        encode(Hello("m", 1, "side", "z", "s", 0)),
        "cbor",
        (Hello, DecodeFailure),
    ),
    "entry.openai_request.read_model_request": Decoder(
        lambda data: read_model_request(data, True),
        CHAT,
        "json",
        (Ok, Failure),
        ModelRequest,
    ),
    "addresses.parse_address": Decoder(
        of_text(parse_address),
        "10.0.0.1:80",
        "text",
        (SocketAddress,),
        errors=(ValueError,),
    ),
    "addresses.parse_address_list": Decoder(
        of_text(parse_address_list),
        "10.0.0.1:80, 10.0.0.2:80",
        "text",
        (tuple,),
        errors=(ValueError,),
    ),
    "addresses.parse_valid_address": Decoder(
        of_text(parse_valid_address), "10.0.0.1:80", "text", (SocketAddress, NONE)
    ),
}
for name, store_format, entry_object, listing, changes in (
    ("platform", PLATFORM, ENTRY_OBJECT, LISTING, CHANGES),
    (
        "state",
        NATIVE,
        NATIVE_OBJECT,
        {"objects": [NATIVE_OBJECT]},
        {"events": [NATIVE_EVENT], "revision": 3},
    ),
):
    for status in (200, 409, 412):
        for method in ("read_get", "read_put", "read_delete"):
            DECODERS[f"{name}.store_format.{method} {status}"] = Decoder(
                of_body(getattr(store_format, method), "k/a", status=status),
                entry_object,
                "json",
                (object,),
            )
    DECODERS[f"{name}.store_format.read_list_page"] = Decoder(
        of_body(store_format.read_list_page, "k/"), listing, "json", (Ok, NONE)
    )
    DECODERS[f"{name}.store_format.read_watch"] = Decoder(
        of_body(store_format.read_watch, "k/", 1), changes, "json", (Ok, NONE)
    )

NOT_FROM_OUTSIDE = {
    "runtime.credentials.read_operators_key",
    "key_file.read_key_file",
    "links.link.read_keys",
}
"""Readers of local key files; their arguments are paths."""

LAYERS = ("platform", "routing", "state", "links", "entry", "side", "runtime")
DECODER_NAME = re.compile(r"(decode|parse|read)(_|$)")


def decoders_in_code():
    """Yield the names of public decoder functions of text or bytes in the code."""
    root = Path(wigeonwind.__file__).parent
    paths = [path for layer in LAYERS for path in sorted((root / layer).glob("*.py"))]
    for path in [*paths, *sorted(root.glob("*.py"))]:
        module = ".".join(path.relative_to(root).with_suffix("").parts)
        for node in ast.parse(path.read_text("utf-8")).body:
            if not isinstance(node, ast.FunctionDef):
                continue
            annotations = {ast.unparse(arg.annotation or arg) for arg in node.args.args}
            if DECODER_NAME.match(node.name) and annotations & {"str", "bytes"}:
                yield f"{module}.{node.name}"


def test_every_decoder_is_checked():
    # Guards against a new decoder that gets no odd values in these tests.
    assert set(decoders_in_code()) == NOT_FROM_OUTSIDE | {
        name for name in DECODERS if " " not in name and ".store_format." not in name
    }


def paths_of(document, path=()):
    """Yield the path of each value in a document."""
    yield path
    if isinstance(document, dict):
        items = document.items()
    elif isinstance(document, list):
        items = enumerate(document)
    else:
        return
    for key, value in list(items):
        yield from paths_of(value, (*path, key))


def replaced(document, path, value):
    """Return a copy of a document with `value` at `path`."""
    if not path:
        return value
    copy = document.copy()
    copy[path[0]] = replaced(document[path[0]], path[1:], value)
    return copy


def removed(document, path):
    """Return a copy of a document without the value at `path`."""
    parent = document
    for key in path[:-1]:
        parent = parent[key]
    rest = parent.copy()
    del rest[path[-1]]
    return replaced(document, path[:-1], rest)


TEXTS = [
    *(text.encode() if isinstance(text, str) else text for text in ODD_TEXTS.values()),
    *(b"null", b"true", b"-1", b"0", b"-0", b"1.5", b"1e300", b"-1e300", b"[]", b"{}"),
    *(b'""', b'"\\u0000"', b'"a\\r\\nb: c"', b'"nan"', b'"inf"', b'"1e400"', b'"-1"'),
    b'"%s"' % (b"9" * 400),
    b'"%s"' % (b"9" * 5_000),
    b"[%s]" % b",".join([b"0"] * 1_000),
    str(2**63).encode(),
    str(2**64).encode(),
    str(-(2**70)).encode(),
]


def json_mutations(sample):
    """Yield JSON texts in which one value is odd, missing, or there twice."""
    yield json.dumps(sample).encode()
    for path in paths_of(sample):
        template = json.dumps(replaced(sample, path, "PLACE")).encode()
        for text in TEXTS:
            yield template.replace(PLACE.encode(), text)
        if path:
            yield json.dumps(removed(sample, path)).encode()


CBOR_VALUES = [
    *(cbor2.dumps(value) for value in (
        None, True, -1, 0, 1.5, 1e300, float("nan"), float("inf"), 10**400, -(10**400),
        2**63, 2**64, "", "x" * 5_000, "a\r\nb", "a\0b", b"", b"x", [], {}, [[]],
        [0] * 1_000, {"a": 1}, [None], [[1, 2]], {1: 2},
    )),
    b"\x81" * 1_100 + b"\x00",
    b"\x81" * 7_000 + b"\x00",
    b"\xa1\x00" * 1_100 + b"\x00",
    b"\x61\xff",
    b"\x63\xed\xa0\x80",
    b"\x9f\xff",
    b"\xbf\xff",
    b"\xa1\x80\x00",
    b"\xa1\xa0\x00",
    b"\xf7",
    b"\xe0",
    b"\x1c",
    b"\x9b" + b"\xff" * 8,
    b"\xbb" + b"\x7f" + b"\xff" * 7,
    b"\x5b" + b"\x7f" + b"\xff" * 7,
    b"\xd8\x1d\x00",
    b"\xd8\x1c\x81\xd8\x1d\x00",
    b"\xc0\x61x",
    b"\xc1\xfb\x7e\x37\xe4\x3c\x88\x00\x75\x9c",
    b"\xc1\x1b" + b"\xff" * 8,
    b"\xc2\x59\x01\x00" + b"\xff" * 256,
    b"\xc4\x82\x1b" + b"\x7f" * 8 + b"\x01",
    b"\xc5\x82\x1b" + b"\x7f" * 8 + b"\x01",
    b"\xd8\x1e\x82\x01\x00",
    b"\xd8\x23\x61(",
    b"\xd8\x24\x61x",
    b"\xd8\x25\x41x",
    b"\xd9\x01\x02\x81\x80",
    b"\xd9\x01\x04\x41x",
    b"\xd9\x01\x05\xa1\x41x\x01",
    b"\xd9\xff\xff\x00",
    b"",
]  # fmt: skip
"""Encoded values: odd types and sizes, broken encodings, and tags with odd contents."""

CBOR_PLACE = b"\x65PLACE"


def cbor_mutations(sample):
    """Yield CBOR texts in which one value is odd or missing."""
    yield sample
    document = cbor2.loads(sample)
    for path in paths_of(document):
        template = cbor2.dumps(replaced(document, path, "PLACE"))
        for value in CBOR_VALUES:
            yield template.replace(CBOR_PLACE, value)
        if path:
            yield cbor2.dumps(removed(document, path))


TEXT_VALUES = [
    *(
        b"",
        b" ",
        b"\0",
        b"\xff",
        b"-1",
        b"0",
        b"1.5",
        b"1e400",
        b"nan",
        b"inf",
        b"-inf",
    ),
    *(
        b"9" * 400,
        b"9" * 5_000,
        b"99999999999",
        b"65536",
        b"[" * 1_100,
        b"\r\n",
        b"8_0",
    ),
    *("\u00b2".encode(), "\u0668".encode(), b"true", b"[]", b'""', b"x" * 10_000),
    *(b"10.0.0.256:80", b"::1:80", b":", b"a:b", b"%(a)s", b'"\\ud800"', b"1" * 30),
    nested(1_100).encode(),
    b"{a=" * 1_100,
]


def text_mutations(sample):
    """Yield texts in which one value, key or whole line is odd."""
    data = sample.encode()
    yield data
    words = [match.span() for match in re.finditer(rb"[^\s=,\[\]]+", data)]
    for start, end in words[:150]:
        for value in TEXT_VALUES:
            yield data[:start] + value + data[end:]


MUTATIONS = {"json": json_mutations, "cbor": cbor_mutations, "text": text_mutations}


COMPUTED = {"content_sum"}
"""Fields that are digests of the text; they have 256 bits and are no value of it."""


def check_bounded(value, path=""):
    """Check that a decoded value can be used, encoded and logged."""
    if isinstance(value, bool) or value is None:
        return
    if isinstance(value, int):
        assert abs(value) <= MAX_INTEGER, path
    elif isinstance(value, float):
        assert value == value and abs(value) < float("inf"), path
    elif isinstance(value, str):
        value.encode()
    elif isinstance(value, dict):
        for key, item in value.items():
            check_bounded(key, path)
            check_bounded(item, f"{path}[{str(key)[:20]}]")
    elif isinstance(value, (list, tuple, set, frozenset)):
        for item in value:
            check_bounded(item, f"{path}[]")
    elif is_dataclass(value):
        for field in (each for each in fields(value) if each.name not in COMPUTED):
            check_bounded(getattr(value, field.name), f"{path}.{field.name}")
    elif isinstance(value, BaseModel):
        check_bounded(dict(value), path)


REASONS = (Invalid, Failure, DecodeFailure, str)
"""Outcomes that describe an invalid input; they may quote it."""


@pytest.mark.parametrize("name", DECODERS)
def test_odd_values_have_a_declared_outcome(name):
    # Guards against one value from outside that raises, or is taken out of range.
    decoder = DECODERS[name]
    sample = decoder.sample
    first, *mutations = MUTATIONS[decoder.kind](sample)
    assert not isinstance(decoder.call(first), (*REASONS, *decoder.outcomes[1:]))
    problems = set()
    for data in mutations:
        try:
            outcome = decoder.call(data)
        except decoder.errors:
            continue
        except Exception as error:
            problems.add(f"{type(error).__name__}: {str(error)[:80]} for {shown(data)}")
            continue
        try:
            assert isinstance(outcome, decoder.outcomes)
            if isinstance(outcome, Ok):
                assert isinstance(outcome.value, decoder.value_type)
            if not isinstance(outcome, REASONS):
                check_bounded(outcome)
        except (AssertionError, UnicodeError) as error:
            problems.add(f"{error!r}"[:300] + f" for {shown(data)}")
    assert not problems, "\n".join([str(len(problems)), *sorted(problems)[:30]])


def shown(data):
    return f"{data[:60]!r}...{data[-60:]!r}" if len(data) > 120 else repr(data)


HEADER_VALUES = [
    *TEXT_VALUES,
    *(b"1,2", b",", b"1e300", b"a:-1", b"a:" + b"9" * 400, b"a:" + b"9" * 5_000),
    *(b"f" * 400 + b":1", b"a:1,b:" + b"9" * 400, b"-a:1", b"timeout=" + b"9" * 400),
    *(b"timeout=" + b"9" * 5_000, b"timeout=-1", b"timeout=nan"),
]
HEADERS = [
    *(b"host", b"request-id", b"x-api-key", b"deadline-ms", b"token-usage"),
    *(b"prefix-hash", b"last-event-id", b"length-hint", b"connection", b"keep-alive"),
    *(b"content-type", b"retry-after", b"weight-versions", b"worker-signature"),
]


@pytest.mark.parametrize("header", HEADERS)
def test_odd_headers_have_a_declared_outcome(header):
    # Guards against a header of a caller or endpoint that raises, or makes a number
    # with which decisions cannot calculate.
    codec = PlatformHeaderCodec()
    for value in HEADER_VALUES:
        headers = [(header, value), (b"X-Other", b"1")]
        metadata = codec.decode_request_headers(headers)
        check_bounded(metadata)
        assert metadata.prompt_tokens >= 0
        assert all(chunk.tokens >= 0 for chunk in metadata.prompt_chunks)
        check_bounded(codec.decode_response_headers(headers))
        response = Response()
        response.headers = headers
        check_bounded(keep_alive_ms(response))


@pytest.mark.parametrize("value", HEADER_VALUES)
def test_odd_retry_after_and_event_ids_are_bounded(value):
    # Guards against a store or an engine that makes an entry calculate with NaN.
    text = value.decode("utf-8", "replace")
    assert 0.0 <= _retry_after_ms(text) <= MAX_RETRY_AFTER_MS
    check_bounded(_event_id(b"id: " + value.replace(b"\n", b" ") + b"\ndata: x"))


@pytest.mark.parametrize("header", HEADERS)
def test_odd_headers_of_a_caller_raise_nowhere(header):
    # Guards against a header that passes its decoder and raises in a later decision.
    values = [v for v in HEADER_VALUES if not re.search(rb"[\0\r\n]", v)]
    texts = [v.decode("latin-1") for v in values if len(v) < MAX_SENT_BYTES]
    ascii_texts = [text for text in texts if text.isascii()]
    with running_fleet(workers=1) as fleet, capture_logs() as logs:
        for number, text in enumerate(ascii_texts):
            line = f"{header.decode()}: {text}"
            for path in ("/safe/x", "/stream/x"):
                fleet.call(path, "POST", b"p", (line,), f"r{number}-{path}")
        assert fleet.call("/safe/x", request_id="last").status == 200
    errors = [line for line in logs if line["event"].startswith("unexpected error")]
    assert errors == []


DEADLINE = ("Deadline-Ms: 300",)

RESPONSE_HEADERS = [
    *("Keep-Alive", "Retry-After", "Weight-Versions", "Connection", "Content-Type"),
    *("Content-Length", "Request-Id", "Not-Executed", "Worker-Signature", "Date"),
]


@pytest.mark.parametrize("header", RESPONSE_HEADERS)
def test_odd_headers_of_an_endpoint_raise_nowhere(header):
    # Guards against a header of an endpoint that raises after its answer was decoded.
    values = [v for v in HEADER_VALUES if not re.search(rb"[\0\r\n]", v)]
    texts = [v.decode() for v in values if v.isascii() and len(v) <= 10_000]
    with running_fleet(workers=1) as fleet, capture_logs() as logs:
        (worker,) = fleet.workers
        for number, text in enumerate(texts):
            worker.default = FullResponse(headers=(f"{header}: {text}",))
            for path in ("/safe/x", "/stream/x"):
                request_id = f"r{number}-{path[1:3]}"
                reply = fleet.call(path, "GET", b"", DEADLINE, request_id)
                assert reply.status in (0, 200, 502, 503, 504)
        assert not fleet.router.stopped.is_set()
    errors = [line for line in logs if line["event"].startswith("unexpected error")]
    assert errors == []
