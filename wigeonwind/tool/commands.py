"""Registry, common flags and output helpers of the sub-commands of `wigeonctl`."""

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
    """The configuration or file is invalid, what was asked for was not found, or an
    answer was wrong (`load --check-answers`)."""
    USAGE = 2
    """A wrong flag or argument, a file that cannot be read or written, or an error
    response of the entry."""
    CONFLICT = 3
    """Another operator has submitted a newer version."""
    UNAVAILABLE = 4
    """No entry answered or the store is unavailable; nothing was changed."""
    UNKNOWN = 5
    """The submission may have been accepted; repeat it with the same submission id."""
    REFUSED = 6
    """The operators' API key is missing or wrong."""


@dataclass(frozen=True)
class Command:
    """One sub-command; `run` gets the positional arguments and the flag values.

    `arguments` names the positional arguments in the usage line; a last `NAME...`
    stands for one or more.
    """

    name: str
    arguments: str
    summary: str
    define_flags: Callable[[flags.FlagValues], None]
    run: Callable[[Sequence[str], flags.FlagValues], ExitCode]


COMMANDS: Registry[Command] = Registry("command")

CommandFunction = Callable[[Sequence[str], flags.FlagValues], ExitCode]


def command(
    name: str,
    arguments: str,
    summary: str,
    define_flags: Callable[[flags.FlagValues], None],
) -> Callable[[CommandFunction], CommandFunction]:
    """Return a decorator that registers a function as the sub-command `name`."""

    def register(run: CommandFunction) -> CommandFunction:
        COMMANDS.register(name)(Command(name, arguments, summary, define_flags, run))
        return run

    return register


def define_json_flag(values: flags.FlagValues) -> None:
    """Define the flag `--json`."""
    flags.DEFINE_bool("json", False, "Print JSON.", flag_values=values)


def define_entry_flags(values: flags.FlagValues) -> None:
    """Define the flags of sub-commands that call an entry."""
    define_json_flag(values)
    flags.DEFINE_list(
        "entry",
        [],
        "IP:PORT of the operators' listener of an entry, or several separated by "
        "commas; the next one is tried when one does not answer.",
        flag_values=values,
    )
    flags.DEFINE_string(
        "key-file", "", "File with the operators' API key.", flag_values=values
    )


def print_json(fields: Any) -> None:
    """Print indented JSON on standard output."""
    print(json.dumps(fields, indent=2))


def print_error(message: str) -> None:
    """Print an error message on standard error."""
    print(f"wigeonctl: {message}", file=sys.stderr)


def format_table(titles: Sequence[str], rows: Iterable[Sequence[object]]) -> str:
    """Return a table with aligned columns.

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
