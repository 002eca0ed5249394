"""Profiles of fault runs: a configuration, a fleet and a load plan by name."""

from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

from wigeonwind.checking.process_fleet import FleetOptions
from wigeonwind.clock import MS_PER_SECOND
from wigeonwind.load.arrivals import LoadStage
from wigeonwind.load.plan import ClassMix, LoadCustomer, LoadPlan
from wigeonwind.registry import Registry

POLLUVILI_PATH = Path(__file__).parents[2] / "examples" / "polluvili" / "text.ini"

CONFIGURATION = """
[defaults]
allow_anonymous = yes
[service wigeon-llm]
kind = model
models = barley-7b
model_version = 1
classes = chat, dossier, tagging
default_class = chat
concurrency = 16
[service spot-desk]
kind = plain
classes = desk
default_class = desk
concurrency = 16
unrepeatable_methods = POST, PUT, PATCH, DELETE
bookings = claim
[class chat]
priority = 0
target = first-token 1500ms
max_wait = 8s
[class desk]
priority = 0
target = whole 2s
max_wait = 8s
[class dossier]
priority = 1
target = whole 60s
max_wait = 30s
[class tagging]
priority = 2
target = whole 60s
max_wait = 60s
[customer buyer-1]
weight = 2
[customer buyer-2]
weight = 1
"""

CLASS_MIX = (
    ClassMix("chat", 5.0, 60.0, 40.0),
    ClassMix("dossier", 1.0, 300.0, 150.0),
    ClassMix("tagging", 2.0, 60.0, 10.0),
)
CUSTOMERS = (LoadCustomer("buyer-1", weight=3.0), LoadCustomer("buyer-2"))


@dataclass(frozen=True)
class Profile:
    """A configuration, a load plan and the fleet that the load is sized for."""

    source: str
    plan: LoadPlan
    fleet_options: FleetOptions


@dataclass(frozen=True)
class LoadOptions:
    """Seed, duration and request rate of a load."""

    seed: int
    seconds: float
    rate_per_s: float


PROFILES: Registry[Callable[[LoadOptions], Profile]] = Registry("profile")


@PROFILES.register("mixed")
def mixed(options: LoadOptions) -> Profile:
    """Return a profile with three model classes and bookings, below capacity."""
    stage = LoadStage(
        options.seconds * MS_PER_SECOND, options.rate_per_s, options.rate_per_s
    )
    plan = LoadPlan(
        (stage,), CLASS_MIX, CUSTOMERS, booking_fraction=0.25, seed=options.seed
    )
    return Profile(CONFIGURATION, plan, FleetOptions())


HARVEST_CLASS_MIX = (
    ClassMix("chat", 16.0, 300.0, 80.0),
    ClassMix("dossier", 0.66, 2500.0, 500.0),
    ClassMix("tagging", 2.6, 500.0, 25.0),
)
"""Offered load at 19.3 requests/s: 1.1, 0.3 and 0.1 of the capacity of three engines.

With 8 slots in use an iteration takes 16.8 ms, so a request costs an engine
prompt_tokens / 8000 s and 2.1 ms per output token: 0.205, 1.36 and 0.115 s for the
three classes.
"""

HARVEST_CUSTOMERS = tuple(
    LoadCustomer(name, f"example key of {name}", weight)
    for name, weight in (
        ("ee-south-desk", 4.0),
        ("tartu-maltsters", 4.0),
        ("viljandi-brewers", 3.0),
        ("otepaa-brewhouse", 1.0),
        ("polva-malthouse", 1.0),
    )
)


@PROFILES.register("harvest")
def harvest(options: LoadOptions) -> Profile:
    """Return a profile with a flood of chat requests.

    `rate_per_s` is meant to be 1.5 times the capacity: 19.3 requests/s with three
    engines. The load is 0.4 of the capacity in the first and the last sixth of
    the time, and `rate_per_s` between them.
    """
    base_rate_per_s = options.rate_per_s * 0.4 / 1.5
    stage_ms = options.seconds * MS_PER_SECOND / 6
    stages = (
        LoadStage(stage_ms, base_rate_per_s, base_rate_per_s),
        LoadStage(4 * stage_ms, options.rate_per_s, options.rate_per_s),
        LoadStage(stage_ms, base_rate_per_s, base_rate_per_s),
    )
    plan = LoadPlan(
        stages,
        HARVEST_CLASS_MIX,
        HARVEST_CUSTOMERS,
        shared_prefix_fraction=0.0,
        continued_fraction=0.0,
        seed=options.seed,
    )
    source = POLLUVILI_PATH.read_text(encoding="utf-8")
    return Profile(source, plan, FleetOptions())
