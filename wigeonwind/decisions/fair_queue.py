"""Weighted fair queueing between customers, least attained service within each."""

from bisect import bisect_right

from sortedcontainers import SortedList

from wigeonwind.decisions.interfaces import AttemptKey

LEVEL_TOKENS = (64, 256, 1024, 4096)
"""Generated tokens at which an attempt moves to the next level."""

LEVEL_DELAY_MS = (0.0, 5_000.0, 20_000.0, 80_000.0, 320_000.0)
"""Time added to the arrival of an attempt to get its rank, by level.

About four times what an engine needs for the tokens of the level at 20 ms each, so that
the delay of an answer is proportional to the service it has received.
"""


def rank_ms(arrived_ms: float, generated_tokens: int) -> float:
    """Return the rank of an attempt within its customer; the lowest is served first.

    An attempt can only be overtaken by attempts that arrive within the delay of its
    level, so long answers yield to short ones but never starve.

    >>> rank_ms(1000.0, 0), rank_ms(1000.0, 300)
    (1000.0, 21000.0)
    """
    return arrived_ms + LEVEL_DELAY_MS[bisect_right(LEVEL_TOKENS, generated_tokens)]


class _Customer:
    """Attained service and ready attempts of one customer, ordered by rank."""

    __slots__ = ("attempt_count", "name", "ready", "attained_ms", "weight")

    def __init__(self, name: str, weight: float, attained_ms: float) -> None:
        self.name = name
        self.weight = weight
        self.attained_ms = attained_ms
        self.attempt_count = 0
        self.ready: SortedList = SortedList()


class FairQueue:
    """Ready attempts of one class, in start-time fair queueing order of customers.

    `attained_ms` of a customer is its charged slot time divided by its weight. A
    customer that returns gets no credit for the time it was idle. An idle customer is
    removed once the virtual time has reached its attained service, and all customers
    when the class is idle. Every operation takes O(log n).
    """

    def __init__(self) -> None:
        self._customer_by_name: dict[str, _Customer] = {}
        self._ready_customers: SortedList = SortedList()
        self._idle: SortedList = SortedList()
        self._virtual_time = 0.0
        self._attempt_count = 0
        self.ready_count = 0

    def add_attempt(self, name: str, weight: float) -> None:
        """Count one more attempt of a customer, queued, running or paused."""
        customer = self._customer_by_name.get(name)
        if customer is None:
            customer = _Customer(name, weight, self._virtual_time)
            self._customer_by_name[name] = customer
        elif not customer.attempt_count:
            self._idle.remove((customer.attained_ms, name))
            customer.attained_ms = max(customer.attained_ms, self._virtual_time)
        customer.weight = weight
        customer.attempt_count += 1
        self._attempt_count += 1

    def remove_attempt(self, name: str) -> None:
        """Stop counting one attempt of a customer."""
        customer = self._customer_by_name[name]
        customer.attempt_count -= 1
        self._attempt_count -= 1
        if not self._attempt_count:
            self._customer_by_name.clear()
            self._idle.clear()
            self._virtual_time = 0.0
        elif not customer.attempt_count:
            self._idle.add((customer.attained_ms, name))
            self._remove_idle()

    def _remove_idle(self) -> None:
        while self._idle and self._idle[0][0] <= self._virtual_time:
            _, name = self._idle.pop(0)
            del self._customer_by_name[name]

    def add_ready(self, name: str, rank: float, key: AttemptKey) -> None:
        """Add an attempt that waits for a slot; `add_attempt` must have counted it."""
        customer = self._customer_by_name[name]
        if not customer.ready:
            self._ready_customers.add((customer.attained_ms, name))
        customer.ready.add((rank, key))
        self.ready_count += 1

    def remove_ready(self, name: str, rank: float, key: AttemptKey) -> None:
        """Remove an attempt that no longer waits for a slot."""
        customer = self._customer_by_name[name]
        customer.ready.remove((rank, key))
        self.ready_count -= 1
        if not customer.ready:
            self._ready_customers.remove((customer.attained_ms, name))

    def first(self) -> tuple[float, AttemptKey] | None:
        """Return rank and key of the attempt to run next, or None."""
        if not self._ready_customers:
            return None
        return self._customer_by_name[self._ready_customers[0][1]].ready[0]

    def on_start(self, name: str) -> None:
        """Advance the virtual time to the attained service of the served customer."""
        customer = self._customer_by_name[name]
        self._virtual_time = max(self._virtual_time, customer.attained_ms)
        self._remove_idle()

    def charge(self, name: str, slot_ms: float) -> None:
        """Charge slot time to a customer, or refund it if `slot_ms` is negative."""
        customer = self._customer_by_name[name]
        if customer.ready:
            self._ready_customers.remove((customer.attained_ms, name))
        customer.attained_ms += slot_ms / customer.weight
        if customer.ready:
            self._ready_customers.add((customer.attained_ms, name))

    def customer_count(self) -> int:
        """Return the number of customers that are tracked."""
        return len(self._customer_by_name)
