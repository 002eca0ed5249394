"""`wigeonctl settings`: prints the settings reference and checks a settings file."""

from collections.abc import Sequence

from absl import flags

from wigeonwind.outcomes import Invalid
from wigeonwind.settings import read_settings, settings_reference
from wigeonwind.tool.commands import (
    ExitCode,
    command,
    define_json_flag,
    print_error,
    print_json,
)


@command("settings reference", "", "Print docs/settings.md.", define_json_flag)
def reference(arguments: Sequence[str], values: flags.FlagValues) -> ExitCode:
    """Print the reference of all settings, the contents of docs/settings.md."""
    page = settings_reference()
    if values["json"].value:
        print_json({"reference": page})
    else:
        print(page, end="")
    return ExitCode.DONE


@command("settings check", "FILE", "Check a settings file.", define_json_flag)
def check(arguments: Sequence[str], values: flags.FlagValues) -> ExitCode:
    """Check the settings file of a process."""
    try:
        with open(arguments[0], encoding="utf-8") as file:
            source = file.read()
    except (OSError, UnicodeDecodeError) as error:
        print_error(f"cannot read {arguments[0]}: {error}")
        return ExitCode.USAGE
    result = read_settings(source)
    problems = result.problems if isinstance(result, Invalid) else ()
    if values["json"].value:
        print_json({"problems": [{**vars(p), "text": str(p)} for p in problems]})
    else:
        for problem in problems:
            print_error(str(problem))
        if not problems:
            print("The settings are valid.")
    return ExitCode.INVALID if problems else ExitCode.DONE
