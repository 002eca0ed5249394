"""The drain of a whole process: signals, its limit, the operators' listener."""

import http.client
import os
import signal
from types import SimpleNamespace

import gevent
import pytest
from gevent.event import Event
from sidecar_fakes import SidecarHarness

from wigeonwind import daemon
from wigeonwind.clock import SystemClock
from wigeonwind.links.messages import Chunk, Failed, Leaving
from wigeonwind.runtime.demo import ANY_PORT, make_process, settings_source
from wigeonwind.standins.object_store_server import ObjectStoreServer

LIMIT_MS = 120_000.0


class DrainRecorder:
    """A process that records when its drain is told that the signal came."""

    exit_code = 0

    def __init__(self):
        self.stopped = Event()
        self.signaled_ms = []

    def start(self):
        return SimpleNamespace(links="l", callers="", operators="")

    def reload(self):
        return ()

    def drain(self, signaled_ms=None):
        self.signaled_ms.append(signaled_ms)


def test_a_drain_counts_from_the_signal():
    # Guards against a stop that ends late by as long as the loop was held up when the
    # signal came.
    process, clock = DrainRecorder(), SystemClock()
    running = gevent.spawn(daemon.run, process)
    gevent.sleep(0.02)
    sent_ms = clock.now_ms()
    os.kill(os.getpid(), signal.SIGTERM)
    while clock.now_ms() - sent_ms < 300.0:
        pass
    gevent.sleep(0.05)
    process.stopped.set()
    assert running.get(timeout=5) == 0
    [signaled_ms] = process.signaled_ms
    assert signaled_ms is not None and signaled_ms - sent_ms < 100.0


def test_a_sidecar_ends_its_attempts_before_the_limit():
    # Guards against a sidecar that is killed at the limit of its drain before its
    # entries have heard how their attempts ended.
    harness = SidecarHarness()
    harness.endpoint.ungated_items = 1
    harness.submit("r1")
    harness.link.wait_for(Chunk)
    drain = gevent.spawn(harness.sidecar.drain)
    harness.link.wait_for(Leaving)
    harness.clock.advance(LIMIT_MS - 500.0)
    assert harness.link.wait_for(Failed).started
    drain.join(5)
    harness.close()
    assert drain.ready()


@pytest.fixture
def entry():
    store = ObjectStoreServer(ANY_PORT)
    process = make_process(
        settings_source("entry-1", "entry", "tartu-a", str(store.start()), "")
    )
    yield process
    process.stop()
    store.stop()


def test_an_operators_request_is_answered_before_the_process_ends(entry):
    # Guards against a submitted configuration whose operator gets no answer.
    addresses = entry.start()
    answer_s = 1.0

    def slow_status():
        gevent.sleep(answer_s)
        return {}

    entry._operators_api._status = slow_status
    statuses = []

    def ask():
        address = addresses.operators
        connection = http.client.HTTPConnection(address.host, address.port, timeout=5)
        connection.request("GET", "/admin/status")
        response = connection.getresponse()
        response.read()
        statuses.append(response.status)

    asking = gevent.spawn(ask)
    gevent.sleep(0.1)
    entry.drain()
    assert entry.stopped.wait(10.0)
    asking.join(0.05)
    assert statuses == [200]


def test_a_process_without_requests_ends_early(entry):
    # Guards against a drain that waits for its limit or for idle operators.
    addresses = entry.start()
    address = addresses.operators
    idle = http.client.HTTPConnection(address.host, address.port, timeout=5)
    idle.connect()
    entry.drain()
    assert entry.stopped.wait(3.0)
    idle.close()
