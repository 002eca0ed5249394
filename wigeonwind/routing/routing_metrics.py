"""Metrics and log lines of forwarded requests."""

from collections.abc import Iterable

from structlog import get_logger

from wigeonwind.clock import Clock
from wigeonwind.decisions.engine_profile import ServiceProfile
from wigeonwind.decisions.interfaces import GiveUp, Resend
from wigeonwind.decisions.quarantine import SuspectStatus
from wigeonwind.decisions.stop_admission import StopDecision
from wigeonwind.outcomes import Failure
from wigeonwind.routing.exchange import Exchange
from wigeonwind.routing.header_codec import RequestMetadata
from wigeonwind.routing.planned_stop import PlannedStop
from wigeonwind.routing.routed_request import RoutedRequest
from wigeonwind.routing.routes import RouteTable
from wigeonwind.routing.send_outcomes import (
    Broken,
    CallerDisconnected,
    Delivered,
    Failed,
    NotRun,
    Quarantined,
    SendOutcome,
    Stopped,
    TimedOut,
)
from wigeonwind.runtime.metrics import Metrics

log = get_logger("wigeonwind.requests")


def outcome_name(outcome: SendOutcome) -> str:
    """Return the `outcome` label for the outcome of a request or a send."""
    match outcome:
        case Delivered():
            return "delivered"
        case NotRun():
            return "not-run"
        case Failed():
            return "endpoint-failed"
        case Broken():
            return "broken"
        case TimedOut():
            return "timed-out"
        case CallerDisconnected():
            return "caller-gone"
        case Stopped():
            return "stopped"
        case Quarantined():
            return "quarantined"


class RoutingMetrics:
    """Counts and logs the outcomes of requests."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._metrics = Metrics(clock)
        self._requests = self._metrics.counter(
            "route_requests", "Requests by route and outcome.", ("route", "outcome")
        )
        self._refused = self._metrics.counter(
            "route_refused", "Requests refused before a route took them.", ("code",)
        )
        self._taken_during_stop = self._metrics.counter(
            "stop_requests_taken",
            "Requests that began to be served after a stop signal.",
            ("route",),
        )
        self._refused_during_stop = self._metrics.counter(
            "stop_requests_refused",
            "Requests that a stopping process refused, by reason.",
            ("route", "reason"),
        )
        self._cut_off = self._metrics.counter(
            "stop_requests_cut_off",
            "Requests that were in flight when a planned stop ended.",
            ("route", "state"),
        )
        self._retries = self._metrics.counter(
            "route_retries",
            "Second sends by decision.",
            ("service", "decision"),
        )
        self._connections = self._metrics.counter(
            "endpoint_connections_opened", "Connections opened to endpoints."
        )
        self._endpoint_crashes = self._metrics.counter(
            "endpoint_crashes",
            "Endpoints that lost connections and refused new ones.",
            ("service",),
        )
        self._unanswered_at_crash = self._metrics.counter(
            "endpoint_crash_unanswered",
            "Requests that a crashed endpoint had not answered, or only begun to.",
            ("service",),
        )
        self._trials = self._metrics.counter(
            "quarantine_trials",
            "Ended trials of request keys that may crash endpoints, by result.",
            ("result",),
        )
        self._leaving = self._metrics.gauge(
            "endpoints_leaving",
            "Listed endpoints that have announced in a response that they leave.",
        )
        self._suspect_keys = self._metrics.gauge(
            "quarantine_suspect_keys",
            "Request keys that may crash endpoints and may be tried.",
        )
        self._blocked_keys = self._metrics.gauge(
            "quarantine_blocked_keys", "Request keys that are not sent to endpoints."
        )
        self._config_version = self._metrics.gauge(
            "configuration_version", "Version of the configuration in force."
        )
        self._ignored_entries = self._metrics.counter(
            "endpoint_entries_ignored",
            "Endpoint entries in the store that became invalid.",
        )
        self._failed_store_steps = self._metrics.gauge(
            "store_failed_steps",
            "Lists and watches that ended with an unexpected error.",
        )
        self._store_reachable = self._metrics.gauge(
            "store_reachable",
            "1 while the platform's store answers.",
        )
        self._store_era = self._metrics.gauge(
            "store_era", "Era of the store at its last answer, -1 if it states none."
        )
        self._store_answers = self._metrics.counter(
            "store_answers",
            "Listings and watches that the store answered, by prefix.",
            ("call", "prefix"),
        )
        self._states_adopted = self._metrics.counter(
            "peer_states_adopted", "Lists of endpoints adopted from a peer."
        )
        self._prefill_rate = self._metrics.gauge(
            "engine_prefill_tokens_per_ms",
            "Learned prefill rate of the engines of a service.",
            ("service",),
        )
        self._base_latency = self._metrics.gauge(
            "engine_base_ms",
            "Learned time to a first event without prefill.",
            ("service",),
        )
        self._prefill_window = self._metrics.gauge(
            "engine_prefill_window",
            "Most long prompts that may wait for a first event.",
            ("service",),
        )
        self._watches_store = self._metrics.gauge(
            "store_watched",
            "1 while this process watches the store, 0 while it reads from peers.",
        )
        self.loop_turns = self._metrics.latency(
            "loop_turn", "Turns of a greenlet on the event loop, of 5 ms and more."
        )
        """Durations of long turns; see `wigeonwind.runtime.loop_monitor`."""
        self._first_event_latency = self._metrics.latency(
            "route_first_event", "Time to the first event of a stream."
        )
        self._response_latency = self._metrics.latency(
            "route_whole", "Time to the end of an answer."
        )

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return self._metrics.render()

    def count_connection(self) -> None:
        """Count a connection opened to an endpoint."""
        self._connections.inc()

    def on_endpoint_crashed(self, service: str, unanswered: int) -> None:
        """Count a crash and the requests that the endpoint had not answered."""
        self._endpoint_crashes.labels(service).inc()
        self._unanswered_at_crash.labels(service).inc(unanswered)

    def on_trial_ended(self, result: str) -> None:
        """Count the end of a trial of suspect request keys."""
        self._trials.labels(result).inc()

    def set_leaving(self, count: int) -> None:
        """Record how many endpoints have announced that they leave."""
        self._leaving.set(count)

    def set_suspects(self, statuses: Iterable[SuspectStatus]) -> None:
        """Record how many request keys are suspect and how many are blocked."""
        is_blocked = [each.blocked_ms > 0.0 for each in statuses]
        self._suspect_keys.set(is_blocked.count(False))
        self._blocked_keys.set(is_blocked.count(True))

    def on_route_table(self, table: RouteTable) -> None:
        """Record the version of the configuration in force."""
        self._config_version.set(table.version)

    def set_engine_profiles(self, profiles: Iterable[ServiceProfile]) -> None:
        """Record what is known of the engines of each service."""
        for each in profiles:
            self._prefill_rate.labels(each.service).set(each.prefill_rate)
            self._base_latency.labels(each.service).set(each.base_ms)
            self._prefill_window.labels(each.service).set(each.prefill_window)

    def on_entry_ignored(self) -> None:
        """Count an endpoint entry that has become invalid."""
        self._ignored_entries.inc()

    def set_failed_store_steps(self, count: int) -> None:
        """Record how many steps of the store's followers failed."""
        self._failed_store_steps.set(count)

    def on_store_watched(self, is_watching: bool) -> None:
        """Record whether this process watches the store itself."""
        self._watches_store.set(1 if is_watching else 0)

    def on_store_reachable(self, is_reachable: bool) -> None:
        """Record whether the last call to the store succeeded."""
        self._store_reachable.set(1 if is_reachable else 0)

    def on_store_answer(self, call: str, prefix: str, era: int) -> None:
        """Count an answer of the store and record its era."""
        self._store_answers.labels(call, prefix).inc()
        self._store_era.set(era)

    def on_state_adopted(self) -> None:
        """Count endpoints adopted from a peer."""
        self._states_adopted.inc()

    def on_refused(
        self, metadata: RequestMetadata, failure: Failure, version: int | None
    ) -> None:
        """Record a request that is refused without being forwarded."""
        self._refused.labels(failure.code.value).inc()
        log.info(
            "request refused",
            request_id=metadata.request_id,
            code=failure.code.value,
            status=failure.http_status,
            config_version=version,
        )

    def on_request_during_stop(
        self, routed: RoutedRequest, stop: PlannedStop, decision: StopDecision
    ) -> None:
        """Record that a request is taken or refused after the stop signal."""
        now_ms = self._clock.now_ms()
        route = routed.route.name
        reason = decision.reason.value
        if decision.is_taken:
            event = "request taken during a stop"
            self._taken_during_stop.labels(route).inc()
        else:
            event = "request refused during a stop"
            self._refused_during_stop.labels(route, reason).inc()
        log.info(
            event,
            request_id=routed.metadata.request_id,
            route=route,
            since_signal_ms=round(now_ms - stop.signaled_ms),
            left_ms=round(decision.left_ms),
            estimate_ms=round(decision.estimate_ms),
            likely_ms=round(decision.likely_ms),
            reason=reason,
        )

    def on_cut_off(self, exchange: Exchange, stop: PlannedStop) -> None:
        """Record a request that is in flight at the end of a planned stop."""
        if exchange.caller.head_sent:
            state = "begun"
        else:
            state = "sent" if exchange.sends else "not-sent"
        self._cut_off.labels(exchange.route.name, state).inc()
        log.info(
            "request cut off by the stop",
            request_id=exchange.metadata.request_id,
            route=exchange.route.name,
            endpoint=exchange.last_endpoint_id,
            state=state,
            took_ms=round(self._clock.now_ms() - exchange.started_ms, 1),
            taken_after_signal_ms=round(exchange.started_ms - stop.signaled_ms),
            waited_ms=exchange.waited_ms,
            expected_ms=exchange.expected_ms,
            first_event_ms=(
                None
                if exchange.first_event_after_ms is None
                else round(exchange.first_event_after_ms)
            ),
            prompt_tokens=exchange.metadata.prompt_tokens,
            timeout_ms=round(exchange.route.timeout_ms),
        )

    def on_retry(
        self, exchange: Exchange, outcome: SendOutcome, decision: Resend | GiveUp
    ) -> None:
        """Record a failed send and whether the request is sent again."""
        given_up = isinstance(decision, GiveUp)
        name = "give-up" if given_up else "resend"
        self._retries.labels(exchange.service, name).inc()
        log.info(
            "send failed",
            request_id=exchange.metadata.request_id,
            endpoint=exchange.last_endpoint_id,
            outcome=outcome_name(outcome),
            reason=getattr(outcome, "reason", ""),
            decision=decision.reason if isinstance(decision, GiveUp) else "resend",
        )

    def on_outcome(self, exchange: Exchange, outcome: SendOutcome) -> None:
        """Record the final outcome of a request."""
        label = outcome_name(outcome)
        self._requests.labels(exchange.route.name, label).inc()
        took_ms = self._clock.now_ms() - exchange.started_ms
        first_ms = exchange.first_event_after_ms
        if isinstance(outcome, Delivered):
            self._response_latency.record(took_ms)
            if first_ms is not None:
                self._first_event_latency.record(first_ms)
        log.info(
            "request ended",
            request_id=exchange.metadata.request_id,
            route=exchange.route.name,
            service=exchange.service,
            endpoint=exchange.last_endpoint_id,
            priority=exchange.routed.priority,
            config_version=exchange.routed.config_version,
            outcome=label,
            status=getattr(outcome, "status", None),
            reason=getattr(outcome, "reason", None),
            sends=exchange.sends,
            waited_ms=exchange.waited_ms,
            expected_ms=exchange.expected_ms,
            copied_from=exchange.copied_from,
            took_ms=round(took_ms, 1),
            first_event_ms=None if first_ms is None else round(first_ms, 1),
            longest_pause_ms=round(exchange.longest_pause_ms, 1),
            on_time=exchange.is_on_time(),
            prompt_tokens=exchange.metadata.prompt_tokens,
            expected_tokens=exchange.metadata.expected_output_tokens,
            timeout_ms=round(exchange.deadline_ms - exchange.started_ms),
        )
