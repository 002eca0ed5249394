"""Spread of the text: the highest version wins, changes travel by section."""

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
    """Keepers with a link between each two; messages wait until `run`."""

    def __init__(self, size: int) -> None:
        self.clock = ManualClock()
        self.waiting: deque[tuple[int, int, Any]] = deque()
        self.sent: list[Any] = []
        self.keepers = [
            ConfigurationReplica(self._broadcast_of(i, size), self.clock)
            for i in range(size)
        ]

    def _broadcast_of(self, sender: int, size: int) -> Any:
        others = [i for i in range(size) if i != sender]
        return lambda m: self.waiting.extend((sender, i, m) for i in others)

    def run(self, messages: int = 10_000) -> None:
        while self.waiting and messages:
            messages -= 1
            sender, to, message = self.waiting.popleft()
            self.sent.append(message)
            keeper = self.keepers[to]

            def reply(answer: Any, back: int = sender, here: int = to) -> None:
                self.waiting.append((here, back, answer))

            if isinstance(message, TextVersion):
                keeper.on_text_version(message, reply)
            elif isinstance(message, TextRequest):
                keeper.on_text_request(message, reply)
            elif isinstance(message, TextChange):
                keeper.on_text_change(message, reply)

    def sources(self) -> set[str]:
        return {keeper.source for keeper in self.keepers}

    def changes(self) -> list[TextChange]:
        return [m for m in self.sent if isinstance(m, TextChange)]


def spread(*sources: str) -> Fleet:
    fleet = Fleet(4)
    for version, source in enumerate(sources, 1):
        assert fleet.keepers[0].offer(version, source)
        fleet.run()
    return fleet


def test_an_edit_reaches_every_process_as_its_section_alone():
    fleet = spread(GOOD, EDITED)
    assert fleet.sources() == {EDITED}
    last = fleet.changes()[-1]
    assert [row[0] for row in last.sections] == ["customer tartu-maltsters"]
    assert last.base_version == 1


def test_an_added_section_keeps_its_place():
    assert spread(GOOD, GROWN).sources() == {GROWN}


def test_a_lower_or_equal_version_never_replaces_the_text_in_force():
    fleet = spread(GOOD, EDITED)
    keeper = fleet.keepers[1]
    assert not keeper.offer(1, GOOD)
    assert not keeper.offer(2, GOOD)
    rows = [["x", GOOD]]
    keeper.on_text_change(TextChange(0, 2, rows, [], "d"), fleet.sent.append)
    assert (keeper.version, keeper.source) == (2, EDITED)


def test_a_change_that_does_not_fit_leads_to_the_whole_text():
    fleet = spread(GOOD)
    keeper = fleet.keepers[1]
    sent: list[Any] = []
    rows = [["customer tartu-maltsters", "[customer tartu-maltsters]\n"]]
    keeper.on_text_change(TextChange(1, 2, rows, [], "wrong"), sent.append)
    assert sent == [TextRequest(0)]
    assert keeper.version == 1
    assert keeper.count_by_event["digest_mismatch"] == 1


def test_an_invalid_text_is_counted_and_never_in_force():
    fleet = spread(GOOD)
    keeper = fleet.keepers[0]
    assert not keeper.offer(2, GOOD.replace("weight = 2", "weight = 0"))
    assert (keeper.version, keeper.refused_version) == (1, 2)
    assert keeper.count_by_event["invalid"] == 1
    assert keeper.refused_problems[0].key == "weight"
    assert keeper.offer(3, EDITED)


def test_a_lost_answer_is_asked_for_again_after_a_time():
    fleet = spread(GOOD)
    keeper = fleet.keepers[1]
    sent: list[Any] = []
    keeper.on_text_version(TextVersion(2, "d"), sent.append)
    keeper.on_text_version(TextVersion(2, "d"), sent.append)
    assert sent == [TextRequest(1)]
    fleet.clock.advance(1001.0)
    keeper.on_text_version(TextVersion(2, "d"), sent.append)
    assert sent == [TextRequest(1)] * 2


def test_subscribers_get_the_catalog_in_force():
    fleet = spread(GOOD)
    seen: list[int] = []
    fleet.keepers[2].subscribe(lambda catalog: seen.append(catalog.version))
    fleet.keepers[0].offer(2, EDITED)
    fleet.run()
    assert seen == [1, 2]


def test_a_large_text_travels_in_bounded_parts(monkeypatch):
    monkeypatch.setattr(configuration_messages, "MAX_CHUNK_CHARS", 300)
    fleet = spread(GOOD)
    assert fleet.sources() == {GOOD}
    sizes = [sum(len(row[1]) for row in m.sections) for m in fleet.changes()]
    assert max(sizes) <= 300
    # Three peers get three parts each, once.
    assert len(sizes) == 9


def test_a_text_that_changes_while_its_parts_travel_arrives_in_the_end(monkeypatch):
    monkeypatch.setattr(configuration_messages, "MAX_CHUNK_CHARS", 300)
    fleet = Fleet(2)
    fleet.keepers[0].offer(1, GOOD)
    fleet.run(messages=4)
    assert fleet.keepers[1].version == 0
    fleet.keepers[0].offer(2, EDITED)
    fleet.run()
    assert fleet.sources() == {EDITED}
