"""What the rest of the system sees of a link: its interface, options and counts."""

from dataclasses import dataclass, field
from ssl import SSLContext
from typing import Any, Protocol

from wigeonwind.clock import Clock, SystemClock
from wigeonwind.links.messages import Hello


class Link(Protocol):
    """A connection to one process, up from its Hello to its `on_down`."""

    @property
    def hello(self) -> Hello:
        """Return the peer's Hello."""
        ...

    @property
    def is_open(self) -> bool:
        """Return whether messages are still accepted for sending."""
        ...

    def send(self, message: Any) -> bool:
        """Queue a message and return at once.

        False means that it is certainly not sent. True does not mean that it is
        delivered: the link may break first.
        """
        ...

    def wait_writable(self) -> None:
        """Block the calling greenlet while much is queued on an open link.

        Only for senders of long bodies; never to be called by a LinkHandler.
        """
        ...

    def close(self, reason: str) -> None:
        """Send what is queued, then close; `on_down` follows."""
        ...


class LinkHandler(Protocol):
    """Receiver of the events of links; it must not block.

    For each link `on_up` comes first, once, and `on_down` last, once.
    """

    def on_up(self, link: Link) -> None:
        """Take a link whose Hello has been checked."""
        ...

    def on_message(self, link: Link, message: Any) -> None:
        """Take one decoded message."""
        ...

    def on_down(self, link: Link, reason: str) -> None:
        """Forget a link; nothing more is sent or received on it."""
        ...


@dataclass
class LinkCounts:
    """Counts of one process's links since its start."""

    opened: int = 0
    closed: int = 0
    refused: int = 0
    decode_failures: int = 0
    silences: int = 0
    overflows: int = 0
    messages_sent: int = 0
    messages_received: int = 0
    bytes_sent: int = 0
    bytes_received: int = 0
    writes: int = 0


@dataclass
class LinkOptions:
    """Bounds and keys of links; the byte bounds limit what a peer can make us hold.

    Only the keys change, when the key file is read again.
    """

    heartbeat_ms: float = 1_000.0
    timeout_ms: float = 5_000.0
    max_message_bytes: int = 16_000_000
    max_queue_bytes: int = 16_000_000
    max_links: int = 1_000
    key: bytes = b""
    """Shared key of the fleet; empty means that any peer is accepted."""
    more_keys: tuple[bytes, ...] = ()
    """Further keys that a peer may have, while the key of the fleet is replaced."""
    server_tls: SSLContext | None = None
    client_tls: SSLContext | None = None
    clock: Clock = field(default_factory=SystemClock)
    counts: LinkCounts = field(default_factory=LinkCounts)
