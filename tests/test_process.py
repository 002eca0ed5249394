"""Supervised loops and the booking sweep of a process."""

from types import SimpleNamespace

import pytest
from entry_fakes import ScriptedFailureStore
from structlog.testing import capture_logs

from wigeonwind.runtime.demo import (
    ANY_PORT,
    endpoint_source,
    make_process,
    settings_source,
)
from wigeonwind.runtime.process import EXIT_LOOP_FAILED, sweep_if_lease_held
from wigeonwind.standins.object_store_server import ObjectStoreServer
from wigeonwind.standins.plain_service import PlainServiceServer
from wigeonwind.state.booking_sweep import BookingSweep


def fail(*_):
    raise ValueError("fault in a loop")


@pytest.mark.parametrize(
    "find_step",
    [
        lambda process: (process._configuration_watcher, "poll_step"),
        lambda process: (process.node.dialer, "tick"),
        lambda process: (process.sidecar._reporter, "report"),
        lambda process: (process.sidecar, "tick"),
    ],
)
def test_a_failed_loop_stops_the_process(find_step):
    # Guards against a process that keeps running without one of its loops, which its
    # supervisor would not notice.
    store, service = ObjectStoreServer(ANY_PORT), PlainServiceServer(ANY_PORT)
    source = settings_source("side-1", "side", "tartu-a", str(store.start()), "")
    endpoint = endpoint_source("spot-desk", "plain", service.start())
    process = make_process(source + endpoint)
    setattr(*find_step(process), fail)
    with capture_logs() as lines:
        process.start()
        assert process.stopped.wait(10.0)
    assert process.exit_code == EXIT_LOOP_FAILED
    assert [row["log_level"] for row in lines].count("error") == 1
    service.stop()
    store.stop()


@pytest.mark.parametrize("holds_lease", [True, False])
def test_only_the_lease_holder_sweeps_bookings(holds_lease):
    sweep = BookingSweep(ScriptedFailureStore(), lambda: 0.0)
    step = sweep_if_lease_held(SimpleNamespace(holds_lease=holds_lease), sweep)
    assert (step is not None and step.complete) == holds_lease
    assert sweep_if_lease_held(None, sweep) is None
