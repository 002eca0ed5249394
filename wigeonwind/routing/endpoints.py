"""Endpoints as service discovery reports them."""

from dataclasses import dataclass

from wigeonwind.addresses import SocketAddress

EndpointKey = str
"""Instance id and start time; a restart under the same id is another endpoint."""


@dataclass(frozen=True, slots=True)
class Endpoint:
    """An endpoint that requests can be forwarded to.

    `started_ms` is the Unix time of its start in milliseconds, 0 if unknown. `slots` is
    the number of requests that it runs at a time.
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
        """Return the key that identifies this start of the instance."""
        return f"{self.instance_id}@{self.started_ms}"
