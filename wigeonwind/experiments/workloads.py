"""The scenarios of the experiments, sized like the two deployments in docs/design.md.

Loads are fractions of the total capacity of the engines of the scenario.
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
    ArrivalStream,
    Fault,
    LengthDistribution,
    LoadStep,
    Scenario,
    ScenarioFactory,
)
from wigeonwind.registry import Registry
from wigeonwind.standins.engine_types import EngineConfig

SCENARIOS: Registry[ScenarioFactory] = Registry("experiment")
"""Factories of scenarios by experiment name."""

ENGINE = EngineConfig(slots=16, kv_limit_tokens=60_000, report_lag_ms=500.0)

ESTONIA_ZONES = ("tartu-a", "viljandi-b", "voru-c")
BENGAL_ZONES = ("bengal-east-a", "bengal-east-b", "bengal-east-c", "bengal-east-d")

SECOND_MS = 1000.0
MINUTE_MS = 60 * SECOND_MS

CHAT = RequestClass("chat", 0, LatencyTarget(TargetKind.FIRST_TOKEN, 1500.0), 4000.0)
DOSSIER = RequestClass(
    "dossier", 1, LatencyTarget(TargetKind.WHOLE, 5 * MINUTE_MS), 5 * MINUTE_MS
)
TAGGING = RequestClass(
    "tagging", 2, LatencyTarget(TargetKind.WHOLE, MINUTE_MS), 2 * MINUTE_MS
)
TRANSLATION = RequestClass(
    "translation", 0, LatencyTarget(TargetKind.FIRST_TOKEN, 2000.0), 6000.0
)
SUMMARY = RequestClass(
    "summary", 1, LatencyTarget(TargetKind.WHOLE, 2 * MINUTE_MS), 3 * MINUTE_MS
)

CHAT_LENGTHS = (
    LengthDistribution(300, 0.5, 20, 2000),
    LengthDistribution(80, 0.6, 5, 600),
)
"""Lengths of prompts and of answers in tokens, as in the pairs below."""

DOSSIER_LENGTHS = (
    LengthDistribution(2500, 0.4, 500, 8000),
    LengthDistribution(500, 0.9, 80, 5000),
)
TAGGING_LENGTHS = (
    LengthDistribution(500, 0.4, 100, 2000),
    LengthDistribution(25, 0.4, 5, 80),
)
TRANSLATION_LENGTHS = (
    LengthDistribution(350, 0.9, 30, 4000),
    LengthDistribution(350, 0.9, 30, 4000),
)
SUMMARY_LENGTHS = (
    LengthDistribution(1200, 0.5, 200, 5000),
    LengthDistribution(120, 0.5, 20, 500),
)

BUYERS = tuple((f"buyer-{n}", 4.0 if n < 2 else 1.0) for n in range(10))
PAPERS = tuple((f"paper-{n}", 4.0 if n < 2 else 1.0) for n in range(10))
"""Customers with their relative numbers of requests, as in BUYERS."""


def _make_catalog(service: str, classes: tuple[RequestClass, ...]) -> Catalog:
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


def _make_stream(
    name: str,
    lengths: tuple[LengthDistribution, LengthDistribution],
    *loads: tuple[float, float],
) -> ArrivalStream:
    steps = tuple(LoadStep(start_ms, load) for start_ms, load in loads)
    customers = PAPERS if name in ("translation", "summary") else BUYERS
    return ArrivalStream(name, lengths[0], lengths[1], steps, customers)


def _polluvili_scenario(
    name: str, streams: tuple[ArrivalStream, ...], end_ms: float
) -> Scenario:
    zones = tuple(ESTONIA_ZONES[n % 3] for n in range(5))
    engines = tuple(replace(ENGINE, seed=n) for n in range(5))
    classes = (CHAT, DOSSIER, TAGGING)
    catalog = _make_catalog("wigeon-llm", classes)
    return Scenario(name, catalog, "wigeon-llm", engines, zones, streams, end_ms)


def _steady_scenario(
    name: str, chat: float, dossier: float, tagging: float
) -> Scenario:
    streams = (
        _make_stream("chat", CHAT_LENGTHS, (0.0, chat)),
        _make_stream("dossier", DOSSIER_LENGTHS, (0.0, dossier)),
        _make_stream("tagging", TAGGING_LENGTHS, (0.0, tagging)),
    )
    arrival_seed = "steady" if name in ("straggler", "crash") else name
    return replace(
        _polluvili_scenario(name, streams, 2 * MINUTE_MS), arrival_seed=arrival_seed
    )


@SCENARIOS.register("harvest")
def harvest() -> Scenario:
    """Raise the load of all classes to 1.5 times the capacity for two minutes."""
    burst_start, burst_end = 20 * SECOND_MS, 140 * SECOND_MS
    streams = (
        _make_stream(
            "chat", CHAT_LENGTHS, (0.0, 0.2), (burst_start, 0.7), (burst_end, 0.2)
        ),
        _make_stream(
            "dossier", DOSSIER_LENGTHS, (0.0, 0.3), (burst_start, 0.6), (burst_end, 0.2)
        ),
        _make_stream(
            "tagging", TAGGING_LENGTHS, (0.0, 0.1), (burst_start, 0.2), (burst_end, 0.1)
        ),
    )
    scenario = _polluvili_scenario("harvest", streams, 200 * SECOND_MS)
    return replace(scenario, burst_end_ms=burst_end)


@SCENARIOS.register("deadline")
def deadline() -> Scenario:
    """Offer 1.5 times the capacity in two bursts; translation lengths vary widely."""
    first_start, first_end, second_start, burst_end = (
        t * SECOND_MS for t in (20, 65, 80, 125)
    )
    streams = (
        _make_stream(
            "translation",
            TRANSLATION_LENGTHS,
            (0.0, 0.3),
            (first_start, 0.8),
            (first_end, 0.3),
            (second_start, 0.8),
            (burst_end, 0.2),
        ),
        _make_stream(
            "summary",
            SUMMARY_LENGTHS,
            (0.0, 0.4),
            (first_start, 0.7),
            (first_end, 0.5),
            (second_start, 0.7),
            (burst_end, 0.2),
        ),
    )
    zones = tuple(BENGAL_ZONES[n % 4] for n in range(5))
    engines = tuple(replace(ENGINE, seed=n) for n in range(5))
    catalog = _make_catalog("wigeon-desk", (TRANSLATION, SUMMARY))
    return Scenario(
        "deadline",
        catalog,
        "wigeon-desk",
        engines,
        zones,
        streams,
        180 * SECOND_MS,
        urgent_class="translation",
        burst_end_ms=burst_end,
    )


@SCENARIOS.register("straggler")
def straggler() -> Scenario:
    """Slow one of five engines down to a quarter of its speed for a minute."""
    faults = (
        Fault(30 * SECOND_MS, "straggle", engine=2, value=4.0),
        Fault(90 * SECOND_MS, "straggle", engine=2, value=1.0),
    )
    return replace(_steady_scenario("straggler", 0.35, 0.25, 0.1), faults=faults)


def _stale_scenario(age_ms: float) -> Scenario:
    scenario = _steady_scenario("stale", 0.45, 0.3, 0.1)
    engines = tuple(replace(e, report_lag_ms=0.0) for e in scenario.engines)
    name = f"stale-{age_ms / SECOND_MS:g}s"
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
    """Deliver load reports that are 5 s old."""
    return replace(_stale_scenario(5 * SECOND_MS), name="stale")


@SCENARIOS.register("stale-0.1s")
def stale_100ms() -> Scenario:
    """Deliver load reports that are 0.1 s old, the reference for `stale`."""
    return _stale_scenario(0.1 * SECOND_MS)


@SCENARIOS.register("stale-1s")
def stale_1s() -> Scenario:
    """Deliver load reports that are 1 s old."""
    return _stale_scenario(SECOND_MS)


@SCENARIOS.register("stale-10s")
def stale_10s() -> Scenario:
    """Deliver load reports that are 10 s old."""
    return _stale_scenario(10 * SECOND_MS)


@SCENARIOS.register("steady")
def steady() -> Scenario:
    """Run without faults, the reference for `straggler` and `crash`."""
    return _steady_scenario("steady", 0.35, 0.25, 0.1)


@SCENARIOS.register("crash")
def crash() -> Scenario:
    """Crash one engine every 15 s during answers; each restarts after 7 s."""
    faults = tuple(
        fault
        for number in range(6)
        for fault in (
            Fault((15 + 15 * number) * SECOND_MS, "crash", engine=number % 5),
            Fault((22 + 15 * number) * SECOND_MS, "restart", engine=number % 5),
        )
    )
    return replace(_steady_scenario("crash", 0.35, 0.25, 0.1), faults=faults)


@SCENARIOS.register("zone-loss")
def zone_loss() -> Scenario:
    """Crash the zone that has two of five engines, at peak load."""
    scenario = _steady_scenario("zone-loss", 0.45, 0.3, 0.15)
    return replace(scenario, faults=(Fault(40 * SECOND_MS, "crash", zone="tartu-a"),))


@SCENARIOS.register("overload")
def overload() -> Scenario:
    """Offer twice the capacity for two minutes; callers time out and retry."""
    burst_start, burst_end = 20 * SECOND_MS, 140 * SECOND_MS
    streams = (
        _make_stream(
            "chat", CHAT_LENGTHS, (0.0, 0.4), (burst_start, 1.2), (burst_end, 0.4)
        ),
        _make_stream(
            "dossier", DOSSIER_LENGTHS, (0.0, 0.2), (burst_start, 0.6), (burst_end, 0.2)
        ),
        _make_stream(
            "tagging", TAGGING_LENGTHS, (0.0, 0.1), (burst_start, 0.2), (burst_end, 0.1)
        ),
    )
    scenario = _polluvili_scenario("overload", streams, 220 * SECOND_MS)
    return replace(
        scenario,
        burst_end_ms=burst_end,
        caller_timeout_ms=10 * SECOND_MS,
        caller_retries=2,
    )


@SCENARIOS.register("prefix")
def prefix() -> Scenario:
    """Continue conversations with prompts that repeat all previous turns."""
    chat = ArrivalStream(
        "chat",
        LengthDistribution(120, 0.5, 20, 600),
        LengthDistribution(80, 0.6, 5, 600),
        (LoadStep(0.0, 0.16),),
        BUYERS,
        conversations=60,
    )
    dossier = _make_stream("dossier", DOSSIER_LENGTHS, (0.0, 0.2))
    return _polluvili_scenario("prefix", (chat, dossier), 2 * MINUTE_MS)


@SCENARIOS.register("customers")
def customers() -> Scenario:
    """Let one customer send ten times as much chat as all others together."""
    flood = (("buyer-0", 90.0), *((f"buyer-{n}", 1.0) for n in range(1, 10)))
    chat = _make_stream("chat", CHAT_LENGTHS, (0.0, 0.2), (20 * SECOND_MS, 1.2))
    streams = (
        replace(chat, customers=flood),
        _make_stream("dossier", DOSSIER_LENGTHS, (0.0, 0.2)),
    )
    return _polluvili_scenario("customers", streams, 100 * SECOND_MS)
