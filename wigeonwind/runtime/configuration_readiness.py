"""Delays a starting process until its configuration is known to be current."""

from collections.abc import Callable

from wigeonwind.catalog import Catalog
from wigeonwind.clock import Clock

PEER_SETTLE_MS = 2_000.0
"""Time that peers get to announce their version while the store does not answer.

The first peer may have an old version because of a partition. Peers in other zones are
linked within this time, and each announces its version as soon as it is linked.
"""


class ConfigurationReadinessGate:
    """Passes the configuration to subscribers once it is current.

    It is current when the store has answered since the start, or when PEER_SETTLE_MS
    have passed since the first link and no linked peer announced a newer version. Later
    versions are passed on immediately.
    """

    def __init__(
        self, clock: Clock, newest_announced_version: Callable[[], int]
    ) -> None:
        self._clock = clock
        self._newest_announced_version = newest_announced_version
        self._subscribers: list[Callable[[Catalog], None]] = []
        self._catalog: Catalog | None = None
        self._first_link_ms: float | None = None
        self.is_open = False
        """Whether the configuration has been found to be current."""

    def subscribe(self, callback: Callable[[Catalog], None]) -> None:
        """Call `callback` with each version; immediately if one is current."""
        self._subscribers.append(callback)
        if self.is_open and self._catalog is not None:
            callback(self._catalog)

    def on_catalog(self, catalog: Catalog) -> None:
        """Handle a configuration that came into force in this process."""
        self._catalog = catalog
        if self.is_open:
            self._notify_subscribers()

    def on_link_up(self) -> None:
        """Record that a peer is linked."""
        if self._first_link_ms is None:
            self._first_link_ms = self._clock.now_ms()

    def on_store_response(self) -> None:
        """Record that the store has answered since the start."""
        self._open()

    def tick(self) -> None:
        """Check whether the linked peers show that the configuration is current."""
        if self.is_open or self._catalog is None or self._first_link_ms is None:
            return
        waited_ms = self._clock.now_ms() - self._first_link_ms
        is_newest = self._newest_announced_version() <= self._catalog.version
        if waited_ms >= PEER_SETTLE_MS and is_newest:
            self._open()

    def _open(self) -> None:
        if not self.is_open:
            self.is_open = True
            self._notify_subscribers()

    def _notify_subscribers(self) -> None:
        if self._catalog is not None:
            for callback in self._subscribers:
                callback(self._catalog)
