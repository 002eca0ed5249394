"""Faults that can be switched on in a test double, by name.

Each fault is a frozen data class; the body of `POST /faults` holds its `name` and
values of its fields. The metadata of a field limits its values.
"""

from collections.abc import Iterator, Mapping
from dataclasses import Field, dataclass, field, fields, replace
from math import inf
from typing import Any, TypeVar

from wigeonwind.outcomes import Invalid, Ok, Problem
from wigeonwind.registry import Registry


@dataclass(frozen=True)
class Fault:
    """Base class of all faults."""


@dataclass(frozen=True)
class CountedFault(Fault):
    """A fault that affects the next `count` requests of its kind."""

    count: int = 1


FAULTS: Registry[type[Fault]] = Registry("fault")


@FAULTS.register("straggle")
@dataclass(frozen=True)
class Straggle(Fault):
    """Each iteration of an engine takes `factor` times as long."""

    factor: float = field(default=3.0, metadata={"at_least": 0.01})


@FAULTS.register("crash")
@dataclass(frozen=True)
class Crash(Fault):
    """The server closes all connections and stops responding.

    The crash lasts until the fault is cleared; with `exit_process` the process ends
    instead. An engine crashes after `after_tokens` more tokens, 0 for at once. If
    `when` is `before` or `after`, a plain service crashes before or after it executes
    the next booking.
    """

    after_tokens: int = 0
    when: str = field(default="now", metadata={"choices": ("now", "before", "after")})
    exit_process: bool = False

    @property
    def is_immediate(self) -> bool:
        """Return whether the server crashes as soon as the fault is switched on."""
        return self.when == "now" and not self.after_tokens


@FAULTS.register("freeze")
@dataclass(frozen=True)
class Freeze(Fault):
    """Connections are accepted, but requests get no response."""


@FAULTS.register("outage")
@dataclass(frozen=True)
class Outage(Fault):
    """Every request gets status 503."""


@FAULTS.register("slow")
@dataclass(frozen=True)
class Slow(Fault):
    """Every request takes effect `ms` milliseconds after it was received."""

    ms: float = 1000.0


@FAULTS.register("lose_answers")
@dataclass(frozen=True)
class LoseAnswers(CountedFault):
    """The next `count` writes take effect, but get no response."""


@FAULTS.register("lag")
@dataclass(frozen=True)
class Lag(Fault):
    """Load reports, cache events or the VM list lag by `ms` milliseconds."""

    ms: float = 30_000.0


@FAULTS.register("event_gap")
@dataclass(frozen=True)
class EventGap(Fault):
    """This share (0 to 1) of cache events is never reported."""

    share: float = field(default=0.3, metadata={"at_most": 1.0})


@FAULTS.register("ignore_fence")
@dataclass(frozen=True)
class IgnoreFence(Fault):
    """An engine accepts control commands with old fencing tokens."""


@FAULTS.register("skip_watch")
@dataclass(frozen=True)
class SkipWatch(CountedFault):
    """The next `count` watch responses with events omit their first event."""


@FAULTS.register("repeat_watch")
@dataclass(frozen=True)
class RepeatWatch(CountedFault):
    """The next `count` watch responses repeat the latest earlier event."""


FaultT = TypeVar("FaultT", bound=Fault)


class ActiveFaults:
    """The faults that are switched on in one test double.

    >>> active = ActiveFaults()
    >>> active.switch_on(LoseAnswers(count=1))
    >>> active.consume(LoseAnswers), active.consume(LoseAnswers)
    (True, False)
    """

    def __init__(self) -> None:
        self._fault_by_type: dict[type[Fault], Fault] = {}

    def switch_on(self, fault: Fault) -> None:
        """Add a fault, in place of an active one of the same type."""
        self._fault_by_type[type(fault)] = fault

    def switch_off(self, fault_type: type[Fault]) -> None:
        """Remove the fault of this type, if any."""
        self._fault_by_type.pop(fault_type, None)

    def clear(self) -> None:
        """Remove all faults."""
        self._fault_by_type.clear()

    def find(self, fault_type: type[FaultT]) -> FaultT | None:
        """Return the active fault of this type, None if there is none."""
        fault = self._fault_by_type.get(fault_type)
        return fault if isinstance(fault, fault_type) else None

    def consume(self, fault_type: type[CountedFault]) -> bool:
        """Return whether a fault of this type affects the current request.

        If it does, its count is decremented.
        """
        fault = self.find(fault_type)
        if fault is None or fault.count <= 0:
            return False
        self.switch_on(replace(fault, count=fault.count - 1))
        return True

    def names(self) -> list[str]:
        """Return the names of the active faults."""
        return [
            name for name, fault_type in FAULTS if fault_type in self._fault_by_type
        ]


def read_fault(body: Any, supported: frozenset[str]) -> Ok[Fault] | Invalid:
    """Parse the body of `POST /faults`; report all its errors.

    >>> read_fault({"name": "slow", "ms": 20}, frozenset({"slow"}))
    Ok(value=Slow(ms=20.0))
    >>> read_fault({"name": "slow", "s": 1}, frozenset({"slow"})).problems[0].key
    's'
    """
    if not isinstance(body, dict):
        return Invalid((Problem("faults", "", str(body)[:80], "a JSON object"),))
    name = body.get("name")
    fault_type = (
        FAULTS.get(name) if isinstance(name, str) and name in supported else None
    )
    if fault_type is None:
        expected = f"one of {', '.join(sorted(supported))}"
        return Invalid((Problem("faults", "name", str(name), expected),))
    values = {key: value for key, value in body.items() if key != "name"}
    problems = tuple(_validate(fault_type, values))
    if problems:
        return Invalid(problems)
    type_by_key = {field.name: field.type for field in fields(fault_type)}
    converted = {
        key: float(value) if type_by_key[key] is float else value
        for key, value in values.items()
    }
    return Ok(fault_type(**converted))


def _validate(fault_type: type[Fault], values: Mapping[str, Any]) -> Iterator[Problem]:
    field_by_key = {field.name: field for field in fields(fault_type)}
    for key, value in values.items():
        if key not in field_by_key:
            allowed_keys = ", ".join(field_by_key) or "none"
            yield Problem("faults", key, str(value), f"an allowed key ({allowed_keys})")
        elif not _is_valid(value, field_by_key[key]):
            expected = _describe_expected(field_by_key[key])
            yield Problem("faults", key, str(value), expected)


def _is_valid(value: Any, field: Field) -> bool:
    if field.type is str:
        return value in field.metadata["choices"]
    if field.type is bool or isinstance(value, bool):
        return isinstance(value, bool) and field.type is bool
    allowed = (int, float) if field.type is float else (int,)
    minimum, maximum = (
        field.metadata.get("at_least", 0),
        field.metadata.get("at_most", inf),
    )
    return isinstance(value, allowed) and minimum <= value <= maximum and value != inf


def _describe_expected(field: Field) -> str:
    if field.type is str:
        return f"one of {', '.join(field.metadata['choices'])}"
    if field.type is bool:
        return "true or false"
    minimum, maximum = (
        field.metadata.get("at_least", 0),
        field.metadata.get("at_most", ""),
    )
    kind = "a number" if field.type is float else "an integer"
    return f"{kind}, {minimum} or more" + (f", at most {maximum}" if maximum else "")
