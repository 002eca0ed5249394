"""Measure how costs grow with size; docs/CAPACITY.md is calculated from the slopes.

Each measurement determines one cost at several sizes, repeatedly, and fits a line. The
output is the intercept, the slope, the fraction of variance that the line explains, and
the range of the slope over the repeats. CPU times are those of one core of the machine.

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
from wigeonwind.decisions.limits import RequestLimiter  # noqa: E402
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
flags.DEFINE_integer("seed", 1, "Seed of all random number generators.")
flags.DEFINE_integer("repeats", 3, "Repeats of each measurement.")
flags.DEFINE_list("part", [], "Measurements to run; all if empty.")
flags.DEFINE_string("json", "", "File to which the slopes are written as JSON.")

ZONES = tuple(f"zone-{letter}" for letter in "abcdefgh")


@dataclass(frozen=True)
class Measurement:
    """One cost; `measure(size, random)` returns it in `unit` for one size."""

    unit: str
    sizes: tuple[int, ...]
    measure: Callable[[int, Random], float]


@dataclass(frozen=True)
class Slope:
    """A line fitted to the medians of one measurement.

    `part` names the measurement, `values` are the medians by size. `explained` is the
    fraction of variance that the line explains (R squared). `spread` is the lowest and
    the highest slope of a single repeat.
    """

    part: str
    unit: str
    sizes: tuple[int, ...]
    values: tuple[float, ...]
    intercept: float
    slope: float
    explained: float
    spread: tuple[float, float]


MEASUREMENTS: Registry[Measurement] = Registry("part")


def measurement(name: str, unit: str, *sizes: int) -> Callable:
    """Return a decorator that registers a measurement."""

    def add(measure: Callable[[int, Random], float]) -> Callable:
        MEASUREMENTS.register(name)(Measurement(unit, sizes, measure))
        return measure

    return add


def cpu_ms(call: Callable[[], object], times: int = 1) -> float:
    """Return the mean CPU time of a call in milliseconds."""
    started_s = time.process_time()
    for _ in range(times):
        call()
    return (time.process_time() - started_s) * 1000.0 / times


def memory_kb(build: Callable[[], object]) -> float:
    """Return the memory in kB of the object that `build` returns."""
    tracemalloc.start()
    built = build()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del built
    return size / 1000.0


def make_member_records(count: int) -> list[MemberRecord]:
    """Return the member records of a fleet of which a third are entries."""
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


def make_membership(count: int) -> Membership:
    """Return a membership with `count` records."""
    records = make_member_records(count)
    membership = Membership(records[0])
    membership.merge(records[1:], 0.0)
    return membership


def configuration_source(customers: int) -> str:
    """Return the source of a configuration with 8 classes and 4 services."""
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


@measurement("membership-memory", "kB", 200, 600, 1190)
def membership_memory(size: int, random: Random) -> float:
    """Return the memory of all member records."""
    return memory_kb(lambda: make_membership(size))


@measurement("membership-wire", "bytes", 200, 600, 1190)
def membership_wire(size: int, random: Random) -> float:
    """Return the encoded size of a message with all member records."""
    return float(
        len(encode(Members([each.to_row() for each in make_member_records(size)])))
    )


@measurement("subset-cpu", "ms", 100, 400, 800)
def subset_cpu(size: int, random: Random) -> float:
    """Return the CPU time to choose the 20 sidecars to link to among `size` members."""
    records = make_member_records(size)
    return cpu_ms(lambda: choose_links("vm-0", "zone-a", records, 20), 20)


@measurement("text-memory", "kB", 1000, 5000, 15000)
def configuration_memory(size: int, random: Random) -> float:
    """Return the memory of a parsed configuration with `size` customers."""
    source = configuration_source(size)
    return memory_kb(lambda: parse_configuration(source, 1, None))


@measurement("text-parse-cpu", "ms", 1000, 5000, 15000)
def configuration_parse(size: int, random: Random) -> float:
    """Return the CPU time to parse a whole configuration with `size` customers."""
    source = configuration_source(size)
    return cpu_ms(lambda: parse_configuration(source, 1, None))


@measurement("text-edit-cpu", "ms", 1000, 5000, 15000)
def configuration_edit(size: int, random: Random) -> float:
    """Return the CPU time to parse a configuration in which one customer changed."""
    source = configuration_source(size)
    base = parse_configuration(source, 1, None)
    assert isinstance(base, Ok)
    number = random.randrange(size)
    old = f"[customer customer-{number}]\nweight = 1"
    edited = source.replace(old, old[:-1] + "2")
    return cpu_ms(lambda: parse_configuration(edited, 2, base.value), 3)


@measurement("limiter-memory", "kB", 300, 1000, 3000)
def limiter_memory(size: int, random: Random) -> float:
    """Return the memory of a RequestLimiter with `size` active customers."""
    configuration = parse_configuration(configuration_source(size), 1, None)
    assert isinstance(configuration, Ok)

    def build() -> RequestLimiter:
        limiter = RequestLimiter(configuration.value.catalog, "vm-0")
        for number in range(size):
            limiter.check(f"customer-{number}", "tier-0", 100, float(number))
        return limiter

    return memory_kb(build)


@measurement("choice-cpu", "ms", 5, 20, 40, 80)
def choice_cpu(size: int, random: Random) -> float:
    """Return the CPU time of one choice among `size` endpoints."""
    chooser = EndpointChooser("zone-a", random)
    endpoint_infos = [EndpointInfo(f"e{n}", ZONES[n % 3], "llm") for n in range(size)]
    chooser.set_endpoints(tuple(endpoint_infos), 0.0)
    request = RouteRequest("llm", "tier-0", 0, 100)

    def choose() -> None:
        chooser.choose(request, 1.0, frozenset())

    return cpu_ms(choose, 2000)


@measurement("report-wire", "bytes", 1, 4, 8)
def report_wire(size: int, random: Random) -> float:
    """Return the encoded size of a load report with `size` busy classes."""
    rows: list[list] = [[f"tier-{number}", 10 + number] for number in range(size)]
    report = LoadReport(
        "vm-123", 50, 64, rows, 60, 500.0, 21.5, 180.0, 4000, True, rows
    )
    return float(len(encode(report)))


@measurement("catalog-swap-cpu", "ms", 1000, 5000, 15000)
def catalog_swap(size: int, random: Random) -> float:
    """Return the CPU time in which a RequestLimiter switches to another catalog."""
    configuration = parse_configuration(configuration_source(size), 1, None)
    assert isinstance(configuration, Ok)
    limiter = RequestLimiter(Catalog(0), "vm-0")
    return cpu_ms(lambda: limiter.set_catalog(configuration.value.catalog), 5)


def fit_line(name: str, cost: Measurement, seed: int, repeats: int) -> Slope:
    """Run a measurement and fit a line through the medians of its repeats."""
    values_by_repeat = [
        [cost.measure(size, Random(f"{seed}/{name}/{repeat}")) for size in cost.sizes]
        for repeat in range(repeats)
    ]
    values = numpy.median(numpy.array(values_by_repeat), axis=0)
    slope, intercept = numpy.polyfit(cost.sizes, values, 1)
    residuals = values - (slope * numpy.array(cost.sizes) + intercept)
    total_squares = float(((values - values.mean()) ** 2).sum())
    explained = (
        1.0 - float((residuals**2).sum()) / total_squares if total_squares else 1.0
    )
    slopes = [float(numpy.polyfit(cost.sizes, row, 1)[0]) for row in values_by_repeat]
    return Slope(
        name,
        cost.unit,
        cost.sizes,
        tuple(float(value) for value in values),
        float(intercept),
        float(slope),
        explained,
        (min(slopes), max(slopes)),
    )


def main(_argv: list[str]) -> None:
    """Run the selected measurements and print one line for each."""
    slopes = []
    for name, cost in MEASUREMENTS:
        if FLAGS.part and name not in FLAGS.part:
            continue
        fitted = fit_line(name, cost, FLAGS.seed, FLAGS.repeats)
        slopes.append(asdict(fitted))
        print(
            f"{name:20} {fitted.intercept:10.3f} + {fitted.slope:.6f} x size "
            f"{fitted.unit}"
            f"  explained {fitted.explained:.4f}"
            f"  slope {fitted.spread[0]:.6f} to {fitted.spread[1]:.6f}",
            flush=True,
        )
    if FLAGS.json:
        with open(FLAGS.json, "w", encoding="utf-8") as file:
            json.dump(slopes, file, indent=1)


if __name__ == "__main__":
    app.run(main)
