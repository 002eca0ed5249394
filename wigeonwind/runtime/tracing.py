"""Tracing: an OpenTelemetry span for each hop of a request."""

import re
import time
from collections.abc import Mapping, Sequence
from typing import Protocol

from opentelemetry import trace
from opentelemetry.exporter.otlp.proto.http.trace_exporter import OTLPSpanExporter
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import ReadableSpan, TracerProvider
from opentelemetry.sdk.trace.export import (
    BatchSpanProcessor,
    SpanExporter,
    SpanExportResult,
)
from opentelemetry.sdk.trace.sampling import ParentBased, TraceIdRatioBased
from opentelemetry.trace.propagation.tracecontext import (
    TraceContextTextMapPropagator,
)

from wigeonwind.settings import TraceSettings

PROPAGATOR = TraceContextTextMapPropagator()
TRACEPARENT = "traceparent"
TRACEPARENT_PATTERN = re.compile(r"[0-9a-f]{2}-[0-9a-f]{32}-[0-9a-f]{16}-[0-9a-f]{2}")
NS_PER_MS = 1_000_000


class Span(Protocol):
    """One hop of a request."""

    @property
    def traceparent(self) -> str:
        """Return the `traceparent` header for the next hop."""
        ...

    def end(self, attributes: Mapping[str, str | int | float]) -> None:
        """End the span with the attributes known at its end."""
        ...


class Tracer(Protocol):
    """Starts spans."""

    def start_span(
        self,
        name: str,
        traceparent: str,
        attributes: Mapping[str, str | int | float],
        age_ms: float = 0.0,
    ) -> Span:
        """Start a child span of `traceparent`, or a new trace if that is empty.

        The span starts `age_ms` before now.
        """
        ...


class JsonLinesExporter(SpanExporter):
    """Appends each span to a file as one line of JSON."""

    def __init__(self, path: str) -> None:
        self._file = open(path, "a", encoding="utf-8")  # noqa: SIM115

    def export(self, spans: Sequence[ReadableSpan]) -> SpanExportResult:
        """Write the spans; if the disk is full, spans are lost but no requests fail."""
        try:
            for span in spans:
                self._file.write(span.to_json(indent=None) + "\n")
            self._file.flush()
        except OSError:
            return SpanExportResult.FAILURE
        return SpanExportResult.SUCCESS

    def shutdown(self) -> None:
        """Close the file."""
        self._file.close()


class PropagatedSpan:
    """A span that is not recorded and forwards the caller's trace context."""

    def __init__(self, traceparent: str) -> None:
        # The header goes from callers to endpoints, so other content must not pass.
        is_valid = TRACEPARENT_PATTERN.fullmatch(traceparent) is not None
        self.traceparent = traceparent if is_valid else ""

    def end(self, attributes: Mapping[str, str | int | float]) -> None:
        """Record nothing."""


class PropagatingTracer:
    """Records no spans; used if the settings name no exporter."""

    def start_span(
        self,
        name: str,
        traceparent: str,
        attributes: Mapping[str, str | int | float],
        age_ms: float = 0.0,
    ) -> PropagatedSpan:
        """Return a span that forwards `traceparent`."""
        return PropagatedSpan(traceparent)

    def shutdown(self) -> None:
        """Do nothing."""


class RecordedSpan:
    """A span of the OpenTelemetry SDK."""

    def __init__(self, span: trace.Span) -> None:
        self._span = span
        carrier: dict[str, str] = {}
        PROPAGATOR.inject(carrier, trace.set_span_in_context(span))
        self.traceparent = carrier.get(TRACEPARENT, "")

    def end(self, attributes: Mapping[str, str | int | float]) -> None:
        """End the span."""
        self._span.set_attributes(dict(attributes))
        self._span.end()


class RecordingTracer:
    """Starts spans of the OpenTelemetry SDK."""

    def __init__(self, provider: TracerProvider) -> None:
        self._provider = provider
        self._tracer = provider.get_tracer("wigeonwind")

    def start_span(
        self,
        name: str,
        traceparent: str,
        attributes: Mapping[str, str | int | float],
        age_ms: float = 0.0,
    ) -> RecordedSpan:
        """Start a span; a malformed `traceparent` starts a new trace."""
        carrier = {TRACEPARENT: traceparent} if traceparent else {}
        context = PROPAGATOR.extract(carrier)
        started_ns = time.time_ns() - int(age_ms * NS_PER_MS)
        span = self._tracer.start_span(
            name, context, attributes=dict(attributes), start_time=started_ns
        )
        return RecordedSpan(span)

    def shutdown(self) -> None:
        """Export the remaining spans."""
        self._provider.shutdown()


def make_tracer(
    settings: TraceSettings, node_id: str, role: str
) -> PropagatingTracer | RecordingTracer:
    """Return a tracer with the exporters that the settings name."""
    if not (settings.file or settings.otlp):
        return PropagatingTracer()
    resource = Resource({"service.name": f"wigeonwind-{role}", "node.id": node_id})
    sampler = ParentBased(TraceIdRatioBased(settings.sample))
    provider = TracerProvider(
        sampler=sampler, resource=resource, shutdown_on_exit=False
    )
    if settings.file:
        exporter = JsonLinesExporter(settings.file)
        provider.add_span_processor(BatchSpanProcessor(exporter))
    if settings.otlp:
        url = f"http://{settings.otlp}/v1/traces"
        otlp = OTLPSpanExporter(endpoint=url)
        provider.add_span_processor(BatchSpanProcessor(otlp))
    return RecordingTracer(provider)
