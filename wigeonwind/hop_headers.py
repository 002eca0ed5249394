"""HTTP headers that concern one connection only and are never passed on."""

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
"""Headers that concern one connection only (RFC 9110 section 7.6.1)."""


def connection_options(headers: Iterable[list[str]]) -> set[str]:
    """Return the headers that a Connection header declares hop-by-hop.

    >>> connection_names([["Connection", "X-Hop, close"], ["X-Hop", "1"]]) == {
    ...     "x-hop", "close"
    ... }
    True
    """
    names: set[str] = set()
    for name, value in headers:
        if name.lower() == "connection":
            names |= {part.strip().lower() for part in value.split(",")}
    return names
