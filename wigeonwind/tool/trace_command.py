"""`wigeonctl trace`: shows the spans of one request, from JSON Lines files."""

import json
from collections.abc import Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass
from datetime import datetime, timedelta
from typing import Any

from absl import flags

from wigeonwind.tool.commands import (
    ExitCode,
    command,
    define_json_flag,
    print_error,
    print_json,
)

OMITTED_ATTRIBUTES = ("request_id",)


@dataclass(frozen=True)
class SpanRow:
    """One span; times are in microseconds, `begin_us` since the Unix epoch."""

    trace_id: str
    span_id: str
    parent_id: str
    name: str
    node: str
    begin_us: int
    duration_us: int
    attributes: Mapping[str, Any]


def read_spans(lines: Iterable[str]) -> Iterator[SpanRow]:
    """Parse the spans; skip truncated lines and lines that are not spans."""
    for line in lines:
        try:
            yield _parse_span(json.loads(line))
        except (ValueError, KeyError, TypeError, AttributeError, RecursionError):
            continue


def _parse_span(fields: Any) -> SpanRow:
    begin = datetime.fromisoformat(fields["start_time"])
    end = datetime.fromisoformat(fields["end_time"])
    resource = fields.get("resource", {}).get("attributes", {})
    microsecond = timedelta(microseconds=1)
    return SpanRow(
        _normalize_id(fields["context"]["trace_id"]),
        _normalize_id(fields["context"]["span_id"]),
        _normalize_id(fields.get("parent_id") or ""),
        str(fields["name"]),
        str(resource.get("node.id", "")),
        (begin - datetime.fromtimestamp(0, begin.tzinfo)) // microsecond,
        (end - begin) // microsecond,
        dict(fields.get("attributes", {})),
    )


def _normalize_id(identifier: str) -> str:
    return identifier.removeprefix("0x").lower()


def choose_trace(spans: Sequence[SpanRow], request_id: str, trace: str) -> str:
    """Return the id of the first trace with the id `trace` or a span of the request.

    Return an empty string if there is none.
    """
    wanted_id = _normalize_id(trace)
    for span in spans:
        is_request = request_id and span.attributes.get("request_id") == request_id
        if span.trace_id == wanted_id or is_request:
            return span.trace_id
    return ""


def format_span_tree(spans: Sequence[SpanRow]) -> Iterator[str]:
    """Yield a line for each span: offset and duration in ms, name, node, attributes.

    A span whose parent is not in the files, such as the caller's, is shown as a root.
    """
    begin_us = min((span.begin_us for span in spans), default=0)
    ids = {span.span_id for span in spans}
    rows_by_parent: dict[str, list[SpanRow]] = {}
    for span in sorted(spans, key=lambda each: each.begin_us):
        parent = span.parent_id if span.parent_id in ids else ""
        rows_by_parent.setdefault(parent, []).append(span)
    stack = [(0, span) for span in reversed(rows_by_parent.pop("", []))]
    while stack:
        depth, span = stack.pop()
        yield _format_span(span, depth, begin_us)
        children = rows_by_parent.pop(span.span_id, [])
        stack += [(depth + 1, child) for child in reversed(children)]


def _format_span(span: SpanRow, depth: int, begin_us: int) -> str:
    offset_ms = (span.begin_us - begin_us) / 1000
    attributes = " ".join(
        f"{name}={value}"
        for name, value in sorted(span.attributes.items())
        if name not in OMITTED_ATTRIBUTES
    )
    name = "  " * depth + span.name
    line = f"{offset_ms:10.1f} {span.duration_us / 1000:10.1f}  {name:<22} {span.node}"
    return f"{line}  {attributes}".rstrip()


def _define_flags(values: flags.FlagValues) -> None:
    define_json_flag(values)
    flags.DEFINE_string("request", "", "Id of the request.", flag_values=values)
    flags.DEFINE_string("trace", "", "Id of the trace.", flag_values=values)


@command("trace", "FILE...", "Show the spans of one request.", _define_flags)
def trace(arguments: Sequence[str], values: flags.FlagValues) -> ExitCode:
    """Print the request's spans as a tree, with times in milliseconds."""
    request_id, trace_id = str(values["request"].value), str(values["trace"].value)
    if bool(request_id) == bool(trace_id):
        print_error("give either --request=ID or --trace=ID")
        return ExitCode.USAGE
    spans: list[SpanRow] = []
    for path in arguments:
        try:
            with open(path, encoding="utf-8", errors="replace") as file:
                spans += read_spans(file)
        except OSError as error:
            print_error(f"cannot read {path}: {error}")
            return ExitCode.USAGE
    chosen = choose_trace(spans, request_id, trace_id)
    rows = [span for span in spans if span.trace_id == chosen]
    if not chosen:
        print_error(
            f"no spans of {request_id or trace_id} among the {len(spans)} spans read"
        )
        return ExitCode.INVALID
    if values["json"].value:
        print_json({"trace_id": chosen, "spans": [vars(span) for span in rows]})
        return ExitCode.DONE
    print(f"trace {chosen}")
    print(f"{'offset ms':>10} {'ms':>10}  hop")
    for line in format_span_tree(rows):
        print(line)
    return ExitCode.DONE
