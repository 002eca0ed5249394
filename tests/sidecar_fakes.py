"""Test doubles around a sidecar: links, store, queue and a scripted HTTP endpoint."""

import json

import gevent
from gevent.event import Event
from gevent.server import StreamServer

from wigeonwind.catalog import (
    Catalog,
    LatencyTarget,
    RequestClass,
    Service,
    ServiceKind,
    TargetKind,
)
from wigeonwind.clock import ManualClock
from wigeonwind.decisions.interfaces import (
    Admitted,
    PauseAttempt,
    QueueReport,
    ResumeAttempt,
    StartAttempt,
)
from wigeonwind.links.messages import Hello, Submit
from wigeonwind.outcomes import Ok
from wigeonwind.runtime.metrics import Metrics
from wigeonwind.settings import read_settings
from wigeonwind.side.role import SidecarRole
from wigeonwind.state.store_types import NotFound, StoredObject, StoreFailure

TIMEOUT_S = 5.0
"""Time limit of `wait_until`; only reached by a failing test."""


def wait_until(condition):
    with gevent.Timeout(TIMEOUT_S):
        while not condition():
            gevent.sleep(0.001)


class FakeLink:
    """Records the messages that are sent."""

    def __init__(self, name="entry-1", role="entry"):
        self.hello = Hello(name, 1, role, "zone-a", "", 0)
        self.is_open = True
        self.sent = []

    def send(self, message):
        if self.is_open:
            self.sent.append(message)
        return self.is_open

    def wait_writable(self):
        pass

    def close(self, reason):
        self.is_open = False

    def of_type(self, cls):
        return [message for message in self.sent if type(message) is cls]

    def wait_for(self, cls, count=1):
        wait_until(lambda: len(self.of_type(cls)) >= count)
        return self.of_type(cls)[-1]


class LeaseObjectStore:
    """Store with one lease object; unavailable while `is_down` is set."""

    def __init__(self, fence=None, is_down=False):
        self.fence = fence
        self.is_down = is_down

    def get(self, key):
        if self.is_down:
            return StoreFailure("outage", False)
        if self.fence is None:
            return NotFound(key)
        value = {"holder": "h", "fence": self.fence, "nonce": "n"}
        return Ok(StoredObject(key, 1, json.dumps(value).encode()))


class FakeQueue:
    """A queue in order of arrival; tests can add pause and resume actions."""

    def __init__(self, slots):
        self.slots = slots
        self.waiting, self.running, self.queued_actions = [], {}, []

    def set_catalog(self, catalog):
        pass

    def set_slots(self, slots):
        self.slots = slots

    def offer(self, spec, now_ms):
        self.waiting.append(spec)
        return Admitted(len(self.waiting) - 1)

    def due_actions(self, now_ms):
        while self.queued_actions:
            yield self.queued_actions.pop(0)
        while self.waiting and len(self.running) < self.slots:
            spec = self.waiting.pop(0)
            self.running[spec.key] = spec
            yield StartAttempt(spec)

    def on_tokens(self, key, tokens, now_ms):
        pass

    def on_done(self, key, now_ms):
        del self.running[key]

    def withdraw(self, key):
        found = [spec for spec in self.waiting if spec.key == key]
        self.waiting = [spec for spec in self.waiting if spec.key != key]
        return bool(found)

    def report(self, now_ms):
        waiting = (("chat", len(self.waiting)),)
        return QueueReport(len(self.running), 0, self.slots, waiting, 1.0, 2.0, 3)

    def pause(self, key, kv="keep"):
        self.queued_actions.append(PauseAttempt(self.running[key], kv))

    def resume(self, key):
        self.queued_actions.append(ResumeAttempt(self.running[key]))


class ScriptedEndpoint:
    """HTTP server that records requests and sends the responses that a test sets.

    A stream sends the items of `script`: texts, then `end`; at `cut` it closes the
    connection. After the first `ungated_items` items it waits for `gate` before each.
    """

    def __init__(self):
        self.requests = []
        self.version = "1"
        self.load = {}
        self.script = ["a", " b", "end"]
        self.ungated_items = 1000
        self.gate = Event()
        self.reply = (b"200 OK", [(b"X-Own", b"1")], b"plain answer")
        self.server = StreamServer(("127.0.0.1", 0), self._serve)
        self.server.start()

    @property
    def address(self):
        return f"127.0.0.1:{self.server.server_port}"

    def paths(self):
        return [path for _, path, _, _ in self.requests]

    def _serve(self, sock, address):
        with sock, sock.makefile("rb") as source:
            method, path, _ = source.readline().decode().split()
            headers = {}
            while (line := source.readline().strip()) != b"":
                name, _, value = line.decode().partition(":")
                headers[name.lower()] = value.strip()
            body = source.read(int(headers.get("content-length", 0)))
            self.requests.append((method, path, headers, body))
            self._answer(sock, path)

    def _answer(self, sock, path):
        if path.startswith("/v1/"):
            self._stream(sock)
        elif path == "/load":
            fields = {"running": 1, "model": "m", "version": self.version, "role": ""}
            fields |= self.load
            self._respond(sock, b"200 OK", [], json.dumps(fields).encode())
        elif path == "/orders":
            self.version = json.loads(self.requests[-1][3])["version"]
            self._respond(sock, b"200 OK", [], b"{}")
        elif path.startswith("/control"):
            self._respond(sock, b"200 OK", [], b'{"tokens": 3, "dropped_tokens": 5}')
        else:
            self.ungated_items or self.gate.wait()
            self._respond(sock, *self.reply)

    def _respond(self, sock, status, headers, body):
        pairs = [*headers, (b"Content-Length", b"%d" % len(body))]
        lines = [b"HTTP/1.1 " + status, *(n + b": " + v for n, v in pairs), b"", body]
        sock.sendall(b"\r\n".join(lines))

    def _stream(self, sock):
        sock.sendall(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n")
        for number, item in enumerate(self.script):
            if number >= self.ungated_items:
                self.gate.wait()
            if item == "cut":
                return
            sock.sendall(self._event(item))

    def _event(self, item):
        if item != "end":
            choice = {"delta": {"content": item}, "finish_reason": None}
            return b"data: %s\n\n" % json.dumps({"choices": [choice]}).encode()
        usage = {"prompt_tokens": 3, "completion_tokens": 2, "cached_tokens": 1}
        last = {"choices": [{"delta": {}, "finish_reason": "stop"}], "usage": usage}
        return b"data: %s\n\ndata: [DONE]\n\n" % json.dumps(last).encode()


class SidecarHarness:
    """A sidecar with test doubles; its loops do not run, tests call `tick` instead."""

    def __init__(self, kind="model", slots=2, store=None, address=None):
        self.endpoint = ScriptedEndpoint()
        self.clock = ManualClock(1000.0)
        self.queue = FakeQueue(slots)
        self.metrics = Metrics(self.clock)
        settings = read_settings(f"""
            [node]
            id = side-1
            role = side
            zone = zone-a
            region = region-a
            [listen]
            links = 127.0.0.1:0
            [platform]
            store = 127.0.0.1:1
            [endpoint]
            service = svc
            kind = {kind}
            address = {address or self.endpoint.address}
            """)
        self.store = store or LeaseObjectStore()
        self.sidecar = SidecarRole(
            settings.value, self.clock, self.store, self.queue, self.metrics, 7
        )
        target = LatencyTarget(TargetKind.WHOLE, 1000.0)
        chat = RequestClass("chat", 2, target, 1000.0)
        service = Service("svc", ServiceKind(kind), concurrency=slots)
        self.sidecar.set_catalog(Catalog(1, {"svc": service}, {"chat": chat}))
        self.link = FakeLink()
        self.sidecar.on_up(self.link)

    def submit(self, name="r1", attempt=0, link=None, **fields):
        values = {
            "target_incarnation": 7,
            "text_version": 1,
            "service": "svc",
            "class_name": "chat",
            "customer": "c",
            "method": "POST",
            "path": "/v1/chat/completions",
            "headers": [],
            "body": b'{"messages": []}',
            "stream": True,
            "prompt_tokens": 1,
            "budget_ms": 0.0,
            **fields,
        }
        message = Submit(name, attempt, **values)
        assert self.sidecar.on_message(link or self.link, message)
        return message

    def book(self, name="r1", token="t1", **fields):
        values = {"path": "/book", "claim_token": token, **fields}
        return self.submit(name, **values)

    def metric_value(self, name):
        lines = self.metrics.render().decode().splitlines()
        values = [line.split()[-1] for line in lines if line.startswith(name)]
        return float(values[0]) if values else 0.0

    def close(self):
        self.endpoint.gate.set()
        self.sidecar.stop()
        self.endpoint.server.close()
