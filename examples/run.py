"""Runs a deployment of `examples/` on loopback, for development.

    python examples/run.py examples/polluvili

Starts a test double for each address that the settings files name, then a wigeonwindd
for each settings file, submits the text, and prints the callers' addresses. SIGINT
(Ctrl-C) drains all processes, each ended by its own id. Logs go to `--logs`.
"""

from gevent import monkey

monkey.patch_all()

import json
import signal
import sys
import tempfile
from dataclasses import dataclass
from pathlib import Path

import gevent
from absl import app, flags
from gevent.event import Event

from wigeonwind.catalog import Catalog
from wigeonwind.checking.child_process import ChildProcess, StartError
from wigeonwind.checking.process_fleet import call_json
from wigeonwind.ids import new_id
from wigeonwind.outcomes import Invalid
from wigeonwind.settings import Settings, read_settings
from wigeonwind.state.configuration import parse_configuration

STANDINS = "wigeonwind.standins.main"
DAEMON = "wigeonwind.daemon"
READY_POLL_S = 0.1
READY_LIMIT_S = 60.0

FLAGS = flags.FLAGS
flags.DEFINE_string("logs", "", "Directory for logs; empty makes a temporary one.")
flags.DEFINE_float("engine_speed", 1.0, "Engines' milliseconds in one millisecond.")


@dataclass(frozen=True)
class Deployment:
    """The text and the settings of each process, by file name."""

    source: str
    catalog: Catalog
    settings_by_path: dict[Path, Settings]

    def members(self, role: str) -> list[tuple[Path, Settings]]:
        """Return the processes of a role in the order of their names."""
        items = sorted(self.settings_by_path.items())
        return [(path, each) for path, each in items if each.node.role == role]


def read_deployment(directory: Path) -> Deployment:
    """Read and check all files; raise UsageError with every mistake."""
    source = (directory / "text.ini").read_text(encoding="utf-8")
    text = parse_configuration(source, 1, None)
    if isinstance(text, Invalid):
        raise app.UsageError("\n".join(str(each) for each in text.problems))
    settings_by_path = {}
    for path in sorted((directory / "settings").glob("*.ini")):
        settings = read_settings(path.read_text(encoding="utf-8"))
        if isinstance(settings, Invalid):
            raise app.UsageError(f"{path}: {settings.problems[0]}")
        settings_by_path[path] = settings.value
    if not settings_by_path:
        raise app.UsageError(f"no settings files in {directory / 'settings'}")
    return Deployment(source, text.value.catalog, settings_by_path)


class Running:
    """The started processes."""

    def __init__(self, deployment: Deployment, logs: Path) -> None:
        self._deployment = deployment
        self._logs = logs
        self._members: list[ChildProcess] = []
        self._standins: list[ChildProcess] = []

    def start(self) -> None:
        """Start everything, submit the text and wait until all entries are ready."""
        deployment = self._deployment
        entries, sides = deployment.members("entry"), deployment.members("side")
        platform = entries[0][1].platform
        starts: list[gevent.Greenlet] = [
            gevent.spawn(self._start_standin, "store", "object-store", platform.store),
            gevent.spawn(self._start_standin, "vm-list", "vm-list", platform.vm_list),
        ]
        starts += [
            gevent.spawn(self._start_endpoint, path.stem, settings)
            for path, settings in sides
        ]
        _join(starts)
        # Starting takes seconds of CPU in each process, so they start side by side.
        starts = [
            gevent.spawn(self._start_member, path, settings)
            for path, settings in [*entries, *sides]
        ]
        _join(starts)
        self._submit(entries[0][1])
        self._wait_until_ready([settings for _, settings in entries], len(sides))

    def _start_standin(self, name: str, kind: str, address: str, *more: str) -> None:
        arguments = (STANDINS, f"--kind={kind}", f"--listen={address}", *more)
        log = str(self._logs / f"{name}.log")
        self._standins.append(ChildProcess(name, arguments, log))

    def _start_endpoint(self, name: str, settings: Settings) -> None:
        endpoint = settings.endpoint
        assert endpoint is not None
        if endpoint.kind == "plain":
            self._start_standin(f"{name}-endpoint", "plain", endpoint.address)
            return
        service = self._deployment.catalog.service_by_name[endpoint.service]
        config = {"model": service.models[0], "version": service.model_version}
        engine = f"--engine={json.dumps(config)}"
        speed = f"--speed={FLAGS.engine_speed}"
        self._start_standin(
            f"{name}-endpoint", "engine", endpoint.address, engine, speed
        )

    def _start_member(self, path: Path, settings: Settings) -> None:
        log = str(self._logs / f"{path.stem}.log")
        arguments = (DAEMON, f"--settings={path}")
        self._members.append(ChildProcess(path.stem, arguments, log))
        row = {"id": settings.node.id, "address": settings.listen.links}
        row |= {"zone": settings.node.zone, "state": "live"}
        call_json(settings.platform.vm_list, "POST", "/v1/vms", row)

    def _submit(self, entry: Settings) -> None:
        fields = {"base_version": 0, "submission_id": new_id()}
        fields["source"] = self._deployment.source
        answer = call_json(entry.listen.operators, "PUT", "/admin/text", fields)
        if answer.status != 200:
            raise StartError(f"the text was not accepted: {answer}")

    def _wait_until_ready(self, entries: list[Settings], sides: int) -> None:
        with gevent.Timeout(READY_LIMIT_S, StartError("the entries are not ready")):
            for entry in entries:
                while _linked_sides(entry.listen.operators) < sides:
                    gevent.sleep(READY_POLL_S)

    def stop(self) -> list[int]:
        """Drain the members together, end the test doubles, return all exit codes."""
        codes = []
        for group in (self._members, self._standins):
            for child in group:
                child.terminate()
            codes += [child.wait() for child in group]
        return codes


def _join(starts: list[gevent.Greenlet]) -> None:
    """Wait for all starts, so that none goes on after a failure, then raise its error.

    A child that starts while the others are stopped would be left behind.
    """
    gevent.joinall(starts)
    for start in starts:
        start.get()


def _linked_sides(operators: str) -> int:
    """Return to how many sidecars an entry that is ready is linked; 0 if not ready."""
    fields = call_json(operators, "GET", "/admin/status").fields
    if not fields.get("ready"):
        return 0
    rows = [row for row in fields["members"] if row["linked"]]
    return sum(row["role"] == "side" for row in rows)


def main(argv: list[str]) -> int:
    """Run a deployment until SIGINT or SIGTERM."""
    if len(argv) != 2:
        raise app.UsageError("give one directory, such as examples/polluvili")
    deployment = read_deployment(Path(argv[1]))
    logs = Path(FLAGS.logs or tempfile.mkdtemp(prefix="wigeonwind-"))
    logs.mkdir(parents=True, exist_ok=True)
    print(f"logs {logs}", flush=True)
    stopped = Event()
    gevent.signal_handler(signal.SIGTERM, stopped.set)
    gevent.signal_handler(signal.SIGINT, stopped.set)
    running = Running(deployment, logs)
    try:
        running.start()
        for _, entry in deployment.members("entry"):
            print(f"callers http://{entry.listen.callers} zone {entry.node.zone}")
            print(f"operators {entry.listen.operators}")
        customer = next(iter(deployment.catalog.customer_by_name))
        print(f"key of {customer}: example key of {customer}", flush=True)
        stopped.wait()
    except StartError as error:
        print(error, file=sys.stderr)
    finally:
        codes = running.stop()
        print(f"stopped {len(codes)} processes, exit codes {sorted(set(codes))}")
    return 0 if stopped.is_set() else 1


if __name__ == "__main__":
    app.run(main)
