"""Unique identifiers of requests, claims and process incarnations."""

import os
import time

RANDOM_BYTES = 16
"""Size of a random identifier; 128 bits make a collision practically impossible."""


def new_id() -> str:
    """Return a new random identifier of 32 hexadecimal digits."""
    return os.urandom(RANDOM_BYTES).hex()


def new_incarnation() -> int:
    """Return a number larger than that of any earlier start of this process.

    It is the wall-clock time in microseconds: a VM without persistent storage has no
    other way to order the restarts of a member.
    """
    return time.time_ns() // 1000
