"""Interface of the platform's list of live and leaving VMs, which lags behind."""

import threading
from collections.abc import Callable, Sequence
from typing import NamedTuple, Protocol

from result import Ok, Result

from trefoilreach._internal.registry import Registry
from trefoilreach._internal.state.table import StoreError


class Vm(NamedTuple):
    """A VM that takes callers' requests; ``state`` is ``live`` or ``leaving``."""

    name: str
    host: str
    data_centre: str
    region: str
    state: str = "live"
    http_port: int = 0
    peer_port: int = 0


class VmList(Protocol):
    """List of the existing VMs; a VM that is not in it no longer exists."""

    def list(self) -> Result[list[Vm], StoreError]:
        """Read the list."""


vm_lists: Registry[Callable[..., VmList]] = Registry("VM list")


@vm_lists.register("memory")
class MemoryVmList:
    """VM list in memory, for a single daemon and for tests."""

    def __init__(self, url: str = "", timeout: float = 0.0) -> None:
        self._lock = threading.Lock()
        self._vms: list[Vm] = []

    def list(self) -> Result[list[Vm], StoreError]:
        """Read the list."""
        with self._lock:
            return Ok(self._vms.copy())

    def replace(self, vms: Sequence[Vm]) -> None:
        """Replace the list."""
        with self._lock:
            self._vms = [*vms]
