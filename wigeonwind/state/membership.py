"""Membership: records merged from links, peers and the platform's delayed VM list.

Records of a member are ordered by incarnation, then live < leaving < left; the highest
one wins. Merging is therefore commutative and idempotent, and messages may be lost,
repeated or reordered. Suspicion is local to a process and never part of a record.
"""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, replace
from enum import IntEnum

from wigeonwind.hashing import stable_hash

BUCKET_COUNT = 32
"""Number of digest buckets. With 1,200 members, a bucket that differs between two peers
costs the transfer of about 40 records."""

LEFT_RETENTION_MS = 3_600_000.0
"""Retention of the record of a member that left, so that delayed copies of older
records do not restore it; an hour is far longer than any message delay."""

UNLISTED_TIMEOUT_MS = 600_000.0
"""A member absent from the VM list is presumed dead this long after its record or a
message from it was last received. The list lags by tens of seconds, so ten minutes
never removes a new VM."""


class MemberState(IntEnum):
    """State of a member; a later state of one incarnation wins."""

    LIVE = 0
    LEAVING = 1
    LEFT = 2


@dataclass(frozen=True)
class MemberRecord:
    """One process of the system, as described by itself or by the VM list.

    `incarnation` is the start time of the process in microseconds since 1970. Each
    refutation increments it.
    """

    member_id: str
    incarnation: int
    state: MemberState
    role: str
    zone: str
    service: str
    address: str

    @property
    def rank(self) -> tuple[int, int]:
        """Return the sort key of the records of one member."""
        return (self.incarnation, self.state)

    def to_row(self) -> list:
        """Return the record as a row of a Members message."""
        return [
            self.member_id,
            self.incarnation,
            int(self.state),
            self.role,
            self.zone,
            self.service,
            self.address,
        ]


def record_from_row(row: list) -> MemberRecord | None:
    """Return the record in a row of a Members message, or None if it is malformed."""
    if len(row) != 7 or not all(isinstance(row[i], str) for i in (0, 3, 4, 5, 6)):
        return None
    if not isinstance(row[1], int) or row[2] not in (0, 1, 2):
        return None
    state = MemberState(row[2])
    return MemberRecord(row[0], row[1], state, row[3], row[4], row[5], row[6])


@dataclass(frozen=True)
class ListedVm:
    """One VM in the platform's list; `leaving` if its state there is `leaving`."""

    member_id: str
    leaving: bool


def _record_hash(record: MemberRecord) -> int:
    key = f"{record.member_id}|{record.incarnation}|{int(record.state)}"
    return stable_hash(key)


def _bucket_of(member_id: str) -> int:
    return stable_hash(member_id) % BUCKET_COUNT


class Membership:
    """All members that one process knows, itself included."""

    def __init__(self, local: MemberRecord) -> None:
        self._record_by_id: dict[str, MemberRecord] = {}
        self._bucket_digests = [0] * BUCKET_COUNT
        self._last_received_ms_by_id: dict[str, float] = {}
        self._left_ms_by_id: dict[str, float] = {}
        self._listed_ids: set[str] = set()
        self._suspect_ids: set[str] = set()
        self.local = local
        self.change_count = 0
        """Increases with each change; callers cache derived selections by it."""
        self._store(local, 0.0)

    def record(self, member_id: str) -> MemberRecord | None:
        """Return the record of a member, or None."""
        return self._record_by_id.get(member_id)

    def records(self) -> Iterator[MemberRecord]:
        """Yield all records, including those of members that left."""
        return iter(list(self._record_by_id.values()))

    def live(self, role: str, service: str | None = None) -> Iterator[MemberRecord]:
        """Yield live members of a role (and service), including suspected ones."""
        for record in self.records():
            if record.state is not MemberState.LIVE or record.role != role:
                continue
            if service is None or record.service == service:
                yield record

    def merge(self, records: Iterable[MemberRecord], now_ms: float) -> list:
        """Merge records; return the rows that changed, to be forwarded to peers."""
        changed_ids = [
            record.member_id for record in records if self._merge_one(record, now_ms)
        ]
        # If a record of this process was refuted, the refutation is forwarded.
        return [self._record_by_id[member_id].to_row() for member_id in changed_ids]

    def _merge_one(self, record: MemberRecord, now_ms: float) -> bool:
        if record.member_id == self.local.member_id:
            return self._merge_local(record, now_ms)
        current = self._record_by_id.get(record.member_id)
        if current is not None and current.rank >= record.rank:
            return False
        self._store(record, now_ms)
        return True

    def _merge_local(self, record: MemberRecord, now_ms: float) -> bool:
        """Accept a leaving state of this process; refute any other newer record."""
        if record.rank <= self.local.rank:
            return False
        if record.state is MemberState.LEAVING:
            self.local = replace(self.local, state=MemberState.LEAVING)
            self._store(self.local, now_ms)
            return True
        self.local = replace(self.local, incarnation=record.incarnation + 1)
        self._store(self.local, now_ms)
        return True

    def _store(self, record: MemberRecord, now_ms: float) -> None:
        member_id = record.member_id
        self.change_count += 1
        current = self._record_by_id.get(member_id)
        bucket = _bucket_of(member_id)
        if current is not None:
            self._bucket_digests[bucket] ^= _record_hash(current)
        self._bucket_digests[bucket] ^= _record_hash(record)
        self._record_by_id[member_id] = record
        self._last_received_ms_by_id[member_id] = now_ms
        if record.state is MemberState.LEFT:
            self._left_ms_by_id[member_id] = now_ms
        else:
            self._left_ms_by_id.pop(member_id, None)

    def set_local_address(self, address: str) -> None:
        """Set the link address of this process once its socket is bound."""
        self.local = replace(self.local, address=address)
        self._store(self.local, 0.0)

    def leave(self, now_ms: float) -> list:
        """Mark this process as leaving; return the row to announce."""
        self.local = replace(self.local, state=MemberState.LEAVING)
        self._store(self.local, now_ms)
        return [self.local.to_row()]

    def on_leaving(self, member_id: str, incarnation: int, now_ms: float) -> list:
        """Record a Leaving message of a member; return changed rows."""
        current = self._record_by_id.get(member_id)
        if current is None:
            return []
        state = MemberState.LEAVING
        return self.merge(
            [replace(current, incarnation=incarnation, state=state)], now_ms
        )

    def on_received(self, member_id: str, now_ms: float) -> None:
        """Record that a message was received from a member over a direct link."""
        self._suspect_ids.discard(member_id)
        self._last_received_ms_by_id[member_id] = now_ms

    def on_link_lost(self, member_id: str) -> None:
        """Suspect a member whose link was lost; peers are not notified."""
        self._suspect_ids.add(member_id)

    def is_suspect(self, member_id: str) -> bool:
        """Return whether nothing was received from the member since a link was lost."""
        return member_id in self._suspect_ids

    def on_vm_list(
        self, vms: Iterable[ListedVm], as_of_ms: float, now_ms: float
    ) -> list:
        """Merge the platform's VM list; return changed rows.

        A suspected member that was in the previous list and is absent now has left. The
        list lags, so any other absent member is kept until UNLISTED_TIMEOUT_MS. The
        list is ignored for a VM that started after `as_of_ms`, the wall-clock time of
        the list in milliseconds: it describes the previous VM of that name.
        """
        listed_by_id = {vm.member_id: vm for vm in vms}
        updates = [
            update
            for record in self.records()
            if record.incarnation <= as_of_ms * 1000
            and (update := self._update_from_vm_list(record, listed_by_id, now_ms))
        ]
        self._listed_ids = set(listed_by_id)
        return self.merge(updates, now_ms)

    def _update_from_vm_list(
        self, record: MemberRecord, listed_by_id: dict[str, ListedVm], now_ms: float
    ) -> MemberRecord | None:
        member_id = record.member_id
        if record.state is MemberState.LEFT:
            return None
        vm = listed_by_id.get(member_id)
        if vm is not None:
            if vm.leaving and record.state is MemberState.LIVE:
                return replace(record, state=MemberState.LEAVING)
            return None
        since_last_received_ms = now_ms - self._last_received_ms_by_id.get(
            member_id, 0.0
        )
        if member_id == self.local.member_id:
            return None
        is_unlisted = member_id in self._listed_ids and member_id in self._suspect_ids
        if is_unlisted or since_last_received_ms > UNLISTED_TIMEOUT_MS:
            return replace(record, state=MemberState.LEFT)
        return None

    def expire(self, now_ms: float) -> None:
        """Delete records of members that left more than LEFT_RETENTION_MS ago."""
        for member_id, left_ms in list(self._left_ms_by_id.items()):
            if now_ms - left_ms > LEFT_RETENTION_MS:
                record = self._record_by_id.pop(member_id)
                self.change_count += 1
                self._bucket_digests[_bucket_of(member_id)] ^= _record_hash(record)
                del self._left_ms_by_id[member_id]
                self._last_received_ms_by_id.pop(member_id, None)
                self._suspect_ids.discard(member_id)

    def digest(self) -> int:
        """Return a digest of all records, equal for equal sets of records."""
        return stable_hash(repr(self._bucket_digests))

    def bucket_digests(self) -> list[int]:
        """Return the digest of each bucket, BUCKET_COUNT in all."""
        return list(self._bucket_digests)

    def differing_rows(self, peer_digests: list[int]) -> list:
        """Return the rows of all buckets whose digest differs from that of a peer."""
        differing = {
            index
            for index, digest in enumerate(self._bucket_digests)
            if index >= len(peer_digests) or peer_digests[index] != digest
        }
        return [
            record.to_row()
            for record in self.records()
            if _bucket_of(record.member_id) in differing
        ]
