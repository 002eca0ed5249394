"""Encoding of messages about leaving endpoints between routers (CBOR datagrams).

They are separate from load messages: routers send them only while they have learned of
announcements, and routers of earlier versions ignore them.
"""

from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass

import cbor2

from wigeonwind.decisions.leaving_endpoints import HOLD_MS, LeavingRow
from wigeonwind.routing.peer_messages import DECODE_ERRORS

MESSAGE_TYPE = "leaving/1"
"""First element of each message."""

MAX_ROWS = 200
"""Most endpoints in a message, which keeps it within MAX_MESSAGE_BYTES."""

MAX_DIGEST = 2**64 - 1


@dataclass(frozen=True, slots=True)
class LeavingMessage:
    """Announcements that a router knows of."""

    sender: str
    rows: tuple[LeavingRow, ...]


def leaving_messages(
    sender: str, rows: Iterable[LeavingRow]
) -> Iterator[LeavingMessage]:
    """Yield as many messages as the rows need, none without any."""
    all_rows: Sequence[LeavingRow] = tuple(rows)
    for start in range(0, len(all_rows), MAX_ROWS):
        yield LeavingMessage(sender, tuple(all_rows[start : start + MAX_ROWS]))


def encode_leaving(message: LeavingMessage) -> bytes:
    """Return a message as CBOR."""
    rows = [[row.digest, row.age_ms] for row in message.rows]
    return cbor2.dumps([MESSAGE_TYPE, message.sender, rows])


def is_leaving_message(data: bytes) -> bool:
    """Return whether a datagram is a message about leaving endpoints, valid or not.

    >>> is_leaving_message(encode_leaving(LeavingMessage("r1", ())))
    True
    """
    return data[1:].startswith(cbor2.dumps(MESSAGE_TYPE))


def decode_leaving(data: bytes) -> LeavingMessage | str:
    """Decode a datagram; a returned string is the reason why it is invalid.

    >>> decode_leaving(b"x")[:22]
    'not a leaving message:'
    """
    try:
        message_type, sender, rows = cbor2.loads(data)
        if message_type != MESSAGE_TYPE or not isinstance(sender, str):
            return f"unsupported message type {message_type!r:.40}"
        if len(rows) > MAX_ROWS:
            return f"more than {MAX_ROWS} endpoints"
        return LeavingMessage(
            sender,
            tuple(
                LeavingRow(_number(digest, MAX_DIGEST), _number(age_ms, int(HOLD_MS)))
                for digest, age_ms in rows
            ),
        )
    except DECODE_ERRORS as error:
        return f"not a leaving message: {error}"


def _number(value: object, limit: int) -> int:
    if not isinstance(value, int) or isinstance(value, bool) or not 0 <= value <= limit:
        raise ValueError(f"a value is not a number from 0 to {limit}")
    return value
