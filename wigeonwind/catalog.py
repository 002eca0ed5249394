"""An accepted configuration as immutable data: services, classes, customers, limits."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from types import MappingProxyType


class TargetKind(Enum):
    """The latency that a target of a class bounds.

    `FIRST_TOKEN` and `WHOLE` are the times from the request to the first token and to
    the end of the answer, `BETWEEN_TOKENS` is the mean time between two tokens.
    """

    FIRST_TOKEN = "first-token"
    BETWEEN_TOKENS = "between-tokens"
    WHOLE = "whole"


class ServiceKind(Enum):
    """Type of the endpoints of a service: model engines or other HTTP servers."""

    MODEL = "model"
    PLAIN = "plain"


class BookingMode(Enum):
    """How a call with an idempotency key is run at most once.

    `CLAIM`: an entry claims the key in the store first. `ENDPOINT`: the endpoint itself
    detects repeated keys.
    """

    CLAIM = "claim"
    ENDPOINT = "endpoint"


@dataclass(frozen=True)
class LatencyTarget:
    """A latency target; `limit_ms` in milliseconds."""

    kind: TargetKind
    limit_ms: float


@dataclass(frozen=True)
class Limit:
    """Fleet-wide limits on admitted requests; None means unlimited."""

    requests_per_s: float | None = None
    tokens_per_s: float | None = None
    concurrency: int | None = None


NO_LIMIT = Limit()
"""A `Limit` without any bound."""


@dataclass(frozen=True)
class RequestClass:
    """One request class.

    `priority` 0 is the most urgent. `min_share` is the guaranteed share (0 to 1) of an
    endpoint's batch slots under overload. `max_wait_ms` bounds the time an admitted
    request may wait for its first slot. `finish_late` says whether a request that has
    started is finished after it has missed its target.
    """

    name: str
    priority: int
    target: LatencyTarget
    max_wait_ms: float
    min_share: float = 0.05
    limit: Limit = NO_LIMIT
    finish_late: bool = True


@dataclass(frozen=True)
class Customer:
    """One customer; `keys` are hexadecimal SHA-256 digests of its API keys."""

    name: str
    weight: float = 1.0
    limit: Limit = NO_LIMIT
    keys: tuple[str, ...] = ()
    classes: tuple[str, ...] = ()
    """Classes the customer may use; empty means all."""


@dataclass(frozen=True)
class Service:
    """One service that requests are routed to.

    `unrepeatable_methods` are the HTTP methods that must not be retried.
    `depends_on` names the services that this service calls.
    """

    name: str
    kind: ServiceKind
    models: tuple[str, ...] = ()
    default_class: str = ""
    classes: tuple[str, ...] = ()
    unrepeatable_methods: tuple[str, ...] = ("POST", "PUT", "PATCH", "DELETE")
    bookings: BookingMode = BookingMode.CLAIM
    depends_on: tuple[str, ...] = ()
    model_version: str = ""
    concurrency: int = 8
    """Maximum number of requests that one endpoint runs concurrently."""


def _empty_mapping() -> Mapping:
    return MappingProxyType({})


@dataclass(frozen=True)
class Catalog:
    """The content of one version of the configuration."""

    version: int
    service_by_name: Mapping[str, Service] = field(default_factory=_empty_mapping)
    class_by_name: Mapping[str, RequestClass] = field(default_factory=_empty_mapping)
    customer_by_name: Mapping[str, Customer] = field(default_factory=_empty_mapping)
    allow_anonymous: bool = False
    """Whether callers that send no name and no known key are served as `anonymous`."""
    default_limit: Limit = NO_LIMIT
    """Limits that apply to a customer where its section sets none."""
