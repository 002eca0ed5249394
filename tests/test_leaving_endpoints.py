"""Endpoints that announce in their responses that they leave."""

import json
from random import Random
from urllib.request import urlopen

import gevent
import pytest
from routing_fleet import entry, running_fleet

from wigeonwind.decisions.leaving_endpoints import (
    HOLD_MS,
    MAX_ENDPOINTS,
    LeavingEndpoints,
    LeavingRow,
)
from wigeonwind.routing.leaving_messages import (
    MAX_ROWS,
    LeavingMessage,
    decode_leaving,
    encode_leaving,
    leaving_messages,
)
from wigeonwind.routing.peer_messages import MAX_MESSAGE_BYTES
from wigeonwind.standins.platform_worker import RawBytes

HEAD = b"HTTP/1.1 %d Status\r\nRequest-Id: {id}\r\nWorker-Signature: s\r\n"
LEAVING = b"Server-Leaving: 1\r\n"
WHOLE = b"Content-Length: 2\r\n\r\nok"
STREAM = b"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
EVENT = b"id: 1\ndata: 1\n\n"
CHUNK = b"%x\r\n%s\r\n" % (len(EVENT), EVENT)
OTHER_HEAD = b"HTTP/1.1 200 OK\r\nRequest-Id: 0123\r\n"

ANNOUNCEMENT_BY_NAME = {
    "whole": ("/safe/x", HEAD % 200 + LEAVING + WHOLE),
    "error": ("/once/x", HEAD % 500 + LEAVING + WHOLE),
    "refusal": ("/safe/x", HEAD % 503 + b"Not-Executed: 1\r\n" + LEAVING + WHOLE),
    "head of a stream": ("/stream/x", HEAD % 200 + LEAVING + STREAM + CHUNK),
    "interim": (
        "/safe/x",
        b"HTTP/1.1 103 Hints\r\n" + LEAVING + b"\r\n" + HEAD % 200 + WHOLE,
    ),
    "response to another request": (
        "/safe/x",
        OTHER_HEAD + LEAVING + WHOLE + HEAD % 200 + WHOLE,
    ),
}


def announce(fleet, path, data):
    """Let the first worker answer one request with `data`; return the worker."""
    worker, *others = fleet.workers
    for each in others:
        fleet.store.put("servers", each.name, entry(each, state="draining"))
    fleet.wait_for(lambda: len(fleet.router.endpoints) == 1)
    worker.scripted.append(RawBytes((data,), "close"))
    fleet.call(path, "POST", b"x", request_id="announced")
    for each in others:
        fleet.store.put("servers", each.name, entry(each, seq=3))
    for router in fleet.routers:
        fleet.wait_for(
            lambda router=router: (
                {each.instance_id for each in router.endpoints.all()}
                >= {each.name for each in others}
            )
        )
    return worker


@pytest.mark.parametrize("name", ANNOUNCEMENT_BY_NAME)
def test_an_endpoint_that_announces_its_leaving_gets_no_more_requests(name):
    # Guards against requests that are sent to a worker which is about to exit, while
    # its entry in the store still says that it is ready.
    with running_fleet(2) as fleet:
        worker = announce(fleet, *ANNOUNCEMENT_BY_NAME[name])
        fleet.store.put("servers", worker.name, entry(worker, seq=9))
        received = len(worker.requests)
        for number in range(10):
            assert fleet.call("/safe/x", request_id=f"r{number}").status == 200
        assert len(worker.requests) == received


def test_peers_do_not_use_an_endpoint_that_announced_to_another_router():
    # Guards against routers that have had no response of the worker yet.
    with running_fleet(2, routers=2) as fleet:
        worker = announce(fleet, *ANNOUNCEMENT_BY_NAME["whole"])
        second = fleet.routers[1]
        fleet.wait_for(
            lambda: worker.name not in {e.instance_id for e in second.endpoints.all()}
        )
        third = fleet.add_router()
        fleet.wait_for(lambda: third.is_ready)
        fleet.wait_for(lambda: len(third.endpoints) == 1)


def test_a_restarted_endpoint_is_used_again():
    # Guards against a new start under the same id that inherits the announcement.
    with running_fleet(2) as fleet:
        worker = announce(fleet, *ANNOUNCEMENT_BY_NAME["whole"])
        fleet.store.put("servers", worker.name, entry(worker, born=2000))
        fleet.wait_for(lambda: len(fleet.router.endpoints) == 2)


def test_an_answer_of_another_endpoint_at_the_address_announces_nothing():
    # Guards against a 421 of the worker that has the address now.
    with running_fleet(2) as fleet:
        announce(fleet, "/safe/x", HEAD % 421 + LEAVING + WHOLE)
        assert len(fleet.router.endpoints.leaving) == 0


@pytest.mark.parametrize(
    "value", [b"0", b"yes", b"", b"1, 1", b"1\r\nServer-Leaving: 0", b"9" * 500]
)
def test_an_unknown_announcement_changes_nothing(value):
    # Guards against workers that are given up because of a header that says nothing.
    odd = b"Server-Leaving: " + value + b"\r\n"
    with running_fleet(2) as fleet:
        announce(fleet, "/safe/x", HEAD % 200 + odd + WHOLE)
        assert len(fleet.router.endpoints) == 2


def test_operators_see_which_endpoints_leave():
    # Guards against workers without requests for a reason that nobody can find.
    with running_fleet(2) as fleet:
        worker = announce(fleet, *ANNOUNCEMENT_BY_NAME["whole"])
        address = fleet.router._metrics_server.address
        threadpool = gevent.get_hub().threadpool
        read = threadpool.spawn(
            lambda: urlopen(f"http://{address}/leaving", timeout=5).read()
        )
        (row,) = json.loads(read.get())["endpoints"]
        assert row["endpoint"] == worker.name and row["reason"]
        assert 0 < row["left_ms"] <= HOLD_MS
        gevent.sleep(0.3)
        assert b"wigeonwind_endpoints_leaving 1.0" in fleet.router.metrics.render()


def test_old_and_repeated_messages_change_nothing():
    # Guards against late datagrams that hold an endpoint back for longer, or again.
    leaving = LeavingEndpoints()
    assert leaving.merge([LeavingRow(7, 100)], 1_000.0) == (7,)
    assert leaving.merge([LeavingRow(7, 100), LeavingRow(7, 900)], 1_000.0) == ()
    assert leaving.merge([LeavingRow(8, int(HOLD_MS))], 1_000.0) == ()
    assert leaving.left_ms(7, 1_000.0) == HOLD_MS - 100.0
    assert leaving.drop_expired(900.0 + HOLD_MS) == (7,)
    assert leaving.merge([LeavingRow(7, int(HOLD_MS))], 900.0 + HOLD_MS) == ()


def test_made_up_announcements_do_not_exhaust_memory():
    # Guards against a peer that names endpoints without end.
    leaving, rng = LeavingEndpoints(), Random(1)
    for _ in range(30):
        rows = [LeavingRow(rng.getrandbits(64), 0) for _ in range(MAX_ROWS)]
        leaving.merge(rows, 1.0)
    assert len(leaving) <= MAX_ENDPOINTS


def test_messages_survive_encoding_and_fit_datagrams():
    # Guards against announcements that are lost on the way.
    rows = [LeavingRow(2**64 - 1 - n, int(HOLD_MS)) for n in range(MAX_ROWS + 1)]
    messages = list(leaving_messages("edge-" + "x" * 80, rows))
    assert [len(each.rows) for each in messages] == [MAX_ROWS, 1]
    for message in messages:
        data = encode_leaving(message)
        assert len(data) <= MAX_MESSAGE_BYTES and decode_leaving(data) == message


def test_damaged_messages_are_values_not_errors():
    # Guards against a datagram that ends the receiving greenlet.
    rng = Random(1)
    data = encode_leaving(LeavingMessage("r1", (LeavingRow(7, 5),)))
    for _ in range(2_000):
        damaged = bytearray(data[: rng.randrange(1, len(data) + 1)])
        for _ in range(rng.randrange(4)):
            damaged[rng.randrange(len(damaged))] = rng.randrange(256)
        assert isinstance(decode_leaving(bytes(damaged)), (str, LeavingMessage))
