"""Failures with which this process answers requests that it does not forward."""

from dataclasses import replace

from wigeonwind.outcomes import ErrorCode, Failure, Outcome

NO_CONFIGURATION_RETRY_MS = 300.0
"""Retry-After of a process that has not read the configuration yet; it soon will."""

STOPPING_RETRY_MS = 50.0
"""Retry-After of a request that a stopping process refuses; other processes can take it
at once."""

STOPPING = Failure(
    Outcome.NOT_RUN,
    ErrorCode.DRAINING,
    "this process is stopping; retry to reach another one",
    503,
    STOPPING_RETRY_MS,
)


def stopping_failure(retry_ms: float) -> Failure:
    """Return the refusal of a stopping process; `retry_ms` is its Retry-After."""
    return replace(STOPPING, retry_after_ms=retry_ms)


NO_CONFIGURATION = Failure(
    Outcome.NOT_RUN,
    ErrorCode.STORE_UNAVAILABLE,
    "no configuration has been read yet",
    503,
    NO_CONFIGURATION_RETRY_MS,
)

UNEXPECTED = Failure(
    Outcome.UNKNOWN,
    ErrorCode.ENDPOINT_FAILED,
    "unexpected error in this process; the request may have run",
    502,
)

NO_ROUTE = Failure(
    Outcome.NOT_RUN,
    ErrorCode.UNKNOWN_SERVICE,
    "no route matches this host and path",
    404,
)

UNAUTHORIZED = Failure(
    Outcome.NOT_RUN,
    ErrorCode.UNAUTHORIZED,
    "the API key is missing or unknown",
    401,
)
