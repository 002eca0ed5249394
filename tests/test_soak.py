"""The soak: short runs of fixed seeds, and histories that violate each check."""

import json
from dataclasses import replace

import gevent
import pytest
from gevent import monkey
from gevent import socket as gevent_socket

from wigeonwind.addresses import SocketAddress
from wigeonwind.checking.child_process import HUNG_EXIT_CODE
from wigeonwind.soak.loop_lag import CHECK_MS, LoopLag
from wigeonwind.soak.loopback_proxy import LoopbackProxy, ProxyFault
from wigeonwind.soak.run_soak import SoakOptions, run_soak
from wigeonwind.soak.soak_checks import (
    CONFIGURATION_APPLY_MS,
    DRAIN_MS,
    find_violations,
)
from wigeonwind.soak.soak_faults import SOAK_FAULTS, draw_faults
from wigeonwind.soak.soak_fleet import GRACE_S, SoakFleet, loopback_network
from wigeonwind.soak.soak_records import (
    PART_CRASH,
    SETTLE_MS,
    ConfigSeen,
    CrashingPart,
    Disturbance,
    DrainSeen,
    EndSeen,
    ExchangeSeen,
    Kind,
    RunSeen,
    Silence,
    SoakHistory,
    soak_now_ms,
)

# Seeds that failed because of a fault of the worker double: when it appended an extra
# response (`ExtraResponse`), its own response had a fixed, signed body instead of the
# id of the request.
REGRESSION_SEEDS = (101, 201)


@pytest.mark.parametrize("seed", REGRESSION_SEEDS)
def test_the_promises_hold_under_faults(seed, tmp_path):
    # Guards against violations that occur only in real processes under faults.
    result = run_soak(SoakOptions(seed, seconds=5.0, gap_s=0.5, callers=6), tmp_path)
    assert result.violations == []
    assert sum(each.status == 200 for each in result.history.exchanges) > 100


def test_a_seed_determines_the_faults():
    # Guards against failed seeds that cannot be replayed.
    first = list(draw_faults(7, 20.0, 0.5, ()))
    assert first == list(draw_faults(7, 20.0, 0.5, ()))
    assert first != list(draw_faults(8, 20.0, 0.5, ()))
    assert {name for _, name in first} <= set(SOAK_FAULTS.names())


def whole_exchange(kind=Kind.ONCE, **fields):
    values = {"status": 200, "body": b"r1", "signature": "w1", "is_whole": True}
    return ExchangeSeen("r1", kind, "router-0", 100.0, 150.0, **{**values, **fields})


RUN = RunSeen("r1", "w1", "desks", 120.0, "mill", False)
CONFIG = ConfigSeen(3, 0.0, "desks", True)
LATER_CONFIG = ConfigSeen(6, 200.0, "engines", False)
EVENTS = b"".join(b"id: %d\ndata: r1/%d\n\n" % (n, n) for n in range(1, 13))


def history(exchange=None, runs=(RUN,), **fields):
    exchanges = [exchange or whole_exchange()]
    return SoakHistory(exchanges, list(runs), **{"configs": [CONFIG], **fields})


def broken_promises(records):
    return {each.promise for each in find_violations(records)}


def test_an_allowed_history_has_no_violations():
    # Guards against checks that report allowed behaviour.
    assert broken_promises(history()) == set()
    stream = whole_exchange(Kind.STREAM, body=EVENTS.replace(b"r1", b"a1"))
    stream.request_id = "a1"
    runs = (replace(RUN, request_id="a1"),)
    assert broken_promises(history(stream, runs)) == set()


# The end of a disturbance that no longer suspends any check.
LONG_AGO_MS = -SETTLE_MS - CONFIGURATION_APPLY_MS - 1_000.0
# A time at which LATER_CONFIG must be in force.
LATE_MS = 200.0 + CONFIGURATION_APPLY_MS + 1_000.0


# The crashes of a part, and the time from which sound requests must be served.
PART = CrashingPart(0xD3, 1_000.0, 30_000.0, [1_100.0 + n for n in range(5)])
SETTLED_MS = PART.crash_times_ms[-1] + 2 * SETTLE_MS


def prompts(*sent_ms, kind=Kind.STREAM, part=0xB1, **fields):
    """Return exchanges with prompts, and the executions of those with status 200."""
    values = {"status": 200, "signature": "w1", **fields}
    exchanges = [
        ExchangeSeen(
            f"{number:04x}",
            kind,
            "router-0",
            at_ms,
            at_ms + 50.0,
            prompt_parts=(0xA1, part, number),
            **values,
        )
        for number, at_ms in enumerate(sent_ms)
    ]
    runs = [
        RunSeen(each.request_id, "w1", "engines", each.sent_ms + 5.0, "mill", False)
        for each in exchanges
    ]
    return exchanges, runs


def history_of_prompts(exchanges, runs, **fields):
    return SoakHistory(exchanges, runs, crashing_parts=[PART], **fields)


def crashing_history(count, from_ms, **fields):
    """Return a history in which requests with a crashing part reach a worker."""
    sent_ms = [from_ms + 100.0 * number for number in range(count)]
    exchanges, runs = prompts(*sent_ms, kind=Kind.CRASHING, part=PART.part_id, status=0)
    return history_of_prompts(exchanges, runs, **fields)


def sound_history(begun, refused, **fields):
    """Return a history with 20 sound streams before a part crashes and some later."""
    earlier, runs = prompts(*(10.0 * n for n in range(20)))
    times_ms = [SETTLED_MS + 100.0 * n for n in range(begun + refused)]
    later, _ = prompts(*times_ms, status=503, signature="")
    for each in later[:begun]:
        each.status, each.signature = 200, "w1"
    for each in later:
        each.request_id = f"f{each.request_id}"
    runs += [
        RunSeen(each.request_id, "w1", "engines", each.sent_ms, "mill", False)
        for each in later[:begun]
    ]
    return history_of_prompts(earlier + later, runs, **fields)


def test_what_a_crashing_part_may_do_is_no_violation():
    # Guards against checks of crashing parts that report what is allowed, or what
    # another fault explains.
    late_ms = PART.crash_times_ms[-1] + SETTLE_MS + 500.0
    paused = [Disturbance("router-0", "pause", late_ms - 1_000.0, 20_000.0)]
    killed = [Disturbance("router-0", "kill", 1_500.0, 1_600.0)]
    for records in (
        crashing_history(3, late_ms),
        crashing_history(20, PART.crash_times_ms[-1]),
        crashing_history(20, late_ms, disturbances=paused),
        crashing_history(20, late_ms, disturbances=killed),
    ):
        assert "crashing-part" not in broken_promises(records)
    slow = [Disturbance("w1", "slow", SETTLED_MS, 20_000.0)]
    for records in (
        sound_history(10, 10),
        sound_history(0, 19),
        sound_history(0, 20, disturbances=slow),
    ):
        assert "sound-prompts" not in broken_promises(records)


@pytest.mark.parametrize(
    ("made", "promise"),
    [
        (history(runs=(RUN, replace(RUN, worker="w2"))), "run-once"),
        (
            history(
                runs=[
                    replace(RUN, request_id=f"r{number // 2}", at_ms=10.0 * number)
                    for number in range(116)
                ]
            ),
            "bounded-repeats",
        ),
        (history(whole_exchange(status=503, is_whole=False)), "true-refusal"),
        (history(whole_exchange(body=b"r2")), "own-answer"),
        (history(whole_exchange(signature="w2")), "own-answer"),
        (history(whole_exchange(is_extra=True)), "own-answer"),
        (history(whole_exchange(Kind.STREAM, body=EVENTS[:20])), "own-answer"),
        (history(runs=(replace(RUN, customer="another"),)), "customer"),
        (history(runs=(replace(RUN, has_key=True),)), "customer"),
        (history(whole_exchange(Kind.UNKNOWN_KEY)), "customer"),
        (history(whole_exchange(status=404), ()), "proper-requests"),
        (
            history(
                ExchangeSeen(
                    "r1", Kind.MOVED, "router-0", LATE_MS, LATE_MS + 9, 200, b"r1"
                ),
                configs=[CONFIG, LATER_CONFIG],
            ),
            "configuration",
        ),
        (
            history(
                ExchangeSeen(
                    "r1", Kind.REVOKED_KEY, "router-0", LATE_MS, LATE_MS + 9, 200
                ),
                configs=[CONFIG, LATER_CONFIG],
            ),
            "configuration",
        ),
        (
            history(
                runs=(replace(RUN, at_ms=DRAIN_MS + 500.0),),
                drains=[DrainSeen("w1", 0.0)],
            ),
            "drain",
        ),
        (
            history(
                whole_exchange(status=0, body=b"", is_whole=False),
                disturbances=[Disturbance("router-0", "stop", 120.0, 4_000.0)],
            ),
            "planned-stop",
        ),
        (
            history(
                whole_exchange(status=0, body=b"", is_whole=False),
                disturbances=[Disturbance("router-0", "stop", 90.0, 4_000.0)],
            ),
            "planned-stop",
        ),
        (
            history(
                whole_exchange(status=503, is_whole=False),
                (),
                disturbances=[Disturbance("router-0", "stop", 90.0, 4_000.0)],
            ),
            "planned-stop",
        ),
        (
            history(ExchangeSeen("r1", Kind.SAFE, "router-0", 0.0, 4_500.0)),
            "answer-in-time",
        ),
        (history(unready=["router-1"]), "recovery"),
        (
            history(
                whole_exchange(Kind.SAFE, status=503),
                (),
                disturbances=[Disturbance("store", "busy", LONG_AGO_MS, LONG_AGO_MS)],
            ),
            "recovery",
        ),
        (
            crashing_history(4, PART.crash_times_ms[-1] + SETTLE_MS + 500.0),
            "crashing-part",
        ),
        (sound_history(9, 11), "sound-prompts"),
        (
            sound_history(
                9,
                11,
                disturbances=[Disturbance("w1", PART_CRASH, SETTLED_MS, 20_000.0)],
            ),
            "sound-prompts",
        ),
        (history(ends=[EndSeen("router-0", 1.0, 70, False)]), "own-end"),
        (
            history(ends=[EndSeen("router-0", 1.0, HUNG_EXIT_CODE, True)]),
            "stop-in-time",
        ),
    ],
)
def test_each_check_reports_its_violation(made, promise):
    # Guards against a check that can no longer fail.
    assert promise in broken_promises(made)


def test_a_request_that_crosses_the_close_of_a_stop_is_allowed():
    # Guards against reports of what no router can prevent.
    crossed = whole_exchange(status=0, body=b"", is_whole=False)
    stops = [Disturbance("router-0", "stop", 90.0, 4_000.0)]
    assert "planned-stop" not in broken_promises(
        history(crossed, (), disturbances=stops)
    )


@pytest.mark.parametrize(
    ("sent_ms", "silent_worker", "is_violation"),
    [(2_900.0, "w1", False), (3_100.0, "w1", True), (2_900.0, "w2", True)],
)
def test_a_silent_worker_excuses_only_what_was_sent_early_in_a_stop(
    sent_ms, silent_worker, is_violation
):
    # Guards against a check that excuses each cut stream of a run in which any worker
    # was silent, and against reports of what the platform allows.
    cut = ExchangeSeen("r1", Kind.STREAM, "router-0", sent_ms, 7_500.0, 200)
    silences = [Silence(silent_worker, 4_000.0, 5_500.0)]
    stops = [Disturbance("router-0", "stop", 0.0, 7_700.0)]
    runs = (replace(RUN, at_ms=sent_ms + 5.0),)
    made = history(cut, runs, disturbances=stops, silences=silences)
    assert ("planned-stop" in broken_promises(made)) is is_violation


def test_disturbances_suspend_only_time_bounds():
    # Guards against checks that report the effects of injected faults, and against
    # excusing violations that no fault can cause.
    late = ExchangeSeen("r1", Kind.MOVED, "router-0", LATE_MS, LATE_MS + 9, 200, b"r1")
    disturbances = [Disturbance("router-0", "pause", LATE_MS - 100.0, LATE_MS)]
    records = history(late, configs=[CONFIG, LATER_CONFIG], disturbances=disturbances)
    assert "configuration" not in broken_promises(records)
    twice = history(runs=(RUN, replace(RUN, worker="w2")), disturbances=disturbances)
    assert "run-once" in broken_promises(twice)


@pytest.fixture
def proxy():
    def echo(sock, _):
        while data := sock.recv(100):
            sock.sendall(data)

    server = gevent.server.StreamServer(("127.0.0.1", 0), echo)
    server.start()
    proxy = LoopbackProxy(SocketAddress("127.0.0.1", server.server_port))
    yield proxy
    proxy.stop()
    server.stop()


def connect(proxy):
    address = (proxy.address.host, proxy.address.port)
    return gevent_socket.create_connection(address, 1.0)


def echoes(sock):
    sock.settimeout(0.3)
    try:
        sock.sendall(b"x")
        return sock.recv(1) == b"x"
    except OSError:
        return False


@pytest.mark.parametrize("fault", [ProxyFault.SILENT, ProxyFault.ONE_WAY])
def test_a_connection_works_again_after_a_proxy_fault(proxy, fault):
    # Guards against faults without effect and faults that never end.
    with connect(proxy) as sock:
        assert echoes(sock)
        proxy.fault = fault
        assert not echoes(sock)
        proxy.fault = ProxyFault.NONE
        assert echoes(sock)


def test_connections_can_be_reset_refused_and_muted(proxy):
    # Guards against faults that miss open connections or affect new ones.
    with connect(proxy) as first, connect(proxy) as second:
        assert echoes(first) and echoes(second)
        proxy.mute_open_connections()
        assert not echoes(first)
        with connect(proxy) as third:
            assert echoes(third)
        proxy.reset_all()
        assert not echoes(second)
    proxy.fault = ProxyFault.REFUSED
    with connect(proxy) as sock:
        assert not echoes(sock)


def test_the_delay_of_the_own_event_loop_is_measured():
    # Guards against a late soak whose reports blame a router.
    lag = LoopLag(soak_now_ms)
    greenlet = gevent.spawn(lag.run)
    gevent.sleep(3.0 * CHECK_MS / 1_000.0)
    since_ms = soak_now_ms()
    monkey.get_original("time", "sleep")(0.3)
    assert lag.longest_ms(since_ms) > 200.0, "before the next check"
    gevent.sleep(3.0 * CHECK_MS / 1_000.0)
    assert lag.longest_ms(since_ms) > 200.0
    assert lag.longest_ms(soak_now_ms()) < 200.0
    gevent.kill(greenlet)


@pytest.mark.parametrize("is_frozen", [False, True])
def test_the_end_of_a_stop_can_be_traced(tmp_path, is_frozen):
    # Guards against reports of late exits that do not tell a late router from a late
    # soak.
    fleet = SoakFleet(tmp_path, loopback_network(77))
    lag = gevent.spawn(fleet.loop_lag.run)
    try:
        fleet.start(1, 1, 1)
        (router,) = fleet.routers
        if is_frozen:
            router.process.freeze()
        fleet.end_router(router, is_planned=True)
        # The output of a process that has ended is copied to its log a little later.
        gevent.sleep(0.2)
    finally:
        gevent.kill(lag)
        fleet.stop()
    (end,) = fleet.history.ends
    log = (tmp_path / "router-0.log").read_text()
    assert 0.0 <= end.loop_lag_ms < end.after_ms
    if is_frozen:
        assert end.exit_code == HUNG_EXIT_CODE
        assert end.after_ms >= GRACE_S * 1_000.0
        (violation,) = find_violations(fleet.history)
        assert violation.promise == "stop-in-time"
        assert end.last_log_line
        assert end.last_log_line in violation.message
    else:
        assert end.exit_code == 0
        events = [json.loads(line)["event"] for line in log.splitlines()]
        assert events[-2:] == ["exiting", "exit handlers run"]
