"""Splits, compares and digests a configuration by section, without parsing it.

A configuration is changed, compared and sent by section. Its digest combines a sum over
the digests of its sections with a digest of their order, so an edit of one section out
of 29,000 hashes only the old and the new source of that section.
"""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from functools import cached_property
from hashlib import sha256

PREAMBLE = ""
"""Section name of the lines before the first section header."""

DIGEST_DIGITS = 32
"""Hexadecimal digits of the digest; 128 bits rule out accidental collisions."""

SUM_MODULUS = 2**256
"""Modulus of the sum of section digests, which have 256 bits each."""

MAX_LOCAL_EDIT_SHARE = 0.25
"""An edit that changes at most this share of a source is split without the rest."""


@dataclass(frozen=True)
class Sections:
    """The sections of a configuration in order; a source includes the header line.

    `content_sum` is the sum of the digests of all sections modulo SUM_MODULUS,
    `order_digest` the digest of the sequence of their names.
    """

    source_by_name: Mapping[str, str]
    content_sum: int
    order_digest: bytes

    @cached_property
    def digest(self) -> str:
        """Return the digest of the configuration, 32 hexadecimal digits."""
        content = self.content_sum.to_bytes(32, "big")
        return sha256(content + self.order_digest).hexdigest()[:DIGEST_DIGITS]

    @property
    def source(self) -> str:
        """Return the source of the configuration."""
        return "".join(self.source_by_name.values())

    def start_line(self, name: str) -> int:
        """Return the 1-based line of the header of section `name`."""
        line = 1
        for other, source in self.source_by_name.items():
            if other == name:
                return line
            line += source.count("\n")
        return line


@dataclass(frozen=True)
class SectionDelta:
    """Names of the sections in which a configuration differs from its base.

    `changed` are new or have a new source, `added` is the subset that is new.
    """

    changed: tuple[str, ...]
    added: frozenset[str]
    removed: tuple[str, ...]
    is_reordered: bool = False
    """Whether the sections present in both configurations are in another order."""


@dataclass(frozen=True)
class DuplicateSection:
    """A section whose name was used before, at 1-based `line`."""

    name: str
    line: int


@dataclass(frozen=True)
class SplitConfiguration:
    """A source split into sections; sections with a repeated name are in `duplicates`.

    `delta` names the sections that differ from those of the base.
    """

    sections: Sections
    delta: SectionDelta
    duplicates: tuple[DuplicateSection, ...] = ()


def _section_hash(source: str) -> int:
    """Return the digest of the source of one section as a number."""
    return int.from_bytes(sha256(source.encode()).digest(), "big")


def _order_digest(names: Iterable[str]) -> bytes:
    return sha256("\0".join(names).encode()).digest()


NO_SECTIONS = Sections({}, 0, _order_digest(()))


def build_sections(
    source_by_name: Mapping[str, str], base: Sections = NO_SECTIONS
) -> tuple[Sections, SectionDelta]:
    """Return the sections and their difference from `base`."""
    delta = compare_sections(base, source_by_name)
    return replace_sections(base, source_by_name, delta), delta


def replace_sections(
    base: Sections, source_by_name: Mapping[str, str], delta: SectionDelta
) -> Sections:
    """Return sections that differ from `base` only in those that `delta` names."""
    old = base.source_by_name
    replaced_sources = [
        old[name] for name in (*delta.changed, *delta.removed) if name in old
    ]
    total = base.content_sum
    total += sum(_section_hash(source_by_name[name]) for name in delta.changed)
    total -= sum(_section_hash(source) for source in replaced_sources)
    order = base.order_digest
    if delta.added or delta.removed or delta.is_reordered:
        order = _order_digest(source_by_name)
    return Sections(source_by_name, total % SUM_MODULUS, order)


def compare_sections(old: Sections, source_by_name: Mapping[str, str]) -> SectionDelta:
    """Return the names of the sections that differ from those of `old`."""
    old_source = old.source_by_name
    changed = [
        name
        for name, source in source_by_name.items()
        if old_source.get(name) != source
    ]
    added = frozenset(name for name in changed if name not in old_source)
    removed = tuple(name for name in old_source if name not in source_by_name)
    kept_in_old = [name for name in old_source if name in source_by_name]
    kept_in_new = [name for name in source_by_name if name in old_source]
    return SectionDelta(tuple(changed), added, removed, kept_in_old != kept_in_new)


def merge_deltas(deltas: Sequence[SectionDelta], current: Sections) -> SectionDelta:
    """Return the difference between the base of the first delta and `current`.

    A section that was removed and added again counts as both; additions are in the
    order of `current`.
    """
    changed: dict[str, None] = {}
    added: set[str] = set()
    removed_names: dict[str, None] = {}
    for step_delta in deltas:
        changed.update(dict.fromkeys(step_delta.changed))
        added |= step_delta.added
        removed_names.update(dict.fromkeys(step_delta.removed))
    names = [name for name in changed if name in current.source_by_name]
    added.intersection_update(names)
    if added:
        position = {name: i for i, name in enumerate(current.source_by_name)}
        names.sort(key=lambda name: position[name])
    removed = [
        name
        for name in removed_names
        if name in added or name not in current.source_by_name
    ]
    is_reordered = any(step_delta.is_reordered for step_delta in deltas)
    return SectionDelta(tuple(names), frozenset(added), tuple(removed), is_reordered)


def section_name(source: str) -> str:
    """Return the name in the header line of a section.

    >>> section_name("[service  a] ; note")
    'service a'
    """
    header = source.partition("\n")[0]
    return " ".join(header[1:].partition("]")[0].split())


def normalise_source(source: str) -> str:
    r"""Return the source with \n line ends and without a byte order mark."""
    if "\r" in source:
        source = source.replace("\r\n", "\n").replace("\r", "\n")
    source = source.removeprefix("\ufeff")
    return source if source.endswith("\n") or not source else source + "\n"


def split_configuration(
    source: str, base: Sections = NO_SECTIONS
) -> SplitConfiguration:
    """Split a source at the lines that begin with `[` and compare it with `base`."""
    source = normalise_source(source)
    local_edit = _split_local_edit(source, base)
    if local_edit is not None:
        return local_edit
    source_by_name: dict[str, str] = {}
    duplicates: tuple[DuplicateSection, ...] = ()
    for section_source in _section_sources(source):
        name = _source_name(section_source)
        if name in source_by_name:
            duplicates = (*duplicates, DuplicateSection(name, 0))
        else:
            source_by_name[name] = section_source
    if duplicates:
        duplicates = tuple(_duplicates_with_lines(source))
    sections, delta = build_sections(source_by_name, base)
    return SplitConfiguration(sections, delta, duplicates)


def _split_local_edit(source: str, base: Sections) -> SplitConfiguration | None:
    """Split only the range that differs from `base`; None if that is not possible.

    The range must be small, and sections in it may change but not be added, removed or
    renamed.
    """
    old = base.source
    start = _common_prefix(old, source)
    start = old.rfind("\n[", 0, start) + 1
    suffix = _common_suffix(old, source, start)
    # Shorten the common suffix so that it begins with a section header.
    next_section = old.find("\n[", len(old) - suffix)
    suffix = len(old) - next_section - 1 if next_section >= 0 else 0
    old_middle = old[start : len(old) - suffix]
    new_middle = source[start : len(source) - suffix]
    if len(old_middle) > MAX_LOCAL_EDIT_SHARE * len(old):
        return None
    section_sources = list(_section_sources(new_middle))
    names = [_source_name(section_source) for section_source in section_sources]
    if names != [
        _source_name(section_source) for section_source in _section_sources(old_middle)
    ]:
        return None
    if len(set(names)) < len(names):
        return None
    old_sources = base.source_by_name
    edits = {
        name: section_source
        for name, section_source in zip(names, section_sources, strict=True)
        if old_sources.get(name) != section_source
    }
    delta = SectionDelta(tuple(edits), frozenset(), ())
    merged = {**old_sources, **edits}
    return SplitConfiguration(replace_sections(base, merged, delta), delta)


def _common_prefix(left: str, right: str) -> int:
    """Return the length of the longest common prefix, found by bisection."""
    low, high = 0, min(len(left), len(right))
    while low < high:
        middle = (low + high + 1) // 2
        if left[low:middle] == right[low:middle]:
            low = middle
        else:
            high = middle - 1
    return low


def _common_suffix(left: str, right: str, start: int) -> int:
    """Return the length of the longest common suffix of the strings from `start` on."""
    low, high = 0, min(len(left), len(right)) - start
    while low < high:
        middle = (low + high + 1) // 2
        left_segment = left[len(left) - middle : len(left) - low]
        if left_segment == right[len(right) - middle : len(right) - low]:
            low = middle
        else:
            high = middle - 1
    return low


def _source_name(section_source: str) -> str:
    return section_name(section_source) if section_source.startswith("[") else PREAMBLE


def _section_sources(source: str) -> Iterable[str]:
    """Yield the source of the preamble, if any, and of each section."""
    first, *rest = ("\n" + source).split("\n[")
    if not rest:
        if source:
            yield source
        return
    if first:
        yield first[1:] + "\n"
    for section_source in rest[:-1]:
        yield f"[{section_source}\n"
    yield "[" + rest[-1]


def _duplicates_with_lines(source: str) -> list[DuplicateSection]:
    seen: set[str] = set()
    found = []
    for line, text in enumerate(source.split("\n"), 1):
        if not text.startswith("["):
            continue
        name = section_name(text)
        if name in seen:
            found.append(DuplicateSection(name, line))
        seen.add(name)
    return found
