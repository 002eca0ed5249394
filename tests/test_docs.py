"""Consistency of the pages in docs/ with the code."""

import re
from pathlib import Path

import pytest
from test_end_to_end import book, call, chat, client_of

from wigeonwind import daemon
from wigeonwind.entry.metrics_sink import HELP_BY_METRIC
from wigeonwind.entry.replies import HTTP_STATUS_BY_CODE
from wigeonwind.outcomes import ErrorCode, Outcome
from wigeonwind.runtime import process
from wigeonwind.runtime.demo import CONFIGURATION_PATH, start_fleet
from wigeonwind.settings import settings_reference
from wigeonwind.tool.commands import ExitCode

DOCS = Path(__file__).parents[1] / "docs"


def page(name):
    return (DOCS / name).read_text(encoding="utf-8")


def test_settings_page_is_the_generated_one():
    # Guards against settings.md with settings that are missing or were removed.
    assert page("settings.md") == settings_reference()


def test_every_error_code_and_outcome_is_documented():
    # Guards against an error code, status or outcome that callers cannot look up in
    # errors.md.
    rows = re.findall(r"^\| `(\w+)` \| ([\d, ]+) \|", page("errors.md"), re.M)
    assert {code for code, _ in rows} == {code.value for code in ErrorCode}
    for code, statuses in rows:
        usual = HTTP_STATUS_BY_CODE[ErrorCode(code)]
        assert str(usual) in statuses.split(", "), code
    assert all(f"| `{outcome.value}` |" in page("errors.md") for outcome in Outcome)


def test_every_exit_code_is_documented():
    # Guards against an exit code whose meaning scripts cannot look up in OPERATIONS.md.
    table = page("OPERATIONS.md").split("## Exit codes")[1].split("## ")[0]
    of_daemon, of_tool = table.split("| `wigeonctl`")
    names = {**vars(daemon), **vars(process)}
    codes = {names[name] for name in names if name.startswith("EXIT_")}
    assert {int(each) for each in re.findall(r"^\| (\d+)", of_daemon, re.M)} == codes
    listed = {int(each) for each in re.findall(r"^\| (\d+)", of_tool, re.M)}
    assert listed == {int(code) for code in ExitCode}


def rendered_names():
    fleet = start_fleet(CONFIGURATION_PATH.read_text(encoding="utf-8"))
    try:
        assert chat(client_of(fleet), "len=3")
        assert book(fleet, "k")[0].status_code == 200
        call(fleet.callers[0], "POST", "/v1/chat/completions", body=b"{")
        pages = [each.metrics.render() for each in [*fleet.entries, *fleet.sidecars]]
        classes = list(fleet.entries[0].node.configuration.catalog.class_by_name)
    finally:
        fleet.stop()
    names = set()
    for each in pages:
        names |= set(re.findall(r"^# TYPE (\S+)", each.decode(), re.M))
    suffix = "|".join(name.replace("-", "_") for name in classes)
    return {re.sub(f"_({suffix})_ms$", "_CLASS_ms", name) for name in names}


@pytest.fixture(scope="module")
def metric_names():
    return {name for name in rendered_names() if not name.endswith("_created")}


def test_every_metric_is_documented(metric_names):
    # Guards against alerts on a metric that operators cannot look up in metrics.md.
    listed = set(re.findall(r"`(wigeonwind_\w+)`", page("metrics.md")))
    expected = metric_names | {
        f"wigeonwind_{name}_total" for name in HELP_BY_METRIC if name[6:11] != "first"
    }
    expected -= {"wigeonwind_entry_whole_total"}
    assert metric_names and expected == listed
