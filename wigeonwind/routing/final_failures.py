"""Failures that callers get for requests without a response of an endpoint."""

from random import Random

from wigeonwind.outcomes import ErrorCode, Failure, Outcome
from wigeonwind.routing.refusals import STOPPING
from wigeonwind.routing.send_outcomes import (
    NotRun,
    Quarantined,
    SendOutcome,
    Stopped,
    TimedOut,
)

LONG_PROMPT_RETRY_AFTER_MS = 1_500.0
"""Retry-After of a long prompt that no engine had capacity for; bursts last seconds."""

RETRY_AFTER_MS = 250.0
"""Retry-After of a refused request; queues of engines advance within that time."""

RETRY_AFTER_JITTER = 0.6
"""Largest random extension of Retry-After, as a fraction of it, so that refused callers
do not retry at the same time."""


def failure_for(
    outcome: SendOutcome,
    may_have_run: bool,
    may_have_run_earlier: bool,
    is_long: bool,
    rng: Random,
) -> Failure:
    """Return the failure to report; 503 guarantees that the request did not run.

    `may_have_run` covers all sends, `may_have_run_earlier` all but the last one.
    """
    if isinstance(outcome, Quarantined) and not may_have_run:
        message = f"the request was not sent: {outcome.reason}"
        retry_after_ms = outcome.retry_after_ms
        code = ErrorCode.QUARANTINED
        return Failure(Outcome.NOT_RUN, code, message, 503, retry_after_ms)
    if isinstance(outcome, NotRun) and not may_have_run_earlier:
        jitter_factor = 1.0 + RETRY_AFTER_JITTER * rng.random()
        return Failure(
            Outcome.NOT_RUN,
            ErrorCode.NO_ENDPOINT,
            f"no endpoint accepted the request: {outcome.reason}",
            503,
            (LONG_PROMPT_RETRY_AFTER_MS if is_long else RETRY_AFTER_MS) * jitter_factor,
        )
    if isinstance(outcome, TimedOut):
        if not may_have_run:
            message = "the deadline passed before the request could be sent"
            return Failure(Outcome.NOT_RUN, ErrorCode.DEADLINE, message, 503)
        message = "the endpoint did not respond before the deadline"
        return Failure(Outcome.UNKNOWN, ErrorCode.DEADLINE, message, 504)
    if isinstance(outcome, Stopped):
        if not may_have_run:
            return STOPPING
        message = "this process stopped before the endpoint responded"
        return Failure(Outcome.UNKNOWN, ErrorCode.DRAINING, message, 502)
    reason = getattr(outcome, "reason", "unknown")
    message = f"no complete response from the endpoint: {reason}"
    return Failure(Outcome.UNKNOWN, ErrorCode.ENDPOINT_FAILED, message, 502)
