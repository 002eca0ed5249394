"""Pausing: which running work gives way, and what becomes of its KV cache."""

from dataclasses import dataclass

from wigeonwind.decisions.class_queue import AdmittedAttempt

MIN_RUN_MS = 250.0
"""Time that started or resumed work runs before more urgent work may pause it.

At most four pauses a second and slot; an urgent start is delayed by no more than this.
"""

PAUSE_COST_FACTOR = 4.0
"""An attempt also runs this many times the cost of pausing it: at most a fifth of the
slot time is lost."""

SAME_CLASS_RUN_MS = 2000.0
"""Time that work runs before shorter work of its own class may pause it."""

SAME_CLASS_MARGIN_MS = 5000.0
"""Difference in rank that is worth a pause within a class."""

PAUSED_KV_SHARE = 0.25
"""Share of an engine's KV memory that paused work may keep; more would leave running
work without memory, which stalls the batch."""


@dataclass(frozen=True)
class KvCosts:
    """Costs of moving KV cache, in milliseconds per token, and room for it.

    `paused_limit_tokens` is how much cache of paused work the engine may keep,
    `kv_limit_tokens` how much cache it has room for in all; 0 if that is unknown.
    """

    export_ms: float = 0.02
    import_ms: float = 0.02
    paused_limit_tokens: int = 100_000
    kv_limit_tokens: int = 0


class PausedKvCache:
    """The KV cache of paused work, and what its pauses have cost."""

    def __init__(self, costs: KvCosts) -> None:
        self.costs = costs
        self.kept_tokens = 0
        self.pauses = 0
        self.dropped_tokens = 0

    def choose(self, tokens: int, prefill_ms_per_token: float) -> str:
        """Return `keep`, `export` or `drop` for the cache of `tokens` tokens.

        Keeping costs nothing while there is room beside the cache of other paused
        work. Beyond that the cheaper of moving and recomputing decides.

        >>> cache = PausedKvCache(KvCosts(paused_limit_tokens=1000))
        >>> cache.choose(800, 0.2), cache.choose(1200, 0.2), cache.choose(1200, 0.01)
        ('keep', 'export', 'drop')
        """
        if self.kept_tokens + tokens <= self.costs.paused_limit_tokens:
            return "keep"
        if self.costs.export_ms + self.costs.import_ms < prefill_ms_per_token:
            return "export"
        return "drop"

    def cost_ms(self, tokens: int, prefill_ms_per_token: float) -> float:
        """Return the engine time that a pause and the later resumption cost."""
        kv = self.choose(tokens, prefill_ms_per_token)
        if kv == "keep":
            return 0.0
        if kv == "export":
            return tokens * (self.costs.export_ms + self.costs.import_ms)
        return tokens * prefill_ms_per_token

    def on_pause(self, work: AdmittedAttempt, prefill_ms_per_token: float) -> str:
        """Decide on the cache of work that is paused, and count it."""
        tokens = work.context_tokens
        kv = self.choose(tokens, prefill_ms_per_token)
        self.pauses += 1
        work.kept_tokens = tokens if kv == "keep" else 0
        self.kept_tokens += work.kept_tokens
        if kv == "drop":
            self.dropped_tokens += tokens
        return kv

    def on_leave(self, work: AdmittedAttempt) -> None:
        """Count that work is paused no longer."""
        self.kept_tokens -= work.kept_tokens
        work.kept_tokens = 0


def has_run_enough(
    work: AdmittedAttempt, cost_ms: float, slack_ms: float, now_ms: float
) -> bool:
    """Return whether more urgent work may pause this work now.

    `slack_ms` is what the urgent work can still wait for its target. With less slack
    than the rest of the minimum run, the target counts more than the pause.
    """
    minimum_ms = max(MIN_RUN_MS, PAUSE_COST_FACTOR * cost_ms)
    remaining_ms = minimum_ms - (now_ms - work.running_since_ms)
    return remaining_ms <= 0.0 or 0.0 <= slack_ms < remaining_ms


def is_worth_same_class(
    running: AdmittedAttempt, waiting: AdmittedAttempt, now_ms: float
) -> bool:
    """Return whether waiting work of the same class may pause running work."""
    has_run = now_ms - running.running_since_ms >= SAME_CLASS_RUN_MS
    return has_run and running.rank > waiting.rank + SAME_CLASS_MARGIN_MS
