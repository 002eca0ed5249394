"""The text in messages: changes by section, and the whole text in bounded parts.

A whole text for 29,000 customers has 5 MB. The receiver asks for one part after the
other, so that a link never queues more than one of them before other messages.
"""

from collections.abc import Iterator

from wigeonwind.links.messages import TextChange, TextRequest
from wigeonwind.state.configuration import Configuration
from wigeonwind.state.configuration_diff import SectionChange, SectionEdit

MAX_CHUNK_CHARS = 200_000
"""Source in one message; 27 messages carry a text for 29,000 customers."""

Rows = list[list[str]]


def chunk_message(text: Configuration, part: int) -> TextChange | None:
    """Return one part of a whole text, None if it has no such part."""
    parts = list(_parts(text))
    if not 0 <= part < len(parts):
        return None
    rows = parts[part]
    return TextChange(0, text.version, rows, [], text.digest, part, len(parts))


def _parts(text: Configuration) -> Iterator[Rows]:
    """Yield the sections in groups of at most MAX_PART_CHARS, or of one section."""
    rows: Rows = []
    size = 0
    for name, source in text.sections.source_by_name.items():
        if rows and size + len(source) > MAX_CHUNK_CHARS:
            yield rows
            rows, size = [], 0
        rows.append([name, source])
        size += len(source)
    yield rows


def change_message(change: SectionChange, base: int, version: int) -> TextChange | None:
    """Return a change as one message, None if it is too large for one."""
    if sum(len(edit.source) for edit in change.edits) > MAX_CHUNK_CHARS:
        return None
    rows = [
        [edit.name, edit.source, *([] if edit.after is None else [edit.after])]
        for edit in change.edits
    ]
    return TextChange(base, version, rows, list(change.removed), change.digest)


def change_from_message(message: TextChange) -> SectionChange:
    """Return the change that a message carries."""
    edits = [
        SectionEdit(row[0], row[1], row[2] if len(row) > 2 else None)
        for row in message.sections
    ]
    return SectionChange(tuple(edits), tuple(message.removed), message.digest)


class ChunkAssembler:
    """Collects the parts of one whole text in their order."""

    def __init__(self) -> None:
        self._version = 0
        self._digest = ""
        self._next_part = 0
        self._rows: Rows = []

    @property
    def is_open(self) -> bool:
        """Return whether some parts have come and some have not."""
        return self._next_part > 0

    def clear(self) -> None:
        """Forget the parts collected so far."""
        self._next_part = 0
        self._rows = []

    def add(self, message: TextChange) -> TextChange | TextRequest | None:
        """Add a part; return the request for the next, or the whole text as one.

        A part that does not follow is ignored; one of another text means that the
        sender has a newer text now, which is asked for from its start.
        """
        if message.part == 0:
            self._version, self._digest = message.version, message.digest
            self._next_part, self._rows = 0, []
        if (message.version, message.digest) != (self._version, self._digest):
            is_newer = message.version > self._version
            return TextRequest(0) if is_newer else None
        if message.part != self._next_part:
            return None
        self._rows.extend(message.sections)
        self._next_part += 1
        if self._next_part < message.parts:
            return TextRequest(0, self._next_part)
        rows = self._rows
        self.clear()
        return TextChange(0, message.version, rows, [], message.digest)
