"""Measure the cost of a configuration by its number of customers.

Run `python -m bench.text --seed=1`. An edit changes one customer. Its cost at a peer is
compared with the baseline, which is to parse the whole configuration.
"""

import gc
import io
import json
import statistics
import time
import tracemalloc
from collections.abc import Callable, Iterator
from dataclasses import astuple, dataclass
from hashlib import sha256
from random import Random
from typing import Any

import cbor2
from absl import app, flags

from wigeonwind.links.messages import (
    PROTOCOL_VERSION,
    TextChange,
    TextRequest,
    TextVersion,
)
from wigeonwind.outcomes import Ok
from wigeonwind.runtime.operators_api import OperatorsApi
from wigeonwind.state.configuration import Configuration, parse_configuration
from wigeonwind.state.configuration_head import (
    Head,
    StoredConfiguration,
    build_stored_configuration,
)
from wigeonwind.state.configuration_messages import chunk_message
from wigeonwind.state.configuration_replica import ConfigurationReplica
from wigeonwind.state.memory_store import MemoryStore
from wigeonwind.tool.commands import format_table

FLAGS = flags.FLAGS
flags.DEFINE_integer("seed", 1, "Seed of the configuration and the edits.")
flags.DEFINE_integer("edits", 30, "Edits over which the median is taken.")
flags.DEFINE_list("customers", ["10", "1000", "29000"], "Numbers of customers.")

BURST_EDITS_PER_MINUTE = 100
EDITS_PER_DAY = 3300

BASE_SOURCE = """\
[defaults]
requests_per_s = 5

[service wigeon-llm]
kind = model
models = barley-7b
classes = chat, dossier, tagging

[service spot-desk]
kind = plain
classes = desk
"""
CLASS_TEMPLATE = """
[class {name}]
priority = {priority}
target = whole {target}s
max_wait = 60s
min_share = 10%
"""


@dataclass(frozen=True)
class Row:
    """Results for one number of customers; times in ms, sizes in bytes.

    `parse_ms` is for the whole configuration and `memory_mb` for a replica with it.
    `entry_ms`, `submit_ms` and `peer_ms` are for one edit: at the entry, at the entry
    from the HTTP body to the response, and at a peer. `ratio` is `parse_ms` to
    `peer_ms`. `burst_core` and `day_core` are the fractions of a core that a peer uses
    at BURST_EDITS_PER_MINUTE and EDITS_PER_DAY. `version_bytes`, `change_bytes` and
    `whole_bytes` are encoded messages: a version, an edit, all chunks. `store_bytes`
    is what one edit writes to the store.
    """

    customers: int
    text_bytes: int
    parse_ms: float
    memory_mb: float
    entry_ms: float
    submit_ms: float
    peer_ms: float
    ratio: float
    burst_core: float
    day_core: float
    version_bytes: int
    change_bytes: int
    whole_bytes: int
    store_bytes: int


def make_source(customers: int, random: Random) -> str:
    """Return the source of a configuration with a number of customers."""
    names = ("chat", "desk", "dossier", "tagging")
    classes = [
        CLASS_TEMPLATE.format(name=name, priority=i, target=10 * (i + 1))
        for i, name in enumerate(names)
    ]
    rows = [_customer_section(i, random) for i in range(customers)]
    return BASE_SOURCE + "".join(classes) + "".join(rows)


def _customer_section(number: int, random: Random) -> str:
    key = sha256(str(number).encode()).hexdigest()
    return (
        f"\n[customer c-{number:05d}]\nweight = {random.randint(1, 4)}\nkeys = {key}\n"
        f"classes = chat, desk\nrequests_per_s = {random.randint(1, 50)}\n"
        f"tokens_per_s = {random.randint(100, 4000)}\n"
    )


def edited_sources(source: str, customers: int, random: Random) -> Iterator[str]:
    """Yield sources that each change one customer of the one before."""
    while True:
        number = random.randrange(customers)
        head, name, rest = source.partition(f"[customer c-{number:05d}]\nweight = ")
        source = (
            head + name + str(random.randint(5, 1_000_000)) + rest[rest.index("\n") :]
        )
        yield source


def timed_ms(call: Callable[[], Any]) -> tuple[float, Any]:
    """Return the CPU time of a call in ms, and its result."""
    start = time.process_time()
    result = call()
    return (time.process_time() - start) * 1000.0, result


def encoded_size(message: Any) -> int:
    """Return the encoded size of a message in bytes."""
    row = [PROTOCOL_VERSION, type(message).NUMBER, *astuple(message)]
    return len(cbor2.dumps(row))


def parse_valid(
    source: str, version: int, base: Configuration | None = None
) -> Configuration:
    """Return the parsed configuration; raise AssertionError if it is invalid."""
    result = parse_configuration(source, version, base)
    assert isinstance(result, Ok), result
    return result.value


def measure(customers: int, seed: int, edits: int) -> Row:
    """Measure a configuration with this number of customers."""
    random = Random(seed)
    source = make_source(customers, random)
    parse_ms = min(timed_ms(lambda: parse_valid(source, 1))[0] for _ in range(3))
    entry_ms, peer_ms, change = _measure_edits(source, customers, random, edits)
    peer_median = statistics.median(peer_ms)
    daily_edits_ms = peer_median * EDITS_PER_DAY
    return Row(
        customers=customers,
        text_bytes=len(source),
        parse_ms=parse_ms,
        memory_mb=_memory_mb(source),
        entry_ms=statistics.median(entry_ms),
        submit_ms=_submit_ms(source, customers, random, edits),
        peer_ms=peer_median,
        ratio=parse_ms / peer_median,
        burst_core=peer_median * BURST_EDITS_PER_MINUTE / 60_000.0,
        day_core=daily_edits_ms / 86_400_000.0,
        version_bytes=encoded_size(TextVersion(2, "0" * 32)),
        change_bytes=encoded_size(change),
        whole_bytes=_whole_bytes(source),
        store_bytes=_store_bytes(source, customers, random),
    )


def _make_replica(source: str) -> ConfigurationReplica:
    replica = ConfigurationReplica(lambda message: None)
    assert replica.offer(1, source)
    return replica


def _change_message(replica: ConfigurationReplica, have_version: int) -> TextChange:
    sent: list[Any] = []
    replica.on_text_request(TextRequest(have_version), sent.append)
    return sent[0]


def _whole_bytes(source: str) -> int:
    """Return the encoded size of all chunks of a whole configuration."""
    configuration = parse_valid(source, 1)
    total = chunk_index = 0
    while (message := chunk_message(configuration, chunk_index)) is not None:
        total += encoded_size(message)
        chunk_index += 1
    return total


def _measure_edits(
    source: str, customers: int, random: Random, edits: int
) -> tuple[list[float], list[float], TextChange]:
    """Return the CPU times in ms of edits at the entry and at a peer.

    The third value is the message of the last edit.
    """
    entry, peer = _make_replica(source), _make_replica(source)
    gc.collect()
    entry_ms, peer_ms = [], []
    sources = edited_sources(source, customers, random)
    change = TextChange(0, 0, [], [], "")
    for version in range(2, edits + 2):
        edited_source = next(sources)
        entry_ms.append(
            timed_ms(lambda v=version, t=edited_source: entry.offer(v, t))[0]
        )
        change = _change_message(entry, version - 1)
        elapsed_ms, _ = timed_ms(
            lambda c=change: peer.on_text_change(c, lambda m: None)
        )
        peer_ms.append(elapsed_ms)
        assert peer.digest == entry.digest
    return entry_ms, peer_ms, change


def _submit_ms(source: str, customers: int, random: Random, edits: int) -> float:
    """Return the median CPU time in ms of a submission at the entry.

    It includes reading the HTTP body and building the response.
    """
    replica = ConfigurationReplica(lambda message: None)
    api = OperatorsApi(
        replica, MemoryStore(), lambda v, t: [], dict, lambda ms: None, ""
    )
    sources = edited_sources(source, customers, random)
    edit_times_ms = []
    for version in range(edits):
        fields = {"base_version": version, "submission_id": str(version)}
        body = json.dumps({**fields, "source": next(sources)}).encode()
        environ = {
            "REQUEST_METHOD": "PUT",
            "PATH_INFO": "/admin/text",
            "CONTENT_LENGTH": str(len(body)),
            "wsgi.input": io.BytesIO(body),
        }
        edit_times_ms.append(
            timed_ms(lambda e=environ: api(e, lambda status, headers: None))[0]
        )
        assert replica.version == version + 1
    return statistics.median(edit_times_ms)


def _store_bytes(source: str, customers: int, random: Random) -> int:
    """Return the size of the head and the chunks that one edit writes to the store."""
    first = parse_valid(source, 1)
    empty = Head(version=0, submission_id="", digest="")
    old = build_stored_configuration(first.sections, empty, "a" * 32)
    edited = parse_valid(next(edited_sources(source, customers, random)), 2, first)
    new: StoredConfiguration = build_stored_configuration(
        edited.sections, old.head, "b" * 32
    )
    written_chunks = [
        chunk.source
        for digest, chunk in new.chunk_by_digest.items()
        if digest not in old.chunk_by_digest
    ]
    return len(new.head.encode()) + sum(len(chunk.encode()) for chunk in written_chunks)


def _memory_mb(source: str) -> float:
    """Return the memory of a replica with a configuration, including its sections."""
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    replica = _make_replica(source)
    gc.collect()
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    assert replica.version == 1
    return (after - before) / 1e6


def main(argv: list[str]) -> None:
    """Print a table with one line per figure and one column per size."""
    rows = [measure(int(n), FLAGS.seed, FLAGS.edits) for n in FLAGS.customers]
    titles = list(Row.__dataclass_fields__)
    table = [[f"{value:.5g}" for value in astuple(row)] for row in rows]
    # Transposed, because there are more figures than sizes.
    columns = [[title, *[row[i] for row in table]] for i, title in enumerate(titles)]
    print(format_table([*columns[0]], columns[1:]))


if __name__ == "__main__":
    app.run(main)
