"""The sections of a configuration text, without their meaning: split, join, digest.

A text is changed, compared and sent by section. The digest of a text is taken over
the digests of its sections, so that an edit of one section among 29,000 hashes only
that section and the list of digests.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from functools import cached_property
from hashlib import sha256

PREAMBLE = ""
"""Name under which the lines before the first section are kept."""

SECTION_DIGEST_BYTES = 16
"""Width of the digest of one section; 128 bits rule out an accidental match."""


@dataclass(frozen=True)
class Sections:
    """The sections of one text in their order; the source includes the header line."""

    source_by_name: Mapping[str, str]
    digest_by_name: Mapping[str, bytes]

    @cached_property
    def digest(self) -> str:
        """Return the digest of the whole text, 32 hexadecimal digits."""
        joined = b"".join(self.digest_by_name.values())
        return sha256(joined).hexdigest()[: 2 * SECTION_DIGEST_BYTES]

    @property
    def source(self) -> str:
        """Return the whole text."""
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
class Touched:
    """Names of the sections in which a text differs from its base.

    `changed` are new or have a new source, `added` are those of them that are new.
    """

    changed: tuple[str, ...]
    added: frozenset[str]
    removed: tuple[str, ...]


@dataclass(frozen=True)
class DuplicateSection:
    """A second section of one name, at 1-based `line`."""

    name: str
    line: int


@dataclass(frozen=True)
class SplitText:
    """A text cut into sections; sections repeated under one name are set apart."""

    sections: Sections
    duplicates: tuple[DuplicateSection, ...]


def section_digest(source: str) -> bytes:
    """Return the digest of the source of one section."""
    return sha256(source.encode()).digest()[:SECTION_DIGEST_BYTES]


def sections_of(
    source_by_name: Mapping[str, str], base: Sections | None = None
) -> Sections:
    """Return sections with their digests, taken from `base` where it has them."""
    if base is None:
        digests = {n: section_digest(s) for n, s in source_by_name.items()}
        return Sections(source_by_name, digests)
    old_source = base.source_by_name.get
    old_digest = base.digest_by_name
    digests = {
        name: old_digest[name] if old_source(name) == source else section_digest(source)
        for name, source in source_by_name.items()
    }
    return Sections(source_by_name, digests)


def replace_sections(
    base: Sections, source_by_name: Mapping[str, str], touched: Touched
) -> Sections:
    """Return sections that differ from `base` only where `touched` says so.

    Without additions, the cost is that of copying two dictionaries.
    """
    digests = dict(base.digest_by_name)
    for name in touched.removed:
        digests.pop(name, None)
    for name in touched.changed:
        digests[name] = section_digest(source_by_name[name])
    if touched.added:
        digests = {name: digests[name] for name in source_by_name}
    return Sections(source_by_name, digests)


def compare_sections(old: Sections, new: Sections) -> Touched:
    """Return the names of the sections in which `new` differs from `old`."""
    old_source = old.source_by_name
    changed = [
        name
        for name, source in new.source_by_name.items()
        if old_source.get(name) != source
    ]
    added = frozenset(name for name in changed if name not in old_source)
    removed = [name for name in old_source if name not in new.source_by_name]
    return Touched(tuple(changed), added, tuple(removed))


def merge_touched(steps: Iterable[Touched], now: Sections) -> Touched:
    """Return what differs between the base of the first step and `now`.

    A section that was removed and added again counts as added, in the order of `now`.
    """
    changed: dict[str, None] = {}
    added: set[str] = set()
    gone: dict[str, None] = {}
    for step in steps:
        changed.update(dict.fromkeys(step.changed))
        added |= step.added
        gone.update(dict.fromkeys(step.removed))
    names = [name for name in changed if name in now.source_by_name]
    added.intersection_update(names)
    if added:
        place = {name: i for i, name in enumerate(now.source_by_name)}
        names.sort(key=lambda name: place[name])
    removed = [name for name in gone if name in added or name not in now.source_by_name]
    return Touched(tuple(names), frozenset(added), tuple(removed))


def section_name(source: str) -> str:
    """Return the name in the header line of a section.

    >>> section_name("[service  a] ; note")
    'service a'
    """
    header = source.partition("\n")[0]
    return " ".join(header[1:].partition("]")[0].split())


def normalise(source: str) -> str:
    """Return the text with newline line ends and without a byte order mark."""
    if "\r" in source:
        source = source.replace("\r\n", "\n").replace("\r", "\n")
    source = source.removeprefix("\ufeff")
    return source if source.endswith("\n") or not source else source + "\n"


def split_text(source: str, base: Sections | None = None) -> SplitText:
    """Cut a text at the lines that begin with `[`; digests of `base` are reused."""
    source_by_name: dict[str, str] = {}
    duplicates: list[DuplicateSection] = []
    for piece in _pieces(normalise(source)):
        name = section_name(piece) if piece.startswith("[") else PREAMBLE
        if name in source_by_name:
            duplicates.append(DuplicateSection(name, 0))
        else:
            source_by_name[name] = piece
    if duplicates:
        duplicates = _duplicates_with_lines(source)
    return SplitText(sections_of(source_by_name, base), tuple(duplicates))


def _pieces(source: str) -> Iterable[str]:
    """Yield the preamble, if any, and each section."""
    first, *rest = ("\n" + source).split("\n[")
    if not rest:
        if source:
            yield source
        return
    if first:
        yield first[1:] + "\n"
    for piece in rest[:-1]:
        yield f"[{piece}\n"
    yield "[" + rest[-1]


def _duplicates_with_lines(source: str) -> list[DuplicateSection]:
    seen: set[str] = set()
    found = []
    for line, text in enumerate(normalise(source).splitlines(), 1):
        if not text.startswith("["):
            continue
        name = section_name(text)
        if name in seen:
            found.append(DuplicateSection(name, line))
        seen.add(name)
    return found
