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
from wigeonwind.routing.peer_messages import DECODE_ERRORS
from wigeonwind.routing.response_parser import ResponseParser
from wigeonwind.routing.routing_state import ConfigurationHandler, EndpointEntryHandler
from wigeonwind.routing.small_http import SmallHttpServer
from wigeonwind.routing.start_check import StartCheck
from wigeonwind.routing.store_follower import StoreFollower
from wigeonwind.routing.store_watchers import StoreWatchers
from wigeonwind.runtime.error_boundary import call_isolated
from wigeonwind.runtime.fair_receive import receive
from wigeonwind.state.store_eras import StoreEras
from wigeonwind.state.store_types import (
    NO_REVISION,
    UNKNOWN_ERA,
    StoredObject,
    StoreRevision,
)

STATE_VERSION = 2
"""First element of each state; states of other versions are rejected."""

EARLIER_STATE_VERSION = 1
"""Version without an era, for processes of an earlier version."""

VERSION_BY_PATH = {"/state-2": STATE_VERSION, "/state": EARLIER_STATE_VERSION}
"""Version of the state that is served under each path, the latest first."""

POLL_MS = 250.0
"""Interval of reads from peers while the store is unreachable."""

START_POLL_MS = 20.0
"""Interval of the check for peers with a later configuration at the start."""

CALL_TIMEOUT_MS = 400.0
"""Timeout of one read. The round trip is a few milliseconds, and the next read goes to
another peer."""

MAX_STATE_BYTES = 8_000_000
"""Largest accepted state. Objects have up to 1 MB, endpoints about 300 bytes."""

MAX_REVISION = 2**64 - 1
"""Largest revision of an object or of the store, an unsigned integer of CBOR."""

MAX_REASON_CHARS = 200
"""Longest reason in a log line; a state may contain values of any length."""

READ_BYTES = 65_536

log = get_logger("wigeonwind.peers")


@dataclass(frozen=True, slots=True)
class SharedState:
    """A process's copy of the store's contents.

    `revision` is the store revision of the endpoints. `is_current` says that the
    process reaches the store, and that no entries are missing because of an outage.
    """

    revision: StoreRevision
    is_current: bool
    configuration: StoredObject | None
    endpoints: tuple[StoredObject, ...]


def encode_state(state: SharedState, version: int = STATE_VERSION) -> bytes:
    """Return a state as CBOR; its era is lost in the earlier version."""
    configuration = state.configuration
    era = [state.revision.era] if version == STATE_VERSION else []
    return cbor2.dumps(
        [
            version,
            *era,
            state.revision.number,
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
        if version not in VERSION_BY_PATH.values():
            return f"unsupported state version {version}"[:MAX_REASON_CHARS]
        if version == EARLIER_STATE_VERSION:
            fields.insert(0, UNKNOWN_ERA)
        era, number, is_current, configuration, endpoints = fields
        return SharedState(
            StoreRevision(_decode_era(era), _decode_revision(number)),
            bool(is_current),
            None if configuration is None else _decode_row(configuration),
            tuple(_decode_row(row) for row in endpoints),
        )
    except DECODE_ERRORS as error:
        return f"invalid state: {error}"[:MAX_REASON_CHARS]


def _decode_row(row: Sequence[object]) -> StoredObject:
    key, version, value = row
    if not isinstance(key, str) or not isinstance(value, bytes):
        raise ValueError("a row is not a stored object")
    return StoredObject(key, _decode_revision(version), value)


def _decode_era(value: object) -> int:
    return UNKNOWN_ERA if value == UNKNOWN_ERA else _decode_revision(value)


def _decode_revision(value: object) -> int:
    if not isinstance(value, int) or isinstance(value, bool):
        raise ValueError("a revision is not an integer")
    if not 0 <= value <= MAX_REVISION:
        raise ValueError(f"a revision is not from 0 to {MAX_REVISION}")
    return value


class PeerState:
    """Serves the local copy of the store's contents and reads copies from peers.

    The endpoints of a peer are adopted only if their revision is newer than the local
    one, so that an endpoint that has left is not added again. Revisions of the era that
    the store was in before it returned from a copy are never newer.
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
        eras: StoreEras,
        start_check: StartCheck,
        on_adopted: Callable[[], None] = lambda: None,
    ) -> None:
        self._watchers = watchers
        self._eras = eras
        self._start_check = start_check
        self._is_behind = False
        """Whether a peer had a later configuration at the last check."""
        self._on_adopted = on_adopted
        self._unconfirmed_revision = NO_REVISION
        """Revision adopted from a peer that may have lacked entries."""
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
        """Poll peers that know more than the store tells (runs until killed)."""
        waited_ms = 0.0
        while not self._start_check.update(self._version or None):
            gevent.sleep(START_POLL_MS / MS_PER_SECOND)
            waited_ms += START_POLL_MS
            if self._version:
                self.poll_once(self._peers_with_later_configuration())
            elif waited_ms >= POLL_MS:
                waited_ms = 0.0
                self._poll_if_needed()
        while True:
            gevent.sleep(POLL_MS / MS_PER_SECOND)
            call_isolated("the states of peers", "all", self._poll_if_needed, None)

    @property
    def _version(self) -> int:
        table = self._configuration.table
        return table.version if table is not None else 0

    def _peers_with_later_configuration(self) -> list[SocketAddress]:
        return self._watchers.peers_with_later_configuration(self._version)

    def _poll_if_needed(self) -> None:
        is_refused = not all(each.is_reachable for each in self._followers)
        # A watch brings a change soon after a peer has it; a copy may lack it.
        was_behind = self._is_behind
        later = self._peers_with_later_configuration()
        self._is_behind = bool(later)
        if is_refused:
            self.poll_once(self._peers())
        elif self._watchers.is_passive(is_refused):
            self.poll_once(self._peers_ahead())
        elif was_behind:
            self.poll_once(later)

    def _peers_ahead(self) -> list[SocketAddress]:
        return self._watchers.peers_ahead(
            self._version, self._entries_follower.revision_seen
        )

    def local_state(self) -> SharedState:
        """Return the local copy of the store's contents."""
        is_current = self._endpoints.is_authoritative
        is_current = is_current and all(each.is_reachable for each in self._followers)
        return SharedState(
            self._entries_follower.revision_seen,
            is_current,
            self._configuration.stored,
            tuple(self._entries.stored_by_key.values()),
        )

    @property
    def _entries_follower(self) -> StoreFollower:
        return self._followers[1]

    def _respond(self, _method: str, path: str) -> bytes:
        version = VERSION_BY_PATH.get(path)
        if version is None:
            return b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"
        body = encode_state(self.local_state(), version)
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
        before = follower.revision_seen
        self._eras.learn(state.revision.era)
        is_of_current_era = state.revision.era == self._eras.current
        if not is_of_current_era and before != NO_REVISION:
            return True
        if not self._is_newer(state, before):
            return True
        self._on_adopted()
        log.info(
            "endpoints adopted from a peer",
            peer=str(peer),
            era=state.revision.era,
            revision=state.revision.number,
            before=before.number,
            era_before=before.era,
            is_current=state.is_current,
            entries=len(state.endpoints),
        )
        follower.revision_seen = follower.changed_revision = state.revision
        is_current = state.is_current
        self._unconfirmed_revision = NO_REVISION if is_current else state.revision
        self._entries.on_listed(state.endpoints, is_authoritative=is_current)
        return True

    def _is_newer(self, state: SharedState, before: StoreRevision) -> bool:
        """Return whether the endpoints of a peer replace those of revision `before`.

        A state that may lack entries is adopted only where missing ones are kept for a
        time, and once more when it is current.
        """
        if state.revision == before:
            return state.is_current and before == self._unconfirmed_revision
        if state.revision < before:
            return False
        keeps_missing = not self._endpoints.is_authoritative
        return state.is_current or before == NO_REVISION or keeps_missing


def _fetch_state(peer: SocketAddress) -> bytes | str:
    """Return the latest version of a peer's state, or the reason why there is none."""
    body: bytes | str = ""
    for path in VERSION_BY_PATH:
        body = _fetch(peer, path)
        if body:
            break
    return body or "the peer serves no state"


def _fetch(peer: SocketAddress, path: str) -> bytes | str:
    """Return the body of a peer's response, empty for an unknown path."""
    timeout = gevent.Timeout(CALL_TIMEOUT_MS / MS_PER_SECOND, TimeoutError)
    server_address = (peer.host, peer.port)
    try:
        with timeout, gevent_socket.create_connection(server_address) as sock:
            sock.sendall(f"GET {path} HTTP/1.1\r\nHost: {peer}\r\n\r\n".encode())
            return _read_body(sock)
    except OSError as error:
        return str(error) or type(error).__name__


def _read_body(sock: gevent_socket.socket) -> bytes | str:
    parser = ResponseParser()
    body = b""
    while len(body) <= MAX_STATE_BYTES:
        data = receive(sock, READ_BYTES)
        parser.feed(data)
        for response in list(parser.responses)[:1]:
            body += response.take_body()
            if response.is_complete:
                return body
        if not data or parser.error:
            return parser.error or "the peer closed the connection too early"
    return f"the state exceeds {MAX_STATE_BYTES} bytes"
