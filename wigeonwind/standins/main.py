"""Runs one test double as a process, which prints `ready IP:PORT`.

Example: python -m wigeonwind.standins.main --kind=engine --listen=127.0.0.1:0
"""

from gevent import monkey

monkey.patch_all()

import json
import signal
from collections.abc import Callable
from dataclasses import fields

import gevent
from absl import app, flags
from gevent.event import Event

from wigeonwind.addresses import SocketAddress, parse_address
from wigeonwind.outcomes import Invalid
from wigeonwind.registry import Registry
from wigeonwind.standins.engine_server import EngineServer
from wigeonwind.standins.engine_types import EngineConfig
from wigeonwind.standins.faults import read_fault
from wigeonwind.standins.http_server import TestDoubleServer
from wigeonwind.standins.object_store import StoreLimits
from wigeonwind.standins.object_store_server import ObjectStoreServer
from wigeonwind.standins.plain_service import PlainServiceServer
from wigeonwind.standins.vm_list import VmListServer
from wigeonwind.standins.weight_store import WeightLimits, WeightStoreServer

ServerFactory = Callable[[SocketAddress], TestDoubleServer]

SERVER_FACTORIES: Registry[ServerFactory] = Registry("test double")

FLAGS = flags.FLAGS
flags.DEFINE_string("kind", None, "Test double to run, such as engine.", required=True)
flags.DEFINE_string("listen", "127.0.0.1:0", "IP:PORT to listen on; port 0 is any.")
flags.DEFINE_multi_string(
    "fault", [], "Fault to start with: a JSON body of POST /faults."
)
flags.DEFINE_string("engine", "{}", "Engine: fields of EngineConfig as JSON.")
flags.DEFINE_float("speed", 1.0, "Engine: speed of its clock, 1 for real time.")
flags.DEFINE_string("weight_store", "", "Engine: IP:PORT of the weight store, if any.")
flags.DEFINE_float("writes_per_s", 400.0, "Object store: limit of writes per second.")
flags.DEFINE_float(
    "reads_per_s", 2000.0, "Object store: limit of reads and watches per second."
)
flags.DEFINE_float("lag_ms", 0.0, "VM list: lag in milliseconds.")
flags.DEFINE_float(
    "fetch_ms", 2000.0, "Weight store: duration of a fetch in milliseconds."
)
flags.DEFINE_integer("parallel", 2, "Weight store: maximum of concurrent fetches.")
flags.DEFINE_float(
    "work_ms", 0.0, "Plain service: duration of a booking in milliseconds."
)
flags.DEFINE_bool(
    "checks_keys", False, "Plain service: execute each idempotency key once."
)


@SERVER_FACTORIES.register("engine")
def make_engine(address: SocketAddress) -> TestDoubleServer:
    """Create an engine."""
    values = json.loads(FLAGS.engine)
    field_names = {field.name for field in fields(EngineConfig)}
    unknown = sorted(set(values) - field_names)
    if unknown:
        raise app.UsageError(f"--engine: unknown fields {', '.join(unknown)}")
    weight_store = parse_address(FLAGS.weight_store) if FLAGS.weight_store else None
    return EngineServer(address, EngineConfig(**values), FLAGS.speed, weight_store)


@SERVER_FACTORIES.register("object-store")
def make_object_store(address: SocketAddress) -> TestDoubleServer:
    """Create an object store."""
    return ObjectStoreServer(
        address, StoreLimits(FLAGS.writes_per_s, FLAGS.reads_per_s)
    )


@SERVER_FACTORIES.register("vm-list")
def make_vm_list(address: SocketAddress) -> TestDoubleServer:
    """Create a VM list."""
    return VmListServer(address, FLAGS.lag_ms)


@SERVER_FACTORIES.register("weight-store")
def make_weight_store(address: SocketAddress) -> TestDoubleServer:
    """Create a weight store."""
    return WeightStoreServer(address, WeightLimits(FLAGS.fetch_ms, FLAGS.parallel))


@SERVER_FACTORIES.register("plain")
def make_plain_service(address: SocketAddress) -> TestDoubleServer:
    """Create a plain service."""
    return PlainServiceServer(address, FLAGS.work_ms, FLAGS.checks_keys)


def start_server() -> TestDoubleServer:
    """Start the test double that the flags configure, with its initial faults."""
    factory = SERVER_FACTORIES.get(FLAGS.kind)
    if factory is None:
        raise app.UsageError(
            f"--kind must be one of {', '.join(SERVER_FACTORIES.names())}"
        )
    server = factory(parse_address(FLAGS.listen))
    for fault_json in FLAGS.fault:
        result = read_fault(json.loads(fault_json), server.supported_faults)
        if isinstance(result, Invalid):
            raise app.UsageError(f"--fault: {result.problems[0]}")
        server.inject(result.value)
    server.start()
    return server


def main(_argv: list[str]) -> None:
    """Serve until SIGTERM or SIGINT."""
    server = start_server()
    print(f"ready {server.address}", flush=True)
    stopped = Event()
    gevent.signal_handler(signal.SIGTERM, stopped.set)
    gevent.signal_handler(signal.SIGINT, stopped.set)
    stopped.wait()
    server.stop()


if __name__ == "__main__":
    app.run(main)
