"""Changes between two texts: by section for the wire, in sentences for operators."""

from collections.abc import Iterable
from dataclasses import dataclass

from wigeonwind.state.text_sections import Sections, sections_of


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
    names = [
        name
        for name, source in new.source_by_name.items()
        if old.source_by_name.get(name) != source
    ]
    removed = [name for name in old.source_by_name if name not in new.source_by_name]
    added = {name for name in names if name not in old.source_by_name}
    return change_of(new, names, removed, added)


def change_of(
    new: Sections, changed: Iterable[str], removed: Iterable[str], added: set[str]
) -> SectionChange:
    """Return a change that carries the named sections of `new` as they are now."""
    predecessor = _predecessors(new, added) if added else {}
    edits = [
        SectionEdit(name, new.source_by_name[name], predecessor.get(name))
        for name in changed
    ]
    if added:
        # An added section may follow another added one, so order matters.
        place = {name: i for i, name in enumerate(new.source_by_name)}
        edits.sort(key=lambda edit: place[edit.name])
    return SectionChange(tuple(edits), tuple(removed), new.digest)


def _predecessors(sections: Sections, names: set[str]) -> dict[str, str]:
    """Return the section before each of `names`; nothing for the first."""
    before: dict[str, str] = {}
    last = "\0"
    for name in sections.source_by_name:
        if name in names:
            before[name] = last
        last = name
    return before


def apply_change(base: Sections, change: SectionChange) -> Sections | None:
    """Return the result of a change, or None if its digest shows another base."""
    source_by_name = dict(base.source_by_name)
    for name in change.removed:
        source_by_name.pop(name, None)
    added: dict[str, list[SectionEdit]] = {}
    for edit in change.edits:
        if edit.after is None or edit.name in source_by_name:
            source_by_name[edit.name] = edit.source
        else:
            added.setdefault(edit.after, []).append(edit)
    if added:
        source_by_name = _insert(source_by_name, added)
    result = sections_of(source_by_name, base)
    return result if result.digest == change.digest else None


def _insert(
    source_by_name: dict[str, str], added_by_place: dict[str, list[SectionEdit]]
) -> dict[str, str]:
    """Return the sections with each addition behind its predecessor."""
    result: dict[str, str] = {}
    waiting = ["\0"]
    for name, source in [("\0", ""), *source_by_name.items()]:
        if name != "\0":
            result[name] = source
        waiting = [name]
        while waiting:
            for edit in added_by_place.get(waiting.pop(), ()):
                result[edit.name] = edit.source
                waiting.append(edit.name)
    return result
