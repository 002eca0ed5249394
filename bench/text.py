"""Cost of the configuration text: parsing, edits, memory and bytes, by customers.

Run `python -m bench.text --seed=1`. An edit changes one customer. Its cost in a peer is
given beside that of parsing the whole text again, which is the baseline.
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
flags.DEFINE_integer("seed", 1, "Seed of the text and the edits.")
flags.DEFINE_integer("edits", 30, "Edits of which the median is given.")
flags.DEFINE_list("customers", ["10", "1000", "29000"], "Sizes of the text.")

BURST_EDITS_PER_MINUTE = 100
EDITS_PER_DAY = 3300

BASE = """\
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
CLASS = """
[class {name}]
priority = {priority}
target = whole {target}s
max_wait = 60s
min_share = 10%
"""


@dataclass(frozen=True)
class Row:
    """Figures of one size; times in ms, sizes in bytes."""

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


def make_text(customers: int, random: Random) -> str:
    """Return a text for a number of customers."""
    names = ("chat", "desk", "dossier", "tagging")
    classes = [
        CLASS.format(name=name, priority=i, target=10 * (i + 1))
        for i, name in enumerate(names)
    ]
    rows = [_customer(i, random) for i in range(customers)]
    return BASE + "".join(classes) + "".join(rows)


def _customer(number: int, random: Random) -> str:
    key = sha256(str(number).encode()).hexdigest()
    return (
        f"\n[customer c-{number:05d}]\nweight = {random.randint(1, 4)}\nkeys = {key}\n"
        f"classes = chat, desk\nrequests_per_s = {random.randint(1, 50)}\n"
        f"tokens_per_s = {random.randint(100, 4000)}\n"
    )


def edited_texts(source: str, customers: int, random: Random) -> Iterator[str]:
    """Yield texts that each change one more customer."""
    while True:
        number = random.randrange(customers)
        head, name, rest = source.partition(f"[customer c-{number:05d}]\nweight = ")
        source = (
            head + name + str(random.randint(5, 1_000_000)) + rest[rest.index("\n") :]
        )
        yield source


def timed_ms(run: Callable[[], Any]) -> tuple[float, Any]:
    """Return the processor time of a call in ms, and its result."""
    start = time.process_time()
    result = run()
    return (time.process_time() - start) * 1000.0, result


def encoded_size(message: Any) -> int:
    """Return the size of a message on the wire."""
    row = [PROTOCOL_VERSION, type(message).NUMBER, *astuple(message)]
    return len(cbor2.dumps(row))


def parsed(
    source: str, version: int, base: Configuration | None = None
) -> Configuration:
    """Return the text, which must be valid."""
    result = parse_configuration(source, version, base)
    assert isinstance(result, Ok), result
    return result.value


def measure(customers: int, seed: int, edits: int) -> Row:
    """Measure one size."""
    random = Random(seed)
    source = make_text(customers, random)
    parse_ms = min(timed_ms(lambda: parsed(source, 1))[0] for _ in range(3))
    entry_ms, peer_ms, change = _measure_edits(source, customers, random, edits)
    peer_median = statistics.median(peer_ms)
    edits_ms = peer_median * EDITS_PER_DAY
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
        day_core=edits_ms / 86_400_000.0,
        version_bytes=encoded_size(TextVersion(2, "0" * 32)),
        change_bytes=encoded_size(change),
        whole_bytes=_whole_bytes(source),
        store_bytes=_store_bytes(source, customers, random),
    )


def _keeper(source: str) -> ConfigurationReplica:
    keeper = ConfigurationReplica(lambda message: None)
    assert keeper.offer(1, source)
    return keeper


def _answer(keeper: ConfigurationReplica, have_version: int) -> TextChange:
    sent: list[Any] = []
    keeper.on_text_request(TextRequest(have_version), sent.append)
    return sent[0]


def _whole_bytes(source: str) -> int:
    """Return the bytes of all parts of a whole text."""
    text = parsed(source, 1)
    total = part = 0
    while (message := chunk_message(text, part)) is not None:
        total += encoded_size(message)
        part += 1
    return total


def _measure_edits(
    source: str, customers: int, random: Random, edits: int
) -> tuple[list[float], list[float], TextChange]:
    """Return times of edits at the entry and at a peer, and the last message."""
    entry, peer = _keeper(source), _keeper(source)
    gc.collect()
    entry_ms, peer_ms = [], []
    texts = edited_texts(source, customers, random)
    change = TextChange(0, 0, [], [], "")
    for version in range(2, edits + 2):
        text = next(texts)
        entry_ms.append(timed_ms(lambda v=version, t=text: entry.offer(v, t))[0])
        change = _answer(entry, version - 1)
        took, _ = timed_ms(lambda c=change: peer.on_text_change(c, lambda m: None))
        peer_ms.append(took)
        assert peer.digest == entry.digest
    return entry_ms, peer_ms, change


def _submit_ms(source: str, customers: int, random: Random, edits: int) -> float:
    """Return the time of a submission at the entry, from the body to the answer."""
    keeper = ConfigurationReplica(lambda message: None)
    api = OperatorsApi(
        keeper, MemoryStore(), lambda v, t: [], dict, lambda ms: None, ""
    )
    texts = edited_texts(source, customers, random)
    took = []
    for version in range(edits):
        fields = {"base_version": version, "submission_id": str(version)}
        body = json.dumps({**fields, "source": next(texts)}).encode()
        environ = {
            "REQUEST_METHOD": "PUT",
            "PATH_INFO": "/admin/text",
            "CONTENT_LENGTH": str(len(body)),
            "wsgi.input": io.BytesIO(body),
        }
        took.append(timed_ms(lambda e=environ: api(e, lambda status, headers: None))[0])
        assert keeper.version == version + 1
    return statistics.median(took)


def _store_bytes(source: str, customers: int, random: Random) -> int:
    """Return the bytes of the head and the parts that one edit writes."""
    first = parsed(source, 1)
    empty = Head(version=0, submission_id="", digest="")
    old = build_stored_configuration(first.sections, empty, "a" * 32)
    edited = parsed(next(edited_texts(source, customers, random)), 2, first)
    new: StoredConfiguration = build_stored_configuration(
        edited.sections, old.head, "b" * 32
    )
    parts = [
        part.source
        for digest, part in new.chunk_by_digest.items()
        if digest not in old.chunk_by_digest
    ]
    return len(new.head.encode()) + sum(len(part.encode()) for part in parts)


def _memory_mb(source: str) -> float:
    """Return what a text in force takes, with all that is kept of its sections."""
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    keeper = _keeper(source)
    gc.collect()
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    assert keeper.version == 1
    return (after - before) / 1e6


def main(argv: list[str]) -> None:
    """Print one row for each size."""
    rows = [measure(int(n), FLAGS.seed, FLAGS.edits) for n in FLAGS.customers]
    titles = list(Row.__dataclass_fields__)
    table = [[f"{value:.5g}" for value in astuple(row)] for row in rows]
    # One line for each figure, because there are more figures than sizes.
    columns = [[title, *[row[i] for row in table]] for i, title in enumerate(titles)]
    print(format_table([*columns[0]], columns[1:]))


if __name__ == "__main__":
    app.run(main)
