"""Describes changes between two configurations in sentences for operators."""

from collections.abc import Iterator, Mapping
from typing import Any

from wigeonwind.catalog import (
    Catalog,
    Customer,
    LatencyTarget,
    Limit,
    RequestClass,
    Service,
)
from wigeonwind.state.configuration_schema import MS_BY_UNIT


def describe_changes(old: Catalog, new: Catalog) -> list[str]:
    """Return one sentence per difference; it names the service, class or customer."""
    return [
        *_service_changes(old, new),
        *_class_changes(old, new),
        *_customer_changes(old, new),
        *_default_changes(old, new),
    ]


def format_duration(ms: float) -> str:
    """Return a duration in the format of the configuration.

    >>> format_duration(1500.0), format_duration(120000.0)
    ('1500ms', '2m')
    """
    for unit in ("h", "m", "s"):
        if ms >= MS_BY_UNIT[unit] and ms % MS_BY_UNIT[unit] == 0:
            return f"{ms / MS_BY_UNIT[unit]:g}{unit}"
    return f"{ms:g}ms"


def _format(value: Any) -> str:
    if isinstance(value, bool):
        return "yes" if value else "no"
    if value is None:
        return "unlimited"
    if isinstance(value, tuple):
        return ", ".join(value) or "none"
    if isinstance(value, LatencyTarget):
        return f"{value.kind.value} {format_duration(value.limit_ms)}"
    if isinstance(value, float | int):
        return f"{value:g}"
    return str(getattr(value, "value", value)) or "none"


Row = tuple[str, Any, Any]
"""A key, its old value and its new value."""


def _sentences(subject: str, rows: list[Row]) -> Iterator[str]:
    for key, old, new in rows:
        if old != new:
            yield f"{subject}: {key} changes from {_format(old)} to {_format(new)}."


def _changed_items(
    old: Mapping[str, Any], new: Mapping[str, Any]
) -> Iterator[tuple[str, Any, Any]]:
    """Yield name, old and new item where they differ; None where there is no item."""
    for name, item in new.items():
        old_item = old.get(name)
        # Unchanged sections share their items, so the identity check is usually enough.
        if old_item is not item and old_item != item:
            yield name, old_item, item
    for name, item in old.items():
        if name not in new:
            yield name, item, None


def _service_changes(old: Catalog, new: Catalog) -> Iterator[str]:
    for name, old_item, new_item in _changed_items(
        old.service_by_name, new.service_by_name
    ):
        if old_item is None:
            classes = _format(new_item.classes)
            yield f"Service {name} is added with classes {classes}."
        elif new_item is None:
            yield f"Service {name} is removed; its callers will be refused."
        else:
            yield from _sentences(f"Service {name}", _service_rows(old_item, new_item))


def _service_rows(old: Service, new: Service) -> list[Row]:
    keys = (
        "kind",
        "models",
        "model_version",
        "classes",
        "default_class",
        "concurrency",
        "unrepeatable_methods",
        "bookings",
        "depends_on",
    )
    return _attribute_rows(keys, old, new)


def _attribute_rows(keys: tuple[str, ...], old: Any, new: Any) -> list[Row]:
    return [(key, getattr(old, key), getattr(new, key)) for key in keys]


def _limit_rows(old: Limit, new: Limit) -> list[Row]:
    return _attribute_rows(("requests_per_s", "tokens_per_s", "concurrency"), old, new)


def _services_phrase(catalog: Catalog, class_name: str) -> str:
    """Return a phrase with the services of a class, to be appended to its name."""
    names = [s.name for s in catalog.service_by_name.values()]
    names = [n for n in names if class_name in catalog.service_by_name[n].classes]
    return f" of {', '.join(names)}" if names else " (served nowhere)"


def _class_changes(old: Catalog, new: Catalog) -> Iterator[str]:
    for name, old_item, new_item in _changed_items(
        old.class_by_name, new.class_by_name
    ):
        subject = (
            f"Class {name}{_services_phrase(old if new_item is None else new, name)}"
        )
        if old_item is None:
            target = _format(new_item.target)
            yield f"{subject} is added: priority {new_item.priority}, target {target}."
        elif new_item is None:
            yield f"{subject} is removed; requests that name it will be refused."
        else:
            yield from _sentences(subject, _class_rows(old_item, new_item))


def _class_rows(old: RequestClass, new: RequestClass) -> list[Row]:
    def percent(item: RequestClass) -> str:
        return f"{100 * item.min_share:g}%"

    return [
        *_attribute_rows(("priority", "target"), old, new),
        (
            "max_wait",
            format_duration(old.max_wait_ms),
            format_duration(new.max_wait_ms),
        ),
        ("min_share", percent(old), percent(new)),
        *_attribute_rows(("finish_late",), old, new),
        *_limit_rows(old.limit, new.limit),
    ]


def _customer_changes(old: Catalog, new: Catalog) -> Iterator[str]:
    for name, old_item, new_item in _changed_items(
        old.customer_by_name, new.customer_by_name
    ):
        if old_item is None:
            yield f"Customer {name} is added and may use {_classes(new_item)}."
        elif new_item is None:
            yield f"Customer {name} is removed; its requests will be refused."
        else:
            yield from _sentences(
                f"Customer {name}", _customer_rows(old_item, new_item)
            )
            yield from _key_changes(old_item, new_item)


def _classes(customer: Customer) -> str:
    return _format(customer.classes) if customer.classes else "all classes"


def _customer_rows(old: Customer, new: Customer) -> list[Row]:
    return [
        *_attribute_rows(("weight",), old, new),
        ("classes", _classes(old), _classes(new)),
        *_limit_rows(old.limit, new.limit),
    ]


def _key_changes(old: Customer, new: Customer) -> Iterator[str]:
    """Yield the number of keys added and removed, without revealing the keys."""
    added = len(set(new.keys) - set(old.keys))
    removed = len(set(old.keys) - set(new.keys))
    if added:
        yield f"Customer {new.name}: {added} API key(s) added."
    if removed:
        yield f"Customer {new.name}: {removed} API key(s) removed."


def _default_changes(old: Catalog, new: Catalog) -> Iterator[str]:
    subject = "Customers without a limit of their own"
    yield from _sentences(subject, _limit_rows(old.default_limit, new.default_limit))
    if old.allow_anonymous != new.allow_anonymous:
        verb = "served" if new.allow_anonymous else "refused"
        yield f"Callers without a known key or customer name will be {verb}."
