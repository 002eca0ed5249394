"""Limits on what an endpoint may send in a response."""

MAX_FRAMING_BYTES = 65_536
"""Most bytes in a row that carry no body: heads, interim responses, trailers and chunk
extensions. Heads of working endpoints have a few hundred bytes."""

MAX_DISCARDED_RESPONSES = 8
"""Most responses to other requests that are skipped before the one that is due. An
endpoint that sends more is faulty."""

MAX_BUFFERED_BODY_BYTES = 16_000_000
"""Largest response body that is not a stream; it is buffered until it is complete."""

MAX_BUFFERED_TOTAL_BYTES = 48_000_000
"""Most bytes of incomplete response bodies that a process buffers, so that a faulty
endpoint cannot exhaust the memory of a small VM (200 MB) over many connections."""


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
