"""Interfaces, options and counters of links."""

from dataclasses import dataclass, field
from ssl import SSLContext
from typing import Any, Protocol

from wigeonwind.clock import Clock, SystemClock
from wigeonwind.links.messages import Hello


class Link(Protocol):
    """A connection to one process, from the `on_up` to the `on_down` of its handler."""

    @property
    def hello(self) -> Hello:
        """Return the peer's Hello."""
        ...

    @property
    def is_open(self) -> bool:
        """Return whether messages can still be queued."""
        ...

    def send(self, message: Any) -> bool:
        """Queue a message without blocking.

        Return False if it is certainly not sent. True does not guarantee delivery: the
        link may break first.
        """
        ...

    def wait_writable(self) -> None:
        """Block the calling greenlet while the send queue of an open link is long.

        Only for senders of long bodies; a LinkHandler must never call it.
        """
        ...

    def close(self, reason: str) -> None:
        """Send queued messages, then close; `on_down` is called afterwards."""
        ...


class LinkHandler(Protocol):
    """Receiver of the events of links; its methods must not block.

    For each link `on_up` is called once and first, `on_down` once and last.
    """

    def on_up(self, link: Link) -> None:
        """Handle a new link, whose peer has been authenticated."""
        ...

    def on_message(self, link: Link, message: Any) -> None:
        """Handle one decoded message."""
        ...

    def on_down(self, link: Link, reason: str) -> None:
        """Handle the end of a link; nothing more is sent or received on it."""
        ...


@dataclass
class LinkCounts:
    """Counters of the links of one process since its start."""

    opened: int = 0
    closed: int = 0
    refused: int = 0
    """Links that could not be opened, on either side."""
    decode_failures: int = 0
    silences: int = 0
    """Links closed because the peer sent or read nothing for `timeout_ms`."""
    overflows: int = 0
    """Messages that were not queued because they exceeded a size limit."""
    messages_sent: int = 0
    messages_received: int = 0
    bytes_sent: int = 0
    bytes_received: int = 0
    writes: int = 0
    """Writes to sockets; one may contain several messages."""


@dataclass
class LinkOptions:
    """Timeouts, size limits and keys of links.

    `heartbeat_ms` is the interval of heartbeats. `timeout_ms` is the silence after
    which a link is closed, and the time limit for opening one.
    `max_message_bytes` and `max_queue_bytes` limit the memory that a peer can occupy.
    Only the keys change, when the key file is reloaded.
    """

    heartbeat_ms: float = 1_000.0
    timeout_ms: float = 5_000.0
    max_message_bytes: int = 16_000_000
    max_queue_bytes: int = 16_000_000
    max_links: int = 1_000
    key: bytes = b""
    """Shared key of the fleet; if empty, any peer is accepted."""
    more_keys: tuple[bytes, ...] = ()
    """Further keys that are accepted from peers during a key rotation."""
    server_tls: SSLContext | None = None
    client_tls: SSLContext | None = None
    clock: Clock = field(default_factory=SystemClock)
    counts: LinkCounts = field(default_factory=LinkCounts)
