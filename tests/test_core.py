"""Clock, registry and message numbers."""

import pytest

from wigeonwind.clock import ManualClock
from wigeonwind.links.messages import MESSAGE_TYPE_BY_NUMBER
from wigeonwind.registry import Registry


def test_a_clock_never_moves_backwards():
    clock = ManualClock(100.0)
    clock.advance_to(50.0)
    assert clock.now_ms() == 100.0
    with pytest.raises(ValueError):
        clock.advance(-1.0)


def test_a_registry_rejects_duplicate_names():
    registry: Registry[int] = Registry("kind")
    registry.register("a")(1)
    with pytest.raises(ValueError):
        registry.register("a")(2)


def test_message_numbers_are_stable():
    # Guards against a renumbered message, which the previous release would misread.
    names = {n: cls.__name__ for n, cls in MESSAGE_TYPE_BY_NUMBER.items()}
    assert names[1] == "Hello"
    assert names[2] == "Submit"
    assert names[9] == "Failed"
    assert names[29] == "CacheEvents"
    assert len(names) == 29
