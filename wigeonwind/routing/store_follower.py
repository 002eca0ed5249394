"""Following the objects under a prefix of the platform's store: list, then watch."""

from collections.abc import Callable
from typing import Protocol

import gevent
from structlog import get_logger

from wigeonwind.clock import MS_PER_SECOND
from wigeonwind.outcomes import Ok
from wigeonwind.state.store_types import (
    UNKNOWN_ERA,
    HistoryExpired,
    ObjectPage,
    StoredObject,
    StoreFailure,
    WatchBatch,
)

WATCH_TIMEOUT_MS = 4_000.0
"""Longest wait of one watch. Every watch costs a call, but a connection may fail
silently, and missed changes must be noticed within the limits for configuration
changes."""

CHANGE_PAUSE_MS = 250.0
"""Pause after a change, so that a series of changes costs few calls in each process. It
delays a change by at most an eighth of the limit of 2 s for configuration changes."""

PASSIVE_CHECK_MS = 200.0
"""Interval at which a passive follower checks whether it must watch again."""

RETRY_DELAY_MS = 100.0
"""Pause after a failed call, in addition to the backoff of the store client."""

log = get_logger("wigeonwind.store")


class FollowedStore(Protocol):
    """The store calls that a follower makes."""

    def list_objects(self, prefix: str) -> Ok[ObjectPage] | StoreFailure:
        """Return all objects under a prefix."""
        ...

    def watch(
        self, prefix: str, after: int, timeout_ms: float
    ) -> Ok[WatchBatch] | HistoryExpired | StoreFailure:
        """Wait for changes under `prefix` after revision `after`."""
        ...


class ChangeHandler(Protocol):
    """Receives the objects and changes that a `StoreFollower` reads."""

    def on_listed(self, objects: tuple[StoredObject, ...]) -> None:
        """Replace all objects with those of a listing."""
        ...

    def on_changed(self, changed: StoredObject) -> None:
        """Handle a new or changed object."""
        ...

    def on_removed(self, key: str) -> None:
        """Handle the removal of an object."""
        ...


class StoreFollower:
    """Keeps a handler up to date with the objects under one prefix.

    It lists again after a failure, or if the store no longer has the watch history, so
    that no change is missed. While `is_passive` returns true it makes no calls, because
    changes are read from peers; `on_resumed` is called when it makes calls again.
    """

    def __init__(
        self,
        store: FollowedStore,
        prefix: str,
        handler: ChangeHandler,
        on_reachable: Callable[[bool], None],
        is_passive: Callable[[], bool] = lambda: False,
        on_resumed: Callable[[], None] = lambda: None,
        on_answer: Callable[[str, str, int], None] = lambda call, prefix, era: None,
    ) -> None:
        self._is_passive = is_passive
        self._on_resumed = on_resumed
        self._store = store
        self._prefix = prefix
        self._handler = handler
        self._on_reachable = on_reachable
        self._on_answer = on_answer
        self._era = UNKNOWN_ERA
        self._is_first_watch = False
        self.is_reachable = True
        """Whether the last call to the store succeeded."""
        self.revision_seen = 0
        """Newest store revision that the handler has received, 0 for none."""
        self.changed_revision = 0
        """Store revision at the last change that the handler has received."""
        self._watch_after: int | None = None
        """Revision to watch from; None if the next call is a listing."""
        self._had_changes = False

    def run(self) -> None:
        """Follow the store (runs until killed)."""
        while True:
            if self._watch_after is not None and self._is_passive():
                self._pause()
            if not self.step():
                gevent.sleep(RETRY_DELAY_MS / MS_PER_SECOND)
            elif self._had_changes:
                gevent.sleep(CHANGE_PAUSE_MS / MS_PER_SECOND)

    def _pause(self) -> None:
        """Wait until the store must be followed again."""
        log.info("leaving the watching of the store to peers", prefix=self._prefix)
        while self._is_passive():
            gevent.sleep(PASSIVE_CHECK_MS / MS_PER_SECOND)
        log.info("watching the store again", prefix=self._prefix)
        self._watch_after = None
        self._on_resumed()

    def step(self) -> bool:
        """Make one list or watch call; return whether it succeeded."""
        self._had_changes = False
        if self._watch_after is None:
            return self._list()
        result = self._store.watch(self._prefix, self._watch_after, WATCH_TIMEOUT_MS)
        if isinstance(result, StoreFailure):
            return self._on_failure(result)
        self._on_response()
        if isinstance(result, HistoryExpired):
            self._record_answer("history-expired", result.era)
            log.info(
                "watch history is no longer available; listing again",
                prefix=self._prefix,
                era=result.era,
                after=self._watch_after,
            )
            self._watch_after = None
            return True
        batch = result.value
        self._record_answer("watch", batch.era)
        if self._is_first_watch:
            self._is_first_watch = False
            log.info(
                "store watched",
                prefix=self._prefix,
                era=batch.era,
                after=self._watch_after,
                revision=batch.revision,
                events=len(batch.events),
            )
        for event in batch.events:
            if event.deleted:
                self._handler.on_removed(event.key)
            else:
                value = event.value or b""
                changed = StoredObject(event.key, event.version, value)
                self._handler.on_changed(changed)
        self._watch_after = self.revision_seen = result.value.revision
        self._had_changes = bool(result.value.events)
        if self._had_changes:
            self.changed_revision = self.revision_seen
        return True

    def _list(self) -> bool:
        result = self._store.list_objects(self._prefix)
        if isinstance(result, StoreFailure):
            return self._on_failure(result)
        self._on_response()
        page = result.value
        self._record_answer("listing", page.era)
        self._is_first_watch = True
        log.info(
            "store listed",
            prefix=self._prefix,
            era=page.era,
            revision=page.revision,
            before=self.revision_seen,
            objects=len(page.objects),
        )
        self._handler.on_listed(page.objects)
        self._watch_after = self.revision_seen = result.value.revision
        self.changed_revision = self.revision_seen
        return True

    def _record_answer(self, call: str, era: int) -> None:
        self._on_answer(call, self._prefix, era)
        if era != self._era:
            log.info(
                "era of the store changed",
                prefix=self._prefix,
                call=call,
                era=era,
                before=self._era,
                revision_seen=self.revision_seen,
            )
            self._era = era

    def _on_failure(self, failure: StoreFailure) -> bool:
        # A recovered store answers a listing at once. A watch would wait for the next
        # change, and would not report the entries that expired in the outage.
        self._watch_after = None
        if self.is_reachable:
            self.is_reachable = False
            log.warning(
                "lost connection to the store; serving the last known data",
                prefix=self._prefix,
                reason=failure.reason,
            )
            self._on_reachable(False)
        return False

    def _on_response(self) -> None:
        if not self.is_reachable:
            self.is_reachable = True
            log.info("connection to the store restored", prefix=self._prefix)
            self._on_reachable(True)
