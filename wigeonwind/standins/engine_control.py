"""HTTP handlers of the engine test double for control, reports and commands."""

from typing import Protocol

from gevent import sleep
from geventhttpclient import HTTPClient

from wigeonwind.addresses import SocketAddress
from wigeonwind.standins.engine_log import ExecutionLog
from wigeonwind.standins.engine_model import EngineModel
from wigeonwind.standins.engine_orders import LOAD_MODEL
from wigeonwind.standins.engine_types import (
    KV_KEEP,
    KV_MODES,
    CommandFailed,
    CommandFenced,
    EngineCommand,
    KvRefused,
    RequestStopped,
    RequestUnknown,
)
from wigeonwind.standins.http_server import (
    Handler,
    HttpRequest,
    HttpResponse,
    error_response,
    json_response,
)

FETCH_TIMEOUT_S = 120.0
"""Time-out of a model fetch, which may be queued in the weight store."""

COMMAND_POLL_INTERVAL_S = 0.01
"""Interval at which a handler polls whether its command has taken effect."""


class ControlledEngine(Protocol):
    """The part of the engine server that the handlers use."""

    model: EngineModel
    execution_log: ExecutionLog

    def now_ms(self) -> float:
        """Return the engine's time in milliseconds."""
        ...

    def wake(self) -> None:
        """Make the engine process a state change now."""
        ...

    def on_cancelled(self, request_id: str) -> None:
        """End the response to a cancelled request."""
        ...

    def load_report(self) -> dict[str, object]:
        """Return the body of `GET /load`."""
        ...


class EngineControl:
    """Handlers for control of requests, KV transfer, reports and control commands.

    If `weight_store` is set, a model is fetched from there before it is loaded.
    """

    def __init__(
        self, engine: ControlledEngine, weight_store: SocketAddress | None
    ) -> None:
        self._engine = engine
        self._weight_store = weight_store
        self._fetching = False

    def routes(self) -> dict[tuple[str, str], Handler]:
        """Return the handlers by method and path."""
        return {
            ("POST", "/control/cancel"): self._cancel,
            ("POST", "/control/pause"): self._pause,
            ("POST", "/control/resume"): self._resume,
            ("POST", "/kv/export"): self._export,
            ("POST", "/kv/import"): self._import,
            ("GET", "/load"): self._load,
            ("GET", "/cache/events"): self._cache_events,
            ("POST", "/orders"): self._handle_command,
            ("GET", "/orders"): self._list_commands,
            ("GET", "/v1/models"): self._models,
            ("GET", "/health"): self._health,
        }

    def _cancel(self, request: HttpRequest) -> HttpResponse:
        request_id = _request_id(request)
        result = self._engine.model.cancel(request_id, self._engine.now_ms())
        if isinstance(result, RequestStopped):
            self._engine.on_cancelled(request_id)
        return self._control_response(result)

    def _pause(self, request: HttpRequest) -> HttpResponse:
        kv = request.json_object().get("kv", KV_KEEP)
        if kv not in KV_MODES:
            message = f"kv is {kv!r}, expected one of {', '.join(KV_MODES)}"
            return error_response(400, "bad_request", message)
        now_ms = self._engine.now_ms()
        result = self._engine.model.pause(_request_id(request), kv, now_ms)
        if isinstance(result, RequestStopped):
            self._engine.execution_log.record_paused(_request_id(request))
        return self._control_response(result)

    def _resume(self, request: HttpRequest) -> HttpResponse:
        now_ms = self._engine.now_ms()
        result = self._engine.model.resume(_request_id(request), now_ms)
        if isinstance(result, RequestStopped):
            self._engine.execution_log.record_resumed(_request_id(request))
        return self._control_response(result)

    def _control_response(
        self, result: RequestStopped | RequestUnknown
    ) -> HttpResponse:
        self._engine.wake()
        if isinstance(result, RequestUnknown):
            return _unknown_request(result)
        body = {"tokens": result.tokens, "dropped_tokens": result.dropped_tokens}
        return json_response(body)

    def _export(self, request: HttpRequest) -> HttpResponse:
        now_ms = self._engine.now_ms()
        result = self._engine.model.export_kv(_request_id(request), now_ms)
        if isinstance(result, RequestUnknown):
            return _unknown_request(result)
        return json_response({"kv_id": result.kv_id, "tokens": result.tokens})

    def _import(self, request: HttpRequest) -> HttpResponse:
        kv_id = str(request.json_object().get("kv_id", ""))
        result = self._engine.model.import_kv(kv_id, self._engine.now_ms())
        if isinstance(result, KvRefused):
            return error_response(404, "unknown_kv", result.reason)
        return json_response({"request_id": result.request_id, "tokens": result.tokens})

    def _load(self, request: HttpRequest) -> HttpResponse:
        return json_response(self._engine.load_report())

    def _cache_events(self, request: HttpRequest) -> HttpResponse:
        after = request.query.get("after", "0")
        if not after.isdigit():
            return error_response(
                400, "bad_request", "after must be a non-negative integer"
            )
        batch = self._engine.model.cache_events(int(after), self._engine.now_ms())
        events = [
            {"seq": event.seq, "kind": event.kind, "prefix": event.prefix}
            for event in batch.events
        ]
        return json_response({"events": events, "next": batch.next_seq})

    def _handle_command(self, request: HttpRequest) -> HttpResponse:
        body = request.json_object()
        fence = body.get("fence")
        if not isinstance(fence, int):
            return error_response(400, "bad_request", "fence must be an integer")
        values = [
            str(body.get(k) or "") for k in ("action", "model", "version", "role")
        ]
        command = EngineCommand(fence, *values)
        model = self._engine.model
        refused = model.control.refusal(command)
        if refused is None and self._fetching:
            refused = CommandFailed("another command is in progress", may_retry=True)
        if refused is None and command.action == LOAD_MODEL:
            refused = self._fetch_model(command)
        if refused is None:
            result = model.accept_command(command, self._engine.now_ms())
            self._engine.wake()
            if not isinstance(result, CommandFenced | CommandFailed):
                return self._wait_until_done()
            refused = result
        if isinstance(refused, CommandFenced):
            message = f"fence {fence} is lower than the highest fence {refused.highest}"
            return error_response(409, "fenced", message, fence=refused.highest)
        status = 503 if refused.may_retry else 400
        return error_response(status, "order_failed", refused.reason)

    def _wait_until_done(self) -> HttpResponse:
        control = self._engine.model.control
        issued = control.pending
        while issued and control.pending and control.pending.order is issued.order:
            sleep(COMMAND_POLL_INTERVAL_S)
        if self._engine.model.crashed:
            return error_response(
                503, "order_failed", "the engine crashed during the command"
            )
        return json_response(
            {
                "fence": control.fence,
                "model": control.model,
                "version": control.version,
                "role": control.role,
            }
        )

    def _fetch_model(self, command: EngineCommand) -> CommandFailed | None:
        """Fetch the model from the weight store; return the failure or None."""
        control = self._engine.model.control
        is_loaded = (command.model, command.version) == (control.model, control.version)
        if self._weight_store is None or is_loaded:
            return None
        self._fetching = True
        try:
            return self._request_fetch(self._weight_store, command)
        finally:
            self._fetching = False

    def _request_fetch(
        self, store: SocketAddress, command: EngineCommand
    ) -> CommandFailed | None:
        body = json_response({"model": command.model, "version": command.version}).body
        client = HTTPClient(
            store.host,
            store.port,
            connection_timeout=FETCH_TIMEOUT_S,
            network_timeout=FETCH_TIMEOUT_S,
        )
        try:
            response = client.post("/v1/fetch", body=body)
            status = response.status_code
            response.read()
        except OSError as error:
            return CommandFailed(
                f"fetch from the weight store failed: {error}", may_retry=True
            )
        finally:
            client.close()
        if status != 200:
            return CommandFailed(
                f"weight store responded with status {status}", may_retry=True
            )
        return None

    def _list_commands(self, request: HttpRequest) -> HttpResponse:
        commands = self._engine.model.control.accepted_commands
        return json_response({"orders": [vars(command) for command in commands]})

    def _models(self, request: HttpRequest) -> HttpResponse:
        control = self._engine.model.control
        names = [control.model, *sorted(control.adapter_versions)]
        data = [{"id": name, "object": "model", "created": 0} for name in names]
        return json_response({"object": "list", "data": data})

    def _health(self, request: HttpRequest) -> HttpResponse:
        loading = self._engine.model.control.blocks_requests
        return json_response({"status": "loading" if loading else "ok"})


def _request_id(request: HttpRequest) -> str:
    return str(request.json_object().get("request_id", ""))


def _unknown_request(result: RequestUnknown) -> HttpResponse:
    message = f"unknown request {result.request_id!r}"
    return error_response(404, "unknown_request", message)
