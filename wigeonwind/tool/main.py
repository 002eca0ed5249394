"""The operators' tool `wigeonctl`: finds the sub-command and runs it.

Exit codes: 0 done, 1 the text or file has mistakes, 2 wrong usage, 3 conflict with
another operator, 4 no entry or store answered and nothing was changed, 5 the
submission may be accepted, 6 the operators' key was refused.
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
    """Run the tool and exit."""
    sys.exit(int(run(sys.argv[1:])))


def run(words: Sequence[str]) -> ExitCode:
    """Run the sub-command that `words` name and return its exit code."""
    _load_commands()
    found = _find(words)
    if found is None:
        return _usage(words)
    values = flags.FlagValues()
    values.set_gnu_getopt(True)
    flags.DEFINE_bool("help", False, "Print this.", flag_values=values)
    found.define_flags(values)
    rest = words[len(found.name.split()) :]
    try:
        arguments = values([found.name, *rest])[1:]
    except flags.Error as error:
        print_error(f"{error} (see wigeonctl {found.name} --help)")
        return ExitCode.USAGE
    if values["help"].value:
        print(_help(found, values))
        return ExitCode.DONE
    if not _fits(found.arguments.split(), arguments):
        wanted = f"wigeonctl {found.name} {found.arguments}".rstrip()
        print_error(f"expected: {wanted}")
        return ExitCode.USAGE
    return found.run(arguments, values)


def _fits(names: Sequence[str], arguments: Sequence[str]) -> bool:
    """Return whether the number of arguments is right; `NAME...` takes one or more."""
    if names and names[-1].endswith("..."):
        return len(arguments) >= len(names)
    return len(arguments) == len(names)


def _load_commands() -> None:
    """Import every module `…_command` of the package, which fills the registry."""
    for module in pkgutil.iter_modules(wigeonwind.tool.__path__):
        if module.name.endswith("_command"):
            importlib.import_module(f"wigeonwind.tool.{module.name}")


def _find(words: Sequence[str]) -> Command | None:
    """Return the command whose name is the longest beginning of `words`."""
    for length in (2, 1):
        found = COMMANDS.get(" ".join(words[:length])) if len(words) >= length else None
        if found is not None:
            return found
    return None


def _usage(words: Sequence[str]) -> ExitCode:
    asked = list(words) in ([], ["--help"], ["help"])
    stream = sys.stdout if asked else sys.stderr
    if not asked:
        print_error(f"no command {' '.join(words[:2])!r}; known commands:")
    for name, item in COMMANDS:
        line = f"wigeonctl {name} {item.arguments}".rstrip()
        print(f"  {line:<44} {item.summary}", file=stream)
    return ExitCode.DONE if list(words) in (["--help"], ["help"]) else ExitCode.USAGE


def _help(found: Command, values: flags.FlagValues) -> str:
    lines = [f"wigeonctl {found.name} {found.arguments}".rstrip(), found.summary, ""]
    for name in sorted(values):
        lines.append(f"  --{name}: {values[name].help}")
    return "\n".join(lines)


if __name__ == "__main__":
    main()
