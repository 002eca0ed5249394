"""Which peers a process dials, and when it tries again."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from random import Random

from wigeonwind.addresses import SocketAddress, parse_address
from wigeonwind.state.membership import MemberRecord, Membership, MemberState
from wigeonwind.state.subset import (
    choose_entry_peers,
    choose_join_links,
    choose_links,
)

FIRST_RETRY_MS = 200.0
"""Delay after a first failed dial."""

MAX_RETRY_MS = 10_000.0
"""Longest delay between dials; 400 processes that find a zone back within this time
send it at most 40 dials a second each way."""

JOIN_DIALS = 3
"""Addresses dialled at a time while no link is up."""


@dataclass
class _Backoff:
    failures: int = 0
    next_ms: float = 0.0


class DialBackoff:
    """Exponential delays with full jitter, one per address."""

    def __init__(self, rng: Random) -> None:
        self._rng = rng
        self._backoff_by_address: dict[str, _Backoff] = {}

    def may_dial(self, address: str, now_ms: float) -> bool:
        """Return whether the delay after the last failure is over."""
        backoff = self._backoff_by_address.get(address)
        return backoff is None or now_ms >= backoff.next_ms

    def on_failure(self, address: str, now_ms: float) -> None:
        """Delay the next dial; jitter keeps healed peers from dialling at once."""
        backoff = self._backoff_by_address.setdefault(address, _Backoff())
        limit_ms = min(MAX_RETRY_MS, FIRST_RETRY_MS * 2**backoff.failures)
        backoff.failures += 1
        backoff.next_ms = now_ms + self._rng.uniform(limit_ms / 2, limit_ms)

    def on_success(self, address: str) -> None:
        """Forget earlier failures."""
        self._backoff_by_address.pop(address, None)


class Peering:
    """The links that a process of either role wants to hold."""

    def __init__(
        self, membership: Membership, subset_size: int, seeds: Iterable[SocketAddress]
    ) -> None:
        self._membership = membership
        self._subset_size = subset_size
        self._seeds = tuple(str(seed) for seed in seeds)
        self._listed_addresses: tuple[str, ...] = ()
        self._kept_for: tuple[int, tuple[str, ...]] = (-1, ())
        self._kept_subset: tuple[MemberRecord, ...] = ()
        self._kept_peers: tuple[MemberRecord, ...] = ()

    def set_listed_addresses(self, addresses: Iterable[str]) -> None:
        """Keep the link addresses of the platform's VM list, for joining."""
        self._listed_addresses = tuple(addresses)

    def endpoints(self, services: Iterable[str]) -> tuple[MemberRecord, ...]:
        """Return the sidecars this entry sends work to, of all services."""
        self._refresh(tuple(services))
        return self._kept_subset

    def _refresh(self, services: tuple[str, ...]) -> None:
        """Choose again if members or services changed.

        A choice hashes every member: 3 ms at 800 sidecars, too much for each message.
        """
        key = (self._membership.change_count, services)
        if key == self._kept_for:
            return
        own = self._membership.local
        self._kept_for = key
        self._kept_subset = tuple(
            record for service in services for record in self._subset_of(service)
        )
        entries = self._membership.live("entry")
        self._kept_peers = choose_entry_peers(own.member_id, own.zone, entries)

    def _subset_of(self, service: str) -> tuple[MemberRecord, ...]:
        own = self._membership.local
        sidecars = self._membership.live("side", service)
        return choose_links(own.member_id, own.zone, sidecars, self._subset_size)

    def wanted(self, services: Iterable[str], linked: int) -> Iterator[MemberRecord]:
        """Yield the members to hold a link to."""
        own = self._membership.local
        if own.role == "entry":
            yield from self.endpoints(services)
            yield from self._kept_peers
        elif not linked:
            entries = self._membership.live("entry")
            yield from choose_join_links(own.member_id, own.zone, entries)

    def is_leaving(self, member_id: str) -> bool:
        """Return whether a member has begun to leave, or has left."""
        record = self._membership.record(member_id)
        return record is not None and record.state is not MemberState.LIVE

    def join_addresses(self, rng: Random) -> list[str]:
        """Return a few addresses to dial while no link is up."""
        own_address = self._membership.local.address
        known = {
            record.address
            for record in self._membership.records()
            if record.state is not MemberState.LEFT
        }
        candidates = sorted({*self._seeds, *self._listed_addresses, *known})
        others = [address for address in candidates if address not in ("", own_address)]
        return rng.sample(others, min(JOIN_DIALS, len(others)))


def link_address_of(record: MemberRecord) -> SocketAddress | None:
    """Return a member's link address, or None if it states none that is usable."""
    host, _, port = record.address.rpartition(":")
    if not host or not port.isdigit():
        return None
    return parse_address(record.address)
