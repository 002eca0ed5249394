"""What a router knows of the planned stops of the other routers."""

from collections.abc import Iterator
from dataclasses import dataclass

from wigeonwind.decisions.stop_admission import BALANCER_MS, OtherRouters
from wigeonwind.routing.stop_messages import StopMessage

SAME_TIME_MS = 100.0
"""Difference of two signals within which their order is that of the router ids, as the
routers cannot agree on it by messages that take time."""

SILENCE_MS = 500.0
"""Least time without a message after which a stopping router no longer listens."""

MISSED_MESSAGES = 2
"""Messages that a stopping router must miss, as one of them may be lost."""

SEND_DELAY_MS = 100.0
"""Allowance for a message that is sent or read late."""

MAX_SILENCE_MS = 6_000.0
"""Longest time without a message for which a router of a large fleet listens."""


def silence_limit_ms(gap_ms: float) -> float:
    """Return the time after which a stopping router no longer listens.

    `gap_ms` is the time from one of its messages to the next.

    >>> silence_limit_ms(100.0), silence_limit_ms(400.0)
    (500.0, 900.0)
    """
    limit_ms = MISSED_MESSAGES * gap_ms + SEND_DELAY_MS
    return min(max(SILENCE_MS, limit_ms), MAX_SILENCE_MS)


START_MS = 2_000.0
"""Time from the exit of a process until the load balancer sends to its successor."""

OVERDUE_MS = 3_000.0
"""Time for which a successor that is late is still expected."""


@dataclass(slots=True)
class _PeerStop:
    """The stop of one router; times are readings of the local clock."""

    incarnation: int
    signaled_ms: float
    exits_ms: float
    is_listening: bool
    received_ms: float
    silence_ms: float

    def listens(self, now_ms: float) -> bool:
        """Return whether callers can still connect to the router."""
        return self.is_listening and now_ms - self.received_ms < self.silence_ms

    def is_expected(self, now_ms: float) -> bool:
        """Return whether the successor should be ready soon."""
        return now_ms < self.exits_ms + START_MS + OVERDUE_MS


class PeerStops:
    """Planned stops of other routers, from their messages; times in milliseconds.

    A message that is repeated or late changes nothing, and one of an earlier start of
    the process is ignored once its successor has been heard.
    """

    def __init__(self, local_id: str = "") -> None:
        self._local_id = local_id
        self._stop_by_id: dict[str, _PeerStop] = {}

    def on_message(
        self, message: StopMessage, now_ms: float, gap_ms: float = 0.0
    ) -> None:
        """Apply the message of a router that is known and of this incarnation.

        `gap_ms` is the time to its next message, if the message does not state it.
        """
        known = self._stop_by_id.get(message.sender)
        signaled_ms = now_ms - message.since_ms
        if known is not None and known.incarnation == message.incarnation:
            if signaled_ms > known.signaled_ms + SILENCE_MS:
                return  # It was delayed.
            signaled_ms = min(signaled_ms, known.signaled_ms)
        self._stop_by_id[message.sender] = _PeerStop(
            message.incarnation,
            signaled_ms,
            now_ms + message.exits_in_ms,
            message.is_listening,
            now_ms,
            silence_limit_ms(
                gap_ms if message.next_in_ms is None else message.next_in_ms
            ),
        )

    def on_incarnation(self, peer_id: str, incarnation: int) -> None:
        """Forget the stop of a process whose successor has been heard."""
        known = self._stop_by_id.get(peer_id)
        if known is not None and known.incarnation != incarnation:
            del self._stop_by_id[peer_id]

    def is_stopping(self, peer_id: str) -> bool:
        """Return whether a router has announced its stop and not started again."""
        return peer_id in self._stop_by_id

    def others(self, ready: int, signaled_ms: float, now_ms: float) -> OtherRouters:
        """Return what the others do, seen by one that was told to stop at a time.

        `ready` is the number of others that run and have announced no stop.
        """
        stops = self._stop_by_id
        later_ids = {
            peer_id
            for peer_id, each in stops.items()
            if self._is_later(peer_id, each.signaled_ms - signaled_ms)
        }
        listening_ids = {
            peer_id for peer_id, each in stops.items() if each.listens(now_ms)
        }
        return OtherRouters(
            ready,
            len(later_ids & listening_ids),
            sum(
                peer_id not in later_ids and now_ms - each.signaled_ms < BALANCER_MS
                for peer_id, each in stops.items()
            ),
            sum(
                peer_id not in listening_ids and each.is_expected(now_ms)
                for peer_id, each in stops.items()
            ),
            len(listening_ids - later_ids),
        )

    def _is_later(self, peer_id: str, difference_ms: float) -> bool:
        """Return whether a router was told to stop after the local one."""
        if abs(difference_ms) <= SAME_TIME_MS:
            return peer_id > self._local_id
        return difference_ms > 0.0

    def ready_in_ms(self, now_ms: float) -> Iterator[float]:
        """Yield the times until the successors of stopped routers should be ready."""
        for each in self._stop_by_id.values():
            if each.is_expected(now_ms):
                yield max(0.0, each.exits_ms + START_MS - now_ms)
