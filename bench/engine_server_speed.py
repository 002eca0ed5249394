"""Measure the engine test double over HTTP: streamed events and replies per second.

Run: .venv/bin/python -m bench.engine_server_speed --streams=32

The server runs in a separate process and its engine is configured to be so fast that
HTTP is the bottleneck. The client does not parse the streams, so it costs little CPU.
"""

from gevent import monkey

monkey.patch_all()

import json
import socket
import sys
import time
from resource import RUSAGE_CHILDREN, getrusage

import gevent
from absl import app, flags
from gevent import subprocess

from wigeonwind.addresses import SocketAddress, parse_address

FLAGS = flags.FLAGS
flags.DEFINE_integer("streams", 32, "Concurrent streams.")
flags.DEFINE_integer("tokens", 2000, "Tokens per stream.")
flags.DEFINE_integer("replies", 3000, "Sequential replies on one connection.")
flags.DEFINE_float("step_ms", 0.2, "Duration of one iteration of the engine.")

READ_BYTES = 1 << 18


def start_engine() -> tuple[subprocess.Popen, SocketAddress]:
    config = {
        "slots": 256,
        "decode_ms_base": FLAGS.step_ms,
        "decode_ms_per_running": 0.0,
        "prefill_tokens_per_s": 1e7,
        "kv_limit_tokens": 10**8,
    }
    program = [sys.executable, "-m", "wigeonwind.standins.main", "--kind=engine"]
    command = [*program, f"--engine={json.dumps(config)}"]
    process = subprocess.Popen(command, stdout=subprocess.PIPE)
    return process, parse_address(process.stdout.readline().decode().split()[1])


def encode_post(path: str, body: dict) -> bytes:
    encoded_body = json.dumps(body).encode()
    head = (
        f"POST {path} HTTP/1.1\r\nHost: x\r\n"
        f"Content-Length: {len(encoded_body)}\r\n\r\n"
    )
    return head.encode() + encoded_body


def read_stream(address: SocketAddress, number: int) -> tuple[int, int]:
    """Read one stream to its end; return the numbers of events and of socket reads."""
    prompt = f"stream {number} len={FLAGS.tokens}"
    with socket.create_connection((address.host, address.port)) as sock:
        sock.sendall(encode_post("/v1/completions", {"prompt": prompt, "stream": True}))
        events = reads = 0
        tail = b""
        while b"[DONE]" not in tail:
            data = sock.recv(READ_BYTES)
            assert data, "the engine closed the stream before [DONE]"
            tail = tail[-6:] + data
            events += data.count(b"data: ")
            reads += 1
    return events, reads


def measure_streams(address: SocketAddress, streams: int) -> None:
    started_s = time.perf_counter()
    readers = [gevent.spawn(read_stream, address, number) for number in range(streams)]
    gevent.joinall(readers, raise_error=True)
    elapsed_s = time.perf_counter() - started_s
    events = sum(reader.value[0] for reader in readers)
    reads = sum(reader.value[1] for reader in readers)
    print(
        f"{streams} streams: {events / elapsed_s:.0f} events/s, "
        f"{reads / elapsed_s:.0f} reads/s ({events} events in {elapsed_s:.2f} s)"
    )


def measure_replies(address: SocketAddress, name: str, request: bytes) -> None:
    with socket.create_connection((address.host, address.port)) as sock:
        started_s = time.perf_counter()
        for _ in range(FLAGS.replies):
            sock.sendall(request)
            reply = b""
            while not is_complete(reply):
                reply += sock.recv(READ_BYTES)
        elapsed_s = time.perf_counter() - started_s
    print(f"{name}: {FLAGS.replies / elapsed_s:.0f} replies/s on one connection")


def is_complete(reply: bytes) -> bool:
    head, separator, body = reply.partition(b"\r\n\r\n")
    if not separator:
        return False
    length = head.lower().partition(b"content-length: ")[2].partition(b"\r")[0]
    return len(body) >= int(length)


def main(_argv: list[str]) -> None:
    process, address = start_engine()
    try:
        measure_streams(address, 1)
        measure_streams(address, FLAGS.streams)
        load = b"GET /load HTTP/1.1\r\nHost: x\r\n\r\n"
        measure_replies(address, "load report", load)
        body = {"prompt": "short len=1", "max_tokens": 1}
        measure_replies(address, "whole answer", encode_post("/v1/completions", body))
    finally:
        process.terminate()
        process.wait()
        usage = getrusage(RUSAGE_CHILDREN)
        print(f"server: {usage.ru_utime + usage.ru_stime:.2f} s of CPU in all")


if __name__ == "__main__":
    app.run(main)
