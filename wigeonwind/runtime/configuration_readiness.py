"""Holds a fresh process back until its text is as new as it could have learnt."""

from collections.abc import Callable

from wigeonwind.catalog import Catalog
from wigeonwind.clock import Clock

PEER_SETTLE_MS = 2_000.0
"""Time that linked peers get to bring their version while the store does not answer.

A first peer may lie behind a partition with an older text; peers in other zones are
linked within this time, and a link that comes up announces its version at once.
"""


class ConfigurationReadinessGate:
    """Passes the text to the role once it is current, and each later one at once.

    The text is current when the store has answered since the start, or when peers have
    been linked for SETTLE_MS and none of them has announced a newer version.
    """

    def __init__(self, clock: Clock, newest_announced: Callable[[], int]) -> None:
        self._clock = clock
        self._newest_announced = newest_announced
        self._subscribers: list[Callable[[Catalog], None]] = []
        self._catalog: Catalog | None = None
        self._first_link_ms: float | None = None
        self.is_open = False

    def subscribe(self, callback: Callable[[Catalog], None]) -> None:
        """Call `callback` with the text, now if it is current already."""
        self._subscribers.append(callback)
        if self.is_open and self._catalog is not None:
            callback(self._catalog)

    def on_catalog(self, catalog: Catalog) -> None:
        """Take a text that this process has put in force."""
        self._catalog = catalog
        if self.is_open:
            self._pass_on()

    def on_link_up(self) -> None:
        """Note that a peer is linked."""
        if self._first_link_ms is None:
            self._first_link_ms = self._clock.now_ms()

    def on_store_response(self) -> None:
        """Note that the store has been read since the start."""
        self._open()

    def tick(self) -> None:
        """Look whether the peers have had their time."""
        if self.is_open or self._catalog is None or self._first_link_ms is None:
            return
        waited_ms = self._clock.now_ms() - self._first_link_ms
        is_newest = self._newest_announced() <= self._catalog.version
        if waited_ms >= PEER_SETTLE_MS and is_newest:
            self._open()

    def _open(self) -> None:
        if not self.is_open:
            self.is_open = True
            self._pass_on()

    def _pass_on(self) -> None:
        if self._catalog is not None:
            for callback in self._subscribers:
                callback(self._catalog)
