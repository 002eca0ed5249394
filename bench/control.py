"""Measure the control traffic of a fleet by size: messages, bytes, CPU, memory.

All processes' runtimes share this one process and loopback. Of the roles only the load
reports are there, so what is measured is membership, text, heartbeats and reports.

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
flags.DEFINE_list("sizes", ["10", "50", "200"], "Numbers of processes.")
flags.DEFINE_integer("seed", 1, "Seed of all random choices.")
flags.DEFINE_list("subsets", ["20"], "Numbers of sidecars an entry links to.")
flags.DEFINE_bool("reports", True, "Let sidecars send load reports.")
flags.DEFINE_float("seconds", 10.0, "Measured time of each phase.")
flags.DEFINE_string("json", "", "File for the rows.")

EDITS = 20
"""Changes of the text whose cost is averaged."""

ZONES = tuple(f"zone-{letter}" for letter in "abcdefgh")

SETTINGS = """
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

ENDPOINT = """
[endpoint]
service = llm
kind = model
address = 127.0.0.1:1
"""

TEXT = """
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


class DownStore:
    """A store in an outage: nothing measured here may depend on it."""

    def get(self, key):
        return StoreFailure("outage", maybe_written=False)

    def put(self, key, value, if_version):
        return StoreFailure("outage", maybe_written=False)

    def delete(self, key, if_version):
        return StoreFailure("outage", maybe_written=False)

    def watch(self, prefix, after, timeout_ms):
        return StoreFailure("outage", maybe_written=False)


class ReportingRole:
    """The part of a sidecar that reports its load to linked entries."""

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
    """Return one process; a third are entries, as at the target size."""
    role = "entry" if index % 3 == 0 else "side"
    source = SETTINGS.format(
        name=f"{role}-{index}",
        role=role,
        zone=ZONES[index % len(ZONES)],
        seeds=seeds,
        subset=subset,
    )
    settings = read_settings(source + (ENDPOINT if role == "side" else ""))
    assert isinstance(settings, Ok), settings
    rng = Random(FLAGS.seed * 1000 + index)
    options = link_options(settings.value.links)
    assert isinstance(options, Ok), options
    node = Node(settings.value, SystemClock(), DownStore(), options.value, rng)
    node.attach(ReportingRole(node))
    return node


def totals(nodes: list[Node]) -> tuple[int, int]:
    """Return messages and bytes sent by all processes since their start."""
    messages = sum(node.options.counts.messages_sent for node in nodes)
    sent = sum(node.options.counts.bytes_sent for node in nodes)
    return messages, sent


def measure_phase(nodes: list[Node], seconds: float) -> dict:
    """Run for a while and return rates for one process."""
    messages, sent = totals(nodes)
    cpu = time.process_time()
    began = time.monotonic()
    sleep(seconds)
    elapsed = time.monotonic() - began
    messages_after, sent_after = totals(nodes)
    count = len(nodes) * elapsed
    return {
        "messages_per_s": round((messages_after - messages) / count, 2),
        "bytes_per_s": round((sent_after - sent) / count, 1),
        "cpu_percent": round(100 * (time.process_time() - cpu) / count, 3),
    }


def wait_for(condition: Callable[[], bool], limit_s: float = 60.0) -> float:
    """Wait until the condition holds; return the seconds it took."""
    began = time.monotonic()
    while not condition() and time.monotonic() - began < limit_s:
        sleep(0.02)
    return round(time.monotonic() - began, 3)


def all_know(nodes: list[Node], size: int) -> bool:
    """Return whether every process knows `size` members."""
    return all(len(list(node.members.records())) == size for node in nodes)


def all_have(nodes: list[Node], version: int) -> bool:
    """Return whether every process has this version of the text in force."""
    return all(node.configuration.version == version for node in nodes)


def build_fleet(size: int, subset: int) -> list[Node]:
    """Start `size` processes that join through the first."""
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
    """Change the text at one process and return the cost of one edit for each."""
    messages, sent = totals(nodes)
    cpu = time.process_time()
    spread = []
    for version in range(2, 2 + EDITS):
        nodes[0].configuration.offer(version, TEXT.format(wait=5000 + version))
        spread.append(wait_for(lambda wanted=version: all_have(nodes, wanted)))
    sleep(0.5)
    messages_after, sent_after = totals(nodes)
    per_edit = EDITS * len(nodes)
    return {
        "messages": round((messages_after - messages) / per_edit, 2),
        "bytes": round((sent_after - sent) / per_edit, 1),
        "cpu_ms": round(1000 * (time.process_time() - cpu) / per_edit, 3),
        "spread_max_s": max(spread),
    }


def run_size(size: int, subset: int) -> dict:
    """Build a fleet of `size` processes and measure it."""
    before_kb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    nodes = build_fleet(size, subset)
    join_s = wait_for(lambda: all_know(nodes, size))
    nodes[0].configuration.offer(1, TEXT.format(wait=4000))
    first_text_s = wait_for(lambda: all_have(nodes, 1))
    sleep(3.0)
    row = {
        "size": size,
        "subset": subset,
        "join_s": join_s,
        "first_text_s": first_text_s,
    }
    row["idle"] = measure_phase(nodes, FLAGS.seconds)
    row["edit"] = measure_edits(nodes)
    row["links"] = round(sum(len(node.links) for node in nodes) / size, 1)
    after_kb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    row["memory_kb"] = round((after_kb - before_kb) / size, 1)
    for node in nodes:
        node.stop()
    sleep(0.5)
    return row


def main(_argv: list[str]) -> None:
    """Measure each size and print one JSON row each."""
    rows = []
    for size in FLAGS.sizes:
        for subset in FLAGS.subsets:
            rows.append(run_size(int(size), int(subset)))
            print(json.dumps(rows[-1]), flush=True)
    if FLAGS.json:
        with open(FLAGS.json, "w") as file:
            json.dump(rows, file, indent=1)


if __name__ == "__main__":
    app.run(main)
