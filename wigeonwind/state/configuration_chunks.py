"""Cuts a large text into parts for the store, so that an edit changes one of them."""

from collections.abc import Sequence
from dataclasses import dataclass
from hashlib import sha256
from zlib import crc32

from wigeonwind.state.configuration_sections import Sections

MEAN_SECTIONS_PER_CHUNK = 128
"""Average sections of one part. At 29,000 customers this gives some 230 parts of
18 KB and a head of 9 KB, so an edit costs about 27 KB in the store."""

MAX_CHUNK_CHARS = 200_000
"""Bound on a part; in UTF-8 that is less than the value limit of the store, 1 MB."""

CHUNK_DIGEST_DIGITS = 32


@dataclass(frozen=True)
class Chunk:
    """Some sections that are kept together; names and sources are in text order.

    `is_closed` says that the name of its last section ends it, whatever follows.
    """

    digest: str
    names: list[str]
    sources: list[str]
    is_closed: bool

    @property
    def source(self) -> str:
        """Return the text of the part."""
        return "".join(self.sources)


def chunk_digest(source: str) -> str:
    """Return the digest under which a part is kept."""
    return sha256(source.encode()).hexdigest()[:CHUNK_DIGEST_DIGITS]


def split_into_chunks(sections: Sections, earlier: Sequence[Chunk] = ()) -> list[Chunk]:
    """Return the parts of a text; unchanged ones are taken from `earlier`.

    The name of a section decides whether a part ends behind it, so an added or removed
    section changes one part only.
    """
    names = list(sections.source_by_name)
    sources = list(sections.source_by_name.values())
    earlier_by_first = {part.names[0]: part for part in earlier}
    parts: list[Chunk] = []
    start = 0
    while start < len(names):
        part = earlier_by_first.get(names[start])
        # Comparing lists of the same objects is a fast identity check.
        if part is None or not _is_at(part, names, sources, start):
            part = _cut_one(names, sources, start)
        parts.append(part)
        start += len(part.names)
    return parts


def _is_at(part: Chunk, names: list[str], sources: list[str], start: int) -> bool:
    end = start + len(part.names)
    if not part.is_closed and end < len(names):
        # More sections may belong to it now.
        return False
    return sources[start:end] == part.sources and names[start:end] == part.names


def _cut_one(names: list[str], sources: list[str], start: int) -> Chunk:
    """Return the part that begins at `start`; it has at least one section."""
    end = start
    size = 0
    is_closed = False
    while end < len(names):
        size += len(sources[end])
        if end > start and size > MAX_CHUNK_CHARS:
            break
        end += 1
        is_closed = crc32(names[end - 1].encode()) % MEAN_SECTIONS_PER_CHUNK == 0
        if is_closed:
            break
    digest = chunk_digest("".join(sources[start:end]))
    return Chunk(digest, names[start:end], sources[start:end], is_closed)
