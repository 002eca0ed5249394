"""Set-up of logging: one JSON line per event on standard output."""

import logging
import sys
from typing import Any

import structlog

from wigeonwind.clock import SystemClock
from wigeonwind.runtime.log_output import EventRateLimiter, NonBlockingOutput


def configure_logs(level: int = logging.INFO) -> None:
    """Configure structlog; call it once at the start of a program."""
    sys.stdout.flush()
    output = NonBlockingOutput(sys.stdout.fileno())
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            EventRateLimiter(SystemClock()),
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(level),
        logger_factory=_logger_factory(output),
        cache_logger_on_first_use=True,
    )


def _logger_factory(output: NonBlockingOutput) -> Any:
    """Return a logger factory for structlog; all loggers share one output."""
    return lambda *_: output
