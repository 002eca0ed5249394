"""Separation of long and short prompts between the engines of a service.

The prefill of a long prompt delays every stream on the same engine. Long prompts are
placed from one end of a ranking of the engines, short ones from the other. All routers
derive the same ranking from hashes and so agree without coordination.
"""

from collections.abc import Sequence

from wigeonwind.decisions.endpoint_state import EndpointState
from wigeonwind.decisions.placement import PlacementRequest
from wigeonwind.hashing import stable_hash

MIN_SHORT_SHARE = 0.2
"""Smallest share of a service's engines that is reserved for short prompts."""

MAX_SHORT_SHARE = 0.65
"""Largest share of a service's engines that is reserved for short prompts."""

SHORT_SLOT_SHARE = 0.5
"""Share of slots in use of the engines for short prompts above which more engines are
reserved for them."""

LONG_SLOT_SHARE = 0.85
"""Share of an engine's slots that long prompts may hold. The rest absorbs what peers
send before their messages arrive."""

MAX_LONG_PENALTY = 0.36
"""Penalty of a long prompt on the last engine of the ranking, relative to its latency
target. It decreases to zero towards the engines for long prompts, so that long prompts
use more engines as the wait for the first ones grows."""

SHORT_ON_LONG_PENALTY = 0.6
"""Penalty of a short prompt on an engine for long ones, relative to its latency
target."""

MAX_SHORT_PENALTY = 0.03
"""Penalty of a short prompt on the engine next to those for long prompts, relative to
its latency target. It decreases to zero on the last engine, so that the engines that
long prompts use next run fewer streams. With a larger one, all streams run on the last
engine, whose steps become slow."""

SLOT_WAIT_MS = 60.0
"""Expected wait for each request beyond the usable share of an engine's slots: a stream
holds one of 32 slots for 2 s, so that a slot becomes free about every 60 ms."""


class EngineRanking:
    """The engines of one service, in the order that all routers derive."""

    def __init__(self, engines: Sequence[EndpointState]) -> None:
        self._ranked = sorted(engines, key=_rank)
        count = len(self._ranked)
        short_prompts = sum(
            each.in_flight_count - each.long_prompt_count for each in engines
        )
        slots = sum(each.candidate.slots for each in engines)
        short_share_needed = short_prompts / max(1.0, SHORT_SLOT_SHARE * slots)
        share = min(max(short_share_needed, MIN_SHORT_SHARE), MAX_SHORT_SHARE)
        self._boundary = max(1.0, count * (1.0 - share))
        self._long_engine_count = max(1, round(self._boundary))

    def long_limits(self) -> list[tuple[EndpointState, float]]:
        """Return each engine with the most long prompts that it should run."""
        return [
            (engine, LONG_SLOT_SHARE * self._long_share(rank) * engine.candidate.slots)
            for rank, engine in enumerate(self._ranked)
        ]

    def _long_share(self, rank: int) -> float:
        """Return the share of an engine that is for long prompts, 0 to 1."""
        return min(1.0, max(0.0, self._boundary - rank + 0.5))

    def has_capacity(self) -> bool:
        """Return whether the engines together can take another long prompt."""
        limits = self.long_limits()
        running = sum(engine.long_prompt_count for engine, _ in limits)
        return running < sum(limit for _, limit in limits)

    def penalties(self, request: PlacementRequest) -> dict[str, float]:
        """Return the penalties in ms, by endpoint id, that separate long from short.

        Empty for calls to plain services and for a single engine.
        """
        if not request.is_generation or len(self._ranked) < 2:
            return {}
        return (
            self._long_penalties(request)
            if request.is_long
            else self._short_penalties(request)
        )

    def _long_penalties(self, request: PlacementRequest) -> dict[str, float]:
        others = max(1, len(self._ranked) - self._long_engine_count)
        step_ms = MAX_LONG_PENALTY * request.target_ms / others
        return {
            engine.candidate.endpoint_id: step_ms
            * max(0, rank - self._long_engine_count + 1)
            + max(0.0, engine.long_prompt_count + 1 - limit) * SLOT_WAIT_MS
            for rank, (engine, limit) in enumerate(self.long_limits())
        }

    def _short_penalties(self, request: PlacementRequest) -> dict[str, float]:
        count = len(self._ranked)
        others = max(1, count - self._long_engine_count)
        step_ms = MAX_SHORT_PENALTY * request.target_ms / others
        long_engine_ms = SHORT_ON_LONG_PENALTY * request.target_ms
        return {
            engine.candidate.endpoint_id: long_engine_ms
            if rank < self._long_engine_count
            else step_ms * (count - 1 - rank)
            for rank, engine in enumerate(self._ranked)
        }


def _rank(engine: EndpointState) -> tuple[int, str]:
    name = engine.candidate.endpoint_id
    return stable_hash(name), name
