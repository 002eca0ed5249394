"""Control, reports and orders of the engine test double."""

from typing import Protocol

from gevent import sleep
from geventhttpclient import HTTPClient

from wigeonwind.addresses import SocketAddress
from wigeonwind.standins.engine_log import EngineLog
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
    Call,
    Handler,
    Reply,
    error_reply,
    json_reply,
)

FETCH_TIMEOUT_S = 120.0
ORDER_CHECK_INTERVAL_S = 0.01


class ControlledEngine(Protocol):
    """What the control calls need of the engine server."""

    model: EngineModel
    log: EngineLog

    def now_ms(self) -> float:
        """Return the engine's time."""
        ...

    def wake(self) -> None:
        """Let the engine notice a change."""
        ...

    def cancelled(self, request_id: str) -> None:
        """End the stream of a cancelled request."""
        ...

    def load(self) -> dict[str, object]:
        """Return the load report."""
        ...


class EngineControl:
    """The calls beside completions. Loading a model fetches it from `weight_store`."""

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
            ("POST", "/orders"): self._order,
            ("GET", "/orders"): self._list_orders,
            ("GET", "/v1/models"): self._models,
            ("GET", "/health"): self._health,
        }

    def _cancel(self, call: Call) -> Reply:
        request_id = _request_id(call)
        result = self._engine.model.cancel(request_id, self._engine.now_ms())
        if isinstance(result, RequestStopped):
            self._engine.cancelled(request_id)
        return self._stopped(result)

    def _pause(self, call: Call) -> Reply:
        kv = call.json_object().get("kv", KV_KEEP)
        if kv not in KV_MODES:
            message = f"kv = {kv!r}: expected one of {', '.join(KV_MODES)}"
            return error_reply(400, "bad_request", message)
        now_ms = self._engine.now_ms()
        result = self._engine.model.pause(_request_id(call), kv, now_ms)
        if isinstance(result, RequestStopped):
            self._engine.log.on_paused(_request_id(call))
        return self._stopped(result)

    def _resume(self, call: Call) -> Reply:
        now_ms = self._engine.now_ms()
        result = self._engine.model.resume(_request_id(call), now_ms)
        if isinstance(result, RequestStopped):
            self._engine.log.on_resumed(_request_id(call))
        return self._stopped(result)

    def _stopped(self, result: RequestStopped | RequestUnknown) -> Reply:
        self._engine.wake()
        if isinstance(result, RequestUnknown):
            return _unknown_request(result)
        body = {"tokens": result.tokens, "dropped_tokens": result.dropped_tokens}
        return json_reply(body)

    def _export(self, call: Call) -> Reply:
        now_ms = self._engine.now_ms()
        result = self._engine.model.export_kv(_request_id(call), now_ms)
        if isinstance(result, RequestUnknown):
            return _unknown_request(result)
        return json_reply({"kv_id": result.kv_id, "tokens": result.tokens})

    def _import(self, call: Call) -> Reply:
        kv_id = str(call.json_object().get("kv_id", ""))
        result = self._engine.model.import_kv(kv_id, self._engine.now_ms())
        if isinstance(result, KvRefused):
            return error_reply(404, "unknown_kv", result.reason)
        return json_reply({"request_id": result.request_id, "tokens": result.tokens})

    def _load(self, call: Call) -> Reply:
        return json_reply(self._engine.load())

    def _cache_events(self, call: Call) -> Reply:
        after = call.query.get("after", "0")
        if not after.isdigit():
            return error_reply(400, "bad_request", "after must be a number")
        batch = self._engine.model.cache_events(int(after), self._engine.now_ms())
        events = [
            {"seq": event.seq, "kind": event.kind, "prefix": event.prefix}
            for event in batch.events
        ]
        return json_reply({"events": events, "next": batch.next_seq})

    def _order(self, call: Call) -> Reply:
        body = call.json_object()
        fence = body.get("fence")
        if not isinstance(fence, int):
            return error_reply(400, "bad_request", "fence must be an integer")
        texts = [str(body.get(k) or "") for k in ("action", "model", "version", "role")]
        order = EngineCommand(fence, *texts)
        model = self._engine.model
        refused = model.control.refusal(order)
        if refused is None and self._fetching:
            refused = CommandFailed(
                "another order is being carried out", may_retry=True
            )
        if refused is None and order.action == LOAD_MODEL:
            refused = self._fetch(order)
        if refused is None:
            result = model.accept_command(order, self._engine.now_ms())
            self._engine.wake()
            if not isinstance(result, CommandFenced | CommandFailed):
                return self._wait_until_done()
            refused = result
        if isinstance(refused, CommandFenced):
            message = f"fence {fence} is lower than {refused.highest}"
            return error_reply(409, "fenced", message, fence=refused.highest)
        status = 503 if refused.may_retry else 400
        return error_reply(status, "order_failed", refused.reason)

    def _wait_until_done(self) -> Reply:
        orders = self._engine.model.control
        mine = orders.pending
        while mine and orders.pending and orders.pending.order is mine.order:
            sleep(ORDER_CHECK_INTERVAL_S)
        if self._engine.model.crashed:
            return error_reply(503, "order_failed", "the engine crashed")
        return json_reply(
            {
                "fence": orders.fence,
                "model": orders.model,
                "version": orders.version,
                "role": orders.role,
            }
        )

    def _fetch(self, order: EngineCommand) -> CommandFailed | None:
        """Fetch the model from the weight store; return why that failed."""
        orders = self._engine.model.control
        is_loaded = (order.model, order.version) == (orders.model, orders.version)
        if self._weight_store is None or is_loaded:
            return None
        self._fetching = True
        try:
            return self._fetch_from(self._weight_store, order)
        finally:
            self._fetching = False

    def _fetch_from(
        self, store: SocketAddress, order: EngineCommand
    ) -> CommandFailed | None:
        body = json_reply({"model": order.model, "version": order.version}).body
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
            return CommandFailed(f"weight store: {error}", may_retry=True)
        finally:
            client.close()
        if status != 200:
            return CommandFailed(f"weight store answered {status}", may_retry=True)
        return None

    def _list_orders(self, call: Call) -> Reply:
        orders = self._engine.model.control.accepted
        return json_reply({"orders": [vars(order) for order in orders]})

    def _models(self, call: Call) -> Reply:
        orders = self._engine.model.control
        names = [orders.model, *sorted(orders.adapter_versions)]
        data = [{"id": name, "object": "model", "created": 0} for name in names]
        return json_reply({"object": "list", "data": data})

    def _health(self, call: Call) -> Reply:
        loading = self._engine.model.control.blocks_requests
        return json_reply({"status": "loading" if loading else "ok"})


def _request_id(call: Call) -> str:
    return str(call.json_object().get("request_id", ""))


def _unknown_request(result: RequestUnknown) -> Reply:
    message = f"no request {result.request_id!r} here"
    return error_reply(404, "unknown_request", message)
