"""Submits a configuration to the store and reads it back."""

from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass

from wigeonwind.outcomes import Invalid, Ok, Problem
from wigeonwind.state.configuration_chunks import Chunk, chunk_digest
from wigeonwind.state.configuration_head import (
    CHUNK_PREFIX,
    HEAD_KEY,
    AcceptedSubmission,
    Head,
    StoredConfiguration,
    build_stored_configuration,
    decode_head,
)
from wigeonwind.state.configuration_sections import (
    Sections,
    normalise_source,
    split_configuration,
)
from wigeonwind.state.store_steps import (
    DeleteCall,
    GetCall,
    PauseCall,
    PutCall,
    Steps,
)
from wigeonwind.state.store_types import Conflict, NotFound, StoreFailure

MAX_ATTEMPTS = 4
"""Attempts of a store call before the submission fails."""

RETRY_PAUSE_MS = 200.0
"""Base of the pause between attempts; the pause doubles with each attempt."""


@dataclass(frozen=True)
class Accepted:
    """The submission was accepted as `version`."""

    version: int


@dataclass(frozen=True)
class SubmitConflict:
    """The store holds another version than the edited one.

    `source` is the source of `version`, empty if it cannot be read.
    """

    version: int
    source: str


@dataclass(frozen=True)
class SubmitUnavailable:
    """The store did not answer.

    `maybe_accepted` is True if the submission may have been accepted nevertheless;
    repeating it with the same submission id is safe.
    """

    reason: str
    maybe_accepted: bool
    retry_after_ms: float = 1000.0


SubmitResult = Accepted | SubmitConflict | SubmitUnavailable | Invalid


@dataclass(frozen=True)
class UnusableHead:
    """The head at object `version` is malformed, or a chunk is missing or damaged."""

    version: int
    reason: str


@dataclass(frozen=True)
class FetchedConfiguration:
    """A configuration that was read from the store."""

    version: int
    source: str
    submission_id: str


@dataclass(frozen=True)
class NotNewer:
    """The head in the store is not newer than the version the caller has.

    `head` is None if it is malformed.
    """

    version: int
    head: Head | None = None


def submit_steps(
    base_version: int,
    submission_id: str,
    sections: Sections,
    chunks: Sequence[Chunk] = (),
) -> Steps[SubmitResult]:
    """Submit checked sections as the successor of `base_version`.

    `chunks` are those of `sections` if the caller has split them already.

    The head is written only if it still has `base_version`. After a lost response the
    head is read back. If it lists the submission, the submission was accepted;
    otherwise the same conditional write is repeated, which cannot take effect twice.
    """
    read = yield from _read_head()
    if isinstance(read, StoreFailure):
        return _unavailable(read, maybe_accepted=False)
    result_from_head = yield from _result_from_head(
        read, base_version, submission_id, sections
    )
    if result_from_head is not None:
        return result_from_head
    # A missing or malformed head is replaced if it still has `base_version`.
    base = read if isinstance(read, Head) else _empty_head(base_version)
    stored = build_stored_configuration(sections, base, submission_id, chunks)
    failure = yield from _write_chunks(stored, base)
    if failure is not None:
        return _unavailable(failure, maybe_accepted=False)
    dropped = yield from _versions_of(stored.dropped)
    return (yield from _write_head(stored.head, base_version, sections, dropped))


def _empty_head(version: int) -> Head:
    return Head(version=version, submission_id="", digest="")


def _result_from_head(
    read: Head | UnusableHead | NotFound,
    base_version: int,
    submission_id: str,
    sections: Sections,
) -> Steps[SubmitResult | None]:
    """Return the result if the head determines it, None if a write is needed."""
    if isinstance(read, Head):
        row = read.accepted(submission_id)
        if row is not None:
            return _result_of_repetition(row, sections)
    version = 0 if isinstance(read, NotFound) else read.version
    if version == base_version:
        return None
    return (yield from _conflict(read))


def _result_of_repetition(row: AcceptedSubmission, sections: Sections) -> SubmitResult:
    """Return the result for a submission id that was accepted before."""
    if row.digest == sections.digest:
        return Accepted(row.version)
    expected = f"a new id; this one was used for version {row.version}"
    return Invalid((Problem("", "submission_id", row.submission_id, expected),))


def _conflict(read: Head | UnusableHead | NotFound) -> Steps[SubmitResult]:
    if isinstance(read, NotFound):
        return SubmitConflict(0, "")
    if isinstance(read, UnusableHead):
        return SubmitConflict(read.version, "")
    fetched = yield from read_chunks_steps(read, {})
    if isinstance(fetched, FetchedConfiguration):
        return SubmitConflict(fetched.version, fetched.source)
    return SubmitConflict(read.version, "")


def _unavailable(failure: StoreFailure, maybe_accepted: bool) -> SubmitUnavailable:
    return SubmitUnavailable(failure.reason, maybe_accepted, failure.retry_after_ms)


def _read_head() -> Steps[Head | UnusableHead | NotFound | StoreFailure]:
    """Read the head, in at most MAX_ATTEMPTS attempts."""
    failure = StoreFailure("not tried", maybe_written=False)
    for attempt in range(MAX_ATTEMPTS):
        if attempt:
            yield PauseCall(RETRY_PAUSE_MS * 2**attempt)
        result = yield GetCall(HEAD_KEY)
        if isinstance(result, NotFound):
            return result
        if isinstance(result, Ok):
            stored = result.value
            head = decode_head(stored.value, stored.version)
            return head or UnusableHead(stored.version, "text/head is malformed")
        failure = result
    return failure


def _write_chunks(
    stored: StoredConfiguration, base: Head
) -> Steps[StoreFailure | None]:
    """Write the chunks that the base does not list; this must precede the head.

    A chunk that the base lists can only be deleted after another head has replaced the
    base, and then the conditional write of this head fails.
    """
    listed_digests = {*base.parts, *(row.digest for row in base.retired)}
    for digest, chunk in stored.chunk_by_digest.items():
        if digest in listed_digests:
            continue
        failure = yield from _write_chunk(digest, chunk.source)
        if failure is not None:
            return failure
    return None


def _write_chunk(digest: str, source: str) -> Steps[StoreFailure | None]:
    """Create a chunk, or rewrite it if it exists.

    Rewriting increments the object version. A concurrent submission that retired the
    chunk then cannot delete it, because its deletion names the previous version.
    """
    failure = StoreFailure("the chunk changed during every write", maybe_written=False)
    version = 0
    for attempt in range(MAX_ATTEMPTS):
        result = yield PutCall(CHUNK_PREFIX + digest, source.encode(), version)
        if isinstance(result, Ok):
            return None
        if isinstance(result, Conflict):
            version = result.version
        else:
            failure = result
            yield PauseCall(RETRY_PAUSE_MS * 2**attempt)
    return failure


def _versions_of(digests: Iterable[str]) -> Steps[dict[str, int]]:
    """Return the object versions of chunks; those that cannot be read are omitted."""
    version_by_key: dict[str, int] = {}
    for digest in digests:
        result = yield GetCall(CHUNK_PREFIX + digest)
        if isinstance(result, Ok):
            version_by_key[result.value.key] = result.value.version
    return version_by_key


def _delete_chunks(version_by_key: Mapping[str, int]) -> Steps[None]:
    """Delete retired chunks, in one attempt each; a remaining chunk is harmless."""
    for key, version in version_by_key.items():
        yield DeleteCall(key, version)


def _write_head(
    head: Head, base_version: int, sections: Sections, dropped: Mapping[str, int]
) -> Steps[SubmitResult]:
    """Write the head if it still has `base_version`, and resolve lost responses.

    `dropped` maps the keys of the chunks to delete afterwards to the versions that they
    had before the write.
    """
    failure = StoreFailure("not tried", maybe_written=False)
    maybe_accepted = False
    for attempt in range(MAX_ATTEMPTS):
        if attempt:
            yield PauseCall(RETRY_PAUSE_MS * 2**attempt)
        result = yield PutCall(HEAD_KEY, head.encode(), base_version)
        if isinstance(result, Ok):
            if result.value != head.version:
                # The head was deleted, and the store continues its version count.
                return SubmitConflict(result.value, "")
            # Only one process gets this result, so only one deletes the chunks.
            yield from _delete_chunks(dropped)
            return Accepted(result.value)
        if isinstance(result, StoreFailure):
            failure = result
            maybe_accepted = maybe_accepted or result.maybe_written
            if not result.maybe_written:
                continue
        # The conflict may be with an earlier attempt of this write.
        read = yield from _read_head()
        if isinstance(read, StoreFailure):
            failure = read
            maybe_accepted = True
            continue
        known_result = yield from _result_from_head(
            read, base_version, head.submission_id, sections
        )
        if known_result is not None:
            return known_result
    return _unavailable(failure, maybe_accepted)


def fetch_steps(
    newer_than: int, known_chunks: Callable[[], Mapping[str, str]]
) -> Steps[FetchedConfiguration | NotNewer | UnusableHead | NotFound | StoreFailure]:
    """Read the configuration if the version of its head is above `newer_than`.

    Chunks that `known_chunks` returns by digest are not read.
    """
    read = yield from _read_head()
    if isinstance(read, NotFound | StoreFailure):
        return read
    if read.version <= newer_than:
        return NotNewer(read.version, read if isinstance(read, Head) else None)
    if isinstance(read, UnusableHead):
        return read
    return (yield from read_chunks_steps(read, known_chunks()))


def read_chunks_steps(
    head: Head, chunk_by_digest: Mapping[str, str]
) -> Steps[FetchedConfiguration | UnusableHead | StoreFailure]:
    """Read the chunks of a head and check the digest of the configuration."""
    sources = [head.source]
    for digest in head.parts:
        source = chunk_by_digest.get(digest)
        if source is None:
            result = yield GetCall(CHUNK_PREFIX + digest)
            if isinstance(result, StoreFailure):
                return result
            if isinstance(result, NotFound):
                return UnusableHead(head.version, f"chunk {digest} is missing")
            source = result.value.value.decode(errors="replace")
            if chunk_digest(source) != digest:
                return UnusableHead(
                    head.version, f"chunk {digest} does not match its digest"
                )
        sources.append(source)
    source = normalise_source("".join(sources))
    if split_configuration(source).sections.digest != head.digest:
        return UnusableHead(
            head.version, "the configuration does not match the digest in its head"
        )
    return FetchedConfiguration(head.version, source, head.submission_id)
