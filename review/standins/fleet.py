"""Stand-ins for the platform, its workers and its clients, on loopback addresses.

Everything of a deployment but the routers runs on one asyncio loop. The routers are
processes of the project, started with the command of the deploy file.
"""

import asyncio
import json
import os
import random
import shlex
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from urllib.parse import parse_qs, unquote

ROOT = Path(__file__).resolve().parents[2]

HOST = "desk.example"
API_KEY = "review-key-1"
TENANT = "mill"

MS = 1_000.0

MEMORY_MB = 300
"""Memory limit of a router; the platform kills a process that exceeds it."""


class Record:
    """Writes what was sent, answered and run to `record.txt`, with times in seconds."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8", buffering=1)
        self._began = time.monotonic()

    def write(self, text: str) -> None:
        """Add a line."""
        self._file.write(f"{time.monotonic() - self._began:8.3f} {text}\n")


def address_of(server: asyncio.Server) -> str:
    """Return the address that a server listens on, as `host:port`."""
    host, port = server.sockets[0].getsockname()[:2]
    return f"{host}:{port}"


@dataclass
class Message:
    """An HTTP message; `start` is its first line."""

    start: str
    headers: dict[str, str]
    body: bytes = b""

    @property
    def request_id(self) -> str:
        """Return the request id, empty without one."""
        return self.headers.get("request-id", "")


async def read_head(reader: asyncio.StreamReader) -> Message:
    """Read the head of a message; raises EOFError at the end of the connection."""
    head = await reader.readuntil(b"\r\n\r\n")
    start, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in filter(None, lines):
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return Message(start, headers)


async def read_request(reader: asyncio.StreamReader) -> Message:
    """Read a request with its body; the routers state the length of a body."""
    message = await read_head(reader)
    size = int(message.headers.get("content-length", "0"))
    message.body = await reader.readexactly(size)
    return message


def encode_response(
    status: int, body: bytes, headers: dict[str, str] | None = None
) -> bytes:
    """Return a response that states the length of its body."""
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + body


@dataclass
class Stored:
    """An object of the store."""

    revision: int
    spec: object
    created: int


@dataclass
class Change:
    """A change of an object; the spec of a removed one is its last."""

    revision: int
    kind: str
    name: str
    spec: object
    removed: bool


class Store:
    """The platform's store: listings, watches and conditional writes."""

    def __init__(self, record: Record) -> None:
        self._record = record
        self._revision = 1
        self._objects: dict[str, dict[str, Stored]] = {}
        self._changes: list[Change] = []
        self._changed = asyncio.Event()
        self.address = ""

    async def start(self) -> None:
        """Listen on a free port."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = address_of(server)

    def put(self, kind: str, name: str, spec: object) -> int:
        """Write an object and return its revision."""
        self._revision += 1
        self._objects.setdefault(kind, {})[name] = Stored(self._revision, spec, 1)
        self._add(Change(self._revision, kind, name, spec, False))
        if kind != "routers":
            self._record.write(f"store: {kind}/{name} written at {self._revision}")
        return self._revision

    def remove(self, kind: str, name: str) -> None:
        """Remove an object."""
        stored = self._objects.get(kind, {}).pop(name, None)
        if stored is not None:
            self._revision += 1
            self._add(Change(self._revision, kind, name, stored.spec, True))
            self._record.write(f"store: {kind}/{name} removed")

    def _add(self, change: Change) -> None:
        self._changes.append(change)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                request = await read_request(reader)
                status, document = await self._answer(request)
                headers = {"Content-Type": "application/json"}
                body = json.dumps(document).encode()
                writer.write(encode_response(status, body, headers))
                await writer.drain()
        except (EOFError, OSError):
            pass
        finally:
            writer.close()

    async def _answer(self, request: Message) -> tuple[int, object]:
        method, target, _ = request.start.split(" ")
        path, _, query_text = target.partition("?")
        query = {key: rows[0] for key, rows in parse_qs(query_text).items()}
        kind, _, name = (
            unquote(path).removeprefix("/api/objects/").strip("/").partition("/")
        )
        if method == "GET" and "watch" in query:
            wait_ms = float(query.get("wait_ms", "0"))
            return 200, await self._watch(kind, int(query["watch"]), wait_ms)
        if method == "GET":
            return self._read(kind, name)
        return self._write(method, kind, name, query, request.body)

    async def _watch(self, kind: str, after: int, wait_ms: float) -> object:
        deadline = time.monotonic() + wait_ms / MS
        while True:
            events = [
                {
                    "object": self._object(
                        each.name, Stored(each.revision, each.spec, 1)
                    ),
                    "removed": each.removed,
                }
                for each in self._changes
                if each.kind == kind and each.revision > after
            ]
            left_s = deadline - time.monotonic()
            if events or left_s <= 0.0:
                return {"events": events, "store_revision": self._revision}
            try:
                await asyncio.wait_for(self._changed.wait(), left_s)
            except TimeoutError:
                pass

    def _read(self, kind: str, name: str) -> tuple[int, object]:
        objects = self._objects.get(kind, {})
        if name:
            found = objects.get(name)
            return (404, {}) if found is None else (200, self._object(name, found))
        entries = [self._object(*each) for each in sorted(objects.items())]
        page = {"entries": entries, "has_more": False}
        return 200, {**page, "store_revision": self._revision}

    def _write(
        self, method: str, kind: str, name: str, query: dict[str, str], body: bytes
    ) -> tuple[int, object]:
        document = json.loads(body) if body else {}
        metadata = document.get("metadata", {})
        name = name or metadata.get("name", "")
        found = self._objects.get(kind, {}).get(name)
        expected = int(query.get("revision") or metadata.get("revision") or 0)
        if method == "POST" and found is not None:
            return 409, self._object(name, found)
        if method != "POST" and found is None:
            return 404, {}
        if found is not None and expected and expected != found.revision:
            return 409, self._object(name, found)
        if method == "DELETE":
            self.remove(kind, name)
            return 200, {}
        self.put(kind, name, document.get("spec"))
        return 200, self._object(name, self._objects[kind][name])

    @staticmethod
    def _object(name: str, stored: Stored) -> dict[str, object]:
        metadata = {
            "name": name,
            "revision": stored.revision,
            "created": stored.created,
            "finalizers": [],
            "deleting": False,
        }
        return {"metadata": metadata, "spec": stored.spec, "status": None}


Answer = Callable[
    ["Worker", Message, asyncio.StreamReader, asyncio.StreamWriter], Awaitable[bool]
]
"""Answers a request whose head was read; returns whether the connection goes on."""


async def answer_whole(
    worker: "Worker",
    request: Message,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> bool:
    """Read the body and answer with a body that names the request."""
    size = int(request.headers.get("content-length", "0"))
    await reader.readexactly(size)
    await asyncio.sleep(worker.work_ms / MS)
    body = f'{{"answer_of": "{request.request_id}"}}'.encode()
    writer.write(encode_response(200, body, worker.answer_headers(request)))
    await writer.drain()
    return True


class Worker:
    """A worker that registers itself; `answer_by_path` replaces its usual answer."""

    def __init__(self, store: Store, record: Record, name: str, service: str) -> None:
        self.name = name
        self.service = service
        self.work_ms = 20.0
        self.answer_by_path: dict[str, Answer] = {}
        self.answer: Answer = answer_whole
        self.runs: list[tuple[float, Message]] = []
        self.address = ""
        self.is_down = False
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._store = store
        self._record = record
        self._born = int(time.time() * MS)

    async def start(self, receive_bytes: int = 0) -> None:
        """Listen on a free port and register."""
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if receive_bytes:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
        sock.bind(("127.0.0.1", 0))
        self._server = await asyncio.start_server(self._serve, sock=sock)
        self.address = address_of(self._server)
        self.register()

    def crash(self) -> None:
        """End at once, as a killed process does; the entry stays in the store."""
        assert self._server is not None
        self.is_down = True
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()
        self._record.write(f"{self.name}: crashes")

    async def restart(self, name: str) -> None:
        """Start again at the same address, as another incarnation."""
        host, _, port = self.address.rpartition(":")
        self._store.remove("servers", self.name)
        self.name, self.is_down = name, False
        self._born = int(time.time() * MS)
        self._server = await asyncio.start_server(self._serve, host, int(port))
        self.register()

    def register(self) -> None:
        """Write the entry of the worker to the store."""
        entry = {
            "backend": self.service,
            "address": self.address,
            "zone": "zone-a",
            "version": "v1",
            "capacity": 96,
            "state": "ready",
            "warmup_left_ms": 0,
            "seq": 1,
            "born": self._born,
        }
        self._store.put("servers", self.name, entry)

    def answer_headers(self, request: Message) -> dict[str, str]:
        """Return the headers of each answer."""
        return {
            "Request-Id": request.request_id,
            "Worker-Signature": f"{self.name}.{request.request_id}",
            "Content-Type": "application/json",
        }

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            goes_on = True
            while goes_on:
                request = await read_head(reader)
                goes_on = await self._respond(request, reader, writer)
        except (EOFError, OSError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _respond(
        self,
        request: Message,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        path = request.start.split(" ")[1]
        if request.headers.get("expect-instance", self.name) != self.name:
            headers = {"Request-Id": request.request_id, "Not-Executed": "1"}
            writer.write(encode_response(421, b"", headers))
            return False
        self.runs.append((time.monotonic(), request))
        self._record.write(f"{self.name}: runs {request.request_id} {path}")
        answer = self.answer_by_path.get(path, self.answer)
        return await answer(self, request, reader, writer)


@dataclass
class Reply:
    """What a client has received.

    `is_whole` says that the answer was complete by the rules of HTTP; `after_ms` is
    when it ended, None if no answer had ended when the client gave up.
    """

    request_id: str
    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    is_whole: bool = False
    after_ms: float | None = None


class Connection:
    """A client's connection, which is kept for many requests."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.reader = reader
        self.writer = writer
        self.requests = 0

    @classmethod
    async def open(cls, address: str) -> "Connection":
        """Connect to a router."""
        host, _, port = address.rpartition(":")
        return cls(*await asyncio.open_connection(host, int(port)))

    async def call(
        self, request_id: str, path: str, body: bytes, deadline_ms: float
    ) -> Message:
        """Send a POST and return the answer; EOFError or OSError without one."""
        self.requests += 1
        lines = [
            f"POST {path} HTTP/1.1",
            f"Host: {HOST}",
            f"Request-Id: {request_id}",
            f"X-Api-Key: {API_KEY}",
            f"Deadline-Ms: {deadline_ms:.0f}",
            f"Content-Length: {len(body)}",
        ]
        self.writer.write("\r\n".join([*lines, "", ""]).encode() + body)
        answer = await read_head(self.reader)
        size = int(answer.headers["content-length"])
        answer.body = await self.reader.readexactly(size)
        return answer


class Client:
    """Sends each request on a connection of its own."""

    def __init__(self, record: Record) -> None:
        self._record = record
        self._numbers = iter(range(1, 1_000_000))
        self._seed = f"{random.getrandbits(32):08x}"

    async def call(
        self,
        address: str,
        method: str,
        path: str,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
        deadline_ms: float = 600.0,
        patience_ms: float | None = None,
        key: str = API_KEY,
    ) -> Reply:
        """Send a request and wait `patience_ms` for its answer, or the deadline."""
        reply = Reply(f"{self._seed}{next(self._numbers):08x}")
        began = time.monotonic()
        try:
            exchange = self._exchange(
                reply, address, method, path, body, headers or {}, deadline_ms, key
            )
            async with asyncio.timeout((patience_ms or deadline_ms) / MS):
                await exchange
            reply.after_ms = (time.monotonic() - began) * MS
        except TimeoutError:
            pass
        except (EOFError, OSError):
            reply.after_ms = (time.monotonic() - began) * MS
        after = "never" if reply.after_ms is None else f"after {reply.after_ms:.0f} ms"
        self._record.write(
            f"client: {method} {path} {reply.request_id}: status {reply.status}, "
            f"{len(reply.body)} bytes, whole {reply.is_whole}, {after}"
        )
        if reply.status >= 400:
            self._record.write(f"  with the body {reply.body[:200]!r}")
        return reply

    async def _exchange(
        self,
        reply: Reply,
        address: str,
        method: str,
        path: str,
        body: bytes,
        headers: dict[str, str],
        deadline_ms: float,
        key: str,
    ) -> None:
        host, _, port = address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}"]
            lines += [f"Request-Id: {reply.request_id}", f"X-Api-Key: {key}"]
            lines += [f"Deadline-Ms: {deadline_ms:.0f}"]
            lines += [f"{name}: {value}" for name, value in headers.items()]
            if method == "POST":
                lines.append(f"Content-Length: {len(body)}")
            writer.write("\r\n".join([*lines, "", ""]).encode() + body)
            await self._read(reply, reader)
        finally:
            writer.close()

    async def _read(self, reply: Reply, reader: asyncio.StreamReader) -> None:
        head = await read_head(reader)
        reply.status, reply.headers = int(head.start.split(" ")[1]), head.headers
        if "content-length" in head.headers:
            reply.body = await reader.readexactly(int(head.headers["content-length"]))
        elif head.headers.get("transfer-encoding") == "chunked":
            while size := int((await reader.readline()).strip() or b"0", 16):
                reply.body += (await reader.readexactly(size + 2))[:-2]
            await reader.readexactly(2)
        else:
            reply.body = await reader.read()
        reply.is_whole = True


class Router:
    """A process of the project on a loopback address of its own."""

    def __init__(self, name: str, store_address: str, folder: Path) -> None:
        self.name = name
        parts = [random.randint(1, 250) for _ in range(3)]
        self.ip = ".".join(map(str, [127, *parts]))
        ports = _free_ports(self.ip, 3)
        self.address, self.ready_address, self.control = (
            f"{self.ip}:{port}" for port in ports
        )
        self._peer_port = _free_ports(self.ip, 1)[0]
        self._store_address = store_address
        self._folder = folder
        self.process: asyncio.subprocess.Process | None = None

    def _settings(self) -> str:
        return "\n".join(
            [
                f'node = "{self.name}"',
                'role = "router"',
                'machine_class = "edge"',
                'serves = ["edge"]',
                f'ip = "{self.ip}"',
                'zone = "zone-a"',
                'region = "region-a"',
                f"port_range = [{self._peer_port},{self._peer_port + 15}]",
                "seeds = []",
                "bootstrap = true",
                'discovery = "platform"',
                'entry = "vip"',
                "heartbeat_ms = 1200",
                "[listen]",
                f'ingress = "{self.address}"',
                f'ready = "{self.ready_address}"',
                "[limits]",
                f"memory_mb = {MEMORY_MB}",
                "max_fds = 4100",
                "[bounds]",
                "contact_ms = 3000",
                "drain_ms = 2000",
                "grace_s = 8",
                "loss_slack_ms = 200",
                "config_apply_ms = 2000",
                "recover_s = 12",
                "[platform]",
                f'address = "{self._store_address}"',
                'form = "objects"',
            ]
        )

    async def start(self) -> None:
        """Start the process with the command of the deploy file."""
        path = self._folder / f"{self.name}.toml"
        path.write_text(self._settings() + "\n", encoding="utf-8")
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        command = shlex.split(deploy["roles"]["router"]["run"])
        names = ("PATH", "HOME", "LANG")
        environment = {key: os.environ[key] for key in names if key in os.environ}
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        environment["WIGEONWIND_NODE_FILE"] = str(path)
        log = (self._folder / f"{self.name}.log").open("wb")
        self.process = await asyncio.create_subprocess_exec(
            *command, cwd=ROOT, env=environment, stdout=log, stderr=log
        )

    async def is_ready(self) -> bool:
        """Return whether the readiness check answers 200."""
        host, _, port = self.ready_address.rpartition(":")
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(b"GET /api/readyz HTTP/1.1\r\nHost: x\r\n\r\n")
                head = await read_head(reader)
                writer.close()
        except (TimeoutError, EOFError, OSError):
            return False
        return head.start.split(" ")[1] == "200"

    def memory_mb(self) -> float:
        """Return the memory in use, as the platform counts it; 0 after the end."""
        try:
            assert self.process is not None
            status = Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0.0
        lines = [each for each in status.splitlines() if each.startswith("VmRSS")]
        return float(lines[0].split()[1]) / 1_024 if lines else 0.0

    def kill(self) -> None:
        """End the process."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGKILL)


def _free_ports(ip: str, count: int) -> list[int]:
    sockets = [socket.socket() for _ in range(count)]
    for each in sockets:
        each.bind((ip, 0))
    ports = [each.getsockname()[1] for each in sockets]
    for each in sockets:
        each.close()
    return ports


def route(name: str, prefix: str, kind: str, service: str, **fields: object) -> dict:
    """Return a route of the configuration."""
    return {
        "name": name,
        "hostname": HOST,
        "path_prefix": prefix,
        "route_type": kind,
        "backend": service,
        "timeout_ms": 600,
        "slo_ms": 100,
        "priority": 2,
        "attempts": 1,
        **fields,
    }


def configuration(version: int, routes: list[dict], keys: list[str]) -> dict:
    """Return a configuration with one tenant."""
    services = sorted({str(each["backend"]) for each in routes})
    return {
        "version": version,
        "routes": routes,
        "backends": [{"name": each, "max_conns": 500} for each in services],
        "limits": {
            "max_header_bytes": 16_384,
            "max_body_bytes": 4_194_304,
            "header_timeout_ms": 3_000,
            "idle_timeout_ms": 15_000,
        },
        "tenants": [{"name": TENANT, "api_keys": keys}],
    }


class CannotRunError(Exception):
    """The case could not be run; says why."""


@dataclass
class Fleet:
    """The parts of one case."""

    record: Record
    store: Store
    client: Client
    folder: Path
    routers: list[Router] = field(default_factory=list)

    async def add_router(self, name: str, store_address: str = "") -> Router:
        """Start a router and wait until it is ready."""
        router = Router(name, store_address or self.store.address, self.folder)
        self.routers.append(router)
        await router.start()
        for _ in range(150):
            if await router.is_ready():
                self.record.write(f"{name}: ready")
                return router
            await asyncio.sleep(0.1)
        raise CannotRunError(f"{name} is not ready after 15 s")


Case = Callable[[Fleet], Awaitable[bool]]


def run_case(
    case: Case, folder: Path, is_disrupted: bool, limit_s: float = 100.0
) -> None:
    """Run a case and exit: 1 if the rule was broken, 0 if it held, 2 if it can't run.

    `case` returns whether the rule held; `is_disrupted` goes into the record.
    """
    record = Record(folder / "record.txt")
    record.write(f"begin; disruption: {is_disrupted}")
    sys.exit(asyncio.run(_run(case, record, limit_s)))


async def _run(case: Case, record: Record, limit_s: float) -> int:
    with tempfile.TemporaryDirectory() as folder:
        store = Store(record)
        fleet = Fleet(record, store, Client(record), Path(folder))
        try:
            await store.start()
            async with asyncio.timeout(limit_s):
                holds = await case(fleet)
        except Exception as error:
            record.write(f"cannot run: {error!r}")
            print(f"cannot run: {error!r}")
            return 2
        finally:
            for router in fleet.routers:
                router.kill()
                if router.process is not None:
                    await router.process.wait()
    result = "the rule held" if holds else "the rule was broken"
    record.write(result)
    print(result)
    return 0 if holds else 1
