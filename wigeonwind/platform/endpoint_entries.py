"""Decoding of the entries that endpoints write to the platform's store."""

import json
from math import isfinite
from typing import Annotated, Literal

import msgspec

from wigeonwind.addresses import is_valid_address, parse_address
from wigeonwind.platform.json_text import MAX_NESTING, is_nested_too_deep
from wigeonwind.routing.endpoints import Endpoint

ENDPOINTS_PREFIX = "servers/"

DRAINING = "draining"


MAX_ENTRY_BYTES = 16_384
"""Largest entry. Entries of endpoints have about 300 bytes."""

MAX_TEXT_CHARS = 1_024
"""Longest text in an entry, in characters."""

MAX_CAPACITY = 1_000_000
"""Largest number of requests that an endpoint may run at a time."""

MAX_INTEGER = 2**63 - 1
"""Largest integer in an entry, also in fields that are not used."""

MIN_PORT = 1
MAX_PORT = 65_535

Text = Annotated[str, msgspec.Meta(max_length=MAX_TEXT_CHARS)]
Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_INTEGER)]


class _Entry(msgspec.Struct):
    backend: Text
    """Service of the endpoint."""
    address: Text
    zone: Text
    state: Literal["ready", "draining"]
    capacity: Annotated[int, msgspec.Meta(ge=0, le=MAX_CAPACITY)]
    """Number of requests that the endpoint runs at a time."""
    seq: Count
    born: Count = 0
    """Unix time of the start in milliseconds; an instance id may start again."""
    version: Text | int = ""
    warmup_left_ms: Annotated[float, msgspec.Meta(ge=0.0)] = 0.0


_decode_entry = msgspec.json.Decoder(_Entry).decode


def endpoint_id(key: str) -> str:
    """Return the instance id from the key of an entry."""
    return key.removeprefix(ENDPOINTS_PREFIX)


def decode_endpoint(key: str, value: bytes) -> Endpoint | str:
    """Decode an entry; a returned string is the reason why it is invalid.

    Other programs may write entries as well, so any field may be invalid. An entry that
    is invalid in an unused field is not used either: its writer is not an endpoint.
    """
    if not value:
        return "the object cannot be decoded"
    if len(value) > MAX_ENTRY_BYTES:
        return f"the entry has more than {MAX_ENTRY_BYTES} bytes"
    if is_nested_too_deep(value):
        return f"lists and objects are nested more than {MAX_NESTING} levels deep"
    try:
        _check_all_values(value.decode())
        entry = _decode_entry(value)
        address = parse_address(entry.address)
    except (ValueError, OverflowError, RecursionError) as error:
        return str(error)
    if not is_valid_address(address) or not MIN_PORT <= address.port <= MAX_PORT:
        return f"{entry.address!r} is not the address of an endpoint"
    if not entry.backend:
        return "the service is empty"
    if not (entry.backend.isprintable() and entry.zone.isprintable()):
        return "the service or the zone has characters that are not printable"
    return Endpoint(
        endpoint_id(key),
        entry.backend,
        address,
        entry.zone,
        entry.born,
        max(1, entry.capacity),
        entry.state == DRAINING,
    )


def _parse_bounded_int(text: str) -> int:
    number = int(text)
    if abs(number) > MAX_INTEGER:
        raise ValueError(f"an integer is larger than {MAX_INTEGER}")
    return number


def _parse_finite_float(text: str) -> float:
    number = float(text)
    if not isfinite(number):
        raise ValueError("a number is not finite")
    return number


def _check_keys(pairs: list[tuple[str, object]]) -> dict[str, object]:
    value_by_key = dict(pairs)
    if len(value_by_key) < len(pairs):
        raise ValueError("an object has two values for one key")
    return value_by_key


# msgspec skips the values of unknown fields, and of duplicate keys it uses the last.
_check_all_values = json.JSONDecoder(
    parse_int=_parse_bounded_int,
    parse_float=_parse_finite_float,
    parse_constant=_parse_finite_float,
    object_pairs_hook=_check_keys,
).decode
