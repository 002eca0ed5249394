"""Model rollouts from an edited configuration to the engines, in one process."""

from dataclasses import replace

import gevent
import pytest

from wigeonwind.links.messages import Order, OrderResult
from wigeonwind.outcomes import Ok
from wigeonwind.runtime.demo import (
    ANY_PORT,
    CONFIGURATION_PATH,
    DEMO_ENGINE,
    add_sidecar,
    start_fleet,
)
from wigeonwind.standins.answer_text import check_complete_answer
from wigeonwind.standins.engine_server import EngineServer
from wigeonwind.standins.faults import IgnoreFence, Outage, Straggle
from wigeonwind.standins.weight_store import WeightLimits, WeightStoreServer
from wigeonwind.state.rollouts import RolloutTimings, Verdict, decode_rollout_record

CONFIGURATION = CONFIGURATION_PATH.read_text(encoding="utf-8")
NEXT_VERSION = CONFIGURATION.replace("model_version = 1", "model_version = 2")
TIMINGS = RolloutTimings(
    soak_ms=400.0, poll_interval_ms=30.0, idle_poll_interval_ms=100.0
)
QUICK_ENGINE = replace(DEMO_ENGINE, load_model_ms=50.0, report_lag_ms=30.0)
WAIT_LIMIT_S = 40.0
"""Time for which a condition may stay false before the test fails."""


@pytest.fixture
def make_fleet():
    started = []

    def make(source=CONFIGURATION, **options):
        options = {
            "services": 0,
            "entries": 2,
            "config": QUICK_ENGINE,
            **options,
        }
        started.append(start_fleet(source, rollout_timings=TIMINGS, **options))
        return started[-1]

    yield make
    for fleet in started:
        fleet.stop()


def wait_until(condition):
    with gevent.Timeout(WAIT_LIMIT_S):
        while not condition():
            gevent.sleep(0.01)


def submit(fleet, source):
    """Bring an edited configuration into force, as the operators' API does."""
    replica = fleet.entries[0].node.configuration
    replica.offer(replica.version + 1, source)


def versions(fleet):
    return [engine.model.control.version for engine in fleet.engines]


def verdict(fleet):
    found = fleet.entries[0].node.store.get("rolls/wigeon-llm")
    record = decode_rollout_record(found.value.value) if isinstance(found, Ok) else None
    return record and record.verdict


def is_done(fleet, version):
    everywhere = set(versions(fleet)) == {version}
    return everywhere and verdict(fleet) is Verdict.DONE


def lease_holder(fleet):
    return next(e for e in fleet.entries if e.node.rollout_controller.holds_lease)


class ChatLoad:
    """Callers that chat continuously until `stop`."""

    def __init__(self, fleet, callers=8, tokens=20):
        from test_end_to_end import chat, client_of

        self.answers = []
        self.is_running = True
        self._tokens = tokens
        self._chat = chat
        self._clients = [client_of(fleet, n) for n in range(len(fleet.callers))]
        self._callers = [gevent.spawn(self._run, number) for number in range(callers)]

    def _run(self, number):
        client = self._clients[number % len(self._clients)]
        while self.is_running:
            prompt = f"caller {number} call {len(self.answers)} len={self._tokens}"
            self.answers.append((prompt, self._chat(client, prompt)))

    def stop(self):
        """Wait for the last answers; return their number if all are complete."""
        self.is_running = False
        gevent.joinall(self._callers, timeout=WAIT_LIMIT_S, raise_error=True)
        assert all(caller.successful() for caller in self._callers)
        for prompt, answer in self.answers:
            assert isinstance(check_complete_answer(prompt, answer), Ok), prompt
        return len(self.answers)


def test_a_rollout_under_load_interrupts_no_answer_and_keeps_capacity(make_fleet):
    fleet = make_fleet(engines=5)
    load = ChatLoad(fleet)
    most_loading = 0
    submit(fleet, NEXT_VERSION)
    with gevent.Timeout(WAIT_LIMIT_S):
        while not is_done(fleet, "2"):
            loading = [e.model.control.blocks_requests for e in fleet.engines]
            most_loading = max(most_loading, sum(loading))
            gevent.sleep(0.002)
    assert load.stop() > 20
    assert most_loading == 1
    assert all(len(e.model.control.accepted_commands) == 1 for e in fleet.engines)


def test_a_worse_version_is_halted_and_rolled_back(make_fleet):
    source = CONFIGURATION.replace(
        "target = first-token 10s", "target = between-tokens 60ms"
    )
    fleet = make_fleet(source, engines=3)
    load = ChatLoad(fleet)

    def slow_down_new_version():
        while True:
            for engine in fleet.engines:
                is_new = engine.model.control.version == "2"
                engine.inject(Straggle(factor=20.0 if is_new else 1.0))
            gevent.sleep(0.01)

    slowdown = gevent.spawn(slow_down_new_version)
    submit(fleet, source.replace("model_version = 1", "model_version = 2"))
    wait_until(lambda: verdict(fleet) is Verdict.HALTED)
    wait_until(lambda: set(versions(fleet)) == {"1"})
    slowdown.kill()
    load.stop()
    accepted_counts = [
        len(engine.model.control.accepted_commands) for engine in fleet.engines
    ]
    assert sorted(accepted_counts) == [0, 0, 2]


def test_an_outage_of_the_store_pauses_the_rollout_but_not_requests(make_fleet):
    fleet = make_fleet(engines=3)
    load = ChatLoad(fleet)
    submit(fleet, NEXT_VERSION)
    wait_until(lambda: "2" in versions(fleet))
    fleet.store.inject(Outage())
    before = len(load.answers)
    # The load of a model that was started before the outage may still finish.
    wait_until(lambda: not any(e.model.control.pending for e in fleet.engines))
    gevent.sleep(2 * TIMINGS.poll_interval_ms / 1000)
    versions_in_outage = versions(fleet)
    wait_until(lambda: len(load.answers) > before + 30)
    gevent.sleep(TIMINGS.soak_ms / 1000)
    assert versions(fleet) == versions_in_outage
    fleet.store.clear_faults()
    wait_until(lambda: is_done(fleet, "2"))
    load.stop()


def test_a_rollout_continues_after_the_weight_store_refused_a_load(make_fleet):
    # The delays between retries are tested in test_rollouts with virtual time.
    weights = WeightStoreServer(ANY_PORT, WeightLimits(300.0, parallel=1, max_queued=0))
    address = weights.start()
    # Another fetch keeps the weight store busy until a load is refused.
    weights.store._end_times_ms.append(weights.clock.now_ms() + 600_000.0)
    fleet = make_fleet(engines=3, weight_store=address)
    submit(fleet, NEXT_VERSION)
    wait_until(
        lambda: (
            lease_holder(fleet)
            .node.rollout_controller._load_limiter_by_service["wigeon-llm"]
            ._max_loads
        )
    )
    assert set(versions(fleet)) == {"1"}
    weights.store._end_times_ms.clear()
    wait_until(lambda: is_done(fleet, "2"))
    assert weights.store.fetch_count == 3
    weights.stop()


@pytest.mark.parametrize("ignores_fence", [False, True])
def test_a_command_of_a_former_lease_holder_is_rejected(make_fleet, ignores_fence):
    fleet = make_fleet(engines=2)
    if ignores_fence:
        for engine in fleet.engines:
            engine.inject(IgnoreFence())
    wait_until(
        lambda: any(e.node.rollout_controller.holds_lease for e in fleet.entries)
    )
    old = lease_holder(fleet)
    new = next(e for e in fleet.entries if e is not old)
    sidecar = fleet.sidecars[0]
    link = old.node.links.get(sidecar.settings.node.id)
    results = []
    original_on_result = old.node.rollout_controller.on_result
    old.node.rollout_controller.on_result = lambda r: (
        results.append(r),
        original_on_result(r),
    )
    # The command of the old lease holder arrives after the next one has announced its
    # token.
    fence = old.node.rollout_controller._lease.fence()
    old.node.rollout_controller.stop()
    wait_until(lambda: new.node.rollout_controller.holds_lease)
    wait_until(lambda: sidecar.sidecar._commands.highest_fence > fence)
    link.send(Order("late", fence, "load_model", "barley-7b", "9", ""))
    wait_until(lambda: any(r.order_id == "late" for r in results))
    (result,) = [r for r in results if r.order_id == "late"]
    assert isinstance(result, OrderResult)
    assert (result.done, result.reason) == (False, "old fencing token")
    assert versions(fleet) == ["1", "1"]


def test_the_next_leader_goes_on_with_a_rollout(make_fleet):
    # Guards against a rollout that stops, or loads a model twice, if the lease holder
    # stops.
    fleet = make_fleet(engines=3)
    submit(fleet, NEXT_VERSION)
    wait_until(lambda: "2" in versions(fleet))
    wait_until(
        lambda: any(e.node.rollout_controller.holds_lease for e in fleet.entries)
    )
    lease_holder(fleet).node.rollout_controller.stop()
    wait_until(lambda: is_done(fleet, "2"))
    assert all(len(e.model.control.accepted_commands) == 1 for e in fleet.engines)


def test_a_replaced_endpoint_gets_the_version_in_force(make_fleet):
    fleet = make_fleet(
        NEXT_VERSION, engines=2, config=replace(QUICK_ENGINE, version="2")
    )
    wait_until(lambda: is_done(fleet, "2"))
    engine = EngineServer(ANY_PORT, QUICK_ENGINE)
    fleet.engines.append(engine)
    sidecar = add_sidecar(
        fleet, "llm-new", "voru-c", "wigeon-llm", "model", engine.start()
    )
    ready_versions = set()

    def sees_new_version():
        if sidecar.sidecar._reporter.is_ready():
            ready_versions.add(engine.model.control.version)
        return engine.model.control.version == "2"

    wait_until(sees_new_version)
    wait_until(sidecar.sidecar._reporter.is_ready)
    # An outdated version must never be reported as ready.
    assert ready_versions <= {"2"}
