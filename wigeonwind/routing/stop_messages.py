"""Encoding of messages about planned stops between routers (CBOR datagrams).

They are separate from load messages: a router sends them only while it stops, and
routers of earlier versions ignore them.
"""

from dataclasses import dataclass

import cbor2

from wigeonwind.routing.peer_messages import DECODE_ERRORS

MESSAGE_TYPE = "stops/2"
"""First element of each message."""

EARLIER_TYPE = "stops/1"
"""Type of messages that do not state when the next one comes, for peers of an earlier
version and from them."""

MAX_INCARNATION = 2**64 - 1
MAX_MS = 600_000
"""Bound of the times in a message; no stop takes that long."""


@dataclass(frozen=True, slots=True)
class StopMessage:
    """A router's planned stop, as of the moment of sending; times in milliseconds.

    `since_ms` is the time since the stop signal, `exits_in_ms` the expected time until
    the exit. `is_listening` says that callers may still connect. `next_in_ms` is the
    time until the next message to the same peer, None in messages of earlier versions.
    """

    sender: str
    incarnation: int
    since_ms: int
    exits_in_ms: int
    is_listening: bool
    next_in_ms: int | None = None


def encode_stop(message: StopMessage) -> bytes:
    """Return a message as CBOR, of the earlier type if it states no next one."""
    fields: list[str | int | bool] = [
        message.sender,
        message.incarnation,
        message.since_ms,
        message.exits_in_ms,
        message.is_listening,
    ]
    if message.next_in_ms is None:
        return cbor2.dumps([EARLIER_TYPE, *fields])
    return cbor2.dumps([MESSAGE_TYPE, *fields, message.next_in_ms])


def is_stop_message(data: bytes) -> bool:
    """Return whether a datagram is a stop message, valid or not.

    >>> is_stop_message(encode_stop(StopMessage("r1", 1, 0, 7_700, True)))
    True
    """
    return data[1:].startswith((cbor2.dumps(MESSAGE_TYPE), cbor2.dumps(EARLIER_TYPE)))


def decode_stop(data: bytes) -> StopMessage | str:
    """Decode a datagram; a returned string is the reason why it is invalid.

    >>> decode_stop(b"x")[:19]
    'not a stop message:'
    """
    try:
        message_type, *fields = cbor2.loads(data)
        if message_type not in (MESSAGE_TYPE, EARLIER_TYPE):
            return f"unsupported message type {message_type!r:.40}"
        next_in_ms = fields.pop() if message_type == MESSAGE_TYPE else None
        sender, incarnation, since_ms, exits_in_ms, listens = fields
        if not isinstance(sender, str):
            return f"the sender is not a string: {sender!r:.40}"
        return StopMessage(
            sender,
            _number(incarnation, MAX_INCARNATION),
            _number(since_ms, MAX_MS),
            _number(exits_in_ms, MAX_MS),
            bool(listens),
            None if message_type == EARLIER_TYPE else _number(next_in_ms, MAX_MS),
        )
    except DECODE_ERRORS as error:
        return f"not a stop message: {error}"


def _number(value: object, limit: int) -> int:
    if not isinstance(value, int) or isinstance(value, bool) or not 0 <= value <= limit:
        raise ValueError(f"a value is not a number from 0 to {limit}")
    return value
