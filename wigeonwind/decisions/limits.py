"""Limits of customers and classes at one entry."""

from wigeonwind.catalog import Catalog
from wigeonwind.decisions.interfaces import Allowed, Limited


class CustomerLimiter:
    """Concurrency limits of one entry; rates are not limited yet."""

    def __init__(self, catalog: Catalog, own_id: str) -> None:
        self._catalog = catalog
        self._own_id = own_id
        self._running_by_customer: dict[str, int] = {}

    def set_catalog(self, catalog: Catalog) -> None:
        """Use another version of the text; what is admitted stays admitted."""
        self._catalog = catalog

    def check(
        self, customer: str, class_name: str, prompt_tokens: int, now_ms: float
    ) -> Allowed | Limited:
        """Admit (and count) one request, or say which limit refuses it."""
        running = self._running_by_customer.get(customer, 0)
        known = self._catalog.customer_by_name.get(customer)
        limit = known.limit if known else self._catalog.default_limit
        if limit.concurrency is not None and running >= limit.concurrency:
            return Limited(f"concurrency of customer {customer}", 1000.0)
        self._running_by_customer[customer] = running + 1
        return Allowed()

    def on_tokens(
        self, customer: str, class_name: str, tokens: int, now_ms: float
    ) -> None:
        """Count generated tokens."""

    def on_ended(self, customer: str, class_name: str, now_ms: float) -> None:
        """Give back the concurrency of one admitted request."""
        running = self._running_by_customer.get(customer, 0) - 1
        if running > 0:
            self._running_by_customer[customer] = running
        else:
            self._running_by_customer.pop(customer, None)
