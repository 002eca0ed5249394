"""Socket addresses: an IPv4 address with a port."""

from dataclasses import dataclass
from ipaddress import AddressValueError, IPv4Address

MAX_PORT_DIGITS = 5

SHOWN_CHARS = 20
"""Characters of an invalid port that an error message contains."""


@dataclass(frozen=True, slots=True)
class SocketAddress:
    """An IPv4 address and a TCP port."""

    host: str
    port: int

    def __str__(self) -> str:
        """Return host:port."""
        return f"{self.host}:{self.port}"


def parse_address(value: str) -> SocketAddress:
    """Parse `host:port`; raise ValueError if the port is not a number.

    >>> parse_address("127.0.0.1:80")
    SocketAddress(host='127.0.0.1', port=80)
    """
    host, _, port = value.rpartition(":")
    if not (port.isascii() and port.isdigit() and len(port) <= MAX_PORT_DIGITS):
        raise ValueError(f"the port {port[:SHOWN_CHARS]!r} is not a number")
    return SocketAddress(host, int(port))


def parse_address_list(value: str) -> tuple[SocketAddress, ...]:
    """Parse a comma-separated list of addresses.

    >>> [str(a) for a in parse_address_list("127.0.0.1:1, 127.0.0.1:2")]
    ['127.0.0.1:1', '127.0.0.1:2']
    """
    parts = [part.strip() for part in value.split(",")]
    return tuple(parse_address(part) for part in parts if part)


def is_valid_address(address: SocketAddress) -> bool:
    """Return whether the host is an IPv4 address and the port is in range.

    >>> is_valid_address(SocketAddress("10.0.0.256", 80))
    False
    """
    try:
        IPv4Address(address.host)
    except AddressValueError:
        return False
    return 0 <= address.port <= 65535


def parse_valid_address(value: str) -> SocketAddress | None:
    """Return the address in `host:port`, None if it is invalid.

    >>> parse_valid_address("127.0.0.1:65536") is None
    True
    """
    try:
        address = parse_address(value)
    except ValueError:
        return None
    return address if is_valid_address(address) else None
