"""`wigeonctl`: exit codes and messages, offline and against an entry."""

import json
from collections.abc import Iterator
from pathlib import Path

import pytest
from gevent.pywsgi import WSGIServer
from test_configuration_parse import GOOD
from test_operators_api import EDITED, Entry

from wigeonwind.outcomes import Ok
from wigeonwind.state.configuration import parse_catalog
from wigeonwind.state.configuration_schema import SECTION_BY_KIND
from wigeonwind.state.memory_store import MemoryStore
from wigeonwind.tool.commands import ExitCode
from wigeonwind.tool.main import run

EXAMPLES = Path(__file__).parent.parent / "examples"


class ToolHarness:
    """Runs `wigeonctl` with a configuration file against an entry."""

    def __init__(self, tmp_path: Path) -> None:
        self.entry = Entry(MemoryStore())
        self.server = WSGIServer(("127.0.0.1", 0), self.entry.api, log=None)
        self.server.start()
        self.entry_flag = f"--entry=127.0.0.1:{self.server.server_port}"
        self.path = tmp_path / "text.ini"

    def run(self, command: str, source: str = GOOD) -> ExitCode:
        self.path.write_text(source)
        arguments = command.replace("FILE", str(self.path)).replace(
            "ENTRY", self.entry_flag
        )
        return run(arguments.split())


@pytest.fixture
def tool(tmp_path: Path) -> Iterator[ToolHarness]:
    harness = ToolHarness(tmp_path)
    yield harness
    harness.server.stop(timeout=0.1)


@pytest.mark.parametrize("name", ["polluvili", "guild"])
def test_the_example_configurations_are_valid(name: str):
    result = parse_catalog((EXAMPLES / name / "text.ini").read_text(), 1)
    assert isinstance(result, Ok), result
    assert len(result.value.customer_by_name) == 10


def test_a_configuration_is_checked_without_an_entry(tool: ToolHarness, capsys):
    assert tool.run("text check FILE") == ExitCode.DONE
    invalid = GOOD.replace("weight = 2", "weight = 0")
    assert tool.run("text check FILE --json", invalid) == ExitCode.INVALID
    out = capsys.readouterr().out.partition("\n")[2]
    assert json.loads(out)["problems"][0]["line"] == 37


def test_submit_check_show_and_status_against_an_entry(tool: ToolHarness, capsys):
    assert tool.run("text submit FILE --base-version=0 ENTRY") == ExitCode.DONE
    assert "version 1; in force in zones: tartu-a" in capsys.readouterr().out
    assert tool.run("text check FILE ENTRY", EDITED) == ExitCode.DONE
    assert "weight changes from 2 to 3" in capsys.readouterr().out
    assert tool.run("text show ENTRY") == ExitCode.DONE
    assert capsys.readouterr().out == GOOD
    assert tool.run("text status ENTRY") == ExitCode.DONE
    assert capsys.readouterr().out.startswith("Version 1, digest ")


def test_a_conflict_names_the_changes_and_the_version_to_edit(
    tool: ToolHarness, capsys
):
    tool.run("text submit FILE --base-version=0 ENTRY")
    tool.run("text submit FILE --base-version=1 ENTRY", EDITED)
    code = tool.run("text submit FILE --base-version=1 ENTRY")
    assert code == ExitCode.CONFLICT
    error = capsys.readouterr().err
    assert "--base-version=2" in error
    assert "weight changes from 2 to 3" in error


def test_an_unknown_outcome_names_the_id_to_submit_again(tool: ToolHarness, capsys):
    tool.entry.store.faults.fail_before = 99
    code = tool.run("text submit FILE --base-version=0 ENTRY --submission-id=s9")
    assert code == ExitCode.UNKNOWN
    assert "--submission-id=s9" in capsys.readouterr().err


def test_the_next_entry_is_tried_when_one_does_not_answer(tool: ToolHarness, capsys):
    tool.run("text submit FILE --base-version=0 ENTRY")
    tool.entry_flag = tool.entry_flag.replace("=", "=127.0.0.1:1,")
    assert tool.run("text show ENTRY") == ExitCode.DONE
    assert tool.run("text show --entry=127.0.0.1:1") == ExitCode.UNAVAILABLE


@pytest.mark.parametrize(
    ("command", "words"),
    [
        ("text submit FILE ENTRY", "--base-version=N is missing"),
        ("text submit", "expected: wigeonctl text submit FILE"),
        ("text chek FILE", "no command 'text chek'"),
        ("text show", "--entry = '': expected IP:PORT of an entry"),
        ("text show --entri=1", "Unknown command line flag 'entri'"),
        ("settings check /nonexistent", "cannot read /nonexistent"),
    ],
)
def test_wrong_usage_reports_what_was_expected(
    tool: ToolHarness, capsys, command, words
):
    assert tool.run(command) == ExitCode.USAGE
    assert words in capsys.readouterr().err


def test_a_settings_file_is_checked(tool: ToolHarness, capsys):
    assert tool.run("settings check FILE", "[node]\nid = x\n") == ExitCode.INVALID
    assert "[node] role" in capsys.readouterr().err
    assert tool.run("settings reference") == ExitCode.DONE
    assert "## [node]" in capsys.readouterr().out


def test_the_configuration_page_lists_every_key_and_exit_code():
    page = (EXAMPLES.parent / "docs" / "configuration.md").read_text()
    keys = {key for kind in SECTION_BY_KIND.values() for key in kind.model_fields}
    assert [key for key in sorted(keys) if f"`{key}`" not in page] == []
    assert [code for code in ExitCode if f"| {code.value} |" not in page] == []
