"""Which peers a process links to: stable subsets by rendezvous hashing, by zone.

Rendezvous hashing moves only the links of a member that comes or goes. A fixed share
of the subset lies in other zones, so that a lost zone leaves every entry with links.
"""

from collections.abc import Iterable

from wigeonwind.hashing import stable_hash
from wigeonwind.state.membership import MemberRecord

OTHER_ZONE_DIVISOR = 4
"""One link in this many goes to another zone."""

MIN_OTHER_ZONE_LINKS = 2
"""Links to other zones at the least, where there are such members."""

ENTRY_PEER_COUNT = 4
"""Other entries an entry links to for the spread of text and membership; four
random links an entry connect 390 entries with overwhelming probability."""

JOIN_LINK_COUNT = 3
"""Entries that a sidecar without links dials to make itself known."""


def _score(own_id: str, record: MemberRecord) -> tuple[int, str]:
    return (stable_hash(f"{own_id}|{record.member_id}"), record.member_id)


def _ranked(own_id: str, members: Iterable[MemberRecord]) -> list[MemberRecord]:
    return sorted(members, key=lambda record: _score(own_id, record))


def choose_links(
    own_id: str, own_zone: str, members: Iterable[MemberRecord], size: int
) -> tuple[MemberRecord, ...]:
    """Return at most `size` members, most of them of the own zone.

    The choice depends on the set of members only, never on earlier choices, so every
    restart of an entry of the same name finds the same subset.
    """
    ranked = _ranked(own_id, members)
    if len(ranked) <= size:
        return tuple(ranked)
    near = [record for record in ranked if record.zone == own_zone]
    far = [record for record in ranked if record.zone != own_zone]
    far_count = min(len(far), max(MIN_OTHER_ZONE_LINKS, size // OTHER_ZONE_DIVISOR))
    near_count = min(len(near), size - far_count)
    far_count = min(len(far), size - near_count)
    return tuple(near[:near_count] + far[:far_count])


def choose_entry_peers(
    own_id: str, own_zone: str, entries: Iterable[MemberRecord]
) -> tuple[MemberRecord, ...]:
    """Return the entries to link to: half in the own zone, half in other zones."""
    others = (record for record in entries if record.member_id != own_id)
    ranked = _ranked(own_id, others)
    near = [record for record in ranked if record.zone == own_zone]
    far = [record for record in ranked if record.zone != own_zone]
    half = ENTRY_PEER_COUNT // 2
    near_count = min(len(near), max(half, ENTRY_PEER_COUNT - len(far)))
    return tuple(near[:near_count] + far[: ENTRY_PEER_COUNT - near_count])


def choose_join_links(
    own_id: str, own_zone: str, entries: Iterable[MemberRecord]
) -> tuple[MemberRecord, ...]:
    """Return the entries that a sidecar nobody links to dials, own zone first."""
    ranked = _ranked(own_id, entries)
    ranked.sort(key=lambda record: record.zone != own_zone)
    return tuple(ranked[:JOIN_LINK_COUNT])


def is_store_watcher(
    own_id: str, own_zone: str, entries: Iterable[MemberRecord], per_zone: int
) -> bool:
    """Return whether this entry is one of the few of its zone that watch the store.

    All others learn of changes over links: a watch by each of 1,200 processes would
    cost the store a call a process every half minute.
    """
    in_zone = [record for record in entries if record.zone == own_zone]
    in_zone.sort(key=lambda record: stable_hash(record.member_id))
    return own_id in [record.member_id for record in in_zone[:per_zone]]
