"""The queue of one endpoint: order, admission, shares and preemption together."""

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
    has_run_enough,
    is_worth_same_class,
)
from wigeonwind.decisions.start_gate import StartGate
from wigeonwind.outcomes import ErrorCode

RECHECK_MS = 50.0
"""Interval at which waiting work is looked at again without an event."""

MAX_WAITING = 10_000
"""Waiting attempts of one class; bounds memory if targets do not."""

OVERRUN_FACTOR = 1.1
"""Excess over the expected slot time from which an attempt counts as longer."""

DEFAULT_KV_COSTS = KvCosts()


class EndpointQueue:
    """Strict priority by class with minimum shares, pauses and early refusal.

    Bounds, with L the longest time for which running work holds its slot and k the
    number of classes:

    - The most urgent class that has work waits for no lower class longer than the
      minimum run of pausable work, or L for work that cannot be paused, apart from
      the slots that minimum shares take.
    - Every other class gets a slot within `GuaranteedShares.bound_ms`: its share m of
      S slots has a fraction f after whole slots, and the bound is
      TURN_MS * (1 - f) / f + L + (k - 1) * (MAX_CREDIT_MS + L), without the first term
      if it has a whole slot.
    - An attempt refused by `offer` would also be refused with no lower work present
      (P1): `Admission` counts the same and higher priorities only. A minimum share can
      delay urgent work. If a lower class held a slot while it waited, it is given back
      at the caller's deadline only, not at its max_wait; from then on it comes before
      all other work of its class, so it waits for one slot at most.

    `service` limits the shares to the classes of that service.
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
        self._cache = PausedKvCache(kv_costs)
        self._now_ms = 0.0
        self._estimates = ServiceEstimates()
        self._admission = Admission(self._estimates, slots, rng)
        self._turns = GuaranteedShares()
        self._lower_start = StartGate(self._estimates, self._cache)
        self._class_by_name: dict[str, ClassQueue] = {}
        self._work_by_key: dict[AttemptKey, AdmittedAttempt] = {}
        self._timers: list[tuple[float, int, AdmittedAttempt]] = []
        self._timer_numbers = count()
        self._running = 0
        self._queued_tokens = 0
        self.set_catalog(catalog)

    def set_catalog(self, catalog: Catalog) -> None:
        """Use another version of the text for new work."""
        self._catalog = catalog
        for name, request_class in self._own_classes().items():
            known = self._class_by_name.get(name)
            if known is None or not known.work_count:
                self._class_by_name[name] = ClassQueue(request_class)
            else:
                known.request_class = request_class
        for name in set(self._class_by_name) - set(self._own_classes()):
            if not self._class_by_name[name].work_count:
                del self._class_by_name[name]
        self._rebuild()

    def _own_classes(self) -> dict[str, RequestClass]:
        service = self._catalog.service_by_name.get(self._service)
        names = service.classes if service and service.classes else None
        return {
            name: request_class
            for name, request_class in self._catalog.class_by_name.items()
            if names is None or name in names
        }

    def set_slots(self, slots: int) -> None:
        """Change the number of attempts the endpoint runs at a time."""
        if slots != self._slots:
            self._slots = slots
            self._rebuild()

    def set_kv_costs(self, kv_costs: KvCosts) -> None:
        """Use other costs of moving KV cache and another room for it."""
        self._cache.costs = kv_costs

    def _rebuild(self) -> None:
        """Recompute what depends on classes and slots from the present work."""
        own = self._own_classes()
        shares = {name: own[name].min_share for name in own}
        self._turns.configure(shares, self._slots)
        self._lower_start.configure(own.values())
        priorities = {part.priority for part in self._class_by_name.values()}
        priorities.update(work.priority for work in self._work_by_key.values())
        remaining = [
            (work.priority, max(0.0, work.expected_ms - work.held_until(self._now_ms)))
            for work in self._work_by_key.values()
        ]
        self._admission.rebuild(priorities, self._slots, remaining, self._now_ms)

    def offer(self, spec: AttemptSpec, now_ms: float) -> Admitted | Rejected:
        """Admit or refuse one attempt; a known one is not admitted twice."""
        self._advance(now_ms)
        own = self._class_by_name.get(spec.class_name)
        if own is None or spec.class_name not in self._catalog.class_by_name:
            reason = f"class {spec.class_name} is not configured"
            return Rejected(ErrorCode.UNKNOWN_CLASS.value, reason, 0.0)
        position = self._position(own)
        if spec.key in self._work_by_key:
            return Admitted(position)
        limits = self._admission.limits(spec, own.request_class)
        parts = self._class_by_name.values()
        ahead = sum(p.work_count for p in parts if p.priority <= own.priority)
        turnover_ms = self._admission.turnover_ms(spec, own.priority, ahead)
        bound_ms = min(turnover_ms, self._share_wait_ms(own, now_ms))
        rejected = self._admission.decide(own.priority, limits, bound_ms, now_ms)
        if rejected is not None:
            return rejected
        if own.waiting_count >= MAX_WAITING:
            return self._admission.overloaded(0.0, "too much work is waiting")
        expected_ms = self._estimates.hold_ms(spec)
        rank = rank_ms(spec.arrived_ms, spec.resume_tokens)
        work = AdmittedAttempt(spec, own.priority, limits, expected_ms, rank, now_ms)
        self._admit(own, work, now_ms)
        return Admitted(position)

    def _share_wait_ms(self, own: ClassQueue, now_ms: float) -> float:
        turns = self._turns
        rate, saving_ms = turns.rate(own.name), turns.saving_ms(own.name)
        return own.share_backlog.wait_ms(rate, saving_ms, now_ms)

    def _position(self, own: ClassQueue) -> int:
        return sum(
            part.ready_count
            for part in self._class_by_name.values()
            if part is own or part.priority < own.priority
        )

    def _admit(self, own: ClassQueue, work: AdmittedAttempt, now_ms: float) -> None:
        customer = self._catalog.customer_by_name.get(work.spec.customer)
        own.admit(work, customer.weight if customer else 1.0)
        self._work_by_key[work.spec.key] = work
        self._queued_tokens += work.spec.prompt_tokens
        self._admission.add(work.priority, work.expected_ms, now_ms)
        own.share_backlog.add(work.expected_ms)
        if work.limits.target_ms < work.limits.expire_ms:
            self._set_timer(work.limits.target_ms, work)
        if work.limits.expire_ms < float("inf"):
            self._set_timer(work.limits.expire_ms, work)

    def _set_timer(self, at_ms: float, work: AdmittedAttempt) -> None:
        heappush(self._timers, (at_ms, next(self._timer_numbers), work))

    def actions(self, now_ms: float) -> Iterator[QueueAction]:
        """Yield what to do now; each yielded action counts as carried out."""
        self._advance(now_ms)
        yield from self._expire(now_ms)
        while self._running < self._slots and (work := self._next()):
            yield self._run(work, now_ms)
        yield from self._preempt(now_ms)

    def next_wake_ms(self, now_ms: float) -> float | None:
        """Return when `actions` should be called if no event comes before."""
        if any(part.ready_count for part in self._class_by_name.values()):
            return now_ms + RECHECK_MS
        return None

    def _advance(self, now_ms: float) -> None:
        self._now_ms = max(self._now_ms, now_ms)
        parts = self._class_by_name.values()
        rows = [(p.name, p.running_count, p.work_count > 0) for p in parts]
        self._turns.advance(now_ms, rows)

    def _expire(self, now_ms: float) -> Iterator[ExpireAttempt]:
        while self._timers and self._timers[0][0] <= now_ms:
            _, _, work = heappop(self._timers)
            is_known = self._work_by_key.get(work.spec.key) is work
            if not is_known or work.state in (
                AttemptState.RUNNING,
                AttemptState.PAUSED,
            ):
                continue
            if now_ms < work.limits.expire_ms:
                self._part(work).make_late(work)
            elif now_ms < work.limits.deadline_ms and self._lower_ran(work):
                if work.state is not AttemptState.OVERDUE:
                    self._part(work).make_overdue(work)
                self._set_timer(now_ms + RECHECK_MS, work)
            else:
                self._remove(work, now_ms)
                yield ExpireAttempt(work.spec, self._expiry(work, now_ms))

    def _lower_ran(self, work: AdmittedAttempt) -> bool:
        """Return whether a lower class has held a slot while the work waited."""
        return any(
            part.held_slot_since(work.admitted_ms)
            for part in self._class_by_name.values()
            if part.priority > work.priority
        )

    def _expiry(self, work: AdmittedAttempt, now_ms: float) -> Rejected:
        if now_ms >= work.limits.deadline_ms:
            reason = "the deadline comes before the work could start"
            return Rejected(ErrorCode.DEADLINE.value, reason, 0.0)
        waited_ms = now_ms - work.spec.arrived_ms
        reason = "the work did not start within the longest wait of its class"
        return self._admission.overloaded(waited_ms, reason)

    def _part(self, work: AdmittedAttempt) -> ClassQueue:
        return self._class_by_name[work.spec.class_name]

    def _next(self) -> AdmittedAttempt | None:
        """Return the ready attempt that gets the next free slot."""
        parts = [part for part in self._class_by_name.values() if part.ready_count]
        if not parts:
            return None
        top = min(p.priority for p in self._class_by_name.values() if p.work_count)
        entitled = [part for part in parts if self._is_entitled(part, top)]
        if entitled:
            earned_ms = self._turns.earned_ms
            return min(entitled, key=lambda part: earned_ms(part.name)).first()
        heads = [head for part in parts if (head := self._fitting_first(part))]
        return min(heads, key=lambda head: (head.priority, head.rank), default=None)

    def _fitting_first(self, part: ClassQueue) -> AdmittedAttempt | None:
        head = part.first()
        parts = self._class_by_name.values()
        return head if head and self._lower_start.allows(head, parts) else None

    def _is_entitled(self, part: ClassQueue, top: int) -> bool:
        below_share = part.running_count < self._turns.entitled(part.name)
        return below_share and part.priority > top

    def _run(
        self, work: AdmittedAttempt, now_ms: float
    ) -> StartAttempt | ResumeAttempt:
        was_paused = work.state is AttemptState.PAUSED
        self._cache.on_leave(work)
        self._part(work).run(work, now_ms)
        self._running += 1
        if was_paused:
            return ResumeAttempt(work.spec)
        self._queued_tokens -= work.spec.prompt_tokens
        return StartAttempt(work.spec)

    def _preempt(self, now_ms: float) -> Iterator[QueueAction]:
        """Give slots of lower or longer work to more urgent work."""
        parts = [part for part in self._class_by_name.values() if part.ready_count]
        for part in sorted(parts, key=lambda part: part.priority):
            while head := self._fitting_first(part):
                victim = self._victim(part, head, now_ms)
                if victim is None:
                    break
                yield self._pause(victim, now_ms)
                yield self._run(head, now_ms)

    def _victim(
        self, part: ClassQueue, head: AdmittedAttempt, now_ms: float
    ) -> AdmittedAttempt | None:
        """Return running work that gives way to `head`, of the lowest class first."""
        lower = [p for p in self._class_by_name.values() if p.priority > part.priority]
        slack_ms = head.limits.target_ms - now_ms
        prefill_ms = self._estimates.prefill_ms_per_token
        for other in sorted(lower, key=lambda p: p.priority, reverse=True):
            if other.running_count <= self._turns.entitled(other.name):
                continue
            for work in other.pausable():
                cost_ms = self._cache.cost_ms(work.context_tokens, prefill_ms)
                if has_run_enough(work, cost_ms, slack_ms, now_ms):
                    return work
        return self._same_class_victim(part, head, now_ms)

    def _same_class_victim(
        self, part: ClassQueue, head: AdmittedAttempt, now_ms: float
    ) -> AdmittedAttempt | None:
        """Return the longest running work of the class if `head` should overtake it."""
        work = next(part.pausable(), None)
        if work is None or not is_worth_same_class(work, head, now_ms):
            return None
        prefill_ms = self._estimates.prefill_ms_per_token
        kv = self._cache.choose(work.context_tokens, prefill_ms)
        return work if kv == "keep" else None

    def _pause(self, work: AdmittedAttempt, now_ms: float) -> PauseAttempt:
        kv = self._cache.on_pause(work, self._estimates.prefill_ms_per_token)
        self._part(work).pause(work, now_ms)
        self._running -= 1
        return PauseAttempt(work.spec, kv)

    def on_tokens(self, key: AttemptKey, tokens: int, now_ms: float) -> None:
        """Record that running work has produced `tokens` more tokens."""
        work = self._work_by_key.get(key)
        if work is None or tokens <= 0:
            return
        if work.state is AttemptState.RUNNING:
            self._measure(work, tokens, now_ms)
        self._part(work).add_tokens(work, tokens, now_ms)
        if work.held_until(now_ms) > work.expected_ms * OVERRUN_FACTOR:
            self._correct(work, work.expected_ms, now_ms)
            work.expected_ms *= 2.0

    def _measure(self, work: AdmittedAttempt, tokens: int, now_ms: float) -> None:
        if work.last_token_ms is not None:
            self._estimates.on_tokens(tokens, now_ms - work.last_token_ms)
        elif not work.tokens:
            elapsed_ms = now_ms - work.running_since_ms
            self._estimates.on_first_token(work.spec, elapsed_ms)
        work.last_token_ms = now_ms

    def on_done(self, key: AttemptKey, now_ms: float) -> None:
        """Record that started work has ended, whole, failed or cancelled."""
        work = self._work_by_key.get(key)
        if work is None or work.state in WAITING_STATES:
            return
        self._advance(now_ms)
        held_ms = work.held_until(now_ms)
        self._estimates.on_done(work.spec, work.tokens, held_ms)
        self._part(work).settle(work, now_ms)
        self._correct(work, held_ms - work.expected_ms, now_ms)
        self._remove(work, now_ms)

    def _correct(self, work: AdmittedAttempt, delta_ms: float, now_ms: float) -> None:
        self._admission.correct(work.priority, delta_ms, now_ms)
        self._part(work).share_backlog.add(delta_ms)

    def withdraw(self, key: AttemptKey) -> bool:
        """Give waiting work back; True if it was waiting and now never starts."""
        work = self._work_by_key.get(key)
        if work is None or work.state in (AttemptState.RUNNING, AttemptState.PAUSED):
            return False
        self._correct(work, -work.expected_ms, self._now_ms)
        self._remove(work, self._now_ms)
        return True

    def _remove(self, work: AdmittedAttempt, now_ms: float) -> None:
        if work.state is AttemptState.RUNNING:
            self._running -= 1
        elif work.state is AttemptState.PAUSED:
            self._cache.on_leave(work)
        else:
            self._queued_tokens -= work.spec.prompt_tokens
        self._part(work).remove(work, now_ms)
        del self._work_by_key[work.spec.key]
        counts: dict[int, int] = {}
        for part in self._class_by_name.values():
            counts[part.priority] = counts.get(part.priority, 0) + part.work_count
        self._admission.clear_from(counts)

    def report(self, now_ms: float) -> QueueReport:
        """Return the present state."""
        parts = self._class_by_name.values()
        waiting = tuple((p.name, p.waiting_count) for p in parts if p.waiting_count)
        running = tuple((p.name, p.running_count) for p in parts if p.running_count)
        paused = sum(p.work_count - p.waiting_count - p.running_count for p in parts)
        return QueueReport(
            running=self._running,
            paused=paused,
            slots=self._slots,
            waiting_by_class=waiting,
            ms_per_token=self._estimates.ms_per_token,
            ms_to_first_token=self._estimates.first_token_ms,
            queued_tokens=self._queued_tokens,
            pauses=self._cache.pauses,
            dropped_tokens=self._cache.dropped_tokens,
            running_by_class=running,
        )

    def bound_ms(self, class_name: str, longest_free_ms: float) -> float:
        """Return the bound on the wait of a class for a slot; see the docstring."""
        return self._turns.bound_ms(class_name, longest_free_ms)
