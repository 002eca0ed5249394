"""`wigeonctl quarantine`: shows and clears parts of requests that crash endpoints."""

from collections.abc import Sequence

from absl import flags

from wigeonwind.tool.commands import (
    ExitCode,
    command,
    define_json_flag,
    format_table,
    print_error,
    print_json,
)
from wigeonwind.tool.entry_client import EntryResponse, call_entry

TITLES = ("key", "crashes", "blocked_ms")


def define_router_flags(values: flags.FlagValues) -> None:
    """Define the flags of sub-commands that call a router."""
    define_json_flag(values)
    flags.DEFINE_list(
        "entry",
        [],
        "IP:PORT of the metrics listener of a router, or several separated by commas; "
        "the next one is tried when one does not answer.",
        flag_values=values,
    )
    flags.DEFINE_string("key-file", "", "Not used by routers.", flag_values=values)


@command(
    "quarantine show",
    "",
    "Show the parts of requests that are suspected of crashing endpoints.",
    define_router_flags,
)
def show_quarantine(arguments: Sequence[str], values: flags.FlagValues) -> ExitCode:
    """Print the suspects of one router; `blocked_ms` is 0 if it may be tried."""
    response = call_entry(values, "GET", "/quarantine", None)
    if not isinstance(response, EntryResponse):
        return response
    if values["json"].value:
        print_json(dict(response.fields))
    else:
        rows = [[row[title] for title in TITLES] for row in response.fields["keys"]]
        print(format_table(TITLES, rows))
    return ExitCode.DONE


@command(
    "quarantine lift",
    "KEY",
    "Allow requests with a part again, on all routers.",
    define_router_flags,
)
def lift_quarantine(arguments: Sequence[str], values: flags.FlagValues) -> ExitCode:
    """Clear a key that `quarantine show` lists."""
    key = arguments[0]
    response = call_entry(values, "POST", f"/quarantine/{key}/lift", {})
    if not isinstance(response, EntryResponse):
        return response
    if values["json"].value:
        print_json(dict(response.fields))
    if not response.fields["lifted"]:
        print_error(f"{key} is not suspected; see wigeonctl quarantine show")
        return ExitCode.INVALID
    return ExitCode.DONE
