"""Routing processes on loopback, with test doubles of the store and the workers."""

import os
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import gevent
from gevent import socket as gevent_socket

from wigeonwind.addresses import SocketAddress
from wigeonwind.checking.child_process import HUNG_EXIT_CODE, ChildProcess
from wigeonwind.platform.node_file import PATH_VARIABLE
from wigeonwind.routing.endpoints import Endpoint
from wigeonwind.routing.routes import Repetition
from wigeonwind.soak.loop_lag import LoopLag
from wigeonwind.soak.loopback_proxy import LoopbackProxy
from wigeonwind.soak.soak_records import (
    ConfigSeen,
    Disturbance,
    DrainSeen,
    EndSeen,
    RunSeen,
    SoakHistory,
    soak_now_ms,
)
from wigeonwind.standins.crashing_requests import CrashingRequests
from wigeonwind.standins.platform_documents import (
    RouteSpec,
    configuration_document,
    entry_document,
    node_file_source,
)
from wigeonwind.standins.platform_store import PlatformStore
from wigeonwind.standins.platform_worker import (
    Behaviour,
    EchoRequestId,
    EventStream,
    PlatformWorker,
)

PROGRAM_MODULE = "wigeonwind.platform"
CALLERS_PORT = 8227
READY_PORT = 8220
READY_TIMEOUT_S = 20.0
READY_POLL_S = 0.05
GRACE_S = 4
"""Default time from SIGTERM to SIGKILL; the platform allows 8 s, which would leave time
for few faults in a short run."""

LOG_DELAY_S = 0.1
"""Time until the last output of a process that has ended is in its log."""

DRAIN_MS = 2_000.0
"""Time for which a worker still serves after the store acknowledged its drain, as the
platform specifies."""

ENGINES, DESKS = "engines", "desks"
ZONES = ("tartu-a", "viljandi-b", "voru-c")
BEHAVIOUR_BY_SERVICE: dict[str, Behaviour] = {
    ENGINES: EventStream(count=12, gap_ms=25.0, has_id=True),
    DESKS: EchoRequestId(delay_ms=15.0),
}
SLOTS_BY_SERVICE = {ENGINES: 32, DESKS: 12}
CUSTOMER = "mill"
KEY, REVOKED_KEY, UNKNOWN_KEY = "key-1", "key-2", "key-9"


@dataclass
class SoakWorker:
    """A worker double, the proxy in front of it and its entry in the store."""

    double: PlatformWorker
    proxy: LoopbackProxy
    service: str
    zone: str
    started_ms: int

    @property
    def name(self) -> str:
        """Return the instance id of the worker."""
        return self.double.name

    def entry(self, is_draining: bool = False) -> dict[str, Any]:
        """Return the document of the worker's entry in the store."""
        return entry_document(
            Endpoint(
                self.name,
                self.service,
                self.proxy.address,
                self.zone,
                self.started_ms,
                SLOTS_BY_SERVICE[self.service],
                is_draining,
            )
        )


@dataclass
class SoakRouter:
    """A routing process and its proxy to the store."""

    name: str
    ip: str
    zone: str
    store_proxy: LoopbackProxy
    process: ChildProcess | None = None
    is_under_fault: bool = False
    """Whether a fault that stops or pauses the router is in progress; no second such
    fault is started until it ends."""

    def address(self, port: int = CALLERS_PORT) -> SocketAddress:
        """Return the address of one of its ports."""
        return SocketAddress(self.ip, port)


@dataclass
class SoakFleet:
    """The processes and test doubles of a run; `history` holds its records."""

    directory: Path
    network: str
    """First three octets of the loopback addresses of this run."""
    store: PlatformStore = field(default_factory=PlatformStore)
    routers: list[SoakRouter] = field(default_factory=list)
    workers: list[SoakWorker] = field(default_factory=list)
    history: SoakHistory = field(default_factory=SoakHistory)
    crashing: CrashingRequests = field(
        default_factory=lambda: CrashingRequests(prefill_ms=30.0)
    )
    """The requests that crash workers; the same for all of them."""
    grace_s: int = GRACE_S
    """Time from SIGTERM to SIGKILL."""
    loop_lag: LoopLag = field(default_factory=lambda: LoopLag(soak_now_ms))
    version: int = 0
    _worker_count: int = 0

    def start(self, routers: int, engines: int, desks: int) -> None:
        """Start all processes and doubles and wait until each router is ready."""
        self.change_configuration(DESKS, revoked_is_valid=True)
        for service, count in ((ENGINES, engines), (DESKS, desks)):
            for _ in range(count):
                self.add_worker(service)
        for number in range(routers):
            ip = f"{self.network}.{number + 1}"
            proxy = LoopbackProxy(self.store.address)
            zone = ZONES[number % len(ZONES)]
            router = SoakRouter(f"router-{number}", ip, zone, proxy)
            self.routers.append(router)
            self.start_router(router)
        with gevent.Timeout(READY_TIMEOUT_S):
            while not all(self.is_ready(each) for each in self.routers):
                gevent.sleep(READY_POLL_S)

    def stop(self) -> None:
        """Stop all processes and doubles that this run started."""
        for router in self.routers:
            if router.process is not None:
                router.process.kill()
            router.store_proxy.stop()
        for worker in self.workers:
            self._collect_runs(worker)
            worker.proxy.stop()
            worker.double.stop()
        self.store.stop()

    def change_configuration(self, moved_service: str, revoked_is_valid: bool) -> None:
        """Write the next version of the configuration to the store."""
        self.version += 3
        keys = [KEY, REVOKED_KEY] if revoked_is_valid else [KEY]
        routes = _routes(moved_service)
        document = configuration_document(self.version, routes, CUSTOMER, keys)
        self.store.put("config", "main", document)
        seen = ConfigSeen(self.version, soak_now_ms(), moved_service, revoked_is_valid)
        self.history.configs.append(seen)

    def add_worker(self, service: str, name: str = "") -> SoakWorker:
        """Start and register a worker; `name` reuses an earlier instance id."""
        self._worker_count += 1
        name = name or f"i-{self._worker_count}"
        double = PlatformWorker(name, BEHAVIOUR_BY_SERVICE[service])
        zone = ZONES[self._worker_count % len(ZONES)]
        proxy = LoopbackProxy(double.address)
        double.crashing = self.crashing
        double.on_crash = proxy.end
        started_ms = 1_700_000_000_000 + self._worker_count
        worker = SoakWorker(double, proxy, service, zone, started_ms)
        self.workers.append(worker)
        self.store.put("servers", name, worker.entry())
        return worker

    def drain_worker(self, worker: SoakWorker) -> None:
        """Mark a worker as draining in the store."""
        self.store.put("servers", worker.name, worker.entry(is_draining=True))
        self.history.drains.append(DrainSeen(worker.name, soak_now_ms()))

    def remove_worker(self, worker: SoakWorker) -> None:
        """Stop a worker and remove its entry from the store."""
        self.store.remove("servers", worker.name)
        self.workers.remove(worker)
        worker.proxy.stop()
        worker.double.stop()
        self._collect_runs(worker)

    def _collect_runs(self, worker: SoakWorker) -> None:
        for run in worker.double.executions:
            headers = {name.lower(): value for name, value in run.request.headers}
            self.history.runs.append(
                RunSeen(
                    headers.get(b"request-id", b"").decode(),
                    worker.name,
                    worker.service,
                    run.at_ms,
                    headers.get(b"tenant", b"").decode(),
                    b"x-api-key" in headers,
                )
            )
        worker.double.executions.clear()

    def start_router(self, router: SoakRouter) -> None:
        """Start or restart a routing process."""
        path = self.directory / f"{router.name}.toml"
        source = node_file_source(
            router.name,
            router.zone,
            router.address(),
            router.address(READY_PORT),
            router.store_proxy.address,
            self.grace_s,
        )
        path.write_text(source, encoding="utf-8")
        log = str(self._log_path(router))
        environment = {PATH_VARIABLE: str(path), "GEVENT_NOWAITPID": "1"}
        router.process = ChildProcess(
            router.name, (PROGRAM_MODULE,), log, environment, prints_addresses=False
        )

    def _log_path(self, router: SoakRouter) -> Path:
        return self.directory / f"{router.name}.log"

    def _last_log_line(self, router: SoakRouter) -> str:
        gevent.sleep(LOG_DELAY_S)
        path = self._log_path(router)
        if not path.exists():
            return ""
        lines = path.read_text(encoding="utf-8", errors="replace").splitlines()
        return lines[-1] if lines else ""

    def end_router(
        self, router: SoakRouter, is_planned: bool, pause_s: float = 0.0
    ) -> None:
        """Stop a routing process with SIGTERM or SIGKILL and wait for its exit.

        It is paused for `pause_s` seconds from just before SIGTERM.
        """
        process = router.process
        assert process is not None
        signaled_ms = soak_now_ms()
        if is_planned:
            if pause_s:
                process.freeze()
            process.terminate()
            if pause_s:
                gevent.sleep(pause_s)
                process.thaw()
            code = process.wait(self.grace_s - pause_s)
        else:
            process.kill()
            code = process.wait()
        router.process = None
        now_ms = soak_now_ms()
        exit_seen = EndSeen(
            router.name,
            now_ms,
            code,
            True,
            now_ms - signaled_ms,
            self.loop_lag.longest_ms(signaled_ms),
            self._last_log_line(router) if code == HUNG_EXIT_CODE else "",
        )
        self.history.ends.append(exit_seen)

    def record_unexpected_exits(self) -> None:
        """Record routers that exited without being stopped, and restart them."""
        for router in self.routers:
            process = router.process
            if router.is_under_fault or process is None or process.is_running:
                continue
            exit_seen = EndSeen(router.name, soak_now_ms(), process.wait(), False)
            self.history.ends.append(exit_seen)
            self.start_router(router)

    def is_ready(self, router: SoakRouter) -> bool:
        """Return whether a router reports ready to the load balancer's check."""
        address = router.address(READY_PORT)
        try:
            sock = gevent_socket.create_connection((address.host, address.port), 1.0)
            with sock:
                sock.sendall(b"GET /api/readyz HTTP/1.1\r\nHost: x\r\n\r\n")
                return sock.recv(4_096).startswith(b"HTTP/1.1 200")
        except OSError:
            return False

    def begin_disturbance(self, target: str, fault: str) -> Disturbance:
        """Record the beginning of a disturbance; the caller sets its end."""
        disturbance = Disturbance(target, fault, soak_now_ms())
        self.history.disturbances.append(disturbance)
        return disturbance


def loopback_network(seed: int) -> str:
    """Return the first three octets of a network in 127.0.0.0/8.

    They depend on the process id and the seed, as concurrent runs on one machine use
    the same ports.
    """
    return f"127.{32 + os.getpid() % 200}.{1 + seed % 250}"


def _routes(moved_service: str) -> tuple[RouteSpec, ...]:
    return (
        RouteSpec("safe", DESKS, Repetition.SAFE),
        RouteSpec("once", DESKS, Repetition.ONCE, max_endpoints=1),
        RouteSpec("stream", ENGINES, Repetition.ONCE, is_stream=True),
        RouteSpec("resume", ENGINES, Repetition.RESUMABLE, is_stream=True),
        RouteSpec("moved", moved_service, Repetition.SAFE),
    )
