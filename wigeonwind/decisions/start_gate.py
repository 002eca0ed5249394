"""Whether lower work may start beside what runs, with urgent work still to come.

Prompts and memory that an engine has taken cannot be given back as fast as a slot.
"""

from collections.abc import Iterable

from wigeonwind.catalog import RequestClass, TargetKind
from wigeonwind.decisions.class_queue import AdmittedAttempt, ClassQueue
from wigeonwind.decisions.estimates import ServiceEstimates
from wigeonwind.decisions.preemption import PausedKvCache

PREFILL_SHARE = 0.2
"""Share of the shortest first-token target above a class that its prompts may fill.

An engine prefills prompts in the order in which it got them, whatever their priority,
so prompts that it holds already delay an urgent one. The rest of the target is for the
urgent prompt itself and for urgent ones before it.
"""


LOWER_KV_SHARE = 0.8
"""Share of the KV memory up to which lower work starts.

An engine reserves memory for a whole answer and lets no later request overtake one that
waits for it. With long prompts in all slots, an urgent request had its slot at once but
waited several seconds for memory. The rest also covers answers longer than expected.
"""

LENGTHENING = 0.5
"""Further tokens expected of an answer that is longer than the mean, as a share of
what it has so far; long answers have long rests."""


class StartGate:
    """Bounds the prompts and the memory that lower classes take in an engine.

    One prompt at a time is always allowed, and without running work there is always
    room, so that a request of any size gets its turn.
    """

    def __init__(self, estimates: ServiceEstimates, cache: PausedKvCache) -> None:
        self._estimates = estimates
        self._cache = cache
        self._limit_ms_by_priority: dict[int, float] = {}
        self._top = 0

    def configure(self, classes: Iterable[RequestClass]) -> None:
        """Use the priorities and targets of these classes."""
        rows = list(classes)
        self._top = min((each.priority for each in rows), default=0)
        self._limit_ms_by_priority = {
            each.priority: _limit_ms(each, rows) for each in rows
        }

    def allows(self, work: AdmittedAttempt, parts: Iterable[ClassQueue]) -> bool:
        """Return whether the work may start; the most urgent class always may."""
        if work.priority <= self._top or not work.spec.may_pause:
            return True
        running = [other for part in parts for other in part.pausable()]
        return self._has_time(work, running) and self._has_room(work, running)

    def _has_time(
        self, work: AdmittedAttempt, running: Iterable[AdmittedAttempt]
    ) -> bool:
        """Return whether its prompt and those of lower work before it are short.

        The engine prefills one prompt after another, so to wait here instead of there
        delays none of them.
        """
        limit_ms = self._limit_ms_by_priority.get(work.priority, float("inf"))
        if work.tokens or limit_ms == float("inf"):
            return True
        pending = sum(
            other.context_tokens
            for other in running
            if other.priority > self._top and not other.tokens
        )
        tokens = pending + work.context_tokens
        per_token_ms = self._estimates.prefill_ms_per_token
        return not pending or tokens * per_token_ms <= limit_ms

    def _has_room(self, work: AdmittedAttempt, running: list[AdmittedAttempt]) -> bool:
        limit = self._cache.costs.kv_limit_tokens
        if not limit or not running:
            return True
        paused = self._cache.kept_tokens - work.kept_tokens
        needed = sum(self._whole_tokens(each) for each in (*running, work))
        return needed + paused <= LOWER_KV_SHARE * limit

    def _whole_tokens(self, work: AdmittedAttempt) -> float:
        """Return the expected tokens of prompt and whole answer."""
        mean = self._estimates.answer_tokens(work.spec.class_name)
        further = max(mean - work.tokens, LENGTHENING * work.tokens)
        return work.context_tokens + further


def _limit_ms(request_class: RequestClass, classes: Iterable[RequestClass]) -> float:
    """Return the time that pending prompts of a class may take."""
    targets = [
        PREFILL_SHARE * other.target.limit_ms
        for other in classes
        if other.priority < request_class.priority
        and other.target.kind is TargetKind.FIRST_TOKEN
    ]
    return min(targets, default=float("inf"))
