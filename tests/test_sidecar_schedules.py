"""Random schedules of messages and faults against one sidecar, with fixed seeds.

Checks the guarantees that entries rely on: an attempt reported as not run never runs,
no attempt runs twice, and each attempt has one outcome.
"""

from random import Random

import gevent
import pytest
from gevent.event import AsyncResult
from sidecar_fakes import FakeLink, SidecarHarness

from wigeonwind.links.messages import (
    Cancel,
    ClaimState,
    Failed,
    Finished,
    Queued,
    Refused,
    ResolveClaim,
    Withdraw,
    WithdrawResult,
)
from wigeonwind.side.endpoint_http import HttpFailure, HttpHead
from wigeonwind.side.plain_client import PlainClient, PlainEnd

STEPS = 120
"""Steps of one schedule."""


class Schedule:
    """A random sequence of steps; records the calls that the endpoint executes."""

    def __init__(self, seed):
        self.rng = Random(seed)
        self.harness = SidecarHarness(kind="plain", slots=self.rng.randint(1, 3))
        self.harness.sidecar._runner._client = ScriptedClient(self)
        self.links = [self.harness.link]
        self.submits, self.calls_in_flight, self.executed = [], [], []

    def link(self):
        return self.links[-1]

    def submit(self):
        name, token = (
            f"r{len(self.submits)}",
            self.rng.choice(["", f"t{self.random_id()}"]),
        )
        budget = self.rng.choice([0.0, 500.0])
        copy = self.harness.book(name, token, link=self.link(), budget_ms=budget)
        self.submits.append(copy)

    def random_id(self):
        """Return the number of an earlier request or of one of the next three."""
        return self.rng.randint(0, len(self.submits) + 2)

    def submit_duplicate(self):
        if self.submits:
            copy = self.rng.choice(self.submits)
            self.harness.sidecar.on_message(self.link(), copy)

    def send(self, message):
        self.harness.sidecar.on_message(self.link(), message)

    def end_call(self):
        if self.calls_in_flight:
            call = self.calls_in_flight.pop(
                self.rng.randrange(len(self.calls_in_flight))
            )
            call.outcome.set(self.rng.choice(["whole", "broken", "unreached"]))

    def break_link(self):
        self.link().is_open = False
        if self.rng.random() < 0.5:
            self.harness.sidecar.on_down(self.link(), "broken")
        self.links.append(FakeLink(f"entry-{len(self.links)}"))
        self.harness.sidecar.on_up(self.link())

    def advance_clock(self):
        for _ in range(3):
            self.harness.clock.advance(self.rng.choice([10.0, 50.0]))
            self.harness.sidecar.tick()

    def submit_after_pause(self):
        """Submit after a process pause that may be longer than the time budget."""
        self.harness.clock.advance(600.0)
        self.submit()
        self.harness.sidecar.tick()

    def step(self):
        actions = [
            (6, self.submit),
            (2, self.submit_duplicate),
            (2, lambda: self.send(Withdraw(f"r{self.random_id()}", 0))),
            (2, lambda: self.send(Cancel(f"r{self.random_id()}", 0))),
            (2, lambda: self.send(ResolveClaim(f"t{self.random_id()}"))),
            (5, self.end_call),
            (1, self.break_link),
            (2, self.advance_clock),
            (1, self.submit_after_pause),
        ]
        weights = [weight for weight, _ in actions]
        self.rng.choices([action for _, action in actions], weights)[0]()
        for _ in range(self.rng.randint(0, 3)):
            gevent.sleep(0)

    def sent(self, cls):
        return [m for link in self.links for m in link.sent if type(m) is cls]


class ScriptedClient(PlainClient):
    """Makes calls that end when the schedule says so."""

    def __init__(self, schedule):
        self.schedule = schedule

    def call(self, submit, traceparent=""):
        return ScriptedCall(self.schedule, submit)


class ScriptedCall:
    """A call that is answered (`whole`), cut off (`broken`) or unsent (`unreached`)."""

    def __init__(self, schedule, submit):
        self.schedule, self.submit = schedule, submit
        self.outcome = AsyncResult()
        schedule.calls_in_flight.append(self)

    def items(self, on_connected):
        outcome = self.outcome.get()
        if outcome == "unreached":
            yield HttpFailure(False, "refused")
            return
        self.schedule.executed.append(self.submit)
        on_connected()
        if outcome == "broken":
            yield HttpFailure(True, "broken")
            return
        yield HttpHead(200, [])
        yield b"done"
        yield PlainEnd()

    def abort(self):
        if self in self.schedule.calls_in_flight:
            self.schedule.calls_in_flight.remove(self)
            self.outcome.set("unreached")


@pytest.mark.parametrize("seed", range(60))
def test_no_schedule_breaks_a_guarantee_of_the_sidecar(seed):
    schedule = Schedule(seed)
    for _ in range(STEPS):
        schedule.step()
    drain = gevent.spawn(schedule.harness.sidecar.drain)
    while not drain.ready():
        schedule.end_call()
        gevent.sleep(0.001)
    schedule.harness.close()

    executed = [submit.request_id for submit in schedule.executed]
    assert executed, "the schedule executed no call, so the checks below check nothing"
    tokens = [submit.claim_token for submit in schedule.executed if submit.claim_token]
    assert len(set(executed)) == len(executed)
    assert len(set(tokens)) == len(tokens)
    withdrawn = {m.request_id for m in schedule.sent(WithdrawResult) if m.withdrawn}
    refused = {m.request_id for m in schedule.sent(Refused)}
    not_started = {m.request_id for m in schedule.sent(Failed) if not m.started}
    assert not (withdrawn | refused | not_started) & set(executed)
    forbidden = {m.claim_token for m in schedule.sent(ClaimState) if m.state[0] == "f"}
    assert not forbidden & set(tokens)
    ends = [m.request_id for m in schedule.sent(Finished) + schedule.sent(Failed)]
    assert len(set(ends)) == len(ends)
    # Each attempt that was queued on the link that is still open has an outcome.
    queued = {m.request_id for m in schedule.link().of_type(Queued)}
    assert queued <= set(ends) | refused | withdrawn
