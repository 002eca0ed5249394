"""The sub-commands of the operators' tool: how one is described and registered."""

import json
import sys
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from enum import IntEnum
from typing import Any

from absl import flags

from wigeonwind.registry import Registry


class ExitCode(IntEnum):
    """Exit codes of wigeonctl, for scripts."""

    DONE = 0
    INVALID = 1
    """The text or file has mistakes."""
    USAGE = 2
    CONFLICT = 3
    """Another operator's version is in force."""
    UNAVAILABLE = 4
    """No entry or store answered; nothing was changed."""
    UNKNOWN = 5
    """The submission may be accepted; submit the same id again."""
    REFUSED = 6
    """The operators' key is missing or wrong."""


@dataclass(frozen=True)
class Command:
    """One sub-command; `run` gets the words after its name and its flags."""

    name: str
    arguments: str
    summary: str
    define_flags: Callable[[flags.FlagValues], None]
    run: Callable[[Sequence[str], flags.FlagValues], ExitCode]


COMMANDS: Registry[Command] = Registry("command")

Run = Callable[[Sequence[str], flags.FlagValues], ExitCode]


def command(
    name: str,
    arguments: str,
    summary: str,
    define_flags: Callable[[flags.FlagValues], None],
) -> Callable[[Run], Run]:
    """Return a decorator that registers a function as the sub-command `name`."""

    def add(run: Run) -> Run:
        COMMANDS.register(name)(Command(name, arguments, summary, define_flags, run))
        return run

    return add


def define_json(values: flags.FlagValues) -> None:
    """Define `--json`."""
    flags.DEFINE_bool("json", False, "Print JSON.", flag_values=values)


def define_entry(values: flags.FlagValues) -> None:
    """Define the flags with which an entry is called."""
    define_json(values)
    flags.DEFINE_list(
        "entry",
        [],
        "IP:PORT of an entry's operators' listener; of several, the next one is tried "
        "when one does not answer.",
        flag_values=values,
    )
    flags.DEFINE_string(
        "key-file", "", "File with the operators' key.", flag_values=values
    )


def print_json(fields: Any) -> None:
    """Print JSON for scripts."""
    print(json.dumps(fields, indent=2))


def print_error(message: str) -> None:
    """Print a message that says what went wrong and what to do."""
    print(f"wigeonctl: {message}", file=sys.stderr)


def format_table(titles: Sequence[str], rows: Iterable[Sequence[object]]) -> str:
    """Return a table in aligned columns.

    >>> print(format_table(("zone", "version"), [("tartu-a", 7)]))
    zone     version
    tartu-a  7
    """
    cells = [list(titles), *[[str(cell) for cell in row] for row in rows]]
    widths = [max(len(row[i]) for row in cells) for i in range(len(titles))]
    lines = (
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        for row in cells
    )
    return "\n".join(line.rstrip() for line in lines)
