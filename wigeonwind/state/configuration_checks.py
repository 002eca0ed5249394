"""Consistency checks across the sections of a configuration."""

from collections.abc import Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass

from wigeonwind.catalog import Customer, RequestClass, Service, ServiceKind
from wigeonwind.outcomes import Problem
from wigeonwind.state.configuration_schema import Defaults

SHARE_TOLERANCE = 1e-9
"""Tolerance for rounding: twenty shares of 5% add up to slightly more than 1."""


@dataclass(frozen=True)
class ParsedSections:
    """The parsed sections of a configuration before the consistency checks."""

    service_by_name: Mapping[str, Service]
    class_by_name: Mapping[str, RequestClass]
    customer_by_name: Mapping[str, Customer]
    defaults: Defaults


def check_services(parsed: ParsedSections) -> Iterator[Problem]:
    """Yield problems of services and classes; the caller sets their `line`."""
    if not parsed.service_by_name:
        yield Problem("", "", "", "at least one [service NAME]")
    for service in parsed.service_by_name.values():
        yield from _check_service(parsed, service)
    yield from _check_cycles(parsed.service_by_name)


def _check_service(parsed: ParsedSections, service: Service) -> Iterator[Problem]:
    section = f"service {service.name}"
    if not service.classes:
        yield Problem(section, "classes", "", "at least one class")
    for name in service.classes:
        if name not in parsed.class_by_name:
            yield Problem(section, "classes", name, _one_of(parsed.class_by_name))
    default = service.default_class
    if default and default not in service.classes:
        expected = "one of the classes of this service"
        yield Problem(section, "default_class", default, expected)
    if service.kind is ServiceKind.MODEL and not service.models:
        yield Problem(section, "models", "", "at least one model for kind = model")
    if service.kind is ServiceKind.PLAIN and service.models:
        models = ", ".join(service.models)
        yield Problem(section, "models", models, "no models for kind = plain")
    for name in service.depends_on:
        if name not in parsed.service_by_name:
            yield Problem(section, "depends_on", name, _one_of(parsed.service_by_name))
    yield from _check_shares(parsed, service)


def _one_of(names: Iterable[str]) -> str:
    listed = sorted(names)
    return "one of " + ", ".join(listed) if listed else "a name that has a section"


def _check_shares(parsed: ParsedSections, service: Service) -> Iterator[Problem]:
    """Yield a problem if the minimum shares of a service's classes exceed 100%."""
    classes = [parsed.class_by_name.get(name) for name in service.classes]
    shares = [item.min_share for item in classes if item is not None]
    if sum(shares) > 1 + SHARE_TOLERANCE:
        value = f"{100 * sum(shares):g}% in sum of min_share"
        expected = "at most 100%, so that every class gets its minimum share"
        yield Problem(f"service {service.name}", "classes", value, expected)


def _check_cycles(service_by_name: Mapping[str, Service]) -> Iterator[Problem]:
    """Yield each dependency cycle once, at its first service in the configuration."""
    reported: set[str] = set()
    for start in service_by_name:
        cycle = _find_cycle(service_by_name, start, reported)
        if cycle:
            path = " -> ".join(cycle)
            yield Problem(f"service {start}", "depends_on", path, "no cycle")
            reported.update(cycle)


def _find_cycle(
    service_by_name: Mapping[str, Service], start: str, reported: set[str]
) -> list[str]:
    """Return a path from `start` back to itself, or an empty list."""
    paths = [[start]]
    visited: set[str] = set()
    while paths:
        path = paths.pop()
        service = service_by_name.get(path[-1])
        for name in service.depends_on if service else ():
            if name == start:
                return [*path, name]
            if name not in visited and name not in reported:
                visited.add(name)
                paths.append([*path, name])
    return []


def check_customers(
    parsed: ParsedSections, customers: Iterable[Customer]
) -> Iterator[Problem]:
    """Yield problems of `customers`: their classes must exist and be served."""
    served = {n for s in parsed.service_by_name.values() for n in s.classes}
    known_classes = parsed.class_by_name.keys()
    valid_class_lists: set[tuple[str, ...]] = set()
    for customer in customers:
        # Customers with the same list of classes need only one check.
        if customer.classes in valid_class_lists:
            continue
        section = f"customer {customer.name}"
        unknown = [name for name in customer.classes if name not in known_classes]
        for name in unknown:
            yield Problem(section, "classes", name, _one_of(known_classes))
        if unknown:
            continue
        if customer.classes and served.isdisjoint(customer.classes):
            value = ", ".join(customer.classes)
            yield Problem(
                section, "classes", value, "at least one class that a service lists"
            )
        else:
            valid_class_lists.add(customer.classes)


def index_keys(
    old_customer_by_key: Mapping[str, str],
    old: Sequence[Customer],
    new: Sequence[Customer],
) -> tuple[Mapping[str, str], list[Problem]]:
    """Return the customer of each API key, and a problem for each duplicate key.

    `old` are the previous values of changed and removed customers, `new` the current
    values of changed and added ones.
    """
    if {c.name: c.keys for c in old} == {c.name: c.keys for c in new}:
        return old_customer_by_key, []
    customer_by_key = dict(old_customer_by_key)
    for customer in old:
        for key in customer.keys:
            customer_by_key.pop(key, None)
    problems = []
    for customer in new:
        for key in customer.keys:
            current_owner = customer_by_key.setdefault(key, customer.name)
            if current_owner != customer.name:
                expected = f"a unique key; customer {current_owner} has the same one"
                section = f"customer {customer.name}"
                problems.append(Problem(section, "keys", key, expected))
    return customer_by_key, problems
