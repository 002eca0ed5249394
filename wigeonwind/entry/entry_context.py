"""What all requests of one entry share."""

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Protocol, runtime_checkable

from wigeonwind.clock import Clock
from wigeonwind.decisions.interfaces import (
    EndpointChoice,
    EndpointInfo,
    LimitDecisions,
    ReportedLoad,
    RetryDecisions,
)
from wigeonwind.entry.endpoint_links import EndpointLinks
from wigeonwind.entry.metrics_sink import MetricsSink
from wigeonwind.entry.pending_attempts import PendingAttempts


@runtime_checkable
class ReportsEjection(Protocol):
    """An endpoint choice that can tell which endpoints it avoids."""

    def is_ejected(self, endpoint_id: str, now_ms: float) -> bool:
        """Return whether an endpoint gets no new work."""
        ...


@runtime_checkable
class ReportsLoad(Protocol):
    """An endpoint choice that can tell how much work is ahead of a request."""

    def load_of(self, endpoint_id: str, priority: int, now_ms: float) -> float:
        """Return the estimated work per slot; infinite for an unknown endpoint."""
        ...


@runtime_checkable
class ListsEndpoints(Protocol):
    """An endpoint choice that can show what it knows, for operators."""

    def endpoints(
        self, now_ms: float
    ) -> Iterator[tuple[EndpointInfo, ReportedLoad | None, bool]]:
        """Yield each endpoint, its last report, and whether it gets no new work."""
        ...


@dataclass(frozen=True)
class EntryContext:
    """What all requests of one entry share."""

    clock: Clock
    links: EndpointLinks
    choice: EndpointChoice
    limits: LimitDecisions
    retry: RetryDecisions
    metrics: MetricsSink
    pending: PendingAttempts
