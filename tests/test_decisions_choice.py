"""Choice of endpoints, health by comparison, prefixes, retries."""

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
from wigeonwind.decisions.retry import RetryPolicy

CHAT = RouteRequest("llm", "chat", 0, 100)


def chooser(count=6, zones=("a",), seed=1):
    made = EndpointChooser("a", Random(seed))
    infos = [EndpointInfo(f"e{n}", zones[n % len(zones)], "llm") for n in range(count)]
    made.set_endpoints(tuple(infos), 0.0)
    return made


def load(running=0, waiting=0, ready=True):
    rows = (("chat", waiting),)
    return ReportedLoad(running, 8, rows, 0.0, 20.0, 100.0, 0, ready)


def send(made, now_ms, request=CHAT, exclude=frozenset()):
    chosen = made.choose(request, now_ms, exclude)
    assert isinstance(chosen, Chosen)
    made.on_sent(chosen.endpoint_id, request, now_ms)
    return chosen.endpoint_id


def test_own_outstanding_work_is_spread_evenly():
    made = chooser(10)
    names = [send(made, 0.0) for _ in range(500)]
    counts = [names.count(f"e{n}") for n in range(10)]
    assert max(counts) - min(counts) <= 6


def test_a_full_own_zone_spills_before_anything_is_shed():
    made = chooser(4, ("a", "b"))
    assert {send(made, 0.0) for _ in range(16)} == {"e0", "e2"}
    assert {send(made, 0.0) for _ in range(16)} >= {"e1", "e3"}


def test_an_old_report_counts_less_than_a_fresh_one():
    made = chooser(2)
    made.on_load("e0", load(running=8), 0.0)
    assert made.choose(CHAT, 0.0, frozenset()) == Chosen("e1")
    before = made.load_of("e0", 0, 0.0)
    assert made.load_of("e0", 0, 1000.0) == before / 2


def test_excluded_and_unready_endpoints_are_never_chosen():
    made = chooser(3)
    made.on_load("e0", load(ready=False), 0.0)
    assert {send(made, 0.0, exclude=frozenset({"e1"})) for _ in range(9)} == {"e2"}
    everyone = frozenset({"e1", "e2"})
    assert isinstance(made.choose(CHAT, 0.0, everyone), NoEndpoint)


def stream(made, name, now_ms, tokens):
    made.on_tokens(name, tokens, now_ms)


def busy(made, count):
    for number in range(count):
        for _ in range(4):
            made.on_sent(f"e{number}", CHAT, 0.0)
            made.on_first_token(f"e{number}", 10.0, 0.0)


def test_a_straggler_is_ejected_and_returns_slowly():
    made = chooser(6)
    busy(made, 6)
    for step in range(1, 300):
        now_ms = step * 20.0
        for number in range(6):
            slow = number == 3
            stream(made, f"e{number}", now_ms, 0 if slow and step % 5 else 4)
        made.choose(CHAT, now_ms, frozenset())
        if made.is_ejected("e3", now_ms):
            break
    assert made.is_ejected("e3", now_ms)
    assert not any(made.is_ejected(f"e{n}", now_ms) for n in (0, 1, 2, 4, 5))
    back_ms = now_ms + 5_100.0
    assert not made.is_ejected("e3", back_ms)
    early = made.load_of("e3", 0, back_ms)
    assert early > 3 * made.load_of("e3", 0, back_ms + SLOW_START_MS)


def test_silence_ejects_one_endpoint_but_not_all_of_them():
    # Guards against ejecting everything when the cause is shared.
    made = chooser(6)
    busy(made, 6)
    for step in range(1, 400):
        now_ms = step * 20.0
        for number in range(5 if step < 200 else 0):
            stream(made, f"e{number}", now_ms, 4)
        made.choose(CHAT, now_ms, frozenset())
        ejected = {f"e{n}" for n in range(6) if made.is_ejected(f"e{n}", now_ms)}
        assert ejected <= {"e5"} if step < 200 else len(ejected) <= 2
        if step == 190:
            assert ejected == {"e5"}


def test_failures_in_a_row_eject_unless_all_fail():
    made = chooser(3)
    for _ in range(5):
        made.on_sent("e0", CHAT, 0.0)
        made.on_ended("e0", CHAT, False, 0.0)
    assert {send(made, 300.0) for _ in range(20)} == {"e1", "e2"}


def test_a_cached_prefix_decides_only_within_the_load_bound():
    made = chooser(6)
    request = RouteRequest("llm", "chat", 0, 100, prefix_keys=(11, 12))
    made.on_cache_event("e4", 12, True, 0.0)
    assert made.choose(request, 0.0, frozenset()) == Chosen("e4")
    names = [send(made, 0.0, request) for _ in range(60)]
    assert names.count("e4") < 30
    made.on_cache_event("e4", 12, False, 0.0)


def test_a_prefix_is_forgotten_when_its_eviction_was_never_reported():
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


def test_answers_of_a_dead_engine_need_no_retry_budget():
    # With a budget, an engine that died with 16 answers cut six of them off.
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
