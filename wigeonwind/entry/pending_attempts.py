"""Attempts in flight, matched to messages by request id, attempt and link."""

from collections import deque
from time import monotonic
from typing import Any, Protocol

from gevent import get_hub
from gevent.hub import Waiter

from wigeonwind.clock import MS_PER_SECOND
from wigeonwind.links.link_types import Link
from wigeonwind.links.messages import Chunk

MAX_UNREAD_BYTES = 16_000_000
"""Most response bytes buffered for a slow caller; with more it is disconnected."""


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
    """Message to an attempt that its link is lost."""

    def __init__(self, reason: str) -> None:
        self.reason = reason


class EntryStopping:
    """Message to a request that the entry ends now."""


class Mailbox:
    """Queue of messages for one request; one greenlet reads it.

    `unread_bytes` is the size of the queued response data.

    A wait does not create its own timer: one timer stays armed over many waits, because
    a streamed response waits for each token and its deadline seldom changes.
    """

    def __init__(self) -> None:
        self.messages: deque[object] = deque()
        self.caller_disconnected = False
        self.is_stopping = False
        """Whether the entry ends: the request must end without another attempt."""
        self.unread_bytes = 0
        self._waiter: Waiter | None = None
        self._timer: Any = None
        self._timer_due_s = 0.0

    def put(self, message: object) -> None:
        """Add a message and wake the reader."""
        self.messages.append(message)
        if self._waiter is not None:
            self._wake()

    def set_caller_disconnected(self) -> None:
        """Record that the caller has closed its connection and wake the reader."""
        self.caller_disconnected = True
        self._wake()

    def stop(self) -> None:
        """Ask the request to end at once with its final outcome; wake the reader."""
        if not self.is_stopping:
            self.is_stopping = True
            self.put(EntryStopping())

    def wait(self, timeout_ms: float) -> bool:
        """Wait for a message or a disconnect; return False after about `timeout_ms`.

        A timer that an earlier wait armed may end this wait early, so the caller must
        check the clock.
        """
        if self.messages or self.caller_disconnected:
            return True
        if timeout_ms <= 0:
            return False
        self._arm_timer(timeout_ms / MS_PER_SECOND)
        waiter = Waiter()
        self._waiter = waiter
        try:
            waiter.get()
        finally:
            self._waiter = None
        return bool(self.messages) or self.caller_disconnected

    def clear(self) -> None:
        """Drop the messages that an ended attempt left."""
        self.messages.clear()
        self.unread_bytes = 0

    def close(self) -> None:
        """Stop the timer."""
        timer, self._timer = self._timer, None
        if timer is not None:
            timer.stop()
            timer.close()

    def _wake(self) -> None:
        waiter, self._waiter = self._waiter, None
        if waiter is not None:
            get_hub().loop.run_callback(waiter.switch, None)

    def _arm_timer(self, timeout_s: float) -> None:
        """Ensure that the timer fires within `timeout_s`."""
        due_s = monotonic() + timeout_s
        if self._timer is not None and self._timer_due_s <= due_s:
            return
        self.close()
        self._timer = get_hub().loop.timer(timeout_s)
        self._timer_due_s = due_s
        self._timer.start(self._on_timer)

    def _on_timer(self) -> None:
        self.close()
        self._wake()


class PendingAttempts:
    """The attempts in flight of one entry.

    A message that matches no attempt on the link it came over is dropped, so that a
    late or duplicate message never reaches another caller.
    """

    def __init__(self) -> None:
        self._pending_by_key: dict[tuple[str, int], tuple[Link, Mailbox]] = {}
        self._keys_by_link: dict[int, set[tuple[str, int]]] = {}

    def __len__(self) -> int:
        """Return the number of attempts in flight."""
        return len(self._pending_by_key)

    def add(self, key: tuple[str, int], link: Link, mailbox: Mailbox) -> None:
        """Register an attempt that is about to be sent."""
        assert key not in self._pending_by_key, f"attempt {key} is already registered"
        self._pending_by_key[key] = (link, mailbox)
        self._keys_by_link.setdefault(id(link), set()).add(key)

    def remove(self, key: tuple[str, int]) -> None:
        """Unregister an attempt; its later messages are dropped."""
        pending = self._pending_by_key.pop(key, None)
        if pending is None:
            return
        keys = self._keys_by_link[id(pending[0])]
        keys.discard(key)
        if not keys:
            del self._keys_by_link[id(pending[0])]

    def deliver(self, link: Link, message: AttemptMessage) -> bool:
        """Deliver a message to its attempt; False if there is none on this link."""
        pending = self._pending_by_key.get((message.request_id, message.attempt))
        if pending is None or pending[0] is not link:
            return False
        pending[1].put(message)
        return True

    def deliver_chunk(self, link: Link, chunk: Chunk) -> bool:
        """Deliver a chunk to its attempt and count its bytes as unread.

        Above MAX_UNREAD_BYTES the attempt is removed and its caller disconnected; the
        result is then False, as if there were no such attempt on this link.
        """
        pending = self._pending_by_key.get((chunk.request_id, chunk.attempt))
        if pending is None or pending[0] is not link:
            return False
        mailbox = pending[1]
        mailbox.unread_bytes += len(chunk.data)
        if mailbox.unread_bytes > MAX_UNREAD_BYTES:
            self.remove((chunk.request_id, chunk.attempt))
            mailbox.clear()
            mailbox.set_caller_disconnected()
            return False
        mailbox.put(chunk)
        return True

    def has_attempts(self, link: Link) -> bool:
        """Return whether any attempt is in flight on the link."""
        return id(link) in self._keys_by_link

    def on_down(self, link: Link, reason: str) -> None:
        """Notify all attempts on a link that it is lost."""
        for key in tuple(self._keys_by_link.get(id(link), ())):
            self._pending_by_key[key][1].put(LinkLost(reason))
