"""Selection of the peers that a process dials, and the delays of retries."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from random import Random

from wigeonwind.addresses import SocketAddress, parse_valid_address
from wigeonwind.state.membership import MemberRecord, Membership, MemberState
from wigeonwind.state.subset import (
    choose_entry_peers,
    choose_join_links,
    choose_links,
)

INITIAL_RETRY_DELAY_MS = 200.0
"""Maximum delay after the first failed dial."""

MAX_RETRY_DELAY_MS = 10_000.0
"""Maximum delay between dials: after a partition, 400 processes reconnect to a zone
with at most 40 dials a second in each direction."""

MAX_JOIN_DIALS = 3
"""Number of addresses dialled at a time while no link is up."""


@dataclass
class _Backoff:
    failures: int = 0
    next_dial_ms: float = 0.0


class DialBackoff:
    """Exponential backoff with jitter, one per address."""

    def __init__(self, rng: Random) -> None:
        self._rng = rng
        self._backoff_by_address: dict[str, _Backoff] = {}

    def may_dial(self, address: str, now_ms: float) -> bool:
        """Return whether the delay after the last failure has passed."""
        backoff = self._backoff_by_address.get(address)
        return backoff is None or now_ms >= backoff.next_dial_ms

    def on_failure(self, address: str, now_ms: float) -> None:
        """Delay the next dial; jitter spreads the dials when a partition heals."""
        backoff = self._backoff_by_address.setdefault(address, _Backoff())
        limit_ms = min(MAX_RETRY_DELAY_MS, INITIAL_RETRY_DELAY_MS * 2**backoff.failures)
        backoff.failures += 1
        backoff.next_dial_ms = now_ms + self._rng.uniform(limit_ms / 2, limit_ms)

    def on_success(self, address: str) -> None:
        """Forget earlier failures."""
        self._backoff_by_address.pop(address, None)


class Peering:
    """Selects the members to which an entry or sidecar opens links."""

    def __init__(
        self, membership: Membership, subset_size: int, seeds: Iterable[SocketAddress]
    ) -> None:
        self._membership = membership
        self._subset_size = subset_size
        self._seeds = tuple(str(seed) for seed in seeds)
        self._listed_addresses: tuple[str, ...] = ()
        self._cache_key: tuple[int, tuple[str, ...]] = (-1, ())
        self._cached_sidecars: tuple[MemberRecord, ...] = ()
        self._cached_entry_peers: tuple[MemberRecord, ...] = ()

    def set_listed_addresses(self, addresses: Iterable[str]) -> None:
        """Set the link addresses of the platform's VM list, used to join."""
        self._listed_addresses = tuple(addresses)

    def selected_sidecars(self, services: Iterable[str]) -> tuple[MemberRecord, ...]:
        """Return the sidecars that this entry sends attempts to, for all services."""
        self._refresh_selection(tuple(services))
        return self._cached_sidecars

    def _refresh_selection(self, services: tuple[str, ...]) -> None:
        """Repeat the selection if members or services changed.

        It hashes all members: 3 ms at 800 sidecars, too slow to repeat per message.
        """
        key = (self._membership.change_count, services)
        if key == self._cache_key:
            return
        local = self._membership.local
        self._cache_key = key
        self._cached_sidecars = tuple(
            record for service in services for record in self._subset_of(service)
        )
        entries = self._membership.live("entry")
        self._cached_entry_peers = choose_entry_peers(
            local.member_id, local.zone, entries
        )

    def _subset_of(self, service: str) -> tuple[MemberRecord, ...]:
        local = self._membership.local
        sidecars = self._membership.live("side", service)
        return choose_links(local.member_id, local.zone, sidecars, self._subset_size)

    def wanted_members(
        self, services: Iterable[str], linked: int
    ) -> Iterator[MemberRecord]:
        """Yield the members to which this process keeps a link.

        `linked` is the number of linked peers. A sidecar only dials while it is 0;
        otherwise the entries dial it.
        """
        local = self._membership.local
        if local.role == "entry":
            yield from self.selected_sidecars(services)
            yield from self._cached_entry_peers
        elif not linked:
            entries = self._membership.live("entry")
            yield from choose_join_links(local.member_id, local.zone, entries)

    def is_leaving(self, member_id: str) -> bool:
        """Return whether a member is leaving or has left."""
        record = self._membership.record(member_id)
        return record is not None and record.state is not MemberState.LIVE

    def join_addresses(self, rng: Random) -> list[str]:
        """Return up to MAX_JOIN_DIALS random addresses to dial while no link is up."""
        local_address = self._membership.local.address
        member_addresses = {
            record.address
            for record in self._membership.records()
            if record.state is not MemberState.LEFT
        }
        candidates = sorted({*self._seeds, *self._listed_addresses, *member_addresses})
        others = [
            address for address in candidates if address not in ("", local_address)
        ]
        return rng.sample(others, min(MAX_JOIN_DIALS, len(others)))


def link_address_of(record: MemberRecord) -> SocketAddress | None:
    """Return a member's link address, None if it has none or it is invalid."""
    return parse_valid_address(record.address)
