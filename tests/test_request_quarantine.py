"""Trials of suspect parts at one router, and the operators' view of them."""

import json

import gevent
import pytest
from routing_fleet import running_fleet
from test_crashing_prompts import STREAM, config, make_deadly, send_until_refused

from wigeonwind.routing.endpoint_connection import ConnectFailure
from wigeonwind.routing.endpoint_monitor import UnansweredSend
from wigeonwind.routing.request_keys import format_key
from wigeonwind.routing.request_quarantine import Admission
from wigeonwind.routing.send_outcomes import Quarantined
from wigeonwind.routing.suspect_messages import MAX_MESSAGES, MAX_ROWS
from wigeonwind.tool.commands import ExitCode
from wigeonwind.tool.main import run

SUSPECT = 40


def never():
    return False


@pytest.fixture
def router():
    with running_fleet(3, STREAM, config()) as fleet:
        quarantine = fleet.router.quarantine
        quarantine._quarantine.on_crash(1, [(SUSPECT,)], fleet.router._clock.now_ms())
        yield fleet.router


def admit(router, keys=(SUSPECT,), wait_ms=60.0, is_gone=never):
    limit_ms = router._clock.now_ms() + wait_ms
    return router.quarantine.admit("desk", keys, frozenset(), limit_ms, is_gone)


def test_a_suspect_is_tried_by_one_request_at_a_time(router):
    # Guards against several engines that a suspect part crashes at the same time.
    calls = [gevent.spawn(admit, router) for _ in range(5)]
    results = [call.get() for call in calls]
    trials = [each for each in results if isinstance(each, Admission)]
    assert len(trials) == 1 and trials[0].trial_keys == (SUSPECT,)
    refused = [each for each in results if isinstance(each, Quarantined)]
    assert len(refused) == 4 and all(each.retry_after_ms > 0.0 for each in refused)


def test_the_next_trial_starts_when_one_has_ended(router):
    # Guards against requests that wait in vain for a trial without a result.
    first = admit(router)
    waiting = gevent.spawn(admit, router, wait_ms=2_000.0)
    gevent.sleep(0.1)
    router.quarantine.end_trial(first, "unfinished")
    assert isinstance(waiting.get(), Admission)


def test_trials_of_different_suspects_use_different_endpoints(router):
    # Guards against a sound part that is blamed for the crash of another one's trial.
    other = SUSPECT + 2
    router.quarantine._quarantine.on_crash(2, [(other,)], router._clock.now_ms())
    first, second = admit(router), admit(router, (other,))
    assert first.trial_at.key != second.trial_at.key


def test_all_suspects_reach_the_peers_in_several_messages(router):
    # Guards against evidence of long prompts that a restarted router never learns.
    keys = tuple(range(1_000, 5_000, 2))
    router.quarantine._quarantine.on_crash(3, [keys], router._clock.now_ms())
    told = set()
    for _ in range(len(keys) // (MAX_ROWS * MAX_MESSAGES) + 1):
        messages = list(router.quarantine.full_messages("edge-1"))
        assert len(messages) <= MAX_MESSAGES
        told |= {row.key for each in messages for row in each.rows}
    assert told == {SUSPECT, *keys}


def test_peers_are_told_of_all_parts_of_a_crash_at_once(router):
    # Guards against a part that a second router learns of only by a crash of its own.
    keys = tuple(range(1_000, 1_200, 2))
    router.quarantine._quarantine.on_crash(3, [keys], router._clock.now_ms())
    messages = list(router.quarantine.change_messages("edge-1"))
    assert set(keys) <= {row.key for each in messages for row in each.rows}
    assert [each.is_full for each in messages] == [False, True, True]


def test_an_answer_that_ended_by_close_is_no_evidence_of_a_later_crash(router):
    # Guards against sound parts that count as present at a crash within a second of
    # their answer.
    monitor = router.quarantine.monitor
    (endpoint, *_) = router.endpoints.all()
    send = UnansweredSend(endpoint, "r1", (SUSPECT + 2,), lambda: None)
    monitor.add(send)
    monitor.on_lost(send)
    router.quarantine.judge_closed_answer(send, None)
    monitor.on_connect_failure(endpoint, ConnectFailure("refused", True))
    rows = router.quarantine._quarantine.rows(router._clock.now_ms())
    known = {row.key for row in rows if row.age_ms_by_crash}
    assert monitor.has_crashed(endpoint.key) and SUSPECT + 2 not in known


def test_a_caller_that_has_gone_does_not_wait_for_a_trial(router):
    # Guards against requests that are held although nobody reads the answer.
    admit(router)
    assert admit(router, wait_ms=10_000.0, is_gone=lambda: True) == Admission()


def last_json(output):
    """Return the JSON document at the end of an output that starts with log lines."""
    return json.loads(output[output.index("{\n") :])


def test_operators_see_and_lift_a_block(capsys):
    # Guards against a blocked part that operators cannot find or allow again.
    with running_fleet(3, STREAM, config()) as fleet:
        make_deadly(fleet)
        fleet.restart_after_crashes(0.2)
        send_until_refused(fleet)
        address = f"--entry={fleet.router._metrics_server.address}"
        capsys.readouterr()
        assert run(["quarantine", "show", "--json", address]) is ExitCode.DONE
        rows = last_json(capsys.readouterr().out)["keys"]
        blocked = [row["key"] for row in rows if row["blocked_ms"] > 0]
        assert blocked
        for key in blocked:
            assert run(["quarantine", "lift", key, address]) is ExitCode.DONE
        assert run(["quarantine", "show", address]) is ExitCode.DONE
        assert run(["quarantine", "show", "--json", address]) is ExitCode.DONE
        rows = last_json(capsys.readouterr().out)["keys"]
        assert not {row["key"] for row in rows} & set(blocked)
        unknown = format_key(1)
        assert run(["quarantine", "lift", unknown, address]) is ExitCode.INVALID
        assert run(["quarantine", "lift", "x", address]) is ExitCode.USAGE
