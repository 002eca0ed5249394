"""Polls the endpoint and sends load reports to the linked entries."""

from collections.abc import Callable

from gevent import sleep

from wigeonwind.addresses import SocketAddress
from wigeonwind.clock import MS_PER_SECOND, Clock
from wigeonwind.decisions.interfaces import EndpointQueueDecisions
from wigeonwind.links.link_types import Link
from wigeonwind.links.messages import LoadReport
from wigeonwind.runtime.loops import SupervisedLoops
from wigeonwind.side.endpoint_http import HttpExchange
from wigeonwind.side.engine_client import (
    CALL_TIMEOUT_MS,
    EngineClient,
    EngineFailure,
    EngineLoad,
)

STALE_INTERVALS = 3
"""Report intervals without a response after which the endpoint is not ready."""

MAX_MEASURED_AGE_MS = 60_000.0
"""Largest plausible age of an engine's load report. A larger age means that the clocks
of the engine and the sidecar are unrelated."""


class LoadReporter:
    """Tracks the state of the endpoint and reports it.

    `accepts_requests` says whether the sidecar accepts attempts; `on_load` is called
    with each load report of the engine.
    """

    def __init__(
        self,
        member_id: str,
        clock: Clock,
        queue: EndpointQueueDecisions,
        client: EngineClient | None,
        address: SocketAddress,
        report_ms: float,
        accepts_requests: Callable[[], bool],
        on_load: Callable[[EngineLoad], None] | None = None,
    ) -> None:
        self._member_id = member_id
        self._clock = clock
        self._queue = queue
        self._client = client
        self._address = address
        self._report_ms = report_ms
        self._accepts_requests = accepts_requests
        self._on_load = on_load
        self._links: list[Link] = []
        self._load: EngineLoad | None = None
        self._last_response_ms: float | None = None
        self._reported_ready = False

    def start(self, loops: SupervisedLoops) -> None:
        """Start to poll and to report."""
        loops.start(self._poll_loop)
        loops.start(self._report_loop)

    def on_up(self, link: Link) -> None:
        """Start reporting on a link to an entry, with a first report at once."""
        if link.hello.role == "entry":
            self._links.append(link)
            link.send(self.report())

    def on_down(self, link: Link) -> None:
        """Stop reporting on a link."""
        if link in self._links:
            self._links.remove(link)

    @property
    def version(self) -> str:
        """Return the model version in the engine's last report, empty before it."""
        return self._load.version if self._load else ""

    def is_ready(self) -> bool:
        """Return whether entries may send new attempts here."""
        if not self._accepts_requests() or self._last_response_ms is None:
            return False
        age_ms = self._clock.now_ms() - self._last_response_ms
        return age_ms <= STALE_INTERVALS * self._report_ms

    def poll(self) -> None:
        """Poll the endpoint: read an engine's load, or connect to a plain service."""
        if self._client is not None:
            load = self._client.load()
            if not isinstance(load, EngineFailure):
                self._load = load
                self._last_response_ms = self._clock.now_ms()
                if self._on_load is not None:
                    self._on_load(load)
            return
        probe = HttpExchange(self._address, CALL_TIMEOUT_MS)
        if probe.connect() is None:
            self._last_response_ms = self._clock.now_ms()
        probe.close()

    def send(self) -> None:
        """Send a report to all linked entries."""
        report = self.report()
        self._reported_ready = report.ready
        for link in self._links:
            link.send(report)

    def report(self) -> LoadReport:
        """Return a report of the current state."""
        now_ms = self._clock.now_ms()
        queue = self._queue.report(now_ms)
        return LoadReport(
            self._member_id,
            queue.running,
            queue.slots,
            [[name, count] for name, count in queue.waiting_by_class],
            self._load.running if self._load else queue.running,
            self._load_age_ms(now_ms),
            queue.ms_per_token,
            queue.ms_to_first_token,
            queue.queued_tokens,
            self.is_ready(),
            [[name, count] for name, count in queue.running_by_class],
        )

    def _load_age_ms(self, now_ms: float) -> float:
        """Return the age of the engine's report.

        The engine's clock reading is used if it is comparable with the clock of this
        VM, otherwise the time at which the report was received.
        """
        if self._last_response_ms is None:
            return 0.0
        measured_ms = (
            self._load.measured_at_ms if self._load else self._last_response_ms
        )
        age_ms = now_ms - measured_ms
        if 0.0 <= age_ms <= MAX_MEASURED_AGE_MS:
            return age_ms
        return now_ms - self._last_response_ms

    def _poll_loop(self) -> None:
        while True:
            self.poll()
            # Report a change of readiness at once. Otherwise entries would send to a
            # failed endpoint, or leave a new one idle, for up to a report interval.
            if self.is_ready() != self._reported_ready:
                self.send()
            sleep(self._report_ms / MS_PER_SECOND)

    def _report_loop(self) -> None:
        while True:
            sleep(self._report_ms / MS_PER_SECOND)
            self.send()
