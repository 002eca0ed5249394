"""Service discovery: usable endpoints, from their entries in the platform's store."""

from collections.abc import Callable, Collection, Iterable, Iterator
from dataclasses import dataclass

from structlog import get_logger

from wigeonwind.clock import Clock
from wigeonwind.decisions.latency_choice import LatencyChooser
from wigeonwind.decisions.leaving_endpoints import (
    LeavingEndpoints,
    LeavingRow,
    key_digest,
)
from wigeonwind.decisions.placement import Candidate
from wigeonwind.routing.endpoint_connection import ConnectionPool
from wigeonwind.routing.endpoints import Endpoint, EndpointKey

EXPIRED_ENTRY_GRACE_MS = 2_200.0
"""Time after an outage of the store for which expired entries are still used. Live
endpoints write their entries again within about two seconds."""

DEPARTURE_MEMORY_MS = 60_000.0
"""Time for which a departed endpoint is remembered. The store may return from a copy
some seconds old, which lists it as ready again."""

DEPARTURE_HOLD_MS = 10_000.0
"""Time after such a return for which an endpoint whose entry had been removed is not
used without a change of its entry. The platform removes entries that nobody renews."""

MISDIRECTED_HOLD_MS = 10_000.0
"""Time for which an endpoint is excluded after its address answered with status 421."""

log = get_logger("wigeonwind.discovery")


@dataclass(frozen=True, slots=True)
class _ExpiredEntry:
    """An entry that was removed while the store was not authoritative."""

    endpoint: Endpoint
    until_ms: float


@dataclass(frozen=True, slots=True)
class _Departure:
    """When an endpoint began to drain, or when its entry was removed."""

    at_ms: float
    was_draining: bool


class EndpointSet:
    """Endpoints by key; updates the chooser and the connection pool on changes.

    A removed entry means that its endpoint has left, except around an outage of the
    store, in which the entries of live endpoints expire. Such endpoints are used for
    EXPIRED_ENTRY_GRACE_MS after the store has recovered, or has returned from a copy.
    After such a return, entries of endpoints that had departed before are held back.
    """

    def __init__(
        self, clock: Clock, chooser: LatencyChooser, pool: ConnectionPool
    ) -> None:
        self._clock = clock
        self._chooser = chooser
        self._pool = pool
        self._by_id: dict[str, Endpoint] = {}
        self._expired_by_id: dict[str, _ExpiredEntry] = {}
        self._misdirected_until_ms: dict[EndpointKey, float] = {}
        self._departure_by_key: dict[EndpointKey, _Departure] = {}
        self._held_until_ms: dict[EndpointKey, float] = {}
        self._usable_by_key: dict[EndpointKey, Endpoint] = {}
        self.leaving = LeavingEndpoints()
        """Endpoints that have announced that they leave, whatever their entry says."""
        self._store_is_unreachable = False
        self._authoritative_from_ms = float("-inf")
        self._copy_listed_until_ms = float("-inf")
        """Until when a listing may have entries from before a restart."""
        self.on_draining: Callable[[Endpoint], None] = lambda endpoint: None
        """Called when an endpoint is reported to be draining, or announces it."""

    def __len__(self) -> int:
        """Return the number of endpoints that may get new requests."""
        return len(self._usable_by_key)

    def get(self, key: EndpointKey) -> Endpoint | None:
        """Return an endpoint if it may get new requests, else None."""
        return self._usable_by_key.get(key)

    def all(self) -> Iterator[Endpoint]:
        """Yield the endpoints that may get new requests."""
        yield from self._usable_by_key.values()

    def on_store_unreachable(self) -> None:
        """Handle the start of an outage of the store."""
        self._store_is_unreachable = True

    def on_store_recovered(self) -> None:
        """Handle the end of an outage, in which entries may have expired."""
        if self._store_is_unreachable:
            self._store_is_unreachable = False
            self._authoritative_from_ms = self._clock.now_ms() + EXPIRED_ENTRY_GRACE_MS

    def on_view_interrupted(self) -> None:
        """Handle a listing that follows a time without watching the store.

        Entries may have expired in an outage that this process did not notice.
        """
        self._authoritative_from_ms = self._clock.now_ms() + EXPIRED_ENTRY_GRACE_MS

    def on_store_returned(self) -> None:
        """Handle a return of the store from a copy some seconds old.

        The copy may lack entries of live endpoints, and list departed endpoints.
        """
        now_ms = self._clock.now_ms()
        self._authoritative_from_ms = now_ms + EXPIRED_ENTRY_GRACE_MS
        self._copy_listed_until_ms = self._authoritative_from_ms
        self._forget_departures(now_ms)
        for key, departure in self._departure_by_key.items():
            if departure.was_draining:
                until_ms = departure.at_ms + DEPARTURE_MEMORY_MS
            else:
                until_ms = now_ms + DEPARTURE_HOLD_MS
            self._held_until_ms[key] = until_ms

    def _forget_departures(self, now_ms: float) -> None:
        since_ms = now_ms - DEPARTURE_MEMORY_MS
        self._departure_by_key = {
            key: departure
            for key, departure in self._departure_by_key.items()
            if departure.at_ms > since_ms
        }

    @property
    def is_authoritative(self) -> bool:
        """Return whether a removed entry means that its endpoint has left."""
        now_ms = self._clock.now_ms()
        return not self._store_is_unreachable and now_ms >= self._authoritative_from_ms

    def on_listed(
        self, endpoints: Iterable[Endpoint], is_authoritative: bool = False
    ) -> None:
        """Replace all entries with those of a listing.

        With `is_authoritative`, endpoints missing from the listing are removed even
        while the store is unreachable.
        """
        listed = {each.instance_id: each for each in endpoints}
        if self._clock.now_ms() < self._copy_listed_until_ms:
            for instance_id in [
                each.instance_id
                for each in listed.values()
                if self._has_later_start(each)
            ]:
                del listed[instance_id]
        for instance_id in [
            instance_id for instance_id in self._by_id if instance_id not in listed
        ]:
            self._remove(instance_id, is_authoritative or self.is_authoritative)
        if is_authoritative:
            for instance_id in self._expired_by_id.keys() - listed.keys():
                self._remove_expired(instance_id)
            self._expired_by_id.clear()
        for endpoint in listed.values():
            self._put(endpoint)
        self._update()

    def _has_later_start(self, endpoint: Endpoint) -> bool:
        """Return whether a later start under the id of an endpoint is known.

        A copy that the store has returned from may have an entry from before a restart.
        """
        known = self._by_id.get(endpoint.instance_id)
        expired = self._expired_by_id.get(endpoint.instance_id)
        if known is None and expired is not None:
            known = expired.endpoint
        return known is not None and known.started_ms > endpoint.started_ms

    def on_changed(self, endpoint: Endpoint) -> None:
        """Add or replace an entry."""
        departure = self._departure_by_key.get(endpoint.key)
        if departure is not None and not departure.was_draining:
            self._held_until_ms.pop(endpoint.key, None)
        self._put(endpoint)
        self._update()

    def on_removed(self, instance_id: str) -> None:
        """Remove an entry."""
        if instance_id in self._by_id:
            self._remove(instance_id, self.is_authoritative)
            self._update()

    def on_invalid(self, instance_id: str) -> None:
        """Remove an endpoint whose entry is present but invalid.

        It is not used in an outage of the store either, as its entry has not expired.
        """
        expired = self._expired_by_id.pop(instance_id, None)
        if instance_id in self._by_id:
            self._remove(instance_id, is_authoritative=True)
            self._update()
        elif expired is not None:
            self._update()

    def on_misdirected(self, endpoint: Endpoint) -> None:
        """Exclude an endpoint whose address now belongs to another endpoint."""
        until_ms = self._clock.now_ms() + MISDIRECTED_HOLD_MS
        self._misdirected_until_ms[endpoint.key] = until_ms
        self._expired_by_id.pop(endpoint.instance_id, None)
        log.warning(
            "endpoint excluded; its address belongs to another endpoint",
            endpoint=endpoint.instance_id,
            address=str(endpoint.address),
        )
        self._update()

    def on_leaving_announced(self, endpoint: Endpoint) -> None:
        """Stop using an endpoint that has announced in a response that it leaves."""
        now_ms = self._clock.now_ms()
        digest = key_digest(endpoint.key)
        if self.leaving.add(digest, now_ms, now_ms):
            self._stop_using_leaving((digest,), "its response")

    def on_leaving_rows(self, rows: Iterable[LeavingRow], sender: str) -> None:
        """Stop using the endpoints whose announcements a peer has read."""
        new = self.leaving.merge(rows, self._clock.now_ms())
        if new:
            self._stop_using_leaving(new, f"message of {sender}")

    def _stop_using_leaving(self, digests: Collection[int], source: str) -> None:
        now_ms = self._clock.now_ms()
        concerned = [
            each
            for each in self._usable_by_key.values()
            if key_digest(each.key) in digests
        ]
        self._update()
        for endpoint in concerned:
            digest = key_digest(endpoint.key)
            log.info(
                "endpoint has announced that it leaves",
                endpoint=endpoint.instance_id,
                service=endpoint.service,
                source=source,
                not_used_for_ms=round(self.leaving.left_ms(digest, now_ms)),
            )
            self.on_draining(endpoint)

    def leaving_endpoints(self) -> Iterator[tuple[Endpoint, float, float]]:
        """Yield each known endpoint that is leaving, since when and for how long.

        The times are in milliseconds: since the first announcement, and until the
        endpoint may be used again.
        """
        now_ms = self._clock.now_ms()
        for endpoint in self._by_id.values() if len(self.leaving) else ():
            digest = key_digest(endpoint.key)
            if digest in self.leaving:
                since_ms = now_ms - self.leaving.since_ms(digest)
                yield endpoint, since_ms, self.leaving.left_ms(digest, now_ms)

    def expire_entries(self) -> None:
        """Drop expired entries and exclusions whose time is over; call periodically."""
        now_ms = self._clock.now_ms()
        expired_ids = [
            instance_id
            for instance_id, expired in self._expired_by_id.items()
            if self._deadline_ms(expired) <= now_ms
        ]
        misdirected = self._misdirected_until_ms
        readmitted_keys = [
            key for key, until_ms in misdirected.items() if until_ms <= now_ms
        ]
        released_keys = [
            key for key, until_ms in self._held_until_ms.items() if until_ms <= now_ms
        ]
        for key in released_keys:
            del self._held_until_ms[key]
            departure = self._departure_by_key.get(key)
            if departure is not None and not departure.was_draining:
                del self._departure_by_key[key]
        self._forget_departures(now_ms)
        for instance_id in expired_ids:
            self._remove_expired(instance_id)
            log.info(
                "endpoint removed; its expired entry was not renewed",
                endpoint=instance_id,
            )
        for key in readmitted_keys:
            del misdirected[key]
        ended = self.leaving.drop_expired(now_ms)
        for endpoint in self._by_id.values() if ended else ():
            if key_digest(endpoint.key) in ended:
                log.info(
                    "endpoint that had announced to leave is used again",
                    endpoint=endpoint.instance_id,
                )
        if expired_ids or readmitted_keys or released_keys or ended:
            self._update()

    def _remove_expired(self, instance_id: str) -> None:
        """Drop an expired entry, as its endpoint has departed."""
        endpoint = self._expired_by_id.pop(instance_id).endpoint
        departure = _Departure(self._clock.now_ms(), False)
        self._departure_by_key[endpoint.key] = departure

    def _deadline_ms(self, expired: _ExpiredEntry) -> float:
        """Return until when an expired entry is used; no limit during an outage."""
        if self._store_is_unreachable:
            return float("inf")
        return max(expired.until_ms, self._authoritative_from_ms)

    def _put(self, endpoint: Endpoint) -> None:
        previous = self._by_id.get(endpoint.instance_id)
        self._by_id[endpoint.instance_id] = endpoint
        self._expired_by_id.pop(endpoint.instance_id, None)
        if previous is not None and previous.key != endpoint.key:
            departure = _Departure(self._clock.now_ms(), previous.is_draining)
            self._departure_by_key[previous.key] = departure
        if previous is None or previous.key != endpoint.key:
            log.info(
                "endpoint discovered",
                endpoint=endpoint.instance_id,
                service=endpoint.service,
                address=str(endpoint.address),
                draining=endpoint.is_draining,
            )
        elif previous.is_draining != endpoint.is_draining:
            log.info(
                "endpoint draining state changed",
                endpoint=endpoint.instance_id,
                draining=endpoint.is_draining,
            )
        if endpoint.is_draining:
            departure = _Departure(self._clock.now_ms(), True)
            self._departure_by_key[endpoint.key] = departure
            self.on_draining(endpoint)
        elif endpoint.key not in self._held_until_ms:
            self._departure_by_key.pop(endpoint.key, None)
        else:
            log.info(
                "endpoint held back; it had departed before the store returned",
                endpoint=endpoint.instance_id,
            )

    def _remove(self, instance_id: str, is_authoritative: bool) -> None:
        endpoint = self._by_id.pop(instance_id)
        now_ms = self._clock.now_ms()
        if not is_authoritative and not endpoint.is_draining:
            until_ms = max(self._authoritative_from_ms, now_ms)
            self._expired_by_id[instance_id] = _ExpiredEntry(endpoint, until_ms)
        else:
            self._departure_by_key.setdefault(
                endpoint.key, _Departure(now_ms, endpoint.is_draining)
            )
        log.info(
            "endpoint entry removed from the store",
            endpoint=instance_id,
            still_used=instance_id in self._expired_by_id,
        )

    def _update(self) -> None:
        """Pass the usable endpoints to the chooser and close unused connections."""
        expired = [each.endpoint for each in self._expired_by_id.values()]
        present = [each for each in self._by_id.values() if not each.is_draining]
        usable = {each.key: each for each in [*expired, *present]}
        for key in (*self._misdirected_until_ms, *self._held_until_ms):
            usable.pop(key, None)
        if len(self.leaving):
            usable = {
                key: each
                for key, each in usable.items()
                if key_digest(key) not in self.leaving
            }
        for key in self._usable_by_key:
            if key not in usable:
                self._pool.discard(key)
        self._usable_by_key = usable
        candidates = [
            Candidate(each.key, each.service, each.zone, each.slots)
            for each in sorted(usable.values(), key=lambda each: each.key)
        ]
        self._chooser.set_candidates(candidates, self._clock.now_ms())
