"""Forwarding of cache events from the engine to the entries, within the rate limit."""

import gevent
import pytest
from openai import OpenAI
from sidecar_fakes import FakeLink

from wigeonwind.clock import ManualClock
from wigeonwind.links.codec import decode, encode
from wigeonwind.links.messages import CacheEvents
from wigeonwind.runtime.demo import CONFIGURATION_PATH, start_fleet
from wigeonwind.side.cache_event_forwarder import (
    BURST_S,
    LINK_KEYS_PER_S,
    POLL_AFTER_ACTIVITY_MS,
    POLL_INTERVAL_MS,
    CacheEventForwarder,
)
from wigeonwind.side.engine_client import EngineCacheEvents, EngineFailure


class FakeEngine:
    """Returns the responses that a test has queued, then no events."""

    def __init__(self):
        self.answers, self.requested_seqs = [], []

    def cache_events(self, after):
        self.requested_seqs.append(after)
        empty = EngineCacheEvents((), after)
        return self.answers.pop(0) if self.answers else empty


@pytest.fixture
def forwarder():
    forwarder = CacheEventForwarder(
        "side-1", ManualClock(0.0), FakeEngine(), lambda: True
    )
    forwarder.link = FakeLink()
    forwarder.on_up(forwarder.link)
    return forwarder


def poll(forwarder, count=1):
    for _ in range(count):
        forwarder._clock.advance(POLL_INTERVAL_MS)
        forwarder.poll_once()


def test_only_the_last_change_of_a_prefix_is_sent(forwarder):
    changes = ((5, True), (6, True), (5, False), (2**64 - 1, True))
    forwarder._client.answers = [EngineCacheEvents(changes, 9)]
    poll(forwarder)
    [message] = forwarder.link.of_type(CacheEvents)
    assert message == CacheEvents("side-1", 9, [6, 2**64 - 1], [5])
    assert decode(encode(message)) == message
    poll(forwarder)
    assert forwarder._client.requested_seqs == [0, 9]


def test_events_above_the_rate_limit_are_dropped_oldest_first(forwarder):
    # Guards against events that overload the links: 1,000 per second for a minute.
    batches = [tuple((k, True) for k in range(n, n + 500)) for n in range(120)]
    forwarder._client.answers = [EngineCacheEvents(batch, 1) for batch in batches]
    poll(forwarder, 120)
    sent = forwarder.link.of_type(CacheEvents)
    assert sum(len(m.stored) for m in sent) <= LINK_KEYS_PER_S * (60 + BURST_S)
    assert sent[-1].stored[-1] == batches[-1][-1][0]
    assert sum(len(encode(m)) for m in sent) / 60 < 300


def test_a_restarted_engine_is_polled_from_its_first_event(forwarder):
    forwarder._client.answers = [
        EngineCacheEvents(((1, True),), 40),
        EngineFailure(True, "slow"),
        EngineFailure(False, "connection refused"),
    ]
    poll(forwarder, 4)
    assert forwarder._client.requested_seqs == [0, 40, 40, 0]


def test_an_idle_engine_is_not_polled(forwarder):
    forwarder._is_busy = lambda: False
    poll(forwarder)
    assert not forwarder._client.requested_seqs
    forwarder.record_activity()
    poll(forwarder, 30)
    assert (
        len(forwarder._client.requested_seqs)
        == POLL_AFTER_ACTIVITY_MS / POLL_INTERVAL_MS
    )


def test_returning_conversations_go_to_the_engine_that_holds_the_prefix():
    # Guards against a second turn that is prefilled again: it is sent to the other
    # entry, which learns of the first turn only from the engine's events.
    fleet = start_fleet(
        CONFIGURATION_PATH.read_text(encoding="utf-8"), entries=2, services=0
    )
    try:
        clients = [
            OpenAI(base_url=f"http://{at}/v1", api_key="any", max_retries=0)
            for at in fleet.callers
        ]

        def cached_tokens(client, prompt):
            answer = client.completions.create(model="barley-7b", prompt=prompt)
            return answer.usage.prompt_tokens_details.cached_tokens

        prompts = [f"{number} len=3 " + f"lot {number} " * 100 for number in range(8)]
        assert not any(cached_tokens(clients[0], prompt) for prompt in prompts)
        prefixes = fleet.entries[1].entry._choice._prefixes
        with gevent.Timeout(10.0):
            while len(prefixes) < 16:
                gevent.sleep(0.01)
        assert all(cached_tokens(clients[1], p + " and now?") for p in prompts)
    finally:
        fleet.stop()
