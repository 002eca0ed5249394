"""Keeps a fresh endpoint out of service while it has an old model version."""

from wigeonwind.clock import Clock
from wigeonwind.outcomes import Ok
from wigeonwind.state.rollouts import Verdict, decode_rollout_record
from wigeonwind.state.store_types import Store

MAX_BLOCK_MS = 120_000.0
"""Longest time out of service; the leader looks every 60 s at today's sizes, and
an old version is better than a lost endpoint."""


class VersionGate:
    """Compares the version an endpoint came up with with the one in force.

    It is read from the rollout's record once, at the start. Without an answer of the
    store, or while a rollout is under way, any version serves.
    """

    def __init__(self, clock: Clock, store: Store, service: str) -> None:
        self._clock = clock
        self._store = store
        self._service = service
        self._started_ms = clock.now_ms()
        self._is_read = False
        self._expected = ""

    def read(self) -> None:
        """Read the version in force; blocks for one call of the store."""
        found = self._store.get(f"rolls/{self._service}")
        record = (
            decode_rollout_record(found.value.value) if isinstance(found, Ok) else None
        )
        if record is not None and record.verdict is Verdict.DONE:
            self._expected = record.target
        if record is not None and record.verdict is Verdict.HALTED:
            self._expected = record.previous
        self._is_read = True

    def blocks(self, version: str) -> bool:
        """Return whether an endpoint with this version stays out of service."""
        if not self._is_read:
            return True
        waited_ms = self._clock.now_ms() - self._started_ms
        if version == self._expected or waited_ms > MAX_BLOCK_MS:
            # Once in service it stays so: later changes are the rollout's.
            self._expected = ""
        return bool(self._expected)
