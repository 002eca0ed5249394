"""An unexpected error stays within the message or request that caused it."""

import socket
from dataclasses import replace

import gevent
import pytest
from routing_fleet import configuration, entry, running_fleet

from wigeonwind.decisions.latency_choice import LatencyChooser
from wigeonwind.routing.exchange import Exchange
from wigeonwind.routing.peer_exchange import PeerExchange
from wigeonwind.routing.peer_state import PeerState


def fail(*_args, **_kwargs):
    raise RuntimeError("unexpected")


REQUEST_STEPS = [
    (LatencyChooser, name)
    for name in ("choose", "on_sent", "on_received", "on_started", "on_ended")
] + [
    (Exchange, name)
    for name in ("_request_bytes", "_relay_response", "_should_retry", "_finish")
]


@pytest.mark.parametrize("cls, step", REQUEST_STEPS)
def test_an_error_in_a_request_ends_only_that_request(monkeypatch, cls, step):
    # Guards against a connection that is closed without an answer, and against a
    # request that may have run and is reported as not run.
    with running_fleet(workers=1) as fleet:
        with monkeypatch.context() as patch:
            patch.setattr(cls, step, fail)
            reply = fleet.call("/once/x", "POST", b"abc")
        after = fleet.call("/safe/y", request_id="r2")
        assert not fleet.router.stopped.is_set()
    # The answer may have been delivered before the step that failed.
    assert reply.status in (200, 502)
    assert reply.is_whole
    if reply.status == 502:
        assert reply.headers["x-outcome"] == "unknown"
    assert (after.status, after.body) == (200, b"whole")


def test_an_error_in_the_decoding_of_headers_is_answered(monkeypatch):
    # Guards against a header that ends the connection of a load balancer.
    with running_fleet(workers=1) as fleet:
        codec = type(fleet.router._header_codec)
        with monkeypatch.context() as patch:
            patch.setattr(codec, "decode_request_headers", fail)
            assert fleet.call("/safe/x").status == 502
        assert fleet.call("/safe/y", request_id="r2").status == 200


@pytest.mark.parametrize("field", ["decode_endpoint", "decode_configuration"])
def test_an_error_in_a_stored_object_does_not_stop_the_process(field):
    # Guards against one object in the store that ends all processes at once.
    with running_fleet(workers=2) as fleet:
        router = fleet.router
        schema = replace(router.configuration._schema, **{field: fail})
        router.configuration._schema = schema
        router._followers[1]._handler._schema = schema
        draining = entry(fleet.workers[0], state="draining")
        fleet.store.put("servers", fleet.workers[0].name, draining)
        fleet.store.put("config", "main", configuration(9))
        gevent.sleep(0.5)
        assert not router.stopped.is_set()
        assert fleet.call("/safe/x").status == 200


def test_an_error_in_a_datagram_does_not_stop_the_process(monkeypatch):
    # Guards against one message of a peer that ends the exchange of loads.
    with running_fleet(workers=1) as fleet:
        address = fleet.router.peers.address
        with monkeypatch.context() as patch:
            patch.setattr(type(fleet.router.peers), "_on_datagram", fail)
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
                for _ in range(20):
                    sock.sendto(b"\x82", (address.host, address.port))
                gevent.sleep(0.05)
        assert not fleet.router.stopped.is_set()
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            sock.sendto(b"\x82", (address.host, address.port))
        fleet.wait_for(lambda: fleet.router.peers.undecodable_datagrams)
        assert fleet.call("/safe/x").status == 200


def fail_times(count, original):
    """Return a function that fails `count` times before it calls `original`."""
    left = [count]

    def call(*args, **kwargs):
        if left[0]:
            left[0] -= 1
            raise RecursionError("unexpected")
        return original(*args, **kwargs)

    return call


@pytest.mark.parametrize("name", ["on_changed", "on_listed"])
def test_an_error_in_the_following_of_the_store_is_tried_again(monkeypatch, name):
    # Guards against an error that ends all routers, which read the same data, and
    # against a change that is lost with the step that failed.
    with running_fleet(workers=2) as fleet:
        router = fleet.router
        handler = router._followers[1]._handler
        monkeypatch.setattr(handler, name, fail_times(2, getattr(handler, name)))
        fleet.store.put("servers", "w9", entry(fleet.workers[0], backend="other"))
        if name == "on_listed":
            fleet.store.compact()
        fleet.wait_for(lambda: len(router.endpoints) == 3)
        assert not router.stopped.is_set()
        fleet.wait_for(
            lambda: b"wigeonwind_store_failed_steps 0" not in router.metrics.render()
        )
        assert fleet.call("/safe/x").status == 200


@pytest.mark.parametrize("name", ["_register", "_read_directory"])
def test_an_error_in_the_peer_directory_is_tried_again(monkeypatch, name):
    # Guards against a record that ends the process that reads it.
    failing = fail_times(2, getattr(PeerExchange, name))
    monkeypatch.setattr(PeerExchange, name, lambda exchange: failing(exchange))
    with running_fleet(workers=1, routers=2) as fleet:
        assert not any(router.stopped.is_set() for router in fleet.routers)


def test_an_error_in_the_polling_of_peers_does_not_stop_the_process(monkeypatch):
    # Guards against a state of a peer that ends the process that reads it.
    with running_fleet(workers=1) as fleet:
        monkeypatch.setattr(PeerState, "_poll_if_needed", fail)
        gevent.sleep(0.6)
        assert not fleet.router.stopped.is_set()


def test_a_loop_with_a_fault_of_its_own_stops_the_process(monkeypatch):
    # Guards against a process that keeps running without one of its functions.
    with running_fleet(workers=1) as fleet:
        monkeypatch.setattr(type(fleet.router.pool), "close_expired", fail)
        fleet.wait_for(fleet.router.stopped.is_set)
