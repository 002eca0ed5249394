"""The lease for rollouts: one object in the store, with a fencing token.

The clocks of two VMs are never compared to measure a lease. A holder measures it from
the time at which it sent the write that the store confirmed; a challenger measures from
the time at which it first read the version it wants to replace. Each new holder raises
the fencing token, a renewal keeps it.
"""

import json
from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from wigeonwind.clock import Clock
from wigeonwind.ids import new_id
from wigeonwind.outcomes import Ok
from wigeonwind.state.store_types import NotFound, Store, StoredObject, StoreFailure

LEASE_KEY = "lease/roller"
"""Store key of the lease of the process that controls model rollouts."""

LEASE_MS = 15_000.0
"""A holder that has not renewed for this long must stop sending control commands."""

RENEW_INTERVAL_MS = LEASE_MS / 3
"""Two renewals may fail before the lease is lost; one write in 5 s is a negligible load
for the store."""

MAX_FENCE = 2**63 - 1
"""Largest fencing token."""

TAKEOVER_MS = LEASE_MS * 1.5
"""A challenger waits longer than the lease because clocks run at different rates."""


@dataclass(frozen=True)
class LeaseValue:
    """Content of the lease object; an empty `holder` means that it was released."""

    holder: str
    fence: int
    nonce: str

    def to_bytes(self) -> bytes:
        """Return the value as JSON."""
        fields = {"holder": self.holder, "fence": self.fence, "nonce": self.nonce}
        return json.dumps(fields).encode()


_decode_value = msgspec.json.Decoder(LeaseValue).decode


def decode_lease_value(data: bytes) -> LeaseValue | None:
    """Return the value of a lease object, or None if it is malformed."""
    try:
        value = _decode_value(data)
    except (ValueError, RecursionError):
        return None
    return value if 0 <= value.fence <= MAX_FENCE else None


class Lease:
    """The lease as one process sees it; call `step` every RENEW_INTERVAL_MS.

    `_version` is the object version that this process has written, -1 if it does not
    hold the lease. `_nonce` distinguishes two processes with the same holder id.

    `wall_ms` returns the wall-clock time in milliseconds since 1970. New fencing tokens
    are at least that: a store that returns from an older copy has lost tokens.
    """

    def __init__(
        self,
        store: Store,
        holder_id: str,
        clock: Clock,
        wall_ms: Callable[[], float] = lambda: 0.0,
    ) -> None:
        self._store = store
        self._holder_id = holder_id
        self._clock = clock
        self._wall_ms = wall_ms
        self._nonce = new_id()
        self._fence = 0
        self._version = -1
        self._valid_until_ms = 0.0
        self._observed_version = -1
        self._observed_value = b""
        self._observed_ms = 0.0
        self._went_back_ms: float | None = None
        """When the lease object was found older than before, None if it never was."""
        self._unconfirmed_write_ms: float | None = None

    def fence(self) -> int | None:
        """Return the fencing token while the lease is certainly held, else None."""
        if self._clock.now_ms() < self._valid_until_ms:
            return self._fence
        return None

    def step(self) -> int | None:
        """Renew, acquire or observe the lease; return the fencing token if held."""
        if self._version >= 0 and self._unconfirmed_write_ms is None:
            self._write(self._fence, self._version)
        else:
            self._read_lease()
        return self.fence()

    def release(self) -> None:
        """Release the lease, so that the next holder does not have to wait."""
        if self.fence() is not None:
            value = LeaseValue("", self._fence, self._nonce)
            self._store.put(LEASE_KEY, value.to_bytes(), self._version)
        self._discard()

    def _read_lease(self) -> None:
        found = self._store.get(LEASE_KEY)
        if isinstance(found, StoreFailure):
            return
        if isinstance(found, NotFound):
            self._observe(0, b"")
            if self._may_take_released():
                self._write(self._next_fence(0), 0)
            return
        self._handle_stored_lease(found.value)

    def _handle_stored_lease(self, found: StoredObject) -> None:
        """Accept a write of this process; take over a released or expired lease."""
        value = decode_lease_value(found.value)
        if value is None:
            return
        if value.holder == self._holder_id and value.nonce == self._nonce:
            self._accept_write(found.version, value.fence)
            return
        self._discard()
        self._observe(found.version, found.value)
        is_expired = self._clock.now_ms() - self._observed_ms > TAKEOVER_MS
        if is_expired or (not value.holder and self._may_take_released()):
            self._write(self._next_fence(value.fence), found.version)

    def _observe(self, version: int, value: bytes) -> None:
        """Record what is stored; an older version, or another value, went back."""
        if (version, value) == (self._observed_version, self._observed_value):
            return
        now_ms = self._clock.now_ms()
        if version <= self._observed_version:
            self._went_back_ms = now_ms
        self._observed_version = version
        self._observed_value = value
        self._observed_ms = now_ms

    def _may_take_released(self) -> bool:
        """Return whether no holder can be left whose lease the store has lost."""
        if self._went_back_ms is None:
            return True
        return self._clock.now_ms() - self._went_back_ms > TAKEOVER_MS

    def _next_fence(self, fence: int) -> int:
        return max(fence + 1, int(self._wall_ms()))

    def _accept_write(self, version: int, fence: int) -> None:
        """Accept a write whose response was lost; the lease counts from its sending.

        If the version is unchanged, the write had no effect and must not extend the
        lease: a challenger may have been measuring from this version for some time.
        """
        if version != self._version and self._unconfirmed_write_ms is not None:
            self._valid_until_ms = self._unconfirmed_write_ms + LEASE_MS
        self._version = version
        self._fence = fence
        self._unconfirmed_write_ms = None

    def _write(self, fence: int, if_version: int) -> None:
        sent_ms = self._clock.now_ms()
        value = LeaseValue(self._holder_id, fence, self._nonce)
        result = self._store.put(LEASE_KEY, value.to_bytes(), if_version)
        if isinstance(result, Ok):
            self._version = result.value
            self._fence = fence
            self._valid_until_ms = sent_ms + LEASE_MS
            self._observe(result.value, value.to_bytes())
        elif isinstance(result, StoreFailure):
            if result.maybe_written and self._unconfirmed_write_ms is None:
                self._unconfirmed_write_ms = sent_ms
        else:
            self._discard()

    def _discard(self) -> None:
        self._version = -1
        self._valid_until_ms = 0.0
        self._unconfirmed_write_ms = None
