"""Encoding of the load messages between routing processes (CBOR datagrams)."""

from dataclasses import dataclass

import cbor2

from wigeonwind.decisions.peer_loads import InFlightLoad

MESSAGE_VERSION = 1
"""First element of each message; messages of other versions are ignored."""

MAX_MESSAGE_BYTES = 8_192
"""Largest datagram that can be decoded; a larger one is truncated and rejected."""

MAX_ROWS = 600
"""Most endpoints, and most prefixes, in a message."""


@dataclass(frozen=True, slots=True)
class LoadMessage:
    """The requests that a process has in flight, and the prefixes it has sent recently.

    Endpoints are identified by their `short_id`. `prefixes` are pairs of prefix key and
    endpoint. `incarnation` orders the starts of a process, `sequence` its messages.
    """

    sender: str
    incarnation: int
    sequence: int
    load_by_id: dict[int, InFlightLoad]
    prefixes: tuple[tuple[int, int], ...]


def encode_load(message: LoadMessage) -> bytes:
    """Return a message as CBOR."""
    loads = [
        [
            short_id,
            row.running,
            row.long_prompts,
            [list(pair) for pair in row.pending_prefill_by_priority],
        ]
        for short_id, row in message.load_by_id.items()
    ]
    return cbor2.dumps(
        [
            MESSAGE_VERSION,
            message.sender,
            message.incarnation,
            message.sequence,
            loads,
            [list(pair) for pair in message.prefixes],
        ]
    )


def decode_load(data: bytes) -> LoadMessage | str:
    """Decode a datagram; a returned string is the reason why it is invalid.

    >>> decode_load(b"x")[:20]
    'not a load message: '
    """
    try:
        version, sender, incarnation, sequence, loads, prefixes = cbor2.loads(data)
        if version != MESSAGE_VERSION:
            return f"unsupported message version {version!r}"
        if len(loads) > MAX_ROWS or len(prefixes) > MAX_ROWS:
            return f"more than {MAX_ROWS} endpoints or prefixes"
        rows = {
            _count(short_id): InFlightLoad(
                _count(running),
                _count(long_prompts),
                tuple(
                    (_count(level), _count(tokens)) for level, tokens in pending_prefill
                ),
            )
            for short_id, running, long_prompts, pending_prefill in loads
        }
        pairs = tuple((_count(key), _count(short_id)) for key, short_id in prefixes)
        sender_id = str(sender)
        return LoadMessage(
            sender_id, _count(incarnation), _count(sequence), rows, pairs
        )
    except (cbor2.CBORError, ValueError, TypeError, RecursionError) as error:
        return f"not a load message: {error}"


def _count(value: object) -> int:
    if not isinstance(value, int) or isinstance(value, bool) or value < 0:
        raise ValueError(f"{value!r} is not a count")
    return value
