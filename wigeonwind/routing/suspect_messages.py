"""Encoding of messages about suspect request keys between routers (CBOR datagrams).

They are separate from load messages: routers send them only while there are suspects,
and routers of earlier versions ignore them.
"""

from collections.abc import Iterable
from dataclasses import dataclass

import cbor2

from wigeonwind.decisions.quarantine import MAX_CRASHES_PER_KEY, SuspectRow
from wigeonwind.routing.peer_messages import DECODE_ERRORS

MESSAGE_TYPE = "suspects/1"
"""First element of each message."""

MAX_ROWS = 40
"""Most keys in a message, which keeps it within MAX_MESSAGE_BYTES of load messages."""

MAX_TRIALS = 40

MAX_MESSAGES = 16
"""Most messages that are sent at a time: rows of 640 keys."""

MAX_KEY = 2**64 - 1
MAX_SHORT_ID = 2**32 - 1
MAX_AGE_MS = 2**32 - 1


@dataclass(frozen=True, slots=True)
class SuspectMessage:
    """What a router knows of suspects, and the trials that it has in flight.

    A full message has suspects and no trials, any other one recent changes and all
    trials: pairs of a key and the short id of the endpoint at which it is tried. What
    exceeds MAX_ROWS goes into further full messages.
    """

    sender: str
    is_full: bool
    rows: tuple[SuspectRow, ...]
    trials: tuple[tuple[int, int], ...]


def encode_suspects(message: SuspectMessage) -> bytes:
    """Return a message as CBOR."""
    rows = [
        [row.key, [list(pair) for pair in row.age_ms_by_crash], row.answered_age_ms]
        for row in message.rows
    ]
    trials = [list(trial) for trial in message.trials]
    return cbor2.dumps([MESSAGE_TYPE, message.sender, message.is_full, rows, trials])


def is_suspect_message(data: bytes) -> bool:
    """Return whether a datagram is a suspect message, valid or not.

    >>> is_suspect_message(encode_suspects(SuspectMessage("r1", True, (), ())))
    True
    """
    return data[1:].startswith(cbor2.dumps(MESSAGE_TYPE))


def decode_suspects(data: bytes) -> SuspectMessage | str:
    """Decode a datagram; a returned string is the reason why it is invalid.

    >>> decode_suspects(b"x")[:23]
    'not a suspect message: '
    """
    try:
        message_type, sender, is_full, rows, trials = cbor2.loads(data)
        if message_type != MESSAGE_TYPE or not isinstance(sender, str):
            return f"unsupported message type {message_type!r}"
        if len(rows) > MAX_ROWS or len(trials) > MAX_TRIALS:
            return f"more than {MAX_ROWS} suspects or {MAX_TRIALS} trials"
        return SuspectMessage(
            sender,
            bool(is_full),
            tuple(_decode_row(*row) for row in rows),
            tuple(
                (_number(key, MAX_KEY), _number(endpoint, MAX_SHORT_ID))
                for key, endpoint in trials
            ),
        )
    except DECODE_ERRORS as error:
        return f"not a suspect message: {error}"


def _decode_row(
    key: object, age_ms_by_crash: Iterable[tuple[object, object]], answered: object
) -> SuspectRow:
    ages = tuple(
        (_number(crash, MAX_SHORT_ID), _number(age_ms, MAX_AGE_MS))
        for crash, age_ms in age_ms_by_crash
    )
    if len(ages) > MAX_CRASHES_PER_KEY:
        raise ValueError("too many crashes of a key")
    answered_age_ms = None if answered is None else _number(answered, MAX_AGE_MS)
    return SuspectRow(_number(key, MAX_KEY), ages, answered_age_ms)


def _number(value: object, limit: int) -> int:
    if not isinstance(value, int) or isinstance(value, bool) or not 0 <= value <= limit:
        raise ValueError(f"{value!r} is not a number up to {limit}")
    return value
