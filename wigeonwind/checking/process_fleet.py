"""A fleet of real processes on loopback, and the record of what was done to it."""

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
READY_LIMIT_S = 30.0
CALL_LIMIT_MS = 8_000.0
MAX_ANSWER_BYTES = 64_000_000
ZONES = ("tartu-a", "viljandi-b", "voru-c")
STANDINS = "wigeonwind.standins.main"
DAEMON = "wigeonwind.daemon"


@dataclass(frozen=True)
class FleetShape:
    """Numbers of processes and what the engines are like."""

    entries: int = 2
    engines: int = 3
    desks: int = 2
    engine_fields: dict[str, Any] = field(default_factory=dict)
    speed: float = 1.0
    desk_work_ms: float = 20.0


@dataclass(frozen=True)
class JsonAnswer:
    """Status and fields of an answer; status 0 if there was none."""

    status: int
    fields: dict[str, Any]


def call_json(
    address: str, method: str, path: str, fields: dict[str, Any] | None = None
) -> JsonAnswer:
    """Call an HTTP interface that answers JSON."""
    exchange = HttpExchange(parse_address(address), CALL_LIMIT_MS)
    body = b"" if fields is None else json.dumps(fields).encode()
    try:
        if exchange.connect() is not None:
            return JsonAnswer(0, {})
        head = exchange.request(method, path, [], body)
        if isinstance(head, HttpFailure):
            return JsonAnswer(0, {})
        data = exchange.read_all(MAX_ANSWER_BYTES)
    finally:
        exchange.close()
    try:
        found = json.loads(data) if isinstance(data, bytes) else None
    except ValueError:
        found = None
    return JsonAnswer(head.status, found if isinstance(found, dict) else {})


def _one_by_one(calls: Iterable[Callable[[], None]]) -> None:
    """Start processes one after another.

    With starts in several greenlets, a full test run left 524 processes behind:
    too many had been started.
    """
    for call in calls:
        call()


@dataclass
class Member:
    """One wigeonwindd of the fleet; `start` counts its lives."""

    name: str
    role: str
    zone: str
    service: str = ""
    kind: str = ""
    endpoint: str = ""
    start: int = 0
    process: ChildProcess | None = None
    is_ending: bool = False
    is_busy: bool = False
    """Whether a fault is being done to it; it gets no second one meanwhile."""

    def address(self, name: str) -> str:
        """Return where it listens for `callers`, `links` or `operators`."""
        assert self.process is not None
        return self.process.address_by_name[name]


class ProcessFleet:
    """Starts, signals and ends the processes; `records` tells what happened."""

    def __init__(self, shape: FleetShape, directory: Path) -> None:
        self.shape = shape
        self.records: list[Record] = []
        self.members: list[Member] = []
        self.standins: dict[str, ChildProcess] = {}
        self.member_by_address: dict[str, str] = {}
        self._directory = directory
        # Other fleets on this machine use the same ports one after another.
        self._key_path = directory / "fleet.key"
        self._key_path.write_text(secrets.token_hex(32), encoding="utf-8")
        self._key_path.chmod(0o600)

    def start(self, text: str) -> None:
        """Start everything and wait until it serves."""
        rows = self._standin_arguments()
        _one_by_one(partial(self._start_standin, *row) for row in rows)
        for number in range(self.shape.entries):
            self.members.append(Member(f"entry-{number}", "entry", ZONES[number % 3]))
        first, *others = self.members
        # The first entry is the others' seed.
        self.start_member(first)
        sides = list(self._sides())
        self.members += sides
        self._submit_first(text)
        rest = [*others, *sides]
        _one_by_one(partial(self.start_member, member) for member in rest)
        self._wait_until_ready()

    def _standin_arguments(self) -> Iterator[tuple[str, ...]]:
        yield "store", "--kind=object-store"
        yield "vm-list", "--kind=vm-list"
        for number in range(self.shape.engines):
            config = json.dumps({**self.shape.engine_fields, "seed": number})
            speed = f"--speed={self.shape.speed}"
            yield f"engine-{number}", "--kind=engine", f"--engine={config}", speed
        for number in range(self.shape.desks):
            yield (
                f"desk-{number}",
                "--kind=plain",
                f"--work_ms={self.shape.desk_work_ms}",
            )

    def _sides(self) -> Iterator[Member]:
        for prefix, service, kind, endpoint, count in (
            ("llm", "wigeon-llm", "model", "engine", self.shape.engines),
            ("desk", "spot-desk", "plain", "desk", self.shape.desks),
        ):
            for number in range(count):
                name, zone = f"{prefix}-side-{number}", ZONES[number % 3]
                place = f"{endpoint}-{number}"
                yield Member(name, "side", zone, service, kind, place)

    def stop(self) -> None:
        """End all processes; a planned stop for the members."""
        stops = [gevent.spawn(self.drain, member) for member in self.members]
        gevent.joinall(stops)
        self.kill_all()

    def kill_all(self) -> None:
        """End what is left."""
        members = [m.process for m in self.members if m.process is not None]
        for process in [*members, *self.standins.values()]:
            process.kill()

    def start_member(self, member: Member) -> None:
        """Start a member, for the first time or again."""
        member.start += 1
        path = self._directory / f"{member.name}.ini"
        path.write_text(self._settings(member), encoding="utf-8")
        log = str(self._directory / f"{member.name}.log")
        arguments = (DAEMON, f"--settings={path}")
        member.process = ChildProcess(member.name, arguments, log)
        if member.role == "entry":
            self.member_by_address[member.address("callers")] = member.name
        self._note(member, MemberChange.STARTED)
        self.list_vm(member, "live")

    def list_vm(self, member: Member, state: str) -> None:
        """Change the member's row of the VM list."""
        row = {"id": member.name, "address": member.address("links")}
        row |= {"zone": member.zone, "state": state}
        call_json(self.standin("vm-list"), "POST", "/v1/vms", row)

    def standin(self, name: str) -> str:
        """Return the address of a test double."""
        return self.standins[name].address_by_name["ready"]

    def _start_standin(self, name: str, *arguments: str) -> None:
        log = str(self._directory / f"{name}.log")
        self.standins[name] = ChildProcess(name, (STANDINS, *arguments), log)

    def _settings(self, member: Member) -> str:
        running = [m for m in self.members if m is not member and m.process is not None]
        seeds = [m.address("links") for m in running if m.role == "entry"]
        callers = "callers = 127.0.0.1:0" if member.role == "entry" else ""
        endpoint = ""
        if member.endpoint:
            endpoint = (
                f"[endpoint]\nservice = {member.service}\nkind = {member.kind}\n"
                f"address = {self.standin(member.endpoint)}\n"
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
store = {self.standin("store")}
vm_list = {self.standin("vm-list")}
seeds = {", ".join(seeds)}
[links]
key_file = {self._key_path}
[drain]
grace_ms = 800
limit_ms = 30000
{endpoint}"""

    def _submit_first(self, text: str) -> None:
        answer = self.submit(self.members[0], 0, "first", text)
        if answer.status != 200:
            raise StartError(f"the first text was not accepted: {answer}")

    def submit(
        self, entry: Member, base_version: int, submission_id: str, text: str
    ) -> JsonAnswer:
        """Submit a text as an operator does."""
        fields = {
            "base_version": base_version,
            "submission_id": submission_id,
            "source": text,
        }
        return call_json(entry.address("operators"), "PUT", "/admin/text", fields)

    def _wait_until_ready(self) -> None:
        sides = {m.name for m in self.members if m.role == "side"}
        with gevent.Timeout(READY_LIMIT_S, StartError("the fleet is not ready")):
            for entry in self.entries():
                while not sides <= self._linked(entry):
                    gevent.sleep(READY_POLL_S)

    def _linked(self, entry: Member) -> set[str]:
        status = self.status(entry)
        if not status.get("ready"):
            return set()
        return {row["member"] for row in status["members"] if row["linked"]}

    def status(self, member: Member) -> dict[str, Any]:
        """Return a member's own status, empty if it gives none."""
        answer = call_json(member.address("operators"), "GET", "/admin/status")
        return answer.fields if answer.status == 200 else {}

    def entries(self) -> list[Member]:
        """Return the entries that are running."""
        return [m for m in self.members if m.role == "entry" and m.process]

    def drain(self, member: Member) -> None:
        """Stop a member as planned and wait for its end."""
        if member.process is None:
            return
        member.is_ending = True
        self.list_vm(member, "leaving")
        self._note(member, MemberChange.DRAIN)
        member.process.terminate()
        code = member.process.wait()
        self._ended(member)
        self._note(member, MemberChange.STOPPED, code)

    def kill(self, member: Member) -> None:
        """End a member without warning."""
        assert member.process is not None
        member.is_ending = True
        self._note(member, MemberChange.KILLED)
        member.process.kill()
        self._ended(member)

    def _ended(self, member: Member) -> None:
        """Remove a VM that has ended; a row left behind would be of the next one."""
        member.process = None
        member.is_ending = False
        path = f"/v1/vms?id={member.name}"
        call_json(self.standin("vm-list"), "DELETE", path)

    def freeze(self, member: Member, duration_ms: float) -> None:
        """Let a member stand still for some time."""
        assert member.process is not None
        self._note(member, MemberChange.FROZEN)
        member.process.freeze()
        gevent.sleep(duration_ms / MS_PER_SECOND)
        member.process.thaw()
        self._note(member, MemberChange.THAWED)

    def note_unexpected_ends(self) -> None:
        """Record members that have ended by themselves, a broken invariant."""
        for member in self.members:
            if member.process is None or member.is_ending:
                continue
            if not member.process.is_running:
                code = member.process.wait()
                self._ended(member)
                self._note(member, MemberChange.STOPPED, code)

    def _note(
        self, member: Member, change: MemberChange, exit_code: int | None = None
    ) -> None:
        seen = MemberSeen(
            member.name, member.role, member.start, wall_ms(), change, exit_code
        )
        self.records.append(seen)
