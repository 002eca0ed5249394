"""Responses that this process generates itself: refusals, failures and status."""

import json
from collections.abc import Sequence

from wigeonwind.clock import MS_PER_SECOND
from wigeonwind.entry.replies import error_body, status_line
from wigeonwind.outcomes import Failure
from wigeonwind.routing.header_codec import Header


def retry_after_value(retry_after_ms: float) -> str:
    """Return a Retry-After value in seconds, with two decimals.

    Callers of this interface accept fractions. Whole seconds would exceed most of a
    short deadline.

    >>> retry_after_value(250.0)
    '0.25'
    """
    return f"{retry_after_ms / MS_PER_SECOND:.2f}"


def failure_response(
    failure: Failure, request_id: str, headers: Sequence[Header], closes: bool
) -> bytes:
    """Return the bytes of an error response.

    `headers` are the ones that the platform requires. With `closes`, the response has
    `Connection: close`.
    """
    body = error_body(failure, request_id)
    lines = [
        f"HTTP/1.1 {status_line(failure.http_status)}",
        "Content-Type: application/json",
        f"Content-Length: {len(body)}",
        f"X-Outcome: {failure.outcome.value}",
    ]
    lines += [f"{name.decode()}: {value.decode()}" for name, value in headers]
    if failure.retry_after_ms is not None:
        lines.append(f"Retry-After: {retry_after_value(failure.retry_after_ms)}")
    if closes:
        lines.append("Connection: close")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


def status_response(status: int, document: object) -> bytes:
    """Return the bytes of a JSON response that ends its connection."""
    body = json.dumps(document).encode()
    head = (
        f"HTTP/1.1 {status_line(status)}\r\nContent-Type: application/json\r\n"
        f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
    )
    return head.encode() + body
