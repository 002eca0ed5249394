"""Replies to callers: status lines, error bodies and outcome headers."""

import json
import math
from dataclasses import dataclass
from http import HTTPStatus

from wigeonwind.clock import MS_PER_SECOND
from wigeonwind.outcomes import ErrorCode, Failure, Outcome

Headers = list[tuple[str, str]]

HTTP_STATUS_BY_CODE = {
    ErrorCode.BAD_REQUEST: 400,
    ErrorCode.UNAUTHORIZED: 401,
    ErrorCode.UNKNOWN_SERVICE: 404,
    ErrorCode.UNKNOWN_CLASS: 400,
    ErrorCode.UNKNOWN_CUSTOMER: 403,
    ErrorCode.UNKNOWN_MODEL: 404,
    ErrorCode.TOO_LARGE: 413,
    ErrorCode.RATE_LIMITED: 429,
    ErrorCode.OVERLOADED: 503,
    ErrorCode.NO_ENDPOINT: 503,
    ErrorCode.DEADLINE: 504,
    ErrorCode.ENDPOINT_FAILED: 502,
    ErrorCode.BOOKING_CONFLICT: 422,
    ErrorCode.BOOKING_UNKNOWN: 503,
    ErrorCode.STORE_UNAVAILABLE: 503,
    ErrorCode.DRAINING: 503,
    ErrorCode.CANCELLED: 499,
    ErrorCode.QUARANTINED: 503,
}
"""Default HTTP status of each error code."""

OPENAI_TYPE_BY_STATUS = {
    401: "authentication_error",
    403: "permission_error",
    429: "rate_limit_error",
}
"""The `type` field that OpenAI clients expect; others get one for 4xx or 5xx."""

STOPPING_RETRY_AFTER_MS = 1000.0
"""Retry-After of a stopping entry; the load balancer sends the retry to another."""


def refusal(
    code: ErrorCode,
    message: str,
    retry_after_ms: float | None = None,
    http_status: int | None = None,
) -> Failure:
    """Return the failure of a request that was not run."""
    return failure(Outcome.NOT_RUN, code, message, retry_after_ms, http_status)


def stopping_refusal() -> Failure:
    """Return the refusal of a request for which a stopping entry has no time left."""
    message = "the entry is stopping"
    return refusal(ErrorCode.DRAINING, message, STOPPING_RETRY_AFTER_MS)


def failure(
    outcome: Outcome,
    code: ErrorCode,
    message: str,
    retry_after_ms: float | None = None,
    http_status: int | None = None,
) -> Failure:
    """Return a failure; `http_status` defaults to the status of its code."""
    status = http_status or HTTP_STATUS_BY_CODE[code]
    return Failure(outcome, code, message, status, retry_after_ms)


@dataclass(frozen=True)
class Reply:
    """A complete HTTP reply to a caller."""

    status: int
    headers: Headers
    body: bytes


def retry_after_seconds(retry_after_ms: float) -> int:
    """Return the Retry-After value: seconds, rounded up, at least 1.

    >>> [retry_after_seconds(ms) for ms in (0.0, 1000.0, 1001.0)]
    [1, 1, 2]
    """
    return max(1, math.ceil(retry_after_ms / MS_PER_SECOND))


def status_line(status: int) -> str:
    """Return status and reason phrase.

    >>> status_line(404)
    '404 Not Found'
    """
    try:
        return f"{status} {HTTPStatus(status).phrase}"
    except ValueError:
        return f"{status} Status"


def error_body(error: Failure, request_id: str) -> bytes:
    """Return the JSON body of a failure, with the fields that OpenAI clients read."""
    fields = {
        "code": error.code.value,
        "message": error.message,
        "request_id": request_id,
    }
    inner = {
        **fields,
        "type": _openai_type(error.http_status),
        "param": None,
        "outcome": error.outcome.value,
    }
    return json.dumps({"error": inner, **fields}).encode()


def _openai_type(status: int) -> str:
    default_type = "invalid_request_error" if status < 500 else "server_error"
    return OPENAI_TYPE_BY_STATUS.get(status, default_type)


def failure_reply(error: Failure, request_id: str) -> Reply:
    """Return the reply to a request that got no complete response."""
    body = error_body(error, request_id)
    headers = [
        ("Content-Type", "application/json"),
        ("Content-Length", str(len(body))),
        ("X-Request-Id", request_id),
        ("X-Outcome", error.outcome.value),
    ]
    if error.retry_after_ms is not None:
        seconds = retry_after_seconds(error.retry_after_ms)
        headers.append(("Retry-After", str(seconds)))
    return Reply(error.http_status, headers, body)


def encode_reply(reply: Reply) -> bytes:
    """Return the encoded bytes of a reply with `Connection: close`."""
    headers = [*reply.headers, ("Connection", "close")]
    lines = [f"HTTP/1.1 {status_line(reply.status)}"]
    lines += [f"{name}: {value}" for name, value in headers]
    head = "\r\n".join([*lines, "", ""])
    return head.encode("latin-1") + reply.body


def json_reply(status: int, document: object, request_id: str) -> Reply:
    """Return a JSON reply."""
    body = json.dumps(document).encode()
    headers = [
        ("Content-Type", "application/json"),
        ("Content-Length", str(len(body))),
        ("X-Request-Id", request_id),
    ]
    return Reply(status, headers, body)
