"""Quota grants between two entries over in-memory links."""

from dataclasses import dataclass

from wigeonwind.catalog import Catalog, Customer, Limit
from wigeonwind.clock import ManualClock
from wigeonwind.decisions.interfaces import Allowed
from wigeonwind.decisions.limits import RequestLimiter
from wigeonwind.entry.grant_exchange import TICK_MS, GrantExchange
from wigeonwind.links.messages import Hello, Ping

RATE = 40.0
ENTRIES = ("entry-1", "entry-2")


@dataclass
class FakePairLink:
    """A link of `sender` to the entry of `hello`; it delivers at once, unless cut."""

    hello: Hello
    links_and_exchanges: dict[str, GrantExchange]
    sender: str
    cut: bool = False

    @property
    def is_open(self) -> bool:
        return not self.cut

    def send(self, message: object) -> bool:
        if self.cut:
            return False
        return_link = self.links_and_exchanges[f"link:{self.sender}"]
        self.links_and_exchanges[self.hello.member_id].on_message(return_link, message)
        return True

    def close(self, reason: str) -> None:
        self.cut = True


def hello(entry_id: str) -> Hello:
    return Hello(entry_id, 1, "entry", "tartu-a", "", 1)


def admitted_per_s(connected: bool) -> float:
    """Exceed the limit at both entries for 5 s; return admitted requests per second."""
    clock = ManualClock()
    customer = Customer("c", limit=Limit(requests_per_s=RATE))
    catalog = Catalog(1, customer_by_name={"c": customer})
    limiters = {name: RequestLimiter(catalog, name) for name in ENTRIES}
    links_and_exchanges: dict = {}
    for name, other in (ENTRIES, ENTRIES[::-1]):
        # `link:NAME` is the link by which the other entry reaches NAME.
        links_and_exchanges[f"link:{name}"] = FakePairLink(
            hello(name), links_and_exchanges, other, not connected
        )
        link_of = {other: f"link:{other}"}
        links_and_exchanges[name] = GrantExchange(
            limiters[name],
            clock,
            lambda owner, by=link_of: links_and_exchanges[by[owner]],
        )
        links_and_exchanges[name].set_entries(ENTRIES, 0 if connected else 1)
    admitted = 0
    for _ in range(int(5000 / TICK_MS)):
        for name in ENTRIES:
            now_ms = clock.now_ms()
            for _ in range(10):
                decision = limiters[name].check("c", "chat", 0, now_ms)
                admitted += isinstance(decision, Allowed)
                limiters[name].on_ended("c", "chat", now_ms)
            links_and_exchanges[name].tick()
        clock.advance(TICK_MS)
    return admitted / 5.0


def test_limit_holds_over_two_entries() -> None:
    # Guards against a customer that gets its whole limit at each entry.
    assert RATE * 0.5 <= admitted_per_s(connected=True) <= RATE * 1.5


def test_limit_holds_without_grants() -> None:
    # Guards against a partition that blocks a customer or disables its limit.
    assert RATE * 0.5 <= admitted_per_s(connected=False) <= RATE * 1.5


def test_other_message_types_are_not_handled() -> None:
    # Guards against consuming messages that other handlers need.
    exchange = GrantExchange(
        RequestLimiter(Catalog(1), "entry-1"), ManualClock(), lambda owner: None
    )
    link = FakePairLink(hello("entry-2"), {}, "entry-1")
    assert not exchange.on_message(link, Ping(0.0))
