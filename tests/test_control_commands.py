"""Fencing of orders, and the memories of a sidecar."""

import gevent
import pytest
from sidecar_fakes import Bed, FakeStore, wait_until

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
def bed():
    bed = Bed(store=FakeStore(fence=5))
    yield bed
    bed.close()


def load(fence, version="2", name="o1"):
    return Order(name, fence, "load_model", "m", version, "")


def give(bed, order):
    count = len(bed.link.of_type(OrderResult))
    bed.side.on_message(bed.link, order)
    gevent.sleep(0)
    bed.clock.advance(ACCEPT_GRACE_MS)
    return bed.link.wait_for(OrderResult, count + 1)


def test_orders_wait_for_the_lease_and_an_old_token_is_refused(bed):
    assert not give(bed, load(9)).done
    assert bed.side._commands.read_lease()
    result = give(bed, load(4))
    assert (result.done, result.fence, result.reason) == (False, 5, "old fencing token")
    assert "/orders" not in bed.endpoint.paths()
    result = give(bed, load(5))
    assert (result.done, result.model, result.version) == (True, "m", "2")
    assert bed.endpoint.paths().count("/orders") == 1


def test_a_restarted_sidecar_refuses_a_paused_leader_while_the_store_is_down(bed):
    # The new process has not seen the new leader's token; only the store knows it.
    bed.store.is_down = True
    assert not bed.side._commands.read_lease()
    assert not give(bed, load(4)).done
    bed.store.is_down = False
    assert bed.side._commands.read_lease()
    assert give(bed, load(4)).reason == "old fencing token"
    assert "/orders" not in bed.endpoint.paths()


def test_a_lease_object_that_cannot_be_read_keeps_all_orders_out(bed):
    bed.store.fence = "not a number"
    assert not bed.side._commands.read_lease()
    assert not give(bed, load(9)).done


def test_observe_announces_a_token_and_changes_nothing(bed):
    bed.side._commands.read_lease()
    result = give(bed, Order("o1", 8, "observe", "", "", ""))
    assert (result.done, result.fence, result.version) == (True, 8, "1")
    assert not give(bed, load(7)).done
    assert "/orders" not in bed.endpoint.paths()


def test_an_order_that_waits_is_refused_once_a_newer_leader_has_spoken():
    bed = Bed(store=FakeStore(fence=1))
    bed.endpoint.free = 1
    bed.side._commands.read_lease()
    bed.submit()
    bed.link.wait_for(Chunk)
    bed.side.on_message(bed.link, load(1, name="old"))
    bed.side.on_message(bed.link, load(2, name="waiting"))
    # The newer leader is answered although the older one's order is under way.
    assert give(bed, Order("new", 3, "observe", "", "", "")).version == "1"
    bed.endpoint.gate.set()
    bed.link.wait_for(OrderResult, 3)
    results = {r.order_id: r.done for r in bed.link.of_type(OrderResult)}
    assert results == {"new": True, "old": False, "waiting": False}
    assert "/orders" not in bed.endpoint.paths()
    bed.close()


def test_a_change_of_the_endpoint_drops_nobody(bed):
    # An engine refuses requests while it loads a model; nobody may meet that.
    bed.side._commands.read_lease()
    bed.side._reporter.poll()
    bed.queue.slots = 1
    bed.endpoint.free = 1
    bed.submit("r1")
    bed.submit("r2")
    bed.link.wait_for(Chunk)
    bed.side.on_message(bed.link, load(5))
    assert not bed.link.wait_for(LoadReport, 2).ready
    bed.submit("r3")
    bed.clock.advance(ACCEPT_GRACE_MS)
    bed.submit("r4")
    refused = bed.link.wait_for(Refused)
    assert (refused.request_id, refused.code) == ("r4", "no_endpoint")
    bed.endpoint.gate.set()
    assert bed.link.wait_for(OrderResult).done
    paths = bed.endpoint.paths()
    stream = "/v1/chat/completions"
    assert paths[1 : paths.index("/orders")] == [stream] * 3
    assert [f.request_id for f in bed.link.of_type(Finished)] == ["r1", "r2", "r3"]
    wait_until(lambda: bed.link.of_type(LoadReport)[-1].ready)
    bed.submit("r5")
    bed.link.wait_for(Finished, 4)


def test_a_full_table_refuses_new_work_instead_of_forgetting_old():
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


def test_a_full_claim_memory_never_calls_a_token_forbidden():
    claims = ClaimRegistry(ManualClock(), max_tokens=2)
    claims.add("a", ("r", 0))
    assert claims.resolve("b").state == "forbidden"
    assert claims.resolve("c").state == "unknown"
    assert claims.is_full
    claims.start("a")
    claims.mark_not_run("a")
    assert claims.resolve("a").state == "forbidden"


def test_kept_answers_are_bounded():
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


def test_latency_quantiles_forget_an_old_burst():
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
