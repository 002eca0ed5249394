"""EntryContext, and protocols of endpoint choices that report more than a choice.

`runtime_checkable` protocols match any choice that has the methods; callers handle a
choice without them.
"""

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
    """An endpoint choice that reports which endpoints it has ejected."""

    def is_ejected(self, endpoint_id: str, now_ms: float) -> bool:
        """Return whether an endpoint is ejected and gets no new requests."""
        ...


@runtime_checkable
class ReportsLoad(Protocol):
    """An endpoint choice that reports the load ahead of a new request."""

    def load_of(self, endpoint_id: str, priority: int, now_ms: float) -> float:
        """Return the estimated work per slot; infinite for an unknown endpoint."""
        ...


@runtime_checkable
class ListsEndpoints(Protocol):
    """An endpoint choice that lists its endpoints for operators."""

    def endpoints(
        self, now_ms: float
    ) -> Iterator[tuple[EndpointInfo, ReportedLoad | None, bool]]:
        """Yield each endpoint, its last load report and whether it is ejected."""
        ...


@dataclass(frozen=True)
class EntryContext:
    """State and decisions that all requests of an entry share."""

    clock: Clock
    links: EndpointLinks
    choice: EndpointChoice
    limits: LimitDecisions
    retry: RetryDecisions
    metrics: MetricsSink
    pending: PendingAttempts
