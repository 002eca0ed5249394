"""Attempts that wait for messages, matched by request id, attempt and link."""

from collections import deque
from typing import Protocol

from gevent.event import Event

from wigeonwind.clock import MS_PER_SECOND
from wigeonwind.links.link_types import Link
from wigeonwind.links.messages import Chunk

MAX_UNREAD_BYTES = 16_000_000
"""Answer bytes kept for a caller that reads too slowly; then the request fails."""


class AttemptMessage(Protocol):
    """A message about one attempt."""

    @property
    def request_id(self) -> str:
        """Return the request's id."""
        ...

    @property
    def attempt(self) -> int:
        """Return the attempt's number."""
        ...


class LinkLost:
    """Put into a mailbox when the link of its attempt goes down."""

    def __init__(self, reason: str) -> None:
        self.reason = reason


class Mailbox:
    """What has arrived for one request; one greenlet reads it."""

    def __init__(self) -> None:
        self.items: deque[object] = deque()
        self.caller_gone = False
        self.unread_bytes = 0
        self._event = Event()

    def put(self, item: object) -> None:
        """Add an item and wake the reader."""
        self.items.append(item)
        self._event.set()

    def set_caller_gone(self) -> None:
        """Record that the caller has closed its connection and wake the reader."""
        self.caller_gone = True
        self._event.set()

    def wait(self, timeout_ms: float | None) -> bool:
        """Wait until there is something to look at; False after `timeout_ms`."""
        if self.items or self.caller_gone:
            return True
        self._event.clear()
        timeout_s = None if timeout_ms is None else max(0.0, timeout_ms) / MS_PER_SECOND
        return bool(self._event.wait(timeout_s))

    def clear(self) -> None:
        """Forget what an ended attempt left."""
        self.items.clear()
        self.unread_bytes = 0


class PendingAttempts:
    """The attempts in flight of one entry.

    A message that matches no attempt on the link it came over is dropped, so a late or
    repeated message never reaches another caller.
    """

    def __init__(self) -> None:
        self._entry_by_key: dict[tuple[str, int], tuple[Link, Mailbox]] = {}
        self._keys_by_link: dict[int, set[tuple[str, int]]] = {}

    def __len__(self) -> int:
        """Return the number of attempts in flight."""
        return len(self._entry_by_key)

    def add(self, key: tuple[str, int], link: Link, mailbox: Mailbox) -> None:
        """Wait for the messages of an attempt that is about to be sent."""
        assert key not in self._entry_by_key, f"attempt {key} is sent twice"
        self._entry_by_key[key] = (link, mailbox)
        self._keys_by_link.setdefault(id(link), set()).add(key)

    def remove(self, key: tuple[str, int]) -> None:
        """Wait no longer; what still arrives is dropped."""
        entry = self._entry_by_key.pop(key, None)
        if entry is None:
            return
        keys = self._keys_by_link[id(entry[0])]
        keys.discard(key)
        if not keys:
            del self._keys_by_link[id(entry[0])]

    def deliver(self, link: Link, message: AttemptMessage) -> bool:
        """Hand a message to its attempt; False if there is none on this link."""
        entry = self._entry_by_key.get((message.request_id, message.attempt))
        if entry is None or entry[0] is not link:
            return False
        entry[1].put(message)
        return True

    def deliver_chunk(self, link: Link, chunk: Chunk) -> bool:
        """Hand a chunk to its attempt and count its bytes as unread."""
        entry = self._entry_by_key.get((chunk.request_id, chunk.attempt))
        if entry is None or entry[0] is not link:
            return False
        entry[1].unread_bytes += len(chunk.data)
        entry[1].put(chunk)
        return True

    def on_down(self, link: Link, reason: str) -> None:
        """Tell all attempts on a link that it is gone."""
        for key in tuple(self._keys_by_link.get(id(link), ())):
            self._entry_by_key[key][1].put(LinkLost(reason))
