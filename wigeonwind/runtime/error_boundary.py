"""Boundary that keeps an unexpected error within one message or one request."""

from collections.abc import Callable
from typing import TypeVar

from structlog import get_logger

T = TypeVar("T")

log = get_logger("wigeonwind.errors")


def call_isolated(what: str, subject: str, call: Callable[[], T], default: T) -> T:
    """Return the result of `call`, or `default` if it raises an unexpected error.

    The error is logged with what was handled and with its subject, such as a key or an
    address. Errors that callers and peers can provoke are values and do not come here.
    """
    try:
        return call()
    except Exception as error:
        log.error(
            "unexpected error; the message or request was given up",
            handled=what,
            subject=subject,
            error=repr(error),
            exc_info=True,
        )
        return default
