"""What an accepted text says, as frozen data: services, classes, customers, limits."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from types import MappingProxyType


class TargetKind(Enum):
    """Which latency a class promises."""

    FIRST_TOKEN = "first-token"
    BETWEEN_TOKENS = "between-tokens"
    WHOLE = "whole"


class ServiceKind(Enum):
    """What stands behind a service."""

    MODEL = "model"
    PLAIN = "plain"


class BookingMode(Enum):
    """Who makes sure that a call with an idempotency key runs at most once."""

    CLAIM = "claim"
    ENDPOINT = "endpoint"


@dataclass(frozen=True)
class LatencyTarget:
    """A latency target; `limit_ms` in milliseconds."""

    kind: TargetKind
    limit_ms: float


@dataclass(frozen=True)
class Limit:
    """Limits on admitted work, fleet-wide; None means unlimited."""

    requests_per_s: float | None = None
    tokens_per_s: float | None = None
    concurrency: int | None = None


NO_LIMIT = Limit()
"""The limit that limits nothing."""


@dataclass(frozen=True)
class RequestClass:
    """One request class.

    `priority` 0 is the most urgent. `min_share` is the share of an endpoint's batch
    slots (0 to 1) that the class keeps in a rush. `max_wait_ms` bounds the time an
    admitted request may wait for its first slot. `finish_late` says whether work that
    has begun is finished after its target is lost.
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
    """One service that the system routes to.

    `unrepeatable_methods` are the HTTP methods whose calls may not be repeated.
    `depends_on` names services that this one needs.
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
    """Requests that one endpoint runs at a time."""


def _frozen_map() -> Mapping:
    return MappingProxyType({})


@dataclass(frozen=True)
class Catalog:
    """Everything one version of the text says."""

    version: int
    service_by_name: Mapping[str, Service] = field(default_factory=_frozen_map)
    class_by_name: Mapping[str, RequestClass] = field(default_factory=_frozen_map)
    customer_by_name: Mapping[str, Customer] = field(default_factory=_frozen_map)
    allow_anonymous: bool = False
    """Whether a caller without key or known name is served as customer `anonymous`."""
    default_limit: Limit = NO_LIMIT
