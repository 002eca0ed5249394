"""Child processes of a fault run, each signalled and ended by its process id."""

import os
import re
import signal
import sys
from collections.abc import Mapping, Sequence
from typing import IO, Any

import gevent
from gevent import subprocess

ADDRESS_PATTERN = re.compile(r"(\w+) (\d+\.\d+\.\d+\.\d+:\d+)")
"""An address as the programs print it: the listener's name, then host and port."""

START_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 40.0
KILL_TIMEOUT_S = 5.0
HUNG_EXIT_CODE = -99
"""Exit code reported for a process that did not end within its timeout."""


class StartError(Exception):
    """A process did not start, or a fleet did not become ready."""


class ChildProcess:
    """A Python module run as a child process.

    `address_by_name` holds the addresses that it printed, such as that of `links`. For
    a program that prints none, pass `prints_addresses=False`; its caller must then
    check by other means when it is ready.
    """

    def __init__(
        self,
        name: str,
        arguments: Sequence[str],
        log_path: str,
        environment: Mapping[str, str] | None = None,
        prints_addresses: bool = True,
    ) -> None:
        self.name = name
        self._log_path = log_path
        with open(log_path, "a", encoding="utf-8") as log:
            self._popen: Any = subprocess.Popen(
                [sys.executable, "-m", *arguments],
                stdin=subprocess.DEVNULL,
                stdout=subprocess.PIPE,
                stderr=log,
                start_new_session=True,
                env={**os.environ, **(environment or {})},
            )
        self.address_by_name: dict[str, str] = {}
        if prints_addresses:
            self.address_by_name = self._read_addresses(self._popen.stdout)
        self._reader = gevent.spawn(_append_output, self._popen.stdout, log_path)

    def _read_addresses(self, stream: IO[bytes]) -> dict[str, str]:
        """Return the addresses of the first line that has any.

        Kill the process and raise StartError if its output ends or times out first.
        """
        with gevent.Timeout(START_TIMEOUT_S, False):
            for line in stream:
                found = dict(ADDRESS_PATTERN.findall(line.decode()))
                if found:
                    return found
        self.kill()
        raise StartError(
            f"{self.name} ended or printed no address before its start timeout; "
            f"see {self._log_path}"
        )

    @property
    def is_running(self) -> bool:
        """Return whether the process has not ended."""
        return self._popen.poll() is None

    def terminate(self) -> None:
        """Send SIGTERM."""
        self._signal(signal.SIGTERM)

    def freeze(self) -> None:
        """Send SIGSTOP."""
        self._signal(signal.SIGSTOP)

    def thaw(self) -> None:
        """Send SIGCONT."""
        self._signal(signal.SIGCONT)

    def send_sighup(self) -> None:
        """Send SIGHUP."""
        self._signal(signal.SIGHUP)

    def kill(self) -> None:
        """Send SIGKILL and wait until the process ends.

        Raise TimeoutExpired if it is still running after KILL_TIMEOUT_S.
        """
        self._signal(signal.SIGKILL)
        self._popen.wait(KILL_TIMEOUT_S)

    def wait(self, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Wait for the end and return the exit code; kill the process on a timeout."""
        try:
            return int(self._popen.wait(timeout_s))
        except subprocess.TimeoutExpired:
            self.kill()
            return HUNG_EXIT_CODE

    def _signal(self, signal_number: int) -> None:
        if self.is_running:
            os.kill(self._popen.pid, signal_number)


def _append_output(stream: IO[bytes], log_path: str) -> None:
    """Append the output of a process to its log file, so that no line is lost."""
    with open(log_path, "ab", buffering=0) as log:
        for line in stream:
            log.write(line)
