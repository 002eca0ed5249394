"""HTTP interface to plain services: `/svc/SERVICE/...`."""

from collections.abc import Callable, Generator

from wigeonwind.catalog import BookingMode, ServiceKind
from wigeonwind.entry.admission import Admission, IdentifiedCaller, RequestSpec
from wigeonwind.entry.http_call import Body, HttpCall, ReplyAbortedError
from wigeonwind.entry.plain_headers import reply_headers, request_headers
from wigeonwind.entry.replies import (
    Headers,
    failure_reply,
    refusal,
    status_line,
)
from wigeonwind.entry.request_response import (
    AdmittedRequest,
    ResponseData,
    ResponseEnd,
    ResponseHead,
)
from wigeonwind.entry.request_tracker import ActiveRequest, RequestTracker
from wigeonwind.outcomes import ErrorCode, Failure, Ok

PLAIN_PREFIX = "/svc/"
BOOKING_HEADER = "idempotency-key"
MAX_BOOKING_KEY_LENGTH = 255
"""Longest Idempotency-Key, in characters."""

NO_BODY_STATUSES = frozenset({204, 304})
"""Status codes of replies that never have a body."""

BookingHandler = Callable[[HttpCall, AdmittedRequest, ActiveRequest, str], Body]


class PlainApi:
    """Serves the paths below `/svc/`."""

    def __init__(
        self,
        admission: Admission,
        tracker: RequestTracker,
        handle_booking: BookingHandler,
    ) -> None:
        self._admission = admission
        self._tracker = tracker
        self._handle_booking = handle_booking

    def handle(self, call: HttpCall) -> Body:
        """Handle a request whose path starts with `/svc/`.

        The server closes this generator even if the caller disconnects, so the
        request is always closed.
        """
        span = self._tracker.start_span("entry", call)
        admitted = self._admit(call, span.traceparent)
        if isinstance(admitted, Failure):
            self._tracker.count_refusal(admitted)
            span.end({"outcome": admitted.outcome.value})
            yield from call.reply(failure_reply(admitted, call.request_id))
            return
        request = admitted.value
        active_request = self._tracker.start(request, call, span)
        try:
            key = call.header_by_name.get(BOOKING_HEADER, "")
            if key and not request.repeatable:
                yield from self._handle_booking(call, request, active_request, key)
            else:
                yield from self._relay(call, active_request)
        finally:
            active_request.close()

    def _admit(self, call: HttpCall, traceparent: str) -> Ok[AdmittedRequest] | Failure:
        identified = self._admission.identify(call)
        if isinstance(identified, Failure):
            return identified
        spec = _request_spec(call, identified.value)
        if isinstance(spec, Failure):
            return spec
        return self._admission.admit(call, identified.value, spec.value, traceparent)

    def _relay(
        self, call: HttpCall, active_request: ActiveRequest
    ) -> Generator[bytes, None, None]:
        """Forward the response as it arrives."""
        body_check: _BodyLengthCheck | None = None
        for event in active_request.events:
            match event:
                case ResponseHead():
                    headers = reply_headers(event.headers)
                    headers.append(("X-Request-Id", call.request_id))
                    body_check = _BodyLengthCheck(call.method, event.status, headers)
                    call.start_response(status_line(event.status), body_check.headers)
                case ResponseData() if body_check is not None:
                    yield from body_check.forward(event.chunks)
                case ResponseEnd() if body_check is not None:
                    body_check.check_complete()
                case Failure() if body_check is None:
                    yield from call.reply(failure_reply(event, call.request_id))
                case Failure():
                    raise ReplyAbortedError(event.message)


class _BodyLengthCheck:
    """Enforces the Content-Length in the head of a response.

    `headers` are those to send; a reply that never has a body gets no Content-Length.
    """

    def __init__(self, method: str, status: int, headers: Headers) -> None:
        self._has_body = method != "HEAD" and status not in NO_BODY_STATUSES
        self._remaining = _announced_length(headers) if self._has_body else None
        self.headers = headers
        if status in NO_BODY_STATUSES:
            self.headers = [
                row for row in headers if row[0].lower() != "content-length"
            ]

    def forward(self, chunks: list[bytes]) -> Generator[bytes, None, None]:
        """Yield the chunks' data; raise ReplyAbortedError if the body is too long."""
        if not self._has_body:
            return
        data = b"".join(chunks)
        if self._remaining is not None:
            self._remaining -= len(data)
            if self._remaining < 0:
                raise ReplyAbortedError(
                    "the response body is longer than its Content-Length"
                )
        yield data

    def check_complete(self) -> None:
        """Raise ReplyAbortedError if the body is too short."""
        if self._remaining:
            raise ReplyAbortedError(
                "the response body is shorter than its Content-Length"
            )


def _announced_length(headers: Headers) -> int | None:
    for name, value in headers:
        if name.lower() == "content-length" and value.isascii() and value.isdigit():
            return int(value)
    return None


def _request_spec(
    call: HttpCall, identified: IdentifiedCaller
) -> Ok[RequestSpec] | Failure:
    name, path_rest = split_target(call.target)
    service = identified.catalog.service_by_name.get(name)
    if service is None or service.kind is not ServiceKind.PLAIN:
        message = f"there is no plain service {name[:100]!r}"
        return refusal(ErrorCode.UNKNOWN_SERVICE, message)
    key = call.header_by_name.get(BOOKING_HEADER, "")
    if len(key) > MAX_BOOKING_KEY_LENGTH:
        message = f"Idempotency-Key is longer than {MAX_BOOKING_KEY_LENGTH} characters"
        return refusal(ErrorCode.BAD_REQUEST, message)
    headers = request_headers(call.headers)
    endpoint_deduplicates = bool(key) and service.bookings is BookingMode.ENDPOINT
    return Ok(
        RequestSpec(
            service,
            path_rest,
            headers,
            False,
            0,
            endpoint_deduplicates=endpoint_deduplicates,
        )
    )


def split_target(target: str) -> tuple[str, str]:
    """Split a request target into the service and its path with query.

    >>> split_target("/svc/spot-desk/lots/7?day=2")
    ('spot-desk', '/lots/7?day=2')
    >>> split_target("/svc/spot-desk?day=2")
    ('spot-desk', '/?day=2')
    """
    path, separator, query = target[len(PLAIN_PREFIX) :].partition("?")
    name, _, path_rest = path.partition("/")
    return name, f"/{path_rest}{separator}{query}"
