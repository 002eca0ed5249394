"""The plain service test double: bookings that reduce a stock.

It counts the executions of each `Idempotency-Key`, so that checkers can detect a
booking that was executed twice.
"""

from collections import Counter
from dataclasses import asdict, dataclass, field
from time import time

from gevent import sleep

from wigeonwind.addresses import SocketAddress
from wigeonwind.clock import MS_PER_SECOND, Clock
from wigeonwind.standins.faults import Crash
from wigeonwind.standins.http_server import (
    HttpRequest,
    HttpResponse,
    TestDoubleServer,
    json_response,
)

BOOKINGS_PATH = "/bookings"
STOCK_PATH = "/stock"
INITIAL_STOCK = 1_000_000
MAX_EXECUTIONS = 100_000
"""Executions kept for checkers; the counts by key have no such limit."""


@dataclass(frozen=True)
class Execution:
    """One executed booking; header names are in lower case."""

    number: int
    key: str
    method: str
    path: str
    headers: dict[str, str]
    body: str
    at_ms: float = field(default=0.0, compare=False)
    """Wall-clock time, so that checkers can compare it across processes."""


class BookingLedger:
    """Executes bookings, each of which reduces the stock by one.

    Unless `checks_keys` is set, bookings with a repeated key are executed again.

    >>> ledger = BookingLedger()
    >>> for _ in range(2):
    ...     _ = ledger.execute("k1", "POST", "/bookings", {}, "{}")
    >>> ledger.count_by_key["k1"], ledger.stock == INITIAL_STOCK - 2
    (2, True)
    """

    def __init__(self, checks_keys: bool = False) -> None:
        self.stock = INITIAL_STOCK
        self.executions: list[Execution] = []
        self.count_by_key: Counter[str] = Counter()
        self._checks_keys = checks_keys
        self._last_number = 0
        self._execution_by_key: dict[str, Execution] = {}

    def execute(
        self, key: str, method: str, path: str, headers: dict[str, str], body: str
    ) -> Execution:
        """Execute a booking.

        With `checks_keys`, a repeated key returns its earlier execution instead.
        """
        if self._checks_keys and key in self._execution_by_key:
            return self._execution_by_key[key]
        self._last_number += 1
        self.stock -= 1
        at_ms = time() * MS_PER_SECOND
        execution = Execution(
            self._last_number, key, method, path, headers, body, at_ms
        )
        if len(self.executions) < MAX_EXECUTIONS:
            self.executions.append(execution)
        if key:
            self.count_by_key[key] += 1
            self._execution_by_key[key] = execution
        return execution


class PlainServiceServer(TestDoubleServer):
    """Serves a `BookingLedger`.

    `POST`, `PUT`, `PATCH` and `DELETE /bookings…` execute a booking, which takes
    `work_ms` milliseconds; `GET /stock…` reads the stock. `GET /executions?key=K` is
    for checkers.
    """

    kind = "plain service"

    def __init__(
        self,
        address: SocketAddress,
        work_ms: float = 0.0,
        checks_keys: bool = False,
        clock: Clock | None = None,
    ) -> None:
        super().__init__(address, clock)
        self.ledger = BookingLedger(checks_keys)
        self.in_flight = 0
        self._work_ms = work_ms
        for path in (BOOKINGS_PATH, f"{BOOKINGS_PATH}/"):
            for method in ("POST", "PUT", "PATCH", "DELETE"):
                self.routes[(method, path)] = self._book
        for path in (STOCK_PATH, f"{STOCK_PATH}/"):
            self.routes[("GET", path)] = self._stock
        self.routes[("GET", "/executions")] = self._executions
        self.routes[("GET", "/health")] = self._health

    def _book(self, request: HttpRequest) -> HttpResponse:
        self._crash_if_configured("before")
        self.in_flight += 1
        try:
            if self._work_ms:
                sleep(self._work_ms / MS_PER_SECOND)
            if self.is_crashed():
                self.drop_connection()
            key = request.headers.get("idempotency-key", "")
            headers = dict(request.headers)
            body = request.body.decode("utf-8", "replace")
            execution = self.ledger.execute(
                key, request.method, request.path, headers, body
            )
        finally:
            self.in_flight -= 1
        self._crash_if_configured("after")
        return json_response(
            {
                "booking": execution.number,
                "key": key,
                "method": execution.method,
                "path": execution.path,
                "body": execution.body,
            }
        )

    def _crash_if_configured(self, when: str) -> None:
        fault = self.faults.find(Crash)
        if fault is None or fault.when != when:
            return
        self.begin_crash(fault)
        self.drop_connection()

    def _stock(self, request: HttpRequest) -> HttpResponse:
        return json_response({"stock": self.ledger.stock, "path": request.path})

    def _executions(self, request: HttpRequest) -> HttpResponse:
        key = request.query.get("key")
        found = [
            asdict(execution)
            for execution in self.ledger.executions
            if key is None or execution.key == key
        ]
        return json_response({"executions": found, "counts": self.ledger.count_by_key})

    def _health(self, request: HttpRequest) -> HttpResponse:
        return json_response({"status": "ok"})
