"""Selects the members that a process links to: stable subsets by rendezvous hashing.

When a member joins or leaves, rendezvous hashing moves only its links. A fixed share of
a subset is in other zones, so every entry keeps links if a zone fails.
"""

from collections.abc import Iterable

from wigeonwind.hashing import stable_hash
from wigeonwind.state.membership import MemberRecord

OTHER_ZONE_DIVISOR = 4
"""One link out of this many goes to another zone."""

MIN_OTHER_ZONE_LINKS = 2
"""Lower bound of the links to other zones, if these have members."""

ENTRY_PEER_COUNT = 4
"""Entries that an entry links to for gossip of configuration and membership; four
random links per entry connect 390 entries with overwhelming probability."""

JOIN_LINK_COUNT = 3
"""Entries that a sidecar without links dials to announce itself."""


def _score(local_id: str, record: MemberRecord) -> tuple[int, str]:
    return (stable_hash(f"{local_id}|{record.member_id}"), record.member_id)


def _ranked(local_id: str, members: Iterable[MemberRecord]) -> list[MemberRecord]:
    return sorted(members, key=lambda record: _score(local_id, record))


def choose_links(
    local_id: str, local_zone: str, members: Iterable[MemberRecord], size: int
) -> tuple[MemberRecord, ...]:
    """Return the members to link to: at most `size`, most of them in the local zone.

    The choice depends only on the set of members, never on earlier choices, so an entry
    that restarts under the same id selects the same subset.
    """
    ranked = _ranked(local_id, members)
    if len(ranked) <= size:
        return tuple(ranked)
    same_zone = [record for record in ranked if record.zone == local_zone]
    other_zones = [record for record in ranked if record.zone != local_zone]
    other_zone_count = min(
        len(other_zones), max(MIN_OTHER_ZONE_LINKS, size // OTHER_ZONE_DIVISOR)
    )
    same_zone_count = min(len(same_zone), size - other_zone_count)
    other_zone_count = min(len(other_zones), size - same_zone_count)
    return tuple(same_zone[:same_zone_count] + other_zones[:other_zone_count])


def choose_entry_peers(
    local_id: str, local_zone: str, entries: Iterable[MemberRecord]
) -> tuple[MemberRecord, ...]:
    """Return the entries to link to: half in the local zone, half in other zones."""
    others = (record for record in entries if record.member_id != local_id)
    ranked = _ranked(local_id, others)
    same_zone = [record for record in ranked if record.zone == local_zone]
    other_zones = [record for record in ranked if record.zone != local_zone]
    half = ENTRY_PEER_COUNT // 2
    same_zone_count = min(
        len(same_zone), max(half, ENTRY_PEER_COUNT - len(other_zones))
    )
    return tuple(
        same_zone[:same_zone_count] + other_zones[: ENTRY_PEER_COUNT - same_zone_count]
    )


def choose_join_links(
    local_id: str, local_zone: str, entries: Iterable[MemberRecord]
) -> tuple[MemberRecord, ...]:
    """Return the entries that a sidecar without links dials, local zone first."""
    ranked = _ranked(local_id, entries)
    ranked.sort(key=lambda record: record.zone != local_zone)
    return tuple(ranked[:JOIN_LINK_COUNT])


def is_store_watcher(
    local_id: str, local_zone: str, entries: Iterable[MemberRecord], per_zone: int
) -> bool:
    """Return whether this entry is one of the `per_zone` that watch the store.

    All others receive changes over links: a watch by each of 1,200 processes would cost
    the store one call per process every half minute.
    """
    in_zone = [record for record in entries if record.zone == local_zone]
    in_zone.sort(key=lambda record: stable_hash(record.member_id))
    return local_id in [record.member_id for record in in_zone[:per_zone]]
