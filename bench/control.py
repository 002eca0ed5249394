"""Measure the control traffic of a fleet by its size: messages, bytes, CPU, memory.

All nodes run in this process and communicate over loopback. They carry no requests, so
the figures cover membership, configuration, heartbeats and load reports.

    python -m bench.control --sizes=20,60,180 --subsets=20 --seed=1
    python -m bench.control --sizes=90 --subsets=5,10,20,40 --seed=1
"""

from gevent import monkey

monkey.patch_all()

import json  # noqa: E402
import resource  # noqa: E402
import time  # noqa: E402
from collections.abc import Callable  # noqa: E402
from random import Random  # noqa: E402

from absl import app, flags  # noqa: E402
from gevent import sleep, spawn  # noqa: E402

from wigeonwind.clock import SystemClock  # noqa: E402
from wigeonwind.links.link import link_options  # noqa: E402
from wigeonwind.links.messages import LoadReport  # noqa: E402
from wigeonwind.outcomes import Ok  # noqa: E402
from wigeonwind.runtime.node import Node  # noqa: E402
from wigeonwind.settings import read_settings  # noqa: E402
from wigeonwind.state.store_types import StoreFailure  # noqa: E402

FLAGS = flags.FLAGS
flags.DEFINE_list("sizes", ["10", "50", "200"], "Fleet sizes, in nodes.")
flags.DEFINE_integer("seed", 1, "Seed of all random number generators.")
flags.DEFINE_list("subsets", ["20"], "Numbers of sidecars to which an entry links.")
flags.DEFINE_bool("reports", True, "Whether sidecars send load reports.")
flags.DEFINE_float("seconds", 10.0, "Measured seconds without edits.")
flags.DEFINE_string("json", "", "File to which the rows are written as JSON.")

EDIT_COUNT = 20
"""Number of configuration changes over which the cost of one is averaged."""

ZONES = tuple(f"zone-{letter}" for letter in "abcdefgh")

SETTINGS_TEMPLATE = """
[node]
id = {name}
role = {role}
zone = {zone}
region = region-1
[listen]
callers = 127.0.0.1:0
links = 127.0.0.1:0
[platform]
store = 127.0.0.1:1
seeds = {seeds}
[links]
subset_size = {subset}
"""

ENDPOINT_SECTION = """
[endpoint]
service = llm
kind = model
address = 127.0.0.1:1
"""

CONFIGURATION_TEMPLATE = """
[service llm]
kind = model
models = m
classes = chat
default_class = chat
[class chat]
priority = 0
target = first-token 1500ms
max_wait = {wait}ms
"""


class UnavailableStore:
    """A store in an outage; none of the measured traffic may depend on the store."""

    def get(self, key):
        return StoreFailure("outage", maybe_written=False)

    def put(self, key, value, if_version):
        return StoreFailure("outage", maybe_written=False)

    def delete(self, key, if_version):
        return StoreFailure("outage", maybe_written=False)

    def watch(self, prefix, after, timeout_ms):
        return StoreFailure("outage", maybe_written=False)


class ReportingRole:
    """A role that sends load reports to the linked entries if its node is a sidecar."""

    def __init__(self, node: Node) -> None:
        self._node = node

    def on_up(self, link):
        pass

    def on_message(self, link, message):
        return isinstance(message, LoadReport)

    def on_down(self, link, reason):
        pass

    def set_catalog(self, catalog):
        pass

    def start(self):
        if self._node.settings.node.role == "side" and FLAGS.reports:
            spawn(self._report_loop)

    def drain(self):
        pass

    def stop(self):
        pass

    def _report_loop(self):
        rows = [["chat", 3], ["dossier", 9]]
        report = LoadReport(
            "side-1", 8, 16, rows, 8, 500.0, 21.5, 180.0, 400, True, rows
        )
        while True:
            sleep(self._node.settings.links.report_ms / 1000)
            for link in self._node.links.active_links():
                if link.hello.role == "entry":
                    link.send(report)


def make_node(index: int, seeds: str, subset: int) -> Node:
    """Return one node; every third is an entry, as in a fleet of the target size."""
    role = "entry" if index % 3 == 0 else "side"
    source = SETTINGS_TEMPLATE.format(
        name=f"{role}-{index}",
        role=role,
        zone=ZONES[index % len(ZONES)],
        seeds=seeds,
        subset=subset,
    )
    settings = read_settings(source + (ENDPOINT_SECTION if role == "side" else ""))
    assert isinstance(settings, Ok), settings
    rng = Random(FLAGS.seed * 1000 + index)
    options = link_options(settings.value.links)
    assert isinstance(options, Ok), options
    node = Node(settings.value, SystemClock(), UnavailableStore(), options.value, rng)
    node.attach(ReportingRole(node))
    return node


def sent_totals(nodes: list[Node]) -> tuple[int, int]:
    """Return the numbers of messages and bytes that all nodes have sent."""
    messages = sum(node.options.counts.messages_sent for node in nodes)
    bytes_sent = sum(node.options.counts.bytes_sent for node in nodes)
    return messages, bytes_sent


def measure_idle(nodes: list[Node], seconds: float) -> dict:
    """Return the rates of one node, averaged over all nodes and `seconds`."""
    messages_before, bytes_before = sent_totals(nodes)
    cpu_before_s = time.process_time()
    started_s = time.monotonic()
    sleep(seconds)
    elapsed_s = time.monotonic() - started_s
    messages_after, bytes_after = sent_totals(nodes)
    node_seconds = len(nodes) * elapsed_s
    return {
        "messages_per_s": round((messages_after - messages_before) / node_seconds, 2),
        "bytes_per_s": round((bytes_after - bytes_before) / node_seconds, 1),
        "cpu_percent": round(
            100 * (time.process_time() - cpu_before_s) / node_seconds, 3
        ),
    }


def wait_for(condition: Callable[[], bool], limit_s: float = 60.0) -> float:
    """Wait until the condition holds or `limit_s` has passed; return the wait in s."""
    started_s = time.monotonic()
    while not condition() and time.monotonic() - started_s < limit_s:
        sleep(0.02)
    return round(time.monotonic() - started_s, 3)


def have_all_members(nodes: list[Node], size: int) -> bool:
    """Return whether every node lists `size` members."""
    return all(len(list(node.members.records())) == size for node in nodes)


def have_configuration(nodes: list[Node], version: int) -> bool:
    """Return whether every node has this configuration version in force."""
    return all(node.configuration.version == version for node in nodes)


def build_fleet(size: int, subset: int) -> list[Node]:
    """Start `size` nodes that join the fleet through the first."""
    first = make_node(0, "", subset)
    seed_address = str(first.start())
    nodes = [first]
    for index in range(1, size):
        node = make_node(index, seed_address, subset)
        node.start()
        node.role.start()
        nodes.append(node)
    return nodes


def measure_edits(nodes: list[Node]) -> dict:
    """Edit the configuration at one node; return the cost of one edit to each node.

    `spread_max_s` is the longest time until an edit was in force at all nodes.
    """
    messages_before, bytes_before = sent_totals(nodes)
    cpu_before_s = time.process_time()
    propagation_times_s = []
    for version in range(2, 2 + EDIT_COUNT):
        nodes[0].configuration.offer(
            version, CONFIGURATION_TEMPLATE.format(wait=5000 + version)
        )
        propagation_times_s.append(
            wait_for(lambda expected=version: have_configuration(nodes, expected))
        )
    sleep(0.5)
    messages_after, bytes_after = sent_totals(nodes)
    edit_deliveries = EDIT_COUNT * len(nodes)
    return {
        "messages": round((messages_after - messages_before) / edit_deliveries, 2),
        "bytes": round((bytes_after - bytes_before) / edit_deliveries, 1),
        "cpu_ms": round(
            1000 * (time.process_time() - cpu_before_s) / edit_deliveries, 3
        ),
        "spread_max_s": max(propagation_times_s),
    }


def measure_fleet(size: int, subset: int) -> dict:
    """Build a fleet of `size` nodes and measure it."""
    memory_before_kb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    nodes = build_fleet(size, subset)
    join_s = wait_for(lambda: have_all_members(nodes, size))
    nodes[0].configuration.offer(1, CONFIGURATION_TEMPLATE.format(wait=4000))
    first_text_s = wait_for(lambda: have_configuration(nodes, 1))
    sleep(3.0)
    row = {
        "size": size,
        "subset": subset,
        "join_s": join_s,
        "first_text_s": first_text_s,
    }
    row["idle"] = measure_idle(nodes, FLAGS.seconds)
    row["edit"] = measure_edits(nodes)
    row["links"] = round(sum(len(node.links) for node in nodes) / size, 1)
    memory_after_kb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    row["memory_kb"] = round((memory_after_kb - memory_before_kb) / size, 1)
    for node in nodes:
        node.stop()
    sleep(0.5)
    return row


def main(_argv: list[str]) -> None:
    """Print one JSON row for each combination of fleet size and subset size."""
    rows = []
    for size in FLAGS.sizes:
        for subset in FLAGS.subsets:
            rows.append(measure_fleet(int(size), int(subset)))
            print(json.dumps(rows[-1]), flush=True)
    if FLAGS.json:
        with open(FLAGS.json, "w") as file:
            json.dump(rows, file, indent=1)


if __name__ == "__main__":
    app.run(main)
