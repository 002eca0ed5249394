"""Latency of ordinary callers while hostile ones attack the same entry.

    python -m bench.hostile_callers --seed=1

Calls `GET /v1/models` one after another on one connection, first alone, then during
each attack, and prints p50, p99 and their ratios to the run without an attack. The
entry, the attackers and the ordinary caller are processes of their own.
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
flags.DEFINE_integer("seed", 1, "Seed of the attacks.")
flags.DEFINE_integer("attackers", 50, "Hostile connections at a time.")
flags.DEFINE_string("attack", "", "Only attack --address in this way.")
flags.DEFINE_string("address", "", "IP:PORT of the entry to attack.")
flags.DEFINE_integer("calls", 2000, "Calls measured in each run.")

HEAD = b"POST /v1/chat/completions HTTP/1.1\r\nX-Customer: x\r\n"
PAUSE_S = 0.02
TEXT = """
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


def slow_head(rng: random.Random) -> list[bytes]:
    return [bytes([byte]) for byte in HEAD] + [b"X-A: b\r\n"] * rng.randint(50, 200)


def huge_head(rng: random.Random) -> list[bytes]:
    return [HEAD + b"X-A: " + b"a" * rng.randint(20_000, 200_000)]


def bad_chunks(rng: random.Random) -> list[bytes]:
    head = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
    return [head + rng.choice([b"zz\r\n", b"-1\r\n", b"f" * 30])]


def deep_json(rng: random.Random) -> list[bytes]:
    body = rng.choice([b"[", b'{"a":']) * rng.randint(10_000, 100_000)
    return [HEAD + b"Content-Length: %d\r\n\r\n" % len(body) + body]


def two_lengths(rng: random.Random) -> list[bytes]:
    first = rng.randint(0, 100)
    lines = b"Content-Length: %d\r\nTransfer-Encoding: chunked\r\n\r\n" % first
    return [HEAD + lines + b"0\r\n\r\n"]


ATTACKS: tuple[Attack, ...] = (
    slow_head,
    huge_head,
    bad_chunks,
    deep_json,
    two_lengths,
)


def attack_forever(address: SocketAddress, attack: Attack, rng: random.Random) -> None:
    while True:
        pieces = attack(rng)
        try:
            with socket.create_connection((address.host, address.port), 5) as sock:
                for piece in pieces:
                    sock.sendall(piece)
                    gevent.sleep(PAUSE_S if len(pieces) > 1 else 0)
                sock.recv(1000)
        except OSError:
            pass
        gevent.sleep(rng.uniform(0.5, 1.5) * PAUSE_S)


def measure(address: SocketAddress, calls: int) -> tuple[float, float]:
    """Return p50 and p99 in ms."""
    client = HTTPClient(address.host, address.port)
    times = []
    for _ in range(calls):
        begun = time.perf_counter()
        response = client.request("GET", "/v1/models")
        response.read()
        assert response.status_code == 200
        times.append((time.perf_counter() - begun) * 1000)
    times.sort()
    return times[calls // 2], times[calls * 99 // 100]


def run(address: SocketAddress) -> None:
    base = measure(address, FLAGS.calls)
    print(f"seed {FLAGS.seed}, {FLAGS.attackers} attackers, {FLAGS.calls} calls")
    print(f"{'alone':<12} p50 {base[0]:7.2f} ms  p99 {base[1]:7.2f} ms")
    for attack in ATTACKS:
        flags_of_attack = (
            f"--attack={attack.__name__}",
            f"--address={address}",
            f"--seed={FLAGS.seed}",
            f"--attackers={FLAGS.attackers}",
        )
        attackers = ChildProcess(
            "attackers", ("bench.hostile_callers", *flags_of_attack), os.devnull
        )
        gevent.sleep(0.2)
        p50, p99 = measure(address, FLAGS.calls)
        attackers.kill()
        print(
            f"{attack.__name__:<12} p50 {p50:7.2f} ms  p99 {p99:7.2f} ms"
            f"  ratios {p50 / base[0]:.2f} {p99 / base[1]:.2f}",
            flush=True,
        )


def run_attack() -> None:
    address = parse_address(FLAGS.address)
    attack = next(each for each in ATTACKS if each.__name__ == FLAGS.attack)
    attackers = [
        gevent.spawn(attack_forever, address, attack, random.Random(seed))
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
        fields = {"base_version": 0, "submission_id": "1", "source": TEXT}
        operators = entry.address_by_name["operators"]
        answer = call_json(operators, "PUT", "/admin/text", fields)
        if answer.status != 200:
            sys.exit(f"the text was not accepted: {answer}")
        run(parse_address(entry.address_by_name["callers"]))
    finally:
        entry.kill()
        store.kill()


if __name__ == "__main__":
    app.run(main)
