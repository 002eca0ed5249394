"""The HTTP server of the operators' listener."""

from gevent import sleep
from gevent.pywsgi import WSGIHandler, WSGIServer

from wigeonwind.clock import MS_PER_SECOND, Clock

POLL_INTERVAL_MS = 20.0
"""Interval between checks whether requests are open."""


class OperatorsHandler(WSGIHandler):
    """Counts the open requests of its server."""

    server: "OperatorsServer"

    def handle_one_response(self) -> None:
        """Answer one request."""
        self.server.open_requests += 1
        try:
            super().handle_one_response()
        finally:
            self.server.open_requests -= 1


class OperatorsServer(WSGIServer):
    """Serves operators; `open_requests` counts the requests without an answer."""

    handler_class = OperatorsHandler
    open_requests = 0

    def finish(self, clock: Clock, limit_ms: float) -> None:
        """Accept no connections and wait until all requests are answered.

        The wait ends at the clock reading `limit_ms`.
        """
        self.close()
        while self.open_requests and clock.now_ms() < limit_ms:
            sleep(POLL_INTERVAL_MS / MS_PER_SECOND)
