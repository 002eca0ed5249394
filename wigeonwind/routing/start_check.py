"""Check at the start of a process whether peers know a newer configuration.

The store may have returned from a copy with an older configuration, which the operator
has not replaced yet. Peers that run on have the newer one in force.
"""

from collections.abc import Callable, Mapping

from structlog import get_logger

from wigeonwind.clock import Clock
from wigeonwind.routing.store_watchers import PeerView

ANSWER_WAIT_MS = 300.0
"""Longest wait for messages of peers after the directory was read. A peer answers the
first message at once, one of an earlier version with its next regular message."""

CHECK_LIMIT_MS = 1_000.0
"""Longest time for which a configuration is held back, whatever peers say."""

log = get_logger("wigeonwind.configuration")


class StartCheck:
    """Decides when the first configuration of a process may be used."""

    def __init__(
        self,
        clock: Clock,
        live_views: Callable[[], Mapping[str, PeerView]],
        peer_count: Callable[[], int],
    ) -> None:
        self._clock = clock
        self._live_views = live_views
        self._peer_count = peer_count
        self._first_version_ms: float | None = None
        self._directory_read_ms: float | None = None
        self.is_done = False
        """Whether the configuration may be used."""

    def on_directory_read(self) -> None:
        """Begin to wait for the messages of the peers in the directory."""
        if self._directory_read_ms is None:
            self._directory_read_ms = self._clock.now_ms()

    def update(self, version: int | None) -> bool:
        """Return `is_done`, given the version of the configuration known, if any."""
        if self.is_done or version is None:
            return self.is_done
        now_ms = self._clock.now_ms()
        if self._first_version_ms is None:
            self._first_version_ms = now_ms
        held_ms = now_ms - self._first_version_ms
        if held_ms >= CHECK_LIMIT_MS or self._has_asked_peers(version, now_ms):
            self.is_done = True
            log.info(
                "configuration compared with peers",
                version=version,
                held_ms=round(held_ms),
                peers=self._peer_count(),
                heard=len(self._live_views()),
            )
        return self.is_done

    def _has_asked_peers(self, version: int, now_ms: float) -> bool:
        if self._directory_read_ms is None:
            return False
        views = self._live_views().values()
        if any(each.view.configuration_version > version for each in views):
            return False
        has_heard_all = len(views) >= self._peer_count()
        return has_heard_all or now_ms >= self._directory_read_ms + ANSWER_WAIT_MS
