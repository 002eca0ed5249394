"""Encoding and validating decoding of messages."""

from dataclasses import fields

import pytest
from cbor2 import CBORTag, dumps, loads
from hypothesis import given
from hypothesis import strategies as st

from wigeonwind.decisions.grants import GrantRow
from wigeonwind.links.codec import DecodeFailure, decode, encode
from wigeonwind.links.messages import (
    MESSAGE_TYPE_BY_NUMBER,
    PROTOCOL_VERSION,
    Chunk,
    ClaimState,
    Grant,
    GrantRequest,
    Members,
    Ping,
    Queued,
    Submit,
    TextChange,
)

SUBMIT = Submit(
    "r", 0, 7, 3, "wigeon-llm", "chat", "c", "POST", "/v1/x", [["a", "b"]], b"{}",
    True, 5, 100.0, resume_text="x" * 100_000,
)  # fmt: skip


@pytest.mark.parametrize(
    "message",
    [
        SUBMIT,
        Chunk("r", 1, 0, b"\x00\xff", 2),
        ClaimState("t", "done", 200, [["a", "b"]], b"body"),
        ClaimState("t", "unknown"),
        TextChange(1, 2, [["class a", "x = 1", "class b"], ["class c", ""]], [], "d"),
        Members([["a", 1, 0, "side", "z", "s", "1.2.3.4:5"]]),
    ],
)
def test_a_message_is_equal_after_encoding_and_decoding(message):
    assert decode(encode(message)) == message


def test_fields_and_row_items_of_a_newer_release_are_ignored():
    # Guards against two releases that cannot interoperate during an upgrade.
    array = loads(encode(Members([["a", 1, 0, "side", "z", "s", ""]])))
    array[2][0].append("new item")
    assert decode(dumps([*array, "new field"])) == Members(
        [["a", 1, 0, "side", "z", "s", ""]]
    )


def test_another_protocol_version_is_reported_as_such():
    failure = decode(dumps([PROTOCOL_VERSION + 1, 26, 1.0]))
    assert isinstance(failure, DecodeFailure)
    assert failure.code == "version"


@pytest.mark.parametrize(
    "field, value",
    [
        ("request_id", b"bytes"),
        ("request_id", "x" * 10_000),
        ("attempt", -1),
        ("attempt", True),
        ("attempt", 1.0),
        ("attempt", 2**64),
        ("headers", [["only one"]]),
        ("headers", [["a", 1]]),
        ("headers", {"a": "b"}),
        ("body", "text"),
        ("stream", 1),
        ("budget_ms", float("nan")),
        ("budget_ms", float("inf")),
        ("budget_ms", None),
        ("resume_text", "x" * 4_000_001),
        ("request_id", CBORTag(35, "(a+)+$")),
    ],
)
def test_a_field_of_a_wrong_type_or_size_never_reaches_a_handler(field, value):
    array = loads(encode(SUBMIT))
    array[2 + [f.name for f in fields(Submit)].index(field)] = value
    assert isinstance(decode(dumps(array)), DecodeFailure)


def test_missing_fields_are_refused_unless_they_have_defaults():
    array = loads(encode(SUBMIT))
    assert isinstance(decode(dumps(array[:15])), DecodeFailure)
    assert isinstance(decode(dumps(array[:16])), Submit)


@given(st.binary(max_size=200))
def test_arbitrary_bytes_never_raise(data):
    decoded = decode(data)
    assert isinstance(decoded, (DecodeFailure, *MESSAGE_TYPE_BY_NUMBER.values()))


@given(st.data())
def test_a_corrupted_message_never_raises(data):
    source = bytearray(encode(data.draw(st.sampled_from([SUBMIT, Queued("r", 0, 1)]))))
    place = data.draw(st.integers(0, min(len(source) - 1, 120)))
    source[place] = data.draw(st.integers(0, 255))
    decode(bytes(source))


def test_deep_nesting_is_refused():
    # Guards against a decoder that exhausts the stack by recursion.
    value: list = []
    for _ in range(300):
        value = [value]
    assert isinstance(decode(dumps(value)), DecodeFailure)


def test_a_float_field_accepts_an_integer():
    assert decode(dumps([PROTOCOL_VERSION, 26, 5])) == Ping(5)


@pytest.mark.parametrize("kind", [GrantRequest, Grant])
def test_a_row_of_grants_keeps_its_concurrency(kind):
    # Guards against rows truncated to four items. They lose the granted concurrency, so
    # an entry that is not the owner of a customer refuses nearly all its requests.
    row = GrantRow(("c", ""), 1.0, 2.0, 3.0, 4.0)
    fields = {"valid_ms": 1.0} if kind is Grant else {}
    decoded = decode(encode(kind([row.to_list()], **fields)))
    assert isinstance(decoded, kind)
    assert GrantRow.from_list(decoded.rows[0]) == row
