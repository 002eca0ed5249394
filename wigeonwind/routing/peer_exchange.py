"""Gossip between routing processes about requests in flight and crashed endpoints.

An endpoint serves all routing processes, and each of them knows only its local load.
A lost datagram does no harm, since the next message replaces it. A process sends at
most MAX_PEERS_PER_SEND datagrams per interval, whatever the size of the fleet.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace
from functools import partial
from heapq import nsmallest
from random import Random
from typing import Protocol

import gevent
import msgspec
from gevent import socket as gevent_socket
from gevent.event import Event
from structlog import get_logger

from wigeonwind.addresses import SocketAddress, parse_valid_address
from wigeonwind.clock import MS_PER_SECOND, Clock
from wigeonwind.decisions.latency_choice import LatencyChooser
from wigeonwind.decisions.leaving_endpoints import LeavingRow
from wigeonwind.decisions.peer_loads import MAX_AGE_MS
from wigeonwind.decisions.stop_admission import OtherRouters
from wigeonwind.hashing import stable_hash
from wigeonwind.ids import new_incarnation
from wigeonwind.outcomes import Ok
from wigeonwind.routing.leaving_messages import (
    LeavingMessage,
    decode_leaving,
    encode_leaving,
    is_leaving_message,
    leaving_messages,
)
from wigeonwind.routing.peer_messages import (
    EARLIER_VERSION,
    MAX_MESSAGE_BYTES,
    MESSAGE_VERSION,
    STOP_GAP_VERSION,
    LoadMessage,
    decode_load,
    encode_load,
)
from wigeonwind.routing.peer_stops import PeerStops
from wigeonwind.routing.planned_stop import PlannedStop, StopPhase
from wigeonwind.routing.send_schedule import (
    BASE_INTERVAL_PEERS,
    MAX_PEERS_PER_SEND,
    send_interval_ms,
    stop_gaps_ms,
)
from wigeonwind.routing.stop_messages import (
    StopMessage,
    decode_stop,
    encode_stop,
    is_stop_message,
)
from wigeonwind.routing.store_watchers import PeerView, StoreView
from wigeonwind.routing.suspect_messages import (
    SuspectMessage,
    decode_suspects,
    encode_suspects,
    is_suspect_message,
)
from wigeonwind.runtime.error_boundary import call_isolated
from wigeonwind.runtime.fair_receive import give_way
from wigeonwind.state.store_types import (
    Conflict,
    ObjectPage,
    StoredObject,
    StoreFailure,
)

DIRECTORY_READ_DELAY_MS = 700.0
"""Time from registering to reading the directory. Processes of a fleet start together,
and the delay lets all of them register first."""

DIRECTORY_INTERVAL_MS = 20_000.0
"""Interval between reads of the directory. New processes are discovered by their
messages; the directory only adds those whose messages were lost."""

DIRECTORY_RETRY_MS = 1_000.0

DIRECTORY_SPREAD_MS = 1_000.0
"""Longest random delay of the check for a lost record. All processes notice at the same
time that the store has returned from a copy."""

URGENT_INTERVAL_MS = 10.0
"""Least interval between urgent messages of a small fleet. It joins changes of the same
moment."""

FULL_SUSPECTS_INTERVAL_MS = 1_000.0
"""Interval of messages with all suspects, for processes that missed the changes."""

REPEAT_LEAVING_MS = 2_000.0
"""Time for which each message repeats an announcement, as datagrams may be lost."""

FULL_SUSPECTS_PEERS = 3
"""Peers that get such a message; they pass on what is new to them."""

PEER_EXPIRY_MS = 60_000.0
"""Silence after which a peer is removed: several times as long as a restart, or as a
network partition of a VM."""

SETTLING_MS = 1_000.0
"""Time after which a process that has started gets new connections: the load balancer
checks readiness every second."""

VIEW_MAX_AGE_MS = 2_000.0
"""Age at which a peer's view of the store no longer counts. It is several intervals
between messages, as messages to a sample of a large fleet reach each peer less often.
"""

MAX_REASON_CHARS = 200
"""Longest reason in a log line."""

log = get_logger("wigeonwind.peers")


class PeerRecord(msgspec.Struct):
    """A process's record in the directory, which is kept in the store.

    `message_version` is the latest version of load messages that it understands.
    """

    address: str
    message_version: int = EARLIER_VERSION


@dataclass(frozen=True, slots=True)
class DirectoryEntry:
    """A valid record of the directory, see `PeerRecord`."""

    address: SocketAddress
    message_version: int


def decode_record(value: bytes) -> DirectoryEntry | str:
    """Decode a record; a returned string is the reason why it is invalid.

    >>> decode_record(b'{"address": "127.0.0.1:80"}').address
    SocketAddress(host='127.0.0.1', port=80)
    """
    try:
        record = msgspec.json.decode(value, type=PeerRecord)
    except (ValueError, RecursionError) as error:
        return f"not a record: {error}"[:MAX_REASON_CHARS]
    address = parse_valid_address(record.address)
    if address is None or not address.port:
        return f"{record.address[:MAX_REASON_CHARS]!r} is not the address of a peer"
    version = min(max(record.message_version, EARLIER_VERSION), MESSAGE_VERSION)
    return DirectoryEntry(address, version)


class SuspectSource(Protocol):
    """Exchanges what routers know of requests that may crash endpoints.

    `changed` is set when a message to the peers is urgent.
    """

    changed: Event

    def change_messages(self, sender: str) -> Iterable[SuspectMessage]:
        """Return recent changes for all peers."""
        ...

    def full_messages(self, sender: str) -> Iterable[SuspectMessage]:
        """Return all that is known, in portions over several calls."""
        ...

    def on_message(self, message: SuspectMessage) -> None:
        """Apply what a peer knows."""
        ...


class LeavingSource(Protocol):
    """Exchanges what routers know of endpoints that are leaving."""

    def rows(self, now_ms: float, learned_since_ms: float) -> Iterable[LeavingRow]:
        """Return the announcements that were learned since a time."""
        ...


class DirectoryStore(Protocol):
    """The store calls that the directory needs."""

    def put(
        self, key: str, value: bytes, if_version: int
    ) -> Ok[int] | Conflict | StoreFailure:
        """Write an object if its version is `if_version`; 0 means that it is new."""
        ...

    def list_objects(self, prefix: str) -> Ok[ObjectPage] | StoreFailure:
        """Return all objects under a prefix."""
        ...

    def delete(self, key: str, if_version: int) -> Ok[None] | Conflict | StoreFailure:
        """Delete an object if its version is `if_version`."""
        ...


@dataclass(slots=True)
class _Peer:
    """Another routing process."""

    address: SocketAddress
    incarnation: int = 0
    sequence: int = 0
    last_received_ms: float = float("-inf")
    first_seen_ms: float = 0.0
    started_ms: float = 0.0
    """When the first message of its present incarnation came."""
    view: StoreView | None = None
    """Its view of the store, None if it sends none."""
    is_ready: bool | None = None
    """Whether it can serve new callers, None if its messages do not say."""
    message_version: int = EARLIER_VERSION
    """Version of the load messages that it is sent."""
    told_ms: float = float("-inf")
    """When it was last sent a message of the local stop."""

    def silence_ms(self, now_ms: float) -> float:
        """Return the time since its last message, or since it was discovered."""
        return now_ms - max(self.last_received_ms, self.first_seen_ms)


class PeerExchange:
    """Sends and receives load messages and maintains the directory of peers."""

    def __init__(
        self,
        local_id: str,
        clock: Clock,
        rng: Random,
        chooser: LatencyChooser,
        store: DirectoryStore,
        prefix: str,
        local_view: Callable[[], StoreView | None] = lambda: None,
        suspects: SuspectSource | None = None,
        on_view: Callable[[StoreView], None] = lambda view: None,
        on_directory_read: Callable[[], None] = lambda: None,
        leaving: LeavingSource | None = None,
        on_leaving: Callable[[Iterable[LeavingRow], str], None] = lambda *_: None,
        local_readiness: Callable[[], bool] = lambda: True,
    ) -> None:
        self._is_stopped = False
        self._local_readiness = local_readiness
        self._leaving = leaving
        self._on_leaving_rows = on_leaving
        self._on_directory_read = on_directory_read
        self._local_id = local_id
        self._on_view = on_view
        self._suspects = suspects
        self._full_suspects_due_ms = clock.now_ms()
        self._local_view = local_view
        self._clock = clock
        self._rng = rng
        self._chooser = chooser
        self._store = store
        self._prefix = prefix
        self._peer_by_id: dict[str, _Peer] = {}
        self._incarnation = new_incarnation()
        self._sequence = 0
        self._is_registered = False
        self._store_returned = Event()
        self._sock = gevent_socket.socket(
            gevent_socket.AF_INET, gevent_socket.SOCK_DGRAM
        )
        self.stops = PeerStops(local_id)
        self._local_stop: Callable[[], StopMessage] | None = None
        self._reason_by_invalid_key: dict[str, str] = {}
        """Records in the directory that were logged as invalid."""
        self.undecodable_datagrams = 0
        """Number of datagrams received that were no valid messages."""

    def loops(self) -> tuple[Callable[[], None], ...]:
        """Return the functions to run in greenlets; they do not return."""
        loops = (self._receive, self._send, self._maintain_directory)
        return loops if self._suspects is None else (*loops, self._send_urgent)

    def start(self, address: SocketAddress) -> None:
        """Bind the socket; raises OSError if the address is taken."""
        self._sock.bind((address.host, address.port))

    def stop(self) -> None:
        """Close the socket."""
        self._is_stopped = True
        self._sock.close()

    @property
    def address(self) -> SocketAddress:
        """Return the address in use."""
        return SocketAddress(*self._sock.getsockname()[:2])

    def live_addresses(self) -> list[SocketAddress]:
        """Return the addresses of peers whose last message is recent."""
        since_ms = self._clock.now_ms() - MAX_AGE_MS
        peers = self._peer_by_id.values()
        return [each.address for each in peers if each.last_received_ms >= since_ms]

    def live_views(self) -> dict[str, PeerView]:
        """Return the recent views of the store, by peer id."""
        since_ms = self._clock.now_ms() - VIEW_MAX_AGE_MS
        return {
            peer_id: PeerView(peer.view, peer.address)
            for peer_id, peer in self._peer_by_id.items()
            if peer.view is not None and peer.last_received_ms >= since_ms
        }

    def peer_count(self) -> int:
        """Return the number of known peers."""
        return len(self._peer_by_id)

    def others(self, stop: PlannedStop) -> OtherRouters:
        """Return what the other processes do, for a process that is stopping.

        A peer whose messages do not say that it is ready does not count as ready, since
        one of an earlier version may stop without a message.
        """
        now_ms = self._clock.now_ms()
        ready = sum(
            peer.last_received_ms >= now_ms - MAX_AGE_MS
            and peer.started_ms <= now_ms - SETTLING_MS
            and peer.is_ready is True
            and peer.view is not None
            and peer.view.configuration_version > 0
            and not self.stops.is_stopping(peer_id)
            for peer_id, peer in self._peer_by_id.items()
        )
        return self.stops.others(ready, stop.signaled_ms, now_ms)

    def announce_stop(
        self, plan: PlannedStop, expected_exit_ms: Callable[[], float]
    ) -> None:
        """Tell all peers of the stop now, and again with each load message."""

        def message() -> StopMessage:
            now_ms = self._clock.now_ms()
            return StopMessage(
                self._local_id,
                self._incarnation,
                max(0, round(now_ms - plan.signaled_ms)),
                max(0, round(expected_exit_ms() - now_ms)),
                plan.phase(now_ms) is StopPhase.LISTENING,
            )

        self._local_stop = message
        self.repeat_stop()

    def repeat_stop(self) -> None:
        """Tell all peers of the stop now, as its phase has changed."""
        if self._local_stop is not None:
            self._send_stop(self._local_stop(), self._peer_by_id.items())

    def _send_stop(
        self, message: StopMessage, peers: Iterable[tuple[str, _Peer]]
    ) -> None:
        """Send a stop, with the time at which the next message will come.

        Peers of earlier versions get it without that time.
        """
        now_ms = self._clock.now_ms()
        stopping = sum(self.stops.is_stopping(each) for each in self._peer_by_id)
        gap_ms, others_gap_ms = stop_gaps_ms(len(self._peer_by_id), stopping)
        for peer_id, peer in peers:
            next_in_ms: int | None = None
            if peer.message_version >= STOP_GAP_VERSION:
                is_stopping = self.stops.is_stopping(peer_id)
                next_in_ms = gap_ms if is_stopping else others_gap_ms
            peer.told_ms = now_ms
            data = encode_stop(replace(message, next_in_ms=next_in_ms))
            self._send_data(data, (peer,))

    def _peers_to_tell(self) -> list[tuple[str, _Peer]]:
        """Return the peers that get the next message of the local stop.

        Those that stop themselves come first, as they decide by it. The others need it
        only once they stop.
        """
        return nsmallest(
            MAX_PEERS_PER_SEND,
            self._peer_by_id.items(),
            key=lambda item: (not self.stops.is_stopping(item[0]), item[1].told_ms),
        )

    def _receive(self) -> None:
        while True:
            try:
                data, source = self._sock.recvfrom(MAX_MESSAGE_BYTES)
            except OSError:
                if self._is_stopped:
                    return
                raise
            give_way()
            address = SocketAddress(*source[:2])
            call_isolated(
                "a datagram",
                str(address),
                partial(self._on_datagram, data, address),
                None,
            )

    def _on_datagram(self, data: bytes, source: SocketAddress) -> None:
        message: LoadMessage | SuspectMessage | StopMessage | LeavingMessage | str
        if is_leaving_message(data):
            message = decode_leaving(data)
        elif is_suspect_message(data):
            message = decode_suspects(data)
        elif is_stop_message(data):
            message = decode_stop(data)
        else:
            message = decode_load(data)
        if isinstance(message, SuspectMessage):
            self._on_suspects(message, source)
            return
        if isinstance(message, StopMessage):
            self._on_stop(message, source)
            return
        if isinstance(message, LeavingMessage):
            self._on_leaving(message, source)
            return
        if isinstance(message, LoadMessage):
            self._on_message(message, source)
            return
        self.undecodable_datagrams += 1
        log.warning("ignored an invalid datagram", source=source.host, reason=message)

    def _on_suspects(self, message: SuspectMessage, source: SocketAddress) -> None:
        """Apply a message about suspects if it comes from a known peer's VM."""
        peer = self._peer_by_id.get(message.sender)
        if self._suspects is None or peer is None or peer.address.host != source.host:
            return
        self._suspects.on_message(message)

    def _on_leaving(self, message: LeavingMessage, source: SocketAddress) -> None:
        """Apply announcements that come from a known peer's VM."""
        peer = self._peer_by_id.get(message.sender)
        if peer is not None and peer.address.host == source.host:
            self._on_leaving_rows(message.rows, message.sender)

    def _on_stop(self, message: StopMessage, source: SocketAddress) -> None:
        """Apply a stop message of a known peer's VM and present process."""
        peer = self._peer_by_id.get(message.sender)
        if peer is None or peer.address.host != source.host:
            return
        if peer.incarnation == message.incarnation:
            gap_ms, others_gap_ms = stop_gaps_ms(len(self._peer_by_id), 0)
            self.stops.on_message(
                message, self._clock.now_ms(), max(gap_ms, others_gap_ms)
            )

    def _on_message(self, message: LoadMessage, source: SocketAddress) -> None:
        if message.sender == self._local_id:
            return
        peer = self._peer_by_id.get(message.sender)
        if peer is None:
            peer = self._peer_by_id[message.sender] = _Peer(source)
            peer.first_seen_ms = self._clock.now_ms()
            log.info("peer discovered", peer=message.sender, address=str(source))
        position = (message.incarnation, message.sequence)
        now_ms = self._clock.now_ms()
        # Incarnations come from the wall clock, which may be set back before a restart,
        # so any message is accepted after a silence.
        is_silent = now_ms - peer.last_received_ms > MAX_AGE_MS
        if position <= (peer.incarnation, peer.sequence) and not is_silent:
            return
        has_started = message.incarnation != peer.incarnation
        if has_started and peer.incarnation:
            peer.message_version = message.version
        peer.message_version = max(peer.message_version, message.version)
        peer.address = source
        peer.incarnation, peer.sequence = position
        peer.last_received_ms = now_ms
        peer.view = message.store_view
        peer.is_ready = message.is_ready
        if peer.view is not None:
            self._on_view(peer.view)
        self.stops.on_incarnation(message.sender, message.incarnation)
        self._chooser.on_peer_load(message.sender, message.load_by_id, now_ms)
        self._chooser.on_peer_prefixes(message.prefixes, now_ms)
        if has_started:
            peer.started_ms = now_ms
            # A process that has just started compares its configuration with others.
            self._send_load(self._load_message(()), (peer,))
        if has_started:
            self._send_leaving((peer,), float("-inf"))
        if has_started and self._suspects is not None:
            self._send_all_suspects(self._suspects, (peer,))

    def _send(self) -> None:
        while True:
            gevent.sleep(send_interval_ms(len(self._peer_by_id)) / MS_PER_SECOND)
            self._send_once()

    def _send_once(self) -> None:
        now_ms = self._clock.now_ms()
        prefixes = self._chooser.take_new_prefixes()
        if not self._peer_by_id:
            return
        message = self._load_message(prefixes)
        peers = list(self._peer_by_id.values())
        if len(peers) > MAX_PEERS_PER_SEND:
            peers = self._rng.sample(peers, MAX_PEERS_PER_SEND)
        self._send_load(message, peers)
        if self._local_stop is not None:
            self._send_stop(self._local_stop(), self._peers_to_tell())
        self._send_leaving(peers, now_ms - REPEAT_LEAVING_MS)
        if self._suspects is None:
            return
        self._send_changes(self._suspects, peers)
        if now_ms >= self._full_suspects_due_ms:
            self._full_suspects_due_ms = now_ms + FULL_SUSPECTS_INTERVAL_MS
            sample = self._rng.sample(peers, min(len(peers), FULL_SUSPECTS_PEERS))
            self._send_all_suspects(self._suspects, sample)

    def _send_leaving(self, peers: Iterable[_Peer], learned_since_ms: float) -> None:
        if self._leaving is None:
            return
        rows = self._leaving.rows(self._clock.now_ms(), learned_since_ms)
        for message in leaving_messages(self._local_id, rows):
            self._send_data(encode_leaving(message), peers)

    def _load_message(self, prefixes: tuple[tuple[int, int], ...]) -> LoadMessage:
        self._sequence += 1
        return LoadMessage(
            self._local_id,
            self._incarnation,
            self._sequence,
            self._chooser.local_load(self._clock.now_ms()),
            prefixes,
            self._local_view(),
            is_ready=self._local_readiness(),
        )

    def _send_load(self, message: LoadMessage, peers: Iterable[_Peer]) -> None:
        """Send a message to each peer in the latest version that it understands."""
        peers_by_version: dict[int, list[_Peer]] = {}
        for peer in peers:
            peers_by_version.setdefault(peer.message_version, []).append(peer)
        for version, group in peers_by_version.items():
            self._send_data(encode_load(replace(message, version=version)), group)

    def _send_urgent(self) -> None:
        """Send changes of suspects without waiting for the next interval."""
        suspects = self._suspects
        assert suspects is not None
        while True:
            suspects.changed.wait()
            suspects.changed.clear()
            # All peers get it: each of them might start a trial of the same key.
            peers = list(self._peer_by_id.values())
            self._send_changes(suspects, peers)
            interval_ms = URGENT_INTERVAL_MS * max(
                1.0, len(peers) / BASE_INTERVAL_PEERS
            )
            gevent.sleep(interval_ms / MS_PER_SECOND)

    def _send_changes(self, suspects: SuspectSource, peers: Iterable[_Peer]) -> None:
        for message in suspects.change_messages(self._local_id):
            self._send_data(encode_suspects(message), peers)

    def _send_all_suspects(
        self, suspects: SuspectSource, peers: Iterable[_Peer]
    ) -> None:
        for message in suspects.full_messages(self._local_id):
            self._send_data(encode_suspects(message), peers)

    def _send_data(self, data: bytes, peers: Iterable[_Peer]) -> None:
        for peer in peers:
            try:
                self._sock.sendto(data, (peer.address.host, peer.address.port))
            except OSError as error:
                # The loss is harmless: the next message replaces this one.
                log.debug("failed to send a datagram to a peer", reason=str(error))

    def _maintain_directory(self) -> None:
        self._read_directory_isolated()
        # The record under the local name may be invalid or that of an earlier start.
        self._is_registered = False
        self._send_once()
        while True:
            key = self._prefix + self._local_id
            if not self._is_registered:
                self._is_registered = call_isolated(
                    "the local directory record", key, self._register, False
                )
            gevent.sleep(DIRECTORY_READ_DELAY_MS / MS_PER_SECOND)
            self._store_returned.clear()
            if self._is_registered and self._read_directory_isolated():
                if self._store_returned.wait(DIRECTORY_INTERVAL_MS / MS_PER_SECOND):
                    spread_ms = self._rng.uniform(0.0, DIRECTORY_SPREAD_MS)
                    gevent.sleep(spread_ms / MS_PER_SECOND)
            else:
                gevent.sleep(DIRECTORY_RETRY_MS / MS_PER_SECOND)

    def on_store_returned(self) -> None:
        """Check soon whether the store has lost the local record."""
        self._store_returned.set()

    def _read_directory_isolated(self) -> bool:
        """Read the directory; an unexpected error counts as a failed read."""
        return call_isolated(
            "the peer directory", self._prefix, self._read_directory, False
        )

    def _register(self) -> bool:
        """Write the local record; it replaces one of an earlier start on this VM."""
        key = self._prefix + self._local_id
        record = PeerRecord(str(self.address), MESSAGE_VERSION)
        value = msgspec.json.encode(record)
        written = self._store.put(key, value, 0)
        if isinstance(written, Conflict):
            written = self._store.put(key, value, written.version)
        if isinstance(written, Ok):
            return True
        log.warning(
            "failed to register in the peer directory; retrying", reason=str(written)
        )
        return False

    def _read_directory(self) -> bool:
        page = self._store.list_objects(self._prefix)
        if isinstance(page, StoreFailure):
            log.warning(
                "failed to read the peer directory; retrying", reason=page.reason
            )
            return False
        self._on_directory_read()
        local_key = self._prefix + self._local_id
        # Peers delete the record of a process that they could not reach for long.
        self._is_registered = any(each.key == local_key for each in page.value.objects)
        keys = {each.key for each in page.value.objects}
        for key in self._reason_by_invalid_key.keys() - keys:
            del self._reason_by_invalid_key[key]
        for stored in page.value.objects:
            self._on_record(stored)
        self._remove_silent_peers({each.key: each for each in page.value.objects})
        return self._is_registered

    def _remove_silent_peers(self, record_by_key: dict[str, StoredObject]) -> None:
        """Remove peers after PEER_EXPIRY_MS of silence, and their records.

        The record of a peer may have been deleted by another process.
        """
        now_ms = self._clock.now_ms()
        for peer_id, peer in list(self._peer_by_id.items()):
            if peer.silence_ms(now_ms) > PEER_EXPIRY_MS:
                self._remove_peer(peer_id, record_by_key.get(self._prefix + peer_id))

    def _remove_peer(self, peer_id: str, record: StoredObject | None) -> None:
        """Remove a peer and its record, None if there is none.

        Records do not expire in the store. One of the remaining processes, chosen by
        hash, deletes the record.
        """
        peer = self._peer_by_id.pop(peer_id)
        log.info(
            "peer removed after a long silence", peer=peer_id, address=str(peer.address)
        )
        if record is None:
            return
        live = [self._local_id, *self._peer_by_id]
        if (
            min(live, key=lambda each: stable_hash(f"{peer_id}|{each}"))
            == self._local_id
        ):
            deleted = self._store.delete(record.key, record.version)
            if not isinstance(deleted, Ok):
                log.warning(
                    "failed to delete the directory record of a removed peer",
                    peer=peer_id,
                    reason=str(deleted),
                )

    def _on_record(self, stored: StoredObject) -> None:
        peer_id = stored.key.removeprefix(self._prefix)
        if peer_id == self._local_id:
            return
        record = decode_record(stored.value)
        if isinstance(record, str):
            if self._reason_by_invalid_key.get(stored.key) != record:
                self._reason_by_invalid_key[stored.key] = record
                log.warning(
                    "ignored an invalid record in the peer directory",
                    key=stored.key,
                    reason=record,
                )
            return
        self._reason_by_invalid_key.pop(stored.key, None)
        address = record.address
        known_peer = self._peer_by_id.get(peer_id)
        if known_peer is None or not known_peer.sequence:
            first_seen_ms = (
                self._clock.now_ms() if known_peer is None else known_peer.first_seen_ms
            )
            self._peer_by_id[peer_id] = _Peer(address, first_seen_ms=first_seen_ms)
        peer = self._peer_by_id.get(peer_id)
        if peer is not None and peer.address == address:
            peer.message_version = max(peer.message_version, record.message_version)
