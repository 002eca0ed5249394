"""The entry point of `wigeonctl`: finds the sub-command and runs it.

Exit codes: 0 done, 1 the configuration or file is invalid, what was asked for was not
found or an answer was wrong, 2 wrong usage, an unusable file or an error response, 3
conflict with another operator's submission, 4 no entry answered or the store is
unavailable and nothing was changed, 5 the submission may have been accepted, 6 the
operators' API key is missing or wrong.
"""

from gevent import monkey

monkey.patch_all()

import importlib
import pkgutil
import sys
from collections.abc import Sequence

from absl import flags

import wigeonwind.tool
from wigeonwind.tool.commands import COMMANDS, Command, ExitCode, print_error


def main() -> None:
    """Run the tool and exit with its exit code."""
    sys.exit(int(run(sys.argv[1:])))


def run(words: Sequence[str]) -> ExitCode:
    """Run the sub-command named by the first of `words` and return its exit code."""
    _import_commands()
    command = _find_command(words)
    if command is None:
        return _print_usage(words)
    values = flags.FlagValues()
    values.set_gnu_getopt(True)
    flags.DEFINE_bool("help", False, "Print this help.", flag_values=values)
    command.define_flags(values)
    rest = words[len(command.name.split()) :]
    try:
        arguments = values([command.name, *rest])[1:]
    except flags.Error as error:
        print_error(f"{error} (see wigeonctl {command.name} --help)")
        return ExitCode.USAGE
    if values["help"].value:
        print(_help_text(command, values))
        return ExitCode.DONE
    if not _has_argument_count(command.arguments.split(), arguments):
        usage = f"wigeonctl {command.name} {command.arguments}".rstrip()
        print_error(f"expected: {usage}")
        return ExitCode.USAGE
    return command.run(arguments, values)


def _has_argument_count(names: Sequence[str], arguments: Sequence[str]) -> bool:
    """Return whether the number of arguments is right; `NAME...` is one or more."""
    if names and names[-1].endswith("..."):
        return len(arguments) >= len(names)
    return len(arguments) == len(names)


def _import_commands() -> None:
    """Import all modules `*_command` of the package, which register the commands."""
    for module in pkgutil.iter_modules(wigeonwind.tool.__path__):
        if module.name.endswith("_command"):
            importlib.import_module(f"wigeonwind.tool.{module.name}")


def _find_command(words: Sequence[str]) -> Command | None:
    """Return the command with the longest name that `words` start with."""
    for length in (2, 1):
        command = (
            COMMANDS.get(" ".join(words[:length])) if len(words) >= length else None
        )
        if command is not None:
            return command
    return None


def _print_usage(words: Sequence[str]) -> ExitCode:
    help_requested = list(words) in ([], ["--help"], ["help"])
    stream = sys.stdout if help_requested else sys.stderr
    if not help_requested:
        print_error(f"no command {' '.join(words[:2])!r}; known commands:")
    for name, command in COMMANDS:
        line = f"wigeonctl {name} {command.arguments}".rstrip()
        print(f"  {line:<44} {command.summary}", file=stream)
    return ExitCode.DONE if list(words) in (["--help"], ["help"]) else ExitCode.USAGE


def _help_text(command: Command, values: flags.FlagValues) -> str:
    lines = [
        f"wigeonctl {command.name} {command.arguments}".rstrip(),
        command.summary,
        "",
    ]
    for name in sorted(values):
        lines.append(f"  --{name}: {values[name].help}")
    return "\n".join(lines)


if __name__ == "__main__":
    main()
