"""A configuration is submitted to the store and fetched, also under store faults."""

from random import Random
from typing import Any

import pytest
from test_configuration_parse import GOOD

from wigeonwind.outcomes import Invalid
from wigeonwind.state import configuration_head
from wigeonwind.state.configuration_head import HEAD_KEY
from wigeonwind.state.configuration_replica import ConfigurationReplica
from wigeonwind.state.configuration_sections import split_configuration
from wigeonwind.state.configuration_store import (
    Accepted,
    FetchedConfiguration,
    SubmitConflict,
    SubmitUnavailable,
    fetch_steps,
    submit_steps,
)
from wigeonwind.state.configuration_watcher import ConfigurationWatcher
from wigeonwind.state.memory_store import MemoryStore
from wigeonwind.state.store_steps import run_steps

EDITED = GOOD.replace("weight = 2", "weight = 3")


def large_source(size: int) -> str:
    customers = [f"[customer c-{i}]\nweight = {i + 1}\n" for i in range(size)]
    return GOOD + "".join(customers)


def submit(store: MemoryStore, base: int, submission: str, source: str) -> Any:
    steps = submit_steps(base, submission, split_configuration(source).sections)
    return run_steps(steps, store, lambda ms: None)


def fetch(store: MemoryStore) -> Any:
    return run_steps(fetch_steps(0, dict), store, lambda ms: None)


def test_a_submission_is_stored_and_fetched():
    store = MemoryStore()
    assert submit(store, 0, "s1", GOOD) == Accepted(1)
    assert fetch(store) == FetchedConfiguration(1, GOOD, "s1")


@pytest.mark.parametrize("fault", ["lose_answer", "fail_before"])
@pytest.mark.parametrize("count", [1, 2])
def test_a_lost_response_is_resolved_by_reading_back(fault: str, count: int):
    store = MemoryStore()
    submit(store, 0, "s1", GOOD)
    setattr(store.faults, fault, count)
    assert submit(store, 1, "s2", EDITED) == Accepted(2)
    assert store.version_of(HEAD_KEY) == 2


def test_a_submission_repeated_later_is_not_written_again():
    store = MemoryStore()
    submit(store, 0, "s1", GOOD)
    submit(store, 1, "s2", EDITED)
    assert submit(store, 0, "s1", GOOD) == Accepted(1)
    assert fetch(store) == FetchedConfiguration(2, EDITED, "s2")


def test_a_submission_id_cannot_be_reused_for_another_source():
    store = MemoryStore()
    submit(store, 0, "s1", GOOD)
    result = submit(store, 1, "s1", EDITED)
    assert isinstance(result, Invalid)
    assert store.version_of(HEAD_KEY) == 1


def test_the_second_of_two_operators_gets_the_source_of_the_first():
    store = MemoryStore()
    submit(store, 0, "s1", GOOD)
    submit(store, 1, "s2", EDITED)
    assert submit(store, 1, "s3", GOOD) == SubmitConflict(2, EDITED)


def test_an_outage_reports_whether_the_submission_may_be_accepted():
    store = MemoryStore()
    store.faults.down = True
    result = submit(store, 0, "s1", GOOD)
    assert isinstance(result, SubmitUnavailable)
    assert not result.maybe_accepted
    store = MemoryStore()
    store.faults.fail_before = 99
    result = submit(store, 0, "s1", GOOD)
    assert isinstance(result, SubmitUnavailable)
    assert result.maybe_accepted


def test_an_edit_of_a_large_configuration_writes_the_head_and_one_chunk():
    store = MemoryStore()
    source = large_source(2000)
    submit(store, 0, "s1", source)
    keys = set(store.object_by_key)
    assert len(keys) > 10
    # An insertion shifts all sections after it and must still change only one chunk.
    edited = source.replace("[customer c-999]", "[customer new]\n[customer c-999]")
    assert submit(store, 1, "s2", edited) == Accepted(2)
    assert len(set(store.object_by_key) - keys) == 1
    assert fetch(store) == FetchedConfiguration(2, edited, "s2")


def test_chunks_of_old_versions_are_deleted_after_their_retention(monkeypatch):
    monkeypatch.setattr(configuration_head, "CHUNK_RETENTION_VERSIONS", 3)
    store = MemoryStore()
    source = large_source(2000)
    for version in range(10):
        edited = source.replace("weight = 999", f"weight = {2000 + version}")
        assert submit(store, version, f"s{version}", edited) == Accepted(version + 1)
        if version == 0:
            size = len(store.object_by_key)
    assert len(store.object_by_key) == size + 3
    assert fetch(store).source == edited


def test_a_damaged_or_missing_chunk_makes_the_head_unusable():
    store = MemoryStore()
    submit(store, 0, "s1", large_source(2000))
    chunk_key = next(key for key in store.object_by_key if key != HEAD_KEY)
    store.put(chunk_key, b"[class other]\n", 1)
    assert "does not match its digest" in fetch(store).reason
    store.delete(chunk_key, 2)
    assert "missing" in fetch(store).reason


class WatcherFixture:
    """A watcher with its store and replica; `slept` are its pauses in ms."""

    def __init__(self) -> None:
        self.store = MemoryStore()
        self.replica = ConfigurationReplica(lambda message: None)
        self.slept: list[float] = []
        self.watcher = ConfigurationWatcher(
            self.store, self.replica, Random(7), self.slept.append
        )


def test_a_watch_fetches_an_edit_after_the_grace_period_for_peers():
    fixture = WatcherFixture()
    submit(fixture.store, 0, "s1", GOOD)
    assert fixture.watcher.watch_step() > 0
    assert (fixture.replica.version, len(fixture.slept)) == (1, 1)


def test_a_version_delivered_by_peers_is_not_read_from_the_store():
    fixture = WatcherFixture()
    submit(fixture.store, 0, "s1", GOOD)
    fixture.replica.offer(1, GOOD)
    reads = fixture.store.count_by_kind["reads"]
    fixture.watcher.watch_step()
    fixture.store.faults.repeat_events = 1
    fixture.watcher.watch_step()
    assert fixture.store.count_by_kind["reads"] == reads


def test_the_poll_finds_an_edit_whose_event_was_skipped():
    fixture = WatcherFixture()
    submit(fixture.store, 0, "s1", GOOD)
    fixture.store.faults.skip_events = 1
    fixture.watcher.watch_step()
    assert fixture.replica.version == 0
    fixture.watcher.poll_step()
    assert fixture.replica.version == 1


def test_backoff_grows_in_an_outage_and_the_configuration_stays_in_force():
    fixture = WatcherFixture()
    submit(fixture.store, 0, "s1", GOOD)
    fixture.watcher.poll_step()
    fixture.store.faults.down = True
    pauses = [fixture.watcher.watch_step() for _ in range(8)]
    assert pauses[7] > 4 * pauses[0]
    assert fixture.replica.version == 1
    fixture.store.faults.down = False
    submit(fixture.store, 1, "s2", EDITED)
    fixture.watcher.watch_step()
    assert fixture.replica.version == 2


def test_an_invalid_configuration_in_the_store_is_reported_and_can_be_replaced():
    fixture = WatcherFixture()
    submit(fixture.store, 0, "s1", GOOD)
    fixture.watcher.poll_step()
    submit(fixture.store, 1, "s2", GOOD.replace("weight = 2", "weight = 0"))
    fixture.watcher.poll_step()
    assert (fixture.replica.version, fixture.replica.refused_version) == (1, 2)
    assert fixture.watcher.problem == "version 2 of the store is invalid"
    submit(fixture.store, 2, "s3", EDITED)
    fixture.watcher.poll_step()
    assert (fixture.replica.version, fixture.watcher.problem) == (3, "")
