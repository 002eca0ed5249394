"""`wigeonctl status`: shows the state of the deployment as reported by one entry."""

from collections.abc import Mapping, Sequence
from typing import Any

from absl import flags

from wigeonwind.tool.commands import (
    ExitCode,
    command,
    define_entry_flags,
    format_table,
    print_json,
)
from wigeonwind.tool.entry_client import EntryResponse, call_entry

CLASS_TITLES = ("class", "attainment", "queue", "whole", "refused", "failed")
ENDPOINT_TITLES = (
    "endpoint",
    "service",
    "zone",
    "ready",
    "running",
    "slots",
    "waiting",
    "ms_per_token",
    "ejected",
)
MEMBER_TITLES = ("member", "role", "zone", "state", "linked", "text_version")


@command(
    "status",
    "",
    "Show classes, endpoints, members and configuration.",
    define_entry_flags,
)
def status(arguments: Sequence[str], values: flags.FlagValues) -> ExitCode:
    """Print the entry's status; the counts of classes cover the last minute."""
    response = call_entry(values, "GET", "/admin/status", None)
    if not isinstance(response, EntryResponse):
        return response
    if values["json"].value:
        print_json(dict(response.fields))
    else:
        print(_format_status(response.fields))
    return ExitCode.DONE


def _format_status(fields: Mapping[str, Any]) -> str:
    configuration = fields["text"]
    state = "ready" if fields["ready"] else "not ready"
    lease = ", holds the lease for rollouts" if fields["roller"] else ""
    header = (
        f"{fields['id']} ({fields['role']}, {fields['zone']}): {state}, "
        f"{fields['links']} links{lease}\n"
        f"text version {configuration['version']}, digest {configuration['digest']}"
    )
    tables = (
        ("Classes, last minute", CLASS_TITLES, fields.get("classes", ())),
        ("Endpoints", ENDPOINT_TITLES, fields.get("endpoints", ())),
        ("Members", MEMBER_TITLES, fields["members"]),
    )
    sections = [header]
    for name, titles, rows in tables:
        cells = [
            [_format_cell(title, row.get(title)) for title in titles] for row in rows
        ]
        sections.append(f"{name}\n{format_table(titles, cells)}")
    return "\n\n".join(sections)


def _format_cell(title: str, value: Any) -> str:
    """Format a value for the table; `-` stands for an unknown value."""
    if value is None:
        return "-"
    if isinstance(value, bool):
        return "yes" if value else "no"
    return f"{value:.1%}" if title == "attainment" else str(value)
