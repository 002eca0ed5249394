"""Who goes next of those that wait for room: the newest."""

from collections import OrderedDict


class LifoQueue:
    """Tickets of waiting requests.

    In an overload the newest can still be on time. Served in the order of arrival, all
    would be late.

    >>> turns = LifoQueue()
    >>> first, second = turns.enter(), turns.enter()
    >>> turns.is_next(first), turns.is_next(second)
    (False, True)
    >>> turns.leave(second)
    >>> turns.is_next(first)
    True
    """

    def __init__(self) -> None:
        self._waiting: OrderedDict[int, None] = OrderedDict()
        self._last = 0

    def enter(self) -> int:
        """Return the ticket of a request that begins to wait."""
        self._last += 1
        self._waiting[self._last] = None
        return self._last

    def leave(self, ticket: int) -> None:
        """Take back a ticket."""
        self._waiting.pop(ticket, None)

    def is_next(self, ticket: int) -> bool:
        """Return whether no newer request waits."""
        return next(reversed(self._waiting), None) == ticket

    def __len__(self) -> int:
        """Return the number of requests that wait."""
        return len(self._waiting)
