"""Parses and checks a configuration, completely or only its changed sections.

A source is the INI text of a configuration or of one of its sections.
"""

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, replace
from types import MappingProxyType
from typing import Any, TypeVar

from wigeonwind.catalog import Catalog, Customer
from wigeonwind.outcomes import Invalid, Ok, Problem
from wigeonwind.state.configuration_checks import (
    ParsedSections,
    check_customers,
    check_services,
    index_keys,
)
from wigeonwind.state.configuration_chunks import MAX_CHUNK_CHARS
from wigeonwind.state.configuration_schema import (
    Defaults,
    SectionReader,
    SectionValue,
    line_of_key,
)
from wigeonwind.state.configuration_sections import (
    NO_SECTIONS,
    PREAMBLE,
    SectionDelta,
    Sections,
    SplitConfiguration,
    split_configuration,
)

T = TypeVar("T")

MAX_CONFIGURATION_CHARS = 16_000_000
"""Largest source that is parsed; one for 29,000 customers has about 6 MB."""


@dataclass(frozen=True)
class Configuration:
    """One version of the configuration that has passed all checks.

    `customer_by_key` maps the digest of an API key to the name of its customer. `delta`
    names the sections that differ from the configuration it was built from.
    """

    version: int
    sections: Sections
    catalog: Catalog
    customer_by_key: Mapping[str, str]
    delta: SectionDelta

    @property
    def digest(self) -> str:
        """Return the digest of all sections."""
        return self.sections.digest

    @property
    def source(self) -> str:
        """Return the source of all sections."""
        return self.sections.source


def parse_catalog(source: str, version: int) -> Ok[Catalog] | Invalid:
    r"""Return the catalog of a source, or all its problems with 1-based line numbers.

    >>> result = parse_catalog("[service a]\nkind = model\nmodles = b\n", 1)
    >>> [problem.line for problem in result.problems]
    [3]
    """
    result = parse_configuration(source, version)
    return result if isinstance(result, Invalid) else Ok(result.value.catalog)


def parse_configuration(
    source: str, version: int, base: Configuration | None = None
) -> Ok[Configuration] | Invalid:
    """Parse and check a source; sections equal to those of `base` are not reparsed."""
    if len(source) > MAX_CONFIGURATION_CHARS:
        size = f"{len(source)} characters"
        return Invalid((Problem("", "", size, f"at most {MAX_CONFIGURATION_CHARS}"),))
    split = split_configuration(source, base.sections if base else NO_SECTIONS)
    result = build_configuration(split.sections, version, base, split.delta)
    return _with_duplicates(split, result) if split.duplicates else result


def _with_duplicates(
    split: SplitConfiguration, result: Ok[Configuration] | Invalid
) -> Invalid:
    problems = result.problems if isinstance(result, Invalid) else ()
    duplicates = [
        Problem(duplicate.name, "", "", "each section only once", duplicate.line)
        for duplicate in split.duplicates
    ]
    return Invalid(tuple(sorted([*problems, *duplicates], key=lambda p: p.line)))


def build_configuration(
    sections: Sections,
    version: int,
    base: Configuration | None,
    delta: SectionDelta,
) -> Ok[Configuration] | Invalid:
    """Check sections and return the configuration.

    Only the sections that `delta` names are parsed; the others are taken from `base`.
    """
    problems: list[Problem] = []
    values = _read_sections(sections, delta.changed, problems)
    parsed = _merge_parsed(base, values, delta.removed)
    if problems:
        # The checks below would report names of unparsed sections as unknown.
        return Invalid(tuple(_with_source_lines(problems, sections)))
    previous_customers = _previous_customers(base, delta)
    new_customers = [v for v in values.values() if isinstance(v, Customer)]
    keys, key_problems = index_keys(
        base.customer_by_key if base else {}, previous_customers, new_customers
    )
    problems += key_problems
    problems += _cross_section_problems(parsed, new_customers, delta)
    if problems:
        return Invalid(tuple(_with_source_lines(problems, sections)))
    return Ok(Configuration(version, sections, _catalog(parsed, version), keys, delta))


def _read_sections(
    sections: Sections, names: Iterable[str], problems: list[Problem]
) -> dict[str, SectionValue]:
    """Return the value of each named section; append its problems to `problems`."""
    values: dict[str, SectionValue] = {}
    reader = SectionReader()
    for name in names:
        source = sections.source_by_name[name]
        if len(source) > MAX_CHUNK_CHARS:
            size = f"{len(source)} characters"
            problems.append(Problem(name, "", size, f"at most {MAX_CHUNK_CHARS}", 1))
            continue
        if name == PREAMBLE:
            problems += _preamble_problems(source)
            continue
        result = reader.read(name, source)
        if isinstance(result, Invalid):
            problems += result.problems
        else:
            values[name] = result.value
    return values


def _preamble_problems(source: str) -> Iterator[Problem]:
    for line, text in enumerate(source.splitlines(), 1):
        if text.strip() and text.strip()[0] not in "#;":
            yield Problem(PREAMBLE, "", text, "a section before the first key", line)


def _merge_parsed(
    base: Configuration | None,
    values: Mapping[str, SectionValue],
    removed: Iterable[str],
) -> ParsedSections:
    """Return the content of `base` with `values` set and the `removed` deleted."""
    catalog = base.catalog if base else Catalog(0)
    # Copying 29,000 customers costs more than parsing one, so copy only if needed.
    kinds = {name.partition(" ")[0] for name in (*values, *removed)}
    map_by_kind: dict[str, Any] = {
        "service": catalog.service_by_name,
        "class": catalog.class_by_name,
        "customer": catalog.customer_by_name,
        "defaults": {"": Defaults(catalog.allow_anonymous, catalog.default_limit)},
    }
    for kind in kinds & map_by_kind.keys():
        map_by_kind[kind] = map_by_kind[kind].copy()
    for name in removed:
        kind, _, item = name.partition(" ")
        map_by_kind.get(kind, {}).pop(item, None)
    for name, value in values.items():
        kind, _, item = name.partition(" ")
        map_by_kind[kind][item] = value
    defaults = map_by_kind["defaults"].get("", Defaults())
    return ParsedSections(
        map_by_kind["service"], map_by_kind["class"], map_by_kind["customer"], defaults
    )


def _previous_customers(
    base: Configuration | None, delta: SectionDelta
) -> list[Customer]:
    """Return the customers of `base` whose sections `delta` changes or removes."""
    base_customers = base.catalog.customer_by_name if base else {}
    names = [*delta.changed, *delta.removed]
    items = [name.removeprefix("customer ") for name in names]
    return [base_customers[item] for item in items if item in base_customers]


def _cross_section_problems(
    parsed: ParsedSections, changed_customers: Iterable[Customer], delta: SectionDelta
) -> Iterator[Problem]:
    """Yield cross-section problems.

    If only customer sections differ, services and unchanged customers are not checked.
    """
    names = [*delta.changed, *delta.removed]
    if all(name.startswith("customer ") for name in names):
        yield from check_customers(parsed, changed_customers)
        return
    yield from check_services(parsed)
    yield from check_customers(parsed, parsed.customer_by_name.values())


def _with_source_lines(
    problems: Iterable[Problem], sections: Sections
) -> list[Problem]:
    """Return problems with line numbers relative to the whole source."""
    located = []
    for problem in problems:
        source = sections.source_by_name.get(problem.section, "")
        line = problem.line or line_of_key(source, problem.key)
        name = problem.section
        if name in sections.source_by_name:
            line += sections.start_line(name) - 1
        located.append(replace(problem, line=line))
    return sorted(located, key=lambda problem: problem.line)


def _catalog(parsed: ParsedSections, version: int) -> Catalog:
    return Catalog(
        version=version,
        service_by_name=_frozen(parsed.service_by_name),
        class_by_name=_frozen(parsed.class_by_name),
        customer_by_name=_frozen(parsed.customer_by_name),
        allow_anonymous=parsed.defaults.allow_anonymous,
        default_limit=parsed.defaults.limit,
    )


def _frozen(items: Mapping[str, T]) -> Mapping[str, T]:
    return (
        items if isinstance(items, MappingProxyType) else MappingProxyType(items)  # type: ignore[arg-type]
    )
