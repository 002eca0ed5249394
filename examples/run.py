"""Run a deployment of `examples/` on loopback, for development.

    python examples/run.py examples/polluvili

Starts a test double for each store, VM list and endpoint of the settings files and a
wigeonwindd for each settings file, submits the configuration, and prints the addresses
for callers and operators. SIGINT (Ctrl-C) and SIGTERM stop all processes: each
daemon is sent a SIGTERM and drains first. Logs are written to `--logs`.
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

TEST_DOUBLES_MODULE = "wigeonwind.standins.main"
DAEMON_MODULE = "wigeonwind.daemon"
READY_POLL_INTERVAL_S = 0.1
READY_TIMEOUT_S = 60.0

FLAGS = flags.FLAGS
flags.DEFINE_string("logs", "", "Directory for logs; a temporary one if empty.")
flags.DEFINE_float("engine_speed", 1.0, "Speed of the engines relative to real time.")


@dataclass(frozen=True)
class Deployment:
    """A configuration, and the settings of each process by the path of their file."""

    source: str
    catalog: Catalog
    settings_by_path: dict[Path, Settings]

    def settings_of_role(self, role: str) -> list[tuple[Path, Settings]]:
        """Return the paths and settings of all processes of a role, sorted by path."""
        paths_and_settings = sorted(self.settings_by_path.items())
        return [
            (path, each) for path, each in paths_and_settings if each.node.role == role
        ]


def read_deployment(directory: Path) -> Deployment:
    """Read and check all files; raise UsageError if one is invalid.

    The error lists all problems of the configuration, or the first one of the settings.
    """
    source = (directory / "text.ini").read_text(encoding="utf-8")
    configuration = parse_configuration(source, 1, None)
    if isinstance(configuration, Invalid):
        raise app.UsageError("\n".join(str(each) for each in configuration.problems))
    settings_by_path = {}
    for path in sorted((directory / "settings").glob("*.ini")):
        settings = read_settings(path.read_text(encoding="utf-8"))
        if isinstance(settings, Invalid):
            raise app.UsageError(f"{path}: {settings.problems[0]}")
        settings_by_path[path] = settings.value
    if not settings_by_path:
        raise app.UsageError(f"no settings files in {directory / 'settings'}")
    return Deployment(source, configuration.value.catalog, settings_by_path)


class DeploymentProcesses:
    """The processes of a deployment and of its test doubles."""

    def __init__(self, deployment: Deployment, logs: Path) -> None:
        self._deployment = deployment
        self._logs = logs
        self._daemons: list[ChildProcess] = []
        self._test_doubles: list[ChildProcess] = []

    def start(self) -> None:
        """Start all processes, submit the configuration and wait for readiness.

        Raises StartError if a process does not start, the configuration is rejected, or
        an entry is not ready and linked to all sidecars within READY_TIMEOUT_S.
        """
        deployment = self._deployment
        entries, sidecars = (
            deployment.settings_of_role("entry"),
            deployment.settings_of_role("side"),
        )
        platform = entries[0][1].platform
        starts: list[gevent.Greenlet] = [
            gevent.spawn(
                self._start_test_double, "store", "object-store", platform.store
            ),
            gevent.spawn(
                self._start_test_double, "vm-list", "vm-list", platform.vm_list
            ),
        ]
        starts += [
            gevent.spawn(self._start_endpoint, path.stem, settings)
            for path, settings in sidecars
        ]
        _wait_for_starts(starts)
        # Each process needs seconds of CPU to start, so they start concurrently.
        starts = [
            gevent.spawn(self._start_daemon, path, settings)
            for path, settings in [*entries, *sidecars]
        ]
        _wait_for_starts(starts)
        self._submit_configuration(entries[0][1])
        self._wait_until_ready([settings for _, settings in entries], len(sidecars))

    def _start_test_double(
        self, name: str, kind: str, address: str, *more_flags: str
    ) -> None:
        arguments = (
            TEST_DOUBLES_MODULE,
            f"--kind={kind}",
            f"--listen={address}",
            *more_flags,
        )
        log = str(self._logs / f"{name}.log")
        self._test_doubles.append(ChildProcess(name, arguments, log))

    def _start_endpoint(self, name: str, settings: Settings) -> None:
        endpoint = settings.endpoint
        assert endpoint is not None
        if endpoint.kind == "plain":
            self._start_test_double(f"{name}-endpoint", "plain", endpoint.address)
            return
        service = self._deployment.catalog.service_by_name[endpoint.service]
        engine_config = {"model": service.models[0], "version": service.model_version}
        engine_flag = f"--engine={json.dumps(engine_config)}"
        speed_flag = f"--speed={FLAGS.engine_speed}"
        self._start_test_double(
            f"{name}-endpoint", "engine", endpoint.address, engine_flag, speed_flag
        )

    def _start_daemon(self, path: Path, settings: Settings) -> None:
        log = str(self._logs / f"{path.stem}.log")
        arguments = (DAEMON_MODULE, f"--settings={path}")
        self._daemons.append(ChildProcess(path.stem, arguments, log))
        vm = {"id": settings.node.id, "address": settings.listen.links}
        vm |= {"zone": settings.node.zone, "state": "live"}
        call_json(settings.platform.vm_list, "POST", "/v1/vms", vm)

    def _submit_configuration(self, entry: Settings) -> None:
        fields = {"base_version": 0, "submission_id": new_id()}
        fields["source"] = self._deployment.source
        response = call_json(entry.listen.operators, "PUT", "/admin/text", fields)
        if response.status != 200:
            raise StartError(f"the entry rejected the configuration: {response}")

    def _wait_until_ready(self, entries: list[Settings], sidecar_count: int) -> None:
        with gevent.Timeout(
            READY_TIMEOUT_S,
            StartError(
                "timed out: not all entries are ready and linked to all sidecars"
            ),
        ):
            for entry in entries:
                while _linked_sidecar_count(entry.listen.operators) < sidecar_count:
                    gevent.sleep(READY_POLL_INTERVAL_S)

    def stop(self) -> list[int]:
        """Drain all daemons concurrently, then stop the test doubles.

        Returns the exit codes of all processes.
        """
        codes = []
        for processes in (self._daemons, self._test_doubles):
            for child in processes:
                child.terminate()
            codes += [child.wait() for child in processes]
        return codes


def _wait_for_starts(starts: list[gevent.Greenlet]) -> None:
    """Wait for all starts, then raise the error of the first that failed.

    If it raised earlier, a child process that starts after the others have been stopped
    would be left running.
    """
    gevent.joinall(starts)
    for start in starts:
        start.get()


def _linked_sidecar_count(operators: str) -> int:
    """Return the number of sidecars to which an entry is linked, 0 if it is not ready.

    `operators` is the entry's address for operators.
    """
    fields = call_json(operators, "GET", "/admin/status").fields
    if not fields.get("ready"):
        return 0
    linked_members = [member for member in fields["members"] if member["linked"]]
    return sum(member["role"] == "side" for member in linked_members)


def main(argv: list[str]) -> int:
    """Run a deployment until SIGINT or SIGTERM."""
    if len(argv) != 2:
        raise app.UsageError("expected one directory, such as examples/polluvili")
    deployment = read_deployment(Path(argv[1]))
    logs = Path(FLAGS.logs or tempfile.mkdtemp(prefix="wigeonwind-"))
    logs.mkdir(parents=True, exist_ok=True)
    print(f"logs {logs}", flush=True)
    stopped = Event()
    gevent.signal_handler(signal.SIGTERM, stopped.set)
    gevent.signal_handler(signal.SIGINT, stopped.set)
    processes = DeploymentProcesses(deployment, logs)
    try:
        processes.start()
        for _, entry in deployment.settings_of_role("entry"):
            print(f"callers http://{entry.listen.callers} zone {entry.node.zone}")
            print(f"operators {entry.listen.operators}")
        customer = next(iter(deployment.catalog.customer_by_name))
        print(f"key of {customer}: example key of {customer}", flush=True)
        stopped.wait()
    except StartError as error:
        print(error, file=sys.stderr)
    finally:
        codes = processes.stop()
        print(f"stopped {len(codes)} processes, exit codes {sorted(set(codes))}")
    return 0 if stopped.is_set() else 1


if __name__ == "__main__":
    app.run(main)
