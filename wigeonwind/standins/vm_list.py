"""The VM list test double, which serves an outdated list (design 6.4)."""

from dataclasses import asdict, dataclass
from time import time
from typing import Any

from wigeonwind.addresses import SocketAddress
from wigeonwind.clock import MS_PER_SECOND, Clock
from wigeonwind.standins.faults import Fault, Lag
from wigeonwind.standins.http_server import (
    HttpRequest,
    HttpResponse,
    TestDoubleServer,
    error_response,
    json_response,
)

LIVE = "live"
LEAVING = "leaving"
STATES = (LIVE, LEAVING)


@dataclass(frozen=True)
class Vm:
    """One entry of the list; `address` is IP:PORT, `state` one of `STATES`."""

    id: str
    address: str
    zone: str
    state: str = LIVE


class VmList:
    """A list of VMs; readers get its entries of `lag_ms` ago.

    >>> vms = VmList(lag_ms=30_000.0)
    >>> vms.put(Vm("entry-1", "10.0.0.1:80", "tartu-a"), now_ms=0.0)
    >>> vms.read(29_999.0), len(vms.read(30_000.0))
    ((), 1)
    """

    def __init__(self, lag_ms: float = 0.0) -> None:
        self.lag_ms = lag_ms
        self._snapshots: list[tuple[float, tuple[Vm, ...]]] = [(float("-inf"), ())]

    def put(self, vm: Vm, now_ms: float) -> None:
        """Add a VM or replace its entry."""
        others = tuple(row for row in self.current() if row.id != vm.id)
        self._snapshots.append((now_ms, (*others, vm)))

    def remove(self, vm_id: str, now_ms: float) -> None:
        """Remove a VM."""
        others = tuple(row for row in self.current() if row.id != vm_id)
        self._snapshots.append((now_ms, others))

    def current(self) -> tuple[Vm, ...]:
        """Return the entries without lag, for checkers."""
        return self._snapshots[-1][1]

    def read(self, now_ms: float) -> tuple[Vm, ...]:
        """Return the entries of `lag_ms` ago."""
        found = [vms for at_ms, vms in self._snapshots if at_ms <= now_ms - self.lag_ms]
        return found[-1]


class VmListServer(TestDoubleServer):
    """Serves a `VmList`; `POST` and `DELETE /v1/vms` change it."""

    kind = "VM list"
    supported_faults = TestDoubleServer.supported_faults | {"lag"}

    def __init__(
        self, address: SocketAddress, lag_ms: float = 0.0, clock: Clock | None = None
    ) -> None:
        super().__init__(address, clock)
        self.vms = VmList(lag_ms)
        self._lag_ms = lag_ms
        self.routes[("GET", "/v1/vms")] = self._list
        self.routes[("POST", "/v1/vms")] = self._put
        self.routes[("DELETE", "/v1/vms")] = self._remove

    def put(self, vm: Vm) -> None:
        """Add a VM or replace its entry now."""
        self.vms.put(vm, self.clock.now_ms())

    def remove(self, vm_id: str) -> None:
        """Remove a VM now."""
        self.vms.remove(vm_id, self.clock.now_ms())

    def on_fault(self, fault: Fault) -> None:
        """Apply a fault; `Lag` changes the lag of the list."""
        super().on_fault(fault)
        if isinstance(fault, Lag):
            self.vms.lag_ms = fault.ms

    def on_faults_cleared(self) -> None:
        """Restore the initial lag."""
        self.vms.lag_ms = self._lag_ms

    def _list(self, request: HttpRequest) -> HttpResponse:
        now_ms = self.clock.now_ms()
        rows = [asdict(vm) for vm in self.vms.read(now_ms)]
        # Readers are other processes; the wall clock is the only clock in common.
        as_of_ms = time() * MS_PER_SECOND - self.vms.lag_ms
        return json_response({"vms": rows, "as_of_ms": as_of_ms})

    def _put(self, request: HttpRequest) -> HttpResponse:
        vm = _read_vm(request.json_object())
        if vm is None:
            message = f"expected id, address, zone and state ({' or '.join(STATES)})"
            return error_response(400, "bad_request", message)
        self.put(vm)
        return json_response({})

    def _remove(self, request: HttpRequest) -> HttpResponse:
        self.remove(request.query.get("id", ""))
        return json_response({})


def _read_vm(body: dict[str, Any]) -> Vm | None:
    texts = [body.get("id"), body.get("address"), body.get("zone")]
    state = body.get("state", LIVE)
    if state not in STATES or not all(isinstance(t, str) and t for t in texts):
        return None
    vm_id, address, zone = (str(text) for text in texts)
    return Vm(vm_id, address, zone, state)
