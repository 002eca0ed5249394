"""Comparison of the first configuration of a process with its peers'."""

from wigeonwind.addresses import SocketAddress
from wigeonwind.clock import ManualClock
from wigeonwind.routing.start_check import (
    ANSWER_WAIT_MS,
    CHECK_LIMIT_MS,
    StartCheck,
)
from wigeonwind.routing.store_watchers import PeerView, StoreView
from wigeonwind.state.store_types import NO_REVISION


class CheckHarness:
    """A check with a manual clock; `versions` are those that peers announce."""

    def __init__(self, peer_count):
        self.clock = ManualClock()
        self.versions = []
        self.check = StartCheck(self.clock, self.views, lambda: peer_count)

    def views(self):
        address = SocketAddress("127.0.0.1", 1)
        return {
            f"r{number}": PeerView(
                StoreView("a", version, NO_REVISION, True, False), address
            )
            for number, version in enumerate(self.versions)
        }


def test_first_configuration_waits_for_the_directory_and_all_peers():
    # Guards against an older configuration in force before peers could be heard.
    harness = CheckHarness(peer_count=2)
    assert not harness.check.update(5)
    harness.check.on_directory_read()
    harness.versions = [5]
    assert not harness.check.update(5)
    harness.versions = [5, 6]
    assert not harness.check.update(5)
    assert harness.check.update(6)


def test_first_configuration_does_not_wait_long_for_silent_peers():
    # Guards against a process that cannot start because records of ended peers remain.
    harness = CheckHarness(peer_count=2)
    harness.check.on_directory_read()
    assert not harness.check.update(5)
    harness.clock.advance(ANSWER_WAIT_MS)
    assert harness.check.update(5)


def test_first_configuration_is_held_back_for_a_limited_time():
    # Guards against a process that never serves because a peer that announces a later
    # version cannot be read.
    harness = CheckHarness(peer_count=1)
    harness.check.on_directory_read()
    harness.versions = [9]
    assert not harness.check.update(None)
    harness.clock.advance(5 * CHECK_LIMIT_MS)
    assert not harness.check.update(5)
    harness.clock.advance(CHECK_LIMIT_MS)
    assert harness.check.update(5)


def test_process_without_peers_does_not_wait():
    # Guards against a delay of each start of a fleet of one.
    harness = CheckHarness(peer_count=0)
    harness.check.on_directory_read()
    assert harness.check.update(5)
