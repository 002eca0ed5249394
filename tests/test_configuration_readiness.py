"""A fresh process serves no text that is older than it could have learnt."""

from wigeonwind.catalog import Catalog
from wigeonwind.clock import ManualClock
from wigeonwind.runtime.configuration_readiness import (
    PEER_SETTLE_MS,
    ConfigurationReadinessGate,
)


def make_gate(announced=0):
    clock, newest, seen = ManualClock(), [announced], []
    gate = ConfigurationReadinessGate(clock, lambda: newest[0])
    gate.subscribe(lambda catalog: seen.append(catalog.version))
    return clock, newest, seen, gate


def test_the_text_of_a_first_peer_waits_for_the_others():
    clock, newest, seen, gate = make_gate()
    gate.on_link_up()
    gate.on_catalog(Catalog(3))
    gate.tick()
    assert seen == []
    clock.advance(PEER_SETTLE_MS / 2)
    gate.on_catalog(Catalog(5))
    clock.advance(PEER_SETTLE_MS / 2)
    gate.tick()
    assert seen == [5]


def test_a_newer_version_that_a_peer_announced_is_waited_for():
    clock, newest, seen, gate = make_gate(announced=9)
    gate.on_link_up()
    gate.on_catalog(Catalog(8))
    clock.advance(10 * PEER_SETTLE_MS)
    gate.tick()
    assert seen == []
    gate.on_catalog(Catalog(9))
    gate.tick()
    assert seen == [9]


def test_an_answer_of_the_store_opens_at_once_and_later_texts_pass():
    _, _, seen, gate = make_gate()
    gate.on_store_response()
    gate.on_catalog(Catalog(1))
    gate.on_catalog(Catalog(2))
    assert seen == [1, 2]


def test_nothing_passes_without_a_text():
    clock, _, seen, gate = make_gate()
    gate.on_link_up()
    clock.advance(2 * PEER_SETTLE_MS)
    gate.tick()
    assert (seen, gate.is_open) == ([], False)
