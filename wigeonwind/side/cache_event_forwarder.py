"""Passes an engine's prompt-cache events on to the linked entries."""

from collections import OrderedDict
from collections.abc import Callable

from gevent import sleep

from wigeonwind.clock import MS_PER_SECOND, Clock
from wigeonwind.links.link_types import Link
from wigeonwind.links.messages import CacheEvents
from wigeonwind.side.engine_client import EngineCacheEvents, EngineClient

POLL_MS = 500.0
"""Interval between reads of the engine's events while there is work."""

LINGER_MS = 5_000.0
"""Time for which reads go on after the last work, as events come late."""

NODE_KEYS_PER_S = 200.0
"""Keys sent a second over all links: 9 bytes each, below 2 KB/s of the 8 KB/s that
control may use on a node."""

LINK_KEYS_PER_S = 20.0
"""Keys sent a second over one link: an entry with 20 links receives below 4 KB/s."""

BURST_S = 3.0
"""Seconds of that rate that may be sent at once after a pause."""


class CacheEventForwarder:
    """Reads events while there is work and sends the newest ones within a rate.

    Events are hints: an entry also remembers what it has sent where, and a wrong entry
    costs one prefill. So the oldest are dropped when there are more than may be sent.
    The engine names whole prefixes by the same keys as entries do, so all of its keys
    can match.
    """

    def __init__(
        self,
        member_id: str,
        clock: Clock,
        client: EngineClient,
        has_work: Callable[[], bool],
    ) -> None:
        self._member_id = member_id
        self._clock = clock
        self._client = client
        self._has_work = has_work
        self._links: list[Link] = []
        self._stored_by_key: OrderedDict[int, bool] = OrderedDict()
        self._next_seq = 0
        self._worked_ms = float("-inf")
        self._room = 0.0
        self._filled_ms = float("-inf")
        self.dropped = 0
        """Keys that were not sent because of the rate."""

    def on_up(self, link: Link) -> None:
        """Send to an entry from now on."""
        if link.hello.role == "entry":
            self._links.append(link)

    def on_down(self, link: Link) -> None:
        """Stop to send on a link."""
        if link in self._links:
            self._links.remove(link)

    def note_work(self) -> None:
        """Note that work has ended, which may be shorter than the interval."""
        self._worked_ms = self._clock.now_ms()

    def run(self) -> None:
        """Poll for ever."""
        while True:
            sleep(POLL_MS / MS_PER_SECOND)
            self.step()

    def step(self) -> None:
        """Read and send once if there was work lately and an entry is linked."""
        now_ms = self._clock.now_ms()
        if self._has_work():
            self.note_work()
        if not self._links or now_ms - self._worked_ms > LINGER_MS:
            return
        answer = self._client.cache_events(self._next_seq)
        if isinstance(answer, EngineCacheEvents):
            self._take(answer)
            self._send(self._clock.now_ms())
        elif not answer.sent:
            # An engine that cannot be reached may restart, and counts from 1 again.
            self._next_seq = 0

    def _take(self, events: EngineCacheEvents) -> None:
        self._next_seq = events.next_seq
        for key, stored in events.changes:
            self._stored_by_key[key] = stored
            self._stored_by_key.move_to_end(key)

    def _send(self, now_ms: float) -> None:
        room = self._take_room(now_ms)
        while len(self._stored_by_key) > room:
            self._stored_by_key.popitem(last=False)
            self.dropped += 1
        if not self._stored_by_key:
            return
        self._room -= len(self._stored_by_key)
        rows = self._stored_by_key.items()
        message = CacheEvents(
            self._member_id,
            self._next_seq,
            [key for key, stored in rows if stored],
            [key for key, stored in rows if not stored],
        )
        self._stored_by_key = OrderedDict()
        for link in self._links:
            link.send(message)

    def _take_room(self, now_ms: float) -> int:
        """Return how many keys may be sent on each link now."""
        rate = min(LINK_KEYS_PER_S, NODE_KEYS_PER_S / len(self._links))
        most = rate * BURST_S
        elapsed_s = max(0.0, now_ms - self._filled_ms) / MS_PER_SECOND
        self._room = min(most, self._room + rate * elapsed_s)
        self._filled_ms = now_ms
        return int(self._room)
