"""A part of prompts crashes workers, and requests with it are sent on and on."""

import asyncio
import os
import sys
import time
from dataclasses import dataclass
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

DEADLY_PART = "dead0001"
SOUND_PART = "50000001"
"""First part of the requests: only it tells deadly and sound ones apart."""


@dataclass(frozen=True)
class Variant:
    """How the deadly requests look, and when the worker crashes."""

    name: str
    parts: int
    writes_event: bool
    """Whether the worker writes the first event before it crashes."""


VARIANTS = (
    Variant("3 parts, crash after the first event", 3, True),
    Variant("40 parts, crash before the first byte", 40, False),
)

WORKERS = 4
ROUTERS = 2
DOWN_S = 2.0
PREFILL_S = 0.05
EVENTS = 20
EVENT_INTERVAL_S = 0.02

SOUND_INTERVAL_S = 0.1
DEADLY_INTERVAL_S = 1.0
SENDING_S = 30.0

CONTACT_S = 3.0
TOLERATED_CRASHES = 5
TOLERATED_REQUESTS = 3

TIMEOUT_MS = 5_000.0


class Crashes:
    """Answers requests, and crashes workers on those with the deadly part."""

    def __init__(self, variant: Variant) -> None:
        self._variant = variant
        self.times: list[float] = []
        self.deadly_arrivals: list[float] = []
        self._restarts: set[asyncio.Task[None]] = set()

    async def answer(
        self,
        worker: Worker,
        request: Message,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Answer with a stream, or crash on a request with the deadly part."""
        await reader.readexactly(int(request.headers.get("content-length", "0")))
        is_deadly = DEADLY_PART in request.headers["prefix-hash"]
        if is_deadly:
            self.deadly_arrivals.append(time.monotonic())
        await asyncio.sleep(PREFILL_S)
        crashes = is_deadly and IS_DISRUPTED
        if not crashes or self._variant.writes_event:
            headers = worker.answer_headers(request)
            headers |= {"Content-Type": "text/event-stream"}
            lines = [f"{name}: {text}" for name, text in headers.items()]
            head = ["HTTP/1.1 200 OK", *lines, "Transfer-Encoding: chunked", "", ""]
            writer.write("\r\n".join(head).encode())
            for number in range(1, EVENTS + 1):
                event = b"id: %d\ndata: %d\n\n" % (number, number)
                writer.write(b"%x\r\n%s\r\n" % (len(event), event))
                await asyncio.sleep(EVENT_INTERVAL_S)
                if crashes:
                    break
        if crashes:
            if not worker.is_down:
                self._crash(worker)
            return False
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True

    def _crash(self, worker: Worker) -> None:
        self.times.append(time.monotonic())
        worker.crash()
        self._restarts.add(asyncio.create_task(self._restart(worker)))

    async def _restart(self, worker: Worker) -> None:
        await asyncio.sleep(DOWN_S)
        await worker.restart(f"{worker.name.partition('.')[0]}.{len(self.times)}")


def prefix_hash(variant: Variant, first: str, number: int) -> str:
    """Return the parts of a prompt; the last one belongs to the request."""
    shared = [f"{0x1000 + index:x}:20" for index in range(variant.parts - 2)]
    return ",".join([f"{first}:100", *shared, f"{0xA0000000 + number:x}:30"])


async def hold(fleet: Fleet) -> bool:
    """Play the variants one after the other; return whether the rule held."""
    results = [await play(fleet, variant) for variant in VARIANTS]
    return all(results)


async def play(fleet: Fleet, variant: Variant) -> bool:
    """Send sound requests and, each second, one with the deadly part."""
    fleet.record.write(variant.name)
    number = VARIANTS.index(variant) + 1
    service = f"llm-{number}"
    chat = route(
        "chat",
        "/chat/",
        "streaming",
        service,
        timeout_ms=TIMEOUT_MS,
        slo_ms=250,
        gap_aim_ms=200,
    )
    fleet.store.put("config", "main", configuration(number, [chat], [API_KEY]))
    crashes = Crashes(variant)
    for index in range(1, WORKERS + 1):
        worker = Worker(fleet.store, fleet.record, f"i-{service}-{index}", service)
        worker.answer = crashes.answer
        await worker.start()
    routers = [
        await fleet.add_router(f"edge-{number}-{index}")
        for index in range(1, ROUTERS + 1)
    ]
    await asyncio.sleep(2.0)

    sound: list[asyncio.Task[Reply]] = []
    began = time.monotonic()
    next_deadly = began + 3.0
    count = 0
    while time.monotonic() < began + SENDING_S:
        is_deadly = time.monotonic() >= next_deadly
        next_deadly += DEADLY_INTERVAL_S if is_deadly else 0.0
        count += 1
        first = DEADLY_PART if is_deadly else SOUND_PART
        headers = {
            "Token-Usage": f"{100 + 20 * (variant.parts - 2) + 30},40",
            "Prefix-Hash": prefix_hash(variant, first, count),
        }
        call = fleet.client.call(
            routers[count % ROUTERS].address,
            "POST",
            "/chat/1",
            b"prompt",
            headers,
            TIMEOUT_MS,
        )
        task = asyncio.create_task(call)
        if not is_deadly:
            sound.append(task)
        await asyncio.sleep(SOUND_INTERVAL_S)
    replies = await asyncio.gather(*sound)
    for router in routers:
        router.kill()
    cut = sum(each.status != 503 and not each.is_whole for each in replies)
    return is_rule_kept(fleet, crashes, f"{cut} of {len(replies)} sound")


def is_rule_kept(fleet: Fleet, crashes: Crashes, cut: str) -> bool:
    """Check the rule on requests that crash workers."""
    late = 0
    if len(crashes.times) >= TOLERATED_CRASHES:
        judged_from = crashes.times[TOLERATED_CRASHES - 1] + CONTACT_S
        late = sum(each > judged_from for each in crashes.deadly_arrivals)
    fleet.record.write(
        f"{len(crashes.times)} crashes; {late} requests with the deadly part reached "
        f"workers over {CONTACT_S:.0f} s after the fifth; {cut} streams were cut off"
    )
    return late <= TOLERATED_REQUESTS


run_case(hold, FOLDER, IS_DISRUPTED)
