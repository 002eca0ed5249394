"""Handlers for changes of the configuration and the endpoint entries in the store."""

from collections.abc import Callable
from dataclasses import dataclass

from structlog import get_logger

from wigeonwind.outcomes import Invalid, Ok
from wigeonwind.routing.discovery import EndpointSet
from wigeonwind.routing.endpoints import Endpoint
from wigeonwind.routing.routes import RouteTable
from wigeonwind.runtime.error_boundary import call_isolated
from wigeonwind.state.store_types import StoredObject

MAX_REASON_CHARS = 200
"""Longest reason in a log line; a reason may contain a value of any length."""

log = get_logger("wigeonwind.configuration")


@dataclass(frozen=True)
class StoreSchema:
    """Keys and decoders of the configuration and the endpoint entries of a platform."""

    configuration_prefix: str
    configuration_key: str
    endpoints_prefix: str
    decode_configuration: Callable[[bytes], Ok[RouteTable] | Invalid]
    decode_endpoint: Callable[[str, bytes], Endpoint | str]
    endpoint_id: Callable[[str], str]
    peers_prefix: str = "routers/"
    """Prefix of the peer directory, which the routing processes write themselves."""


class ConfigurationHandler:
    """Keeps the newest valid configuration; older or invalid ones are ignored."""

    def __init__(
        self, schema: StoreSchema, on_route_table: Callable[[RouteTable], None]
    ) -> None:
        self.table: RouteTable | None = None
        self.stored: StoredObject | None = None
        """The object that `table` was decoded from."""
        self._schema = schema
        self._on_route_table = on_route_table

    def on_listed(self, objects: tuple[StoredObject, ...]) -> None:
        """Handle a listing of the objects under the prefix."""
        for stored in objects:
            self.on_changed(stored)

    def on_changed(self, changed: StoredObject) -> None:
        """Put a configuration in force if it is valid and newer than the active one."""
        if changed.key == self._schema.configuration_key:
            call_isolated(
                "a configuration", changed.key, lambda: self._apply(changed), None
            )

    def _apply(self, changed: StoredObject) -> None:
        result = self._schema.decode_configuration(changed.value)
        if isinstance(result, Invalid):
            problems = [shorten(str(problem)) for problem in result.problems]
            log.error(
                "invalid configuration; the active one stays in force",
                problems=problems,
            )
            return
        table = result.value
        active_version = self.table.version if self.table is not None else None
        if active_version is not None and table.version <= active_version:
            return
        self.table = table
        self.stored = changed
        log.info(
            "configuration version applied",
            version=table.version,
            before=active_version,
            routes=len(table.routes),
            services=len(table.service_names),
            keys=len(table.customer_by_key),
        )
        self._on_route_table(table)

    def on_removed(self, key: str) -> None:
        """Log a removal; the configuration stays, as operators only ever replace it."""
        if key == self._schema.configuration_key:
            log.error(
                "configuration removed from the store; the active one stays in force"
            )


class EndpointEntryHandler:
    """Decodes endpoint entries and passes them to an endpoint set.

    `on_ignored` is called for each entry that becomes invalid, or invalid for another
    reason. Such entries are not passed on to peers.
    """

    def __init__(
        self,
        schema: StoreSchema,
        endpoints: EndpointSet,
        on_ignored: Callable[[], None] = lambda: None,
    ) -> None:
        self._schema = schema
        self._endpoints = endpoints
        self._on_ignored = on_ignored
        self._reason_by_ignored_key: dict[str, str] = {}
        self.stored_by_key: dict[str, StoredObject] = {}
        """The valid entries."""

    def on_listed(
        self, objects: tuple[StoredObject, ...], is_authoritative: bool = False
    ) -> None:
        """Replace all entries with those of a listing.

        With `is_authoritative`, endpoints missing from the listing are removed even if
        the local view of the store is not authoritative.
        """
        keys = {each.key for each in objects}
        for key in self._reason_by_ignored_key.keys() - keys:
            del self._reason_by_ignored_key[key]
        decoded = [(each, self._decode(each)) for each in objects]
        self.stored_by_key = {
            stored.key: stored for stored, endpoint in decoded if endpoint is not None
        }
        valid = [endpoint for _, endpoint in decoded if endpoint is not None]
        self._endpoints.on_listed(valid, is_authoritative)
        for key in self._reason_by_ignored_key.keys() - self.stored_by_key.keys():
            self._endpoints.on_invalid(self._schema.endpoint_id(key))

    def on_changed(self, changed: StoredObject) -> None:
        """Add or replace an entry; the endpoint of an invalid one is not used."""
        endpoint = self._decode(changed)
        if endpoint is None:
            self.stored_by_key.pop(changed.key, None)
            self._endpoints.on_invalid(self._schema.endpoint_id(changed.key))
        else:
            self.stored_by_key[changed.key] = changed
            self._endpoints.on_changed(endpoint)

    def on_removed(self, key: str) -> None:
        """Remove an entry."""
        self.stored_by_key.pop(key, None)
        self._reason_by_ignored_key.pop(key, None)
        self._endpoints.on_removed(self._schema.endpoint_id(key))

    def _decode(self, stored: StoredObject) -> Endpoint | None:
        unexpected: Endpoint | str = "unexpected error"
        result = call_isolated(
            "an endpoint entry",
            stored.key,
            lambda: self._schema.decode_endpoint(stored.key, stored.value),
            unexpected,
        )
        if isinstance(result, Endpoint):
            self._reason_by_ignored_key.pop(stored.key, None)
            return result
        reason = shorten(result)
        if self._reason_by_ignored_key.get(stored.key) != reason:
            self._reason_by_ignored_key[stored.key] = reason
            self._on_ignored()
            log.warning(
                "ignored an invalid endpoint entry", key=stored.key, reason=reason
            )
        return None


def shorten(text: str) -> str:
    """Return a text, or its beginning if it has more than MAX_REASON_CHARS.

    >>> len(shorten("x" * 1_000_000)) <= MAX_REASON_CHARS
    True
    """
    if len(text) <= MAX_REASON_CHARS:
        return text
    return text[: MAX_REASON_CHARS - 3] + "..."
