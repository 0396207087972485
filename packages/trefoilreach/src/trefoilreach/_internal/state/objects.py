"""Object store of the platform: named immutable byte strings."""

import threading
from collections.abc import Callable
from typing import Protocol

from result import Ok, Result
from sortedcontainers import SortedDict

from trefoilreach._internal.registry import Registry
from trefoilreach._internal.state.table import StoreError


class ObjectStore(Protocol):
    """Named objects; a put replaces the whole object."""

    def put(self, name: str, data: bytes) -> Result[None, StoreError]:
        """Write an object."""

    def get(self, name: str) -> Result[bytes | None, StoreError]:
        """Read an object."""

    def list(
        self, prefix: str, after: str = "", limit: int = 1000
    ) -> Result[list[str], StoreError]:
        """Return names that start with ``prefix`` and are above ``after``, in order."""

    def delete(self, name: str) -> Result[None, StoreError]:
        """Remove an object; a missing one is no error."""


object_stores: Registry[Callable[..., ObjectStore]] = Registry("object store")


@object_stores.register("memory")
class MemoryObjectStore:
    """Object store inside the process, for a single daemon and for tests."""

    def __init__(self, url: str = "", timeout: float = 0.0) -> None:
        self._lock = threading.Lock()
        self._objects: SortedDict = SortedDict()

    def put(self, name: str, data: bytes) -> Result[None, StoreError]:
        """Write an object."""
        with self._lock:
            self._objects[name] = bytes(data)
        return Ok(None)

    def get(self, name: str) -> Result[bytes | None, StoreError]:
        """Read an object."""
        with self._lock:
            return Ok(self._objects.get(name))

    def list(
        self, prefix: str, after: str = "", limit: int = 1000
    ) -> Result[list[str], StoreError]:
        """Return names by prefix."""
        names: list[str] = []
        with self._lock:
            for name in self._objects.irange(minimum=max(prefix, after)):
                if not name.startswith(prefix) or len(names) >= limit:
                    break
                if name > after:
                    names.append(name)
        return Ok(names)

    def delete(self, name: str) -> Result[None, StoreError]:
        """Remove an object."""
        with self._lock:
            self._objects.pop(name, None)
        return Ok(None)
