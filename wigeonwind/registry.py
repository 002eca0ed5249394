"""A registry of named implementations, filled by a decorator."""

from collections.abc import Callable, Iterator
from typing import Generic, TypeVar

T = TypeVar("T")


class Registry(Generic[T]):
    """Implementations of one kind by name.

    >>> shapes: Registry[str] = Registry("shape")
    >>> shapes.register("round")("circle")
    'circle'
    >>> shapes.get("round")
    'circle'
    >>> shapes.get("flat") is None
    True
    """

    def __init__(self, kind: str) -> None:
        self.kind = kind
        self._item_by_name: dict[str, T] = {}

    def register(self, name: str) -> Callable[[T], T]:
        """Return a decorator that registers its target under `name`.

        Raise ValueError if the name is already registered: a programming error.
        """

        def add(item: T) -> T:
            if name in self._item_by_name:
                raise ValueError(f"{self.kind} {name!r} is registered twice")
            self._item_by_name[name] = item
            return item

        return add

    def get(self, name: str) -> T | None:
        """Return the implementation registered as `name`, or None."""
        return self._item_by_name.get(name)

    def names(self) -> list[str]:
        """Return all names in alphabetical order."""
        return sorted(self._item_by_name)

    def __iter__(self) -> Iterator[tuple[str, T]]:
        """Yield (name, implementation) in alphabetical order of the names."""
        return iter(sorted(self._item_by_name.items(), key=lambda pair: pair[0]))
