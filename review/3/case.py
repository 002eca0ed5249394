"""A worker answers a long request early and is reset midway in its answer."""

import asyncio
import os
import socket
import struct
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))

from fleet import (  # noqa: E402
    API_KEY,
    Fleet,
    Message,
    Worker,
    configuration,
    route,
    run_case,
)

IS_DISRUPTED = os.environ.get("TROUBLE", "1") != "0"
"""TROUBLE=0 runs the case without its disruption."""

REQUESTS = 6
REQUEST_BYTES = 4_194_304
"""The limit of the configuration, `max_body_bytes`."""

WINDOW_BYTES = 16_384
"""Receive buffer of the worker: the platform's links have small windows."""

TIMEOUT_MS = 6_000.0

RESET_LINGER = struct.pack("ii", 1, 0)


def whole_body(request_id: str) -> bytes:
    """Return the whole body of the worker's answer."""
    return b"".join(b"%s line %04d\n" % (request_id.encode(), n) for n in range(100))


async def answer_early(
    worker: Worker,
    request: Message,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> bool:
    """Answer without a length; with the disruption, early and with a reset midway."""
    size = int(request.headers["content-length"])
    body = whole_body(request.request_id)
    lines = ["HTTP/1.1 200 OK", "Connection: close"]
    headers = worker.answer_headers(request)
    lines += [f"{name}: {text}" for name, text in headers.items()]
    head = "\r\n".join([*lines, "", ""]).encode()
    if not IS_DISRUPTED:
        await reader.readexactly(size)
        writer.write(head + body)
        await writer.drain()
        return False
    # The answer does not depend on the body, most of which waits unread.
    writer.transport.pause_reading()  # type: ignore[attr-defined]
    writer.write(head + body[: len(body) // 2])
    await asyncio.sleep(0.5)
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_LINGER)
    writer.transport.abort()
    return False


async def hold(fleet: Fleet) -> bool:
    """Send long requests one after the other; return whether the rule held."""
    routes = [
        route("archive", "/archive/", "unsafe", "desk", timeout_ms=TIMEOUT_MS),
    ]
    fleet.store.put("config", "main", configuration(1, routes, [API_KEY]))
    worker = Worker(fleet.store, fleet.record, "i-desk-1", "desk")
    worker.answer = answer_early
    await worker.start(WINDOW_BYTES)
    router = await fleet.add_router("edge-1")
    await asyncio.sleep(1.0)
    replies = []
    for _ in range(REQUESTS):
        reply = await fleet.client.call(
            router.address,
            "POST",
            "/archive/1",
            b"a" * REQUEST_BYTES,
            deadline_ms=TIMEOUT_MS,
        )
        replies.append(reply)
    successes = [each for each in replies if each.is_whole and each.status == 200]
    wrong = [each for each in successes if each.body != whole_body(each.request_id)]
    fleet.record.write(
        f"of {len(replies)} requests {len(successes)} got a complete success, "
        f"{len(wrong)} of these without the worker's whole body"
    )
    if not IS_DISRUPTED:
        return len(successes) == len(replies) and not wrong
    return not wrong


run_case(hold, FOLDER, IS_DISRUPTED)
