"""Runs started attempts at the endpoint and relays the responses to the entries."""

from collections.abc import Callable

from gevent import spawn, spawn_later

from wigeonwind.clock import MS_PER_SECOND, Clock
from wigeonwind.decisions.interfaces import (
    AttemptSpec,
    EndpointQueueDecisions,
    PauseAttempt,
    ResumeAttempt,
)
from wigeonwind.links.messages import Chunk, Failed, Finished, Head, Started
from wigeonwind.outcomes import ErrorCode
from wigeonwind.runtime.tracing import Tracer
from wigeonwind.side.attempt_spans import AttemptSpans
from wigeonwind.side.attempt_table import Attempt, AttemptTable
from wigeonwind.side.claim_registry import ClaimRegistry, ResponseRecorder
from wigeonwind.side.endpoint_http import HttpFailure, HttpHead
from wigeonwind.side.engine_client import (
    EngineClient,
    EngineFailure,
    engine_request_body,
    engine_request_id,
)
from wigeonwind.side.plain_client import PlainClient, PlainEnd
from wigeonwind.side.sidecar_metrics import SidecarMetrics
from wigeonwind.side.sse import StreamEnd, TokenBatch

RESUME = "resume"
"""Control call that resumes a paused attempt. The other control calls are pauses, named
after what happens to the KV cache (`keep`, `export` or `drop`)."""

CANCEL_GRACE_MS = 200.0
"""Time for an engine to respond to a cancel before the stream is aborted."""

MAX_REASON_CHARS = 500
"""Longest failure reason that is passed on to the entry."""


class AttemptRunner:
    """Runs attempts, each in a separate greenlet; `on_ended` is called after each."""

    def __init__(
        self,
        clock: Clock,
        table: AttemptTable,
        claims: ClaimRegistry,
        queue: EndpointQueueDecisions,
        client: EngineClient | PlainClient,
        metrics: SidecarMetrics,
        priority_of: Callable[[str], int],
        on_ended: Callable[[Attempt], None],
        tracer: Tracer,
    ) -> None:
        self._clock = clock
        self._table = table
        self._claims = claims
        self._queue = queue
        self._client = client
        self._metrics = metrics
        self._priority_of = priority_of
        self._on_ended = on_ended
        self._tracer = tracer

    def start(self, spec: AttemptSpec) -> None:
        """Run an attempt that the queue has started."""
        attempt = self._table.start(spec.key)
        if attempt.is_booking:
            self._claims.start(attempt.submit.claim_token)
        self._metrics.on_start(attempt)
        spawn(self._run, attempt)

    def cancel(
        self,
        attempt: Attempt,
        reason: str,
        code: ErrorCode = ErrorCode.CANCELLED,
    ) -> None:
        """Stop a started attempt and count its tokens as wasted."""
        if attempt.cancel_reason:
            return
        attempt.cancel_reason = reason
        attempt.cancel_code = code
        if isinstance(self._client, EngineClient) and attempt.is_sent:
            spawn(self._cancel_at_engine, attempt, self._client)
            spawn_later(CANCEL_GRACE_MS / MS_PER_SECOND, self._abort, attempt)
        else:
            self._abort(attempt)

    def _cancel_at_engine(self, attempt: Attempt, client: EngineClient) -> None:
        """Cancel at the engine, then abort the stream.

        The engine's response says how many tokens it has generated. Those that the
        sidecar has not received are counted as wasted here.
        """
        response = client.cancel(engine_request_id(attempt.submit))
        if not isinstance(response, EngineFailure):
            generated = response.tokens - attempt.spec.resume_tokens
            self._metrics.add_wasted_tokens(generated - attempt.tokens, "cancelled")
        self._abort(attempt)

    def _abort(self, attempt: Attempt) -> None:
        if attempt.exchange is not None and not attempt.is_ended:
            attempt.exchange.abort()

    def pause(self, action: PauseAttempt) -> None:
        """Pause the generation of an attempt at the engine."""
        self._enqueue_control_call(action.spec, action.kv)

    def resume(self, action: ResumeAttempt) -> None:
        """Resume the generation of a paused attempt."""
        self._enqueue_control_call(action.spec, RESUME)

    def _run(self, attempt: Attempt) -> None:
        waited_ms = self._clock.now_ms() - attempt.spec.arrived_ms
        spans = AttemptSpans(self._tracer, attempt, waited_ms)
        try:
            if isinstance(self._client, EngineClient):
                self._run_model(attempt, self._client, spans.traceparent)
            else:
                self._run_plain(attempt, self._client, spans.traceparent)
        except Exception:
            # Without a Failed message the entry would wait forever for the outcome.
            self._fail(
                attempt, ErrorCode.ENDPOINT_FAILED, "internal error in the sidecar"
            )
            raise
        finally:
            spans.end()
            self._table.end(attempt.spec.key)
            self._queue.on_done(attempt.spec.key, self._clock.now_ms())
            self._on_ended(attempt)

    def _run_model(
        self, attempt: Attempt, client: EngineClient, traceparent: str
    ) -> None:
        submit = attempt.submit
        body = engine_request_body(submit, self._priority_of(submit.class_name))
        if isinstance(body, EngineFailure):
            self._fail(attempt, ErrorCode.BAD_REQUEST, body.reason)
            return
        stream = client.stream(submit.path, body, traceparent)
        attempt.exchange = stream
        if attempt.cancel_reason:
            self._fail(attempt, attempt.cancel_code, attempt.cancel_reason)
            return
        for item in stream.items(lambda: self._on_sent(attempt)):
            if attempt.cancel_reason:
                self._fail(attempt, attempt.cancel_code, attempt.cancel_reason)
                return
            if isinstance(item, TokenBatch):
                self._send_tokens(attempt, item)
            elif isinstance(item, StreamEnd):
                self._finish(attempt, item)
            else:
                is_refusal = 400 <= item.status < 500 and item.status != 429
                code = ErrorCode.ENDPOINT_FAILED
                if is_refusal:
                    code = ErrorCode.BAD_REQUEST
                attempt.is_sent &= item.sent
                self._fail(attempt, code, item.reason)

    def _run_plain(
        self, attempt: Attempt, client: PlainClient, traceparent: str
    ) -> None:
        call = client.call(attempt.submit, traceparent)
        attempt.exchange = call
        recorder = ResponseRecorder()
        if attempt.cancel_reason:
            self._fail(attempt, attempt.cancel_code, attempt.cancel_reason)
            return
        for item in call.items(lambda: self._on_sent(attempt)):
            if isinstance(item, HttpHead):
                recorder.status, recorder.headers = item.status, item.headers
                self._send(attempt, Head, item.status, item.headers)
            elif isinstance(item, bytes):
                self._send_body(attempt, recorder, item)
            elif isinstance(item, PlainEnd):
                self._complete_claim(attempt, recorder)
                self._finish(attempt, StreamEnd("", 0, 0, 0))
            elif attempt.cancel_reason:
                self._fail(attempt, attempt.cancel_code, attempt.cancel_reason)
            else:
                assert isinstance(item, HttpFailure)
                attempt.is_sent &= item.sent
                self._fail(attempt, ErrorCode.ENDPOINT_FAILED, item.reason)

    def _on_sent(self, attempt: Attempt) -> None:
        attempt.is_sent = True
        attempt.sent_or_ended.set()
        self._send(attempt, Started)

    def _send_tokens(self, attempt: Attempt, batch: TokenBatch) -> None:
        now_ms = self._clock.now_ms()
        if attempt.first_token_ms is None:
            attempt.first_token_ms = now_ms
            self._metrics.on_first_token(attempt)
        self._metrics.tokens += batch.tokens
        self._queue.on_tokens(attempt.spec.key, batch.tokens, now_ms)
        seq = attempt.chunks
        attempt.chunks += 1
        attempt.tokens += batch.tokens
        self._send(attempt, Chunk, seq, batch.text.encode(), batch.tokens)

    def _send_body(
        self, attempt: Attempt, recorder: ResponseRecorder, data: bytes
    ) -> None:
        if attempt.first_token_ms is None:
            attempt.first_token_ms = self._clock.now_ms()
        if attempt.is_booking:
            recorder.add(data)
        seq = attempt.chunks
        attempt.chunks += 1
        self._send(attempt, Chunk, seq, data, 0)
        # A body may be far longer than the send queue of the link.
        attempt.link.wait_writable()

    def _finish(self, attempt: Attempt, end: StreamEnd) -> None:
        attempt.outcome = "finished"
        self._metrics.on_end(attempt, "finished")
        self._send(
            attempt,
            Finished,
            attempt.chunks,
            end.finish_reason,
            end.prompt_tokens,
            end.completion_tokens,
            end.cached_tokens,
        )

    def _fail(self, attempt: Attempt, code: ErrorCode, reason: str) -> None:
        """End an attempt without a complete response; sent chunks remain valid."""
        attempt.outcome = "failed"
        self._metrics.on_end(attempt, "failed")
        if attempt.cancel_reason:
            self._metrics.add_wasted_tokens(attempt.tokens, "cancelled")
        if attempt.is_booking:
            self._fail_claim(attempt)
        text = reason[:MAX_REASON_CHARS]
        self._send(attempt, Failed, attempt.is_sent, code.value, text)

    def _complete_claim(self, attempt: Attempt, recorder: ResponseRecorder) -> None:
        if attempt.is_booking:
            self._claims.end(attempt.submit.claim_token, recorder.response())

    def _fail_claim(self, attempt: Attempt) -> None:
        if attempt.is_sent:
            self._claims.end(attempt.submit.claim_token, None)
        else:
            self._claims.mark_not_run(attempt.submit.claim_token)

    def _send(self, attempt: Attempt, message_type: Callable, *fields: object) -> None:
        request_id, number = attempt.spec.key
        attempt.link.send(message_type(request_id, number, *fields))

    def _enqueue_control_call(self, spec: AttemptSpec, call: str) -> None:
        attempt = self._table.get(spec.key)
        if attempt is None or not isinstance(self._client, EngineClient):
            return
        attempt.pending_control_calls.append(call)
        if len(attempt.pending_control_calls) == 1:
            spawn(self._run_control_calls, attempt, self._client)

    def _run_control_calls(self, attempt: Attempt, client: EngineClient) -> None:
        """Make the control calls of one attempt, in the order of their submission."""
        attempt.sent_or_ended.wait()
        while attempt.pending_control_calls and not attempt.is_ended:
            self._run_control_call(attempt, client, attempt.pending_control_calls[0])
            attempt.pending_control_calls.popleft()

    def _run_control_call(
        self, attempt: Attempt, client: EngineClient, call: str
    ) -> None:
        engine_id = engine_request_id(attempt.submit)
        if call == RESUME:
            response = client.resume(engine_id)
        else:
            response = client.pause(engine_id, call)
        if not isinstance(response, EngineFailure):
            self._metrics.add_wasted_tokens(response.dropped_tokens, "kv_dropped")
            return
        self._metrics.control_failures.inc()
        if call == RESUME and not attempt.is_ended and attempt.exchange is not None:
            # A paused stream that is not resumed never ends. After the abort the entry
            # can resume the request at another endpoint.
            attempt.exchange.abort()
