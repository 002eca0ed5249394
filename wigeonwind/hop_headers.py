"""Hop-by-hop HTTP headers, which a proxy must not forward."""

from collections.abc import Iterable

HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
"""Headers that apply to a single connection (RFC 9110 section 7.6.1)."""


def connection_options(headers: Iterable[list[str]]) -> set[str]:
    """Return the lower-case names that Connection headers declare hop-by-hop.

    >>> connection_options([["Connection", "X-Hop, close"], ["X-Hop", "1"]]) == {
    ...     "x-hop", "close"
    ... }
    True
    """
    names: set[str] = set()
    for name, value in headers:
        if name.lower() == "connection":
            names |= {part.strip().lower() for part in value.split(",")}
    return names
