"""The era of the store's history, as the store's answers and peers state it."""

from collections.abc import Callable

from structlog import get_logger

from wigeonwind.state.store_types import UNKNOWN_ERA

log = get_logger("wigeonwind.store")


class StoreEras:
    """Knows the era of the newest answer, and tells listeners when it changes.

    An answer of an earlier era is late if the era has changed since its call was sent.
    If it has not, the store itself has gone back to that era, as its answers are
    linearizable.
    """

    def __init__(self) -> None:
        self.current = UNKNOWN_ERA
        """Era of the newest answer, UNKNOWN_ERA while none has stated any."""
        self._newest_from_peers = UNKNOWN_ERA
        self._listeners: list[Callable[[], None]] = []

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Call `listener` after each change from one known era to another."""
        self._listeners.append(listener)

    def observe(self, era: int, era_at_send: int) -> int:
        """Record the era that an answer states and return the era of the answer.

        `era_at_send` is `current` when the call was sent. An answer that states no era
        counts as one of that era. The answer is late if the result is not `current`.
        """
        if era == UNKNOWN_ERA:
            return era_at_send
        if era > self.current or era_at_send == self.current:
            self._set(era, "store")
        return era

    def learn(self, era: int) -> None:
        """Record the era that a peer states; each is checked with the store once."""
        if era > max(self.current, self._newest_from_peers):
            self._newest_from_peers = era
            self._set(era, "peer")

    def _set(self, era: int, source: str) -> None:
        before, self.current = self.current, era
        if before in (UNKNOWN_ERA, era):
            return
        log.warning(
            "the store has returned from a copy; listing again",
            era=era,
            before=before,
            source=source,
        )
        for listener in self._listeners:
            listener()
