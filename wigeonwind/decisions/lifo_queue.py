"""LIFO queue of requests that wait for capacity."""

from collections import OrderedDict


class LifoQueue:
    """Tickets of waiting requests, served newest first.

    In an overload the newest request can still meet its target; served in order of
    arrival, all requests would be late.

    >>> queue = LifoQueue()
    >>> first, second = queue.enter(), queue.enter()
    >>> queue.is_next(first), queue.is_next(second)
    (False, True)
    >>> queue.leave(second)
    >>> queue.is_next(first)
    True
    """

    def __init__(self) -> None:
        self._waiting: OrderedDict[int, None] = OrderedDict()
        self._last_ticket = 0

    def enter(self) -> int:
        """Add a request and return its ticket."""
        self._last_ticket += 1
        self._waiting[self._last_ticket] = None
        return self._last_ticket

    def leave(self, ticket: int) -> None:
        """Remove a ticket; unknown ones are ignored."""
        self._waiting.pop(ticket, None)

    def is_next(self, ticket: int) -> bool:
        """Return whether the ticket is the newest."""
        return next(reversed(self._waiting), None) == ticket

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return len(self._waiting)
