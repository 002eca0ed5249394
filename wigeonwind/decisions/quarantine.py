"""Quarantine of prompt parts and requests that crash the endpoints which run them.

A request has keys, one for each part of its prompt or one for the whole request. A
crash of an endpoint is evidence against the keys of all requests whose answers had not
begun or only just; an answer that goes on clears the keys of its request of earlier
crashes. What follows for a request is derived from this evidence alone, so that routers
which know the same crashes and answers agree, whatever the order in which they learned
of them.
"""

from collections import OrderedDict
from collections.abc import Collection, Iterable, Iterator, Mapping
from dataclasses import dataclass, field
from enum import Enum
from itertools import groupby

BLOCKING_CRASHES = 2
"""Crashes, without an answer since, from which a key is blocked."""

RECENT_ANSWER_MS = 60_000.0
"""Age of an answer at the time of a crash up to which the key is trusted: it takes one
crash more until it is suspected or blocked."""

BLOCK_MS_BY_CRASHES: Mapping[int, float] = {
    1: 0.0,
    2: 60_000.0,
    3: 300_000.0,
    4: 1_200_000.0,
}
"""Time for which a key is blocked after its last crash, by the number of crashes."""

LONGEST_BLOCK_MS = 3_600_000.0
"""Time for which a key is blocked after more crashes. A trial each hour finds out that
a new model version has no such fault, and costs at most one crash."""

RETENTION_MS = 60_000.0
"""Time for which evidence is kept after the end of the block to which it leads."""

OWN_KEY_BIT = 1
"""Set in keys of what belongs to one request or session and is not shared by others."""

MAX_KEYS = 4_096
"""Most keys with crashes, those of the largest request. Beyond it, those with the
fewest and oldest crashes are dropped."""

MAX_CRASHES_PER_KEY = 8
"""Most crashes that are kept for a key, the latest ones. More do not change how it is
handled."""

MAX_ANSWERED_KEYS = 4_096
"""Most keys whose last answer is kept, the most recent ones."""

MAX_VOID_CRASHES = 64
"""Most crashes that are remembered as planned stops, the most recent ones."""

NEVER_MS = float("-inf")


@dataclass(frozen=True, slots=True)
class SuspectRow:
    """What a router knows of one key, as sent to its peers.

    `age_ms_by_crash` holds the age of each crash, which is identified by the short id
    of the endpoint's incarnation, and `answered_age_ms` that of the last answer or of
    an operator's order, None if none is known.
    """

    key: int
    age_ms_by_crash: tuple[tuple[int, int], ...]
    answered_age_ms: int | None


@dataclass(frozen=True, slots=True)
class Allowed:
    """The request may be sent to any endpoint."""


@dataclass(frozen=True, slots=True)
class NeedsTrial:
    """The request contains suspects and may only be sent as their trial."""

    keys: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class Blocked:
    """The request must not be sent for `remaining_ms`, because of `crashes` crashes."""

    key: int
    crashes: int
    remaining_ms: float


Verdict = Allowed | NeedsTrial | Blocked


@dataclass(frozen=True, slots=True)
class SuspectStatus:
    """A suspect as operators see it; `blocked_ms` is 0 if it may be tried."""

    key: int
    crashes: int
    blocked_ms: float


class _Finding(Enum):
    """What the evidence says about a key with crashes since its last answer."""

    SUSPECT = "suspect"
    GUILTY = "guilty"


@dataclass(slots=True)
class _Evidence:
    """Crashes and the last answer of one key; times are clock readings."""

    crashed_ms_by_id: dict[int, float] = field(default_factory=dict)
    answered_ms: float = NEVER_MS
    changed_ms: float = NEVER_MS
    """When something was learned that peers may not know."""

    @property
    def last_crash_ms(self) -> float:
        return max(self.crashed_ms_by_id.values(), default=NEVER_MS)

    def open_crashes(self) -> frozenset[int]:
        """Return the crashes since the last answer."""
        return frozenset(
            crash
            for crash, crashed_ms in self.crashed_ms_by_id.items()
            if crashed_ms > self.answered_ms
        )

    def needed_crashes(self) -> int:
        """Return the number of open crashes from which the key is suspect."""
        first_ms = min(
            (
                each
                for each in self.crashed_ms_by_id.values()
                if each > self.answered_ms
            ),
            default=NEVER_MS,
        )
        return 2 if first_ms - self.answered_ms <= RECENT_ANSWER_MS else 1

    def expires_ms(self) -> float:
        count = len(self.crashed_ms_by_id)
        return self.last_crash_ms + _block_ms(count) + RETENTION_MS


def _block_ms(crashes: int) -> float:
    return BLOCK_MS_BY_CRASHES.get(crashes, LONGEST_BLOCK_MS)


class Quarantine:
    """The evidence that a router has, from its own requests and from its peers."""

    def __init__(self) -> None:
        self._evidence_by_key: dict[int, _Evidence] = {}
        self._answered_ms_by_key: OrderedDict[int, float] = OrderedDict()
        self._void_crashes: OrderedDict[int, None] = OrderedDict()
        self._finding_by_key: dict[int, _Finding] | None = {}
        """Derived from the evidence, None if that has changed."""

    def verdict(self, keys: Collection[int], now_ms: float) -> Verdict:
        """Return how a request with these keys is to be handled."""
        finding_by_key = self._findings()
        suspect_keys = []
        absent: frozenset[frozenset[int]] | None = None
        for key in keys:
            finding = finding_by_key.get(key)
            if finding is None:
                continue
            remaining_ms = self._block_remaining_ms(key, now_ms)
            if remaining_ms > 0.0:
                if absent is None:
                    absent = self._crashes_of_absent(keys)
                crashes = self._evidence_by_key[key].open_crashes()
                if not any(crashes <= others for others in absent):
                    return Blocked(key, len(crashes), remaining_ms)
            suspect_keys.append(key)
        return NeedsTrial(tuple(suspect_keys)) if suspect_keys else Allowed()

    def _block_remaining_ms(self, key: int, now_ms: float) -> float:
        if self._findings().get(key) is not _Finding.GUILTY:
            return 0.0
        evidence = self._evidence_by_key[key]
        block_ms = _block_ms(len(evidence.open_crashes()))
        return max(0.0, evidence.last_crash_ms + block_ms - now_ms)

    def _crashes_of_absent(self, keys: Collection[int]) -> frozenset[frozenset[int]]:
        """Return the crashes of each guilty key that a request lacks.

        They explain all crashes of a guilty key of the request that were among them:
        requests that contained both do not tell which of them was the cause. One that
        lacks the other does, so it may be tried. A key that belongs to one request
        explains nothing: all others lack it.
        """
        present = frozenset(keys)
        return frozenset(
            self._evidence_by_key[other].open_crashes()
            for other, finding in self._findings().items()
            if finding is _Finding.GUILTY
            and other not in present
            and not other & OWN_KEY_BIT
        )

    def _findings(self) -> dict[int, _Finding]:
        if self._finding_by_key is None:
            self._finding_by_key = dict(self._derive_findings())
        return self._finding_by_key

    def _derive_findings(self) -> Iterator[tuple[int, _Finding]]:
        """Yield the findings, the keys with the most open crashes first.

        Crashes of a guilty key are no evidence against keys with fewer open crashes,
        whose requests were only beside it.
        """
        open_by_key = {
            key: crashes
            for key, evidence in self._evidence_by_key.items()
            if (crashes := evidence.open_crashes())
        }
        by_count = sorted(open_by_key, key=lambda key: -len(open_by_key[key]))
        explained: set[int] = set()
        for _, group in groupby(by_count, key=lambda key: len(open_by_key[key])):
            guilty = []
            for key in group:
                left = len(open_by_key[key] - explained)
                needed = self._evidence_by_key[key].needed_crashes()
                if left >= needed + BLOCKING_CRASHES - 1:
                    guilty.append(key)
                    yield key, _Finding.GUILTY
                elif left >= needed:
                    yield key, _Finding.SUSPECT
            for key in guilty:
                explained |= open_by_key[key]

    def on_answered(self, keys: Iterable[int], now_ms: float) -> tuple[int, ...]:
        """Record that an answer has begun; return the keys that this clears."""
        cleared_keys = []
        for key in keys:
            self._answered_ms_by_key[key] = now_ms
            self._answered_ms_by_key.move_to_end(key)
            if self._set_answered(key, now_ms, now_ms):
                cleared_keys.append(key)
        while len(self._answered_ms_by_key) > MAX_ANSWERED_KEYS:
            self._answered_ms_by_key.popitem(last=False)
        return tuple(cleared_keys)

    def _set_answered(self, key: int, answered_ms: float, now_ms: float) -> bool:
        """Record an answer of a key with crashes; return whether it clears any."""
        evidence = self._evidence_by_key.get(key)
        if evidence is None or answered_ms <= evidence.answered_ms:
            return False
        had_open = bool(evidence.open_crashes())
        evidence.answered_ms = answered_ms
        if had_open:
            evidence.changed_ms = now_ms
            self._finding_by_key = None
        return had_open and not evidence.open_crashes()

    def on_crash(
        self, crash: int, unanswered: Iterable[Collection[int]], now_ms: float
    ) -> tuple[int, ...]:
        """Record a crash and the keys of each unanswered request at that endpoint.

        Returns the keys that are blocked by it.
        """
        keys = {key for request_keys in unanswered for key in request_keys}
        changed = [key for key in keys if self._add_crash(key, crash, now_ms, now_ms)]
        return self._newly_blocked(changed, now_ms)

    def merge(self, rows: Iterable[SuspectRow], now_ms: float) -> tuple[int, ...]:
        """Add what a peer knows; return the keys that are blocked by it."""
        changed = []
        for row in rows:
            for crash, age_ms in row.age_ms_by_crash:
                if self._add_crash(row.key, crash, now_ms - age_ms, now_ms):
                    changed.append(row.key)
            if row.answered_age_ms is not None:
                self._set_answered(row.key, now_ms - row.answered_age_ms, now_ms)
            self._offer_newer_answer(row, now_ms)
        return self._newly_blocked(changed, now_ms)

    def _offer_newer_answer(self, row: SuspectRow, now_ms: float) -> None:
        """Mark a key as changed if the peer misses an answer that clears crashes."""
        evidence = self._evidence_by_key.get(row.key)
        if evidence is None or row.answered_age_ms is not None:
            return
        if evidence.answered_ms > NEVER_MS:
            evidence.changed_ms = now_ms

    def _add_crash(
        self, key: int, crash: int, crashed_ms: float, now_ms: float
    ) -> bool:
        """Add a crash of a key; return whether it was not known and still counts."""
        if crash in self._void_crashes:
            return False
        evidence = self._evidence_by_key.get(key)
        if evidence is None:
            answered_ms = self._answered_ms_by_key.get(key, NEVER_MS)
            evidence = _Evidence(answered_ms=answered_ms)
        known_ms = evidence.crashed_ms_by_id.get(crash)
        if known_ms is not None:
            # The first router that saw a crash knows its time best.
            if crashed_ms < known_ms:
                evidence.crashed_ms_by_id[crash] = crashed_ms
                self._finding_by_key = None
            return False
        evidence.crashed_ms_by_id[crash] = crashed_ms
        while len(evidence.crashed_ms_by_id) > MAX_CRASHES_PER_KEY:
            by_id = evidence.crashed_ms_by_id
            del by_id[min(by_id, key=lambda each: by_id[each])]
        if crash not in evidence.crashed_ms_by_id or now_ms >= evidence.expires_ms():
            return False
        self._evidence_by_key[key] = evidence
        evidence.changed_ms = now_ms
        self._finding_by_key = None
        return True

    def _newly_blocked(
        self, changed: Collection[int], now_ms: float
    ) -> tuple[int, ...]:
        if changed:
            self._drop_surplus()
        return tuple(
            key
            for key in dict.fromkeys(changed)
            if self._block_remaining_ms(key, now_ms) > 0.0
        )

    def void_crash(self, crash: int, now_ms: float) -> None:
        """Forget a crash that has turned out to be a planned stop."""
        self._void_crashes[crash] = None
        while len(self._void_crashes) > MAX_VOID_CRASHES:
            self._void_crashes.popitem(last=False)
        for evidence in self._evidence_by_key.values():
            if evidence.crashed_ms_by_id.pop(crash, None) is not None:
                self._finding_by_key = None

    def lift(self, key: int, now_ms: float) -> bool:
        """Clear a key on an operator's order; return False if it is no suspect."""
        return self._set_answered(key, now_ms, now_ms)

    def _drop_surplus(self) -> None:
        surplus = len(self._evidence_by_key) - MAX_KEYS
        if surplus <= 0:
            return
        by_weight = sorted(
            self._evidence_by_key,
            key=lambda key: (
                len(self._evidence_by_key[key].open_crashes()),
                not key & OWN_KEY_BIT,
                self._evidence_by_key[key].last_crash_ms,
            ),
        )
        for key in by_weight[:surplus]:
            del self._evidence_by_key[key]
        self._finding_by_key = None

    def drop_expired(self, now_ms: float) -> None:
        """Drop the evidence that does not count any more."""
        for key, evidence in list(self._evidence_by_key.items()):
            if now_ms >= evidence.expires_ms():
                del self._evidence_by_key[key]
                self._finding_by_key = None

    def rows(self, now_ms: float) -> list[SuspectRow]:
        """Return what peers should know, the keys with the most open crashes first."""
        return self._rows(self._evidence_by_key, now_ms)

    def rows_changed(self, since_ms: float, now_ms: float) -> list[SuspectRow]:
        """Return the rows of keys that changed since `since_ms`, in the same order."""
        keys = [
            key
            for key, evidence in self._evidence_by_key.items()
            if evidence.changed_ms >= since_ms
        ]
        return self._rows(keys, now_ms)

    def _rows(self, keys: Iterable[int], now_ms: float) -> list[SuspectRow]:
        by_weight = sorted(
            keys,
            key=lambda key: (
                len(self._evidence_by_key[key].open_crashes()),
                not key & OWN_KEY_BIT,
                self._evidence_by_key[key].changed_ms,
            ),
            reverse=True,
        )
        return [self._row(key, now_ms) for key in by_weight]

    def _row(self, key: int, now_ms: float) -> SuspectRow:
        evidence = self._evidence_by_key[key]
        answered_age_ms = None
        if evidence.answered_ms > NEVER_MS:
            answered_age_ms = max(0, int(now_ms - evidence.answered_ms))
        ages = (
            (crash, max(0, int(now_ms - crashed_ms)))
            for crash, crashed_ms in evidence.crashed_ms_by_id.items()
        )
        return SuspectRow(key, tuple(ages), answered_age_ms)

    def statuses(self, now_ms: float) -> Iterator[SuspectStatus]:
        """Yield the suspects, blocked or not."""
        for key in self._findings():
            crashes = len(self._evidence_by_key[key].open_crashes())
            yield SuspectStatus(key, crashes, self._block_remaining_ms(key, now_ms))
