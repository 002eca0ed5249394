"""A connection pool for one kind of store calls, with rate limit, backoff and breaker.

Reads, writes and watches have a pool each, so none of them can exhaust the connections
or the rate limit of another.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from math import isnan
from random import Random
from socket import IPPROTO_TCP, TCP_NODELAY
from typing import Any

import gevent
from gevent.event import Event
from gevent.lock import BoundedSemaphore
from geventhttpclient import HTTPClient
from geventhttpclient.response import HTTPParseError

from wigeonwind.addresses import SocketAddress
from wigeonwind.clock import MS_PER_SECOND, Clock
from wigeonwind.runtime.fair_receive import use_fair_sockets
from wigeonwind.state.store_eras import StoreEras
from wigeonwind.state.store_types import UNKNOWN_ERA, StoreFailure

MAX_RETRY_AFTER_MS = 60_000.0
"""Longest Retry-After that is passed on."""

INITIAL_BACKOFF_MS = 50.0
"""Shortest backoff after a first failure; it doubles with each consecutive failure."""

MAX_STORE_RESPONSE_BYTES = 4_000_000
"""Bound on a response: a value of 1 MB in base64, or a long list of keys."""

CONNECT_TIMEOUT_MS = 1_000.0

MAX_ERA = 2**63 - 1


@dataclass(frozen=True)
class PoolLimits:
    """Limits of one kind of calls; `timeout_ms` bounds a call including its waits."""

    connections: int
    calls_per_s: float
    timeout_ms: float
    hold_ms: float = 0.0
    """Longest time for which the store may hold a request open (watches)."""
    max_backoff_ms: float = 1_000.0
    """Longest backoff after failures. It must be below `timeout_ms`; otherwise calls
    would fail without being sent although the store has recovered."""


@dataclass(frozen=True)
class StoreResponse:
    """Status, body and era of an HTTP response of the store."""

    status: int
    body: bytes
    era: int = UNKNOWN_ERA


@dataclass(frozen=True)
class BreakerLimits:
    """Circuit breaker: after `failures` in a row, calls fail at once for `open_ms`."""

    failures: int = 5
    open_ms: float = 2_000.0


@dataclass
class PoolCounts:
    """Counters of one connection pool."""

    calls: int = 0
    """Requests sent to the store; these count against its rate limit."""
    failures: int = 0
    throttled: int = 0
    """Responses with status 429."""
    refused_by_breaker: int = 0
    over_budget: int = 0
    """Calls that failed because they could not be sent before their deadline."""
    by_status: dict[int, int] = field(default_factory=dict)


class StoreConnectionPool:
    """Sends one kind of calls within a rate limit, with backoff after failures.

    After a failure, one call at a time is sent as a probe until the store answers
    (half-open). In an outage a process therefore sends about one call per backoff, and
    all waiting calls are sent as soon as a probe is answered.
    """

    def __init__(
        self,
        address: SocketAddress,
        limits: PoolLimits,
        clock: Clock,
        random: Random,
        breaker: BreakerLimits | None,
        sleep_ms: Callable[[float], None] | None = None,
        era_header: str = "",
        eras: StoreEras | None = None,
    ) -> None:
        self.limits = limits
        self._eras = eras or StoreEras()
        self._era_header = era_header
        self.counts = PoolCounts()
        self._clock = clock
        self._random = random
        self._breaker = breaker
        self._sleep_ms = sleep_ms or (lambda ms: gevent.sleep(ms / MS_PER_SECOND))
        self._free_connections = BoundedSemaphore(limits.connections)
        self._client = _http_client(address, limits)
        self._consecutive_failures = 0
        self._backoff_until_ms = 0.0
        self._breaker_open_until_ms = 0.0
        self._last_failure_ms = float("-inf")
        self._probe: Event | None = None
        self._rate_tokens = limits.calls_per_s
        self._refilled_ms = clock.now_ms()

    def close(self) -> None:
        """Close all connections."""
        self._client.close()

    def call(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        headers: Mapping[str, str] | None = None,
        hold_ms: float = 0.0,
    ) -> StoreResponse | StoreFailure:
        """Send one request, after waiting for rate limit and backoff if needed.

        The timeout of the pool bounds the waits and the request together. A request
        that the store has certainly not processed is sent again; others are not, as
        only the caller knows whether that is safe. `hold_ms` is the time for which the
        store may hold this request open.
        """
        deadline_ms = self._clock.now_ms() + self.limits.timeout_ms + hold_ms
        while True:
            admission = self._wait_for_admission(deadline_ms)
            if isinstance(admission, StoreFailure):
                return admission
            try:
                sent_ms = self._clock.now_ms()
                result = self._send(method, path, body, headers or {}, deadline_ms)
                self._record_result(result, sent_ms)
            finally:
                self._end_probe(admission)
            if not isinstance(result, StoreFailure) or result.maybe_written:
                return result
            if self._clock.now_ms() + self._backoff_left_ms() >= deadline_ms:
                return result

    def _wait_for_admission(self, deadline_ms: float) -> Event | StoreFailure | None:
        """Wait for rate limit and backoff; return a failure if that takes too long.

        An Event means that the call is the probe and must be passed to `_end_probe`.
        """
        now_ms = self._clock.now_ms()
        if self._breaker_open_until_ms > now_ms:
            self.counts.refused_by_breaker += 1
            left_ms = self._breaker_open_until_ms - now_ms
            return StoreFailure("circuit breaker is open", False, left_ms)
        failure = self._wait(self._take_token(), deadline_ms)
        while failure is None:
            left_ms = self._backoff_left_ms()
            if left_ms > 0:
                failure = self._wait(left_ms, deadline_ms)
            elif self._probe is not None:
                failure = self._wait_for_probe(self._probe, deadline_ms)
            else:
                return self._begin_probe()
        self._rate_tokens += 1
        self.counts.over_budget += 1
        return failure

    def _wait(self, delay_ms: float, deadline_ms: float) -> StoreFailure | None:
        if self._clock.now_ms() + delay_ms >= deadline_ms:
            return StoreFailure(
                "rate limit or backoff exceeds deadline", False, delay_ms
            )
        if delay_ms > 0:
            self._sleep_ms(delay_ms)
        return None

    def _begin_probe(self) -> Event | None:
        # A watch is never a probe: the store may hold it open while other calls wait.
        if self._consecutive_failures and not self.limits.hold_ms:
            self._probe = Event()
        return self._probe

    def _end_probe(self, probe: Event | None) -> None:
        """Release the waiting calls: at once after success, else after the backoff."""
        if probe is not None:
            self._probe = None
            probe.set()

    def _wait_for_probe(self, probe: Event, deadline_ms: float) -> StoreFailure | None:
        left_ms = deadline_ms - self._clock.now_ms()
        if left_ms > 0 and probe.wait(left_ms / MS_PER_SECOND):
            return None
        return StoreFailure("the store did not answer a probe", False, MS_PER_SECOND)

    def _backoff_left_ms(self) -> float:
        return max(0.0, self._backoff_until_ms - self._clock.now_ms())

    def _take_token(self) -> float:
        """Take one token of the rate limit; return the wait in ms until it is valid."""
        now_ms = self._clock.now_ms()
        per_ms = self.limits.calls_per_s / MS_PER_SECOND
        refill = (now_ms - self._refilled_ms) * per_ms
        self._rate_tokens = min(self.limits.calls_per_s, self._rate_tokens + refill) - 1
        self._refilled_ms = now_ms
        return max(0.0, -self._rate_tokens / per_ms)

    def _send(
        self,
        method: str,
        path: str,
        body: bytes,
        headers: Mapping[str, str],
        deadline_ms: float,
    ) -> StoreResponse | StoreFailure:
        timeout_s = (deadline_ms - self._clock.now_ms()) / MS_PER_SECOND
        if not self._free_connections.acquire(timeout=max(timeout_s, 0.0)):
            self.counts.over_budget += 1
            return StoreFailure("no free connection before the deadline", False)
        try:
            self.counts.calls += 1
            return self._exchange(method, path, body, headers, deadline_ms)
        finally:
            self._free_connections.release()

    def _exchange(
        self,
        method: str,
        path: str,
        body: bytes,
        headers: Mapping[str, str],
        deadline_ms: float,
    ) -> StoreResponse | StoreFailure:
        try:
            left_s = (deadline_ms - self._clock.now_ms()) / MS_PER_SECOND
            era_at_send = self._eras.current
            # The library releases its socket on an OSError such as TimeoutError.
            with gevent.Timeout(max(left_s, 0.001), TimeoutError("deadline exceeded")):
                response = self._client.request(method, path, body, dict(headers))
                data = response.read()
        except ConnectionRefusedError:
            return StoreFailure("connection refused", maybe_written=False)
        except (OSError, HTTPParseError) as error:
            reason = f"no usable response: {error or type(error).__name__}"
            return StoreFailure(reason, maybe_written=True)
        status = response.status_code
        by_status = self.counts.by_status
        by_status[status] = by_status.get(status, 0) + 1
        era = _era(response.get(self._era_header)) if self._era_header else UNKNOWN_ERA
        era = self._eras.observe(era, era_at_send)
        return self._classify(status, bytes(data), response.get("retry-after"), era)

    def _classify(
        self, status: int, data: bytes, retry_after: object, era: int
    ) -> StoreResponse | StoreFailure:
        """Return the response, or a failure for status 429 and 5xx.

        429 means that the request was not processed. After 503 or another 5xx that is
        uncertain, because a gateway may answer for a store that has processed it.
        """
        retry_ms = _retry_after_ms(retry_after)
        if status == 429:
            self.counts.throttled += 1
            return StoreFailure("store answered 429 (rate limit)", False, retry_ms)
        if status >= 500:
            return StoreFailure(f"store answered {status}", True, retry_ms)
        return StoreResponse(status, data, era)

    def _record_result(
        self, result: StoreResponse | StoreFailure, sent_ms: float
    ) -> None:
        """Update backoff and circuit breaker with the result of a call."""
        if isinstance(result, StoreResponse):
            self._consecutive_failures = 0
            self._backoff_until_ms = 0.0
            return
        self.counts.failures += 1
        if sent_ms < self._last_failure_ms:
            # Calls in flight at the same time fail together. That is one failure of the
            # store and must not double the backoff once per call.
            return
        self._consecutive_failures += 1
        now_ms = self._last_failure_ms = self._clock.now_ms()
        ceiling = min(
            INITIAL_BACKOFF_MS * 2 ** min(self._consecutive_failures, 12),
            self.limits.max_backoff_ms,
        )
        # Jitter keeps processes that failed together from retrying together.
        self._backoff_until_ms = now_ms + self._random.uniform(ceiling / 2, ceiling)
        if self._breaker and self._consecutive_failures >= self._breaker.failures:
            open_ms = self._breaker.open_ms * self._random.uniform(0.5, 1.5)
            self._breaker_open_until_ms = now_ms + open_ms


def _http_client(address: SocketAddress, limits: PoolLimits) -> HTTPClient:
    client = HTTPClient(
        address.host,
        address.port,
        concurrency=limits.connections,
        connection_timeout=CONNECT_TIMEOUT_MS / MS_PER_SECOND,
        network_timeout=(limits.timeout_ms + limits.hold_ms) / MS_PER_SECOND,
        block_size=65_536,
    )
    # geventhttpclient repeats PUT and DELETE on a broken connection, size + 1 times. A
    # repeated conditional write would conflict with its own first attempt.
    client._connection_pool.size = -1
    # Header and body of a PUT are two packets. With Nagle's algorithm the second may
    # wait 40 ms for the delayed acknowledgement of the first.
    pool: Any = client._connection_pool
    pool.after_connect = _set_no_delay
    use_fair_sockets(client, MAX_STORE_RESPONSE_BYTES)
    return client


def _set_no_delay(sock: Any) -> None:
    sock.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)


def _era(value: object) -> int:
    """Return the era that a header states, UNKNOWN_ERA if it states none."""
    text = str(value)
    if not (text.isascii() and text.isdecimal()) or len(text) > len(str(MAX_ERA)):
        return UNKNOWN_ERA
    return min(int(text), MAX_ERA)


def _retry_after_ms(value: object) -> float:
    """Return a Retry-After header in ms; one second if it is absent or not a number.

    >>> _retry_after_ms("0.5"), _retry_after_ms("nan"), _retry_after_ms("1e300")
    (500.0, 1000.0, 60000.0)
    """
    try:
        retry_ms = float(str(value)) * MS_PER_SECOND
    except ValueError:
        return MS_PER_SECOND
    if isnan(retry_ms):
        return MS_PER_SECOND
    return min(max(0.0, retry_ms), MAX_RETRY_AFTER_MS)
