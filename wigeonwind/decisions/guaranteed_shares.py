"""Guaranteed shares of the slots of one endpoint, by class."""

import math
from collections.abc import Iterable

QUANTUM_MS = 1000.0
"""Credit that earns an extra slot; less would pause and resume attempts too often."""

MAX_CREDIT_MS = 2.0 * QUANTUM_MS
"""Most credit of a class while it waits for a slot to become free."""

MIN_CLASS_SHARE = 0.01
"""Smallest share of a class, whatever is configured, so that no class starves."""

MAX_SLOT_FRACTION = 0.95
"""Largest fractional share of a slot; bounds the rate at which credit accrues."""


class _Share:
    """Whole slots and fraction of a slot of one class, and its credit (ms)."""

    __slots__ = ("credit_ms", "fraction", "extra_slot_since_ms", "whole_slots")

    def __init__(self, slots: float) -> None:
        self.whole_slots = math.floor(slots + 1e-9)
        self.fraction = min(MAX_SLOT_FRACTION, max(0.0, slots - self.whole_slots))
        self.credit_ms = 0.0
        self.extra_slot_since_ms: float | None = None


class GuaranteedShares:
    """Tracks how many slots each class may hold ahead of more urgent classes.

    A class with share m of S slots may always hold floor(m*S) slots. For the remaining
    fraction f it accrues credit of f/(1-f) ms per ms while it has attempts and no extra
    slot. With QUANTUM_MS of credit it is entitled to an extra slot: it may take the
    next slot that becomes free, and keeps it until the credit is spent. On average
    that is the fraction f of one slot.

    Bound: a class that has attempts and runs less than its share gets a slot within
    QUANTUM_MS * (1 - f) / f + L + (k - 1) * (MAX_CREDIT_MS + L), where k is the number
    of classes and L is the longest time for which an attempt holds a slot without a
    pause. The first term is the time to accrue the credit, and absent with a whole
    slot; the second is the wait for a slot; the third is the wait for extra slots that
    other classes have earned before, which matters with few slots.
    """

    def __init__(self) -> None:
        self._share_by_class: dict[str, _Share] = {}
        self._updated_ms = 0.0

    def configure(self, share_by_class: dict[str, float], slots: int) -> None:
        """Set the shares (0 to 1) of `slots`, scaled down if their sum exceeds 1."""
        floored = {name: max(m, MIN_CLASS_SHARE) for name, m in share_by_class.items()}
        scale = 1.0 / max(1.0, sum(floored.values()))
        old_by_class = self._share_by_class
        self._share_by_class = {
            name: _Share(share * scale * slots) for name, share in floored.items()
        }
        for name, share in self._share_by_class.items():
            if name in old_by_class:
                share.credit_ms = old_by_class[name].credit_ms
                share.extra_slot_since_ms = old_by_class[name].extra_slot_since_ms

    def advance(
        self, now_ms: float, running_by_class: Iterable[tuple[str, int, bool]]
    ) -> None:
        """Update the credits for the time since the last call.

        Each row is class name, number of attempts running since then, and whether the
        class has any attempts. A class without attempts loses its credit.
        """
        elapsed_ms = max(0.0, now_ms - self._updated_ms)
        self._updated_ms = max(now_ms, self._updated_ms)
        for name, running, has_attempts in running_by_class:
            share = self._share_by_class.get(name)
            if share is not None:
                self._update_credit(share, elapsed_ms, running, has_attempts)

    def _update_credit(
        self, share: _Share, elapsed_ms: float, running: int, has_attempts: bool
    ) -> None:
        if not has_attempts:
            share.credit_ms = 0.0
        elif running > share.whole_slots:
            share.credit_ms = max(0.0, share.credit_ms - elapsed_ms)
        else:
            accrual_rate = share.fraction / (1.0 - share.fraction)
            credit_ms = share.credit_ms + accrual_rate * elapsed_ms
            share.credit_ms = min(MAX_CREDIT_MS, credit_ms)
        if share.credit_ms <= 0.0:
            share.extra_slot_since_ms = None
        elif share.credit_ms >= QUANTUM_MS and share.extra_slot_since_ms is None:
            share.extra_slot_since_ms = self._updated_ms

    def guaranteed_slots(self, class_name: str) -> int:
        """Return the number of slots that the class may hold ahead of other classes."""
        share = self._share_by_class.get(class_name)
        if share is None:
            return 0
        return share.whole_slots + (share.extra_slot_since_ms is not None)

    def extra_slot_since_ms(self, class_name: str) -> float:
        """Return when the extra slot was earned.

        0 without one, so that a class below its whole slots counts as the earliest.
        """
        share = self._share_by_class[class_name]
        return (
            share.extra_slot_since_ms if share.extra_slot_since_ms is not None else 0.0
        )

    def share_in_slots(self, class_name: str) -> float:
        """Return the share of the class in slots."""
        share = self._share_by_class.get(class_name)
        return share.whole_slots + share.fraction if share else 0.0

    def first_slot_ms(self, class_name: str) -> float:
        """Return the time in which a class without credit earns a slot."""
        share = self._share_by_class.get(class_name)
        if share is None:
            return float("inf")
        if share.whole_slots:
            return 0.0
        return QUANTUM_MS * (1.0 - share.fraction) / max(share.fraction, 1e-9)

    def bound_ms(self, class_name: str, longest_hold_ms: float) -> float:
        """Return the bound on the wait for a slot that the class docstring states.

        `longest_hold_ms` is L there.
        """
        others = len(self._share_by_class) - 1
        wait_ms = longest_hold_ms + others * (MAX_CREDIT_MS + longest_hold_ms)
        return self.first_slot_ms(class_name) + wait_ms
