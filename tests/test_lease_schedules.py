"""The lease under random schedules of pauses, lost responses and clock drift."""

from random import Random

import pytest

from wigeonwind.clock import ManualClock
from wigeonwind.state import lease as lease_module
from wigeonwind.state.lease import LEASE_KEY, Lease, decode_lease_value
from wigeonwind.state.memory_store import MemoryStore

RATES = (0.99, 1.0, 1.01)
"""Clock rates, up to 1% from real time."""

PAUSES_MS = (100.0, 5_000.0, 5_000.0, 16_000.0, 40_000.0)
"""Mean pauses between steps of a process, below and above LEASE_MS and TAKEOVER_MS."""


def run_schedule(seed: int) -> set[int]:
    """Check every state of one random schedule; return the fencing tokens held."""
    rng = Random(seed)
    store = MemoryStore()
    clocks = [ManualClock(rng.uniform(0.0, 1e6)) for _ in RATES]
    leases = [Lease(store, f"p{n}", clock) for n, clock in enumerate(clocks)]
    holder_by_token: dict[int, int] = {}
    for _ in range(60):
        elapsed_ms = rng.choice(PAUSES_MS) / len(RATES)
        for clock, rate in zip(clocks, RATES, strict=True):
            clock.advance(elapsed_ms * rate)
        store.faults.lose_answer = int(rng.random() < 0.15)
        store.faults.fail_before = int(rng.random() < 0.1)
        store.faults.down = rng.random() < 0.1
        number = rng.randrange(len(RATES))
        if rng.random() < 0.05:
            leases[number].release()
        else:
            leases[number].step()
        tokens = [lease.fence() for lease in leases]
        held = [(n, token) for n, token in enumerate(tokens) if token is not None]
        assert len(held) <= 1, seed
        for holder, token in held:
            assert holder_by_token.setdefault(token, holder) == holder, seed
            stored = decode_lease_value(store.object_by_key[LEASE_KEY].value)
            assert stored is not None and stored.fence == token, seed
    return set(holder_by_token)


def test_there_is_never_a_second_holder_or_a_reused_token() -> None:
    # Guards against a lease that is still valid after a takeover, and a reused token.
    tokens = [run_schedule(seed) for seed in range(1_500)]
    assert max(max(held, default=0) for held in tokens) >= 5


def test_a_takeover_before_the_end_of_the_lease_is_detected(monkeypatch) -> None:
    monkeypatch.setattr(lease_module, "TAKEOVER_MS", lease_module.LEASE_MS * 0.5)
    with pytest.raises(AssertionError):
        for seed in range(1_500):
            run_schedule(seed)
