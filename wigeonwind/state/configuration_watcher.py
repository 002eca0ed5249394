"""Follows the text in the store: watches it, and polls it as a safety net."""

from collections.abc import Callable
from random import Random

from wigeonwind.state.configuration_chunks import split_into_chunks
from wigeonwind.state.configuration_head import HEAD_KEY
from wigeonwind.state.configuration_replica import ConfigurationReplica
from wigeonwind.state.configuration_store import (
    FetchedConfiguration,
    NotNewer,
    fetch_steps,
)
from wigeonwind.state.store_steps import run_steps
from wigeonwind.state.store_types import (
    HistoryGone,
    Store,
    StoreFailure,
    WatchBatch,
)

WATCH_TIMEOUT_MS = 60_000.0
"""A waiting watch counts as one call: 1,190 processes make 20 calls a second."""

WATCH_PAUSE_MS = 5_000.0
"""Mean pause after a watch that brought events. In a burst of 100 edits a minute,
1,190 processes would else use the store's whole rate of 2,000 reads a second."""

PEER_GRACE_MS = 1_000.0
"""Mean time that peers get to bring a version before the store is read for it."""

POLL_INTERVAL_MS = 60_000.0
"""Mean interval between reads of the head without an event; events can be skipped."""

INITIAL_BACKOFF_MS = 500.0
MAX_BACKOFF_MS = 30_000.0

JITTER = 0.5
"""Pauses are spread evenly over the mean, plus or minus this share."""


class ConfigurationWatcher:
    """Follows the head of the text in the store; each step returns a pause in ms.

    The caller runs `watch_step` and `poll_step` in a loop each. Neither needs the
    other: events may be skipped or repeated, and the store may be down for long.
    """

    def __init__(
        self,
        store: Store,
        keeper: ConfigurationReplica,
        random: Random,
        sleep_ms: Callable[[float], None],
    ) -> None:
        self._store = store
        self._keeper = keeper
        self._random = random
        self._sleep_ms = sleep_ms
        self._revision = 0
        self._failures = 0
        self.has_read_store = False
        """Whether the store has been read successfully since the start."""
        self.problem = ""
        """Why the text of the store cannot be used, empty if it can."""
        self.count_by_event: dict[str, int] = {}
        """Counters: fetched, fetch_failed, fetch_unusable, watch_failed."""

    def watch_step(self) -> float:
        """Wait for an event and fetch the text if peers have not brought it."""
        result = self._store.watch(HEAD_KEY, self._revision, WATCH_TIMEOUT_MS)
        if isinstance(result, StoreFailure):
            self._count("watch_failed")
            return self._backoff_ms(result)
        self._failures = 0
        if isinstance(result, HistoryGone):
            self._revision = 0
            return self.poll_step()
        # A repeated batch may carry an older revision than one already seen.
        self._revision = max(self._revision, result.value.revision)
        wanted = _newest_version(result.value)
        if wanted <= self._newest_known():
            return 0.0 if wanted == 0 else self._spread(WATCH_PAUSE_MS)
        self._sleep_ms(self._spread(PEER_GRACE_MS))
        if wanted > self._newest_known():
            self.fetch()
        return self._spread(WATCH_PAUSE_MS)

    def poll_step(self) -> float:
        """Fetch the text if the head is newer; return the pause to the next poll."""
        failure = self.fetch()
        return self._backoff_ms(failure) if failure else self._spread(POLL_INTERVAL_MS)

    def fetch(self) -> StoreFailure | None:
        """Read the text of the store and offer it; return a failure of the store."""
        steps = fetch_steps(self._newest_known(), self._known_parts)
        result = run_steps(steps, self._store, self._sleep_ms)
        if isinstance(result, StoreFailure):
            self._count("fetch_failed")
            return result
        self._failures = 0
        self.has_read_store = True
        if isinstance(result, FetchedConfiguration):
            self._offer(result)
        elif not isinstance(result, NotNewer):
            self._count("fetch_unusable")
            self.problem = getattr(result, "reason", "there is no text in the store")
        return None

    def _known_parts(self) -> dict[str, str]:
        """Return the parts of the text in force, which need not be read."""
        text = self._keeper.configuration
        if text is None:
            return {}
        return {part.digest: part.source for part in split_into_chunks(text.sections)}

    def _offer(self, fetched: FetchedConfiguration) -> None:
        self._count("fetched")
        self._keeper.offer(fetched.version, fetched.source)
        in_force = self._keeper.version >= fetched.version
        refused = f"version {fetched.version} of the store is invalid"
        self.problem = "" if in_force else refused

    def _newest_known(self) -> int:
        return max(self._keeper.version, self._keeper.refused_version)

    def _spread(self, mean_ms: float) -> float:
        return mean_ms * self._random.uniform(1 - JITTER, 1 + JITTER)

    def _backoff_ms(self, failure: StoreFailure) -> float:
        self._failures += 1
        mean = min(INITIAL_BACKOFF_MS * 2 ** min(self._failures, 10), MAX_BACKOFF_MS)
        return max(self._spread(mean), failure.retry_after_ms)

    def _count(self, event: str) -> None:
        self.count_by_event[event] = self.count_by_event.get(event, 0) + 1


def _newest_version(batch: WatchBatch) -> int:
    """Return the newest version of the head among the events, 0 if there is none."""
    versions = [e.version for e in batch.events if e.key == HEAD_KEY and not e.deleted]
    return max(versions, default=0)
