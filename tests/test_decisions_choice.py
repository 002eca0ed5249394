"""Endpoint choice, outlier detection, prefix index and retries."""

from random import Random

from hypothesis import given
from hypothesis import strategies as st

from wigeonwind.decisions.choice import EndpointChooser
from wigeonwind.decisions.health import SLOW_START_MS
from wigeonwind.decisions.interfaces import (
    Chosen,
    EndpointInfo,
    GiveUp,
    NoEndpoint,
    ReportedLoad,
    Resend,
    RetryCause,
    RouteRequest,
)
from wigeonwind.decisions.prefix_index import PREFIX_TTL_MS, PrefixIndex
from wigeonwind.decisions.retry import RetryLimits, RetryPolicy

CHAT = RouteRequest("llm", "chat", 0, 100)


def make_chooser(count=6, zones=("a",), seed=1):
    chooser = EndpointChooser("a", Random(seed))
    infos = [EndpointInfo(f"e{n}", zones[n % len(zones)], "llm") for n in range(count)]
    chooser.set_endpoints(tuple(infos), 0.0)
    return chooser


def make_report(running=0, waiting=0, ready=True):
    rows = (("chat", waiting),)
    return ReportedLoad(running, 8, rows, 0.0, 20.0, 100.0, 0, ready)


def send(chooser, now_ms, request=CHAT, exclude=frozenset()):
    chosen = chooser.choose(request, now_ms, exclude)
    assert isinstance(chosen, Chosen)
    chooser.on_sent(chosen.endpoint_id, request, now_ms)
    return chosen.endpoint_id


def test_requests_in_flight_are_distributed_evenly():
    chooser = make_chooser(10)
    names = [send(chooser, 0.0) for _ in range(500)]
    counts = [names.count(f"e{n}") for n in range(10)]
    assert max(counts) - min(counts) <= 6


def test_a_full_local_zone_spills_over_to_another():
    chooser = make_chooser(4, ("a", "b"))
    assert {send(chooser, 0.0) for _ in range(16)} == {"e0", "e2"}
    assert {send(chooser, 0.0) for _ in range(16)} >= {"e1", "e3"}


def test_an_old_report_counts_less_than_a_recent_one():
    chooser = make_chooser(2)
    chooser.on_load("e0", make_report(running=8), 0.0)
    assert chooser.choose(CHAT, 0.0, frozenset()) == Chosen("e1")
    before = chooser.load_of("e0", 0, 0.0)
    assert chooser.load_of("e0", 0, 1000.0) == before / 2


def test_excluded_and_unready_endpoints_are_never_chosen():
    chooser = make_chooser(3)
    chooser.on_load("e0", make_report(ready=False), 0.0)
    assert {send(chooser, 0.0, exclude=frozenset({"e1"})) for _ in range(9)} == {"e2"}
    others = frozenset({"e1", "e2"})
    assert isinstance(chooser.choose(CHAT, 0.0, others), NoEndpoint)


def receive_tokens(chooser, name, now_ms, tokens):
    chooser.on_tokens(name, tokens, now_ms)


def start_answers(chooser, count):
    for number in range(count):
        for _ in range(4):
            chooser.on_sent(f"e{number}", CHAT, 0.0)
            chooser.on_first_token(f"e{number}", 10.0, 0.0)


def test_a_straggler_is_ejected_and_returns_with_a_slow_start():
    chooser = make_chooser(6)
    start_answers(chooser, 6)
    for step in range(1, 300):
        now_ms = step * 20.0
        for number in range(6):
            slow = number == 3
            receive_tokens(chooser, f"e{number}", now_ms, 0 if slow and step % 5 else 4)
        chooser.choose(CHAT, now_ms, frozenset())
        if chooser.is_ejected("e3", now_ms):
            break
    assert chooser.is_ejected("e3", now_ms)
    assert not any(chooser.is_ejected(f"e{n}", now_ms) for n in (0, 1, 2, 4, 5))
    back_ms = now_ms + 5_100.0
    assert not chooser.is_ejected("e3", back_ms)
    early = chooser.load_of("e3", 0, back_ms)
    assert early > 3 * chooser.load_of("e3", 0, back_ms + SLOW_START_MS)


def test_silence_ejects_one_endpoint_but_not_all():
    # Guards against ejecting most endpoints when their silence has a common cause.
    chooser = make_chooser(6)
    start_answers(chooser, 6)
    for step in range(1, 400):
        now_ms = step * 20.0
        for number in range(5 if step < 200 else 0):
            receive_tokens(chooser, f"e{number}", now_ms, 4)
        chooser.choose(CHAT, now_ms, frozenset())
        ejected = {f"e{n}" for n in range(6) if chooser.is_ejected(f"e{n}", now_ms)}
        assert ejected <= {"e5"} if step < 200 else len(ejected) <= 2
        if step == 190:
            assert ejected == {"e5"}


def test_consecutive_failures_eject_an_endpoint():
    chooser = make_chooser(3)
    for _ in range(5):
        chooser.on_sent("e0", CHAT, 0.0)
        chooser.on_ended("e0", CHAT, False, 0.0)
    assert {send(chooser, 300.0) for _ in range(20)} == {"e1", "e2"}


def test_prefix_affinity_applies_only_within_the_load_bound():
    chooser = make_chooser(6)
    request = RouteRequest("llm", "chat", 0, 100, prefix_keys=(11, 12))
    chooser.on_cache_event("e4", 12, True, 0.0)
    assert chooser.choose(request, 0.0, frozenset()) == Chosen("e4")
    names = [send(chooser, 0.0, request) for _ in range(60)]
    assert names.count("e4") < 30
    chooser.on_cache_event("e4", 12, False, 0.0)


def test_a_prefix_expires_if_its_eviction_is_not_reported():
    index = PrefixIndex(limit=100)
    for key in range(500):
        index.add(key, "e1", 0.0)
    assert len(index) == 100
    assert list(index.holders((1, 499), 1.0)) == [(1, "e1")]
    assert not list(index.holders((499,), PREFIX_TTL_MS + 1.0))


@given(st.integers(0, 1000), st.integers(0, 400))
def test_retries_stay_within_the_budget(seed, requests_per_s):
    rng = Random(seed)
    policy = RetryPolicy(Random(seed))
    retries = []
    for step in range(400):
        now_ms = step * 50.0
        for _ in range(requests_per_s // 20):
            policy.on_request(now_ms)
        for _ in range(rng.randint(0, 20)):
            if isinstance(policy.decide(0, False, True, None, now_ms), Resend):
                retries.append(now_ms)
    per_s = max(1.0, 0.1 * (requests_per_s // 20) * 20)
    for second in range(10):
        first_ms = second * 1000.0
        count = sum(first_ms <= at_ms < first_ms + 10_000.0 for at_ms in retries)
        assert count <= 10 * per_s


def test_a_retry_respects_deadline_and_repeatability():
    policy = RetryPolicy(Random(1))
    assert isinstance(policy.decide(0, False, False, None, 0.0), GiveUp)
    assert isinstance(policy.decide(0, True, False, None, 0.0), Resend)
    assert isinstance(policy.decide(0, True, True, 0.0, 0.0), GiveUp)
    assert isinstance(policy.decide(3, True, True, None, 0.0), GiveUp)


def test_answers_of_a_failed_engine_need_no_retry_budget():
    # Guards against a retry budget that loses answers when an engine fails: it lost
    # six of the 16 answers of an engine.
    policy = RetryPolicy(Random(1))
    policy.on_request(0.0)
    interrupted = [
        policy.decide(0, False, True, None, 1.0, RetryCause.INTERRUPTED)
        for _ in range(64)
    ]
    assert all(isinstance(each, Resend) for each in interrupted)
    refused = [
        policy.decide(0, True, True, None, 2.0, RetryCause.REFUSED) for _ in range(64)
    ]
    assert sum(isinstance(each, Resend) for each in refused) <= 10
    last = policy.decide(3, False, True, None, 3.0, RetryCause.INTERRUPTED)
    assert isinstance(last, GiveUp)


def test_retries_that_have_waited_are_within_the_budget_when_they_are_sent():
    # Guards against retries of several windows that wait for the same endpoints and
    # arrive there together.
    policy = RetryPolicy(Random(1), RetryLimits(0.12, 0.2, 0.0, frozenset()))
    decided_ms = []
    for now_ms in range(0, 30_000, 20):
        policy.on_request(now_ms)
        if isinstance(policy.decide(0, True, True, 60_000.0, now_ms), Resend):
            decided_ms.append(now_ms)
    requests_of_a_window = 500
    assert len(decided_ms) > 2 * 0.12 * requests_of_a_window
    sent = sum(policy.confirm(each, 30_000.0) for each in decided_ms)
    assert 0 < sent <= 0.12 * requests_of_a_window


def test_a_retry_that_is_sent_at_once_is_counted_once():
    # Guards against a budget that is used up twice as fast.
    policy = RetryPolicy(Random(1))
    sent = 0
    for now_ms in range(0, 9_000, 10):
        policy.on_request(now_ms)
        if isinstance(policy.decide(0, True, True, 60_000.0, now_ms), Resend):
            sent += policy.confirm(now_ms, now_ms + 5.0)
    assert sent == 90
