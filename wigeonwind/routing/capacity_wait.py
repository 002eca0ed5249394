"""Wait of a request with a long prompt until an engine should take it."""

from collections.abc import Callable

from gevent import sleep

from wigeonwind.clock import MS_PER_SECOND
from wigeonwind.decisions.placement import PlacementRequest
from wigeonwind.routing.forwarding_context import ForwardingContext

CAPACITY_WAIT_FRACTION = 1.0
"""Wait for capacity, as a fraction of the latency target, after which the request has
missed its target. It is then refused if newer requests wait as well, which can still
meet theirs, and goes on waiting if not."""

LATE_WAIT_FRACTION = 2.0
"""Longest wait for capacity, as a fraction of the latency target. A late answer is
worth less than one in time, but more than a refusal."""

CAPACITY_POLL_MS = 25.0
"""Interval of the check whether an engine has capacity."""


def wait_for_capacity(
    context: ForwardingContext,
    request: PlacementRequest,
    started_ms: float,
    latest_ms: float,
    exclude: frozenset[str],
    must_end: Callable[[], bool],
) -> bool:
    """Wait for an engine with capacity; return False if that takes too long.

    Only requests with long prompts wait, the newest first. `started_ms` is the arrival
    of the request and `latest_ms` the last time at which it may be sent, both clock
    readings. A request for which `must_end` returns True is let
    through; the caller has gone, or it is too late to send it.
    """
    clock, chooser = context.clock, context.chooser
    waiting_queue = context.waiting_queue_of(request.service)
    if not request.is_long:
        return True
    if not len(waiting_queue) and chooser.has_capacity(
        request, clock.now_ms(), exclude
    ):
        return True
    late_from_ms = started_ms + CAPACITY_WAIT_FRACTION * request.target_ms
    limit_ms = min(started_ms + LATE_WAIT_FRACTION * request.target_ms, latest_ms)
    ticket = waiting_queue.enter()
    try:
        while not must_end() and clock.now_ms() < limit_ms:
            is_next = waiting_queue.is_next(ticket)
            if is_next and chooser.has_capacity(
                request, clock.now_ms(), exclude, len(waiting_queue)
            ):
                return True
            if clock.now_ms() >= late_from_ms and not is_next:
                break
            sleep(CAPACITY_POLL_MS / MS_PER_SECOND)
    finally:
        waiting_queue.leave(ticket)
    return must_end()
