"""`wigeonctl text`: checks, submits and shows the configuration and its versions."""

import sys
from collections.abc import Mapping, Sequence
from typing import Any

from absl import flags

from wigeonwind.ids import new_id
from wigeonwind.outcomes import Invalid
from wigeonwind.state.configuration import parse_configuration
from wigeonwind.tool.commands import (
    ExitCode,
    command,
    define_entry_flags,
    format_table,
    print_error,
    print_json,
)
from wigeonwind.tool.entry_client import (
    EntryResponse,
    NoResponse,
    call_entry,
    client_from_flags,
    report_failed_call,
)


def _define_submit_flags(values: flags.FlagValues) -> None:
    define_entry_flags(values)
    flags.DEFINE_integer(
        "base-version",
        None,
        "Configuration version that the file is an edit of.",
        flag_values=values,
    )
    flags.DEFINE_string(
        "submission-id",
        "",
        "Id of an earlier attempt; one id is accepted at most once. Default: a new id.",
        flag_values=values,
    )


@command(
    "text check",
    "FILE",
    "Check a configuration file; with --entry, show what it would change.",
    define_entry_flags,
)
def check(arguments: Sequence[str], values: flags.FlagValues) -> ExitCode:
    """Check a file locally; with `--entry`, also show what it would change."""
    source = _read_file(arguments[0])
    if source is None:
        return ExitCode.USAGE
    result = parse_configuration(source, 0)
    problems = list(result.problems) if isinstance(result, Invalid) else []
    fields: dict[str, Any] = {"problems": [], "changes": []}
    if problems:
        fields["problems"] = [{**vars(p), "text": str(p)} for p in problems]
    elif values["entry"].value:
        response = call_entry(values, "POST", "/admin/text/check", {"source": source})
        if not isinstance(response, EntryResponse):
            return response
        fields = dict(response.fields)
    _print_check(fields, values, offline=not values["entry"].value)
    return ExitCode.INVALID if fields["problems"] else ExitCode.DONE


def _print_check(
    fields: Mapping[str, Any], values: flags.FlagValues, offline: bool
) -> None:
    if values["json"].value:
        print_json(dict(fields))
        return
    _print_problems(fields["problems"])
    if fields["problems"]:
        return
    print("The configuration is valid.")
    if not offline:
        _print_changes(fields["changes"])


def _print_problems(problems: Sequence[Mapping[str, Any]]) -> None:
    for problem in problems:
        print_error(problem["text"])
    if problems:
        print_error(f"{len(problems)} error(s); nothing was submitted")


def _print_changes(changes: Sequence[str]) -> None:
    for change in changes or ["It does not change the configuration in force."]:
        print(f"  {change}")


@command(
    "text submit",
    "FILE",
    "Submit an edit of version --base-version.",
    _define_submit_flags,
)
def submit(arguments: Sequence[str], values: flags.FlagValues) -> ExitCode:
    """Submit a file and print the zones in which it is in force."""
    base_version = values["base-version"].value
    if base_version is None or base_version < 0:
        print_error(
            "--base-version=N is missing: the version you edited, as shown by "
            "`wigeonctl text show --json` (0 for the first configuration)"
        )
        return ExitCode.USAGE
    source = _read_file(arguments[0])
    if source is None:
        return ExitCode.USAGE
    submission_id = values["submission-id"].value or new_id()
    client = client_from_flags(values)
    if isinstance(client, Invalid):
        print_error(str(client.problems[0]))
        return ExitCode.USAGE
    fields = {
        "base_version": base_version,
        "submission_id": submission_id,
        "source": source,
    }
    result = client.value.call("PUT", "/admin/text", fields)
    return _report_submit(result, submission_id, bool(values["json"].value))


def _report_submit(
    result: EntryResponse | NoResponse, submission_id: str, as_json: bool
) -> ExitCode:
    if isinstance(result, NoResponse) and result.maybe_processed:
        print_error(_resubmit_message(result.reason, submission_id))
        return ExitCode.UNKNOWN
    exit_code = report_failed_call(result)
    if exit_code is not None or isinstance(result, NoResponse):
        return exit_code or ExitCode.UNAVAILABLE
    if as_json:
        print_json({"status": result.status, **result.fields})
    if result.status == 200:
        if not as_json:
            zones = ", ".join(result.fields["confirmed_zones"]) or "none"
            version = result.fields["version"]
            print(f"Accepted as version {version}; in force in zones: {zones}.")
        return ExitCode.DONE
    return _report_rejection(result, submission_id)


def _report_rejection(result: EntryResponse, submission_id: str) -> ExitCode:
    """Print why a submission was not accepted and what to do about it."""
    fields = result.fields
    if result.status == 422:
        _print_problems(fields["problems"])
        return ExitCode.INVALID
    if result.status == 409:
        print_error(
            f"version {fields['version']} is in force, not the one you edited; apply "
            f"your edit to it and submit with --base-version={fields['version']}. "
            "Changes since the version you edited:"
        )
        for change in fields["changes"]:
            print_error(f"  {change}")
        return ExitCode.CONFLICT
    if fields.get("maybe_accepted"):
        print_error(_resubmit_message(fields["reason"], submission_id))
        return ExitCode.UNKNOWN
    reason = fields.get("reason", f"status {result.status}")
    print_error(f"not accepted, nothing was changed ({reason}); try again later")
    return ExitCode.UNAVAILABLE


def _resubmit_message(reason: str, submission_id: str) -> str:
    return (
        f"the configuration may have been accepted ({reason}); run the same command "
        f"again with --submission-id={submission_id}, so that it is accepted only once"
    )


@command("text show", "", "Print the configuration in force.", define_entry_flags)
def show(arguments: Sequence[str], values: flags.FlagValues) -> ExitCode:
    """Print the configuration in force, and its version on standard error."""
    response = call_entry(values, "GET", "/admin/text", None)
    if not isinstance(response, EntryResponse):
        return response
    if values["json"].value:
        print_json(dict(response.fields))
    else:
        sys.stdout.write(response.fields["source"])
        print(f"wigeonctl: version {response.fields['version']}", file=sys.stderr)
    return ExitCode.DONE


@command(
    "text status", "", "Show the version in force at each member.", define_entry_flags
)
def status(arguments: Sequence[str], values: flags.FlagValues) -> ExitCode:
    """Print the configuration version at each member, with its zone."""
    response = call_entry(values, "GET", "/admin/status", None)
    if not isinstance(response, EntryResponse):
        return response
    if values["json"].value:
        print_json(dict(response.fields))
        return ExitCode.DONE
    configuration = response.fields["text"]
    print(f"Version {configuration['version']}, digest {configuration['digest']}")
    if configuration["refused_version"] > configuration["version"]:
        print(
            f"Version {configuration['refused_version']} is invalid and not in force:"
        )
        for problem in configuration["refused_problems"]:
            print(f"  {problem['text']}")
    members = response.fields.get("members", [])
    titles = ("member", "role", "zone", "state", "text_version")
    rows = [[str(member.get(title, "")) for title in titles] for member in members]
    print(format_table(titles, rows))
    return ExitCode.DONE


def _read_file(path: str) -> str | None:
    """Read a file, `-` for standard input; None, with an error, if unreadable."""
    try:
        if path == "-":
            return sys.stdin.read()
        with open(path, encoding="utf-8") as file:
            return file.read()
    except (OSError, UnicodeDecodeError) as error:
        print_error(f"cannot read {path}: {error}")
        return None
