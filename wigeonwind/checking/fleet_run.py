"""One run of a real fleet under load and faults, and the check of its history."""

import tempfile
from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace
from pathlib import Path

import gevent
from gevent.pool import Group

from wigeonwind.addresses import parse_address
from wigeonwind.catalog import Catalog, ServiceKind
from wigeonwind.checking import fault_actions as fault_actions
from wigeonwind.checking.check import check_history
from wigeonwind.checking.history import (
    ClassSeen,
    EndpointSeen,
    ExecutionSeen,
    History,
    PausedSeen,
    Record,
    RequestSeen,
    ResumedSeen,
    TextSeen,
)
from wigeonwind.checking.process_fleet import (
    FleetShape,
    Member,
    ProcessFleet,
    call_json,
)
from wigeonwind.checking.promises import Violation
from wigeonwind.checking.schedules import FAULT_KINDS, Fault
from wigeonwind.clock import MS_PER_SECOND
from wigeonwind.load.caller import wall_ms
from wigeonwind.load.plan import LoadPlan
from wigeonwind.load.runner import LoadRunner
from wigeonwind.outcomes import Ok
from wigeonwind.state.configuration import parse_catalog

WATCH_INTERVAL_S = 0.25
REQUEST_LIMIT_MS = 120_000.0


@dataclass(frozen=True)
class RunOptions:
    """All that decides a run; the text is the configuration at its start."""

    text: str
    shape: FleetShape
    plan: LoadPlan
    schedule: tuple[Fault, ...] = ()


@dataclass(frozen=True)
class RunResult:
    """The merged history of a run and what is wrong with it."""

    history: History
    violations: tuple[Violation, ...]


def run_fleet(options: RunOptions, tell: Callable[[str], None] = print) -> RunResult:
    """Run load and faults, collect all records and check the promises."""
    with tempfile.TemporaryDirectory(prefix="wigeonwind-run-") as directory:
        fleet = ProcessFleet(options.shape, Path(directory))
        try:
            fleet.start(options.text)
            records = _run(fleet, options, tell)
        finally:
            fleet.kill_all()
    history = History(tuple(records))
    return RunResult(history, check_history(history))


def _run(
    fleet: ProcessFleet, options: RunOptions, tell: Callable[[str], None]
) -> list[Record]:
    records = list(_described(fleet, options.text))
    entries = [parse_address(m.address("callers")) for m in fleet.entries()]
    runner = LoadRunner(options.plan, entries, REQUEST_LIMIT_MS)
    watcher = gevent.spawn(_watch, fleet, runner)
    faults = Group()
    for fault in options.schedule:
        faults.add(gevent.spawn_later(fault.at_ms / 1000, _strike, fleet, fault, tell))
    seen = runner.run()
    faults.join()
    watcher.kill()
    fleet.note_unexpected_ends()
    records += _texts(fleet)
    records += _executions(fleet)
    fleet.stop()
    names = fleet.member_by_address
    records += [replace(each, entry=names[each.entry]) for each in seen]
    return records + fleet.records


def _strike(fleet: ProcessFleet, fault: Fault, tell: Callable[[str], None]) -> None:
    kind = FAULT_KINDS.get(fault.name)
    assert kind is not None, fault.name
    tell(str(fault))
    kind.act(fleet, fault)


def _described(fleet: ProcessFleet, text: str) -> Iterator[Record]:
    parsed = parse_catalog(text, 1)
    assert isinstance(parsed, Ok), parsed
    catalog: Catalog = parsed.value
    for each in catalog.class_by_name.values():
        target = each.target
        yield ClassSeen(
            each.name,
            each.priority,
            each.max_wait_ms,
            target.kind.value,
            target.limit_ms,
        )
    for member in fleet.members:
        if member.service:
            service = catalog.service_by_name[member.service]
            kind = "model" if service.kind is ServiceKind.MODEL else "plain"
            yield EndpointSeen(member.name, service.name, kind, service.concurrency)


def _watch(fleet: ProcessFleet, runner: LoadRunner) -> None:
    """Look at the text in force and keep the balancer's list of entries."""
    while True:
        gevent.sleep(WATCH_INTERVAL_S)
        fleet.note_unexpected_ends()
        addresses = [parse_address(m.address("callers")) for m in fleet.entries()]
        runner.balancer.entries = addresses or runner.balancer.entries
        looks = [gevent.spawn(_look, fleet, member) for member in fleet.members]
        gevent.joinall(looks, timeout=WATCH_INTERVAL_S * MS_PER_SECOND)


def _look(fleet: ProcessFleet, member: Member) -> None:
    start = member.start
    if member.process is None:
        return
    asked_ms = wall_ms()
    version = _own_version(fleet.status(member), member.name)
    # An answer that arrives after a restart would be counted to the wrong life.
    if version is not None and member.start == start:
        seen = TextSeen(member.name, start, asked_ms, version)
        fleet.records.append(seen)


def _own_version(status: dict, name: str) -> int | None:
    for row in status.get("members", ()):
        if row["member"] == name:
            return int(row["text_version"])
    return None


def _texts(fleet: ProcessFleet) -> Iterator[TextSeen]:
    """Yield the text in force in each running process at the end of the run."""
    for member in fleet.members:
        if member.process is None:
            continue
        answer = call_json(member.address("operators"), "GET", "/admin/text")
        if answer.status == 200:
            digest = str(answer.fields["digest"])
            version = int(answer.fields["version"])
            yield TextSeen(member.name, member.start, wall_ms(), version, digest)


def _executions(fleet: ProcessFleet) -> Iterator[Record]:
    """Yield what the endpoints began."""
    for member in fleet.members:
        if not member.endpoint:
            continue
        answer = call_json(fleet.standin(member.endpoint), "GET", "/executions")
        assert answer.status == 200, f"{member.endpoint} lost its records"
        for row in answer.fields.get("begun", ()):
            yield ExecutionSeen(member.name, row["at_ms"], row["request_id"])
        for row in answer.fields.get("paused", ()):
            yield PausedSeen(member.name, row["at_ms"], row["request_id"])
        for row in answer.fields.get("resumed", ()):
            yield ResumedSeen(member.name, row["at_ms"], row["request_id"])
        for row in answer.fields.get("executions", ()):
            number = int(row["headers"].get("x-load-number", "-1"))
            yield ExecutionSeen(
                member.name, row["at_ms"], number=number, key=row["key"]
            )


def request_count(history: History) -> int:
    """Return the number of requests in a history."""
    return sum(1 for _ in history.of(RequestSeen))
