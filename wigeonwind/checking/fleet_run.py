"""Runs a fleet of real processes under load and faults and checks its history."""

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
    FleetOptions,
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

POLL_INTERVAL_S = 0.25
REQUEST_TIMEOUT_MS = 120_000.0


@dataclass(frozen=True)
class RunOptions:
    """Options of a run; `source` is the configuration at its start."""

    source: str
    fleet_options: FleetOptions
    plan: LoadPlan
    schedule: tuple[Fault, ...] = ()


@dataclass(frozen=True)
class RunResult:
    """The merged history of a run and the violations found in it."""

    history: History
    violations: tuple[Violation, ...]


def run_fleet(options: RunOptions, report: Callable[[str], None] = print) -> RunResult:
    """Run load and faults, collect all records and check the promises.

    `report` receives one line for each fault when it begins.
    """
    with tempfile.TemporaryDirectory(prefix="wigeonwind-run-") as directory:
        fleet = ProcessFleet(options.fleet_options, Path(directory))
        try:
            fleet.start(options.source)
            records = _run_load(fleet, options, report)
        finally:
            fleet.kill_all()
    history = History(tuple(records))
    return RunResult(history, check_history(history))


def _run_load(
    fleet: ProcessFleet, options: RunOptions, report: Callable[[str], None]
) -> list[Record]:
    records = list(_describe_setup(fleet, options.source))
    entries = [parse_address(m.address("callers")) for m in fleet.entries()]
    runner = LoadRunner(options.plan, entries, REQUEST_TIMEOUT_MS)
    poller = gevent.spawn(_poll_members, fleet, runner)
    faults = Group()
    for fault in options.schedule:
        faults.add(
            gevent.spawn_later(fault.at_ms / 1000, _inject_fault, fleet, fault, report)
        )
    requests = runner.run()
    faults.join()
    poller.kill()
    fleet.record_unexpected_exits()
    records += _final_configurations(fleet)
    records += _executions(fleet)
    fleet.stop()
    entry_by_address = fleet.entry_by_address
    # The load runner records an entry by its address.
    records += [replace(each, entry=entry_by_address[each.entry]) for each in requests]
    return records + fleet.records


def _inject_fault(
    fleet: ProcessFleet, fault: Fault, report: Callable[[str], None]
) -> None:
    kind = FAULT_KINDS.get(fault.name)
    assert kind is not None, fault.name
    report(str(fault))
    kind.action(fleet, fault)


def _describe_setup(fleet: ProcessFleet, source: str) -> Iterator[Record]:
    """Yield the records of the request classes and endpoints of a run."""
    parsed = parse_catalog(source, 1)
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


def _poll_members(fleet: ProcessFleet, runner: LoadRunner) -> None:
    """Poll the members' configuration versions and update the balancer's entries."""
    while True:
        gevent.sleep(POLL_INTERVAL_S)
        fleet.record_unexpected_exits()
        addresses = [parse_address(m.address("callers")) for m in fleet.entries()]
        runner.balancer.entries = addresses or runner.balancer.entries
        polls = [gevent.spawn(_poll_member, fleet, member) for member in fleet.members]
        gevent.joinall(polls, timeout=POLL_INTERVAL_S * MS_PER_SECOND)


def _poll_member(fleet: ProcessFleet, member: Member) -> None:
    start_number = member.start_number
    if member.process is None:
        return
    polled_ms = wall_ms()
    version = _find_version(fleet.status(member), member.name)
    # A response that arrives after a restart must not count for the new process.
    if version is not None and member.start_number == start_number:
        seen = TextSeen(member.name, start_number, polled_ms, version)
        fleet.records.append(seen)


def _find_version(status: dict, name: str) -> int | None:
    """Return the configuration version of a member from its status, None if absent."""
    for row in status.get("members", ()):
        if row["member"] == name:
            return int(row["text_version"])
    return None


def _final_configurations(fleet: ProcessFleet) -> Iterator[TextSeen]:
    """Yield the configuration in force in each running process, with its digest."""
    for member in fleet.members:
        if member.process is None:
            continue
        response = call_json(member.address("operators"), "GET", "/admin/text")
        if response.status == 200:
            digest = str(response.fields["digest"])
            version = int(response.fields["version"])
            yield TextSeen(member.name, member.start_number, wall_ms(), version, digest)


def _executions(fleet: ProcessFleet) -> Iterator[Record]:
    """Yield the executions, pauses and resumptions recorded by the endpoints."""
    for member in fleet.members:
        if not member.endpoint:
            continue
        response = call_json(
            fleet.double_address(member.endpoint), "GET", "/executions"
        )
        assert response.status == 200, (
            f"{member.endpoint} returned no execution records"
        )
        for row in response.fields.get("begun", ()):
            yield ExecutionSeen(member.name, row["at_ms"], row["request_id"])
        for row in response.fields.get("paused", ()):
            yield PausedSeen(member.name, row["at_ms"], row["request_id"])
        for row in response.fields.get("resumed", ()):
            yield ResumedSeen(member.name, row["at_ms"], row["request_id"])
        for row in response.fields.get("executions", ()):
            number = int(row["headers"].get("x-load-number", "-1"))
            yield ExecutionSeen(
                member.name, row["at_ms"], number=number, key=row["key"]
            )


def request_count(history: History) -> int:
    """Return the number of requests in a history."""
    return sum(1 for _ in history.of(RequestSeen))
