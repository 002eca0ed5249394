"""The engine test double: the engine model in real time behind its HTTP interface."""

from collections.abc import Generator
from dataclasses import asdict

from gevent import Greenlet, killall, sleep, spawn
from gevent.event import Event

from wigeonwind.addresses import SocketAddress
from wigeonwind.clock import MS_PER_SECOND, Clock
from wigeonwind.outcomes import Invalid
from wigeonwind.standins.completion import AnswerWriter, Completion, read_completion
from wigeonwind.standins.engine_control import EngineControl
from wigeonwind.standins.engine_log import EngineLog
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
    Call,
    Reply,
    StandinServer,
    error_reply,
    json_reply,
    shut_down,
)

STATUS_BY_REFUSAL = {
    RefusalReason.DUPLICATE: 409,
    RefusalReason.TOO_LARGE: 400,
    RefusalReason.LOADING: 503,
    RefusalReason.CRASHED: 503,
}


class Answer:
    """The progress of one answer, as seen by the greenlet that sends it."""

    def __init__(self, completion: Completion, call: Call) -> None:
        self.completion = completion
        self.call = call
        self.client_is_gone = False
        self.sent = completion.resume_tokens
        self.made = completion.resume_tokens
        self.cached = 0
        self.end = ""
        """Finish reason, or why the answer was lost; empty while it goes on."""
        self.lost = False
        self.changed = Event()

    def finish(self, reason: str, lost: bool = False) -> None:
        """Record the end of the answer."""
        self.end = reason
        self.lost = lost
        self.changed.set()


class EngineServer(StandinServer):
    """Serves design 6.2. `speed` engine milliseconds pass in one millisecond."""

    kind = "engine"
    supported_faults = StandinServer.supported_faults | {
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
        self._origin_ms = self.clock.now_ms()
        self._answer_by_id: dict[str, Answer] = {}
        self._wake = Event()
        self._greenlets: list[Greenlet] = []
        self._crash_handled = False
        self.log = EngineLog()
        self._control = EngineControl(self, weight_store)
        self.routes.update(self._control.routes())
        self.routes[("POST", "/v1/chat/completions")] = self._chat
        self.routes[("POST", "/v1/completions")] = self._completion
        self.routes[("GET", "/executions")] = self._executions

    def start(self) -> SocketAddress:
        """Start the engine and the HTTP server."""
        self._greenlets = [spawn(self._run), spawn(self._watch_clients)]
        return super().start()

    def stop(self) -> None:
        """Stop both; answers in progress are cut off."""
        super().stop()
        killall(self._greenlets)

    def now_ms(self) -> float:
        """Return the engine's time in milliseconds since it was made."""
        return (self.clock.now_ms() - self._origin_ms) * self._speed

    def wake(self) -> None:
        """Let the engine notice a change."""
        self._wake.set()

    def cancelled(self, request_id: str) -> None:
        """End the stream of a request that was cancelled by a control call."""
        answer = self._answer_by_id.get(request_id)
        if answer:
            answer.finish("cancelled")

    def is_down(self) -> bool:
        """Return whether the engine has crashed."""
        return self.model.crashed

    def on_fault(self, fault: Fault) -> None:
        """Pass the fault on to the model."""
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
        """Return to normal; a crashed engine starts again, empty."""
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

    def _run(self) -> None:
        while True:
            self._wake.clear()
            now_ms = self.now_ms()
            for event in self.model.advance(now_ms):
                self._deliver(event)
            if self.model.crashed and not self._crash_handled:
                self._crash_handled = True
                self.crash_now(self.faults.find(Crash) or Crash())
            next_ms = self.model.next_token_ms()
            if next_ms is None:
                self._wake.wait()
            else:
                wait_ms = max(0.0, next_ms - now_ms) / self._speed
                self._wake.wait(wait_ms / MS_PER_SECOND)

    def _watch_clients(self) -> None:
        """Notice clients that leave; one loop is cheaper than a timer per wait."""
        while True:
            sleep(CLIENT_CHECK_INTERVAL_S)
            for answer in list(self._answer_by_id.values()):
                if answer.call.client_is_gone():
                    answer.client_is_gone = True
                    answer.changed.set()

    def _deliver(self, event: EngineEvent) -> None:
        answer = self._answer_by_id.get(event.request_id)
        if answer is None:
            return
        if isinstance(event, TokensProduced):
            answer.made = event.index + event.count
            answer.changed.set()
        elif isinstance(event, RequestDone):
            answer.cached = event.cached_tokens
            answer.finish("length" if answer.completion.is_cut else "stop")
        elif isinstance(event, RequestLost):
            answer.finish(event.reason, lost=True)

    def _executions(self, call: Call) -> Reply:
        log = self.log
        kinds = {"begun": log.begun, "paused": log.paused, "resumed": log.resumed}
        return json_reply(
            {kind: [asdict(row) for row in rows] for kind, rows in kinds.items()}
        )

    def _chat(self, call: Call) -> Reply:
        return self._complete(call, chat=True)

    def _completion(self, call: Call) -> Reply:
        return self._complete(call, chat=False)

    def _complete(self, call: Call, chat: bool) -> Reply:
        result = read_completion(call.json(), chat)
        if isinstance(result, Invalid):
            return error_reply(400, "bad_request", str(result.problems[0]))
        completion = result.value
        orders = self.model.control
        served = {"", orders.model, *orders.adapter_versions}
        if completion.model not in served:
            message = f"model {completion.model!r} is not loaded"
            return error_reply(404, "unknown_model", message)
        outcome = self.model.submit(completion.engine_request(), self.now_ms())
        self.wake()
        if isinstance(outcome, RequestRefused):
            status = STATUS_BY_REFUSAL[outcome.reason]
            message = f"request {completion.request_id} not run"
            return error_reply(status, outcome.reason.value, message)
        self.log.on_begun(completion.request_id)
        answer = Answer(completion, call)
        self._answer_by_id[completion.request_id] = answer
        writer = AnswerWriter(completion, completion.model or orders.model)
        if completion.stream:
            stream = self._stream(answer, writer)
            next(stream)
            return Reply(content_type="text/event-stream", stream=stream)
        return self._whole(answer, writer)

    def _stream(
        self, answer: Answer, writer: AnswerWriter
    ) -> Generator[bytes, None, None]:
        try:
            yield b""
            while _wait_for_news(answer):
                end = bool(answer.end)
                first, answer.sent = answer.sent, answer.made
                data = writer.events(first, answer.sent)
                if end and not answer.lost:
                    made = answer.sent - answer.completion.resume_tokens
                    data += writer.last_events(answer.end, made, answer.cached)
                elif end and not self.model.crashed:
                    data += writer.error_event("request_lost", answer.end)
                if data:
                    yield data
                if end:
                    break
            if answer.lost and self.model.crashed:
                shut_down(answer.call.connection)
        finally:
            self._forget(answer)

    def _whole(self, answer: Answer, writer: AnswerWriter) -> Reply:
        try:
            while not answer.end:
                if not _wait_for_news(answer):
                    self.lose_connection()
            if answer.lost and self.model.crashed:
                self.lose_connection()
        finally:
            self._forget(answer)
        if answer.lost:
            return error_reply(503, "request_lost", answer.end)
        first = answer.completion.resume_tokens
        body = writer.whole(first, answer.made, answer.end, answer.cached)
        return json_reply(body)

    def _forget(self, answer: Answer) -> None:
        """Cancel the request if it still runs, as its client has gone."""
        request_id = answer.completion.request_id
        if self._answer_by_id.get(request_id) is answer:
            del self._answer_by_id[request_id]
            if not answer.end:
                self.model.cancel(request_id, self.now_ms())
                self.wake()

    def load(self) -> dict[str, object]:
        """Return the lagging load report; `now_ms` tells its age."""
        now_ms = self.now_ms()
        return {**asdict(self.model.load_report(now_ms)), "now_ms": now_ms}


def _wait_for_news(answer: Answer) -> bool:
    """Wait for tokens or the end; return False if the client has gone."""
    answer.changed.wait()
    answer.changed.clear()
    return not answer.client_is_gone
