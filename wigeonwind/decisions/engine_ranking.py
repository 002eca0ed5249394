"""Which engines are for long prompts and which for short ones.

Reading a long prompt delays every stream that runs on the same engine. Long prompts
begin at one end of the ranking of engines and short ones at the other. All entries
derive the same ranking, so that they agree without talking to each other.
"""

from collections.abc import Sequence

from wigeonwind.decisions.endpoint_state import EndpointState
from wigeonwind.decisions.placement import PlacementRequest
from wigeonwind.hashing import stable_hash

MIN_SHORT_SHARE = 0.35
"""Least share of a service's engines that is kept for short prompts."""

MAX_SHORT_SHARE = 0.65
"""Largest share of a service's engines that is kept for short prompts."""

SHORT_SLOT_SHARE = 0.5
"""Share of the slots of an engine for short prompts from which another one is kept."""

LONG_SLOT_SHARE = 0.85
"""Share of the slots of an engine that long prompts may hold. The rest takes what
peers send before their messages arrive."""

LONG_SPAN = 0.36
"""Penalty of a long prompt on the last engine of the ranking, in its latency targets.
It falls to nothing towards the engines for long prompts, so that long prompts spread
over more engines as their own wait grows."""

SHORT_PENALTY = 0.6
"""Penalty of a short prompt on an engine for long ones, in its latency targets."""

SHORT_SPAN_MS = 30.0
"""Penalty of a short prompt on the engine next to those for long prompts, falling to
nothing on the last one: long prompts that spread find few streams first."""

SLOT_WAIT_MS = 60.0
"""Wait for each request beyond that share: a stream holds one of 32 slots for 2 s."""


class EngineRanking:
    """The engines of one service in their common order."""

    def __init__(self, engines: Sequence[EndpointState]) -> None:
        self._ranked = sorted(engines, key=_rank)
        count = len(self._ranked)
        short = sum(each.outstanding_count - each.long_count for each in engines)
        slots = sum(each.candidate.slots for each in engines)
        wanted = short / max(1.0, SHORT_SLOT_SHARE * slots)
        share = min(max(wanted, MIN_SHORT_SHARE), MAX_SHORT_SHARE)
        self._boundary = max(1.0, count * (1.0 - share))
        self._long_count = max(1, round(self._boundary))

    def long_limits(self) -> list[tuple[EndpointState, float]]:
        """Return how many long prompts each engine is meant to run."""
        return [
            (engine, LONG_SLOT_SHARE * self._long_share(rank) * engine.candidate.slots)
            for rank, engine in enumerate(self._ranked)
        ]

    def _long_share(self, rank: int) -> float:
        """Return which part of an engine is for long prompts, 0 to 1."""
        return min(1.0, max(0.0, self._boundary - rank + 0.5))

    def has_capacity(self) -> bool:
        """Return whether the engines together run fewer long prompts than meant."""
        limits = self.long_limits()
        running = sum(engine.long_count for engine, _ in limits)
        return running < sum(limit for _, limit in limits)

    def penalties(self, work: PlacementRequest) -> dict[str, float]:
        """Return by engine what keeps long and short prompts apart, in ms."""
        if not work.is_generation or len(self._ranked) < 2:
            return {}
        return (
            self._long_penalties(work) if work.is_long else self._short_penalties(work)
        )

    def _long_penalties(self, work: PlacementRequest) -> dict[str, float]:
        others = max(1, len(self._ranked) - self._long_count)
        step_ms = LONG_SPAN * work.target_ms / others
        return {
            engine.candidate.endpoint_id: step_ms * max(0, rank - self._long_count + 1)
            + max(0.0, engine.long_count + 1 - limit) * SLOT_WAIT_MS
            for rank, (engine, limit) in enumerate(self.long_limits())
        }

    def _short_penalties(self, work: PlacementRequest) -> dict[str, float]:
        count = len(self._ranked)
        step_ms = SHORT_SPAN_MS / max(1, count - self._long_count)
        far_ms = SHORT_PENALTY * work.target_ms
        return {
            engine.candidate.endpoint_id: far_ms
            if rank < self._long_count
            else step_ms * (count - 1 - rank)
            for rank, engine in enumerate(self._ranked)
        }


def _rank(engine: EndpointState) -> tuple[int, str]:
    name = engine.candidate.endpoint_id
    return stable_hash(name), name
