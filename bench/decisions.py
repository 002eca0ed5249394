"""Measure speed, memory and behaviour of the decision modules in virtual time.

Run `python -m bench.decisions --seed=1` from the root. Each speed is printed with its
ratio to that of a minimal baseline, such as a plain queue or a random choice.
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
from wigeonwind.decisions.limits import RequestLimiter

FLAGS = flags.FLAGS
flags.DEFINE_integer("seed", 1, "Seed of all random number generators.")
flags.DEFINE_multi_enum(
    "part",
    ["speed", "limits", "burst", "twins"],
    ["speed", "limits", "burst", "twins"],
    "Measurements to run.",
)

QUEUE_CYCLES = 20_000
CHOICE_COUNT = 50_000
CUSTOMER_COUNT = 29_000


def calls_per_second(operation: Callable[[int], None], count: int) -> float:
    """Call `operation(number)` `count` times and return the calls per second."""
    gc.collect()
    started_s = time.perf_counter()
    for number in range(count):
        operation(number)
    return count / (time.perf_counter() - started_s)


def queue_speed(seed: int, waiting: int) -> float:
    """Return cycles per second of offer, start, ten token events and end."""
    rng = Random(seed)
    queue = EndpointQueue(CATALOG, 8, rng)
    names = ["dossier"] * 8 + ["tagging", "chat"]
    running = deque()

    def offer_attempt(number: int) -> None:
        name = rng.choice(names) if number >= waiting else "dossier"
        spec = attempt_spec(f"r{number}", name, float(number), f"c{number % 50}")
        # Each cycle offers one attempt and delivers all tokens of a running one at
        # once, so the queue keeps its length.
        queue.offer(spec, float(number))

    for number in range(waiting):
        offer_attempt(number)

    def cycle(number: int) -> None:
        now_ms = float(waiting + number)
        offer_attempt(waiting + number)
        for action in queue.due_actions(now_ms):
            if isinstance(action, StartAttempt):
                running.append(action.spec.key)
        key = running.popleft()
        for _ in range(10):
            queue.on_tokens(key, 1, now_ms)
        queue.on_done(key, now_ms)

    speed = calls_per_second(cycle, QUEUE_CYCLES)
    remaining = dict(queue.report(0.0).waiting_by_class)
    print(f"  waiting at the end: {sum(remaining.values())}")
    return speed


def fifo_speed(waiting: int) -> float:
    """Return cycles per second of a plain first-in first-out queue."""
    queue = deque(attempt_spec(f"r{number}", "dossier") for number in range(waiting))

    def cycle(number: int) -> None:
        queue.append(
            attempt_spec(f"r{number}", "dossier", float(number), f"c{number % 50}")
        )
        queue.popleft()

    return calls_per_second(cycle, QUEUE_CYCLES)


def choice_speed(seed: int, endpoints: int, prefixes: bool) -> float:
    """Return cycles per second of choosing an endpoint, sending and ending."""
    chooser = EndpointChooser("a", Random(seed))
    zones = ("a", "b", "c")
    endpoint_infos = [
        EndpointInfo(f"e{n}", zones[n % 3], "llm") for n in range(endpoints)
    ]
    chooser.set_endpoints(tuple(endpoint_infos), 0.0)
    for info in endpoint_infos:
        load = ReportedLoad(4, 8, (("chat", 3),), 200.0, 20.0, 100.0, 0)
        chooser.on_load(info.endpoint_id, load, 0.0)
    sent_to: deque[str] = deque()

    def cycle(number: int) -> None:
        now_ms = number * 0.2
        keys = (number % 97, number % 997 + 1000) if prefixes else ()
        request = RouteRequest("llm", "chat", 0, 100, prefix_keys=keys)
        chosen = chooser.choose(request, now_ms, frozenset())
        assert isinstance(chosen, Chosen)
        chooser.on_sent(chosen.endpoint_id, request, now_ms)
        sent_to.append(chosen.endpoint_id)
        if len(sent_to) > 60:
            chooser.on_ended(sent_to.popleft(), request, True, now_ms)

    return calls_per_second(cycle, CHOICE_COUNT)


def random_choice_speed(seed: int, endpoints: int) -> float:
    """Return choices per second of a uniformly random choice."""
    rng = Random(seed)
    names = [f"e{n}" for n in range(endpoints)]
    return calls_per_second(lambda number: rng.choice(names) and None, CHOICE_COUNT)


def print_limiter_speed_and_memory(seed: int) -> None:
    """Print the checks per second and the bytes for each active customer."""
    limit = Limit(requests_per_s=20.0, tokens_per_s=4000.0, concurrency=16)
    customers = {f"c{n}": Customer(f"c{n}", limit=limit) for n in range(CUSTOMER_COUNT)}
    catalog = Catalog(1, customer_by_name=customers)
    entries = tuple(f"e{n}" for n in range(390))
    rng = Random(seed)
    customer_names = [
        f"c{rng.randrange(CUSTOMER_COUNT)}" for _ in range(CUSTOMER_COUNT)
    ]
    limiter = RequestLimiter(catalog, "e0")
    limiter.set_entries(entries)

    def cycle(number: int) -> None:
        name = customer_names[number % CUSTOMER_COUNT]
        now_ms = number * 0.08
        limiter.check(name, "chat", 100, now_ms)
        limiter.on_tokens(name, "chat", 50, now_ms)
        limiter.on_ended(name, "chat", now_ms)

    create_rate = calls_per_second(cycle, CUSTOMER_COUNT)
    reuse_rate = calls_per_second(cycle, CUSTOMER_COUNT)
    count_by_customer: dict[str, int] = {}

    def count_only(number: int) -> None:
        name = customer_names[number % CUSTOMER_COUNT]
        count_by_customer[name] = count_by_customer.get(name, 0) + 1

    baseline_rate = calls_per_second(count_only, CUSTOMER_COUNT)
    print(
        f"limiter: {create_rate:,.0f}/s with 390 entries, new state for each customer"
    )
    print(
        f"limiter: {reuse_rate:,.0f}/s known customers, "
        f"{baseline_rate / reuse_rate:.0f}x a dict count"
    )
    gc.collect()
    tracemalloc.start()
    measured_limiter = RequestLimiter(catalog, "e0")
    measured_limiter.set_entries(entries)
    for name in customers:
        measured_limiter.check(name, "chat", 100, 0.0)
    gc.collect()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    print(f"limiter: {size / CUSTOMER_COUNT:,.0f} bytes for each active customer")


def print_limit_overshoot(seed: int) -> None:
    """Print the admitted requests relative to the limit, for several fleets.

    The figures are those of the 1 s window with the most admitted requests and of the
    whole run.
    """
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
        window_ratio = fleet.largest_window(1000.0) / 40.0
        total_ratio = len(fleet.admitted) / (40.0 * 20.0)
        print(
            f"limit 40/s offered 800/s, {entries} entries, loss {loss:.0%}, "
            f"owner change {change_at_s}: 1 s window {window_ratio:.2f}x, "
            f"20 s {total_ratio:.2f}x"
        )


def print_grant_traffic(streams: int = 220, seconds: float = 20.0) -> None:
    """Print the rows and bytes per second that an entry sends in grant requests.

    Each of its `streams` streams belongs to a different customer with limits.
    """
    limit = Limit(requests_per_s=20.0, tokens_per_s=4000.0, concurrency=16)
    customers = {f"c{n}": Customer(f"c{n}", limit=limit) for n in range(streams)}
    for name, customer_limit in (
        ("concurrency", Limit(concurrency=16)),
        ("all limits", limit),
    ):
        catalog = Catalog(
            1,
            customer_by_name={n: Customer(n, limit=customer_limit) for n in customers},
        )
        entry = RequestLimiter(catalog, "e0")
        owner = RequestLimiter(catalog, "e1")
        for limiter in (entry, owner):
            limiter.set_entries(tuple(f"e{n}" for n in range(390)))
        for customer in customers:
            entry.check(customer, "chat", 100, 0.0)
        row_count = byte_count = 0
        for step in range(int(seconds * 1000 / 50)):
            now_ms = step * 50.0
            for customer in customers:
                entry.on_tokens(customer, "chat", 1, now_ms)
            for request_rows in entry.due_grant_requests(now_ms).values():
                row_count += len(request_rows)
                byte_count += len(cbor2.dumps(request_rows))
                entry.on_grant(
                    owner.on_grant_request("e0", request_rows, now_ms), 1000.0, now_ms
                )
        print(
            f"grants, {name}: {row_count / seconds:,.0f} rows/s, "
            f"{byte_count / seconds:,.0f} bytes/s asked by an entry with "
            f"{streams} streams"
        )


def make_arrivals(
    seed: int, seconds: float, chat_per_s: float, lower_per_s: float
) -> list:
    """Return the arrivals as rows of step, name, class and tokens.

    Answer lengths are distributed log-normally. Chat arrives at its full rate in the
    middle half of the time and at a fifth of it otherwise.
    """
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


def simulate(rows: list, slots: int, seconds: float, policy: str = "") -> Engine:
    """Run arrivals through a queue and an engine.

    The run lasts twice `seconds`, so that the queue can drain.
    """
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
    """Baseline: first come, first served; nothing is refused, paused or expired."""

    def __init__(self, slots: int) -> None:
        super().__init__(Catalog(0), slots, Random(0))
        self._fifo: deque = deque()
        self._in_flight = 0

    def offer(self, spec: AttemptSpec, now_ms: float) -> Admitted | Rejected:
        """Admit the attempt."""
        self._fifo.append(spec)
        return Admitted(len(self._fifo) - 1)

    def due_actions(self, now_ms: float) -> Iterator[QueueAction]:
        """Start the oldest attempts in free slots."""
        while self._in_flight < self._slots and self._fifo:
            self._in_flight += 1
            yield StartAttempt(self._fifo.popleft())

    def on_done(self, key: AttemptKey, now_ms: float) -> None:
        """Free the slot."""
        self._in_flight -= 1


def print_burst(seed: int, policy: str, seconds: float = 120.0) -> None:
    """Print the outcomes of each class in a chat burst of twice the capacity."""
    rows = make_arrivals(seed, seconds, 10.0, 0.8)
    engine = simulate(rows, 8, seconds, policy)
    for request_class in CLASSES:
        class_rows = [row for row in rows if row[2] == request_class.name]
        done = [row for row in class_rows if row[1] in engine.finished_ms]
        times = (
            engine.started_ms if request_class.name == "chat" else engine.finished_ms
        )
        limit_ms = request_class.target.limit_ms
        on_time = sum(times[row[1]] - row[0] * STEP_MS <= limit_ms for row in done)
        refused = sum(row[1] in engine.rejected for row in class_rows)
        expired = sum(row[1] in engine.expired for row in class_rows)
        print(
            f"burst {policy} {request_class.name}: offered {len(class_rows)}, "
            f"refused {refused}, expired {expired}, finished {len(done)}, "
            f"on time {on_time / len(class_rows):.0%}"
        )
    report = engine.queue.report(0.0)
    print(f"burst {policy}: pauses {report.pauses}, dropped {report.dropped_tokens}")


def compare_chat_refusals(seed: int, runs: int = 20, seconds: float = 60.0) -> None:
    """Print how many chat refusals differ with and without the lower-priority classes.

    Lower-priority attempts can affect the admission of chat only through the estimates
    of answer lengths: the queue learns the lengths sooner if no such attempts delay the
    answers.
    """
    only_with_lower = only_without_lower = total = 0
    for number in range(runs):
        rows = make_arrivals(seed + 10 * number, seconds, 10.0, 0.8)
        full_run = simulate(rows, 8, seconds)
        chat_run = simulate([row for row in rows if row[2] == "chat"], 8, seconds)
        chat_refused = {
            n for n in {*full_run.rejected, *full_run.expired} if "chat" in n
        }
        chat_refused_alone = {*chat_run.rejected, *chat_run.expired}
        only_with_lower += len(chat_refused - chat_refused_alone)
        only_without_lower += len(chat_refused_alone - chat_refused)
        total += len(chat_refused_alone)
    print(
        f"twins: {total} refused alone, {only_with_lower} only with lower work, "
        f"{only_without_lower} fewer"
    )


def print_speeds(seed: int) -> None:
    """Print operations per second and their ratios to the baselines."""
    for waiting in (10, 1000, 5000):
        speed = queue_speed(seed, waiting)
        baseline_rate = fifo_speed(waiting)
        print(
            f"queue: {speed:,.0f} cycles/s at {waiting} waiting, "
            f"{baseline_rate / speed:.0f}x"
        )
    baseline_rate = random_choice_speed(seed, 20)
    for prefixes in (False, True):
        speed = choice_speed(seed, 20, prefixes)
        ratio = baseline_rate / speed
        print(f"choice: {speed:,.0f}/s of 20, prefixes {prefixes}, {ratio:.0f}x random")
    print_limiter_speed_and_memory(seed)


def main(_: list[str]) -> None:
    """Run the selected measurements."""
    seed = FLAGS.seed
    if "speed" in FLAGS.part:
        print_speeds(seed)
    if "limits" in FLAGS.part:
        print_limit_overshoot(seed)
        print_grant_traffic()
    if "burst" in FLAGS.part:
        print_burst(seed, "fifo")
        print_burst(seed, "queue")
    if "twins" in FLAGS.part:
        compare_chat_refusals(seed)


if __name__ == "__main__":
    app.run(main)
