"""Measure the slopes from which docs/CAPACITY.md is worked out.

Each part measures one cost at several sizes, repeats it, and fits a line. Printed are
intercept, slope, the share of variance that the line explains, and the spread of the
slope over the repeats. Processor times are those of one core of this machine.

    python -m bench.slopes --seed=1 --json=FILE
"""

from gevent import monkey

monkey.patch_all()

import json  # noqa: E402
import time  # noqa: E402
import tracemalloc  # noqa: E402
from collections.abc import Callable  # noqa: E402
from dataclasses import asdict, dataclass  # noqa: E402
from hashlib import sha256  # noqa: E402
from random import Random  # noqa: E402

import numpy  # noqa: E402
from absl import app, flags  # noqa: E402

from wigeonwind.catalog import Catalog  # noqa: E402
from wigeonwind.decisions.choice import EndpointChooser  # noqa: E402
from wigeonwind.decisions.interfaces import EndpointInfo, RouteRequest  # noqa: E402
from wigeonwind.decisions.limits import CustomerLimiter  # noqa: E402
from wigeonwind.links.codec import encode  # noqa: E402
from wigeonwind.links.messages import LoadReport, Members  # noqa: E402
from wigeonwind.outcomes import Ok  # noqa: E402
from wigeonwind.registry import Registry  # noqa: E402
from wigeonwind.state.configuration import parse_configuration  # noqa: E402
from wigeonwind.state.membership import (  # noqa: E402
    MemberRecord,
    Membership,
    MemberState,
)
from wigeonwind.state.subset import choose_links  # noqa: E402

FLAGS = flags.FLAGS
flags.DEFINE_integer("seed", 1, "Seed of all random choices.")
flags.DEFINE_integer("repeats", 3, "Repeats of each size.")
flags.DEFINE_list("part", [], "Parts to measure; all if empty.")
flags.DEFINE_string("json", "", "File for the slopes.")

ZONES = tuple(f"zone-{letter}" for letter in "abcdefgh")


@dataclass(frozen=True)
class Part:
    """One cost: `measure(size, random)` returns it in `unit` at one size."""

    unit: str
    sizes: tuple[int, ...]
    measure: Callable[[int, Random], float]


@dataclass(frozen=True)
class Slope:
    """A fitted line; `spread` is the least and greatest slope of single repeats."""

    part: str
    unit: str
    sizes: tuple[int, ...]
    values: tuple[float, ...]
    intercept: float
    slope: float
    explained: float
    spread: tuple[float, float]


PARTS: Registry[Part] = Registry("part")


def part(name: str, unit: str, *sizes: int) -> Callable:
    """Return a decorator that registers a measurement."""

    def add(measure: Callable[[int, Random], float]) -> Callable:
        PARTS.register(name)(Part(unit, sizes, measure))
        return measure

    return add


def cpu_ms(call: Callable[[], object], times: int = 1) -> float:
    """Return the processor time of one call in milliseconds."""
    began = time.process_time()
    for _ in range(times):
        call()
    return (time.process_time() - began) * 1000.0 / times


def memory_kb(build: Callable[[], object]) -> float:
    """Return the memory that the built object keeps, in kB."""
    tracemalloc.start()
    kept = build()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return size / 1000.0


def members_of(count: int) -> list[MemberRecord]:
    """Return records of a fleet, a third of them entries."""
    return [
        MemberRecord(
            f"vm-{number}",
            1_700_000_000_000_000 + number,
            MemberState.LIVE,
            "entry" if number % 3 == 0 else "side",
            ZONES[number % 8],
            f"service-{number % 4}",
            f"10.0.{number // 250}.{number % 250}:9000",
        )
        for number in range(count)
    ]


def membership_of(count: int) -> Membership:
    """Return a membership that knows `count` members."""
    records = members_of(count)
    membership = Membership(records[0])
    membership.merge(records[1:], 0.0)
    return membership


def text_of(customers: int) -> str:
    """Return a text of 8 classes, 4 services and many customers."""
    classes = [f"tier-{number}" for number in range(8)]
    lines = []
    for number in range(4):
        lines += [f"[service service-{number}]", "kind = model"]
        lines += [f"models = model-{number}", f"classes = {', '.join(classes)}"]
        lines += [f"default_class = {classes[0]}", "concurrency = 64"]
    for number, name in enumerate(classes):
        lines += [f"[class {name}]", f"priority = {number}"]
        lines += ["target = first-token 1700ms", "max_wait = 10s", "min_share = 2%"]
    for number in range(customers):
        lines += [f"[customer customer-{number}]", "weight = 1"]
        key = sha256(f"key of {number}".encode()).hexdigest()
        lines += [f"keys = {key}", "requests_per_s = 5"]
    return "\n".join(lines) + "\n"


@part("membership-memory", "kB", 200, 600, 1190)
def membership_memory(size: int, random: Random) -> float:
    """Return the memory of all member records."""
    return memory_kb(lambda: membership_of(size))


@part("membership-wire", "bytes", 200, 600, 1190)
def membership_wire(size: int, random: Random) -> float:
    """Return the size of a message with all member records."""
    return float(len(encode(Members([each.to_row() for each in members_of(size)]))))


@part("subset-cpu", "ms", 100, 400, 800)
def subset_cpu(size: int, random: Random) -> float:
    """Return the time to choose a subset of 20 of `size` sidecars."""
    records = members_of(size)
    return cpu_ms(lambda: choose_links("vm-0", "zone-a", records, 20), 20)


@part("text-memory", "kB", 1000, 5000, 15000)
def text_memory(size: int, random: Random) -> float:
    """Return the memory of a text in force with `size` customers."""
    source = text_of(size)
    return memory_kb(lambda: parse_configuration(source, 1, None))


@part("text-parse-cpu", "ms", 1000, 5000, 15000)
def text_parse(size: int, random: Random) -> float:
    """Return the time to parse a whole text."""
    source = text_of(size)
    return cpu_ms(lambda: parse_configuration(source, 1, None))


@part("text-edit-cpu", "ms", 1000, 5000, 15000)
def text_edit(size: int, random: Random) -> float:
    """Return the time to parse a text of which one customer has changed."""
    source = text_of(size)
    base = parse_configuration(source, 1, None)
    assert isinstance(base, Ok)
    place = random.randrange(size)
    old = f"[customer customer-{place}]\nweight = 1"
    edited = source.replace(old, old[:-1] + "2")
    return cpu_ms(lambda: parse_configuration(edited, 2, base.value), 3)


@part("limiter-memory", "kB", 300, 1000, 3000)
def limiter_memory(size: int, random: Random) -> float:
    """Return the memory of the limits of `size` active customers."""
    text = parse_configuration(text_of(size), 1, None)
    assert isinstance(text, Ok)

    def build() -> CustomerLimiter:
        limiter = CustomerLimiter(text.value.catalog, "vm-0")
        for number in range(size):
            limiter.check(f"customer-{number}", "tier-0", 100, float(number))
        return limiter

    return memory_kb(build)


@part("choice-cpu", "ms", 5, 20, 40, 80)
def choice_cpu(size: int, random: Random) -> float:
    """Return the time of one choice among `size` endpoints."""
    chooser = EndpointChooser("zone-a", random)
    infos = [EndpointInfo(f"e{n}", ZONES[n % 3], "llm") for n in range(size)]
    chooser.set_endpoints(tuple(infos), 0.0)
    request = RouteRequest("llm", "tier-0", 0, 100)

    def choose() -> None:
        chooser.choose(request, 1.0, frozenset())

    return cpu_ms(choose, 2000)


@part("report-wire", "bytes", 1, 4, 8)
def report_wire(size: int, random: Random) -> float:
    """Return the size of a load report with `size` busy classes."""
    rows: list[list] = [[f"tier-{number}", 10 + number] for number in range(size)]
    report = LoadReport(
        "vm-123", 50, 64, rows, 60, 500.0, 21.5, 180.0, 4000, True, rows
    )
    return float(len(encode(report)))


@part("catalog-swap-cpu", "ms", 1000, 5000, 15000)
def catalog_swap(size: int, random: Random) -> float:
    """Return the time in which the limits take over another version of the text."""
    text = parse_configuration(text_of(size), 1, None)
    assert isinstance(text, Ok)
    limiter = CustomerLimiter(Catalog(0), "vm-0")
    return cpu_ms(lambda: limiter.set_catalog(text.value.catalog), 5)


def fit(name: str, item: Part, seed: int, repeats: int) -> Slope:
    """Measure a part and fit a line through the medians of its repeats."""
    table = [
        [item.measure(size, Random(f"{seed}/{name}/{turn}")) for size in item.sizes]
        for turn in range(repeats)
    ]
    values = numpy.median(numpy.array(table), axis=0)
    slope, intercept = numpy.polyfit(item.sizes, values, 1)
    rest = values - (slope * numpy.array(item.sizes) + intercept)
    total = float(((values - values.mean()) ** 2).sum())
    explained = 1.0 - float((rest**2).sum()) / total if total else 1.0
    slopes = [float(numpy.polyfit(item.sizes, row, 1)[0]) for row in table]
    return Slope(
        name,
        item.unit,
        item.sizes,
        tuple(float(value) for value in values),
        float(intercept),
        float(slope),
        explained,
        (min(slopes), max(slopes)),
    )


def main(_argv: list[str]) -> None:
    """Measure every part and print one line for each."""
    slopes = []
    for name, item in PARTS:
        if FLAGS.part and name not in FLAGS.part:
            continue
        found = fit(name, item, FLAGS.seed, FLAGS.repeats)
        slopes.append(asdict(found))
        print(
            f"{name:20} {found.intercept:10.3f} + {found.slope:.6f} x size {found.unit}"
            f"  explained {found.explained:.4f}"
            f"  slope {found.spread[0]:.6f} to {found.spread[1]:.6f}",
            flush=True,
        )
    if FLAGS.json:
        with open(FLAGS.json, "w", encoding="utf-8") as file:
            json.dump(slopes, file, indent=1)


if __name__ == "__main__":
    app.run(main)
