"""Measure links and the sidecar's cost of a token against bare baselines.

    python -m bench.links --seed=1 --rounds=5

Both ends run in this process on loopback, so a rate covers sending and receiving.

- `stream`: small Chunk messages both ways as fast as they go, `window` at a time. The
  baseline sends the same messages over a bare socket: a length and unchecked CBOR.
- `echo`: one message there and one back, one at a time.
- `side`: CPU time of a SidecarRole that relays token streams whose tokens come one by
  one, `gap_ms` apart; `side burst` is the same with tokens that come together. The
  baseline reads the same streams with a bare socket and parses nothing.

Each row gives the median of the rounds and the ratio against the baseline's median.
"""

from gevent import monkey

monkey.patch_all()

import json  # noqa: E402
import socket  # noqa: E402
import struct  # noqa: E402
import time  # noqa: E402
from collections.abc import Callable  # noqa: E402
from random import Random  # noqa: E402
from statistics import median  # noqa: E402

from absl import app, flags  # noqa: E402
from cbor2 import dumps, loads  # noqa: E402
from gevent import sleep, spawn  # noqa: E402
from gevent.event import Event  # noqa: E402
from gevent.server import StreamServer  # noqa: E402

from wigeonwind.addresses import SocketAddress  # noqa: E402
from wigeonwind.catalog import (  # noqa: E402
    Catalog,
    LatencyTarget,
    RequestClass,
    Service,
    ServiceKind,
    TargetKind,
)
from wigeonwind.clock import SystemClock  # noqa: E402
from wigeonwind.decisions.endpoint_queue import EndpointQueue  # noqa: E402
from wigeonwind.links.link import LinkOptions, LinkServer, connect_link  # noqa: E402
from wigeonwind.links.messages import Chunk, Finished, Hello, Submit  # noqa: E402
from wigeonwind.outcomes import Ok  # noqa: E402
from wigeonwind.runtime.metrics import Metrics  # noqa: E402
from wigeonwind.settings import read_settings  # noqa: E402
from wigeonwind.side.role import SidecarRole  # noqa: E402
from wigeonwind.state.store_types import NotFound  # noqa: E402

FLAGS = flags.FLAGS
flags.DEFINE_integer("seed", 1, "Seed of the messages.")
flags.DEFINE_integer("rounds", 5, "Rounds of each measurement; baselines alternate.")
flags.DEFINE_integer("messages", 20_000, "Messages each way in one round of stream.")
flags.DEFINE_integer("window", 50, "Messages that are queued at a time.")
flags.DEFINE_integer("echoes", 2_000, "Round trips in one round of echo.")
flags.DEFINE_integer("streams", 8, "Token streams at a time.")
flags.DEFINE_integer("tokens", 500, "Tokens of each stream; four times in a burst.")
flags.DEFINE_float("gap_ms", 1.0, "Time between two tokens of a stream.")
flags.DEFINE_string("json", "", "File for the rows.")

LOOPBACK = SocketAddress("127.0.0.1", 0)

SETTINGS = """
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
service = llm
kind = model
address = 127.0.0.1:{port}
"""


def make_messages(count: int) -> list[Chunk]:
    """Return chunks of one to three short tokens."""
    rng = Random(FLAGS.seed)
    sizes = [rng.randint(1, 3) for _ in range(count)]
    return [
        Chunk("0123456789abcdef" * 2, 0, seq, b"w12-0a1b2c3d " * size, size)
        for seq, size in enumerate(sizes)
    ]


def own_hello() -> Hello:
    return Hello("bench", 1, "entry", "zone-a", "", 0)


class Counter:
    """Link handler that counts messages and may answer each."""

    def __init__(self, echo: bool = False) -> None:
        self.count = 0
        self.target = 0
        self.done = Event()
        self.links: list = []
        self._echo = echo

    def expect(self, count: int) -> None:
        self.count, self.target = 0, count
        self.done.clear()

    def on_up(self, link) -> None:
        self.links.append(link)

    def on_message(self, link, message) -> None:
        self.count += 1
        if self._echo:
            link.send(message)
        if self.count == self.target:
            self.done.set()

    def on_down(self, link, reason) -> None:
        pass


class BareLink:
    """The baseline: length-prefixed CBOR over a socket, nothing checked."""

    def __init__(self, sock, handler: Counter) -> None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._sock = sock
        self._handler = handler
        self._queue: list[bytes] = []
        self._wake = Event()
        handler.on_up(self)
        spawn(self._write)
        spawn(self._read)

    def send(self, message: Chunk) -> None:
        fields = (message.request_id, message.attempt, message.seq)
        data = dumps([1, 7, *fields, message.data, message.tokens])
        self._queue.append(struct.pack(">I", len(data)) + data)
        self._wake.set()

    def _write(self) -> None:
        while True:
            self._wake.wait()
            self._wake.clear()
            queue, self._queue = self._queue, []
            self._sock.sendall(b"".join(queue))

    def _read(self) -> None:
        rest = b""
        while data := self._sock.recv(65_536):
            rest += data
            place = 0
            while len(rest) - place >= 4:
                end = place + 4 + int.from_bytes(rest[place : place + 4], "big")
                if end > len(rest):
                    break
                items = loads(rest[place + 4 : end])
                self._handler.on_message(self, Chunk(*items[2:]))
                place = end
            rest = rest[place:]


def link_pair(one: Counter, other: Counter) -> Callable[[], None]:
    """Join two handlers by a link; return what stops it."""
    server = LinkServer(LOOPBACK, own_hello, one, LinkOptions())
    result = connect_link(server.start(), own_hello, other, LinkOptions())
    assert isinstance(result, Ok), result
    while not one.links:
        sleep(0.001)
    return server.stop


def bare_pair(one: Counter, other: Counter) -> Callable[[], None]:
    server = StreamServer(("127.0.0.1", 0), lambda s, a: BareLink(s, one) and sleep(60))
    server.start()
    sock = socket.create_connection(("127.0.0.1", server.server_port))
    BareLink(sock, other)
    while not one.links:
        sleep(0.001)
    return lambda: server.stop(timeout=0.1)


def stream_rate(make_pair: Callable) -> float:
    """Return messages a second, both directions together."""
    one, other = Counter(), Counter()
    stop = make_pair(one, other)
    messages = make_messages(FLAGS.messages)
    one.expect(len(messages))
    other.expect(len(messages))
    began = time.perf_counter()
    for place in range(0, len(messages), FLAGS.window):
        for message in messages[place : place + FLAGS.window]:
            one.links[0].send(message)
            other.links[0].send(message)
        sleep(0)
    one.done.wait()
    other.done.wait()
    elapsed = time.perf_counter() - began
    stop()
    return 2 * len(messages) / elapsed


def echo_rate(make_pair: Callable) -> float:
    """Return round trips a second, one at a time."""
    one, other = Counter(echo=True), Counter()
    stop = make_pair(one, other)
    message = make_messages(1)[0]
    began = time.perf_counter()
    for _ in range(FLAGS.echoes):
        other.expect(1)
        other.links[0].send(message)
        other.done.wait()
    elapsed = time.perf_counter() - began
    stop()
    return FLAGS.echoes / elapsed


class TokenServer:
    """An engine that sends each token in a packet of its own, as fast as it can."""

    def __init__(self, tokens: int, gap_ms: float) -> None:
        self.tokens = tokens
        self._gap_s = gap_ms / 1000.0
        choice = {"index": 0, "delta": {"content": " w12-0a1b2c3d"}}
        event = {"id": "x", "object": "chat.completion.chunk", "choices": [choice]}
        self._token = b"data: %s\n\n" % json.dumps(event).encode()
        choice["finish_reason"] = "stop"
        event["usage"] = {"prompt_tokens": 1, "completion_tokens": 1}
        self._end = b"data: %s\n\ndata: [DONE]\n\n" % json.dumps(event).encode()
        self.server = StreamServer(("127.0.0.1", 0), self._serve)
        self.server.start()

    def _serve(self, sock, address) -> None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        with sock:
            if not sock.recv(65_536).startswith(b"POST /v1/"):
                return
            sock.sendall(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n")
            for _ in range(self.tokens):
                sock.sendall(self._token)
                sleep(self._gap_s)
            sock.sendall(self._end)


class SinkLink:
    """Takes a sidecar's messages and keeps none."""

    def __init__(self) -> None:
        self.hello = own_hello()
        self.is_open = True
        self.finished = 0
        self.chunks = 0

    def send(self, message) -> bool:
        self.chunks += type(message) is Chunk
        self.finished += type(message) is Finished
        return True

    def wait_writable(self) -> None:
        pass


class EmptyStore:
    """A store without a lease."""

    def get(self, key):
        return NotFound(key)


def make_side(port: int) -> SidecarRole:
    settings = read_settings(SETTINGS.format(port=port))
    assert isinstance(settings, Ok), settings
    clock = SystemClock()
    target = LatencyTarget(TargetKind.FIRST_TOKEN, 1500.0)
    chat = RequestClass("chat", 0, target, 60_000.0)
    service = Service("llm", ServiceKind.MODEL, concurrency=FLAGS.streams)
    catalog = Catalog(1, {"llm": service}, {"chat": chat})
    queue = EndpointQueue(catalog, FLAGS.streams, Random(FLAGS.seed))
    store = EmptyStore()
    side = SidecarRole(settings.value, clock, store, queue, Metrics(clock), 1)
    side.set_catalog(catalog)
    return side


def side_cost(engine: TokenServer) -> float:
    """Return CPU microseconds per token of engine and sidecar together."""
    side, link = make_side(engine.server.server_port), SinkLink()
    side.on_up(link)
    began = time.process_time()
    for number in range(FLAGS.streams):
        submit = Submit(
            f"r{number}", 0, 1, 1, "llm", "chat", "c", "POST", "/v1/chat/completions",
            [], b'{"messages": []}', True, 1, 0.0,
        )  # fmt: skip
        side.on_message(link, submit)
    while link.finished < FLAGS.streams:
        sleep(0.001)
    cost = time.process_time() - began
    side.stop()
    return cost * 1e6 / (FLAGS.streams * engine.tokens)


def bare_cost(engine: TokenServer) -> float:
    """Return CPU microseconds per token of engine and bare readers together."""

    def read() -> None:
        address = ("127.0.0.1", engine.server.server_port)
        with socket.create_connection(address) as sock:
            sock.sendall(b"POST /v1/ HTTP/1.1\r\n\r\n")
            while sock.recv(65_536):
                pass

    began = time.process_time()
    for reader in [spawn(read) for _ in range(FLAGS.streams)]:
        reader.join()
    cost = time.process_time() - began
    return cost * 1e6 / (FLAGS.streams * engine.tokens)


def compare(name: str, unit: str, measured: Callable, baseline: Callable) -> dict:
    """Alternate both and return the medians and their ratio."""
    pairs = [(measured(), baseline()) for _ in range(FLAGS.rounds)]
    own = median(pair[0] for pair in pairs)
    base = median(pair[1] for pair in pairs)
    row = {"name": name, "unit": unit, "seed": FLAGS.seed, "rounds": FLAGS.rounds}
    row |= {"value": round(own, 2), "baseline": round(base, 2)}
    row |= {"ratio": round(own / base, 3)}
    print(json.dumps(row), flush=True)
    return row


def main(_argv: list[str]) -> None:
    """Print one JSON row for each measurement."""
    paced = TokenServer(FLAGS.tokens, FLAGS.gap_ms)
    burst = TokenServer(4 * FLAGS.tokens, 0.0)
    rows = [
        compare(
            "stream",
            "messages/s",
            lambda: stream_rate(link_pair),
            lambda: stream_rate(bare_pair),
        ),
        compare(
            "echo",
            "round trips/s",
            lambda: echo_rate(link_pair),
            lambda: echo_rate(bare_pair),
        ),
        compare("side", "us/token", lambda: side_cost(paced), lambda: bare_cost(paced)),
        compare(
            "side burst",
            "us/token",
            lambda: side_cost(burst),
            lambda: bare_cost(burst),
        ),
    ]
    if FLAGS.json:
        with open(FLAGS.json, "w") as file:
            json.dump(rows, file, indent=1)


if __name__ == "__main__":
    app.run(main)
