"""Compare policies of endpoint selection in virtual time.

Several entries send requests to the same endpoints and receive delayed load reports.
Each policy is run with and without a straggler among the endpoints.

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
flags.DEFINE_integer("seed", 1, "Seed of all random number generators.")

ENTRY_COUNT = 8
ENDPOINT_COUNT = 20
SLOTS = 8
MEAN_TOKENS = 60.0
MS_PER_TOKEN = 20.0
STRAGGLER_FACTOR = 5.0
REPORT_INTERVAL_MS = 1000.0
ARRIVAL_DURATION_S = 60.0
REQUEST = RouteRequest("llm", "chat", 0, 100)


class Endpoint:
    """An endpoint with SLOTS slots and a FIFO queue; streams its answers in chunks."""

    def __init__(self, number: int, is_straggler: bool) -> None:
        self.name = f"e{number}"
        self.ms_per_token = MS_PER_TOKEN * (STRAGGLER_FACTOR if is_straggler else 1.0)
        self.running = 0
        self.queue: deque = deque()


class Simulation:
    """One run of one policy.

    The policy is `random`, `least-reported` (the endpoint with the lowest reported
    load) or `chooser` (EndpointChooser).
    """

    def __init__(self, policy: str, load: float, straggler: bool, seed: int) -> None:
        self.policy = policy
        self.rng = Random(seed)
        self.endpoints = [
            Endpoint(n, straggler and n == 0) for n in range(ENDPOINT_COUNT)
        ]
        self.reported_loads = [0] * ENDPOINT_COUNT
        endpoint_infos = tuple(EndpointInfo(e.name, "a", "llm") for e in self.endpoints)
        self.choosers = [
            EndpointChooser("a", Random(seed + n)) for n in range(ENTRY_COUNT)
        ]
        for chooser in self.choosers:
            chooser.set_endpoints(endpoint_infos, 0.0)
        self.arrivals_per_ms = (
            load * ENDPOINT_COUNT * SLOTS / (MEAN_TOKENS * MS_PER_TOKEN)
        )
        self.events: list = []
        self.event_numbers = count()
        self.first_token_latencies_ms: list[float] = []

    def schedule(self, at_ms: float, *event: object) -> None:
        """Schedule an event."""
        heappush(self.events, (at_ms, next(self.event_numbers), event))

    def run(self) -> list[float]:
        """Return the times to first token of all requests in ms, sorted."""
        self.schedule(0.0, "arrive")
        self.schedule(0.0, "report")
        while self.events:
            now_ms, _, event = heappop(self.events)
            kind, *rest = event
            if kind in ("arrive", "report") and now_ms > ARRIVAL_DURATION_S * 1000:
                continue
            getattr(self, kind)(now_ms, *rest)
        return sorted(self.first_token_latencies_ms)

    def arrive(self, now_ms: float) -> None:
        """Send one request and schedule the next."""
        entry = self.rng.randrange(ENTRY_COUNT)
        endpoint = self.endpoints[self.choose(entry, now_ms)]
        chooser = self.choosers[entry]
        chooser.on_sent(endpoint.name, REQUEST, now_ms)
        tokens = 1 + int(self.rng.expovariate(1.0 / MEAN_TOKENS))
        endpoint.queue.append((now_ms, entry, tokens))
        self.start_queued(now_ms, endpoint)
        self.schedule(now_ms + self.rng.expovariate(self.arrivals_per_ms), "arrive")

    def choose(self, entry: int, now_ms: float) -> int:
        """Return the index of the endpoint that the policy selects."""
        if self.policy == "random":
            return self.rng.randrange(ENDPOINT_COUNT)
        if self.policy == "least-reported":
            return min(range(ENDPOINT_COUNT), key=lambda n: (self.reported_loads[n], n))
        chosen = self.choosers[entry].choose(REQUEST, now_ms, frozenset())
        assert isinstance(chosen, Chosen)
        return int(chosen.endpoint_id[1:])

    def start_queued(self, now_ms: float, endpoint: Endpoint) -> None:
        """Start queued requests in free slots."""
        while endpoint.queue and endpoint.running < SLOTS:
            sent_ms, entry, tokens = endpoint.queue.popleft()
            endpoint.running += 1
            first_ms = now_ms + endpoint.ms_per_token
            self.first_token_latencies_ms.append(first_ms - sent_ms)
            self.schedule(first_ms, "token", endpoint, entry, tokens, 0)

    def token(
        self, now_ms: float, endpoint: Endpoint, entry: int, tokens: int, sent: int
    ) -> None:
        """Deliver a chunk of up to five tokens, or end the answer after its last one.

        `sent` is the number of tokens that were delivered before.
        """
        chooser = self.choosers[entry]
        if not sent:
            chooser.on_first_token(endpoint.name, 0.0, now_ms)
        if sent >= tokens:
            endpoint.running -= 1
            chooser.on_ended(endpoint.name, REQUEST, True, now_ms)
            self.start_queued(now_ms, endpoint)
            return
        chunk = min(5, tokens - sent)
        chooser.on_tokens(endpoint.name, chunk, now_ms)
        next_ms = now_ms + chunk * endpoint.ms_per_token
        self.schedule(next_ms, "token", endpoint, entry, tokens, sent + chunk)

    def report(self, now_ms: float) -> None:
        """Report the load of all endpoints; the entries receive it 200 ms later."""
        rows = [(e.running, len(e.queue)) for e in self.endpoints]
        self.schedule(now_ms + 200.0, "deliver", rows)
        self.schedule(now_ms + REPORT_INTERVAL_MS, "report")

    def deliver(self, now_ms: float, rows: list) -> None:
        """Deliver a report to all entries."""
        self.reported_loads = [running + waiting for running, waiting in rows]
        for endpoint, (running, waiting) in zip(self.endpoints, rows, strict=True):
            queued = (("chat", waiting),)
            load = ReportedLoad(running, SLOTS, queued, 200.0, MS_PER_TOKEN, 0.0, 0)
            for chooser in self.choosers:
                chooser.on_load(endpoint.name, load, now_ms)


def result_lines(seed: int) -> Iterator[str]:
    """Yield one line for each combination of load, straggler and policy."""
    for load in (0.5, 0.8, 0.9):
        for straggler in (False, True):
            for policy in ("random", "least-reported", "chooser"):
                latencies_ms = Simulation(policy, load, straggler, seed).run()
                p50, p95, p99 = (
                    latencies_ms[int(len(latencies_ms) * q)] for q in (0.5, 0.95, 0.99)
                )
                yield (
                    f"load {load:.0%} straggler {straggler} {policy}: first token "
                    f"p50 {p50:,.0f} ms, p95 {p95:,.0f} ms, p99 {p99:,.0f} ms"
                )


def main(_: list[str]) -> None:
    """Print the results."""
    for line in result_lines(FLAGS.seed):
        print(line)


if __name__ == "__main__":
    app.run(main)
