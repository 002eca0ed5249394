"""The engine test double: the engine model in real time, served over HTTP."""

from collections.abc import Generator
from dataclasses import asdict

from gevent import Greenlet, killall, sleep, spawn
from gevent.event import Event

from wigeonwind.addresses import SocketAddress
from wigeonwind.clock import MS_PER_SECOND, Clock
from wigeonwind.outcomes import Invalid
from wigeonwind.standins.completion import (
    CompletionRequest,
    ResponseWriter,
    read_completion,
)
from wigeonwind.standins.engine_control import EngineControl
from wigeonwind.standins.engine_log import ExecutionLog
from wigeonwind.standins.engine_model import EngineModel
from wigeonwind.standins.engine_types import (
    EngineConfig,
    EngineEvent,
    RefusalReason,
    RequestDone,
    RequestLost,
    RequestRefused,
    TokensProduced,
)
from wigeonwind.standins.faults import (
    Crash,
    EventGap,
    Fault,
    Freeze,
    IgnoreFence,
    Lag,
    Straggle,
)
from wigeonwind.standins.http_server import (
    CLIENT_CHECK_INTERVAL_S,
    HttpRequest,
    HttpResponse,
    TestDoubleServer,
    error_response,
    json_response,
    shutdown_socket,
)

STATUS_BY_REFUSAL = {
    RefusalReason.DUPLICATE: 409,
    RefusalReason.TOO_LARGE: 400,
    RefusalReason.LOADING: 503,
    RefusalReason.CRASHED: 503,
}


class PendingAnswer:
    """Progress of one completion, read by the greenlet that sends the response."""

    def __init__(self, completion: CompletionRequest, request: HttpRequest) -> None:
        self.completion = completion
        self.request = request
        self.client_disconnected = False
        # Both counts include the tokens that were delivered before this request.
        self.sent_tokens = completion.resume_tokens
        self.produced_tokens = completion.resume_tokens
        self.cached_tokens = 0
        self.end_reason = ""
        """Finish reason, or why the request was lost; empty while it is in progress."""
        self.is_lost = False
        self.changed = Event()

    def finish(self, reason: str, is_lost: bool = False) -> None:
        """Record the end of the request and wake the greenlet that responds."""
        self.end_reason = reason
        self.is_lost = is_lost
        self.changed.set()


class EngineServer(TestDoubleServer):
    """Serves the engine interface (design 6.2).

    The engine's clock runs `speed` times as fast as `clock`.
    """

    kind = "engine"
    supported_faults = TestDoubleServer.supported_faults | {
        "straggle",
        "lag",
        "event_gap",
        "ignore_fence",
    }

    def __init__(
        self,
        address: SocketAddress,
        config: EngineConfig | None = None,
        speed: float = 1.0,
        weight_store: SocketAddress | None = None,
        clock: Clock | None = None,
    ) -> None:
        super().__init__(address, clock)
        self.config = config or EngineConfig()
        self.model = EngineModel(self.config)
        self._speed = speed
        self._start_ms = self.clock.now_ms()
        self._answer_by_id: dict[str, PendingAnswer] = {}
        self._wake_event = Event()
        self._greenlets: list[Greenlet] = []
        self._crash_handled = False
        self.execution_log = ExecutionLog()
        self._control = EngineControl(self, weight_store)
        self.routes.update(self._control.routes())
        self.routes[("POST", "/v1/chat/completions")] = self._chat_completion
        self.routes[("POST", "/v1/completions")] = self._text_completion
        self.routes[("GET", "/executions")] = self._executions

    def start(self) -> SocketAddress:
        """Start the engine and the HTTP server; return the bound address."""
        self._greenlets = [spawn(self._run_engine), spawn(self._detect_disconnects)]
        return super().start()

    def stop(self) -> None:
        """Stop the engine and the HTTP server; responses in flight are cut off."""
        super().stop()
        killall(self._greenlets)

    def now_ms(self) -> float:
        """Return the engine's time in milliseconds since its creation."""
        return (self.clock.now_ms() - self._start_ms) * self._speed

    def wake(self) -> None:
        """Make the engine process a state change now."""
        self._wake_event.set()

    def on_cancelled(self, request_id: str) -> None:
        """End the response to a request that was cancelled through the control API."""
        answer = self._answer_by_id.get(request_id)
        if answer:
            answer.finish("cancelled")

    def is_crashed(self) -> bool:
        """Return whether the engine has crashed."""
        return self.model.crashed

    def on_fault(self, fault: Fault) -> None:
        """Apply a fault that was just switched on to the engine model."""
        now_ms = self.now_ms()
        if isinstance(fault, Straggle):
            self.model.set_straggle(fault.factor, now_ms)
        if isinstance(fault, Crash):
            self.model.crash(now_ms, fault.after_tokens)
        if isinstance(fault, Freeze):
            self.model.freeze(now_ms)
        if isinstance(fault, Lag):
            self.model.load_history.lag_ms = fault.ms
            self.model.event_lag_ms = fault.ms
        if isinstance(fault, EventGap):
            self.model.set_event_gap(fault.share)
        if isinstance(fault, IgnoreFence):
            self.model.control.obeys_fence = False
        self.wake()

    def on_faults_cleared(self) -> None:
        """Restore normal operation; a crashed engine restarts without requests."""
        now_ms = self.now_ms()
        model = self.model
        model.restart(now_ms)
        model.unfreeze(now_ms)
        model.set_straggle(1.0, now_ms)
        model.set_event_gap(self.config.event_gap)
        model.load_history.lag_ms = self.config.report_lag_ms
        model.event_lag_ms = self.config.event_lag_ms
        model.control.obeys_fence = self.config.obeys_fence
        self._crash_handled = False
        self.wake()

    def _run_engine(self) -> None:
        while True:
            self._wake_event.clear()
            now_ms = self.now_ms()
            for event in self.model.advance(now_ms):
                self._handle_event(event)
            if self.model.crashed and not self._crash_handled:
                self._crash_handled = True
                self.begin_crash(self.faults.find(Crash) or Crash())
            next_ms = self.model.next_token_ms()
            if next_ms is None:
                self._wake_event.wait()
            else:
                wait_ms = max(0.0, next_ms - now_ms) / self._speed
                self._wake_event.wait(wait_ms / MS_PER_SECOND)

    def _detect_disconnects(self) -> None:
        """Poll for closed connections; one loop is cheaper than a timer per wait."""
        while True:
            sleep(CLIENT_CHECK_INTERVAL_S)
            for answer in list(self._answer_by_id.values()):
                if answer.request.client_disconnected():
                    answer.client_disconnected = True
                    answer.changed.set()

    def _handle_event(self, event: EngineEvent) -> None:
        answer = self._answer_by_id.get(event.request_id)
        if answer is None:
            return
        if isinstance(event, TokensProduced):
            answer.produced_tokens = event.index + event.count
            answer.changed.set()
        elif isinstance(event, RequestDone):
            answer.cached_tokens = event.cached_tokens
            answer.finish("length" if answer.completion.is_truncated else "stop")
        elif isinstance(event, RequestLost):
            answer.finish(event.reason, is_lost=True)

    def _executions(self, request: HttpRequest) -> HttpResponse:
        log = self.execution_log
        kinds = {
            "begun": log.started,
            "paused": log.paused,
            "resumed": log.resumed,
        }
        return json_response(
            {
                kind: [asdict(record) for record in records]
                for kind, records in kinds.items()
            }
        )

    def _chat_completion(self, request: HttpRequest) -> HttpResponse:
        return self._handle_completion(request, chat=True)

    def _text_completion(self, request: HttpRequest) -> HttpResponse:
        return self._handle_completion(request, chat=False)

    def _handle_completion(self, request: HttpRequest, chat: bool) -> HttpResponse:
        result = read_completion(request.json(), chat)
        if isinstance(result, Invalid):
            return error_response(400, "bad_request", str(result.problems[0]))
        completion = result.value
        control = self.model.control
        served = {"", control.model, *control.adapter_versions}
        if completion.model not in served:
            message = f"model {completion.model!r} is not loaded"
            return error_response(404, "unknown_model", message)
        outcome = self.model.submit(completion.engine_request(), self.now_ms())
        self.wake()
        if isinstance(outcome, RequestRefused):
            status = STATUS_BY_REFUSAL[outcome.reason]
            message = f"request {completion.request_id} was refused and not executed"
            return error_response(status, outcome.reason.value, message)
        self.execution_log.record_started(completion.request_id)
        answer = PendingAnswer(completion, request)
        self._answer_by_id[completion.request_id] = answer
        writer = ResponseWriter(completion, completion.model or control.model)
        if completion.stream:
            stream = self._stream_response(answer, writer)
            next(stream)
            return HttpResponse(content_type="text/event-stream", stream=stream)
        return self._respond_complete(answer, writer)

    def _stream_response(
        self, answer: PendingAnswer, writer: ResponseWriter
    ) -> Generator[bytes, None, None]:
        try:
            yield b""
            while _wait_for_progress(answer):
                has_ended = bool(answer.end_reason)
                first, answer.sent_tokens = answer.sent_tokens, answer.produced_tokens
                data = writer.token_events(first, answer.sent_tokens)
                if has_ended and not answer.is_lost:
                    generated_tokens = (
                        answer.sent_tokens - answer.completion.resume_tokens
                    )
                    data += writer.final_events(
                        answer.end_reason, generated_tokens, answer.cached_tokens
                    )
                elif has_ended and not self.model.crashed:
                    data += writer.error_event("request_lost", answer.end_reason)
                if data:
                    yield data
                if has_ended:
                    break
            if answer.is_lost and self.model.crashed:
                shutdown_socket(answer.request.connection)
        finally:
            self._release(answer)

    def _respond_complete(
        self, answer: PendingAnswer, writer: ResponseWriter
    ) -> HttpResponse:
        try:
            while not answer.end_reason:
                if not _wait_for_progress(answer):
                    self.drop_connection()
            if answer.is_lost and self.model.crashed:
                self.drop_connection()
        finally:
            self._release(answer)
        if answer.is_lost:
            return error_response(503, "request_lost", answer.end_reason)
        first = answer.completion.resume_tokens
        body = writer.full_body(
            first, answer.produced_tokens, answer.end_reason, answer.cached_tokens
        )
        return json_response(body)

    def _release(self, answer: PendingAnswer) -> None:
        """Forget a completion; cancel its request if that has not ended.

        A request that has not ended is one whose client disconnected.
        """
        request_id = answer.completion.request_id
        if self._answer_by_id.get(request_id) is answer:
            del self._answer_by_id[request_id]
            if not answer.end_reason:
                self.model.cancel(request_id, self.now_ms())
                self.wake()

    def load_report(self) -> dict[str, object]:
        """Return the load report and `now_ms`, the engine's time, to tell its age."""
        now_ms = self.now_ms()
        return {**asdict(self.model.load_report(now_ms)), "now_ms": now_ms}


def _wait_for_progress(answer: PendingAnswer) -> bool:
    """Wait for tokens or the end of the request; return False after a disconnect."""
    answer.changed.wait()
    answer.changed.clear()
    return not answer.client_disconnected
