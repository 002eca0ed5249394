"""`LatencyChooser`: choice of endpoints by expected time to the first event."""

from random import Random

import pytest

from wigeonwind.decisions.endpoint_state import (
    MAX_UNREACHABLE_BACKOFF_MS,
    SILENCE_LIMIT_MS,
    UNREACHABLE_BACKOFF_MS,
)
from wigeonwind.decisions.engine_ranking import LONG_SLOT_SHARE
from wigeonwind.decisions.interfaces import NoEndpoint
from wigeonwind.decisions.latency_choice import FULL_SLOT_SHARE, LatencyChooser
from wigeonwind.decisions.peer_loads import MAX_AGE_MS, InFlightLoad, short_id
from wigeonwind.decisions.placement import Candidate, Placement, PlacementRequest
from wigeonwind.decisions.prefix_index import PrefixIndex

NAMES = [f"w{n}@1" for n in range(5)]
NONE_EXCLUDED: frozenset[str] = frozenset()


def make_chooser(seed=1, names=NAMES, slots=96):
    chooser = LatencyChooser("a", Random(seed))
    chooser.set_candidates([Candidate(name, "llm", "a", slots) for name in names], 0.0)
    return chooser


def prompt_request(tokens, keys=(), lengths=(), shared=0, priority=3, target_ms=250.0):
    return PlacementRequest(
        "llm", priority, tokens, tuple(keys), tuple(lengths), shared, True, target_ms
    )


def choose_endpoint(chooser, request, now_ms=0.0, exclude=NONE_EXCLUDED):
    chosen = chooser.choose(request, now_ms, exclude)
    assert isinstance(chosen, Placement)
    return chosen.endpoint_id


LONG = prompt_request(12_000, target_ms=1200.0)
SHORT = prompt_request(600)


def test_long_and_short_prompts_go_to_different_engines():
    # Guards against streams that are stalled by the prefill of long prompts.
    chooser = make_chooser()
    long_at = {choose_endpoint(chooser, LONG) for _ in range(50)}
    short_at = {choose_endpoint(chooser, SHORT) for _ in range(50)}
    assert not long_at & short_at


def test_routers_agree_on_the_engines_for_long_prompts():
    # Guards against routers that separate long and short prompts differently.
    found = [
        {choose_endpoint(make_chooser(seed), LONG) for seed in range(each, each + 9)}
        for each in (1, 50)
    ]
    assert found[0] == found[1]


def test_long_prompts_use_more_engines_under_load():
    # Guards against long prompts that wait while other engines are idle.
    chooser = make_chooser()
    used = set()
    for _ in range(60):
        name = choose_endpoint(chooser, LONG)
        chooser.on_sent(name, LONG, 0.0)
        used.add(name)
    assert len(used) == len(NAMES)


def test_a_shared_prefix_is_prefilled_at_one_endpoint():
    # Guards against shared prefixes that are prefilled at several endpoints.
    request = prompt_request(
        12_000, (1, 2, 3), (500, 5_000, 12_000), shared=2, target_ms=1200.0
    )
    choosers = [make_chooser(seed) for seed in range(1, 6)]
    assert len({choose_endpoint(chooser, request) for chooser in choosers}) == 1


def test_prefixes_that_a_peer_has_sent_are_used():
    # Guards against prefixes that are prefilled again although a peer has sent them.
    request = prompt_request(900, (11, 12), (400, 900), shared=1)
    first, second = make_chooser(1), make_chooser(2)
    chosen = choose_endpoint(first, prompt_request(600))
    first.on_sent(chosen, request, 0.0)
    second.on_peer_prefixes(first.take_new_prefixes(), 0.0)
    assert choose_endpoint(second, request) == chosen
    assert first.take_new_prefixes() == ()


def busy_engine_with_prefix(rate_by_service):
    """Return a chooser, a long request, and the busy engine that caches its prefix."""
    chooser = make_chooser()
    chooser.set_fetch_rates(rate_by_service)
    request = prompt_request(
        12_000, (1, 2, 3), (500, 5_000, 12_000), shared=2, target_ms=1200.0
    )
    busy = choose_endpoint(chooser, request)
    for _ in range(90):
        chooser.on_sent(busy, request, 0.0)
    return chooser, request, busy


def test_kv_cache_is_transferred_from_a_busy_engine():
    # Guards against shared prefixes that are prefilled again because their engine is
    # busy: in one run this cost 6.7 M tokens, a quarter of all shared ones.
    chooser, request, busy = busy_engine_with_prefix({"llm": 1_220.0})
    placement = chooser.choose(request, 0.0, NONE_EXCLUDED)
    assert placement.endpoint_id != busy
    assert placement.fetch_from == busy
    send = chooser.on_sent(placement.endpoint_id, request, 0.0, busy)
    assert send.prefill_tokens < request.prompt_tokens
    assert chooser.choose(prompt_request(600), 0.0, NONE_EXCLUDED).fetch_from is None


def test_nothing_is_transferred_from_an_unreachable_engine():
    # Guards against waiting for a transfer from an address that does not answer.
    chooser, request, busy = busy_engine_with_prefix({"llm": 1_220.0})
    chooser.on_unreachable(busy, 0.0)
    placement = chooser.choose(request, 1.0, NONE_EXCLUDED)
    assert placement.endpoint_id != busy
    assert placement.fetch_from is None


def test_nothing_is_transferred_by_engines_that_cannot():
    # Guards against requesting transfers that the engines of a service do not support.
    chooser, request, busy = busy_engine_with_prefix({"other": 1_220.0})
    placement = chooser.choose(request, 0.0, NONE_EXCLUDED)
    assert placement.endpoint_id != busy
    assert placement.fetch_from is None


def test_the_load_of_peers_counts_until_it_is_stale():
    # Guards against routers that all choose the same idle engine.
    chooser = make_chooser()
    chosen = choose_endpoint(chooser, SHORT)
    busy = {short_id(chosen): InFlightLoad(40, 0, ((3, 200_000),))}
    chooser.on_peer_load("edge-2", busy, 0.0)
    assert choose_endpoint(chooser, SHORT) != chosen
    chooser.local_load(MAX_AGE_MS + 1.0)
    assert choose_endpoint(chooser, SHORT, MAX_AGE_MS + 1.0) == chosen


def test_full_engines_are_avoided():
    # Guards against placing requests on full engines, which preempt running requests,
    # while other engines have free slots.
    chooser = make_chooser(slots=10)
    for _ in range(int(len(NAMES) * 10 * FULL_SLOT_SHARE) - 2):
        chooser.on_started(
            chooser.on_sent(choose_endpoint(chooser, SHORT), SHORT, 0.0), 40.0
        )
    counts = [row.running for row in chooser.local_load(0.0).values()]
    assert max(counts) <= 10


def test_more_streams_reserve_more_engines_for_short_prompts():
    # Guards against chats that are stalled by long prompts while many chats run: in one
    # run such stalls made 31% of the chats late.
    chooser = make_chooser(names=[f"w{n}@1" for n in range(25)], slots=32)

    def long_prompt_capacity():
        sent = []
        while chooser.has_capacity(LONG, 0.0, NONE_EXCLUDED):
            name = choose_endpoint(chooser, LONG)
            sent.append(chooser.on_sent(name, LONG, 0.0))
            chooser.on_started(sent[-1], 0.0)  # Running prompts fill the slots.
        for each in sent:
            chooser.on_ended(each, True, 0.0)
        return len(sent)

    usual = long_prompt_capacity()
    chats = [
        chooser.on_sent(choose_endpoint(chooser, SHORT), SHORT, 0.0) for _ in range(240)
    ]
    assert long_prompt_capacity() < usual
    for each in chats:
        chooser.on_ended(each, True, 0.0)
    assert long_prompt_capacity() == usual


def test_the_most_recently_used_copy_is_the_source():
    # Guards against transfers from an engine that has evicted the prefix meanwhile.
    index = PrefixIndex()
    index.add(7, NAMES[0], 0.0)
    index.add(7, NAMES[1], 1.0)
    index.add(7, NAMES[0], 2.0)
    assert [name for _, name in index.holders((7,), 3.0)] == [NAMES[0], NAMES[1]]


def test_a_silent_endpoint_receives_no_requests():
    # Guards against sending to an endpoint that hangs.
    chooser = make_chooser()
    name = choose_endpoint(chooser, SHORT)
    sent = chooser.on_sent(name, SHORT, 0.0)
    later_ms = SILENCE_LIMIT_MS + 1.0
    assert choose_endpoint(chooser, SHORT, later_ms) != name
    chooser.on_received(sent, later_ms)
    assert chooser.silence_ms(name, later_ms) == pytest.approx(0.0)


def test_an_unreachable_endpoint_is_tried_again_later():
    # Guards against repeated connection attempts to an unreachable endpoint, and
    # against avoiding it permanently.
    chooser = make_chooser(names=NAMES[:2])
    name = choose_endpoint(chooser, SHORT)
    chooser.on_unreachable(name, 0.0)
    assert choose_endpoint(chooser, SHORT, 1.0) != name
    assert name in {
        choose_endpoint(chooser, SHORT, UNREACHABLE_BACKOFF_MS + 1.0) for _ in range(40)
    }


def test_the_last_endpoint_is_used_even_if_unreachable():
    # Guards against refusals while an endpoint might answer.
    chooser = make_chooser(names=NAMES[:1])
    chooser.on_unreachable(NAMES[0], 0.0)
    assert choose_endpoint(chooser, SHORT, 1.0) == NAMES[0]
    assert isinstance(chooser.choose(SHORT, 1.0, frozenset(NAMES)), NoEndpoint)


def test_an_endpoint_that_fails_often_is_avoided():
    # Guards against an endpoint that fails requests but passes its health check.
    chooser = make_chooser(names=NAMES[:2])
    call = PlacementRequest("llm", 0)
    for _ in range(8):
        sent = chooser.on_sent(NAMES[0], call, 0.0)
        chooser.on_ended(sent, False, 0.0)
    assert {choose_endpoint(chooser, call, 1.0) for _ in range(20)} == {NAMES[1]}
    assert NAMES[0] in {choose_endpoint(chooser, call, 60_000.0) for _ in range(40)}


def test_ended_requests_do_not_count_as_load():
    # Guards against counts that are not decremented: the endpoint would look busy
    # permanently.
    chooser = make_chooser()
    for _ in range(20):
        sent = chooser.on_sent(NAMES[0], SHORT, 0.0)
        chooser.on_started(sent, 40.0)
        chooser.on_ended(sent, True, 50.0)
        refused = chooser.on_sent(NAMES[0], SHORT, 0.0)
        chooser.on_refused(refused, 1.0)
    assert chooser.local_load(60.0) == {}


def test_long_prompts_leave_slots_for_short_ones():
    # Guards against an overload of long prompts that leaves no slots for short ones: in
    # one run 311 of 368 chats got no answer.
    chooser = make_chooser(slots=32)
    sent = []
    while chooser.has_capacity(LONG, 0.0, NONE_EXCLUDED) and len(sent) < 1000:
        sent.append(chooser.on_sent(choose_endpoint(chooser, LONG), LONG, 0.0))
        chooser.on_started(sent[-1], 0.0)  # Running prompts fill the slots.
    assert 32 < len(sent) < LONG_SLOT_SHARE * 32 * len(NAMES)
    rows = chooser.local_load(0.0)
    long_prompts = [
        rows[short_id(n)].long_prompts if short_id(n) in rows else 0 for n in NAMES
    ]
    assert max(long_prompts) <= 32
    assert min(long_prompts) <= 16
    chooser.on_ended(sent[0], True, 1.0)
    assert chooser.has_capacity(LONG, 1.0, NONE_EXCLUDED)
    assert chooser.has_capacity(SHORT, 1.0, NONE_EXCLUDED)


def test_a_first_event_after_a_return_of_the_endpoint_is_not_counted():
    # Guards against an error, and against pending tokens below zero, with which peers
    # reject the load messages of a router: the endpoint was dropped after the send.
    chooser = make_chooser(names=NAMES[:1])
    sent = [chooser.on_sent(NAMES[0], SHORT, 0.0) for _ in range(2)]
    chooser.set_candidates([], 1.0)
    chooser.set_candidates([Candidate(NAMES[0], "llm", "a", 96)], 2.0)
    chooser.on_started(sent[0], 3.0)
    chooser.on_ended(sent[0], True, 3.0)
    again = chooser.on_sent(NAMES[0], SHORT, 4.0)
    chooser.on_started(sent[1], 5.0)
    chooser.on_ended(sent[1], True, 5.0)
    row = chooser.local_load(6.0)[short_id(NAMES[0])]
    assert row == InFlightLoad(1, 0, ((SHORT.priority, again.prefill_tokens),))


def test_a_first_event_without_the_endpoint_is_recorded_once():
    # Guards against a later event that is taken for the first one, as the endpoint
    # was absent when the first one came.
    chooser = make_chooser(names=NAMES[:1])
    sent = chooser.on_sent(NAMES[0], SHORT, 0.0)
    chooser.set_candidates([], 1.0)
    chooser.on_started(sent, 2.0)
    assert sent.is_started


def test_the_backoff_of_an_endpoint_is_bounded_after_many_failures():
    # Guards against an overflow after 1,024 failed connections, which is an error for
    # each request that tries the endpoint.
    chooser = make_chooser(names=NAMES[:2])
    for _ in range(1_100):
        chooser.on_unreachable(NAMES[0], 0.0)
    soon_ms = MAX_UNREACHABLE_BACKOFF_MS - 1.0
    assert {choose_endpoint(chooser, SHORT, soon_ms) for _ in range(20)} == {NAMES[1]}
    later_ms = MAX_UNREACHABLE_BACKOFF_MS + 1.0
    assert NAMES[0] in {choose_endpoint(chooser, SHORT, later_ms) for _ in range(40)}


def test_the_backoff_of_an_endpoint_doubles():
    # Guards against a backoff that stays short, or does not start again after bytes.
    chooser = make_chooser(names=NAMES[:2])
    sent = chooser.on_sent(NAMES[0], SHORT, 0.0)
    for wait_ms in (500.0, 1_000.0, 2_000.0, 4_000.0, 4_000.0):
        chooser.on_unreachable(NAMES[0], 0.0)
        chosen = {choose_endpoint(chooser, SHORT, wait_ms - 1.0) for _ in range(20)}
        assert chosen == {NAMES[1]}
    chooser.on_received(sent, 0.0)
    chooser.on_ended(sent, True, 0.0)
    chooser.on_unreachable(NAMES[0], 0.0)
    assert NAMES[0] in {choose_endpoint(chooser, SHORT, 501.0) for _ in range(40)}
