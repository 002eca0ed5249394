"""The operators' HTTP interface of an entry: submit, check and read the text."""

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
"""A text in JSON has an escape for each line end."""

CONFIRM_TIMEOUT_MS = 5_000.0
"""Time that the zones get to confirm an accepted text before the operator's answer."""

MAX_CHANGES = 500
"""Sentences in one answer; more would not be read."""

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
class Answer:
    """Status and JSON fields of an answer."""

    status: int
    fields: Mapping[str, Any]


class OperatorsApi:
    """WSGI application on the operators' listener.

    `confirm(version, timeout_ms)` waits until each reachable zone has the version in
    force and returns the zones that confirmed. `status` gives the fields of
    `/admin/status`. Other paths go to `fallback`. An empty `key` lets everybody in.
    """

    def __init__(
        self,
        keeper: ConfigurationReplica,
        store: Store,
        wait_for_confirmation: Callable[[int, float], list[str]],
        status: Callable[[], Mapping[str, Any]],
        sleep_ms: Callable[[float], None],
        key: str = "",
        fallback: WsgiApp | None = None,
    ) -> None:
        self._keeper = keeper
        self._store = store
        self._wait_for_confirmation = wait_for_confirmation
        self._status = status
        self._sleep_ms = sleep_ms
        self._key = key
        self._fallback = fallback
        self._parts: list[Chunk] = []
        self._handler_by_route: dict[tuple[str, str], Callable[[bytes], Answer]] = {
            ("GET", "/admin/text"): self._show,
            ("PUT", "/admin/text"): self._submit,
            ("POST", "/admin/text/check"): self._check,
            ("GET", "/admin/status"): self._show_status,
        }

    def set_key(self, key: str) -> None:
        """Let in only who presents this key from now on."""
        self._key = key

    def __call__(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Answer one request."""
        path = environ.get("PATH_INFO", "")
        if not path.startswith("/admin/") and self._fallback is not None:
            return self._fallback(environ, start_response)
        answer = self._answer(environ, path)
        body = json.dumps(dict(answer.fields)).encode()
        reason = REASON_BY_STATUS[answer.status]
        headers = [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(body))),
        ]
        if "retry_after_ms" in answer.fields:
            seconds = max(1, round(answer.fields["retry_after_ms"] / 1000))
            headers.append(("Retry-After", str(seconds)))
        start_response(f"{answer.status} {reason}", headers)
        return [body]

    def _answer(self, environ: Mapping[str, Any], path: str) -> Answer:
        if not self._is_allowed(environ):
            return _error(401, "this entry needs the operators' key")
        handler = self._handler_by_route.get((environ["REQUEST_METHOD"], path))
        if handler is None:
            known = any(route == path for _, route in self._handler_by_route)
            return _error(405 if known else 404, f"no such call: {path}")
        length = _content_length(environ)
        if length is None:
            return _error(400, "Content-Length is missing or no number")
        if length > MAX_BODY_BYTES:
            return _error(413, f"at most {MAX_BODY_BYTES} bytes")
        body = environ["wsgi.input"].read(length) if length else b""
        if len(body) < length:
            return _error(400, "the body ended early")
        return handler(body)

    def _is_allowed(self, environ: Mapping[str, Any]) -> bool:
        if not self._key:
            return True
        given = environ.get("HTTP_AUTHORIZATION", "").removeprefix("Bearer ")
        return hmac.compare_digest(given.encode(), self._key.encode())

    def _show(self, body: bytes) -> Answer:
        keeper = self._keeper
        fields = {
            "version": keeper.version,
            "source": keeper.source,
            "digest": keeper.digest,
        }
        return Answer(200, {**fields, "submission_id": self._submission_id()})

    def _submission_id(self) -> str:
        """Return the submission id of the text in force, empty if the store is down.

        Only the store knows it: peers pass on the text alone.
        """
        result = self._store.get(HEAD_KEY)
        if not isinstance(result, Ok):
            return ""
        head = decode_head(result.value.value, result.value.version)
        rows = head.recent if head else ()
        ids = [row.submission_id for row in rows if row.version == self._keeper.version]
        return ids[0] if ids else ""

    def _check(self, body: bytes) -> Answer:
        try:
            request = CheckBody.model_validate_json(body)
        except ValidationError as error:
            return _bad_body(error)
        result = self._keeper.check(request.source)
        if isinstance(result, Invalid):
            return Answer(200, {"problems": _rows(result.problems), "changes": []})
        changes = describe_changes(self._keeper.catalog, result.value.catalog)
        return Answer(200, {"problems": [], "changes": _shortened(changes)})

    def _submit(self, body: bytes) -> Answer:
        try:
            request = SubmitBody.model_validate_json(body)
        except ValidationError as error:
            return _bad_body(error)
        base = self._keeper.configuration
        checked = self._keeper.check(request.source)
        if isinstance(checked, Invalid):
            return Answer(422, {"problems": _rows(checked.problems)})
        result = self._write(request, checked.value)
        if isinstance(result, Accepted):
            self._keeper.offer_checked(result.version, checked.value, base)
            zones = self._wait_for_confirmation(result.version, CONFIRM_TIMEOUT_MS)
            fields = {"version": result.version, "confirmed_zones": zones}
            return Answer(200, fields)
        if isinstance(result, SubmitConflict):
            return self._conflict(result, request.base_version)
        if isinstance(result, SubmitUnavailable):
            return _unavailable(result, request.submission_id)
        return Answer(422, {"problems": _rows(result.problems)})

    def _write(self, request: SubmitBody, text: Configuration) -> SubmitResult:
        """Submit a checked text to the store."""
        sections = text.sections
        self._parts = (
            [] if fits_in_head(sections) else split_into_chunks(sections, self._parts)
        )
        steps = submit_steps(
            request.base_version, request.submission_id, sections, self._parts
        )
        return run_steps(steps, self._store, self._sleep_ms)

    def _conflict(self, result: SubmitConflict, base_version: int) -> Answer:
        """Show the text that won, and what it changed since the edited version."""
        if result.source:
            self._keeper.offer(result.version, result.source)
        fields = {"version": result.version, "source": result.source}
        return Answer(409, {**fields, "changes": self._changes_since(base_version)})

    def _changes_since(self, version: int) -> list[str]:
        base = self._keeper.configuration_at(version)
        if base is None:
            return [f"Version {version} is not known here; compare the texts."]
        return _shortened(describe_changes(base.catalog, self._keeper.catalog))

    def _show_status(self, body: bytes) -> Answer:
        keeper = self._keeper
        text = {
            "version": keeper.version,
            "digest": keeper.digest,
            "refused_version": keeper.refused_version,
            "refused_problems": _rows(keeper.refused_problems),
            "counters": keeper.count_by_event,
        }
        return Answer(200, {**self._status(), "text": text})


def _content_length(environ: Mapping[str, Any]) -> int | None:
    text = environ.get("CONTENT_LENGTH") or "0"
    return int(text) if text.isascii() and text.isdigit() else None


def _error(status: int, message: str) -> Answer:
    return Answer(
        status, {"error": {"code": REASON_BY_STATUS[status], "message": message}}
    )


def _bad_body(error: ValidationError) -> Answer:
    details = error.errors()[0]
    place = ".".join(str(part) for part in details["loc"]) or "body"
    return _error(400, f"{place}: {details['msg']}")


def _unavailable(result: SubmitUnavailable, submission_id: str) -> Answer:
    fields = {
        "reason": result.reason,
        "maybe_accepted": result.maybe_accepted,
        "submission_id": submission_id,
        "retry_after_ms": result.retry_after_ms,
    }
    return Answer(503, fields)


def _rows(problems: Iterable[Problem]) -> list[dict[str, Any]]:
    return [{**vars(problem), "text": str(problem)} for problem in problems]


def _shortened(changes: list[str]) -> list[str]:
    if len(changes) <= MAX_CHANGES:
        return changes
    more = len(changes) - MAX_CHANGES
    return [*changes[:MAX_CHANGES], f"And {more} more changes."]
