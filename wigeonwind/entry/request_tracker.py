"""Tracking of admitted requests: spans, metrics, disconnects and limits."""

from collections.abc import Mapping

from wigeonwind.clock import Clock
from wigeonwind.entry.admission import Admission
from wigeonwind.entry.dispatch import Dispatcher
from wigeonwind.entry.http_call import DisconnectWatcher, HttpCall
from wigeonwind.entry.metrics_sink import MetricsSink
from wigeonwind.entry.pending_attempts import Mailbox
from wigeonwind.entry.recent_outcomes import RecentOutcomes, meets_target
from wigeonwind.entry.request_durations import RequestDurations, RequestKind
from wigeonwind.entry.request_execution import RequestEvent, RequestEvents
from wigeonwind.entry.request_response import AdmittedRequest, ResponseData, ResponseEnd
from wigeonwind.outcomes import Failure
from wigeonwind.runtime.tracing import Span, Tracer


class ActiveRequest:
    """One admitted request in progress; `close` must always be called."""

    def __init__(
        self,
        tracker: "RequestTracker",
        request: AdmittedRequest,
        disconnect_watcher: DisconnectWatcher | None,
        span: Span,
    ) -> None:
        self._tracker = tracker
        self._request = request
        self._disconnect_watcher = disconnect_watcher
        self._span = span
        self._started_ms = tracker.clock.now_ms()
        self._first_data_wait_ms: float | None = None
        self._tokens = 0
        self._outcome = "cancelled"
        self._labels = {
            "service": request.service.name,
            "class": request.request_class.name,
        }
        self.mailbox = Mailbox()
        self._execution_events = tracker.dispatcher.response_events(
            request, self.mailbox
        )
        self.events = self._observed_events()
        tracker.active_requests.add(self)
        kind = RequestKind(
            request.service.name, request.request_class.name, request.stream
        )
        self._duration_number = tracker.durations.start(kind)
        if disconnect_watcher is not None:
            disconnect_watcher.start(self.mailbox.set_caller_disconnected)

    def close(self) -> None:
        """End the request, cancel an attempt in flight and record the outcome."""
        self._tracker.active_requests.discard(self)
        self._tracker.durations.end(self._duration_number, self._outcome == "whole")
        self.events.close()
        self._execution_events.close()
        self.mailbox.close()
        if self._disconnect_watcher is not None:
            self._disconnect_watcher.stop()
        self._tracker.admission.end(self._request)
        self._span.end({"outcome": self._outcome})
        metrics = self._tracker.metrics
        metrics.count("entry_requests", {**self._labels, "outcome": self._outcome})
        recent_outcomes, name = self._tracker.recent_outcomes, self._labels["class"]
        recent_outcomes.count(name, self._outcome)
        if self._outcome == "whole":
            total_ms = self._tracker.clock.now_ms() - self._started_ms
            metrics.observe_ms("entry_whole", self._labels, total_ms)
            first_ms = (
                total_ms
                if self._first_data_wait_ms is None
                else self._first_data_wait_ms
            )
            target = self._request.request_class.target
            if meets_target(target, first_ms, total_ms, self._tokens):
                recent_outcomes.count(name, "attained")

    def set_outcome(self, outcome: str) -> None:
        """Set the outcome of a request that is not executed through `events`."""
        self._outcome = outcome

    def _observed_events(self) -> RequestEvents:
        for event in self._execution_events:
            self._record_event(event)
            yield event

    def _record_event(self, event: RequestEvent) -> None:
        if isinstance(event, ResponseData):
            if self._first_data_wait_ms is None:
                wait_ms = self._first_data_wait_ms = (
                    self._tracker.clock.now_ms() - self._started_ms
                )
                metrics = self._tracker.metrics
                metrics.observe_ms("entry_first_part", self._labels, wait_ms)
        elif isinstance(event, ResponseEnd):
            self._outcome = "whole"
            self._tokens = event.completion_tokens
        elif isinstance(event, Failure):
            self._outcome = event.outcome.value


class RequestTracker:
    """Starts admitted requests and records their metrics."""

    def __init__(
        self,
        clock: Clock,
        admission: Admission,
        dispatcher: Dispatcher,
        metrics: MetricsSink,
        tracer: Tracer,
        durations: RequestDurations,
    ) -> None:
        self.clock = clock
        self.durations = durations
        self.admission = admission
        self.dispatcher = dispatcher
        self.metrics = metrics
        self._tracer = tracer
        self.recent_outcomes = RecentOutcomes(clock)
        self.active_requests: set[ActiveRequest] = set()

    def start_span(self, name: str, call: HttpCall) -> Span:
        """Start the entry's trace span of a request."""
        attributes: Mapping[str, str | int | float] = {
            "request_id": call.request_id,
            "http.method": call.method,
            "http.path": call.path,
        }
        parent = call.header_by_name.get("traceparent", "")
        return self._tracer.start_span(name, parent, attributes)

    def start(
        self, request: AdmittedRequest, call: HttpCall, span: Span
    ) -> ActiveRequest:
        """Start an admitted request."""
        return ActiveRequest(self, request, call.disconnect_watcher, span)

    def end_all(self) -> int:
        """Ask all active requests for their final response; return their number."""
        for active_request in tuple(self.active_requests):
            active_request.mailbox.stop()
        return len(self.active_requests)

    def count_refusal(self, error: Failure) -> None:
        """Count a request that was refused before admission."""
        labels = {"code": error.code.value}
        self.metrics.count("entry_refused", labels)
