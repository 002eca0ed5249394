"""A caller's request together with what the configuration says about it."""

from dataclasses import dataclass

from wigeonwind.routing.header_codec import RequestMetadata
from wigeonwind.routing.request_parser import HttpRequest
from wigeonwind.routing.routes import HttpCustomer, HttpRoute

PRIORITIES_PER_LEVEL = 3
"""Route priorities told apart within one priority of customers."""


@dataclass(frozen=True, slots=True)
class RoutedRequest:
    """A request, its route and its customer, None where nobody needs to be known."""

    request: HttpRequest
    metadata: RequestMetadata
    route: HttpRoute
    customer: HttpCustomer | None
    config_version: int

    @property
    def timeout_ms(self) -> float:
        """Return how long the caller, and the operator, let it take."""
        timeout_ms = self.route.timeout_ms
        if self.metadata.caller_timeout_ms is None:
            return timeout_ms
        return min(timeout_ms, self.metadata.caller_timeout_ms)

    @property
    def priority(self) -> int:
        """Return the priority of the customer, or else of the route; 0 is first."""
        if self.customer is not None and self.customer.priority is not None:
            return self.customer.priority
        return self.route.priority

    @property
    def engine_priority(self) -> int:
        """Return the order at engines: by `priority`, then by the route's."""
        within = min(self.route.priority, PRIORITIES_PER_LEVEL - 1)
        return PRIORITIES_PER_LEVEL * self.priority + within
