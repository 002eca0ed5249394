"""Encoding of messages as CBOR arrays, and validating decoding.

An invalid message decodes to a `DecodeFailure`, so handlers never receive a field of a
wrong type or size.
"""

from collections.abc import Callable
from dataclasses import MISSING, dataclass, fields
from math import isfinite
from operator import attrgetter
from typing import Any, get_args, get_origin, get_type_hints

from cbor2 import CBORDecodeError, dumps, loads

from wigeonwind.links.messages import (
    MESSAGE_TYPE_BY_NUMBER,
    PROTOCOL_VERSION,
    Grant,
    GrantRequest,
    LoadReport,
    Members,
)

MAX_SHORT_STRING_CHARS = 8_192
"""Limit for names, paths, reasons and header values; larger than any valid URL."""

MAX_LONG_STRING_CHARS = 4_000_000
"""Limit for long strings: an answer to resume, or one section of the configuration."""

MAX_ROWS = 50_000
"""Limit for the rows of one list; a section list of 29,000 customers fits."""

MAX_INTEGER = 2**64 - 1
"""Maximum integer; digests are unsigned 64-bit numbers."""

MAX_DEPTH = 4
"""Maximum nesting of a message: the array, a list, its rows, their items."""

LONG_STRING_FIELDS = frozenset({"resume_text", "sections"})
"""Fields limited by MAX_LONG_STRING_CHARS; others by MAX_SHORT_STRING_CHARS."""

ROW_ITEM_TYPES_BY_FIELD: dict[tuple[type, str], tuple[type, ...]] = {
    (LoadReport, "waiting_by_class"): (str, int),
    (LoadReport, "running_by_class"): (str, int),
    (Members, "records"): (str, int, int, str, str, str, str),
    (GrantRequest, "rows"): (str, str, float, float, float, float),
    (Grant, "rows"): (str, str, float, float, float, float),
}
"""Item types of rows, for fields whose annotation does not state them.

Additional items at the end of a row are dropped, as are additional fields of a message.
"""

Check = Callable[[Any], bool]


@dataclass(frozen=True)
class DecodeFailure:
    """The reason why a message is invalid; `code` is a short stable category."""

    code: str
    reason: str


@dataclass(frozen=True)
class _Layout:
    """How a message type is encoded and checked; one name and check for each field."""

    cls: type
    names: tuple[str, ...]
    checks: tuple[Check, ...]
    required_count: int
    """Number of fields without a default."""
    get_values: Callable[[Any], Any]
    scalar_types: list[type] | None
    """Types of the fields if all are integers, strings, bytes or booleans."""
    integer_indexes: tuple[int, ...]


def encode(message: Any) -> bytes:
    """Return the CBOR array of a message."""
    layout = _LAYOUT_BY_NUMBER[message.NUMBER]
    return dumps([PROTOCOL_VERSION, message.NUMBER, *layout.get_values(message)])


def decode(data: bytes) -> Any | DecodeFailure:
    """Return the message, or a `DecodeFailure` with the reason.

    >>> from wigeonwind.links.messages import Ping
    >>> decode(encode(Ping(12.5)))
    Ping(sent_ms=12.5)
    >>> decode(b"").code
    'cbor'
    """
    try:
        items = loads(data, max_depth=MAX_DEPTH, allow_indefinite=False)
    except (CBORDecodeError, ValueError, OverflowError, RecursionError) as error:
        return DecodeFailure("cbor", str(error)[:200])
    if type(items) is not list or len(items) < 2 or not _is_integer(items[0]):
        return DecodeFailure("shape", "not an array of protocol version and number")
    if items[0] != PROTOCOL_VERSION:
        return DecodeFailure("version", f"unsupported protocol version {items[0]}")
    layout = _LAYOUT_BY_NUMBER.get(items[1]) if _is_integer(items[1]) else None
    if layout is None:
        return DecodeFailure("number", "unknown message number")
    values = items[2:]
    if not (len(data) <= MAX_SHORT_STRING_CHARS and _are_valid_scalars(layout, values)):
        failure = _check_fields(layout, values)
        if failure is not None:
            return failure
    return layout.cls(*values[: len(layout.names)])


def _are_valid_scalars(layout: _Layout, values: list) -> bool:
    """Return whether all fields are valid scalars: a fast path for small messages.

    The lengths of strings need no check: the whole message is shorter than their limit.
    """
    if list(map(type, values)) != layout.scalar_types:
        return False
    for index in layout.integer_indexes:  # noqa: SIM110 - a generator is half as fast
        if not 0 <= values[index] <= MAX_INTEGER:
            return False
    return True


def _check_fields(layout: _Layout, values: list) -> DecodeFailure | None:
    if len(values) < layout.required_count:
        return DecodeFailure(
            "fields", f"{layout.cls.__name__}: missing required fields"
        )
    for name, check, value in zip(layout.names, layout.checks, values, strict=False):
        if not check(value):
            return DecodeFailure(
                "field", f"{layout.cls.__name__}.{name}: invalid value"
            )
    return None


def _is_integer(value: Any) -> bool:
    return type(value) is int and 0 <= value <= MAX_INTEGER


def _is_number(value: Any) -> bool:
    if type(value) is float:
        return isfinite(value)
    return type(value) is int and -MAX_INTEGER <= value <= MAX_INTEGER


def _is_boolean(value: Any) -> bool:
    return type(value) is bool


def _is_bytes(value: Any) -> bool:
    return type(value) is bytes


def _is_short_string(value: Any) -> bool:
    return type(value) is str and len(value) <= MAX_SHORT_STRING_CHARS


def _is_long_string(value: Any) -> bool:
    return type(value) is str and len(value) <= MAX_LONG_STRING_CHARS


def _list_check(check: Check) -> Check:
    def is_list(value: Any) -> bool:
        return type(value) is list and len(value) <= MAX_ROWS and all(map(check, value))

    return is_list


def _row_check(checks: tuple[Check, ...]) -> Check:
    """Return a check of one row; the check drops additional items from the row."""

    def is_row(value: Any) -> bool:
        if type(value) is not list or len(value) < len(checks):
            return False
        del value[len(checks) :]
        return all(check(item) for check, item in zip(checks, value, strict=True))

    return is_row


def _section_check(checks: tuple[Check, ...]) -> Check:
    """Return a check of a section row: name, source, optionally the preceding name."""

    def is_section(value: Any) -> bool:
        if type(value) is not list or not len(checks) <= len(value) <= len(checks) + 1:
            return False
        return all(_is_long_string(item) for item in value) and checks[0](value[0])

    return is_section


def _optional_check(check: Check) -> Check:
    def is_optional(value: Any) -> bool:
        return value is None or check(value)

    return is_optional


def _scalar_check(annotation: type, is_long: bool) -> Check:
    if annotation is str:
        return _is_long_string if is_long else _is_short_string
    check_by_type: dict[type, Check] = {
        int: _is_integer,
        float: _is_number,
        bool: _is_boolean,
        bytes: _is_bytes,
    }
    return check_by_type[annotation]


def _check_of(cls: type, name: str, annotation: Any) -> Check:
    is_long = name in LONG_STRING_FIELDS
    if type(None) in get_args(annotation):
        inner = next(a for a in get_args(annotation) if a is not type(None))
        return _optional_check(_check_of(cls, name, inner))
    if get_origin(annotation) is not list and annotation is not list:
        return _scalar_check(annotation, is_long)
    if annotation == list[str]:
        return _list_check(_is_short_string)
    if annotation == list[int]:
        return _list_check(_is_integer)
    if annotation == list[list[str]]:
        pair = (_is_short_string, _is_long_string if is_long else _is_short_string)
        return _list_check(_section_check(pair) if is_long else _row_check(pair))
    types = ROW_ITEM_TYPES_BY_FIELD[(cls, name)]
    return _list_check(_row_check(tuple(_scalar_check(t, is_long) for t in types)))


def _layout_of(cls: Any) -> _Layout:
    annotation_by_name = get_type_hints(cls)
    message_fields = fields(cls)
    names = tuple(field.name for field in message_fields)
    checks = tuple(_check_of(cls, n, annotation_by_name[n]) for n in names)
    required_count = sum(field.default is MISSING for field in message_fields)
    getter = attrgetter(*names)
    get_values = getter if len(names) > 1 else lambda message: (getter(message),)
    types = [annotation_by_name[name] for name in names]
    scalars = types if set(types) <= {int, str, bytes, bool} else None
    integers = tuple(index for index, kind in enumerate(types) if kind is int)
    return _Layout(cls, names, checks, required_count, get_values, scalars, integers)


def _layouts() -> dict[int, _Layout]:
    return {number: _layout_of(cls) for number, cls in MESSAGE_TYPE_BY_NUMBER.items()}


_LAYOUT_BY_NUMBER = _layouts()
