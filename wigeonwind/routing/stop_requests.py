"""Admission of requests during a planned stop, and the durations it is based on."""

import math
from collections.abc import Iterable, Iterator
from functools import lru_cache
from typing import TYPE_CHECKING, NamedTuple

from wigeonwind.clock import Clock
from wigeonwind.decisions.response_times import ResponseTimes
from wigeonwind.decisions.stop_admission import (
    LIKELY_RULE,
    SURE_RULE,
    DurationRule,
    OtherRouters,
    StopDecision,
    StopSituation,
    decide_in_stop,
    estimate_duration,
)
from wigeonwind.routing.header_codec import RequestMetadata
from wigeonwind.routing.planned_stop import PlannedStop
from wigeonwind.routing.routed_request import RoutedRequest
from wigeonwind.routing.routes import HttpRoute
from wigeonwind.routing.send_outcomes import Delivered, NotRun, SendOutcome

if TYPE_CHECKING:
    from wigeonwind.routing.exchange import Exchange


MAX_LENGTH_CLASS = 20
"""Class of the longest responses; those of a class differ by a factor of two."""

ESTIMATE_AGE_MS = 50.0
"""Time for which an estimate is kept, as it costs time for each request in flight."""


class DurationGroup(NamedTuple):
    """Requests of like duration; `length_class` is None for those of any length."""

    route: str
    service: str
    length_class: int | None


def duration_groups(
    route: HttpRoute, service: str, metadata: RequestMetadata
) -> tuple[DurationGroup, ...]:
    """Return the groups that the duration of a request is added to."""
    return _duration_groups(route.name, service, _length_class(metadata))


@lru_cache(maxsize=1_024)
def _duration_groups(
    route: str, service: str, length_class: int | None
) -> tuple[DurationGroup, ...]:
    any_length = DurationGroup(route, service, None)
    if length_class is None:
        return (any_length,)
    return DurationGroup(route, service, length_class), any_length


def comparable_groups(
    route: HttpRoute, service: str, metadata: RequestMetadata
) -> Iterator[DurationGroup]:
    """Return the groups of requests that take at least as long, the closest one first.

    Of a request with an expected length they are those of at least that length.
    """
    length_class = _length_class(metadata)
    if length_class is None:
        yield DurationGroup(route.name, service, None)
        return
    for each in range(length_class, MAX_LENGTH_CLASS + 1):
        yield DurationGroup(route.name, service, each)


def _length_class(metadata: RequestMetadata) -> int | None:
    """Return the class of the expected length, None if the caller stated none."""
    if not metadata.expected_output_tokens:
        return None
    return min(metadata.expected_output_tokens.bit_length(), MAX_LENGTH_CLASS)


class StopRequests:
    """Learns how long requests take and decides which ones a stopping process takes."""

    def __init__(self, clock: Clock, in_flight: Iterable["Exchange"]) -> None:
        self._clock = clock
        self._in_flight = in_flight
        self._times = ResponseTimes()
        self._estimated_ms = -math.inf
        self._starts_by_group: dict[DurationGroup, list[float]] = {}
        self._estimates: dict[tuple[DurationGroup, DurationRule], float | None] = {}

    def on_outcome(self, exchange: "Exchange", outcome: SendOutcome) -> None:
        """Record how long a request took, or ran until it broke off or failed."""
        if isinstance(outcome, NotRun) or not exchange.may_have_run:
            return
        now_ms = self._clock.now_ms()
        took_ms = now_ms - exchange.started_ms
        is_whole = isinstance(outcome, Delivered) and 200 <= outcome.status < 300
        for group in _groups_of(exchange):
            self._times.add(group, now_ms, took_ms, is_whole)

    def decide(
        self, routed: RoutedRequest, stop: PlannedStop, others: OtherRouters
    ) -> StopDecision:
        """Return whether to take a request during a planned stop."""
        now_ms = self._clock.now_ms()
        if now_ms - self._estimated_ms >= ESTIMATE_AGE_MS:
            self._forget_estimates(now_ms)
        left_ms = stop.ends_from_ms - now_ms
        sure_ms, route = None, routed.route
        if not route.is_stream:
            sure_ms = self._duration_ms(routed, SURE_RULE, now_ms, left_ms)
        likely_ms = self._duration_ms(routed, LIKELY_RULE, now_ms, left_ms)
        estimate = estimate_duration(
            sure_ms, likely_ms, routed.timeout_ms, route.is_repeatable
        )
        is_leaving = now_ms >= stop.leaves_from_ms
        situation = StopSituation(
            now_ms - stop.signaled_ms,
            left_ms,
            now_ms - stop.leaves_from_ms if is_leaving else None,
            others,
        )
        return decide_in_stop(situation, estimate, likely_ms is not None)

    def _duration_ms(
        self, routed: RoutedRequest, rule: DurationRule, now_ms: float, long_ms: float
    ) -> float | None:
        """Return the duration at the slowest service, None if it is not known."""
        values = [
            self._service_duration_ms(routed, share.service, rule, now_ms, long_ms)
            for share in routed.route.shares
            if share.weight > 0.0
        ]
        known = [value for value in values if value is not None]
        slowest_ms = max(known, default=None)
        if slowest_ms != math.inf and len(known) < len(values):
            return None
        return slowest_ms

    def _service_duration_ms(
        self,
        routed: RoutedRequest,
        service: str,
        rule: DurationRule,
        now_ms: float,
        long_ms: float,
    ) -> float | None:
        groups = comparable_groups(routed.route, service, routed.metadata)
        for rank, group in enumerate(groups):
            value = self._group_duration_ms(group, rule, now_ms, long_ms)
            if value is not None:
                # That longer requests are too long says nothing about this one.
                is_no_evidence = rank > 0 and value >= long_ms
                return None if is_no_evidence else value
        return None

    def _group_duration_ms(
        self, group: DurationGroup, rule: DurationRule, now_ms: float, long_ms: float
    ) -> float | None:
        key = (group, rule)
        if key not in self._estimates:
            starts_ms = self._starts_by_group.get(group, ())
            self._estimates[key] = self._times.quantile_ms(
                group,
                rule.quantile,
                now_ms,
                [now_ms - started_ms for started_ms in starts_ms],
                rule.min_samples,
                long_ms,
            )
        return self._estimates[key]

    def _forget_estimates(self, now_ms: float) -> None:
        """Drop the estimates and group the requests that are in flight now."""
        self._estimated_ms = now_ms
        self._estimates.clear()
        self._starts_by_group.clear()
        for exchange in self._in_flight:
            # The wait of a request that has not been sent says nothing about others.
            for group in _groups_of(exchange) if exchange.sends else ():
                starts_ms = self._starts_by_group.setdefault(group, [])
                starts_ms.append(exchange.started_ms)


def _groups_of(exchange: "Exchange") -> tuple[DurationGroup, ...]:
    return duration_groups(exchange.route, exchange.service, exchange.metadata)
