"""Copies of the store's contents from peers, for processes that cannot reach the store.

A process reads the configuration and the endpoints from a peer if the store refuses
to serve it, if it starts during an outage of the store, or if it leaves the watching of
the store to others.
"""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from random import Random

import cbor2
import gevent
from gevent import socket as gevent_socket
from structlog import get_logger

from wigeonwind.addresses import SocketAddress
from wigeonwind.clock import MS_PER_SECOND
from wigeonwind.routing.discovery import EndpointSet
from wigeonwind.routing.response_parser import ResponseParser
from wigeonwind.routing.routing_state import ConfigurationHandler, EndpointEntryHandler
from wigeonwind.routing.small_http import SmallHttpServer
from wigeonwind.routing.store_follower import StoreFollower
from wigeonwind.routing.store_watchers import StoreWatchers
from wigeonwind.runtime.error_boundary import call_isolated
from wigeonwind.state.store_types import NO_REVISION, StoredObject, StoreRevision

STATE_VERSION = 1
"""First element of each state; states of other versions are rejected."""

STATE_PATH = "/state"

POLL_MS = 250.0
"""Interval of reads from peers while the store is unreachable."""

CALL_TIMEOUT_MS = 400.0
"""Timeout of one read. The round trip is a few milliseconds, and the next read goes to
another peer."""

MAX_STATE_BYTES = 8_000_000
"""Largest accepted state. Objects have up to 1 MB, endpoints about 300 bytes."""

READ_BYTES = 65_536

log = get_logger("wigeonwind.peers")


@dataclass(frozen=True, slots=True)
class SharedState:
    """A process's copy of the store's contents.

    `revision` is the store revision of the endpoints. `is_current` says that the
    process reaches the store, and that no entries are missing because of an outage.
    """

    revision: int
    is_current: bool
    configuration: StoredObject | None
    endpoints: tuple[StoredObject, ...]


def encode_state(state: SharedState) -> bytes:
    """Return a state as CBOR."""
    configuration = state.configuration
    return cbor2.dumps(
        [
            STATE_VERSION,
            state.revision,
            state.is_current,
            None if configuration is None else _encode_row(configuration),
            [_encode_row(each) for each in state.endpoints],
        ]
    )


def _encode_row(stored: StoredObject) -> list[str | int | bytes]:
    return [stored.key, stored.version, stored.value]


def decode_state(data: bytes) -> SharedState | str:
    """Decode a state; a returned string is the reason why it is invalid.

    >>> decode_state(cbor2.dumps([9, 1, True, None, []]))
    'unsupported state version 9'
    """
    try:
        version, *fields = cbor2.loads(data)
        if version != STATE_VERSION:
            return f"unsupported state version {version}"
        revision, is_current, configuration, endpoints = fields
        return SharedState(
            int(revision),
            bool(is_current),
            None if configuration is None else _decode_row(configuration),
            tuple(_decode_row(row) for row in endpoints),
        )
    except (cbor2.CBORDecodeError, ValueError, TypeError) as error:
        return f"invalid state: {error}"


def _decode_row(row: Sequence[object]) -> StoredObject:
    key, version, value = row
    if not isinstance(key, str) or not isinstance(value, bytes):
        raise ValueError("a row is not a stored object")
    if not isinstance(version, int):
        raise ValueError("an object version is not an integer")
    return StoredObject(key, version, value)


class PeerState:
    """Serves the local copy of the store's contents and reads copies from peers.

    The endpoints of a peer are adopted only if their revision is newer than the local
    one, so that an endpoint that has left is not added again.
    """

    def __init__(
        self,
        rng: Random,
        peers: Callable[[], list[SocketAddress]],
        configuration: ConfigurationHandler,
        endpoints: EndpointSet,
        entries: EndpointEntryHandler,
        followers: tuple[StoreFollower, StoreFollower],
        watchers: StoreWatchers,
        on_adopted: Callable[[], None] = lambda: None,
    ) -> None:
        self._watchers = watchers
        self._on_adopted = on_adopted
        self._rng = rng
        self._peers = peers
        self._configuration = configuration
        self._endpoints = endpoints
        self._entries = entries
        self._followers = followers
        self._server: SmallHttpServer | None = None

    def start(self, address: SocketAddress) -> SocketAddress:
        """Listen and return the address in use; raises OSError if it is taken."""
        self._server = SmallHttpServer(address, self._respond)
        self._server.start()
        return self._server.address

    def stop(self) -> None:
        """Stop serving."""
        if self._server is not None:
            self._server.stop()

    def run(self) -> None:
        """Poll peers while the store is not followed (runs until killed)."""
        while True:
            gevent.sleep(POLL_MS / MS_PER_SECOND)
            is_refused = not all(each.is_reachable for each in self._followers)
            if is_refused:
                self.poll_once(self._peers())
            elif self._watchers.is_passive(is_refused):
                self.poll_once(self._peers_ahead())

    def _peers_ahead(self) -> list[SocketAddress]:
        table = self._configuration.table
        return self._watchers.peers_ahead(
            table.version if table is not None else 0,
            self._entries_follower.revision_seen.number,
        )

    def local_state(self) -> SharedState:
        """Return the local copy of the store's contents."""
        is_current = self._endpoints.is_authoritative
        is_current = is_current and all(each.is_reachable for each in self._followers)
        return SharedState(
            self._entries_follower.revision_seen.number,
            is_current,
            self._configuration.stored,
            tuple(self._entries.stored_by_key.values()),
        )

    @property
    def _entries_follower(self) -> StoreFollower:
        return self._followers[1]

    def _respond(self, _method: str, path: str) -> bytes:
        if path != STATE_PATH:
            return b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"
        body = encode_state(self.local_state())
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
        return head.encode() + body

    def poll_once(self, peers: Sequence[SocketAddress]) -> bool:
        """Read from a random one of `peers`; return whether its state was valid."""
        if not peers:
            return False
        peer = self._rng.choice(peers)
        data = _fetch_state(peer)
        state = decode_state(data) if isinstance(data, bytes) else data
        if isinstance(state, str):
            log.warning(
                "failed to read the state of a peer", peer=str(peer), reason=state
            )
            return False
        return call_isolated(
            "the state of a peer", str(peer), lambda: self._apply(state, peer), False
        )

    def _apply(self, state: SharedState, peer: SocketAddress) -> bool:
        if state.configuration is not None:
            self._configuration.on_changed(state.configuration)
        follower = self._entries_follower
        is_newer = state.revision > follower.revision_seen.number
        has_no_revision = follower.revision_seen == NO_REVISION
        if not is_newer or not (state.is_current or has_no_revision):
            return True
        self._on_adopted()
        log.info(
            "endpoints adopted from a peer",
            peer=str(peer),
            revision=state.revision,
            before=follower.revision_seen.number,
            is_current=state.is_current,
            entries=len(state.endpoints),
        )
        revision = StoreRevision(follower.revision_seen.era, state.revision)
        follower.revision_seen = follower.changed_revision = revision
        self._entries.on_listed(state.endpoints, is_authoritative=state.is_current)
        return True


def _fetch_state(peer: SocketAddress) -> bytes | str:
    """Return the body of a peer's response, or the reason why there is none."""
    timeout = gevent.Timeout(CALL_TIMEOUT_MS / MS_PER_SECOND, TimeoutError)
    server_address = (peer.host, peer.port)
    try:
        with timeout, gevent_socket.create_connection(server_address) as sock:
            sock.sendall(f"GET {STATE_PATH} HTTP/1.1\r\nHost: {peer}\r\n\r\n".encode())
            return _read_body(sock)
    except OSError as error:
        return str(error) or type(error).__name__


def _read_body(sock: gevent_socket.socket) -> bytes | str:
    parser = ResponseParser()
    body = b""
    while len(body) <= MAX_STATE_BYTES:
        data = sock.recv(READ_BYTES)
        parser.feed(data)
        for response in list(parser.responses)[:1]:
            body += response.take_body()
            if response.is_complete:
                return body
        if not data or parser.error:
            return parser.error or "the peer closed the connection too early"
    return f"the state exceeds {MAX_STATE_BYTES} bytes"
