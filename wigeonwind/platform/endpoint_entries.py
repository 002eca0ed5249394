"""Decoding of the entries that endpoints write to the platform's store."""

from typing import Literal

import msgspec

from wigeonwind.addresses import SocketAddress, is_valid_address, parse_address
from wigeonwind.routing.endpoints import Endpoint

ENDPOINTS_PREFIX = "servers/"

DRAINING = "draining"


class _Entry(msgspec.Struct):
    backend: str
    """Service of the endpoint."""
    address: str
    zone: str
    state: Literal["ready", "draining"]
    capacity: int
    """Number of requests that the endpoint runs at a time."""
    seq: int
    born: int = 0
    """Unix time of the start in milliseconds; an instance id may start again."""


_decode_entry = msgspec.json.Decoder(_Entry).decode


def endpoint_id(key: str) -> str:
    """Return the instance id from the key of an entry."""
    return key.removeprefix(ENDPOINTS_PREFIX)


def decode_endpoint(key: str, value: bytes) -> Endpoint | str:
    """Decode an entry; a returned string is the reason why it is invalid.

    Other programs may write entries as well, so any field may be invalid.
    """
    try:
        entry = _decode_entry(value)
        address = parse_address(entry.address)
    except (msgspec.DecodeError, ValueError) as error:
        return str(error)
    if not is_valid_address(SocketAddress(address.host, address.port)):
        return f"{entry.address!r} is not an address"
    return Endpoint(
        endpoint_id(key),
        entry.backend,
        address,
        entry.zone,
        entry.born,
        max(1, entry.capacity),
        entry.state == DRAINING,
    )
