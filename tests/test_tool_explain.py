"""`wigeonctl explain`: the cause of a request's failure across several logs."""

import json

import pytest

from wigeonwind.tool.commands import ExitCode
from wigeonwind.tool.main import run


def log_line(second, event, **fields):
    timestamp = f"2026-12-04T10:00:{second:06.3f}Z"
    return json.dumps({**fields, "event": event, "timestamp": timestamp})


ENTRY_1 = [
    log_line(
        1.0,
        "lost connection to the store; serving the last known data",
        prefix="config/",
    ),
    log_line(20.0, "endpoint entry removed from the store", endpoint="i-1"),
    log_line(21.0, "request ended", request_id="r1", endpoint="i-1", outcome="broken"),
    log_line(21.1, "request ended", request_id="r2", endpoint="i-2", outcome="broken"),
    "not a log line",
]
ENTRY_2 = [
    "  20.9000 edge-2 "
    + log_line(
        20.9, "request ended", request_id="r3", endpoint="i-1", outcome="broken"
    ),
    log_line(
        20.9, "request ended", request_id="r4", endpoint="i-1", outcome="delivered"
    ),
    log_line(
        20.9,
        "lost connection to the store; serving the last known data",
        prefix="servers/",
    ),
]


@pytest.fixture
def logs(tmp_path):
    paths = []
    for name, lines in (("one", ENTRY_1), ("two", ENTRY_2)):
        path = tmp_path / f"{name}.log"
        path.write_text("\n".join(lines) + "\n")
        paths.append(str(path))
    return paths


def test_the_cause_of_a_failed_request_is_shown(logs, capsys):
    # Guards against missing the removal of the endpoint as the cause, or the failures
    # of other requests at the same endpoint.
    assert run(["explain", "r1", *logs]) is ExitCode.DONE
    lines = capsys.readouterr().out.splitlines()
    assert [line.split("  ")[-1].split(":")[0] for line in lines] == [
        "endpoint entry removed from the store",
        "request ended",
        "request ended",
    ]
    assert "r3" in lines[1] and "r1" in lines[2]


def test_the_time_window_can_be_widened(logs, capsys):
    # Guards against missing a cause that lies outside the default window.
    assert run(["explain", "r1", *logs, "--window=25000", "--json"]) is ExitCode.DONE
    rows = json.loads(capsys.readouterr().out)
    assert (
        rows[0]["event"] == "lost connection to the store; serving the last known data"
    )
    assert {row.get("request_id") for row in rows} == {None, "r1", "r3"}


@pytest.mark.parametrize(
    ("words", "code"),
    [
        (["explain", "r9"], ExitCode.INVALID),
        (["explain", "r1", "/none/such.log"], ExitCode.USAGE),
    ],
)
def test_an_unknown_request_or_file_is_reported(logs, words, code, capsys):
    # Guards against empty output, which would look like a request without problems.
    files = logs if len(words) == 2 else []
    assert run([*words, *files]) is code
    assert capsys.readouterr().err
