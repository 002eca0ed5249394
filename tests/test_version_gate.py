"""A new endpoint with an outdated model version is blocked for a limited time."""

from wigeonwind.clock import ManualClock
from wigeonwind.side.version_gate import MAX_BLOCK_MS, VersionGate
from wigeonwind.state.memory_store import MemoryStore
from wigeonwind.state.rollouts import RolloutRecord, Verdict


def make_gate(verdict=Verdict.DONE, read=True):
    clock, store = ManualClock(), MemoryStore()
    record = RolloutRecord("llm", "2", "1", verdict)
    store.put("rolls/llm", record.to_bytes(), 0)
    gate = VersionGate(clock, store, "llm")
    if read:
        gate.read()
    return clock, gate


def test_an_outdated_version_is_blocked():
    _, gate = make_gate()
    assert gate.blocks("1")
    assert not gate.blocks("2")
    # Once in service, a rollout decides which version serves.
    assert not gate.blocks("1")


def test_after_a_halted_rollout_its_target_is_blocked():
    _, gate = make_gate(Verdict.HALTED)
    assert gate.blocks("2")
    assert not gate.blocks("1")


def test_no_version_is_blocked_during_a_rollout():
    _, gate = make_gate(Verdict.RUNNING)
    assert not gate.blocks("1")


def test_blocking_ends_after_the_time_limit():
    clock, gate = make_gate()
    clock.advance(MAX_BLOCK_MS + 1.0)
    assert not gate.blocks("1")


def test_all_versions_are_blocked_before_the_record_is_read():
    _, gate = make_gate(read=False)
    assert gate.blocks("2")
