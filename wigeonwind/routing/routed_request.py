"""A caller's request with its route and customer."""

from dataclasses import dataclass

from wigeonwind.routing.header_codec import RequestMetadata
from wigeonwind.routing.request_parser import HttpRequest
from wigeonwind.routing.routes import HttpCustomer, HttpRoute

PRIORITIES_PER_LEVEL = 3
"""Number of route priorities that are distinguished within a customer priority."""


@dataclass(frozen=True, slots=True)
class RoutedRequest:
    """A request with its route; `customer` is None if the route needs no API key."""

    request: HttpRequest
    metadata: RequestMetadata
    route: HttpRoute
    customer: HttpCustomer | None
    config_version: int

    @property
    def timeout_ms(self) -> float:
        """Return the shorter one of the route's and the caller's timeout."""
        timeout_ms = self.route.timeout_ms
        if self.metadata.caller_timeout_ms is None:
            return timeout_ms
        return min(timeout_ms, self.metadata.caller_timeout_ms)

    @property
    def priority(self) -> int:
        """Return the customer's priority, or else the route's; 0 is the most urgent."""
        if self.customer is not None and self.customer.priority is not None:
            return self.customer.priority
        return self.route.priority

    @property
    def engine_priority(self) -> int:
        """Return the priority for engines: `priority` first, then the route's."""
        within = min(self.route.priority, PRIORITIES_PER_LEVEL - 1)
        return PRIORITIES_PER_LEVEL * self.priority + within
