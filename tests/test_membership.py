"""Membership records converge in any order; subsets of links stay stable."""

from dataclasses import replace

from hypothesis import given
from hypothesis import strategies as st

from wigeonwind.state.membership import (
    ListedVm,
    MemberRecord,
    Membership,
    MemberState,
    record_from_row,
)
from wigeonwind.state.subset import (
    choose_entry_peers,
    choose_links,
    is_store_watcher,
)

ZONES = ("zone-a", "zone-b", "zone-c", "zone-d")


def make_record(name: str, zone: str = "zone-a", role: str = "side") -> MemberRecord:
    return MemberRecord(name, 1, MemberState.LIVE, role, zone, "llm", "127.0.0.1:1")


def make_fleet(count: int, role: str = "side") -> list[MemberRecord]:
    return [make_record(f"{role}-{i}", ZONES[i % 4], role) for i in range(count)]


def make_membership(name: str = "entry-0") -> Membership:
    return Membership(make_record(name, role="entry"))


record_versions = st.builds(
    lambda name, incarnation, state: replace(
        make_record(name), incarnation=incarnation, state=MemberState(state)
    ),
    st.sampled_from(["side-1", "side-2", "side-3"]),
    st.integers(1, 4),
    st.integers(0, 2),
)


@given(st.lists(record_versions, max_size=12), st.randoms(use_true_random=False))
def test_order_and_repetition_of_records_do_not_matter(records, random):
    first, second = make_membership(), make_membership()
    first.merge(records, 1.0)
    shuffled = records + records
    random.shuffle(shuffled)
    second.merge(shuffled, 2.0)
    assert first.digest() == second.digest()
    assert set(first.records()) == set(second.records())


@given(st.lists(record_versions, max_size=8), st.lists(record_versions, max_size=8))
def test_one_exchange_of_differing_buckets_makes_two_peers_equal(left, right):
    first, second = make_membership(), make_membership()
    first.merge(left, 1.0)
    second.merge(right, 1.0)
    to_second = first.differing_rows(second.bucket_digests())
    to_first = second.differing_rows(first.bucket_digests())
    first.merge([r for row in to_first if (r := record_from_row(row))], 2.0)
    second.merge([r for row in to_second if (r := record_from_row(row))], 2.0)
    assert first.digest() == second.digest()


def test_a_member_that_left_is_not_restored_by_a_delayed_record():
    members = make_membership()
    left = replace(make_record("side-1"), state=MemberState.LEFT)
    members.merge([left], 1.0)
    assert members.merge([make_record("side-1")], 2.0) == []
    assert list(members.live("side")) == []


def test_a_restarted_member_is_live_again():
    members = make_membership()
    members.merge([replace(make_record("side-1"), state=MemberState.LEFT)], 1.0)
    members.merge([replace(make_record("side-1"), incarnation=2)], 2.0)
    assert [r.member_id for r in members.live("side")] == ["side-1"]


def test_a_process_refutes_a_wrong_record_of_itself():
    members = make_membership()
    wrong = replace(members.local, state=MemberState.LEFT)
    changed = members.merge([wrong], 1.0)
    assert members.local.state is MemberState.LIVE
    assert members.local.incarnation > wrong.incarnation
    assert changed == [members.local.to_row()]


def test_a_lagging_vm_list_does_not_remove_a_linked_member():
    # A list created before a VM started must not take that VM out of service.
    members = make_membership()
    members.merge([make_record("side-1")], 0.0)
    members.on_vm_list([ListedVm("side-1", leaving=False)], 9.0, 1000.0)
    assert members.on_vm_list([], 9.0, 2000.0) == []
    members.on_link_lost("side-1")
    members.on_vm_list([ListedVm("side-1", leaving=False)], 9.0, 3000.0)
    assert members.on_vm_list([], 9.0, 4000.0)[0][2] == MemberState.LEFT


def test_malformed_rows_are_refused():
    good = make_record("side-1").to_row()
    assert record_from_row(good) is not None
    assert record_from_row(good[:-1]) is None
    assert record_from_row([*good[:2], 7, *good[3:]]) is None
    assert record_from_row([1, *good[1:]]) is None


def test_removing_one_member_moves_at_most_one_link_of_each_entry():
    fleet = make_fleet(200)
    for entry in range(20):
        before = set(choose_links(f"entry-{entry}", "zone-a", fleet, 20))
        after = set(choose_links(f"entry-{entry}", "zone-a", fleet[1:], 20))
        assert len(after) == 20
        assert len(before - after) <= 1


def test_a_subset_has_links_to_other_zones():
    # An entry whose subset is in one zone would lose all endpoints if the zone fails.
    subset = choose_links("entry-1", "zone-a", make_fleet(200), 20)
    other_zones = [record for record in subset if record.zone != "zone-a"]
    assert len(other_zones) == 5
    assert len(choose_links("entry-1", "zone-x", make_fleet(200), 20)) == 20


def test_entry_peers_connect_all_entries():
    # A configuration accepted in one component would never reach another one.
    entries = make_fleet(390, "entry")
    peers_by_id: dict[str, set[str]] = {entry.member_id: set() for entry in entries}
    for entry in entries:
        for peer in choose_entry_peers(entry.member_id, entry.zone, entries):
            peers_by_id[entry.member_id].add(peer.member_id)
            peers_by_id[peer.member_id].add(entry.member_id)
    reached = {"entry-0"}
    frontier = ["entry-0"]
    while frontier:
        for peer in peers_by_id[frontier.pop()] - reached:
            reached.add(peer)
            frontier.append(peer)
    assert len(reached) == 390


def test_two_entries_of_each_zone_watch_the_store():
    entries = make_fleet(40, "entry")
    watchers = [e for e in entries if is_store_watcher(e.member_id, e.zone, entries, 2)]
    assert len(watchers) == 8
    assert len({watcher.zone for watcher in watchers}) == 4


def test_a_list_older_than_a_restart_is_ignored_for_the_new_vm():
    # Guards against a list that marks a new VM as leaving because the previous VM of
    # its name was.
    members = make_membership()
    restarted = replace(make_record("side-1"), incarnation=50_000_000)
    members.merge([restarted], 0.0)
    old_list = [ListedVm("side-1", leaving=True)]
    assert members.on_vm_list(old_list, 40_000.0, 1.0) == []
    assert members.on_vm_list(old_list, 60_000.0, 2.0)[0][2] == MemberState.LEAVING


def test_the_vm_list_marks_this_process_as_leaving():
    members = make_membership()
    members.on_vm_list([ListedVm("entry-0", leaving=True)], 9.0, 1.0)
    assert members.local.state is MemberState.LEAVING
