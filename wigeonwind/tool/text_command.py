"""`wigeonctl text`: check, submit and show the configuration text, and its spread."""

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
    define_entry,
    format_table,
    print_error,
    print_json,
)
from wigeonwind.tool.entry_client import (
    EntryAnswer,
    NoAnswer,
    call_entry,
    client_from_flags,
    exit_code_of,
)


def _define_submit(values: flags.FlagValues) -> None:
    define_entry(values)
    flags.DEFINE_integer(
        "base-version", None, "Version that was edited.", flag_values=values
    )
    flags.DEFINE_string(
        "submission-id",
        "",
        "Id of an earlier try of this submission; it is never accepted twice.",
        flag_values=values,
    )


@command(
    "text check", "FILE", "Check a text; with --entry, show changes.", define_entry
)
def check(arguments: Sequence[str], values: flags.FlagValues) -> ExitCode:
    """Check a file here, and ask an entry for the changes if one is given."""
    source = _read_file(arguments[0])
    if source is None:
        return ExitCode.USAGE
    result = parse_configuration(source, 0)
    problems = list(result.problems) if isinstance(result, Invalid) else []
    fields: dict[str, Any] = {"problems": [], "changes": []}
    if problems:
        fields["problems"] = [{**vars(p), "text": str(p)} for p in problems]
    elif values["entry"].value:
        answer = call_entry(values, "POST", "/admin/text/check", {"source": source})
        if not isinstance(answer, EntryAnswer):
            return answer
        fields = dict(answer.fields)
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
    print("The text is valid.")
    if not offline:
        _print_changes(fields["changes"])


def _print_problems(problems: Sequence[Mapping[str, Any]]) -> None:
    for problem in problems:
        print_error(problem["text"])
    if problems:
        print_error(f"{len(problems)} mistake(s); nothing was submitted")


def _print_changes(changes: Sequence[str]) -> None:
    for sentence in changes or ["It changes nothing of what is in force."]:
        print(f"  {sentence}")


@command(
    "text submit", "FILE", "Submit an edit of version --base-version.", _define_submit
)
def submit(arguments: Sequence[str], values: flags.FlagValues) -> ExitCode:
    """Submit a file; the answer says in which zones it is in force."""
    base_version = values["base-version"].value
    if base_version is None or base_version < 0:
        print_error(
            "--base-version=N is missing: the version you edited, as shown by "
            "`wigeonctl text show --json` (0 for the first text)"
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
    result: EntryAnswer | NoAnswer, submission_id: str, as_json: bool
) -> ExitCode:
    if isinstance(result, NoAnswer) and result.maybe_done:
        print_error(_again(result.reason, submission_id))
        return ExitCode.UNKNOWN
    failed = exit_code_of(result)
    if failed is not None or isinstance(result, NoAnswer):
        return failed or ExitCode.UNAVAILABLE
    if as_json:
        print_json({"status": result.status, **result.fields})
    if result.status == 200:
        if not as_json:
            zones = ", ".join(result.fields["confirmed_zones"]) or "none"
            version = result.fields["version"]
            print(f"Accepted as version {version}; in force in zones: {zones}.")
        return ExitCode.DONE
    return _report_refusal(result, submission_id)


def _report_refusal(result: EntryAnswer, submission_id: str) -> ExitCode:
    """Say why a submission is not in force, and what to do."""
    fields = result.fields
    if result.status == 422:
        _print_problems(fields["problems"])
        return ExitCode.INVALID
    if result.status == 409:
        print_error(
            f"version {fields['version']} is in force, not the one you edited; apply "
            f"your edit to it and submit with --base-version={fields['version']}. "
            "It changed:"
        )
        for sentence in fields["changes"]:
            print_error(f"  {sentence}")
        return ExitCode.CONFLICT
    if fields.get("maybe_accepted"):
        print_error(_again(fields["reason"], submission_id))
        return ExitCode.UNKNOWN
    reason = fields.get("reason", f"status {result.status}")
    print_error(f"not accepted, nothing was changed ({reason}); try again later")
    return ExitCode.UNAVAILABLE


def _again(reason: str, submission_id: str) -> str:
    return (
        f"the text may be accepted ({reason}); run the same command again with "
        f"--submission-id={submission_id}, which cannot accept it twice"
    )


@command("text show", "", "Print the text in force.", define_entry)
def show(arguments: Sequence[str], values: flags.FlagValues) -> ExitCode:
    """Print the text; its version is in the JSON form."""
    answer = call_entry(values, "GET", "/admin/text", None)
    if not isinstance(answer, EntryAnswer):
        return answer
    if values["json"].value:
        print_json(dict(answer.fields))
    else:
        sys.stdout.write(answer.fields["source"])
        print(f"wigeonctl: version {answer.fields['version']}", file=sys.stderr)
    return ExitCode.DONE


@command("text status", "", "Show which version is in force where.", define_entry)
def status(arguments: Sequence[str], values: flags.FlagValues) -> ExitCode:
    """Print the version of each member and zone."""
    answer = call_entry(values, "GET", "/admin/status", None)
    if not isinstance(answer, EntryAnswer):
        return answer
    if values["json"].value:
        print_json(dict(answer.fields))
        return ExitCode.DONE
    text = answer.fields["text"]
    print(f"Version {text['version']}, digest {text['digest']}")
    if text["refused_version"] > text["version"]:
        print(f"Version {text['refused_version']} is invalid and not in force:")
        for problem in text["refused_problems"]:
            print(f"  {problem['text']}")
    members = answer.fields.get("members", [])
    titles = ("member", "role", "zone", "state", "text_version")
    rows = [[str(member.get(title, "")) for title in titles] for member in members]
    print(format_table(titles, rows))
    return ExitCode.DONE


def _read_file(path: str) -> str | None:
    """Return the text of a file, `-` for standard input; None if it has none."""
    try:
        if path == "-":
            return sys.stdin.read()
        with open(path, encoding="utf-8") as file:
            return file.read()
    except (OSError, UnicodeDecodeError) as error:
        print_error(f"cannot read {path}: {error}")
        return None
