"""A fresh endpoint with an old model version takes no work, but not for ever."""

from wigeonwind.clock import ManualClock
from wigeonwind.side.version_gate import MAX_BLOCK_MS, VersionGate
from wigeonwind.state.memory_store import MemoryStore
from wigeonwind.state.rollouts import RolloutRecord, Verdict


def make_hold(verdict=Verdict.DONE, read=True):
    clock, store = ManualClock(), MemoryStore()
    record = RolloutRecord("llm", "2", "1", verdict)
    store.put("rolls/llm", record.to_bytes(), 0)
    hold = VersionGate(clock, store, "llm")
    if read:
        hold.read()
    return clock, hold


def test_an_old_version_waits_for_its_order():
    _, hold = make_hold()
    assert hold.blocks("1")
    assert not hold.blocks("2")
    # Once in service, a rollout decides which version serves.
    assert not hold.blocks("1")


def test_the_halted_version_is_the_old_one_here():
    _, hold = make_hold(Verdict.HALTED)
    assert hold.blocks("2")
    assert not hold.blocks("1")


def test_any_version_serves_while_a_rollout_is_under_way():
    _, hold = make_hold(Verdict.RUNNING)
    assert not hold.blocks("1")


def test_an_endpoint_is_not_lost_when_no_order_comes():
    clock, hold = make_hold()
    clock.advance(MAX_BLOCK_MS + 1.0)
    assert not hold.blocks("1")


def test_nothing_is_decided_before_the_record_was_read():
    _, hold = make_hold(read=False)
    assert hold.blocks("2")
