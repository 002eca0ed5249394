"""Splits a large configuration into stored chunks, so that an edit changes only one."""

from collections.abc import Sequence
from dataclasses import dataclass
from hashlib import sha256
from zlib import crc32

from wigeonwind.state.configuration_sections import Sections

MEAN_SECTIONS_PER_CHUNK = 128
"""Mean number of sections per chunk. With 29,000 customers there are about 230 chunks
of 18 KB and a head of 9 KB, so an edit writes about 27 KB to the store."""

MAX_CHUNK_CHARS = 200_000
"""Bound on a chunk; in UTF-8 it stays below the value limit of the store, 1 MB."""

CHUNK_DIGEST_DIGITS = 32
"""Hexadecimal digits of a chunk's digest; 128 bits rule out accidental collisions."""


@dataclass(frozen=True)
class Chunk:
    """Consecutive sections that are stored as one object, in their order.

    `is_closed` means that the name of the last section marks the end of the chunk,
    whatever section follows.
    """

    digest: str
    names: list[str]
    sources: list[str]
    is_closed: bool

    @property
    def source(self) -> str:
        """Return the source of the chunk."""
        return "".join(self.sources)


def chunk_digest(source: str) -> str:
    """Return the digest by which a chunk is stored."""
    return sha256(source.encode()).hexdigest()[:CHUNK_DIGEST_DIGITS]


def split_into_chunks(sections: Sections, earlier: Sequence[Chunk] = ()) -> list[Chunk]:
    """Return the chunks of a configuration; unchanged ones are reused from `earlier`.

    The name of a section decides whether a chunk ends after it, so adding or removing a
    section changes only one chunk.
    """
    names = list(sections.source_by_name)
    sources = list(sections.source_by_name.values())
    earlier_by_first_name = {chunk.names[0]: chunk for chunk in earlier}
    chunks: list[Chunk] = []
    start = 0
    while start < len(names):
        chunk = earlier_by_first_name.get(names[start])
        # Lists of identical objects compare fast, by identity.
        if chunk is None or not _matches(chunk, names, sources, start):
            chunk = _build_chunk(names, sources, start)
        chunks.append(chunk)
        start += len(chunk.names)
    return chunks


def _matches(chunk: Chunk, names: list[str], sources: list[str], start: int) -> bool:
    end = start + len(chunk.names)
    if not chunk.is_closed and end < len(names):
        # Further sections may belong to this chunk now.
        return False
    return sources[start:end] == chunk.sources and names[start:end] == chunk.names


def _build_chunk(names: list[str], sources: list[str], start: int) -> Chunk:
    """Return the chunk that starts at index `start`; it has at least one section."""
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
