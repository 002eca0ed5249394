"""A starting process serves no configuration that may be outdated."""

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


def test_the_configuration_of_the_first_peer_is_held_for_the_others():
    # Guards against serving the old version of a peer that a partition had separated.
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


def test_a_newer_announced_version_is_awaited():
    # Guards against serving a version when a peer has announced a newer one.
    clock, newest, seen, gate = make_gate(announced=9)
    gate.on_link_up()
    gate.on_catalog(Catalog(8))
    clock.advance(10 * PEER_SETTLE_MS)
    gate.tick()
    assert seen == []
    gate.on_catalog(Catalog(9))
    gate.tick()
    assert seen == [9]


def test_a_store_response_opens_the_gate_and_later_versions_pass():
    # Guards against a start that waits for peers although the store has answered.
    _, _, seen, gate = make_gate()
    gate.on_store_response()
    gate.on_catalog(Catalog(1))
    gate.on_catalog(Catalog(2))
    assert seen == [1, 2]


def test_nothing_passes_without_a_configuration():
    # Guards against a process that becomes ready before it has a configuration.
    clock, _, seen, gate = make_gate()
    gate.on_link_up()
    clock.advance(2 * PEER_SETTLE_MS)
    gate.tick()
    assert (seen, gate.is_open) == ([], False)
