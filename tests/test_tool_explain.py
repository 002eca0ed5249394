"""`wigeonctl explain`: from a request's id to its cause, over several logs."""

import json

import pytest

from wigeonwind.tool.commands import ExitCode
from wigeonwind.tool.main import run


def line(second, event, **fields):
    stamp = f"2026-12-04T10:00:{second:06.3f}Z"
    return json.dumps({**fields, "event": event, "timestamp": stamp})


ENTRY_1 = [
    line(
        1.0,
        "lost connection to the store; serving the last known data",
        prefix="config/",
    ),
    line(20.0, "endpoint entry removed from the store", endpoint="i-1"),
    line(21.0, "request ended", request_id="r1", endpoint="i-1", outcome="broken"),
    line(21.1, "request ended", request_id="r2", endpoint="i-2", outcome="broken"),
    "not a log line",
]
ENTRY_2 = [
    "  20.9000 edge-2 "
    + line(20.9, "request ended", request_id="r3", endpoint="i-1", outcome="broken"),
    line(20.9, "request ended", request_id="r4", endpoint="i-1", outcome="delivered"),
    line(
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
    # Guards against a search by hand over the logs of all machines.
    assert run(["explain", "r1", *logs]) is ExitCode.DONE
    shown = capsys.readouterr().out.splitlines()
    assert [text.split("  ")[-1].split(":")[0] for text in shown] == [
        "endpoint entry removed from the store",
        "request ended",
        "request ended",
    ]
    assert "r3" in shown[1] and "r1" in shown[2]


def test_the_window_can_be_widened(logs, capsys):
    # Guards against a cause that lies further back.
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
def test_what_cannot_be_found_is_said(logs, words, code, capsys):
    # Guards against an empty answer that looks like a request without trouble.
    more = logs if len(words) == 2 else []
    assert run([*words, *more]) is code
    assert capsys.readouterr().err
