"""Gossip of the configuration: the highest version wins, edits are sent by section."""

from collections import deque
from typing import Any

from test_configuration_parse import GOOD

from wigeonwind.clock import ManualClock
from wigeonwind.links.messages import TextChange, TextRequest, TextVersion
from wigeonwind.state import configuration_messages
from wigeonwind.state.configuration_replica import ConfigurationReplica

EDITED = GOOD.replace("weight = 2", "weight = 3")
GROWN = GOOD.replace("[class desk]", "[customer new]\nweight = 1\n\n[class desk]")


class Fleet:
    """Fully connected replicas; messages are queued until `run` delivers them."""

    def __init__(self, size: int) -> None:
        self.clock = ManualClock()
        self.queued: deque[tuple[int, int, Any]] = deque()
        self.sent: list[Any] = []
        self.replicas = [
            ConfigurationReplica(self._broadcaster(i, size), self.clock)
            for i in range(size)
        ]

    def _broadcaster(self, sender: int, size: int) -> Any:
        others = [i for i in range(size) if i != sender]
        return lambda m: self.queued.extend((sender, i, m) for i in others)

    def run(self, messages: int = 10_000) -> None:
        while self.queued and messages:
            messages -= 1
            sender, to, message = self.queued.popleft()
            self.sent.append(message)
            replica = self.replicas[to]

            def reply(
                answer: Any, requester: int = sender, responder: int = to
            ) -> None:
                self.queued.append((responder, requester, answer))

            if isinstance(message, TextVersion):
                replica.on_text_version(message, reply)
            elif isinstance(message, TextRequest):
                replica.on_text_request(message, reply)
            elif isinstance(message, TextChange):
                replica.on_text_change(message, reply)

    def sources(self) -> set[str]:
        return {replica.source for replica in self.replicas}

    def changes(self) -> list[TextChange]:
        return [m for m in self.sent if isinstance(m, TextChange)]


def fleet_after(*sources: str) -> Fleet:
    fleet = Fleet(4)
    for version, source in enumerate(sources, 1):
        assert fleet.replicas[0].offer(version, source)
        fleet.run()
    return fleet


def test_an_edit_is_sent_as_its_section_only():
    # Guards against sending a configuration for 29,000 customers at each edit.
    fleet = fleet_after(GOOD, EDITED)
    assert fleet.sources() == {EDITED}
    last = fleet.changes()[-1]
    assert [row[0] for row in last.sections] == ["customer tartu-maltsters"]
    assert last.base_version == 1


def test_an_added_section_keeps_its_place():
    assert fleet_after(GOOD, GROWN).sources() == {GROWN}


def test_a_lower_or_equal_version_is_never_put_in_force():
    fleet = fleet_after(GOOD, EDITED)
    replica = fleet.replicas[1]
    assert not replica.offer(1, GOOD)
    assert not replica.offer(2, GOOD)
    rows = [["x", GOOD]]
    replica.on_text_change(TextChange(0, 2, rows, [], "d"), fleet.sent.append)
    assert (replica.version, replica.source) == (2, EDITED)


def test_a_change_that_does_not_apply_requests_the_whole_configuration():
    fleet = fleet_after(GOOD)
    replica = fleet.replicas[1]
    sent: list[Any] = []
    rows = [["customer tartu-maltsters", "[customer tartu-maltsters]\n"]]
    replica.on_text_change(TextChange(1, 2, rows, [], "wrong"), sent.append)
    assert sent == [TextRequest(0)]
    assert replica.version == 1
    assert replica.count_by_event["digest_mismatch"] == 1


def test_an_invalid_configuration_is_counted_and_never_in_force():
    fleet = fleet_after(GOOD)
    replica = fleet.replicas[0]
    assert not replica.offer(2, GOOD.replace("weight = 2", "weight = 0"))
    assert (replica.version, replica.refused_version) == (1, 2)
    assert replica.count_by_event["invalid"] == 1
    assert replica.refused_problems[0].key == "weight"
    assert replica.offer(3, EDITED)


def test_a_version_is_requested_again_after_a_timeout():
    fleet = fleet_after(GOOD)
    replica = fleet.replicas[1]
    sent: list[Any] = []
    replica.on_text_version(TextVersion(2, "d"), sent.append)
    replica.on_text_version(TextVersion(2, "d"), sent.append)
    assert sent == [TextRequest(1)]
    fleet.clock.advance(1001.0)
    replica.on_text_version(TextVersion(2, "d"), sent.append)
    assert sent == [TextRequest(1)] * 2


def test_subscribers_get_the_catalog_in_force():
    fleet = fleet_after(GOOD)
    seen: list[int] = []
    fleet.replicas[2].subscribe(lambda catalog: seen.append(catalog.version))
    fleet.replicas[0].offer(2, EDITED)
    fleet.run()
    assert seen == [1, 2]


def test_a_large_configuration_is_sent_in_bounded_chunks(monkeypatch):
    monkeypatch.setattr(configuration_messages, "MAX_CHUNK_CHARS", 300)
    fleet = fleet_after(GOOD)
    assert fleet.sources() == {GOOD}
    sizes = [sum(len(row[1]) for row in m.sections) for m in fleet.changes()]
    assert max(sizes) <= 300
    # Three peers receive three chunks each, once.
    assert len(sizes) == 9


def test_an_edit_between_two_chunks_is_delivered(monkeypatch):
    # Guards against a replica that assembles chunks of two versions or stops there.
    monkeypatch.setattr(configuration_messages, "MAX_CHUNK_CHARS", 300)
    fleet = Fleet(2)
    fleet.replicas[0].offer(1, GOOD)
    fleet.run(messages=4)
    assert fleet.replicas[1].version == 0
    fleet.replicas[0].offer(2, EDITED)
    fleet.run()
    assert fleet.sources() == {EDITED}
