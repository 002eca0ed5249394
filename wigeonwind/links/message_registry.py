"""Registry of message types by their number on the wire."""

from collections.abc import Callable
from typing import TypeVar

T = TypeVar("T")

PROTOCOL_VERSION = 1
"""Version of the wire format; messages of another version are rejected."""

MESSAGE_TYPE_BY_NUMBER: dict[int, type] = {}
"""Filled by the `message` decorator."""


def message(number: int) -> Callable[[type[T]], type[T]]:
    """Return a decorator that registers a frozen dataclass under `number`."""

    def add(cls: type[T]) -> type[T]:
        if number in MESSAGE_TYPE_BY_NUMBER:
            raise ValueError(f"message number {number} is registered twice")
        cls.NUMBER = number  # type: ignore[attr-defined]
        MESSAGE_TYPE_BY_NUMBER[number] = cls
        return cls

    return add
