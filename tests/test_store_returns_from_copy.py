"""The own object store returns from a copy that lacks what it acknowledged since."""

import random

import pytest
from entry_fakes import EntryUnderTest, respond_plain
from test_configuration_parse import GOOD
from test_configuration_store import submit
from test_lease import make_pair
from test_operators_api import Entry

from wigeonwind.clock import ManualClock
from wigeonwind.state.configuration_replica import ConfigurationReplica
from wigeonwind.state.configuration_sections import split_configuration
from wigeonwind.state.configuration_store import Accepted, SubmitConflict
from wigeonwind.state.configuration_watcher import ConfigurationWatcher
from wigeonwind.state.lease import TAKEOVER_MS, Lease
from wigeonwind.state.memory_store import MemoryStore
from wigeonwind.state.rollouts import (
    EndpointView,
    LoadVersion,
    RolloutPlanner,
    RolloutRecord,
    Verdict,
)

EDITS = [GOOD.replace("weight = 2", f"weight = {weight}") for weight in (2, 3, 4)]
SOURCES = [split_configuration(source).sections.source for source in EDITS]


class Watching:
    """A store and a process that watches it; its sleeps take no time."""

    def __init__(self):
        self.store = MemoryStore()
        self.replica = ConfigurationReplica(lambda message: None, ManualClock())
        self.watcher = ConfigurationWatcher(
            self.store, self.replica, random.Random(1), lambda ms: None
        )

    def step(self):
        """Run the watch and the poll until both have seen the store."""
        for _ in range(3):
            self.watcher.watch_step()
            self.watcher.poll_step()


def test_a_watch_finds_changes_after_the_store_has_returned():
    # Guards against a watch that waits at a revision which the store has lost, and so
    # misses the changes until the store has passed it again.
    watching = Watching()
    store = watching.store
    assert submit(store, 0, "one", SOURCES[0]) == Accepted(1)
    copy = store.take_copy()
    for number in range(9):
        store.put(f"text/head/{number}", b"", 0)
    watching.watcher.watch_step()
    assert watching.replica.version == 1
    store.return_to(copy)
    assert submit(store, 1, "two", SOURCES[1]) == Accepted(2)
    for _ in range(2):
        watching.watcher.watch_step()
    assert (watching.replica.version, watching.replica.source) == (2, SOURCES[1])


def test_a_lost_configuration_is_written_again():
    # Guards against an accepted configuration that only the running processes have: a
    # fresh one would come up with the version before it.
    watching = Watching()
    store = watching.store
    submit(store, 0, "one", SOURCES[0])
    watching.step()
    copy = store.take_copy()
    submit(store, 1, "two", SOURCES[1])
    submit(store, 2, "three", SOURCES[2])
    watching.step()
    store.return_to(copy)
    watching.step()
    fresh = Watching()
    fresh.watcher._store = store
    fresh.step()
    assert fresh.replica.source == SOURCES[2]
    assert watching.replica.source == SOURCES[2]
    assert fresh.replica.version == watching.replica.version > 3


def test_a_configuration_accepted_after_a_return_comes_into_force():
    # Guards against a confirmed change that no process applies, as the store gives it a
    # version that they have for another configuration.
    watching = Watching()
    store = watching.store
    submit(store, 0, "one", SOURCES[0])
    watching.step()
    copy = store.take_copy()
    submit(store, 1, "two", SOURCES[1])
    watching.step()
    store.return_to(copy)
    assert submit(store, 1, "other", SOURCES[2]) == Accepted(2)
    watching.step()
    assert watching.replica.source == SOURCES[2]


def test_a_submission_against_a_lost_version_is_a_conflict():
    # Guards against a submission that is taken on a base which the store does not have.
    watching = Watching()
    store = watching.store
    submit(store, 0, "one", SOURCES[0])
    copy = store.take_copy()
    submit(store, 1, "two", SOURCES[1])
    store.return_to(copy)
    assert submit(store, 2, "three", SOURCES[2]) == SubmitConflict(1, SOURCES[0])


def make_operators_entry(watching):
    entry = Entry(watching.store)
    watching.watcher._replica = watching.replica = entry.replica
    entry.api._refresh = watching.watcher.fetch
    return entry


def test_a_change_is_confirmed_only_when_it_is_in_force():
    # Guards against a confirmed submission whose version the processes have for another
    # configuration, so that it is in force nowhere.
    watching = Watching()
    entry = make_operators_entry(watching)
    entry.submit(0, "s1", EDITS[0])
    copy = watching.store.take_copy()
    entry.submit(1, "s2", EDITS[1])
    watching.store.return_to(copy)
    status, fields = entry.submit(1, "s3", EDITS[2])
    assert (status, fields["version"]) == (200, 3)
    assert (entry.replica.version, entry.replica.source) == (3, SOURCES[2])
    assert entry.confirmed[-1] == 3


def test_a_conflict_after_a_return_shows_the_configuration_in_force():
    # Guards against an operator who is shown the lost store's configuration as current
    # and undoes accepted changes by editing it.
    watching = Watching()
    entry = make_operators_entry(watching)
    entry.submit(0, "s1", EDITS[0])
    copy = watching.store.take_copy()
    entry.submit(1, "s2", EDITS[1])
    watching.store.return_to(copy)
    status, fields = entry.submit(2, "s3", EDITS[2])
    assert (status, fields["version"], fields["source"]) == (409, 3, SOURCES[1])
    assert entry.submit(3, "s3", EDITS[2])[0] == 200
    assert entry.replica.source == SOURCES[2]


def test_a_fencing_token_is_never_given_out_twice():
    # Guards against two holders whose commands an endpoint cannot tell apart.
    store, clock, first, second = make_lease_pair()
    assert first.step() is not None
    first.release()
    released = store.object
    token = second.step()
    store.object = released
    clock.advance(1000.0)
    third = new_lease(store, "c", clock)
    assert third.step() not in (None, token)


def test_a_lease_that_went_back_is_not_taken_at_once():
    # Guards against two holders: the lost lease is still held for up to LEASE_MS.
    store, clock, first, second = make_lease_pair()
    first.step()
    first.release()
    released = store.object
    assert first.step() is not None
    assert second.step() is None
    store.object = released
    assert second.step() is None
    clock.advance(TAKEOVER_MS - 1.0)
    assert second.step() is None
    clock.advance(2.0)
    assert second.step() is not None
    assert first.fence() is None


def new_lease(store, name, clock):
    return Lease(store, name, clock, lambda: 1_000_000.0 + clock.now_ms())


def make_lease_pair():
    store, clock, _, _ = make_pair()
    return store, clock, new_lease(store, "a", clock), new_lease(store, "b", clock)


@pytest.fixture
def entry():
    running = EntryUnderTest()
    yield running
    running.role.stop()


def test_a_response_is_recorded_though_its_claim_is_lost(entry):
    # Guards against a booking that runs again because the store lost its claim before
    # the response was recorded.
    sidecar = entry.add_sidecar(respond_plain(200, b"ok"), "spot-desk")
    store = entry.store
    put, headers = store.put, {"Idempotency-Key": "k"}

    def lose_claim(key, value, if_version):
        if if_version == 1:
            store.objects.clear()
            store.put = put
        return put(key, value, if_version)

    store.put = lose_claim
    assert entry.call("POST", "/svc/spot-desk/x", b"", headers).status == 200
    again = entry.call("POST", "/svc/spot-desk/x", b"", headers)
    assert (again.status, len(sidecar.submits)) == (200, 1)


def test_a_booking_whose_record_is_lost_is_not_run_again(entry):
    # Guards against a booking that runs again because the store lost its record.
    sidecar = entry.add_sidecar(respond_plain(200, b"ok"), "spot-desk")
    headers = {"Idempotency-Key": "k"}
    assert entry.call("POST", "/svc/spot-desk/x", b"", headers).status == 200
    entry.store.objects.clear()
    again = entry.call("POST", "/svc/spot-desk/x", b"", headers)
    assert (again.status, len(sidecar.submits)) == (200, 1)


def test_a_lost_booking_is_not_run_again_by_another_entry(entry):
    # Guards against a booking that runs again because the store lost its record and
    # its repetition reached another entry.
    other = EntryUnderTest()
    other.role._bookings._store = entry.store
    headers = {"Idempotency-Key": "k"}
    sidecars = [
        each.add_sidecar(respond_plain(200, b"ok"), "spot-desk")
        for each in (entry, other)
    ]
    assert entry.call("POST", "/svc/spot-desk/x", b"", headers).status == 200
    entry.store.objects.clear()
    other.call("POST", "/svc/spot-desk/x", b"", headers)
    other.role.stop()
    assert sum(len(sidecar.submits) for sidecar in sidecars) == 1


def test_a_halted_rollout_whose_record_is_lost_is_not_started_again():
    # Guards against a worse version that is loaded a second time because the store lost
    # the record of its halt.
    planner = RolloutPlanner("llm")
    views = [EndpointView(f"e{number}", "tartu-a", "1", True) for number in range(5)]
    halted = RolloutRecord("llm", "2", "1", Verdict.HALTED, "error rate rose")
    running = RolloutRecord("llm", "2", "1", Verdict.RUNNING)
    assert list(planner.plan("2", halted, views, 0.0)) == []
    steps = list(planner.plan("2", running, views, 1000.0))
    assert not any(isinstance(step, LoadVersion) for step in steps)
