"""Fleet-wide limits: several entries, lost messages, changes of owner."""

from random import Random

import pytest

from wigeonwind.catalog import (
    Catalog,
    Customer,
    LatencyTarget,
    Limit,
    RequestClass,
    TargetKind,
)
from wigeonwind.decisions.grants import (
    BUCKET_S,
    GRANT_VALID_MS,
    LONG_GRANT_BUDGET_S,
    owner_of,
)
from wigeonwind.decisions.interfaces import Allowed, Limited
from wigeonwind.decisions.limits import RequestLimiter

TARGET = LatencyTarget(TargetKind.FIRST_TOKEN, 1000.0)
STEP_MS = 10.0


def catalog_with(limit, version=1):
    return Catalog(version, customer_by_name={"c": Customer("c", limit=limit)})


class Fleet:
    """Entries whose grant messages are delivered after one step or lost."""

    def __init__(self, names, catalog, loss=0.0, seed=1):
        self.rng = Random(seed)
        self.loss = loss
        self.now_ms = 0.0
        self.entries = {name: RequestLimiter(catalog, name) for name in names}
        self.live = tuple(names)
        self.messages = []
        self.admitted = []
        for entry in self.entries.values():
            entry.set_entries(self.live)

    def step(self, offers):
        """Check a request at each entry in `offers`, then deliver pending messages."""
        for name in offers:
            result = self.entries[name].check("c", "chat", 1, self.now_ms)
            if isinstance(result, Allowed):
                self.admitted.append((self.now_ms, name))
        delivered, self.messages = self.messages, []
        for message in delivered:
            if self.rng.random() >= self.loss:
                self.deliver(*message)
        for name in self.live:
            requests = self.entries[name].due_grant_requests(self.now_ms)
            for owner, rows in requests.items():
                self.messages.append(("ask", name, owner, rows))
        self.now_ms += STEP_MS

    def deliver(self, kind, sender, receiver, rows):
        if receiver not in self.live:
            return
        entry = self.entries[receiver]
        if kind == "ask":
            answer = entry.on_grant_request(sender, rows, self.now_ms)
            self.messages.append(("grant", receiver, sender, answer))
        else:
            entry.on_grant(rows, GRANT_VALID_MS, self.now_ms)

    def largest_window(self, window_ms):
        """Return the most requests that were admitted in any window."""
        times = [at_ms for at_ms, _ in self.admitted]
        largest = first = 0
        for last, at_ms in enumerate(times):
            while at_ms - times[first] > window_ms:
                first += 1
            largest = max(largest, last - first + 1)
        return largest


def run(fleet, seconds, offers_per_step, change_at_s=None):
    """Run the fleet; at `change_at_s` the owner of the customer's scope stops."""
    for step in range(int(seconds * 1000 / STEP_MS)):
        if change_at_s is not None and fleet.now_ms == change_at_s * 1000:
            owner = owner_of(("c", ""), fleet.live)
            fleet.live = tuple(name for name in fleet.live if name != owner)
            for entry in fleet.entries.values():
                entry.set_entries(fleet.live)
        names = [fleet.live[(step + n) % len(fleet.live)] for n in range(20)]
        fleet.step(names[:offers_per_step])


@pytest.mark.parametrize(
    ("entries", "loss", "change_at_s"),
    [(1, 0.0, None), (5, 0.0, None), (5, 0.3, None), (5, 0.0, 3), (5, 0.3, 3)],
)
@pytest.mark.parametrize("rate", [2.0, 40.0])
def test_overshoot_stays_within_its_bound(entries, loss, change_at_s, rate):
    # Guards against a customer that gets ten times its limit by sending to every
    # entry.
    names = [f"e{number}" for number in range(entries)]
    fleet = Fleet(names, catalog_with(Limit(requests_per_s=rate)), loss)
    run(fleet, 10.0, 8, change_at_s)
    changes = 1 if change_at_s else 0
    credit = entries * max(1.0, rate / entries)
    for window_s in (1.0, 3.0, 10.0):
        bound = rate * (window_s + 1 + BUCKET_S) + credit
        bound += changes * rate
        assert fleet.largest_window(window_s * 1000) <= bound
    if not loss and not change_at_s:
        assert len(fleet.admitted) >= 0.85 * rate * 10


def test_entries_without_an_answer_use_an_equal_share():
    names = [f"e{number}" for number in range(4)]
    fleet = Fleet(names, catalog_with(Limit(requests_per_s=40.0)), loss=1.0)
    owner = owner_of(("c", ""), fleet.live)
    others = [name for name in names if name != owner]
    for _ in range(1000):
        fleet.step(others)
    count = len(fleet.admitted)
    assert 0.7 * 30 * 10 < count <= 30 * (10 + 1)


def test_load_below_the_limit_is_not_refused():
    names = [f"e{number}" for number in range(4)]
    fleet = Fleet(names, catalog_with(Limit(requests_per_s=40.0)))
    for step in range(1000):
        fleet.step([names[step // 4 % 4]] if step % 4 == 0 else [])
    assert len(fleet.admitted) == 250


def test_concurrency_is_limited_over_all_entries():
    names = [f"e{number}" for number in range(4)]
    fleet = Fleet(names, catalog_with(Limit(concurrency=8)))
    running = []
    largest = 0
    for step in range(1000):
        before = len(fleet.admitted)
        fleet.step([names[step % 4]])
        running += fleet.admitted[before:]
        if len(running) > 6 and step % 5 == 0:
            _, name = running.pop(0)
            fleet.entries[name].on_ended("c", "chat", fleet.now_ms)
        if step > 100:
            largest = max(largest, len(running))
    assert 7 <= largest <= 8
    assert len(fleet.admitted) > 100


def test_generated_tokens_count_against_new_requests():
    entry = RequestLimiter(catalog_with(Limit(tokens_per_s=100.0)), "e1")
    assert entry.check("c", "chat", 1, 0.0) == Allowed()
    entry.on_tokens("c", "chat", 500, 10.0)
    refused = entry.check("c", "chat", 1, 20.0)
    assert isinstance(refused, Limited)
    assert refused.limit == "tokens_per_s of customer c"
    now_ms = 20.0
    while isinstance(entry.check("c", "chat", 0, now_ms), Limited):
        now_ms += 100.0
    assert 3500.0 < now_ms < 7500.0


@pytest.mark.parametrize("field", ["requests_per_s", "tokens_per_s", "concurrency"])
def test_a_limit_of_zero_refuses_everything(field):
    entry = RequestLimiter(catalog_with(Limit(**{field: 0})), "e1")
    assert isinstance(entry.check("c", "chat", 1, 0.0), Limited)


def test_an_edited_limit_applies_to_new_requests_only():
    entry = RequestLimiter(catalog_with(Limit(concurrency=4)), "e1")
    for _ in range(4):
        assert entry.check("c", "chat", 1, 0.0) == Allowed()
    entry.set_catalog(catalog_with(Limit(concurrency=2), 2))
    assert isinstance(entry.check("c", "chat", 1, 1.0), Limited)
    for _ in range(3):
        entry.on_ended("c", "chat", 2.0)
    now_ms = 1200.0
    assert entry.check("c", "chat", 1, now_ms) == Allowed()
    assert isinstance(entry.check("c", "chat", 1, now_ms), Limited)
    entry.set_catalog(catalog_with(Limit(concurrency=9), 3))
    assert entry.check("c", "chat", 1, now_ms) == Allowed()


def test_a_class_limit_counts_all_customers_and_idle_state_is_dropped():
    chat = RequestClass("chat", 0, TARGET, 1000.0, limit=Limit(requests_per_s=4.0))
    catalog = Catalog(
        1,
        class_by_name={"chat": chat},
        default_limit=Limit(requests_per_s=100.0),
    )
    entry = RequestLimiter(catalog, "e1")
    results = [entry.check(f"c{n}", "chat", 1, 0.0) for n in range(50)]
    assert 2 <= results.count(Allowed()) <= 6
    assert entry.scope_count() > 50
    for number, result in enumerate(results):
        if result == Allowed():
            entry.on_ended(f"c{number}", "chat", 0.0)
    for step in range(200):
        if entry.check("last", "chat", 1, 60_000.0 + 100.0 * step) == Allowed():
            entry.on_ended("last", "chat", 60_000.0 + 100.0 * step)
        entry.due_grant_requests(60_000.0 + 100.0 * step)
    assert entry.scope_count() <= 4


def test_low_demand_sends_few_grant_requests_and_a_burst_stays_within_the_bound():
    # Guards against long grants whose sum over the entries exceeds the bound, and
    # against two grant requests per second and entry, which cost 19 KB/s without long
    # grants.
    rate, entries = 40.0, 5
    names = [f"e{number}" for number in range(entries)]
    fleet = Fleet(names, catalog_with(Limit(requests_per_s=rate)))
    requested_rows = []
    for step in range(1200):
        fleet.step([names[step // 40 % entries]] if step % 40 == 0 else [])
        requested_rows += [
            request_row
            for kind, *_, rows in fleet.messages
            if kind == "ask"
            for request_row in rows
        ]
    seconds = 1200 * STEP_MS / 1000
    assert len(fleet.admitted) == 30
    assert len(requested_rows) <= 1.0 * seconds * entries
    burst_ms = fleet.now_ms
    run(fleet, 10.0, 8)
    credit = entries * max(1.0, rate / entries)
    for window_s in (1.0, 3.0, 10.0):
        until_ms = burst_ms + window_s * 1000
        admitted = [at for at, _ in fleet.admitted if burst_ms <= at <= until_ms]
        assert len(admitted) <= rate * (window_s + 1 + BUCKET_S) + rate + credit


def test_the_owner_limits_the_sum_of_long_grants():
    owner = RequestLimiter(catalog_with(Limit(tokens_per_s=1000.0)), "home")
    request_row = ["c", "", 0, 50, 0, 0, 0, 100]
    granted = 0.0
    for step in range(40):
        now_ms = step * 500.0
        for name in ("e1", "e2", "e3"):
            [answer] = owner.on_grant_request(name, [request_row], now_ms)
            granted += answer[3] if len(answer) > 6 else 0.0
    assert (
        1000.0 * LONG_GRANT_BUDGET_S
        < granted
        <= 1000.0 * LONG_GRANT_BUDGET_S * (1 + 20 / 4)
    )
