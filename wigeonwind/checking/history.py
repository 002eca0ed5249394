"""Records of what callers, entries, sidecars and endpoints observed in one run.

All times are wall-clock milliseconds of the machine that runs the fleet. A history file
has one JSON object per line, with the name of the record under `record`.
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
    """How a response ended, as the caller saw it."""

    WHOLE = "whole"
    REFUSED = "refused"
    """An error response; its outcome header says whether the request was executed."""
    ERROR_EVENT = "error-event"
    """A stream ended with an error event."""
    BROKEN = "broken"
    """The connection was closed before the end of the response."""
    UNREACHED = "unreached"
    """The connection to the entry could not be opened."""
    TIMED_OUT = "timed-out"
    """The caller stopped waiting."""


@dataclass(frozen=True)
class Piece:
    """A piece of a response text and the time at which it arrived."""

    at_ms: float
    text: str


@RECORDS.register("class")
@dataclass(frozen=True)
class ClassSeen(Record):
    """A request class in the configuration of the run."""

    name: str
    priority: int
    max_wait_ms: float
    target_kind: str
    target_ms: float


@RECORDS.register("endpoint")
@dataclass(frozen=True)
class EndpointSeen(Record):
    """An endpoint, its sidecar (`member_id`) and its number of batch slots."""

    member_id: str
    service: str
    kind: str
    slots: int


@RECORDS.register("request")
@dataclass(frozen=True)
class RequestSeen(Record):
    """One request as its caller saw it.

    `number` is assigned by the caller and unique in the run; endpoints of plain
    services receive it in the header X-Load-Number. `request_id` is assigned by the
    entry and empty if no response arrived. `intended_ms` is the time at which the load
    plan was to send it; `first_ms` is that of the first piece, None if there was none.
    `key` is the idempotency key of a booking, empty for other requests. `status` is 0
    if no response began; the entry reports `outcome`, `code` and `message`.
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
        """Return the response text received so far."""
        return "".join(piece.text for piece in self.pieces)


@RECORDS.register("execution")
@dataclass(frozen=True)
class ExecutionSeen(Record):
    """An attempt that an endpoint began to execute.

    Engines record `request_id` as `REQUEST.ATTEMPT`. `number` is that of the request,
    -1 if the endpoint did not receive it.
    """

    member_id: str
    at_ms: float
    request_id: str = ""
    number: int = -1
    key: str = ""


class MemberChange(Enum):
    """What the fault run did to a process or observed of it."""

    STARTED = "started"
    DRAIN = "drain"
    """A planned stop began with SIGTERM."""
    STOPPED = "stopped"
    """The process exited, after a planned stop or unexpectedly."""
    KILLED = "killed"
    FROZEN = "frozen"
    THAWED = "thawed"


@RECORDS.register("member")
@dataclass(frozen=True)
class MemberSeen(Record):
    """A change of a process; `start` numbers the starts under this id from 1."""

    member_id: str
    role: str
    start: int
    at_ms: float
    change: MemberChange
    exit_code: int | None = None


@RECORDS.register("fault")
@dataclass(frozen=True)
class FaultSeen(Record):
    """A fault of a test double from its injection until it was cleared.

    `target` is the double, or the sidecar of the endpoint that the double represents.
    """

    target: str
    name: str
    from_ms: float
    until_ms: float


@RECORDS.register("text-accepted")
@dataclass(frozen=True)
class TextAccepted(Record):
    """An operator received the acceptance of a configuration from `entry`.

    `zones` are those in which the version was confirmed before the response.
    """

    version: int
    digest: str
    entry: str
    at_ms: float
    zones: tuple[str, ...] = ()


@RECORDS.register("text-seen")
@dataclass(frozen=True)
class TextSeen(Record):
    """The configuration in force in a process when it was polled.

    `digest` is empty if only the version was polled.
    """

    member_id: str
    start: int
    at_ms: float
    version: int
    digest: str = ""


@RECORDS.register("paused")
@dataclass(frozen=True)
class PausedSeen(Record):
    """An endpoint received a pause command for a request; ids as in `ExecutionSeen`."""

    member_id: str
    at_ms: float
    request_id: str


@RECORDS.register("resumed")
@dataclass(frozen=True)
class ResumedSeen(Record):
    """An endpoint resumed a paused request; ids as in `ExecutionSeen`."""

    member_id: str
    at_ms: float
    request_id: str


RecordT = TypeVar("RecordT", bound=Record)


@dataclass(frozen=True)
class History:
    """All records of a run."""

    records: tuple[Record, ...]

    def of(self, kind: type[RecordT]) -> Iterator[RecordT]:
        """Yield the records of one type in order."""
        return (record for record in self.records if isinstance(record, kind))


def to_json(record: Record) -> str:
    """Encode a record as one line of JSON."""
    names = [name for name, kind in RECORDS if kind is type(record)]
    assert names, f"record type is not registered: {type(record)}"
    return json.dumps({"record": names[0], **asdict(record)}, default=_enum_value)


def _enum_value(value: Any) -> Any:
    assert isinstance(value, Enum)
    return value.value


def from_json(line: str) -> Record:
    """Decode a record; raise ValueError if the line does not hold one."""
    values = json.loads(line)
    kind = RECORDS.get(str(values.pop("record", "")))
    if kind is None:
        raise ValueError(f"unknown record type: {line[:80]}")
    known_fields = {each.name for each in fields(kind)}
    if not known_fields.issuperset(values):
        raise ValueError(
            f"unknown fields {sorted(set(values) - known_fields)}: {line[:80]}"
        )
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
    """Read a history file; raise OSError or ValueError if it cannot be read."""
    with open(path, encoding="utf-8") as file:
        return History(tuple(from_json(line) for line in file if line.strip()))
