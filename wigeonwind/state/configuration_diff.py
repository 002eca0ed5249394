"""Changes between two texts: by section for the wire, in sentences for operators."""

from dataclasses import dataclass

from wigeonwind.state.configuration_descriptions import describe_changes
from wigeonwind.state.configuration_sections import (
    SectionDelta,
    Sections,
    compare_sections,
    replace_sections,
)

__all__ = [
    "SectionChange",
    "SectionEdit",
    "apply_change",
    "change_from_delta",
    "describe_changes",
    "diff_sections",
]

FIRST = "\0"
"""Stands for the place before the first section."""


@dataclass(frozen=True)
class SectionEdit:
    """A new source of one section; `after` names its predecessor if it is added."""

    name: str
    source: str
    after: str | None = None


@dataclass(frozen=True)
class SectionChange:
    """What turns one set of sections into another; `digest` is that of the result."""

    edits: tuple[SectionEdit, ...]
    removed: tuple[str, ...]
    digest: str


def diff_sections(old: Sections, new: Sections) -> SectionChange:
    """Return the change from `old` to `new`; the order of kept sections must agree."""
    return change_from_delta(new, compare_sections(old, new.source_by_name))


def change_from_delta(new: Sections, delta: SectionDelta) -> SectionChange:
    """Return a change that carries the touched sections of `new` as they are now."""
    before = _predecessors(new, delta.added) if delta.added else {}
    edits = [
        SectionEdit(name, new.source_by_name[name], before.get(name))
        for name in delta.changed
    ]
    return SectionChange(tuple(edits), delta.removed, new.digest)


def _predecessors(sections: Sections, names: frozenset[str]) -> dict[str, str]:
    """Return the section before each of `names`; nothing for the first."""
    before: dict[str, str] = {}
    last = FIRST
    for name in sections.source_by_name:
        if name in names:
            before[name] = last
        last = name
    return before


def apply_change(
    base: Sections, change: SectionChange
) -> tuple[Sections, SectionDelta] | None:
    """Return the result of a change, or None if its digest shows another base."""
    source_by_name = dict(base.source_by_name)
    removed = tuple(name for name in change.removed if name in source_by_name)
    for name in removed:
        del source_by_name[name]
    added_by_place: dict[str, list[SectionEdit]] = {}
    for edit in change.edits:
        if edit.name in source_by_name:
            source_by_name[edit.name] = edit.source
        else:
            place = FIRST if edit.after is None else edit.after
            added_by_place.setdefault(place, []).append(edit)
    if added_by_place:
        source_by_name = _insert(source_by_name, added_by_place)
    changed = tuple(e.name for e in change.edits if e.name in source_by_name)
    added = frozenset(name for name in changed if name not in base.source_by_name)
    delta = SectionDelta(changed, added, removed)
    result = replace_sections(base, source_by_name, delta)
    return (result, delta) if result.digest == change.digest else None


def _insert(
    source_by_name: dict[str, str], added_by_place: dict[str, list[SectionEdit]]
) -> dict[str, str]:
    """Return the sections with each addition behind its predecessor."""
    result: dict[str, str] = {}
    waiting = [FIRST]
    for name, source in [(FIRST, ""), *source_by_name.items()]:
        if name != FIRST:
            result[name] = source
        waiting = [name]
        while waiting:
            for edit in added_by_place.get(waiting.pop(), ()):
                result[edit.name] = edit.source
                waiting.append(edit.name)
    return result
