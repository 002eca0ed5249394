"""The numbers of the messages between processes; modules of messages fill it."""

from collections.abc import Callable
from typing import TypeVar

T = TypeVar("T")

PROTOCOL_VERSION = 1
"""Version of the message set; a link to another major version is refused."""

MESSAGE_TYPE_BY_NUMBER: dict[int, type] = {}
"""Filled by the `message` decorator."""


def message(number: int) -> Callable[[type[T]], type[T]]:
    """Return a decorator that files a frozen dataclass under `number`."""

    def add(cls: type[T]) -> type[T]:
        if number in MESSAGE_TYPE_BY_NUMBER:
            raise ValueError(f"message number {number} is used twice")
        cls.NUMBER = number  # type: ignore[attr-defined]
        MESSAGE_TYPE_BY_NUMBER[number] = cls
        return cls

    return add
