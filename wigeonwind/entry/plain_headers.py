"""Filtering of headers between callers and endpoints."""

from wigeonwind.hop_headers import HOP_BY_HOP, connection_options

CONSUMED_HEADERS = frozenset(
    {
        "host",
        "content-length",
        "expect",
        "traceparent",
        "x-customer",
        "x-request-class",
        "x-request-timeout-ms",
    }
)
"""Request headers that the entry uses itself or that the next hop sets."""

ENTRY_HEADERS = frozenset({"x-request-id", "x-outcome", "x-booking-replayed"})
"""Response headers that only the entry may set."""


def request_headers(headers: list[list[str]]) -> list[list[str]]:
    """Return the request headers for the endpoint.

    API keys, hop-by-hop headers and CONSUMED_HEADERS are dropped.

    >>> request_headers([["Authorization", "Bearer k"], ["Accept", "*/*"]])
    [['Accept', '*/*']]
    """
    dropped = HOP_BY_HOP | CONSUMED_HEADERS | connection_options(headers)
    return [
        [name, value]
        for name, value in headers
        if name.lower() not in dropped and not _is_api_key(name, value)
    ]


def _is_api_key(name: str, value: str) -> bool:
    return name.lower() == "authorization" and value[:7].lower() == "bearer "


def reply_headers(headers: list[list[str]]) -> list[tuple[str, str]]:
    """Return the response headers for the caller.

    Hop-by-hop headers, ENTRY_HEADERS and invalid header lines are dropped.

    >>> reply_headers([["Connection", "X-Hop"], ["X-Hop", "1"], ["ETag", "e"]])
    [('ETag', 'e')]
    """
    dropped = HOP_BY_HOP | ENTRY_HEADERS | connection_options(headers)
    return [
        (name, value)
        for name, value in headers
        if name.lower() not in dropped
        and _is_valid_header_text(name)
        and _is_valid_header_text(value)
    ]


def _is_valid_header_text(text: str) -> bool:
    """Return whether a text is in Latin-1 and cannot end a header line."""
    if "\r" in text or "\n" in text or "\0" in text:
        return False
    return all(ord(character) < 256 for character in text)
