"""Open-loop load: requests are sent at their planned times, regardless of responses."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

import gevent
from gevent.pool import Pool

from wigeonwind.addresses import SocketAddress
from wigeonwind.checking.history import End, RequestSeen
from wigeonwind.clock import MS_PER_SECOND
from wigeonwind.load.caller import Caller, wall_ms
from wigeonwind.load.plan import LoadPlan, PlannedRequest, RequestGenerator
from wigeonwind.side.endpoint_http import HttpExchange, HttpHead

READY_POLL_INTERVAL_MS = 100.0
READY_TIMEOUT_MS = 1_000.0
MAX_CONCURRENT_REQUESTS = 5_000
"""The generator waits when this many requests are in flight. The requests that it sends
late for this reason are counted in the report."""


@dataclass
class Progress:
    """Request counts of a run in progress."""

    sent: int = 0
    in_flight: int = 0
    whole: int = 0
    refused: int = 0
    other: int = 0


@dataclass
class EntryBalancer:
    """Chooses among the ready entries, as the platform's load balancer does."""

    entries: list[SocketAddress]
    ready: set[SocketAddress] = field(default_factory=set)
    _greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Poll all entries once, then continue in the background."""
        self._poll()
        self._greenlet = gevent.spawn(self._poll_loop)

    def stop(self) -> None:
        """Stop polling."""
        if self._greenlet is not None:
            self._greenlet.kill()

    def choose(self, number: int) -> SocketAddress:
        """Return the ready entry selected by `number`; any entry if none is ready."""
        candidates = [entry for entry in self.entries if entry in self.ready]
        candidates = candidates or self.entries
        return candidates[number % len(candidates)]

    def _poll_loop(self) -> None:
        while True:
            gevent.sleep(READY_POLL_INTERVAL_MS / MS_PER_SECOND)
            self._poll()

    def _poll(self) -> None:
        entries = tuple(self.entries)
        checks = [gevent.spawn(_is_ready, entry) for entry in entries]
        gevent.joinall(checks)
        results = zip(entries, checks, strict=True)
        self.ready = {entry for entry, check in results if check.value}


def _is_ready(entry: SocketAddress) -> bool:
    exchange = HttpExchange(entry, READY_TIMEOUT_MS)
    try:
        if exchange.connect() is not None:
            return False
        head = exchange.request("GET", "/readyz", [], b"")
        return isinstance(head, HttpHead) and head.status == 200
    finally:
        exchange.close()


class LoadRunner:
    """Sends the requests of a plan to entries and collects their results.

    `on_end` is called with the record of each request when it has ended.
    """

    def __init__(
        self,
        plan: LoadPlan,
        entries: Sequence[SocketAddress],
        timeout_ms: float = 120_000.0,
        on_end: Callable[[RequestSeen], None] | None = None,
    ) -> None:
        self.plan = plan
        self.balancer = EntryBalancer(list(entries))
        self.progress = Progress()
        self.records: list[RequestSeen] = []
        self._timeout_ms = timeout_ms
        self._on_end = on_end
        self._pool = Pool(MAX_CONCURRENT_REQUESTS)
        self.started_ms = 0.0

    def run(self) -> list[RequestSeen]:
        """Send all requests, wait until they have ended and return their records."""
        self.balancer.start()
        self.started_ms = wall_ms()
        try:
            for planned in RequestGenerator(self.plan).requests():
                intended_ms = self.started_ms + planned.at_ms
                wait_ms = intended_ms - wall_ms()
                gevent.sleep(max(0.0, wait_ms) / MS_PER_SECOND)
                self.progress.sent += 1
                self._pool.spawn(self._send, planned, intended_ms)
            self._pool.join()
        finally:
            self._pool.kill()
            self.balancer.stop()
        return self.records

    def _send(self, planned: PlannedRequest, intended_ms: float) -> None:
        entry = self.balancer.choose(planned.entry_number)
        progress = self.progress
        progress.in_flight += 1
        record = Caller(planned, entry, intended_ms, self._timeout_ms).call()
        progress.in_flight -= 1
        progress.whole += record.end is End.WHOLE
        progress.refused += record.end is End.REFUSED
        progress.other += record.end not in (End.WHOLE, End.REFUSED)
        self.records.append(record)
        if self._on_end is not None:
            self._on_end(record)
