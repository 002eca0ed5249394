"""Preemption: which running attempt is paused, and what happens to its KV cache."""

from dataclasses import dataclass

from wigeonwind.decisions.class_queue import AdmittedAttempt

MIN_RUN_MS = 250.0
"""Least time that an attempt runs after a start or resumption before it may be paused.

Bounds the number of pauses to four per second and slot, and the delay of an urgent
start to this time.
"""

PAUSE_COST_FACTOR = 4.0
"""Least run time relative to the cost of a pause: at most a fifth of the slot time is
lost to pauses."""

SAME_CLASS_RUN_MS = 2000.0
"""Least time that an attempt runs before a shorter one of its class may pause it."""

SAME_CLASS_MARGIN_MS = 5000.0
"""Least difference in rank for a pause within a class."""

PAUSED_KV_SHARE = 0.25
"""Share of an engine's KV memory that paused attempts may keep; more would leave
running attempts without memory, which stalls the batch."""


@dataclass(frozen=True)
class KvCosts:
    """Costs of moving KV cache, and limits of KV memory in tokens.

    `paused_limit_tokens` is the cache of paused attempts that the engine may keep,
    `kv_limit_tokens` the total KV memory of the engine, 0 if unknown.
    """

    export_ms_per_token: float = 0.02
    import_ms_per_token: float = 0.02
    paused_limit_tokens: int = 100_000
    kv_limit_tokens: int = 0


class PausedKvCache:
    """Accounts for the KV cache of paused attempts and the number of pauses."""

    def __init__(self, costs: KvCosts) -> None:
        self.costs = costs
        self.kept_tokens = 0
        self.pauses = 0
        self.dropped_tokens = 0

    def choose(self, tokens: int, prefill_ms_per_token: float) -> str:
        """Return `keep`, `export` or `drop` for the cache of `tokens` tokens.

        The cache is kept, at no cost, while it fits into `paused_limit_tokens` beside
        that of other paused attempts. Otherwise it is exported if moving it costs less
        than recomputing it, and dropped if not.

        >>> cache = PausedKvCache(KvCosts(paused_limit_tokens=1000))
        >>> cache.choose(800, 0.2), cache.choose(1200, 0.2), cache.choose(1200, 0.01)
        ('keep', 'export', 'drop')
        """
        if self.kept_tokens + tokens <= self.costs.paused_limit_tokens:
            return "keep"
        if (
            self.costs.export_ms_per_token + self.costs.import_ms_per_token
            < prefill_ms_per_token
        ):
            return "export"
        return "drop"

    def cost_ms(self, tokens: int, prefill_ms_per_token: float) -> float:
        """Return the engine time that a pause and the resumption cost."""
        kv = self.choose(tokens, prefill_ms_per_token)
        if kv == "keep":
            return 0.0
        if kv == "export":
            return tokens * (
                self.costs.export_ms_per_token + self.costs.import_ms_per_token
            )
        return tokens * prefill_ms_per_token

    def on_pause(self, attempt: AdmittedAttempt, prefill_ms_per_token: float) -> str:
        """Record a pause; return what to do with the KV cache of the attempt."""
        tokens = attempt.context_tokens
        kv = self.choose(tokens, prefill_ms_per_token)
        self.pauses += 1
        attempt.kept_tokens = tokens if kv == "keep" else 0
        self.kept_tokens += attempt.kept_tokens
        if kv == "drop":
            self.dropped_tokens += tokens
        return kv

    def release(self, attempt: AdmittedAttempt) -> None:
        """Record that an attempt is no longer paused."""
        self.kept_tokens -= attempt.kept_tokens
        attempt.kept_tokens = 0


def may_preempt(
    attempt: AdmittedAttempt, cost_ms: float, slack_ms: float, now_ms: float
) -> bool:
    """Return whether a more urgent attempt may pause this one now.

    `cost_ms` is the cost of the pause, `slack_ms` the time for which the urgent attempt
    can wait and still meet its target. If the slack is shorter than the rest of the
    minimum run, meeting the target takes precedence over the minimum run.
    """
    minimum_ms = max(MIN_RUN_MS, PAUSE_COST_FACTOR * cost_ms)
    remaining_ms = minimum_ms - (now_ms - attempt.running_since_ms)
    return remaining_ms <= 0.0 or 0.0 <= slack_ms < remaining_ms


def may_preempt_same_class(
    running: AdmittedAttempt, queued: AdmittedAttempt, now_ms: float
) -> bool:
    """Return whether a queued attempt may pause a running one of the same class."""
    has_run = now_ms - running.running_since_ms >= SAME_CLASS_RUN_MS
    return has_run and running.rank > queued.rank + SAME_CLASS_MARGIN_MS
