"""Log output: one JSON line for each decision or change of state."""

import logging
import sys
from typing import Any

import structlog

from wigeonwind.clock import SystemClock
from wigeonwind.runtime.log_output import EventRateLimiter, NonBlockingOutput


def configure_logs(level: int = logging.INFO) -> None:
    """Set up structlog; call it once, at the start of a program."""
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
        logger_factory=_factory(output),
        cache_logger_on_first_use=True,
    )


def _factory(output: NonBlockingOutput) -> Any:
    """Return what structlog makes loggers with: all share one output."""
    return lambda *_: output
