"""What became of the claim tokens of bookings at one sidecar.

A wrong `forbidden` would let a booking run twice, so the rule is: only a token that is
certain never to have started here, and is refused from now on, is called forbidden. A
token that has started is kept for as long as callers may retry its key, although its
answer is dropped earlier. When the memory is full, new bookings are refused and unknown
tokens are called `unknown`; nothing is forgotten early.
"""

from collections import deque
from dataclasses import dataclass, field
from enum import Enum

from wigeonwind.clock import Clock
from wigeonwind.decisions.interfaces import AttemptKey
from wigeonwind.links.messages import ClaimState

RESPONSE_RETENTION_MS = 600_000.0
"""Time for which the answer of a booking is kept for ResolveClaim: 10 minutes."""

TOKEN_RETENTION_MS = 90_000_000.0
"""Time for which a token is kept: 25 hours; a caller may retry a key for 24."""

MAX_TOKENS = 100_000
"""Tokens kept; more than one booking a second for 25 hours, about 30 MB."""

MAX_RESPONSE_BYTES = 1_000_000
"""A longer answer is delivered but not kept."""

MAX_RETAINED_BYTES = 32_000_000
"""Bound of all kept answers; the oldest is dropped first."""


class TokenState(Enum):
    """State of a claim token; the first four are those of `ClaimState`."""

    FORBIDDEN = "forbidden"
    RUNNING = "running"
    DONE = "done"
    UNKNOWN = "unknown"
    WAITING = "waiting"


@dataclass(frozen=True)
class BookingResponse:
    """The whole answer of a booking."""

    status: int
    headers: list[list[str]]
    body: bytes


@dataclass
class ResponseRecorder:
    """Collects an answer while it is delivered."""

    status: int = 0
    headers: list[list[str]] = field(default_factory=list)
    body: bytearray = field(default_factory=bytearray)
    is_too_long: bool = False

    def add(self, data: bytes) -> None:
        """Add a piece of the body."""
        self.is_too_long |= len(self.body) + len(data) > MAX_RESPONSE_BYTES
        if not self.is_too_long:
            self.body += data

    def answer(self) -> BookingResponse | None:
        """Return the whole answer, or None if it is too long to be kept."""
        if self.is_too_long:
            return None
        return BookingResponse(self.status, self.headers, bytes(self.body))


@dataclass
class _Token:
    state: TokenState
    key: AttemptKey | None
    answer: BookingResponse | None = None


class ClaimRegistry:
    """Claim tokens by state."""

    def __init__(self, clock: Clock, max_tokens: int = MAX_TOKENS) -> None:
        self._clock = clock
        self._max_tokens = max_tokens
        self._token_by_name: dict[str, _Token] = {}
        self._forget_order: deque[tuple[float, str]] = deque()
        self._answer_order: deque[tuple[float, str]] = deque()
        self._kept_bytes = 0

    def state(self, name: str) -> TokenState | None:
        """Return the state of a token, None if it is not known."""
        self._forget_old()
        token = self._token_by_name.get(name)
        return token.state if token else None

    @property
    def is_full(self) -> bool:
        """Return whether another token could not be kept."""
        self._forget_old()
        return len(self._token_by_name) >= self._max_tokens

    def add(self, name: str, key: AttemptKey) -> None:
        """Take the token of an attempt that now waits; raise ValueError if known."""
        if self.state(name) is not None or self.is_full:
            raise ValueError("a claim token cannot be taken twice")
        self._token_by_name[name] = _Token(TokenState.WAITING, key)

    def start(self, name: str) -> None:
        """Record that the attempt leaves for the endpoint."""
        self._token_by_name[name].state = TokenState.RUNNING

    def forbid(self, name: str) -> None:
        """Record that the attempt certainly did not run, and forbid the token."""
        self._token_by_name[name].state = TokenState.FORBIDDEN
        self._forget_later(name)

    def end(self, name: str, answer: BookingResponse | None) -> None:
        """Record the end of the attempt; None if its outcome is not known."""
        token = self._token_by_name[name]
        token.state = TokenState.UNKNOWN if answer is None else TokenState.DONE
        token.answer = answer
        self._forget_later(name)
        if answer is not None:
            self._kept_bytes += len(answer.body)
            drop_ms = self._clock.now_ms() + RESPONSE_RETENTION_MS
            self._answer_order.append((drop_ms, name))

    def waiting_key(self, name: str) -> AttemptKey | None:
        """Return the key of the attempt if the token waits in the queue."""
        if self.state(name) is TokenState.WAITING:
            return self._token_by_name[name].key
        return None

    def resolve(self, name: str) -> ClaimState:
        """Answer ResolveClaim; a token that is not known is forbidden by this.

        A token that waits must be withdrawn from the queue first.
        """
        state = self.state(name)
        if state is None and self.is_full:
            return ClaimState(name, TokenState.UNKNOWN.value)
        if state is None:
            self._token_by_name[name] = _Token(TokenState.FORBIDDEN, None)
            self._forget_later(name)
            return ClaimState(name, TokenState.FORBIDDEN.value)
        if state is TokenState.WAITING:
            raise ValueError("a waiting claim must be withdrawn before it is resolved")
        answer = self._token_by_name[name].answer
        if state is TokenState.DONE and answer is not None:
            return ClaimState(
                name, state.value, answer.status, answer.headers, answer.body
            )
        return ClaimState(name, state.value)

    def _forget_later(self, name: str) -> None:
        self._forget_order.append((self._clock.now_ms() + TOKEN_RETENTION_MS, name))

    def _forget_old(self) -> None:
        now_ms = self._clock.now_ms()
        while self._answer_order and (
            self._answer_order[0][0] <= now_ms or self._kept_bytes > MAX_RETAINED_BYTES
        ):
            _, name = self._answer_order.popleft()
            self._drop_answer(self._token_by_name[name])
        while self._forget_order and self._forget_order[0][0] <= now_ms:
            _, name = self._forget_order.popleft()
            del self._token_by_name[name]

    def _drop_answer(self, token: _Token) -> None:
        if token.answer is not None:
            self._kept_bytes -= len(token.answer.body)
        token.answer = None
        token.state = TokenState.UNKNOWN
