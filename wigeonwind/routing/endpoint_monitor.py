"""Detection of endpoints that have crashed, and the requests they had not answered.

A request counts as not answered until its answer shows that the endpoint can run it:
an endpoint that crashes as it begins to answer may have sent the first bytes.

A lost connection alone proves nothing: the network or a fault of one answer may be the
cause. An endpoint has crashed if it also refuses a new connection, and discovery does
not report that it leaves.
"""

from collections import OrderedDict
from collections.abc import Callable, Collection
from dataclasses import dataclass, field

from gevent.event import Event
from structlog import get_logger

from wigeonwind.clock import Clock
from wigeonwind.routing.discovery import EndpointSet
from wigeonwind.routing.endpoint_connection import ConnectFailure, ConnectionPool
from wigeonwind.routing.endpoints import Endpoint, EndpointKey
from wigeonwind.routing.request_keys import format_key

LOST_SEND_AGE_MS = 1_000.0
"""Time between the loss of a connection and the refusal of a new one, up to which both
belong to one crash. A crashed process closes all its sockets within milliseconds."""

MAX_CRASHED_ENDPOINTS = 256
"""Most crashed endpoints that are remembered, the most recent ones."""

MAX_LOGGED_KEYS = 12

log = get_logger("wigeonwind.endpoints")


@dataclass(slots=True, eq=False)
class UnansweredSend:
    """A request that was sent to an endpoint, which may still crash because of it.

    `keys` identify its parts. `abort` gives the send up, and `was_aborted` says that
    this was done. The endpoint may crash all the same. `has_begun` says that the first
    event of an answer has arrived.
    """

    endpoint: Endpoint
    request_id: str
    keys: tuple[int, ...]
    abort: Callable[[], None]
    was_aborted: bool = False
    has_begun: bool = False


OnCrash = Callable[[Endpoint, Collection[UnansweredSend]], None]


@dataclass(slots=True)
class _Watched:
    """The unanswered sends of an endpoint, and those whose connection was lost."""

    unanswered: set[UnansweredSend] = field(default_factory=set)
    lost: list[tuple[float, UnansweredSend]] = field(default_factory=list)
    """With the time of the loss."""
    probe: Event | None = None
    """Set when the connection attempt that is in progress ends, None without one."""


class EndpointMonitor:
    """Knows the unanswered sends of each endpoint and reports crashes once."""

    def __init__(
        self,
        clock: Clock,
        pool: ConnectionPool,
        endpoints: EndpointSet,
        on_crash: OnCrash,
    ) -> None:
        self._clock = clock
        self._pool = pool
        self._endpoints = endpoints
        self._on_crash = on_crash
        self._watched_by_key: dict[EndpointKey, _Watched] = {}
        self._crashed_keys: OrderedDict[EndpointKey, None] = OrderedDict()

    def add(self, send: UnansweredSend) -> None:
        """Watch a send until `remove` or `on_lost`."""
        watched = self._watched_by_key.setdefault(send.endpoint.key, _Watched())
        watched.unanswered.add(send)

    def remove(self, send: UnansweredSend) -> None:
        """Forget a send that was answered or given up, also if it was lost."""
        watched = self._watched_by_key.get(send.endpoint.key)
        if watched is not None:
            watched.unanswered.discard(send)
            watched.lost[:] = [row for row in watched.lost if row[1] is not send]
            self._forget_if_idle(send.endpoint.key)

    def not_begun_with(self, key: int) -> list[UnansweredSend]:
        """Return the sends without a first event whose request has a key."""
        return [
            send
            for watched in self._watched_by_key.values()
            for send in watched.unanswered
            if key in send.keys and not send.has_begun
        ]

    def on_lost(self, send: UnansweredSend) -> None:
        """Record that the connection of an unanswered send was lost or given up."""
        watched = self._watched_by_key.setdefault(send.endpoint.key, _Watched())
        watched.unanswered.discard(send)
        watched.lost.append((self._clock.now_ms(), send))

    def has_crashed(self, key: EndpointKey) -> bool:
        """Return whether an endpoint has crashed and accepted no connection since."""
        return key in self._crashed_keys

    def check(self, endpoint: Endpoint) -> bool:
        """Return whether an endpoint has crashed, after a connection to it was lost.

        Opens a connection, which goes to the pool if the endpoint accepts it. Calls for
        the same endpoint share one attempt.
        """
        if endpoint.key in self._crashed_keys:
            return True
        watched = self._watched_by_key.setdefault(endpoint.key, _Watched())
        if watched.probe is not None:
            watched.probe.wait()
            return endpoint.key in self._crashed_keys
        watched.probe = Event()
        try:
            connection = self._pool.open(endpoint)
            if isinstance(connection, ConnectFailure):
                self.on_connect_failure(endpoint, connection)
            else:
                self.on_connected(endpoint)
                self._pool.release(connection, None)
        finally:
            watched.probe.set()
            watched.probe = None
            self._forget_if_idle(endpoint.key)
        return endpoint.key in self._crashed_keys

    def on_connected(self, endpoint: Endpoint) -> None:
        """Record that an endpoint has accepted a new connection."""
        self._crashed_keys.pop(endpoint.key, None)

    def on_connect_failure(self, endpoint: Endpoint, failure: ConnectFailure) -> None:
        """Report a crash if the endpoint refuses connections and was not leaving."""
        if not failure.is_refused or endpoint.key in self._crashed_keys:
            return
        if self._endpoints.get(endpoint.key) is None:
            return
        self._crashed_keys[endpoint.key] = None
        while len(self._crashed_keys) > MAX_CRASHED_ENDPOINTS:
            self._crashed_keys.popitem(last=False)
        watched = self._watched_by_key.get(endpoint.key, _Watched())
        since_ms = self._clock.now_ms() - LOST_SEND_AGE_MS
        lost = [send for lost_ms, send in watched.lost if lost_ms >= since_ms]
        sends = [*watched.unanswered, *lost]
        watched.lost.clear()
        keys = sorted({key for send in sends for key in send.keys})
        log.warning(
            "endpoint crashed",
            endpoint=endpoint.instance_id,
            service=endpoint.service,
            unanswered=len(sends),
            begun=sum(send.has_begun for send in sends),
            request_ids=[send.request_id for send in sends][:MAX_LOGGED_KEYS],
            keys=[format_key(key) for key in keys[:MAX_LOGGED_KEYS]],
        )
        self._on_crash(endpoint, sends)

    def drop_expired(self) -> None:
        """Forget lost connections that no crash followed."""
        since_ms = self._clock.now_ms() - LOST_SEND_AGE_MS
        for key, watched in list(self._watched_by_key.items()):
            watched.lost[:] = [row for row in watched.lost if row[0] >= since_ms]
            self._forget_if_idle(key)

    def _forget_if_idle(self, key: EndpointKey) -> None:
        watched = self._watched_by_key.get(key)
        if watched is None or watched.probe is not None:
            return
        if not watched.unanswered and not watched.lost:
            del self._watched_by_key[key]
