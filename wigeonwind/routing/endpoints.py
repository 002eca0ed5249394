"""Endpoints that requests can be forwarded to, as service discovery reports them."""

from dataclasses import dataclass

from wigeonwind.addresses import SocketAddress

EndpointKey = str
"""Instance id and start time: a restart under an old id is another endpoint."""


@dataclass(frozen=True, slots=True)
class Endpoint:
    """One endpoint.

    `started_ms` is the Unix time of its start in milliseconds, 0 if it does not say.
    """

    instance_id: str
    service: str
    address: SocketAddress
    zone: str
    started_ms: int = 0
    slots: int = 0
    is_draining: bool = False

    @property
    def key(self) -> EndpointKey:
        """Return what tells this endpoint from all others, earlier starts included."""
        return f"{self.instance_id}@{self.started_ms}"
