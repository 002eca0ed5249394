"""One checker for each promise of docs/design.md, section 1.1.

A checker reads a history and yields violations with their evidence. It is sound: it
reports only what no allowed behaviour can produce. Its docstring says which statement
it checks and what it cannot see.
"""

from collections.abc import Callable, Iterator
from dataclasses import dataclass

from wigeonwind.checking.history import History, Record
from wigeonwind.registry import Registry


@dataclass(frozen=True)
class Violation:
    """A broken promise: its number, what is wrong, and the records that show it."""

    promise: str
    message: str
    evidence: tuple[Record, ...]


Checker = Callable[[History], Iterator[Violation]]

CHECKERS: Registry[Checker] = Registry("promise")
