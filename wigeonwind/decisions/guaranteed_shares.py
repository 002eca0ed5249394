"""Guaranteed minimum shares of the slots of one endpoint, by class."""

import math
from collections.abc import Iterable

TURN_MS = 1000.0
"""Slot time of one turn; short turns would pause and resume work too often."""

MAX_CREDIT_MS = 2.0 * TURN_MS
"""Credit kept by a class that waits for a slot to become free."""

LEAST_SHARE = 0.01
"""Share of a class configured with less, so that no class waits forever."""

MAX_FRACTION = 0.95
"""Largest fraction of a slot that is shared out in turns."""


class _Share:
    __slots__ = ("credit_ms", "fraction", "on_since_ms", "whole")

    def __init__(self, slots: float) -> None:
        self.whole = math.floor(slots + 1e-9)
        self.fraction = min(MAX_FRACTION, max(0.0, slots - self.whole))
        self.credit_ms = 0.0
        self.on_since_ms: float | None = None


class GuaranteedShares:
    """Which classes may now take or keep a slot ahead of more urgent work.

    A class with share m of S slots always keeps floor(m*S) slots. For the fraction f
    that remains, it collects credit of f/(1-f) ms per ms while it has work and no extra
    slot; with TURN_MS of credit its turn begins: it may take the next slot that becomes
    free, and keeps it until the credit is spent. On average that is the fraction f of
    one slot.

    Bound: a class that has work and runs less than its share gets a slot within
    TURN_MS * (1 - f) / f + L + (k - 1) * (MAX_CREDIT_MS + L), where k is the number of
    classes and L is the longest time for which work holds a slot without a pause. The
    first term is the saving, absent with a whole slot; the second is the wait for a
    slot; the third counts the turns earned earlier, which matter with few slots.
    """

    def __init__(self) -> None:
        self._share_by_class: dict[str, _Share] = {}
        self._updated_ms = 0.0

    def configure(self, share_by_class: dict[str, float], slots: int) -> None:
        """Use these shares (0 to 1) of `slots`; shares above a sum of 1 are scaled."""
        raised = {name: max(m, LEAST_SHARE) for name, m in share_by_class.items()}
        scale = 1.0 / max(1.0, sum(raised.values()))
        old_by_class = self._share_by_class
        self._share_by_class = {
            name: _Share(share * scale * slots) for name, share in raised.items()
        }
        for name, share in self._share_by_class.items():
            if name in old_by_class:
                share.credit_ms = old_by_class[name].credit_ms
                share.on_since_ms = old_by_class[name].on_since_ms

    def advance(
        self, now_ms: float, running_by_class: Iterable[tuple[str, int, bool]]
    ) -> None:
        """Account for the time since the last call.

        Each row is class name, number running since then, and whether the class has
        any work. A class without work loses its credit.
        """
        elapsed_ms = max(0.0, now_ms - self._updated_ms)
        self._updated_ms = max(now_ms, self._updated_ms)
        for name, running, has_work in running_by_class:
            share = self._share_by_class.get(name)
            if share is not None:
                self._account(share, elapsed_ms, running, has_work)

    def _account(
        self, share: _Share, elapsed_ms: float, running: int, has_work: bool
    ) -> None:
        if not has_work:
            share.credit_ms = 0.0
        elif running > share.whole:
            share.credit_ms = max(0.0, share.credit_ms - elapsed_ms)
        else:
            rate = share.fraction / (1.0 - share.fraction)
            credit_ms = share.credit_ms + rate * elapsed_ms
            share.credit_ms = min(MAX_CREDIT_MS, credit_ms)
        if share.credit_ms <= 0.0:
            share.on_since_ms = None
        elif share.credit_ms >= TURN_MS and share.on_since_ms is None:
            share.on_since_ms = self._updated_ms

    def entitled(self, class_name: str) -> int:
        """Return the number of slots that the class may hold against any other."""
        share = self._share_by_class.get(class_name)
        if share is None:
            return 0
        return share.whole + (share.on_since_ms is not None)

    def earned_ms(self, class_name: str) -> float:
        """Return when the present turn was earned; whole slots count as earliest."""
        share = self._share_by_class[class_name]
        return share.on_since_ms if share.on_since_ms is not None else 0.0

    def rate(self, class_name: str) -> float:
        """Return the share of the class in slots."""
        share = self._share_by_class.get(class_name)
        return share.whole + share.fraction if share else 0.0

    def saving_ms(self, class_name: str) -> float:
        """Return the time until a class without credit has earned a slot."""
        share = self._share_by_class.get(class_name)
        if share is None:
            return float("inf")
        if share.whole:
            return 0.0
        return TURN_MS * (1.0 - share.fraction) / max(share.fraction, 1e-9)

    def bound_ms(self, class_name: str, longest_free_ms: float) -> float:
        """Return the stated bound on the wait for a slot; see the class docstring."""
        others = len(self._share_by_class) - 1
        wait_ms = longest_free_ms + others * (MAX_CREDIT_MS + longest_free_ms)
        return self.saving_ms(class_name) + wait_ms
