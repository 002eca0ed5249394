"""Trace spans of an attempt at its sidecar."""

from wigeonwind.runtime.tracing import Tracer
from wigeonwind.side.attempt_table import Attempt


class AttemptSpans:
    """The span `sidecar`, from arrival to end of an attempt, and its child `endpoint`.

    An attempt that never starts has no spans here; the entry's span records its
    outcome.
    """

    def __init__(self, tracer: Tracer, attempt: Attempt, waited_ms: float) -> None:
        submit = attempt.submit
        attributes: dict[str, str | int | float] = {
            "request_id": submit.request_id,
            "attempt": submit.attempt,
            "class": submit.class_name,
            "queue_ms": waited_ms,
        }
        self._attempt = attempt
        self._sidecar = tracer.start_span(
            "sidecar", submit.traceparent, attributes, waited_ms
        )
        path = submit.path.partition("?")[0]
        self._endpoint = tracer.start_span(
            "endpoint", self._sidecar.traceparent, {"http.path": path}
        )

    @property
    def traceparent(self) -> str:
        """Return the trace context that is passed to the endpoint."""
        return self._endpoint.traceparent

    def end(self) -> None:
        """End both spans."""
        attempt = self._attempt
        self._endpoint.end({"sent": int(attempt.is_sent)})
        self._sidecar.end({"outcome": attempt.outcome, "tokens": attempt.tokens})
