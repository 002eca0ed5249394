"""`wigeonctl explain`: the log lines that tell what became of one request."""

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
    define_json,
    print_error,
    print_json,
)

WINDOW_MS = 3_000.0
"""Time around a request in which changes of state may explain it: a lost dependency is
noticed within about a second, and a configuration is in force within two."""

REQUEST_EVENTS = ("request ended", "request refused", "send failed")
DELIVERED = "delivered"


@dataclass(frozen=True)
class LogLine:
    """One line of a process's log; `source` is the file that it stands in."""

    source: str
    at: datetime
    event: str
    fields: dict[str, Any]

    @property
    def request_id(self) -> str:
        """Return the request that it is about, empty if it is about none."""
        return str(self.fields.get("request_id", ""))

    @property
    def took(self) -> timedelta:
        """Return how long the request took that ended with it."""
        return timedelta(milliseconds=float(self.fields.get("took_ms") or 0.0))


def read_log(source: str, lines: Iterable[str]) -> Iterator[LogLine]:
    """Yield the lines of a log; what stands before the JSON object is left out."""
    for line in lines:
        _, brace, rest = line.partition("{")
        try:
            fields = json.loads(brace + rest)
            at = datetime.fromisoformat(fields["timestamp"])
            yield LogLine(source, at, str(fields["event"]), fields)
        except (ValueError, KeyError, TypeError, RecursionError):
            continue


def explain(
    lines: Sequence[LogLine], request_id: str, window_ms: float
) -> list[LogLine]:
    """Return the lines that bear on a request, in the order of time.

    They are its own lines, the changes of state of the same process shortly before and
    during it, and other requests that failed at its endpoint at the same time.
    """
    own = [line for line in lines if line.request_id == request_id]
    if not own:
        return []
    window = timedelta(milliseconds=window_ms)
    begin = min(line.at - line.took for line in own) - window
    end = max(line.at for line in own)
    sources = {line.source for line in own}
    endpoints = {str(line.fields.get("endpoint") or "") for line in own} - {""}

    def bears_on_it(line: LogLine) -> bool:
        if line.request_id == request_id:
            return True
        if not begin <= line.at <= end + window:
            return False
        if line.event not in REQUEST_EVENTS:
            names_endpoint = line.fields.get("endpoint") in endpoints
            return names_endpoint or line.source in sources
        has_failed = line.fields.get("outcome", DELIVERED) != DELIVERED
        return has_failed and line.fields.get("endpoint") in endpoints

    found = [line for line in lines if bears_on_it(line)]
    return sorted(found, key=lambda line: line.at)


def format_line(line: LogLine, began: datetime) -> str:
    """Return a line with its time in ms from the first one, its file and its fields."""
    after_ms = (line.at - began) / timedelta(seconds=1) * MS_PER_SECOND
    left_out = ("event", "timestamp", "level")
    fields = " ".join(
        f"{name}={value}"
        for name, value in line.fields.items()
        if name not in left_out and value not in (None, "")
    )
    return f"{after_ms:10.1f} ms  {line.source}  {line.event}: {fields}"


def _define_flags(values: flags.FlagValues) -> None:
    flags.DEFINE_float(
        "window",
        WINDOW_MS,
        "Milliseconds around the request.",
        0.0,
        flag_values=values,
    )
    define_json(values)


@command(
    "explain",
    "REQUEST LOG...",
    "Show what the logs of all processes say about one request.",
    _define_flags,
)
def run_explain(arguments: Sequence[str], values: flags.FlagValues) -> ExitCode:
    """Print the lines; exit code 1 if no file has a line of the request."""
    request_id, *paths = arguments
    lines: list[LogLine] = []
    for path in paths:
        try:
            with open(path, encoding="utf-8", errors="replace") as file:
                lines += read_log(path, file)
        except OSError as error:
            print_error(f"{path} cannot be read: {error}")
            return ExitCode.USAGE
    found = explain(lines, request_id, values["window"].value or 0.0)
    if not found:
        print_error(f"no line of request {request_id} in {len(lines)} lines")
        return ExitCode.INVALID
    if values["json"].value:
        print_json([{"file": line.source, **line.fields} for line in found])
        return ExitCode.DONE
    for line in found:
        print(format_line(line, found[0].at))
    return ExitCode.DONE
