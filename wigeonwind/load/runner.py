"""Open-loop load: requests leave when the plan says, whatever became of others."""

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

READY_POLL_MS = 100.0
READY_TIMEOUT_MS = 1_000.0
MAX_OPEN_REQUESTS = 5_000
"""Requests open at a time; the generator waits beyond, which its report shows."""


@dataclass
class Progress:
    """Counts of a run that is going on."""

    sent: int = 0
    in_flight: int = 0
    whole: int = 0
    refused: int = 0
    other: int = 0


@dataclass
class EntryBalancer:
    """Sends callers to entries that are ready, as the platform's load balancer does."""

    entries: list[SocketAddress]
    ready: set[SocketAddress] = field(default_factory=set)
    _greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Look at all entries once and then go on in the background."""
        self._look()
        self._greenlet = gevent.spawn(self._watch)

    def stop(self) -> None:
        """Stop looking."""
        if self._greenlet is not None:
            self._greenlet.kill()

    def choose(self, number: int) -> SocketAddress:
        """Return a ready entry; any entry if none is ready."""
        found = [entry for entry in self.entries if entry in self.ready]
        found = found or self.entries
        return found[number % len(found)]

    def _watch(self) -> None:
        while True:
            gevent.sleep(READY_POLL_MS / MS_PER_SECOND)
            self._look()

    def _look(self) -> None:
        entries = tuple(self.entries)
        looks = [gevent.spawn(_is_ready, entry) for entry in entries]
        gevent.joinall(looks)
        answers = zip(entries, looks, strict=True)
        self.ready = {entry for entry, look in answers if look.value}


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
    """Runs a plan against entries and collects what the callers saw."""

    def __init__(
        self,
        plan: LoadPlan,
        entries: Sequence[SocketAddress],
        limit_ms: float = 120_000.0,
        on_end: Callable[[RequestSeen], None] | None = None,
    ) -> None:
        self.plan = plan
        self.balancer = EntryBalancer(list(entries))
        self.progress = Progress()
        self.seen: list[RequestSeen] = []
        self._limit_ms = limit_ms
        self._on_end = on_end
        self._pool = Pool(MAX_OPEN_REQUESTS)
        self.started_ms = 0.0

    def run(self) -> list[RequestSeen]:
        """Send all requests, wait for their ends and return them."""
        self.balancer.start()
        self.started_ms = wall_ms()
        try:
            for planned in RequestGenerator(self.plan).requests():
                intended_ms = self.started_ms + planned.at_ms
                wait_ms = intended_ms - wall_ms()
                gevent.sleep(max(0.0, wait_ms) / MS_PER_SECOND)
                self.progress.sent += 1
                self._pool.spawn(self._call, planned, intended_ms)
            self._pool.join()
        finally:
            self._pool.kill()
            self.balancer.stop()
        return self.seen

    def _call(self, planned: PlannedRequest, intended_ms: float) -> None:
        entry = self.balancer.choose(planned.target)
        progress = self.progress
        progress.in_flight += 1
        seen = Caller(planned, entry, intended_ms, self._limit_ms).call()
        progress.in_flight -= 1
        progress.whole += seen.end is End.WHOLE
        progress.refused += seen.end is End.REFUSED
        progress.other += seen.end not in (End.WHOLE, End.REFUSED)
        self.seen.append(seen)
        if self._on_end is not None:
            self._on_end(seen)
