"""Harness: a routing process with test doubles of the platform's store and workers."""

import errno
import socket
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from random import Random
from typing import Any

import gevent

from wigeonwind.addresses import SocketAddress
from wigeonwind.clock import SystemClock
from wigeonwind.platform.__main__ import SCHEMA, STORE_LIMITS
from wigeonwind.platform.headers import PlatformHeaderCodec
from wigeonwind.platform.store_format import PlatformStoreFormat
from wigeonwind.routing.router import Router, RouterSettings
from wigeonwind.standins.platform_store import PlatformStore
from wigeonwind.standins.platform_worker import PlatformWorker
from wigeonwind.state.store_client import StoreClient

ANY = SocketAddress("127.0.0.1", 0)
WAIT_S = 5.0

PORT_ATTEMPTS = 5
"""Most ports that are tried for the traffic between routers. A port that is free for
TCP may be in use for UDP by another process of the machine."""


def route(name, prefix, kind, **fields):
    """Return a route of the configuration object."""
    return {
        "name": name,
        "hostname": "a.example",
        "path_prefix": prefix,
        "route_type": kind,
        "timeout_ms": 3000,
        "slo_ms": 250,
        "priority": 1,
        "backend": "desk",
        "attempts": 2,
        **fields,
    }


def configuration(version=1, **fields):
    """Return a configuration object with one route of each kind."""
    return {
        "version": version,
        "routes": [
            route("safe", "/safe/", "safe"),
            route("once", "/once/", "unsafe"),
            route("stream", "/stream/", "streaming", gap_aim_ms=200),
            route("resume", "/resume/", "streaming", resumable=True),
            route("open", "/open/", "safe", public=True),
        ],
        "backends": [{"name": "desk", "max_conns": 100}],
        "limits": {
            "max_header_bytes": 4096,
            "max_body_bytes": 100_000,
            "header_timeout_ms": 400,
            "idle_timeout_ms": 2000,
        },
        "tenants": [{"name": "mill", "api_keys": ["key-1"], "priority": 0}],
        **fields,
    }


def entry(worker, **fields):
    """Return the store entry of a worker."""
    return {
        "backend": "desk",
        "address": str(worker.address),
        "zone": "tartu-a",
        "version": "v1",
        "capacity": 8,
        "state": "ready",
        "warmup_left_ms": 0,
        "seq": 1,
        "born": 1000,
        **fields,
    }


@dataclass
class Reply:
    """A response as the caller received it; `is_whole` is False if it was cut off."""

    status: int
    headers: dict[str, str]
    body: bytes
    is_whole: bool


class RoutingFleet:
    """A store, workers and routers on the loopback interface.

    `router` is the first of `routers`. Several of them exchange datagrams.
    """

    def __init__(
        self, workers=2, default_response=None, config=None, routers=1
    ) -> None:
        self.store = PlatformStore()
        self.workers = [
            PlatformWorker(f"w{n}", default_response) for n in range(workers)
        ]
        self.store.put("config", "main", config or configuration())
        for worker in self.workers:
            self.store.put("servers", worker.name, entry(worker))
        self._restart_count = 0
        self.routers = []
        for _ in range(routers):
            self.add_router()
        self.router = self.routers[0]
        self.wait_until_ready(workers)

    def add_router(self) -> Router:
        """Start one more router and return it; it is not ready yet."""
        number = len(self.routers) + 1
        for attempt in range(PORT_ATTEMPTS):
            router = build_router(self.store.address, number)
            try:
                router.start()
                break
            except OSError as error:
                router.stop()
                is_last = attempt == PORT_ATTEMPTS - 1
                if is_last or error.errno != errno.EADDRINUSE:
                    raise
        self.routers.append(router)
        return router

    def wait_until_ready(self, workers) -> None:
        """Wait until each router knows `workers` workers and all other routers."""
        peers = len(self.routers) - 1
        for router in self.routers:
            self.wait_for(lambda router=router: router.is_ready)
            self.wait_for(lambda router=router: len(router.endpoints) == workers)
            self.wait_for(
                lambda router=router: len(router.peers.live_addresses()) == peers
            )

    def restart_worker(self, worker) -> None:
        """Start an ended worker again as another instance, at another port."""
        self.store.remove("servers", worker.name)
        self._restart_count += 1
        worker.restart(f"{worker.name.partition('.')[0]}.{self._restart_count}")
        born = 1000 + self._restart_count
        self.store.put("servers", worker.name, entry(worker, born=born))

    def restart_after_crashes(self, delay_s) -> None:
        """Let each worker that crashes start again after `delay_s`."""
        for worker in self.workers:
            worker.on_crash = lambda worker=worker: gevent.spawn_later(
                delay_s, self.restart_worker, worker
            )

    def wait_for(self, condition: Any) -> None:
        """Wait until `condition` returns true; raise gevent.Timeout after WAIT_S."""
        with gevent.Timeout(WAIT_S):
            while not condition():
                gevent.sleep(0.005)

    def stop(self) -> None:
        """Stop the routers, the store and the workers."""
        for router in self.routers:
            router.stop()
        self.store.stop()
        for worker in self.workers:
            worker.stop()

    def connect(self, router=None) -> socket.socket:
        """Open a caller's connection, to the first router by default."""
        address = (router or self.router).callers_address
        return socket.create_connection((address.host, address.port), WAIT_S)

    def call(
        self,
        path,
        method="GET",
        body=b"",
        headers=(),
        request_id="r1",
        router=None,
    ) -> Reply:
        """Send one request on a new connection and return the response."""
        with self.connect(router) as sock:
            sock.sendall(request_bytes(path, method, body, headers, request_id))
            return read_reply(sock)

    def call_with_prompt(
        self, parts, request_id, router=None, path="/stream/x"
    ) -> Reply:
        """Send a prompt of (id, tokens) parts and return the response."""
        prefix = ",".join(f"{part_id:x}:{tokens}" for part_id, tokens in parts)
        prompt_tokens = sum(tokens for _, tokens in parts)
        headers = (f"Prefix-Hash: {prefix}", f"Token-Usage: {prompt_tokens},40")
        return self.call(path, "POST", b"prompt", headers, request_id, router)

    def received(self) -> int:
        """Return the number of requests that workers have received."""
        return sum(len(worker.requests) for worker in self.workers)


@contextmanager
def running_fleet(*args: Any, **kwargs: Any) -> Iterator[RoutingFleet]:
    """Yield a fleet, and stop it at the end."""
    fleet = RoutingFleet(*args, **kwargs)
    try:
        yield fleet
    finally:
        fleet.stop()


def build_router(store_address, number=1) -> Router:
    """Return a router that uses the platform's formats."""
    clock, rng = SystemClock(), Random(number)
    store = StoreClient(
        store_address, STORE_LIMITS, clock, rng, format=PlatformStoreFormat()
    )
    settings = RouterSettings(f"edge-{number}", "tartu-a", ANY, ANY, ANY, ANY, 4_000.0)
    return Router(settings, clock, rng, PlatformHeaderCodec(), SCHEMA, store)


def request_bytes(path, method="GET", body=b"", headers=(), request_id="r1"):
    """Return the bytes of a request as the platform's clients send it."""
    lines = [f"{method} {path} HTTP/1.1", "Host: a.example", "X-Api-Key: key-1"]
    if request_id:
        lines.append(f"Request-Id: {request_id}")
    if not any(line.lower().startswith("deadline-ms") for line in headers):
        lines.append("Deadline-Ms: 2000")
    if body:
        lines.append(f"Content-Length: {len(body)}")
    lines = [line for line in lines if _name(line) not in map(_name, headers)]
    return "\r\n".join([*lines, *headers, "", ""]).encode() + body


def _name(line):
    return line.partition(":")[0].lower()


def read_reply(sock) -> Reply:
    """Read one response, up to its end or the end of the connection."""
    data = b""
    try:
        while b"\r\n\r\n" not in data:
            received = sock.recv(65536)
            if not received:
                return Reply(0, {}, data, False)
            data += received
        head, _, body = data.partition(b"\r\n\r\n")
        lines = head.decode().split("\r\n")
        headers = {_name(line): line.partition(": ")[2] for line in lines[1:]}
        status = int(lines[0].split(" ")[1])
        if "content-length" in headers:
            while len(body) < int(headers["content-length"]):
                received = sock.recv(65536)
                if not received:
                    return Reply(status, headers, body, False)
                body += received
            return Reply(status, headers, body, True)
        while not body.endswith(b"0\r\n\r\n"):
            received = sock.recv(65536)
            if not received:
                return Reply(status, headers, _decode_chunked(body), False)
            body += received
        return Reply(status, headers, _decode_chunked(body), True)
    except ConnectionResetError:
        return Reply(0, {}, data, False)


def _decode_chunked(body: bytes) -> bytes:
    chunks = []
    while body:
        size, _, rest = body.partition(b"\r\n")
        length = int(size or b"0", 16)
        chunks.append(rest[:length])
        body = rest[length + 2 :]
    return b"".join(chunks)
