"""Speed, memory and behaviour of the decision modules, in virtual time.

Run `python -m bench.decisions --seed=1` from the root. Speeds are printed with the
ratio to a baseline that does the least possible for the same job.
"""

import gc
import time
import tracemalloc
from collections import deque
from collections.abc import Callable, Iterator
from random import Random

import cbor2
from absl import app, flags

from tests.decisions_engine import CATALOG, CLASSES, STEP_MS, Engine, attempt_spec
from tests.test_decisions_limits import Fleet, catalog_with, run
from wigeonwind.catalog import Catalog, Customer, Limit
from wigeonwind.decisions.choice import EndpointChooser
from wigeonwind.decisions.endpoint_queue import EndpointQueue
from wigeonwind.decisions.interfaces import (
    Admitted,
    AttemptKey,
    AttemptSpec,
    Chosen,
    EndpointInfo,
    QueueAction,
    Rejected,
    ReportedLoad,
    RouteRequest,
    StartAttempt,
)
from wigeonwind.decisions.limits import CustomerLimiter

FLAGS = flags.FLAGS
flags.DEFINE_integer("seed", 1, "Seed of all random sources.")
flags.DEFINE_multi_enum(
    "part",
    ["speed", "limits", "burst", "twins"],
    ["speed", "limits", "burst", "twins"],
    "What to run.",
)

QUEUE_OPERATIONS = 20_000
CHOICES = 50_000
CUSTOMERS = 29_000


def per_second(operation: Callable[[int], None], count: int) -> float:
    """Return how often a second `operation(number)` runs, over `count` calls."""
    gc.collect()
    started_s = time.perf_counter()
    for number in range(count):
        operation(number)
    return count / (time.perf_counter() - started_s)


def queue_speed(seed: int, waiting: int) -> float:
    """Return cycles a second of offer, start, ten token events and end."""
    rng = Random(seed)
    queue = EndpointQueue(CATALOG, 8, rng)
    names = ["dossier"] * 8 + ["tagging", "chat"]
    running = deque()

    def fill(number: int) -> None:
        name = rng.choice(names) if number >= waiting else "dossier"
        work = attempt_spec(f"r{number}", name, float(number), f"c{number % 50}")
        # Tokens are delivered at once, so that the queue keeps its length.
        queue.offer(work, float(number))

    for number in range(waiting):
        fill(number)

    def cycle(number: int) -> None:
        now_ms = float(waiting + number)
        fill(waiting + number)
        for action in queue.actions(now_ms):
            if isinstance(action, StartAttempt):
                running.append(action.spec.key)
        key = running.popleft()
        for _ in range(10):
            queue.on_tokens(key, 1, now_ms)
        queue.on_done(key, now_ms)

    speed = per_second(cycle, QUEUE_OPERATIONS)
    left = dict(queue.report(0.0).waiting_by_class)
    print(f"  waiting at the end: {sum(left.values())}")
    return speed


def fifo_speed(waiting: int) -> float:
    """Return cycles a second of a plain first-in first-out queue."""
    queue = deque(attempt_spec(f"r{number}", "dossier") for number in range(waiting))

    def cycle(number: int) -> None:
        queue.append(
            attempt_spec(f"r{number}", "dossier", float(number), f"c{number % 50}")
        )
        queue.popleft()

    return per_second(cycle, QUEUE_OPERATIONS)


def choice_speed(seed: int, endpoints: int, prefixes: bool) -> float:
    """Return choices a second with reports, sending and ending."""
    chooser = EndpointChooser("a", Random(seed))
    zones = ("a", "b", "c")
    infos = [EndpointInfo(f"e{n}", zones[n % 3], "llm") for n in range(endpoints)]
    chooser.set_endpoints(tuple(infos), 0.0)
    for info in infos:
        load = ReportedLoad(4, 8, (("chat", 3),), 200.0, 20.0, 100.0, 0)
        chooser.on_load(info.endpoint_id, load, 0.0)
    sent: deque[str] = deque()

    def cycle(number: int) -> None:
        now_ms = number * 0.2
        keys = (number % 97, number % 997 + 1000) if prefixes else ()
        request = RouteRequest("llm", "chat", 0, 100, prefix_keys=keys)
        chosen = chooser.choose(request, now_ms, frozenset())
        assert isinstance(chosen, Chosen)
        chooser.on_sent(chosen.endpoint_id, request, now_ms)
        sent.append(chosen.endpoint_id)
        if len(sent) > 60:
            chooser.on_ended(sent.popleft(), request, True, now_ms)

    return per_second(cycle, CHOICES)


def random_choice_speed(seed: int, endpoints: int) -> float:
    """Return choices a second of a plain random choice."""
    rng = Random(seed)
    names = [f"e{n}" for n in range(endpoints)]
    return per_second(lambda number: rng.choice(names) and None, CHOICES)


def limiter_speed_and_memory(seed: int) -> None:
    """Print checks a second and bytes for each active customer."""
    limit = Limit(requests_per_s=20.0, tokens_per_s=4000.0, concurrency=16)
    customers = {f"c{n}": Customer(f"c{n}", limit=limit) for n in range(CUSTOMERS)}
    catalog = Catalog(1, customer_by_name=customers)
    entries = tuple(f"e{n}" for n in range(390))
    rng = Random(seed)
    order = [f"c{rng.randrange(CUSTOMERS)}" for _ in range(CUSTOMERS)]
    limiter = CustomerLimiter(catalog, "e0")
    limiter.set_entries(entries)

    def cycle(number: int) -> None:
        name = order[number % CUSTOMERS]
        now_ms = number * 0.08
        limiter.check(name, "chat", 100, now_ms)
        limiter.on_tokens(name, "chat", 50, now_ms)
        limiter.on_ended(name, "chat", now_ms)

    first = per_second(cycle, CUSTOMERS)
    again = per_second(cycle, CUSTOMERS)
    baseline: dict[str, int] = {}

    def count_only(number: int) -> None:
        name = order[number % CUSTOMERS]
        baseline[name] = baseline.get(name, 0) + 1

    plain = per_second(count_only, CUSTOMERS)
    print(f"limiter: {first:,.0f}/s with 390 entries, new state for each customer")
    print(f"limiter: {again:,.0f}/s known customers, {plain / again:.0f}x a dict count")
    gc.collect()
    tracemalloc.start()
    fresh = CustomerLimiter(catalog, "e0")
    fresh.set_entries(entries)
    for name in customers:
        fresh.check(name, "chat", 100, 0.0)
    gc.collect()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    print(f"limiter: {size / CUSTOMERS:,.0f} bytes for each active customer")


def limit_overshoot(seed: int) -> None:
    """Print the largest windows relative to the limit, for several fleets."""
    for entries, loss, change_at_s in [
        (1, 0.0, None),
        (5, 0.0, None),
        (20, 0.0, None),
        (20, 0.3, None),
        (20, 0.0, 5),
        (20, 0.3, 5),
    ]:
        names = [f"e{number}" for number in range(entries)]
        fleet = Fleet(names, catalog_with(Limit(requests_per_s=40.0)), loss, seed)
        run(fleet, 20.0, 8, change_at_s)
        second = fleet.largest_window(1000.0) / 40.0
        total = len(fleet.admitted) / (40.0 * 20.0)
        print(
            f"limit 40/s offered 800/s, {entries} entries, loss {loss:.0%}, "
            f"home change {change_at_s}: 1 s window {second:.2f}x, 20 s {total:.2f}x"
        )


def grant_messages(streams: int = 220, seconds: float = 20.0) -> None:
    """Print the rows an entry sends for streams of as many limited customers."""
    limit = Limit(requests_per_s=20.0, tokens_per_s=4000.0, concurrency=16)
    customers = {f"c{n}": Customer(f"c{n}", limit=limit) for n in range(streams)}
    for name, used in (
        ("concurrency", Limit(concurrency=16)),
        ("all limits", limit),
    ):
        catalog = Catalog(
            1, customer_by_name={n: Customer(n, limit=used) for n in customers}
        )
        entry = CustomerLimiter(catalog, "e0")
        home = CustomerLimiter(catalog, "e1")
        for limiter in (entry, home):
            limiter.set_entries(tuple(f"e{n}" for n in range(390)))
        for customer in customers:
            entry.check(customer, "chat", 100, 0.0)
        rows = size = 0
        for step in range(int(seconds * 1000 / 50)):
            now_ms = step * 50.0
            for customer in customers:
                entry.on_tokens(customer, "chat", 1, now_ms)
            for asked in entry.due_grant_requests(now_ms).values():
                rows += len(asked)
                size += len(cbor2.dumps(asked))
                entry.on_grant(
                    home.on_grant_request("e0", asked, now_ms), 1000.0, now_ms
                )
        print(
            f"grants, {name}: {rows / seconds:,.0f} rows/s, {size / seconds:,.0f} "
            f"bytes/s asked by an entry with {streams} streams"
        )


def offers(seed: int, seconds: float, chat_per_s: float, lower_per_s: float) -> list:
    """Return rows of step, name, class and tokens, with a wide spread of lengths."""
    chat_rng, lower_rng = Random(seed), Random(seed + 1)
    rows = []
    for step in range(int(seconds * 1000 / STEP_MS)):
        in_burst = 0.25 <= step * STEP_MS / 1000 / seconds <= 0.75
        rate = chat_per_s * (1.0 if in_burst else 0.2)
        if chat_rng.random() < rate * STEP_MS / 1000:
            tokens = int(min(800, chat_rng.lognormvariate(4.0, 0.8)))
            rows.append((step, f"chat-{step}", "chat", tokens + 1))
        if lower_rng.random() < lower_per_s * STEP_MS / 1000:
            name = lower_rng.choice(("tagging", "dossier"))
            tokens = int(min(4000, lower_rng.lognormvariate(5.0, 1.0)))
            rows.append((step, f"{name}-{step}", name, tokens + 1))
    return rows


def serve(rows: list, slots: int, seconds: float, policy: str = "") -> Engine:
    """Run the rows through a queue and an engine; drain for as long again."""
    engine = Engine(slots)
    if policy == "fifo":
        engine.queue = FifoQueue(slots)
    by_step: dict[int, list] = {}
    for row in rows:
        by_step.setdefault(row[0], []).append(row)
    for step in range(int(2 * seconds * 1000 / STEP_MS)):
        for _, name, class_name, tokens in by_step.get(step, ()):
            engine.offer(attempt_spec(name, class_name, engine.now_ms), tokens)
        engine.step()
    return engine


class FifoQueue(EndpointQueue):
    """The baseline: first come first served, nothing refused, paused or expired."""

    def __init__(self, slots: int) -> None:
        super().__init__(Catalog(0), slots, Random(0))
        self._items: deque = deque()
        self._busy = 0

    def offer(self, item: AttemptSpec, now_ms: float) -> Admitted | Rejected:
        """Admit everything."""
        self._items.append(item)
        return Admitted(len(self._items) - 1)

    def actions(self, now_ms: float) -> Iterator[QueueAction]:
        """Start the oldest."""
        while self._busy < self._slots and self._items:
            self._busy += 1
            yield StartAttempt(self._items.popleft())

    def on_done(self, key: AttemptKey, now_ms: float) -> None:
        """Free the slot."""
        self._busy -= 1


def burst(seed: int, policy: str, seconds: float = 120.0) -> None:
    """Print what a chat burst of twice the capacity does to each class."""
    rows = offers(seed, seconds, 10.0, 0.8)
    engine = serve(rows, 8, seconds, policy)
    for part in CLASSES:
        own = [row for row in rows if row[2] == part.name]
        done = [row for row in own if row[1] in engine.finished_ms]
        times = engine.started_ms if part.name == "chat" else engine.finished_ms
        limit_ms = part.target.limit_ms
        met = sum(times[row[1]] - row[0] * STEP_MS <= limit_ms for row in done)
        refused = sum(row[1] in engine.rejected for row in own)
        expired = sum(row[1] in engine.expired for row in own)
        print(
            f"burst {policy} {part.name}: offered {len(own)}, refused {refused}, "
            f"expired {expired}, finished {len(done)}, on time {met / len(own):.0%}"
        )
    report = engine.queue.report(0.0)
    print(f"burst {policy}: pauses {report.pauses}, dropped {report.dropped_tokens}")


def twins(seed: int, runs: int = 20, seconds: float = 60.0) -> None:
    """Print how many urgent refusals differ with and without lower work.

    Lengths vary here, and are learnt earlier where no lower work delays the answers;
    that is the only path by which lower work reaches the decision.
    """
    extra = fewer = total = 0
    for number in range(runs):
        rows = offers(seed + 10 * number, seconds, 10.0, 0.8)
        both = serve(rows, 8, seconds)
        alone = serve([row for row in rows if row[2] == "chat"], 8, seconds)
        with_lower = {n for n in {*both.rejected, *both.expired} if "chat" in n}
        without = {*alone.rejected, *alone.expired}
        extra += len(with_lower - without)
        fewer += len(without - with_lower)
        total += len(without)
    print(f"twins: {total} refused alone, {extra} only with lower work, {fewer} fewer")


def speeds(seed: int) -> None:
    """Print operations a second."""
    for waiting in (10, 1000, 5000):
        speed = queue_speed(seed, waiting)
        plain = fifo_speed(waiting)
        print(
            f"queue: {speed:,.0f} cycles/s at {waiting} waiting, {plain / speed:.0f}x"
        )
    plain = random_choice_speed(seed, 20)
    for prefixes in (False, True):
        speed = choice_speed(seed, 20, prefixes)
        ratio = plain / speed
        print(f"choice: {speed:,.0f}/s of 20, prefixes {prefixes}, {ratio:.0f}x random")
    limiter_speed_and_memory(seed)


def main(_: list[str]) -> None:
    """Run the parts asked for."""
    seed = FLAGS.seed
    if "speed" in FLAGS.part:
        speeds(seed)
    if "limits" in FLAGS.part:
        limit_overshoot(seed)
        grant_messages()
    if "burst" in FLAGS.part:
        burst(seed, "fifo")
        burst(seed, "queue")
    if "twins" in FLAGS.part:
        twins(seed)


if __name__ == "__main__":
    app.run(main)
