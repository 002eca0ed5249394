"""The OpenAI interface towards callers: chat, completions and models."""

import time
from collections.abc import Generator
from dataclasses import dataclass

from wigeonwind.entry.admission import Admission, Known, Work
from wigeonwind.entry.answer import AnswerEnd, AnswerHead, AnswerParts, CallerRequest
from wigeonwind.entry.http_call import Body, HttpCall
from wigeonwind.entry.openai_format import (
    AnswerFormat,
    ChatFormat,
    CompletionFormat,
    error_event,
)
from wigeonwind.entry.openai_request import ModelRequest, read_model_request
from wigeonwind.entry.replies import Headers, failure_reply, json_reply, refusal
from wigeonwind.entry.run import Runner, Running
from wigeonwind.outcomes import ErrorCode, Failure, Ok

CHAT_PATH = "/v1/chat/completions"
COMPLETIONS_PATH = "/v1/completions"
MODELS_PATH = "/v1/models"

FORMAT_BY_PATH: dict[str, type[AnswerFormat]] = {
    CHAT_PATH: ChatFormat,
    COMPLETIONS_PATH: CompletionFormat,
}


@dataclass(frozen=True)
class Accepted:
    """A request that passed all checks."""

    request: CallerRequest
    model_request: ModelRequest


class OpenAiApi:
    """Answers the paths below `/v1/`."""

    def __init__(self, admission: Admission, runner: Runner) -> None:
        self._admission = admission
        self._runner = runner

    def answer(self, call: HttpCall) -> Body:
        """Answer a request whose path begins with `/v1/`."""
        if call.path in FORMAT_BY_PATH:
            if call.method != "POST":
                return self._refuse(call, _wrong_method("POST"))
            return self._generate(call)
        if call.path == MODELS_PATH or call.path.startswith(MODELS_PATH + "/"):
            if call.method != "GET":
                return self._refuse(call, _wrong_method("GET"))
            return self._models(call)
        message = "there is nothing at this path"
        error = refusal(ErrorCode.BAD_REQUEST, message, http_status=404)
        return self._refuse(call, error)

    def _refuse(self, call: HttpCall, error: Failure) -> Body:
        self._runner.count_reply(error)
        return call.reply(failure_reply(error, call.request_id))

    def _models(self, call: HttpCall) -> Body:
        known = self._admission.identify(call)
        if isinstance(known, Failure):
            return self._refuse(call, known)
        models = known.value.directory.service_by_model
        wanted = call.path[len(MODELS_PATH) + 1 :]
        if wanted and wanted not in models:
            return self._refuse(call, _unknown_model(wanted))
        rows = [_model_row(name) for name in sorted(models)]
        listing: object = {"object": "list", "data": rows}
        document = _model_row(wanted) if wanted else listing
        return call.reply(json_reply(200, document, call.request_id))

    def _generate(self, call: HttpCall) -> Body:
        """Answer a chat or completion; a generator, so its end is always seen."""
        span = self._runner.start_span("entry", call)
        accepted = self._accept(call, span.traceparent)
        if isinstance(accepted, Failure):
            span.end({"outcome": accepted.outcome.value})
            yield from self._refuse(call, accepted)
            return
        request = accepted.value.request
        running = self._runner.start(request, call, span)
        try:
            form = FORMAT_BY_PATH[call.path](call.request_id, request.model)
            if request.stream:
                usage = accepted.value.model_request.include_usage
                yield from self._stream(call, running, form, usage)
            else:
                yield from self._whole(call, running, form)
        finally:
            running.close()

    def _accept(self, call: HttpCall, traceparent: str) -> Ok[Accepted] | Failure:
        known = self._admission.identify(call)
        if isinstance(known, Failure):
            return known
        read = read_model_request(call.body, call.path == CHAT_PATH)
        if isinstance(read, Failure):
            return read
        work = _work(call.path, known.value, read.value)
        if isinstance(work, Failure):
            return work
        admitted = self._admission.admit(call, known.value, work.value, traceparent)
        if isinstance(admitted, Failure):
            return admitted
        return Ok(Accepted(admitted.value, read.value))

    def _whole(
        self, call: HttpCall, running: Running, form: AnswerFormat
    ) -> Generator[bytes, None, None]:
        pieces: list[bytes] = []
        for event in running.events:
            match event:
                case AnswerParts():
                    pieces += event.pieces
                case AnswerEnd():
                    body = form.whole(b"".join(pieces).decode(), event)
                    call.start_response("200 OK", _whole_headers(call, body))
                    yield body
                case Failure():
                    yield from call.reply(failure_reply(event, call.request_id))

    def _stream(
        self, call: HttpCall, running: Running, form: AnswerFormat, usage: bool
    ) -> Generator[bytes, None, None]:
        begun = False
        for event in running.events:
            match event:
                case Failure() if not begun:
                    yield from call.reply(failure_reply(event, call.request_id))
                    return
                case AnswerHead():
                    continue
            if not begun:
                begun = True
                call.start_response("200 OK", _stream_headers(call))
            match event:
                case AnswerParts():
                    yield form.events(event.pieces)
                case AnswerEnd():
                    yield form.end_events(event, usage)
                case Failure():
                    yield error_event(event, call.request_id)


def _work(path: str, known: Known, read: ModelRequest) -> Ok[Work] | Failure:
    service = known.directory.service_by_model.get(read.model)
    if service is None:
        return _unknown_model(read.model)
    # Engines are sent the body alone; the caller's headers would only load the links.
    work = Work(
        service,
        path,
        [],
        read.stream,
        read.prompt_tokens,
        read.model,
        read.prefix_keys,
    )
    return Ok(work)


def _unknown_model(name: str) -> Failure:
    message = f"the model {name[:100]!r} does not exist"
    return refusal(ErrorCode.UNKNOWN_MODEL, message)


def _wrong_method(method: str) -> Failure:
    message = f"this path takes {method}"
    return refusal(ErrorCode.BAD_REQUEST, message, http_status=405)


def _model_row(name: str) -> dict[str, object]:
    created = int(time.time())
    return {
        "id": name,
        "object": "model",
        "created": created,
        "owned_by": "wigeonwind",
    }


def _whole_headers(call: HttpCall, body: bytes) -> Headers:
    return [
        ("Content-Type", "application/json"),
        ("Content-Length", str(len(body))),
        ("X-Request-Id", call.request_id),
    ]


def _stream_headers(call: HttpCall) -> Headers:
    return [
        ("Content-Type", "text/event-stream; charset=utf-8"),
        ("Cache-Control", "no-cache"),
        ("X-Request-Id", call.request_id),
    ]
