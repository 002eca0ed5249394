"""`wigeonctl explain`: finds the log lines that explain the outcome of a request."""

import json
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass
from datetime import datetime, timedelta
from typing import Any

from absl import flags

from wigeonwind.clock import MS_PER_SECOND
from wigeonwind.tool.commands import (
    ExitCode,
    command,
    define_json_flag,
    print_error,
    print_json,
)

WINDOW_MS = 3_000.0
"""Time before and after a request in which state changes are taken as a possible cause.
A lost dependency is detected within about 1 s, and a configuration takes effect within
2 s."""

REQUEST_EVENTS = ("request ended", "request refused", "send failed")
DELIVERED = "delivered"


@dataclass(frozen=True)
class LogLine:
    """One line of a process's log, which was read from the file `path`."""

    path: str
    at: datetime
    event: str
    fields: dict[str, Any]

    @property
    def request_id(self) -> str:
        """Return the id of the request that the line is about, or an empty string."""
        return str(self.fields.get("request_id", ""))

    @property
    def duration(self) -> timedelta:
        """Return the duration of the request whose end the line reports, else 0."""
        return timedelta(milliseconds=float(self.fields.get("took_ms") or 0.0))


def read_log(path: str, lines: Iterable[str]) -> Iterator[LogLine]:
    """Parse lines with a JSON object, possibly after a prefix; skip other lines."""
    for line in lines:
        _, brace, rest = line.partition("{")
        try:
            fields = json.loads(brace + rest)
            at = datetime.fromisoformat(fields["timestamp"])
            yield LogLine(path, at, str(fields["event"]), fields)
        except (ValueError, KeyError, TypeError, RecursionError):
            continue


def explain(
    lines: Sequence[LogLine], request_id: str, window_ms: float
) -> list[LogLine]:
    """Return the lines that are relevant to a request, in order of time.

    These are the lines with its id and, from `window_ms` before its start until
    `window_ms` after its end, events of the processes that logged it, events of any
    process that name its endpoint, and failures of other requests at that endpoint.
    """
    matches = [line for line in lines if line.request_id == request_id]
    if not matches:
        return []
    window = timedelta(milliseconds=window_ms)
    begin = min(line.at - line.duration for line in matches) - window
    end = max(line.at for line in matches)
    paths = {line.path for line in matches}
    endpoints = {str(line.fields.get("endpoint") or "") for line in matches} - {""}

    def is_relevant(line: LogLine) -> bool:
        if line.request_id == request_id:
            return True
        if not begin <= line.at <= end + window:
            return False
        if line.event not in REQUEST_EVENTS:
            names_endpoint = line.fields.get("endpoint") in endpoints
            return names_endpoint or line.path in paths
        has_failed = line.fields.get("outcome", DELIVERED) != DELIVERED
        return has_failed and line.fields.get("endpoint") in endpoints

    found = [line for line in lines if is_relevant(line)]
    return sorted(found, key=lambda line: line.at)


def format_line(line: LogLine, first_at: datetime) -> str:
    """Format a line: its time in ms after the first line, its file and its fields."""
    after_ms = (line.at - first_at) / timedelta(seconds=1) * MS_PER_SECOND
    omitted = ("event", "timestamp", "level")
    fields = " ".join(
        f"{name}={value}"
        for name, value in line.fields.items()
        if name not in omitted and value not in (None, "")
    )
    return f"{after_ms:10.1f} ms  {line.path}  {line.event}: {fields}"


def _define_flags(values: flags.FlagValues) -> None:
    flags.DEFINE_float(
        "window",
        WINDOW_MS,
        "Milliseconds before and after the request to search for causes.",
        0.0,
        flag_values=values,
    )
    define_json_flag(values)


@command(
    "explain",
    "REQUEST LOG...",
    "Show what the logs of all processes say about one request.",
    _define_flags,
)
def run_explain(arguments: Sequence[str], values: flags.FlagValues) -> ExitCode:
    """Print the lines; exit code 1 if no file has a line about the request."""
    request_id, *paths = arguments
    lines: list[LogLine] = []
    for path in paths:
        try:
            with open(path, encoding="utf-8", errors="replace") as file:
                lines += read_log(path, file)
        except OSError as error:
            print_error(f"cannot read {path}: {error}")
            return ExitCode.USAGE
    found = explain(lines, request_id, values["window"].value or 0.0)
    if not found:
        print_error(f"request {request_id} not found in {len(lines)} log lines")
        return ExitCode.INVALID
    if values["json"].value:
        print_json([{"file": line.path, **line.fields} for line in found])
        return ExitCode.DONE
    for line in found:
        print(format_line(line, found[0].at))
    return ExitCode.DONE
