"""Following the objects under a prefix of the platform's store: list, then watch."""

from collections.abc import Callable
from typing import Protocol

import gevent
from gevent.event import Event
from structlog import get_logger

from wigeonwind.clock import MS_PER_SECOND
from wigeonwind.outcomes import Ok
from wigeonwind.runtime.error_boundary import call_isolated
from wigeonwind.state.store_eras import StoreEras
from wigeonwind.state.store_types import (
    NO_REVISION,
    HistoryExpired,
    ObjectPage,
    StoredObject,
    StoreFailure,
    StoreRevision,
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

FAILED_STEP_DELAY_MS = 1_000.0
"""Pause after a step that failed with an unexpected error, which may do so again."""

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

    It lists again after a failure, if the store no longer has the watch history, or if
    the store's era has changed, so that no change is missed. Answers of another era
    than the current one of `eras` are ignored. While `is_passive` returns true it makes
    no calls, because changes are read from peers; `on_resumed` is called when it makes
    calls again.
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
        eras: StoreEras | None = None,
    ) -> None:
        self._is_passive = is_passive
        self._on_resumed = on_resumed
        self._store = store
        self._prefix = prefix
        self._handler = handler
        self._on_reachable = on_reachable
        self._on_answer = on_answer
        self._eras = eras or StoreEras()
        self._era_changed = Event()
        self._eras.subscribe(self._era_changed.set)
        self._is_first_watch = False
        self.is_reachable = True
        """Whether the last call to the store succeeded."""
        self.revision_seen = NO_REVISION
        """Newest store revision that the handler has received."""
        self.changed_revision = NO_REVISION
        """Store revision at the last change that the handler has received."""
        self.failed_steps = 0
        """Number of steps that ended with an unexpected error."""
        self._watch_after: int | None = None
        """Revision to watch from; None if the next call is a listing."""
        self._had_changes = False

    def run(self) -> None:
        """Follow the store (runs until killed)."""
        while True:
            if self._watch_after is not None and self._is_passive():
                self._pause()
            is_ok = call_isolated("changes in the store", self._prefix, self.step, None)
            if is_ok is None:
                self._on_step_failed()
                gevent.sleep(FAILED_STEP_DELAY_MS / MS_PER_SECOND)
            elif not is_ok:
                gevent.sleep(RETRY_DELAY_MS / MS_PER_SECOND)
            elif self._had_changes:
                self._era_changed.wait(CHANGE_PAUSE_MS / MS_PER_SECOND)

    def _on_step_failed(self) -> None:
        """List again: the changes of the failed step may be in force in part.

        The process continues with the last known data. All routers read the same
        data, so an end of the process would be the end of all of them.
        """
        self.failed_steps += 1
        self._watch_after = None

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
        if self._watch_after is None or self._era_changed.is_set():
            return self._list()
        result = self._watch(self._watch_after)
        if result is None:
            return True
        if isinstance(result, StoreFailure):
            return self._on_failure(result)
        self._on_response()
        if isinstance(result, HistoryExpired):
            self._on_answer("history-expired", self._prefix, result.era)
            log.info(
                "watch history is no longer available; listing again",
                prefix=self._prefix,
                era=result.era,
                after=self._watch_after,
            )
            self._watch_after = None
            return True
        batch = result.value
        self._on_answer("watch", self._prefix, batch.era)
        if self._is_of_another_era(batch.era, self.revision_seen.era):
            return True
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
        self._watch_after = batch.revision
        self.revision_seen = StoreRevision(batch.era, batch.revision)
        self._had_changes = bool(batch.events)
        if self._had_changes:
            self.changed_revision = self.revision_seen
        return True

    def _watch(
        self, after: int
    ) -> Ok[WatchBatch] | HistoryExpired | StoreFailure | None:
        """Watch until the store answers; return None if its era changes before."""
        call = gevent.spawn(self._store.watch, self._prefix, after, WATCH_TIMEOUT_MS)
        try:
            gevent.wait((call, self._era_changed), count=1)
        except BaseException:
            call.kill(block=False)
            raise
        # An abandoned watch ends by its timeout; its connection cannot be interrupted.
        return call.get() if call.ready() else None

    def _is_of_another_era(self, *eras: int) -> bool:
        """Return whether an answer is not of the current era; list again if so."""
        if all(era == self._eras.current for era in eras):
            return False
        log.info(
            "ignored an answer of another era of the store",
            prefix=self._prefix,
            eras=eras,
            current=self._eras.current,
        )
        self._watch_after = None
        return True

    def _list(self) -> bool:
        self._era_changed.clear()
        result = self._store.list_objects(self._prefix)
        if isinstance(result, StoreFailure):
            return self._on_failure(result)
        self._on_response()
        page = result.value
        self._on_answer("listing", self._prefix, page.era)
        if self._is_of_another_era(page.era):
            return True
        self._is_first_watch = True
        log.info(
            "store listed",
            prefix=self._prefix,
            era=page.era,
            revision=page.revision,
            before=self.revision_seen.number,
            objects=len(page.objects),
        )
        self._handler.on_listed(page.objects)
        self._watch_after = page.revision
        self.revision_seen = StoreRevision(page.era, page.revision)
        self.changed_revision = self.revision_seen
        return True

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
