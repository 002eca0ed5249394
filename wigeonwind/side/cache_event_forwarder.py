"""Forwards the prompt-cache events of an engine to the linked entries."""

from collections import OrderedDict
from collections.abc import Callable

from gevent import sleep

from wigeonwind.clock import MS_PER_SECOND, Clock
from wigeonwind.links.link_types import Link
from wigeonwind.links.messages import CacheEvents
from wigeonwind.side.engine_client import EngineCacheEvents, EngineClient

POLL_INTERVAL_MS = 500.0
"""Interval between polls of the engine's events while attempts are active."""

POLL_AFTER_ACTIVITY_MS = 5_000.0
"""Time for which polling continues after the last attempt, as the engine reports events
with a delay."""

NODE_KEYS_PER_S = 200.0
"""Rate limit over all links. A key takes 9 bytes: below 2 KB/s of the 8 KB/s that
control traffic may use on a node."""

LINK_KEYS_PER_S = 20.0
"""Rate limit of one link: an entry with 20 links receives below 4 KB/s."""

BURST_S = 3.0
"""Burst size, in seconds at the rate limit."""


class CacheEventForwarder:
    """Polls cache events while attempts are active and forwards them, rate-limited.

    Events are hints: an entry also tracks which prompts it has sent where, and a
    missing or wrong event costs one prefill. Therefore the oldest events are dropped
    when the rate limit is exceeded. The engine identifies a prefix by the same key as
    the entries do, so that each of its keys can match a request.
    """

    def __init__(
        self,
        member_id: str,
        clock: Clock,
        client: EngineClient,
        is_busy: Callable[[], bool],
    ) -> None:
        self._member_id = member_id
        self._clock = clock
        self._client = client
        self._is_busy = is_busy
        self._links: list[Link] = []
        self._is_stored_by_key: OrderedDict[int, bool] = OrderedDict()
        self._next_seq = 0
        self._last_activity_ms = float("-inf")
        self._key_budget = 0.0
        self._refilled_ms = float("-inf")
        self.dropped_keys = 0
        """Keys dropped because of the rate limit since the process started."""

    def on_up(self, link: Link) -> None:
        """Start forwarding on a link if its peer is an entry."""
        if link.hello.role == "entry":
            self._links.append(link)

    def on_down(self, link: Link) -> None:
        """Stop forwarding on a link."""
        if link in self._links:
            self._links.remove(link)

    def record_activity(self) -> None:
        """Record that an attempt has ended.

        An attempt may be shorter than the poll interval and end unseen by `poll_once`.
        """
        self._last_activity_ms = self._clock.now_ms()

    def run(self) -> None:
        """Poll and forward until killed."""
        while True:
            sleep(POLL_INTERVAL_MS / MS_PER_SECOND)
            self.poll_once()

    def poll_once(self) -> None:
        """Poll and forward once, unless the engine is idle or no entry is linked."""
        now_ms = self._clock.now_ms()
        if self._is_busy():
            self.record_activity()
        if not self._links or now_ms - self._last_activity_ms > POLL_AFTER_ACTIVITY_MS:
            return
        response = self._client.cache_events(self._next_seq)
        if isinstance(response, EngineCacheEvents):
            self._merge(response)
            self._send(self._clock.now_ms())
        elif not response.sent:
            # An engine that cannot be reached may have restarted; its events are then
            # numbered from 1 again.
            self._next_seq = 0

    def _merge(self, events: EngineCacheEvents) -> None:
        self._next_seq = events.next_seq
        for key, stored in events.changes:
            self._is_stored_by_key[key] = stored
            self._is_stored_by_key.move_to_end(key)

    def _send(self, now_ms: float) -> None:
        budget = self._refill_budget(now_ms)
        while len(self._is_stored_by_key) > budget:
            self._is_stored_by_key.popitem(last=False)
            self.dropped_keys += 1
        if not self._is_stored_by_key:
            return
        self._key_budget -= len(self._is_stored_by_key)
        rows = self._is_stored_by_key.items()
        message = CacheEvents(
            self._member_id,
            self._next_seq,
            [key for key, stored in rows if stored],
            [key for key, stored in rows if not stored],
        )
        self._is_stored_by_key = OrderedDict()
        for link in self._links:
            link.send(message)

    def _refill_budget(self, now_ms: float) -> int:
        """Refill the token bucket; return how many keys may be sent on each link."""
        rate = min(LINK_KEYS_PER_S, NODE_KEYS_PER_S / len(self._links))
        max_budget = rate * BURST_S
        elapsed_s = max(0.0, now_ms - self._refilled_ms) / MS_PER_SECOND
        self._key_budget = min(max_budget, self._key_budget + rate * elapsed_s)
        self._refilled_ms = now_ms
        return int(self._key_budget)
