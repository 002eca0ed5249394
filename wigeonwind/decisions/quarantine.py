"""Quarantine of prompt parts and requests that crash the endpoints which run them.

A request has keys, one for each part of its prompt or one for the whole request. When
an endpoint crashes, the keys of the requests that it had not begun to answer become
suspects. An answer that begins clears the keys of its request. A suspect is tried by
one request at a time; a key that is under suspicion for several crashes is blocked.

The state is a grow-only set of crashes and one of cleared crashes for each key, so that
messages between routers may be lost, repeated or reordered.
"""

from collections import OrderedDict
from collections.abc import Collection, Iterable, Iterator
from dataclasses import dataclass, field

BLOCKING_CRASHES = 2
"""Crashes, without an answer since, from which a key is blocked."""

RECENT_ANSWER_MS = 60_000.0
"""Age up to which an answer clears a key of the next crash. A key that has just been
answered has probably not caused it."""

BLOCK_MS_BY_CRASHES = {2: 60_000.0, 3: 300_000.0, 4: 1_200_000.0}
"""Time for which a key is blocked after its last crash, by the number of crashes."""

LONGEST_BLOCK_MS = 3_600_000.0
"""Time for which a key is blocked after more crashes. A trial each hour finds out that
a new model version has no such fault, and costs at most one crash."""

RETENTION_MS = 60_000.0
"""Time for which a key is kept after its block or its last change. It outlasts a
partition of the network, after which peers send what they know again."""

OWN_KEY_BIT = 1
"""Set in keys of what belongs to one request or session and is not shared by others."""

MAX_SUSPECTS = 256
"""Most keys with crashes. Beyond it, the key whose last crash is the oldest is dropped,
blocked ones last."""

MAX_CRASHES_PER_KEY = 8
"""Most crashes that are kept for a key; more do not change how it is handled."""

MAX_ANSWERED_KEYS = 4_096
"""Most keys whose last answer is kept, the most recent ones."""


@dataclass(frozen=True, slots=True)
class SuspectRow:
    """What a router knows of one key, as sent to its peers.

    Crashes are identified by the short id of the endpoint's incarnation. `cleared` is a
    subset of `crashes`.
    """

    key: int
    crashes: tuple[int, ...]
    cleared: tuple[int, ...]


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
    cleared: int
    blocked_ms: float


@dataclass(slots=True)
class _Suspect:
    """The crashes of one key; times are clock readings."""

    crashes: dict[int, float] = field(default_factory=dict)
    """When each crash was learned of, by crash."""
    cleared: set[int] = field(default_factory=set)
    changed_ms: float = 0.0
    blocked_until_ms: float = 0.0

    @property
    def open_crashes(self) -> set[int]:
        """Return the crashes that the key may have caused."""
        return set(self.crashes) - self.cleared

    @property
    def is_blocking(self) -> bool:
        """Return whether the key has been blocked since its last answer."""
        return len(self.open_crashes) >= BLOCKING_CRASHES


class Quarantine:
    """The suspects that a router knows of, from its own requests and its peers."""

    def __init__(self) -> None:
        self._suspect_by_key: dict[int, _Suspect] = {}
        self._answered_ms_by_key: OrderedDict[int, float] = OrderedDict()

    def verdict(self, keys: Collection[int], now_ms: float) -> Verdict:
        """Return how a request with these keys is to be handled."""
        suspect_keys = []
        for key in keys:
            suspect = self._suspect_by_key.get(key)
            if suspect is None or not suspect.open_crashes:
                continue
            is_blocked = suspect.is_blocking and now_ms < suspect.blocked_until_ms
            if is_blocked and not self._is_explained_by_absent(key, keys):
                remaining_ms = suspect.blocked_until_ms - now_ms
                return Blocked(key, len(suspect.open_crashes), remaining_ms)
            suspect_keys.append(key)
        return NeedsTrial(tuple(suspect_keys)) if suspect_keys else Allowed()

    def _is_explained_by_absent(self, key: int, keys: Collection[int]) -> bool:
        """Return whether another blocked key explains all crashes of a blocked key.

        Requests that contained both do not tell which of them was the cause. One that
        lacks the other does, so `keys` of a request without it may be tried. A key that
        belongs to one request explains nothing: all others lack it.
        """
        crashes = self._suspect_by_key[key].open_crashes
        return any(
            other.is_blocking and crashes <= other.open_crashes
            for other_key, other in self._suspect_by_key.items()
            if other_key not in keys and not other_key & OWN_KEY_BIT
        )

    def on_answered(self, keys: Iterable[int], now_ms: float) -> tuple[int, ...]:
        """Record that an answer has begun; return the keys that this clears."""
        cleared_keys = []
        for key in keys:
            self._answered_ms_by_key[key] = now_ms
            self._answered_ms_by_key.move_to_end(key)
            suspect = self._suspect_by_key.get(key)
            if suspect is not None and suspect.open_crashes:
                self._clear(suspect, suspect.open_crashes, now_ms)
                cleared_keys.append(key)
        while len(self._answered_ms_by_key) > MAX_ANSWERED_KEYS:
            self._answered_ms_by_key.popitem(last=False)
        return tuple(cleared_keys)

    def on_crash(
        self, crash: int, unanswered: Collection[Collection[int]], now_ms: float
    ) -> tuple[int, ...]:
        """Record a crash and the keys of each unanswered request at that endpoint.

        Returns the keys that are blocked from now on. If requests with suspects were
        among them, these explain the crash, and only they are recorded.
        """
        keys = {key for request_keys in unanswered for key in request_keys}
        known = {key for key in keys if self._has_open_crash(key, crash)}
        suspects = sorted(known or keys)
        return self._record(dict.fromkeys(suspects, (crash,)), now_ms)

    def _has_open_crash(self, key: int, except_crash: int) -> bool:
        suspect = self._suspect_by_key.get(key)
        return suspect is not None and bool(suspect.open_crashes - {except_crash})

    def merge(self, rows: Iterable[SuspectRow], now_ms: float) -> tuple[int, ...]:
        """Add what a peer knows; return the keys that are blocked from now on."""
        crashes_by_key = {}
        for row in rows:
            crashes_by_key[row.key] = row.crashes
            suspect = self._suspect_by_key.setdefault(row.key, _Suspect())
            self._clear(suspect, row.cleared, now_ms)
        return self._record(crashes_by_key, now_ms)

    def _record(
        self, crashes_by_key: dict[int, tuple[int, ...]], now_ms: float
    ) -> tuple[int, ...]:
        blocked = []
        for key, crashes in crashes_by_key.items():
            for crash in crashes:
                if self._add_crash(key, crash, now_ms):
                    blocked.append(key)
        for key in blocked:
            self._explain(key, now_ms)
        self._drop_surplus()
        return tuple(dict.fromkeys(blocked))

    def _add_crash(self, key: int, crash: int, now_ms: float) -> bool:
        """Record a crash of a key; return whether the key is blocked by it."""
        suspect = self._suspect_by_key.setdefault(key, _Suspect())
        if crash in suspect.crashes or not _make_room(suspect):
            return False
        last_crash_ms = max(suspect.crashes.values(), default=float("-inf"))
        answered_ms = self._answered_ms_by_key.get(key, float("-inf"))
        suspect.crashes[crash] = suspect.changed_ms = now_ms
        is_recent = now_ms - answered_ms <= RECENT_ANSWER_MS
        if is_recent and answered_ms > last_crash_ms:
            suspect.cleared.add(crash)
            return False
        if crash in suspect.cleared or not suspect.is_blocking:
            return False
        count = len(suspect.open_crashes)
        block_ms = BLOCK_MS_BY_CRASHES.get(count, LONGEST_BLOCK_MS)
        suspect.blocked_until_ms = now_ms + block_ms
        return True

    def _explain(self, blocked_key: int, now_ms: float) -> None:
        """Clear other keys of the crashes that a blocked key explains."""
        crashes = self._suspect_by_key[blocked_key].open_crashes
        for key, suspect in self._suspect_by_key.items():
            if key != blocked_key and not suspect.is_blocking:
                self._clear(suspect, suspect.open_crashes & crashes, now_ms)

    def _clear(self, suspect: _Suspect, crashes: Iterable[int], now_ms: float) -> None:
        new = set(crashes) - suspect.cleared
        if new:
            suspect.cleared |= new
            suspect.changed_ms = now_ms

    def void_crash(self, crash: int, now_ms: float) -> None:
        """Clear all keys of a crash that has turned out to be a planned stop."""
        for suspect in self._suspect_by_key.values():
            self._clear(suspect, suspect.open_crashes & {crash}, now_ms)

    def lift(self, key: int, now_ms: float) -> bool:
        """Clear a key on an operator's order; return False if it is no suspect."""
        suspect = self._suspect_by_key.get(key)
        if suspect is None or not suspect.open_crashes:
            return False
        self._clear(suspect, suspect.open_crashes, now_ms)
        return True

    def is_suspect(self, key: int) -> bool:
        """Return whether the key is a suspect, blocked or not."""
        suspect = self._suspect_by_key.get(key)
        return suspect is not None and bool(suspect.open_crashes)

    def _drop_surplus(self) -> None:
        surplus = len(self._suspect_by_key) - MAX_SUSPECTS
        if surplus <= 0:
            return
        oldest_first = sorted(
            self._suspect_by_key.items(),
            key=lambda item: (item[1].is_blocking, item[1].changed_ms),
        )
        for key, _ in oldest_first[:surplus]:
            del self._suspect_by_key[key]

    def drop_expired(self, now_ms: float) -> None:
        """Drop keys that have been neither blocked nor changed for RETENTION_MS."""
        for key, suspect in list(self._suspect_by_key.items()):
            until_ms = max(suspect.changed_ms, suspect.blocked_until_ms) + RETENTION_MS
            if now_ms >= until_ms:
                del self._suspect_by_key[key]

    def rows(self) -> Iterator[SuspectRow]:
        """Yield what peers should know of the suspects."""
        yield from (
            _row(key, suspect)
            for key, suspect in self._suspect_by_key.items()
            if suspect.open_crashes
        )

    def rows_changed(self, since_ms: float) -> Iterator[SuspectRow]:
        """Yield what peers should know of keys that changed since `since_ms`."""
        yield from (
            _row(key, suspect)
            for key, suspect in self._suspect_by_key.items()
            if suspect.changed_ms >= since_ms
        )

    def statuses(self, now_ms: float) -> Iterator[SuspectStatus]:
        """Yield the suspects, blocked or not."""
        for key, suspect in self._suspect_by_key.items():
            if suspect.open_crashes:
                blocked_ms = (
                    max(0.0, suspect.blocked_until_ms - now_ms)
                    if suspect.is_blocking
                    else 0.0
                )
                yield SuspectStatus(
                    key, len(suspect.open_crashes), len(suspect.cleared), blocked_ms
                )


def _make_room(suspect: _Suspect) -> bool:
    """Drop a cleared crash if there are too many; return whether one can be added."""
    if len(suspect.crashes) < MAX_CRASHES_PER_KEY:
        return True
    for crash in suspect.crashes:
        if crash in suspect.cleared:
            del suspect.crashes[crash]
            suspect.cleared.discard(crash)
            return True
    return False


def _row(key: int, suspect: _Suspect) -> SuspectRow:
    cleared = suspect.cleared & suspect.crashes.keys()
    return SuspectRow(key, tuple(suspect.crashes), tuple(sorted(cleared)))
