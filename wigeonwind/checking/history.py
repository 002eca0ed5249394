"""What callers, entries, sidecars and endpoints saw in one run, as frozen records.

All times are wall-clock milliseconds of the one machine that runs the fleet. A history
file has one JSON object a line, with the record's name under `record`.
"""

import json
from collections.abc import Iterable, Iterator
from dataclasses import asdict, dataclass, fields
from enum import Enum
from typing import Any, TypeVar

from wigeonwind.registry import Registry


@dataclass(frozen=True)
class Record:
    """Base of all records."""


RECORDS: Registry[type[Record]] = Registry("record")


class End(Enum):
    """How an answer ended, as the caller saw it."""

    WHOLE = "whole"
    REFUSED = "refused"
    """An error reply; its outcome header says what is certain."""
    ERROR_EVENT = "error-event"
    """A stream that had begun ended in an error event."""
    BROKEN = "broken"
    """The connection broke before the end."""
    UNREACHED = "unreached"
    """No connection to the entry."""
    TIMED_OUT = "timed-out"
    """The caller gave up."""


@dataclass(frozen=True)
class Piece:
    """A part of an answer's text and when it arrived."""

    at_ms: float
    text: str


@RECORDS.register("class")
@dataclass(frozen=True)
class ClassSeen(Record):
    """A request class as the configuration of the run states it."""

    name: str
    priority: int
    max_wait_ms: float
    target_kind: str
    target_ms: float


@RECORDS.register("endpoint")
@dataclass(frozen=True)
class EndpointSeen(Record):
    """An endpoint, the sidecar that owns it and its batch slots."""

    member_id: str
    service: str
    kind: str
    slots: int


@RECORDS.register("request")
@dataclass(frozen=True)
class RequestSeen(Record):
    """One request as its caller saw it.

    `number` is the caller's own and unique in the run; endpoints of plain services see
    it in the header X-Load-Number. `request_id` is the entry's, empty if no reply came.
    `intended_ms` is when the load plan wanted it sent.
    """

    number: int
    entry: str
    service: str
    request_class: str
    customer: str
    intended_ms: float
    sent_ms: float
    ended_ms: float
    end: End
    first_ms: float | None = None
    prompt: str = ""
    max_tokens: int | None = None
    key: str = ""
    body: str = ""
    status: int = 0
    outcome: str = ""
    code: str = ""
    message: str = ""
    request_id: str = ""
    pieces: tuple[Piece, ...] = ()

    @property
    def text(self) -> str:
        """Return the answer as far as it arrived."""
        return "".join(piece.text for piece in self.pieces)


@RECORDS.register("execution")
@dataclass(frozen=True)
class ExecutionSeen(Record):
    """Work that an endpoint began. Engines know the id `REQUEST.ATTEMPT`.

    `number` is that of the request, -1 where the endpoint did not see it.
    """

    member_id: str
    at_ms: float
    request_id: str = ""
    number: int = -1
    key: str = ""


class MemberChange(Enum):
    """What the test tool did to a process or saw of it."""

    STARTED = "started"
    DRAIN = "drain"
    STOPPED = "stopped"
    KILLED = "killed"
    FROZEN = "frozen"
    THAWED = "thawed"


@RECORDS.register("member")
@dataclass(frozen=True)
class MemberSeen(Record):
    """A change of a process; `start` counts its starts under this id."""

    member_id: str
    role: str
    start: int
    at_ms: float
    change: MemberChange
    exit_code: int | None = None


@RECORDS.register("fault")
@dataclass(frozen=True)
class FaultSeen(Record):
    """A fault of a test double, from its start until it was cleared."""

    target: str
    name: str
    from_ms: float
    until_ms: float


@RECORDS.register("text-accepted")
@dataclass(frozen=True)
class TextAccepted(Record):
    """An operator was told that a text is accepted."""

    version: int
    digest: str
    entry: str
    at_ms: float
    zones: tuple[str, ...] = ()


@RECORDS.register("text-seen")
@dataclass(frozen=True)
class TextSeen(Record):
    """The text in force in a process when it was asked."""

    member_id: str
    start: int
    at_ms: float
    version: int
    digest: str = ""


@RECORDS.register("paused")
@dataclass(frozen=True)
class PausedSeen(Record):
    """An endpoint was told to pause a request; ids as in `ExecutionSeen`."""

    member_id: str
    at_ms: float
    request_id: str


@RECORDS.register("resumed")
@dataclass(frozen=True)
class ResumedSeen(Record):
    """An endpoint went on with a paused request; ids as in `ExecutionSeen`."""

    member_id: str
    at_ms: float
    request_id: str


R = TypeVar("R", bound=Record)


@dataclass(frozen=True)
class History:
    """All records of a run."""

    records: tuple[Record, ...]

    def of(self, kind: type[R]) -> Iterator[R]:
        """Yield the records of one kind in their order."""
        return (record for record in self.records if isinstance(record, kind))


def to_json(record: Record) -> str:
    """Return a record as one line of JSON."""
    names = [name for name, kind in RECORDS if kind is type(record)]
    assert names, f"not registered: {type(record)}"
    return json.dumps({"record": names[0], **asdict(record)}, default=_enum_value)


def _enum_value(value: Any) -> Any:
    assert isinstance(value, Enum)
    return value.value


def from_json(line: str) -> Record:
    """Read a record; raise ValueError for a line that is none."""
    values = json.loads(line)
    kind = RECORDS.get(str(values.pop("record", "")))
    if kind is None:
        raise ValueError(f"no record: {line[:80]}")
    known = {each.name for each in fields(kind)}
    if not known.issuperset(values):
        raise ValueError(f"unknown fields {sorted(set(values) - known)}: {line[:80]}")
    return kind(**{name: _convert(name, value) for name, value in values.items()})


def _convert(name: str, value: Any) -> Any:
    if name == "end":
        return End(value)
    if name == "change":
        return MemberChange(value)
    if name == "pieces":
        return tuple(Piece(**piece) for piece in value)
    return tuple(value) if isinstance(value, list) else value


def write_history(path: str, records: Iterable[Record]) -> None:
    """Write a history file."""
    with open(path, "w", encoding="utf-8") as file:
        file.writelines(to_json(record) + "\n" for record in records)


def read_history(path: str) -> History:
    """Read a history file; raise ValueError or OSError where it cannot be read."""
    with open(path, encoding="utf-8") as file:
        return History(tuple(from_json(line) for line in file if line.strip()))
