"""Weighted fairness between the customers of one class, then least service first."""

from bisect import bisect_right

from sortedcontainers import SortedList

from wigeonwind.decisions.interfaces import AttemptKey

LEVEL_TOKENS = (64, 256, 1024, 4096)
"""Generated tokens at which an answer drops to the next level."""

LEVEL_DELAY_MS = (0.0, 5_000.0, 20_000.0, 80_000.0, 320_000.0)
"""How much later than their arrival answers of each level rank.

About four times the time an engine takes for the tokens of the level at 20 ms each, so
that the delay of an answer stays in proportion to the service it has received.
"""


def rank_ms(arrived_ms: float, generated_tokens: int) -> float:
    """Return the rank of an attempt within its customer; the lowest goes first.

    An attempt is overtaken only by attempts that arrive within the delay of its level,
    so a long answer gives way to short ones but never starves.

    >>> rank_ms(1000.0, 0), rank_ms(1000.0, 300)
    (1000.0, 21000.0)
    """
    return arrived_ms + LEVEL_DELAY_MS[bisect_right(LEVEL_TOKENS, generated_tokens)]


class _Customer:
    """The service one customer has received, and its ready work by rank."""

    __slots__ = ("holds", "name", "ready", "service", "weight")

    def __init__(self, name: str, weight: float, service: float) -> None:
        self.name = name
        self.weight = weight
        self.service = service
        self.holds = 0
        self.ready: SortedList = SortedList()


class FairQueue:
    """Ready work of one class, in start-time fair order between customers.

    `service` of a customer is the slot time it was charged divided by its weight. A
    customer that comes back never gets credit for the time it was idle. An idle
    customer is forgotten once all busy ones have caught up with it, and all of them
    when the class is idle. Every operation takes O(log n).
    """

    def __init__(self) -> None:
        self._customer_by_name: dict[str, _Customer] = {}
        self._order: SortedList = SortedList()
        self._idle: SortedList = SortedList()
        self._virtual = 0.0
        self._holds = 0
        self.ready_count = 0

    def enter(self, name: str, weight: float) -> None:
        """Count one more attempt of the customer, waiting, running or paused."""
        customer = self._customer_by_name.get(name)
        if customer is None:
            customer = _Customer(name, weight, self._virtual)
            self._customer_by_name[name] = customer
        elif not customer.holds:
            self._idle.remove((customer.service, name))
            customer.service = max(customer.service, self._virtual)
        customer.weight = weight
        customer.holds += 1
        self._holds += 1

    def leave(self, name: str) -> None:
        """Count one attempt less of the customer."""
        customer = self._customer_by_name[name]
        customer.holds -= 1
        self._holds -= 1
        if not self._holds:
            self._customer_by_name.clear()
            self._idle.clear()
            self._virtual = 0.0
        elif not customer.holds:
            self._idle.add((customer.service, name))
            self._forget_idle()

    def _forget_idle(self) -> None:
        while self._idle and self._idle[0][0] <= self._virtual:
            _, name = self._idle.pop(0)
            del self._customer_by_name[name]

    def add(self, name: str, rank: float, key: AttemptKey) -> None:
        """Make an attempt of an entered customer ready to run."""
        customer = self._customer_by_name[name]
        if not customer.ready:
            self._order.add((customer.service, name))
        customer.ready.add((rank, key))
        self.ready_count += 1

    def remove(self, name: str, rank: float, key: AttemptKey) -> None:
        """Take out an attempt that was ready."""
        customer = self._customer_by_name[name]
        customer.ready.remove((rank, key))
        self.ready_count -= 1
        if not customer.ready:
            self._order.remove((customer.service, name))

    def first(self) -> tuple[float, AttemptKey] | None:
        """Return rank and key of the attempt to run next, or None."""
        if not self._order:
            return None
        return self._customer_by_name[self._order[0][1]].ready[0]

    def on_start(self, name: str) -> None:
        """Advance the virtual time to the customer that is served now."""
        customer = self._customer_by_name[name]
        self._virtual = max(self._virtual, customer.service)
        self._forget_idle()

    def charge(self, name: str, held_ms: float) -> None:
        """Add service to a customer, or take it back if `held_ms` is negative."""
        customer = self._customer_by_name[name]
        if customer.ready:
            self._order.remove((customer.service, name))
        customer.service += held_ms / customer.weight
        if customer.ready:
            self._order.add((customer.service, name))

    def customer_count(self) -> int:
        """Return the number of customers remembered."""
        return len(self._customer_by_name)
