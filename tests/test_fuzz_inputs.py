"""Seeded mutation fuzzing of external inputs: no exception, no hang."""

import json
from random import Random

import gevent
import pytest
from entry_fakes import EntryUnderTest, respond_with_words
from gevent.server import StreamServer
from test_entry_http import CHUNKED, POST

from wigeonwind.addresses import SocketAddress
from wigeonwind.links.codec import decode, encode
from wigeonwind.links.messages import Chunk, Hello, Submit
from wigeonwind.runtime.demo import CONFIGURATION_PATH, settings_source
from wigeonwind.runtime.vm_list_client import VmListClient
from wigeonwind.settings import read_settings
from wigeonwind.side.engine_client import EngineClient
from wigeonwind.side.sse import TokenStreamParser
from wigeonwind.state.configuration import parse_configuration
from wigeonwind.state.configuration_head import decode_head
from wigeonwind.state.store_client import StoreClient
from wigeonwind.tool.trace_command import read_spans

SEED = 20
HANG_S = 20.0
"""Timeout after which an input counts as a hang."""

TOKENS = [b"", b"\0", b"\xff", b"\r\n", b"\n", b"[", b"]", b"{", b'"', b"=", b":", b"%"]
TOKENS += [b"-1", b"1e999", b"NaN", b"null", b"9" * 400, b"[" * 5000, b"\xd8\x00", b"0"]
"""Inserted by mutations: separators of the formats and extreme values."""


def mutate(rng, data):
    """Return `data` with random bytes replaced, removed, repeated or inserted.

    A replacement is a single random byte or one of `TOKENS`.
    """
    for _ in range(rng.randint(1, 4)):
        start = rng.randrange(len(data) + 1)
        end = min(len(data), start + rng.choice([0, 0, 1, 1, 4, 30]))
        replacement = rng.choice([rng.choice(TOKENS), bytes([rng.randrange(256)])])
        if rng.random() < 0.2:
            replacement = data[start:end] * 3
        data = data[:start] + replacement + data[end:]
    return data


def mutations(sample, count):
    rng = Random(f"{SEED} {sample!r}")
    for _ in range(count):
        yield mutate(rng, sample)


def json_bytes(fields):
    return json.dumps(fields).encode()


SSE = b'data: {"choices": [{"delta": {"content": "a"}, "finish_reason": "stop"}], '
SSE += b'"usage": {"prompt_tokens": 1, "completion_tokens": 1}}\n\ndata: [DONE]\n\n'

SPAN = {"name": "a", "start_time": "2026-01-01T00:00:00Z", "end_time": "2026-01-01"}
SPAN |= {"context": {"trace_id": "0x1", "span_id": "0x2"}, "parent_id": None}

HEAD_SAMPLE = json_bytes(
    {"version": 1, "digest": "d", "source": "x", "submission_id": "s", "recent": []}
)

SUBMIT = Submit(
    "r", 0, 1, 1, "s", "c", "u", "POST", "/", [["a", "b"]], b"{}", True, 1, 0.0
)

PARSER_SAMPLES = [
    (settings_source("a", "entry", "z", "127.0.0.1:1", "").encode(), "settings"),
    (CONFIGURATION_PATH.read_bytes(), "text"),
    (encode(Hello("m", 1, "side", "z", "s", 0)), "message"),
    (encode(SUBMIT), "message"),
    (encode(Chunk("r", 0, 0, b"data", 1)), "message"),
    (SSE, "sse"),
    (HEAD_SAMPLE, "head"),
    (json_bytes(SPAN), "span"),
]


def parse(kind, data):
    text = data.decode("utf-8", "replace")
    if kind == "settings":
        read_settings(text)
    elif kind == "text":
        parse_configuration(text, 1, None)
    elif kind == "message":
        decode(data)
    elif kind == "sse":
        list(TokenStreamParser().feed(data))
    elif kind == "head":
        decode_head(data, 1)
    else:
        list(read_spans(text.splitlines()))


def check_parsers(count):
    for sample, kind in PARSER_SAMPLES:
        for data in mutations(sample, count):
            try:
                parse(kind, data)
            except Exception as error:
                pytest.fail(f"{kind} {data!r}: {error!r}")


def test_parsers_do_not_raise_on_malformed_input():
    # Guards against input of an attacker or a faulty peer that raises an exception and
    # so ends the loop that reads it.
    check_parsers(150)


@pytest.mark.nightly
def test_parsers_do_not_raise_on_malformed_input_long():
    # Guards against inputs too rare for the short run.
    check_parsers(20_000)


def check_entry(count):
    entry = EntryUnderTest()
    entry.add_sidecar(respond_with_words("x"))
    unhandled = []
    entry.role._server.error_log = None
    gevent.get_hub().handle_error, original_handler = (
        lambda *error: unhandled.append(error),
        gevent.get_hub().handle_error,
    )
    body = json.dumps({"model": "barley-7b", "messages": [{"content": "a"}]})
    complete = f"{POST}Content-Length: {len(body)}\r\nConnection: close\r\n\r\n{body}"
    chunked = f"{CHUNKED}{len(body):x}\r\n{body}\r\n0\r\n\r\n"
    address = (entry.address.host, entry.address.port)
    try:
        for sample in (complete.encode(), chunked.encode()):
            for data in mutations(sample, count):
                with (
                    gevent.Timeout(HANG_S),
                    gevent.socket.create_connection(address) as sock,
                ):
                    sock.sendall(data)
                    sock.shutdown(gevent.socket.SHUT_WR)
                    reply = b"".join(iter(lambda s=sock: s.recv(65536), b""))
                assert b" 500 " not in reply.partition(b"\r\n")[0], data
        assert entry.chat().status == 200
    finally:
        gevent.get_hub().handle_error = original_handler
        entry.role.stop()
    assert unhandled == []


def test_the_entry_survives_malformed_requests():
    # Guards against a request that raises an exception in the entry or stops it.
    check_entry(60)


@pytest.mark.nightly
def test_the_entry_survives_malformed_requests_long():
    # Guards against requests too rare for the short run.
    check_entry(3_000)


RESPONSE_BODIES = [
    json_bytes({"vms": [{"id": "a", "address": "b", "state": "live"}], "as_of_ms": 1}),
    json_bytes({"key": "k", "version": 1, "value": "YQ==", "objects": []}),
    json_bytes(
        {"events": [{"seq": 1, "kind": "stored", "prefix": 5}], "next": 2, "running": 1}
    ),
]


def check_clients(count):
    response = [b""]

    def serve(sock, _address):
        with sock:
            sock.recv(65536)
            sock.sendall(response[0])

    server = StreamServer(("127.0.0.1", 0), serve)
    server.start()
    address = SocketAddress("127.0.0.1", server.server_port)
    head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\nRetry-After: 1\r\n\r\n"
    try:
        for body in RESPONSE_BODIES:
            for data in mutations(body, count):
                response[0] = head % len(data) + data
                check_client(address, data)
            for data in mutations(head % len(body) + body, count):
                response[0] = data
                check_client(address, data)
    finally:
        server.stop()


def check_client(address, data):
    store = StoreClient(address)
    calls = [VmListClient(address).read, lambda: store.get("k")]
    engine = EngineClient(address, 5_000.0)
    calls += [lambda: engine.cache_events(0), engine.load]
    calls += [lambda: store.list_versions("k"), lambda: store.put("k", b"v", 1)]
    for call in calls:
        with gevent.Timeout(HANG_S):
            try:
                call()
            except Exception as error:
                pytest.fail(f"{data!r}: {error!r}")
    store.close()


def test_platform_clients_do_not_raise_on_malformed_responses():
    # Guards against a response of the store, VM list or engine that raises an exception
    # and so ends the process that reads it.
    check_clients(8)


@pytest.mark.nightly
def test_platform_clients_do_not_raise_on_malformed_responses_long():
    # Guards against responses too rare for the short run.
    check_clients(1_000)
