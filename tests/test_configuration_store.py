"""Submission to the store: lost answers, conflicts, parts, outages, events."""

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


def large_text(size: int) -> str:
    customers = [f"[customer c-{i}]\nweight = {i + 1}\n" for i in range(size)]
    return GOOD + "".join(customers)


def submit(store: MemoryStore, base: int, submission: str, source: str) -> Any:
    steps = submit_steps(base, submission, split_configuration(source).sections)
    return run_steps(steps, store, lambda ms: None)


def fetch(store: MemoryStore) -> Any:
    return run_steps(fetch_steps(0, dict), store, lambda ms: None)


def test_a_submission_is_kept_and_read_back():
    store = MemoryStore()
    assert submit(store, 0, "s1", GOOD) == Accepted(1)
    assert fetch(store) == FetchedConfiguration(1, GOOD, "s1")


@pytest.mark.parametrize("fault", ["lose_answer", "fail_before"])
@pytest.mark.parametrize("count", [1, 2])
def test_a_lost_answer_is_resolved_by_reading_back(fault: str, count: int):
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


def test_a_submission_id_cannot_stand_for_two_texts():
    store = MemoryStore()
    submit(store, 0, "s1", GOOD)
    result = submit(store, 1, "s1", EDITED)
    assert isinstance(result, Invalid)
    assert store.version_of(HEAD_KEY) == 1


def test_the_second_of_two_operators_gets_the_text_of_the_first():
    store = MemoryStore()
    submit(store, 0, "s1", GOOD)
    submit(store, 1, "s2", EDITED)
    assert submit(store, 1, "s3", GOOD) == SubmitConflict(2, EDITED)


def test_an_outage_says_whether_the_text_may_be_accepted():
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


def test_an_edit_of_a_large_text_writes_the_head_and_one_part():
    store = MemoryStore()
    source = large_text(2000)
    submit(store, 0, "s1", source)
    keys = set(store.object_by_key)
    assert len(keys) > 10
    # An insertion moves everything behind it, and still must change one part only.
    edited = source.replace("[customer c-999]", "[customer new]\n[customer c-999]")
    assert submit(store, 1, "s2", edited) == Accepted(2)
    assert len(set(store.object_by_key) - keys) == 1
    assert fetch(store) == FetchedConfiguration(2, edited, "s2")


def test_parts_of_old_versions_are_deleted_after_a_time(monkeypatch):
    monkeypatch.setattr(configuration_head, "CHUNK_RETENTION_VERSIONS", 3)
    store = MemoryStore()
    source = large_text(2000)
    for version in range(10):
        text = source.replace("weight = 999", f"weight = {2000 + version}")
        assert submit(store, version, f"s{version}", text) == Accepted(version + 1)
        if version == 0:
            size = len(store.object_by_key)
    assert len(store.object_by_key) == size + 3
    assert fetch(store).source == text


def test_a_damaged_or_missing_part_is_never_offered():
    store = MemoryStore()
    submit(store, 0, "s1", large_text(2000))
    part = next(key for key in store.object_by_key if key != HEAD_KEY)
    store.put(part, b"[class other]\n", 1)
    assert "does not match its digest" in fetch(store).reason
    store.delete(part, 2)
    assert "missing" in fetch(store).reason


class Follower:
    """A follower of a store with its keeper."""

    def __init__(self) -> None:
        self.store = MemoryStore()
        self.keeper = ConfigurationReplica(lambda message: None)
        self.slept: list[float] = []
        self.follower = ConfigurationWatcher(
            self.store, self.keeper, Random(7), self.slept.append
        )


def test_a_watch_brings_an_edit_after_peers_had_their_time():
    case = Follower()
    submit(case.store, 0, "s1", GOOD)
    assert case.follower.watch_step() > 0
    assert (case.keeper.version, len(case.slept)) == (1, 1)


def test_a_version_brought_by_peers_is_not_read_from_the_store():
    case = Follower()
    submit(case.store, 0, "s1", GOOD)
    case.keeper.offer(1, GOOD)
    reads = case.store.count_by_kind["reads"]
    case.follower.watch_step()
    case.store.faults.repeat_events = 1
    case.follower.watch_step()
    assert case.store.count_by_kind["reads"] == reads


def test_a_skipped_event_is_made_up_for_by_the_poll():
    case = Follower()
    submit(case.store, 0, "s1", GOOD)
    case.store.faults.skip_events = 1
    case.follower.watch_step()
    assert case.keeper.version == 0
    case.follower.poll_step()
    assert case.keeper.version == 1


def test_pauses_grow_in_an_outage_and_the_text_in_force_stays():
    case = Follower()
    submit(case.store, 0, "s1", GOOD)
    case.follower.poll_step()
    case.store.faults.down = True
    pauses = [case.follower.watch_step() for _ in range(8)]
    assert pauses[7] > 4 * pauses[0]
    assert case.keeper.version == 1
    case.store.faults.down = False
    submit(case.store, 1, "s2", EDITED)
    case.follower.watch_step()
    assert case.keeper.version == 2


def test_an_invalid_text_in_the_store_is_reported_and_can_be_replaced():
    case = Follower()
    submit(case.store, 0, "s1", GOOD)
    case.follower.poll_step()
    submit(case.store, 1, "s2", GOOD.replace("weight = 2", "weight = 0"))
    case.follower.poll_step()
    assert (case.keeper.version, case.keeper.refused_version) == (1, 2)
    assert case.follower.problem == "version 2 of the store is invalid"
    submit(case.store, 2, "s3", EDITED)
    case.follower.poll_step()
    assert (case.keeper.version, case.follower.problem) == (3, "")
