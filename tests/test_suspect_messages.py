"""Messages between routers about request keys that may crash endpoints."""

from random import Random

import cbor2
import pytest

from wigeonwind.decisions.quarantine import SuspectRow
from wigeonwind.routing.peer_messages import MAX_MESSAGE_BYTES, decode_load
from wigeonwind.routing.suspect_messages import (
    MAX_AGE_MS,
    MAX_KEY,
    MAX_ROWS,
    MAX_SHORT_ID,
    MAX_TRIALS,
    MESSAGE_TYPE,
    SuspectMessage,
    decode_suspects,
    encode_suspects,
    is_suspect_message,
)

MESSAGE = SuspectMessage(
    "r1", False, (SuspectRow(7, ((1, 90), (2, 30)), 60),), ((7, 3),)
)


def test_a_message_survives_encoding():
    # Guards against fields that are lost or swapped on the way.
    data = encode_suspects(MESSAGE)
    assert is_suspect_message(data) and decode_suspects(data) == MESSAGE


def test_the_largest_message_fits_a_datagram():
    # Guards against messages that receivers truncate, so that nobody learns of a part.
    ages = tuple((MAX_SHORT_ID - number, MAX_AGE_MS) for number in range(8))
    rows = tuple(
        SuspectRow(MAX_KEY - number, ages, MAX_AGE_MS) for number in range(MAX_ROWS)
    )
    trials = tuple((MAX_KEY - number, MAX_SHORT_ID) for number in range(MAX_TRIALS))
    data = encode_suspects(SuspectMessage("edge-" + "x" * 80, False, rows, trials))
    assert len(data) <= MAX_MESSAGE_BYTES


def test_routers_of_an_earlier_version_reject_the_message():
    # Guards against a suspect message that is taken for a load.
    assert isinstance(decode_load(encode_suspects(MESSAGE)), str)


@pytest.mark.parametrize(
    "fields",
    [
        ["r1", True, [[7, [[1, -1]], None]], []],
        ["r1", True, [[7, [[number, 0] for number in range(9)], None]], []],
        ["r1", True, [[-7, [[1, 0]], None]], []],
        ["r1", True, [[7, [[2**40, 0]], None]], []],
        ["r1", True, [[7, [[1, 2**40]], None]], []],
        ["r1", True, [[7, [[1, 0]], -1]], []],
        ["r1", True, [[True, [[1, 0]], None]], []],
        ["r1", True, [[7, [[1, 0]]]], []],
        ["r1", True, [[7, [1], None]], []],
        ["r1", True, [[7, 1, None]], []],
        ["r1", True, [[number, [], None] for number in range(MAX_ROWS + 1)], []],
        ["r1", True, [], [[7, 2**64]]],
        [5, True, [], []],
        ["r1", True, []],
    ],
)
def test_invalid_messages_are_rejected(fields):
    # Guards against state that a faulty peer can damage.
    assert isinstance(decode_suspects(cbor2.dumps([MESSAGE_TYPE, *fields])), str)


def test_damaged_messages_are_values_not_errors():
    # Guards against a datagram that ends the receiving greenlet.
    rng, data = Random(1), encode_suspects(MESSAGE)
    for _ in range(3_000):
        damaged = bytearray(data[: rng.randrange(1, len(data) + 1)])
        for _ in range(rng.randrange(4)):
            damaged[rng.randrange(len(damaged))] = rng.randrange(256)
        assert isinstance(decode_suspects(bytes(damaged)), (str, SuspectMessage))
