"""Exchange of quota requests and grants between entries."""

from collections.abc import Callable
from typing import Protocol

import gevent

from wigeonwind.clock import MS_PER_SECOND, Clock
from wigeonwind.decisions.grants import GRANT_VALID_MS
from wigeonwind.links.link_types import Link
from wigeonwind.links.messages import Grant, GrantRequest

TICK_MS = 50.0
"""Interval between checks for due requests; after it, a refused scope is due again."""


class SharedLimits(Protocol):
    """Fleet-wide limits whose quota is granted by the owner entry of each scope."""

    def set_entries(self, entry_ids: tuple[str, ...], unreachable: int = 0) -> None:
        """Replace the live entries; `unreachable` of them cannot reach this entry."""
        ...

    def due_grant_requests(self, now_ms: float) -> dict[str, list[list]]:
        """Return the request rows that are due, by owner entry."""
        ...

    def on_grant_request(
        self, entry_id: str, rows: list[list], now_ms: float
    ) -> list[list]:
        """Return the grant rows for the request rows of another entry."""
        ...

    def on_grant(self, rows: list[list], valid_ms: float, now_ms: float) -> None:
        """Apply the rows of a received grant."""
        ...


class GrantExchange:
    """Requests grants from owner entries and grants quota as an owner.

    `link_of` returns the link to an entry, or starts to open one and returns None; it
    must not block. A request that cannot be sent is due again at a later tick.
    """

    def __init__(
        self,
        limits: SharedLimits,
        clock: Clock,
        link_of: Callable[[str], Link | None],
    ) -> None:
        self._limits = limits
        self._clock = clock
        self._link_of = link_of

    def set_entries(self, entry_ids: tuple[str, ...], unreachable: int = 0) -> None:
        """Replace the live entries; `unreachable` of them cannot reach this entry."""
        self._limits.set_entries(entry_ids, unreachable)

    def on_message(self, link: Link, message: object) -> bool:
        """Handle a message; return False for other message types."""
        now_ms = self._clock.now_ms()
        match message:
            case GrantRequest(rows=rows):
                granted = self._limits.on_grant_request(
                    link.hello.member_id, rows, now_ms
                )
                link.send(Grant(granted, GRANT_VALID_MS))
                return True
            case Grant(rows=rows, valid_ms=valid_ms):
                self._limits.on_grant(rows, valid_ms, now_ms)
                return True
        return False

    def tick(self) -> None:
        """Send the due requests, one message per owner entry."""
        rows_by_owner = self._limits.due_grant_requests(self._clock.now_ms())
        for entry_id, rows in rows_by_owner.items():
            link = self._link_of(entry_id)
            if link is not None:
                link.send(GrantRequest(rows))

    def run(self) -> None:
        """Tick until the greenlet is killed."""
        while True:
            self.tick()
            gevent.sleep(TICK_MS / MS_PER_SECOND)
