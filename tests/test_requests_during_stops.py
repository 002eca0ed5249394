"""Requests that reach a process while it stops, or are still open at its end."""

import time
from contextlib import contextmanager

import gevent
import pytest
from gevent import monkey
from routing_fleet import RoutingFleet, configuration, read_reply, request_bytes, route
from structlog.testing import capture_logs

from wigeonwind.standins.platform_worker import (
    EchoRequestId,
    EventStream,
    FullResponse,
    NoResponse,
)

REFUSING_MS = 3_200.0
"""A time after the signal at which no request is taken whose duration is not known."""

CLOSING_MS = 2_500.0
"""Time after the signal at which a process without work stops listening."""

TAKING_MS = 2_000.0
"""A time after the signal at which requests of unknown duration are taken."""

STOP_LIMIT_MS = 4_000.0

TIMEOUT_S = 8.0

SLOW = ("Deadline-Ms: 20000",)
SLOW_ROUTES = [
    route("once", "/once/", "unsafe", timeout_ms=20_000, slo_ms=3_000),
    route("stream", "/stream/", "streaming", timeout_ms=20_000, slo_ms=3_000),
]

# Blocks the whole process, as a busy machine does.
block_process = monkey.get_original("time", "sleep")


class StoppingFleet:
    """A fleet whose routing process was told to stop when `stop` was called."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.signaled_s = 0.0

    def stop(self):
        """Start the planned stop."""
        self.signaled_s = time.monotonic()
        gevent.spawn(self.fleet.router.drain)
        gevent.sleep(0.0)

    def wait_until(self, since_signal_ms):
        """Wait until a time in milliseconds after the signal."""
        left_s = self.signaled_s + since_signal_ms / 1_000.0 - time.monotonic()
        gevent.sleep(max(0.0, left_s))

    def wait_until_stopped(self):
        """Wait for the end of the stop and return its duration in milliseconds."""
        self.fleet.router.stopped.wait()
        return (time.monotonic() - self.signaled_s) * 1_000.0

    def executed_ids(self):
        """Return the ids of the requests that workers began to execute."""
        return {
            dict(execution.request.headers)[b"Request-Id"].decode()
            for worker in self.fleet.workers
            for execution in worker.executions
        }


@contextmanager
def stopping_fleet(default_response=None, config=None):
    fleet = RoutingFleet(1, default_response, config)
    fleet.router.stop_limit_ms = STOP_LIMIT_MS
    try:
        with gevent.Timeout(TIMEOUT_S):
            yield StoppingFleet(fleet)
    finally:
        fleet.stop()


class ByteReader:
    """Receives single bytes, so that no byte of the next pipelined reply is lost."""

    def __init__(self, sock):
        self._sock = sock

    def recv(self, _):
        """Receive the next byte, empty at the end of input."""
        return self._sock.recv(1)


def is_refused(reply):
    return (
        reply.status == 503
        and reply.is_whole
        and reply.headers["x-outcome"] == "not-run"
        and reply.headers.get("connection") == "close"
        and float(reply.headers["retry-after"]) < 1.0
    )


@pytest.mark.parametrize("path", ["/safe/x", "/once/x", "/stream/x", "/resume/x"])
def test_a_body_completed_late_in_a_stop_is_refused(path):
    # Guards against a request that is taken seconds after SIGTERM, sent to a worker and
    # cut off at the end of the stop.
    with stopping_fleet(EchoRequestId(delay_ms=2_000.0)) as stopping:
        with stopping.fleet.connect() as sock:
            data = request_bytes(path, "POST", b"slow body", (), "a1")
            sock.sendall(data[:-6])
            gevent.sleep(0.05)
            stopping.stop()
            # The configuration allows 2 s without input.
            stopping.wait_until(1_600.0)
            sock.sendall(data[-6:-4])
            stopping.wait_until(REFUSING_MS)
            sock.sendall(data[-4:])
            reply = read_reply(sock)
        assert is_refused(reply)
        assert not stopping.executed_ids()


def test_a_head_completed_late_in_a_stop_is_refused():
    # Guards against the same for a head that crosses the close of the listener.
    with stopping_fleet(EchoRequestId(delay_ms=2_000.0)) as stopping:
        stopping.stop()
        stopping.wait_until(TAKING_MS)
        # A request in flight keeps the process listening.
        with stopping.fleet.connect() as early, stopping.fleet.connect() as sock:
            early.sendall(request_bytes("/once/x", "POST", b"body", (), "a0"))
            stopping.wait_until(REFUSING_MS - 300.0)
            data = request_bytes("/once/x", "POST", b"body", (), "a1")
            sock.sendall(data[:40])
            stopping.wait_until(REFUSING_MS)
            sock.sendall(data[40:])
            reply = read_reply(sock)
        assert is_refused(reply)
        assert stopping.executed_ids() == {"a0"}


def test_a_request_after_a_stream_that_outlasts_the_accepting_phase_is_refused():
    # Guards against a connection that is closed without notice at the end of a stream:
    # its head had no `Connection: close`, so the caller sends its next request there.
    config = configuration(routes=SLOW_ROUTES)
    with stopping_fleet(EventStream(count=18, gap_ms=200.0), config) as stopping:
        with stopping.fleet.connect() as sock:
            sock.sendall(request_bytes("/stream/x", "POST", b"", SLOW, "a1"))
            gevent.sleep(0.3)
            stopping.stop()
            stream = read_reply(sock)
            sock.sendall(request_bytes("/once/x", "POST", b"body", (), "a2"))
            reply = read_reply(sock)
        assert (stream.status, stream.is_whole) == (200, True)
        assert "connection" not in stream.headers
        assert is_refused(reply)
        assert stopping.executed_ids() == {"a1"}


def test_pipelined_requests_are_answered_before_the_connection_closes():
    # Guards against requests that were read behind the response that closes their
    # connection: they were dropped without an answer.
    with stopping_fleet(EchoRequestId(delay_ms=300.0)) as stopping:
        ids = ["a1", "a2", "a3"]
        with stopping.fleet.connect() as sock:
            sock.sendall(
                b"".join(request_bytes("/once/x", "POST", b"b", (), a) for a in ids)
            )
            gevent.sleep(0.1)
            stopping.stop()
            reader = ByteReader(sock)
            replies = [read_reply(reader) for _ in ids]
            assert not sock.recv(1)
        assert [reply.body.decode() for reply in replies] == ids
        closes = [reply.headers.get("connection") for reply in replies]
        assert closes == [None, None, "close"]


def test_many_pipelined_requests_are_answered_before_the_connection_closes():
    # Guards against a reset caused by unread input, which destroys the last responses.
    with stopping_fleet(EchoRequestId(delay_ms=30.0)) as stopping:
        ids = [f"a{number}" for number in range(40)]
        with stopping.fleet.connect() as sock:
            for each in ids:
                sock.sendall(request_bytes("/once/x", "POST", b"b", (), each))
                gevent.sleep(0.001)
            stopping.stop()
            replies, reader = [], ByteReader(sock)
            while not replies or replies[-1].headers.get("connection") != "close":
                replies.append(read_reply(reader))
                assert replies[-1].is_whole
            gevent.sleep(0.5)
            assert not sock.recv(1)
        answered = [reply.body.decode() for reply in replies]
        assert answered == ids[: len(answered)]
        assert stopping.executed_ids() == set(answered)


def test_requests_behind_a_long_answer_are_refused_in_order():
    # Guards against work that is begun late in the stop because it waited behind
    # another answer of its connection.
    config = configuration(routes=SLOW_ROUTES)
    with stopping_fleet(EchoRequestId(delay_ms=3_200.0), config) as stopping:
        with stopping.fleet.connect() as sock:
            sock.sendall(request_bytes("/once/x", "POST", b"b", SLOW, "a1"))
            sock.sendall(request_bytes("/once/x", "POST", b"b", SLOW, "a2"))
            gevent.sleep(0.1)
            stopping.stop()
            reader = ByteReader(sock)
            first, second = read_reply(reader), read_reply(reader)
        assert (first.status, first.body) == (200, b"a1")
        assert is_refused(second)
        assert stopping.executed_ids() == {"a1"}


def test_a_connection_in_the_backlog_is_answered_when_the_listener_closes():
    # Guards against connections that were established before the listener closed and
    # are reset, or that are never closed when idle.
    with stopping_fleet(EchoRequestId()) as stopping:
        stopping.stop()
        stopping.wait_until(CLOSING_MS - 20.0)
        with stopping.fleet.connect() as sock, stopping.fleet.connect():
            sock.sendall(request_bytes("/once/x", "POST", b"b", (), "a1"))
            block_process(0.2)
            reply = read_reply(sock)
        assert reply.is_whole
        assert reply.status == 200 or is_refused(reply)


def test_an_idle_connection_accepted_last_does_not_delay_the_stop():
    # Guards against a connection that is registered after the idle ones were closed.
    with capture_logs() as lines, stopping_fleet() as stopping:
        stopping.stop()
        stopping.wait_until(TAKING_MS)
        socks = []
        while not stopping.fleet.router.stopped.is_set():
            try:
                socks.append(stopping.fleet.connect())
            except OSError:
                break
            gevent.sleep(0.0)
        try:
            took_ms = stopping.wait_until_stopped()
            steps = [
                (each["event"], each["after_ms"], each.get("connections"))
                for each in lines
                if "after_ms" in each
            ]
            assert took_ms < CLOSING_MS + 600.0, (len(socks), steps)
        finally:
            for sock in socks:
                sock.close()


def test_a_request_on_an_idle_connection_at_its_close_is_answered():
    # Guards against the reset of an idle connection whose next request has arrived but
    # has not been read yet.
    with stopping_fleet(EchoRequestId()) as stopping:
        stopping.stop()
        stopping.wait_until(TAKING_MS)
        with stopping.fleet.connect() as sock:
            stopping.wait_until(CLOSING_MS - 20.0)
            sock.sendall(request_bytes("/once/x", "POST", b"b", (), "a1"))
            block_process(0.2)
            reply = read_reply(sock)
        assert reply.is_whole
        assert reply.status == 200 or is_refused(reply)


def test_a_request_in_flight_at_the_end_is_answered_as_unknown():
    # Guards against a process that exits without telling the caller that its request
    # was sent to a worker and may have run.
    config = configuration(routes=SLOW_ROUTES)
    with stopping_fleet(NoResponse(), config) as stopping:
        with stopping.fleet.connect() as sock:
            sock.sendall(request_bytes("/once/x", "POST", b"b", SLOW, "a1"))
            gevent.sleep(0.1)
            stopping.stop()
            reply = read_reply(sock)
        assert (reply.status, reply.is_whole) == (502, True)
        assert reply.headers["x-outcome"] == "unknown"
        assert stopping.wait_until_stopped() < STOP_LIMIT_MS


def test_a_request_that_waits_for_capacity_at_the_end_is_refused():
    # Guards against a process that exits without telling the caller that its request
    # has not run.
    config = configuration(routes=SLOW_ROUTES)
    with stopping_fleet(NoResponse(), config) as stopping:
        fleet, answers = stopping.fleet, []
        fleet.router._chooser.has_capacity = lambda *_: False
        stopping.stop()
        stopping.wait_until(TAKING_MS)
        prompt = (*SLOW, "Token-Usage: 20000,50", "Prefix-Hash: 1:20000")
        with fleet.connect() as sock:
            sock.sendall(request_bytes("/once/x", "POST", b"b", prompt, "a1"))
            answers.append(read_reply(sock))
        assert is_refused(answers[0])
        assert not stopping.executed_ids()


def test_requests_that_are_being_connected_at_the_exit_are_refused():
    # Guards against requests without an answer, because the exit did not wake them or
    # because a caller that reads nothing held up the others.
    config = configuration(routes=SLOW_ROUTES)
    with stopping_fleet(NoResponse(), config) as stopping:
        fleet = stopping.fleet
        fleet.router.pool.open = lambda endpoint: gevent.sleep(5.0)
        stopping.stop()
        stopping.wait_until(TAKING_MS)
        socks = [fleet.connect() for _ in range(3)]
        for number, sock in enumerate(socks):
            sock.sendall(request_bytes("/once/x", "POST", b"b", SLOW, f"a{number}"))
        fleet.wait_for(lambda: len(fleet.router._in_flight) == len(socks))
        exchange = next(iter(fleet.router._in_flight))
        exchange.caller._send = lambda data: gevent.sleep(5.0)
        assert stopping.wait_until_stopped() < STOP_LIMIT_MS
        replies = [read_reply(sock) for sock in socks]
        assert sorted(reply.status for reply in replies) == [0, 503, 503]


@pytest.mark.parametrize("version", ["1.1", "1.0"])
def test_a_stream_cut_at_the_end_does_not_look_complete(version):
    # Guards against a stream that is ended by the exit of the process and that callers
    # take for complete, as without chunks the end of the connection ends the body.
    config = configuration(routes=SLOW_ROUTES)
    with stopping_fleet(EventStream(count=100, gap_ms=100.0), config) as stopping:
        with stopping.fleet.connect() as sock:
            data = request_bytes("/stream/x", "POST", b"", SLOW, "a1")
            sock.sendall(data.replace(b"HTTP/1.1", f"HTTP/{version}".encode()))
            gevent.sleep(0.2)
            stopping.stop()
            data, was_reset = b"", False
            try:
                while received := sock.recv(65_536):
                    data += received
            except ConnectionResetError:
                was_reset = True
        assert data.startswith(b"HTTP/1.1 200")
        assert was_reset or (version == "1.1" and not data.endswith(b"0\r\n\r\n"))


def test_a_request_read_in_part_at_the_end_is_refused():
    # Guards against callers that learn nothing about a request they have half sent.
    with stopping_fleet() as stopping:
        stopping.stop()
        stopping.wait_until(TAKING_MS)
        with stopping.fleet.connect() as sock:
            data = request_bytes("/once/x", "POST", b"slow body", (), "a1")
            sock.sendall(data[:-4])
            reply = read_reply(sock)
        assert is_refused(reply)


@pytest.mark.parametrize("limit_ms", [500.0, 1_500.0, 3_200.0])
def test_a_stop_ends_within_a_short_limit(limit_ms):
    # Guards against SIGKILL in the middle of a stop whose limit is shorter than the
    # time for which connections are accepted.
    config = configuration(routes=SLOW_ROUTES)
    with stopping_fleet(NoResponse(), config) as stopping:
        stopping.fleet.router.stop_limit_ms = limit_ms
        with stopping.fleet.connect() as sock:
            sock.sendall(request_bytes("/once/x", "POST", b"b", SLOW, "a1"))
            gevent.sleep(0.05)
            stopping.stop()
            assert stopping.wait_until_stopped() < limit_ms
            assert read_reply(sock).status == 502


def test_a_second_signal_and_a_reload_do_not_change_a_stop():
    # Guards against a stop that begins anew, or is extended, while it is under way.
    with stopping_fleet(EchoRequestId(delay_ms=400.0)) as stopping:
        with stopping.fleet.connect() as sock:
            sock.sendall(request_bytes("/once/x", "POST", b"b", (), "a1"))
            gevent.sleep(0.05)
            stopping.stop()
            stopping.fleet.router.stop_limit_ms = 60_000.0
            gevent.spawn(stopping.fleet.router.drain)
            assert read_reply(sock).status == 200
        assert stopping.wait_until_stopped() < STOP_LIMIT_MS


def test_a_stop_before_the_configuration_is_read_refuses_requests():
    # Guards against requests without an answer at a process that is stopped at once.
    with stopping_fleet(FullResponse()) as stopping:
        stopping.fleet.router.configuration.table = None
        stopping.stop()
        reply = stopping.fleet.call("/once/x")
        assert reply.status == 503 and reply.headers["connection"] == "close"
