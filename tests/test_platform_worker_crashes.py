"""The worker double: requests that crash it, and how its connections end."""

import socket

import gevent
import pytest
from routing_fleet import read_reply, request_bytes

from wigeonwind.standins.platform_worker import (
    EventStream,
    FullResponse,
    PlatformWorker,
)

DEADLY, SHARED, OWN = 0xD1, 0xA1, 0x77


@pytest.fixture
def worker():
    stream = EventStream(count=2, gap_ms=1.0, prefill_ms=10.0, split_ms=250.0)
    worker = PlatformWorker("w0", stream)
    worker.crashing.part_ids.add(DEADLY)
    worker.crashing.paths.add("/safe/deadly")
    worker.crashing.prefill_ms = 80.0
    yield worker
    worker.end()


def connect(worker):
    address = (worker.address.host, worker.address.port)
    return socket.create_connection(address, 1.0)


def send(worker, parts=(), path="/stream/x"):
    sock = connect(worker)
    prefix = ",".join(f"{each:x}:100" for each in parts)
    headers = (f"Prefix-Hash: {prefix}",) if parts else ()
    sock.sendall(request_bytes(path, "POST", b"x", headers))
    return sock


def received_until_end(sock):
    data = b""
    while chunk := sock.recv(65_536):
        data += chunk
    return data


@pytest.mark.parametrize(
    "parts, path",
    [
        ((DEADLY, OWN), "/stream/x"),
        ((SHARED, DEADLY, OWN), "/stream/x"),
        ((), "/safe/deadly"),
    ],
)
def test_a_deadly_request_gets_nothing_and_ends_all_connections(worker, parts, path):
    # Guards against a double that answers, resets, or keeps listening.
    stream, idle = send(worker, (SHARED, OWN)), connect(worker)
    gevent.sleep(0.02)
    deadly = send(worker, parts, path)
    assert received_until_end(deadly) == b""
    assert received_until_end(idle) == b""
    begun = received_until_end(stream)
    assert begun.startswith(b"HTTP/1.1 200")
    # The stream ends in the middle of an event.
    assert not begun.endswith((b"\n\n\r\n", b"0\r\n\r\n"))
    with pytest.raises(ConnectionRefusedError):
        connect(worker)
    assert len(worker.crash_times_ms) == 1


@pytest.mark.parametrize("parts", [(SHARED, OWN), (SHARED, DEADLY)])
def test_other_prompts_do_not_crash_the_worker(worker, parts):
    # Guards against crashes by the last part, which belongs to the request itself.
    with send(worker, parts) as sock:
        assert read_reply(sock).is_whole
    assert worker.crash_times_ms == []


def test_two_deadly_requests_at_a_time_are_one_crash(worker):
    # Guards against a crash that is counted for each request which could cause it.
    first, second = (send(worker, (DEADLY, OWN)) for _ in range(2))
    assert received_until_end(first) == received_until_end(second) == b""
    assert len(worker.crash_times_ms) == 1


def test_a_worker_starts_again_as_another_instance(worker):
    # Guards against a restart at which requests for the earlier instance are run.
    port = worker.address.port
    received_until_end(send(worker, (DEADLY, OWN)))
    worker.restart("w1", port)
    assert worker.address.port == port
    headers = ("Expect-Instance: w0",)
    with connect(worker) as sock:
        sock.sendall(request_bytes("/stream/x", headers=headers))
        assert read_reply(sock).status == 421
    with send(worker, (SHARED, OWN)) as sock:
        assert read_reply(sock).is_whole


def test_connections_can_be_reset_while_the_worker_lives(worker):
    # Guards against a reset that ends the worker, or leaves its connections open.
    with send(worker, (SHARED, OWN)) as sock:
        gevent.sleep(0.005)
        worker.reset_connections()
        with pytest.raises(ConnectionResetError):
            received_until_end(sock)
    with send(worker, (SHARED, OWN)) as sock:
        assert read_reply(sock).is_whole


def test_a_response_without_length_ends_with_its_connection(worker):
    # Guards against a double that keeps the connection open, or says the length.
    worker.default = FullResponse(has_length=False)
    with send(worker, path="/safe/x") as sock:
        data = received_until_end(sock)
    assert b"ontent-" not in data and data.endswith(b"\r\n\r\nwhole")
