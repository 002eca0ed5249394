"""One worker repeats an event of a stream without end; other calls get no answer."""

import asyncio
import os
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))

from fleet import (  # noqa: E402
    API_KEY,
    Fleet,
    Message,
    Reply,
    Worker,
    configuration,
    route,
    run_case,
)

IS_DISRUPTED = os.environ.get("TROUBLE", "1") != "0"
"""TROUBLE=0 runs the case without its disruption."""

STREAM_PATH = "/dossier/1"
CALL_PATH = "/check/1"

STREAM_TIMEOUT_MS = 15_000.0
STREAM_GAP_MS = 6_400.0
"""A client abandons a stream after a gap of eight times `gap_aim_ms` (800)."""

CALL_TIMEOUT_MS = 600.0
SLACK_MS = 500.0
MIN_LATE = 8

CALL_INTERVAL_S = 0.1
CALLS = 100

EVENT = b"id: %d\ndata: %d\n\n"
REPEATED = b"id: 1\n\n" * 4_000
BYTES_PER_S = 25_000_000
"""200 Mbit/s, a fifth of the link of a machine."""


async def answer_stream(
    worker: Worker,
    request: Message,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> bool:
    """Answer with a stream of five events; with the disruption it never ends."""
    await reader.readexactly(int(request.headers.get("content-length", "0")))
    headers = worker.answer_headers(request) | {"Content-Type": "text/event-stream"}
    lines = ["HTTP/1.1 200 OK", *(f"{name}: {text}" for name, text in headers.items())]
    writer.write("\r\n".join([*lines, "Connection: close", "", ""]).encode())
    for number in range(1, 6):
        writer.write(EVENT % (number, number))
        await writer.drain()
        await asyncio.sleep(0.1)
        if IS_DISRUPTED:
            break
    sent, began = 0, time.monotonic()
    while IS_DISRUPTED:
        writer.write(REPEATED)
        await writer.drain()
        sent += len(REPEATED)
        await asyncio.sleep(max(0.0, began + sent / BYTES_PER_S - time.monotonic()))
    return False


async def hold(fleet: Fleet) -> bool:
    """Call at a steady rate beside one stream; return whether the rule held."""
    routes = [
        route(
            "dossier",
            "/dossier/",
            "streaming",
            "llm",
            timeout_ms=STREAM_TIMEOUT_MS,
            slo_ms=1_200,
            gap_aim_ms=800,
        ),
        route("check", "/check/", "safe", "desk", attempts=2),
    ]
    fleet.store.put("config", "main", configuration(1, routes, [API_KEY]))
    for number in (1, 2):
        worker = Worker(fleet.store, fleet.record, f"i-llm-{number}", "llm")
        worker.answer = answer_stream
        await worker.start()
        await Worker(fleet.store, fleet.record, f"i-desk-{number}", "desk").start()
    router = await fleet.add_router("edge-1")
    await asyncio.sleep(1.0)

    headers = {"Token-Usage": "1460,80", "Prefix-Hash": "5c1e07a2:800,e4402b7d:660"}
    stream = asyncio.create_task(
        fleet.client.call(
            router.address,
            "POST",
            STREAM_PATH,
            b"prompt",
            headers,
            STREAM_TIMEOUT_MS,
            STREAM_GAP_MS,
        )
    )
    calls: list[asyncio.Task[Reply]] = []
    for _ in range(CALLS):
        await asyncio.sleep(CALL_INTERVAL_S)
        patience_ms = CALL_TIMEOUT_MS + SLACK_MS + 100.0
        call = fleet.client.call(
            router.address, "GET", CALL_PATH, patience_ms=patience_ms
        )
        calls.append(asyncio.create_task(call))
    replies = await asyncio.gather(*calls)
    await stream
    return is_rule_kept(fleet, replies)


def is_rule_kept(fleet: Fleet, replies: list[Reply]) -> bool:
    """Check rule CONFIG for the calls, whose route has a timeout of 600 ms."""
    took_ms = [
        each.after_ms if each.after_ms is not None else float("inf") for each in replies
    ]
    unanswered = sum(each > CALL_TIMEOUT_MS for each in took_ms)
    late = sum(each > CALL_TIMEOUT_MS + SLACK_MS for each in took_ms)
    fleet.record.write(
        f"of {len(replies)} calls {unanswered} had no answer after "
        f"{CALL_TIMEOUT_MS:.0f} ms, {late} of them none {SLACK_MS:.0f} ms later"
    )
    is_broken = late > unanswered / 2 and late >= MIN_LATE and late > len(replies) / 4
    return not is_broken


run_case(hold, FOLDER, IS_DISRUPTED)
