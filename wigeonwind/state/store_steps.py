"""Protocols over the store as generators of calls.

A protocol yields a call, receives its result by `send`, and returns its own result. The
same code runs against the real client and in the model checker.
"""

from collections.abc import Callable, Generator
from dataclasses import dataclass
from typing import Any, TypeVar

from wigeonwind.state.store_types import Store

T = TypeVar("T")


@dataclass(frozen=True)
class GetCall:
    """Read one object."""

    key: str


@dataclass(frozen=True)
class PutCall:
    """Write one object if it has `if_version`."""

    key: str
    value: bytes
    if_version: int


@dataclass(frozen=True)
class DeleteCall:
    """Delete one object if it has `if_version`."""

    key: str
    if_version: int


@dataclass(frozen=True)
class PauseCall:
    """Wait before the next call."""

    delay_ms: float


Call = GetCall | PutCall | DeleteCall | PauseCall
Steps = Generator[Call, Any, T]


def perform(store: Store, call: Call) -> Any:
    """Make one call to the store and return its result; a pause has no effect."""
    if isinstance(call, GetCall):
        return store.get(call.key)
    if isinstance(call, PutCall):
        return store.put(call.key, call.value, call.if_version)
    if isinstance(call, DeleteCall):
        return store.delete(call.key, call.if_version)
    return None


def run_steps(steps: Steps[T], store: Store, sleep_ms: Callable[[float], None]) -> T:
    """Run a protocol against `store` and return its result."""
    result: Any = None
    while True:
        try:
            call = steps.send(result)
        except StopIteration as stop:
            return stop.value
        if isinstance(call, PauseCall):
            sleep_ms(call.delay_ms)
        result = perform(store, call)
