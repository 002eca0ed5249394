"""The store client against a fake HTTP server: faults, limits, coalescing."""

import json
import socket
from base64 import b64encode
from collections.abc import Iterator
from random import Random
from typing import Any
from urllib.parse import parse_qs

import gevent
import pytest
from gevent.event import Event
from gevent.pywsgi import WSGIServer

from wigeonwind.addresses import SocketAddress
from wigeonwind.outcomes import Ok
from wigeonwind.state.memory_store import MemoryStore
from wigeonwind.state.store_client import StoreClient, StoreLimits
from wigeonwind.state.store_http import BreakerLimits, PoolLimits, _http_client
from wigeonwind.state.store_types import Conflict, NotFound, StoredObject, StoreFailure

LIMITS = StoreLimits(
    PoolLimits(4, 1000, 9000), PoolLimits(4, 1000, 9000), PoolLimits(2, 1000, 9000, 400)
)
SHORT_TIMEOUT = PoolLimits(2, 1000, 30)
SHORT_TIMEOUTS = StoreLimits(SHORT_TIMEOUT, SHORT_TIMEOUT, LIMITS.watches)


class NoBackoff(Random):
    """A random source with which every backoff is 0 ms."""

    def uniform(self, a: float, b: float) -> float:
        return 0.0


class ScriptedStoreServer:
    """A MemoryStore behind HTTP; `scripted_statuses` are returned before it is used.

    Requests wait while `gate` is cleared. With `cut_after_write`, the connection is
    closed after a write instead of a response.
    """

    def __init__(self) -> None:
        self.store = MemoryStore()
        self.scripted_statuses: list[int] = []
        self.requests: list[str] = []
        self.gate = Event()
        self.gate.set()
        self.cut_after_write = False
        self.server = WSGIServer(("127.0.0.1", 0), self._app, log=None)
        self.server.start()
        self.address = SocketAddress("127.0.0.1", self.server.server_port)

    def _app(self, environ: dict, start: Any) -> list[bytes]:
        method, path = environ["REQUEST_METHOD"], environ["PATH_INFO"]
        self.requests.append(f"{method} {path}")
        self.gate.wait()
        if self.scripted_statuses:
            status, body = self.scripted_statuses.pop(0), {}
        else:
            status, body = self._handle(environ, method, path)
        if self.cut_after_write and method == "PUT":
            environ["wsgi.input"].rfile._sock.close()
            raise ConnectionResetError
        start(f"{status} X", [("Content-Type", "application/json")])
        return [json.dumps(body).encode()]

    def _handle(self, environ: dict, method: str, path: str) -> tuple[int, dict]:
        if path == "/v1/watch":
            query = parse_qs(environ["QUERY_STRING"])
            batch = self.store.watch(query["prefix"][0], int(query["after"][0]), 0)
            assert isinstance(batch, Ok)
            events = [vars(event) for event in batch.value.events]
            return 200, {"revision": batch.value.revision, "events": events}
        key = path.removeprefix("/v1/objects/")
        if method == "GET":
            found = self.store.get(key)
            if not isinstance(found, Ok):
                return 404, {}
            value = b64encode(found.value.value).decode()
            return 200, {"key": key, "version": found.value.version, "value": value}
        body = environ["wsgi.input"].read()
        if_version = int(environ["HTTP_IF_MATCH"])
        result: Any
        if method == "DELETE":
            result = self.store.delete(key, if_version)
        else:
            result = self.store.put(key, body, if_version)
        if isinstance(result, Conflict):
            return 412, {"version": result.version}
        return 200, {"version": result.value}


@pytest.fixture
def fake() -> Iterator[ScriptedStoreServer]:
    server = ScriptedStoreServer()
    yield server
    server.gate.set()
    server.server.stop(timeout=0.1)


def client_of(
    fake: ScriptedStoreServer, breaker: BreakerLimits | None = None
) -> StoreClient:
    limits = StoreLimits(LIMITS.reads, LIMITS.writes, LIMITS.watches, breaker)
    return StoreClient(fake.address, limits, random=Random(1))


def test_objects_are_written_read_and_watched_by_version(fake: ScriptedStoreServer):
    client = client_of(fake)
    assert client.get("text/head") == NotFound("text/head")
    assert client.put("text/head", b"\x00one", 0) == Ok(1)
    assert client.put("text/head", b"two", 0) == Conflict("text/head", 1)
    found = client.get("text/head")
    assert found == Ok(StoredObject("text/head", 1, b"\x00one"))
    batch = client.watch("text/", 0, 100)
    assert isinstance(batch, Ok)
    assert [event.key for event in batch.value.events] == ["text/head"]
    assert client.delete("text/head", 1) == Ok(None)
    assert client.count_by_kind() == {"reads": 2, "writes": 3, "watches": 1}


def test_a_throttled_write_is_retried(fake: ScriptedStoreServer):
    fake.scripted_statuses = [429]
    assert client_of(fake).put("k", b"v", 0) == Ok(1)
    assert len(fake.requests) == 2


def test_a_write_of_unknown_outcome_is_not_retried(fake: ScriptedStoreServer):
    # A repeated conditional write would conflict with the first one.
    fake.scripted_statuses = [503]
    result = client_of(fake).put("k", b"v", 0)
    assert isinstance(result, StoreFailure)
    assert result.maybe_written
    assert len(fake.requests) == 1


def test_a_connection_lost_after_the_write_is_reported_once(fake: ScriptedStoreServer):
    fake.cut_after_write = True
    result = client_of(fake).put("k", b"v", 0)
    assert isinstance(result, StoreFailure)
    assert result.maybe_written
    assert fake.requests == ["PUT /v1/objects/k"]
    assert fake.store.version_of("k") == 1


def test_a_timeout_frees_the_connection(fake: ScriptedStoreServer):
    client = StoreClient(fake.address, SHORT_TIMEOUTS, random=NoBackoff())
    fake.gate.clear()
    results = [client.get("k") for _ in range(3)]
    assert all(isinstance(result, StoreFailure) for result in results)
    # More reads than connections were sent, so each one released its connection.
    assert client.count_by_kind()["reads"] == 3


def test_a_refused_connection_certainly_wrote_nothing():
    client = StoreClient(
        SocketAddress("127.0.0.1", 1), SHORT_TIMEOUTS, random=Random(1)
    )
    result = client.put("k", b"v", 0)
    assert isinstance(result, StoreFailure)
    assert not result.maybe_written


def test_open_watches_do_not_block_reads_and_writes(fake: ScriptedStoreServer):
    client = client_of(fake)
    fake.gate.clear()
    watches = [gevent.spawn(client.watch, "text/", 0, 400) for _ in range(6)]
    gevent.sleep(0.01)
    assert client.count_by_kind()["watches"] == 2
    fake.gate.set()
    assert client.put("k", b"v", 0) == Ok(1)
    gevent.joinall(watches)


def test_queued_reads_are_coalesced_but_never_with_one_in_flight(
    fake: ScriptedStoreServer,
):
    client = client_of(fake)
    fake.gate.clear()
    first = gevent.spawn(client.get, "k")
    gevent.sleep(0.01)
    later = [gevent.spawn(client.get, "k") for _ in range(5)]
    gevent.sleep(0.01)
    fake.gate.set()
    gevent.joinall([first, *later])
    assert len(fake.requests) == 2
    assert client.coalesced_reads == 4
    assert all(read.value == NotFound("k") for read in later)


def test_an_open_breaker_refuses_at_once(fake: ScriptedStoreServer):
    client = client_of(fake, BreakerLimits(failures=2, open_ms=10_000))
    fake.scripted_statuses = [500, 500]
    for _ in range(2):
        client.put("k", b"v", 0)
    result = client.put("k", b"v", 0)
    assert isinstance(result, StoreFailure)
    assert result.reason == "circuit breaker is open"
    assert len(fake.requests) == 2


def test_calls_do_not_wait_for_delayed_acknowledgements():
    # Nagle's algorithm added 40 to 90 ms to each claim of a booking.
    client = _http_client(SocketAddress("127.0.0.1", 9), StoreLimits().writes)
    sock = socket.socket()
    client._connection_pool.after_connect(sock)
    assert sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
    sock.close()
