"""The course of a planned stop: listen, leave, end what is open."""

from collections.abc import Callable, Collection
from random import Random

import gevent
from gevent.server import StreamServer
from structlog import get_logger

from wigeonwind.clock import MS_PER_SECOND, Clock
from wigeonwind.decisions.stop_admission import (
    BALANCER_MS,
    leave_delay_ms,
    may_leave,
    passes_on_calls,
)
from wigeonwind.routing.caller_connection import CallerConnection
from wigeonwind.routing.exchange import Exchange
from wigeonwind.routing.peer_exchange import PeerExchange
from wigeonwind.routing.planned_stop import PlannedStop, StopPhase
from wigeonwind.routing.routing_metrics import RoutingMetrics

LAST_RESPONSES_MS = 100.0
"""Time for the responses that are sent at the exit. A caller that does not read its
response must not hold up those of the others."""

STOP_POLL_MS = 25.0
"""Interval of the checks whether the next step of a stop is due."""

log = get_logger("wigeonwind.router")


class StopSequence:
    """Takes a routing process through its planned stop."""

    def __init__(
        self,
        clock: Clock,
        rng: Random,
        server: StreamServer,
        peers: PeerExchange,
        metrics: RoutingMetrics,
        connections: Collection[CallerConnection],
        in_flight: Collection[Exchange],
        is_stopped: Callable[[], bool],
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._leave_jitter = 0.0
        self._may_leave_since_ms: float | None = None
        """Since when the process may leave, None if it must not."""
        self._server = server
        self._peers = peers
        self._metrics = metrics
        self._connections = connections
        self._in_flight = in_flight
        self._is_stopped = is_stopped
        self.plan: PlannedStop | None = None
        """The stop that has begun, None before."""

    @property
    def phase(self) -> StopPhase:
        """Return the current phase."""
        if self.plan is None:
            return StopPhase.RUNNING
        return self.plan.phase(self._clock.now_ms())

    def run(self, plan: PlannedStop) -> None:
        """Go through the stop; on return all connections have been closed."""
        self.plan = plan
        self._leave_jitter = self._rng.random()
        self._log("stopping")
        self._peers.announce_stop(plan, self._expected_exit_ms)
        self._wait_until(lambda: self._may_leave(plan), plan.ends_from_ms)
        if self._is_stopped():
            return
        plan.leaves_from_ms = min(self._clock.now_ms(), plan.ends_from_ms)
        self._peers.repeat_stop()
        self._close_listener()
        self._log("stopped listening")
        self._wait_until(lambda: not self._connections, plan.ends_from_ms)
        self._end_requests()
        self._wait_until(lambda: not self._connections, plan.exits_ms)
        responses = [gevent.spawn(each.respond_by_stop) for each in self._in_flight]
        gevent.joinall(responses, timeout=LAST_RESPONSES_MS / MS_PER_SECOND)
        for connection in list(self._connections):
            connection.cut_off()
        self._log("stopped")

    def _has_early_work(self, plan: PlannedStop) -> bool:
        """Return whether requests are open that came while the balancer still sent."""
        until_ms = plan.signaled_ms + BALANCER_MS
        return any(each.started_ms <= until_ms for each in self._in_flight)

    def _may_leave(self, plan: PlannedStop) -> bool:
        if self._is_stopped():
            return True
        now_ms = self._clock.now_ms()
        others = self._peers.others(plan)
        since_signal_ms = now_ms - plan.signaled_ms
        if passes_on_calls(since_signal_ms, plan.ends_from_ms - now_ms, others):
            return True
        if not may_leave(since_signal_ms, self._has_early_work(plan), others):
            self._may_leave_since_ms = None
            return False
        if not self._peers.peer_count():
            return True
        if self._may_leave_since_ms is None:
            self._may_leave_since_ms = now_ms
        waited_ms = now_ms - self._may_leave_since_ms
        return waited_ms >= leave_delay_ms(others, self._leave_jitter)

    def _expected_exit_ms(self) -> float:
        """Return the clock reading at which the process should have exited."""
        plan = self.plan
        assert plan is not None
        if self._has_early_work(plan):
            return plan.exits_ms
        return max(self._clock.now_ms(), plan.signaled_ms + BALANCER_MS)

    def _close_listener(self) -> None:
        """Stop accepting; connections that are already established are served."""
        while (accepted := self._server.do_read()) is not None:
            self._server.do_handle(*accepted)
        self._server.close()
        # Connections are registered by greenlets that have not run yet.
        gevent.sleep(0.0)
        for connection in list(self._connections):
            connection.on_stop_phase()

    def _end_requests(self) -> None:
        """Let every request that is still open get its final response."""
        if self._connections:
            self._log("ending requests")
        assert self.plan is not None
        for exchange in list(self._in_flight):
            self._metrics.on_cut_off(exchange, self.plan)
            exchange.end_by_stop()
        for connection in list(self._connections):
            connection.on_stop_phase()

    def _log(self, event: str) -> None:
        assert self.plan is not None
        log.info(
            event,
            connections=len(self._connections),
            in_flight=len(self._in_flight),
            after_ms=round(self._clock.now_ms() - self.plan.signaled_ms),
            others_ready=self._peers.others(self.plan).ready,
        )

    def _wait_until(self, is_done: Callable[[], bool], until_ms: float) -> None:
        while not is_done() and (left_ms := until_ms - self._clock.now_ms()) > 0.0:
            gevent.sleep(min(left_ms, STOP_POLL_MS) / MS_PER_SECOND)
