"""Log output: one JSON line for each change of state, on standard error."""

import logging
import sys

import structlog


def configure_logs(level: int = logging.INFO) -> None:
    """Set up structlog; call it once, at the start of a program."""
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(level),
        logger_factory=structlog.WriteLoggerFactory(file=sys.stderr),
    )
