"""Metrics of the attempts at one endpoint."""

from wigeonwind.catalog import Catalog, TargetKind
from wigeonwind.clock import Clock
from wigeonwind.outcomes import ErrorCode
from wigeonwind.runtime.metrics import Metrics
from wigeonwind.side.attempt_table import Attempt
from wigeonwind.side.control_commands import VersionCounts


class SidecarMetrics:
    """Counters and latencies of one sidecar.

    Also maintains the counts of the loaded model version for the rollout controller.
    """

    def __init__(self, metrics: Metrics, clock: Clock, counts: VersionCounts) -> None:
        self._clock = clock
        self._counts = counts
        self._catalog = Catalog(0)
        outcomes_help = "Attempts by how they ended."
        self.attempts = metrics.counter("attempts", outcomes_help, ("outcome",))
        help_text = "Tokens generated and then discarded, by reason."
        self.wasted = metrics.counter("wasted_tokens", help_text, ("reason",))
        self.tokens = 0
        help_text = "Tokens generated."
        metrics.callback_counter("generated_tokens", help_text, lambda: self.tokens)
        help_text = "Submits of attempts that were known already."
        self.duplicates = metrics.counter("duplicate_submits", help_text)
        help_text = "Pause and resume calls that the engine did not carry out."
        self.control_failures = metrics.counter("engine_control_failures", help_text)
        help_text = "Time from arrival to leaving the queue."
        self.queue_wait = metrics.latency("queue_wait", help_text)
        help_text = "Time from arrival to the first token."
        self.first_token = metrics.latency("first_token", help_text)

    def set_catalog(self, catalog: Catalog) -> None:
        """Use the latency targets of another version of the configuration."""
        self._catalog = catalog

    def on_start(self, attempt: Attempt) -> None:
        """Record that an attempt has started."""
        self.queue_wait.record(self._clock.now_ms() - attempt.spec.arrived_ms)

    def on_first_token(self, attempt: Attempt) -> None:
        """Record the first token of an attempt."""
        assert attempt.first_token_ms is not None
        self.first_token.record(attempt.first_token_ms - attempt.spec.arrived_ms)

    def on_refused(self) -> None:
        """Record an attempt that was refused."""
        self.attempts.labels("refused").inc()

    def on_end(self, attempt: Attempt, outcome: str) -> None:
        """Record the outcome of a started attempt, `finished` or `failed`.

        A cancelled attempt is counted as `late` if it has missed its latency target,
        otherwise as `cancelled` and not in the counts of the model version.
        """
        if attempt.cancel_reason:
            missed_target = attempt.cancel_code is ErrorCode.DEADLINE
            self.attempts.labels("late" if missed_target else "cancelled").inc()
            self._counts.ended += missed_target
            return
        self.attempts.labels(outcome).inc()
        self._counts.ended += 1
        if outcome == "failed":
            self._counts.failed += 1
        elif self._met_target(attempt):
            self._counts.attained += 1

    def add_wasted_tokens(self, tokens: int, reason: str) -> None:
        """Count tokens that were generated and discarded."""
        if tokens > 0:
            self.wasted.labels(reason).inc(tokens)

    def _met_target(self, attempt: Attempt) -> bool:
        """Return whether an attempt that ends now has met the target of its class.

        True for a class that is not in the configuration.
        """
        request_class = self._catalog.class_by_name.get(attempt.spec.class_name)
        if request_class is None:
            return True
        now_ms = self._clock.now_ms()
        first_ms = attempt.first_token_ms
        first_ms = now_ms if first_ms is None else first_ms
        target = request_class.target
        if target.kind is TargetKind.FIRST_TOKEN:
            return first_ms - attempt.spec.arrived_ms <= target.limit_ms
        if target.kind is TargetKind.WHOLE:
            return now_ms - attempt.spec.arrived_ms <= target.limit_ms
        return (now_ms - first_ms) / max(attempt.tokens - 1, 1) <= target.limit_ms
