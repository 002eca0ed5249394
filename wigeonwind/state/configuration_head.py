"""Storage format of a configuration: one head object, and chunks named by digest.

The object version of the head `text/head` is the version of the configuration. A small
configuration is stored in the head. A larger one is split into immutable chunks, so an
edit writes the head and only the chunks that it changes.
"""

import json
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Any

from pydantic import BaseModel, ConfigDict, ValidationError

from wigeonwind.state.configuration_chunks import Chunk, split_into_chunks
from wigeonwind.state.configuration_sections import Sections

HEAD_KEY = "text/head"
CHUNK_PREFIX = "text/part/"

MAX_INLINE_BYTES = 32_000
"""Largest source that is stored in the head itself."""

CHUNK_RETENTION_VERSIONS = 32
"""Versions for which a retired chunk is kept, so that a slow reader of an earlier head
finds its chunks. Without deletion, 3,300 edits a day would add 60 MB a day."""

MAX_DELETIONS_PER_SUBMISSION = 8
"""Chunks deleted after one submission; later submissions delete the rest."""

MAX_RECENT_SUBMISSIONS = 32
"""Accepted submissions listed in a head; within this many versions, a repeated
submission is recognised."""


class AcceptedSubmission(BaseModel):
    """An accepted submission and the version that it created."""

    model_config = ConfigDict(frozen=True, extra="ignore")

    version: int
    submission_id: str
    digest: str


class RetiredChunk(BaseModel):
    """A chunk that was dropped from the configuration in `version`."""

    model_config = ConfigDict(frozen=True, extra="ignore")

    digest: str
    version: int


class Head(BaseModel):
    """The value of `text/head`; `source` is set if `parts` is empty.

    `parts` are the digests of the chunks. `retired` lists chunks of earlier versions
    that have not been deleted yet.
    """

    model_config = ConfigDict(frozen=True, extra="ignore")

    version: int
    submission_id: str
    digest: str
    parts: tuple[str, ...] = ()
    source: str = ""
    recent: tuple[AcceptedSubmission, ...] = ()
    retired: tuple[RetiredChunk, ...] = ()

    def encode(self) -> bytes:
        """Return the head as JSON."""
        return json.dumps(self.model_dump(), separators=(",", ":")).encode()

    def accepted(self, submission_id: str) -> AcceptedSubmission | None:
        """Return the accepted submission with this id, or None if it is not listed."""
        for row in self.recent:
            if row.submission_id == submission_id:
                return row
        return None


def decode_head(value: bytes, version: int) -> Head | None:
    """Return a head, or None if it is malformed or not of object version `version`."""
    try:
        head = Head.model_validate_json(value)
    except ValidationError:
        return None
    return head if head.version == version else None


@dataclass(frozen=True)
class StoredConfiguration:
    """The stored form of a configuration: its head, and its chunks by digest.

    `dropped` are the digests of chunks that the head no longer lists; they may be
    deleted once it is written.
    """

    head: Head
    chunk_by_digest: Mapping[str, Chunk]
    dropped: tuple[str, ...] = ()


def fits_in_head(sections: Sections) -> bool:
    """Return whether the source is small enough to be stored in the head."""
    chars = sum(map(len, sections.source_by_name.values()))
    limit = MAX_INLINE_BYTES
    return chars <= limit and len(sections.source.encode()) <= limit


def build_stored_configuration(
    sections: Sections, base: Head, submission_id: str, chunks: Sequence[Chunk] = ()
) -> StoredConfiguration:
    """Return the stored form of the successor of `base`.

    `chunks` are those of `sections` if the caller has split them already.
    """
    version = base.version + 1
    row = AcceptedSubmission(
        version=version, submission_id=submission_id, digest=sections.digest
    )
    recent = (*base.recent, row)[-MAX_RECENT_SUBMISSIONS:]
    fields: dict[str, Any] = {
        "version": version,
        "submission_id": submission_id,
        "digest": sections.digest,
        "recent": recent,
    }
    source = ""
    chunk_by_digest: dict[str, Chunk] = {}
    if not chunks and fits_in_head(sections):
        source = sections.source
    else:
        chunk_by_digest = {
            chunk.digest: chunk for chunk in chunks or split_into_chunks(sections)
        }
    kept, dropped = _retire_chunks(base, chunk_by_digest, version)
    head = Head(parts=tuple(chunk_by_digest), source=source, retired=kept, **fields)
    return StoredConfiguration(head, chunk_by_digest, dropped)


def _retire_chunks(
    base: Head, chunk_by_digest: Mapping[str, Chunk], version: int
) -> tuple[tuple[RetiredChunk, ...], tuple[str, ...]]:
    """Return the retired chunks to list and the digests of those to delete."""
    rows = [row for row in base.retired if row.digest not in chunk_by_digest]
    newly_retired = [digest for digest in base.parts if digest not in chunk_by_digest]
    rows += [RetiredChunk(digest=digest, version=version) for digest in newly_retired]
    to_delete = [
        row for row in rows if row.version <= version - CHUNK_RETENTION_VERSIONS
    ]
    to_delete = to_delete[:MAX_DELETIONS_PER_SUBMISSION]
    kept = tuple(row for row in rows if row not in to_delete)
    return kept, tuple(row.digest for row in to_delete)
