"""Keeps a new endpoint out of service while it has an outdated model version."""

from wigeonwind.clock import Clock
from wigeonwind.outcomes import Ok
from wigeonwind.state.rollouts import Verdict, decode_rollout_record
from wigeonwind.state.store_types import Store

MAX_BLOCK_MS = 120_000.0
"""Longest time out of service. The rollout controller polls each sidecar every 60 s at
present fleet sizes; an outdated version is better than a lost endpoint."""


class VersionGate:
    """Compares the version of a new endpoint with the version in force.

    The version in force is read once, at the start, from the record of the last
    rollout; until then all versions are blocked. If the store does not respond, or a
    rollout is running, any version is allowed.
    """

    def __init__(self, clock: Clock, store: Store, service: str) -> None:
        self._clock = clock
        self._store = store
        self._service = service
        self._started_ms = clock.now_ms()
        self._is_read = False
        self._expected = ""

    def read(self) -> None:
        """Read the version in force; blocks for one call to the store."""
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
        """Return whether an endpoint with this version is kept out of service."""
        if not self._is_read:
            return True
        waited_ms = self._clock.now_ms() - self._started_ms
        if version == self._expected or waited_ms > MAX_BLOCK_MS:
            # Once in service, the endpoint stays in service: rollouts make all later
            # changes of its version.
            self._expected = ""
        return bool(self._expected)
