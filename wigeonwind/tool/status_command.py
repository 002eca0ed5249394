"""`wigeonctl status`: classes, endpoints, members and text, as one entry sees them."""

from collections.abc import Mapping, Sequence
from typing import Any

from absl import flags

from wigeonwind.tool.commands import (
    ExitCode,
    command,
    define_entry,
    format_table,
    print_json,
)
from wigeonwind.tool.entry_client import EntryAnswer, call_entry

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


@command("status", "", "Show classes, endpoints, members and the text.", define_entry)
def status(arguments: Sequence[str], values: flags.FlagValues) -> ExitCode:
    """Print what the entry knows; the counts of classes are of its last minute."""
    answer = call_entry(values, "GET", "/admin/status", None)
    if not isinstance(answer, EntryAnswer):
        return answer
    if values["json"].value:
        print_json(dict(answer.fields))
    else:
        print(_page(answer.fields))
    return ExitCode.DONE


def _page(fields: Mapping[str, Any]) -> str:
    text = fields["text"]
    state = "ready" if fields["ready"] else "not ready"
    roller = ", holds the roller lease" if fields["roller"] else ""
    head = (
        f"{fields['id']} ({fields['role']}, {fields['zone']}): {state}, "
        f"{fields['links']} links{roller}\n"
        f"text version {text['version']}, digest {text['digest']}"
    )
    tables = (
        ("Classes, last minute", CLASS_TITLES, fields.get("classes", ())),
        ("Endpoints", ENDPOINT_TITLES, fields.get("endpoints", ())),
        ("Members", MEMBER_TITLES, fields["members"]),
    )
    parts = [head]
    for name, titles, rows in tables:
        cells = [[_cell(title, row.get(title)) for title in titles] for row in rows]
        parts.append(f"{name}\n{format_table(titles, cells)}")
    return "\n\n".join(parts)


def _cell(title: str, value: Any) -> str:
    """Return a value for the table; `-` if it is not known."""
    if value is None:
        return "-"
    if isinstance(value, bool):
        return "yes" if value else "no"
    return f"{value:.1%}" if title == "attainment" else str(value)
