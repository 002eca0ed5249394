"""Fencing of control commands, limits of a sidecar's tables, latency quantiles."""

import gevent
import pytest
from sidecar_fakes import LeaseObjectStore, SidecarHarness, wait_until

from wigeonwind.clock import ManualClock
from wigeonwind.links.messages import (
    Chunk,
    Finished,
    LoadReport,
    Order,
    OrderResult,
    Refused,
)
from wigeonwind.runtime.metrics import Metrics
from wigeonwind.side.attempt_table import AttemptStatus, AttemptTable
from wigeonwind.side.claim_registry import (
    MAX_RESPONSE_BYTES,
    ClaimRegistry,
    ResponseRecorder,
)
from wigeonwind.side.draining import ACCEPT_GRACE_MS


@pytest.fixture
def harness():
    harness = SidecarHarness(store=LeaseObjectStore(fence=5))
    yield harness
    harness.close()


def load_model(fence, version="2", name="o1"):
    return Order(name, fence, "load_model", "m", version, "")


def send_command(harness, command):
    count = len(harness.link.of_type(OrderResult))
    harness.sidecar.on_message(harness.link, command)
    gevent.sleep(0)
    harness.clock.advance(ACCEPT_GRACE_MS)
    return harness.link.wait_for(OrderResult, count + 1)


def test_commands_need_the_lease_and_a_stale_fence_is_refused(harness):
    assert not send_command(harness, load_model(9)).done
    assert harness.sidecar._commands.read_lease()
    result = send_command(harness, load_model(4))
    assert (result.done, result.fence, result.reason) == (False, 5, "old fencing token")
    assert "/orders" not in harness.endpoint.paths()
    result = send_command(harness, load_model(5))
    assert (result.done, result.model, result.version) == (True, "m", "2")
    assert harness.endpoint.paths().count("/orders") == 1


def test_a_restarted_sidecar_refuses_a_former_holder_during_a_store_outage(harness):
    # Guards against a command of a paused process that has lost the lease: the new
    # sidecar has not received the token of the new holder, which is only in the store.
    harness.store.is_down = True
    assert not harness.sidecar._commands.read_lease()
    assert not send_command(harness, load_model(4)).done
    harness.store.is_down = False
    assert harness.sidecar._commands.read_lease()
    assert send_command(harness, load_model(4)).reason == "old fencing token"
    assert "/orders" not in harness.endpoint.paths()


def test_all_commands_are_refused_while_the_lease_is_invalid(harness):
    harness.store.fence = "not a number"
    assert not harness.sidecar._commands.read_lease()
    assert not send_command(harness, load_model(9)).done


def test_observe_announces_a_fencing_token_and_changes_nothing(harness):
    harness.sidecar._commands.read_lease()
    result = send_command(harness, Order("o1", 8, "observe", "", "", ""))
    assert (result.done, result.fence, result.version) == (True, 8, "1")
    assert not send_command(harness, load_model(7)).done
    assert "/orders" not in harness.endpoint.paths()


def test_a_queued_command_is_refused_after_a_command_of_a_newer_lease_holder():
    harness = SidecarHarness(store=LeaseObjectStore(fence=1))
    harness.endpoint.ungated_items = 1
    harness.sidecar._commands.read_lease()
    harness.submit()
    harness.link.wait_for(Chunk)
    harness.sidecar.on_message(harness.link, load_model(1, name="old"))
    harness.sidecar.on_message(harness.link, load_model(2, name="waiting"))
    # The newer lease holder gets its result although the command of the older one waits
    # for the running attempt.
    assert send_command(harness, Order("new", 3, "observe", "", "", "")).version == "1"
    harness.endpoint.gate.set()
    harness.link.wait_for(OrderResult, 3)
    results = {r.order_id: r.done for r in harness.link.of_type(OrderResult)}
    assert results == {"new": True, "old": False, "waiting": False}
    assert "/orders" not in harness.endpoint.paths()
    harness.close()


def test_loading_a_model_fails_no_request(harness):
    # Guards against requests that are sent to an engine while it loads a model and
    # therefore refuses them.
    harness.sidecar._commands.read_lease()
    harness.sidecar._reporter.poll()
    harness.queue.slots = 1
    harness.endpoint.ungated_items = 1
    harness.submit("r1")
    harness.submit("r2")
    harness.link.wait_for(Chunk)
    harness.sidecar.on_message(harness.link, load_model(5))
    assert not harness.link.wait_for(LoadReport, 2).ready
    harness.submit("r3")
    harness.clock.advance(ACCEPT_GRACE_MS)
    harness.submit("r4")
    refused = harness.link.wait_for(Refused)
    assert (refused.request_id, refused.code) == ("r4", "no_endpoint")
    harness.endpoint.gate.set()
    assert harness.link.wait_for(OrderResult).done
    paths = harness.endpoint.paths()
    stream = "/v1/chat/completions"
    assert paths[1 : paths.index("/orders")] == [stream] * 3
    assert [f.request_id for f in harness.link.of_type(Finished)] == ["r1", "r2", "r3"]
    wait_until(lambda: harness.link.of_type(LoadReport)[-1].ready)
    harness.submit("r5")
    harness.link.wait_for(Finished, 4)


def test_a_full_table_refuses_new_attempts_and_retains_old_ones():
    clock = ManualClock()
    table = AttemptTable(clock, max_attempts=10)
    keys = [(f"r{i}", 0) for i in range(20)]
    assert [table.forbid(key) for key in keys] == [True] * 10 + [False] * 10
    assert table.is_full
    clock.advance(599_999.0)
    assert all(table.status(key) is AttemptStatus.WITHDRAWN for key in keys[:10])
    clock.advance(60_001.0)
    assert not table.is_full
    assert table.status(keys[0]) is AttemptStatus.NEW


def test_refusals_do_not_fill_the_table():
    table = AttemptTable(ManualClock(), max_attempts=10)
    for number in range(30_000):
        table.record_refused((f"r{number}", 0))
    assert not table.is_full
    assert table.status(("r29999", 0)) is AttemptStatus.WITHDRAWN


def test_a_full_claim_registry_never_reports_a_token_as_forbidden():
    claims = ClaimRegistry(ManualClock(), max_tokens=2)
    claims.add("a", ("r", 0))
    assert claims.resolve("b").state == "forbidden"
    assert claims.resolve("c").state == "unknown"
    assert claims.is_full
    claims.start("a")
    claims.mark_not_run("a")
    assert claims.resolve("a").state == "forbidden"


def test_retained_responses_are_limited():
    claims = ClaimRegistry(ManualClock())
    for number in range(40):
        name = f"t{number}"
        claims.add(name, (name, 0))
        claims.start(name)
        recorder = ResponseRecorder(200, [])
        recorder.add(b"x" * MAX_RESPONSE_BYTES)
        claims.end(name, recorder.response())
    states = [claims.resolve(f"t{number}").state for number in range(40)]
    assert states == ["unknown"] * 8 + ["done"] * 32
    recorder.add(b"x")
    assert recorder.response() is None


def test_latency_quantiles_drop_an_old_burst():
    clock = ManualClock()
    metrics = Metrics(clock)
    latency = metrics.latency("wait", "Wait.")
    for _ in range(100):
        latency.record(500.0)
    assert latency.quantile_ms(0.95) == pytest.approx(500.0, rel=0.01)
    text = metrics.render().decode()
    assert 'wigeonwind_wait_ms{quantile="0.95"}' in text
    assert "wigeonwind_wait_ms_count 100.0" in text
    clock.advance(61_000.0)
    latency.record(1.0)
    assert latency.quantile_ms(0.95) == pytest.approx(500.0, rel=0.01)
    clock.advance(130_000.0)
    latency.record(1.0)
    assert latency.quantile_ms(0.95) == pytest.approx(1.0, rel=0.01)
