"""The weight store test double, which limits concurrent fetches (design 6.5)."""

from dataclasses import dataclass

from gevent import sleep

from wigeonwind.addresses import SocketAddress
from wigeonwind.clock import MS_PER_SECOND, Clock
from wigeonwind.standins.http_server import (
    HttpRequest,
    HttpResponse,
    TestDoubleServer,
    error_response,
    json_response,
)


@dataclass(frozen=True)
class WeightLimits:
    """A fetch takes `fetch_ms`; `parallel` run at a time and `max_queued` more wait."""

    fetch_ms: float = 2000.0
    parallel: int = 2
    max_queued: int = 4


@dataclass(frozen=True)
class FetchStarted:
    """The fetch was started or queued and ends at `done_at_ms`."""

    done_at_ms: float


@dataclass(frozen=True)
class TooManyFetches:
    """The fetch is refused; the next running fetch ends at `retry_at_ms`."""

    retry_at_ms: float


class WeightStore:
    """Schedules fetches in `parallel` slots; `fetch_count` counts accepted fetches.

    >>> store = WeightStore(WeightLimits(fetch_ms=100.0, parallel=1, max_queued=1))
    >>> store.fetch(0.0), store.fetch(0.0)
    (FetchStarted(done_at_ms=100.0), FetchStarted(done_at_ms=200.0))
    >>> store.fetch(10.0)
    TooManyFetches(retry_at_ms=100.0)
    """

    def __init__(self, limits: WeightLimits) -> None:
        self.limits = limits
        self.fetch_count = 0
        self._end_times_ms: list[float] = []

    def fetch(self, now_ms: float) -> FetchStarted | TooManyFetches:
        """Start or queue a fetch, or refuse it."""
        self._end_times_ms = sorted(end for end in self._end_times_ms if end > now_ms)
        limits = self.limits
        if len(self._end_times_ms) >= limits.parallel + limits.max_queued:
            return TooManyFetches(self._end_times_ms[0])
        start_ms = now_ms
        if len(self._end_times_ms) >= limits.parallel:
            # The last `parallel` end times are those at which the slots become free.
            start_ms = self._end_times_ms[-limits.parallel]
        self._end_times_ms.append(start_ms + limits.fetch_ms)
        self.fetch_count += 1
        return FetchStarted(start_ms + limits.fetch_ms)


class WeightStoreServer(TestDoubleServer):
    """Serves a `WeightStore`; the response to a fetch is sent when it has ended."""

    kind = "weight store"

    def __init__(
        self,
        address: SocketAddress,
        limits: WeightLimits | None = None,
        clock: Clock | None = None,
    ) -> None:
        super().__init__(address, clock)
        self.store = WeightStore(limits or WeightLimits())
        self.routes[("POST", "/v1/fetch")] = self._fetch

    def _fetch(self, request: HttpRequest) -> HttpResponse:
        body = request.json_object()
        model, version = body.get("model"), body.get("version")
        if not isinstance(model, str) or not isinstance(version, str):
            return error_response(
                400, "bad_request", "model and version must be strings"
            )
        now_ms = self.clock.now_ms()
        result = self.store.fetch(now_ms)
        if isinstance(result, TooManyFetches):
            retry_after_ms = result.retry_at_ms - now_ms
            message = "too many concurrent fetches"
            return error_response(
                429, "rate_limited", message, retry_after_ms=retry_after_ms
            )
        sleep(max(0.0, result.done_at_ms - now_ms) / MS_PER_SECOND)
        return json_response({"model": model, "version": version})
