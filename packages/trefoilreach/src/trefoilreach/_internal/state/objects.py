"""Interface of the platform's object store, and an implementation in memory."""

import threading
from collections.abc import Callable
from typing import Protocol

from result import Ok, Result
from sortedcontainers import SortedDict

from trefoilreach._internal.registry import Registry
from trefoilreach._internal.state.table import StoreError


class ObjectStore(Protocol):
    """Store of byte strings by name; objects are replaced as a whole, never changed in part."""

    def put(self, name: str, data: bytes) -> Result[None, StoreError]:
        """Write an object."""

    def get(self, name: str) -> Result[bytes | None, StoreError]:
        """Read an object; None when it does not exist."""

    def list(
        self, prefix: str, after: str = "", limit: int = 1000
    ) -> Result[list[str], StoreError]:
        """Return up to ``limit`` names with ``prefix`` that sort after ``after``, in order."""

    def delete(self, name: str) -> Result[None, StoreError]:
        """Delete an object; a missing one is no error."""


object_stores: Registry[Callable[..., ObjectStore]] = Registry("object store")


@object_stores.register("memory")
class MemoryObjectStore:
    """Object store in memory, for a single daemon and for tests."""

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
        """Delete an object."""
        with self._lock:
            self._objects.pop(name, None)
        return Ok(None)
