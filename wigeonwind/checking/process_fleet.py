"""A fleet of real processes on loopback that records what was done to it."""

import json
import secrets
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path
from typing import Any

import gevent

from wigeonwind.addresses import parse_address
from wigeonwind.checking.child_process import ChildProcess, StartError
from wigeonwind.checking.history import MemberChange, MemberSeen, Record
from wigeonwind.clock import MS_PER_SECOND
from wigeonwind.load.caller import wall_ms
from wigeonwind.side.endpoint_http import HttpExchange, HttpFailure

READY_POLL_S = 0.05
READY_TIMEOUT_S = 30.0
CALL_TIMEOUT_MS = 8_000.0
MAX_RESPONSE_BYTES = 64_000_000
ZONES = ("tartu-a", "viljandi-b", "voru-c")
DOUBLES_MODULE = "wigeonwind.standins.main"
DAEMON_MODULE = "wigeonwind.daemon"


@dataclass(frozen=True)
class FleetOptions:
    """Numbers of processes and the configuration of the test doubles.

    `speed` is the speed of the engines' clocks, 1 for real time.
    """

    entries: int = 2
    engines: int = 3
    plain_endpoints: int = 2
    engine_config: dict[str, Any] = field(default_factory=dict)
    speed: float = 1.0
    plain_work_ms: float = 20.0


@dataclass(frozen=True)
class JsonResponse:
    """Status and fields of a response; status 0 if none arrived.

    `fields` is empty if the body is not a JSON object.
    """

    status: int
    fields: dict[str, Any]


def call_json(
    address: str, method: str, path: str, fields: dict[str, Any] | None = None
) -> JsonResponse:
    """Send a request to an HTTP interface that returns JSON."""
    exchange = HttpExchange(parse_address(address), CALL_TIMEOUT_MS)
    body = b"" if fields is None else json.dumps(fields).encode()
    try:
        if exchange.connect() is not None:
            return JsonResponse(0, {})
        response_head = exchange.request(method, path, [], body)
        if isinstance(response_head, HttpFailure):
            return JsonResponse(0, {})
        data = exchange.read_all(MAX_RESPONSE_BYTES)
    finally:
        exchange.close()
    try:
        decoded = json.loads(data) if isinstance(data, bytes) else None
    except ValueError:
        decoded = None
    return JsonResponse(
        response_head.status, decoded if isinstance(decoded, dict) else {}
    )


def _run_sequentially(calls: Iterable[Callable[[], None]]) -> None:
    """Start processes one after another.

    Concurrent starts in several greenlets created too many processes: a full test run
    left 524 of them behind.
    """
    for call in calls:
        call()


@dataclass
class Member:
    """One wigeonwindd process of the fleet; `start_number` counts its starts."""

    name: str
    role: str
    zone: str
    service: str = ""
    kind: str = ""
    endpoint: str = ""
    start_number: int = 0
    process: ChildProcess | None = None
    is_stopping: bool = False
    is_under_fault: bool = False
    """Whether a fault is in progress; a second one is not started until it ends."""

    def address(self, name: str) -> str:
        """Return the address of its listener `callers`, `links` or `operators`."""
        assert self.process is not None
        return self.process.address_by_name[name]


class ProcessFleet:
    """Starts, signals and ends processes and adds each change to `records`."""

    def __init__(self, fleet_options: FleetOptions, directory: Path) -> None:
        self.fleet_options = fleet_options
        self.records: list[Record] = []
        self.members: list[Member] = []
        self.double_by_name: dict[str, ChildProcess] = {}
        self.entry_by_address: dict[str, str] = {}
        self._directory = directory
        # Other fleets on this machine reuse the ports; the random key keeps them apart.
        self._key_path = directory / "fleet.key"
        self._key_path.write_text(secrets.token_hex(32), encoding="utf-8")
        self._key_path.chmod(0o600)

    def start(self, source: str) -> None:
        """Start all processes and wait until the entries are ready."""
        double_arguments = self._double_arguments()
        _run_sequentially(partial(self._start_double, *row) for row in double_arguments)
        for number in range(self.fleet_options.entries):
            self.members.append(Member(f"entry-{number}", "entry", ZONES[number % 3]))
        first, *others = self.members
        # The first entry is the seed of the other processes.
        self.start_member(first)
        sidecars = list(self._sidecars())
        self.members += sidecars
        self._submit_initial(source)
        remaining = [*others, *sidecars]
        _run_sequentially(partial(self.start_member, member) for member in remaining)
        self._wait_until_ready()

    def _double_arguments(self) -> Iterator[tuple[str, ...]]:
        yield "store", "--kind=object-store"
        yield "vm-list", "--kind=vm-list"
        for number in range(self.fleet_options.engines):
            config = json.dumps({**self.fleet_options.engine_config, "seed": number})
            speed = f"--speed={self.fleet_options.speed}"
            yield f"engine-{number}", "--kind=engine", f"--engine={config}", speed
        for number in range(self.fleet_options.plain_endpoints):
            yield (
                f"desk-{number}",
                "--kind=plain",
                f"--work_ms={self.fleet_options.plain_work_ms}",
            )

    def _sidecars(self) -> Iterator[Member]:
        for prefix, service, kind, endpoint, count in (
            ("llm", "wigeon-llm", "model", "engine", self.fleet_options.engines),
            ("desk", "spot-desk", "plain", "desk", self.fleet_options.plain_endpoints),
        ):
            for number in range(count):
                name, zone = f"{prefix}-side-{number}", ZONES[number % 3]
                endpoint_name = f"{endpoint}-{number}"
                yield Member(name, "side", zone, service, kind, endpoint_name)

    def stop(self) -> None:
        """Drain all members, then kill the remaining processes."""
        stops = [gevent.spawn(self.drain, member) for member in self.members]
        gevent.joinall(stops)
        self.kill_all()

    def kill_all(self) -> None:
        """Kill all processes that are running."""
        members = [m.process for m in self.members if m.process is not None]
        for process in [*members, *self.double_by_name.values()]:
            process.kill()

    def start_member(self, member: Member) -> None:
        """Start or restart a member."""
        member.start_number += 1
        path = self._directory / f"{member.name}.ini"
        path.write_text(self._settings_source(member), encoding="utf-8")
        log = str(self._directory / f"{member.name}.log")
        arguments = (DAEMON_MODULE, f"--settings={path}")
        member.process = ChildProcess(member.name, arguments, log)
        if member.role == "entry":
            self.entry_by_address[member.address("callers")] = member.name
        self._record_change(member, MemberChange.STARTED)
        self.update_vm_list(member, "live")

    def update_vm_list(self, member: Member, state: str) -> None:
        """Write the row of a member in the VM list; `state` is `live` or `leaving`."""
        row = {"id": member.name, "address": member.address("links")}
        row |= {"zone": member.zone, "state": state}
        call_json(self.double_address("vm-list"), "POST", "/v1/vms", row)

    def double_address(self, name: str) -> str:
        """Return the address of a test double."""
        return self.double_by_name[name].address_by_name["ready"]

    def _start_double(self, name: str, *arguments: str) -> None:
        log = str(self._directory / f"{name}.log")
        self.double_by_name[name] = ChildProcess(
            name, (DOUBLES_MODULE, *arguments), log
        )

    def _settings_source(self, member: Member) -> str:
        running = [m for m in self.members if m is not member and m.process is not None]
        seeds = [m.address("links") for m in running if m.role == "entry"]
        callers = "callers = 127.0.0.1:0" if member.role == "entry" else ""
        endpoint = ""
        if member.endpoint:
            endpoint = (
                f"[endpoint]\nservice = {member.service}\nkind = {member.kind}\n"
                f"address = {self.double_address(member.endpoint)}\n"
            )
        return f"""
[node]
id = {member.name}
role = {member.role}
zone = {member.zone}
region = ee-south
[listen]
{callers}
links = 127.0.0.1:0
operators = 127.0.0.1:0
[platform]
store = {self.double_address("store")}
vm_list = {self.double_address("vm-list")}
seeds = {", ".join(seeds)}
[links]
key_file = {self._key_path}
[drain]
grace_ms = 800
limit_ms = 30000
{endpoint}"""

    def _submit_initial(self, source: str) -> None:
        response = self.submit(self.members[0], 0, "first", source)
        if response.status != 200:
            raise StartError(f"the first configuration was not accepted: {response}")

    def submit(
        self, entry: Member, base_version: int, submission_id: str, source: str
    ) -> JsonResponse:
        """Submit a configuration as an operator."""
        fields = {
            "base_version": base_version,
            "submission_id": submission_id,
            "source": source,
        }
        return call_json(entry.address("operators"), "PUT", "/admin/text", fields)

    def _wait_until_ready(self) -> None:
        sidecars = {m.name for m in self.members if m.role == "side"}
        with gevent.Timeout(
            READY_TIMEOUT_S,
            StartError(f"the fleet was not ready within {READY_TIMEOUT_S:.0f} s"),
        ):
            for entry in self.entries():
                while not sidecars <= self._linked_members(entry):
                    gevent.sleep(READY_POLL_S)

    def _linked_members(self, entry: Member) -> set[str]:
        status = self.status(entry)
        if not status.get("ready"):
            return set()
        return {row["member"] for row in status["members"] if row["linked"]}

    def status(self, member: Member) -> dict[str, Any]:
        """Return the status that a member reports, empty if it reports none."""
        response = call_json(member.address("operators"), "GET", "/admin/status")
        return response.fields if response.status == 200 else {}

    def entries(self) -> list[Member]:
        """Return the running entries."""
        return [m for m in self.members if m.role == "entry" and m.process]

    def drain(self, member: Member) -> None:
        """Mark a member as leaving, send SIGTERM and wait for its exit."""
        if member.process is None:
            return
        member.is_stopping = True
        self.update_vm_list(member, "leaving")
        self._record_change(member, MemberChange.DRAIN)
        member.process.terminate()
        code = member.process.wait()
        self._mark_ended(member)
        self._record_change(member, MemberChange.STOPPED, code)

    def kill(self, member: Member) -> None:
        """Kill a member with SIGKILL."""
        assert member.process is not None
        member.is_stopping = True
        self._record_change(member, MemberChange.KILLED)
        member.process.kill()
        self._mark_ended(member)

    def _mark_ended(self, member: Member) -> None:
        """Remove an ended member from the VM list.

        A remaining row would be taken for that of the next process with this name.
        """
        member.process = None
        member.is_stopping = False
        path = f"/v1/vms?id={member.name}"
        call_json(self.double_address("vm-list"), "DELETE", path)

    def freeze(self, member: Member, duration_ms: float) -> None:
        """Freeze a member with SIGSTOP for a duration, then thaw it."""
        assert member.process is not None
        self._record_change(member, MemberChange.FROZEN)
        member.process.freeze()
        gevent.sleep(duration_ms / MS_PER_SECOND)
        member.process.thaw()
        self._record_change(member, MemberChange.THAWED)

    def record_unexpected_exits(self) -> None:
        """Record members that exited without a planned stop or a kill.

        The checker of P7 reports those with an exit code other than 0.
        """
        for member in self.members:
            if member.process is None or member.is_stopping:
                continue
            if not member.process.is_running:
                code = member.process.wait()
                self._mark_ended(member)
                self._record_change(member, MemberChange.STOPPED, code)

    def _record_change(
        self, member: Member, change: MemberChange, exit_code: int | None = None
    ) -> None:
        seen = MemberSeen(
            member.name, member.role, member.start_number, wall_ms(), change, exit_code
        )
        self.records.append(seen)
