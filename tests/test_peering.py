"""Peering, link table and gossip, over in-memory links that deliver immediately."""

from dataclasses import replace
from random import Random

from wigeonwind.addresses import SocketAddress
from wigeonwind.clock import ManualClock
from wigeonwind.links.messages import Hello
from wigeonwind.runtime.dialer import UNUSED_LINK_TIMEOUT_MS, Dialer
from wigeonwind.runtime.gossip import Gossip
from wigeonwind.runtime.link_table import LinkTable
from wigeonwind.runtime.peering import MAX_RETRY_DELAY_MS, DialBackoff, Peering
from wigeonwind.state.configuration_replica import ConfigurationReplica
from wigeonwind.state.membership import MemberRecord, Membership, MemberState


def make_record(name, role="entry", zone="zone-a"):
    address = f"127.0.0.1:{1000 + sum(name.encode())}"
    return MemberRecord(name, 1, MemberState.LIVE, role, zone, "", address)


class MemoryLink:
    """One end of a pair of links; messages reach the other process immediately."""

    def __init__(self, hello, deliver):
        self.hello = hello
        self.is_open = True
        self.sent = []
        self._deliver = deliver

    def send(self, message):
        self.sent.append(message)
        self._deliver(message)
        return True

    def close(self, reason):
        self.is_open = False


class Process:
    """Membership, configuration and gossip of one process."""

    def __init__(self, name, zone="zone-a"):
        self.clock = ManualClock()
        self.members = Membership(make_record(name, zone=zone))
        self.ups, self.downs = [], []
        self.table = LinkTable(
            self.ups.append, lambda link, reason: self.downs.append(link)
        )
        self.configuration = ConfigurationReplica(self.table.broadcast, self.clock)
        self.gossip = Gossip(
            self.members, self.configuration, self.table, self.clock, Random(1)
        )

    def hello(self):
        local = self.members.local
        return Hello(
            local.member_id,
            1,
            local.role,
            local.zone,
            "",
            self.configuration.version,
            "",
            local.address,
        )


def connect(first, second):
    to_second = MemoryLink(second.hello(), lambda message: None)
    to_first = MemoryLink(first.hello(), lambda message: None)
    to_second._deliver = lambda message: second.gossip.on_message(to_first, message)
    to_first._deliver = lambda message: first.gossip.on_message(to_second, message)
    first.table.add(to_second)
    second.table.add(to_first)
    first.gossip.on_up(to_second)
    second.gossip.on_up(to_first)
    return to_second, to_first


CONFIGURATION = """
[service llm]
kind = model
models = m
classes = chat
default_class = chat
[class chat]
priority = 0
target = first-token 1500ms
max_wait = 4s
"""


def test_records_reach_processes_that_are_not_linked():
    first, middle, last = Process("e1"), Process("e2"), Process("e3")
    connect(first, middle)
    connect(middle, last)
    assert {r.member_id for r in first.members.records()} == {"e1", "e2", "e3"}
    assert first.members.digest() == last.members.digest()


def test_leaving_is_propagated_immediately():
    # Guards against new attempts at a leaving VM, which are interrupted or returned.
    first, middle, last = Process("e1"), Process("e2"), Process("e3")
    connect(first, middle)
    connect(middle, last)
    first.gossip.announce(first.members.leave(1.0))
    assert last.members.record("e1").state is MemberState.LEAVING


def test_a_configuration_propagates_without_the_store_also_to_a_later_process():
    first, middle, last = Process("e1"), Process("e2", "zone-b"), Process("e3")
    connect(first, middle)
    assert first.configuration.offer(7, CONFIGURATION)
    assert middle.configuration.version == 7
    connect(middle, last)
    assert last.configuration.version == 7
    assert first.gossip.zones_with_configuration(7) == {"zone-b"}


def test_anti_entropy_repairs_a_lost_announcement():
    first, second = Process("e1"), Process("e2")
    link, _ = connect(first, second)
    deliver, link._deliver = link._deliver, lambda message: None
    first.gossip.merge([make_record("s1", "side")], None)
    assert second.members.record("s1") is None
    link._deliver = deliver
    first.gossip.tick()
    assert second.members.record("s1") is not None


def test_a_spare_link_becomes_active_when_the_first_breaks():
    ups, downs = [], []
    table = LinkTable(ups.append, lambda link, reason: downs.append(link))
    hello = Hello("e2", 1, "entry", "zone-a", "", 0)
    first = MemoryLink(hello, lambda message: None)
    spare = MemoryLink(hello, lambda message: None)
    table.add(first)
    table.add(spare)
    assert ups == [first]
    table.remove(first, "broken")
    assert (ups, downs) == ([first, spare], [first])
    table.remove(spare, "broken")
    assert len(table) == 0


def test_dials_back_off_with_jitter():
    # Guards against all processes dialling at the same time when a partition heals.
    backoff = DialBackoff(Random(3))
    waits = []
    for _ in range(12):
        backoff.on_failure("127.0.0.1:1", 0.0)
        waits.append(backoff._backoff_by_address["127.0.0.1:1"].next_dial_ms)
    assert waits[0] < waits[3] < waits[8] <= MAX_RETRY_DELAY_MS
    assert len(set(waits[7:])) == 5
    backoff.on_success("127.0.0.1:1")
    assert backoff.may_dial("127.0.0.1:1", 0.0)


def test_a_new_process_joins_by_seeds_or_by_the_vm_list():
    members = Membership(make_record("e1"))
    seed = SocketAddress("127.0.0.1", 5)
    assert Peering(members, 20, [seed]).join_addresses(Random(1)) == ["127.0.0.1:5"]
    peering = Peering(members, 20, [])
    peering.set_listed_addresses(["127.0.0.1:6", members.local.address])
    assert peering.join_addresses(Random(1)) == ["127.0.0.1:6"]


def test_a_sidecar_dials_only_while_it_has_no_links():
    members = Membership(make_record("s1", "side"))
    members.merge([make_record(f"e{i}") for i in range(9)], 0.0)
    peering = Peering(members, 20, [])
    assert len(list(peering.wanted_members((), linked=0))) == 3
    assert list(peering.wanted_members((), linked=2)) == []


def test_a_restarted_peer_replaces_its_old_link_immediately():
    # Guards against a link to a VM that died silently, which stays active until its
    # heartbeat times out.
    ups, downs = [], []
    table = LinkTable(ups.append, lambda link, reason: downs.append(link))
    old = MemoryLink(Hello("s1", 5, "side", "zone-a", "llm", 0), lambda message: None)
    new = MemoryLink(Hello("s1", 9, "side", "zone-a", "llm", 0), lambda message: None)
    table.add(old)
    table.add(new)
    assert table.get("s1") is new
    assert (downs, old.is_open) == ([old], False)


def make_dialer(clock, table, idle):
    members = Membership(make_record("e1"))
    members.merge([make_record(f"s{i}", "side") for i in range(4)], 0.0)
    peering = Peering(members, 2, [])
    dialer = Dialer(
        peering, table, lambda at: None, lambda link: idle, clock, Random(1)
    )
    return members, peering, dialer


def test_a_link_outside_the_subset_is_closed_only_while_it_is_idle():
    # Guards against interrupted attempts when a change of members changes the subset.
    for idle in (False, True):
        clock, table = ManualClock(), LinkTable(lambda link: None, lambda *args: None)
        _, peering, dialer = make_dialer(clock, table, idle)
        hello = Hello("stranger", 1, "side", "zone-a", "", 0)
        link = MemoryLink(hello, lambda message: None)
        table.add(link)
        dialer.tick([""], closes_unused=True)
        clock.advance(UNUSED_LINK_TIMEOUT_MS + 1.0)
        dialer.tick([""], closes_unused=True)
        assert link.is_open is not idle


def test_a_subset_changes_when_members_change():
    clock, table = ManualClock(), LinkTable(lambda link: None, lambda *args: None)
    members, peering, _ = make_dialer(clock, table, True)
    before = peering.selected_sidecars([""])
    assert len(before) == 2
    departed = replace(before[0], state=MemberState.LEAVING)
    members.merge([departed], 1.0)
    assert departed.member_id not in [
        each.member_id for each in peering.selected_sidecars([""])
    ]
