"""Checks between the sections of a configuration text."""

from collections.abc import Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass

from wigeonwind.catalog import Customer, RequestClass, Service, ServiceKind
from wigeonwind.outcomes import Problem
from wigeonwind.state.configuration_schema import Defaults

SHARE_TOLERANCE = 1e-9
"""Twenty shares of 5% add up to slightly more than 1 in floating point."""


@dataclass(frozen=True)
class Content:
    """What the sections of one text say, before it is known to hold together."""

    service_by_name: Mapping[str, Service]
    class_by_name: Mapping[str, RequestClass]
    customer_by_name: Mapping[str, Customer]
    defaults: Defaults


def check_services(content: Content) -> Iterator[Problem]:
    """Yield mistakes of services and classes; `line` is left to the caller."""
    if not content.service_by_name:
        yield Problem("", "", "", "at least one [service NAME]")
    for service in content.service_by_name.values():
        yield from _check_service(content, service)
    yield from _check_cycles(content.service_by_name)


def _check_service(content: Content, service: Service) -> Iterator[Problem]:
    section = f"service {service.name}"
    if not service.classes:
        yield Problem(section, "classes", "", "at least one class")
    for name in service.classes:
        if name not in content.class_by_name:
            yield Problem(section, "classes", name, _known(content.class_by_name))
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
        if name not in content.service_by_name:
            yield Problem(section, "depends_on", name, _known(content.service_by_name))
    yield from _check_shares(content, service)


def _known(names: Iterable[str]) -> str:
    listed = sorted(names)
    return "one of " + ", ".join(listed) if listed else "a name that has a section"


def _check_shares(content: Content, service: Service) -> Iterator[Problem]:
    """Yield a problem if the minimum shares of a service's classes exceed 100%."""
    classes = [content.class_by_name.get(name) for name in service.classes]
    shares = [item.min_share for item in classes if item is not None]
    if sum(shares) > 1 + SHARE_TOLERANCE:
        value = f"{100 * sum(shares):g}% in sum of min_share"
        expected = "at most 100%, so that every class gets its minimum share"
        yield Problem(f"service {service.name}", "classes", value, expected)


def _check_cycles(service_by_name: Mapping[str, Service]) -> Iterator[Problem]:
    """Yield each cycle of dependencies once, at its first service in the text."""
    done: set[str] = set()
    for start in service_by_name:
        cycle = _find_cycle(service_by_name, start, done)
        if cycle:
            path = " -> ".join(cycle)
            yield Problem(f"service {start}", "depends_on", path, "no cycle")
            done.update(cycle)


def _find_cycle(
    service_by_name: Mapping[str, Service], start: str, done: set[str]
) -> list[str]:
    """Return a path from `start` back to itself, or nothing."""
    paths = [[start]]
    seen: set[str] = set()
    while paths:
        path = paths.pop()
        service = service_by_name.get(path[-1])
        for name in service.depends_on if service else ():
            if name == start:
                return [*path, name]
            if name not in seen and name not in done:
                seen.add(name)
                paths.append([*path, name])
    return []


def check_customers(
    content: Content, customers: Iterable[Customer]
) -> Iterator[Problem]:
    """Yield mistakes of `customers`, whose classes must exist and be served."""
    served = {n for s in content.service_by_name.values() for n in s.classes}
    known = content.class_by_name.keys()
    good: set[tuple[str, ...]] = set()
    for customer in customers:
        if customer.classes in good:
            continue
        section = f"customer {customer.name}"
        unknown = [name for name in customer.classes if name not in known]
        for name in unknown:
            yield Problem(section, "classes", name, _known(known))
        if unknown:
            continue
        if customer.classes and served.isdisjoint(customer.classes):
            value = ", ".join(customer.classes)
            yield Problem(
                section, "classes", value, "at least one class that a service lists"
            )
        else:
            good.add(customer.classes)


def index_keys(
    old_customer_by_key: Mapping[str, str],
    old: Sequence[Customer],
    new: Sequence[Customer],
) -> tuple[Mapping[str, str], list[Problem]]:
    """Return the customer of each API key, and the keys that two customers have.

    `old` are the previous states of customers that changed or are gone, `new` the
    present states of those that changed.
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
            owner = customer_by_key.setdefault(key, customer.name)
            if owner != customer.name:
                expected = f"a key of its own; customer {owner} has this one"
                section = f"customer {customer.name}"
                problems.append(Problem(section, "keys", key, expected))
    return customer_by_key, problems
