"""Changes between two configurations: by section, and in sentences for operators."""

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

BEFORE_FIRST = "\0"
"""Placeholder for the position before the first section."""


@dataclass(frozen=True)
class SectionEdit:
    """The new source of a section; `after` names the section before an added one."""

    name: str
    source: str
    after: str | None = None


@dataclass(frozen=True)
class SectionChange:
    """The difference between two sets of sections; `digest` is that of the result."""

    edits: tuple[SectionEdit, ...]
    removed: tuple[str, ...]
    digest: str


def diff_sections(old: Sections, new: Sections) -> SectionChange:
    """Return the change from `old` to `new`.

    The sections present in both must be in the same order.
    """
    return change_from_delta(new, compare_sections(old, new.source_by_name))


def change_from_delta(new: Sections, delta: SectionDelta) -> SectionChange:
    """Return a change with the sources in `new` of the sections that `delta` names."""
    predecessors = _predecessors(new, delta.added) if delta.added else {}
    edits = [
        SectionEdit(name, new.source_by_name[name], predecessors.get(name))
        for name in delta.changed
    ]
    return SectionChange(tuple(edits), delta.removed, new.digest)


def _predecessors(sections: Sections, names: frozenset[str]) -> dict[str, str]:
    """Return the section that precedes each of `names`, or BEFORE_FIRST."""
    predecessors: dict[str, str] = {}
    last = BEFORE_FIRST
    for name in sections.source_by_name:
        if name in names:
            predecessors[name] = last
        last = name
    return predecessors


def apply_change(
    base: Sections, change: SectionChange
) -> tuple[Sections, SectionDelta] | None:
    """Return the result of a change and its delta to `base`.

    None if the digest of the result is wrong: the change was made from another base.
    """
    source_by_name = dict(base.source_by_name)
    removed = tuple(name for name in change.removed if name in source_by_name)
    for name in removed:
        del source_by_name[name]
    additions_by_predecessor: dict[str, list[SectionEdit]] = {}
    for edit in change.edits:
        if edit.name in source_by_name:
            source_by_name[edit.name] = edit.source
        else:
            predecessor = BEFORE_FIRST if edit.after is None else edit.after
            additions_by_predecessor.setdefault(predecessor, []).append(edit)
    if additions_by_predecessor:
        source_by_name = _insert(source_by_name, additions_by_predecessor)
    changed = tuple(e.name for e in change.edits if e.name in source_by_name)
    added = frozenset(name for name in changed if name not in base.source_by_name)
    delta = SectionDelta(changed, added, removed)
    result = replace_sections(base, source_by_name, delta)
    return (result, delta) if result.digest == change.digest else None


def _insert(
    source_by_name: dict[str, str],
    additions_by_predecessor: dict[str, list[SectionEdit]],
) -> dict[str, str]:
    """Return the sections with each addition after its predecessor."""
    result: dict[str, str] = {}
    pending = [BEFORE_FIRST]
    for name, source in [(BEFORE_FIRST, ""), *source_by_name.items()]:
        if name != BEFORE_FIRST:
            result[name] = source
        pending = [name]
        while pending:
            for edit in additions_by_predecessor.get(pending.pop(), ()):
                result[edit.name] = edit.source
                pending.append(edit.name)
    return result
