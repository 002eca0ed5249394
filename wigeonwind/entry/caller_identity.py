"""Identification of callers and selection of the request class."""

import hashlib
import hmac
from collections.abc import Mapping
from collections.abc import Set as AbstractSet
from dataclasses import dataclass

from wigeonwind.catalog import Catalog, Customer, RequestClass, Service, ServiceKind
from wigeonwind.entry.replies import refusal
from wigeonwind.outcomes import ErrorCode, Failure, Ok

ANONYMOUS = "anonymous"
"""Customer name of callers without key or name, if the configuration allows them."""

BEARER = "bearer "

DIGEST_PREFIX_LENGTH = 16
"""Number of leading hexadecimal digits of a key's digest by which keys are indexed.

The time of a lookup may depend on this prefix, which reveals nothing about the key
because it is part of a hash. The complete digest is compared in constant time.
"""

REBUILD_FACTOR = 8
REBUILD_MARGIN = 1000
"""The index is rebuilt after 8 keys per customer plus 1,000 have been added to it,
which takes months at 3,300 changes per day.
"""

NO_NAMES: frozenset[str] = frozenset()


class KeyIndex:
    """Maps key digests to customer names for all catalog versions of an entry.

    One index is updated in place, because building it for 29,000 customers takes longer
    than the time between two tokens of a stream. A name stays in it after the keys of
    the customer have changed, so a lookup must compare the key with the catalog of the
    request. `keys_added` counts the keys added since the index was last rebuilt.
    """

    def __init__(self) -> None:
        self._names_by_prefix: dict[str, set[str]] = {}
        self._customer_by_name: Mapping[str, Customer] = {}
        self.keys_added = 0

    def update(self, customer_by_name: Mapping[str, Customer]) -> None:
        """Add the keys of customers whose objects differ from the previous catalog."""
        previous = self._customer_by_name
        self._customer_by_name = customer_by_name
        for name, customer in customer_by_name.items():
            if previous.get(name) is not customer:
                self._add_keys(customer)
        if self.keys_added > REBUILD_FACTOR * len(customer_by_name) + REBUILD_MARGIN:
            self._rebuild()

    def names(self, digest: str) -> AbstractSet[str]:
        """Return the names of customers that may have a key with this digest."""
        return self._names_by_prefix.get(digest[:DIGEST_PREFIX_LENGTH], NO_NAMES)

    def _add_keys(self, customer: Customer) -> None:
        for digest in customer.keys:
            prefix = digest.lower()[:DIGEST_PREFIX_LENGTH]
            # The set grows in place: copying it took 17 s when 29,000 test digests
            # shared one prefix.
            self._names_by_prefix.setdefault(prefix, set()).add(customer.name)
            self.keys_added += 1

    def _rebuild(self) -> None:
        """Drop names that only older catalogs need, which admit no more requests."""
        self._names_by_prefix = {}
        self.keys_added = 0
        for customer in self._customer_by_name.values():
            self._add_keys(customer)


class CustomerDirectory:
    """Lookup of a catalog's customers by API key and of its services by model."""

    def __init__(self, catalog: Catalog, index: KeyIndex) -> None:
        self.catalog = catalog
        self.service_by_model = _service_by_model(catalog)
        self._index = index

    def customer_for_key(self, key: str) -> Customer | None:
        """Return the customer that has this API key, None if there is none."""
        digest = hashlib.sha256(key.encode("latin-1", "replace")).hexdigest()
        found = None
        for name in self._index.names(digest):
            customer = self.catalog.customer_by_name.get(name)
            for stored_digest in customer.keys if customer else ():
                if hmac.compare_digest(stored_digest.lower(), digest):
                    found = customer
        return found


def _service_by_model(catalog: Catalog) -> dict[str, Service]:
    found: dict[str, Service] = {}
    for service in catalog.service_by_name.values():
        if service.kind is ServiceKind.MODEL:
            for model in service.models:
                found.setdefault(model, service)
    return found


@dataclass(frozen=True)
class Caller:
    """The sender of a request.

    An anonymous caller has the name ANONYMOUS and None as `customer`.
    """

    name: str
    customer: Customer | None


def identify(
    directory: CustomerDirectory, headers: Mapping[str, str]
) -> Ok[Caller] | Failure:
    """Identify the customer; the names in `headers` are lower case.

    A caller is identified by its API key, otherwise by X-Customer if that customer has
    no keys. A caller without either is anonymous if the catalog allows it. Error
    messages never contain the key.
    """
    authorization = headers.get("authorization", "")
    if authorization[: len(BEARER)].lower() == BEARER:
        return _identify_by_key(
            directory, authorization[len(BEARER) :].strip(), headers
        )
    name = headers.get("x-customer", "")
    if name:
        return _identify_by_name(directory, name)
    if directory.catalog.allow_anonymous:
        return Ok(Caller(ANONYMOUS, None))
    message = "no API key (Authorization: Bearer KEY) and no X-Customer header"
    return refusal(ErrorCode.UNAUTHORIZED, message)


def _identify_by_key(
    directory: CustomerDirectory, key: str, headers: Mapping[str, str]
) -> Ok[Caller] | Failure:
    customer = directory.customer_for_key(key)
    if customer is not None:
        return Ok(Caller(customer.name, customer))
    name = headers.get("x-customer", "")
    if name and not _has_keys(directory, name):
        return _identify_by_name(directory, name)
    if directory.catalog.allow_anonymous and not name:
        return Ok(Caller(ANONYMOUS, None))
    return refusal(ErrorCode.UNAUTHORIZED, "unknown API key")


def _has_keys(directory: CustomerDirectory, name: str) -> bool:
    customer = directory.catalog.customer_by_name.get(name)
    return customer is not None and bool(customer.keys)


def _identify_by_name(directory: CustomerDirectory, name: str) -> Ok[Caller] | Failure:
    customer = directory.catalog.customer_by_name.get(name)
    if customer is None:
        return refusal(ErrorCode.UNKNOWN_CUSTOMER, "unknown customer in X-Customer")
    if customer.keys:
        message = "this customer must send its API key (Authorization: Bearer KEY)"
        return refusal(ErrorCode.UNAUTHORIZED, message)
    return Ok(Caller(customer.name, customer))


def choose_class(
    catalog: Catalog, service: Service, caller: Caller, requested: str
) -> Ok[RequestClass] | Failure:
    """Return the class named by `requested`, or the service's default if empty."""
    name = requested or service.default_class
    request_class = catalog.class_by_name.get(name)
    if request_class is None:
        return refusal(ErrorCode.UNKNOWN_CLASS, f"unknown request class {name!r}")
    if name not in service.classes:
        message = f"service {service.name!r} does not serve class {name!r}"
        return refusal(ErrorCode.UNKNOWN_CLASS, message)
    customer = caller.customer
    if customer is not None and customer.classes and name not in customer.classes:
        message = f"customer {customer.name!r} may not use class {name!r}"
        return refusal(ErrorCode.UNKNOWN_CLASS, message, http_status=403)
    return Ok(request_class)
