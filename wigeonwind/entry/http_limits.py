"""Validation of request heads, and refusals while a caller is still sending."""

import re
import socket
from email.message import Message
from typing import Any

import gevent

from wigeonwind.entry.replies import encode_reply, failure_reply, refusal
from wigeonwind.ids import new_id
from wigeonwind.outcomes import ErrorCode, Failure
from wigeonwind.runtime.fair_receive import receive

REFUSAL_DRAIN_S = 0.5
REFUSAL_DRAIN_BYTES = 1_000_000
"""Limits, in seconds and bytes, of what is read and discarded after a refusal.

Closing a socket that has unread data resets it, and the caller may lose the refusal.
"""

DRAIN_READ_BYTES = 65_536

HEADER_LINE = re.compile(
    rb"(?:[!#$%&'*+.^_`|~0-9A-Za-z-]+:[\t\x20-\x7e\x80-\xff]*)?\r\n"
)
"""A header line or the empty line that ends the head (RFC 9112 section 5).

Folded lines, bare line feeds and spaces before the colon are refused: servers parse
them differently, which permits request smuggling.
"""


class RequestRefusedError(ValueError):
    """Raised and handled inside the server for a malformed or too large request."""

    def __init__(self, error: Failure) -> None:
        super().__init__(error.message)
        self.failure = error


def request_refused(message: str, code: ErrorCode, status: int) -> RequestRefusedError:
    """Return the exception that refuses a request."""
    return RequestRefusedError(refusal(code, message, http_status=status))


class BoundedHeaderReader:
    """Reads header lines up to a total of `limit` bytes."""

    def __init__(self, rfile: Any, limit: int) -> None:
        self._rfile = rfile
        self._remaining = limit

    def readline(self, size: int) -> bytes:
        """Read a line; raise RequestRefusedError if malformed or over the limit."""
        line: bytes = self._rfile.readline(min(size, self._remaining + 1))
        self._remaining -= len(line)
        if self._remaining < 0:
            message = "the request head is too large"
            raise request_refused(message, ErrorCode.TOO_LARGE, 431)
        if line and len(line) < size and HEADER_LINE.fullmatch(line) is None:
            raise request_refused(
                "a header line is malformed", ErrorCode.BAD_REQUEST, 400
            )
        return line


def check_framing(headers: Message, max_body_bytes: int) -> None:
    """Raise RequestRefusedError for a head with ambiguous or unsupported framing.

    Framing is ambiguous if two servers could find different ends of the body.
    """
    encodings = headers.get_all("transfer-encoding", [])
    if encodings and [value.lower().strip() for value in encodings] != ["chunked"]:
        message = "unsupported Transfer-Encoding: only chunked is supported"
        raise request_refused(message, ErrorCode.BAD_REQUEST, 501)
    lengths = headers.get_all("content-length", [])
    if encodings and lengths:
        message = "both Content-Length and Transfer-Encoding are present"
        raise request_refused(message, ErrorCode.BAD_REQUEST, 400)
    if len(lengths) > 1 or not all(_is_valid_length(value) for value in lengths):
        raise request_refused(
            "invalid or repeated Content-Length", ErrorCode.BAD_REQUEST, 400
        )
    if lengths and int(lengths[0]) > max_body_bytes:
        raise body_too_large(max_body_bytes)


def body_too_large(limit: int) -> RequestRefusedError:
    """Return the exception that refuses a body above `limit` bytes."""
    message = f"the body is larger than {limit} bytes"
    return request_refused(message, ErrorCode.TOO_LARGE, 413)


def _is_valid_length(value: str) -> bool:
    return value.isascii() and value.isdigit() and len(value) <= 18


def send_refusal(sock: Any, error: Failure, linger_s: float = REFUSAL_DRAIN_S) -> None:
    """Send a refusal as the last reply of a connection; it lingers for `linger_s`."""
    reply = encode_reply(failure_reply(error, new_id()))
    try:
        sock.sendall(reply)
        sock.shutdown(socket.SHUT_WR)
        with gevent.Timeout(linger_s, False):
            discarded = 0
            while discarded < REFUSAL_DRAIN_BYTES and (
                data := receive(sock, DRAIN_READ_BYTES)
            ):
                discarded += len(data)
    except OSError:
        pass
