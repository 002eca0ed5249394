"""Encoding of the load messages between routing processes (CBOR datagrams)."""

from dataclasses import dataclass

import cbor2

from wigeonwind.decisions.peer_loads import InFlightLoad
from wigeonwind.routing.store_watchers import StoreView
from wigeonwind.state.store_types import UNKNOWN_ERA, StoreRevision

MESSAGE_VERSION = 4
"""First element of each message. Version 1 has no store view, version 2 no era in it,
version 3 no readiness; messages of later versions are ignored."""

READINESS_VERSION = 4
"""First version that states whether the sender is ready."""

STOP_GAP_VERSION = 4
"""Version from which on a peer understands the time to the next message of a stop."""

EARLIER_VERSION = 2
"""Version that is sent to peers that may not understand MESSAGE_VERSION."""

MAX_MESSAGE_BYTES = 8_192
"""Largest datagram that can be decoded; a larger one is truncated and rejected."""

MAX_COUNT = 2**64 - 1
"""Largest number in a message; keys of prefixes have 64 bits."""

MAX_ROWS = 600
"""Most endpoints, and most prefixes, in a message."""


DECODE_ERRORS = (
    cbor2.CBORError,
    ValueError,
    TypeError,
    OverflowError,
    RecursionError,
)
"""What the decoding of CBOR raises, and the use of items of a wrong type or size."""


@dataclass(frozen=True, slots=True)
class LoadMessage:
    """The requests that a process has in flight, and the prefixes it has sent recently.

    Endpoints are identified by their `short_id`. `prefixes` are pairs of prefix key and
    endpoint. `incarnation` orders the starts of a process, `sequence` its messages.
    `store_view` is None in messages of processes of an earlier version, and so is
    `is_ready`, which says that the sender can serve new callers. `version` is that of
    the message.
    """

    sender: str
    incarnation: int
    sequence: int
    load_by_id: dict[int, InFlightLoad]
    prefixes: tuple[tuple[int, int], ...]
    store_view: StoreView | None = None
    version: int = MESSAGE_VERSION
    is_ready: bool | None = None


def encode_load(message: LoadMessage) -> bytes:
    """Return a message as CBOR, in its version or, from 2 on, an earlier one."""
    loads = [
        [
            short_id,
            row.running,
            row.long_prompts,
            [list(pair) for pair in row.pending_prefill_by_priority],
        ]
        for short_id, row in message.load_by_id.items()
    ]
    view = message.store_view
    fields = [
        message.version,
        message.sender,
        message.incarnation,
        message.sequence,
        loads,
        [list(pair) for pair in message.prefixes],
        None if view is None else _encode_view(view, message.version),
    ]
    if message.version >= READINESS_VERSION:
        fields.append(message.is_ready)
    return cbor2.dumps(fields)


def _encode_view(view: StoreView, version: int) -> list[str | int | bool]:
    fields: list[str | int | bool] = [
        view.zone,
        view.configuration_version,
        view.endpoints_revision.number,
        view.is_watching,
        view.is_refused,
    ]
    if version == EARLIER_VERSION:
        return fields
    return [*fields, view.endpoints_revision.era]


def decode_load(data: bytes) -> LoadMessage | str:
    """Decode a datagram; a returned string is the reason why it is invalid.

    >>> decode_load(b"x")[:20]
    'not a load message: '
    """
    try:
        version, *fields = cbor2.loads(data)
        if version == 1:
            fields.append(None)
        elif version not in range(EARLIER_VERSION, MESSAGE_VERSION + 1):
            return f"unsupported message version {version!r}"
        if version < READINESS_VERSION:
            fields.append(None)
        sender, incarnation, sequence, loads, prefixes, view, is_ready = fields
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
            sender_id,
            _count(incarnation),
            _count(sequence),
            rows,
            pairs,
            None if view is None else _decode_view(view, version),
            version,
            None if is_ready is None else bool(is_ready),
        )
    except DECODE_ERRORS as error:
        return f"not a load message: {error}"


def _decode_view(row: object, version: int) -> StoreView:
    if not isinstance(row, list):
        raise ValueError("the store view is not a list")
    fields = [*row, UNKNOWN_ERA] if version == EARLIER_VERSION else row
    zone, configuration_version, number, is_watching, is_refused, era = fields
    return StoreView(
        str(zone),
        _count(configuration_version),
        StoreRevision(
            UNKNOWN_ERA if era == UNKNOWN_ERA else _count(era), _count(number)
        ),
        bool(is_watching),
        bool(is_refused),
    )


def _count(value: object) -> int:
    if not isinstance(value, int) or isinstance(value, bool):
        raise ValueError("a count is not an integer")
    if not 0 <= value <= MAX_COUNT:
        raise ValueError(f"a count is not from 0 to {MAX_COUNT}")
    return value
