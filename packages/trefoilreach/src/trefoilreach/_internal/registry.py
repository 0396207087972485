"""Registries of interchangeable implementations, filled by a decorator."""

from collections.abc import Callable
from typing import Generic, TypeVar

T = TypeVar("T")


class UnknownNameError(LookupError):
    """No implementation is registered under a name."""


class Registry(Generic[T]):
    """Implementations of one kind, each under the name that settings use for it."""

    def __init__(self, kind: str) -> None:
        self._kind = kind
        self._entries: dict[str, T] = {}

    @property
    def names(self) -> list[str]:
        """Registered names in alphabetical order."""
        return sorted(self._entries)

    def register(self, name: str) -> Callable[[T], T]:
        """Return a decorator that registers an implementation under ``name``."""

        def add(entry: T) -> T:
            if name in self._entries:
                raise ValueError(f"{self._kind} {name!r} is registered twice")
            self._entries[name] = entry
            return entry

        return add

    def get(self, name: str) -> T:
        """Return the implementation registered under ``name``."""
        try:
            return self._entries[name]
        except KeyError:
            allowed = ", ".join(self.names)
            message = f"unknown {self._kind} {name!r}; allowed: {allowed}"
            raise UnknownNameError(message) from None
