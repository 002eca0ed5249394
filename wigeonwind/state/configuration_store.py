"""Submission of a configuration text to the store, and reading it back."""

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
"""Tries of a store call before the submission is given up."""

RETRY_PAUSE_MS = 200.0
"""First pause between tries; it doubles each time."""


@dataclass(frozen=True)
class Accepted:
    """The submission is in force as `version`."""

    version: int


@dataclass(frozen=True)
class SubmitConflict:
    """Another version than the edited one is in force; `source` is its text."""

    version: int
    source: str


@dataclass(frozen=True)
class SubmitUnavailable:
    """The store did not answer.

    `maybe_accepted` says that the text may be accepted all the same; the same
    submission id can be submitted again safely.
    """

    reason: str
    maybe_accepted: bool
    retry_after_ms: float = 1000.0


SubmitResult = Accepted | SubmitConflict | SubmitUnavailable | Invalid


@dataclass(frozen=True)
class UnusableHead:
    """The store holds a head or part that cannot be used, at object `version`."""

    version: int
    reason: str


@dataclass(frozen=True)
class FetchedConfiguration:
    """A whole text as read from the store."""

    version: int
    source: str
    submission_id: str


@dataclass(frozen=True)
class NotNewer:
    """The head of the store is no newer than what is known."""

    version: int


def submit_steps(
    base_version: int,
    submission_id: str,
    sections: Sections,
    parts: Sequence[Chunk] = (),
) -> Steps[SubmitResult]:
    """Submit checked sections as the successor of `base_version`.

    `parts` are the parts of the text if they are known already.

    The head is written only if it still has `base_version`. After a lost answer the
    head is read back: it lists the submission if it was accepted, and otherwise the
    same conditional write is repeated, which cannot take effect twice.
    """
    read = yield from _read_head()
    if isinstance(read, StoreFailure):
        return _unavailable(read, maybe_accepted=False)
    early = yield from _answer_from(read, base_version, submission_id, sections)
    if early is not None:
        return early
    # A missing or damaged head is replaced, under its own version.
    base = read if isinstance(read, Head) else _empty_head(base_version)
    stored = build_stored_configuration(sections, base, submission_id, parts)
    failure = yield from _write_parts(stored, base)
    if failure is not None:
        return _unavailable(failure, maybe_accepted=False)
    dropped = yield from _versions_of(stored.dropped)
    return (yield from _write_head(stored.head, base_version, sections, dropped))


def _empty_head(version: int) -> Head:
    return Head(version=version, submission_id="", digest="")


def _answer_from(
    read: Head | UnusableHead | NotFound,
    base_version: int,
    submission_id: str,
    sections: Sections,
) -> Steps[SubmitResult | None]:
    """Return the answer if the head decides it before a write, else None."""
    if isinstance(read, Head):
        row = read.accepted(submission_id)
        if row is not None:
            return _repeated(row, sections)
    version = 0 if isinstance(read, NotFound) else read.version
    if version == base_version:
        return None
    return (yield from _conflict(read))


def _repeated(row: AcceptedSubmission, sections: Sections) -> SubmitResult:
    """Return the answer to a submission id that was accepted before."""
    if row.digest == sections.digest:
        return Accepted(row.version)
    expected = f"a new id; this one was used for the text of version {row.version}"
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
    """Read the head, with a few tries."""
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
            return head or UnusableHead(stored.version, "text/head cannot be read")
        failure = result
    return failure


def _write_parts(stored: StoredConfiguration, base: Head) -> Steps[StoreFailure | None]:
    """Write the parts that the base does not list; they must precede the head.

    A part that the base lists cannot be deleted unless another head replaces the base,
    and then the write of our head fails.
    """
    known = {*base.parts, *(row.digest for row in base.retired)}
    for digest, part in stored.chunk_by_digest.items():
        if digest in known:
            continue
        failure = yield from _write_part(digest, part.source)
        if failure is not None:
            return failure
    return None


def _write_part(digest: str, source: str) -> Steps[StoreFailure | None]:
    """Create a part, or write it anew if it exists.

    The new version of an existing part keeps it from being deleted by an operator
    who retired it: a deletion names the version that was there before.
    """
    failure = StoreFailure("the part changes too often", maybe_written=False)
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
    """Return the object versions of parts; those that cannot be read are left out."""
    version_by_key: dict[str, int] = {}
    for digest in digests:
        result = yield GetCall(CHUNK_PREFIX + digest)
        if isinstance(result, Ok):
            version_by_key[result.value.key] = result.value.version
    return version_by_key


def _delete_parts(version_by_key: Mapping[str, int]) -> Steps[None]:
    """Delete retired parts, once each; a part that is left over does no harm."""
    for key, version in version_by_key.items():
        yield DeleteCall(key, version)


def _write_head(
    head: Head, base_version: int, sections: Sections, dropped: Mapping[str, int]
) -> Steps[SubmitResult]:
    """Write the head if it still has `base_version`, and resolve lost answers.

    `dropped` are the parts to delete after that, with their versions from before.
    """
    failure = StoreFailure("not tried", maybe_written=False)
    maybe_accepted = False
    for attempt in range(MAX_ATTEMPTS):
        if attempt:
            yield PauseCall(RETRY_PAUSE_MS * 2**attempt)
        result = yield PutCall(HEAD_KEY, head.encode(), base_version)
        if isinstance(result, Ok):
            if result.value != head.version:
                # The head had been deleted and the store goes on counting.
                return SubmitConflict(result.value, "")
            # Only one process gets this answer, so only one deletes the parts.
            yield from _delete_parts(dropped)
            return Accepted(result.value)
        if isinstance(result, StoreFailure):
            failure = result
            maybe_accepted = maybe_accepted or result.maybe_written
            if not result.maybe_written:
                continue
        # A conflict can be with an earlier try of this same write.
        read = yield from _read_head()
        if isinstance(read, StoreFailure):
            failure = read
            maybe_accepted = True
            continue
        answer = yield from _answer_from(
            read, base_version, head.submission_id, sections
        )
        if answer is not None:
            return answer
    return _unavailable(failure, maybe_accepted)


def fetch_steps(
    newer_than: int, known_parts: Callable[[], Mapping[str, str]]
) -> Steps[FetchedConfiguration | NotNewer | UnusableHead | NotFound | StoreFailure]:
    """Read the text of the head if its version is above `newer_than`.

    Parts that `known_parts` returns by digest are not read.
    """
    read = yield from _read_head()
    if isinstance(read, NotFound | StoreFailure):
        return read
    if read.version <= newer_than:
        return NotNewer(read.version)
    if isinstance(read, UnusableHead):
        return read
    return (yield from read_chunks_steps(read, known_parts()))


def read_chunks_steps(
    head: Head, chunk_by_digest: Mapping[str, str]
) -> Steps[FetchedConfiguration | UnusableHead | StoreFailure]:
    """Read the parts of a head and check the digest of the whole."""
    pieces = [head.source]
    for digest in head.parts:
        source = chunk_by_digest.get(digest)
        if source is None:
            result = yield GetCall(CHUNK_PREFIX + digest)
            if isinstance(result, StoreFailure):
                return result
            if isinstance(result, NotFound):
                return UnusableHead(head.version, f"part {digest} is missing")
            source = result.value.value.decode(errors="replace")
            if chunk_digest(source) != digest:
                return UnusableHead(head.version, f"part {digest} is damaged")
        pieces.append(source)
    source = normalise_source("".join(pieces))
    if split_configuration(source).sections.digest != head.digest:
        return UnusableHead(head.version, "the digest of the text does not match")
    return FetchedConfiguration(head.version, source, head.submission_id)
