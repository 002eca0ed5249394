"""Random schedules of messages and faults against one sidecar, with fixed seeds.

Guards the promises that entries build on: what is said not to run never runs, nothing
runs twice, and each attempt ends once.
"""

from random import Random

import gevent
import pytest
from gevent.event import AsyncResult
from sidecar_fakes import Bed, FakeLink

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


class World:
    """Endpoint calls that end when the schedule says so, and a log of what ran."""

    def __init__(self, seed):
        self.rng = Random(seed)
        self.bed = Bed(kind="plain", slots=self.rng.randint(1, 3))
        self.bed.side._runner._client = Client(self)
        self.links = [self.bed.link]
        self.submits, self.open_calls, self.ran = [], [], []

    def link(self):
        return self.links[-1]

    def submit(self):
        name, token = f"r{len(self.submits)}", self.rng.choice(["", f"t{self.any()}"])
        budget = self.rng.choice([0.0, 500.0])
        copy = self.bed.book(name, token, link=self.link(), budget_ms=budget)
        self.submits.append(copy)

    def any(self):
        """Return the number of an earlier, a present or a coming request."""
        return self.rng.randint(0, len(self.submits) + 2)

    def repeat(self):
        if self.submits:
            copy = self.rng.choice(self.submits)
            self.bed.side.on_message(self.link(), copy)

    def send(self, message):
        self.bed.side.on_message(self.link(), message)

    def end_call(self):
        if self.open_calls:
            call = self.open_calls.pop(self.rng.randrange(len(self.open_calls)))
            call.outcome.set(self.rng.choice(["whole", "broken", "unreached"]))

    def break_link(self):
        self.link().is_open = False
        if self.rng.random() < 0.5:
            self.bed.side.on_down(self.link(), "broken")
        self.links.append(FakeLink(f"entry-{len(self.links)}"))
        self.bed.side.on_up(self.link())

    def wait(self):
        for _ in range(3):
            self.bed.clock.advance(self.rng.choice([10.0, 50.0]))
            self.bed.side.tick()

    def pause(self):
        """Read a Submit after a pause that may have used up its budget."""
        self.bed.clock.advance(600.0)
        self.submit()
        self.bed.side.tick()

    def step(self):
        actions = [
            (6, self.submit),
            (2, self.repeat),
            (2, lambda: self.send(Withdraw(f"r{self.any()}", 0))),
            (2, lambda: self.send(Cancel(f"r{self.any()}", 0))),
            (2, lambda: self.send(ResolveClaim(f"t{self.any()}"))),
            (5, self.end_call),
            (1, self.break_link),
            (2, self.wait),
            (1, self.pause),
        ]
        weights = [weight for weight, _ in actions]
        self.rng.choices([action for _, action in actions], weights)[0]()
        for _ in range(self.rng.randint(0, 3)):
            gevent.sleep(0)

    def sent(self, cls):
        return [m for link in self.links for m in link.sent if type(m) is cls]


class Client(PlainClient):
    def __init__(self, world):
        self.world = world

    def call(self, submit):
        return Call(self.world, submit)


class Call:
    def __init__(self, world, submit):
        self.world, self.submit = world, submit
        self.outcome = AsyncResult()
        world.open_calls.append(self)

    def items(self, on_connected):
        outcome = self.outcome.get()
        if outcome == "unreached":
            yield HttpFailure(False, "refused")
            return
        self.world.ran.append(self.submit)
        on_connected()
        if outcome == "broken":
            yield HttpFailure(True, "broken")
            return
        yield HttpHead(200, [])
        yield b"done"
        yield PlainEnd()

    def abort(self):
        if self in self.world.open_calls:
            self.world.open_calls.remove(self)
            self.outcome.set("unreached")


@pytest.mark.parametrize("seed", range(60))
def test_no_schedule_breaks_what_the_sidecar_has_promised(seed):
    world = World(seed)
    for _ in range(STEPS):
        world.step()
    drain = gevent.spawn(world.bed.side.drain)
    while not drain.ready():
        world.end_call()
        gevent.sleep(0.001)
    world.bed.close()

    ran = [submit.request_id for submit in world.ran]
    tokens = [submit.claim_token for submit in world.ran if submit.claim_token]
    assert len(set(ran)) == len(ran)
    assert len(set(tokens)) == len(tokens)
    withdrawn = {m.request_id for m in world.sent(WithdrawResult) if m.withdrawn}
    refused = {m.request_id for m in world.sent(Refused)}
    not_started = {m.request_id for m in world.sent(Failed) if not m.started}
    assert not (withdrawn | refused | not_started) & set(ran)
    forbidden = {m.claim_token for m in world.sent(ClaimState) if m.state[0] == "f"}
    assert not forbidden & set(tokens)
    ends = [m.request_id for m in world.sent(Finished) + world.sent(Failed)]
    assert len(set(ends)) == len(ends)
    # An attempt whose link is still there has got its end.
    queued = {m.request_id for m in world.link().of_type(Queued)}
    assert queued <= set(ends) | refused | withdrawn
