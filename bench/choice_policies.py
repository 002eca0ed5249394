"""Choice of endpoints in virtual time: several entries, stale reports, a straggler.

Run `python -m bench.choice_policies --seed=1` from the root.
"""

from collections import deque
from collections.abc import Iterator
from heapq import heappop, heappush
from itertools import count
from random import Random

from absl import app, flags

from wigeonwind.decisions.choice import EndpointChooser
from wigeonwind.decisions.interfaces import (
    Chosen,
    EndpointInfo,
    ReportedLoad,
    RouteRequest,
)

FLAGS = flags.FLAGS
flags.DEFINE_integer("seed", 1, "Seed of all random sources.")

ENTRIES = 8
ENDPOINTS = 20
SLOTS = 8
MEAN_TOKENS = 60.0
MS_PER_TOKEN = 20.0
STRAGGLER_FACTOR = 5.0
REPORT_MS = 1000.0
SECONDS = 60.0
REQUEST = RouteRequest("llm", "chat", 0, 100)


class Endpoint:
    """Slots and a queue; streams a chunk after each tenth of an answer."""

    def __init__(self, number: int, is_slow: bool) -> None:
        self.name = f"e{number}"
        self.ms_per_token = MS_PER_TOKEN * (STRAGGLER_FACTOR if is_slow else 1.0)
        self.running = 0
        self.queue: deque = deque()


class Simulation:
    """One run of one policy: random, least-reported or chooser."""

    def __init__(self, policy: str, load: float, straggler: bool, seed: int) -> None:
        self.policy = policy
        self.rng = Random(seed)
        self.endpoints = [Endpoint(n, straggler and n == 0) for n in range(ENDPOINTS)]
        self.reported = [0] * ENDPOINTS
        infos = tuple(EndpointInfo(e.name, "a", "llm") for e in self.endpoints)
        self.choosers = [EndpointChooser("a", Random(seed + n)) for n in range(ENTRIES)]
        for chooser in self.choosers:
            chooser.set_endpoints(infos, 0.0)
        self.per_ms = load * ENDPOINTS * SLOTS / (MEAN_TOKENS * MS_PER_TOKEN)
        self.events: list = []
        self.numbers = count()
        self.waits: list[float] = []

    def push(self, at_ms: float, *event: object) -> None:
        """Schedule an event."""
        heappush(self.events, (at_ms, next(self.numbers), event))

    def run(self) -> list[float]:
        """Return the times to first token of all requests, sorted."""
        self.push(0.0, "arrive")
        self.push(0.0, "report")
        while self.events:
            now_ms, _, event = heappop(self.events)
            kind, *rest = event
            if kind in ("arrive", "report") and now_ms > SECONDS * 1000:
                continue
            getattr(self, kind)(now_ms, *rest)
        return sorted(self.waits)

    def arrive(self, now_ms: float) -> None:
        """Send one request and schedule the next."""
        entry = self.rng.randrange(ENTRIES)
        endpoint = self.endpoints[self.choose(entry, now_ms)]
        chooser = self.choosers[entry]
        chooser.on_sent(endpoint.name, REQUEST, now_ms)
        tokens = 1 + int(self.rng.expovariate(1.0 / MEAN_TOKENS))
        endpoint.queue.append((now_ms, entry, tokens))
        self.start(now_ms, endpoint)
        self.push(now_ms + self.rng.expovariate(self.per_ms), "arrive")

    def choose(self, entry: int, now_ms: float) -> int:
        """Return the number of the endpoint the policy takes."""
        if self.policy == "random":
            return self.rng.randrange(ENDPOINTS)
        if self.policy == "least-reported":
            return min(range(ENDPOINTS), key=lambda n: (self.reported[n], n))
        chosen = self.choosers[entry].choose(REQUEST, now_ms, frozenset())
        assert isinstance(chosen, Chosen)
        return int(chosen.endpoint_id[1:])

    def start(self, now_ms: float, endpoint: Endpoint) -> None:
        """Start queued requests in free slots."""
        while endpoint.queue and endpoint.running < SLOTS:
            sent_ms, entry, tokens = endpoint.queue.popleft()
            endpoint.running += 1
            first_ms = now_ms + endpoint.ms_per_token
            self.waits.append(first_ms - sent_ms)
            self.push(first_ms, "token", endpoint, entry, tokens, 0)

    def token(
        self, now_ms: float, endpoint: Endpoint, entry: int, tokens: int, sent: int
    ) -> None:
        """Deliver a chunk of up to five tokens, or end the answer."""
        chooser = self.choosers[entry]
        if not sent:
            chooser.on_first_token(endpoint.name, 0.0, now_ms)
        if sent >= tokens:
            endpoint.running -= 1
            chooser.on_ended(endpoint.name, REQUEST, True, now_ms)
            self.start(now_ms, endpoint)
            return
        chunk = min(5, tokens - sent)
        chooser.on_tokens(endpoint.name, chunk, now_ms)
        next_ms = now_ms + chunk * endpoint.ms_per_token
        self.push(next_ms, "token", endpoint, entry, tokens, sent + chunk)

    def report(self, now_ms: float) -> None:
        """Report the load of all endpoints to all entries, 200 ms late."""
        rows = [(e.running, len(e.queue)) for e in self.endpoints]
        self.push(now_ms + 200.0, "deliver", rows)
        self.push(now_ms + REPORT_MS, "report")

    def deliver(self, now_ms: float, rows: list) -> None:
        """Hand a report to all entries."""
        self.reported = [running + waiting for running, waiting in rows]
        for endpoint, (running, waiting) in zip(self.endpoints, rows, strict=True):
            queued = (("chat", waiting),)
            load = ReportedLoad(running, SLOTS, queued, 200.0, MS_PER_TOKEN, 0.0, 0)
            for chooser in self.choosers:
                chooser.on_load(endpoint.name, load, now_ms)


def results(seed: int) -> Iterator[str]:
    """Yield one line for each load, straggler and policy."""
    for load in (0.5, 0.8, 0.9):
        for straggler in (False, True):
            for policy in ("random", "least-reported", "chooser"):
                waits = Simulation(policy, load, straggler, seed).run()
                p50, p95, p99 = (waits[int(len(waits) * q)] for q in (0.5, 0.95, 0.99))
                yield (
                    f"load {load:.0%} straggler {straggler} {policy}: first token "
                    f"p50 {p50:,.0f} ms, p95 {p95:,.0f} ms, p99 {p99:,.0f} ms"
                )


def main(_: list[str]) -> None:
    """Print the results."""
    for line in results(FLAGS.seed):
        print(line)


if __name__ == "__main__":
    app.run(main)
