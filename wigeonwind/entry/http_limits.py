"""Checks of request heads, and refusals that reach callers who still send."""

import re
import socket
from email.message import Message
from typing import Any

import gevent

from wigeonwind.entry.replies import encode_reply, failure_reply, refusal
from wigeonwind.ids import new_id
from wigeonwind.outcomes import ErrorCode, Failure

REFUSAL_DRAIN_S = 0.5
REFUSAL_DRAIN_BYTES = 1_000_000
"""What is read and dropped after a refusal.

Closing a socket with unread data resets it, and the caller would lose the refusal.
"""

DRAIN_READ_BYTES = 65_536


HEADER_LINE = re.compile(
    rb"(?:[!#$%&'*+.^_`|~0-9A-Za-z-]+:[\t\x20-\x7e\x80-\xff]*)?\r\n"
)
"""A header line or the empty line that ends the head (RFC 9112 section 5).

Folded lines, lone line feeds and spaces before the colon are refused: servers differ in
how they read them, and what one takes for a header another takes for a request.
"""


class RequestRefusedError(ValueError):
    """Raised inside the server where a request breaks a bound; never leaves it."""

    def __init__(self, error: Failure) -> None:
        super().__init__(error.message)
        self.failure = error


def request_refused(message: str, code: ErrorCode, status: int) -> RequestRefusedError:
    """Return the refusal of one request."""
    return RequestRefusedError(refusal(code, message, http_status=status))


class BoundedHeaderReader:
    """Reads header lines up to a number of bytes."""

    def __init__(self, rfile: Any, limit: int) -> None:
        self._rfile = rfile
        self._remaining = limit

    def readline(self, size: int) -> bytes:
        """Read one line; raise RequestRefusedError where the head grows too large."""
        line: bytes = self._rfile.readline(min(size, self._remaining + 1))
        self._remaining -= len(line)
        if self._remaining < 0:
            message = "the request's head is too large"
            raise request_refused(message, ErrorCode.TOO_LARGE, 431)
        if line and len(line) < size and HEADER_LINE.fullmatch(line) is None:
            raise request_refused(
                "a header line is malformed", ErrorCode.BAD_REQUEST, 400
            )
        return line


def check_framing(headers: Message, max_body_bytes: int) -> None:
    """Refuse heads that two servers could frame in different ways."""
    encodings = headers.get_all("transfer-encoding", [])
    if encodings and [value.lower().strip() for value in encodings] != ["chunked"]:
        message = "the transfer encoding is not supported"
        raise request_refused(message, ErrorCode.BAD_REQUEST, 501)
    lengths = headers.get_all("content-length", [])
    if encodings and lengths:
        message = "Content-Length beside Transfer-Encoding"
        raise request_refused(message, ErrorCode.BAD_REQUEST, 400)
    if len(lengths) > 1 or not all(_is_valid_length(value) for value in lengths):
        raise request_refused("wrong Content-Length", ErrorCode.BAD_REQUEST, 400)
    if lengths and int(lengths[0]) > max_body_bytes:
        raise body_too_large(max_body_bytes)


def body_too_large(limit: int) -> RequestRefusedError:
    """Return the refusal of a body above `limit` bytes."""
    message = f"the body is larger than {limit} bytes"
    return request_refused(message, ErrorCode.TOO_LARGE, 413)


def _is_valid_length(value: str) -> bool:
    return value.isascii() and value.isdigit() and len(value) <= 18


def send_refusal(sock: Any, error: Failure) -> None:
    """Send a refusal over a connection that ends with it."""
    reply = encode_reply(failure_reply(error, new_id()))
    try:
        sock.sendall(reply)
        sock.shutdown(socket.SHUT_WR)
        with gevent.Timeout(REFUSAL_DRAIN_S, False):
            discarded = 0
            while discarded < REFUSAL_DRAIN_BYTES and (
                data := sock.recv(DRAIN_READ_BYTES)
            ):
                discarded += len(data)
    except OSError:
        pass
