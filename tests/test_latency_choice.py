"""The choice by expected time to the first event."""

from random import Random

import pytest

from wigeonwind.decisions.endpoint_state import SILENCE_LIMIT_MS, UNREACHABLE_BACKOFF_MS
from wigeonwind.decisions.engine_ranking import LONG_SLOT_SHARE
from wigeonwind.decisions.interfaces import NoEndpoint
from wigeonwind.decisions.latency_choice import FULL_SLOT_SHARE, LatencyChooser
from wigeonwind.decisions.peer_loads import MAX_AGE_MS, InFlightLoad, short_id
from wigeonwind.decisions.placement import Candidate, Placement, PlacementRequest
from wigeonwind.decisions.prefix_index import PrefixIndex

NAMES = [f"w{n}@1" for n in range(5)]
NOBODY: frozenset[str] = frozenset()


def chooser(seed=1, names=NAMES, slots=96):
    made = LatencyChooser("a", Random(seed))
    made.set_candidates([Candidate(name, "llm", "a", slots) for name in names], 0.0)
    return made


def prompt(tokens, keys=(), lengths=(), shared=0, priority=3, target_ms=250.0):
    return PlacementRequest(
        "llm", priority, tokens, tuple(keys), tuple(lengths), shared, True, target_ms
    )


def pick(made, work, now_ms=0.0, exclude=NOBODY):
    chosen = made.choose(work, now_ms, exclude)
    assert isinstance(chosen, Placement)
    return chosen.endpoint_id


LONG = prompt(12_000, target_ms=1200.0)
SHORT = prompt(600)


def test_long_prompts_and_short_ones_go_to_different_engines():
    # Guards against streams whose pauses grow beside long prompts that are read.
    made = chooser()
    long_at = {pick(made, LONG) for _ in range(50)}
    short_at = {pick(made, SHORT) for _ in range(50)}
    assert not long_at & short_at


def test_entries_agree_on_the_engines_for_long_prompts():
    # Guards against entries that separate the two kinds each in its own way.
    found = [
        {pick(chooser(seed), LONG) for seed in range(each, each + 9)}
        for each in (1, 50)
    ]
    assert found[0] == found[1]


def test_long_prompts_spread_when_their_engines_are_behind():
    # Guards against long prompts that wait while other engines are idle.
    made = chooser()
    used = set()
    for _ in range(60):
        name = pick(made, LONG)
        made.on_sent(name, LONG, 0.0)
        used.add(name)
    assert len(used) == len(NAMES)


def test_a_shared_prefix_is_read_in_one_place():
    # Guards against shared parts of prompts that are read again and again.
    work = prompt(12_000, (1, 2, 3), (500, 5_000, 12_000), shared=2, target_ms=1200.0)
    entries = [chooser(seed) for seed in range(1, 6)]
    assert len({pick(made, work) for made in entries}) == 1


def test_what_a_peer_has_read_is_known():
    # Guards against a prefix that is read again although a peer knows where it is.
    work = prompt(900, (11, 12), (400, 900), shared=1)
    first, second = chooser(1), chooser(2)
    free = pick(first, prompt(600))
    first.on_sent(free, work, 0.0)
    second.on_peer_prefixes(first.take_new_prefixes(), 0.0)
    assert pick(second, work) == free
    assert first.take_new_prefixes() == ()


def busy_home(rate_by_service):
    """Return a chooser, a long prompt, and the busy engine that caches its prefix."""
    made = chooser()
    made.set_fetch_rates(rate_by_service)
    work = prompt(12_000, (1, 2, 3), (500, 5_000, 12_000), shared=2, target_ms=1200.0)
    home = pick(made, work)
    for _ in range(90):
        made.on_sent(home, work, 0.0)
    return made, work, home


def test_a_prefix_that_another_engine_holds_is_copied():
    # Guards against shared prefixes that are read again where their engine is busy
    # (spot-grown scale-1: 6.7 M tokens, a quarter of all that were shared).
    made, work, home = busy_home({"llm": 1_220.0})
    placement = made.choose(work, 0.0, NOBODY)
    assert placement.endpoint_id != home
    assert placement.fetch_from == home
    send = made.on_sent(placement.endpoint_id, work, 0.0, home)
    assert send.prefill_tokens < work.prompt_tokens
    assert made.choose(prompt(600), 0.0, NOBODY).fetch_from is None


def test_nothing_is_copied_from_an_engine_that_is_gone():
    # Guards against waiting for a copy from an address that no longer answers.
    made, work, home = busy_home({"llm": 1_220.0})
    made.on_unreachable(home, 0.0)
    placement = made.choose(work, 1.0, NOBODY)
    assert placement.endpoint_id != home
    assert placement.fetch_from is None


def test_engines_that_cannot_copy_are_not_asked_to():
    # Guards against copies that a service's engines do not make.
    made, work, home = busy_home({"other": 1_220.0})
    placement = made.choose(work, 0.0, NOBODY)
    assert placement.endpoint_id != home
    assert placement.fetch_from is None


def test_the_work_of_peers_counts():
    # Guards against entries that all rush to the engine that each finds idle.
    made = chooser()
    free = pick(made, SHORT)
    busy = {short_id(free): InFlightLoad(40, 0, ((3, 200_000),))}
    made.on_peer_load("edge-2", busy, 0.0)
    assert pick(made, SHORT) != free
    made.local_load(MAX_AGE_MS + 1.0)
    assert pick(made, SHORT, MAX_AGE_MS + 1.0) == free


def test_full_engines_are_left():
    # Guards against engines that preempt while others have room (TIER on the grown
    # spot site, trouble-1).
    made = chooser(slots=10)
    for _ in range(int(len(NAMES) * 10 * FULL_SLOT_SHARE) - 2):
        made.on_started(made.on_sent(pick(made, SHORT), SHORT, 0.0), 40.0)
    counts = [row.running for row in made.local_load(0.0).values()]
    assert max(counts) <= 10


def test_more_streams_get_more_engines_of_their_own():
    # Guards against chats that pause beside long prompts while many chats run
    # (spot-grown scale-1: 31% of the chats were late by a pause).
    made = chooser(names=[f"w{n}@1" for n in range(25)], slots=32)

    def room_for_long():
        sent = []
        while made.has_capacity(LONG, 0.0, NOBODY):
            name = pick(made, LONG)
            sent.append(made.on_sent(name, LONG, 0.0))
        for each in sent:
            made.on_ended(each, True, 0.0)
        return len(sent)

    usual = room_for_long()
    chats = [made.on_sent(pick(made, SHORT), SHORT, 0.0) for _ in range(240)]
    assert room_for_long() < usual
    for each in chats:
        made.on_ended(each, True, 0.0)
    assert room_for_long() == usual


def test_the_copy_used_last_is_the_source():
    # Guards against copies from an engine that has evicted the prefix meanwhile.
    index = PrefixIndex()
    index.add(7, NAMES[0], 0.0)
    index.add(7, NAMES[1], 1.0)
    index.add(7, NAMES[0], 2.0)
    assert [name for _, name in index.holders((7,), 3.0)] == [NAMES[0], NAMES[1]]


def test_a_silent_endpoint_gets_nothing_new():
    # Guards against work for an endpoint that hangs.
    made = chooser()
    name = pick(made, SHORT)
    sent = made.on_sent(name, SHORT, 0.0)
    later = SILENCE_LIMIT_MS + 1.0
    assert pick(made, SHORT, later) != name
    made.on_received(sent, later)
    assert made.silence_ms(name, later) == pytest.approx(0.0)


def test_an_unreachable_endpoint_is_tried_again_later():
    # Guards against connection attempts to a dead endpoint, and against avoiding it
    # for ever.
    made = chooser(names=NAMES[:2])
    name = pick(made, SHORT)
    made.on_unreachable(name, 0.0)
    assert pick(made, SHORT, 1.0) != name
    assert name in {pick(made, SHORT, UNREACHABLE_BACKOFF_MS + 1.0) for _ in range(40)}


def test_the_last_endpoint_is_used_however_bad():
    # Guards against a refusal while an endpoint might answer.
    made = chooser(names=NAMES[:1])
    made.on_unreachable(NAMES[0], 0.0)
    assert pick(made, SHORT, 1.0) == NAMES[0]
    assert isinstance(made.choose(SHORT, 1.0, frozenset(NAMES)), NoEndpoint)


def test_an_endpoint_that_fails_often_is_avoided():
    # Guards against an endpoint that fails requests while its health check is good.
    made = chooser(names=NAMES[:2])
    call = PlacementRequest("llm", 0)
    for _ in range(8):
        sent = made.on_sent(NAMES[0], call, 0.0)
        made.on_ended(sent, False, 0.0)
    assert {pick(made, call, 1.0) for _ in range(20)} == {NAMES[1]}
    assert NAMES[0] in {pick(made, call, 60_000.0) for _ in range(40)}


def test_ended_work_is_no_load():
    # Guards against counts that only grow: an endpoint would look busy for ever.
    made = chooser()
    for _ in range(20):
        sent = made.on_sent(NAMES[0], SHORT, 0.0)
        made.on_started(sent, 40.0)
        made.on_ended(sent, True, 50.0)
        refused = made.on_sent(NAMES[0], SHORT, 0.0)
        made.on_refused(refused, 1.0)
    assert made.local_load(60.0) == {}


def test_long_prompts_leave_slots_for_short_ones():
    # Guards against an overload of long prompts in which short ones find no slot
    # (spot-grown scale-1: 311 of 368 chats got nothing).
    made = chooser(slots=32)
    sent = []
    while made.has_capacity(LONG, 0.0, NOBODY) and len(sent) < 1000:
        sent.append(made.on_sent(pick(made, LONG), LONG, 0.0))
    assert len(sent) < LONG_SLOT_SHARE * 32 * len(NAMES)
    rows = made.local_load(0.0)
    held = [rows[short_id(n)].long_prompts if short_id(n) in rows else 0 for n in NAMES]
    assert max(held) <= 32
    assert min(held) <= 16
    made.on_ended(sent[0], True, 1.0)
    assert made.has_capacity(LONG, 1.0, NOBODY)
    assert made.has_capacity(SHORT, 1.0, NOBODY)
