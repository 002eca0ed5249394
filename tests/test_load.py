"""The load plan, the load report and `wigeonctl load`."""

import json
from dataclasses import replace

import pytest
from numpy.random import default_rng

from wigeonwind.catalog import LatencyTarget, TargetKind
from wigeonwind.checking.history import End, Piece, RequestSeen, read_history
from wigeonwind.load.arrivals import ARRIVALS, LoadStage, arrival_times
from wigeonwind.load.plan import ClassMix, LoadPlan, RequestGenerator
from wigeonwind.load.report import make_report
from wigeonwind.runtime.demo import CONFIGURATION_PATH, start_fleet
from wigeonwind.tool.commands import ExitCode
from wigeonwind.tool.main import run

STAGES = (LoadStage(10_000.0, 50.0, 50.0), LoadStage(10_000.0, 50.0, 150.0))


@pytest.mark.parametrize("process", ARRIVALS.names())
def test_arrivals_follow_the_rates_of_the_stages(process):
    times = list(arrival_times(process, STAGES, default_rng(1)))
    assert times == sorted(times)
    assert 350 < sum(at_ms < 10_000 for at_ms in times) < 650
    assert 800 < sum(at_ms >= 10_000 for at_ms in times) < 1200
    assert times[-1] <= 20_000


def test_a_seed_determines_the_requests_and_prompts_and_keys_recur():
    mix = (ClassMix("chat", 3.0), ClassMix("dossier"))
    plan = LoadPlan(STAGES, mix, booking_fraction=0.2, seed=7)
    requests = list(RequestGenerator(plan).requests())
    assert requests == list(RequestGenerator(plan).requests())
    prompts = [each.prompt for each in requests if each.prompt]
    assert len({prompt[:1000] for prompt in prompts}) < len(set(prompts))
    keys = [each.key for each in requests if each.key]
    assert 0 < len(set(keys)) < len(keys)
    chats = list(RequestGenerator(replace(plan, send_only=("chat",))).requests())
    assert chats == [each for each in requests if each.request_class == "chat"]


def test_latency_counts_from_the_intended_send_time():
    # Guards against coordinated omission: a generator that falls behind its plan must
    # not hide the time that callers would have waited.
    target_by_class = {"chat": LatencyTarget(TargetKind.FIRST_TOKEN, 1500.0)}
    record = RequestSeen(
        1, "e", "s", "chat", "c", 0.0, 5000.0, 5200.0, End.WHOLE, 5100.0, key="k"
    )
    records = [record, RequestSeen(2, "e", "s", "chat", "c", 0, 0, 9, End.REFUSED)]
    report = make_report([*records], 1, target_by_class)
    chat = report.classes[0]
    assert chat.first_token.max_ms == pytest.approx(5100.0, rel=0.01)
    assert (chat.attainment, report.late_sends) == (0.0, 1)


def test_a_wrong_answer_is_counted():
    pieces = (Piece(1.0, "w0-00000000"),)
    record = RequestSeen(
        1, "e", "s", "chat", "c", 0, 0, 9, End.WHOLE, 1.0, "len=1", pieces=pieces
    )
    assert make_report([record], 1).wrong_answers == 1


@pytest.mark.parametrize(
    "words",
    [
        [],
        ["--target=192.0.2.1:80"],
        ["--target=127.0.0.1:0"],
        ["--target=127.0.0.1:80", "--stages=1:5000"],
        ["--target=127.0.0.1:80", "--mix=chat:x"],
    ],
)
def test_load_with_invalid_flags_or_beyond_loopback_is_rejected(words):
    assert run(["load", *words]) is ExitCode.USAGE


def test_the_command_checks_answers_and_writes_report_and_history(tmp_path):
    fleet = start_fleet(CONFIGURATION_PATH.read_text(encoding="utf-8"), entries=2)
    try:
        targets = ",".join(str(address) for address in fleet.callers)
        code = run(
            [
                "load",
                f"--target={targets}",
                "--stages=0.5:60",
                "--mix=chat:1:20:5",
                "--customers=buyer-1",
                "--bookings=0.3",
                "--booking-retries=0",
                "--check-answers",
                f"--text={CONFIGURATION_PATH}",
                f"--json={tmp_path / 'report.json'}",
                f"--history={tmp_path / 'history.jsonl'}",
                f"--plot={tmp_path / 'plot.png'}",
            ]
        )
    finally:
        fleet.stop()
    assert code is ExitCode.DONE
    report = json.loads((tmp_path / "report.json").read_text())
    history = read_history(str(tmp_path / "history.jsonl"))
    ends = [record.end for record in history.of(RequestSeen)]
    assert len(ends) == report["offered"] > 10
    assert set(ends) == {End.WHOLE}
    assert (tmp_path / "plot.png").stat().st_size > 1000
