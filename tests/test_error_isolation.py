"""An unexpected error stays within the message or request that caused it."""

import socket
from dataclasses import replace

import gevent
import pytest
from routing_fleet import configuration, entry, running_fleet

from wigeonwind.decisions.latency_choice import LatencyChooser
from wigeonwind.routing.exchange import Exchange


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
