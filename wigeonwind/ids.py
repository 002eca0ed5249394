"""Identifiers wide enough that two never meet: requests, claims, incarnations."""

import os
import time

RANDOM_BYTES = 16
"""Width of a random identifier; 128 bits make a collision practically impossible."""


def new_id() -> str:
    """Return a new random identifier of 32 hexadecimal digits."""
    return os.urandom(RANDOM_BYTES).hex()


def new_incarnation() -> int:
    """Return a number larger than that of any earlier start of this process.

    Wall-clock microseconds order restarts of the same member; a VM that keeps nothing
    has no other source.
    """
    return time.time_ns() // 1000
