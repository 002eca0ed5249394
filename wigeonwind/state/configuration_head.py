"""How a configuration text is kept in the store: one head, and parts by digest.

The head `text/head` has the version of the text as its object version. A small text
is inside the head. A larger one is cut into parts that never change once written, so
that an edit writes the head and the parts in which it falls.
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
"""Texts up to this size are kept in the head itself."""

CHUNK_RETENTION_VERSIONS = 32
"""Versions for which a retired part is kept, so that a slow reader of an earlier head
finds its parts. At 3,300 edits a day, parts would else add 60 MB a day."""

MAX_DELETIONS_PER_SUBMISSION = 8
"""Parts deleted after one submission; the rest follows after later ones."""

MAX_RECENT_SUBMISSIONS = 32
"""Accepted submissions listed in a head; within this many versions, a repeated
submission is recognised."""


class AcceptedSubmission(BaseModel):
    """One submission that was accepted, with the version it became."""

    model_config = ConfigDict(frozen=True, extra="ignore")

    version: int
    submission_id: str
    digest: str


class RetiredChunk(BaseModel):
    """A part that no longer belongs to the text since `version`."""

    model_config = ConfigDict(frozen=True, extra="ignore")

    digest: str
    version: int


class Head(BaseModel):
    """The value of `text/head`; `source` is set if `parts` is empty.

    `retired` lists parts of earlier texts that still exist.
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
        """Return the accepted submission of this id, if it is still listed."""
        for row in self.recent:
            if row.submission_id == submission_id:
                return row
        return None


def decode_head(value: bytes, version: int) -> Head | None:
    """Return a head, or None if it is damaged or not of object version `version`."""
    try:
        head = Head.model_validate_json(value)
    except ValidationError:
        return None
    return head if head.version == version else None


@dataclass(frozen=True)
class StoredConfiguration:
    """A text as it is written: its head, and its parts by digest.

    `dropped` are the digests of parts that the head lists no more and that may be
    deleted once it is written.
    """

    head: Head
    chunk_by_digest: Mapping[str, Chunk]
    dropped: tuple[str, ...] = ()


def fits_in_head(sections: Sections) -> bool:
    """Return whether a text is kept in the head itself."""
    chars = sum(map(len, sections.source_by_name.values()))
    limit = MAX_INLINE_BYTES
    return chars <= limit and len(sections.source.encode()) <= limit


def build_stored_configuration(
    sections: Sections, base: Head, submission_id: str, parts: Sequence[Chunk] = ()
) -> StoredConfiguration:
    """Return what to write for a text that follows `base`; `parts` saves the cut."""
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
    if not parts and fits_in_head(sections):
        source = sections.source
    else:
        chunk_by_digest = {
            part.digest: part for part in parts or split_into_chunks(sections)
        }
    kept, dropped = _retire(base, chunk_by_digest, version)
    head = Head(parts=tuple(chunk_by_digest), source=source, retired=kept, **fields)
    return StoredConfiguration(head, chunk_by_digest, dropped)


def _retire(
    base: Head, chunk_by_digest: Mapping[str, Chunk], version: int
) -> tuple[tuple[RetiredChunk, ...], tuple[str, ...]]:
    """Return the retired parts to list and the digests of those to delete."""
    rows = [row for row in base.retired if row.digest not in chunk_by_digest]
    gone = [digest for digest in base.parts if digest not in chunk_by_digest]
    rows += [RetiredChunk(digest=digest, version=version) for digest in gone]
    old = [row for row in rows if row.version <= version - CHUNK_RETENTION_VERSIONS]
    old = old[:MAX_DELETIONS_PER_SUBMISSION]
    kept = tuple(row for row in rows if row not in old)
    return kept, tuple(row.digest for row in old)
