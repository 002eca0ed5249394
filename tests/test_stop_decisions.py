"""Decisions of a planned stop: durations, admission, leaving, and peers' stops."""

import math
from dataclasses import replace

import pytest

from wigeonwind.clock import ManualClock
from wigeonwind.decisions.response_times import MAX_SAMPLE_AGE_MS, ResponseTimes
from wigeonwind.decisions.stop_admission import (
    BALANCER_MS,
    LEAVING_MS,
    SHORT_MS,
    SURE_FACTOR,
    UNSURE_MS,
    DurationEstimate,
    OtherRouters,
    StopReason,
    StopSituation,
    decide_in_stop,
    estimate_duration,
    leave_delay_ms,
    may_leave,
    passes_on_calls,
    retry_after_ms,
)
from wigeonwind.routing.peer_stops import SILENCE_MS, START_MS, PeerStops
from wigeonwind.routing.stop_messages import StopMessage, decode_stop, encode_stop

LATE = StopSituation(4_000.0, 3_500.0, None, OtherRouters())
EARLY = StopSituation(500.0, 7_000.0, None, OtherRouters())


def times_of(*durations_ms, now_ms=0.0):
    times = ResponseTimes()
    for duration_ms in durations_ms:
        times.add("r", now_ms, duration_ms)
    return times


def test_requests_in_flight_raise_the_estimate():
    # Guards against a fresh process that has seen short requests end, and takes them
    # for all of its requests.
    times = times_of(*[100.0] * 10)
    assert times.quantile_ms("r", 0.9, 0.0) == 100.0
    assert times.quantile_ms("r", 0.9, 0.0, [5_000.0] * 5) == math.inf
    assert times.quantile_ms("r", 0.9, 0.0, [50.0] * 5) == 100.0


def test_an_interrupted_request_counts_as_longer_than_it_ran():
    # Guards against streams that callers give up, and that pass for short ones.
    times = times_of(*[100.0] * 9)
    for _ in range(3):
        times.add("r", 0.0, 2_000.0, is_whole=False)
    assert times.quantile_ms("r", 0.95, 0.0) == math.inf
    assert times.quantile_ms("r", 0.5, 0.0) == 100.0


def test_old_durations_do_not_count():
    # Guards against estimates of a load that is long past.
    clock = ManualClock()
    times = times_of(*[100.0] * 20, now_ms=clock.now_ms())
    clock.advance(MAX_SAMPLE_AGE_MS + 1.0)
    assert times.quantile_ms("r", 0.5, clock.now_ms()) is None


def test_the_memory_of_durations_is_bounded():
    # Guards against growth with each route that ever was.
    times = ResponseTimes()
    for number in range(2_000):
        for _ in range(100):
            times.add(f"r{number}", 0.0, 1.0)
    assert times.quantile_ms("r0", 0.5, 0.0) is None
    assert times.quantile_ms("r1999", 0.5, 0.0) == 1.0
    assert len(times._samples_by_group) <= 256
    assert max(map(len, times._samples_by_group.values())) <= 128


def test_a_request_of_unknown_duration_is_taken_as_long_as_its_limit():
    # Guards against a fresh process that takes what it knows nothing of late in a stop.
    estimate = estimate_duration(None, None, 12_000.0)
    assert estimate == DurationEstimate(12_000.0, 12_000.0, 12_000.0)
    assert not decide_in_stop(LATE, estimate, False).is_taken
    assert decide_in_stop(EARLY, estimate, False).is_taken


def test_a_silence_of_the_endpoint_is_allowed_for():
    # Guards against a call that is cut because a sound endpoint paused for a second,
    # and against callers who are turned away though their deadline comes first.
    estimate = estimate_duration(100.0, 50.0, 12_000.0)
    assert estimate.sure_ms - SURE_FACTOR * 100.0 >= 1_600.0
    assert not decide_in_stop(replace(LATE, left_ms=1_600.0), estimate, True).is_taken
    repeatable = estimate_duration(100.0, 50.0, 12_000.0, is_repeatable=True)
    assert decide_in_stop(replace(LATE, left_ms=300.0), repeatable, True).is_taken
    limited = estimate_duration(100.0, 50.0, 1_000.0)
    assert decide_in_stop(replace(LATE, left_ms=1_000.0), limited, True).is_taken


def test_a_sure_end_is_taken_at_any_time_and_an_unsure_one_only_early():
    # Guards against short calls that are turned away late, and against streams that
    # callers may count as lost, as they came later than 3 s after the signal.
    sure = DurationEstimate(600.0, 600.0, 500.0)
    unsure = DurationEstimate(9_000.0, 9_000.0, 900.0)
    assert decide_in_stop(LATE, sure, True).reason is StopReason.ENDS_IN_TIME
    assert decide_in_stop(EARLY, unsure, True).reason is StopReason.LIKELY
    assert not decide_in_stop(LATE, unsure, True).is_taken
    at_limit = replace(EARLY, since_signal_ms=UNSURE_MS + 1.0)
    assert not decide_in_stop(at_limit, unsure, True).is_taken
    assert UNSURE_MS <= 2_500.0


def test_a_request_that_does_not_end_in_time_is_refused_at_any_time():
    # Guards against work that is cut at the end of the stop.
    estimate = DurationEstimate(9_000.0, 9_000.0, 8_000.0)
    for situation in (EARLY, LATE):
        decision = decide_in_stop(situation, estimate, True)
        assert (decision.is_taken, decision.reason) == (False, StopReason.TOO_LONG)


@pytest.mark.parametrize(
    ("others", "situation", "is_taken"),
    [
        (OtherRouters(), LATE, True),
        (OtherRouters(ready=1), LATE, False),
        (OtherRouters(stops_later=1), LATE, False),
        (OtherRouters(stops_later=1, away=1), LATE, True),
        (OtherRouters(ready=1), EARLY, True),
        (OtherRouters(ready=2), EARLY, False),
        (OtherRouters(ready=3, stops_earlier=1), EARLY, True),
    ],
)
def test_long_work_goes_to_others_if_they_can_take_it(others, situation, is_taken):
    # Guards against stops that new work makes longer, and against callers who are sent
    # from one stopping process to the next.
    needed_ms = SHORT_MS + 2_000.0
    estimate = DurationEstimate(needed_ms, needed_ms, SHORT_MS + 1.0)
    situation = replace(situation, others=others)
    assert decide_in_stop(situation, estimate, True).is_taken is is_taken
    short = DurationEstimate(SHORT_MS, SHORT_MS, SHORT_MS)
    assert decide_in_stop(situation, short, True).is_taken


def test_a_process_that_leaves_takes_only_what_ends_at_once():
    # Guards against a successor that waits for requests on connections left open.
    leaving = replace(LATE, leaving_ms=100.0)
    brief = DurationEstimate(1_500.0, LEAVING_MS - 100.0, 100.0)
    longer = DurationEstimate(1_500.0, LEAVING_MS, 100.0)
    assert decide_in_stop(leaving, brief, True).is_taken
    assert decide_in_stop(leaving, longer, True).reason is StopReason.LEAVING
    at_end = replace(leaving, left_ms=1_499.0)
    assert not decide_in_stop(at_end, brief, True).is_taken
    early = replace(EARLY, leaving_ms=100.0)
    assert not decide_in_stop(early, longer, True).is_taken


def test_processes_without_a_ready_one_leave_one_after_the_other():
    # Guards against stops that leave no process that listens.
    assert not may_leave(9_000.0, False, OtherRouters(stops_later=3, away=1))
    assert may_leave(BALANCER_MS, False, OtherRouters(stops_later=3))
    assert may_leave(BALANCER_MS, False, OtherRouters(ready=1, away=3))
    assert not may_leave(BALANCER_MS - 1.0, False, OtherRouters(ready=1))
    assert not may_leave(BALANCER_MS, True, OtherRouters(ready=1))


def test_a_process_that_takes_no_more_calls_leaves_them_to_others():
    # Guards against callers who are refused by a process that waits for the end of one
    # request, while another one listens that has more time.
    assert passes_on_calls(5_700.0, 1_800.0, OtherRouters(stops_later=1))
    assert not passes_on_calls(5_600.0, 1_900.0, OtherRouters(stops_later=1))
    assert not passes_on_calls(5_700.0, 1_800.0, OtherRouters(away=2))
    assert not passes_on_calls(BALANCER_MS - 1.0, 1_000.0, OtherRouters(ready=1))


def test_a_refused_caller_comes_back_when_another_process_is_ready():
    # Guards against callers who use up their one retry while no process can take it.
    reason, alone = StopReason.TOO_LONG, OtherRouters()
    assert retry_after_ms(reason, alone, [1_800.0, 900.0]) == 900.0
    assert retry_after_ms(reason, OtherRouters(ready=1), [900.0]) < 100.0
    assert 0.0 < retry_after_ms(reason, alone, []) < 1_000.0


def stop(since_ms, exits_in_ms=5_000, incarnation=1, is_listening=True):
    return StopMessage("r2", incarnation, since_ms, exits_in_ms, is_listening)


def test_a_stop_ends_with_the_next_incarnation():
    # Guards against a successor that counts as stopping for ever.
    stops = PeerStops()
    stops.on_message(stop(0), 1_000.0)
    stops.on_incarnation("r2", 1)
    assert stops.is_stopping("r2")
    stops.on_incarnation("r2", 2)
    assert not stops.is_stopping("r2")


def test_a_delayed_or_repeated_message_changes_nothing():
    # Guards against an old datagram that says that a process listens which has left.
    stops = PeerStops()
    stops.on_message(stop(0), 0.0)
    stops.on_message(stop(3_000, 100, is_listening=False), 3_000.0)
    before = stops.others(0, -1.0, 4_000.0)
    stops.on_message(stop(1_000), 3_900.0)
    assert stops.others(0, -1.0, 4_000.0) == before == OtherRouters(0, 0, 0, 1)


def test_a_silent_stopping_process_no_longer_listens():
    # Guards against a process that leaves because one that has exited seems to listen.
    stops = PeerStops()
    stops.on_message(stop(0), 0.0)
    assert stops.others(0, -1.0, SILENCE_MS - 1.0) == OtherRouters(0, 1, 0, 0)
    assert stops.others(0, -1.0, SILENCE_MS + 1.0) == OtherRouters(0, 0, 0, 1)


def test_only_the_first_of_several_stops_passes_on_long_work():
    # Guards against callers who are sent from one stopping process to the next.
    stops = PeerStops()
    stops.on_message(stop(0), 1_000.0)
    assert stops.others(3, 1_200.0, 1_300.0).stops_earlier == 1
    assert stops.others(3, 900.0, 1_300.0).stops_earlier == 0
    assert stops.others(3, 1_200.0, 1_000.0 + BALANCER_MS).stops_earlier == 0


def test_a_successor_is_expected_after_the_exit_but_not_for_ever():
    # Guards against a stop that waits for a process which was shut down for good.
    stops = PeerStops()
    stops.on_message(stop(0, 2_000), 0.0)
    assert list(stops.ready_in_ms(1_000.0)) == [1_000.0 + START_MS]
    assert not list(stops.ready_in_ms(60_000.0))
    assert stops.others(0, -1.0, 60_000.0).away == 0


def test_a_stop_message_survives_its_encoding():
    # Guards against fields that change places.
    assert decode_stop(encode_stop(stop(17))) == stop(17)


@pytest.mark.parametrize(
    "message",
    [stop(-1), stop(10**9), stop(0, -5), stop(0, 0, -1), stop(0, 0, 2**70)],
)
def test_a_message_with_wild_numbers_is_invalid(message):
    # Guards against a datagram that puts a stop into the far past or future.
    assert isinstance(decode_stop(encode_stop(message)), str)


def test_processes_whose_work_ends_at_once_leave_one_after_the_other():
    # Guards against processes that all leave before they hear of each other, so that
    # callers find no connection.
    first = [leave_delay_ms(OtherRouters(), jitter) for jitter in (0.0, 0.99)]
    second = [leave_delay_ms(OtherRouters(leaves_first=1), jitter) for jitter in (0, 1)]
    assert max(first) < min(second)
    assert leave_delay_ms(OtherRouters(ready=1, leaves_first=1), 1.0) == 0.0


def test_a_stop_that_began_earlier_leaves_first():
    # Guards against an order of leaving that counts processes which have left.
    stops = PeerStops()
    stops.on_message(stop(3_000, 4_000), 0.0)
    assert stops.others(0, -1.0, 0.0).leaves_first == 1
    assert stops.others(0, -5_000.0, 0.0).leaves_first == 0
    assert stops.others(0, -1.0, SILENCE_MS).leaves_first == 0
