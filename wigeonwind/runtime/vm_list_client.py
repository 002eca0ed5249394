"""Client of the platform's VM list (docs/design.md, section 6.4)."""

import json
from dataclasses import dataclass
from urllib.parse import urlsplit

import gevent
from geventhttpclient import HTTPClient
from geventhttpclient.response import HTTPParseError

from wigeonwind.addresses import SocketAddress
from wigeonwind.clock import MS_PER_SECOND
from wigeonwind.outcomes import ErrorCode, Failure, Ok, Outcome
from wigeonwind.runtime.fair_receive import use_fair_sockets
from wigeonwind.state.membership import ListedVm

VM_LIST_PATH = "/v1/vms"

CALL_TIMEOUT_MS = 2_000.0
"""Time limit of one call; the list is polled, so a late response is of little use."""

MAX_LIST_BYTES = 4_000_000
"""Maximum size of a response; 1,200 VMs take about 120 kB."""


RESPONSE_ERRORS = (
    OSError,
    ValueError,
    KeyError,
    TypeError,
    EOFError,
    OverflowError,
    RecursionError,
    HTTPParseError,
)
"""Errors of broken connections and malformed responses. An uncaught error would end the
loop that reads the list."""


@dataclass(frozen=True)
class VmList:
    """One response of the VM list; `as_of_ms` is wall-clock time in milliseconds."""

    vms: tuple[ListedVm, ...]
    addresses: tuple[str, ...]
    as_of_ms: float


class VmListClient:
    """Reads the VM list over one connection, which is opened on demand."""

    def __init__(self, address: SocketAddress) -> None:
        timeout_s = CALL_TIMEOUT_MS / MS_PER_SECOND
        self._client = HTTPClient(
            address.host,
            address.port,
            connection_timeout=timeout_s,
            network_timeout=timeout_s,
        )
        use_fair_sockets(self._client, MAX_LIST_BYTES)

    def read(self) -> Ok[VmList] | Failure:
        """Return the list; after a failure the caller keeps the members it has."""
        timeout_s = CALL_TIMEOUT_MS / MS_PER_SECOND
        try:
            # The timeout of the library bounds each read, not the whole call.
            with gevent.Timeout(timeout_s, TimeoutError("deadline exceeded")):
                response = self._client.get(urlsplit(VM_LIST_PATH).path)
                body = response.read(MAX_LIST_BYTES)
            if response.status_code != 200:
                return _failure(f"status {response.status_code}")
            return Ok(_parse(json.loads(bytes(body))))
        except RESPONSE_ERRORS as error:
            self._client.close()
            return _failure(str(error))


def _failure(reason: str) -> Failure:
    message = f"cannot read the VM list: {reason}"
    return Failure(Outcome.FAILED, ErrorCode.STORE_UNAVAILABLE, message)


def _parse(document: dict) -> VmList:
    rows = [row for row in document["vms"] if row["state"] in ("live", "leaving")]
    vms = tuple(ListedVm(str(row["id"]), row["state"] == "leaving") for row in rows)
    addresses = tuple(str(row["address"]) for row in rows if row["state"] == "live")
    return VmList(vms, addresses, float(document["as_of_ms"]))
