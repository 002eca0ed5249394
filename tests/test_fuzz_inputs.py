"""Seeded mutations of everything that others send: no exception, no hang."""

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
"""Only bounds a test that fails."""

TOKENS = [b"", b"\0", b"\xff", b"\r\n", b"\n", b"[", b"]", b"{", b'"', b"=", b":", b"%"]
TOKENS += [b"-1", b"1e999", b"NaN", b"null", b"9" * 400, b"[" * 5000, b"\xd8\x00", b"0"]


def mutated(rng, data):
    """Return `data` with a few bytes replaced, removed, repeated or inserted."""
    for _ in range(rng.randint(1, 4)):
        at = rng.randrange(len(data) + 1)
        end = min(len(data), at + rng.choice([0, 0, 1, 1, 4, 30]))
        middle = rng.choice([rng.choice(TOKENS), bytes([rng.randrange(256)])])
        if rng.random() < 0.2:
            middle = data[at:end] * 3
        data = data[:at] + middle + data[end:]
    return data


def mutations(sample, count):
    rng = Random(f"{SEED} {sample!r}")
    for _ in range(count):
        yield mutated(rng, sample)


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

READERS = [
    (settings_source("a", "entry", "z", "127.0.0.1:1", "").encode(), "settings"),
    (CONFIGURATION_PATH.read_bytes(), "text"),
    (encode(Hello("m", 1, "side", "z", "s", 0)), "message"),
    (encode(SUBMIT), "message"),
    (encode(Chunk("r", 0, 0, b"data", 1)), "message"),
    (SSE, "sse"),
    (HEAD_SAMPLE, "head"),
    (json_bytes(SPAN), "span"),
]


def read(kind, data):
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


def check_readers(count):
    for sample, kind in READERS:
        for data in mutations(sample, count):
            try:
                read(kind, data)
            except Exception as error:
                pytest.fail(f"{kind} {data!r}: {error!r}")


def test_readers_return_whatever_comes():
    # Guards against input of a stranger or a broken peer that ends a loop.
    check_readers(150)


@pytest.mark.nightly
def test_readers_return_whatever_comes_at_length():
    # Guards against rarer input than the short run meets.
    check_readers(20_000)


def check_entry(count):
    entry = EntryUnderTest()
    entry.add_sidecar(respond_with_words("x"))
    escaped = []
    entry.role._server.error_log = None
    gevent.get_hub().handle_error, kept = (
        lambda *error: escaped.append(error),
        gevent.get_hub().handle_error,
    )
    body = json.dumps({"model": "barley-7b", "messages": [{"content": "a"}]})
    whole = f"{POST}Content-Length: {len(body)}\r\nConnection: close\r\n\r\n{body}"
    parts = f"{CHUNKED}{len(body):x}\r\n{body}\r\n0\r\n\r\n"
    address = (entry.address.host, entry.address.port)
    try:
        for sample in (whole.encode(), parts.encode()):
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
        gevent.get_hub().handle_error = kept
        entry.role.stop()
    assert escaped == []


def test_entry_survives_whatever_callers_send():
    # Guards against a request that raises in the server or stops it.
    check_entry(60)


@pytest.mark.nightly
def test_entry_survives_whatever_callers_send_at_length():
    # Guards against rarer requests than the short run meets.
    check_entry(3_000)


ANSWERS = [
    json_bytes({"vms": [{"id": "a", "address": "b", "state": "live"}], "as_of_ms": 1}),
    json_bytes({"key": "k", "version": 1, "value": "YQ==", "objects": []}),
    json_bytes(
        {"events": [{"seq": 1, "kind": "stored", "prefix": 5}], "next": 2, "running": 1}
    ),
]


def check_clients(count):
    answer = [b""]

    def serve(sock, _address):
        with sock:
            sock.recv(65536)
            sock.sendall(answer[0])

    server = StreamServer(("127.0.0.1", 0), serve)
    server.start()
    address = SocketAddress("127.0.0.1", server.server_port)
    head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\nRetry-After: 1\r\n\r\n"
    try:
        for body in ANSWERS:
            for data in mutations(body, count):
                answer[0] = head % len(data) + data
                check_client(address, data)
            for data in mutations(head % len(body) + body, count):
                answer[0] = data
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


def test_clients_return_whatever_the_platform_answers():
    # Guards against an answer of the store or VM list that ends a process.
    check_clients(8)


@pytest.mark.nightly
def test_clients_return_whatever_the_platform_answers_at_length():
    # Guards against rarer answers than the short run meets.
    check_clients(1_000)
