"""The sections of a configuration text, without their meaning: split, join, digest.

A text is changed, compared and sent by section. Its digest combines a sum over the
digests of its sections with a digest of their order, so that an edit of one section
among 29,000 hashes only the old and the new source of that section.
"""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from functools import cached_property
from hashlib import sha256

PREAMBLE = ""
"""Name under which the lines before the first section are kept."""

DIGEST_DIGITS = 32
"""Hexadecimal digits of the digest; 128 bits rule out an accidental match."""

SUM_MODULUS = 2**256

MAX_LOCAL_EDIT_SHARE = 0.25
"""An edit within this share of a text is split apart from the rest of the text."""


@dataclass(frozen=True)
class Sections:
    """The sections of one text in their order; the source includes the header line.

    `content_sum` is the sum of the digests of all sections, `order_digest` that of
    the order of their names.
    """

    source_by_name: Mapping[str, str]
    content_sum: int
    order_digest: bytes

    @cached_property
    def digest(self) -> str:
        """Return the digest of the whole text, 32 hexadecimal digits."""
        content = self.content_sum.to_bytes(32, "big")
        return sha256(content + self.order_digest).hexdigest()[:DIGEST_DIGITS]

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
class SectionDelta:
    """Names of the sections in which a text differs from its base.

    `changed` are new or have a new source, `added` are those of them that are new.
    """

    changed: tuple[str, ...]
    added: frozenset[str]
    removed: tuple[str, ...]
    is_reordered: bool = False
    """Whether sections that both texts have stand in another order."""


@dataclass(frozen=True)
class DuplicateSection:
    """A second section of one name, at 1-based `line`."""

    name: str
    line: int


@dataclass(frozen=True)
class SplitConfiguration:
    """A text cut into sections; sections repeated under one name are set apart.

    `delta` says where it differs from the base, if there is one.
    """

    sections: Sections
    delta: SectionDelta
    duplicates: tuple[DuplicateSection, ...] = ()


def _section_number(source: str) -> int:
    """Return the digest of the source of one section as a number."""
    return int.from_bytes(sha256(source.encode()).digest(), "big")


def _order_digest(names: Iterable[str]) -> bytes:
    return sha256("\0".join(names).encode()).digest()


NO_SECTIONS = Sections({}, 0, _order_digest(()))


def build_sections(
    source_by_name: Mapping[str, str], base: Sections = NO_SECTIONS
) -> tuple[Sections, SectionDelta]:
    """Return sections and where they differ from `base`."""
    delta = compare_sections(base, source_by_name)
    return replace_sections(base, source_by_name, delta), delta


def replace_sections(
    base: Sections, source_by_name: Mapping[str, str], delta: SectionDelta
) -> Sections:
    """Return sections that differ from `base` only where `delta` says so."""
    old = base.source_by_name
    gone = [old[name] for name in (*delta.changed, *delta.removed) if name in old]
    total = base.content_sum
    total += sum(_section_number(source_by_name[name]) for name in delta.changed)
    total -= sum(_section_number(source) for source in gone)
    order = base.order_digest
    if delta.added or delta.removed or delta.is_reordered:
        order = _order_digest(source_by_name)
    return Sections(source_by_name, total % SUM_MODULUS, order)


def compare_sections(old: Sections, source_by_name: Mapping[str, str]) -> SectionDelta:
    """Return the names of the sections in which a text differs from `old`."""
    old_source = old.source_by_name
    changed = [
        name
        for name, source in source_by_name.items()
        if old_source.get(name) != source
    ]
    added = frozenset(name for name in changed if name not in old_source)
    removed = tuple(name for name in old_source if name not in source_by_name)
    kept_before = [name for name in old_source if name in source_by_name]
    kept_now = [name for name in source_by_name if name in old_source]
    return SectionDelta(tuple(changed), added, removed, kept_before != kept_now)


def merge_deltas(steps: Sequence[SectionDelta], now: Sections) -> SectionDelta:
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
    is_reordered = any(step.is_reordered for step in steps)
    return SectionDelta(tuple(names), frozenset(added), tuple(removed), is_reordered)


def section_name(source: str) -> str:
    """Return the name in the header line of a section.

    >>> section_name("[service  a] ; note")
    'service a'
    """
    header = source.partition("\n")[0]
    return " ".join(header[1:].partition("]")[0].split())


def normalise_source(source: str) -> str:
    """Return the text with newline line ends and without a byte order mark."""
    if "\r" in source:
        source = source.replace("\r\n", "\n").replace("\r", "\n")
    source = source.removeprefix("\ufeff")
    return source if source.endswith("\n") or not source else source + "\n"


def split_configuration(
    source: str, base: Sections = NO_SECTIONS
) -> SplitConfiguration:
    """Cut a text at the lines that begin with `[`, and compare it with `base`."""
    source = normalise_source(source)
    local = _split_local_edit(source, base)
    if local is not None:
        return local
    source_by_name: dict[str, str] = {}
    duplicates: tuple[DuplicateSection, ...] = ()
    for piece in _pieces(source):
        name = _piece_name(piece)
        if name in source_by_name:
            duplicates = (*duplicates, DuplicateSection(name, 0))
        else:
            source_by_name[name] = piece
    if duplicates:
        duplicates = tuple(_duplicates_with_lines(source))
    sections, delta = build_sections(source_by_name, base)
    return SplitConfiguration(sections, delta, duplicates)


def _split_local_edit(source: str, base: Sections) -> SplitConfiguration | None:
    """Cut only the part of a text that differs from `base`; None if that is large.

    Sections may change there, but neither come nor go.
    """
    old = base.source
    start = _common_prefix(old, source)
    start = old.rfind("\n[", 0, start) + 1
    tail = _common_suffix(old, source, start)
    # The common end is shortened so that it begins with a section.
    next_section = old.find("\n[", len(old) - tail)
    tail = len(old) - next_section - 1 if next_section >= 0 else 0
    old_middle = old[start : len(old) - tail]
    new_middle = source[start : len(source) - tail]
    if len(old_middle) > MAX_LOCAL_EDIT_SHARE * len(old):
        return None
    pieces = list(_pieces(new_middle))
    names = [_piece_name(piece) for piece in pieces]
    if names != [_piece_name(piece) for piece in _pieces(old_middle)]:
        return None
    if len(set(names)) < len(names):
        return None
    known = base.source_by_name
    edits = {n: p for n, p in zip(names, pieces, strict=True) if known.get(n) != p}
    delta = SectionDelta(tuple(edits), frozenset(), ())
    merged = {**known, **edits}
    return SplitConfiguration(replace_sections(base, merged, delta), delta)


def _common_prefix(left: str, right: str) -> int:
    """Return the length of the longest common prefix, by bisection."""
    low, high = 0, min(len(left), len(right))
    while low < high:
        middle = (low + high + 1) // 2
        if left[low:middle] == right[low:middle]:
            low = middle
        else:
            high = middle - 1
    return low


def _common_suffix(left: str, right: str, start: int) -> int:
    """Return the length of the longest common suffix that begins after `start`."""
    low, high = 0, min(len(left), len(right)) - start
    while low < high:
        middle = (low + high + 1) // 2
        left_part = left[len(left) - middle : len(left) - low]
        if left_part == right[len(right) - middle : len(right) - low]:
            low = middle
        else:
            high = middle - 1
    return low


def _piece_name(piece: str) -> str:
    return section_name(piece) if piece.startswith("[") else PREAMBLE


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
    for line, text in enumerate(source.split("\n"), 1):
        if not text.startswith("["):
            continue
        name = section_name(text)
        if name in seen:
            found.append(DuplicateSection(name, line))
        seen.add(name)
    return found
