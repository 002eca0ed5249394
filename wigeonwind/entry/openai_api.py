"""OpenAI-compatible API: chat completions, completions and models."""

import time
from collections.abc import Generator
from dataclasses import dataclass

from wigeonwind.entry.admission import Admission, IdentifiedCaller, RequestSpec
from wigeonwind.entry.http_call import Body, HttpCall
from wigeonwind.entry.openai_format import (
    ChatFormat,
    CompletionFormat,
    ResponseFormat,
    error_event,
)
from wigeonwind.entry.openai_request import ModelRequest, read_model_request
from wigeonwind.entry.replies import Headers, failure_reply, json_reply, refusal
from wigeonwind.entry.request_response import (
    AdmittedRequest,
    ResponseData,
    ResponseEnd,
    ResponseHead,
)
from wigeonwind.entry.request_tracker import ActiveRequest, RequestTracker
from wigeonwind.outcomes import ErrorCode, Failure, Ok

CHAT_PATH = "/v1/chat/completions"
COMPLETIONS_PATH = "/v1/completions"
MODELS_PATH = "/v1/models"

FORMAT_BY_PATH: dict[str, type[ResponseFormat]] = {
    CHAT_PATH: ChatFormat,
    COMPLETIONS_PATH: CompletionFormat,
}


@dataclass(frozen=True)
class AdmittedModelRequest:
    """An admitted request with the fields of its body."""

    request: AdmittedRequest
    model_request: ModelRequest


class OpenAiApi:
    """Serves the paths below `/v1/`."""

    def __init__(self, admission: Admission, tracker: RequestTracker) -> None:
        self._admission = admission
        self._tracker = tracker

    def handle(self, call: HttpCall) -> Body:
        """Handle a request whose path starts with `/v1/`."""
        if call.path in FORMAT_BY_PATH:
            if call.method != "POST":
                return self._refuse(call, _wrong_method("POST"))
            return self._generate(call)
        if call.path == MODELS_PATH or call.path.startswith(MODELS_PATH + "/"):
            if call.method != "GET":
                return self._refuse(call, _wrong_method("GET"))
            return self._models(call)
        message = "unknown path"
        error = refusal(ErrorCode.BAD_REQUEST, message, http_status=404)
        return self._refuse(call, error)

    def _refuse(self, call: HttpCall, error: Failure) -> Body:
        self._tracker.count_refusal(error)
        return call.reply(failure_reply(error, call.request_id))

    def _models(self, call: HttpCall) -> Body:
        identified = self._admission.identify(call)
        if isinstance(identified, Failure):
            return self._refuse(call, identified)
        models = identified.value.directory.service_by_model
        requested_model = call.path[len(MODELS_PATH) + 1 :]
        if requested_model and requested_model not in models:
            return self._refuse(call, _unknown_model(requested_model))
        rows = [_model_row(name) for name in sorted(models)]
        listing: object = {"object": "list", "data": rows}
        document = _model_row(requested_model) if requested_model else listing
        return call.reply(json_reply(200, document, call.request_id))

    def _generate(self, call: HttpCall) -> Body:
        """Serve a chat or completion.

        The server closes this generator even if the caller disconnects, so the
        request is always closed.
        """
        span = self._tracker.start_span("entry", call)
        accepted = self._admit(call, span.traceparent)
        if isinstance(accepted, Failure):
            span.end({"outcome": accepted.outcome.value})
            yield from self._refuse(call, accepted)
            return
        request = accepted.value.request
        active_request = self._tracker.start(request, call, span)
        try:
            response_format = FORMAT_BY_PATH[call.path](call.request_id, request.model)
            if request.stream:
                include_usage = accepted.value.model_request.include_usage
                yield from self._stream(
                    call, active_request, response_format, include_usage
                )
            else:
                yield from self._complete(call, active_request, response_format)
        finally:
            active_request.close()

    def _admit(
        self, call: HttpCall, traceparent: str
    ) -> Ok[AdmittedModelRequest] | Failure:
        identified = self._admission.identify(call)
        if isinstance(identified, Failure):
            return identified
        parsed = read_model_request(call.body, call.path == CHAT_PATH)
        if isinstance(parsed, Failure):
            return parsed
        spec = _request_spec(call.path, identified.value, parsed.value)
        if isinstance(spec, Failure):
            return spec
        admitted = self._admission.admit(
            call, identified.value, spec.value, traceparent
        )
        if isinstance(admitted, Failure):
            return admitted
        return Ok(AdmittedModelRequest(admitted.value, parsed.value))

    def _complete(
        self,
        call: HttpCall,
        active_request: ActiveRequest,
        response_format: ResponseFormat,
    ) -> Generator[bytes, None, None]:
        chunks: list[bytes] = []
        for event in active_request.events:
            match event:
                case ResponseData():
                    chunks += event.chunks
                case ResponseEnd():
                    body = response_format.complete(b"".join(chunks).decode(), event)
                    call.start_response("200 OK", _json_headers(call, body))
                    yield body
                case Failure():
                    yield from call.reply(failure_reply(event, call.request_id))

    def _stream(
        self,
        call: HttpCall,
        active_request: ActiveRequest,
        response_format: ResponseFormat,
        include_usage: bool,
    ) -> Generator[bytes, None, None]:
        headers_sent = False
        for event in active_request.events:
            match event:
                case Failure() if not headers_sent:
                    yield from call.reply(failure_reply(event, call.request_id))
                    return
                case ResponseHead():
                    continue
            if not headers_sent:
                headers_sent = True
                call.start_response("200 OK", _stream_headers(call))
            match event:
                case ResponseData():
                    yield response_format.events(event.chunks)
                case ResponseEnd():
                    yield response_format.end_events(event, include_usage)
                case Failure():
                    yield error_event(event, call.request_id)


def _request_spec(
    path: str, identified: IdentifiedCaller, parsed: ModelRequest
) -> Ok[RequestSpec] | Failure:
    service = identified.directory.service_by_model.get(parsed.model)
    if service is None:
        return _unknown_model(parsed.model)
    # Engines need only the body; the caller's headers would add load on the links.
    spec = RequestSpec(
        service,
        path,
        [],
        parsed.stream,
        parsed.prompt_tokens,
        parsed.model,
        parsed.prefix_keys,
    )
    return Ok(spec)


def _unknown_model(name: str) -> Failure:
    message = f"the model {name[:100]!r} does not exist"
    return refusal(ErrorCode.UNKNOWN_MODEL, message)


def _wrong_method(method: str) -> Failure:
    message = f"this path supports only {method}"
    return refusal(ErrorCode.BAD_REQUEST, message, http_status=405)


def _model_row(name: str) -> dict[str, object]:
    created = int(time.time())
    return {
        "id": name,
        "object": "model",
        "created": created,
        "owned_by": "wigeonwind",
    }


def _json_headers(call: HttpCall, body: bytes) -> Headers:
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
