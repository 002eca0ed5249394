"""Measures the entry's path from sidecar messages to callers' sockets on one core.

Callers are native threads that only send and drop bytes; figures are per second of
CPU time of the entry's own thread, which also runs a fake sidecar. Decoding of link
messages is not included. Run: .venv/bin/python bench/entry_path.py
"""

from gevent import monkey

NATIVE_START = monkey.get_original("_thread", "start_new_thread")
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
TOKENS = flags.DEFINE_integer("tokens", 500, "Tokens of each streamed answer.")
WHOLE_TOKENS = flags.DEFINE_integer("whole_tokens", 16, "Tokens of whole answers.")
REPLIES = flags.DEFINE_integer("replies", 200, "Whole replies for each caller.")
PROFILE = flags.DEFINE_bool("profile", False, "Print where the time goes.")

RECEIVE_BYTES = 1_000_000

CALLER_PAUSE_S = 0.005
"""Pause of a caller before it reads. A thread woken by each packet would add its waking
and its wait for the interpreter's lock to what the entry pays for a send.
"""


def request_bytes(stream: bool) -> bytes:
    """Return one chat request as a caller sends it."""
    body = json.dumps({**CHAT, "stream": stream}).encode()
    head = (
        "POST /v1/chat/completions HTTP/1.1\r\nHost: entry\r\nX-Customer: named\r\n"
        "User-Agent: bench\r\nAccept: */*\r\nContent-Type: application/json\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


def native_caller(
    entry: EntryUnderTest, request: bytes, end: bytes, times: int, done: list[int]
) -> None:
    """Send `times` requests one after another, each until `end` has arrived."""
    sock = NATIVE_SOCKET()
    sock.connect((entry.address.host, entry.address.port))
    for _ in range(times):
        sock.sendall(request)
        tail = b""
        while end not in tail:
            NATIVE_SLEEP(CALLER_PAUSE_S)
            piece = sock.recv(RECEIVE_BYTES)
            if not piece:
                done.append(0)
                return
            tail = tail[-len(end) :] + piece
    sock.close()
    done.append(1)


def run_callers(entry: EntryUnderTest, request: bytes, end: bytes, times: int) -> float:
    """Run all callers and return the CPU seconds of this thread."""
    done: list[int] = []
    begun_s = time.thread_time()
    for _ in range(CALLERS.value):
        NATIVE_START(native_caller, (entry, request, end, times, done))
    while len(done) < CALLERS.value:
        gevent.sleep(0.005)
    used_s = time.thread_time() - begun_s
    assert sum(done) == CALLERS.value, "a caller lost its connection"
    return used_s


class TokenTicker:
    """Sends each open stream one token in each turn of the loop, as engines do."""

    def __init__(self) -> None:
        self._streams: dict[str, tuple[FakeSidecar, Submit, int]] = {}
        self._running = False

    def on_submit(self, side: FakeSidecar, submit: Submit) -> None:
        """Start one answer."""
        self._streams[submit.request_id] = (side, submit, 0)
        if not self._running:
            self._running = True
            gevent.spawn(self._run)

    def _run(self) -> None:
        while self._streams:
            for request_id, (side, submit, seq) in tuple(self._streams.items()):
                text = b"w%d-0123abcd " % seq
                side.reply(Chunk(request_id, submit.attempt, seq, text, 1))
                self._streams[request_id] = (side, submit, seq + 1)
                if seq + 1 == TOKENS.value:
                    del self._streams[request_id]
                    side.reply(finished(submit, TOKENS.value))
            gevent.sleep(0)
        self._running = False


def answer_whole(side: FakeSidecar, submit: Submit) -> None:
    """Send a short answer at once."""
    words = [f"w{n}-0123abcd " for n in range(WHOLE_TOKENS.value)]
    side.reply(*chunks(submit, words), finished(submit, len(words)))


def measure(
    name: str,
    on_submit: Callable[[FakeSidecar, Submit], None],
    stream: bool,
    times: int,
    units: int,
) -> None:
    """Run one workload and print its rate."""
    entry = EntryUnderTest()
    entry.add_sidecar(on_submit)
    end = b"[DONE]" if stream else b'"cached_tokens": 0}}}'
    run_callers(entry, request_bytes(stream), end, 1)
    profile = cProfile.Profile()
    if PROFILE.value:
        profile.enable()
    used_s = run_callers(entry, request_bytes(stream), end, times)
    profile.disable()
    rate = CALLERS.value * units / used_s
    print(
        f"{name}: {rate:,.0f}/s of one core ({CALLERS.value * units} in {used_s:.2f} s)"
    )
    if PROFILE.value:
        pstats.Stats(profile).sort_stats("tottime").print_stats(28)
    entry.role.stop()


def main(argv: list[str]) -> Any:
    """Measure streamed events and whole replies."""
    measure("streamed events", TokenTicker().on_submit, True, 4, 4 * TOKENS.value)
    measure("whole replies", answer_whole, False, REPLIES.value, REPLIES.value)


if __name__ == "__main__":
    app.run(main)
