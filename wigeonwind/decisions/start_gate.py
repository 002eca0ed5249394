"""Limits the attempts of lower classes that an engine may hold.

An engine cannot release prompts in prefill or KV memory as fast as a slot, so
preemption alone does not leave prefill time and KV memory for urgent attempts.
"""

from collections.abc import Iterable

from wigeonwind.catalog import RequestClass, TargetKind
from wigeonwind.decisions.class_queue import AdmittedAttempt, ClassQueue
from wigeonwind.decisions.estimates import ServiceEstimates
from wigeonwind.decisions.preemption import PausedKvCache

PREFILL_SHARE = 0.2
"""Share of the shortest first-token target of more urgent classes that the prefill of
prompts of a class may take.

An engine prefills prompts in order of arrival regardless of priority, so prompts that
it holds delay an urgent one. The rest of the target is left for the urgent prompt and
for urgent prompts before it.
"""


LOWER_CLASS_KV_SHARE = 0.8
"""Share of the KV memory up to which attempts of lower classes start.

An engine reserves memory for a whole answer, and requests that wait for memory are not
overtaken. With long prompts in all slots, an urgent request gets a slot at once but can
wait for memory for several seconds. The rest also covers answers longer than expected.
"""

OVERLONG_GROWTH = 0.5
"""Expected further tokens of an answer that is longer than the mean, relative to its
present length; the longer an answer is, the more tokens are still to come."""


class StartGate:
    """Bounds the pending prefill and the KV memory of lower classes in an engine.

    One prompt in prefill is always allowed, and memory is not checked if nothing runs,
    so that a request of any size can start.
    """

    def __init__(self, estimates: ServiceEstimates, cache: PausedKvCache) -> None:
        self._estimates = estimates
        self._paused_cache = cache
        self._prefill_limit_ms_by_priority: dict[int, float] = {}
        self._top_priority = 0

    def configure(self, classes: Iterable[RequestClass]) -> None:
        """Set the classes whose priorities and targets apply."""
        rows = list(classes)
        self._top_priority = min((each.priority for each in rows), default=0)
        self._prefill_limit_ms_by_priority = {
            each.priority: _prefill_limit_ms(each, rows) for each in rows
        }

    def allows(self, attempt: AdmittedAttempt, queues: Iterable[ClassQueue]) -> bool:
        """Return whether an attempt may start; the most urgent class always may."""
        if attempt.priority <= self._top_priority or not attempt.spec.may_pause:
            return True
        running = [other for queue in queues for other in queue.pausable()]
        return self._prefill_fits(attempt, running) and self._has_kv_memory(
            attempt, running
        )

    def _prefill_fits(
        self, attempt: AdmittedAttempt, running: Iterable[AdmittedAttempt]
    ) -> bool:
        """Return whether the prefill of lower classes fits with this prompt added.

        The engine prefills one prompt at a time, so waiting in the queue instead of in
        the engine delays none of them.
        """
        limit_ms = self._prefill_limit_ms_by_priority.get(
            attempt.priority, float("inf")
        )
        if attempt.tokens or limit_ms == float("inf"):
            return True
        pending = sum(
            other.context_tokens
            for other in running
            if other.priority > self._top_priority and not other.tokens
        )
        tokens = pending + attempt.context_tokens
        per_token_ms = self._estimates.prefill_ms_per_token
        return not pending or tokens * per_token_ms <= limit_ms

    def _has_kv_memory(
        self, attempt: AdmittedAttempt, running: list[AdmittedAttempt]
    ) -> bool:
        limit = self._paused_cache.costs.kv_limit_tokens
        if not limit or not running:
            return True
        paused = self._paused_cache.kept_tokens - attempt.kept_tokens
        needed = sum(self._expected_total_tokens(each) for each in (*running, attempt))
        return needed + paused <= LOWER_CLASS_KV_SHARE * limit

    def _expected_total_tokens(self, attempt: AdmittedAttempt) -> float:
        """Return the expected tokens of context and remaining answer."""
        mean = self._estimates.answer_tokens(attempt.spec.class_name)
        further = max(mean - attempt.tokens, OVERLONG_GROWTH * attempt.tokens)
        return attempt.context_tokens + further


def _prefill_limit_ms(
    request_class: RequestClass, classes: Iterable[RequestClass]
) -> float:
    """Return the time that the pending prefill of a class may take."""
    targets = [
        PREFILL_SHARE * other.target.limit_ms
        for other in classes
        if other.priority < request_class.priority
        and other.target.kind is TargetKind.FIRST_TOKEN
    ]
    return min(targets, default=float("inf"))
