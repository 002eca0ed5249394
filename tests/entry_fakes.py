"""Test doubles: a fake sidecar with an in-memory link, a fake store, an entry."""

import hashlib
import http.client
import json
from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from random import Random

import gevent

from wigeonwind.addresses import SocketAddress
from wigeonwind.catalog import (
    Catalog,
    Customer,
    LatencyTarget,
    RequestClass,
    Service,
    ServiceKind,
    TargetKind,
)
from wigeonwind.clock import SystemClock
from wigeonwind.decisions.choice import EndpointChooser
from wigeonwind.decisions.interfaces import EndpointInfo
from wigeonwind.decisions.limits import RequestLimiter
from wigeonwind.decisions.retry import RetryPolicy
from wigeonwind.entry.role import EntryRole
from wigeonwind.links.messages import (
    Chunk,
    Finished,
    Head,
    Hello,
    ResolveClaim,
    Started,
    Submit,
)
from wigeonwind.outcomes import Ok
from wigeonwind.runtime.tracing import PropagatingTracer, Tracer
from wigeonwind.settings import Settings, read_settings
from wigeonwind.state.store_types import Conflict, NotFound, StoredObject, StoreFailure

MODEL = "barley-7b"
KEY = "secret-key"
CHAT = {"model": MODEL, "messages": [{"role": "user", "content": "hello"}]}

SETTINGS = """
[node]
id = entry-1
role = entry
zone = tartu-a
region = ee-south
[listen]
callers = 127.0.0.1:0
links = 127.0.0.1:0
[platform]
store = 127.0.0.1:1
[limits]
max_body_bytes = 100000
read_timeout_ms = 200
max_connections = 20
[drain]
grace_ms = 0
limit_ms = 2000
"""


def make_catalog(version: int = 1, max_wait_ms: float = 4000.0) -> Catalog:
    target = LatencyTarget(TargetKind.FIRST_TOKEN, 1500.0)
    chat = RequestClass("chat", 0, target, max_wait_ms)
    desk = RequestClass("desk", 1, target, max_wait_ms)
    llm = Service("wigeon-llm", ServiceKind.MODEL, (MODEL,), "chat", ("chat",))
    spot = Service("spot-desk", ServiceKind.PLAIN, (), "desk", ("desk",))
    digest = hashlib.sha256(KEY.encode()).hexdigest()
    customers = (
        Customer("keyed", keys=(digest,)),
        Customer("named"),
        Customer("chat-only", classes=("chat",)),
    )
    return Catalog(
        version,
        {service.name: service for service in (llm, spot)},
        {row.name: row for row in (chat, desk)},
        {customer.name: customer for customer in customers},
    )


class CountingSink:
    """Counts by metric name; labels and latencies are ignored."""

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()

    def count(self, name: str, labels: Mapping[str, str], n: int = 1) -> None:
        self.counts[name] += n

    def observe_ms(self, name: str, labels: Mapping[str, str], ms: float) -> None:
        pass

    def render(self) -> bytes:
        return b"metrics 1\n"


class ScriptedFailureStore:
    """An in-memory store that returns `failures` first.

    A failure with `maybe_written` is returned after the write.
    """

    def __init__(self) -> None:
        self.objects: dict[str, StoredObject] = {}
        self.failures: list[StoreFailure] = []
        self.is_down = False

    def get(self, key: str) -> Ok[StoredObject] | NotFound | StoreFailure:
        if self.is_down:
            return StoreFailure("outage", False, 1500.0)
        found = self.objects.get(key)
        return NotFound(key) if found is None else Ok(found)

    def put(
        self, key: str, value: bytes, if_version: int
    ) -> Ok[int] | Conflict | StoreFailure:
        if self.is_down:
            return StoreFailure("outage", False, 1500.0)
        failure = self.failures.pop(0) if self.failures else None
        if failure is not None and not failure.maybe_written:
            return failure
        present = self.objects.get(key)
        version = 0 if present is None else present.version
        if version != if_version:
            return Conflict(key, version)
        self.objects[key] = StoredObject(key, version + 1, value)
        return Ok(version + 1) if failure is None else failure

    def list_versions(self, prefix: str) -> Ok[dict[str, int]] | StoreFailure:
        if self.is_down:
            return StoreFailure("outage", False)
        rows = self.objects.items()
        return Ok({key: row.version for key, row in rows if key.startswith(prefix)})

    def delete(self, key: str, if_version: int) -> Ok[None] | Conflict | StoreFailure:
        version = self.objects[key].version if key in self.objects else 0
        if version != if_version:
            return Conflict(key, version)
        del self.objects[key]
        return Ok(None)


@dataclass
class FakeSidecar:
    """A link to a fake sidecar; each message runs its handler in a new greenlet."""

    entry: EntryRole
    hello: Hello
    on_submit: Callable[["FakeSidecar", Submit], None]
    on_resolve: Callable[["FakeSidecar", ResolveClaim], None] | None = None
    on_other: Callable[["FakeSidecar", object], None] | None = None
    is_open: bool = True
    sent: list[object] = field(default_factory=list)

    def send(self, message: object) -> bool:
        if not self.is_open:
            return False
        self.sent.append(message)
        if isinstance(message, Submit):
            gevent.spawn(self.on_submit, self, message)
        elif isinstance(message, ResolveClaim) and self.on_resolve:
            gevent.spawn(self.on_resolve, self, message)
        elif self.on_other:
            gevent.spawn(self.on_other, self, message)
        return True

    def reply(self, *messages: object) -> None:
        for message in messages:
            self.entry.on_message(self, message)

    def break_link(self) -> None:
        self.is_open = False
        self.entry.on_down(self, "closed by test")

    @property
    def submits(self) -> list[Submit]:
        return [message for message in self.sent if isinstance(message, Submit)]


class EntryUnderTest:
    """A listening entry in the test process, with the sidecars that a test adds."""

    def __init__(
        self,
        catalog: Catalog | None = None,
        tracer: Tracer | None = None,
        source: str = SETTINGS,
    ) -> None:
        parsed = read_settings(source)
        assert isinstance(parsed, Ok), parsed
        settings: Settings = parsed.value
        self.catalog = catalog or make_catalog()
        self.store = ScriptedFailureStore()
        self.metrics = CountingSink()
        self.choice = EndpointChooser("tartu-a", Random(1))
        self.role = EntryRole(
            settings,
            SystemClock(),
            self.store,
            self.choice,
            RequestLimiter(self.catalog, "entry-1"),
            RetryPolicy(Random(1)),
            self.metrics,
            tracer or PropagatingTracer(),
        )
        self.role.set_catalog(self.catalog)
        self.sidecars: list[FakeSidecar] = []
        self.address: SocketAddress = self.role.start()

    def add_sidecar(
        self,
        on_submit: Callable[[FakeSidecar, Submit], None],
        service: str = "wigeon-llm",
        **handlers: Callable,
    ) -> FakeSidecar:
        name = f"side-{len(self.sidecars)}"
        hello = Hello(name, 7, "side", "tartu-a", service, 1)
        sidecar = FakeSidecar(self.role, hello, on_submit, **handlers)
        self.sidecars.append(sidecar)
        self.role.on_up(sidecar)
        self.role.set_endpoints(
            tuple(
                EndpointInfo(
                    row.hello.member_id, "tartu-a", row.hello.service, (MODEL,)
                )
                for row in self.sidecars
            )
        )
        return sidecar

    def call(
        self,
        method: str,
        path: str,
        body: object = None,
        headers: dict[str, str] | None = None,
    ) -> "HttpResponse":
        connection = http.client.HTTPConnection(
            self.address.host, self.address.port, timeout=5
        )
        data = body if isinstance(body, bytes) or body is None else json.dumps(body)
        all_headers = {"X-Customer": "named", **(headers or {})}
        connection.request(method, path, data, all_headers)
        raw = connection.getresponse()
        response = HttpResponse(raw.status, dict(raw.getheaders()), raw.read())
        connection.close()
        return response

    def chat(self, **fields: object) -> "HttpResponse":
        return self.call("POST", "/v1/chat/completions", {**CHAT, **fields})


@dataclass
class HttpResponse:
    """A complete response; `outcome` is the header X-Outcome, None if it is absent."""

    status: int
    headers: dict[str, str]
    body: bytes

    @property
    def json(self) -> dict:
        return json.loads(self.body)

    @property
    def outcome(self) -> str | None:
        return self.headers.get("X-Outcome")

    @property
    def text(self) -> str:
        """Return the text of a streamed response."""
        rows = [row[6:] for row in self.body.decode().split("\n\n") if row]
        events = [json.loads(row) for row in rows if row != "[DONE]"]
        choices = [event["choices"] for event in events if event.get("choices")]
        return "".join(row[0]["delta"].get("content", "") for row in choices)


def chunks(submit: Submit, words: list[str], start: int = 0) -> list[Chunk]:
    return [
        Chunk(submit.request_id, submit.attempt, start + index, word.encode(), 1)
        for index, word in enumerate(words)
    ]


def finished(submit: Submit, count: int) -> Finished:
    return Finished(submit.request_id, submit.attempt, count, "stop", 5, count, 0)


def respond_with_words(*words: str) -> Callable[[FakeSidecar, Submit], None]:
    def on_submit(sidecar: FakeSidecar, submit: Submit) -> None:
        sidecar.reply(Started(submit.request_id, submit.attempt))
        sidecar.reply(*chunks(submit, list(words)), finished(submit, len(words)))

    return on_submit


def respond_plain(
    status: int, body: bytes, headers: list[list[str]] | None = None
) -> Callable[[FakeSidecar, Submit], None]:
    def on_submit(sidecar: FakeSidecar, submit: Submit) -> None:
        sidecar.reply(
            Head(submit.request_id, submit.attempt, status, headers or []),
            Chunk(submit.request_id, submit.attempt, 0, body, 0),
            finished(submit, 1),
        )

    return on_submit
