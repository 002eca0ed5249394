"""Registry of the checkers, one for each promise of docs/design.md, section 1.1.

A checker reads a history and yields violations with their evidence. It is sound: it
reports only what no allowed behaviour can produce. Its docstring names the statement
that it checks and the violations that it cannot detect.
"""

from collections.abc import Callable, Iterator
from dataclasses import dataclass

from wigeonwind.checking.history import History, Record
from wigeonwind.registry import Registry


@dataclass(frozen=True)
class Violation:
    """A broken promise: its number, a message, and the records that prove it."""

    promise: str
    message: str
    evidence: tuple[Record, ...]


Checker = Callable[[History], Iterator[Violation]]

CHECKERS: Registry[Checker] = Registry("promise")
