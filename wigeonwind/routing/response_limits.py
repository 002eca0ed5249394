"""Limits on what an endpoint may send in a response."""

from types import TracebackType
from typing import Self

MAX_FRAMING_BYTES = 65_536
"""Most bytes in a row that carry no body: heads, interim responses, trailers and chunk
extensions. Heads of working endpoints have a few hundred bytes."""

MAX_DISCARDED_RESPONSES = 8
"""Most responses to other requests that are skipped before the one that is due. An
endpoint that sends more is faulty."""

MAX_BUFFERED_BODY_BYTES = 16_000_000
"""Largest response body that is not a stream; it is buffered until it is complete."""

MAX_BUFFERED_TOTAL_BYTES = 48_000_000
"""Most bytes of incomplete response bodies and events that a process buffers, so that a
faulty endpoint cannot exhaust the memory of a small VM (200 MB) over many
connections."""


class BufferBudget:
    """Bytes of incomplete response bodies that all requests of a process buffer.

    >>> budget = BufferBudget(100)
    >>> budget.take(80), budget.take(30)
    (True, False)
    >>> budget.give_back(80)
    >>> budget.take(30)
    True
    """

    def __init__(self, limit: int = MAX_BUFFERED_TOTAL_BYTES) -> None:
        self._limit = limit
        self.used_bytes = 0

    def take(self, size: int) -> bool:
        """Reserve `size` bytes; return False, with no effect, if that is too much."""
        if self.used_bytes + size > self._limit:
            return False
        self.used_bytes += size
        return True

    def give_back(self, size: int) -> None:
        """Release `size` reserved bytes."""
        self.used_bytes -= size


class Reservation:
    """Bytes of the budget that one response uses, given back at the end.

    >>> budget = BufferBudget(100)
    >>> with Reservation(budget) as buffered:
    ...     buffered.resize(80), buffered.resize(130), budget.used_bytes
    (True, False, 80)
    >>> budget.used_bytes
    0
    """

    def __init__(self, budget: BufferBudget) -> None:
        self._budget = budget
        self._size = 0

    def resize(self, size: int) -> bool:
        """Use `size` bytes in all; return False, without effect, if it is too much."""
        if size > self._size and not self._budget.take(size - self._size):
            return False
        if size < self._size:
            self._budget.give_back(self._size - size)
        self._size = size
        return True

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self._budget.give_back(self._size)
        self._size = 0
