"""The experiments by name, at the size of the two deployments in docs/design.md.

Loads are shares of the capacity of all engines of the scenario.
"""

from dataclasses import replace
from types import MappingProxyType

from wigeonwind.catalog import (
    Catalog,
    Customer,
    LatencyTarget,
    RequestClass,
    Service,
    ServiceKind,
    TargetKind,
)
from wigeonwind.experiments.scenario import (
    Fault,
    Lengths,
    Scenario,
    ScenarioMaker,
    Stage,
    Stream,
)
from wigeonwind.registry import Registry
from wigeonwind.standins.engine_types import EngineConfig

SCENARIOS: Registry[ScenarioMaker] = Registry("experiment")
"""Makers of scenarios by experiment name."""

ENGINE = EngineConfig(slots=16, kv_limit_tokens=60_000, report_lag_ms=500.0)

ESTONIA = ("tartu-a", "viljandi-b", "voru-c")
BENGAL = ("bengal-east-a", "bengal-east-b", "bengal-east-c", "bengal-east-d")

SECOND = 1000.0
MINUTE = 60 * SECOND

CHAT = RequestClass("chat", 0, LatencyTarget(TargetKind.FIRST_TOKEN, 1500.0), 4000.0)
DOSSIER = RequestClass(
    "dossier", 1, LatencyTarget(TargetKind.WHOLE, 5 * MINUTE), 5 * MINUTE
)
TAGGING = RequestClass(
    "tagging", 2, LatencyTarget(TargetKind.WHOLE, MINUTE), 2 * MINUTE
)
TRANSLATION = RequestClass(
    "translation", 0, LatencyTarget(TargetKind.FIRST_TOKEN, 2000.0), 6000.0
)
SUMMARY = RequestClass(
    "summary", 1, LatencyTarget(TargetKind.WHOLE, 2 * MINUTE), 3 * MINUTE
)

CHAT_LENGTHS = (Lengths(300, 0.5, 20, 2000), Lengths(80, 0.6, 5, 600))
DOSSIER_LENGTHS = (Lengths(2500, 0.4, 500, 8000), Lengths(500, 0.9, 80, 5000))
TAGGING_LENGTHS = (Lengths(500, 0.4, 100, 2000), Lengths(25, 0.4, 5, 80))
TRANSLATION_LENGTHS = (Lengths(350, 0.9, 30, 4000), Lengths(350, 0.9, 30, 4000))
SUMMARY_LENGTHS = (Lengths(1200, 0.5, 200, 5000), Lengths(120, 0.5, 20, 500))

BUYERS = tuple((f"buyer-{n}", 4.0 if n < 2 else 1.0) for n in range(10))
PAPERS = tuple((f"paper-{n}", 4.0 if n < 2 else 1.0) for n in range(10))


def _catalog(service: str, classes: tuple[RequestClass, ...]) -> Catalog:
    names = tuple(each.name for each in classes)
    model = Service(
        service, ServiceKind.MODEL, ("model-1",), names[0], names, concurrency=16
    )
    customers = {name: Customer(name) for name, _ in (*BUYERS, *PAPERS)}
    return Catalog(
        1,
        MappingProxyType({service: model}),
        MappingProxyType({each.name: each for each in classes}),
        MappingProxyType(customers),
        allow_anonymous=True,
    )


def _stream(
    name: str, lengths: tuple[Lengths, Lengths], *loads: tuple[float, float]
) -> Stream:
    stages = tuple(Stage(start_ms, load) for start_ms, load in loads)
    customers = PAPERS if name in ("translation", "summary") else BUYERS
    return Stream(name, lengths[0], lengths[1], stages, customers)


def _polluvili(name: str, streams: tuple[Stream, ...], end_ms: float) -> Scenario:
    zones = tuple(ESTONIA[n % 3] for n in range(5))
    engines = tuple(replace(ENGINE, seed=n) for n in range(5))
    classes = (CHAT, DOSSIER, TAGGING)
    catalog = _catalog("wigeon-llm", classes)
    return Scenario(name, catalog, "wigeon-llm", engines, zones, streams, end_ms)


def _steady(name: str, chat: float, dossier: float, tagging: float) -> Scenario:
    streams = (
        _stream("chat", CHAT_LENGTHS, (0.0, chat)),
        _stream("dossier", DOSSIER_LENGTHS, (0.0, dossier)),
        _stream("tagging", TAGGING_LENGTHS, (0.0, tagging)),
    )
    traffic = "steady" if name in ("straggler", "crash") else name
    return replace(_polluvili(name, streams, 2 * MINUTE), traffic=traffic)


@SCENARIOS.register("harvest")
def harvest() -> Scenario:
    """Chat floods in for two minutes while dossiers and tagging go on: 1.5 x."""
    burst, after = 20 * SECOND, 140 * SECOND
    streams = (
        _stream("chat", CHAT_LENGTHS, (0.0, 0.2), (burst, 0.7), (after, 0.2)),
        _stream("dossier", DOSSIER_LENGTHS, (0.0, 0.3), (burst, 0.6), (after, 0.2)),
        _stream("tagging", TAGGING_LENGTHS, (0.0, 0.1), (burst, 0.2), (after, 0.1)),
    )
    scenario = _polluvili("harvest", streams, 200 * SECOND)
    return replace(scenario, burst_end_ms=after)


@SCENARIOS.register("deadline")
def deadline() -> Scenario:
    """Bursts of translations of very uneven length before a deadline: 1.5 x."""
    first, pause, second, after = (t * SECOND for t in (20, 65, 80, 125))
    streams = (
        _stream(
            "translation",
            TRANSLATION_LENGTHS,
            (0.0, 0.3),
            (first, 0.8),
            (pause, 0.3),
            (second, 0.8),
            (after, 0.2),
        ),
        _stream(
            "summary",
            SUMMARY_LENGTHS,
            (0.0, 0.4),
            (first, 0.7),
            (pause, 0.5),
            (second, 0.7),
            (after, 0.2),
        ),
    )
    zones = tuple(BENGAL[n % 4] for n in range(5))
    engines = tuple(replace(ENGINE, seed=n) for n in range(5))
    catalog = _catalog("wigeon-desk", (TRANSLATION, SUMMARY))
    return Scenario(
        "deadline",
        catalog,
        "wigeon-desk",
        engines,
        zones,
        streams,
        180 * SECOND,
        urgent_class="translation",
        burst_end_ms=after,
    )


@SCENARIOS.register("straggler")
def straggler() -> Scenario:
    """One of five engines becomes four times as slow for a minute."""
    faults = (
        Fault(30 * SECOND, "straggle", engine=2, value=4.0),
        Fault(90 * SECOND, "straggle", engine=2, value=1.0),
    )
    return replace(_steady("straggler", 0.35, 0.25, 0.1), faults=faults)


def _stale(age_ms: float) -> Scenario:
    scenario = _steady("stale", 0.45, 0.3, 0.1)
    engines = tuple(replace(e, report_lag_ms=0.0) for e in scenario.engines)
    name = f"stale-{age_ms / SECOND:g}s"
    interval_ms = max(100.0, min(1000.0, age_ms))
    return replace(
        scenario,
        name=name,
        engines=engines,
        report_interval_ms=interval_ms,
        report_delay_ms=age_ms,
    )


@SCENARIOS.register("stale")
def stale() -> Scenario:
    """Load reports that are 5 s old when they arrive."""
    return replace(_stale(5 * SECOND), name="stale")


@SCENARIOS.register("stale-0.1s")
def stale_fresh() -> Scenario:
    """Load reports that are 0.1 s old, the reference for `stale`."""
    return _stale(0.1 * SECOND)


@SCENARIOS.register("stale-1s")
def stale_one() -> Scenario:
    """Load reports that are 1 s old."""
    return _stale(SECOND)


@SCENARIOS.register("stale-10s")
def stale_old() -> Scenario:
    """Load reports that are 10 s old."""
    return _stale(10 * SECOND)


@SCENARIOS.register("steady")
def steady() -> Scenario:
    """No fault at all, the reference for `straggler` and `crash`."""
    return _steady("steady", 0.35, 0.25, 0.1)


@SCENARIOS.register("crash")
def crash() -> Scenario:
    """One engine after another dies in the middle of answers and comes back."""
    faults = tuple(
        fault
        for number in range(6)
        for fault in (
            Fault((15 + 15 * number) * SECOND, "crash", engine=number % 5),
            Fault((22 + 15 * number) * SECOND, "restart", engine=number % 5),
        )
    )
    return replace(_steady("crash", 0.35, 0.25, 0.1), faults=faults)


@SCENARIOS.register("zone-loss")
def zone_loss() -> Scenario:
    """Lose the zone with two of five engines at the peak."""
    scenario = _steady("zone-loss", 0.45, 0.3, 0.15)
    return replace(scenario, faults=(Fault(40 * SECOND, "crash", zone="tartu-a"),))


@SCENARIOS.register("overload")
def overload() -> Scenario:
    """Twice the capacity for two minutes; callers give up and try again."""
    burst, after = 20 * SECOND, 140 * SECOND
    streams = (
        _stream("chat", CHAT_LENGTHS, (0.0, 0.4), (burst, 1.2), (after, 0.4)),
        _stream("dossier", DOSSIER_LENGTHS, (0.0, 0.2), (burst, 0.6), (after, 0.2)),
        _stream("tagging", TAGGING_LENGTHS, (0.0, 0.1), (burst, 0.2), (after, 0.1)),
    )
    scenario = _polluvili("overload", streams, 220 * SECOND)
    return replace(
        scenario, burst_end_ms=after, patience_ms=10 * SECOND, caller_retries=2
    )


@SCENARIOS.register("prefix")
def prefix() -> Scenario:
    """Let conversations return with prompts that repeat all that was said."""
    chat = Stream(
        "chat",
        Lengths(120, 0.5, 20, 600),
        Lengths(80, 0.6, 5, 600),
        (Stage(0.0, 0.16),),
        BUYERS,
        conversations=60,
    )
    dossier = _stream("dossier", DOSSIER_LENGTHS, (0.0, 0.2))
    return _polluvili("prefix", (chat, dossier), 2 * MINUTE)


@SCENARIOS.register("customers")
def customers() -> Scenario:
    """One large customer sends ten times as much as all others together."""
    flood = (("buyer-0", 90.0), *((f"buyer-{n}", 1.0) for n in range(1, 10)))
    chat = _stream("chat", CHAT_LENGTHS, (0.0, 0.2), (20 * SECOND, 1.2))
    streams = (
        replace(chat, customers=flood),
        _stream("dossier", DOSSIER_LENGTHS, (0.0, 0.2)),
    )
    return _polluvili("customers", streams, 100 * SECOND)
