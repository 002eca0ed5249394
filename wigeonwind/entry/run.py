"""Requests in progress: what each interface does around the dispatcher."""

from collections.abc import Mapping

from wigeonwind.clock import Clock
from wigeonwind.entry.admission import Admission
from wigeonwind.entry.answer import AnswerEnd, AnswerParts, CallerRequest
from wigeonwind.entry.dispatch import Dispatcher
from wigeonwind.entry.http_call import CallerWatch, HttpCall
from wigeonwind.entry.metrics_sink import MetricsSink
from wigeonwind.entry.pending import Mailbox
from wigeonwind.entry.recent_classes import RecentClasses, is_attained
from wigeonwind.entry.request_run import Event, Events
from wigeonwind.outcomes import Failure
from wigeonwind.runtime.tracing import Span, Tracer


class Running:
    """One admitted request; `close` must be called whatever happens."""

    def __init__(
        self,
        runner: "Runner",
        request: CallerRequest,
        watch: CallerWatch | None,
        span: Span,
    ) -> None:
        self._runner = runner
        self._request = request
        self._watch = watch
        self._span = span
        self._begun_ms = runner.clock.now_ms()
        self._first_ms: float | None = None
        self._tokens = 0
        self._outcome = "cancelled"
        self._labels = {
            "service": request.service.name,
            "class": request.request_class.name,
        }
        self.mailbox = Mailbox()
        self._source = runner.dispatcher.answer(request, self.mailbox)
        self.events = self._observed()
        if watch is not None:
            watch.start(self.mailbox.set_caller_gone)

    def close(self) -> None:
        """End the request; an attempt in flight is cancelled."""
        self.events.close()
        self._source.close()
        self.mailbox.close()
        if self._watch is not None:
            self._watch.stop()
        self._runner.admission.end(self._request)
        self._span.end({"outcome": self._outcome})
        metrics = self._runner.metrics
        metrics.count("entry_requests", {**self._labels, "outcome": self._outcome})
        recent, name = self._runner.recent, self._labels["class"]
        recent.count(name, self._outcome)
        if self._outcome == "whole":
            whole_ms = self._runner.clock.now_ms() - self._begun_ms
            metrics.observe_ms("entry_whole", self._labels, whole_ms)
            first_ms = whole_ms if self._first_ms is None else self._first_ms
            target = self._request.request_class.target
            if is_attained(target, first_ms, whole_ms, self._tokens):
                recent.count(name, "attained")

    def set_outcome(self, outcome: str) -> None:
        """Record how a request ended whose events were not taken from `events`."""
        self._outcome = outcome

    def _observed(self) -> Events:
        for event in self._source:
            self._observe(event)
            yield event

    def _observe(self, event: Event) -> None:
        if isinstance(event, AnswerParts):
            if self._first_ms is None:
                wait_ms = self._first_ms = self._runner.clock.now_ms() - self._begun_ms
                metrics = self._runner.metrics
                metrics.observe_ms("entry_first_part", self._labels, wait_ms)
        elif isinstance(event, AnswerEnd):
            self._outcome = "whole"
            self._tokens = event.completion_tokens
        elif isinstance(event, Failure):
            self._outcome = event.outcome.value


class Runner:
    """Starts admitted requests."""

    def __init__(
        self,
        clock: Clock,
        admission: Admission,
        dispatcher: Dispatcher,
        metrics: MetricsSink,
        tracer: Tracer,
    ) -> None:
        self.clock = clock
        self.admission = admission
        self.dispatcher = dispatcher
        self.metrics = metrics
        self._tracer = tracer
        self.recent = RecentClasses(clock)

    def start_span(self, name: str, call: HttpCall) -> Span:
        """Start the entry's span of a request."""
        attributes: Mapping[str, str | int | float] = {
            "request_id": call.request_id,
            "http.method": call.method,
            "http.path": call.path,
        }
        parent = call.header_by_name.get("traceparent", "")
        return self._tracer.start_span(name, parent, attributes)

    def start(self, request: CallerRequest, call: HttpCall, span: Span) -> Running:
        """Start an admitted request."""
        return Running(self, request, call.watch, span)

    def count_reply(self, error: Failure) -> None:
        """Count a request that was refused before it was admitted."""
        labels = {"code": error.code.value}
        self.metrics.count("entry_refused", labels)
