"""States of the claim tokens of bookings at one sidecar.

A wrong `forbidden` would let a booking run twice. A token is therefore reported as
forbidden only if its attempt has certainly not started here and will be refused from
now on. The token of a started attempt is retained for as long as callers may retry the
idempotency key, although the response is dropped earlier. When the registry is full,
new bookings are refused and tokens that are not registered are reported as `unknown`;
no token is removed early.
"""

from collections import deque
from dataclasses import dataclass, field
from enum import Enum

from wigeonwind.clock import Clock
from wigeonwind.decisions.interfaces import AttemptKey
from wigeonwind.links.messages import ClaimState

RESPONSE_RETENTION_MS = 600_000.0
"""Retention of a booking's response for ResolveClaim: 10 minutes."""

TOKEN_RETENTION_MS = 90_000_000.0
"""Retention of a token: 25 hours; callers may retry an idempotency key for 24 hours."""

MAX_TOKENS = 100_000
"""Capacity: more than one booking per second for 25 hours, about 30 MB."""

MAX_RESPONSE_BYTES = 1_000_000
"""A response with a longer body is delivered but not retained."""

MAX_RETAINED_BYTES = 32_000_000
"""Limit of all retained response bodies together; the oldest is dropped first."""


class TokenState(Enum):
    """State of a claim token; the first four are states of a `ClaimState` message."""

    FORBIDDEN = "forbidden"
    RUNNING = "running"
    DONE = "done"
    UNKNOWN = "unknown"
    WAITING = "waiting"


@dataclass(frozen=True)
class BookingResponse:
    """The complete response to a booking."""

    status: int
    headers: list[list[str]]
    body: bytes


@dataclass
class ResponseRecorder:
    """Collects a response while it is delivered."""

    status: int = 0
    headers: list[list[str]] = field(default_factory=list)
    body: bytearray = field(default_factory=bytearray)
    is_too_long: bool = False

    def add(self, data: bytes) -> None:
        """Append a chunk of the body."""
        self.is_too_long |= len(self.body) + len(data) > MAX_RESPONSE_BYTES
        if not self.is_too_long:
            self.body += data

    def response(self) -> BookingResponse | None:
        """Return the complete response, None if it is too long to be retained."""
        if self.is_too_long:
            return None
        return BookingResponse(self.status, self.headers, bytes(self.body))


@dataclass
class _Claim:
    """State of one token; `key` is None if no attempt with it has arrived."""

    state: TokenState
    key: AttemptKey | None
    response: BookingResponse | None = None


class ClaimRegistry:
    """Claim tokens with their state, attempt and response."""

    def __init__(self, clock: Clock, max_tokens: int = MAX_TOKENS) -> None:
        self._clock = clock
        self._max_tokens = max_tokens
        self._claim_by_token: dict[str, _Claim] = {}
        self._claim_expiries: deque[tuple[float, str]] = deque()
        self._response_expiries: deque[tuple[float, str]] = deque()
        self._retained_bytes = 0

    def state(self, token: str) -> TokenState | None:
        """Return the state of a token, None if it is not registered."""
        self._remove_expired()
        claim = self._claim_by_token.get(token)
        return claim.state if claim else None

    @property
    def is_full(self) -> bool:
        """Return whether there is no capacity for another token."""
        self._remove_expired()
        return len(self._claim_by_token) >= self._max_tokens

    def add(self, token: str, key: AttemptKey) -> None:
        """Register the token of a queued attempt.

        Raise ValueError if the token is already registered or the registry is full.
        """
        if self.state(token) is not None or self.is_full:
            raise ValueError(
                "the claim token is already registered or the registry is full"
            )
        self._claim_by_token[token] = _Claim(TokenState.WAITING, key)

    def start(self, token: str) -> None:
        """Record that the attempt of the token is being sent to the endpoint."""
        self._claim_by_token[token].state = TokenState.RUNNING

    def mark_not_run(self, token: str) -> None:
        """Record that the attempt certainly did not run, and forbid the token."""
        self._claim_by_token[token].state = TokenState.FORBIDDEN
        self._schedule_removal(token)

    def end(self, token: str, response: BookingResponse | None) -> None:
        """Record that the attempt has ended.

        `response` is None if the outcome is unknown or the response is not retained.
        """
        claim = self._claim_by_token[token]
        claim.state = TokenState.UNKNOWN if response is None else TokenState.DONE
        claim.response = response
        self._schedule_removal(token)
        if response is not None:
            self._retained_bytes += len(response.body)
            expires_ms = self._clock.now_ms() + RESPONSE_RETENTION_MS
            self._response_expiries.append((expires_ms, token))

    def queued_key(self, token: str) -> AttemptKey | None:
        """Return the attempt key of the token if the attempt is queued, else None."""
        if self.state(token) is TokenState.WAITING:
            return self._claim_by_token[token].key
        return None

    def resolve(self, token: str) -> ClaimState:
        """Return the response to ResolveClaim; forbids a token that is not registered.

        Raise ValueError if the attempt is still queued: it must be withdrawn first.
        """
        state = self.state(token)
        if state is None and self.is_full:
            return ClaimState(token, TokenState.UNKNOWN.value)
        if state is None:
            self._claim_by_token[token] = _Claim(TokenState.FORBIDDEN, None)
            self._schedule_removal(token)
            return ClaimState(token, TokenState.FORBIDDEN.value)
        if state is TokenState.WAITING:
            raise ValueError(
                "a queued attempt must be withdrawn before its claim is resolved"
            )
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
