"""Encodes a configuration in messages: changes by section, or all of it in chunks.

A configuration for 29,000 customers has 5 MB. The receiver requests one chunk after the
other, so a link never queues more than one of them ahead of other messages. These
chunks are cut by size alone; they are not the stored ones of `configuration_chunks`.
"""

from collections.abc import Iterator

from wigeonwind.links.messages import TextChange, TextRequest
from wigeonwind.state.configuration import Configuration
from wigeonwind.state.configuration_diff import SectionChange, SectionEdit

MAX_CHUNK_CHARS = 200_000
"""Bound on the source in one message; 29,000 customers need 27 messages. It is
independent of the bound on stored chunks in `configuration_chunks`."""

Rows = list[list[str]]
"""Sections as rows of a message: name, source and, if added, the preceding section."""


def chunk_message(configuration: Configuration, index: int) -> TextChange | None:
    """Return chunk `index` (from 0) of a configuration, None if out of range."""
    chunks = list(_chunks(configuration))
    if not 0 <= index < len(chunks):
        return None
    rows = chunks[index]
    return TextChange(
        0, configuration.version, rows, [], configuration.digest, index, len(chunks)
    )


def _chunks(configuration: Configuration) -> Iterator[Rows]:
    """Yield the sections in chunks of at most MAX_CHUNK_CHARS, or of one section."""
    rows: Rows = []
    size = 0
    for name, source in configuration.sections.source_by_name.items():
        if rows and size + len(source) > MAX_CHUNK_CHARS:
            yield rows
            rows, size = [], 0
        rows.append([name, source])
        size += len(source)
    yield rows


def change_message(change: SectionChange, base: int, version: int) -> TextChange | None:
    """Return a change as a message, None if it is too large for one message."""
    if sum(len(edit.source) for edit in change.edits) > MAX_CHUNK_CHARS:
        return None
    rows = [
        [edit.name, edit.source, *([] if edit.after is None else [edit.after])]
        for edit in change.edits
    ]
    return TextChange(base, version, rows, list(change.removed), change.digest)


def change_from_message(message: TextChange) -> SectionChange:
    """Return the change in a message."""
    edits = [
        SectionEdit(row[0], row[1], row[2] if len(row) > 2 else None)
        for row in message.sections
    ]
    return SectionChange(tuple(edits), tuple(message.removed), message.digest)


class ChunkAssembler:
    """Assembles a configuration from chunks that are received in order."""

    def __init__(self) -> None:
        self._version = 0
        self._digest = ""
        self._next_chunk = 0
        self._rows: Rows = []

    @property
    def is_open(self) -> bool:
        """Return whether some chunks were received and others are missing."""
        return self._next_chunk > 0

    def clear(self) -> None:
        """Discard the chunks received so far."""
        self._next_chunk = 0
        self._rows = []

    def add(self, message: TextChange) -> TextChange | TextRequest | None:
        """Add a chunk; return the request for the next, or the assembled message.

        A chunk out of sequence is ignored. A chunk of a newer version means that the
        sender's configuration has changed; the new one is requested from its first
        chunk.
        """
        if message.part == 0:
            self._version, self._digest = message.version, message.digest
            self._next_chunk, self._rows = 0, []
        if (message.version, message.digest) != (self._version, self._digest):
            is_newer = message.version > self._version
            return TextRequest(0) if is_newer else None
        if message.part != self._next_chunk:
            return None
        self._rows.extend(message.sections)
        self._next_chunk += 1
        if self._next_chunk < message.parts:
            return TextRequest(0, self._next_chunk)
        rows = self._rows
        self.clear()
        return TextChange(0, message.version, rows, [], message.digest)
