"""How long requests take, learned from complete responses and those in progress."""

from collections import deque
from dataclasses import dataclass

from wigeonwind.clock import Clock

RECENT_RESPONSES = 32
"""Complete responses of one kind that are remembered."""

MARGIN = 1.5
"""Factor on the longest of them: the next request may need longer."""

SILENCE_MS = 1_600.0
"""Allowance for a sound endpoint that is silent for a second or so."""

STREAM_SILENCES = 4
"""Silences that are allowed for in a stream."""

UNMEASURED_MS = 5_000.0
"""Assumed duration of a kind of request that this process has not measured."""

MAX_KINDS = 10_000
"""Kinds that are remembered; the first ones are forgotten beyond it."""


@dataclass(frozen=True)
class RequestKind:
    """Requests that take about as long as each other."""

    service: str
    class_name: str
    is_stream: bool


class RequestDurations:
    """Durations by kind of request, in milliseconds.

    >>> from wigeonwind.clock import ManualClock
    >>> clock = ManualClock()
    >>> durations, kind = RequestDurations(clock), RequestKind("desk", "chat", False)
    >>> durations.expected_ms(kind)
    6600.0
    >>> durations.add(kind, 40.0)
    >>> durations.expected_ms(kind)
    1660.0
    >>> durations.start(kind)
    0
    >>> clock.advance(100.0)
    >>> durations.expected_ms(kind)
    1750.0
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._recent_by_kind: dict[RequestKind, deque[float]] = {}
        self._active_by_id: dict[int, tuple[RequestKind, float]] = {}
        self._next_id = 0

    def start(self, kind: RequestKind) -> int:
        """Record the start of a request; return the number to pass to `end`."""
        number, self._next_id = self._next_id, self._next_id + 1
        self._active_by_id[number] = (kind, self._clock.now_ms())
        return number

    def end(self, number: int, is_complete: bool) -> None:
        """Record the end of a request, and its duration if it was complete."""
        kind, started_ms = self._active_by_id.pop(number)
        if is_complete:
            self.add(kind, self._clock.now_ms() - started_ms)

    def add(self, kind: RequestKind, duration_ms: float) -> None:
        """Record the duration of a complete response."""
        recent = self._recent_by_kind.get(kind)
        if recent is None:
            while len(self._recent_by_kind) >= MAX_KINDS:
                del self._recent_by_kind[next(iter(self._recent_by_kind))]
            recent = self._recent_by_kind[kind] = deque(maxlen=RECENT_RESPONSES)
        recent.append(duration_ms)

    def expected_ms(self, kind: RequestKind) -> float:
        """Return the time that a new request of this kind must be given.

        It allows for silences of its endpoint, which the durations need not contain.
        """
        now_ms = self._clock.now_ms()
        recent = self._recent_by_kind.get(kind)
        longest_ms = max(recent) * MARGIN if recent else UNMEASURED_MS
        active_ms = [
            now_ms - started_ms
            for active_kind, started_ms in self._active_by_id.values()
            if active_kind == kind
        ]
        silence_ms = SILENCE_MS * (STREAM_SILENCES if kind.is_stream else 1)
        return max([longest_ms, *(MARGIN * each for each in active_ms)]) + silence_ms
