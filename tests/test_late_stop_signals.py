"""Stop signals that come while a routing process is held up, paused or starting."""

import signal
import time

import gevent
import gevent.socket
import pytest
from routing_fleet import configuration, read_reply, request_bytes
from test_requests_during_stops import (
    REFUSING_MS,
    SLOW,
    SLOW_ROUTES,
    STOP_LIMIT_MS,
    block_process,
    is_refused,
    stopping_fleet,
)

from wigeonwind.clock import SystemClock
from wigeonwind.runtime.stop_signal import StopSignal
from wigeonwind.soak.soak_fleet import GRACE_S, SoakFleet, loopback_network
from wigeonwind.standins.platform_worker import (
    EchoRequestId,
    EventStream,
    NoResponse,
)

HELD_UP_S = 1.2
"""Time for which the process is held up while the signal comes."""


def keep_in_python():
    """Run Python code for HELD_UP_S without a return to the loop."""
    until_s = time.monotonic() + HELD_UP_S
    while time.monotonic() < until_s:
        pass


def keep_in_sleep():
    """Block the process for HELD_UP_S."""
    block_process(HELD_UP_S)


@pytest.fixture
def alarm():
    """Restore the handler of SIGALRM, which the tests use as a stop signal."""
    previous = signal.getsignal(signal.SIGALRM)
    yield signal.SIGALRM
    signal.setitimer(signal.ITIMER_REAL, 0.0)
    signal.signal(signal.SIGALRM, previous)


def signal_while(held_up, stopping, number):
    """Let a stop signal come 0.1 s after the begin of `held_up`."""
    stop_signal = StopSignal(SystemClock(), stopping.fleet.router.drain)
    stop_signal.install((number,))
    stopping.signaled_s = time.monotonic() + 0.1
    signal.setitimer(signal.ITIMER_REAL, 0.1)
    held_up()
    gevent.sleep(0.0)


@pytest.mark.parametrize("held_up", [keep_in_python, keep_in_sleep])
def test_a_stop_whose_signal_comes_in_a_held_up_loop_ends_in_time(held_up, alarm):
    # Guards against SIGKILL in the middle of a stop whose times count from when the
    # loop got to the signal.
    config = configuration(routes=SLOW_ROUTES)
    with stopping_fleet(NoResponse(), config) as stopping:
        sock = stopping.fleet.connect()
        sock.sendall(request_bytes("/once/x", "POST", b"b", SLOW, "a1"))
        gevent.sleep(0.1)
        signal_while(held_up, stopping, alarm)
        assert stopping.wait_until_stopped() < STOP_LIMIT_MS
        assert read_reply(sock).status == 502
        sock.close()


@pytest.mark.parametrize("held_up", [keep_in_python, keep_in_sleep])
def test_requests_are_refused_from_the_same_time_in_a_held_up_loop(held_up, alarm):
    # Guards against requests that are taken later than 3 s after the signal, because
    # the loop got to it late, and are cut off at the end of the stop.
    with stopping_fleet(EchoRequestId()) as stopping:
        with stopping.fleet.connect() as sock:
            data = request_bytes("/once/x", "POST", b"body", (), "a1")
            signal_while(held_up, stopping, alarm)
            sock.sendall(data[:-2])
            # The configuration allows 2 s without input.
            stopping.wait_until(2_200.0)
            sock.sendall(data[-2:-1])
            stopping.wait_until(REFUSING_MS)
            sock.sendall(data[-1:])
            assert is_refused(read_reply(sock))
        assert not stopping.executed_ids()


@pytest.fixture
def process_fleet(tmp_path):
    """Yield a fleet of one routing process and two workers."""
    fleet = SoakFleet(tmp_path, loopback_network(26))
    try:
        fleet.start(routers=1, engines=1, desks=1)
        yield fleet
    finally:
        fleet.stop()


def test_a_process_that_is_paused_at_its_signal_ends_in_time(process_fleet):
    # Guards against SIGKILL in the middle of a stop whose times count from the end of a
    # pause of the whole process, in which no code of it can run.
    fleet, router = process_fleet, process_fleet.routers[0]
    process, address = router.process, router.address()
    for worker in fleet.workers:
        worker.double.default = EventStream(count=200, gap_ms=50.0)
    with gevent.socket.create_connection((address.host, address.port)) as sock:
        sock.sendall(request_bytes("/stream/x", "POST", b"p", SLOW, "a1"))
        assert sock.recv(16).startswith(b"HTTP/1.1 200")
        process.freeze()
        gevent.sleep(0.2)
        signaled_s = time.monotonic()
        process.terminate()
        gevent.sleep(1.5)
        process.thaw()
        code = process.wait(GRACE_S + 2.0)
        took_s = time.monotonic() - signaled_s
    assert (code, took_s < GRACE_S) == (0, True), took_s


@pytest.mark.parametrize("delay_s", [0.0, 0.1, 0.2, 0.3, 0.4, 0.6])
def test_a_signal_during_the_start_ends_the_process_in_time(tmp_path, delay_s):
    # Guards against a signal that is lost, or whose stop begins anew, because it comes
    # before the process listens.
    fleet = SoakFleet(tmp_path, loopback_network(26))
    try:
        fleet.start(routers=1, engines=1, desks=1)
        router = fleet.routers[0]
        fleet.end_router(router, is_planned=False)
        fleet.start_router(router)
        gevent.sleep(delay_s)
        signaled_s = time.monotonic()
        router.process.terminate()
        assert router.process.wait(GRACE_S) in (0, -signal.SIGTERM)
        assert time.monotonic() - signaled_s < GRACE_S
    finally:
        fleet.stop()


def test_a_second_signal_changes_nothing(alarm):
    # Guards against a stop that begins anew with each signal.
    with stopping_fleet(EchoRequestId(delay_ms=400.0)) as stopping:
        stop_signal = StopSignal(SystemClock(), stopping.fleet.router.drain)
        stop_signal.install((alarm,))
        signal.raise_signal(alarm)
        gevent.sleep(0.2)
        came_ms = stop_signal.came_ms
        signal.raise_signal(alarm)
        gevent.sleep(0.1)
        assert stop_signal.came_ms == came_ms
        assert stopping.fleet.router.is_draining


def test_a_record_between_a_pause_and_the_handler_does_not_hide_the_pause():
    # Guards against stops that count from the end of a pause: the kernel may give the
    # signal to another thread, and the loop runs before Python calls the handler.
    stop_signal = StopSignal(SystemClock(), lambda _: None)
    before_ms = stop_signal._ran_ms = stop_signal._ran_ms - 1_500.0
    stop_signal._timer = gevent.get_hub().loop.timer(1.0, ref=False)
    stop_signal._record_running()
    stop_signal._handle(0, None)
    gevent.sleep(0.0)
    assert stop_signal.came_ms == before_ms


def test_a_hold_up_long_before_the_signal_does_not_count():
    # Guards against stops that are shortened by a pause that had ended before.
    stop_signal = StopSignal(SystemClock(), lambda _: None)
    stop_signal._timer = gevent.get_hub().loop.timer(1.0, ref=False)
    stop_signal._held_up_from_ms = stop_signal._ran_ms - 5_000.0
    stop_signal._held_up_until_ms = stop_signal._ran_ms - 1_000.0
    before_ms = stop_signal._ran_ms
    stop_signal._handle(0, None)
    gevent.sleep(0.0)
    assert stop_signal.came_ms >= before_ms
