"""Measure the CPU cost in the entry from sidecar messages to callers' sockets.

Callers are native threads that send requests and discard the responses. Rates are per
second of CPU time of the entry's thread, which also runs a fake sidecar. Decoding of
link messages is not included. Run: .venv/bin/python bench/entry_path.py
"""

from gevent import monkey

START_NATIVE_THREAD = monkey.get_original("_thread", "start_new_thread")
NATIVE_SOCKET = monkey.get_original("socket", "socket")
NATIVE_SLEEP = monkey.get_original("time", "sleep")
monkey.patch_all()

import cProfile  # noqa: E402
import json  # noqa: E402
import pstats  # noqa: E402
import sys  # noqa: E402
import time  # noqa: E402
from collections.abc import Callable  # noqa: E402
from pathlib import Path  # noqa: E402
from typing import Any  # noqa: E402

import gevent  # noqa: E402
from absl import app, flags  # noqa: E402

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT), str(ROOT / "tests")]

from entry_fakes import CHAT, EntryUnderTest, FakeSidecar, chunks, finished  # noqa: E402

from wigeonwind.links.messages import Chunk, Submit  # noqa: E402

CALLERS = flags.DEFINE_integer("callers", 16, "Concurrent callers.")
TOKENS = flags.DEFINE_integer("tokens", 500, "Tokens per streamed answer.")
WHOLE_TOKENS = flags.DEFINE_integer("whole_tokens", 16, "Tokens per whole answer.")
REPLIES = flags.DEFINE_integer("replies", 200, "Whole replies per caller.")
PROFILE = flags.DEFINE_bool("profile", False, "Print a CPU profile.")

RECEIVE_BYTES = 1_000_000

CALLER_PAUSE_S = 0.005
"""Delay of a caller before each read. A caller thread that wakes for every packet would
add its wake-ups and its contention for the GIL to the measured cost of a send.
"""


def request_bytes(stream: bool) -> bytes:
    """Return the bytes of one chat request as a caller sends it."""
    body = json.dumps({**CHAT, "stream": stream}).encode()
    head = (
        "POST /v1/chat/completions HTTP/1.1\r\nHost: entry\r\nX-Customer: named\r\n"
        "User-Agent: bench\r\nAccept: */*\r\nContent-Type: application/json\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


def run_native_caller(
    entry: EntryUnderTest,
    request: bytes,
    end_marker: bytes,
    times: int,
    results: list[int],
) -> None:
    """Send `times` requests, each after the end marker of the response before.

    Appends 1 to `results` after the last response, 0 if the connection is closed early.
    """
    sock = NATIVE_SOCKET()
    sock.connect((entry.address.host, entry.address.port))
    for _ in range(times):
        sock.sendall(request)
        tail = b""
        while end_marker not in tail:
            NATIVE_SLEEP(CALLER_PAUSE_S)
            received = sock.recv(RECEIVE_BYTES)
            if not received:
                results.append(0)
                return
            tail = tail[-len(end_marker) :] + received
    sock.close()
    results.append(1)


def run_callers(
    entry: EntryUnderTest, request: bytes, end_marker: bytes, times: int
) -> float:
    """Run all callers and return the CPU time of this thread in seconds."""
    results: list[int] = []
    started_s = time.thread_time()
    for _ in range(CALLERS.value):
        START_NATIVE_THREAD(
            run_native_caller, (entry, request, end_marker, times, results)
        )
    while len(results) < CALLERS.value:
        gevent.sleep(0.005)
    cpu_s = time.thread_time() - started_s
    assert sum(results) == CALLERS.value, "a connection was closed during a response"
    return cpu_s


class TokenStreamer:
    """Sends one token to each open stream per loop iteration, as an engine does."""

    def __init__(self) -> None:
        self._streams: dict[str, tuple[FakeSidecar, Submit, int]] = {}
        self._running = False

    def on_submit(self, sidecar: FakeSidecar, submit: Submit) -> None:
        """Start the answer to one request."""
        self._streams[submit.request_id] = (sidecar, submit, 0)
        if not self._running:
            self._running = True
            gevent.spawn(self._run)

    def _run(self) -> None:
        while self._streams:
            for request_id, (sidecar, submit, seq) in tuple(self._streams.items()):
                text = b"w%d-0123abcd " % seq
                sidecar.reply(Chunk(request_id, submit.attempt, seq, text, 1))
                self._streams[request_id] = (sidecar, submit, seq + 1)
                if seq + 1 == TOKENS.value:
                    del self._streams[request_id]
                    sidecar.reply(finished(submit, TOKENS.value))
            gevent.sleep(0)
        self._running = False


def respond_whole(sidecar: FakeSidecar, submit: Submit) -> None:
    """Send a whole answer immediately."""
    words = [f"w{n}-0123abcd " for n in range(WHOLE_TOKENS.value)]
    sidecar.reply(*chunks(submit, words), finished(submit, len(words)))


def measure(
    name: str,
    on_submit: Callable[[FakeSidecar, Submit], None],
    stream: bool,
    times: int,
    units_per_caller: int,
) -> None:
    """Run one workload and print its rate of events or replies.

    Each caller sends `times` requests and receives `units_per_caller` events or
    replies.
    """
    entry = EntryUnderTest()
    entry.add_sidecar(on_submit)
    end_marker = b"[DONE]" if stream else b'"cached_tokens": 0}}}'
    run_callers(entry, request_bytes(stream), end_marker, 1)
    profile = cProfile.Profile()
    if PROFILE.value:
        profile.enable()
    cpu_s = run_callers(entry, request_bytes(stream), end_marker, times)
    profile.disable()
    rate = CALLERS.value * units_per_caller / cpu_s
    print(
        f"{name}: {rate:,.0f}/s of one core "
        f"({CALLERS.value * units_per_caller} in {cpu_s:.2f} s)"
    )
    if PROFILE.value:
        pstats.Stats(profile).sort_stats("tottime").print_stats(28)
    entry.role.stop()


def main(argv: list[str]) -> Any:
    """Measure streamed events and whole replies."""
    measure("streamed events", TokenStreamer().on_submit, True, 4, 4 * TOKENS.value)
    measure("whole replies", respond_whole, False, REPLIES.value, REPLIES.value)


if __name__ == "__main__":
    app.run(main)
