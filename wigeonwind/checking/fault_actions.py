"""The actions that inject faults of each kind into a fleet."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any

import gevent

from wigeonwind.checking.history import FaultSeen, TextAccepted
from wigeonwind.checking.process_fleet import Member, ProcessFleet, call_json
from wigeonwind.checking.schedules import Fault, register_fault_kind
from wigeonwind.clock import MS_PER_SECOND
from wigeonwind.load.caller import wall_ms


def _sidecars(fleet: ProcessFleet) -> list[Member]:
    return [m for m in fleet.members if m.role == "side"]


def _entries(fleet: ProcessFleet) -> list[Member]:
    return [m for m in fleet.members if m.role == "entry"]


@contextmanager
def _reserved_member(
    fleet: ProcessFleet, candidates: list[Member], fault: Fault
) -> Iterator[Any]:
    """Reserve a running member without another fault; yield None if there is none.

    The last available endpoint of a service and the last available entry are never
    chosen: without them, all requests would be refused and the run would check nothing
    else.
    """
    available = [
        m for m in candidates if m.process is not None and not m.is_under_fault
    ]
    available = [
        m
        for m in available
        if sum(other.service == m.service for other in available) > 1
    ]
    member = available[fault.choice % len(available)] if available else None
    if member is not None:
        member.is_under_fault = True
    try:
        yield member
    finally:
        if member is not None:
            member.is_under_fault = False


def _sleep_duration(fault: Fault) -> None:
    gevent.sleep(fault.duration_ms / MS_PER_SECOND)


def _drain_and_restart(
    fleet: ProcessFleet, candidates: list[Member], fault: Fault
) -> None:
    with _reserved_member(fleet, candidates, fault) as member:
        if member is None:
            return
        fleet.drain(member)
        _sleep_duration(fault)
        fleet.start_member(member)


def _kill_and_restart(
    fleet: ProcessFleet, candidates: list[Member], fault: Fault
) -> None:
    with _reserved_member(fleet, candidates, fault) as member:
        if member is None:
            return
        fleet.kill(member)
        _sleep_duration(fault)
        fleet.start_member(member)


def _freeze_member(fleet: ProcessFleet, candidates: list[Member], fault: Fault) -> None:
    with _reserved_member(fleet, candidates, fault) as member:
        if member is not None:
            fleet.freeze(member, fault.duration_ms)


@register_fault_kind("drain-side", is_planned=True)
def drain_sidecar(fleet: ProcessFleet, fault: Fault) -> None:
    """Stop a sidecar as planned and start another in its place."""
    _drain_and_restart(fleet, _sidecars(fleet), fault)


@register_fault_kind("drain-entry", is_planned=True)
def drain_entry(fleet: ProcessFleet, fault: Fault) -> None:
    """Stop an entry as planned and start another in its place."""
    _drain_and_restart(fleet, _entries(fleet), fault)


@register_fault_kind("kill-side")
def kill_sidecar(fleet: ProcessFleet, fault: Fault) -> None:
    """Kill a sidecar and start another in its place."""
    _kill_and_restart(fleet, _sidecars(fleet), fault)


@register_fault_kind("kill-entry")
def kill_entry(fleet: ProcessFleet, fault: Fault) -> None:
    """Kill an entry and start another in its place."""
    _kill_and_restart(fleet, _entries(fleet), fault)


@register_fault_kind("freeze-side")
def freeze_sidecar(fleet: ProcessFleet, fault: Fault) -> None:
    """Freeze a sidecar with SIGSTOP and thaw it with SIGCONT."""
    _freeze_member(fleet, _sidecars(fleet), fault)


@register_fault_kind("freeze-entry")
def freeze_entry(fleet: ProcessFleet, fault: Fault) -> None:
    """Freeze an entry with SIGSTOP and thaw it with SIGCONT."""
    _freeze_member(fleet, _entries(fleet), fault)


def _inject_fault_into_double(
    fleet: ProcessFleet, target: str, fault: Fault, fields: dict[str, Any]
) -> None:
    """Inject a fault into a test double for the duration of `fault`.

    `fields` describe the fault to the double. A fault of an endpoint is recorded under
    the name of its sidecar.
    """
    sidecars = [m.name for m in fleet.members if m.endpoint == target]
    address = fleet.double_address(target)
    from_ms = wall_ms()
    call_json(address, "POST", "/faults", fields)
    _sleep_duration(fault)
    call_json(address, "DELETE", "/faults")
    name = str(fields["name"])
    seen = FaultSeen(sidecars[0] if sidecars else target, name, from_ms, wall_ms())
    fleet.records.append(seen)


def _select_endpoint(fleet: ProcessFleet, kind: str, fault: Fault) -> str:
    names = [m.endpoint for m in fleet.members if m.kind == kind]
    return names[fault.choice % len(names)]


def _register_faults_of_doubles() -> None:
    """Register the fault kinds of the test doubles."""
    for name, kind, fields in (
        ("engine-crash", "model", {"name": "crash", "after_tokens": 30}),
        ("engine-straggle", "model", {"name": "straggle", "factor": 6.0}),
        ("engine-freeze", "model", {"name": "freeze"}),
        ("desk-crash-before", "plain", {"name": "crash", "when": "before"}),
        ("desk-crash-after", "plain", {"name": "crash", "when": "after"}),
        ("desk-lost-answers", "plain", {"name": "lose_answers", "count": 3}),
        ("store-outage", "", {"name": "outage"}),
        ("store-slow", "", {"name": "slow", "ms": 900.0}),
        ("store-lost-answers", "", {"name": "lose_answers", "count": 5}),
    ):
        register_fault_kind(name)(_make_action_on_double(kind, fields))


def _make_action_on_double(
    kind: str, fields: dict[str, Any]
) -> Callable[[ProcessFleet, Fault], None]:
    """Return an action on an endpoint of a service kind, or on the store if empty."""

    def inject(fleet: ProcessFleet, fault: Fault) -> None:
        target = _select_endpoint(fleet, kind, fault) if kind else "store"
        _inject_fault_into_double(fleet, target, fault, fields)

    return inject


_register_faults_of_doubles()


@register_fault_kind("vm-list-lag", is_planned=True)
def lag_vm_list(fleet: ProcessFleet, fault: Fault) -> None:
    """Delay updates of the VM list by 30 s."""
    _inject_fault_into_double(fleet, "vm-list", fault, {"name": "lag", "ms": 30_000.0})


def _submit_edit(fleet: ProcessFleet, entry: Member, fault: Fault, number: int) -> None:
    """Read the configuration in force at an entry and submit an edit of it.

    `number` distinguishes the concurrent edits of one fault.
    """
    current = call_json(entry.address("operators"), "GET", "/admin/text")
    if current.status != 200:
        return
    source = f"{current.fields['source']}; edit {fault.choice}-{number}\n"
    version = int(current.fields["version"])
    submission_id = f"edit-{fault.choice}-{number}"
    response = fleet.submit(entry, version, submission_id, source)
    if response.status == 200:
        zones = tuple(response.fields.get("confirmed_zones", ()))
        accepted = TextAccepted(
            int(response.fields["version"]), "", entry.name, wall_ms(), zones
        )
        fleet.records.append(accepted)


@register_fault_kind("text-edit", is_planned=True)
def edit_configuration(fleet: ProcessFleet, fault: Fault) -> None:
    """Edit the configuration as one operator."""
    entries = fleet.entries()
    if entries:
        _submit_edit(fleet, entries[fault.choice % len(entries)], fault, 0)


@register_fault_kind("operator-race", is_planned=True)
def submit_concurrent_edits(fleet: ProcessFleet, fault: Fault) -> None:
    """Edit the same version concurrently as operators at different entries."""
    edits = [
        gevent.spawn(_submit_edit, fleet, entry, fault, number)
        for number, entry in enumerate(fleet.entries())
    ]
    gevent.joinall(edits)
