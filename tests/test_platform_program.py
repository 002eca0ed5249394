"""The program on the platform's VMs: settings, reload, engine priorities."""

import os
import subprocess
import sys

import pytest
from routing_fleet import RoutingFleet, configuration, route
from test_platform_formats import NODE

from wigeonwind.platform import __main__ as program
from wigeonwind.platform.node_file import PATH_VARIABLE, decode_node_file
from wigeonwind.standins.platform_worker import EventStream

GENERATION_HEADERS = ("Model: m", "Token-Usage: 900,50", "Prefix-Hash: aa:400,bb:500")


@pytest.fixture
def node_file(tmp_path, monkeypatch):
    path = tmp_path / "local.toml"
    path.write_text(NODE)
    monkeypatch.setenv(PATH_VARIABLE, str(path))
    return path


def test_settings_are_reloaded(node_file):
    # Guards against a changed limit of a graceful stop that is ignored until a restart.
    initial_settings = decode_node_file(NODE).value
    router = program.build_router(initial_settings)
    node_file.write_text(NODE.replace("grace_s = 8", "grace_s = 5"))
    program.reload_settings(router, initial_settings)
    assert router.stop_limit_ms == 5000.0


def test_invalid_settings_file_changes_nothing(node_file):
    # Guards against a running process that stops because of a typing error.
    initial_settings = decode_node_file(NODE).value
    router = program.build_router(initial_settings)
    node_file.write_text("grace_s = ")
    program.reload_settings(router, initial_settings)
    assert router.stop_limit_ms == 8000.0


@pytest.mark.parametrize(
    ("source", "arguments", "code"),
    [(NODE, ["--check"], 0), ("", ["--check"], 2), (NODE, ["--other"], 2)],
)
def test_settings_can_be_checked(node_file, source, arguments, code):
    # Guards against an invalid file that is noticed only at the next start.
    node_file.write_text(source)
    command = [sys.executable, "-m", "wigeonwind.platform", *arguments]
    done = subprocess.run(command, env=dict(os.environ), capture_output=True, text=True)
    assert done.returncode == code
    assert done.stdout if code == 0 else done.stderr


# Sends SIGHUP to its own process when the program imports the router.
SIGHUP_AT_IMPORT = """
import os, runpy, signal, sys

class Finder:
    def find_spec(self, name, path=None, target=None):
        if name == "wigeonwind.routing.router":
            os.kill(os.getpid(), signal.SIGHUP)

sys.meta_path.insert(0, Finder())
sys.argv = ["wigeonwind.platform", "--check"]
runpy.run_module("wigeonwind.platform", run_name="__main__")
"""


def test_a_reload_during_the_start_does_not_end_the_process(node_file):
    # Guards against a process that is ended by SIGHUP while it loads its modules.
    command = [sys.executable, "-c", SIGHUP_AT_IMPORT]
    done = subprocess.run(command, env=dict(os.environ), capture_output=True, text=True)
    assert (done.returncode, done.stdout) == (0, "the settings are valid\n")


def test_engine_priority_combines_customer_and_route():
    # Guards against sending engines only the priority of the customer: in one run,
    # urgent streams were preempted while long prompts of less urgent routes ran on.
    config = configuration()
    config["routes"].append(route("late", "/late/", "streaming", priority=2))
    config["tenants"].append({"name": "big", "api_keys": ["key-2"], "priority": 1})
    fleet = RoutingFleet(1, EventStream(), config)
    try:
        for path in ("/stream/x", "/late/x"):
            for key in ("key-1", "key-2"):
                headers = (*GENERATION_HEADERS, f"X-Api-Key: {key}")
                fleet.call(path, "POST", b"p", headers)
        worker = fleet.workers[0]
        sent = [int(worker.header(n, "Request-Priority")) for n in range(4)]
    finally:
        fleet.stop()
    urgent, urgent_of_big, low, low_of_big = sent
    assert urgent < low < urgent_of_big < low_of_big
