"""Status of classes and endpoints for operators."""

import json

import gevent
import pytest
from openai import OpenAI

from wigeonwind.clock import ManualClock
from wigeonwind.entry.recent_outcomes import WINDOW_MS, RecentOutcomes
from wigeonwind.runtime.demo import CONFIGURATION_PATH, start_fleet
from wigeonwind.tool.commands import ExitCode
from wigeonwind.tool.main import run


def test_counts_of_a_class_cover_the_last_minute():
    clock = ManualClock(0.0)
    recent = RecentOutcomes(clock)
    for outcome in ("whole", "attained", "whole", "not-run", "unknown", "cancelled"):
        recent.count("chat", outcome)
    clock.advance(WINDOW_MS / 2)
    recent.count("dossier", "whole")
    chat = {"whole": 2, "refused": 1, "failed": 1, "attainment": 0.25}
    assert recent.rows_by_class()["chat"] == chat
    clock.advance(WINDOW_MS / 2)
    assert list(recent.rows_by_class()) == ["dossier"]
    clock.advance(WINDOW_MS)
    assert recent.rows_by_class() == {}


@pytest.fixture
def fleet():
    fleet = start_fleet(CONFIGURATION_PATH.read_text(encoding="utf-8"))
    yield fleet
    fleet.stop()


def test_status_shows_classes_endpoints_members_and_version(fleet, capsys):
    client = OpenAI(base_url=f"http://{fleet.callers[0]}/v1", api_key="any")
    client.completions.create(model="barley-7b", prompt="stock? len=3")
    status = fleet.entries[0].status
    with gevent.Timeout(10.0):
        # A sidecar is ready only after it has polled its endpoint once.
        while not all(row["ready"] for row in status()["endpoints"]):
            gevent.sleep(0.01)
    entry = f"--entry={fleet.operators[0]}"
    assert run(["status", entry, "--json"]) == ExitCode.DONE
    fields = json.loads(capsys.readouterr().out)
    [chat] = [row for row in fields["classes"] if row["whole"]]
    assert (chat["class"], chat["attainment"], chat["refused"]) == ("chat", 1.0, 0)
    assert len(fields["endpoints"]) == 4
    assert all(row["ready"] and not row["ejected"] for row in fields["endpoints"])
    assert fields["text"]["version"] == 1
    assert run(["status", entry]) == ExitCode.DONE
    page = capsys.readouterr().out
    assert "100.0%" in page
    assert all(row["endpoint"] in page for row in fields["endpoints"])
    assert "text version 1" in page
