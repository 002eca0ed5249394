"""Watches the configuration in the store, and polls it in case events are missed."""

from collections.abc import Callable
from random import Random
from typing import TypeVar

from structlog import get_logger

from wigeonwind.outcomes import Ok
from wigeonwind.state.configuration_chunks import split_into_chunks
from wigeonwind.state.configuration_head import HEAD_KEY
from wigeonwind.state.configuration_recovery import raise_version_steps
from wigeonwind.state.configuration_replica import ConfigurationReplica
from wigeonwind.state.configuration_sections import Sections
from wigeonwind.state.configuration_store import (
    FetchedConfiguration,
    NotNewer,
    fetch_steps,
    read_chunks_steps,
)
from wigeonwind.state.store_steps import Steps, run_steps
from wigeonwind.state.store_types import (
    HistoryExpired,
    Store,
    StoreFailure,
    WatchBatch,
)

WATCH_TIMEOUT_MS = 60_000.0
"""Longest wait of one watch, which the store counts as one call: 1,190 processes make
20 calls a second."""

WATCH_PAUSE_MS = 5_000.0
"""Mean pause after a watch that returned events. Without it, 1,190 processes would use
the store's whole rate of 2,000 reads a second in a burst of 100 edits a minute."""

PEER_GRACE_MS = 1_000.0
"""Mean time in which peers may deliver a version before it is read from the store."""

POLL_INTERVAL_MS = 60_000.0
"""Mean interval between polls of the head; the store may skip watch events."""

INITIAL_BACKOFF_MS = 500.0
"""Shortest pause after a first failure; it doubles with each consecutive failure."""

MAX_BACKOFF_MS = 30_000.0
"""Longest mean pause after failures."""

PAUSE_JITTER = 0.5
"""Pauses are uniformly distributed around the mean, plus or minus this share."""

log = get_logger("wigeonwind.configuration")

T = TypeVar("T")


class ConfigurationWatcher:
    """Fetches new configurations from the store.

    The caller runs `watch_step` and `poll_step` in separate loops; each returns the
    pause in ms before it should be called again. Either loop suffices to get each
    version: events may be skipped or repeated, and the store may be down for long.
    """

    def __init__(
        self,
        store: Store,
        replica: ConfigurationReplica,
        random: Random,
        sleep_ms: Callable[[float], None],
    ) -> None:
        self._store = store
        self._replica = replica
        self._random = random
        self._sleep_ms = sleep_ms
        self._revision = 0
        self._consecutive_failures = 0
        self.has_read_store = False
        """Whether the store was read successfully since this process started."""
        self.problem = ""
        """Why the configuration in the store cannot be used, empty if it can."""
        self.count_by_event: dict[str, int] = {}
        """Event counters: fetched, fetch_failed, fetch_unusable, watch_failed,
        store_went_back, recovered."""

    def watch_step(self) -> float:
        """Wait for an event; fetch the configuration unless peers deliver it."""
        result = self._store.watch(HEAD_KEY, self._revision, WATCH_TIMEOUT_MS)
        if isinstance(result, StoreFailure):
            self._count("watch_failed")
            return self._backoff_ms(result)
        self._consecutive_failures = 0
        if isinstance(result, HistoryExpired):
            self._revision = 0
            return self.poll_step()
        went_back = result.value.revision < self._revision
        # Events of a repeated batch are harmless; events of another history that would
        # be skipped are not.
        self._revision = result.value.revision
        if went_back:
            self._count("store_went_back")
            log.warning("store went back to an older revision", revision=self._revision)
            failure = self.fetch()
            return (
                self._backoff_ms(failure) if failure else self._jittered(WATCH_PAUSE_MS)
            )
        announced_version = _newest_version(result.value)
        if announced_version <= self._newest_known_version():
            return 0.0 if announced_version == 0 else self._jittered(WATCH_PAUSE_MS)
        self._sleep_ms(self._jittered(PEER_GRACE_MS))
        if announced_version > self._newest_known_version():
            self.fetch()
        return self._jittered(WATCH_PAUSE_MS)

    def poll_step(self) -> float:
        """Fetch the configuration if it is newer; return the pause to the next poll."""
        failure = self.fetch()
        return (
            self._backoff_ms(failure) if failure else self._jittered(POLL_INTERVAL_MS)
        )

    def fetch(self) -> StoreFailure | None:
        """Read a newer configuration and offer it; return a failure of the store."""
        steps = fetch_steps(self._newest_known_version(), self._known_chunks)
        result = run_steps(steps, self._store, self._sleep_ms)
        if isinstance(result, StoreFailure):
            self._count("fetch_failed")
            return result
        self._consecutive_failures = 0
        self.has_read_store = True
        if isinstance(result, FetchedConfiguration):
            self._offer(result)
        elif isinstance(result, NotNewer):
            return self._recover(result)
        else:
            self._count("fetch_unusable")
            self.problem = getattr(result, "reason", "the store has no configuration")
        return None

    def _recover(self, found: NotNewer) -> StoreFailure | None:
        """Put the store and this process in agreement after a return to a copy.

        If the head is one that was in force here before, the store has lost the
        configuration in force, which is written again. If it is another one, it was
        accepted after the return and replaces the configuration in force. Where this
        process cannot tell, it leaves the recovery to others.
        """
        replica, head = self._replica, found.head
        if head is None or replica.configuration is None:
            return None
        known_digest = replica.digest_of(found.version)
        if known_digest is None or found.version > replica.version:
            return None
        is_old = known_digest == head.digest
        if is_old and found.version == replica.version:
            return None
        sections = replica.configuration.sections
        if not is_old:
            fetched = self._run(read_chunks_steps(head, self._known_chunks()))
            if isinstance(fetched, StoreFailure):
                return fetched
            if not isinstance(fetched, FetchedConfiguration):
                return None
            checked = replica.check(fetched.source)
            if not isinstance(checked, Ok):
                return None
            sections = checked.value.sections
        self._raise_version(found.version, sections)
        return None

    def _raise_version(self, stored_version: int, sections: Sections) -> None:
        known_version = self._replica.version
        steps = raise_version_steps(stored_version, known_version, sections)
        version = self._run(steps)
        self._count("recovered")
        log.warning(
            "configuration written again after a return of the store",
            stored_version=stored_version,
            known_version=known_version,
            version=version,
        )
        if version > known_version:
            self._replica.offer(version, sections.source)

    def _run(self, steps: Steps[T]) -> T:
        return run_steps(steps, self._store, self._sleep_ms)

    def _known_chunks(self) -> dict[str, str]:
        """Return the chunks of the configuration in force, which need not be read."""
        configuration = self._replica.configuration
        if configuration is None:
            return {}
        return {
            chunk.digest: chunk.source
            for chunk in split_into_chunks(configuration.sections)
        }

    def _offer(self, fetched: FetchedConfiguration) -> None:
        self._count("fetched")
        self._replica.offer(fetched.version, fetched.source)
        in_force = self._replica.version >= fetched.version
        invalid_reason = f"version {fetched.version} of the store is invalid"
        self.problem = "" if in_force else invalid_reason

    def _newest_known_version(self) -> int:
        return max(self._replica.version, self._replica.refused_version)

    def _jittered(self, mean_ms: float) -> float:
        return mean_ms * self._random.uniform(1 - PAUSE_JITTER, 1 + PAUSE_JITTER)

    def _backoff_ms(self, failure: StoreFailure) -> float:
        self._consecutive_failures += 1
        mean = min(
            INITIAL_BACKOFF_MS * 2 ** min(self._consecutive_failures, 10),
            MAX_BACKOFF_MS,
        )
        return max(self._jittered(mean), failure.retry_after_ms)

    def _count(self, event: str) -> None:
        self.count_by_event[event] = self.count_by_event.get(event, 0) + 1


def _newest_version(batch: WatchBatch) -> int:
    """Return the highest version of the head among the events, 0 if there is none."""
    versions = [e.version for e in batch.events if e.key == HEAD_KEY and not e.deleted]
    return max(versions, default=0)
