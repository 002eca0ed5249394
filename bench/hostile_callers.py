"""Measure the latency of a regular caller while others attack the same entry.

    python -m bench.hostile_callers --seed=1

Sends `GET /v1/models` requests one after another on one connection, first without an
attack, then during each attack, and prints p50, p99 and their ratios to those without
an attack. The entry, the attackers and the regular caller run in separate processes.
"""

import os
import random
import sys
import time
from collections.abc import Callable

from gevent import monkey

monkey.patch_all()

import gevent
from absl import app, flags
from gevent import socket
from geventhttpclient import HTTPClient

from wigeonwind.addresses import SocketAddress, parse_address
from wigeonwind.checking.child_process import ChildProcess
from wigeonwind.checking.process_fleet import call_json

FLAGS = flags.FLAGS
flags.DEFINE_integer("seed", 1, "Seed of the attackers.")
flags.DEFINE_integer("attackers", 50, "Concurrent attackers.")
flags.DEFINE_string("attack", "", "Only run this attack against --address.")
flags.DEFINE_string("address", "", "IP:PORT of the attacked entry.")
flags.DEFINE_integer("calls", 2000, "Requests in each measurement.")

REQUEST_HEAD = b"POST /v1/chat/completions HTTP/1.1\r\nX-Customer: x\r\n"
ATTACK_PAUSE_S = 0.02
"""Pause between the pieces of a request, and mean pause between two connections."""

CONFIGURATION = """
[defaults]
allow_anonymous = yes
[service llm]
kind = model
models = m
classes = chat
[class chat]
priority = 0
target = first-token 1s
max_wait = 1s
"""

Attack = Callable[[random.Random], list[bytes]]
"""Returns the pieces of one malformed or slow request, sent one at a time."""


def slow_head(rng: random.Random) -> list[bytes]:
    return [bytes([byte]) for byte in REQUEST_HEAD] + [b"X-A: b\r\n"] * rng.randint(
        50, 200
    )


def huge_head(rng: random.Random) -> list[bytes]:
    return [REQUEST_HEAD + b"X-A: " + b"a" * rng.randint(20_000, 200_000)]


def bad_chunks(rng: random.Random) -> list[bytes]:
    head = REQUEST_HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
    return [head + rng.choice([b"zz\r\n", b"-1\r\n", b"f" * 30])]


def deep_json(rng: random.Random) -> list[bytes]:
    body = rng.choice([b"[", b'{"a":']) * rng.randint(10_000, 100_000)
    return [REQUEST_HEAD + b"Content-Length: %d\r\n\r\n" % len(body) + body]


def two_lengths(rng: random.Random) -> list[bytes]:
    length = rng.randint(0, 100)
    framing_headers = (
        b"Content-Length: %d\r\nTransfer-Encoding: chunked\r\n\r\n" % length
    )
    return [REQUEST_HEAD + framing_headers + b"0\r\n\r\n"]


ATTACKS: tuple[Attack, ...] = (
    slow_head,
    huge_head,
    bad_chunks,
    deep_json,
    two_lengths,
)


def repeat_attack(address: SocketAddress, attack: Attack, rng: random.Random) -> None:
    while True:
        pieces = attack(rng)
        try:
            with socket.create_connection((address.host, address.port), 5) as sock:
                for piece in pieces:
                    sock.sendall(piece)
                    gevent.sleep(ATTACK_PAUSE_S if len(pieces) > 1 else 0)
                sock.recv(1000)
        except OSError:
            pass
        gevent.sleep(rng.uniform(0.5, 1.5) * ATTACK_PAUSE_S)


def measure(address: SocketAddress, calls: int) -> tuple[float, float]:
    """Send `calls` requests and return the p50 and p99 of their latencies in ms."""
    client = HTTPClient(address.host, address.port)
    latencies_ms = []
    for _ in range(calls):
        started_s = time.perf_counter()
        response = client.request("GET", "/v1/models")
        response.read()
        assert response.status_code == 200
        latencies_ms.append((time.perf_counter() - started_s) * 1000)
    latencies_ms.sort()
    return latencies_ms[calls // 2], latencies_ms[calls * 99 // 100]


def measure_attacks(address: SocketAddress) -> None:
    baseline = measure(address, FLAGS.calls)
    print(f"seed {FLAGS.seed}, {FLAGS.attackers} attackers, {FLAGS.calls} calls")
    print(f"{'alone':<12} p50 {baseline[0]:7.2f} ms  p99 {baseline[1]:7.2f} ms")
    for attack in ATTACKS:
        attack_flags = (
            f"--attack={attack.__name__}",
            f"--address={address}",
            f"--seed={FLAGS.seed}",
            f"--attackers={FLAGS.attackers}",
        )
        attackers = ChildProcess(
            "attackers", ("bench.hostile_callers", *attack_flags), os.devnull
        )
        gevent.sleep(0.2)
        p50, p99 = measure(address, FLAGS.calls)
        attackers.kill()
        print(
            f"{attack.__name__:<12} p50 {p50:7.2f} ms  p99 {p99:7.2f} ms"
            f"  ratios {p50 / baseline[0]:.2f} {p99 / baseline[1]:.2f}",
            flush=True,
        )


def run_attack() -> None:
    address = parse_address(FLAGS.address)
    attack = next(each for each in ATTACKS if each.__name__ == FLAGS.attack)
    attackers = [
        gevent.spawn(repeat_attack, address, attack, random.Random(seed))
        for seed in range(FLAGS.seed, FLAGS.seed + FLAGS.attackers)
    ]
    print(f"attacking {address}", flush=True)
    gevent.joinall(attackers)


def main(argv: list[str]) -> None:
    if FLAGS.attack:
        run_attack()
        return
    import tempfile
    from pathlib import Path

    directory = Path(tempfile.mkdtemp(prefix="wigeonwind-"))
    log = str(directory / "log")
    store = ChildProcess(
        "store", ("wigeonwind.standins.main", "--kind=object-store"), log
    )
    settings = directory / "entry.ini"
    settings.write_text(
        "[node]\nid = entry-1\nrole = entry\nzone = a\nregion = r\n"
        "[listen]\ncallers = 127.0.0.1:0\nlinks = 127.0.0.1:0\n"
        "operators = 127.0.0.1:0\n"
        f"[platform]\nstore = {store.address_by_name['ready']}\n"
        "[limits]\nread_timeout_ms = 1000\n"
    )
    entry = ChildProcess("entry", ("wigeonwind.daemon", f"--settings={settings}"), log)
    try:
        fields = {"base_version": 0, "submission_id": "1", "source": CONFIGURATION}
        operators = entry.address_by_name["operators"]
        response = call_json(operators, "PUT", "/admin/text", fields)
        if response.status != 200:
            sys.exit(f"the entry rejected the configuration: {response}")
        measure_attacks(parse_address(entry.address_by_name["callers"]))
    finally:
        entry.kill()
        store.kill()


if __name__ == "__main__":
    app.run(main)
