"""Lookup of customers by API key over successive catalogs."""

import hashlib

from wigeonwind.catalog import Catalog, Customer
from wigeonwind.entry.caller_identity import (
    REBUILD_MARGIN,
    CustomerDirectory,
    KeyIndex,
)


def customer(name: str, *keys: str) -> Customer:
    digests = [hashlib.sha256(key.encode()).hexdigest() for key in keys]
    return Customer(name, keys=tuple(digests))


def directory(index: KeyIndex, version: int, *rows: Customer) -> CustomerDirectory:
    by_name = {row.name: row for row in rows}
    index.update(by_name)
    return CustomerDirectory(Catalog(version, customer_by_name=by_name), index)


def name_of(found: Customer | None) -> str | None:
    return found.name if found else None


def test_each_catalog_finds_its_own_keys() -> None:
    # Guards against a removed key that stays valid, or a key that changes owner early.
    index = KeyIndex()
    first = directory(index, 1, customer("a", "k1"), customer("b", "k2"))
    second = directory(index, 2, customer("a", "k2", "k3"), customer("b"))
    assert [name_of(first.customer_for_key(k)) for k in ("k1", "k2", "k3")] == [
        "a",
        "b",
        None,
    ]
    assert [name_of(second.customer_for_key(k)) for k in ("k1", "k2", "k3")] == [
        None,
        "a",
        "a",
    ]


def test_unchanged_customers_are_not_indexed_again() -> None:
    # Guards against rebuilding a large index, which pauses all streams, at each change.
    index = KeyIndex()
    rows = [customer(f"c{number}", f"k{number}") for number in range(100)]
    directory(index, 1, *rows)
    changed = directory(index, 2, *rows[1:], customer("c0", "new"))
    assert index.keys_added == 101
    assert name_of(changed.customer_for_key("new")) == "c0"
    assert name_of(changed.customer_for_key("k99")) == "c99"


def test_index_stays_bounded() -> None:
    # Guards against memory that grows with each key change.
    index = KeyIndex()
    for version in range(REBUILD_MARGIN + 20):
        last = directory(index, version, customer("a", f"k{version}"))
    assert index.keys_added < 20
    assert name_of(last.customer_for_key(f"k{REBUILD_MARGIN + 19}")) == "a"
