"""Health checks and metrics over HTTP, for load balancers and operators."""

from collections.abc import Callable

from wigeonwind.entry.http_call import Body, HttpCall
from wigeonwind.entry.replies import Reply

METRICS_TYPE = "text/plain; version=0.0.4; charset=utf-8"
HEALTH_PATHS = frozenset({"/healthz", "/readyz", "/metrics"})


class HealthApi:
    """Serves `/healthz`, `/readyz` and, if `metrics_text` is given, `/metrics`."""

    def __init__(
        self,
        is_ready: Callable[[], bool],
        metrics_text: Callable[[], bytes] | None,
    ) -> None:
        self._is_ready = is_ready
        self._metrics_text = metrics_text

    def handle(self, call: HttpCall) -> Body | None:
        """Answer a health or metrics request; return None for any other path."""
        if call.path == "/healthz":
            return call.reply(_text_reply(200, b"alive\n", call.request_id))
        if call.path == "/readyz":
            if self._is_ready():
                return call.reply(_text_reply(200, b"ready\n", call.request_id))
            return call.reply(_text_reply(503, b"not ready\n", call.request_id))
        if call.path == "/metrics" and self._metrics_text is not None:
            text = self._metrics_text()
            reply = _text_reply(200, text, call.request_id, METRICS_TYPE)
            return call.reply(reply)
        return None


def _text_reply(
    status: int, body: bytes, request_id: str, content_type: str = "text/plain"
) -> Reply:
    headers = [
        ("Content-Type", content_type),
        ("Content-Length", str(len(body))),
        ("Cache-Control", "no-store"),
        ("X-Request-Id", request_id),
    ]
    return Reply(status, headers, body)
