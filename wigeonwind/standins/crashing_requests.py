"""Requests that crash the worker double which begins to answer them."""

from collections.abc import Iterator
from dataclasses import dataclass, field

from wigeonwind.routing.request_parser import HttpRequest


@dataclass
class CrashingRequests:
    """Which requests crash a worker, `prefill_ms` after their arrival.

    The worker first sends `sent_first`, the beginning of its answer, in which `{id}`
    stands for the request id. It crashes `writing_ms` later.

    A request does if its `Prefix-Hash` holds one of `part_ids` before its last part, or
    if its path is one of `paths`. Workers may share an instance, and it may change
    while they run.
    """

    part_ids: set[int] = field(default_factory=set)
    paths: set[str] = field(default_factory=set)
    prefill_ms: float = 0.0
    sent_first: bytes = b""
    writing_ms: float = 20.0

    def crashes(self, request: HttpRequest) -> bool:
        """Return whether a request crashes the worker."""
        shared_parts = list(prompt_part_ids(request))[:-1]
        return request.path in self.paths or not self.part_ids.isdisjoint(shared_parts)


def prompt_part_ids(request: HttpRequest) -> Iterator[int]:
    """Yield the ids of the parts of a request's prompt, in their order.

    >>> headers = ((b"Prefix-Hash", b"a1:400,2f:10"),)
    >>> request = HttpRequest(b"POST", b"/", headers, b"", True, True)
    >>> list(prompt_part_ids(request))
    [161, 47]
    """
    value_by_name = {name.lower(): value for name, value in request.headers}
    value = value_by_name.get(b"prefix-hash", b"")
    for entry in value.split(b",") if value else ():
        yield int(entry.partition(b":")[0], 16)
