"""State of request keys that may crash endpoints."""

from random import Random

from hypothesis import given
from hypothesis import strategies as st

from wigeonwind.decisions.quarantine import (
    LONGEST_BLOCK_MS,
    MAX_KEYS,
    OWN_KEY_BIT,
    RECENT_ANSWER_MS,
    RETENTION_MS,
    Allowed,
    Blocked,
    NeedsTrial,
    Quarantine,
    SuspectRow,
)

SHARED, DEADLY, OTHER = 10, 20, 30
OWN = [101, 103, 105, 107, 109, 111]
assert all(key & OWN_KEY_BIT for key in OWN)


def crash_with_deadly(quarantine, number, now_ms):
    return quarantine.on_crash(number, [(SHARED, DEADLY, OWN[number])], now_ms)


def test_a_key_is_blocked_by_its_second_crash_without_an_answer():
    # Guards against a part that crashes one endpoint after the other.
    quarantine = Quarantine()
    quarantine.on_answered((SHARED,), 0.0)
    assert crash_with_deadly(quarantine, 1, 10.0) == ()
    assert quarantine.verdict((SHARED, DEADLY, 201), 20.0) == NeedsTrial((DEADLY,))
    quarantine.on_answered((SHARED, 201), 30.0)
    assert crash_with_deadly(quarantine, 2, 40.0) == (DEADLY,)
    verdict = quarantine.verdict((SHARED, DEADLY, 203), 50.0)
    assert isinstance(verdict, Blocked) and verdict.key == DEADLY


def test_an_answered_key_is_not_held_responsible_for_one_crash():
    # Guards against a part of many requests that is held up after each crash.
    quarantine = Quarantine()
    quarantine.on_answered((SHARED,), 0.0)
    quarantine.on_crash(1, [(SHARED,)], RECENT_ANSWER_MS)
    assert quarantine.verdict((SHARED,), RECENT_ANSWER_MS) == Allowed()


def test_a_key_that_has_become_deadly_is_blocked_by_its_third_crash():
    # Guards against earlier answers that clear a part for good.
    quarantine = Quarantine()
    quarantine.on_answered((DEADLY,), 0.0)
    blocked = []
    for number in (1, 2, 3):
        quarantine.on_answered((SHARED,), 10.0 * number)
        blocked.append(crash_with_deadly(quarantine, number, 10.0 * number + 1.0))
    assert blocked == [(), (), (DEADLY,)]


def test_one_crash_counts_once_however_many_routers_report_it():
    # Guards against a part that is blocked because several routers saw one crash.
    quarantine = Quarantine()
    quarantine.on_crash(1, [(DEADLY,)], 0.0)
    quarantine.merge([SuspectRow(DEADLY, ((1, 0),), None)], 1.0)
    assert quarantine.verdict((DEADLY,), 2.0) == NeedsTrial((DEADLY,))


def test_a_known_suspect_explains_a_crash_for_the_requests_beside_it():
    # Guards against suspicion that spreads to all requests beside a deadly one.
    quarantine = Quarantine()
    quarantine.on_crash(1, [(DEADLY, OWN[1])], 0.0)
    quarantine.on_crash(2, [(DEADLY, OWN[2]), (OTHER, OWN[3])], 1.0)
    assert quarantine.verdict((OTHER, OWN[3]), 2.0) == Allowed()


def test_a_key_blocked_by_a_peer_explains_the_crashes_of_other_keys():
    # Guards against suspects of a router that did not send the deadly request itself.
    quarantine = Quarantine()
    quarantine.on_crash(2, [(OTHER,)], 0.0)
    quarantine.merge([SuspectRow(DEADLY, ((1, 50), (2, 1)), None)], 1.0)
    assert quarantine.verdict((OTHER,), 2.0) == Allowed()


def test_a_part_blocked_with_a_deadly_one_is_tried_without_it():
    # Guards against a shared part that stays blocked, because requests with it were
    # seen at crashes only together with the deadly part.
    quarantine = Quarantine()
    for number in (1, 2):
        crash_with_deadly(quarantine, number, 0.0)
    assert isinstance(quarantine.verdict((SHARED, DEADLY, 201), 1.0), Blocked)
    assert quarantine.verdict((SHARED, 203), 1.0) == NeedsTrial((SHARED,))
    quarantine.on_answered((SHARED, 203), 2.0)
    assert quarantine.verdict((SHARED, 205), 3.0) == Allowed()


def test_blocks_get_longer_and_end_in_a_trial():
    # Guards against a block that lasts for ever after a new model version, and against
    # trials that crash an endpoint each minute.
    quarantine = Quarantine()
    now_ms = 0.0
    lengths_ms = []
    for crash in range(1, 7):
        quarantine.on_crash(crash, [(DEADLY,)], now_ms)
        verdict = quarantine.verdict((DEADLY,), now_ms)
        if isinstance(verdict, Blocked):
            lengths_ms.append(verdict.remaining_ms)
            now_ms += verdict.remaining_ms
            assert quarantine.verdict((DEADLY,), now_ms) == NeedsTrial((DEADLY,))
    assert lengths_ms == sorted(lengths_ms)
    assert lengths_ms[3:] == [LONGEST_BLOCK_MS] * 2


def test_made_up_keys_do_not_exhaust_memory_or_displace_blocked_ones():
    # Guards against a caller that uses a new part for each request.
    quarantine = Quarantine()
    for number in (1, 2):
        crash_with_deadly(quarantine, number, 0.0)
    for number in range(MAX_KEYS + 500):
        quarantine.on_crash(100 + number, [(1_000 + 2 * number,)], 1.0 + number)
    assert len(list(quarantine.statuses(0.0))) <= MAX_KEYS
    assert isinstance(quarantine.verdict((SHARED, DEADLY), 1.0), Blocked)


def test_a_suspect_without_a_second_crash_is_forgotten():
    # Guards against parts that are held up long after an ordinary crash.
    quarantine = Quarantine()
    quarantine.on_crash(1, [(OTHER,)], 0.0)
    quarantine.drop_expired(RETENTION_MS)
    assert quarantine.verdict((OTHER,), RETENTION_MS) == Allowed()


def test_the_end_of_a_planned_stop_is_not_held_against_requests():
    # Guards against parts that are blocked by a rolling restart, whose announcement
    # reaches a router after the endpoint has gone.
    quarantine = Quarantine()
    quarantine.on_crash(1, [(OTHER,)], 0.0)
    quarantine.void_crash(1, 1.0)
    quarantine.on_crash(2, [(OTHER,)], 2.0)
    assert quarantine.verdict((OTHER,), 3.0) == NeedsTrial((OTHER,))


def test_an_operator_clears_a_key_at_all_routers():
    # Guards against an order that the next message of a peer reverts.
    first, second = Quarantine(), Quarantine()
    for number in (1, 2):
        crash_with_deadly(first, number, 0.0)
    second.merge(list(first.rows(1.0)), 1.0)
    assert first.lift(DEADLY, 2.0) and not first.lift(OTHER, 2.0)
    second.merge(list(first.rows_changed(2.0, 3.0)), 3.0)
    first.merge(list(second.rows_changed(0.0, 4.0)), 4.0)
    for quarantine in (first, second):
        assert quarantine.verdict((DEADLY,), 5.0) == Allowed()


@given(st.integers(0, 2**32), st.floats(0.0, 0.8))
def test_routers_agree_however_messages_are_lost_and_reordered(seed, lost_share):
    # Guards against routers that treat a part differently after lost messages.
    rng = Random(seed)
    routers = [Quarantine() for _ in range(4)]
    messages = []
    for now_ms in range(1, 40):
        router = rng.choice(routers)
        if rng.random() < 0.3:
            router.on_crash(rng.randrange(1, 6), [(DEADLY, OTHER)], now_ms)
        elif rng.random() < 0.2:
            router.on_answered((rng.choice((DEADLY, OTHER)),), now_ms)
        messages.append(list(router.rows_changed(now_ms - 5.0, now_ms)))
        for receiver in routers:
            if rng.random() >= lost_share:
                receiver.merge(rng.choice(messages), now_ms)
    for now_ms in (50.0, 51.0):
        rows = [router.rows(now_ms) for router in routers]
        for router in routers:
            for each in rows:
                router.merge(each, now_ms)
    for key in (DEADLY, OTHER):
        verdicts = {type(router.verdict((key,), 52.0)) for router in routers}
        assert len(verdicts) == 1


def test_companions_of_a_deadly_key_are_not_blocked_longer_than_it():
    # Guards against sound parts that stay blocked, because the crashes of the deadly
    # part beside them were counted at different routers.
    first, second = Quarantine(), Quarantine()
    first.on_crash(1, [(SHARED, DEADLY)], 0.0)
    second.merge(first.rows(1.0), 1.0)
    first.on_crash(2, [(SHARED,)], 1_000.0)
    second.on_crash(2, [(DEADLY,)], 1_000.0)
    for number in (3, 4):
        second.on_crash(number, [(DEADLY, SHARED)], 1_000.0 * number)
    second.on_crash(5, [(DEADLY,)], 5_000.0)
    first.merge(second.rows(5_001.0), 5_001.0)
    second.merge(first.rows(5_001.0), 5_001.0)
    for quarantine in (first, second):
        assert isinstance(quarantine.verdict((SHARED, DEADLY), 5_002.0), Blocked)
        assert quarantine.verdict((SHARED,), 5_002.0) == Allowed()


def test_crashes_at_several_routers_add_up_for_a_key_answered_before():
    # Guards against a part that each router excuses once for an earlier answer.
    routers = [Quarantine() for _ in range(3)]
    for number, router in enumerate(routers):
        router.on_answered((DEADLY,), 0.0)
        router.on_crash(number + 1, [(DEADLY,)], 100.0 + number)
    for router in routers:
        for other in routers:
            router.merge(other.rows(110.0), 110.0)
    for router in routers:
        assert isinstance(router.verdict((DEADLY,), 120.0), Blocked)


def test_old_evidence_is_not_renewed_by_peers():
    # Guards against blocks that routers tell each other of for ever.
    routers = [Quarantine() for _ in range(5)]
    for number in (1, 2):
        crash_with_deadly(routers[0], number, 0.0)
    rng, now_ms = Random(1), 0.0
    while now_ms < 300_000.0:
        now_ms += 1_000.0
        for router in routers:
            router.drop_expired(now_ms)
            rng.choice(routers).merge(router.rows(now_ms), now_ms)
    assert not any(router.rows(now_ms) for router in routers)


def test_a_peer_that_missed_a_clear_learns_of_it_later():
    # Guards against a block that an answer or an operator ended at some routers only.
    first, second = Quarantine(), Quarantine()
    for quarantine in (first, second):
        for number in (1, 2):
            crash_with_deadly(quarantine, number, 0.0)
    assert first.lift(DEADLY, 10.0)
    second.merge(first.rows(30_000.0), 30_000.0)
    assert not isinstance(second.verdict((DEADLY,), 30_001.0), Blocked)


def test_a_block_is_renewed_however_many_crashes_there_were():
    # Guards against a part that crashes an endpoint at each trial after some hours.
    quarantine = Quarantine()
    for crash in range(1, 21):
        now_ms = crash * LONGEST_BLOCK_MS
        assert quarantine.on_crash(crash, [(DEADLY,)], now_ms) or crash == 1
        if crash > 1:
            verdict = quarantine.verdict((DEADLY,), now_ms)
            assert isinstance(verdict, Blocked)


def test_a_crash_with_many_requests_in_flight_does_not_displace_the_deadly_key():
    # Guards against a table that is full before the part has been seen twice.
    rng, quarantine = Random(3), Quarantine()
    for crash in (1, 2):
        beside = [tuple(rng.getrandbits(63) for _ in range(4)) for _ in range(96)]
        quarantine.on_crash(crash, [(DEADLY, OWN[crash]), *beside], 1_000.0 * crash)
    assert isinstance(quarantine.verdict((DEADLY,), 2_001.0), Blocked)
