"""Fakes around a sidecar: links, store, and a scripted endpoint on a socket."""

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

LIMIT_S = 5.0
"""Only bounds a test that fails."""


def wait_until(condition):
    with gevent.Timeout(LIMIT_S):
        while not condition():
            gevent.sleep(0.001)


class FakeLink:
    """Records what is sent."""

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


class FakeStore:
    """One lease object, with an outage on demand."""

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
    """First come, first served, with actions that a test can add."""

    def __init__(self, slots):
        self.slots = slots
        self.waiting, self.running, self.extra = [], {}, []

    def set_catalog(self, catalog):
        pass

    def set_slots(self, slots):
        self.slots = slots

    def offer(self, item, now_ms):
        self.waiting.append(item)
        return Admitted(len(self.waiting) - 1)

    def actions(self, now_ms):
        while self.extra:
            yield self.extra.pop(0)
        while self.waiting and len(self.running) < self.slots:
            item = self.waiting.pop(0)
            self.running[item.key] = item
            yield StartAttempt(item)

    def on_tokens(self, key, tokens, now_ms):
        pass

    def on_done(self, key, now_ms):
        del self.running[key]

    def withdraw(self, key):
        found = [item for item in self.waiting if item.key == key]
        self.waiting = [item for item in self.waiting if item.key != key]
        return bool(found)

    def report(self, now_ms):
        waiting = (("chat", len(self.waiting)),)
        return QueueReport(len(self.running), 0, self.slots, waiting, 1.0, 2.0, 3)

    def pause(self, key, kv="keep"):
        self.extra.append(PauseAttempt(self.running[key], kv))

    def resume(self, key):
        self.extra.append(ResumeAttempt(self.running[key]))


class Endpoint:
    """An HTTP server that records requests and answers as the test says.

    Streams send `script` for their request: texts, then `end`, or a cut connection at
    `cut`, and wait for `gate` before each item after `free` ones.
    """

    def __init__(self):
        self.requests = []
        self.version = "1"
        self.load = {}
        self.script = ["a", " b", "end"]
        self.free = 1000
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
            self._whole(sock, b"200 OK", [], json.dumps(fields).encode())
        elif path == "/orders":
            self.version = json.loads(self.requests[-1][3])["version"]
            self._whole(sock, b"200 OK", [], b"{}")
        elif path.startswith("/control"):
            self._whole(sock, b"200 OK", [], b'{"tokens": 3, "dropped_tokens": 5}')
        else:
            self.free or self.gate.wait()
            self._whole(sock, *self.reply)

    def _whole(self, sock, status, headers, body):
        pairs = [*headers, (b"Content-Length", b"%d" % len(body))]
        lines = [b"HTTP/1.1 " + status, *(n + b": " + v for n, v in pairs), b"", body]
        sock.sendall(b"\r\n".join(lines))

    def _stream(self, sock):
        sock.sendall(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n")
        for number, item in enumerate(self.script):
            if number >= self.free:
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


class Bed:
    """A sidecar with fakes around it; the tick runs only when the test says so."""

    def __init__(self, kind="model", slots=2, store=None, address=None):
        self.endpoint = Endpoint()
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
        self.store = store or FakeStore()
        self.side = SidecarRole(
            settings.value, self.clock, self.store, self.queue, self.metrics, 7
        )
        target = LatencyTarget(TargetKind.WHOLE, 1000.0)
        chat = RequestClass("chat", 2, target, 1000.0)
        service = Service("svc", ServiceKind(kind), concurrency=slots)
        self.side.set_catalog(Catalog(1, {"svc": service}, {"chat": chat}))
        self.link = FakeLink()
        self.side.on_up(self.link)

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
        assert self.side.on_message(link or self.link, message)
        return message

    def book(self, name="r1", token="t1", **fields):
        values = {"path": "/book", "claim_token": token, **fields}
        return self.submit(name, **values)

    def count(self, name):
        lines = self.metrics.render().decode().splitlines()
        values = [line.split()[-1] for line in lines if line.startswith(name)]
        return float(values[0]) if values else 0.0

    def close(self):
        self.endpoint.gate.set()
        self.side.stop()
        self.endpoint.server.close()
