"""Interface of the platform's rate-limited weight store, from which engines load models."""

import threading
from collections.abc import Callable
from typing import Protocol

from result import Ok, Result

from trefoilreach._internal.registry import Registry
from trefoilreach._internal.state.table import StoreError


class WeightStore(Protocol):
    """Store of model weights; each load needs a permit, and permits are limited by rate."""

    def request_permit(self, model: str, worker: str) -> Result[float, StoreError]:
        """Ask to load ``model`` on ``worker``; return seconds to wait, 0 when granted."""


weight_stores: Registry[Callable[..., WeightStore]] = Registry("weight store")


@weight_stores.register("memory")
class MemoryWeightStore:
    """Weight store in memory that grants every permit."""

    def __init__(self, url: str = "", timeout: float = 0.0) -> None:
        self._lock = threading.Lock()
        self._granted: list[tuple[str, str]] = []

    def request_permit(self, model: str, worker: str) -> Result[float, StoreError]:
        """Grant the permit."""
        with self._lock:
            self._granted.append((model, worker))
        return Ok(0.0)
