"""Measure links and the cost per token of a sidecar against plain-socket baselines.

    python -m bench.links --seed=1 --rounds=5

Both ends run in this process on loopback, so the rates include sending and receiving.

- `stream`: small Chunk messages in both directions at full speed, queued in batches of
  `--window`. The baseline sends the same messages as length-prefixed CBOR over a plain
  socket and does not validate them.
- `echo`: sequential round trips of one message, with the same baseline.
- `side`: CPU time of a SidecarRole that relays token streams whose tokens arrive one by
  one, `--gap_ms` apart. In `side burst` they arrive without a gap. The baseline reads
  the same streams from a plain socket without parsing them.

Each row gives the median over the rounds and its ratio to the median of the baseline.
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
flags.DEFINE_integer("rounds", 5, "Rounds; measurement and baseline alternate.")
flags.DEFINE_integer(
    "messages", 20_000, "Messages per direction in one round of stream."
)
flags.DEFINE_integer("window", 50, "Messages queued in one batch.")
flags.DEFINE_integer("echoes", 2_000, "Round trips in one round of echo.")
flags.DEFINE_integer("streams", 8, "Concurrent token streams.")
flags.DEFINE_integer(
    "tokens", 500, "Tokens per stream; four times as many in side burst."
)
flags.DEFINE_float("gap_ms", 1.0, "Time between two tokens of a stream in ms.")
flags.DEFINE_string("json", "", "File to which the rows are written as JSON.")

LOOPBACK_ANY_PORT = SocketAddress("127.0.0.1", 0)

SETTINGS_TEMPLATE = """
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


def make_hello() -> Hello:
    return Hello("bench", 1, "entry", "zone-a", "", 0)


class CountingHandler:
    """Link handler that counts messages and optionally echoes each of them."""

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


class PlainSocketLink:
    """Baseline: length-prefixed CBOR over a plain socket, without validation."""

    def __init__(self, sock, handler: CountingHandler) -> None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._sock = sock
        self._handler = handler
        self._queue: list[bytes] = []
        self._has_messages = Event()
        handler.on_up(self)
        spawn(self._write)
        spawn(self._read)

    def send(self, message: Chunk) -> None:
        fields = (message.request_id, message.attempt, message.seq)
        data = dumps([1, 7, *fields, message.data, message.tokens])
        self._queue.append(struct.pack(">I", len(data)) + data)
        self._has_messages.set()

    def _write(self) -> None:
        while True:
            self._has_messages.wait()
            self._has_messages.clear()
            queue, self._queue = self._queue, []
            self._sock.sendall(b"".join(queue))

    def _read(self) -> None:
        buffer = b""
        while data := self._sock.recv(65_536):
            buffer += data
            offset = 0
            while len(buffer) - offset >= 4:
                end = offset + 4 + int.from_bytes(buffer[offset : offset + 4], "big")
                if end > len(buffer):
                    break
                values = loads(buffer[offset + 4 : end])
                self._handler.on_message(self, Chunk(*values[2:]))
                offset = end
            buffer = buffer[offset:]


def link_pair(
    server_handler: CountingHandler, client_handler: CountingHandler
) -> Callable[[], None]:
    """Connect two handlers by a link; return a function that stops the server."""
    server = LinkServer(LOOPBACK_ANY_PORT, make_hello, server_handler, LinkOptions())
    result = connect_link(server.start(), make_hello, client_handler, LinkOptions())
    assert isinstance(result, Ok), result
    while not server_handler.links:
        sleep(0.001)
    return server.stop


def plain_pair(
    server_handler: CountingHandler, client_handler: CountingHandler
) -> Callable[[], None]:
    server = StreamServer(
        ("127.0.0.1", 0), lambda s, a: PlainSocketLink(s, server_handler) and sleep(60)
    )
    server.start()
    sock = socket.create_connection(("127.0.0.1", server.server_port))
    PlainSocketLink(sock, client_handler)
    while not server_handler.links:
        sleep(0.001)
    return lambda: server.stop(timeout=0.1)


def stream_rate(make_pair: Callable) -> float:
    """Return messages per second, summed over both directions."""
    server_handler, client_handler = CountingHandler(), CountingHandler()
    stop = make_pair(server_handler, client_handler)
    messages = make_messages(FLAGS.messages)
    server_handler.expect(len(messages))
    client_handler.expect(len(messages))
    started_s = time.perf_counter()
    for offset in range(0, len(messages), FLAGS.window):
        for message in messages[offset : offset + FLAGS.window]:
            server_handler.links[0].send(message)
            client_handler.links[0].send(message)
        sleep(0)
    server_handler.done.wait()
    client_handler.done.wait()
    elapsed_s = time.perf_counter() - started_s
    stop()
    return 2 * len(messages) / elapsed_s


def echo_rate(make_pair: Callable) -> float:
    """Return round trips per second, one at a time."""
    server_handler, client_handler = CountingHandler(echo=True), CountingHandler()
    stop = make_pair(server_handler, client_handler)
    message = make_messages(1)[0]
    started_s = time.perf_counter()
    for _ in range(FLAGS.echoes):
        client_handler.expect(1)
        client_handler.links[0].send(message)
        client_handler.done.wait()
    elapsed_s = time.perf_counter() - started_s
    stop()
    return FLAGS.echoes / elapsed_s


class TokenServer:
    """Engine test double that sends each token in a separate packet, `gap_ms` apart."""

    def __init__(self, tokens: int, gap_ms: float) -> None:
        self.tokens = tokens
        self._gap_s = gap_ms / 1000.0
        choice = {"index": 0, "delta": {"content": " w12-0a1b2c3d"}}
        event = {"id": "x", "object": "chat.completion.chunk", "choices": [choice]}
        self._token_event = b"data: %s\n\n" % json.dumps(event).encode()
        choice["finish_reason"] = "stop"
        event["usage"] = {"prompt_tokens": 1, "completion_tokens": 1}
        self._final_event = b"data: %s\n\ndata: [DONE]\n\n" % json.dumps(event).encode()
        self.server = StreamServer(("127.0.0.1", 0), self._serve)
        self.server.start()

    def _serve(self, sock, address) -> None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        with sock:
            if not sock.recv(65_536).startswith(b"POST /v1/"):
                return
            sock.sendall(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n")
            for _ in range(self.tokens):
                sock.sendall(self._token_event)
                sleep(self._gap_s)
            sock.sendall(self._final_event)


class DiscardingLink:
    """Link of a sidecar to an entry that counts messages and discards them."""

    def __init__(self) -> None:
        self.hello = make_hello()
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
    """Store without objects, so that no lease is held."""

    def get(self, key):
        return NotFound(key)


def make_sidecar(port: int) -> SidecarRole:
    settings = read_settings(SETTINGS_TEMPLATE.format(port=port))
    assert isinstance(settings, Ok), settings
    clock = SystemClock()
    target = LatencyTarget(TargetKind.FIRST_TOKEN, 1500.0)
    chat = RequestClass("chat", 0, target, 60_000.0)
    service = Service("llm", ServiceKind.MODEL, concurrency=FLAGS.streams)
    catalog = Catalog(1, {"llm": service}, {"chat": chat})
    queue = EndpointQueue(catalog, FLAGS.streams, Random(FLAGS.seed))
    store = EmptyStore()
    sidecar = SidecarRole(settings.value, clock, store, queue, Metrics(clock), 1)
    sidecar.set_catalog(catalog)
    return sidecar


def sidecar_cpu_us(token_server: TokenServer) -> float:
    """Return the CPU time per token in us of engine and sidecar together."""
    sidecar, link = make_sidecar(token_server.server.server_port), DiscardingLink()
    sidecar.on_up(link)
    started_s = time.process_time()
    for number in range(FLAGS.streams):
        submit = Submit(
            f"r{number}", 0, 1, 1, "llm", "chat", "c", "POST", "/v1/chat/completions",
            [], b'{"messages": []}', True, 1, 0.0,
        )  # fmt: skip
        sidecar.on_message(link, submit)
    while link.finished < FLAGS.streams:
        sleep(0.001)
    cpu_s = time.process_time() - started_s
    sidecar.stop()
    return cpu_s * 1e6 / (FLAGS.streams * token_server.tokens)


def plain_cpu_us(token_server: TokenServer) -> float:
    """Return the CPU time per token in us of engine and plain readers together."""

    def read() -> None:
        address = ("127.0.0.1", token_server.server.server_port)
        with socket.create_connection(address) as sock:
            sock.sendall(b"POST /v1/ HTTP/1.1\r\n\r\n")
            while sock.recv(65_536):
                pass

    started_s = time.process_time()
    for reader in [spawn(read) for _ in range(FLAGS.streams)]:
        reader.join()
    cpu_s = time.process_time() - started_s
    return cpu_s * 1e6 / (FLAGS.streams * token_server.tokens)


def compare(name: str, unit: str, measurement: Callable, baseline: Callable) -> dict:
    """Alternate measurement and baseline; print and return their medians and ratio."""
    pairs = [(measurement(), baseline()) for _ in range(FLAGS.rounds)]
    measured_median = median(pair[0] for pair in pairs)
    baseline_median = median(pair[1] for pair in pairs)
    row = {"name": name, "unit": unit, "seed": FLAGS.seed, "rounds": FLAGS.rounds}
    row |= {"value": round(measured_median, 2), "baseline": round(baseline_median, 2)}
    row |= {"ratio": round(measured_median / baseline_median, 3)}
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
            lambda: stream_rate(plain_pair),
        ),
        compare(
            "echo",
            "round trips/s",
            lambda: echo_rate(link_pair),
            lambda: echo_rate(plain_pair),
        ),
        compare(
            "side",
            "us/token",
            lambda: sidecar_cpu_us(paced),
            lambda: plain_cpu_us(paced),
        ),
        compare(
            "side burst",
            "us/token",
            lambda: sidecar_cpu_us(burst),
            lambda: plain_cpu_us(burst),
        ),
    ]
    if FLAGS.json:
        with open(FLAGS.json, "w") as file:
            json.dump(rows, file, indent=1)


if __name__ == "__main__":
    app.run(main)
