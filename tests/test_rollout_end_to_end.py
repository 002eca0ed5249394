"""Model rollouts from an edited text to the engines, in one process."""

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
from wigeonwind.standins.answer_text import check_whole_answer
from wigeonwind.standins.engine_server import EngineServer
from wigeonwind.standins.faults import IgnoreFence, Outage, Straggle
from wigeonwind.standins.weight_store import WeightLimits, WeightStoreServer
from wigeonwind.state.rollouts import RolloutTimings, Verdict, decode_rollout_record

TEXT = CONFIGURATION_PATH.read_text(encoding="utf-8")
NEXT = TEXT.replace("model_version = 1", "model_version = 2")
TIMES = RolloutTimings(
    soak_ms=400.0, poll_interval_ms=30.0, idle_poll_interval_ms=100.0
)
QUICK_ENGINE = replace(DEMO_ENGINE, load_model_ms=50.0, report_lag_ms=30.0)
WAIT_LIMIT_S = 40.0
"""Only bounds a test that fails."""


@pytest.fixture
def make_fleet():
    started = []

    def make(text=TEXT, **options):
        options = {
            "services": 0,
            "entries": 2,
            "config": QUICK_ENGINE,
            **options,
        }
        started.append(start_fleet(text, rollout_timings=TIMES, **options))
        return started[-1]

    yield make
    for fleet in started:
        fleet.stop()


def wait_until(condition):
    with gevent.Timeout(WAIT_LIMIT_S):
        while not condition():
            gevent.sleep(0.01)


def submit(fleet, source):
    """Put an edited text into force, as the operators' interface does."""
    keeper = fleet.entries[0].node.configuration
    keeper.offer(keeper.version + 1, source)


def versions(fleet):
    return [engine.model.orders.version for engine in fleet.engines]


def verdict(fleet):
    found = fleet.entries[0].node.store.get("rolls/wigeon-llm")
    record = decode_rollout_record(found.value.value) if isinstance(found, Ok) else None
    return record and record.verdict


def is_done(fleet, version):
    everywhere = set(versions(fleet)) == {version}
    return everywhere and verdict(fleet) is Verdict.DONE


def leader(fleet):
    return next(e for e in fleet.entries if e.node.rollout_controller.holds_lease)


class Load:
    """Chats that follow one another until told to stop."""

    def __init__(self, fleet, callers=8, tokens=20):
        from test_end_to_end import chat, client_of

        self.answers = []
        self.is_on = True
        self._tokens = tokens
        self._chat = chat
        self._clients = [client_of(fleet, n) for n in range(len(fleet.callers))]
        self._jobs = [gevent.spawn(self._run, number) for number in range(callers)]

    def _run(self, number):
        client = self._clients[number % len(self._clients)]
        while self.is_on:
            prompt = f"caller {number} call {len(self.answers)} len={self._tokens}"
            self.answers.append((prompt, self._chat(client, prompt)))

    def stop(self):
        """Let the last answers end; return how many there were, all whole."""
        self.is_on = False
        gevent.joinall(self._jobs, timeout=WAIT_LIMIT_S, raise_error=True)
        assert all(job.successful() for job in self._jobs)
        for prompt, answer in self.answers:
            assert isinstance(check_whole_answer(prompt, answer), Ok), prompt
        return len(self.answers)


def test_a_rollout_under_load_cuts_no_answer_and_keeps_capacity(make_fleet):
    fleet = make_fleet(engines=5)
    load = Load(fleet)
    most_loading = 0
    submit(fleet, NEXT)
    with gevent.Timeout(WAIT_LIMIT_S):
        while not is_done(fleet, "2"):
            loading = [e.model.orders.blocks_requests for e in fleet.engines]
            most_loading = max(most_loading, sum(loading))
            gevent.sleep(0.002)
    assert load.stop() > 20
    assert most_loading == 1
    assert all(len(e.model.orders.taken) == 1 for e in fleet.engines)


def test_a_worse_version_is_halted_and_rolled_back(make_fleet):
    text = TEXT.replace("target = first-token 10s", "target = between-tokens 60ms")
    fleet = make_fleet(text, engines=3)
    load = Load(fleet)

    def slow_down_new():
        while True:
            for engine in fleet.engines:
                is_new = engine.model.orders.version == "2"
                engine.inject(Straggle(factor=20.0 if is_new else 1.0))
            gevent.sleep(0.01)

    worse = gevent.spawn(slow_down_new)
    submit(fleet, text.replace("model_version = 1", "model_version = 2"))
    wait_until(lambda: verdict(fleet) is Verdict.HALTED)
    wait_until(lambda: set(versions(fleet)) == {"1"})
    worse.kill()
    load.stop()
    taken = [len(engine.model.orders.taken) for engine in fleet.engines]
    assert sorted(taken) == [0, 0, 2]


def test_an_outage_of_the_store_stops_steps_and_not_the_traffic(make_fleet):
    fleet = make_fleet(engines=3)
    load = Load(fleet)
    submit(fleet, NEXT)
    wait_until(lambda: "2" in versions(fleet))
    fleet.store.inject(Outage())
    before = len(load.answers)
    # A load that was ordered before the outage may still end.
    wait_until(lambda: not any(e.model.orders.pending for e in fleet.engines))
    gevent.sleep(2 * TIMES.poll_interval_ms / 1000)
    held = versions(fleet)
    wait_until(lambda: len(load.answers) > before + 30)
    gevent.sleep(TIMES.soak_ms / 1000)
    assert versions(fleet) == held
    fleet.store.clear_faults()
    wait_until(lambda: is_done(fleet, "2"))
    load.stop()


def test_a_rollout_goes_on_after_the_weight_store_refused(make_fleet):
    # The waits between the tries are tested in test_rollouts with virtual time.
    weights = WeightStoreServer(ANY_PORT, WeightLimits(300.0, parallel=1, queue=0))
    address = weights.start()
    # Somebody else's fetch keeps the store busy until a load was refused.
    weights.store._ends_ms.append(weights.clock.now_ms() + 600_000.0)
    fleet = make_fleet(engines=3, weight_store=address)
    submit(fleet, NEXT)
    wait_until(
        lambda: (
            leader(fleet)
            .node.rollout_controller._load_limiter_by_service["wigeon-llm"]
            ._most
        )
    )
    assert set(versions(fleet)) == {"1"}
    weights.store._ends_ms.clear()
    wait_until(lambda: is_done(fleet, "2"))
    assert weights.store.fetches == 3
    weights.stop()


@pytest.mark.parametrize("ignores_fence", [False, True])
def test_a_leader_paused_past_its_lease_does_no_harm(make_fleet, ignores_fence):
    fleet = make_fleet(engines=2)
    if ignores_fence:
        for engine in fleet.engines:
            engine.inject(IgnoreFence())
    wait_until(
        lambda: any(e.node.rollout_controller.holds_lease for e in fleet.entries)
    )
    old = leader(fleet)
    new = next(e for e in fleet.entries if e is not old)
    sidecar = fleet.sidecars[0]
    link = old.node.links.get(sidecar.settings.node.id)
    results = []
    pass_on = old.node.rollout_controller.on_result
    old.node.rollout_controller.on_result = lambda r: (results.append(r), pass_on(r))
    # The next leader announces its token; the old one's order arrives only then.
    fence = old.node.rollout_controller._lease.fence()
    old.node.rollout_controller.stop()
    wait_until(lambda: new.node.rollout_controller.holds_lease)
    wait_until(lambda: sidecar.sidecar._commands.highest_fence > fence)
    link.send(Order("late", fence, "load_model", "barley-7b", "9", ""))
    wait_until(lambda: any(r.order_id == "late" for r in results))
    (late,) = [r for r in results if r.order_id == "late"]
    assert isinstance(late, OrderResult)
    assert (late.done, late.reason) == (False, "old fencing token")
    assert versions(fleet) == ["1", "1"]


def test_the_next_leader_goes_on_with_a_rollout(make_fleet):
    fleet = make_fleet(engines=3)
    submit(fleet, NEXT)
    wait_until(lambda: "2" in versions(fleet))
    wait_until(
        lambda: any(e.node.rollout_controller.holds_lease for e in fleet.entries)
    )
    leader(fleet).node.rollout_controller.stop()
    wait_until(lambda: is_done(fleet, "2"))
    assert all(len(e.model.orders.taken) == 1 for e in fleet.engines)


def test_a_replaced_endpoint_gets_the_version_in_force(make_fleet):
    fleet = make_fleet(NEXT, engines=2, config=replace(QUICK_ENGINE, version="2"))
    wait_until(lambda: is_done(fleet, "2"))
    engine = EngineServer(ANY_PORT, QUICK_ENGINE)
    fleet.engines.append(engine)
    sidecar = add_sidecar(
        fleet, "llm-new", "voru-c", "wigeon-llm", "model", engine.start()
    )
    ready_versions = set()

    def sees_new_version():
        if sidecar.sidecar._reporter.is_ready():
            ready_versions.add(engine.model.orders.version)
        return engine.model.orders.version == "2"

    wait_until(sees_new_version)
    wait_until(sidecar.sidecar._reporter.is_ready)
    # Its old version must never take work once another is in force.
    assert ready_versions <= {"2"}
