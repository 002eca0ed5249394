"""The operators' HTTP API of an entry: submit, check and read the configuration."""

import hmac
import json
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from typing import Any

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from wigeonwind.outcomes import Invalid, Ok, Problem
from wigeonwind.state.configuration import MAX_CONFIGURATION_CHARS, Configuration
from wigeonwind.state.configuration_chunks import Chunk, split_into_chunks
from wigeonwind.state.configuration_descriptions import describe_changes
from wigeonwind.state.configuration_head import HEAD_KEY, decode_head, fits_in_head
from wigeonwind.state.configuration_replica import ConfigurationReplica
from wigeonwind.state.configuration_store import (
    Accepted,
    SubmitConflict,
    SubmitResult,
    SubmitUnavailable,
    submit_steps,
)
from wigeonwind.state.store_steps import run_steps
from wigeonwind.state.store_types import Store

StartResponse = Callable[..., Any]
WsgiApp = Callable[[dict[str, Any], StartResponse], Iterable[bytes]]

MAX_BODY_BYTES = 2 * MAX_CONFIGURATION_CHARS
"""Twice the maximum configuration, as JSON escapes each line end."""

CONFIRMATION_TIMEOUT_MS = 5_000.0
"""Time limit for zones to confirm an accepted configuration before the response."""

MAX_CHANGES = 500
"""Maximum number of changes in a response; longer lists would not be read."""

REASON_BY_STATUS = {
    200: "OK",
    400: "Bad Request",
    401: "Unauthorized",
    404: "Not Found",
    405: "Method Not Allowed",
    409: "Conflict",
    413: "Content Too Large",
    422: "Unprocessable Content",
    503: "Service Unavailable",
}


class SubmitBody(BaseModel):
    """Body of `PUT /admin/text`."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    base_version: int = Field(ge=0)
    submission_id: str = Field(min_length=1, max_length=100)
    source: str


class CheckBody(BaseModel):
    """Body of `POST /admin/text/check`."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    source: str


@dataclass(frozen=True)
class ApiResponse:
    """Status and JSON fields of a response."""

    status: int
    fields: Mapping[str, Any]


class OperatorsApi:
    """WSGI application of the operators' listener.

    `wait_for_confirmation(version, timeout_ms)` waits until every reachable zone has
    the version in force and returns the zones that confirmed it. `status` returns the
    fields of `/admin/status`. Other paths are served by `fallback`. An empty `key`
    disables authentication. `refresh` reads the store's configuration, and writes it
    again if the store has lost the one in force.
    """

    def __init__(
        self,
        replica: ConfigurationReplica,
        store: Store,
        wait_for_confirmation: Callable[[int, float], list[str]],
        status: Callable[[], Mapping[str, Any]],
        sleep_ms: Callable[[float], None],
        key: str = "",
        fallback: WsgiApp | None = None,
        refresh: Callable[[], object] = lambda: None,
    ) -> None:
        self._replica = replica
        self._store = store
        self._wait_for_confirmation = wait_for_confirmation
        self._status = status
        self._sleep_ms = sleep_ms
        self._key = key
        self._fallback = fallback
        self._refresh = refresh
        self._chunks: list[Chunk] = []
        """Chunks of the last submission; unchanged ones are used again."""
        self._handler_by_route: dict[
            tuple[str, str], Callable[[bytes], ApiResponse]
        ] = {
            ("GET", "/admin/text"): self._get_configuration,
            ("PUT", "/admin/text"): self._submit,
            ("POST", "/admin/text/check"): self._check,
            ("GET", "/admin/status"): self._get_status,
        }

    def set_key(self, key: str) -> None:
        """Replace the key that requests must present."""
        self._key = key

    def __call__(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Handle one request."""
        path = environ.get("PATH_INFO", "")
        if not path.startswith("/admin/") and self._fallback is not None:
            return self._fallback(environ, start_response)
        response = self._handle(environ, path)
        body = json.dumps(dict(response.fields)).encode()
        reason = REASON_BY_STATUS[response.status]
        headers = [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(body))),
        ]
        if "retry_after_ms" in response.fields:
            seconds = max(1, round(response.fields["retry_after_ms"] / 1000))
            headers.append(("Retry-After", str(seconds)))
        start_response(f"{response.status} {reason}", headers)
        return [body]

    def _handle(self, environ: Mapping[str, Any], path: str) -> ApiResponse:
        if not self._is_authorized(environ):
            return _error(401, "missing or wrong operators' key")
        handler = self._handler_by_route.get((environ["REQUEST_METHOD"], path))
        if handler is None:
            is_known_path = any(route == path for _, route in self._handler_by_route)
            return _error(
                405 if is_known_path else 404, f"unknown method or path: {path}"
            )
        length = _content_length(environ)
        if length is None:
            return _error(400, "Content-Length is not a number")
        if length > MAX_BODY_BYTES:
            return _error(413, f"the body exceeds {MAX_BODY_BYTES} bytes")
        body = environ["wsgi.input"].read(length) if length else b""
        if len(body) < length:
            return _error(400, "the body is shorter than its Content-Length")
        return handler(body)

    def _is_authorized(self, environ: Mapping[str, Any]) -> bool:
        if not self._key:
            return True
        given = environ.get("HTTP_AUTHORIZATION", "").removeprefix("Bearer ")
        return hmac.compare_digest(given.encode(), self._key.encode())

    def _get_configuration(self, body: bytes) -> ApiResponse:
        replica = self._replica
        fields = {
            "version": replica.version,
            "source": replica.source,
            "digest": replica.digest,
        }
        return ApiResponse(200, {**fields, "submission_id": self._submission_id()})

    def _submission_id(self) -> str:
        """Return the submission id of the version in force, "" if not available.

        It is read from the store, as peers do not transmit it.
        """
        result = self._store.get(HEAD_KEY)
        if not isinstance(result, Ok):
            return ""
        head = decode_head(result.value.value, result.value.version)
        rows = head.recent if head else ()
        ids = [
            row.submission_id for row in rows if row.version == self._replica.version
        ]
        return ids[0] if ids else ""

    def _check(self, body: bytes) -> ApiResponse:
        try:
            request = CheckBody.model_validate_json(body)
        except ValidationError as error:
            return _invalid_body(error)
        result = self._replica.check(request.source)
        if isinstance(result, Invalid):
            return ApiResponse(
                200, {"problems": _problem_rows(result.problems), "changes": []}
            )
        changes = describe_changes(self._replica.catalog, result.value.catalog)
        return ApiResponse(200, {"problems": [], "changes": _truncate_changes(changes)})

    def _submit(self, body: bytes) -> ApiResponse:
        try:
            request = SubmitBody.model_validate_json(body)
        except ValidationError as error:
            return _invalid_body(error)
        base = self._replica.configuration
        checked = self._replica.check(request.source)
        if isinstance(checked, Invalid):
            return ApiResponse(422, {"problems": _problem_rows(checked.problems)})
        result = self._write(request, checked.value)
        if isinstance(result, Accepted):
            version = result.version
            if not self._replica.offer_checked(version, checked.value, base):
                # The version is not above all that are in force: the store went back.
                self._refresh()
                version = max(version, self._replica.version)
            zones = self._wait_for_confirmation(version, CONFIRMATION_TIMEOUT_MS)
            fields = {"version": version, "confirmed_zones": zones}
            return ApiResponse(200, fields)
        if isinstance(result, SubmitConflict):
            if result.version < self._replica.version:
                # The store has lost the version in force.
                self._refresh()
                replica = self._replica
                result = SubmitConflict(replica.version, replica.source)
            return self._conflict(result, request.base_version)
        if isinstance(result, SubmitUnavailable):
            return _unavailable(result, request.submission_id)
        return ApiResponse(422, {"problems": _problem_rows(result.problems)})

    def _write(self, request: SubmitBody, configuration: Configuration) -> SubmitResult:
        """Submit a checked configuration to the store."""
        sections = configuration.sections
        self._chunks = (
            [] if fits_in_head(sections) else split_into_chunks(sections, self._chunks)
        )
        steps = submit_steps(
            request.base_version, request.submission_id, sections, self._chunks
        )
        return run_steps(steps, self._store, self._sleep_ms)

    def _conflict(self, result: SubmitConflict, base_version: int) -> ApiResponse:
        """Return the accepted configuration and its changes since `base_version`."""
        if result.source:
            self._replica.offer(result.version, result.source)
        fields = {"version": result.version, "source": result.source}
        return ApiResponse(
            409, {**fields, "changes": self._describe_changes_since(base_version)}
        )

    def _describe_changes_since(self, version: int) -> list[str]:
        base = self._replica.configuration_at(version)
        if base is None:
            return [f"Version {version} is not available here; compare the sources."]
        return _truncate_changes(describe_changes(base.catalog, self._replica.catalog))

    def _get_status(self, body: bytes) -> ApiResponse:
        replica = self._replica
        configuration = {
            "version": replica.version,
            "digest": replica.digest,
            "refused_version": replica.refused_version,
            "refused_problems": _problem_rows(replica.refused_problems),
            "counters": replica.count_by_event,
        }
        return ApiResponse(200, {**self._status(), "text": configuration})


def _content_length(environ: Mapping[str, Any]) -> int | None:
    value = environ.get("CONTENT_LENGTH") or "0"
    return int(value) if value.isascii() and value.isdigit() else None


def _error(status: int, message: str) -> ApiResponse:
    return ApiResponse(
        status, {"error": {"code": REASON_BY_STATUS[status], "message": message}}
    )


def _invalid_body(error: ValidationError) -> ApiResponse:
    details = error.errors()[0]
    location = ".".join(str(part) for part in details["loc"]) or "body"
    return _error(400, f"{location}: {details['msg']}")


def _unavailable(result: SubmitUnavailable, submission_id: str) -> ApiResponse:
    fields = {
        "reason": result.reason,
        "maybe_accepted": result.maybe_accepted,
        "submission_id": submission_id,
        "retry_after_ms": result.retry_after_ms,
    }
    return ApiResponse(503, fields)


def _problem_rows(problems: Iterable[Problem]) -> list[dict[str, Any]]:
    return [{**vars(problem), "text": str(problem)} for problem in problems]


def _truncate_changes(changes: list[str]) -> list[str]:
    if len(changes) <= MAX_CHANGES:
        return changes
    more = len(changes) - MAX_CHANGES
    return [*changes[:MAX_CHANGES], f"And {more} more changes."]
