"""The queue of one endpoint: scheduling, admission, guaranteed shares, preemption."""

from collections.abc import Iterator
from heapq import heappop, heappush
from itertools import count
from random import Random

from wigeonwind.catalog import Catalog, RequestClass
from wigeonwind.decisions.admission import Admission
from wigeonwind.decisions.class_queue import (
    WAITING_STATES,
    AdmittedAttempt,
    AttemptState,
    ClassQueue,
)
from wigeonwind.decisions.estimates import ServiceEstimates
from wigeonwind.decisions.fair_queue import rank_ms
from wigeonwind.decisions.guaranteed_shares import GuaranteedShares
from wigeonwind.decisions.interfaces import (
    Admitted,
    AttemptKey,
    AttemptSpec,
    ExpireAttempt,
    PauseAttempt,
    QueueAction,
    QueueReport,
    Rejected,
    ResumeAttempt,
    StartAttempt,
)
from wigeonwind.decisions.preemption import (
    KvCosts,
    PausedKvCache,
    may_preempt,
    may_preempt_same_class,
)
from wigeonwind.decisions.start_gate import StartGate
from wigeonwind.outcomes import ErrorCode

RECHECK_MS = 50.0
"""Interval at which queued attempts are checked again if no event occurs."""

MAX_WAITING = 10_000
"""Most queued attempts of one class; bounds memory if latency targets do not."""

OVERRUN_FACTOR = 1.1
"""Actual over expected slot time above which the expectation is doubled."""

DEFAULT_KV_COSTS = KvCosts()


class EndpointQueue:
    """Strict priority between classes, with guaranteed shares and preemption.

    Bounds of the promises P1 and P2, with L the longest time for which an attempt holds
    its slot without a pause and k the number of classes:

    - The most urgent class that has attempts waits for a lower class no longer than
      the minimum run of attempts that can be paused, or L for those that cannot, apart
      from the slots of guaranteed shares.
    - Every other class gets a slot within `GuaranteedShares.bound_ms` (P2): its share m
      of S slots leaves a fraction f beyond whole slots, and the bound is
      QUANTUM_MS * (1 - f) / f + L + (k - 1) * (MAX_CREDIT_MS + L), without the first
      term if it has a whole slot.
    - An attempt that `offer` refuses would also be refused without attempts of lower
      classes (P1): `Admission` counts attempts of the same and of more urgent classes
      only. A guaranteed share can delay urgent attempts. If a lower class held a slot
      while an attempt waited, the attempt expires only at the caller's deadline, not
      at the max_wait of its class. After max_wait it is served before all others of
      its class, so it waits for one slot at most.

    Serves the classes of `service`, or all classes if the service is unknown or names
    none.
    """

    def __init__(
        self,
        catalog: Catalog,
        slots: int,
        rng: Random,
        kv_costs: KvCosts = DEFAULT_KV_COSTS,
        service: str = "",
    ) -> None:
        self._service = service
        self._slots = slots
        self._paused_cache = PausedKvCache(kv_costs)
        self._now_ms = 0.0
        self._estimates = ServiceEstimates()
        self._admission = Admission(self._estimates, slots, rng)
        self._shares = GuaranteedShares()
        self._start_gate = StartGate(self._estimates, self._paused_cache)
        self._queue_by_class: dict[str, ClassQueue] = {}
        self._attempt_by_key: dict[AttemptKey, AdmittedAttempt] = {}
        self._timers: list[tuple[float, int, AdmittedAttempt]] = []
        self._timer_numbers = count()
        self._running = 0
        self._queued_tokens = 0
        self.set_catalog(catalog)

    def set_catalog(self, catalog: Catalog) -> None:
        """Use another version of the configuration for new attempts."""
        self._catalog = catalog
        for name, request_class in self._served_classes().items():
            existing = self._queue_by_class.get(name)
            if existing is None or not existing.attempt_count:
                self._queue_by_class[name] = ClassQueue(request_class)
            else:
                existing.request_class = request_class
        for name in set(self._queue_by_class) - set(self._served_classes()):
            if not self._queue_by_class[name].attempt_count:
                del self._queue_by_class[name]
        self._rebuild()

    def _served_classes(self) -> dict[str, RequestClass]:
        service = self._catalog.service_by_name.get(self._service)
        names = service.classes if service and service.classes else None
        return {
            name: request_class
            for name, request_class in self._catalog.class_by_name.items()
            if names is None or name in names
        }

    def set_slots(self, slots: int) -> None:
        """Set the number of attempts that the endpoint runs concurrently."""
        if slots != self._slots:
            self._slots = slots
            self._rebuild()

    def set_kv_costs(self, kv_costs: KvCosts) -> None:
        """Set the costs of moving KV cache and the KV memory of the engine."""
        self._paused_cache.costs = kv_costs

    def _rebuild(self) -> None:
        """Recompute the state that depends on the classes and the number of slots."""
        served = self._served_classes()
        min_shares = {name: served[name].min_share for name in served}
        self._shares.configure(min_shares, self._slots)
        self._start_gate.configure(served.values())
        priorities = {queue.priority for queue in self._queue_by_class.values()}
        priorities.update(attempt.priority for attempt in self._attempt_by_key.values())
        remaining = [
            (
                attempt.priority,
                max(0.0, attempt.expected_slot_ms - attempt.slot_ms(self._now_ms)),
            )
            for attempt in self._attempt_by_key.values()
        ]
        self._admission.rebuild(priorities, self._slots, remaining, self._now_ms)

    def offer(self, spec: AttemptSpec, now_ms: float) -> Admitted | Rejected:
        """Admit or refuse an attempt; one that is already admitted is not added again.

        The wait is bounded by the backlog, by the guaranteed share of the class and by
        the rate at which slots become free.
        """
        self._advance(now_ms)
        queue = self._queue_by_class.get(spec.class_name)
        if queue is None or spec.class_name not in self._catalog.class_by_name:
            reason = f"class {spec.class_name} is not configured"
            return Rejected(ErrorCode.UNKNOWN_CLASS.value, reason, 0.0)
        position = self._position(queue)
        if spec.key in self._attempt_by_key:
            return Admitted(position)
        deadlines = self._admission.start_deadlines(spec, queue.request_class)
        queues = self._queue_by_class.values()
        ahead = sum(
            other.attempt_count for other in queues if other.priority <= queue.priority
        )
        turnover_ms = self._admission.turnover_ms(spec, queue.priority, ahead)
        bound_ms = min(turnover_ms, self._share_wait_ms(queue, now_ms))
        rejected = self._admission.decide(queue.priority, deadlines, bound_ms, now_ms)
        if rejected is not None:
            return rejected
        if queue.waiting_count >= MAX_WAITING:
            return self._admission.overload_rejection(
                0.0, "too many requests of the class are queued"
            )
        expected_slot_ms = self._estimates.slot_ms(spec)
        rank = rank_ms(spec.arrived_ms, spec.resume_tokens)
        attempt = AdmittedAttempt(
            spec, queue.priority, deadlines, expected_slot_ms, rank, now_ms
        )
        self._admit(queue, attempt, now_ms)
        return Admitted(position)

    def _share_wait_ms(self, queue: ClassQueue, now_ms: float) -> float:
        """Return the wait if the class is served by its guaranteed share alone."""
        shares = self._shares
        share_in_slots, first_slot_ms = (
            shares.share_in_slots(queue.name),
            shares.first_slot_ms(queue.name),
        )
        return queue.share_backlog.wait_ms(share_in_slots, first_slot_ms, now_ms)

    def _position(self, queue: ClassQueue) -> int:
        """Return the number of ready attempts ahead of a new one of the class."""
        return sum(
            other.ready_count
            for other in self._queue_by_class.values()
            if other is queue or other.priority < queue.priority
        )

    def _admit(
        self, queue: ClassQueue, attempt: AdmittedAttempt, now_ms: float
    ) -> None:
        customer = self._catalog.customer_by_name.get(attempt.spec.customer)
        queue.admit(attempt, customer.weight if customer else 1.0)
        self._attempt_by_key[attempt.spec.key] = attempt
        self._queued_tokens += attempt.spec.prompt_tokens
        self._admission.add(attempt.priority, attempt.expected_slot_ms, now_ms)
        queue.share_backlog.add(attempt.expected_slot_ms)
        if attempt.deadlines.target_ms < attempt.deadlines.expire_ms:
            self._set_timer(attempt.deadlines.target_ms, attempt)
        if attempt.deadlines.expire_ms < float("inf"):
            self._set_timer(attempt.deadlines.expire_ms, attempt)

    def _set_timer(self, at_ms: float, attempt: AdmittedAttempt) -> None:
        heappush(self._timers, (at_ms, next(self._timer_numbers), attempt))

    def due_actions(self, now_ms: float) -> Iterator[QueueAction]:
        """Yield the actions that are due; each is assumed to be carried out."""
        self._advance(now_ms)
        yield from self._expire(now_ms)
        while self._running < self._slots and (attempt := self._next_attempt()):
            yield self._run(attempt, now_ms)
        yield from self._preempt(now_ms)

    def next_wake_ms(self, now_ms: float) -> float | None:
        """Return when to call `due_actions` again without an event, None for never."""
        if any(queue.ready_count for queue in self._queue_by_class.values()):
            return now_ms + RECHECK_MS
        return None

    def _advance(self, now_ms: float) -> None:
        self._now_ms = max(self._now_ms, now_ms)
        queues = self._queue_by_class.values()
        rows = [
            (queue.name, queue.running_count, queue.attempt_count > 0)
            for queue in queues
        ]
        self._shares.advance(now_ms, rows)

    def _expire(self, now_ms: float) -> Iterator[ExpireAttempt]:
        """Handle due timers: mark attempts late or overdue, or expire them."""
        while self._timers and self._timers[0][0] <= now_ms:
            _, _, attempt = heappop(self._timers)
            is_current = self._attempt_by_key.get(attempt.spec.key) is attempt
            if not is_current or attempt.state in (
                AttemptState.RUNNING,
                AttemptState.PAUSED,
            ):
                continue
            if now_ms < attempt.deadlines.expire_ms:
                self._queue_of(attempt).mark_late(attempt)
            elif now_ms < attempt.deadlines.deadline_ms and self._lower_class_ran(
                attempt
            ):
                if attempt.state is not AttemptState.OVERDUE:
                    self._queue_of(attempt).mark_overdue(attempt)
                self._set_timer(now_ms + RECHECK_MS, attempt)
            else:
                self._remove(attempt, now_ms)
                yield ExpireAttempt(
                    attempt.spec, self._expiry_rejection(attempt, now_ms)
                )

    def _lower_class_ran(self, attempt: AdmittedAttempt) -> bool:
        """Return whether a lower class has held a slot while the attempt waited."""
        return any(
            queue.held_slot_since(attempt.admitted_ms)
            for queue in self._queue_by_class.values()
            if queue.priority > attempt.priority
        )

    def _expiry_rejection(self, attempt: AdmittedAttempt, now_ms: float) -> Rejected:
        if now_ms >= attempt.deadlines.deadline_ms:
            reason = "the deadline is too early for the request to start"
            return Rejected(ErrorCode.DEADLINE.value, reason, 0.0)
        waited_ms = now_ms - attempt.spec.arrived_ms
        reason = "the request did not start within the max_wait of its class"
        return self._admission.overload_rejection(waited_ms, reason)

    def _queue_of(self, attempt: AdmittedAttempt) -> ClassQueue:
        return self._queue_by_class[attempt.spec.class_name]

    def _next_attempt(self) -> AdmittedAttempt | None:
        """Return the ready attempt that gets the next free slot."""
        queues = [queue for queue in self._queue_by_class.values() if queue.ready_count]
        if not queues:
            return None
        top = min(
            queue.priority
            for queue in self._queue_by_class.values()
            if queue.attempt_count
        )
        entitled = [queue for queue in queues if self._is_below_share(queue, top)]
        if entitled:
            since_ms = self._shares.extra_slot_since_ms
            return min(entitled, key=lambda queue: since_ms(queue.name)).first()
        heads = [head for queue in queues if (head := self._startable_head(queue))]
        return min(heads, key=lambda head: (head.priority, head.rank), default=None)

    def _startable_head(self, queue: ClassQueue) -> AdmittedAttempt | None:
        head = queue.first()
        queues = self._queue_by_class.values()
        return head if head and self._start_gate.allows(head, queues) else None

    def _is_below_share(self, queue: ClassQueue, top: int) -> bool:
        """Return whether a class below priority `top` runs less than its share."""
        below_share = queue.running_count < self._shares.guaranteed_slots(queue.name)
        return below_share and queue.priority > top

    def _run(
        self, attempt: AdmittedAttempt, now_ms: float
    ) -> StartAttempt | ResumeAttempt:
        was_paused = attempt.state is AttemptState.PAUSED
        self._paused_cache.release(attempt)
        self._queue_of(attempt).run(attempt, now_ms)
        self._running += 1
        if was_paused:
            return ResumeAttempt(attempt.spec)
        self._queued_tokens -= attempt.spec.prompt_tokens
        return StartAttempt(attempt.spec)

    def _preempt(self, now_ms: float) -> Iterator[QueueAction]:
        """Pause attempts of lower classes, or longer ones, for more urgent ones."""
        queues = [queue for queue in self._queue_by_class.values() if queue.ready_count]
        for queue in sorted(queues, key=lambda queue: queue.priority):
            while head := self._startable_head(queue):
                victim = self._victim(queue, head, now_ms)
                if victim is None:
                    break
                yield self._pause(victim, now_ms)
                yield self._run(head, now_ms)

    def _victim(
        self, queue: ClassQueue, head: AdmittedAttempt, now_ms: float
    ) -> AdmittedAttempt | None:
        """Return the running attempt to pause for `head`, from the lowest class."""
        lower = [
            other
            for other in self._queue_by_class.values()
            if other.priority > queue.priority
        ]
        slack_ms = head.deadlines.target_ms - now_ms
        prefill_ms = self._estimates.prefill_ms_per_token
        for other in sorted(lower, key=lambda queue: queue.priority, reverse=True):
            if other.running_count <= self._shares.guaranteed_slots(other.name):
                continue
            for attempt in other.pausable():
                cost_ms = self._paused_cache.cost_ms(attempt.context_tokens, prefill_ms)
                if may_preempt(attempt, cost_ms, slack_ms, now_ms):
                    return attempt
        return self._same_class_victim(queue, head, now_ms)

    def _same_class_victim(
        self, queue: ClassQueue, head: AdmittedAttempt, now_ms: float
    ) -> AdmittedAttempt | None:
        """Return the longest attempt of the class if `head` should overtake it."""
        attempt = next(queue.pausable(), None)
        if attempt is None or not may_preempt_same_class(attempt, head, now_ms):
            return None
        prefill_ms = self._estimates.prefill_ms_per_token
        kv = self._paused_cache.choose(attempt.context_tokens, prefill_ms)
        return attempt if kv == "keep" else None

    def _pause(self, attempt: AdmittedAttempt, now_ms: float) -> PauseAttempt:
        kv = self._paused_cache.on_pause(attempt, self._estimates.prefill_ms_per_token)
        self._queue_of(attempt).pause(attempt, now_ms)
        self._running -= 1
        return PauseAttempt(attempt.spec, kv)

    def on_tokens(self, key: AttemptKey, tokens: int, now_ms: float) -> None:
        """Record that a running attempt has generated `tokens` more tokens."""
        attempt = self._attempt_by_key.get(key)
        if attempt is None or tokens <= 0:
            return
        if attempt.state is AttemptState.RUNNING:
            self._record_progress(attempt, tokens, now_ms)
        self._queue_of(attempt).add_tokens(attempt, tokens, now_ms)
        if attempt.slot_ms(now_ms) > attempt.expected_slot_ms * OVERRUN_FACTOR:
            self._adjust_expected(attempt, attempt.expected_slot_ms, now_ms)
            attempt.expected_slot_ms *= 2.0

    def _record_progress(
        self, attempt: AdmittedAttempt, tokens: int, now_ms: float
    ) -> None:
        if attempt.last_token_ms is not None:
            self._estimates.on_tokens(tokens, now_ms - attempt.last_token_ms)
        elif not attempt.tokens:
            elapsed_ms = now_ms - attempt.running_since_ms
            self._estimates.on_first_token(attempt.spec, elapsed_ms)
        attempt.last_token_ms = now_ms

    def on_done(self, key: AttemptKey, now_ms: float) -> None:
        """Record that a started attempt has completed, failed or been cancelled."""
        attempt = self._attempt_by_key.get(key)
        if attempt is None or attempt.state in WAITING_STATES:
            return
        self._advance(now_ms)
        slot_ms = attempt.slot_ms(now_ms)
        self._estimates.on_done(attempt.spec, attempt.tokens, slot_ms)
        self._queue_of(attempt).settle_charge(attempt, now_ms)
        self._adjust_expected(attempt, slot_ms - attempt.expected_slot_ms, now_ms)
        self._remove(attempt, now_ms)

    def _adjust_expected(
        self, attempt: AdmittedAttempt, delta_ms: float, now_ms: float
    ) -> None:
        """Correct the backlogs by `delta_ms` of slot time of an attempt."""
        self._admission.adjust_slot_time(attempt.priority, delta_ms, now_ms)
        self._queue_of(attempt).share_backlog.add(delta_ms)

    def withdraw(self, key: AttemptKey) -> bool:
        """Remove a queued attempt; False if it has started or is unknown."""
        attempt = self._attempt_by_key.get(key)
        if attempt is None or attempt.state in (
            AttemptState.RUNNING,
            AttemptState.PAUSED,
        ):
            return False
        self._adjust_expected(attempt, -attempt.expected_slot_ms, self._now_ms)
        self._remove(attempt, self._now_ms)
        return True

    def _remove(self, attempt: AdmittedAttempt, now_ms: float) -> None:
        if attempt.state is AttemptState.RUNNING:
            self._running -= 1
        elif attempt.state is AttemptState.PAUSED:
            self._paused_cache.release(attempt)
        else:
            self._queued_tokens -= attempt.spec.prompt_tokens
        self._queue_of(attempt).remove(attempt, now_ms)
        del self._attempt_by_key[attempt.spec.key]
        counts: dict[int, int] = {}
        for queue in self._queue_by_class.values():
            counts[queue.priority] = counts.get(queue.priority, 0) + queue.attempt_count
        self._admission.clear_empty(counts)

    def report(self, now_ms: float) -> QueueReport:
        """Return the current state of the queue."""
        queues = self._queue_by_class.values()
        waiting = tuple(
            (queue.name, queue.waiting_count) for queue in queues if queue.waiting_count
        )
        running = tuple(
            (queue.name, queue.running_count) for queue in queues if queue.running_count
        )
        paused = sum(
            queue.attempt_count - queue.waiting_count - queue.running_count
            for queue in queues
        )
        return QueueReport(
            running=self._running,
            paused=paused,
            slots=self._slots,
            waiting_by_class=waiting,
            ms_per_token=self._estimates.ms_per_token,
            ms_to_first_token=self._estimates.first_token_ms,
            queued_tokens=self._queued_tokens,
            pauses=self._paused_cache.pauses,
            dropped_tokens=self._paused_cache.dropped_tokens,
            running_by_class=running,
        )

    def bound_ms(self, class_name: str, longest_hold_ms: float) -> float:
        """Return the bound on the wait of a class for a slot; see the class docstring.

        `longest_hold_ms` is L there.
        """
        return self._shares.bound_ms(class_name, longest_hold_ms)
