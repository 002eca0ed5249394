"""`make demo`: a fleet in one process on loopback, with test doubles.

It consists of one entry (more would make no difference to a single caller), two model
engines and two plain services with their sidecars, and an object store. The
configuration is that of `examples/demo`.
"""

from gevent import monkey

monkey.patch_all()

import os
import signal
import sys
from dataclasses import dataclass, field, replace
from pathlib import Path

import gevent
from gevent.event import Event

from wigeonwind.addresses import SocketAddress
from wigeonwind.ids import new_id
from wigeonwind.outcomes import Invalid, Ok
from wigeonwind.runtime.logs import configure_logs
from wigeonwind.runtime.process import Process, build_process
from wigeonwind.settings import read_settings
from wigeonwind.standins.engine_server import EngineServer
from wigeonwind.standins.engine_types import EngineConfig
from wigeonwind.standins.object_store_server import ObjectStoreServer
from wigeonwind.standins.plain_service import PlainServiceServer
from wigeonwind.state.configuration import parse_configuration
from wigeonwind.state.configuration_store import Accepted, submit_steps
from wigeonwind.state.rollouts import RolloutTimings
from wigeonwind.state.store_steps import run_steps

CONFIGURATION_PATH = Path(__file__).parents[2] / "examples" / "demo" / "text.ini"

DEMO_ENGINE = EngineConfig(
    slots=128,
    prefill_tokens_per_s=100_000.0,
    decode_ms_base=8.0,
    decode_ms_per_running=0.02,
    kv_limit_tokens=500_000,
)
"""Fast enough for 200 concurrent callers to get a first token without delay."""

LOOPBACK = "127.0.0.1"
ANY_PORT = SocketAddress(LOOPBACK, 0)

READY_POLL_INTERVAL_S = 0.02
READY_TIMEOUT_S = 30.0


@dataclass
class DemoFleet:
    """The components of a demo or an end-to-end test."""

    store: ObjectStoreServer
    store_address: SocketAddress
    engines: list[EngineServer] = field(default_factory=list)
    services: list[PlainServiceServer] = field(default_factory=list)
    entries: list[Process] = field(default_factory=list)
    sidecars: list[Process] = field(default_factory=list)
    callers: list[SocketAddress] = field(default_factory=list)
    operators: list[SocketAddress] = field(default_factory=list)
    seed_address: str = ""

    def stop(self) -> None:
        """Stop all components immediately."""
        for process in [*self.entries, *self.sidecars]:
            process.stop()
        for server in [*self.engines, *self.services, self.store]:
            server.stop()


def settings_source(
    name: str, role: str, zone: str, store: str, seeds: str, port: int = 0
) -> str:
    """Return the settings file of a process on loopback."""
    callers = f"callers = {LOOPBACK}:{port}" if role == "entry" else ""
    return f"""
[node]
id = {name}
role = {role}
zone = {zone}
region = ee-south
[listen]
{callers}
links = {LOOPBACK}:0
operators = {LOOPBACK}:0
metrics_for_callers = yes
[platform]
store = {store}
seeds = {seeds}
[drain]
grace_ms = 500
"""


def endpoint_source(service: str, kind: str, address: SocketAddress) -> str:
    """Return the settings section of a sidecar's endpoint."""
    return f"[endpoint]\nservice = {service}\nkind = {kind}\naddress = {address}\n"


def make_process(source: str) -> Process:
    """Return a process; raise AssertionError if the settings are invalid."""
    settings = read_settings(source)
    assert isinstance(settings, Ok), settings
    built = build_process(settings.value)
    assert isinstance(built, Ok), built
    return built.value


def submit_configuration(fleet: DemoFleet, source: str) -> None:
    """Submit the configuration to the store and bring it into force."""
    checked = parse_configuration(source, 1, None)
    if isinstance(checked, Invalid):
        raise AssertionError("; ".join(str(each) for each in checked.problems))
    process = fleet.entries[0]
    steps = submit_steps(0, new_id(), checked.value.sections)
    result = run_steps(steps, process.node.store, lambda ms: gevent.sleep(ms / 1000))
    assert isinstance(result, Accepted), result
    process.node.configuration.offer(result.version, source)


def add_entry(
    fleet: DemoFleet,
    name: str,
    zone: str,
    port: int = 0,
    rollout_timings: RolloutTimings | None = None,
) -> Process:
    """Start an entry and add it to the fleet."""
    store = str(fleet.store_address)
    process = make_process(
        settings_source(name, "entry", zone, store, fleet.seed_address, port)
    )
    process.node.rollout_timings = rollout_timings or process.node.rollout_timings
    addresses = process.start()
    fleet.entries.append(process)
    assert addresses.callers is not None
    assert addresses.operators is not None
    fleet.callers.append(addresses.callers)
    fleet.operators.append(addresses.operators)
    fleet.seed_address = fleet.seed_address or str(addresses.links)
    return process


def add_sidecar(
    fleet: DemoFleet,
    name: str,
    zone: str,
    service: str,
    kind: str,
    address: SocketAddress,
) -> Process:
    """Start the sidecar of an endpoint and add it to the fleet."""
    store = str(fleet.store_address)
    source = settings_source(name, "side", zone, store, fleet.seed_address)
    process = make_process(source + endpoint_source(service, kind, address))
    process.start()
    fleet.sidecars.append(process)
    return process


def start_fleet(
    source: str,
    engines: int = 2,
    services: int = 2,
    entries: int = 1,
    port: int = 0,
    config: EngineConfig = DEMO_ENGINE,
    rollout_timings: RolloutTimings | None = None,
    weight_store: SocketAddress | None = None,
) -> DemoFleet:
    """Start test doubles, entries and sidecars; wait until they are ready."""
    zones = ("tartu-a", "viljandi-b", "voru-c")
    store = ObjectStoreServer(ANY_PORT)
    fleet = DemoFleet(store, store.start())
    for number in range(entries):
        add_entry(
            fleet,
            f"entry-{number}",
            zones[number % 3],
            port if not number else 0,
            rollout_timings,
        )
    submit_configuration(fleet, source)
    for number in range(engines):
        engine = EngineServer(
            ANY_PORT, replace(config, seed=number), weight_store=weight_store
        )
        fleet.engines.append(engine)
        zone, name = zones[number % 3], f"llm-side-{number}"
        add_sidecar(fleet, name, zone, "wigeon-llm", "model", engine.start())
    for number in range(services):
        service = PlainServiceServer(ANY_PORT)
        fleet.services.append(service)
        zone, name = zones[number % 3], f"desk-side-{number}"
        add_sidecar(fleet, name, zone, "spot-desk", "plain", service.start())
    wait_until_ready(fleet, engines + services)
    return fleet


def wait_until_ready(fleet: DemoFleet, sidecars: int) -> None:
    """Wait until every entry is ready and has this number of ready endpoints."""
    with gevent.Timeout(READY_TIMEOUT_S):
        for process in fleet.entries:
            while not process.ready or _count_ready_endpoints(process) < sidecars:
                gevent.sleep(READY_POLL_INTERVAL_S)


def _count_ready_endpoints(process: Process) -> int:
    rows = process.status().get("endpoints", [])
    return sum(bool(row["ready"]) for row in rows)


def main() -> None:
    """Serve until SIGTERM or SIGINT."""
    configure_logs()
    try:
        port = int(os.environ.get("PORT", "8080"))
    except ValueError:
        sys.exit(f"PORT = {os.environ['PORT']!r}: expected a number")
    stop = Event()
    gevent.signal_handler(signal.SIGTERM, stop.set)
    gevent.signal_handler(signal.SIGINT, stop.set)
    source = CONFIGURATION_PATH.read_text(encoding="utf-8")
    try:
        fleet = start_fleet(source, port=port)
    except OSError as error:
        sys.exit(f"cannot serve on port {port}: {error}")
    operators = fleet.operators[0]
    print(f"operators {operators}  (wigeonctl text show --entry={operators})")
    print(f"ready http://{fleet.callers[0]}", flush=True)
    stop.wait()
    fleet.stop()


if __name__ == "__main__":
    main()
