"""What became of the claim tokens of bookings at one sidecar.

A wrong `forbidden` would let a booking run twice, so the rule is: only a token that is
certain never to have started here, and is refused from now on, is called forbidden. A
token that has started is kept for as long as callers may retry its key, although its
response is dropped earlier. When the memory is full, new bookings are refused and
unknown tokens are called `unknown`; nothing is forgotten early.
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
"""A longer response is delivered but not kept."""

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

    def response(self) -> BookingResponse | None:
        """Return the whole answer, or None if it is too long to be kept."""
        if self.is_too_long:
            return None
        return BookingResponse(self.status, self.headers, bytes(self.body))


@dataclass
class _Claim:
    state: TokenState
    key: AttemptKey | None
    response: BookingResponse | None = None


class ClaimRegistry:
    """Claim tokens by state."""

    def __init__(self, clock: Clock, max_tokens: int = MAX_TOKENS) -> None:
        self._clock = clock
        self._max_tokens = max_tokens
        self._claim_by_token: dict[str, _Claim] = {}
        self._claim_expiries: deque[tuple[float, str]] = deque()
        self._response_expiries: deque[tuple[float, str]] = deque()
        self._retained_bytes = 0

    def state(self, token: str) -> TokenState | None:
        """Return the state of a token, None if it is not known."""
        self._remove_expired()
        claim = self._claim_by_token.get(token)
        return claim.state if claim else None

    @property
    def is_full(self) -> bool:
        """Return whether another token could not be kept."""
        self._remove_expired()
        return len(self._claim_by_token) >= self._max_tokens

    def add(self, token: str, key: AttemptKey) -> None:
        """Take the token of an attempt that now waits; raise ValueError if known."""
        if self.state(token) is not None or self.is_full:
            raise ValueError("a claim token cannot be taken twice")
        self._claim_by_token[token] = _Claim(TokenState.WAITING, key)

    def start(self, token: str) -> None:
        """Record that the attempt leaves for the endpoint."""
        self._claim_by_token[token].state = TokenState.RUNNING

    def mark_not_run(self, token: str) -> None:
        """Record that the attempt certainly did not run, and forbid the claim."""
        self._claim_by_token[token].state = TokenState.FORBIDDEN
        self._schedule_removal(token)

    def end(self, token: str, response: BookingResponse | None) -> None:
        """Record the end of the attempt; None if its outcome is not known."""
        claim = self._claim_by_token[token]
        claim.state = TokenState.UNKNOWN if response is None else TokenState.DONE
        claim.response = response
        self._schedule_removal(token)
        if response is not None:
            self._retained_bytes += len(response.body)
            expires_ms = self._clock.now_ms() + RESPONSE_RETENTION_MS
            self._response_expiries.append((expires_ms, token))

    def queued_key(self, token: str) -> AttemptKey | None:
        """Return the key of the attempt if the token waits in the queue."""
        if self.state(token) is TokenState.WAITING:
            return self._claim_by_token[token].key
        return None

    def resolve(self, token: str) -> ClaimState:
        """Answer ResolveClaim; a token that is not known is forbidden by this.

        A token that waits must be withdrawn from the queue first.
        """
        state = self.state(token)
        if state is None and self.is_full:
            return ClaimState(token, TokenState.UNKNOWN.value)
        if state is None:
            self._claim_by_token[token] = _Claim(TokenState.FORBIDDEN, None)
            self._schedule_removal(token)
            return ClaimState(token, TokenState.FORBIDDEN.value)
        if state is TokenState.WAITING:
            raise ValueError("a waiting claim must be withdrawn before it is resolved")
        response = self._claim_by_token[token].response
        if state is TokenState.DONE and response is not None:
            return ClaimState(
                token, state.value, response.status, response.headers, response.body
            )
        return ClaimState(token, state.value)

    def _schedule_removal(self, token: str) -> None:
        self._claim_expiries.append((self._clock.now_ms() + TOKEN_RETENTION_MS, token))

    def _remove_expired(self) -> None:
        now_ms = self._clock.now_ms()
        while self._response_expiries and (
            self._response_expiries[0][0] <= now_ms
            or self._retained_bytes > MAX_RETAINED_BYTES
        ):
            _, token = self._response_expiries.popleft()
            self._drop_response(self._claim_by_token[token])
        while self._claim_expiries and self._claim_expiries[0][0] <= now_ms:
            _, token = self._claim_expiries.popleft()
            del self._claim_by_token[token]

    def _drop_response(self, claim: _Claim) -> None:
        if claim.response is not None:
            self._retained_bytes -= len(claim.response.body)
        claim.response = None
        claim.state = TokenState.UNKNOWN
